//! Persistence without a thread, on files that need not reach the disk.

use super::result_store::{
    PersistenceJob, ResultStore, LOCK_RETRY_INTERVAL, MAINTENANCE_BYTES, MAINTENANCE_INTERVAL,
    REOPEN_INTERVAL,
};
use cleatpulley_dispatcher::Event;
use cleatpulley_idempotency::journal::Journal;
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Error, Options};
use cleatpulley_policy::interface::Micros;
use std::path::{Path, PathBuf};

/// Segment size in bytes: small, since the files count as memory and dead entries should be removed
/// soon.
const SEGMENT_BYTES: u64 = 1_048_576;

/// A persistence that executes each job immediately.
pub struct InlinePersistence {
    folder: PathBuf,
    seed: u64,
    store: ResultStore<OsFolder>,
    /// Events not returned yet.
    events: Vec<Event>,
    /// Time at which the journal is opened or maintained next.
    next_deadline: Option<Micros>,
    /// The journal has been released to another process.
    is_released: bool,
}

impl InlinePersistence {
    pub(super) fn new(folder: PathBuf, seed: u64) -> Self {
        Self {
            folder,
            seed,
            store: ResultStore::default(),
            events: Vec::new(),
            next_deadline: Some(0),
            is_released: false,
        }
    }

    pub(super) fn folder(&self) -> &Path {
        &self.folder
    }

    pub(super) fn next_deadline(&self) -> Option<Micros> {
        self.next_deadline
    }

    pub(super) fn execute(&mut self, job: PersistenceJob) {
        if self.is_released {
            return;
        }
        self.store
            .execute(&mut std::iter::once(job), &mut self.events);
        self.store.sync(&mut self.events);
        self.next_deadline = self.next_deadline.or(Some(0));
    }

    pub(super) fn poll(&mut self, now: Micros, events: &mut Vec<Event>) {
        let is_due = self.next_deadline.is_some_and(|at| now >= at);
        if is_due && !self.is_released {
            if self.store.is_open() {
                self.maintain(now);
            } else {
                self.open(now);
            }
        }
        events.append(&mut self.events);
    }

    fn maintain(&mut self, now: Micros) {
        let has_more = self
            .store
            .maintain(now, MAINTENANCE_BYTES, &mut self.events);
        let interval = MAINTENANCE_INTERVAL.as_micros() as Micros;
        self.next_deadline = has_more.then_some(now + interval);
    }

    fn open(&mut self, now: Micros) {
        let options = Options {
            segment_bytes: SEGMENT_BYTES,
            seed: self.seed,
            ..Options::default()
        };
        let opened = OsFolder::new(&self.folder, true)
            .map(OsFolder::without_sync)
            .map_err(Error::folder)
            .and_then(|folder| Journal::open(folder, options, now));
        self.store.open(opened, &mut self.events);
        let retry_interval = if self.store.is_open() {
            None
        } else if self.store.is_locked() {
            Some(LOCK_RETRY_INTERVAL)
        } else {
            Some(REOPEN_INTERVAL)
        };
        self.next_deadline = retry_interval.map(|interval| now + interval.as_micros() as Micros);
    }

    pub(super) fn release(&mut self) {
        self.store.close();
        self.next_deadline = None;
        self.is_released = true;
    }
}
