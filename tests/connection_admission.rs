//! Places for connections on a real process: a flood that speaks, and a caller that was named.

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

/// All places are taken by connections that have said something whole and stay: a named caller gets in all the same, as often
/// as it comes, and no descriptor beyond the limit is used.
#[test]
fn a_named_caller_gets_in_whoever_floods() {
    let site = Site::start(Setup {
        sockets: 256,
        ..Setup::default()
    })
    .expect("a site");
    let section = "admission: { named: ['127.0.0.1'], reserve: 0.1 }";
    let matcher = Matcher::start(
        &program(),
        &site.config,
        Some(&site.operator_file("", section)),
    )
    .expect("it starts");
    let flood = Flood {
        address: matcher.frames,
        source_addresses: 400,
        per_second: 2_000,
        max_open: 1_500,
        sends_health_check: true,
    };
    let (over, opened) = (AtomicBool::new(false), AtomicU64::new(0));
    let figures = |name: &str| {
        let (_, body) = matcher.get("/_vars").expect("figures");
        let figures: Value = serde_json::from_slice(&body).expect("JSON");
        figures["connections"][name].as_u64().expect("a figure")
    };
    std::thread::scope(|scope| {
        scope.spawn(|| flood.run(&over, &opened));
        let begun = Instant::now();
        // Until nobody else gets a place.
        while figures("refused_as_full") == 0 && begun.elapsed() < Duration::from_secs(10) {
            std::thread::sleep(Duration::from_millis(5));
        }
        for n in 0..50 {
            let wait = measure_health_check(matcher.frames, Duration::from_secs(5));
            assert!(
                wait.is_some(),
                "the {n}th time; {} were opened",
                opened.load(Ordering::Relaxed)
            );
        }
        over.store(true, Ordering::Relaxed);
    });
    assert!(figures("refused_as_full") > 0 && figures("admitted") > 50);
    assert!(
        matcher.descriptor_count().is_none_or(|held| held <= 256),
        "{:?}",
        matcher.descriptor_count()
    );
}

/// The system lets the process have far fewer descriptors than it was told, and strangers hold all that are left: with the
/// one that is kept for that, a named caller is let in at a stranger's cost, calls to the store find theirs, and nothing spins.
#[test]
fn a_named_caller_gets_in_where_no_descriptor_is_left() {
    let site = Site::start(Setup {
        sockets: 512,
        instant_runs: true,
        ..Setup::default()
    })
    .expect("a site");
    let section = "admission: { named: ['127.0.0.1'], reserve: 0.1 }";
    let matcher = Matcher::start(
        &program(),
        &site.config,
        Some(&site.operator_file("", section)),
    )
    .expect("it starts");
    let held = matcher.descriptor_count().expect("the system tells");
    let most = held + 40;
    matcher.limit_descriptors(most).expect("a lower limit");
    // Whoever started this test may have left a descriptor of a high number open.
    let inherited = matcher
        .descriptors_numbered_from(most)
        .expect("the system tells");
    let flood = Flood {
        address: matcher.frames,
        source_addresses: 100,
        per_second: 2_000,
        max_open: 300,
        sends_health_check: true,
    };
    let (over, opened) = (AtomicBool::new(false), AtomicU64::new(0));
    std::thread::scope(|scope| {
        scope.spawn(|| flood.run(&over, &opened));
        let begun = Instant::now();
        while matcher.descriptor_count() < Some(most) && begun.elapsed() < Duration::from_secs(10) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let before = matcher.cpu_micros().expect("the system tells");
        let begun = Instant::now();
        for n in 0..50 {
            let wait = measure_health_check(matcher.frames, Duration::from_secs(5));
            assert!(
                wait.is_some(),
                "the {n}th time; {} were opened",
                opened.load(Ordering::Relaxed)
            );
            std::thread::sleep(Duration::from_millis(10));
        }
        let used = matcher.cpu_micros().expect("the system tells") - before;
        assert!(
            used < begun.elapsed().as_micros() as u64 / 2,
            "{used} us of CPU in {:?}",
            begun.elapsed()
        );
        over.store(true, Ordering::Relaxed);
    });
    assert!(
        !matcher
            .log()
            .iter()
            .any(|line| line.contains("no connection accepted")),
        "{:?}",
        matcher.log()
    );
    assert!(matcher.descriptor_count() <= Some(most + inherited));
}
