//! AJP/1.3: the codec, the state machines of a server's and a client's connection, and the table
//! that maps paths to request classes.

pub mod class_table;
pub mod client;
pub mod codec;
mod names;
pub mod server;
