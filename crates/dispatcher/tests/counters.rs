//! Counts of what became of requests.

use cleatpulley_dispatcher::ClassCounters;

#[test]
fn counts_neither_expired_nor_invalid_nor_rejected_requests_as_failures_of_the_server() {
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
