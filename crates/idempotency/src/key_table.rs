//! What the idempotency key of a request permits. Decisions alone, without I/O or clock.
//!
//! A key goes through these states: accepted (its first attempt is queued), intent (being written,
//! then durable), started, completed (the result being written, then durable), or unknown (started
//! by a process that did not live to see the end). The controller decides whether a request runs,
//! waits or is rejected; the table decides only what must not happen for the sake of its key:
//!
//! - a start is sent only after its intent is durable, and a response only after its result is;
//! - a key that may have run is not run again before its deduplication window has passed, and never
//!   rejected;
//! - all attempts of a key get the same outcome, and one with the body of another request an error.

mod attempts;
mod expiry;
mod key_state;
mod persistence;
mod recovered_keys;
mod runs;

pub use crate::key_command::{KeyCommand, KeyStatus, KeyTableOptions};
pub use recovered_keys::RecoveredKeys;

use crate::expiring_table::{ExpiringTable, Location, TableEntry};
use crate::fence::{Fence, FenceError, FenceTable, KeyRange};
use cleatpulley_policy::interface::{Micros, RequestId};
use key_state::{KeyEntry, KeyState, PendingKey};
use persistence::Persistence;
use std::collections::{HashMap, VecDeque};

/// The keys that are remembered, and how far each has come.
#[derive(Debug)]
pub struct KeyTable {
    options: KeyTableOptions,
    keys: ExpiringTable<KeyEntry>,
    fences: FenceTable,
    /// Attempts without a response, and their keys.
    attempts: HashMap<RequestId, Location>,
    /// First attempts that were started, and their keys, also where nobody waits for them any more.
    runs: HashMap<RequestId, Location>,
    /// Writes that are not durable yet, in their order.
    pending_writes: VecDeque<PendingWrite>,
    next_sequence: u64,
    /// Bytes of the cached results.
    result_bytes: usize,
    persistence: Persistence,
}

/// A write that is not durable yet.
#[derive(Debug, Clone, Copy)]
struct PendingWrite {
    sequence: u64,
    location: Location,
    written_at: Micros,
}

impl KeyTable {
    /// Creates a table that admits nothing before [`load`](Self::load).
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

    /// Loads the keys recovered from the store. Only the first call has an effect: the table admits
    /// nothing before it.
    pub fn load(&mut self, recovered: RecoveredKeys) {
        if self.persistence.is_recovered {
            return;
        }
        self.persistence.is_recovered = true;
        self.keys = recovered.keys;
        self.result_bytes = recovered.result_bytes;
        self.fences = recovered.fences;
    }

    /// Gives the store up to another process: from now on nothing is known of any key, and none may
    /// run.
    pub fn release(&mut self) {
        self.persistence.is_recovered = false;
        self.persistence.is_available = false;
    }

    /// Returns the number of keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the number of attempts without a response.
    #[must_use]
    pub fn pending_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of active runs, those of uncertain start left out, which may never end.
    #[must_use]
    pub fn active_runs(&self) -> usize {
        self.runs
            .values()
            .filter(|location| {
                self.pending(**location)
                    .is_some_and(|pending| !pending.is_start_uncertain)
            })
            .count()
    }

    /// Returns whether a further key would be admitted.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        let has_room = self.keys.len() < self.options.max_entries
            && self.result_bytes < self.options.max_result_bytes;
        has_room && self.persistence.admits_keys()
    }

    /// Sets a fence around a range of keys. It has to be persisted as well before anything else is
    /// admitted.
    ///
    /// # Errors
    /// Where a later move of these keys is known.
    pub fn set_fence(&mut self, fence: Fence) -> Result<(), FenceError> {
        self.fences.set(fence)
    }

    /// Returns the number of pending keys of a range. It can be exported once there are none.
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

    fn pending(&self, location: Location) -> Option<&PendingKey> {
        match &self.keys.get(location)?.value.state {
            KeyState::Pending(pending) => Some(pending),
            KeyState::Completed { .. } | KeyState::Unknown => None,
        }
    }

    fn pending_mut(&mut self, location: Location) -> Option<&mut PendingKey> {
        match &mut self.keys.get_mut(location)?.state {
            KeyState::Pending(pending) => Some(pending),
            KeyState::Completed { .. } | KeyState::Unknown => None,
        }
    }
}
