//! Changes of the group's members.

use crate::cluster::{Cluster, SECOND};

/// Returns a cluster in which process 4 was proposed as a replacement of process 3, after five
/// decided changes.
fn cluster_with_replaced_member(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, &[1, 2, 3]);
    cluster.run(2 * SECOND);
    (0..5).for_each(|subject_number| cluster.propose(1, subject_number));
    cluster.run(4 * SECOND);
    cluster.start(4);
    cluster.run(SECOND);
    assert!(
        cluster.nodes[&4].leader().is_none(),
        "process 4 is not a member yet"
    );
    cluster
        .nodes
        .get_mut(&2)
        .expect("the node is running")
        .propose_configuration(vec![1, 2, 4])
        .expect("the configuration is proposed");
    cluster.propose(1, 9);
    cluster.run(4 * SECOND);
    cluster
}

#[test]
fn replaces_member_by_new_process_that_catches_up() {
    for seed in 0..10 {
        let mut cluster = cluster_with_replaced_member(seed);
        assert_eq!(
            cluster.observed.violations,
            Vec::<String>::new(),
            "seed {seed}"
        );
        for id in [1, 2, 4] {
            assert_eq!(
                cluster.nodes[&id].configuration().members,
                vec![1, 2, 4],
                "seed {seed}: {id}"
            );
        }
        cluster.crash(3);
        cluster.propose(4, 7);
        cluster.run(4 * SECOND);
        assert_eq!(cluster.disagreement(), None, "seed {seed}");
        assert_eq!(
            cluster.observed.decided.len(),
            7,
            "seed {seed}: {:?}",
            cluster.observed.decided
        );
        // All of it is recovered after a loss of power.
        let table = cluster.nodes[&4].table().clone();
        [1, 2, 4].into_iter().for_each(|id| cluster.crash(id));
        [1, 2, 4].into_iter().for_each(|id| cluster.start(id));
        cluster.run(4 * SECOND);
        assert_eq!(cluster.nodes[&4].table(), &table, "seed {seed}");
        assert_eq!(cluster.nodes[&1].table(), &table, "seed {seed}");
    }
}
