//! Operations on the journal of idempotency keys, independent of file system and thread.

use cleatpulley_dispatcher::key_table::KeyCommand;
use cleatpulley_dispatcher::Event;
use cleatpulley_idempotency::journal::{Journal, OpenedJournal};
use cleatpulley_idempotency::record::{KeyOutcome, KeyRecord, ScopedKey};
use cleatpulley_log_store::files::FileSystem;
use cleatpulley_log_store::{Error, MaintenanceStatus};
use cleatpulley_policy::interface::{Micros, RequestId};
use std::time::Duration;

/// Delay before a failed journal is reopened.
pub(super) const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before opening a journal locked by another process is retried.
pub(super) const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Number of attempts after which a journal locked by another process counts as failed.
const MAX_LOCK_ATTEMPTS: u32 = 200;
/// Maintenance budget in bytes between two checks for new jobs.
pub(super) const MAINTENANCE_BYTES: usize = 65_536;
/// Interval between maintenance of the journal while there are no jobs.
pub(super) const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);

/// A job of the persistence.
#[derive(Debug)]
pub enum PersistenceJob {
    /// Write a change of the key table.
    Write(KeyCommand),
    /// Read the cached result of a key at a time, for a request, with the load number of the
    /// dispatcher.
    LoadResult(Micros, RequestId, u64, ScopedKey),
}

/// The journal and its state: it is opened, written, synced and read here, and each outcome is
/// reported as an event. After a failure the owner reopens it.
pub struct ResultStore<F: FileSystem> {
    /// `None` while it is not open.
    journal: Option<Journal<F>>,
    /// The recovered keys have been reported.
    is_recovered: bool,
    /// No failure has been reported since the journal was last available.
    is_available: bool,
    /// Number of attempts that found the journal locked since it was last open here.
    lock_attempts: u32,
    /// Number of results written since the start.
    result_count: u64,
}

impl<F: FileSystem> Default for ResultStore<F> {
    fn default() -> Self {
        Self {
            journal: None,
            is_recovered: false,
            is_available: true,
            lock_attempts: 0,
            result_count: 0,
        }
    }
}

impl<F: FileSystem> ResultStore<F> {
    /// Returns true if the journal was locked by another process at the last attempt.
    #[must_use]
    pub fn is_locked(&self) -> bool {
        self.lock_attempts > 0
    }

    /// Returns true while the journal is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.journal.is_some()
    }

    /// Handles the result of opening the journal. The first time, the recovered keys are reported.
    pub fn open(&mut self, opened: Result<OpenedJournal<F>, Error>, events: &mut Vec<Event>) {
        match opened {
            Ok(opened) => self.on_opened(opened, events),
            Err(Error::Locked) if self.lock_attempts < MAX_LOCK_ATTEMPTS => self.on_locked(),
            Err(error) => self.fail(&error, events),
        }
    }

    /// Handles a locked journal: a predecessor keeps it open until its last run has ended. Until
    /// then no key is known, and requests with a key wait.
    fn on_locked(&mut self) {
        if self.lock_attempts == 0 {
            tracing::info!("results: another process has the store open; waiting for it");
        }
        self.lock_attempts += 1;
    }

    fn on_opened(&mut self, opened: OpenedJournal<F>, events: &mut Vec<Event>) {
        let OpenedJournal {
            mut journal,
            recovered,
            recovery_report: report,
        } = opened;
        if !self.is_recovered {
            tracing::info!(
                "results: {} keys recovered, {} of them with an unknown outcome",
                recovered.len(),
                recovered.unknown
            );
            if !report.damaged_ranges.is_empty() || !report.quarantined.is_empty() {
                tracing::error!(%report, "results: the store was damaged");
            }
            self.is_recovered = true;
            events.push(Event::KeysRecovered(Box::new(recovered)));
        }
        if !self.is_available {
            if let Err(error) = journal.probe() {
                return self.fail(&error, events);
            }
            self.is_available = true;
            tracing::info!("results: the store takes writes again");
            events.push(Event::PersistenceAvailable(true));
        }
        self.lock_attempts = 0;
        self.journal = Some(journal);
    }

    /// Closes the journal after a failure, and reports the first failure since it was available.
    fn fail(&mut self, error: &Error, events: &mut Vec<Event>) {
        self.journal = None;
        if std::mem::replace(&mut self.is_available, false) {
            tracing::error!(%error, "results: nothing can be kept for now");
            events.push(Event::PersistenceAvailable(false));
        }
    }

    /// Executes all jobs. Writes are durable only after a [`sync`](Self::sync); loaded results are
    /// reported before it. While the journal is not open, nothing is written and no result is
    /// found.
    pub fn execute(
        &mut self,
        jobs: &mut dyn Iterator<Item = PersistenceJob>,
        events: &mut Vec<Event>,
    ) {
        for job in jobs {
            match job {
                PersistenceJob::Write(command) => self.write(&command, events),
                PersistenceJob::LoadResult(now, id, load_number, key) => {
                    let outcome = self.load_outcome(now, &key);
                    events.push(Event::CachedResultLoaded {
                        id,
                        load_number,
                        outcome,
                    });
                }
            }
        }
    }

    fn write(&mut self, command: &KeyCommand, events: &mut Vec<Event>) {
        let Some(journal) = &mut self.journal else {
            return;
        };
        self.result_count += u64::from(has_result(command));
        if let Err(error) = journal.write(command) {
            self.fail(&error, events);
        }
    }

    fn load_outcome(&mut self, now: Micros, key: &ScopedKey) -> Option<KeyOutcome> {
        let journal = self.journal.as_mut()?;
        journal.load_outcome(now, key).unwrap_or_else(|error| {
            tracing::error!("results: what was kept of {key:?} can't be read: {error}");
            None
        })
    }

    /// Makes all writes durable with one sync.
    pub fn sync(&mut self, events: &mut Vec<Event>) {
        let Some(journal) = &mut self.journal else {
            return;
        };
        if !journal.has_unsynced_writes() {
            return;
        }
        match journal.sync() {
            Ok(sequence) => events.push(Event::KeysDurable(sequence)),
            Err(error) => self.fail(&error, events),
        }
    }

    /// Performs about `budget` bytes of maintenance; returns true if there is more to do.
    pub fn maintain(&mut self, now: Micros, budget: usize, events: &mut Vec<Event>) -> bool {
        let Some(journal) = &mut self.journal else {
            return false;
        };
        match journal.maintain(now, budget) {
            Ok(status) => status == MaintenanceStatus::MoreToDo,
            Err(error) => {
                tracing::warn!(%error, "results: maintenance of the store failed");
                if journal.store_mut().write_fault().is_some() {
                    self.fail(&error, events);
                }
                false
            }
        }
    }

    /// Closes the journal cleanly, so that the next start need not recover it.
    pub fn close(&mut self) {
        let Some(journal) = self.journal.take() else {
            return;
        };
        let stats = journal.stats();
        tracing::info!(
            keys = stats.keys,
            bytes = stats.bytes,
            "results: {} kept since the start with {} syncs",
            self.result_count,
            stats.syncs,
        );
        if let Err(error) = journal.close() {
            tracing::error!(%error, "results: failed to close the store");
        }
    }
}

/// Returns true if the command writes the result of a completed run.
fn has_result(command: &KeyCommand) -> bool {
    matches!(
        command,
        KeyCommand::Write {
            record: KeyRecord::Completed { .. },
            ..
        }
    )
}
