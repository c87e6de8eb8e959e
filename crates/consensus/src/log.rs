//! The durable log: the consensus library's log on a [`DurableStorage`](crate::DurableStorage).
//!
//! Below the public handle lie, from the bottom up: [`keys`] (the keys in the storage), [`state`]
//! (the log in memory and its unwritten updates), [`durable`] (the handle), and on top of it
//! [`recovery`] (reading a log back) and [`paxos_storage`] (the library's view of the log).

mod durable;
mod error;
mod keys;
mod paxos_storage;
mod recovery;
mod state;

pub use durable::DurableLog;
pub use error::LogError;
pub use recovery::RecoveredLog;
