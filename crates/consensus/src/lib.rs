//! A replicated log of routing changes, kept by three, five or seven processes.
//!
//! Consensus itself comes from the `omnipaxos` library (ballots, leader election, log replication).
//! This crate adds what the library leaves out:
//!
//! - [`Node`], one process of the group: a state machine without sockets and without a clock. Bytes
//!   received from peers and the current time go in; bytes to send and [`Event`]s come out.
//! - [`Table`], the replicated state machine: every decided [`Change`] is applied to it in log
//!   order. The number of decided changes is its epoch.
//! - [`DurableLog`], the library's log on a [`DurableStorage`]: everything a message rests on is
//!   durable before that message is handed out.
//! - [`lease`]: for how long a process may act on its epoch without probing the others again. A
//!   minority partition sees its lease expire, and decides nothing, since decisions need a quorum.
//! - [`Configuration`], the members of the group, which the log itself can replace.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod change;
mod codec;
pub mod configuration;
pub mod lease;
mod log;
pub mod message;
pub mod node;
pub mod settings;
pub mod storage;
pub mod table;

pub use change::{Change, ChangeId, Epoch, Incarnation, LogIndex, Subject, SubjectKind};
pub use configuration::{Configuration, NodeId};
pub use log::{DurableLog, LogError, RecoveredLog};
pub use node::{Event, Node};
pub use settings::Settings;
pub use storage::{DurableStorage, StorageError};
pub use table::{Outcome, Table};
