//! What operators ask of a fleet's daemon and what it answers keep their bytes: either side may be of release 0.2.
//!
//! `fixtures/asks.jsonl` and `fixtures/replies.jsonl` have one in each line.

use cleatpulley_fleet::instance_config::{Release, Slot};
use cleatpulley_fleet::plan::{Mode, Phase};
use cleatpulley_fleet::view::{Ask, GoneView, InstanceView, ReplacementView, Reply, View};

const ASKS: &str = include_str!("fixtures/asks.jsonl");
const REPLIES: &str = include_str!("fixtures/replies.jsonl");

fn asks() -> Vec<Ask> {
    let first = Release {
        program: "/opt/cleatpulley/1/cleatpulley".into(),
        operator: None,
    };
    let second = Release {
        program: "/opt/cleatpulley/2/cleatpulley".into(),
        operator: Some("/etc/cleatpulley/{place}.jsonnet".into()),
    };
    vec![
        Ask::Status,
        Ask::Replace {
            generation: 2,
            releases: vec![(1, first), (2, second)],
        },
        Ask::Replace {
            generation: 1,
            releases: Vec::new(),
        },
        Ask::Pause,
        Ask::Resume,
        Ask::Rollback,
        Ask::Down,
    ]
}

fn instance(number: u16, phase: Phase) -> InstanceView {
    InstanceView {
        place: Slot {
            name: format!("m{number}"),
            listen: ([127, 0, 0, 1], 7_000 + number).into(),
            config: format!("/etc/cleatpulley/m{number}.json").into(),
        },
        incarnation: number.into(),
        generation: 1,
        phase,
        phase_s: 1.5,
        pid: (phase != Phase::Planned).then_some(5_000),
        warmth: 0.625,
        rate: 150.25,
        refused_share: 0.125,
        held: 3,
        served: 70,
        refused: 10,
        failed: 2,
    }
}

fn gone(incarnation: u64, phase: Phase, why: Option<&str>) -> GoneView {
    let log = "/var/lib/cleatpulley-fleet/logs/m3.log".into();
    GoneView {
        incarnation,
        generation: 2,
        phase,
        why: why.map(str::to_owned),
        log,
    }
}

fn view() -> View {
    View {
        daemon: 4_000,
        version: 17,
        stable: 1,
        replacement: None,
        capacity: 1.625,
        floor: 1.0,
        at_rest: false,
        ends: false,
        halted: None,
        instances: Vec::new(),
        gone: Vec::new(),
    }
}

fn replies() -> Vec<Reply> {
    let replacement = |mode, halted: Option<&str>| ReplacementView {
        generation: 2,
        mode,
        quota: 1,
        crashes: 3,
        age_s: 12.25,
        halted: halted.map(str::to_owned),
    };
    let phases = [
        Phase::Planned,
        Phase::Starting,
        Phase::Cold,
        Phase::Warm,
        Phase::Draining,
    ];
    let why = "3 instances of the new generation failed";
    let full = View {
        replacement: Some(replacement(Mode::Back, Some(why))),
        halted: Some(why.to_owned()),
        instances: (1..)
            .zip(phases)
            .map(|(number, phase)| instance(number, phase))
            .collect(),
        gone: vec![
            gone(6, Phase::Stopped, None),
            gone(7, Phase::Failed, Some("it hung")),
        ],
        ..view()
    };
    let with = |mode| View {
        replacement: Some(replacement(mode, None)),
        ..view()
    };
    vec![
        Reply::Fleet(Box::new(view())),
        Reply::Fleet(Box::new(full)),
        Reply::Fleet(Box::new(with(Mode::Rolling))),
        Reply::Fleet(Box::new(with(Mode::Paused))),
        Reply::Fleet(Box::new(View {
            at_rest: true,
            ends: true,
            ..view()
        })),
        Reply::Refused("no replacement goes on".to_owned()),
    ]
}

#[test]
fn reads_what_release_0_2_asks_and_asks_the_same() {
    assert_eq!(ASKS.lines().count(), asks().len());
    for (line, ask) in ASKS.lines().zip(asks()) {
        assert_eq!(serde_json::from_str::<Ask>(line).expect(line), ask);
        assert_eq!(serde_json::to_string(&ask).expect("it is written"), line);
    }
}

#[test]
fn reads_what_release_0_2_answers_and_answers_the_same() {
    assert_eq!(REPLIES.lines().count(), replies().len());
    for (line, reply) in REPLIES.lines().zip(replies()) {
        assert_eq!(serde_json::from_str::<Reply>(line).expect(line), reply);
        assert_eq!(serde_json::to_string(&reply).expect("it is written"), line);
    }
}
