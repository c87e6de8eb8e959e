//! Tests of the hint file's encoding.

use super::*;
use crate::format::{Salt, SegmentId};

const RECORD_COUNT: u64 = 3_000;
const RECORD_BYTES: u64 = 54;
const SEGMENT_BYTES: u64 = 80 + RECORD_BYTES * RECORD_COUNT;

/// The hint file of a segment with [`RECORD_COUNT`] records.
fn build_hint_file(segment: &SegmentHeader) -> Vec<u8> {
    let mut builder = HintBuilder::default();
    let mut body = Vec::new();
    for sequence in 0..RECORD_COUNT {
        let kind = if sequence % 9 == 0 {
            RecordKind::Tombstone
        } else {
            RecordKind::Put
        };
        let record = RecordHeader {
            key_len: 8,
            value_len: 10,
            expiry: sequence,
            ..RecordHeader::standalone(kind, sequence)
        };
        let offset = 80 + RECORD_BYTES * sequence;
        let block = builder.push(&record, offset as u32, &sequence.to_be_bytes());
        body.extend(block.unwrap_or_default());
    }
    body.extend(builder.take_block());
    body.extend(encode_trailer(
        segment,
        SEGMENT_BYTES,
        builder.entry_count(),
    ));
    body
}

#[test]
fn decodes_intact_hint_and_rejects_any_cut_or_flipped_one() {
    let segment = SegmentHeader {
        id: SegmentId(4),
        salt: Salt(8),
        compacted: false,
    };
    let size = SEGMENT_BYTES;
    let bytes = build_hint_file(&segment);
    let entries = decode_hint(&bytes, &segment, size).expect("whole");
    let all: Vec<_> = entries.iter().collect();
    assert_eq!((entries.entry_count(), all.len()), (3_000, 3_000));
    assert_eq!((all[5].sequence, all[5].key), (5, &5_u64.to_be_bytes()[..]));
    assert!(decode_hint(&bytes, &segment, size + 1).is_none());
    for at in (0..bytes.len()).step_by(61).chain([bytes.len() - 1]) {
        assert!(
            decode_hint(&bytes[..at], &segment, size).is_none(),
            "cut at {at}"
        );
        let mut changed = bytes.clone();
        changed[at] ^= 4;
        assert!(
            decode_hint(&changed, &segment, size).is_none(),
            "flip at {at}"
        );
    }
}
