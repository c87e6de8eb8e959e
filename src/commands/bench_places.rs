//! The part of `cleatpulley check connection-admission` that is played in the emulator: floods, restarts and shortages from seeds, and
//! injected bugs.

use super::simulator::default_threads;
use cleatpulley::policy::bug_injection::{inject_bug, InjectedBug};
use cleatpulley_simulator::plan::Plan;
use cleatpulley_simulator::seeds;
use std::time::Instant;

/// Seeds that are to break no rule.
const SEEDS: u64 = 200;
/// An injected bug has to be found within so many.
const WITHIN: u64 = 300;
/// Each has to be met.
const HARD: [&str; 4] = [
    "flood during a drain",
    "flood during an upgrade",
    "flood while descriptors are short",
    "known caller returns after a restart during a flood",
];

/// Plays, prints, and says what falls short.
pub fn run(short: &mut Vec<String>) {
    let begun = Instant::now();
    let summary = seeds::run(
        Plan::with_floods,
        1,
        SEEDS,
        default_threads(),
        false,
        || (),
        |_| (),
    );
    let met = |name: &str| summary.coverage.get(name).map_or(0, |met| met.1);
    print_line!(
        "{SEEDS} seeds with floods in {:.1} s: {} broke a rule; {}",
        begun.elapsed().as_secs_f64(),
        summary.failed.len(),
        HARD.map(|name| format!("{name} in {}", met(name)))
            .join(", ")
    );
    for outcome in &summary.failed {
        short.push(format!(
            "crowded seed {}: {}",
            outcome.seed,
            outcome.violations.join("; ")
        ));
    }
    for name in HARD {
        if met(name) == 0 {
            short.push(format!("no seed has met: {name}"));
        }
    }
    bugs(short);
}

fn bugs(short: &mut Vec<String>) {
    if !inject_bug(Some(InjectedBug::UnknownAddressKept)) {
        short.push("built without the feature `bug-injection`: no bug can be injected".to_owned());
        return;
    }
    let begun = Instant::now();
    let mut found = Vec::new();
    for bug in InjectedBug::CONNECTION_ADMISSION {
        let prepare = || {
            inject_bug(Some(bug));
        };
        let summary = seeds::run(
            Plan::with_floods,
            1,
            WITHIN,
            default_threads(),
            true,
            prepare,
            |_| (),
        );
        match summary.failed.first() {
            Some(first) => found.push(format!("{bug:?} {}", first.seed)),
            None => short.push(format!("{bug:?} is not found in {WITHIN} seeds")),
        }
    }
    inject_bug(None);
    print_line!(
        "injected bugs found in {:.1} s, with the first seed: {}",
        begun.elapsed().as_secs_f64(),
        found.join(", ")
    );
}
