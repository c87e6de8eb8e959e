//! Recovering segments one by one: reads their records, or their hint files, and truncates a torn
//! tail.

use crate::engine::Engine;
use crate::error::Error;
use crate::file_io::{is_range_zero, read_range};
use crate::files::FileSystem;
use crate::format::{hint_file_name, SegmentHeader, SegmentId, SEGMENT_HEADER_BYTES};
use crate::hint::decode_hint;
use crate::index::{RecordLocation, SegmentSlot};
use crate::index_rebuild::{IndexCandidate, RetainedRecord};
use crate::recovery::{RecoveredRecord, RetentionFilter, SegmentTail};
use crate::report::RecoveryReport;
use crate::segment::{Segment, SegmentPhase};
use crate::segment_reader::{SegmentItem, SegmentReader};
use std::collections::BTreeSet;

/// What a store is opened for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OpenMode {
    /// For reading and writing: recovery repairs the folder.
    ReadWrite,
    /// For reading only: recovery changes nothing, as another process may be writing.
    ReadOnly,
}

/// A put that may not be durable even though it can be read, and even after another sync.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnprovenRecord {
    pub fingerprint: u32,
    pub location: RecordLocation,
}

/// What was recovered from all segments.
pub(crate) struct RecoveredSegments {
    pub report: RecoveryReport,
    pub candidates: Vec<IndexCandidate>,
    pub unproven: Vec<UnprovenRecord>,
    /// The newest segment if it has no records. It must not be written to: a sync of it may have
    /// failed before the store was opened, after which the operating system forgets what was
    /// written and reports no error for it any more.
    pub empty_newest: Option<SegmentSlot>,
}

/// Recovers the segments of a store.
pub(crate) struct SegmentRecovery<'a, F: FileSystem> {
    engine: &'a mut Engine<F>,
    mode: OpenMode,
    /// The only segment that can have a torn tail.
    newest_id: Option<SegmentId>,
    /// Identifiers of the segments that have a hint file.
    hint_ids: BTreeSet<SegmentId>,
    recovered: RecoveredSegments,
}

impl<'a, F: FileSystem> SegmentRecovery<'a, F> {
    pub(crate) fn new(
        engine: &'a mut Engine<F>,
        mode: OpenMode,
        newest_id: Option<SegmentId>,
        hint_ids: BTreeSet<SegmentId>,
        report: RecoveryReport,
    ) -> Self {
        Self {
            engine,
            mode,
            newest_id,
            hint_ids,
            recovered: RecoveredSegments {
                report,
                candidates: Vec::new(),
                unproven: Vec::new(),
                empty_newest: None,
            },
        }
    }

    pub(crate) fn finish(self) -> RecoveredSegments {
        self.recovered
    }

    /// Adds a segment to the open ones and recovers its records.
    ///
    /// # Errors
    /// If the file system fails.
    pub(crate) fn recover_segment(&mut self, segment: Segment) -> Result<(), Error> {
        let id = segment.header.id;
        let is_newest = Some(id) == self.newest_id;
        let slot = self.engine.segments.insert(segment)?;
        self.recovered.report.segments += 1;
        let is_hint_usable = self.hint_ids.contains(&id) && !is_newest;
        let is_hint_read = is_hint_usable && self.read_hint(slot)?;
        if !is_hint_read {
            self.read_segment(slot, is_newest)?;
        }
        let Some(segment) = self.engine.segments.get_mut(slot) else {
            return Ok(());
        };
        if is_hint_read {
            segment.phase = SegmentPhase::SealedWithHint;
        }
        let next_sequence = segment.usage.max_sequence + 1;
        let is_empty = segment.file.size == SEGMENT_HEADER_BYTES as u64;
        self.engine.next_sequence = self.engine.next_sequence.max(next_sequence);
        if self.mode == OpenMode::ReadWrite && is_newest && is_empty {
            self.recovered.empty_newest = Some(slot);
        }
        Ok(())
    }

    /// Takes a segment's records from its hint file. Returns `false` if that file is missing,
    /// damaged or of another segment.
    fn read_hint(&mut self, slot: SegmentSlot) -> Result<bool, Error> {
        let Some(segment) = self.engine.segments.get(slot) else {
            return Ok(false);
        };
        let header = segment.header;
        let Some(bytes) = self.read_hint_file(&header)? else {
            return Ok(false);
        };
        let Some(segment) = self.engine.segments.get_mut(slot) else {
            return Ok(false);
        };
        let Some(entries) = decode_hint(&bytes, &header, segment.file.size) else {
            return Ok(false);
        };
        self.recovered.candidates.reserve(entries.entry_count());
        for entry in entries.iter() {
            let size = entry.size as usize;
            let record = RetainedRecord {
                kind: entry.kind,
                sequence: entry.sequence,
                location: RecordLocation::new(slot, entry.offset, size),
                size,
                key: entry.key,
            };
            let candidate = IndexCandidate::account(segment, &record);
            self.recovered.candidates.extend(candidate);
        }
        self.recovered.report.records_read += entries.entry_count() as u64;
        self.recovered.report.segments_with_hint += 1;
        Ok(true)
    }

    /// Reads a hint file as a whole; `None` if it cannot be opened.
    fn read_hint_file(&mut self, header: &SegmentHeader) -> Result<Option<Vec<u8>>, Error> {
        let name = hint_file_name(header.id);
        let files = &mut self.engine.files;
        let Ok(file) = files.open(&name) else {
            return Ok(None);
        };
        let size = files.size(file).map_err(Error::io(&name, "get the size"))?;
        let length = usize::try_from(size).unwrap_or(usize::MAX);
        let bytes = read_range(files, file, &name, 0, length);
        files.close(file);
        bytes.map(Some)
    }

    /// Reads a segment's records and truncates its torn tail.
    fn read_segment(&mut self, slot: SegmentSlot, is_newest: bool) -> Result<(), Error> {
        let tail = if is_newest {
            SegmentTail::PossiblyTorn
        } else {
            SegmentTail::Synced
        };
        let first_candidate = self.recovered.candidates.len();
        let mut filter = RetentionFilter::new(tail, SEGMENT_HEADER_BYTES as u64);
        self.filter_records(slot, &mut filter)?;
        if is_newest {
            self.collect_unproven(first_candidate, filter.synced_end());
        }
        let Some(segment) = self.engine.segments.get_mut(slot) else {
            return Ok(());
        };
        let size = segment.file.size;
        let verdict = filter.finish(size);
        for span in &verdict.damage {
            let name = &segment.file.name;
            let report = &mut self.recovered.report;
            report.add_damage(name, span.offset, span.length);
        }
        segment.is_damaged = !verdict.damage.is_empty();
        segment.file.size = verdict.valid_size;
        if verdict.valid_size < size {
            self.truncate_torn_tail(slot, size)
        } else if is_newest && self.mode == OpenMode::ReadWrite {
            // What was read may never have been synced; from here on it counts as durable.
            self.sync_segment(slot)
        } else {
            Ok(())
        }
    }

    /// Feeds a segment's records and damage to a filter and accounts for the records that it
    /// retains.
    fn filter_records(
        &mut self,
        slot: SegmentSlot,
        filter: &mut RetentionFilter,
    ) -> Result<(), Error> {
        let mut reader = SegmentReader::new();
        let mut retained = Vec::new();
        while let Some(segment) = self.engine.segments.get_mut(slot) {
            match reader.peek(&self.engine.files, segment)? {
                SegmentItem::Record(header) => {
                    self.recovered.report.records_read += 1;
                    let record = RecoveredRecord {
                        header,
                        offset: reader.offset(),
                        key: reader.key(&header).to_vec(),
                    };
                    reader.skip(header.size());
                    filter.push_record(record, &mut retained);
                }
                SegmentItem::Damaged(length) => {
                    filter.push_damage(reader.offset(), length as u64);
                    reader.skip(length);
                }
                SegmentItem::End => break,
            }
            for record in retained.drain(..) {
                let candidate = account_recovered(segment, slot, &record);
                self.recovered.candidates.extend(candidate);
            }
        }
        Ok(())
    }

    /// Collects the puts among the candidates from `first_candidate` on that are not proven to be
    /// durable.
    fn collect_unproven(&mut self, first_candidate: usize, synced_end: u64) {
        let unproven = self.recovered.candidates[first_candidate..]
            .iter()
            .filter(|candidate| {
                candidate.is_put && u64::from(candidate.location.offset) >= synced_end
            })
            .map(|candidate| UnprovenRecord {
                fingerprint: candidate.fingerprint,
                location: candidate.location,
            });
        self.recovered.unproven.extend(unproven);
    }

    /// Truncates the file of a segment, which has `file_size` bytes, to the segment's size.
    fn truncate_torn_tail(&mut self, slot: SegmentSlot, file_size: u64) -> Result<(), Error> {
        let Some(segment) = self.engine.segments.get(slot) else {
            return Ok(());
        };
        let file = segment.file.clone();
        let tail = file.size..file_size;
        // Zeros were reserved ahead of writing and are no torn write.
        if !is_range_zero(&self.engine.files, file.handle, &file.name, tail)? {
            self.recovered.report.torn_tail_bytes += file_size - file.size;
        }
        if self.mode == OpenMode::ReadOnly {
            return Ok(());
        }
        self.engine
            .files
            .truncate(file.handle, file.size)
            .map_err(Error::io(&file.name, "truncate the torn tail"))?;
        // Durable before anything is written after it: otherwise the torn tail might reappear
        // behind newer records.
        self.sync_segment(slot)
    }

    fn sync_segment(&mut self, slot: SegmentSlot) -> Result<(), Error> {
        let Some(segment) = self.engine.segments.get(slot) else {
            return Ok(());
        };
        let file = &segment.file;
        self.engine
            .files
            .sync(file.handle)
            .map_err(Error::io(&file.name, "sync"))
    }
}

fn account_recovered(
    segment: &mut Segment,
    slot: SegmentSlot,
    record: &RecoveredRecord,
) -> Option<IndexCandidate> {
    let size = record.header.size();
    let record = RetainedRecord {
        kind: record.header.kind,
        sequence: record.header.sequence,
        location: RecordLocation::new(slot, record.offset as u32, size),
        size,
        key: &record.key,
    };
    IndexCandidate::account(segment, &record)
}
