//! Limits per client certificate name.

use cleatpulley_connection_admission::identity::{IdentityLimiter, IdentityRejection, Settings};
use cleatpulley_connection_admission::rate_sketch::RateLimit;

fn names(name: &str) -> Vec<String> {
    vec![name.to_owned(), "127.0.0.1".to_owned()]
}

#[test]
fn limits_slots_and_rate_of_a_name_unless_the_operator_named_it() {
    let settings = Settings {
        allowlist: vec!["fe-1".to_owned()],
        slots: Some(2),
        rate: Some(RateLimit {
            per_second: 10.0,
            burst: 3.0,
        }),
    };
    let mut identities = IdentityLimiter::new(settings, 0);
    assert_eq!(identities.admit(0, 1, &names("fe-2")), Ok(false));
    assert_eq!(identities.admit(0, 2, &names("fe-2")), Ok(false));
    assert_eq!(
        identities.admit(0, 3, &names("fe-2")),
        Err(IdentityRejection::Slots)
    );
    identities.on_closed(1);
    assert_eq!(identities.admit(0, 4, &names("fe-2")), Ok(false));
    identities.on_closed(2);
    identities.on_closed(4);
    assert_eq!(
        identities.admit(0, 5, &names("fe-2")),
        Err(IdentityRejection::Rate),
        "the burst of three is used up"
    );
    assert_eq!(identities.admit(100_000, 6, &names("fe-2")), Ok(false));
    for id in 10..100 {
        assert_eq!(identities.admit(0, id, &names("fe-1")), Ok(true));
    }
    assert_eq!(identities.slots_held("fe-1"), 0);
    assert_eq!(
        identities.admit(0, 200, &[]),
        Ok(false),
        "a client without a certificate is not limited"
    );
}
