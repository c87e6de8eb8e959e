//! The public interface of the store.

use crate::batch::Batch;
use crate::engine::Engine;
use crate::error::Error;
use crate::file_io::READ_WINDOW_BYTES;
use crate::files::FileSystem;
use crate::maintenance::MaintenanceJob;
use crate::options::Options;
use crate::report::{CheckReport, MaintenanceStatus, RecoveryReport, Stats};
use crate::syncing::PendingSync;

/// A log-structured key-value store in one folder, with one writer at a time.
///
/// Times are in microseconds since an epoch of the caller's choice.
pub struct Store<F: FileSystem> {
    engine: Engine<F>,
    /// The maintenance under way.
    job: Option<MaintenanceJob>,
}

impl<F: FileSystem> Store<F> {
    /// Opens a store for reading and writing, and recovers it. An empty folder becomes an empty
    /// store.
    ///
    /// Damage is not an error: it is part of the report that is returned.
    ///
    /// # Errors
    /// If `options` are out of range ([`Error::TooLarge`]), if another process has the store open
    /// for writing ([`Error::Locked`]), if the folder contains other files ([`Error::ForeignFile`]) or
    /// a newer format ([`Error::UnsupportedVersion`]), or if the file system fails.
    pub fn open(files: F, options: Options) -> Result<(Self, RecoveryReport), Error> {
        let (engine, report) = Engine::open(files, options)?;
        Ok((Self { engine, job: None }, report))
    }

    /// Opens a store for reading only, even while another process writes to it. It shows the state
    /// at this moment and changes nothing in the folder.
    ///
    /// # Errors
    /// As [`open`](Self::open), except that another writer is not an error.
    pub fn open_read_only(files: F) -> Result<(Self, RecoveryReport), Error> {
        let (engine, report) = Engine::open_read_only(files)?;
        Ok((Self { engine, job: None }, report))
    }

    /// The value of a key, unless it has expired at `now`.
    ///
    /// # Errors
    /// If the record is damaged ([`Error::DamagedRecord`]) or the file system fails to read.
    pub fn get(&self, now: u64, key: &[u8]) -> Result<Option<Vec<u8>>, Error> {
        self.engine.get(now, key)
    }

    /// Calls `visit` with sequence number, key and value of every record that is live at `now`, the
    /// oldest first, until it returns `false`. Damaged records are skipped.
    ///
    /// # Errors
    /// If the file system fails to read.
    pub fn for_each_by_sequence(
        &self,
        now: u64,
        visit: impl FnMut(u64, &[u8], &[u8]) -> bool,
    ) -> Result<(), Error> {
        self.engine.visit_by_sequence(now, visit)
    }

    /// Appends a batch to the log. Reads see it at once; [`sync`](Self::sync) makes it durable.
    /// Returns the sequence number of the batch's last change.
    ///
    /// # Errors
    /// If the batch exceeds a limit ([`Error::TooLarge`]), if the disk is full ([`Error::DiskFull`];
    /// nothing was written then), if the store accepts no writes ([`Error::WritesDisabled`],
    /// [`Error::ReadOnly`]), or if the file system fails.
    pub fn write(&mut self, batch: Batch) -> Result<u64, Error> {
        self.engine.write(batch)
    }

    /// Makes everything that was written so far durable, and blocks until it is.
    ///
    /// # Errors
    /// If the file system fails to sync: it is not known then what the disk holds, and the store
    /// accepts no more writes. Also if it accepted none before ([`Error::WritesDisabled`],
    /// [`Error::ReadOnly`]).
    pub fn sync(&mut self) -> Result<(), Error> {
        self.engine.sync()
    }

    /// Begins a sync of everything that was written so far. The caller runs it, on any thread, and
    /// passes it to [`complete_sync`](Self::complete_sync). Returns `None` if everything is durable.
    ///
    /// # Errors
    /// As [`sync`](Self::sync).
    pub fn begin_sync(&mut self) -> Result<Option<PendingSync>, Error> {
        self.engine.begin_sync()
    }

    /// Takes the result of a sync that has run. On success everything that was written before it
    /// began is durable.
    ///
    /// # Errors
    /// As [`sync`](Self::sync), and if the sync was never run.
    pub fn complete_sync(&mut self, sync: PendingSync) -> Result<(), Error> {
        self.engine.complete_sync(sync)
    }

    /// Why the store accepts no more writes, if an error left the content of the disk unknown.
    #[must_use]
    pub fn write_fault(&self) -> Option<&str> {
        self.engine.write_fault()
    }

    /// Statistics of the store.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.engine.stats()
    }

    /// Reads all segments and reports damage. `progress` is called with the bytes read so far and
    /// in total.
    ///
    /// # Errors
    /// If the file system fails to read.
    pub fn verify(&self, progress: impl FnMut(u64, u64)) -> Result<CheckReport, Error> {
        self.engine.check(progress)
    }

    /// Does one step of maintenance, which reads about `budget` bytes: eviction beyond the size
    /// limit, compaction, or writing hint files. Call it repeatedly until it returns
    /// [`MaintenanceStatus::Idle`].
    ///
    /// # Errors
    /// If the file system fails; a compaction is undone then. Also if the store accepts no writes.
    pub fn run_maintenance_step(
        &mut self,
        now: u64,
        budget: usize,
    ) -> Result<MaintenanceStatus, Error> {
        self.engine.writable_slot()?;
        if self.job.is_none() {
            self.job = MaintenanceJob::start_next(&mut self.engine)?;
        }
        let Some(job) = self.job.take() else {
            return Ok(MaintenanceStatus::Idle);
        };
        self.job = job.step(&mut self.engine, now, budget)?;
        Ok(MaintenanceStatus::MoreToDo)
    }

    /// Rewrites the sealed segments with these file names, in order to repair damaged ones: intact
    /// records are copied, and damaged files are quarantined. Returns the number of segments that
    /// were rewritten.
    ///
    /// # Errors
    /// As [`run_maintenance_step`](Self::run_maintenance_step).
    pub fn rewrite_segments(&mut self, now: u64, names: &[String]) -> Result<usize, Error> {
        self.engine.writable_slot()?;
        self.abort_job();
        let mut rewritten = 0;
        for name in names {
            let slot = self
                .engine
                .segments
                .iter_slots()
                .find(|(_, segment)| segment.is_sealed() && segment.file.name == *name)
                .map(|(slot, _)| slot);
            let Some(slot) = slot else {
                continue;
            };
            let job = MaintenanceJob::start_compaction(&mut self.engine, &[slot])?;
            job.run_to_end(&mut self.engine, now, READ_WINDOW_BYTES)?;
            rewritten += 1;
        }
        Ok(rewritten)
    }

    /// Closes the store: makes everything durable and marks it as such, so that the next opening
    /// trusts each record individually.
    ///
    /// A store that is dropped without being closed is recovered at the next opening, as after a
    /// crash.
    ///
    /// # Errors
    /// As [`sync`](Self::sync).
    pub fn close(mut self) -> Result<(), Error> {
        self.abort_job();
        let Some(slot) = self.engine.seal_with_sync_mark()? else {
            return Ok(());
        };
        // The hint file spares the next opening from reading values. It is optional, so that errors
        // are ignored.
        if let Ok(job) = MaintenanceJob::start_hint(&mut self.engine, slot) {
            let _ = job.run_to_end(&mut self.engine, 0, READ_WINDOW_BYTES);
        }
        Ok(())
    }

    /// Undoes the maintenance under way.
    fn abort_job(&mut self) {
        if let Some(job) = self.job.take() {
            job.abort(&mut self.engine);
        }
    }
}
