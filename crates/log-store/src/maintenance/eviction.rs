//! Eviction: drops the segment with the oldest records, including those that are live.

use super::status::JobStatus;
use crate::batch::Batch;
use crate::compaction_policy::may_shadow_older;
use crate::engine::Engine;
use crate::error::Error;
use crate::files::FileSystem;
use crate::format::{RecordHeader, RecordKind};
use crate::index::{fingerprint, RecordLocation, SegmentSlot};
use crate::segment_reader::{SegmentItem, SegmentReader};

/// An eviction under way.
pub(crate) struct EvictionJob {
    slot: SegmentSlot,
    reader: SegmentReader,
}

impl EvictionJob {
    /// Begins to evict a segment.
    pub(super) fn new(slot: SegmentSlot) -> Self {
        Self {
            slot,
            reader: SegmentReader::new(),
        }
    }

    /// Does one step, which reads about `budget` bytes.
    ///
    /// # Errors
    /// If the file system fails. What was evicted until then stays evicted.
    pub(super) fn step<F: FileSystem>(
        &mut self,
        engine: &mut Engine<F>,
        budget: usize,
    ) -> Result<JobStatus, Error> {
        let remaining = engine.min_sequences_except(|slot| slot == self.slot);
        let end = self.reader.offset().saturating_add(budget.max(1) as u64);
        let mut tombstones = Batch::default();
        let mut status = JobStatus::Running;
        while self.reader.offset() < end {
            let Some(segment) = engine.segments.get(self.slot) else {
                return Ok(JobStatus::Finished);
            };
            match self.reader.peek(&engine.files, segment)? {
                SegmentItem::Record(header) => {
                    self.evict_record(engine, &header, &remaining, &mut tombstones)?;
                    self.reader.skip(header.size());
                }
                SegmentItem::Damaged(length) => self.reader.skip(length),
                SegmentItem::End => {
                    status = JobStatus::Finished;
                    break;
                }
            }
        }
        if !tombstones.is_empty() {
            engine.write(tombstones)?;
        }
        if status == JobStatus::Finished {
            self.remove_segment(engine)?;
        }
        Ok(status)
    }

    /// Removes a record from the index. Adds a tombstone if the record shadows an older one of its
    /// key that would become visible again.
    fn evict_record<F: FileSystem>(
        &self,
        engine: &mut Engine<F>,
        header: &RecordHeader,
        remaining_min_sequences: &[u64],
        tombstones: &mut Batch,
    ) -> Result<(), Error> {
        let key = self.reader.key(header);
        let fingerprint = fingerprint(key);
        let size = header.size();
        let offset = self.reader.offset() as u32;
        let location = RecordLocation::new(self.slot, offset, size);
        let is_put = header.kind == RecordKind::Put;
        let is_live = is_put && engine.index.contains(fingerprint, location);
        let is_shadowing = (is_live || header.kind == RecordKind::Tombstone)
            && may_shadow_older(header.sequence, remaining_min_sequences.iter().copied());
        if is_shadowing && (is_live || engine.find(key)?.is_none()) {
            tombstones.add_delete(key);
        }
        if is_live {
            engine.remove_from_index(fingerprint, location, size);
            engine.stats.evicted_records += 1;
        }
        Ok(())
    }

    fn remove_segment<F: FileSystem>(&self, engine: &mut Engine<F>) -> Result<(), Error> {
        engine.sync()?;
        engine.remove_obsolete_segment(self.slot)?;
        // Guards against the segment's return after a tombstone that shadows its records was
        // compacted away.
        engine.sync_folder()
    }
}
