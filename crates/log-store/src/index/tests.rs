//! Tests of the index against a reference set.

use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

fn location(number: u32) -> RecordLocation {
    RecordLocation::new((number % 7) as u16, number + 1, 8 * (number as usize % 100))
}

/// Covers few fingerprints, which make long runs up to the end of the table, and many.
#[test]
fn index_has_the_same_entries_as_a_reference_set_after_random_changes() {
    for fingerprint_count in [4_u32, 300, u32::MAX] {
        let mut random = SmallRng::seed_from_u64(u64::from(fingerprint_count));
        let mut index = Index::default();
        let mut expected = BTreeSet::new();
        for n in 0..6_000 {
            let fingerprint = u32::MAX - random.random_range(0..fingerprint_count);
            if random.random_range(0..3) == 0 {
                let existing = expected
                    .iter()
                    .nth(random.random_range(0..expected.len().max(1)))
                    .copied();
                if let Some((fingerprint, known_location)) = existing {
                    expected.remove(&(fingerprint, known_location));
                    assert!(
                        index.remove(fingerprint, known_location)
                            && !index.contains(fingerprint, known_location)
                    );
                }
            } else {
                expected.insert((fingerprint, location(n)));
                index.insert(fingerprint, location(n));
                assert!(index.contains(fingerprint, location(n)));
            }
            assert_eq!(index.len(), expected.len());
        }
        let actual: BTreeSet<_> = index.iter().collect();
        assert_eq!(actual, expected);
        assert!(index.iter().map(|entry| entry.0).is_sorted());
        for (fingerprint, known_location) in &expected {
            assert!(index.replace(*fingerprint, *known_location, location(9_999_999)));
            assert!(!index.remove(*fingerprint, *known_location));
            assert!(index.replace(*fingerprint, location(9_999_999), *known_location));
        }
        assert!(!index.remove(1, location(1)));
        let entries: Vec<_> = expected.iter().copied().collect();
        let mut built = Index::build(&entries);
        assert!(built.iter().eq(entries.iter().copied()) && built.len() == expected.len());
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
    let bytes_per_entry = index.memory_bytes() as f64 / 100_000.0;
    assert!(bytes_per_entry < 24.0, "{bytes_per_entry}");
}
