//! Options of a [`KeyTable`](crate::key_table::KeyTable), the status that it returns for an
//! attempt, and the commands that it issues.

use crate::record::{KeyOutcome, KeyRecord, ScopedKey};
use cleatpulley_policy::interface::{Micros, RequestId};

/// Limits and timeouts of a [`KeyTable`](crate::key_table::KeyTable).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTableOptions {
    /// Maximum number of keys.
    pub max_entries: usize,
    /// Maximum size of all cached results, in bytes.
    pub max_result_bytes: usize,
    /// Time for which a key is remembered, counted from the request of its run, or from its first
    /// attempt if it never ran.
    pub deduplication_window: Micros,
    /// The store counts as stalled if a write is not durable after this time.
    pub stall_timeout: Micros,
    /// Seed of the key hashes, so that callers can't choose keys that collide.
    pub hash_seed: u64,
}

/// Status of a key at the arrival of an attempt with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStatus {
    /// This is the first attempt of the key: the controller decides on it like on any other
    /// request.
    First,
    /// The first attempt, which has this id, is queued or running: the new attempt waits for its
    /// outcome and gets the same response.
    Pending(RequestId),
    /// The run has ended, and its outcome is in the store.
    Completed,
    /// The key may have run, but its outcome is not known.
    Unknown,
    /// The key belongs to a request with another class or body.
    Mismatch,
    /// The keys of the store have not been recovered yet: the attempt can neither run nor be
    /// rejected.
    NotRecovered,
    /// The key is in a range that has moved to another store.
    OwnedElsewhere,
    /// The table is full, or the key can't be persisted: the attempt has to be rejected, as the
    /// key never ran.
    NoCapacity,
}

/// A command of a [`KeyTable`](crate::key_table::KeyTable) to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyCommand {
    /// Write the record of a key. The caller has to call [`on_durable`] once it is durable.
    ///
    /// [`on_durable`]: crate::key_table::KeyTable::on_durable
    Write {
        /// Sequence number of the write. Once it is durable, all writes with lower numbers are too.
        sequence: u64,
        /// The key.
        key: ScopedKey,
        /// Its record to be written.
        record: KeyRecord,
        /// Time from which on the record may be removed.
        expires_at: Micros,
    },
    /// Erase the record of a key: an intent was written, but the run was not started.
    Erase {
        /// The key.
        key: ScopedKey,
    },
    /// Start the run of this request: its intent is durable.
    Start(RequestId),
    /// Do not start the requested run: no attempt waits for it any more, or its intent can't be
    /// persisted.
    CancelRun(RequestId),
    /// Respond to this attempt with the outcome of its key.
    Respond(RequestId, KeyOutcome),
    /// Reject this attempt: its key never ran.
    Reject(RequestId),
    /// Treat this attempt as the first one of its key, because the former first attempt left before
    /// it ran. The controller has to decide on it.
    Promote(RequestId),
}
