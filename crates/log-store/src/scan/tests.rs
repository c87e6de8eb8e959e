//! Tests of scanning damaged segments.

use super::*;
use crate::format::{encode_record, RecordKind};

const SALT: Salt = Salt(7);

struct EncodedRecords {
    bytes: Vec<u8>,
    starts: Vec<usize>,
}

fn encode_records(count: u64) -> EncodedRecords {
    let mut bytes = Vec::new();
    let mut starts = Vec::new();
    for sequence in 0..count {
        starts.push(bytes.len());
        let header = RecordHeader::standalone(RecordKind::Put, sequence);
        let offset = bytes.len() as u64;
        // The value is a complete record itself, which must never be mistaken for one of the
        // segment.
        let mut inner = Vec::new();
        encode_record(&mut inner, SALT, offset, &header, b"inner", b"inner");
        encode_record(
            &mut bytes,
            SALT,
            offset,
            &header,
            &sequence.to_le_bytes(),
            &inner,
        );
    }
    EncodedRecords { bytes, starts }
}

fn scan_sequences(bytes: &[u8]) -> Vec<u64> {
    let mut sequences = Vec::new();
    let mut offset = 0;
    loop {
        match scan_record(&bytes[offset..], SALT, offset as u64, true) {
            ScanResult::Record(header) => {
                sequences.push(header.sequence);
                offset += header.size();
            }
            ScanResult::Damaged(length) => {
                assert!(length > 0);
                offset += length;
            }
            ScanResult::NeedMore(_) => unreachable!("the segment is complete"),
            ScanResult::End => return sequences,
        }
    }
}

#[test]
fn flipped_byte_loses_its_record_and_truncation_loses_records_after_it() {
    let EncodedRecords { bytes, starts } = encode_records(5);
    assert_eq!(scan_sequences(&bytes), [0, 1, 2, 3, 4]);
    for offset in 0..bytes.len() {
        let damaged = starts
            .iter()
            .rposition(|start| *start <= offset)
            .expect("a record starts there or before") as u64;
        let mut changed = bytes.clone();
        changed[offset] ^= 0x55;
        let remaining: Vec<_> = (0..5).filter(|sequence| *sequence != damaged).collect();
        assert_eq!(scan_sequences(&changed), remaining, "flipped at {offset}");
        let complete: Vec<_> = (0..damaged).collect();
        assert_eq!(
            scan_sequences(&bytes[..offset]),
            complete,
            "truncated at {offset}"
        );
    }
}

#[test]
fn scan_finds_the_same_records_through_windows_of_any_size() {
    let EncodedRecords { mut bytes, starts } = encode_records(4);
    bytes[starts[1] + 3] ^= 1;
    for window in [1, 7, 50, 200, 1_000] {
        let mut sequences = Vec::new();
        let mut offset = 0;
        let mut length = window;
        loop {
            let end = (offset + length).min(bytes.len());
            match scan_record(&bytes[offset..end], SALT, offset as u64, end == bytes.len()) {
                ScanResult::Record(header) => {
                    sequences.push(header.sequence);
                    offset += header.size();
                    length = window;
                }
                ScanResult::Damaged(damaged_length) => offset += damaged_length,
                ScanResult::NeedMore(needed) => length = needed.max(length + 1),
                ScanResult::End => break,
            }
        }
        assert_eq!(sequences, [0, 2, 3], "{window}");
    }
}
