//! A sync that may run on another thread.

use crate::files::SyncTask;
use crate::format::SegmentId;
use std::io;

/// A sync of the log that [`Store::begin_sync`](crate::Store::begin_sync) started. It may be sent
/// to another thread while the store goes on taking writes.
pub struct PendingSync {
    /// The segment that is synced.
    pub(crate) segment_id: SegmentId,
    /// Size of the segment when the sync began, in bytes: everything before it becomes durable.
    pub(crate) size: u64,
    state: SyncState,
}

enum SyncState {
    Pending(SyncTask),
    Finished(io::Result<()>),
}

impl PendingSync {
    pub(crate) fn new(segment_id: SegmentId, size: u64, task: SyncTask) -> Self {
        Self {
            segment_id,
            size,
            state: SyncState::Pending(task),
        }
    }

    /// Runs the sync and blocks until it has finished; does nothing if it was run before. Pass the
    /// value to [`Store::complete_sync`](crate::Store::complete_sync) afterwards.
    pub fn run(&mut self) {
        let not_run = SyncState::Finished(Err(not_run_error()));
        self.state = match std::mem::replace(&mut self.state, not_run) {
            SyncState::Pending(task) => SyncState::Finished(task()),
            finished @ SyncState::Finished(_) => finished,
        };
    }

    /// Result of the sync; an error if it was never run.
    pub(crate) fn into_result(self) -> io::Result<()> {
        match self.state {
            SyncState::Pending(_) => Err(not_run_error()),
            SyncState::Finished(result) => result,
        }
    }
}

fn not_run_error() -> io::Error {
    io::Error::other("the sync was never run")
}
