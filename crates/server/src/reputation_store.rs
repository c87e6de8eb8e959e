//! Earned standing across restarts: a thread that owns the book, so that no read, write or sync of the disk is waited for
//! by the event loop, and what the matcher does with it.

use super::host::{self, Host, ReputationStorage as _};
use super::os_host::EventLoopHandle;
use super::Server;
use calloop::channel::{self, Event};
use cleatpulley_connection_admission::book::{Book, Entry};
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Error, Options, Store};
use cleatpulley_policy::interface::Micros;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What was earned is written so often: a crash takes no more than that.
pub(super) const WRITES: Micros = 1_000_000;
/// A store that failed, or that another process has open, is tried again after this time.
const RETRY: Duration = Duration::from_millis(500);
const LOCKED: Duration = Duration::from_millis(50);
/// Without work the store is looked after so often.
const REST: Duration = Duration::from_millis(500);
/// At the end what is not written yet is waited for so long.
const FAREWELL: Duration = Duration::from_millis(500);
/// Segments of the store, and bytes that an address may take in all of them: what was written before waits there for
/// compaction.
const SEGMENT: u64 = 1 << 20;
const OF_ADDRESS: u64 = 512;

/// How the store of so many addresses is set up.
#[must_use]
pub fn options(most: usize, seed: u64) -> Options {
    let max_bytes = Some(4 * SEGMENT + most as u64 * OF_ADDRESS);
    Options {
        segment_bytes: SEGMENT,
        max_total_bytes: max_bytes,
        min_compressed_value_bytes: None,
        seed,
    }
}

impl<H: Host> Server<H> {
    /// Opens the book of earned standing, where one is kept and is not open.
    pub(super) fn open_standings(&mut self) {
        let Some((folder, most)) = self
            .standings_in
            .clone()
            .filter(|_| self.standings.is_none())
        else {
            return;
        };
        match self.world.open_reputation_storage(folder, most) {
            Ok(standings) => self.standings = Some(standings),
            Err(e) => tracing::error!("standing: nothing can be kept: {e}"),
        }
    }

    /// Lets go of it, for the process that takes this one's place.
    pub(super) fn release_standings(&mut self, now: Micros) {
        self.write_standings(now);
        if let Some(mut standings) = self.standings.take() {
            standings.release();
        }
    }

    /// Has what was earned since the last time written.
    pub(super) fn write_standings(&mut self, now: Micros) {
        self.standings_at = now + WRITES;
        let Some(admission) = self.front.admission_mut() else {
            return;
        };
        if let Some(standings) = &self.standings {
            let moved = admission.moved(now);
            if !moved.is_empty() {
                standings.write(moved);
            }
        }
    }

    /// The book of earned standing tells what it held.
    pub fn on_reputation_loaded(&mut self, entries: &[Entry]) {
        let now = self.now();
        if let Some(admission) = self.front.admission_mut() {
            admission.remember(now, entries);
        }
    }
}

/// Access to the thread; it ends when this is dropped.
pub struct ReputationStorage {
    jobs: Option<Sender<Vec<Entry>>>,
    over: Receiver<()>,
}

impl ReputationStorage {
    /// Starts it; what the book holds goes to [`Server::remembered`].
    ///
    /// # Errors
    /// Where the system gives no thread or channel.
    pub fn start(handle: &EventLoopHandle, folder: PathBuf, most: usize) -> io::Result<Self> {
        let (entries, heard) = channel::channel();
        handle
            .insert_source(heard, |event, (), node| {
                if let Event::Msg(entries) = event {
                    node.on_reputation_loaded(entries);
                }
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        let (jobs, taken) = mpsc::channel();
        let (ended, over) = mpsc::channel();
        std::thread::Builder::new()
            .name("standing".to_owned())
            .spawn(move || {
                run(&folder, most, &taken, &entries);
                // Nobody may wait for it any more.
                let _ = ended.send(());
            })?;
        Ok(Self {
            jobs: Some(jobs),
            over,
        })
    }
}

impl host::ReputationStorage for ReputationStorage {
    fn write(&self, entries: Vec<Entry>) {
        if let Some(jobs) = &self.jobs {
            // A thread that is gone has told why.
            let _ = jobs.send(entries);
        }
    }

    fn release(&mut self) {
        self.jobs = None;
    }

    fn stop(mut self) {
        self.release();
        if self.over.recv_timeout(FAREWELL).is_err() {
            tracing::warn!(
                "standing: the store could not be closed in time; it recovers at the next start"
            );
        }
    }
}

fn run(path: &Path, most: usize, jobs: &Receiver<Vec<Entry>>, told: &channel::Sender<Vec<Entry>>) {
    let mut book: Book<OsFolder> = Book::new(most);
    let (mut more, mut open_at) = (true, Instant::now());
    loop {
        if !book.is_open() && Instant::now() >= open_at {
            let folder = OsFolder::new(path, true).map_err(Error::folder);
            let opened = folder.and_then(|folder| Store::open(folder, options(most, now())));
            open_at = Instant::now()
                + if matches!(opened, Err(Error::Locked)) {
                    LOCKED
                } else {
                    RETRY
                };
            if let Some(entries) = book
                .open(opened, now())
                .filter(|entries| !entries.is_empty())
            {
                // The event loop is gone only where the program ends.
                let _ = told.send(entries);
            }
        }
        let rest = match book.is_open() {
            true if more => Duration::ZERO,
            true => REST,
            false => open_at.saturating_duration_since(Instant::now()),
        };
        match jobs.recv_timeout(rest) {
            Ok(entries) => book.add(entries),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return book.close(now()),
        }
        more = book.work(now());
    }
}

fn now() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as Micros)
}
