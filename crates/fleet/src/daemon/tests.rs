//! What the daemon keeps of its fleet, and what instances say to it, keep their bytes: release 0.2 wrote all fixtures.
//!
//! `tests/fixtures/state-replacing.json` is the state in the midst of a replacement, `state-halted.json` after one that
//! went back by itself; `store` is the store of a fleet on its way down, and `instance.jsonl` what an instance says.

use super::{Daemon, Hello, Line, State, Wanted, CONTROL, KEY, STATUS};
use crate::instance_config::{Release, Slot};
use crate::plan::{Bounds, Mode, Phase};
use crate::regression::RegressionThresholds;
use crate::restart::RestartPolicy;
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Options, Store};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// The time from which on the states were written.
const BEGIN: u64 = 1_700_000_000_000_000;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn text(name: &str) -> String {
    fs::read_to_string(fixture(name)).expect("a fixture")
}

fn state(name: &str) -> State {
    serde_json::from_str(&text(name)).expect("it is read")
}

fn bounds() -> Bounds {
    Bounds {
        instances: 2,
        surge: 1,
        batch: 1,
        minimum: 1.5,
        start_within: 5_000_000,
        warm_within: 120_000_000,
        drain_within: 10_000_000,
        silent_within: 2_000_000,
        crashes: 3,
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

fn places() -> Vec<Slot> {
    let place = |number: u16| Slot {
        name: format!("m{number}"),
        listen: ([127, 0, 0, 1], 7_000 + number).into(),
        config: format!("/etc/cleatpulley/m{number}.json").into(),
    };
    (1..=3).map(place).collect()
}

fn releases() -> BTreeMap<u32, Release> {
    let release = |number: u32| Release {
        program: format!("/opt/cleatpulley/{number}/cleatpulley").into(),
        operator: (number > 1).then(|| "/etc/cleatpulley/{place}.jsonnet".into()),
    };
    (1..=3).map(|number| (number, release(number))).collect()
}

#[test]
fn the_state_has_the_bytes_of_release_0_2() {
    for name in ["state-replacing.json", "state-halted.json"] {
        let state = state(name);
        assert_eq!(
            serde_json::to_string(&state).expect("it is written"),
            text(name),
            "{name}"
        );
        assert_eq!(
            (state.places, state.releases),
            (places(), releases()),
            "{name}"
        );
        assert_eq!(
            (state.secret, *state.plan.bounds()),
            (0x0123_4567_89ab_cdef, bounds()),
            "{name}"
        );
    }
    assert_eq!(
        state("state-replacing.json").shared,
        "127.0.0.1:7000".parse().ok()
    );
    assert_eq!(state("state-halted.json").shared, None);
}

#[test]
fn reads_a_replacement_that_release_0_2_had_begun() {
    let plan = state("state-replacing.json").plan;
    assert_eq!(
        (plan.stable(), plan.ends(), plan.halted()),
        (1, false, None)
    );
    let replacement = plan.replacement().expect("it is on");
    assert_eq!(
        (replacement.generation, replacement.mode, replacement.quota),
        (3, Mode::Paused, 1)
    );
    assert_eq!(
        (replacement.crashes, replacement.begun),
        (1, BEGIN + 20_000_000)
    );
    let of =
        |one: &crate::plan::Instance| (one.incarnation, one.generation, one.address, one.phase);
    let instances: Vec<_> = plan.instances().iter().map(of).collect();
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
        cold.process.map(|process| (process.pid, process.start)),
        Some((5_000_007, 107))
    );
    assert_eq!(
        (cold.warmth, cold.counts.served, cold.counts.late),
        (0.625, 70, 2)
    );
    let gone: Vec<_> = plan
        .gone()
        .map(|one| (one.incarnation, one.phase, one.why.as_deref()))
        .collect();
    assert_eq!(gone.len(), 4);
    assert_eq!(gone[3], (6, Phase::Failed, Some("it ended with status 3")));
}

#[test]
fn reads_why_a_replacement_of_release_0_2_went_back() {
    let plan = state("state-halted.json").plan;
    assert_eq!((plan.stable(), plan.replacement()), (1, None));
    assert_eq!(
        plan.halted(),
        Some("3 instances of the new generation failed")
    );
    let gone: Vec<_> = plan
        .gone()
        .map(|one| (one.incarnation, one.generation, one.why.as_deref()))
        .collect();
    let why = Some("no such file");
    assert_eq!(gone, [(3, 2, why), (4, 2, why), (5, 2, why)]);
}

#[test]
fn goes_on_with_the_store_of_release_0_2() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = folder.path().join("store");
    fs::create_dir(&store).expect("a folder");
    for entry in fs::read_dir(fixture("store")).expect("the fixture is there") {
        let entry = entry.expect("an entry");
        fs::copy(entry.path(), store.join(entry.file_name())).expect("it is copied");
    }
    let wanted = Wanted {
        folder: folder.path().to_owned(),
        places: places(),
        releases: releases(),
        shared: None,
        bounds: bounds(),
        generation: 1,
    };
    let daemon = Daemon::open(wanted).expect("it opens");
    let view = daemon.view();
    assert_eq!(
        (view.stable, view.ends, view.instances.len()),
        (1, true, 0),
        "its processes are gone"
    );
    let gone: Vec<_> = view
        .gone
        .iter()
        .map(|one| (one.incarnation, one.phase))
        .collect();
    assert_eq!(
        gone[gone.len() - 2..],
        [(1, Phase::Stopped), (2, Phase::Stopped)]
    );
    assert_eq!(daemon.token(1), "f1de4933cdf126aa3f251e01ea3a55d1");
    assert_eq!([CONTROL, STATUS], ["control.sock", "status.sock"]);
    drop(daemon);
    let files = OsFolder::new(&store, false).expect("a folder");
    let (kept, _) = Store::open(files, Options::default()).expect("it opens");
    assert_eq!(KEY, b"fleet");
    let kept = kept
        .get(0, b"fleet")
        .expect("it is read")
        .expect("it is there");
    let kept: State = serde_json::from_slice(&kept).expect("it is read");
    assert_eq!(kept.plan.version(), view.version);
}

#[test]
fn understands_what_an_instance_of_release_0_2_says() {
    let text = text("instance.jsonl");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3);
    let hello: Hello = serde_json::from_str(lines[0]).expect("a greeting");
    assert_eq!((hello.incarnation, hello.pid), (3, 77));
    assert_eq!(hello.token, "0123456789abcdef0123456789abcdef");
    let line: Line = serde_json::from_str(lines[1]).expect("how it is");
    assert_eq!(
        (line.warmth, line.served, line.late, line.refused),
        (0.75, 11, 2, 3)
    );
    assert_eq!((line.failed, line.held, line.drains), (4, 5, false));
    let line: Line = serde_json::from_str(lines[2]).expect("how it is");
    assert_eq!((line.warmth, line.drains), (1.0, true));
}
