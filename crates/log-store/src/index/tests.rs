//! Tests of the index against a plain set.

use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

fn location(number: u32) -> RecordLocation {
    RecordLocation::new((number % 7) as u16, number + 1, 8 * (number as usize % 100))
}

/// With few fingerprints (long runs, the upper end among them) and with many.
#[test]
fn index_has_the_same_entries_as_a_plain_set_after_random_changes() {
    for prints in [4_u32, 300, u32::MAX] {
        let mut random = SmallRng::seed_from_u64(u64::from(prints));
        let mut index = Index::default();
        let mut plain = BTreeSet::new();
        for n in 0..6_000 {
            let print = u32::MAX - random.random_range(0..prints);
            if random.random_range(0..3) == 0 {
                let some = plain
                    .iter()
                    .nth(random.random_range(0..plain.len().max(1)))
                    .copied();
                if let Some((print, at)) = some {
                    plain.remove(&(print, at));
                    assert!(index.remove(print, at) && !index.contains(print, at));
                }
            } else {
                plain.insert((print, location(n)));
                index.insert(print, location(n));
                assert!(index.contains(print, location(n)));
            }
            assert_eq!(index.len(), plain.len());
        }
        let all: BTreeSet<_> = index.iter().collect();
        assert_eq!(all, plain);
        assert!(index.iter().map(|entry| entry.0).is_sorted());
        for (print, at) in &plain {
            assert!(index.replace(*print, *at, location(9_999_999)));
            assert!(!index.remove(*print, *at));
            assert!(index.replace(*print, location(9_999_999), *at));
        }
        assert!(!index.remove(1, location(1)));
        let entries: Vec<_> = plain.iter().copied().collect();
        let mut built = Index::build(&entries);
        assert!(built.iter().eq(entries.iter().copied()) && built.len() == plain.len());
        built.insert(u32::MAX, location(9_999_999));
        assert!(built.contains(u32::MAX, location(9_999_999)));
    }
}

#[test]
fn index_takes_less_than_24_bytes_of_memory_per_entry() {
    let mut index = Index::default();
    let mut random = SmallRng::seed_from_u64(1);
    for n in 0..100_000 {
        index.insert(random.random(), location(n));
    }
    let each = index.memory_bytes() as f64 / 100_000.0;
    assert!(each < 24.0, "{each}");
}
