//! The sketch that limits the rates of any number of keys.

use cleatpulley_connection_admission::rate_sketch::{RateLimit, RateSketch};
use cleatpulley_policy::interface::Micros;
use std::collections::HashMap;

const SECOND: Micros = 1_000_000;

fn key(n: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&n.to_be_bytes(), 7)
}

#[test]
fn key_gets_its_burst_and_then_its_rate() {
    let mut sketch = RateSketch::new(
        RateLimit {
            per_second: 10.0,
            burst: 5.0,
        },
        1_024,
        100,
    );
    let mut acquired_at = |now| (0..20).filter(|_| sketch.try_acquire(now, key(1))).count();
    assert_eq!(acquired_at(100), 5);
    assert_eq!(acquired_at(100 + SECOND / 5), 2, "two events have leaked");
    assert_eq!(acquired_at(100 + 10 * SECOND), 5, "at most the burst");
    assert!(
        sketch.try_acquire(100, key(2)),
        "another key is permitted after the clock stepped back"
    );
}

/// Compares the sketch with one exact bucket per key.
#[test]
fn no_key_gets_more_than_an_exact_bucket_would_give() {
    let limit = RateLimit {
        per_second: 2.0,
        burst: 3.0,
    };
    let mut sketch = RateSketch::new(limit, 256, 0);
    let mut exact_buckets: HashMap<u64, (f64, Micros)> = HashMap::new();
    let (mut wrongly_rejected, mut permitted_exactly) = (0, 0);
    for n in 0..40_000_u64 {
        let now = n * 500;
        let client = n.wrapping_mul(n) % 97;
        let (level, updated_at) = exact_buckets.get(&client).copied().unwrap_or_default();
        let level = (level - (now - updated_at) as f64 / 1e6 * limit.per_second).max(0.0);
        let is_permitted_exactly = level + 1.0 <= limit.burst;
        if sketch.try_acquire(now, key(client)) {
            // Allows for the sketch's millisecond resolution and single precision.
            assert!(
                level + 1.0 <= limit.burst + 0.02,
                "client {client} is at level {level} at {now}"
            );
            exact_buckets.insert(client, (level + 1.0, now));
        } else {
            wrongly_rejected += u32::from(is_permitted_exactly);
        }
        permitted_exactly += u32::from(is_permitted_exactly);
    }
    assert!(
        wrongly_rejected * 20 < permitted_exactly,
        "{wrongly_rejected} of {permitted_exactly} events were rejected due to collisions"
    );
}

#[test]
fn memory_does_not_grow_with_the_number_of_keys() {
    let mut sketch = RateSketch::new(
        RateLimit {
            per_second: 1.0,
            burst: 2.0,
        },
        4_096,
        0,
    );
    let initial_bytes = sketch.memory_bytes();
    (0..100_000).for_each(|n| {
        sketch.try_acquire(0, key(n));
    });
    assert_eq!(
        (sketch.memory_bytes(), initial_bytes),
        (4 * 4_096 * 8, 4 * 4_096 * 8)
    );
}
