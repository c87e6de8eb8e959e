//! The types that a [`KeyTable`](crate::key_table::KeyTable) is asked in and answers with.

use crate::record::{KeyOutcome, KeyRecord, ScopedKey};
use cleatpulley_policy::interface::{Micros, RequestId};

/// The capacity of a table, and its times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTableOptions {
    /// The most keys.
    pub max_entries: usize,
    /// The most bytes of results.
    pub max_result_bytes: usize,
    /// For how long a key is remembered, from its run on, or from its first attempt where nothing
    /// ran.
    pub deduplication_window: Micros,
    /// Where a write is not durable after this time, the store counts as stalled.
    pub stall_timeout: Micros,
    /// Mixed into the hashes of keys, so that callers can't choose keys that collide.
    pub hash_seed: u64,
}

/// What is known of a key when an attempt arrives with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStatus {
    /// This attempt is the first: the controller decides on it as on any other request.
    First,
    /// The named first attempt is queued or runs: this one waits, and gets the same response.
    Pending(RequestId),
    /// The run has ended, and the store has its outcome.
    Completed,
    /// The first attempt may have run, and nobody knows how that ended.
    Unknown,
    /// The key belongs to a request of another class or body.
    Mismatch,
    /// The keys of the store are not recovered yet: the attempt can neither run nor be rejected.
    NotRecovered,
    /// Another owner admits the keys of this range.
    OwnedElsewhere,
    /// There is no capacity for a further key, or it can't be persisted: the attempt has to be
    /// rejected, as it never ran.
    NoCapacity,
}

/// What a [`KeyTable`](crate::key_table::KeyTable) wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyCommand {
    /// Write the record of a key. Once it is durable, [`on_durable`] has to be called.
    ///
    /// [`on_durable`]: crate::key_table::KeyTable::on_durable
    Write {
        /// Sequence numbers rise. One that is durable stands for all before it.
        sequence: u64,
        /// The key.
        key: ScopedKey,
        /// Its record.
        record: KeyRecord,
        /// When it may be forgotten.
        expires_at: Micros,
    },
    /// Erase the record of a key: its intent was not followed by a start.
    Erase {
        /// The key.
        key: ScopedKey,
    },
    /// Start the request: its intent is durable.
    Start(RequestId),
    /// Do not start the requested run: nobody waits for it any more, or its intent can't be
    /// persisted.
    CancelRun(RequestId),
    /// Respond to an attempt with the outcome of its key.
    Respond(RequestId, KeyOutcome),
    /// Reject an attempt: its key never ran.
    Reject(RequestId),
    /// The first attempt left before it ran: this one takes its place, and the controller has to
    /// decide on it again.
    Promote(RequestId),
}
