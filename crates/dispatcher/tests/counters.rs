//! Tests of the counters of responses.

use cleatpulley_dispatcher::ClassCounters;

#[test]
fn server_failures_exclude_expired_invalid_and_rejected_requests() {
    let counters = ClassCounters {
        served: 100,
        rejected: 50,
        failed: 9,
        expired: 4,
        invalid: 3,
        forwarded: 110,
    };
    assert_eq!(counters.server_failures(), 2);
}
