//! Stored encoding of records and scoped keys.

use cleatpulley_idempotency::record::{request_digest, KeyOutcome, KeyRecord, ScopedKey};

#[test]
fn decodes_records_and_keys_that_were_encoded() {
    for record in [
        KeyRecord::Intent { digest: 7 },
        KeyRecord::Completed {
            digest: u128::MAX,
            outcome: KeyOutcome::Served(vec![0, 255]),
        },
        KeyRecord::Completed {
            digest: 0,
            outcome: KeyOutcome::Served(Vec::new()),
        },
        KeyRecord::Completed {
            digest: 1,
            outcome: KeyOutcome::Failed,
        },
    ] {
        let bytes = record.encode();
        assert_eq!(KeyRecord::decode(&bytes), Some(record));
        assert_eq!(KeyRecord::decode(&bytes[..16]), None);
    }
    assert_eq!(KeyRecord::decode(&[9; 17]), None);
    let key = ScopedKey::new(5, 2, b"k");
    assert_eq!(ScopedKey::from_bytes(key.as_bytes()), Some(key.clone()));
    assert_eq!((key.class(), key.client_key()), (2, &b"k"[..]));
    assert_eq!((key.owner(), ScopedKey::from_bytes(b"short")), (5, None));
    assert_ne!(ScopedKey::new(5, 2, b"k"), ScopedKey::new(5, 3, b"k"));
    assert_ne!(request_digest(1, b"a"), request_digest(2, b"a"));
}
