//! Choosing and running maintenance jobs.

use super::compaction::CompactionJob;
use super::eviction::EvictionJob;
use super::hint_writing::HintJob;
use super::status::JobStatus;
use crate::compaction_policy::{select_compaction_inputs, select_eviction};
use crate::engine::Engine;
use crate::error::Error;
use crate::files::FileSystem;
use crate::index::SegmentSlot;

/// A piece of maintenance under way.
pub(crate) enum MaintenanceJob {
    Compact(CompactionJob),
    WriteHint(HintJob),
    Evict(EvictionJob),
}

impl MaintenanceJob {
    /// Starts the most urgent job, if there is anything to do: eviction, compaction, hint files.
    ///
    /// # Errors
    /// If the file system fails.
    pub(crate) fn start_next<F: FileSystem>(engine: &mut Engine<F>) -> Result<Option<Self>, Error> {
        let candidates = engine.compaction_candidates();
        let total_bytes = engine.total_bytes();
        let max_bytes = engine.options.max_total_bytes;
        if let Some(slot) = select_eviction(&candidates, total_bytes, max_bytes) {
            return Ok(Some(Self::Evict(EvictionJob::new(slot))));
        }
        let inputs = select_compaction_inputs(&candidates, engine.options.segment_bytes);
        if !inputs.is_empty() {
            return Self::start_compaction(engine, &inputs).map(Some);
        }
        match segment_without_hint(engine) {
            Some(slot) => Self::start_hint(engine, slot).map(Some),
            None => Ok(None),
        }
    }

    /// Starts to compact these segments.
    ///
    /// # Errors
    /// If the file system fails.
    pub(crate) fn start_compaction<F: FileSystem>(
        engine: &mut Engine<F>,
        slots: &[SegmentSlot],
    ) -> Result<Self, Error> {
        CompactionJob::start(engine, slots).map(Self::Compact)
    }

    /// Starts to write the hint file of a segment.
    ///
    /// # Errors
    /// If the file system fails.
    pub(crate) fn start_hint<F: FileSystem>(
        engine: &mut Engine<F>,
        slot: SegmentSlot,
    ) -> Result<Self, Error> {
        HintJob::start(engine, slot).map(Self::WriteHint)
    }

    /// Does one step, which reads about `budget` bytes. Returns the job if it needs further steps.
    ///
    /// # Errors
    /// If the file system fails. The job is aborted then.
    pub(crate) fn step<F: FileSystem>(
        mut self,
        engine: &mut Engine<F>,
        now: u64,
        budget: usize,
    ) -> Result<Option<Self>, Error> {
        let status = match &mut self {
            Self::Compact(job) => job.step(engine, now, budget),
            Self::WriteHint(job) => job.step(engine, budget),
            Self::Evict(job) => job.step(engine, budget),
        };
        match status {
            Ok(JobStatus::Finished) => Ok(None),
            Ok(JobStatus::Running) => Ok(Some(self)),
            Err(error) => {
                self.abort(engine);
                Err(error)
            }
        }
    }

    /// Does all steps, of about `budget` bytes each.
    ///
    /// # Errors
    /// If the file system fails. The job is aborted then.
    pub(crate) fn run_to_end<F: FileSystem>(
        self,
        engine: &mut Engine<F>,
        now: u64,
        budget: usize,
    ) -> Result<(), Error> {
        let mut job = Some(self);
        while let Some(running) = job.take() {
            job = running.step(engine, now, budget)?;
        }
        Ok(())
    }

    /// Undoes a job that has not finished.
    pub(crate) fn abort<F: FileSystem>(self, engine: &mut Engine<F>) {
        match self {
            Self::Compact(job) => job.abort(engine),
            Self::WriteHint(job) => job.abort(engine),
            // What was evicted stays evicted.
            Self::Evict(_) => {}
        }
    }
}

fn segment_without_hint<F: FileSystem>(engine: &Engine<F>) -> Option<SegmentSlot> {
    let mut segments = engine.segments.iter_slots();
    segments
        .find(|(_, segment)| segment.is_sealed() && !segment.has_hint() && !segment.is_damaged)
        .map(|(slot, _)| slot)
}
