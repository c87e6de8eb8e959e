//! The keeper of results: a thread that owns the journal, so that no write, sync or read of the disk is waited for by
//! the event loop. One sync covers all that came while the one before it ran.

use super::{Handle, Micros};
use calloop::channel::{self, Event};
use cleatpulley_exchange::history::Effect;
use cleatpulley_exchange::Fact;
use cleatpulley_keep::files::Folder;
use cleatpulley_keep::{Error, Options, Work};
use cleatpulley_policy::interface::RequestId;
use cleatpulley_results::journal::Journal;
use cleatpulley_results::record::ScopedKey;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Without work the keeper looks after the store so often.
const REST: Duration = Duration::from_millis(50);
/// Bytes of maintenance between two looks at what there is to write.
const PIECE: usize = 65_536;
/// A store that failed is tried again after this time.
const RETRY: Duration = Duration::from_millis(500);
/// At the end what is not written yet is waited for so long.
const FAREWELL: Duration = Duration::from_millis(500);

enum Job {
    Write(Effect),
    Recall(Micros, RequestId, u64, ScopedKey),
}

/// Access to the keeper; it ends when this is dropped.
pub struct Keeping {
    jobs: Sender<Job>,
    over: Receiver<()>,
}

impl Keeping {
    /// Starts it. What it has to say goes to [`Node::kept`](super::Node::kept): first what the store holds, which may
    /// take a while; until then nothing is to be kept.
    ///
    /// # Errors
    /// Where the system gives no thread or channel.
    pub fn start(handle: &Handle, folder: PathBuf, seed: u64) -> io::Result<Self> {
        let (facts, heard) = channel::channel();
        handle
            .insert_source(heard, |event, (), node| {
                if let Event::Msg(fact) = event {
                    node.kept(fact);
                }
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        let (jobs, taken) = mpsc::channel();
        let (ended, over) = mpsc::channel();
        let keeper = Keeper { folder, seed, jobs: taken, facts, recovered: false, well: true, answers: 0 };
        std::thread::Builder::new().name("keeper".to_owned()).spawn(move || {
            keeper.run();
            // Nobody may wait for it any more.
            let _ = ended.send(());
        })?;
        Ok(Self { jobs, over })
    }

    /// Writes what a history decided.
    pub fn write(&self, effect: Effect) {
        // A keeper that is gone has said so: nothing is admitted then.
        let _ = self.jobs.send(Job::Write(effect));
    }

    /// Reads how a key ended.
    pub fn recall(&self, now: Micros, id: RequestId, number: u64, key: ScopedKey) {
        let _ = self.jobs.send(Job::Recall(now, id, number, key));
    }

    /// Lets it write what it has and close the store, for a while.
    pub fn stop(self) {
        drop(self.jobs);
        if self.over.recv_timeout(FAREWELL).is_err() {
            tracing::warn!("results: the store could not be closed in time; it recovers at the next start");
        }
    }
}

struct Keeper {
    folder: PathBuf,
    seed: u64,
    jobs: Receiver<Job>,
    facts: channel::Sender<Fact>,
    recovered: bool,
    well: bool,
    /// Results written since the start.
    answers: u64,
}

/// How a stretch of work ended.
enum End {
    /// Nobody sends any more.
    Over,
    /// The store failed and is to be opened again.
    Failed,
}

impl Keeper {
    fn run(mut self) {
        loop {
            let opened = Folder::new(&self.folder, true).map_err(Error::folder).and_then(|folder| {
                let options = Options { seed: self.seed, ..Options::default() };
                Journal::open(folder, options, now())
            });
            match opened {
                Ok((mut journal, recovered, found)) => {
                    if !self.recovered {
                        tracing::info!(
                            "results: {} keys from {}, {} of them may have run without an end known",
                            recovered.len(),
                            self.folder.display(),
                            recovered.unknown
                        );
                        if !found.damaged.is_empty() || !found.quarantined.is_empty() {
                            tracing::error!("results: the store was damaged: {found}");
                        }
                        self.recovered = true;
                        self.tell(Fact::Recovered(Box::new(recovered)));
                    }
                    match self.serve(&mut journal) {
                        End::Failed => {}
                        End::Over => {
                            self.close(journal);
                            return;
                        }
                    }
                }
                Err(e) => self.fail(&e),
            }
            if !self.pause() {
                return;
            }
        }
    }

    fn tell(&self, fact: Fact) {
        // The event loop is gone only where the program ends.
        let _ = self.facts.send(fact);
    }

    /// Says that nothing can be kept for now; once.
    fn fail(&mut self, e: &Error) {
        if std::mem::replace(&mut self.well, false) {
            tracing::error!("results: nothing can be kept for now: {e}");
            self.tell(Fact::Keeping(false));
        }
    }

    /// Waits until the store is tried again; what is asked meanwhile is not done. False where nobody asks any more.
    fn pause(&mut self) -> bool {
        let until = std::time::Instant::now() + RETRY;
        loop {
            match self.jobs.recv_timeout(until.saturating_duration_since(std::time::Instant::now())) {
                Ok(Job::Write(_)) => {}
                Ok(Job::Recall(_, id, number, _)) => self.tell(Fact::Recalled { id, number, outcome: None }),
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    fn serve(&mut self, journal: &mut Journal<Folder>) -> End {
        if !self.well {
            if let Err(e) = journal.probe() {
                self.fail(&e);
                return End::Failed;
            }
            self.well = true;
            tracing::info!("results: the store takes writes again");
            self.tell(Fact::Keeping(true));
        }
        let mut more = true;
        loop {
            let rest = if more { Duration::ZERO } else { REST };
            let first = match self.jobs.recv_timeout(rest) {
                Ok(job) => Some(job),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return End::Over,
            };
            let idle = first.is_none();
            if let Err(e) = self.work(journal, first) {
                self.fail(&e);
                return End::Failed;
            }
            // A piece at a time, where there is nothing else to do.
            more = idle
                && match journal.maintain(now(), PIECE) {
                    Ok(work) => work == Work::More,
                    Err(e) => {
                        tracing::warn!("results: maintenance of the store failed: {e}");
                        if journal.store().poisoned().is_some() {
                            self.fail(&e);
                            return End::Failed;
                        }
                        false
                    }
                };
        }
    }

    /// Writes all that waits, and makes it durable with one sync.
    fn work(&mut self, journal: &mut Journal<Folder>, first: Option<Job>) -> Result<(), Error> {
        let mut next = first;
        while let Some(job) = next.take().or_else(|| self.jobs.try_recv().ok()) {
            match job {
                Job::Write(effect) => {
                    self.answers += u64::from(ends(&effect));
                    journal.write(&effect)?;
                }
                Job::Recall(at, id, number, key) => {
                    let outcome = journal.recall(at, &key).unwrap_or_else(|e| {
                        tracing::error!("results: what was kept of {key:?} can't be read: {e}");
                        None
                    });
                    self.tell(Fact::Recalled { id, number, outcome });
                }
            }
        }
        if journal.waits() {
            let ticket = journal.flush()?;
            self.tell(Fact::Durable(ticket));
        }
        Ok(())
    }

    fn close(&mut self, mut journal: Journal<Folder>) {
        let done = self.work(&mut journal, None);
        let stats = journal.stats();
        tracing::info!(
            "results: {} kept since the start with {} syncs; {} keys in {} bytes",
            self.answers,
            stats.syncs,
            stats.keys,
            stats.bytes
        );
        if let Err(e) = done.and_then(|()| journal.close()) {
            tracing::error!("results: the store could not be closed well: {e}");
        }
    }
}

fn ends(effect: &Effect) -> bool {
    use cleatpulley_results::record::Record;
    matches!(effect, Effect::Write { record: Record::Finished { .. }, .. })
}

fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
}
