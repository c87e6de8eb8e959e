//! Connection admission on a real process: a flood whose connections send requests, and a caller in
//! the list of known callers.

use cleatpulley_emulators::flood::{measure_health_check, Flood};
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::{Setup, Site};
use serde_json::Value;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cleatpulley"))
}

/// All places are taken by connections that sent a complete frame and stay open: a known caller is
/// still admitted each time, and no descriptor beyond the limit is used.
#[test]
fn a_known_caller_is_admitted_during_a_flood() {
    let site = Site::start(Setup {
        sockets: 256,
        ..Setup::default()
    })
    .expect("start the emulated services");
    let section = "admission: { named: ['127.0.0.1'], reserve: 0.1 }";
    let matcher = Matcher::start(
        &program(),
        &site.config,
        Some(&site.operator_file("", section)),
    )
    .expect("start the process");
    let flood = Flood {
        address: matcher.frames,
        source_addresses: 400,
        per_second: 2_000,
        max_open: 1_500,
        sends_health_check: true,
    };
    let (stopping, opened) = (AtomicBool::new(false), AtomicU64::new(0));
    let figures = |name: &str| {
        let (_, body) = matcher.get("/_vars").expect("get /_vars");
        let figures: Value = serde_json::from_slice(&body).expect("valid JSON");
        figures["connections"][name].as_u64().expect("a count")
    };
    std::thread::scope(|scope| {
        scope.spawn(|| flood.run(&stopping, &opened));
        let started = Instant::now();
        // Wait until no further connection is admitted.
        while figures("refused_as_full") == 0 && started.elapsed() < Duration::from_secs(10) {
            std::thread::sleep(Duration::from_millis(5));
        }
        for n in 0..50 {
            let wait = measure_health_check(matcher.frames, Duration::from_secs(5));
            assert!(
                wait.is_some(),
                "attempt {n}; {} connections were opened",
                opened.load(Ordering::Relaxed)
            );
        }
        stopping.store(true, Ordering::Relaxed);
    });
    assert!(figures("refused_as_full") > 0 && figures("admitted") > 50);
    assert!(
        matcher.descriptor_count().is_none_or(|held| held <= 256),
        "{:?}",
        matcher.descriptor_count()
    );
}

/// The system allows the process far fewer descriptors than it is configured for, and unknown callers
/// hold all of them: with the reserved descriptor a known caller is admitted in place of an unknown
/// one, calls to the store find descriptors, and the process does not spin.
#[test]
fn a_known_caller_is_admitted_when_no_descriptor_is_left() {
    let site = Site::start(Setup {
        sockets: 512,
        instant_runs: true,
        ..Setup::default()
    })
    .expect("start the emulated services");
    let section = "admission: { named: ['127.0.0.1'], reserve: 0.1 }";
    let matcher = Matcher::start(
        &program(),
        &site.config,
        Some(&site.operator_file("", section)),
    )
    .expect("start the process");
    let held = matcher.descriptor_count().expect("the system reports it");
    let limit = held + 40;
    matcher.limit_descriptors(limit).expect("lower the limit");
    // The parent of this test may have left a descriptor with a high number open.
    let inherited = matcher
        .descriptors_numbered_from(limit)
        .expect("the system reports it");
    let flood = Flood {
        address: matcher.frames,
        source_addresses: 100,
        per_second: 2_000,
        max_open: 300,
        sends_health_check: true,
    };
    let (stopping, opened) = (AtomicBool::new(false), AtomicU64::new(0));
    std::thread::scope(|scope| {
        scope.spawn(|| flood.run(&stopping, &opened));
        let started = Instant::now();
        while matcher.descriptor_count() < Some(limit)
            && started.elapsed() < Duration::from_secs(10)
        {
            std::thread::sleep(Duration::from_millis(5));
        }
        let before = matcher.cpu_micros().expect("the system reports it");
        let started = Instant::now();
        for n in 0..50 {
            let wait = measure_health_check(matcher.frames, Duration::from_secs(5));
            assert!(
                wait.is_some(),
                "attempt {n}; {} connections were opened",
                opened.load(Ordering::Relaxed)
            );
            std::thread::sleep(Duration::from_millis(10));
        }
        let used = matcher.cpu_micros().expect("the system reports it") - before;
        assert!(
            used < started.elapsed().as_micros() as u64 / 2,
            "{used} us of CPU in {:?}",
            started.elapsed()
        );
        stopping.store(true, Ordering::Relaxed);
    });
    assert!(
        !matcher
            .log()
            .iter()
            .any(|line| line.contains("no connection accepted")),
        "{:?}",
        matcher.log()
    );
    assert!(matcher.descriptor_count() <= Some(limit + inherited));
}
