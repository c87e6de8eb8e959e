//! Idempotency keys: a repeated request gets the response of the first one, from its cached result,
//! and never runs again.
//!
//! | module | contents |
//! | --- | --- |
//! | [`key_table`] | decides what a key permits; a state machine without I/O or a clock |
//! | [`journal`] | persists the records of keys in an embedded store |
//! | [`record`] | the stored encoding of keys and records |
//! | [`expiring_table`] | a hash table whose entries expire after a time |
//! | [`fence`], [`transfer`] | move a range of keys from one store to another |
//! | [`hex`] | encodes bytes as hexadecimal digits |

pub mod expiring_table;
pub mod fence;
pub mod hex;
pub mod journal;
mod key_command;
pub mod key_table;
pub mod record;
pub mod transfer;
mod transfer_error;
