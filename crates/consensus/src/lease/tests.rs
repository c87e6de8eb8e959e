//! Tests of the lease against constructed responses.

use super::{Lease, ProbeId};
use crate::change::LogIndex;

#[test]
fn lease_counts_from_start_of_probe_and_needs_quorum() {
    let mut lease = Lease::new(100, 2);
    let first = lease.start_probe(1_000);
    lease.on_response(first, 1, LogIndex(5));
    lease.renew(LogIndex(5));
    assert_eq!(lease.expires_at(), None, "one of three members");
    lease.on_response(first, 2, LogIndex(6));
    lease.renew(LogIndex(5));
    assert_eq!(
        lease.expires_at(),
        None,
        "a member has accepted more than is decided here"
    );
    lease.renew(LogIndex(6));
    assert_eq!(
        lease.expires_at(),
        Some(1_100),
        "the lease counts from the start of the probe"
    );
    let second = lease.start_probe(1_050);
    lease.on_response(second, 2, LogIndex(6));
    lease.on_response(second, 2, LogIndex(6));
    lease.renew(LogIndex(6));
    assert_eq!(lease.expires_at(), Some(1_100), "a member counts once");
    lease.on_response(second, 3, LogIndex(2));
    lease.renew(LogIndex(6));
    assert!(lease.is_held(1_149) && !lease.is_held(1_150));
}

#[test]
fn ignores_responses_to_unknown_probes() {
    let mut lease = Lease::new(100, 2);
    lease.on_response(ProbeId(7), 1, LogIndex(0));
    lease.on_response(ProbeId(7), 2, LogIndex(0));
    lease.renew(LogIndex(0));
    assert_eq!(lease.expires_at(), None);
}
