//! Detection of dead and paused members, and live members that must not be declared down.

use crate::emulated_network::{EmulatedNetwork, Link, NetworkConditions, MS, SECOND};
use cleatpulley_membership::Event;

#[test]
fn cluster_forms_over_a_lossy_network_and_declares_no_live_member_down() {
    for seed in 0..8 {
        let mut network = EmulatedNetwork::new(seed);
        network.conditions = NetworkConditions {
            lost_per_mille: 100,
            repeated_per_mille: 100,
            max_extra_delay: 80 * MS,
        };
        network.start_cluster(20);

        network.run(60 * SECOND);

        assert_eq!(network.find_disagreement(), None, "seed {seed}");
        let declared_down =
            network.count_events(|reported| matches!(reported.event, Event::Down(_)));
        // False suspicions are refuted in time.
        assert_eq!(declared_down, 0, "seed {seed}");
    }
}

#[test]
fn dead_process_is_declared_down_by_all_within_seconds() {
    let mut slowest = 0;
    for seed in 0..8 {
        let mut network = EmulatedNetwork::new(seed);
        network.conditions.lost_per_mille = 50;
        let ports = network.start_cluster(12);
        network.run(20 * SECOND);
        let died_at = network.now;

        network.kill(7);
        network.run(15 * SECOND);

        assert_eq!(network.find_disagreement(), None, "seed {seed}");
        let delays: Vec<u64> = network
            .events
            .iter()
            .filter(|reported| {
                reported.time > died_at
                    && matches!(&reported.event, Event::Down(id) if id.name.as_str() == "m7")
            })
            .map(|reported| reported.time - died_at)
            .collect();
        assert_eq!(delays.len(), ports.len() - 1, "seed {seed}");
        slowest = slowest.max(*delays.iter().max().expect("a delay"));
    }
    // The time of a round of probes, the suspicion timeout, and the dissemination.
    assert!(slowest < 12 * SECOND, "{slowest}");
}

#[test]
fn paused_process_rejoins_under_a_new_incarnation_and_declares_no_live_member_down() {
    for seed in 0..8 {
        let mut network = EmulatedNetwork::new(seed);
        let ports = network.start_cluster(8);
        network.run(20 * SECOND);
        let before = network.processes[&5].membership.identity().incarnation;
        let paused_at = network.now;

        network.pause(5, 10 * SECOND);
        network.run(40 * SECOND);

        assert_eq!(network.find_disagreement(), None, "seed {seed}");
        let after = network.processes[&5].membership.identity().incarnation;
        assert!(after > before, "seed {seed}: {after} after {before}");
        let declared_by_paused: Vec<_> = network
            .events
            .iter()
            .filter(|reported| {
                reported.time > paused_at
                    && reported.port == 5
                    && matches!(reported.event, Event::Down(_))
            })
            .collect();
        assert!(
            declared_by_paused.is_empty(),
            "seed {seed}: {declared_by_paused:?}"
        );
        // No other process is declared down by any process.
        let others_declared_down = network.count_events(|reported| {
            reported.time > paused_at
                && matches!(&reported.event, Event::Down(id) if id.name.as_str() != "m5")
        });
        assert_eq!(others_declared_down, 0, "seed {seed} of {ports:?}");
    }
}

#[test]
fn indirect_probes_keep_members_whose_link_is_blocked_in_one_direction() {
    for seed in 0..8 {
        let mut network = EmulatedNetwork::new(seed);
        network.start_cluster(6);
        network.run(20 * SECOND);

        network.blocked.insert(Link { from: 4, to: 5 });
        network.blocked.insert(Link { from: 6, to: 1 });
        network.run(60 * SECOND);

        assert_eq!(network.find_disagreement(), None, "seed {seed}");
        let declared_down =
            network.count_events(|reported| matches!(reported.event, Event::Down(_)));
        assert_eq!(
            declared_down, 0,
            "seed {seed}: indirect probes replace unacknowledged direct ones"
        );
    }
}
