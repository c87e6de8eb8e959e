//! Records: a checksummed header, a key and a value.

use super::bytes::{read_u32, read_u64};
use super::segment_header::Salt;

/// Size in bytes of a record's header, which precedes its key and value.
pub const RECORD_HEADER_BYTES: usize = 36;
/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 4_096;
/// Largest value in bytes, before compression.
pub const MAX_VALUE_BYTES: usize = 16 * 1_048_576;
/// Most records of one batch.
pub const MAX_BATCH_RECORDS: usize = 65_535;

/// Largest stored value in bytes that a header may state. Compression can enlarge incompressible
/// data a little, which is why it exceeds [`MAX_VALUE_BYTES`].
const MAX_STORED_VALUE_BYTES: usize = MAX_VALUE_BYTES + MAX_VALUE_BYTES / 64;

/// Bytes of a header that its checksum covers; the checksum follows them.
const CHECKSUMMED_BYTES: usize = RECORD_HEADER_BYTES - 4;

/// The first bytes of every record, which are searched for after damage.
const RECORD_MARKER: [u8; 2] = [0x4B, 0xB5];

const FLAG_STARTS_BATCH: u8 = 1;
const FLAG_ENDS_BATCH: u8 = 2;
const FLAG_COMPRESSED: u8 = 4;
const FLAG_FOLLOWS_SYNC: u8 = 8;

/// Kinds of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKind {
    /// Sets the value of a key.
    Put,
    /// Deletes a key.
    Tombstone,
    /// Lists, as its value, the identifiers of the segments that the compacted segment replaces. It
    /// is the first record of its segment.
    Replaces,
    /// States that everything before it in the segment is durable; has neither key nor value.
    SyncMark,
}

impl RecordKind {
    fn encode(self) -> u8 {
        match self {
            Self::Put => 1,
            Self::Tombstone => 2,
            Self::Replaces => 3,
            Self::SyncMark => 4,
        }
    }

    fn decode(code: u8) -> Option<Self> {
        match code {
            1 => Some(Self::Put),
            2 => Some(Self::Tombstone),
            3 => Some(Self::Replaces),
            4 => Some(Self::SyncMark),
            _ => None,
        }
    }
}

/// The decoded header of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordHeader {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Whether the record is the first of its batch.
    pub starts_batch: bool,
    /// Whether the record is the last of its batch.
    pub ends_batch: bool,
    /// Whether the stored value is compressed.
    pub compressed: bool,
    /// Whether everything before the record in its segment was durable when the record was written.
    pub follows_sync: bool,
    /// Length of the key in bytes.
    pub key_len: usize,
    /// Length of the stored value in bytes.
    pub value_len: usize,
    /// Expiry time in microseconds; 0 for never.
    pub expiry: u64,
    /// Sequence number; those of the records of one batch are consecutive.
    pub sequence: u64,
    /// Checksum of key and stored value. [`encode_record`] computes it and ignores this field.
    pub body_checksum: u32,
}

impl RecordHeader {
    /// A header of a batch of one record, without key, value and expiry time.
    #[must_use]
    pub fn standalone(kind: RecordKind, sequence: u64) -> Self {
        Self {
            kind,
            starts_batch: true,
            ends_batch: true,
            compressed: false,
            follows_sync: false,
            key_len: 0,
            value_len: 0,
            expiry: 0,
            sequence,
            body_checksum: 0,
        }
    }

    /// Size in bytes of the whole record: header, key and stored value.
    #[must_use]
    pub fn size(&self) -> usize {
        RECORD_HEADER_BYTES + self.key_len + self.value_len
    }

    /// Whether the record has expired at `now`, in microseconds.
    #[must_use]
    pub fn is_expired(&self, now: u64) -> bool {
        self.expiry != 0 && self.expiry <= now
    }

    fn flags(&self) -> u8 {
        let flag = |is_set: bool, flag: u8| if is_set { flag } else { 0 };
        flag(self.starts_batch, FLAG_STARTS_BATCH)
            | flag(self.ends_batch, FLAG_ENDS_BATCH)
            | flag(self.compressed, FLAG_COMPRESSED)
            | flag(self.follows_sync, FLAG_FOLLOWS_SYNC)
    }
}

/// Appends an encoded record to `output`. The record is to be written at `offset` of the segment
/// with this `salt`.
///
/// The lengths in `header` are ignored in favour of those of `key` and `value`, which the caller
/// has checked against [`MAX_KEY_BYTES`] and [`MAX_VALUE_BYTES`].
pub fn encode_record(
    output: &mut Vec<u8>,
    salt: Salt,
    offset: u64,
    header: &RecordHeader,
    key: &[u8],
    value: &[u8],
) {
    let start = output.len();
    output.extend_from_slice(&RECORD_MARKER);
    output.extend_from_slice(&[header.kind.encode(), header.flags()]);
    output.extend_from_slice(&(key.len() as u32).to_le_bytes());
    output.extend_from_slice(&(value.len() as u32).to_le_bytes());
    output.extend_from_slice(&header.expiry.to_le_bytes());
    output.extend_from_slice(&header.sequence.to_le_bytes());
    let body_checksum = crc32c::crc32c_append(crc32c::crc32c(key), value);
    output.extend_from_slice(&body_checksum.to_le_bytes());
    let header_checksum = header_checksum(&output[start..], salt, offset);
    output.extend_from_slice(&header_checksum.to_le_bytes());
    output.extend_from_slice(key);
    output.extend_from_slice(value);
}

/// Decodes the header of the record at the front of `bytes`, which begin at `offset` of the segment
/// with this `salt`. Returns `None` if there is no intact header.
#[must_use]
pub fn decode_record_header(bytes: &[u8], salt: Salt, offset: u64) -> Option<RecordHeader> {
    let bytes = bytes.first_chunk::<RECORD_HEADER_BYTES>()?;
    if bytes[..2] != RECORD_MARKER {
        return None;
    }
    if header_checksum(bytes, salt, offset) != read_u32(bytes, CHECKSUMMED_BYTES) {
        return None;
    }
    let key_len = read_u32(bytes, 4) as usize;
    let value_len = read_u32(bytes, 8) as usize;
    if key_len > MAX_KEY_BYTES || value_len > MAX_STORED_VALUE_BYTES {
        return None;
    }
    let flags = bytes[3];
    Some(RecordHeader {
        kind: RecordKind::decode(bytes[2])?,
        starts_batch: flags & FLAG_STARTS_BATCH != 0,
        ends_batch: flags & FLAG_ENDS_BATCH != 0,
        compressed: flags & FLAG_COMPRESSED != 0,
        follows_sync: flags & FLAG_FOLLOWS_SYNC != 0,
        key_len,
        value_len,
        expiry: read_u64(bytes, 12),
        sequence: read_u64(bytes, 20),
        body_checksum: read_u32(bytes, 28),
    })
}

/// Checksum of a record's header, mixed with the salt of its segment and its offset.
fn header_checksum(bytes: &[u8], salt: Salt, offset: u64) -> u32 {
    let mut context = [0; 16];
    context[..8].copy_from_slice(&salt.0.to_le_bytes());
    context[8..].copy_from_slice(&offset.to_le_bytes());
    crc32c::crc32c_append(crc32c::crc32c(&context), &bytes[..CHECKSUMMED_BYTES])
}

/// Whether `body`, the key followed by the stored value, is what the header was written for.
#[must_use]
pub fn is_body_intact(header: &RecordHeader, body: &[u8]) -> bool {
    body.len() == header.key_len + header.value_len && crc32c::crc32c(body) == header.body_checksum
}

/// Position of the first record marker in `bytes` at or after `start`: a place where a record may
/// begin.
#[must_use]
pub fn find_record_marker(bytes: &[u8], start: usize) -> Option<usize> {
    let rest = bytes.get(start..)?;
    rest.windows(RECORD_MARKER.len())
        .position(|pair| pair == RECORD_MARKER)
        .map(|position| start + position)
}
