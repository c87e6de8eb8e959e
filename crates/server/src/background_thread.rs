//! A background thread that executes jobs, so that the event loop never waits for the disk.

use cleatpulley_policy::interface::Micros;
use std::io;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Handle of a thread and its job channel. The thread ends after its queued jobs once this is
/// released or dropped.
pub(crate) struct BackgroundThread<J> {
    /// `None` once the thread was released.
    jobs: Option<Sender<J>>,
    /// Receives a message when the thread has ended.
    finished: Receiver<()>,
}

impl<J: Send + 'static> BackgroundThread<J> {
    /// Starts a thread that runs `work` on the receiver of its jobs.
    ///
    /// # Errors
    /// If the system can't create the thread.
    pub(crate) fn spawn(
        name: &str,
        work: impl FnOnce(&Receiver<J>) + Send + 'static,
    ) -> io::Result<Self> {
        let (jobs, job_receiver) = mpsc::channel();
        let (finished_sender, finished) = mpsc::channel();
        std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                work(&job_receiver);
                // The receiver may have been dropped.
                let _ = finished_sender.send(());
            })?;
        Ok(Self {
            jobs: Some(jobs),
            finished,
        })
    }

    /// Sends a job to the thread; has no effect once the thread was released or has ended.
    pub(crate) fn send(&self, job: J) {
        if let Some(jobs) = &self.jobs {
            // A thread that has ended has logged the reason.
            let _ = jobs.send(job);
        }
    }

    /// Lets the thread end after its queued jobs.
    pub(crate) fn release(&mut self) {
        self.jobs = None;
    }

    /// Waits until the thread has ended.
    ///
    /// # Errors
    /// If the thread has not ended within `timeout`.
    pub(crate) fn wait(&self, timeout: Duration) -> Result<(), RecvTimeoutError> {
        self.finished.recv_timeout(timeout)
    }
}

/// Returns the Unix time in microseconds.
pub(crate) fn unix_time() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as Micros)
}
