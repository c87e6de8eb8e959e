//! Fences: the ownership of keys after moves of their ranges.

use cleatpulley_idempotency::fence::{Fence, FenceError, FenceTable, KeyRange};
use cleatpulley_idempotency::record::ScopedKey;

fn fence(range: KeyRange, epoch: u64, is_owned: bool) -> Fence {
    Fence {
        range,
        epoch,
        is_owned,
    }
}

#[test]
fn newest_move_of_a_key_decides_who_owns_it() {
    let mut fences = FenceTable::default();
    let key = |owner| ScopedKey::new(owner, 3, b"seat");
    assert!(fences.owns(&key(7)));
    fences
        .set(fence(KeyRange::of_owner(7), 1, false))
        .expect("first move of the range");
    assert!(!fences.owns(&key(7)) && fences.owns(&key(8)) && fences.owns(&key(6)));
    fences
        .set(fence(KeyRange::of_owner(7), 2, true))
        .expect("later move back");
    assert!(fences.owns(&key(7)));
    assert_eq!(fences.as_slice().len(), 1);
    let stale = fences.set(fence(KeyRange::of_owner(7), 2, false));
    assert_eq!(stale, Err(FenceError::StaleEpoch { epoch: 2, known: 2 }));
    fences
        .set(fence(KeyRange::all(), 3, false))
        .expect("move of all keys");
    assert!(!fences.owns(&key(7)) && !fences.owns(&key(u64::MAX)));
}

#[test]
fn rejects_range_that_overlaps_another_in_part() {
    let mut fences = FenceTable::default();
    let range = |start: u8, end: u8| KeyRange {
        start: vec![start],
        end: vec![end],
    };
    fences
        .set(fence(range(3, 6), 1, false))
        .expect("first range");
    assert_eq!(
        fences.set(fence(range(5, 9), 2, false)),
        Err(FenceError::PartialOverlap { known: 1 })
    );
    fences
        .set(fence(range(6, 9), 2, false))
        .expect("adjacent range");
    fences
        .set(fence(range(4, 5), 3, true))
        .expect("range within the first");
    assert!(
        KeyRange::of_owner(u64::MAX).overlaps(&KeyRange::all())
            && !range(3, 6).overlaps(&range(6, 9))
    );
}
