//! Names of the files in a store's folder.

use super::segment_header::SegmentId;
use crate::files::LOCK_FILE_NAME;

/// Digits of a segment identifier in a file name.
const ID_DIGITS: usize = 16;

/// Name of a segment's file.
#[must_use]
pub fn segment_file_name(segment_id: SegmentId) -> String {
    format!("{:016x}.seg", segment_id.0)
}

/// Name of a segment's file while compaction is still writing it.
#[must_use]
pub fn unfinished_segment_file_name(segment_id: SegmentId) -> String {
    format!("{:016x}.tmp", segment_id.0)
}

/// Name of a segment's hint file.
#[must_use]
pub fn hint_file_name(segment_id: SegmentId) -> String {
    format!("{:016x}.hint", segment_id.0)
}

/// Name of a segment's hint file while it is still being written.
#[must_use]
pub fn unfinished_hint_file_name(segment_id: SegmentId) -> String {
    format!("{:016x}.hint.tmp", segment_id.0)
}

/// Name under which a damaged segment is quarantined.
#[must_use]
pub fn quarantined_file_name(segment_id: SegmentId) -> String {
    format!("{:016x}.damaged", segment_id.0)
}

/// What a file in the store's folder is, judged by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// The segment with this identifier.
    Segment(SegmentId),
    /// The hint file of the segment with this identifier.
    Hint(SegmentId),
    /// A segment or hint file whose writing was interrupted; recovery removes it.
    Unfinished,
    /// The lock file.
    Lock,
    /// A damaged segment that was set aside.
    Quarantined,
    /// Not a file of the store.
    Foreign,
}

impl FileKind {
    /// Classifies a file by its name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        if name == LOCK_FILE_NAME {
            return Self::Lock;
        }
        let Some((stem, extension)) = name.split_once('.') else {
            return Self::Foreign;
        };
        match (parse_segment_id(stem), extension) {
            (Some(id), "seg") => Self::Segment(id),
            (Some(id), "hint") => Self::Hint(id),
            (Some(_), "tmp" | "hint.tmp") => Self::Unfinished,
            (Some(_), "damaged") => Self::Quarantined,
            _ => Self::Foreign,
        }
    }
}

/// Parses exactly [`ID_DIGITS`] lower-case hexadecimal digits.
fn parse_segment_id(stem: &str) -> Option<SegmentId> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if stem.len() != ID_DIGITS || !stem.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(stem, 16).ok().map(SegmentId)
}
