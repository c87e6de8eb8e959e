//! Persistence of idempotency keys and cached results.
//!
//! A thread owns the journal, so that the event loop never waits for a write, sync or read of the
//! disk. One sync covers all writes that arrived while the sync before it ran. If the journal need
//! not survive the machine, no call waits for the disk, and it is used without a thread.
//!
//! | module | contents |
//! | --- | --- |
//! | `result_store` | operations on the journal, independent of file system and thread |
//! | `worker` | the thread |
//! | `inline_persistence` | the persistence without a thread |

mod inline_persistence;
mod result_store;
mod worker;

pub use inline_persistence::InlinePersistence;
pub use result_store::{PersistenceJob, ResultStore};

use crate::background_thread::BackgroundThread;
use crate::host;
use crate::os_host::event_loop::EventLoopHandle;
use calloop::channel::{self, Event};
use cleatpulley_dispatcher::key_table::KeyCommand;
use cleatpulley_dispatcher::Event as DispatcherEvent;
use cleatpulley_idempotency::record::ScopedKey;
use cleatpulley_policy::interface::{Micros, RequestId};
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use worker::Worker;

/// Maximum wait for the thread when the process ends.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// Handle of the persistence; its thread, if any, ends when this is dropped.
pub struct PersistenceThread(Mode);

enum Mode {
    /// Durable, with its own thread.
    Threaded(BackgroundThread<PersistenceJob>),
    /// Not durable: the files need not reach the disk, so no call waits for it.
    Inline(Box<InlinePersistence>),
}

impl PersistenceThread {
    /// Creates a persistence that executes each job immediately, on files that survive the process
    /// but not the machine. Its events are returned by
    /// [`poll`](crate::host::ResultPersistence::poll).
    #[must_use]
    pub fn inline(folder: PathBuf, seed: u64) -> Self {
        Self(Mode::Inline(Box::new(InlinePersistence::new(folder, seed))))
    }

    /// Starts the thread. Its events are passed to
    /// [`Service::on_persistence_event`](crate::os_host::Service::on_persistence_event): first the
    /// recovered keys, which may take some time; until then nothing can be persisted.
    ///
    /// # Errors
    /// If the system can't create the thread or the channel.
    pub fn start(handle: &EventLoopHandle, folder: PathBuf, seed: u64) -> io::Result<Self> {
        let (event_sender, event_receiver) = channel::channel();
        handle
            .insert_source(event_receiver, |message, (), service| {
                if let Event::Msg(event) = message {
                    service.on_persistence_event(event);
                }
            })
            .map_err(|error| io::Error::other(error.to_string()))?;
        let thread = BackgroundThread::spawn("persistence", move |jobs| {
            Worker::new(folder, seed, event_sender).run(jobs);
        })?;
        Ok(Self(Mode::Threaded(thread)))
    }

    fn submit(&mut self, job: PersistenceJob) {
        match &mut self.0 {
            Mode::Threaded(thread) => thread.send(job),
            Mode::Inline(persistence) => persistence.execute(job),
        }
    }
}

impl host::ResultPersistence for PersistenceThread {
    fn write(&mut self, command: KeyCommand) {
        self.submit(PersistenceJob::Write(command));
    }

    fn load_result(&mut self, now: Micros, id: RequestId, load_number: u64, key: ScopedKey) {
        self.submit(PersistenceJob::LoadResult(now, id, load_number, key));
    }

    fn release(&mut self) {
        match &mut self.0 {
            Mode::Threaded(thread) => thread.release(),
            Mode::Inline(persistence) => persistence.release(),
        }
    }

    fn stop(mut self) {
        self.release();
        if let Mode::Threaded(thread) = &self.0 {
            if thread.wait(STOP_TIMEOUT).is_err() {
                tracing::warn!(
                    "results: the store could not be closed in time; it recovers at the next start"
                );
            }
        }
    }

    fn discard(self) {
        let folder = match &self.0 {
            Mode::Inline(persistence) => Some(persistence.folder().to_owned()),
            Mode::Threaded(_) => None,
        };
        self.stop();
        if let Some(folder) = folder {
            // A folder that can't be removed does not affect other processes.
            let _ = std::fs::remove_dir_all(folder);
        }
    }

    fn poll(&mut self, now: Micros, events: &mut Vec<DispatcherEvent>) {
        if let Mode::Inline(persistence) = &mut self.0 {
            persistence.poll(now, events);
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        match &self.0 {
            Mode::Threaded(_) => None,
            Mode::Inline(persistence) => persistence.next_deadline(),
        }
    }
}
