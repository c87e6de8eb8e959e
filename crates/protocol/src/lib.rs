//! Codecs and connection state machines: frames and AJP for clients, JSON lines for the runtime,
//! and HTTP for the store, the directory and operators. They take bytes and the time, and return
//! requests, bytes to send and a deadline; sockets are the caller's.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ajp;
pub mod frame;
pub mod http;
pub mod management;
pub mod runtime_line;
pub mod state_machine;
