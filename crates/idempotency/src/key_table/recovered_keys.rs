//! The keys that were recovered from a store when it was opened.

use super::key_state::{result_bytes, KeyEntry, KeyState};
use crate::expiring_table::ExpiringTable;
use crate::fence::FenceTable;
use crate::record::{KeyRecord, ScopedKey};
use cleatpulley_policy::interface::Micros;

/// Keys and fences recovered from a store.
#[derive(Debug)]
pub struct RecoveredKeys {
    pub(super) keys: ExpiringTable<KeyEntry>,
    pub(super) result_bytes: usize,
    /// The fences in the store.
    pub fences: FenceTable,
    /// Number of keys with an outcome.
    pub completed: usize,
    /// Number of keys that may have run and whose outcome is not known.
    pub unknown: usize,
}

impl RecoveredKeys {
    /// Creates an empty set. `hash_seed` is the seed of the key hashes.
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

    /// Adds a key with its record. A key with an intent and no result may have run.
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
        let handle = self.keys.insert(key, expires_at, entry);
        self.keys.start_expiry(handle);
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

    /// Returns the memory used by the table, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.keys.memory_bytes()
    }
}
