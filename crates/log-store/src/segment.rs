//! An open segment: its file, how much of it is used, and its phase.

use crate::error::Error;
use crate::file_io::read_range;
use crate::files::{FileHandle, FileSystem};
use crate::format::SegmentHeader;

/// The file of a segment.
#[derive(Debug, Clone)]
pub(crate) struct SegmentFile {
    pub handle: FileHandle,
    pub name: String,
    /// Size in bytes up to the end of the last record.
    pub size: u64,
    /// Size in bytes to which the file was extended ahead of writing, 0 if it was not. Syncing what
    /// is written below it does not have to update the file's size.
    pub reserved_size: u64,
}

/// What the records of a segment amount to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SegmentUsage {
    /// Bytes of live records.
    pub live_bytes: u64,
    /// Bytes of tombstones.
    pub tombstone_bytes: u64,
    /// Lowest sequence number, `u64::MAX` without records.
    pub min_sequence: u64,
    /// Highest sequence number, 0 without records.
    pub max_sequence: u64,
}

impl SegmentUsage {
    /// Includes a sequence number in the range of those of the segment.
    pub(crate) fn include_sequence(&mut self, sequence: u64) {
        self.min_sequence = self.min_sequence.min(sequence);
        self.max_sequence = self.max_sequence.max(sequence);
    }
}

/// The phases of a segment, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SegmentPhase {
    /// Records are being appended.
    Writing,
    /// No more records are appended.
    Sealed,
    /// Sealed, and its hint file exists.
    SealedWithHint,
}

/// An open segment.
#[derive(Debug)]
pub(crate) struct Segment {
    pub header: SegmentHeader,
    pub file: SegmentFile,
    pub usage: SegmentUsage,
    pub phase: SegmentPhase,
    /// Whether damage was found in the segment. It is quarantined then rather than removed.
    pub is_damaged: bool,
}

impl Segment {
    /// A segment that is being written and whose records are not accounted for yet.
    pub(crate) fn new(header: SegmentHeader, handle: FileHandle, name: String, size: u64) -> Self {
        Self {
            header,
            file: SegmentFile {
                handle,
                name,
                size,
                reserved_size: 0,
            },
            usage: SegmentUsage {
                live_bytes: 0,
                tombstone_bytes: 0,
                min_sequence: u64::MAX,
                max_sequence: 0,
            },
            phase: SegmentPhase::Writing,
            is_damaged: false,
        }
    }

    pub(crate) fn is_sealed(&self) -> bool {
        self.phase != SegmentPhase::Writing
    }

    pub(crate) fn has_hint(&self) -> bool {
        self.phase == SegmentPhase::SealedWithHint
    }

    pub(crate) fn seal(&mut self) {
        if self.phase == SegmentPhase::Writing {
            self.phase = SegmentPhase::Sealed;
        }
    }

    /// Reads `length` bytes at `offset` of the segment; fewer if the file ends before.
    ///
    /// # Errors
    /// If the file system fails to read.
    pub(crate) fn read<F: FileSystem>(
        &self,
        files: &F,
        offset: u64,
        length: usize,
    ) -> Result<Vec<u8>, Error> {
        read_range(files, self.file.handle, &self.file.name, offset, length)
    }
}
