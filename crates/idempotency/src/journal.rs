//! The records of keys in an embedded store: writes what a [`KeyTable`](crate::key_table::KeyTable)
//! decides, and reads it back.
//!
//! One sync covers all that was written before it. The owner of the journal decides on which thread
//! it runs.

use crate::fence::{Fence, FenceTable};
use crate::key_table::{KeyCommand, RecoveredKeys};
use crate::record::{KeyOutcome, KeyRecord, ScopedKey};
use crate::transfer_error::TransferError;
use cleatpulley_log_store::files::FileSystem;
use cleatpulley_log_store::{
    Batch, Error, MaintenanceStatus, Options, RecoveryReport, Stats, Store,
};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;

/// Prefix of the store's keys for fences; a number follows. Keys of requests are longer.
const FENCE_PREFIX: &[u8] = b"fence";
/// Written and synced to find out whether the store takes writes again.
const PROBE_KEY: &[u8] = b"probe";
/// Bytes of the expiry before each record.
const EXPIRY_LENGTH: usize = 8;

/// The records of keys in a store.
pub struct Journal<F: FileSystem> {
    store: Store<F>,
    fences: FenceTable,
    /// Sequence number of the last write.
    written_sequence: u64,
    /// Sequence number of the last durable write.
    durable_sequence: u64,
}

/// A journal that was opened, with what its store held.
pub struct OpenedJournal<F: FileSystem> {
    /// The journal.
    pub journal: Journal<F>,
    /// The keys that the store held.
    pub recovered: RecoveredKeys,
    /// What the store found in its files.
    pub recovery_report: RecoveryReport,
}

impl<F: FileSystem> Journal<F> {
    /// Opens the store and recovers its keys.
    ///
    /// # Errors
    /// Where the store can't be opened or read.
    pub fn open(files: F, options: Options, now: Micros) -> Result<OpenedJournal<F>, Error> {
        let hash_seed = options.seed;
        let (store, recovery_report) = Store::open(files, options)?;
        let recovered = recover(&store, now, hash_seed)?;
        let journal = Self {
            store,
            fences: recovered.fences.clone(),
            written_sequence: 0,
            durable_sequence: 0,
        };
        Ok(OpenedJournal {
            journal,
            recovered,
            recovery_report,
        })
    }

    /// Writes or erases a record; all other commands are the caller's.
    ///
    /// # Errors
    /// Where the store can't be written: then nothing of it counts as written.
    pub fn write(&mut self, command: &KeyCommand) -> Result<(), Error> {
        match command {
            KeyCommand::Write {
                sequence,
                key,
                record,
                expires_at,
            } => {
                let value = encode_value(*expires_at, record);
                let batch = Batch::default().put(key.as_bytes(), &value, Some(*expires_at));
                self.store.write(batch)?;
                self.written_sequence = *sequence;
            }
            // Need not be durable: what a crash brings back is an intent, and that never runs.
            KeyCommand::Erase { key } => {
                self.store.write(Batch::default().delete(key.as_bytes()))?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns whether a write is not durable yet.
    #[must_use]
    pub fn has_unsynced_writes(&self) -> bool {
        self.written_sequence > self.durable_sequence
    }

    /// Makes all writes durable. Returns the sequence number of the last durable write.
    ///
    /// # Errors
    /// Where the store can't be synced: then it takes no more writes, and what was not durable yet
    /// may never be.
    pub fn sync(&mut self) -> Result<u64, Error> {
        if self.has_unsynced_writes() {
            if !is_bug_injected(InjectedBug::SyncSkipped) {
                self.store.sync()?;
            }
            self.durable_sequence = self.written_sequence;
        }
        Ok(self.written_sequence)
    }

    /// Returns how a key ended, where the store has that.
    ///
    /// # Errors
    /// Where the store is damaged or can't be read.
    pub fn load_outcome(&self, now: Micros, key: &ScopedKey) -> Result<Option<KeyOutcome>, Error> {
        let Some(value) = self.store.get(now, key.as_bytes())? else {
            return Ok(None);
        };
        let outcome = match decode_value(&value) {
            Some((_, KeyRecord::Completed { outcome, .. })) => Some(outcome),
            Some((_, KeyRecord::Intent { .. })) | None => None,
        };
        Ok(outcome)
    }

    /// Sets a fence, durably.
    ///
    /// # Errors
    /// Where a later move is known, or the store can't be written.
    pub fn set_fence(&mut self, fence: Fence) -> Result<(), TransferError> {
        let mut fences = self.fences.clone();
        fences.set(fence)?;
        let old_count = self.fences.as_slice().len();
        let mut batch = Batch::default();
        for number in 0..old_count.max(fences.as_slice().len()) {
            let key = fence_key(number as u32);
            match fences.as_slice().get(number) {
                Some(fence) => {
                    let text = serde_json::to_vec(fence).map_err(std::io::Error::from)?;
                    batch.add_put(&key, &text, None);
                }
                None => batch.add_delete(&key),
            }
        }
        self.store.write(batch)?;
        self.store.sync()?;
        self.fences = fences;
        Ok(())
    }

    /// Returns the fences that are set.
    #[must_use]
    pub fn fences(&self) -> &FenceTable {
        &self.fences
    }

    /// Checks whether the store takes writes and syncs.
    ///
    /// # Errors
    /// Where it does not.
    pub fn probe(&mut self) -> Result<(), Error> {
        self.store.write(Batch::default().delete(PROBE_KEY))?;
        self.store.sync()
    }

    /// Does a part of the store's maintenance, of about `budget` bytes.
    ///
    /// # Errors
    /// Where that fails; nothing is lost.
    pub fn maintain(&mut self, now: Micros, budget: usize) -> Result<MaintenanceStatus, Error> {
        self.store.run_maintenance_step(now, budget)
    }

    /// Returns the store's statistics.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// Returns the store.
    pub fn store_mut(&mut self) -> &mut Store<F> {
        &mut self.store
    }

    /// Closes the store.
    ///
    /// # Errors
    /// Where its last writes can't be made durable.
    pub fn close(self) -> Result<(), Error> {
        self.store.close()
    }
}

fn fence_key(number: u32) -> Vec<u8> {
    [FENCE_PREFIX, &number.to_be_bytes()].concat()
}

/// Returns the value that the store has for a key: its expiry and its record.
pub(crate) fn encode_value(expires_at: Micros, record: &KeyRecord) -> Vec<u8> {
    [&expires_at.to_be_bytes()[..], &record.encode()].concat()
}

fn decode_value(value: &[u8]) -> Option<(Micros, KeyRecord)> {
    let (expires_at, record) = value.split_first_chunk::<EXPIRY_LENGTH>()?;
    Some((
        Micros::from_be_bytes(*expires_at),
        KeyRecord::decode(record)?,
    ))
}

/// Passes each key of a request that has not expired to `visit`, the oldest first.
///
/// # Errors
/// Where the store can't be read.
pub fn for_each_record<F: FileSystem>(
    store: &Store<F>,
    now: Micros,
    mut visit: impl FnMut(ScopedKey, KeyRecord, Micros),
) -> Result<(), Error> {
    store.for_each_by_sequence(now, |_, key, value| {
        if let (Some(key), Some((expires_at, record))) =
            (ScopedKey::from_bytes(key), decode_value(value))
        {
            visit(key, record, expires_at);
        }
        true
    })
}

/// Recovers the keys and fences of a store.
///
/// # Errors
/// Where the store can't be read.
pub fn recover<F: FileSystem>(
    store: &Store<F>,
    now: Micros,
    hash_seed: u64,
) -> Result<RecoveredKeys, Error> {
    let mut recovered = RecoveredKeys::new(hash_seed);
    for_each_record(store, now, |key, record, expires_at| {
        recovered.add(key, &record, expires_at);
    })?;
    for number in 0..u32::MAX {
        let Some(text) = store.get(now, &fence_key(number))? else {
            break;
        };
        if let Ok(fence) = serde_json::from_slice(&text) {
            // They were set together, so that none contradicts another.
            let _ = recovered.fences.set(fence);
        }
    }
    Ok(recovered)
}
