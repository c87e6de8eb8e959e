//! Hint files: the keys and locations of a sealed segment's records without their values, so that
//! opening a store need not read the values.
//!
//! A hint file is used only if it is intact as a whole and matches its segment's header and size;
//! otherwise the segment itself is read. Encoding and decoding only, no I/O.

use crate::format::bytes::{read_u16, read_u32, read_u64};
use crate::format::{RecordHeader, RecordKind, SegmentHeader, FORMAT_VERSION};

#[cfg(test)]
mod tests;

/// Size in bytes of the trailer, which names the segment that the hint file belongs to.
pub const TRAILER_BYTES: usize = 48;
/// A block is closed once it has at least this many bytes.
pub const BLOCK_TARGET_BYTES: usize = 65_536;

const MAGIC: [u8; 8] = *b"clphint\n";
/// Bytes of an entry before its key.
const ENTRY_HEADER_BYTES: usize = 32;
/// Bytes of a block before its entries: length and checksum.
const BLOCK_HEADER_BYTES: usize = 8;
/// Longest block that a reader accepts; a larger length can only be damage.
const MAX_BLOCK_BYTES: usize = 2 * BLOCK_TARGET_BYTES;

const KIND_PUT: u8 = 1;
const KIND_TOMBSTONE: u8 = 2;

/// The description of one record in a hint file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HintEntry<'a> {
    /// Either [`RecordKind::Put`] or [`RecordKind::Tombstone`].
    pub kind: RecordKind,
    /// Sequence number of the record.
    pub sequence: u64,
    /// Expiry time of the record in microseconds; 0 for never.
    pub expiry: u64,
    /// Offset of the record in its segment, in bytes.
    pub offset: u32,
    /// Size of the record in bytes.
    pub size: u32,
    /// Key of the record.
    pub key: &'a [u8],
}

impl HintEntry<'_> {
    fn encoded_len(&self) -> usize {
        ENTRY_HEADER_BYTES + self.key.len()
    }
}

/// Encodes a hint file, block by block.
#[derive(Debug, Default)]
pub struct HintBuilder {
    block: Vec<u8>,
    entry_count: u64,
}

impl HintBuilder {
    /// Adds the record at `offset` of the segment. Returns an encoded block if this one became
    /// full. Records that are neither puts nor tombstones are ignored.
    pub fn push(&mut self, header: &RecordHeader, offset: u32, key: &[u8]) -> Option<Vec<u8>> {
        let kind = match header.kind {
            RecordKind::Put => KIND_PUT,
            RecordKind::Tombstone => KIND_TOMBSTONE,
            RecordKind::Replaces | RecordKind::SyncMark => return None,
        };
        self.entry_count += 1;
        let key_len = key.len() as u16;
        let size = header.size() as u32;
        self.block.extend_from_slice(&[kind, 0]);
        self.block.extend_from_slice(&key_len.to_le_bytes());
        self.block.extend_from_slice(&offset.to_le_bytes());
        self.block.extend_from_slice(&size.to_le_bytes());
        self.block.extend_from_slice(&[0; 4]);
        self.block.extend_from_slice(&header.sequence.to_le_bytes());
        self.block.extend_from_slice(&header.expiry.to_le_bytes());
        self.block.extend_from_slice(key);
        (self.block.len() >= BLOCK_TARGET_BYTES).then(|| self.take_block())
    }

    /// Number of entries added so far.
    #[must_use]
    pub fn entry_count(&self) -> u64 {
        self.entry_count
    }

    /// Encodes the entries that are not yet in a block as the last block, which may be empty.
    pub fn take_block(&mut self) -> Vec<u8> {
        let block = std::mem::take(&mut self.block);
        let mut encoded = Vec::with_capacity(block.len() + BLOCK_HEADER_BYTES);
        encoded.extend_from_slice(&(block.len() as u32).to_le_bytes());
        encoded.extend_from_slice(&crc32c::crc32c(&block).to_le_bytes());
        encoded.extend_from_slice(&block);
        encoded
    }
}

/// Encodes the trailer of the hint file of a segment with this header and this size in bytes.
#[must_use]
pub fn encode_trailer(
    segment: &SegmentHeader,
    segment_size: u64,
    entry_count: u64,
) -> [u8; TRAILER_BYTES] {
    let mut bytes = [0; TRAILER_BYTES];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes[12..20].copy_from_slice(&segment.id.0.to_le_bytes());
    bytes[20..28].copy_from_slice(&segment.salt.0.to_le_bytes());
    bytes[28..36].copy_from_slice(&segment_size.to_le_bytes());
    bytes[36..44].copy_from_slice(&entry_count.to_le_bytes());
    let checksum = crc32c::crc32c(&bytes[..44]);
    bytes[44..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// The entries of a hint file that was verified as a whole.
#[derive(Debug, Clone, Copy)]
pub struct HintEntries<'a> {
    blocks: &'a [u8],
    entry_count: usize,
}

/// Verifies a hint file completely and returns its entries. Returns `None` if it is damaged or does
/// not belong to a segment with this header and this size in bytes.
#[must_use]
pub fn decode_hint<'a>(
    bytes: &'a [u8],
    segment: &SegmentHeader,
    segment_size: u64,
) -> Option<HintEntries<'a>> {
    let (blocks, trailer) = bytes.split_last_chunk::<TRAILER_BYTES>()?;
    let stated_count = read_u64(trailer, 36);
    if *trailer != encode_trailer(segment, segment_size, stated_count) {
        return None;
    }
    let mut entry_count = 0;
    let mut rest = blocks;
    while !rest.is_empty() {
        let block = split_block(rest)?;
        if crc32c::crc32c(block.entries) != block.checksum {
            return None;
        }
        entry_count += count_entries(block.entries, segment_size)?;
        rest = block.rest;
    }
    (entry_count as u64 == stated_count).then_some(HintEntries {
        blocks,
        entry_count,
    })
}

/// Number of entries of a block, or `None` if one is malformed or points beyond the segment.
fn count_entries(entries: &[u8], segment_size: u64) -> Option<usize> {
    let mut position = 0;
    let mut count = 0;
    while position < entries.len() {
        let entry = decode_entry(entries, position)?;
        if u64::from(entry.offset) + u64::from(entry.size) > segment_size {
            return None;
        }
        position += entry.encoded_len();
        count += 1;
    }
    Some(count)
}

/// A block at the front of some bytes, and what follows it.
struct SplitBlock<'a> {
    checksum: u32,
    entries: &'a [u8],
    rest: &'a [u8],
}

fn split_block(bytes: &[u8]) -> Option<SplitBlock<'_>> {
    let (header, body) = bytes.split_at_checked(BLOCK_HEADER_BYTES)?;
    let length = read_u32(header, 0) as usize;
    if length > MAX_BLOCK_BYTES {
        return None;
    }
    let (entries, rest) = body.split_at_checked(length)?;
    Some(SplitBlock {
        checksum: read_u32(header, 4),
        entries,
        rest,
    })
}

/// Decodes the entry at `position` of a block.
fn decode_entry(entries: &[u8], position: usize) -> Option<HintEntry<'_>> {
    let key_start = position + ENTRY_HEADER_BYTES;
    let header = entries.get(position..key_start)?;
    let key_len = usize::from(read_u16(header, 2));
    let key = entries.get(key_start..key_start + key_len)?;
    let kind = match header[0] {
        KIND_PUT => RecordKind::Put,
        KIND_TOMBSTONE => RecordKind::Tombstone,
        _ => return None,
    };
    Some(HintEntry {
        kind,
        sequence: read_u64(header, 16),
        expiry: read_u64(header, 24),
        offset: read_u32(header, 4),
        size: read_u32(header, 8),
        key,
    })
}

impl<'a> HintEntries<'a> {
    /// Number of entries.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entry_count
    }

    /// Iterates over the entries in the order of their records.
    pub fn iter(&self) -> impl Iterator<Item = HintEntry<'a>> {
        let mut rest = self.blocks;
        let mut entries: &'a [u8] = &[];
        let mut position = 0;
        std::iter::from_fn(move || {
            while position >= entries.len() {
                let block = split_block(rest)?;
                entries = block.entries;
                rest = block.rest;
                position = 0;
            }
            let entry = decode_entry(entries, position)?;
            position += entry.encoded_len();
            Some(entry)
        })
    }
}
