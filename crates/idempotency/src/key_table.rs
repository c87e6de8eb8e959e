//! State machine of idempotency keys: decides what the key of a request permits, without I/O or a
//! clock.
//!
//! A key goes through these states: accepted (its first attempt is queued), intent (being written,
//! then durable), started, completed (the result being written, then durable), or unknown (started,
//! for example by a process that ended before the run did). The controller decides whether a
//! request runs, waits or is rejected; the table only enforces what its key requires:
//!
//! - a run is started only after its intent is durable, and a response is sent only after its
//!   result is durable;
//! - a key that may have run is not run again within its deduplication window, and is never
//!   rejected;
//! - all attempts with a key get the same outcome, and an attempt with another body gets an error.

mod attempts;
mod expiry;
mod key_state;
mod persistence;
mod recovered_keys;
mod runs;

pub use crate::key_command::{KeyCommand, KeyStatus, KeyTableOptions};
pub use recovered_keys::RecoveredKeys;

use crate::expiring_table::{EntryHandle, ExpiringTable, TableEntry};
use crate::fence::{Fence, FenceError, FenceTable, KeyRange};
use cleatpulley_policy::interface::{Micros, RequestId};
use key_state::{KeyEntry, KeyState, PendingKey};
use persistence::Persistence;
use std::collections::{HashMap, VecDeque};

/// The remembered keys with the state of each.
#[derive(Debug)]
pub struct KeyTable {
    options: KeyTableOptions,
    keys: ExpiringTable<KeyEntry>,
    fences: FenceTable,
    /// Attempts without a response, with the entries of their keys.
    attempts: HashMap<RequestId, EntryHandle>,
    /// First attempts whose run was started, with the entries of their keys. A run stays here when
    /// no attempt waits for it any more.
    runs: HashMap<RequestId, EntryHandle>,
    /// Writes that are not durable yet, in the order in which they were issued.
    pending_writes: VecDeque<PendingWrite>,
    next_sequence: u64,
    /// Size of all cached results, in bytes.
    result_bytes: usize,
    persistence: Persistence,
}

/// A write of a record that is not durable yet.
#[derive(Debug, Clone, Copy)]
struct PendingWrite {
    sequence: u64,
    handle: EntryHandle,
    written_at: Micros,
}

impl KeyTable {
    /// Creates a table that admits no key before [`load`](Self::load) is called.
    #[must_use]
    pub fn new(options: KeyTableOptions) -> Self {
        Self {
            options,
            keys: ExpiringTable::new(options.hash_seed),
            fences: FenceTable::default(),
            attempts: HashMap::new(),
            runs: HashMap::new(),
            pending_writes: VecDeque::new(),
            next_sequence: 1,
            result_bytes: 0,
            persistence: Persistence::new(),
        }
    }

    /// Loads the keys recovered from the store, after which the table admits keys. Has no effect if
    /// they are loaded already.
    pub fn load(&mut self, recovered: RecoveredKeys) {
        if self.persistence.is_recovered {
            return;
        }
        self.persistence.is_recovered = true;
        self.keys = recovered.keys;
        self.result_bytes = recovered.result_bytes;
        self.fences = recovered.fences;
    }

    /// Releases the store to another process: from now on the status of every key is unknown, and
    /// no key may run.
    pub fn release(&mut self) {
        self.persistence.is_recovered = false;
        self.persistence.is_available = false;
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no keys are remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the number of attempts without a response.
    #[must_use]
    pub fn pending_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of active runs. Runs whose start is uncertain are not counted, as their
    /// end may never be reported.
    #[must_use]
    pub fn active_runs(&self) -> usize {
        self.runs
            .values()
            .filter(|handle| {
                self.pending(**handle)
                    .is_some_and(|pending| !pending.is_start_uncertain)
            })
            .count()
    }

    /// Returns whether another key would be admitted.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        let is_below_limits = self.keys.len() < self.options.max_entries
            && self.result_bytes < self.options.max_result_bytes;
        is_below_limits && self.persistence.admits_keys()
    }

    /// Sets a fence for a range of keys. The caller also has to persist it before any other key is
    /// admitted.
    ///
    /// # Errors
    /// If [`FenceTable::set`] rejects the fence, for example because a later move of these keys is
    /// known.
    pub fn set_fence(&mut self, fence: Fence) -> Result<(), FenceError> {
        self.fences.set(fence)
    }

    /// Returns the number of pending keys in a range. The range can be exported once there are
    /// none.
    #[must_use]
    pub fn pending_keys_in(&self, range: &KeyRange) -> usize {
        let is_pending = |entry: &TableEntry<KeyEntry>| {
            matches!(entry.value.state, KeyState::Pending(_)) && range.contains(&entry.key)
        };
        self.keys
            .iter()
            .filter(|(_, entry)| is_pending(entry))
            .count()
    }

    fn pending(&self, handle: EntryHandle) -> Option<&PendingKey> {
        match &self.keys.get(handle)?.value.state {
            KeyState::Pending(pending) => Some(pending),
            KeyState::Completed { .. } | KeyState::Unknown => None,
        }
    }

    fn pending_mut(&mut self, handle: EntryHandle) -> Option<&mut PendingKey> {
        match &mut self.keys.get_mut(handle)?.state {
            KeyState::Pending(pending) => Some(pending),
            KeyState::Completed { .. } | KeyState::Unknown => None,
        }
    }
}
