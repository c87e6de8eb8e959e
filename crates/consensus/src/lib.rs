//! The log of routing changes that three or five processes agree on.
//!
//! Each [`Change`] that is decided is applied by all in the same order to a [`Table`]; its place in that order is its epoch. A
//! [`Node`] is one of the processes that agree: bytes of sessions and time go in, bytes and [`Event`]s come out, and what it
//! has promised is durable before anybody hears of it. A part that is cut off knows by its [`lease`] until when its epoch
//! may still be acted on, and changes nothing meanwhile, since nothing is decided without most of the others.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod change;
pub mod lease;
mod log;
pub mod node;
pub mod storage;
pub mod table;
pub mod wire;

pub use change::{Change, ChangeId, Kind, Subject};
pub use log::Log;
pub use node::{Event, Node, Settings};
pub use storage::{Disk, Fault, Forgetful};
pub use table::{Outcome, Table};

/// A process that agrees, by a small number that is set.
pub type NodeId = u64;
