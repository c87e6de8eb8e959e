//! The header at the front of every segment file.

use super::bytes::{read_u32, read_u64};

/// Size of a segment's header in bytes. The header is written twice in a row, so that damage to one
/// copy is harmless.
pub const SEGMENT_HEADER_BYTES: usize = 2 * HEADER_COPY_BYTES;

/// The format version that is written, and the newest one that can be read.
pub const FORMAT_VERSION: u32 = 1;

/// Size of one copy of the header in bytes.
const HEADER_COPY_BYTES: usize = 40;

/// Bytes of a header copy that its checksum covers; the checksum follows them.
const CHECKSUMMED_BYTES: usize = 36;

const MAGIC: [u8; 8] = *b"clpkeep\n";

/// Flag: the segment was written by compaction.
const FLAG_COMPACTED: u8 = 1;

/// Identifier of a segment. Identifiers rise in the order in which segments are created, and are
/// never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

/// Random number of a segment that is mixed into the checksums of its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Salt(pub u64);

/// The decoded content of a segment's header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Identifier of the segment; also its file name.
    pub id: SegmentId,
    /// Salt of the segment.
    pub salt: Salt,
    /// Whether compaction wrote the segment. Such a file was complete and durable before it got its
    /// final name.
    pub compacted: bool,
}

/// Result of decoding the front of a segment file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodedSegmentHeader {
    /// At least one copy of the header is intact.
    Valid(SegmentHeader),
    /// The file was written in a newer version of the format than [`FORMAT_VERSION`].
    UnsupportedVersion(u32),
    /// Both copies are damaged, or the header was never written completely.
    Damaged,
}

impl SegmentHeader {
    /// Encodes the header, both copies.
    #[must_use]
    pub fn encode(&self) -> [u8; SEGMENT_HEADER_BYTES] {
        let mut bytes = [0; SEGMENT_HEADER_BYTES];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes[12] = if self.compacted { FLAG_COMPACTED } else { 0 };
        bytes[16..24].copy_from_slice(&self.id.0.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.salt.0.to_le_bytes());
        let checksum = crc32c::crc32c(&bytes[..CHECKSUMMED_BYTES]);
        bytes[CHECKSUMMED_BYTES..HEADER_COPY_BYTES].copy_from_slice(&checksum.to_le_bytes());
        bytes.copy_within(..HEADER_COPY_BYTES, HEADER_COPY_BYTES);
        bytes
    }
}

/// Decodes the header at the front of a segment file.
#[must_use]
pub fn decode_segment_header(bytes: &[u8]) -> DecodedSegmentHeader {
    let copies = bytes
        .get(..SEGMENT_HEADER_BYTES)
        .unwrap_or_default()
        .chunks_exact(HEADER_COPY_BYTES);
    for copy in copies {
        if is_copy_intact(copy) {
            return decode_copy(copy);
        }
    }
    DecodedSegmentHeader::Damaged
}

fn is_copy_intact(copy: &[u8]) -> bool {
    let checksum = crc32c::crc32c(&copy[..CHECKSUMMED_BYTES]);
    checksum == read_u32(copy, CHECKSUMMED_BYTES) && copy[..8] == MAGIC
}

fn decode_copy(copy: &[u8]) -> DecodedSegmentHeader {
    match read_u32(copy, 8) {
        FORMAT_VERSION => DecodedSegmentHeader::Valid(SegmentHeader {
            id: SegmentId(read_u64(copy, 16)),
            salt: Salt(read_u64(copy, 24)),
            compacted: copy[12] & FLAG_COMPACTED != 0,
        }),
        version => DecodedSegmentHeader::UnsupportedVersion(version),
    }
}
