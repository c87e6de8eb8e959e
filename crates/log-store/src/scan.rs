//! Scanning a segment record by record, whatever its bytes are: intact records and damaged ranges
//! between them. Works on bytes in memory, no I/O.

use crate::format::{
    decode_record_header, find_record_marker, is_body_intact, RecordHeader, Salt,
    RECORD_HEADER_BYTES,
};

#[cfg(test)]
mod tests;

/// What was found at the front of the scanned bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScanResult {
    /// An intact record.
    Record(RecordHeader),
    /// This many bytes that are not an intact record.
    Damaged(usize),
    /// At least this many bytes are needed to decide.
    NeedMore(usize),
    /// The end of the segment.
    End,
}

/// Scans `bytes`, which begin at `offset` of the segment with this `salt`. `is_segment_end` states
/// that the segment has no bytes after them.
#[must_use]
pub fn scan_record(bytes: &[u8], salt: Salt, offset: u64, is_segment_end: bool) -> ScanResult {
    if bytes.is_empty() && is_segment_end {
        return ScanResult::End;
    }
    if bytes.len() < RECORD_HEADER_BYTES && !is_segment_end {
        return ScanResult::NeedMore(RECORD_HEADER_BYTES);
    }
    if let Some(header) = decode_record_header(bytes, salt, offset) {
        return match bytes.get(RECORD_HEADER_BYTES..header.size()) {
            Some(body) if is_body_intact(&header, body) => ScanResult::Record(header),
            // The header is intact and states the length: scanning continues right after the
            // record.
            Some(_) => ScanResult::Damaged(header.size()),
            None if is_segment_end => {
                ScanResult::Damaged(find_intact_header(bytes, salt, offset).unwrap_or(bytes.len()))
            }
            None => ScanResult::NeedMore(header.size()),
        };
    }
    match find_intact_header(bytes, salt, offset) {
        Some(position) => ScanResult::Damaged(position),
        None if is_segment_end => ScanResult::Damaged(bytes.len()),
        // The last bytes may be the beginning of a header.
        None => ScanResult::Damaged(bytes.len() - RECORD_HEADER_BYTES + 1),
    }
}

/// Position of the next intact record header after the first byte.
fn find_intact_header(bytes: &[u8], salt: Salt, offset: u64) -> Option<usize> {
    let mut start = 1;
    while let Some(marker) = find_record_marker(bytes, start) {
        if decode_record_header(&bytes[marker..], salt, offset + marker as u64).is_some() {
            return Some(marker);
        }
        start = marker + 1;
    }
    None
}
