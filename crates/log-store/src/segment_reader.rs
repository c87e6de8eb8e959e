//! Reading a segment sequentially through a window in memory.

use crate::error::Error;
use crate::file_io::READ_WINDOW_BYTES;
use crate::files::FileSystem;
use crate::format::{RecordHeader, Salt, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES};
use crate::scan::{scan_record, ScanResult};
use crate::segment::Segment;

/// What a segment has at the position of a reader.
pub(crate) enum SegmentItem {
    /// An intact record.
    Record(RecordHeader),
    /// A damaged range of this many bytes.
    Damaged(usize),
    /// The end of the segment.
    End,
}

/// A position in a segment, with a window of the bytes that follow it.
pub(crate) struct SegmentReader {
    offset: u64,
    window: Vec<u8>,
    /// Offset of the window's first byte.
    window_offset: u64,
}

impl SegmentReader {
    /// A reader at the first record of a segment.
    pub(crate) fn new() -> Self {
        let offset = SEGMENT_HEADER_BYTES as u64;
        Self {
            offset,
            window: Vec::new(),
            window_offset: offset,
        }
    }

    /// Position of the reader in the segment, in bytes.
    pub(crate) fn offset(&self) -> u64 {
        self.offset
    }

    /// Looks at what follows the reader's position without moving it.
    ///
    /// # Errors
    /// If the file system fails to read.
    pub(crate) fn peek<F: FileSystem>(
        &mut self,
        files: &F,
        segment: &Segment,
    ) -> Result<SegmentItem, Error> {
        let salt = segment.header.salt;
        let remaining = segment.file.size.saturating_sub(self.offset);
        let mut needed = 1;
        loop {
            let buffered = self.buffered();
            let has_all = buffered.len() as u64 >= remaining;
            if buffered.len() >= needed || has_all {
                let length = usize::try_from(remaining).unwrap_or(usize::MAX);
                let bytes = &buffered[..buffered.len().min(length)];
                match scan_record(bytes, salt, self.offset, has_all) {
                    ScanResult::Record(header) => return Ok(SegmentItem::Record(header)),
                    ScanResult::Damaged(length) => return Ok(SegmentItem::Damaged(length)),
                    ScanResult::End => return Ok(SegmentItem::End),
                    ScanResult::NeedMore(length) => needed = length.max(buffered.len() + 1),
                }
            }
            let wanted = (needed.max(READ_WINDOW_BYTES) as u64).min(remaining) as usize;
            self.window = segment.read(files, self.offset, wanted)?;
            self.window_offset = self.offset;
            if self.window.len() < wanted {
                return Ok(self.peek_at_file_end(salt));
            }
        }
    }

    /// What follows the reader's position if the file is shorter than the segment was: the window
    /// has all that is left.
    fn peek_at_file_end(&self, salt: Salt) -> SegmentItem {
        match scan_record(&self.window, salt, self.offset, true) {
            ScanResult::Record(header) => SegmentItem::Record(header),
            ScanResult::Damaged(length) => SegmentItem::Damaged(length),
            ScanResult::NeedMore(_) | ScanResult::End => SegmentItem::End,
        }
    }

    /// The bytes in the window from the reader's position on.
    fn buffered(&self) -> &[u8] {
        let start = (self.offset - self.window_offset) as usize;
        self.window.get(start..).unwrap_or_default()
    }

    /// Key and stored value of the record that [`peek`](Self::peek) returned last.
    pub(crate) fn body(&self, header: &RecordHeader) -> &[u8] {
        let start = (self.offset - self.window_offset) as usize;
        &self.window[start + RECORD_HEADER_BYTES..start + header.size()]
    }

    /// Key of the record that [`peek`](Self::peek) returned last.
    pub(crate) fn key(&self, header: &RecordHeader) -> &[u8] {
        &self.body(header)[..header.key_len]
    }

    /// Moves the reader forward by `length` bytes.
    pub(crate) fn skip(&mut self, length: usize) {
        self.offset += length as u64;
    }
}
