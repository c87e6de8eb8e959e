//! Tests of the hint file's encoding.

use super::*;
use crate::format::{Salt, SegmentId};

const RECORD_COUNT: u64 = 3_000;
const RECORD_BYTES: u64 = 54;
const SEGMENT_BYTES: u64 = 80 + RECORD_BYTES * RECORD_COUNT;

/// The hint file of a segment with [`RECORD_COUNT`] records.
fn build_hint_file(segment: &SegmentHeader) -> Vec<u8> {
    let mut builder = HintBuilder::default();
    let mut bytes = Vec::new();
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
        bytes.extend(block.unwrap_or_default());
    }
    bytes.extend(builder.take_block());
    bytes.extend(encode_trailer(
        segment,
        SEGMENT_BYTES,
        builder.entry_count(),
    ));
    bytes
}

#[test]
fn decodes_intact_hint_and_rejects_truncation_and_flipped_bit() {
    let segment = SegmentHeader {
        id: SegmentId(4),
        salt: Salt(8),
        compacted: false,
    };
    let size = SEGMENT_BYTES;
    let bytes = build_hint_file(&segment);
    let entries = decode_hint(&bytes, &segment, size).expect("the hint file is intact");
    let decoded: Vec<_> = entries.iter().collect();
    assert_eq!((entries.entry_count(), decoded.len()), (3_000, 3_000));
    assert_eq!(
        (decoded[5].sequence, decoded[5].key),
        (5, &5_u64.to_be_bytes()[..])
    );
    assert!(decode_hint(&bytes, &segment, size + 1).is_none());
    for offset in (0..bytes.len()).step_by(61).chain([bytes.len() - 1]) {
        assert!(
            decode_hint(&bytes[..offset], &segment, size).is_none(),
            "truncated at {offset}"
        );
        let mut changed = bytes.clone();
        changed[offset] ^= 4;
        assert!(
            decode_hint(&changed, &segment, size).is_none(),
            "bit flipped at {offset}"
        );
    }
}
