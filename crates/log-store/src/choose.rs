//! Which segments to compact or to drop: decisions alone, without I/O.

/// What is known of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sealed {
    /// Which of the open segments.
    pub slot: u16,
    /// Bytes of its file.
    pub size: u64,
    /// Bytes of records that are live.
    pub live: u64,
    /// Bytes of deletes that may still be needed.
    pub deletes: u64,
    /// Its lowest sequence number.
    pub min_seq: u64,
    /// Its highest.
    pub max_seq: u64,
    /// It is written no more.
    pub sealed: bool,
}

/// Bytes that a segment takes beside its records: a rewrite wins nothing of these.
const OVERHEAD: u64 = 256;

/// A segment is worth rewriting beyond this share of dead bytes, in percent.
pub const DEAD_SHARE: u64 = 25;
/// Segments of one compaction at most: each costs a descriptor and a window of memory.
const MOST_VICTIMS: usize = 8;
/// So many small segments are put together even where nothing in them is dead.
const SMALL: usize = 4;

/// The segments to compact next: the one with the most dead bytes of those worth it, and others with it as long as what
/// lives in all fits into one segment. Small ones are put together. None where nothing is worth it.
#[must_use]
pub fn victims(all: &[Sealed], segment_bytes: u64) -> Vec<u16> {
    let dead = |segment: &Sealed| {
        // Deletes are dead where nothing older is left that they could hide; else a rewrite would keep them, and
        // choosing the segment for them would never end.
        let hides = all
            .iter()
            .any(|other| other.slot != segment.slot && other.min_seq < segment.max_seq);
        let kept = segment.live + if hides { segment.deletes } else { 0 };
        segment.size.saturating_sub(kept + OVERHEAD)
    };
    let sealed = || all.iter().filter(|segment| segment.sealed);
    let mut candidates: Vec<&Sealed> = sealed()
        .filter(|segment| dead(segment) * 100 > segment.size * DEAD_SHARE)
        .collect();
    candidates.sort_by_key(|segment| (std::cmp::Reverse(dead(segment)), segment.slot));
    if candidates.is_empty() {
        candidates = sealed()
            .filter(|segment| segment.size * 4 < segment_bytes)
            .collect();
        if candidates.len() < SMALL {
            return Vec::new();
        }
        candidates.sort_by_key(|segment| (segment.size, segment.slot));
    }
    let mut chosen = Vec::new();
    let mut total = 0;
    for segment in candidates {
        let kept = segment.live + segment.deletes;
        if chosen.len() < MOST_VICTIMS && (chosen.is_empty() || total + kept <= segment_bytes) {
            total += kept;
            chosen.push(segment.slot);
        }
    }
    chosen
}

/// The segment to drop where all files together may have `most` bytes: the one with the oldest records.
#[must_use]
pub fn oldest_beyond(all: &[Sealed], total: u64, most: Option<u64>) -> Option<u16> {
    most.filter(|most| total > *most)?;
    all.iter()
        .filter(|segment| segment.sealed)
        .min_by_key(|segment| (segment.min_seq, segment.slot))
        .map(|segment| segment.slot)
}

/// Whether a delete with this sequence number may still hide an older put, given the lowest numbers of all segments
/// that stay.
#[must_use]
pub fn may_hide(seq: u64, staying: impl IntoIterator<Item = u64>) -> bool {
    staying.into_iter().any(|min_seq| min_seq < seq)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sealed(slot: u16, size: u64, live: u64, deletes: u64, min_seq: u64) -> Sealed {
        Sealed {
            slot,
            size,
            live,
            deletes,
            min_seq,
            max_seq: min_seq + 9,
            sealed: true,
        }
    }

    #[test]
    fn what_is_most_dead_goes_first_with_what_fits_beside_it() {
        let all = [
            sealed(0, 10_000, 9_000, 0, 10),
            sealed(1, 10_000, 1_000, 0, 20),
            sealed(2, 10_000, 6_000, 0, 30),
            sealed(3, 10_000, 5_000, 0, 40),
        ];
        assert_eq!(victims(&all, 10_000), [1, 3]);
        assert_eq!(victims(&all, 50_000), [1, 3, 2]);
        assert!(victims(&all[..1], 10_000).is_empty());
        let active = [Sealed {
            sealed: false,
            ..all[1]
        }];
        assert!(victims(&active, 10_000).is_empty());
    }

    #[test]
    fn deletes_count_as_dead_only_where_nothing_older_is_left() {
        let all = [
            sealed(0, 10_000, 6_000, 3_700, 10),
            sealed(1, 10_000, 6_000, 3_700, 20),
        ];
        assert_eq!(victims(&all, 40_000), [0]);
        // One that reaches into the other's numbers may hide something there.
        let reaching = [
            Sealed {
                max_seq: 25,
                ..all[0]
            },
            all[1],
        ];
        assert!(victims(&reaching, 40_000).is_empty());
        assert!(may_hide(5, [9, 4]) && !may_hide(5, [5, 9]) && !may_hide(5, []));
    }

    #[test]
    fn small_segments_are_put_together_once_there_are_some_and_none_for_its_head_alone() {
        let small: Vec<_> = (0..4)
            .map(|n| sealed(n, 300, 100, 0, 10 * u64::from(n)))
            .collect();
        assert!(victims(&small[..3], 4_000).is_empty());
        assert_eq!(victims(&small, 4_000), [0, 1, 2, 3]);
    }

    #[test]
    fn the_oldest_is_dropped_beyond_the_bound() {
        let all = [sealed(0, 1_000, 1_000, 0, 7), sealed(1, 1_000, 1_000, 0, 3)];
        assert_eq!(oldest_beyond(&all, 2_000, Some(1_500)), Some(1));
        assert_eq!(oldest_beyond(&all, 2_000, Some(2_000)), None);
        assert_eq!(oldest_beyond(&all, 2_000, None), None);
    }
}
