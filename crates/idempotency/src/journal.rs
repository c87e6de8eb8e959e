//! Persistence of the records of keys in an embedded store: executes the write commands of a
//! [`KeyTable`](crate::key_table::KeyTable), and recovers its keys.
//!
//! One sync makes all earlier writes durable. The caller decides on which thread the journal
//! runs.

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

/// Prefix of the store's keys for fences, followed by the fence's index. Keys of requests are
/// longer.
const FENCE_PREFIX: &[u8] = b"fence";
/// Key of the write by which [`Journal::probe`] checks whether the store accepts writes.
const PROBE_KEY: &[u8] = b"probe";
/// Length of the expiry time before each record, in bytes.
const EXPIRY_BYTES: usize = 8;

/// A store with the records of keys and the fences.
pub struct Journal<F: FileSystem> {
    store: Store<F>,
    fences: FenceTable,
    /// Sequence number of the last write.
    written_sequence: u64,
    /// Sequence number of the last durable write.
    durable_sequence: u64,
}

/// A journal that was opened, with the content of its store.
pub struct OpenedJournal<F: FileSystem> {
    /// The opened journal.
    pub journal: Journal<F>,
    /// The keys and fences recovered from the store.
    pub recovered: RecoveredKeys,
    /// The store's report on the recovery of its files.
    pub recovery_report: RecoveryReport,
}

impl<F: FileSystem> Journal<F> {
    /// Opens the store and recovers its keys.
    ///
    /// # Errors
    /// If the store can't be opened or read.
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

    /// Executes a command that writes or erases a record. Ignores all other commands, which the
    /// caller has to execute.
    ///
    /// # Errors
    /// If the store can't be written; the command then counts as not executed.
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
            // Need not be durable: at most an intent reappears after a crash, and a recovered
            // intent is never run.
            KeyCommand::Erase { key } => {
                self.store.write(Batch::default().delete(key.as_bytes()))?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns whether there are writes that are not durable yet.
    #[must_use]
    pub fn has_unsynced_writes(&self) -> bool {
        self.written_sequence > self.durable_sequence
    }

    /// Makes all writes durable. Returns the sequence number of the last durable write.
    ///
    /// # Errors
    /// If the store can't be synced. It then accepts no more writes, and the writes that were not
    /// durable yet may be lost.
    pub fn sync(&mut self) -> Result<u64, Error> {
        if self.has_unsynced_writes() {
            if !is_bug_injected(InjectedBug::SyncSkipped) {
                self.store.sync()?;
            }
            self.durable_sequence = self.written_sequence;
        }
        Ok(self.written_sequence)
    }

    /// Returns the outcome of a key, if the store has it.
    ///
    /// # Errors
    /// If the store is damaged or can't be read.
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

    /// Sets a fence and makes it durable.
    ///
    /// # Errors
    /// If a later move of its keys is known, or the store can't be written.
    pub fn set_fence(&mut self, fence: Fence) -> Result<(), TransferError> {
        let mut fences = self.fences.clone();
        fences.set(fence)?;
        let old_count = self.fences.as_slice().len();
        let mut batch = Batch::default();
        for index in 0..old_count.max(fences.as_slice().len()) {
            let key = fence_key(index as u32);
            match fences.as_slice().get(index) {
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

    /// Returns the fences in the store.
    #[must_use]
    pub fn fences(&self) -> &FenceTable {
        &self.fences
    }

    /// Checks whether the store accepts writes and syncs.
    ///
    /// # Errors
    /// If it does not.
    pub fn probe(&mut self) -> Result<(), Error> {
        self.store.write(Batch::default().delete(PROBE_KEY))?;
        self.store.sync()
    }

    /// Runs a step of the store's maintenance, which processes about `budget` bytes.
    ///
    /// # Errors
    /// If the step fails; no data is lost.
    pub fn maintain(&mut self, now: Micros, budget: usize) -> Result<MaintenanceStatus, Error> {
        self.store.run_maintenance_step(now, budget)
    }

    /// Returns the store's statistics.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// Returns the underlying store.
    pub fn store_mut(&mut self) -> &mut Store<F> {
        &mut self.store
    }

    /// Closes the store.
    ///
    /// # Errors
    /// If its last writes can't be made durable.
    pub fn close(self) -> Result<(), Error> {
        self.store.close()
    }
}

fn fence_key(index: u32) -> Vec<u8> {
    [FENCE_PREFIX, &index.to_be_bytes()].concat()
}

/// Encodes the value that is stored for a key: its expiry time and its record.
pub(crate) fn encode_value(expires_at: Micros, record: &KeyRecord) -> Vec<u8> {
    [&expires_at.to_be_bytes()[..], &record.encode()].concat()
}

fn decode_value(value: &[u8]) -> Option<(Micros, KeyRecord)> {
    let (expires_at, record) = value.split_first_chunk::<EXPIRY_BYTES>()?;
    Some((
        Micros::from_be_bytes(*expires_at),
        KeyRecord::decode(record)?,
    ))
}

/// Calls `visit` for each key of a request that has not expired, the oldest write first.
///
/// # Errors
/// If the store can't be read.
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
/// If the store can't be read.
pub fn recover<F: FileSystem>(
    store: &Store<F>,
    now: Micros,
    hash_seed: u64,
) -> Result<RecoveredKeys, Error> {
    let mut recovered = RecoveredKeys::new(hash_seed);
    for_each_record(store, now, |key, record, expires_at| {
        recovered.add(key, &record, expires_at);
    })?;
    for index in 0..u32::MAX {
        let Some(text) = store.get(now, &fence_key(index))? else {
            break;
        };
        if let Ok(fence) = serde_json::from_slice(&text) {
            // The fences were persisted in one batch, so none of them conflicts with another.
            let _ = recovered.fences.set(fence);
        }
    }
    Ok(recovered)
}
