//! The log on its disk: trims, recovery, and a disk that fails.

use crate::cluster::{Cluster, MS, SECOND};

#[test]
fn trims_log_and_recovers_table_after_restart() {
    let mut cluster = Cluster::new(3, &[1, 2, 3]);
    cluster.settings.retained_entries = 8;
    [1, 2, 3].into_iter().for_each(|id| cluster.crash(id));
    [1, 2, 3].into_iter().for_each(|id| cluster.start(id));
    cluster.run(2 * SECOND);
    for round in 0..100 {
        cluster.propose(1 + round % 3, round % 7);
        cluster.run(120 * MS);
    }
    cluster.run(5 * SECOND);
    assert_eq!(cluster.disagreement(), None);
    let table = cluster.nodes[&1].table().clone();
    assert_eq!(table.epoch, 100);
    let retained_entries = cluster.nodes[&1].log().entries(0..1_000).len();
    assert!(
        retained_entries < 40,
        "{retained_entries} entries are in the log"
    );
    [1, 2, 3].into_iter().for_each(|id| cluster.crash(id));
    [1, 2, 3].into_iter().for_each(|id| cluster.start(id));
    assert_eq!(
        cluster.nodes[&2].table(),
        &table,
        "before any message is received"
    );
    cluster.propose(2, 3);
    cluster.run(4 * SECOND);
    assert_eq!(
        (cluster.disagreement(), cluster.nodes[&3].table().epoch),
        (None, 101)
    );
}

#[test]
fn node_with_full_disk_fails_and_the_others_go_on() {
    let mut cluster = Cluster::new(8, &[1, 2, 3]);
    cluster.run(2 * SECOND);
    let leader = cluster.nodes[&1].leader().expect("a leader is elected");
    cluster.nodes[&leader]
        .log()
        .with_storage_mut(|disk| disk.is_full = true);
    cluster.propose(leader, 1);
    cluster.run(SECOND);
    assert_eq!(
        cluster.observed.violations,
        vec![format!("{leader}: the disk is full")]
    );
    cluster.observed.violations.clear();
    let other = 1 + leader % 3;
    cluster.propose(other, 2);
    cluster.run(5 * SECOND);
    assert_eq!(cluster.nodes[&other].pending_proposals(), 0);
}
