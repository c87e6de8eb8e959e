//! Tests of the on-disk format.

use super::*;

fn batch_start_header() -> RecordHeader {
    RecordHeader {
        ends_batch: false,
        follows_sync: true,
        key_len: 3,
        value_len: 5,
        expiry: 9,
        ..RecordHeader::standalone(RecordKind::Put, 77)
    }
}

#[test]
fn decodes_record_only_with_its_salt_offset_and_unchanged_bytes() {
    let mut bytes = Vec::new();
    encode_record(
        &mut bytes,
        Salt(5),
        100,
        &batch_start_header(),
        b"key",
        b"value",
    );
    let decoded = decode_record_header(&bytes, Salt(5), 100).expect("the header is intact");
    assert_eq!(
        RecordHeader {
            body_checksum: 0,
            ..decoded
        },
        batch_start_header()
    );
    assert_eq!(decoded.size(), bytes.len());
    assert!(is_body_intact(&decoded, &bytes[RECORD_HEADER_BYTES..]));
    assert_eq!(
        (
            decode_record_header(&bytes, Salt(5), 101),
            decode_record_header(&bytes, Salt(6), 100)
        ),
        (None, None)
    );
    for offset in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[offset] ^= 1;
        let is_intact = decode_record_header(&changed, Salt(5), 100)
            .is_some_and(|header| is_body_intact(&header, &changed[RECORD_HEADER_BYTES..]));
        assert!(!is_intact, "{offset}");
    }
}

#[test]
fn decodes_segment_header_despite_one_damaged_byte_and_reports_newer_version() {
    let header = SegmentHeader {
        id: SegmentId(3),
        salt: Salt(9),
        compacted: true,
    };
    let bytes = header.encode();
    assert_eq!(
        decode_segment_header(&bytes),
        DecodedSegmentHeader::Valid(header)
    );
    assert_eq!(
        decode_segment_header(&bytes[..79]),
        DecodedSegmentHeader::Damaged
    );
    for offset in 0..bytes.len() {
        let mut changed = bytes;
        changed[offset] ^= 0x40;
        assert_eq!(
            decode_segment_header(&changed),
            DecodedSegmentHeader::Valid(header),
            "{offset}"
        );
    }
    let mut newer = bytes;
    newer[8] = 2;
    let checksum = crc32c::crc32c(&newer[..36]);
    newer[36..40].copy_from_slice(&checksum.to_le_bytes());
    assert_eq!(
        decode_segment_header(&newer),
        DecodedSegmentHeader::UnsupportedVersion(2)
    );
}

#[test]
fn classifies_files_by_name() {
    for (name, expected) in [
        (
            segment_file_name(SegmentId(26)),
            FileKind::Segment(SegmentId(26)),
        ),
        (hint_file_name(SegmentId(26)), FileKind::Hint(SegmentId(26))),
        (
            unfinished_segment_file_name(SegmentId(26)),
            FileKind::Unfinished,
        ),
        ("lock".to_owned(), FileKind::Lock),
        ("000000000000001A.seg".to_owned(), FileKind::Foreign),
        ("1a.seg".to_owned(), FileKind::Foreign),
        ("notes.txt".to_owned(), FileKind::Foreign),
    ] {
        assert_eq!(FileKind::from_name(&name), expected, "{name}");
    }
}
