//! Which segments to compact and which to evict: decisions only, no I/O.

use crate::index::SegmentSlot;
use std::cmp::Reverse;

#[cfg(test)]
mod tests;

/// What the policy knows about a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompactionCandidate {
    /// Slot of the segment.
    pub slot: SegmentSlot,
    /// Size of the segment's file in bytes.
    pub size: u64,
    /// Bytes of live records.
    pub live_bytes: u64,
    /// Bytes of tombstones, which may still be needed.
    pub tombstone_bytes: u64,
    /// Lowest sequence number in the segment.
    pub min_sequence: u64,
    /// Highest sequence number in the segment.
    pub max_sequence: u64,
    /// Whether the segment is sealed. Only sealed segments are selected.
    pub is_sealed: bool,
}

/// Bytes of a segment besides its live records and tombstones, which a rewrite cannot reclaim.
const SEGMENT_OVERHEAD_BYTES: u64 = 256;

/// A segment is worth compacting if more than this share of it is dead, in percent.
pub const MIN_DEAD_PERCENT: u64 = 25;
/// Most segments of one compaction: each takes a file descriptor and a read window in memory.
const MAX_INPUTS: usize = 8;
/// From this number on, small segments are merged even if nothing in them is dead.
const MIN_SMALL_SEGMENTS: usize = 4;
/// A segment is small below this fraction of the segment size that is set.
const SMALL_SEGMENT_FRACTION: u64 = 4;

/// Selects the segments to compact next: the one with the most dead bytes among those worth
/// compacting, and further ones as long as what remains of all of them fits into one segment of
/// `segment_bytes`. If none is worth compacting, selects small segments to merge. Empty if there is
/// nothing to do.
#[must_use]
pub fn select_compaction_inputs(
    segments: &[CompactionCandidate],
    segment_bytes: u64,
) -> Vec<SegmentSlot> {
    let mut candidates = segments_with_dead_bytes(segments);
    if candidates.is_empty() {
        candidates = small_segments(segments, segment_bytes);
    }
    take_while_fitting(&candidates, segment_bytes)
}

fn segments_with_dead_bytes(segments: &[CompactionCandidate]) -> Vec<&CompactionCandidate> {
    let dead = |segment: &CompactionCandidate| dead_bytes(segment, segments);
    let mut candidates: Vec<&CompactionCandidate> = segments
        .iter()
        .filter(|segment| segment.is_sealed)
        .filter(|segment| dead(segment) * 100 > segment.size * MIN_DEAD_PERCENT)
        .collect();
    candidates.sort_by_key(|segment| (Reverse(dead(segment)), segment.slot));
    candidates
}

/// Bytes that a rewrite of the segment would reclaim. Tombstones count as dead only if no other
/// segment has an older record that they could shadow; otherwise a rewrite would retain them, and
/// the segment would be selected forever.
fn dead_bytes(segment: &CompactionCandidate, segments: &[CompactionCandidate]) -> u64 {
    let may_shadow = segments
        .iter()
        .any(|other| other.slot != segment.slot && other.min_sequence < segment.max_sequence);
    let needed_tombstones = if may_shadow {
        segment.tombstone_bytes
    } else {
        0
    };
    let retained = segment.live_bytes + needed_tombstones;
    segment
        .size
        .saturating_sub(retained + SEGMENT_OVERHEAD_BYTES)
}

/// All small sealed segments, or none if they are too few to be worth merging.
fn small_segments(
    segments: &[CompactionCandidate],
    segment_bytes: u64,
) -> Vec<&CompactionCandidate> {
    let mut candidates: Vec<&CompactionCandidate> = segments
        .iter()
        .filter(|segment| segment.is_sealed)
        .filter(|segment| segment.size * SMALL_SEGMENT_FRACTION < segment_bytes)
        .collect();
    if candidates.len() < MIN_SMALL_SEGMENTS {
        return Vec::new();
    }
    candidates.sort_by_key(|segment| (segment.size, segment.slot));
    candidates
}

fn take_while_fitting(candidates: &[&CompactionCandidate], segment_bytes: u64) -> Vec<SegmentSlot> {
    let mut selected = Vec::new();
    let mut total = 0;
    for segment in candidates {
        let retained = segment.live_bytes + segment.tombstone_bytes;
        let fits = selected.is_empty() || total + retained <= segment_bytes;
        if selected.len() < MAX_INPUTS && fits {
            total += retained;
            selected.push(segment.slot);
        }
    }
    selected
}

/// Selects the segment to evict if all files together, of `total_bytes`, exceed `max_bytes`: the
/// sealed one with the oldest records.
#[must_use]
pub fn select_eviction(
    segments: &[CompactionCandidate],
    total_bytes: u64,
    max_bytes: Option<u64>,
) -> Option<SegmentSlot> {
    max_bytes.filter(|max_bytes| total_bytes > *max_bytes)?;
    segments
        .iter()
        .filter(|segment| segment.is_sealed)
        .min_by_key(|segment| (segment.min_sequence, segment.slot))
        .map(|segment| segment.slot)
}

/// Whether a tombstone with this sequence number may still shadow an older put, given the lowest
/// sequence numbers of all segments that remain.
#[must_use]
pub fn may_shadow_older(sequence: u64, remaining: impl IntoIterator<Item = u64>) -> bool {
    remaining
        .into_iter()
        .any(|min_sequence| min_sequence < sequence)
}
