//! The on-disk format: segment headers, records and file names. Pure encoding and decoding, no I/O.
//!
//! All numbers are little-endian. A record's header has a checksum of its own that also covers its
//! segment's salt and its offset, so that a copy of a record inside a value or at another offset is
//! never mistaken for a record. `docs/design/log-store.md` specifies the same format for other
//! programs.

pub(crate) mod bytes;
mod file_name;
mod record;
mod segment_header;

#[cfg(test)]
mod tests;

pub use file_name::{
    hint_file_name, quarantined_file_name, segment_file_name, unfinished_hint_file_name,
    unfinished_segment_file_name, FileKind,
};
pub use record::{
    decode_record_header, encode_record, find_record_marker, is_body_intact, RecordHeader,
    RecordKind, MAX_BATCH_RECORDS, MAX_KEY_BYTES, MAX_VALUE_BYTES, RECORD_HEADER_BYTES,
};
pub use segment_header::{
    decode_segment_header, DecodedSegmentHeader, Salt, SegmentHeader, SegmentId, FORMAT_VERSION,
    SEGMENT_HEADER_BYTES,
};
