//! One process takes the place of another that serves. Both sides are state machines, fed with messages, ends and time,
//! which return what to do; an adapter carries messages and listening sockets between the processes.
//!
//! At every moment somebody owns the queue of new connections: the [`predecessor`] until it has said [`Yours`], the
//! [`successor`] from then on, and the predecessor again where its successor dies before it was told to leave itself.
//!
//! [`Yours`]: message::Message::Yours

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod message;
pub mod predecessor;
pub mod snapshot;
pub mod successor;

pub use message::{Held, Message};
