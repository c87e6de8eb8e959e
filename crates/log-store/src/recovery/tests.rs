//! Tests of the retention filter.

use super::*;
use crate::format::RecordKind;

const RECORD_BYTES: u64 = 100;

struct Filtered {
    sequences: Vec<u64>,
    valid_size: u64,
}

fn record(sequence: u64, starts_batch: bool, ends_batch: bool) -> RecoveredRecord {
    let header = RecordHeader {
        starts_batch,
        ends_batch,
        value_len: 64,
        ..RecordHeader::standalone(RecordKind::Put, sequence)
    };
    RecoveredRecord {
        header,
        offset: RECORD_BYTES * sequence,
        key: Vec::new(),
    }
}

fn record_after_sync(sequence: u64) -> RecoveredRecord {
    let mut record = record(sequence, true, true);
    record.header.follows_sync = true;
    record
}

/// Feeds a filter with a segment whose records have the sequence numbers 1, 2 and so on, one letter
/// each: `s` single record, `S` single record after a sync, `f` first, `m` middle and `l` last
/// record of a batch, `x` damage.
fn filter_segment(is_newest: bool, letters: &str) -> Filtered {
    let tail = if is_newest {
        SegmentTail::PossiblyTorn
    } else {
        SegmentTail::Synced
    };
    let mut filter = RetentionFilter::new(tail, RECORD_BYTES);
    let mut retained = Vec::new();
    for (index, letter) in letters.chars().enumerate() {
        let sequence = index as u64 + 1;
        match letter {
            'x' => filter.push_damage(RECORD_BYTES * sequence, RECORD_BYTES),
            's' => filter.push_record(record(sequence, true, true), &mut retained),
            'S' => filter.push_record(record_after_sync(sequence), &mut retained),
            'f' => filter.push_record(record(sequence, true, false), &mut retained),
            'm' => filter.push_record(record(sequence, false, false), &mut retained),
            _ => filter.push_record(record(sequence, false, true), &mut retained),
        }
    }
    let verdict = filter.finish(RECORD_BYTES * (letters.len() as u64 + 1));
    Filtered {
        sequences: retained
            .iter()
            .map(|record| record.header.sequence)
            .collect(),
        valid_size: verdict.valid_size,
    }
}

#[test]
fn retains_synced_records_individually_and_later_ones_up_to_first_damage() {
    for (is_newest, letters, expected_sequences, expected_size) in [
        (true, "sss", &[1, 2, 3][..], 400),
        (true, "ssx", &[1, 2], 300),
        (true, "sxs", &[1], 200),
        (true, "sxS", &[1, 3], 400),
        (true, "sxsSx", &[1, 3, 4], 500),
        (true, "fml", &[1, 2, 3], 400),
        (true, "sfm", &[1], 200),
        (true, "sfmx", &[1], 200),
        (true, "fxlS", &[1, 3, 4], 500),
        (true, "fxls", &[], 100),
        (true, "fls", &[1, 2, 3], 400),
        (true, "ffl", &[], 100),
        (false, "sxs", &[1, 3], 400),
        (false, "fxl", &[1, 3], 400),
        (false, "sf", &[1, 2], 300),
    ] {
        let Filtered {
            sequences,
            valid_size,
        } = filter_segment(is_newest, letters);
        assert_eq!(
            (&sequences[..], valid_size),
            (expected_sequences, expected_size),
            "{is_newest} {letters}"
        );
    }
}
