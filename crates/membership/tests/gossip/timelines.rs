//! Comparison of the steps of each process with the drawings in `tests/timelines/` of the
//! workspace. A drawing defines the exact steps of each column, and orders the steps of different
//! columns only by its horizontal rules.
//!
//! If the environment variable `SKETCH` is set, the drawings are first rewritten from the actual
//! steps.

use crate::emulated_network::{EmulatedNetwork, DUPLICATE_NAME_PORT, MS, SECOND};
use cleatpulley_timeline::{Drawing, Timeline};

const TIMELINE_FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../tests/timelines");

/// The name of a drawing, and the events that happen to a cluster of four processes.
struct Scenario {
    drawing: &'static str,
    run: fn(&mut EmulatedNetwork),
}

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        drawing: "membership-death",
        run: |network| {
            network.kill(4);
            network.run(15 * SECOND);
        },
    },
    Scenario {
        drawing: "membership-pause",
        run: |network| {
            network.pause(4, 10 * SECOND);
            network.run(30 * SECOND);
        },
    },
    Scenario {
        drawing: "membership-restart",
        run: |network| {
            network.kill(4);
            network.run(20 * MS);
            network.start("m4", 4, &[1, 2, 3]);
            network.run(15 * SECOND);
        },
    },
    Scenario {
        drawing: "membership-halves",
        run: |network| {
            network.record_step("net", "cuts m4 off");
            network.partition(&[4], &[1, 2, 3]);
            network.run(15 * SECOND);
            network.record_step("net", "heals");
            network.blocked.clear();
            network.run(20 * SECOND);
        },
    },
    Scenario {
        drawing: "membership-two-of-one-name",
        run: |network| {
            let mark = network.durable_marks[&4];
            network.durable_marks.insert(DUPLICATE_NAME_PORT, mark);
            network.start("m4", DUPLICATE_NAME_PORT, &[1, 2, 3]);
            network.run(15 * SECOND);
            network.kill(DUPLICATE_NAME_PORT);
            network.run(30 * SECOND);
        },
    },
];

#[test]
fn timelines_match_their_drawings() {
    let mut differences = String::new();
    for scenario in SCENARIOS {
        let mut network = EmulatedNetwork::new(11);
        network.start_cluster(4);
        network.run(10 * SECOND);

        (scenario.run)(&mut network);

        let timeline = network.timeline();
        let drawing = read_drawing(scenario.drawing, &timeline);
        if let Err(difference) = timeline.check(&drawing) {
            differences += &format!("{}: {difference}\n", scenario.drawing);
        }
    }
    assert!(differences.is_empty(), "{differences}");
}

fn read_drawing(name: &str, timeline: &Timeline) -> Drawing {
    let file = format!("{TIMELINE_FOLDER}/{name}.txt");
    if std::env::var_os("SKETCH").is_some() {
        std::fs::write(&file, Drawing::from_timeline(timeline, 800 * MS)).expect("a writable file");
    }
    let text = std::fs::read_to_string(&file).expect("a drawing");
    Drawing::parse(&text).unwrap_or_else(|error| panic!("{file}: {error}"))
}
