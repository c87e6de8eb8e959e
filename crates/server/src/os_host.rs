//! The real implementation of [`Host`](crate::host::Host): calloop's event loop, the sockets and
//! clocks of the system, and threads for the disk.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `event_loop` | what an event loop serves, and how a socket is watched |
//! | `clock` | the clock of all events |
//! | `sockets` | streams, listeners and datagram sockets |
//! | `host` | the host itself |
//! | `serve` | a process that serves: signals, the event loop, status reports |

mod clock;
pub(crate) mod event_loop;
mod host;
mod serve;
pub(crate) mod sockets;

pub use event_loop::{EventLoopHandle, Service, Watch};
pub use host::OsHost;
pub use serve::{serve, serve_with, BlockedSignals, HostOptions};
pub use sockets::{Listener, OsDatagramSocket, OsStream, SuccessorListener};

#[cfg(test)]
mod tests;
