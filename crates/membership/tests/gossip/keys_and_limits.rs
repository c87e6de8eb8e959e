//! Key rotation, and rejection of datagrams and members.

use crate::emulated_network::{EmulatedNetwork, MS, SECOND};
use crate::emulated_process::first_key_file;
use cleatpulley_membership::authentication::KeyRing;
use cleatpulley_membership::{Event, Settings};

#[test]
fn key_rotation_loses_no_member_and_a_process_without_the_key_is_rejected() {
    let mut network = EmulatedNetwork::new(5);
    let ports = network.start_cluster(6);
    network.run(15 * SECOND);
    let key_file = |number: u8| format!("{number} {}\n", format!("{number:02x}").repeat(32));
    let parse = |text: String| KeyRing::parse(&text).expect("keys");
    let first = first_key_file();

    // In each stage the processes switch to the new keys one after another.
    for stage in [
        first.clone() + &key_file(2),
        key_file(2) + &first,
        key_file(2),
    ] {
        for port in &ports {
            let keys = parse(stage.clone());
            network.process_mut(*port).membership.set_keys(keys);
            network.run(700 * MS);
        }
    }
    network.run(10 * SECOND);

    assert_eq!(network.find_disagreement(), None);
    let declared_down = network.count_events(|reported| matches!(reported.event, Event::Down(_)));
    assert_eq!(declared_down, 0);

    network.start("m9", 9, &[1]);
    network.run(10 * SECOND);

    assert!(
        network.processes[&9].membership.members().is_empty(),
        "the process has only the first key"
    );
    assert!(network.processes[&1].membership.rejections().datagrams > 0);
}

#[test]
fn members_beyond_the_limit_are_rejected() {
    let mut network = EmulatedNetwork::new(3);
    let settings = Settings {
        max_members: 4,
        ..Settings::default()
    };
    network.start_with("g1", 1, &[], settings);
    for port in 2..=9 {
        network.start(&format!("m{port}"), port, &[1]);
    }

    network.run(20 * SECOND);

    assert!(network.processes[&1].membership.members().len() <= 4);
    assert!(network.processes[&1].membership.rejections().members > 0);
}
