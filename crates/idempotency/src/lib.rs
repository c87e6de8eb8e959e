//! Idempotency keys: what the key of a request permits, and where its result is cached, so that a
//! repeated request gets the first response and never runs again.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`key_table`] | what a key permits: decisions, without I/O or clock |
//! | [`journal`] | the records of keys in an embedded store |
//! | [`record`] | keys and records as they are stored |
//! | [`expiring_table`] | a table that finds entries by key and by age |
//! | [`fence`], [`transfer`] | moving a range of keys from one store to another |
//! | [`hex`] | bytes as hex digits |

pub mod expiring_table;
pub mod fence;
pub mod hex;
pub mod journal;
mod key_command;
pub mod key_table;
pub mod record;
pub mod transfer;
mod transfer_error;
