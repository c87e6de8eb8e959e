//! The length-prefixed frames exchanged with front ends: the codec and the connection state
//! machine.

pub mod codec;
pub mod connection;
