//! The keys that a store held at its start.

use super::key_state::{result_bytes, KeyEntry, KeyState};
use crate::expiring_table::ExpiringTable;
use crate::fence::FenceTable;
use crate::record::{KeyRecord, ScopedKey};
use cleatpulley_policy::interface::Micros;

/// Keys recovered from a store.
#[derive(Debug)]
pub struct RecoveredKeys {
    pub(super) keys: ExpiringTable<KeyEntry>,
    pub(super) result_bytes: usize,
    /// The fences that were set.
    pub fences: FenceTable,
    /// Keys with an outcome.
    pub completed: usize,
    /// Keys that may have run, with no known outcome.
    pub unknown: usize,
}

impl RecoveredKeys {
    /// Creates an empty set; `hash_seed` is mixed into the hashes of keys.
    #[must_use]
    pub fn new(hash_seed: u64) -> Self {
        Self {
            keys: ExpiringTable::new(hash_seed),
            result_bytes: 0,
            fences: FenceTable::default(),
            completed: 0,
            unknown: 0,
        }
    }

    /// Adds the record of a key. An intent without a result may have run.
    pub fn add(&mut self, key: ScopedKey, record: &KeyRecord, expires_at: Micros) {
        let state = match record {
            KeyRecord::Intent { .. } => {
                self.unknown += 1;
                KeyState::Unknown
            }
            KeyRecord::Completed { outcome, .. } => {
                let result_bytes = result_bytes(outcome);
                self.completed += 1;
                self.result_bytes += result_bytes as usize;
                KeyState::Completed { result_bytes }
            }
        };
        let entry = KeyEntry {
            digest: record.digest().into(),
            state,
        };
        let location = self.keys.insert(key, expires_at, entry);
        self.keys.start_expiry(location);
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the memory of the table, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.keys.memory_bytes()
    }
}
