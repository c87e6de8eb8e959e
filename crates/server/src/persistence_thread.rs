//! The keeper of results: a thread that owns the journal, so that no write, sync or read of the disk is waited for by
//! the event loop. One sync covers all that came while the one before it ran.

use super::host;
use super::os_host::EventLoopHandle;
use super::Micros;
use calloop::channel::{self, Event};
use cleatpulley_dispatcher::key_table::KeyCommand;
use cleatpulley_dispatcher::Event as DispatcherEvent;
use cleatpulley_idempotency::journal::{Journal, OpenedJournal};
use cleatpulley_idempotency::record::{KeyRecord, ScopedKey};
use cleatpulley_log_store::files::{FileSystem, OsFolder};
use cleatpulley_log_store::{Error, MaintenanceStatus, Options};
use cleatpulley_policy::interface::RequestId;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Without work the keeper looks after the store so often.
const REST: Duration = Duration::from_millis(50);
/// Bytes of maintenance between two looks at what there is to write.
const PIECE: usize = 65_536;
/// A store that failed is tried again after this time.
const RETRY: Duration = Duration::from_millis(500);
/// One that another process has open is tried again after this time, and so often before that counts as a failure.
const LOCKED: Duration = Duration::from_millis(50);
const LOCKED_MOST: u32 = 200;
/// Bytes of a segment where the files count as memory: what is dead goes soon.
const PASSING: u64 = 1_048_576;
/// At the end what is not written yet is waited for so long.
const FAREWELL: Duration = Duration::from_millis(500);

/// What the keeper is asked for.
#[derive(Debug)]
pub enum PersistenceJob {
    /// To write what a history decided.
    Write(KeyCommand),
    /// To read how a key ended, for a request and under a number of the exchange's.
    Recall(Micros, RequestId, u64, ScopedKey),
}

/// What the keeper does, on whatever files and thread: it opens the store, writes, syncs and reads, and says what came
/// of it. After a failure it is to be opened again.
pub struct ResultStore<F: FileSystem> {
    journal: Option<Journal<F>>,
    recovered: bool,
    well: bool,
    /// How often another process had the store open since it was last open here.
    locked: u32,
    /// Results written since the start.
    results: u64,
}

impl<F: FileSystem> Default for ResultStore<F> {
    fn default() -> Self {
        Self {
            journal: None,
            recovered: false,
            well: true,
            locked: 0,
            results: 0,
        }
    }
}

impl<F: FileSystem> ResultStore<F> {
    /// Another process has the store open, as far as is known.
    #[must_use]
    pub fn is_locked(&self) -> bool {
        self.locked > 0
    }

    /// The store is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.journal.is_some()
    }

    /// Takes up a store that was opened, or not. What the first one holds is told.
    pub fn open(
        &mut self,
        opened: Result<OpenedJournal<F>, Error>,
        facts: &mut Vec<DispatcherEvent>,
    ) {
        let OpenedJournal {
            mut journal,
            recovered,
            found,
        } = match opened {
            Ok(opened) => opened,
            // The process whose place this one takes lets go of it once its last run has ended. Until then nothing is
            // known of any key, and requests with keys wait.
            Err(Error::Locked) if self.locked < LOCKED_MOST => {
                if self.locked == 0 {
                    tracing::info!("results: another process has the store open; waits for it");
                }
                self.locked += 1;
                return;
            }
            Err(e) => return self.fail(&e, facts),
        };
        if !self.recovered {
            tracing::info!(
                "results: {} keys, {} of them may have run without an end known",
                recovered.len(),
                recovered.unknown
            );
            if !found.damaged_ranges.is_empty() || !found.quarantined.is_empty() {
                tracing::error!("results: the store was damaged: {found}");
            }
            self.recovered = true;
            facts.push(DispatcherEvent::KeysRecovered(Box::new(recovered)));
        }
        if !self.well {
            if let Err(e) = journal.probe() {
                return self.fail(&e, facts);
            }
            self.well = true;
            tracing::info!("results: the store takes writes again");
            facts.push(DispatcherEvent::PersistenceAvailable(true));
        }
        self.locked = 0;
        self.journal = Some(journal);
    }

    /// Says that nothing can be kept for now; once.
    fn fail(&mut self, e: &Error, facts: &mut Vec<DispatcherEvent>) {
        self.journal = None;
        if std::mem::replace(&mut self.well, false) {
            tracing::error!("results: nothing can be kept for now: {e}");
            facts.push(DispatcherEvent::PersistenceAvailable(false));
        }
    }

    /// Does all jobs; what they wrote is durable only after a [`sync`](Self::sync), and what they read is told before
    /// it. While the store is not open nothing is written, and nothing can be read.
    pub fn work(
        &mut self,
        jobs: &mut dyn Iterator<Item = PersistenceJob>,
        facts: &mut Vec<DispatcherEvent>,
    ) {
        for job in jobs {
            match (job, &mut self.journal) {
                (PersistenceJob::Write(effect), Some(journal)) => {
                    self.results += u64::from(ends(&effect));
                    if let Err(e) = journal.write(&effect) {
                        self.fail(&e, facts);
                    }
                }
                (PersistenceJob::Write(_), None) => {}
                (PersistenceJob::Recall(at, id, number, key), Some(journal)) => {
                    let outcome = journal.load_outcome(at, &key).unwrap_or_else(|e| {
                        tracing::error!("results: what was kept of {key:?} can't be read: {e}");
                        None
                    });
                    facts.push(DispatcherEvent::CachedResultLoaded {
                        id,
                        number,
                        outcome,
                    });
                }
                (PersistenceJob::Recall(_, id, number, _), None) => {
                    facts.push(DispatcherEvent::CachedResultLoaded {
                        id,
                        number,
                        outcome: None,
                    });
                }
            }
        }
    }

    /// Makes what was written durable with one sync.
    pub fn sync(&mut self, facts: &mut Vec<DispatcherEvent>) {
        let Some(journal) = self
            .journal
            .as_mut()
            .filter(|journal| journal.has_unsynced_writes())
        else {
            return;
        };
        match journal.sync() {
            Ok(ticket) => facts.push(DispatcherEvent::KeysDurable(ticket)),
            Err(e) => self.fail(&e, facts),
        }
    }

    /// Does a piece of maintenance of about so many bytes; true where there is more to do.
    pub fn maintain(
        &mut self,
        now: Micros,
        budget: usize,
        facts: &mut Vec<DispatcherEvent>,
    ) -> bool {
        let Some(journal) = &mut self.journal else {
            return false;
        };
        match journal.maintain(now, budget) {
            Ok(work) => work == MaintenanceStatus::MoreToDo,
            Err(e) => {
                tracing::warn!("results: maintenance of the store failed: {e}");
                if journal.store_mut().write_fault().is_some() {
                    self.fail(&e, facts);
                }
                false
            }
        }
    }

    /// Closes the store well.
    pub fn close(&mut self) {
        let Some(journal) = self.journal.take() else {
            return;
        };
        let stats = journal.stats();
        tracing::info!(
            "results: {} kept since the start with {} syncs; {} keys in {} bytes",
            self.results,
            stats.syncs,
            stats.keys,
            stats.bytes
        );
        if let Err(e) = journal.close() {
            tracing::error!("results: the store could not be closed well: {e}");
        }
    }
}

fn ends(effect: &KeyCommand) -> bool {
    matches!(
        effect,
        KeyCommand::Write {
            record: KeyRecord::Completed { .. },
            ..
        }
    )
}

/// Access to the keeper; it ends when this is dropped.
pub enum PersistenceThread {
    /// One with a thread of its own.
    Lasting {
        /// None once it was released.
        jobs: Option<Sender<PersistenceJob>>,
        /// It has ended.
        over: Receiver<()>,
    },
    /// One whose files need not reach the disk, so that nothing it does is waited for.
    InlinePersistence(Box<InlinePersistence>),
}

impl PersistenceThread {
    /// One that does all it is asked for at once, on files that outlive the process and not the host. What is told of it
    /// comes with its turns.
    #[must_use]
    pub fn at_once(folder: PathBuf, seed: u64) -> Self {
        let core = ResultStore::default();
        let passing = InlinePersistence {
            folder,
            seed,
            core,
            facts: Vec::new(),
            next: Some(0),
            released: false,
        };
        Self::InlinePersistence(Box::new(passing))
    }

    /// Starts it. What it has to say goes to [`Server::kept`](super::Node::kept): first what the store holds, which may
    /// take a while; until then nothing is to be kept.
    ///
    /// # Errors
    /// Where the system gives no thread or channel.
    pub fn start(handle: &EventLoopHandle, folder: PathBuf, seed: u64) -> io::Result<Self> {
        let (facts, heard) = channel::channel();
        handle
            .insert_source(heard, |event, (), node| {
                if let Event::Msg(fact) = event {
                    node.on_persistence_event(fact);
                }
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        let (jobs, taken) = mpsc::channel();
        let (ended, over) = mpsc::channel();
        let keeper = Thread {
            folder,
            seed,
            jobs: taken,
            facts,
            core: ResultStore::default(),
        };
        std::thread::Builder::new()
            .name("keeper".to_owned())
            .spawn(move || {
                keeper.run();
                // Nobody may wait for it any more.
                let _ = ended.send(());
            })?;
        Ok(Self::Lasting {
            jobs: Some(jobs),
            over,
        })
    }

    fn ask(&mut self, job: PersistenceJob) {
        match self {
            Self::Lasting {
                jobs: Some(jobs), ..
            } => {
                // A keeper that is gone has said so: nothing is admitted then.
                let _ = jobs.send(job);
            }
            Self::Lasting { jobs: None, .. } => {}
            Self::InlinePersistence(passing) => passing.ask(job),
        }
    }
}

impl host::ResultPersistence for PersistenceThread {
    fn write(&mut self, effect: KeyCommand) {
        self.ask(PersistenceJob::Write(effect));
    }

    fn load_result(&mut self, now: Micros, id: RequestId, number: u64, key: ScopedKey) {
        self.ask(PersistenceJob::Recall(now, id, number, key));
    }

    fn release(&mut self) {
        match self {
            Self::Lasting { jobs, .. } => *jobs = None,
            Self::InlinePersistence(passing) => passing.release(),
        }
    }

    fn stop(mut self) {
        self.release();
        if let Self::Lasting { over, .. } = self {
            if over.recv_timeout(FAREWELL).is_err() {
                tracing::warn!(
                    "results: the store could not be closed in time; it recovers at the next start"
                );
            }
        }
    }

    fn discard(self) {
        let folder = match &self {
            Self::InlinePersistence(passing) => Some(passing.folder.clone()),
            Self::Lasting { .. } => None,
        };
        self.stop();
        if let Some(folder) = folder {
            // What is left behind is in nobody's way.
            let _ = std::fs::remove_dir_all(folder);
        }
    }

    fn poll(&mut self, now: Micros, facts: &mut Vec<DispatcherEvent>) {
        if let Self::InlinePersistence(passing) = self {
            passing.turn(now, facts);
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        match self {
            Self::Lasting { .. } => None,
            Self::InlinePersistence(passing) => passing.next,
        }
    }
}

/// A keeper without a thread.
pub struct InlinePersistence {
    folder: PathBuf,
    seed: u64,
    core: ResultStore<OsFolder>,
    facts: Vec<DispatcherEvent>,
    /// When the store is opened, or looked after.
    next: Option<Micros>,
    released: bool,
}

impl InlinePersistence {
    fn ask(&mut self, job: PersistenceJob) {
        // Another process has the store.
        if self.released {
            return;
        }
        self.core.work(&mut std::iter::once(job), &mut self.facts);
        self.core.sync(&mut self.facts);
        self.next = self.next.or(Some(0));
    }

    fn turn(&mut self, now: Micros, facts: &mut Vec<DispatcherEvent>) {
        if self.next.is_some_and(|at| now >= at) && !self.released {
            if self.core.is_open() {
                let more = self.core.maintain(now, PIECE, &mut self.facts);
                self.next = more.then_some(now + REST.as_micros() as Micros);
            } else {
                let folder = OsFolder::new(&self.folder, true)
                    .map(OsFolder::without_sync)
                    .map_err(Error::folder);
                let options = Options {
                    segment_bytes: PASSING,
                    seed: self.seed,
                    ..Options::default()
                };
                let opened = folder.and_then(|folder| Journal::open(folder, options, now));
                self.core.open(opened, &mut self.facts);
                let wait = match (self.core.is_open(), self.core.is_locked()) {
                    (true, _) => None,
                    (false, true) => Some(LOCKED),
                    (false, false) => Some(RETRY),
                };
                self.next = wait.map(|wait| now + wait.as_micros() as Micros);
            }
        }
        facts.append(&mut self.facts);
    }

    fn release(&mut self) {
        self.core.close();
        (self.next, self.released) = (None, true);
    }
}

struct Thread {
    folder: PathBuf,
    seed: u64,
    jobs: Receiver<PersistenceJob>,
    facts: channel::Sender<DispatcherEvent>,
    core: ResultStore<OsFolder>,
}

impl Thread {
    fn tell(&self, facts: &mut Vec<DispatcherEvent>) {
        for fact in facts.drain(..) {
            // The event loop is gone only where the program ends.
            let _ = self.facts.send(fact);
        }
    }

    fn run(mut self) {
        let mut facts = Vec::new();
        let (mut more, mut open_at) = (true, Instant::now());
        loop {
            if !self.core.is_open() && Instant::now() >= open_at {
                let folder = OsFolder::new(&self.folder, true).map_err(Error::folder);
                let options = Options {
                    seed: self.seed,
                    ..Options::default()
                };
                self.core.open(
                    folder.and_then(|folder| Journal::open(folder, options, now())),
                    &mut facts,
                );
                open_at = Instant::now() + if self.core.is_locked() { LOCKED } else { RETRY };
            }
            let rest = match self.core.is_open() {
                true if more => Duration::ZERO,
                true => REST,
                false => open_at.saturating_duration_since(Instant::now()),
            };
            self.tell(&mut facts);
            match self.jobs.recv_timeout(rest) {
                Ok(job) => {
                    let jobs = &self.jobs;
                    let mut all =
                        std::iter::once(job).chain(std::iter::from_fn(|| jobs.try_recv().ok()));
                    self.core.work(&mut all, &mut facts);
                    // What was read waits for no sync: on a slow disk those reads would pile up behind it.
                    self.tell(&mut facts);
                    self.core.sync(&mut facts);
                    more = false;
                }
                // A piece at a time, where there is nothing else to do.
                Err(RecvTimeoutError::Timeout) => {
                    more = self.core.maintain(now(), PIECE, &mut facts);
                }
                Err(RecvTimeoutError::Disconnected) => return self.core.close(),
            }
        }
    }
}

fn now() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as Micros)
}
