//! Compatibility tests of the control protocol: operator and daemon may run different releases, so that commands and
//! responses keep the bytes of release 0.2.
//!
//! `fixtures/asks.jsonl` has a command on each line, `fixtures/replies.jsonl` a response.

use cleatpulley_fleet::control_protocol::{
    ControlCommand, ControlResponse, FleetView, InstanceView, ReplacementView,
    TerminatedInstanceView,
};
use cleatpulley_fleet::instance_config::{Release, Slot};
use cleatpulley_fleet::plan::{Phase, ReplacementMode};

const COMMANDS: &str = include_str!("fixtures/asks.jsonl");
const RESPONSES: &str = include_str!("fixtures/replies.jsonl");

fn commands() -> Vec<ControlCommand> {
    let first = Release {
        program: "/opt/cleatpulley/1/cleatpulley".into(),
        operator: None,
    };
    let second = Release {
        program: "/opt/cleatpulley/2/cleatpulley".into(),
        operator: Some("/etc/cleatpulley/{place}.jsonnet".into()),
    };
    vec![
        ControlCommand::Status,
        ControlCommand::Replace {
            generation: 2,
            releases: vec![(1, first), (2, second)],
        },
        ControlCommand::Replace {
            generation: 1,
            releases: Vec::new(),
        },
        ControlCommand::Pause,
        ControlCommand::Resume,
        ControlCommand::Rollback,
        ControlCommand::Shutdown,
    ]
}

fn instance(number: u16, phase: Phase) -> InstanceView {
    InstanceView {
        slot: Slot {
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
        rejected_share: 0.125,
        open_requests: 3,
        served: 70,
        rejected: 10,
        failed: 2,
    }
}

fn terminated(incarnation: u64, phase: Phase, reason: Option<&str>) -> TerminatedInstanceView {
    let log_path = "/var/lib/cleatpulley-fleet/logs/m3.log".into();
    TerminatedInstanceView {
        incarnation,
        generation: 2,
        phase,
        failure_reason: reason.map(str::to_owned),
        log_path,
    }
}

fn empty_fleet() -> FleetView {
    FleetView {
        daemon_pid: 4_000,
        version: 17,
        stable_generation: 1,
        replacement: None,
        capacity: 1.625,
        floor: 1.0,
        converged: false,
        shutting_down: false,
        rollback_reason: None,
        instances: Vec::new(),
        terminated: Vec::new(),
    }
}

fn responses() -> Vec<ControlResponse> {
    let replacement = |mode, reason: Option<&str>| ReplacementView {
        generation: 2,
        mode,
        target_count: 1,
        failures: 3,
        age_s: 12.25,
        rollback_reason: reason.map(str::to_owned),
    };
    let phases = [
        Phase::Planned,
        Phase::Starting,
        Phase::Cold,
        Phase::Warm,
        Phase::Draining,
    ];
    let reason = "3 instances of the new generation failed";
    let full = FleetView {
        replacement: Some(replacement(ReplacementMode::Back, Some(reason))),
        rollback_reason: Some(reason.to_owned()),
        instances: (1..)
            .zip(phases)
            .map(|(number, phase)| instance(number, phase))
            .collect(),
        terminated: vec![
            terminated(6, Phase::Stopped, None),
            terminated(7, Phase::Failed, Some("it hung")),
        ],
        ..empty_fleet()
    };
    let with_mode = |mode| FleetView {
        replacement: Some(replacement(mode, None)),
        ..empty_fleet()
    };
    vec![
        ControlResponse::Fleet(Box::new(empty_fleet())),
        ControlResponse::Fleet(Box::new(full)),
        ControlResponse::Fleet(Box::new(with_mode(ReplacementMode::Rolling))),
        ControlResponse::Fleet(Box::new(with_mode(ReplacementMode::Paused))),
        ControlResponse::Fleet(Box::new(FleetView {
            converged: true,
            shutting_down: true,
            ..empty_fleet()
        })),
        ControlResponse::Rejected("no replacement goes on".to_owned()),
    ]
}

#[test]
fn encodes_and_decodes_commands_like_release_0_2() {
    assert_eq!(COMMANDS.lines().count(), commands().len());
    for (line, command) in COMMANDS.lines().zip(commands()) {
        assert_eq!(
            serde_json::from_str::<ControlCommand>(line).expect(line),
            command
        );
        assert_eq!(serde_json::to_string(&command).expect("encodes"), line);
    }
}

#[test]
fn encodes_and_decodes_responses_like_release_0_2() {
    assert_eq!(RESPONSES.lines().count(), responses().len());
    for (line, response) in RESPONSES.lines().zip(responses()) {
        assert_eq!(
            serde_json::from_str::<ControlResponse>(line).expect(line),
            response
        );
        assert_eq!(serde_json::to_string(&response).expect("encodes"), line);
    }
}
