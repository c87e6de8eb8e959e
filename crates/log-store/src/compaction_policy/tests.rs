//! Tests of the compaction policy.

use super::*;

fn sealed_segment(
    slot: u16,
    size: u64,
    live_bytes: u64,
    tombstone_bytes: u64,
    min_sequence: u64,
) -> CompactionCandidate {
    CompactionCandidate {
        slot,
        size,
        live_bytes,
        tombstone_bytes,
        min_sequence,
        max_sequence: min_sequence + 9,
        is_sealed: true,
    }
}

#[test]
fn selects_segment_with_most_dead_bytes_and_others_that_fit_with_it() {
    let segments = [
        sealed_segment(0, 10_000, 9_000, 0, 10),
        sealed_segment(1, 10_000, 1_000, 0, 20),
        sealed_segment(2, 10_000, 6_000, 0, 30),
        sealed_segment(3, 10_000, 5_000, 0, 40),
    ];
    assert_eq!(select_compaction_inputs(&segments, 10_000), [1, 3]);
    assert_eq!(select_compaction_inputs(&segments, 50_000), [1, 3, 2]);
    assert!(select_compaction_inputs(&segments[..1], 10_000).is_empty());
    let active = [CompactionCandidate {
        is_sealed: false,
        ..segments[1]
    }];
    assert!(select_compaction_inputs(&active, 10_000).is_empty());
}

#[test]
fn tombstones_count_as_dead_only_if_no_older_segment_remains() {
    let segments = [
        sealed_segment(0, 10_000, 6_000, 3_700, 10),
        sealed_segment(1, 10_000, 6_000, 3_700, 20),
    ];
    assert_eq!(select_compaction_inputs(&segments, 40_000), [0]);
    // A segment whose sequence numbers overlap the other's may shadow something there.
    let overlapping = [
        CompactionCandidate {
            max_sequence: 25,
            ..segments[0]
        },
        segments[1],
    ];
    assert!(select_compaction_inputs(&overlapping, 40_000).is_empty());
    assert!(
        may_shadow_older(5, [9, 4]) && !may_shadow_older(5, [5, 9]) && !may_shadow_older(5, [])
    );
}

#[test]
fn merges_small_segments_only_from_the_minimum_number_on() {
    let small: Vec<_> = (0..4)
        .map(|slot| sealed_segment(slot, 300, 100, 0, 10 * u64::from(slot)))
        .collect();
    assert!(select_compaction_inputs(&small[..3], 4_000).is_empty());
    assert_eq!(select_compaction_inputs(&small, 4_000), [0, 1, 2, 3]);
}

#[test]
fn evicts_segment_with_oldest_records_only_above_the_size_bound() {
    let segments = [
        sealed_segment(0, 1_000, 1_000, 0, 7),
        sealed_segment(1, 1_000, 1_000, 0, 3),
    ];
    assert_eq!(select_eviction(&segments, 2_000, Some(1_500)), Some(1));
    assert_eq!(select_eviction(&segments, 2_000, Some(2_000)), None);
    assert_eq!(select_eviction(&segments, 2_000, None), None);
}
