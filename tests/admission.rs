//! Places for connections on a real process: a flood that speaks, and a caller that was named.

use cleatpulley_standin::flood::{knock, Flood};
use cleatpulley_standin::matcher::Matcher;
use cleatpulley_standin::site::{Setup, Site};
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
    let site = Site::start(Setup { sockets: 256, ..Setup::default() }).expect("a site");
    let section = "admission: { named: ['127.0.0.1'], reserve: 0.1 }";
    let matcher =
        Matcher::start(&program(), &site.config, Some(&site.operator("", section))).expect("it starts");
    let flood = Flood { to: matcher.frames, sources: 400, per_second: 2_000, hold: 1_500, speaks: true };
    let (over, opened) = (AtomicBool::new(false), AtomicU64::new(0));
    let figures = |name: &str| {
        let (_, body) = matcher.ask("/_vars").expect("figures");
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
            let wait = knock(matcher.frames, Duration::from_secs(5));
            assert!(wait.is_some(), "the {n}th time; {} were opened", opened.load(Ordering::Relaxed));
        }
        over.store(true, Ordering::Relaxed);
    });
    assert!(figures("refused_as_full") > 0 && figures("admitted") > 50);
    assert!(matcher.descriptors().is_none_or(|held| held <= 256), "{:?}", matcher.descriptors());
}
