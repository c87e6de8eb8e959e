//! Hot restart: a new process of a server, the successor, takes the listening sockets and the
//! learned state over from the process that serves, its predecessor. No I/O and no clock.
//!
//! Both sides are state machines. They are fed with messages, lost connections and the time, and
//! return the [`Effect`](predecessor::Effect)s that an adapter is to carry out: it transfers
//! messages and listening sockets between the two processes.
//!
//! At every moment exactly one process owns the queue of new connections: the [`predecessor`] until
//! it has sent [`Message::HandoverComplete`], the [`successor`] from then on, and the predecessor
//! again if its successor dies while the predecessor is still draining.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`message`] | the messages between the two processes, and their codec |
//! | [`predecessor`] | the side that passes its listening sockets and drains |
//! | [`successor`] | the side that adopts the sockets and starts to serve |
//! | [`snapshot`] | the learned state of the overload controller, as it is handed over |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod message;
pub mod predecessor;
pub mod snapshot;
pub mod successor;

pub use message::{Message, ProcessUsage};
