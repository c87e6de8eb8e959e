//! The length-prefixed frames of front ends: their codec and a connection that speaks them.

pub mod codec;
pub mod connection;
