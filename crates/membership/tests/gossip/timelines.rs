//! What each process saw, compared with the drawings in `tests/timelines/` of the workspace. A
//! drawing is exact in each column, and ties steps of different columns where a rule says so.
//!
//! With the environment variable `SKETCH` set, the drawings are written anew first.

use crate::emulated_network::{EmulatedNetwork, DUPLICATE_NAME_PORT, MS, SECOND};
use cleatpulley_timeline::{Drawing, Timeline};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../tests/timelines");

/// A drawing, and what happens to a cluster of four in it.
struct Scenario {
    drawing: &'static str,
    play: fn(&mut EmulatedNetwork),
}

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        drawing: "membership-death",
        play: |network| {
            network.kill(4);
            network.run(15 * SECOND);
        },
    },
    Scenario {
        drawing: "membership-pause",
        play: |network| {
            network.pause(4, 10 * SECOND);
            network.run(30 * SECOND);
        },
    },
    Scenario {
        drawing: "membership-restart",
        play: |network| {
            network.kill(4);
            network.run(20 * MS);
            network.start("m4", 4, &[1, 2, 3]);
            network.run(15 * SECOND);
        },
    },
    Scenario {
        drawing: "membership-halves",
        play: |network| {
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
        play: |network| {
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
    let mut wrong = String::new();
    for scenario in SCENARIOS {
        let mut network = EmulatedNetwork::new(11);
        network.start_cluster(4);
        network.run(10 * SECOND);

        (scenario.play)(&mut network);

        let timeline = network.timeline();
        let drawing = read_drawing(scenario.drawing, &timeline);
        if let Err(differs) = timeline.check(&drawing) {
            wrong += &format!("{}: {differs}\n", scenario.drawing);
        }
    }
    assert!(wrong.is_empty(), "{wrong}");
}

fn read_drawing(name: &str, timeline: &Timeline) -> Drawing {
    let file = format!("{FOLDER}/{name}.txt");
    if std::env::var_os("SKETCH").is_some() {
        std::fs::write(&file, Drawing::sketch(timeline, 800 * MS)).expect("written");
    }
    let drawn = std::fs::read_to_string(&file).expect("a drawing");
    Drawing::read(&drawn).unwrap_or_else(|why| panic!("{file}: {why}"))
}
