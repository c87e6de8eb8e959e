//! Storage of a matcher's reputation database in the simulation, on a disk that outlives its
//! processes.

use crate::host::{Event, StoreLock, VirtualHost};
use cleatpulley_connection_admission::reputation_database::{ReputationDatabase, StoredReputation};
use cleatpulley_log_store::simulated_folder::SimulatedFolder;
use cleatpulley_log_store::{Error, Options, Store};
use cleatpulley_policy::interface::Micros;
use cleatpulley_server::host::ReputationStorage;

/// Delay before retrying to open a store that another process holds locked.
const LOCK_RETRY_DELAY: Micros = 50_000;
/// Delay before retrying to open a store that failed.
const FAILURE_RETRY_DELAY: Micros = 500_000;

/// Reputation worker of a matcher's process.
pub struct ReputationWorker {
    lock: StoreLock,
    incarnation: u64,
    disk: SimulatedFolder,
    database: Option<ReputationDatabase<SimulatedFolder>>,
    scheduled: bool,
    /// Loaded entries that the matcher has not received yet.
    pub loaded: Vec<StoredReputation>,
}

impl ReputationWorker {
    /// Creates the worker of a process on this disk, which may hold data of earlier processes.
    #[must_use]
    pub fn new(disk: SimulatedFolder, lock: StoreLock, incarnation: u64) -> Self {
        Self {
            lock,
            incarnation,
            disk,
            database: None,
            scheduled: false,
            loaded: Vec::new(),
        }
    }

    /// Releases the lock of a process that has ended, as the operating system does.
    pub fn unlock(&self) {
        if self.lock.get() == Some(self.incarnation) {
            self.lock.set(None);
        }
    }

    /// Does the pending work; returns when it wants to be called again.
    pub fn run_jobs(&mut self, now: Micros) -> Option<Micros> {
        self.scheduled = false;
        let database = self.database.as_mut()?;
        if !database.is_open() {
            let opened = if self
                .lock
                .get()
                .is_some_and(|incarnation| incarnation != self.incarnation)
            {
                Err(Error::Locked)
            } else {
                self.lock.set(Some(self.incarnation));
                self.disk.release_lock();
                Store::open(
                    self.disk.clone(),
                    Options {
                        segment_bytes: 4_096,
                        ..Options::default()
                    },
                )
            };
            let locked = matches!(opened, Err(Error::Locked));
            self.loaded
                .extend(database.open(opened, now).unwrap_or_default());
            if !database.is_open() {
                self.scheduled = true;
                return Some(
                    now + if locked {
                        LOCK_RETRY_DELAY
                    } else {
                        FAILURE_RETRY_DELAY
                    },
                );
            }
        }
        database.flush(now);
        None
    }

    fn close(&mut self, now: Micros) {
        if let Some(mut database) = self.database.take() {
            database.close(now);
            self.unlock();
        }
    }
}

/// Handle by which a matcher uses its reputation worker.
pub struct VirtualReputationStorage {
    host: VirtualHost,
}

impl VirtualReputationStorage {
    /// Opens the storage and schedules the worker.
    #[must_use]
    pub fn new(host: &VirtualHost, max_entries: usize) -> Self {
        host.reputation.borrow_mut().database = Some(ReputationDatabase::new(max_entries));
        let new = Self { host: host.clone() };
        new.schedule();
        new
    }

    fn schedule(&self) {
        if !std::mem::replace(&mut self.host.reputation.borrow_mut().scheduled, true) {
            let mut net = self.host.net.borrow_mut();
            let at = net.now + 2_000;
            net.queue.push(
                at,
                Event::ReputationStorage(self.host.matcher, self.host.incarnation),
            );
        }
    }
}

impl ReputationStorage for VirtualReputationStorage {
    fn write(&self, entries: Vec<StoredReputation>) {
        if let Some(database) = &mut self.host.reputation.borrow_mut().database {
            database.enqueue(entries);
        }
        self.schedule();
    }

    fn release(&mut self) {
        let now = self.host.net.borrow().now;
        self.host.reputation.borrow_mut().close(now);
    }

    fn stop(mut self) {
        self.release();
    }
}
