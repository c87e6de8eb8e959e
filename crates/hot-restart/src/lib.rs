//! Hot restart: a new process of a server, the successor, takes over the listening sockets and the
//! learned state of the serving process, its predecessor. No I/O and no clock.
//!
//! Both sides are state machines. Their input is messages, lost connections and the time; their
//! output is [`Effect`](predecessor::Effect)s, which an adapter executes: it transfers messages and
//! listening sockets between the two processes.
//!
//! At every moment exactly one process owns the queue of new connections: the [`predecessor`] until
//! it has sent [`Message::HandoverComplete`], the [`successor`] from then on, and the predecessor
//! again if the successor dies while its predecessor is still draining.
//!
//! | module | contents |
//! | --- | --- |
//! | [`message`] | the messages between the two processes, and their codec |
//! | [`predecessor`] | state machine of the process that passes its listening sockets and drains |
//! | [`successor`] | state machine of the process that adopts the sockets and starts to serve |
//! | [`readiness`] | how an upgrade continues after a readiness check of the new process |
//! | [`snapshot`] | encoding of the overload controller's learned state for the handover |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod message;
pub mod predecessor;
pub mod readiness;
pub mod snapshot;
pub mod successor;

pub use message::{Message, ProcessUsage};
