//! Cursors over the records of several segments, for merging them in the order of sequence numbers.
//!
//! Sequence numbers rise within a segment, so that the oldest record of all is the one with the
//! lowest sequence number among the current records of the cursors.

use crate::error::Error;
use crate::files::FileSystem;
use crate::format::RecordHeader;
use crate::index::{RecordLocation, SegmentSlot};
use crate::segment_reader::{SegmentItem, SegmentReader};
use crate::segment_table::SegmentTable;

/// A position among the intact records of one segment.
pub(crate) struct SegmentCursor {
    slot: SegmentSlot,
    reader: SegmentReader,
    current: Option<RecordHeader>,
    has_skipped_damage: bool,
}

/// The record at the position of a cursor.
pub(crate) struct CursorRecord<'a> {
    pub header: RecordHeader,
    pub location: RecordLocation,
    pub key: &'a [u8],
    /// The value as it is stored, perhaps compressed.
    pub stored_value: &'a [u8],
}

impl SegmentCursor {
    /// A cursor before the first record of the segment in `slot`.
    pub(crate) fn new(slot: SegmentSlot) -> Self {
        Self {
            slot,
            reader: SegmentReader::new(),
            current: None,
            has_skipped_damage: false,
        }
    }

    pub(crate) fn slot(&self) -> SegmentSlot {
        self.slot
    }

    /// Whether the cursor has passed a damaged range.
    pub(crate) fn has_skipped_damage(&self) -> bool {
        self.has_skipped_damage
    }

    /// Finds the current record if it is not known yet, skipping damaged ranges.
    ///
    /// # Errors
    /// If the file system fails to read.
    pub(crate) fn fill<F: FileSystem>(
        &mut self,
        files: &F,
        segments: &SegmentTable,
    ) -> Result<(), Error> {
        while self.current.is_none() {
            let Some(segment) = segments.get(self.slot) else {
                return Ok(());
            };
            match self.reader.peek(files, segment)? {
                SegmentItem::Record(header) => self.current = Some(header),
                SegmentItem::Damaged(length) => {
                    self.reader.skip(length);
                    self.has_skipped_damage = true;
                }
                SegmentItem::End => return Ok(()),
            }
        }
        Ok(())
    }

    /// The current record, unless the cursor is at the end or was not filled.
    pub(crate) fn record(&self) -> Option<CursorRecord<'_>> {
        let header = self.current?;
        let offset = self.reader.offset() as u32;
        let (key, stored_value) = self.reader.body(&header).split_at(header.key_len);
        Some(CursorRecord {
            header,
            location: RecordLocation::new(self.slot, offset, header.size()),
            key,
            stored_value,
        })
    }

    /// Moves past the current record.
    pub(crate) fn advance(&mut self) {
        if let Some(header) = self.current.take() {
            self.reader.skip(header.size());
        }
    }
}

/// The cursor whose current record is the oldest, or `None` if all are at their ends.
pub(crate) fn oldest_cursor(cursors: &mut [SegmentCursor]) -> Option<&mut SegmentCursor> {
    let sequence = |cursor: &SegmentCursor| cursor.current.map(|header| header.sequence);
    cursors
        .iter_mut()
        .filter(|cursor| cursor.current.is_some())
        .min_by_key(|cursor| sequence(cursor))
}
