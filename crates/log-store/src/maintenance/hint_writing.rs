//! Writing the hint file of a sealed segment.

use super::output_file::OutputFile;
use super::status::JobStatus;
use crate::engine::Engine;
use crate::error::Error;
use crate::files::FileSystem;
use crate::format::{hint_file_name, unfinished_hint_file_name, SegmentId};
use crate::hint::{encode_trailer, HintBuilder};
use crate::index::SegmentSlot;
use crate::segment::SegmentPhase;
use crate::segment_reader::{SegmentItem, SegmentReader};

/// A hint file that is being written.
pub(crate) struct HintJob {
    slot: SegmentSlot,
    reader: SegmentReader,
    builder: HintBuilder,
    output: OutputFile,
}

/// Why reading the segment stopped.
enum ReadStop {
    BudgetExhausted,
    Damage,
    SegmentEnd,
    SegmentGone,
}

impl HintJob {
    /// Begins to write the hint file of a segment.
    ///
    /// # Errors
    /// If the file system fails.
    pub(super) fn start<F: FileSystem>(
        engine: &mut Engine<F>,
        slot: SegmentSlot,
    ) -> Result<Self, Error> {
        let segment = engine.segments.get(slot);
        let id = segment.map_or(SegmentId(0), |segment| segment.header.id);
        Ok(Self {
            slot,
            reader: SegmentReader::new(),
            builder: HintBuilder::default(),
            output: OutputFile::create(engine, unfinished_hint_file_name(id))?,
        })
    }

    /// Does one step, which reads about `budget` bytes.
    ///
    /// # Errors
    /// If the file system fails. The job has to be aborted then.
    pub(super) fn step<F: FileSystem>(
        &mut self,
        engine: &mut Engine<F>,
        budget: usize,
    ) -> Result<JobStatus, Error> {
        if self.output.is_sync_due() {
            self.output.sync(engine)?;
            return Ok(JobStatus::Running);
        }
        let mut blocks = Vec::new();
        match self.read_records(engine, budget, &mut blocks)? {
            ReadStop::BudgetExhausted => {
                self.output.append(engine, &blocks)?;
                Ok(JobStatus::Running)
            }
            ReadStop::SegmentEnd => {
                self.complete(engine, blocks)?;
                Ok(JobStatus::Finished)
            }
            ReadStop::Damage => {
                self.give_up(engine)?;
                Ok(JobStatus::Finished)
            }
            ReadStop::SegmentGone => Ok(JobStatus::Finished),
        }
    }

    /// Removes the unfinished hint file.
    pub(super) fn abort<F: FileSystem>(self, engine: &mut Engine<F>) {
        self.output.discard(engine);
    }

    /// Reads records of about `budget` bytes and appends the blocks that become full to `blocks`.
    fn read_records<F: FileSystem>(
        &mut self,
        engine: &Engine<F>,
        budget: usize,
        blocks: &mut Vec<u8>,
    ) -> Result<ReadStop, Error> {
        let end = self.reader.offset().saturating_add(budget.max(1) as u64);
        while self.reader.offset() < end {
            let Some(segment) = engine.segments.get(self.slot) else {
                return Ok(ReadStop::SegmentGone);
            };
            match self.reader.peek(&engine.files, segment)? {
                SegmentItem::Record(header) => {
                    let offset = self.reader.offset() as u32;
                    let block = self.builder.push(&header, offset, self.reader.key(&header));
                    blocks.extend(block.unwrap_or_default());
                    self.reader.skip(header.size());
                }
                SegmentItem::Damaged(_) => return Ok(ReadStop::Damage),
                SegmentItem::End => return Ok(ReadStop::SegmentEnd),
            }
        }
        Ok(ReadStop::BudgetExhausted)
    }

    /// Writes the end of the hint file, makes it durable and gives it its final name.
    fn complete<F: FileSystem>(
        &mut self,
        engine: &mut Engine<F>,
        mut blocks: Vec<u8>,
    ) -> Result<(), Error> {
        let Some(segment) = engine.segments.get(self.slot) else {
            return Ok(());
        };
        let header = segment.header;
        let entry_count = self.builder.entry_count();
        let trailer = encode_trailer(&header, segment.file.size, entry_count);
        blocks.extend(self.builder.take_block());
        blocks.extend_from_slice(&trailer);
        self.output.append(engine, &blocks)?;
        self.output.sync(engine)?;
        engine.files.close(self.output.handle);
        self.output.rename(engine, &hint_file_name(header.id))?;
        if let Some(segment) = engine.segments.get_mut(self.slot) {
            segment.phase = SegmentPhase::SealedWithHint;
        }
        Ok(())
    }

    /// Leaves a damaged segment without a hint file, which would hide the damage from the next
    /// opening.
    fn give_up<F: FileSystem>(&mut self, engine: &mut Engine<F>) -> Result<(), Error> {
        if let Some(segment) = engine.segments.get_mut(self.slot) {
            segment.is_damaged = true;
        }
        let name = self.output.name();
        engine.files.close(self.output.handle);
        engine.files.remove(name).map_err(Error::io(name, "remove"))
    }
}
