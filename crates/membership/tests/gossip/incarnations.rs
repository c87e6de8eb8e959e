//! Incarnations after restarts, and of two processes with the same name.

use crate::emulated_network::{EmulatedNetwork, MS, SECOND};
use crate::emulated_process::{address, label};
use cleatpulley_membership::incarnation::INCARNATION_BLOCK_SIZE;
use cleatpulley_membership::Event;

#[test]
fn restart_at_the_same_address_joins_under_a_new_incarnation() {
    for seed in 0..8 {
        let mut network = EmulatedNetwork::new(seed);
        network.start_cluster(6);
        network.run(20 * SECOND);

        network.kill(4);
        network.run(50 * MS);
        network.start("m4", 4, &[1, 2, 3]);
        network.run(20 * SECOND);

        assert_eq!(network.find_disagreement(), None, "seed {seed}");

        // Restart with an empty disk, from which the first incarnations would be used again.
        network.kill(4);
        network.durable_marks.remove(&4);
        network.run(50 * MS);
        // The boot id distinguishes the two processes until the incarnation is raised above the
        // former one.
        network.start("m4", 4, &[1, 2, 3]);
        network.run(40 * SECOND);

        assert_eq!(network.find_disagreement(), None, "seed {seed}");
        let incarnation = network.processes[&4].membership.identity().incarnation;
        assert!(
            incarnation > INCARNATION_BLOCK_SIZE,
            "seed {seed}: {incarnation}"
        );
    }
}

#[test]
fn later_incarnation_keeps_the_name_and_the_other_process_stays_out_until_it_is_down() {
    for seed in 0..8 {
        let mut network = EmulatedNetwork::new(seed);
        network.start_cluster(5);
        network.run(20 * SECOND);

        // A copied disk: the same name and mark at another address.
        let mark = network.durable_marks[&5];
        network.durable_marks.insert(9, mark);
        network.start("m5", 9, &[1, 2, 3]);
        network.run(30 * SECOND);

        let members = [5, 9].map(|port| network.processes[&port].membership.is_member());
        assert_eq!(
            members,
            [false, true],
            "seed {seed}: the later incarnation has the name"
        );
        let seen = network.processes[&1].membership.members();
        assert_eq!(
            seen[&label("m5")].identity.address,
            address(9),
            "seed {seed}"
        );
        let rejoins = network.count_events(|reported| {
            [5, 9].contains(&reported.port) && matches!(reported.event, Event::Rejoined(_))
        });
        assert_eq!(rejoins, 0, "seed {seed}: neither process rejoins");

        network.kill(9);
        network.run(60 * SECOND);

        assert!(network.processes[&5].membership.is_member(), "seed {seed}");
        assert_eq!(network.find_disagreement(), None, "seed {seed}");
    }
}
