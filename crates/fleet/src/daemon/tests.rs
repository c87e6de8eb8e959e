//! Compatibility tests of the daemon's stored state and of the status reports of instances: release 0.2 wrote all
//! fixtures, and the current release has to read them and write the same bytes.
//!
//! `tests/fixtures/state-replacing.json` is a state during a replacement, `state-halted.json` one after an automatic
//! rollback; `store` is the store of a fleet that is shutting down, and `instance.jsonl` the lines that an instance sends.

use super::{
    Daemon, FleetSpec, Hello, State, StatusLine, CONTROL_SOCKET, STATE_KEY, STATUS_SOCKET,
};
use crate::instance_config::{Release, Slot};
use crate::plan::{FleetSettings, Phase, ReplacementMode};
use crate::regression::RegressionThresholds;
use crate::restart::RestartPolicy;
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Options, Store};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Start time of the fleets in the fixtures, in microseconds since the Unix epoch.
const STARTED_AT: u64 = 1_700_000_000_000_000;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn read_fixture(name: &str) -> String {
    fs::read_to_string(fixture(name)).expect("reads the fixture")
}

fn read_state(name: &str) -> State {
    serde_json::from_str(&read_fixture(name)).expect("decodes")
}

fn settings() -> FleetSettings {
    FleetSettings {
        instances: 2,
        surge: 1,
        batch: 1,
        min_capacity: 1.5,
        start_timeout: 5_000_000,
        warm_up_timeout: 120_000_000,
        drain_timeout: 10_000_000,
        report_timeout: 2_000_000,
        failure_limit: 3,
        regression: RegressionThresholds {
            min_samples: 500,
            max_rejected_increase: 0.05,
            max_failed_increase: 0.01,
            max_late_increase: 0.05,
            standard_errors: 4.0,
        },
        restart: RestartPolicy {
            initial_delay: 200_000,
            max_delay: 30_000_000,
            budget: 20,
            budget_window: 60_000_000,
        },
    }
}

fn slots() -> Vec<Slot> {
    let slot = |number: u16| Slot {
        name: format!("m{number}"),
        listen: ([127, 0, 0, 1], 7_000 + number).into(),
        config: format!("/etc/cleatpulley/m{number}.json").into(),
    };
    (1..=3).map(slot).collect()
}

fn releases() -> BTreeMap<u32, Release> {
    let release = |number: u32| Release {
        program: format!("/opt/cleatpulley/{number}/cleatpulley").into(),
        operator: (number > 1).then(|| "/etc/cleatpulley/{place}.jsonnet".into()),
    };
    (1..=3).map(|number| (number, release(number))).collect()
}

#[test]
fn encodes_the_state_to_the_same_bytes_as_release_0_2() {
    for name in ["state-replacing.json", "state-halted.json"] {
        let state = read_state(name);
        assert_eq!(
            serde_json::to_string(&state).expect("encodes"),
            read_fixture(name),
            "{name}"
        );
        assert_eq!(
            (state.slots, state.releases),
            (slots(), releases()),
            "{name}"
        );
        assert_eq!(
            (state.secret, *state.plan.settings()),
            (0x0123_4567_89ab_cdef, settings()),
            "{name}"
        );
    }
    assert_eq!(
        read_state("state-replacing.json").shared_address,
        "127.0.0.1:7000".parse().ok()
    );
    assert_eq!(read_state("state-halted.json").shared_address, None);
}

#[test]
fn reads_a_replacement_begun_by_release_0_2() {
    let plan = read_state("state-replacing.json").plan;
    assert_eq!(
        (
            plan.stable_generation(),
            plan.is_shutting_down(),
            plan.rollback_reason()
        ),
        (1, false, None)
    );
    let replacement = plan.replacement().expect("a replacement is in progress");
    assert_eq!(
        (
            replacement.generation,
            replacement.mode,
            replacement.target_count
        ),
        (3, ReplacementMode::Paused, 1)
    );
    assert_eq!(
        (replacement.failures, replacement.started_at),
        (1, STARTED_AT + 20_000_000)
    );
    let key_fields = |instance: &crate::plan::Instance| {
        (
            instance.incarnation,
            instance.generation,
            instance.slot,
            instance.phase,
        )
    };
    let instances: Vec<_> = plan.instances().iter().map(key_fields).collect();
    assert_eq!(
        instances,
        [
            (1, 1, 0, Phase::Warm),
            (2, 1, 1, Phase::Draining),
            (7, 3, 2, Phase::Cold)
        ]
    );
    let cold = &plan.instances()[2];
    assert_eq!(
        cold.process
            .map(|process| (process.pid, process.start_ticks)),
        Some((5_000_007, 107))
    );
    assert_eq!(
        (cold.warmth, cold.counts.served, cold.counts.late),
        (0.625, 70, 2)
    );
    let terminated: Vec<_> = plan
        .terminated()
        .map(|instance| {
            (
                instance.incarnation,
                instance.phase,
                instance.failure_reason.as_deref(),
            )
        })
        .collect();
    assert_eq!(terminated.len(), 4);
    assert_eq!(
        terminated[3],
        (6, Phase::Failed, Some("it ended with status 3"))
    );
}

#[test]
fn reads_the_rollback_reason_of_release_0_2() {
    let plan = read_state("state-halted.json").plan;
    assert_eq!((plan.stable_generation(), plan.replacement()), (1, None));
    assert_eq!(
        plan.rollback_reason(),
        Some("3 instances of the new generation failed")
    );
    let terminated: Vec<_> = plan
        .terminated()
        .map(|instance| {
            (
                instance.incarnation,
                instance.generation,
                instance.failure_reason.as_deref(),
            )
        })
        .collect();
    let reason = Some("no such file");
    assert_eq!(terminated, [(3, 2, reason), (4, 2, reason), (5, 2, reason)]);
}

#[test]
fn resumes_with_the_store_of_release_0_2() {
    let folder = tempfile::tempdir().expect("creates a folder");
    let store = folder.path().join("store");
    fs::create_dir(&store).expect("creates a folder");
    for entry in fs::read_dir(fixture("store")).expect("reads the fixture") {
        let entry = entry.expect("reads an entry");
        fs::copy(entry.path(), store.join(entry.file_name())).expect("copies the file");
    }
    let spec = FleetSpec {
        folder: folder.path().to_owned(),
        slots: slots(),
        releases: releases(),
        shared_address: None,
        settings: settings(),
        generation: 1,
    };
    let daemon = Daemon::open(spec).expect("opens");
    let view = daemon.view();
    assert_eq!(
        (
            view.stable_generation,
            view.shutting_down,
            view.instances.len()
        ),
        (1, true, 0),
        "the processes of the fixture do not run"
    );
    let terminated: Vec<_> = view
        .terminated
        .iter()
        .map(|instance| (instance.incarnation, instance.phase))
        .collect();
    assert_eq!(
        terminated[terminated.len() - 2..],
        [(1, Phase::Stopped), (2, Phase::Stopped)]
    );
    assert_eq!(daemon.token(1), "f1de4933cdf126aa3f251e01ea3a55d1");
    assert_eq!(
        [CONTROL_SOCKET, STATUS_SOCKET],
        ["control.sock", "status.sock"]
    );
    drop(daemon);
    let files = OsFolder::new(&store, false).expect("opens the folder");
    let (store, _) = Store::open(files, Options::default()).expect("opens");
    assert_eq!(STATE_KEY, b"fleet");
    let stored = store
        .get(0, b"fleet")
        .expect("reads the store")
        .expect("the state is stored");
    let stored: State = serde_json::from_slice(&stored).expect("decodes");
    assert_eq!(stored.plan.version(), view.version);
}

#[test]
fn decodes_the_status_reports_of_release_0_2() {
    let text = read_fixture("instance.jsonl");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3);
    let hello: Hello = serde_json::from_str(lines[0]).expect("decodes");
    assert_eq!((hello.incarnation, hello.pid), (3, 77));
    assert_eq!(hello.token, "0123456789abcdef0123456789abcdef");
    let line: StatusLine = serde_json::from_str(lines[1]).expect("decodes");
    assert_eq!(
        (line.warmth, line.served, line.late, line.rejected),
        (0.75, 11, 2, 3)
    );
    assert_eq!(
        (line.failed, line.open_requests, line.draining),
        (4, 5, false)
    );
    let line: StatusLine = serde_json::from_str(lines[2]).expect("decodes");
    assert_eq!((line.warmth, line.draining), (1.0, true));
}
