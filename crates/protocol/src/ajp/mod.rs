//! AJP/1.3: the codec, a server's connection, a client's connection, and the table from paths to classes.

pub mod class_table;
pub mod client;
pub mod codec;
mod names;
pub mod server;
