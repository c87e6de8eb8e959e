//! Tests of the table's slots and of the order of expiry.

use super::*;

fn key(n: u64) -> ScopedKey {
    ScopedKey::new(0, 0, &n.to_be_bytes())
}

#[test]
fn handle_of_removed_entry_never_refers_to_another() {
    let mut table = ExpiringTable::new(1);
    let first = table.insert(key(1), 10, 'a');
    assert_eq!(table.find(&key(1)), Some(first));
    assert_eq!(table.remove(first).map(|entry| entry.value), Some('a'));
    let second = table.insert(key(2), 10, 'b');
    assert_eq!(
        (second.slot, table.get(first).is_some()),
        (first.slot, false)
    );
    assert!(table.get_mut(first).is_none() && table.remove(first).is_none());
    assert_eq!(
        (table.len(), table.find(&key(1)), table.find(&key(2))),
        (1, None, Some(second))
    );
}

#[test]
fn expires_entries_in_log_order_and_never_too_early() {
    let mut table = ExpiringTable::new(1);
    // The clock stepped back between the second and the third insertion.
    for (n, expires_at) in [(1, 10), (2, 20), (3, 5), (4, 30)] {
        let handle = table.insert(key(n), expires_at, n);
        table.start_expiry(handle);
    }
    let mut expired = |now| {
        let mut values = Vec::new();
        while let Some(handle) = table.pop_expired(now) {
            values.extend(table.remove(handle).map(|entry| entry.value));
        }
        values
    };
    assert_eq!(expired(9), Vec::<u64>::new());
    assert_eq!(expired(10), [1]);
    assert_eq!(expired(29), [2, 3]);
    assert_eq!(expired(30), [4]);
}
