//! Leases of processes that are partitioned or suspended.

use crate::cluster::{Cluster, SECOND};
use crate::link::Link;
use cleatpulley_consensus::{Event, NodeId};

#[test]
fn minority_partition_decides_nothing_and_reports_expiry_of_its_lease() {
    let mut cluster = Cluster::new(5, &[1, 2, 3, 4, 5]);
    cluster.run(3 * SECOND);
    let leader = cluster.nodes[&1].leader().expect("a leader is elected");
    let rest: Vec<NodeId> = (1..=5).filter(|id| *id != leader).collect();
    for id in &rest {
        cluster.network.cut.extend(Link::both([leader, *id]));
    }
    let since = cluster.now;
    cluster.propose(leader, 1);
    cluster.propose(rest[0], 2);
    cluster.run(10 * SECOND);
    assert_eq!(
        cluster.observed.decided.len(),
        1,
        "the change proposed by the partitioned leader is not decided"
    );
    let expiry = cluster.observed.events.iter().find(|reported| {
        reported.at > since && reported.node == leader && reported.event == Event::LeaseExpired
    });
    let held_for = expiry.expect("the expiry is reported").at - since;
    assert!(
        held_for <= cluster.settings.lease_duration
            && held_for + SECOND > cluster.settings.lease_duration,
        "{held_for}"
    );
    assert!(cluster.nodes[&rest[1]].lease().is_held(cluster.now));
    cluster.heal(&[1, 2, 3, 4, 5]);
    cluster.run(5 * SECOND);
    assert_eq!(cluster.disagreement(), None);
    assert_eq!(
        cluster.observed.decided.len(),
        2,
        "it is decided once the partition has healed"
    );
}

#[test]
fn suspended_leader_reports_expiry_of_its_lease_before_anything_else() {
    let mut cluster = Cluster::new(6, &[1, 2, 3]);
    cluster.run(3 * SECOND);
    let leader = cluster.nodes[&1].leader().expect("a leader is elected");
    let since = cluster.now;
    cluster.suspended_until.insert(leader, since + 10 * SECOND);
    let other = 1 + leader % 3;
    cluster.propose(other, 1);
    cluster.run(9 * SECOND);
    assert_eq!(
        cluster.observed.decided.len(),
        1,
        "the others decide without the suspended leader"
    );
    cluster.run(5 * SECOND);
    let first = cluster
        .observed
        .events
        .iter()
        .find(|reported| reported.at >= since + 9 * SECOND && reported.node == leader);
    assert_eq!(
        first.map(|reported| reported.event.clone()),
        Some(Event::LeaseExpired)
    );
    assert_eq!(cluster.disagreement(), None);
}
