//! Reading: lookups by key, iteration in the order of sequence numbers, and the check for damage.

use crate::engine::Engine;
use crate::error::Error;
use crate::files::FileSystem;
use crate::format::{
    decode_record_header, is_body_intact, RecordHeader, RecordKind, RECORD_HEADER_BYTES,
};
use crate::index::{fingerprint, RecordLocation};
use crate::report::{push_damaged_range, CheckReport};
use crate::segment::Segment;
use crate::segment_cursor::{oldest_cursor, CursorRecord, SegmentCursor};
use crate::segment_reader::{SegmentItem, SegmentReader};

/// The check reports its progress whenever it has read a multiple of this number of records.
const PROGRESS_INTERVAL_RECORDS: u64 = 4_096;

/// The record that the index has for a key.
pub(crate) struct IndexedRecord {
    pub location: RecordLocation,
    /// Size of the record in bytes; approximate if its header is damaged.
    pub size: usize,
}

/// An intact record, read from a segment.
struct LoadedRecord {
    header: RecordHeader,
    /// The whole record: header, key and stored value.
    bytes: Vec<u8>,
}

impl LoadedRecord {
    fn key(&self) -> &[u8] {
        &self.bytes[RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + self.header.key_len]
    }

    /// The value, or `None` if it cannot be decompressed.
    fn into_value(self) -> Option<Vec<u8>> {
        let mut value = self.bytes;
        value.drain(..RECORD_HEADER_BYTES + self.header.key_len);
        if self.header.compressed {
            return lz4_flex::decompress_size_prepended(&value).ok();
        }
        Some(value)
    }
}

impl<F: FileSystem> Engine<F> {
    /// Finds the record of a key. A record with the key's fingerprint whose header is damaged
    /// counts as the key's: what it contained is lost in any case.
    ///
    /// # Errors
    /// If the file system fails to read.
    pub(crate) fn find(&self, key: &[u8]) -> Result<Option<IndexedRecord>, Error> {
        let mut damaged = None;
        for location in self.index.find(fingerprint(key)) {
            let Some(segment) = self.segments.get(location.segment) else {
                continue;
            };
            let offset = u64::from(location.offset);
            let bytes = segment.read(&self.files, offset, RECORD_HEADER_BYTES + key.len())?;
            match decode_record_header(&bytes, segment.header.salt, offset) {
                Some(header)
                    if header.key_len == key.len() && bytes[RECORD_HEADER_BYTES..] == *key =>
                {
                    let size = header.size();
                    return Ok(Some(IndexedRecord { location, size }));
                }
                Some(_) => {}
                None => {
                    let size = location.approximate_size().max(RECORD_HEADER_BYTES);
                    damaged = Some(IndexedRecord { location, size });
                }
            }
        }
        Ok(damaged)
    }

    /// The value of a key, unless it has expired at `now`.
    ///
    /// # Errors
    /// If the record is damaged or the file system fails to read.
    pub(crate) fn get(&self, now: u64, key: &[u8]) -> Result<Option<Vec<u8>>, Error> {
        let mut damaged = None;
        for location in self.index.find(fingerprint(key)) {
            let Some(segment) = self.segments.get(location.segment) else {
                continue;
            };
            let Some(record) = self.load_record(segment, location)? else {
                damaged = Some(damaged_record(segment, location));
                continue;
            };
            if record.key() != key {
                continue;
            }
            if record.header.is_expired(now) {
                return Ok(None);
            }
            let value = record.into_value();
            return value
                .map(Some)
                .ok_or_else(|| damaged_record(segment, location));
        }
        damaged.map_or(Ok(None), Err)
    }

    /// Reads a record; `None` if it is damaged.
    fn load_record(
        &self,
        segment: &Segment,
        location: RecordLocation,
    ) -> Result<Option<LoadedRecord>, Error> {
        let offset = u64::from(location.offset);
        let mut bytes = segment.read(&self.files, offset, location.approximate_size())?;
        let Some(header) = decode_record_header(&bytes, segment.header.salt, offset) else {
            return Ok(None);
        };
        if bytes.len() < header.size() {
            bytes = segment.read(&self.files, offset, header.size())?;
        }
        bytes.truncate(header.size());
        let is_intact =
            bytes.len() == header.size() && is_body_intact(&header, &bytes[RECORD_HEADER_BYTES..]);
        Ok(is_intact.then_some(LoadedRecord { header, bytes }))
    }

    /// Passes sequence number, key and value of all records that are live at `now` to `visit`, the
    /// oldest first, until it returns `false`. Damaged records are skipped.
    ///
    /// # Errors
    /// If the file system fails to read.
    pub(crate) fn visit_by_sequence(
        &self,
        now: u64,
        mut visit: impl FnMut(u64, &[u8], &[u8]) -> bool,
    ) -> Result<(), Error> {
        let slots = self.segments.iter_slots().map(|(slot, _)| slot);
        let mut cursors: Vec<SegmentCursor> = slots.map(SegmentCursor::new).collect();
        loop {
            for cursor in &mut cursors {
                cursor.fill(&self.files, &self.segments)?;
            }
            let Some(cursor) = oldest_cursor(&mut cursors) else {
                return Ok(());
            };
            if let Some(record) = cursor.record() {
                let is_live = self.is_live(&record) && !record.header.is_expired(now);
                if is_live && !visit_record(&record, &mut visit) {
                    return Ok(());
                }
            }
            cursor.advance();
        }
    }

    /// Whether the record holds the present value of its key.
    pub(crate) fn is_live(&self, record: &CursorRecord<'_>) -> bool {
        record.header.kind == RecordKind::Put
            && self
                .index
                .contains(fingerprint(record.key), record.location)
    }

    /// Reads all segments and reports damage. `progress` is called with the bytes read so far and
    /// in total.
    ///
    /// # Errors
    /// If the file system fails to read.
    pub(crate) fn check(&self, mut progress: impl FnMut(u64, u64)) -> Result<CheckReport, Error> {
        let mut checked = CheckReport::default();
        let total = self.total_bytes();
        for segment in self.segments.iter() {
            self.check_segment(segment, &mut checked, |read| progress(read, total))?;
        }
        progress(total, total);
        Ok(checked)
    }

    fn check_segment(
        &self,
        segment: &Segment,
        checked: &mut CheckReport,
        mut progress: impl FnMut(u64),
    ) -> Result<(), Error> {
        let mut reader = SegmentReader::new();
        loop {
            let offset = reader.offset();
            match reader.peek(&self.files, segment)? {
                SegmentItem::Record(header) => {
                    checked.records_read += 1;
                    reader.skip(header.size());
                }
                SegmentItem::Damaged(length) => {
                    let name = &segment.file.name;
                    push_damaged_range(&mut checked.damaged_ranges, name, offset, length as u64);
                    reader.skip(length);
                }
                SegmentItem::End => return Ok(()),
            }
            checked.bytes += reader.offset() - offset;
            if checked
                .records_read
                .is_multiple_of(PROGRESS_INTERVAL_RECORDS)
            {
                progress(checked.bytes);
            }
        }
    }
}

/// Passes a record to `visit` and returns its answer. A value that cannot be decompressed ends the
/// iteration.
fn visit_record(
    record: &CursorRecord<'_>,
    visit: &mut impl FnMut(u64, &[u8], &[u8]) -> bool,
) -> bool {
    let sequence = record.header.sequence;
    if record.header.compressed {
        return lz4_flex::decompress_size_prepended(record.stored_value)
            .is_ok_and(|value| visit(sequence, record.key, &value));
    }
    visit(sequence, record.key, record.stored_value)
}

fn damaged_record(segment: &Segment, location: RecordLocation) -> Error {
    Error::DamagedRecord {
        file: segment.file.name.clone(),
        offset: u64::from(location.offset),
    }
}
