//! Codecs and connection state machines: frames and AJP on the client side, the runtime's lines, and the HTTP that
//! is spoken with store, directory and operators. Bytes and time in; requests, bytes and a deadline out; no sockets.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ajp;
pub mod frame;
pub mod http;
pub mod management;
pub mod runtime_line;
pub mod state_machine;
