//! The thread that owns the journal.

use super::result_store::{
    PersistenceJob, ResultStore, LOCK_RETRY_INTERVAL, MAINTENANCE_BYTES, MAINTENANCE_INTERVAL,
    REOPEN_INTERVAL,
};
use crate::background_thread::unix_time;
use calloop::channel;
use cleatpulley_dispatcher::Event;
use cleatpulley_idempotency::journal::Journal;
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Error, Options};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// The state of the thread.
pub(super) struct Worker {
    folder: PathBuf,
    seed: u64,
    event_sender: channel::Sender<Event>,
    store: ResultStore<OsFolder>,
    /// Events not sent yet.
    events: Vec<Event>,
    /// Time at which the journal is opened next, while it is not open.
    open_at: Instant,
    /// The last maintenance step has left more to do.
    has_more_maintenance: bool,
}

impl Worker {
    pub(super) fn new(folder: PathBuf, seed: u64, event_sender: channel::Sender<Event>) -> Self {
        Self {
            folder,
            seed,
            event_sender,
            store: ResultStore::default(),
            events: Vec::new(),
            open_at: Instant::now(),
            has_more_maintenance: true,
        }
    }

    /// Executes jobs until their sender is dropped, then closes the journal.
    pub(super) fn run(mut self, jobs: &Receiver<PersistenceJob>) {
        loop {
            self.open_when_due();
            let wait = self.wait_time();
            self.send_events();
            match jobs.recv_timeout(wait) {
                Ok(job) => self.execute(job, jobs),
                // Maintenance runs in small steps while there are no jobs.
                Err(RecvTimeoutError::Timeout) => self.maintain(),
                Err(RecvTimeoutError::Disconnected) => return self.store.close(),
            }
        }
    }

    fn open_when_due(&mut self) {
        if self.store.is_open() || Instant::now() < self.open_at {
            return;
        }
        let options = Options {
            seed: self.seed,
            ..Options::default()
        };
        let opened = OsFolder::new(&self.folder, true)
            .map_err(Error::folder)
            .and_then(|folder| Journal::open(folder, options, unix_time()));
        self.store.open(opened, &mut self.events);
        let interval = if self.store.is_locked() {
            LOCK_RETRY_INTERVAL
        } else {
            REOPEN_INTERVAL
        };
        self.open_at = Instant::now() + interval;
    }

    /// Returns the maximum wait for a job.
    fn wait_time(&self) -> Duration {
        if !self.store.is_open() {
            self.open_at.saturating_duration_since(Instant::now())
        } else if self.has_more_maintenance {
            Duration::ZERO
        } else {
            MAINTENANCE_INTERVAL
        }
    }

    /// Executes a job and all queued ones with one sync.
    fn execute(&mut self, first_job: PersistenceJob, jobs: &Receiver<PersistenceJob>) {
        let waiting_jobs = std::iter::from_fn(|| jobs.try_recv().ok());
        let mut all_jobs = std::iter::once(first_job).chain(waiting_jobs);
        self.store.execute(&mut all_jobs, &mut self.events);
        // Loaded results are sent before the sync: on a slow disk they would accumulate behind it.
        self.send_events();
        self.store.sync(&mut self.events);
        self.has_more_maintenance = false;
    }

    fn maintain(&mut self) {
        self.has_more_maintenance =
            self.store
                .maintain(unix_time(), MAINTENANCE_BYTES, &mut self.events);
    }

    fn send_events(&mut self) {
        for event in self.events.drain(..) {
            // The receiver is dropped only when the program ends.
            let _ = self.event_sender.send(event);
        }
    }
}
