//! Behaviour after a partition has healed.

use crate::emulated_network::{EmulatedNetwork, SECOND};
use cleatpulley_membership::Event;

#[test]
fn halves_of_a_partition_merge_after_it_heals() {
    for seed in 0..8 {
        let mut network = EmulatedNetwork::new(seed);
        let ports = network.start_cluster(10);
        network.run(20 * SECOND);
        let (half, other_half): (Vec<u16>, Vec<u16>) =
            ports.iter().partition(|port| **port % 2 == 0);

        network.partition(&half, &other_half);
        network.run(20 * SECOND);

        for port in &half {
            assert_eq!(
                network.processes[port].membership.members().len(),
                half.len() - 1,
                "seed {seed}"
            );
        }

        network.blocked.clear();
        network.run(40 * SECOND);

        assert_eq!(network.find_disagreement(), None, "seed {seed}");
    }
}

#[test]
fn only_the_isolated_process_rejoins_after_a_partition() {
    for seed in 0..8 {
        let mut network = EmulatedNetwork::new(seed);
        network.start_cluster(9);
        network.run(20 * SECOND);

        network.partition(&[6], &[1, 2, 3, 4, 5, 7, 8, 9]);
        network.run(25 * SECOND);
        network.blocked.clear();
        network.run(30 * SECOND);

        assert_eq!(network.find_disagreement(), None, "seed {seed}");
        let rejoined = network
            .events
            .iter()
            .filter(|reported| matches!(reported.event, Event::Rejoined(_)));
        let rejoined: Vec<u16> = rejoined.map(|reported| reported.port).collect();
        assert!(
            !rejoined.is_empty() && rejoined.iter().all(|port| *port == 6),
            "seed {seed}: {rejoined:?}"
        );
    }
}
