//! Persistence of the reputation of client addresses: a thread owns the store, so that the event
//! loop never waits for a read, write or sync of the disk.

use crate::background_thread::{unix_time, BackgroundThread};
use crate::host;
use crate::os_host::event_loop::EventLoopHandle;
use calloop::channel::{self, Event};
use cleatpulley_connection_admission::reputation_database::{ReputationDatabase, StoredReputation};
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Error, Options, Store};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Delay before a failed store is reopened.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before opening a store locked by another process is retried.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between maintenance of the store while there are no jobs.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum wait for the thread when the process ends.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Segment size of the store in bytes.
const SEGMENT_BYTES: u64 = 1 << 20;
/// Number of segments in the size limit of the store, in addition to the space for its addresses.
const BASE_SEGMENTS: u64 = 4;
/// Space per address in all segments, in bytes: earlier versions of its entry remain until
/// compaction.
const BYTES_PER_ADDRESS: u64 = 512;

/// Returns the options of a store for at most `max_addresses` addresses.
#[must_use]
pub fn options(max_addresses: usize, seed: u64) -> Options {
    let max_total_bytes = BASE_SEGMENTS * SEGMENT_BYTES + max_addresses as u64 * BYTES_PER_ADDRESS;
    Options {
        segment_bytes: SEGMENT_BYTES,
        max_total_bytes: Some(max_total_bytes),
        min_compressed_value_bytes: None,
        seed,
    }
}

/// Handle of the thread, which ends when this is dropped.
pub struct ReputationStorage(BackgroundThread<Vec<StoredReputation>>);

impl ReputationStorage {
    /// Starts the thread. Loaded entries are passed to
    /// [`Service::on_reputation_loaded`](crate::os_host::Service::on_reputation_loaded).
    ///
    /// # Errors
    /// If the system can't create the thread or the channel.
    pub fn start(
        handle: &EventLoopHandle,
        folder: PathBuf,
        max_addresses: usize,
    ) -> io::Result<Self> {
        let (entry_sender, entry_receiver) = channel::channel();
        handle
            .insert_source(entry_receiver, |message, (), service| {
                if let Event::Msg(entries) = message {
                    service.on_reputation_loaded(entries);
                }
            })
            .map_err(|error| io::Error::other(error.to_string()))?;
        let thread = BackgroundThread::spawn("reputation", move |jobs| {
            run(&folder, max_addresses, jobs, &entry_sender);
        })?;
        Ok(Self(thread))
    }
}

impl host::ReputationStorage for ReputationStorage {
    fn write(&self, entries: Vec<StoredReputation>) {
        self.0.send(entries);
    }

    fn release(&mut self) {
        self.0.release();
    }

    fn stop(mut self) {
        self.release();
        if self.0.wait(STOP_TIMEOUT).is_err() {
            tracing::warn!(
                "reputation: the store could not be closed in time; it recovers at the next start"
            );
        }
    }
}

/// Runs the thread until the sender of the jobs is dropped, then closes the store.
fn run(
    folder: &Path,
    max_addresses: usize,
    jobs: &Receiver<Vec<StoredReputation>>,
    entry_sender: &channel::Sender<Vec<StoredReputation>>,
) {
    let mut database: ReputationDatabase<OsFolder> = ReputationDatabase::new(max_addresses);
    let mut has_more_work = true;
    let mut open_at = Instant::now();
    loop {
        if !database.is_open() && Instant::now() >= open_at {
            open_at = open(&mut database, folder, max_addresses, entry_sender);
        }
        let wait = if !database.is_open() {
            open_at.saturating_duration_since(Instant::now())
        } else if has_more_work {
            Duration::ZERO
        } else {
            MAINTENANCE_INTERVAL
        };
        match jobs.recv_timeout(wait) {
            Ok(entries) => database.enqueue(entries),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return database.close(unix_time()),
        }
        has_more_work = database.flush(unix_time());
    }
}

/// Opens the store and sends its entries. Returns when to retry if the store is not open then.
fn open(
    database: &mut ReputationDatabase<OsFolder>,
    folder: &Path,
    max_addresses: usize,
    entry_sender: &channel::Sender<Vec<StoredReputation>>,
) -> Instant {
    let opened = OsFolder::new(folder, true)
        .map_err(Error::folder)
        .and_then(|folder| Store::open(folder, options(max_addresses, unix_time())));
    let interval = if matches!(opened, Err(Error::Locked)) {
        LOCK_RETRY_INTERVAL
    } else {
        REOPEN_INTERVAL
    };
    let open_at = Instant::now() + interval;
    let entries = database.open(opened, unix_time()).unwrap_or_default();
    if !entries.is_empty() {
        // The receiver is dropped only when the program ends.
        let _ = entry_sender.send(entries);
    }
    open_at
}
