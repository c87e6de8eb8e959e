//! Hints: what a sealed segment's records are and where, without their values, so that opening does not read those.
//! A hint is believed only if it is whole and of its segment's size; else the segment itself is read.

use crate::format::{read_u16, read_u32, read_u64, Kind, RecordHead, SegmentHead, VERSION};

/// Bytes at the end of a hint that say whose it is.
pub const TRAILER: usize = 48;
const MAGIC: [u8; 8] = *b"clphint\n";
const ENTRY: usize = 32;
/// A block is closed beyond this size.
pub const BLOCK: usize = 65_536;
const BLOCK_HEAD: usize = 8;
/// No block is larger: what claims to be is damaged.
const LARGEST_BLOCK: usize = 2 * BLOCK;

/// One record as a hint tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Put or delete.
    pub kind: Kind,
    /// Sequence number.
    pub seq: u64,
    /// Expiry; 0 for never.
    pub expiry: u64,
    /// Offset in the segment.
    pub offset: u32,
    /// Bytes of the record.
    pub size: u32,
    /// The key.
    pub key: &'a [u8],
}

/// Builds a hint, block by block.
#[derive(Debug, Default)]
pub struct Writer {
    block: Vec<u8>,
    /// Entries so far.
    pub entries: u64,
}

impl Writer {
    /// Adds a record; returns a whole block where one became full.
    pub fn push(&mut self, head: &RecordHead, offset: u32, key: &[u8]) -> Option<Vec<u8>> {
        let kind = match head.kind {
            Kind::Put => 1,
            Kind::Delete => 2,
            Kind::Replaces | Kind::Mark => return None,
        };
        self.entries += 1;
        self.block.extend_from_slice(&[kind, 0]);
        self.block
            .extend_from_slice(&(key.len() as u16).to_le_bytes());
        self.block.extend_from_slice(&offset.to_le_bytes());
        self.block
            .extend_from_slice(&(head.size() as u32).to_le_bytes());
        self.block.extend_from_slice(&[0; 4]);
        self.block.extend_from_slice(&head.seq.to_le_bytes());
        self.block.extend_from_slice(&head.expiry.to_le_bytes());
        self.block.extend_from_slice(key);
        (self.block.len() >= BLOCK).then(|| self.take_block())
    }

    /// The last block, perhaps an empty one.
    pub fn take_block(&mut self) -> Vec<u8> {
        let block = std::mem::take(&mut self.block);
        let mut out = Vec::with_capacity(block.len() + BLOCK_HEAD);
        out.extend_from_slice(&(block.len() as u32).to_le_bytes());
        out.extend_from_slice(&crc32c::crc32c(&block).to_le_bytes());
        out.extend_from_slice(&block);
        out
    }
}

/// The end of a hint for a segment of this size.
#[must_use]
pub fn trailer(segment: &SegmentHead, size: u64, entries: u64) -> [u8; TRAILER] {
    let mut bytes = [0; TRAILER];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..12].copy_from_slice(&VERSION.to_le_bytes());
    bytes[12..20].copy_from_slice(&segment.id.to_le_bytes());
    bytes[20..28].copy_from_slice(&segment.salt.to_le_bytes());
    bytes[28..36].copy_from_slice(&size.to_le_bytes());
    bytes[36..44].copy_from_slice(&entries.to_le_bytes());
    let sum = crc32c::crc32c(&bytes[..44]);
    bytes[44..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// The entries of a hint that was found whole.
#[derive(Debug, Clone, Copy)]
pub struct Entries<'a> {
    blocks: &'a [u8],
    number: usize,
}

/// The entries of a hint, if it is one of this segment at this size; none where it is not believed. All of it is looked
/// at before the first entry is told.
#[must_use]
pub fn read<'a>(bytes: &'a [u8], segment: &SegmentHead, size: u64) -> Option<Entries<'a>> {
    let (blocks, end) = bytes.split_last_chunk::<TRAILER>()?;
    let told = read_u64(end, 36);
    if *end != trailer(segment, size, told) {
        return None;
    }
    let mut number = 0;
    let mut rest = blocks;
    while !rest.is_empty() {
        let (block, after) = block(rest)?;
        if crc32c::crc32c(block) != read_u32(rest, 4) {
            return None;
        }
        rest = after;
        let mut at = 0;
        while at < block.len() {
            let (entry, length) = entry(block, at)?;
            if u64::from(entry.offset) + u64::from(entry.size) > size {
                return None;
            }
            at += length;
            number += 1;
        }
    }
    (number as u64 == told).then_some(Entries { blocks, number })
}

/// The block at the front, and what follows it.
fn block(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let length = bytes
        .get(..BLOCK_HEAD)
        .map(|head| read_u32(head, 0) as usize)?;
    let rest = bytes
        .get(BLOCK_HEAD..)
        .filter(|_| length <= LARGEST_BLOCK)?;
    rest.split_at_checked(length)
}

/// The entry at this place of a block, and its bytes.
fn entry(block: &[u8], at: usize) -> Option<(Entry<'_>, usize)> {
    let head = block.get(at..at + ENTRY)?;
    let key_len = usize::from(read_u16(head, 2));
    let key = block.get(at + ENTRY..at + ENTRY + key_len)?;
    let kind = match head[0] {
        1 => Kind::Put,
        2 => Kind::Delete,
        _ => return None,
    };
    let (offset, size) = (read_u32(head, 4), read_u32(head, 8));
    let (seq, expiry) = (read_u64(head, 16), read_u64(head, 24));
    Some((
        Entry {
            kind,
            seq,
            expiry,
            offset,
            size,
            key,
        },
        ENTRY + key_len,
    ))
}

impl<'a> Entries<'a> {
    /// How many there are.
    #[must_use]
    pub fn number(&self) -> usize {
        self.number
    }

    /// The entries, in their order.
    pub fn iter(&self) -> impl Iterator<Item = Entry<'a>> {
        let mut rest = self.blocks;
        let mut current: &'a [u8] = &[];
        let mut at = 0;
        std::iter::from_fn(move || {
            while at >= current.len() {
                (current, rest) = block(rest)?;
                at = 0;
            }
            let (entry, length) = entry(current, at)?;
            at += length;
            Some(entry)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hint_is_believed_whole_or_not_at_all() {
        let segment = SegmentHead {
            id: 4,
            salt: 8,
            compacted: false,
        };
        let mut writer = Writer::default();
        let mut body = Vec::new();
        for seq in 0..3_000_u64 {
            let kind = if seq % 9 == 0 {
                Kind::Delete
            } else {
                Kind::Put
            };
            let record = RecordHead {
                kind,
                first: true,
                last: true,
                compressed: false,
                synced: false,
                key_len: 8,
                value_len: 10,
                expiry: seq,
                seq,
                sum: 0,
            };
            body.extend(
                writer
                    .push(&record, 80 + 54 * seq as u32, &seq.to_be_bytes())
                    .unwrap_or_default(),
            );
        }
        body.extend(writer.take_block());
        let size = 80 + 54 * 3_000;
        let bytes = [&body[..], &trailer(&segment, size, writer.entries)].concat();
        let entries = read(&bytes, &segment, size).expect("whole");
        let all: Vec<_> = entries.iter().collect();
        assert_eq!((entries.number(), all.len()), (3_000, 3_000));
        assert_eq!((all[5].seq, all[5].key), (5, &5_u64.to_be_bytes()[..]));
        assert!(read(&bytes, &segment, size + 1).is_none());
        for at in (0..bytes.len()).step_by(61).chain([bytes.len() - 1]) {
            assert!(read(&bytes[..at], &segment, size).is_none(), "cut at {at}");
            let mut changed = bytes.clone();
            changed[at] ^= 4;
            assert!(read(&changed, &segment, size).is_none(), "flip at {at}");
        }
    }
}
