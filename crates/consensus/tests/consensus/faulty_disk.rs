//! A disk in memory that survives crashes of its process and on which faults are injected.

use cleatpulley_consensus::storage::{KeyUpdate, StorageOperation};
use cleatpulley_consensus::{DurableStorage, StorageError};
use std::collections::BTreeMap;

/// The keys of the stored format that faults pick out.
const PROMISE_KEY: &[u8] = b"promise";
const ACCEPTED_ROUND_KEY: &[u8] = b"round";
const ENTRY_KEY_PREFIX: &[u8] = b"c\0";
const ENTRY_KEY_BYTES: usize = 10;

/// What a faulty disk loses without reporting an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DiskFault {
    /// Nothing that was synced.
    #[default]
    None,
    /// Syncs do nothing: a crash loses all that was written since the disk was created.
    IgnoredSyncs,
    /// Writes of the promised ballot.
    LostPromises,
    /// Writes of the ballot of the accepted round.
    LostAcceptedRounds,
    /// The newest log entry of each batch.
    LostNewestEntry,
}

#[derive(Debug, thiserror::Error)]
#[error("the disk is full")]
struct DiskFull;

/// A disk in memory. What was written and not synced is lost in a crash.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultyDisk {
    durable: BTreeMap<Vec<u8>, Vec<u8>>,
    unsynced: BTreeMap<Vec<u8>, Option<Vec<u8>>>,
    /// What the disk loses.
    pub fault: DiskFault,
    /// Makes all writes fail.
    pub is_full: bool,
}

impl FaultyDisk {
    /// Returns an empty disk with this fault.
    pub fn with_fault(fault: DiskFault) -> Self {
        Self {
            fault,
            ..Self::default()
        }
    }

    /// Returns the disk as a process finds it that starts after a crash.
    pub fn after_crash(mut self) -> Self {
        self.unsynced.clear();
        self
    }

    fn loses(&self, update: &KeyUpdate, newest_entry: Option<&Vec<u8>>) -> bool {
        match self.fault {
            DiskFault::None | DiskFault::IgnoredSyncs => false,
            DiskFault::LostPromises => update.key == PROMISE_KEY,
            DiskFault::LostAcceptedRounds => update.key == ACCEPTED_ROUND_KEY,
            DiskFault::LostNewestEntry => {
                update.value.is_some() && Some(&update.key) == newest_entry
            }
        }
    }
}

fn is_entry_key(key: &[u8]) -> bool {
    key.len() == ENTRY_KEY_BYTES && key.starts_with(ENTRY_KEY_PREFIX)
}

impl DurableStorage for FaultyDisk {
    fn load(&mut self) -> Result<BTreeMap<Vec<u8>, Vec<u8>>, StorageError> {
        Ok(self.durable.clone())
    }

    fn write(&mut self, updates: &[KeyUpdate]) -> Result<(), StorageError> {
        if self.is_full {
            return Err(StorageError::new(StorageOperation::Write, DiskFull));
        }
        let newest_entry = updates
            .iter()
            .map(|update| &update.key)
            .filter(|key| is_entry_key(key))
            .max();
        for update in updates {
            if !self.loses(update, newest_entry) {
                self.unsynced
                    .insert(update.key.clone(), update.value.clone());
            }
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StorageError> {
        if self.fault == DiskFault::IgnoredSyncs {
            return Ok(());
        }
        for (key, value) in std::mem::take(&mut self.unsynced) {
            match value {
                Some(value) => self.durable.insert(key, value),
                None => self.durable.remove(&key),
            };
        }
        Ok(())
    }
}
