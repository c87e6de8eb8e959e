//! The real implementation of [`Host`](crate::host::Host): calloop's event loop, the sockets and
//! clocks of the system, and threads for the disk.
//!
//! | module | contents |
//! | --- | --- |
//! | `event_loop` | the service that an event loop drives, and registration of sockets |
//! | `clock` | the clock |
//! | `sockets` | streams, listeners and datagram sockets |
//! | `host` | the implementation of the host |
//! | `serve` | the main loop of a process: signals, the event loop, status reports |

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
