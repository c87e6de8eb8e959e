//! Allocation of incarnations over restarts, and their exhaustion.

use super::*;

/// A process that is killed at any step and starts again from the last durable mark never uses an
/// incarnation twice.
#[test]
fn no_incarnation_is_used_twice_whenever_the_power_fails() {
    let mut used = std::collections::BTreeSet::new();
    let mut disk = 0;
    for start in 0..200u64 {
        let (mut incarnations, mark) = Incarnations::start_after(disk).expect("some are left");
        if start % 3 == 0 {
            continue; // Killed before the mark was durable: no incarnation was used.
        }
        disk = mark.0;
        assert!(used.insert(incarnations.current()), "twice");
        for bump in 0..start % 7 {
            let highest_seen = if bump == 3 {
                incarnations.current() + 2 * INCARNATION_BLOCK_SIZE
            } else {
                0
            };
            if let Some(mark) = incarnations
                .advance_past(highest_seen)
                .expect("some are left")
            {
                disk = mark.0;
            }
            assert!(used.insert(incarnations.current()), "twice");
        }
    }
}

#[test]
fn reports_that_incarnations_are_exhausted() {
    assert_eq!(
        Incarnations::start_after(u64::MAX - 1),
        Err(IncarnationsExhausted(u64::MAX - 1))
    );
    let (mut incarnations, _) = Incarnations::start_after(0).expect("all are left");
    assert!(incarnations.is_behind(1) && !incarnations.is_behind(0));
    assert!(incarnations.advance_past(u64::MAX).is_err());
}
