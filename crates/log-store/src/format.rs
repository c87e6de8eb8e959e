//! The bytes of segments: heads and records. No I/O; `docs/design/log-store.md` writes the same down for other programs.
//!
//! All numbers are little-endian. A record's header has a checksum of its own, mixed with its segment's salt and its
//! offset: a copy of a record, in a value or at another place, is never taken for one.

/// Bytes of a segment's head: the same twice, so that damage to one costs nothing.
pub const SEGMENT_HEAD: usize = 2 * HALF_HEAD;
const HALF_HEAD: usize = 40;
/// Bytes of a record before its key and value.
pub const RECORD_HEAD: usize = 36;
/// The version that is written, and the newest that is read.
pub const VERSION: u32 = 1;
/// Bytes of the longest key.
pub const LONGEST_KEY: usize = 4_096;
/// Bytes of the largest value.
pub const LARGEST_VALUE: usize = 16 * 1_048_576;
/// Records of the largest batch.
pub const LARGEST_BATCH: usize = 65_535;

const MAGIC: [u8; 8] = *b"clpkeep\n";
const MARKER: [u8; 2] = [0x4B, 0xB5];

/// What a segment's head tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentHead {
    /// The segment's number.
    pub id: u64,
    /// Mixed into the checksums of its records.
    pub salt: u64,
    /// Compaction wrote it, whole before it got its name.
    pub compacted: bool,
}

/// What stands at the front of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Head {
    /// A good head.
    Good(SegmentHead),
    /// A newer version of the format than is known here.
    Newer(u32),
    /// Damaged, or not written whole.
    Damaged,
}

impl SegmentHead {
    /// Its bytes.
    #[must_use]
    pub fn encode(&self) -> [u8; SEGMENT_HEAD] {
        let mut bytes = [0; SEGMENT_HEAD];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..12].copy_from_slice(&VERSION.to_le_bytes());
        bytes[12] = u8::from(self.compacted);
        bytes[16..24].copy_from_slice(&self.id.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.salt.to_le_bytes());
        let sum = crc32c::crc32c(&bytes[..36]);
        bytes[36..HALF_HEAD].copy_from_slice(&sum.to_le_bytes());
        bytes.copy_within(..HALF_HEAD, HALF_HEAD);
        bytes
    }
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes
        .get(at..)
        .and_then(|rest| rest.first_chunk())
        .map_or(0, |chunk| u32::from_le_bytes(*chunk))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes
        .get(at..)
        .and_then(|rest| rest.first_chunk())
        .map_or(0, |chunk| u64::from_le_bytes(*chunk))
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    bytes
        .get(at..)
        .and_then(|rest| rest.first_chunk())
        .map_or(0, |chunk| u16::from_le_bytes(*chunk))
}

/// Reads a segment's head.
#[must_use]
pub fn segment_head(bytes: &[u8]) -> Head {
    let halves = bytes
        .get(..SEGMENT_HEAD)
        .unwrap_or_default()
        .chunks_exact(HALF_HEAD);
    for half in halves {
        if crc32c::crc32c(&half[..36]) == u32_at(half, 36) && half[..8] == MAGIC {
            return match u32_at(half, 8) {
                VERSION => Head::Good(SegmentHead {
                    id: u64_at(half, 16),
                    salt: u64_at(half, 24),
                    compacted: half[12] & 1 != 0,
                }),
                version => Head::Newer(version),
            };
        }
    }
    Head::Damaged
}

/// Kinds of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A key has this value.
    Put,
    /// A key has none.
    Delete,
    /// The segment was written in the place of those whose numbers are the value; the first record, if any.
    Replaces,
    /// All that stands before it is durable; carries nothing.
    Mark,
}

impl Kind {
    fn code(self) -> u8 {
        match self {
            Self::Put => 1,
            Self::Delete => 2,
            Self::Replaces => 3,
            Self::Mark => 4,
        }
    }

    fn of(code: u8) -> Option<Self> {
        Some(match code {
            1 => Self::Put,
            2 => Self::Delete,
            3 => Self::Replaces,
            4 => Self::Mark,
            _ => return None,
        })
    }
}

const FIRST: u8 = 1;
const LAST: u8 = 2;
const COMPRESSED: u8 = 4;
const SYNCED: u8 = 8;

/// What a record's header tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordHead {
    /// Its kind.
    pub kind: Kind,
    /// It begins a batch.
    pub first: bool,
    /// It ends a batch.
    pub last: bool,
    /// Its value is compressed.
    pub compressed: bool,
    /// All that stands before it in the segment was durable when it was written.
    pub synced: bool,
    /// Bytes of the key.
    pub key_len: usize,
    /// Bytes of the value as it is stored.
    pub value_len: usize,
    /// When it expires, in microseconds; 0 for never.
    pub expiry: u64,
    /// Its sequence number; those of a batch follow each other.
    pub seq: u64,
    /// Checksum of key and value.
    pub sum: u32,
}

impl RecordHead {
    /// Bytes of the whole record.
    #[must_use]
    pub fn size(&self) -> usize {
        RECORD_HEAD + self.key_len + self.value_len
    }

    /// Whether it has expired at this time.
    #[must_use]
    pub fn expired(&self, now: u64) -> bool {
        self.expiry != 0 && self.expiry <= now
    }
}

fn head_sum(bytes: &[u8], salt: u64, offset: u64) -> u32 {
    let mut mixed = [0; 16];
    mixed[..8].copy_from_slice(&salt.to_le_bytes());
    mixed[8..].copy_from_slice(&offset.to_le_bytes());
    crc32c::crc32c_append(crc32c::crc32c(&mixed), &bytes[..RECORD_HEAD - 4])
}

/// Appends a record that will stand at `offset` of its segment. Key and value are within their bounds.
pub fn push_record(
    out: &mut Vec<u8>,
    salt: u64,
    offset: u64,
    head: &RecordHead,
    key: &[u8],
    value: &[u8],
) {
    let start = out.len();
    let flag = |set: bool, flag: u8| if set { flag } else { 0 };
    let flags = flag(head.first, FIRST)
        | flag(head.last, LAST)
        | flag(head.compressed, COMPRESSED)
        | flag(head.synced, SYNCED);
    out.extend_from_slice(&MARKER);
    out.extend_from_slice(&[head.kind.code(), flags]);
    out.extend_from_slice(&(key.len() as u32).to_le_bytes());
    out.extend_from_slice(&(value.len() as u32).to_le_bytes());
    out.extend_from_slice(&head.expiry.to_le_bytes());
    out.extend_from_slice(&head.seq.to_le_bytes());
    let sum = crc32c::crc32c_append(crc32c::crc32c(key), value);
    out.extend_from_slice(&sum.to_le_bytes());
    let head_sum = head_sum(&out[start..], salt, offset);
    out.extend_from_slice(&head_sum.to_le_bytes());
    out.extend_from_slice(key);
    out.extend_from_slice(value);
}

/// Reads a record's header at `offset` of its segment; none where there is no good one.
#[must_use]
pub fn record_head(bytes: &[u8], salt: u64, offset: u64) -> Option<RecordHead> {
    let bytes = bytes.first_chunk::<RECORD_HEAD>()?;
    if bytes[..2] != MARKER || head_sum(bytes, salt, offset) != u32_at(bytes, 32) {
        return None;
    }
    let (key_len, value_len) = (u32_at(bytes, 4) as usize, u32_at(bytes, 8) as usize);
    if key_len > LONGEST_KEY || value_len > LARGEST_VALUE + LARGEST_VALUE / 64 {
        return None;
    }
    let flags = bytes[3];
    Some(RecordHead {
        kind: Kind::of(bytes[2])?,
        first: flags & FIRST != 0,
        last: flags & LAST != 0,
        compressed: flags & COMPRESSED != 0,
        synced: flags & SYNCED != 0,
        key_len,
        value_len,
        expiry: u64_at(bytes, 12),
        seq: u64_at(bytes, 20),
        sum: u32_at(bytes, 28),
    })
}

/// Whether key and value, which follow each other in `bytes`, are those that the header was written with.
#[must_use]
pub fn body_is_good(head: &RecordHead, bytes: &[u8]) -> bool {
    bytes.len() == head.key_len + head.value_len && crc32c::crc32c(bytes) == head.sum
}

/// The next place at or after `from` where a record may begin.
#[must_use]
pub fn next_marker(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    rest.windows(2)
        .position(|pair| pair == MARKER)
        .map(|at| from + at)
}

/// The name of a segment's file.
#[must_use]
pub fn segment_name(id: u64) -> String {
    format!("{id:016x}.seg")
}

/// The name of a segment that is being written by compaction.
#[must_use]
pub fn unfinished_name(id: u64) -> String {
    format!("{id:016x}.tmp")
}

/// The name of a segment's hint.
#[must_use]
pub fn hint_name(id: u64) -> String {
    format!("{id:016x}.hint")
}

/// What a name in the folder is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Named {
    /// A segment.
    Segment(u64),
    /// A hint.
    Hint(u64),
    /// Something that was not finished, and may be removed.
    Unfinished,
    /// The lock.
    Lock,
    /// A segment that was set aside.
    Quarantined,
    /// None of the store's.
    Foreign,
}

/// Reads a file's name.
#[must_use]
pub fn named(name: &str) -> Named {
    if name == crate::files::LOCK {
        return Named::Lock;
    }
    let Some((stem, kind)) = name.split_once('.') else {
        return Named::Foreign;
    };
    let hex = stem.len() == 16
        && stem
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    let id = u64::from_str_radix(stem, 16).ok().filter(|_| hex);
    match (id, kind) {
        (Some(id), "seg") => Named::Segment(id),
        (Some(id), "hint") => Named::Hint(id),
        (Some(_), "tmp" | "hint.tmp") => Named::Unfinished,
        (Some(_), "damaged") => Named::Quarantined,
        _ => Named::Foreign,
    }
}

/// Puts a hint's numbers together; see `hint`.
pub(crate) fn read_u16(bytes: &[u8], at: usize) -> u16 {
    u16_at(bytes, at)
}

pub(crate) fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32_at(bytes, at)
}

pub(crate) fn read_u64(bytes: &[u8], at: usize) -> u64 {
    u64_at(bytes, at)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head() -> RecordHead {
        RecordHead {
            kind: Kind::Put,
            first: true,
            last: false,
            compressed: false,
            synced: true,
            key_len: 3,
            value_len: 5,
            expiry: 9,
            seq: 77,
            sum: 0,
        }
    }

    #[test]
    fn a_record_is_read_where_it_was_written_and_nowhere_else() {
        let mut bytes = Vec::new();
        push_record(&mut bytes, 5, 100, &head(), b"key", b"value");
        let read = record_head(&bytes, 5, 100).expect("good");
        assert_eq!(RecordHead { sum: 0, ..read }, head());
        assert_eq!(read.size(), bytes.len());
        assert!(body_is_good(&read, &bytes[RECORD_HEAD..]));
        assert_eq!(
            (record_head(&bytes, 5, 101), record_head(&bytes, 6, 100)),
            (None, None)
        );
        for at in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[at] ^= 1;
            let good = record_head(&changed, 5, 100)
                .is_some_and(|head| body_is_good(&head, &changed[RECORD_HEAD..]));
            assert!(!good, "{at}");
        }
    }

    #[test]
    fn a_head_stands_any_one_damage_and_tells_a_newer_format() {
        let head = SegmentHead {
            id: 3,
            salt: 9,
            compacted: true,
        };
        let bytes = head.encode();
        assert_eq!(segment_head(&bytes), Head::Good(head));
        assert_eq!(segment_head(&bytes[..79]), Head::Damaged);
        for at in 0..bytes.len() {
            let mut changed = bytes;
            changed[at] ^= 0x40;
            assert_eq!(segment_head(&changed), Head::Good(head), "{at}");
        }
        let mut newer = bytes;
        newer[8] = 2;
        let sum = crc32c::crc32c(&newer[..36]);
        newer[36..40].copy_from_slice(&sum.to_le_bytes());
        assert_eq!(segment_head(&newer), Head::Newer(2));
    }

    #[test]
    fn names_are_told_apart() {
        for (name, expected) in [
            (segment_name(26), Named::Segment(26)),
            (hint_name(26), Named::Hint(26)),
            (unfinished_name(26), Named::Unfinished),
            ("lock".to_owned(), Named::Lock),
            ("000000000000001A.seg".to_owned(), Named::Foreign),
            ("1a.seg".to_owned(), Named::Foreign),
            ("notes.txt".to_owned(), Named::Foreign),
        ] {
            assert_eq!(named(&name), expected, "{name}");
        }
    }
}
