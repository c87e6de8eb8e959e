//! Compaction: copies the live records of some segments into a new segment, in the order of
//! sequence numbers.
//!
//! The index points to the copies at once, as both the copies and the originals can be read. The
//! new segment is written under a temporary name, gets its final name only once it is durable, and
//! lists the segments that it replaces. A crash therefore leaves the old segments, or both the old
//! and the new, but never only a part of the records.

use super::copied_chunk::{CopiedChunk, CopyContext, MovedRecord};
use super::output_file::OutputFile;
use super::status::JobStatus;
use crate::engine::Engine;
use crate::error::Error;
use crate::files::FileSystem;
use crate::format::{
    encode_record, segment_file_name, unfinished_segment_file_name, RecordHeader, RecordKind, Salt,
    SegmentHeader, SEGMENT_HEADER_BYTES,
};
use crate::index::SegmentSlot;
use crate::segment::Segment;
use crate::segment_cursor::{oldest_cursor, SegmentCursor};
use crate::write_path::LogPosition;

/// The phases of a compaction, in their order.
enum CompactionPhase {
    /// Live records are being copied.
    Copying,
    /// Everything is copied and durable. The log has to be durable up to this position before the
    /// new segment gets its name: a value that was not copied because a newer one exists must not
    /// be lost in a crash together with the newer.
    AwaitingLogSync(LogPosition),
    /// The new segment is durable under its final name; the old segments are to be removed.
    RemovingInputs,
}

/// A compaction under way.
pub(crate) struct CompactionJob {
    inputs: Vec<SegmentCursor>,
    /// The new segment, which is read from already.
    output_slot: SegmentSlot,
    output: OutputFile,
    moved: Vec<MovedRecord>,
    phase: CompactionPhase,
}

impl CompactionJob {
    /// Begins to compact these segments.
    ///
    /// # Errors
    /// If the file system fails; nothing is changed then.
    pub(super) fn start<F: FileSystem>(
        engine: &mut Engine<F>,
        input_slots: &[SegmentSlot],
    ) -> Result<Self, Error> {
        let id = engine.allocate_segment_id();
        let header = SegmentHeader {
            id,
            salt: engine.generate_salt(id),
            compacted: true,
        };
        let front = encode_segment_front(engine, &header, input_slots);
        let mut output = OutputFile::create(engine, unfinished_segment_file_name(id))?;
        let output_slot = match add_output_segment(engine, header, &mut output, &front) {
            Ok(slot) => slot,
            Err(error) => {
                output.discard(engine);
                return Err(error);
            }
        };
        Ok(Self {
            inputs: input_slots
                .iter()
                .copied()
                .map(SegmentCursor::new)
                .collect(),
            output_slot,
            output,
            moved: Vec::new(),
            phase: CompactionPhase::Copying,
        })
    }

    /// Does one step, which reads about `budget` bytes.
    ///
    /// # Errors
    /// If the file system fails. The job has to be aborted then.
    pub(super) fn step<F: FileSystem>(
        &mut self,
        engine: &mut Engine<F>,
        now: u64,
        budget: usize,
    ) -> Result<JobStatus, Error> {
        match self.phase {
            CompactionPhase::Copying => {
                if self.copy_step(engine, now, budget)? == JobStatus::Finished {
                    let log_end = engine.log_end();
                    self.phase = CompactionPhase::AwaitingLogSync(log_end);
                    self.publish_step(engine, log_end)?;
                }
                Ok(JobStatus::Running)
            }
            CompactionPhase::AwaitingLogSync(position) => {
                self.publish_step(engine, position)?;
                Ok(JobStatus::Running)
            }
            CompactionPhase::RemovingInputs => {
                self.remove_inputs(engine)?;
                Ok(JobStatus::Finished)
            }
        }
    }

    /// Undoes the compaction, unless the new segment may have its final name already: it is
    /// complete then and stays.
    pub(super) fn abort<F: FileSystem>(self, engine: &mut Engine<F>) {
        let output = engine.segments.get(self.output_slot);
        if output.is_none_or(Segment::is_sealed) {
            return;
        }
        for record in self.moved {
            let is_restored =
                engine
                    .index
                    .replace(record.fingerprint, record.new_location, record.old_location);
            if is_restored {
                engine.add_live_bytes(record.old_location.segment, record.size);
            }
        }
        engine.segments.remove(self.output_slot);
        self.output.discard(engine);
    }

    /// Copies records, or syncs the copies. Finished once all copies are durable.
    fn copy_step<F: FileSystem>(
        &mut self,
        engine: &mut Engine<F>,
        now: u64,
        budget: usize,
    ) -> Result<JobStatus, Error> {
        if self.output.is_sync_due() {
            self.output.sync(engine)?;
            return Ok(JobStatus::Running);
        }
        let mut chunk = CopiedChunk::new(self.copy_context(engine, now));
        let status = self.copy_records(engine, budget, &mut chunk)?;
        self.output.append(engine, &chunk.bytes)?;
        self.apply_chunk(engine, chunk);
        if status == JobStatus::Running {
            return Ok(JobStatus::Running);
        }
        if !self.output.is_synced() {
            self.output.sync(engine)?;
            return Ok(JobStatus::Running);
        }
        Ok(JobStatus::Finished)
    }

    fn copy_context<F: FileSystem>(&self, engine: &Engine<F>, now: u64) -> CopyContext {
        let is_removed =
            |slot| slot == self.output_slot || self.inputs.iter().any(|input| input.slot() == slot);
        let output = engine.segments.get(self.output_slot);
        CopyContext {
            output_slot: self.output_slot,
            salt: output.map_or(Salt(0), |segment| segment.header.salt),
            start: self.output.size(),
            now,
            remaining_min_sequences: engine.min_sequences_except(is_removed),
        }
    }

    /// Copies records of about `budget` bytes into `chunk`. Finished at the end of all inputs.
    fn copy_records<F: FileSystem>(
        &mut self,
        engine: &mut Engine<F>,
        budget: usize,
        chunk: &mut CopiedChunk,
    ) -> Result<JobStatus, Error> {
        let mut read = 0;
        while read < budget.max(1) {
            for input in &mut self.inputs {
                fill_input(engine, input)?;
            }
            let Some(input) = oldest_cursor(&mut self.inputs) else {
                return Ok(JobStatus::Finished);
            };
            if let Some(record) = input.record() {
                read += record.header.size();
                chunk.push(engine, &record);
            }
            input.advance();
        }
        Ok(JobStatus::Running)
    }

    /// Accounts for a chunk that was written, and makes the index point to its records.
    fn apply_chunk<F: FileSystem>(&mut self, engine: &mut Engine<F>, chunk: CopiedChunk) {
        if let Some(segment) = engine.segments.get_mut(self.output_slot) {
            segment.file.size = self.output.size();
            segment.usage.tombstone_bytes += chunk.tombstone_bytes;
            for sequence in chunk.sequences {
                segment.usage.include_sequence(sequence);
            }
        }
        for record in chunk.copies {
            let old_location = record.old_location;
            let new_location = record.new_location;
            let index = &mut engine.index;
            if index.replace(record.fingerprint, old_location, new_location) {
                engine.subtract_live_bytes(old_location.segment, record.size);
                engine.add_live_bytes(new_location.segment, record.size);
                self.moved.push(record);
            }
        }
    }

    /// Gives the new segment its final name if the log is durable up to `position`; otherwise syncs
    /// the log.
    fn publish_step<F: FileSystem>(
        &mut self,
        engine: &mut Engine<F>,
        position: LogPosition,
    ) -> Result<(), Error> {
        if !engine.is_durable(position) {
            return engine.sync();
        }
        self.publish(engine)?;
        self.phase = CompactionPhase::RemovingInputs;
        Ok(())
    }

    fn publish<F: FileSystem>(&mut self, engine: &mut Engine<F>) -> Result<(), Error> {
        let Some(segment) = engine.segments.get(self.output_slot) else {
            return Ok(());
        };
        let name = segment_file_name(segment.header.id);
        self.output.rename(engine, &name)?;
        if let Some(segment) = engine.segments.get_mut(self.output_slot) {
            segment.file.name = name;
            segment.seal();
        }
        engine.sync_folder()
    }

    fn remove_inputs<F: FileSystem>(&self, engine: &mut Engine<F>) -> Result<(), Error> {
        for input in &self.inputs {
            engine.remove_obsolete_segment(input.slot())?;
            engine.stats.compacted_segments += 1;
        }
        // Guards against an input that reappears after the segment that lists it as replaced is
        // itself gone.
        engine.sync_folder()
    }
}

/// Encodes the front of a compacted segment: its header and the record that lists the segments it
/// replaces.
fn encode_segment_front<F: FileSystem>(
    engine: &Engine<F>,
    header: &SegmentHeader,
    input_slots: &[SegmentSlot],
) -> Vec<u8> {
    let replaced_ids: Vec<u8> = input_slots
        .iter()
        .filter_map(|slot| engine.segments.get(*slot))
        .flat_map(|segment| segment.header.id.0.to_le_bytes())
        .collect();
    let record = RecordHeader {
        value_len: replaced_ids.len(),
        ..RecordHeader::standalone(RecordKind::Replaces, 0)
    };
    let mut bytes = header.encode().to_vec();
    let offset = SEGMENT_HEADER_BYTES as u64;
    encode_record(&mut bytes, header.salt, offset, &record, &[], &replaced_ids);
    bytes
}

/// Writes the front of the new segment and adds the segment to the open ones.
fn add_output_segment<F: FileSystem>(
    engine: &mut Engine<F>,
    header: SegmentHeader,
    output: &mut OutputFile,
    front: &[u8],
) -> Result<SegmentSlot, Error> {
    output.append(engine, front)?;
    let name = output.name().to_owned();
    let segment = Segment::new(header, output.handle, name, output.size());
    engine.segments.insert(segment)
}

/// Finds the current record of an input, and notes if the input is damaged.
fn fill_input<F: FileSystem>(
    engine: &mut Engine<F>,
    input: &mut SegmentCursor,
) -> Result<(), Error> {
    let filled = input.fill(&engine.files, &engine.segments);
    if input.has_skipped_damage() {
        if let Some(segment) = engine.segments.get_mut(input.slot()) {
            segment.is_damaged = true;
        }
    }
    filled
}
