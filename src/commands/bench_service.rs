//! `cleatpulley check service`: operators beside crowds, upgrades under load, and the same from seeds.

use cleatpulley::policy::bug_injection::{inject_bug, InjectedBug};
use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::site::Setup;
use cleatpulley_emulators::trial::{Load, Report, RunningTrial, Trial};
use cleatpulley_simulator::plan::{Fault, Plan, PlannedFault};
use cleatpulley_simulator::seeds;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const SECOND: u64 = 1_000_000;
/// Silent connections at each address, and for how long operators ask beside them.
const CROWD: usize = 2_000;
const ASKED: Duration = Duration::from_secs(6);
/// An answer's time at 99 of 100, in milliseconds.
const GOAL_MS: f64 = 50.0;
const UPGRADES: usize = 20;
/// Points of service that an upgrade may cost in the ten seconds round it.
const GOAL_POINTS: f64 = 1.0;
/// Pairs of trials, with an upgrade and without; both of a pair run at the same time.
const PAIRS: std::ops::Range<u64> = 21..24;
const SEEDS: u64 = 600;
/// Seeds that are played with what was learned and without.
const PAIRED: u64 = 150;
/// Seeds within which an injected bug is to be found.
const WITHIN: u64 = 800;
const BUGS: [InjectedBug; 7] = [
    InjectedBug::ManagementStarved,
    InjectedBug::PassedListenerDropped,
    InjectedBug::PredecessorUsageIgnored,
    InjectedBug::RecoveredKeysDropped,
    InjectedBug::LockIgnored,
    InjectedBug::PredecessorExitsEarly,
    InjectedBug::TornSnapshotAccepted,
];

/// Measures, prints, and says what falls short.
///
/// # Errors
/// Where something can't be started.
pub fn run(program: &Path) -> Result<Vec<String>, String> {
    let mut short = Vec::new();
    operators(program, &mut short).map_err(|e| format!("operators: {e}"))?;
    upgrades(program, &mut short).map_err(|e| format!("upgrades: {e}"))?;
    beside(program, &mut short).map_err(|e| format!("an upgrade beside none: {e}"))?;
    played(&mut short);
    learned();
    bugs(&mut short);
    Ok(short)
}

fn trial(share: f64, seconds: u64, processes: usize, seed: u64) -> Trial {
    let site = Setup {
        seed,
        runtime_address_count: processes,
        ..Setup::default()
    };
    let load = |front, part: f64| Load {
        protocol: front,
        rates: vec![(seconds * SECOND, part * share * site.capacity())],
        connections: if front == Protocol::Frames { 4 } else { 64 },
        body_bytes: 64,
        key_field: None,
    };
    let loads = vec![load(Protocol::Frames, 0.7), load(Protocol::Ajp, 0.3)];
    Trial {
        site,
        loads,
        ajp_options: String::new(),
        operator_sections: String::new(),
        terminate_at: None,
    }
}

/// Waits until all callers have their answers, and judges.
fn judged(mut going: RunningTrial) -> Report {
    let until = Instant::now() + Duration::from_secs(20);
    let done = |going: &RunningTrial| {
        going
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
    };
    while !done(&going) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
    }
    going.check_rules()
}

fn served(report: &Report) -> f64 {
    let (mut asked, mut in_time) = (0, 0);
    for (.., tally) in &report.tallies {
        (asked, in_time) = (asked + tally.issued, in_time + tally.on_time);
    }
    100.0 * in_time as f64 / asked.max(1) as f64
}

fn door(report: &Report) -> u64 {
    report
        .tallies
        .iter()
        .map(|(.., tally)| tally.unanswered + tally.not_sent)
        .sum()
}

fn at(times: &[f64], share: f64) -> f64 {
    let place = ((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1));
    times.get(place).copied().unwrap_or(f64::INFINITY)
}

/// Holds so many connections that say next to nothing, and replaces those that are closed, until it is over.
fn crowd(to: SocketAddr, over: &AtomicBool, opened: &AtomicU64) {
    let mut held: Vec<TcpStream> = Vec::new();
    while !over.load(Ordering::Relaxed) {
        while held.len() < CROWD && !over.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_millis(200)) else {
                break;
            };
            // Half of them begin something.
            if held.len().is_multiple_of(2) {
                let _ = stream.write_all(b"GET /_v");
            }
            opened.fetch_add(1, Ordering::Relaxed);
            held.push(stream);
        }
        std::thread::sleep(Duration::from_millis(20));
        held.retain(|stream| {
            let waits = stream
                .set_nonblocking(true)
                .and_then(|()| stream.peek(&mut [0; 1]));
            matches!(waits, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
        });
    }
}

fn operators(program: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    let trial = trial(1.1, 7, 1, 20);
    let going = trial.start(program)?;
    let mgmt = going
        .matcher
        .mgmt
        .ok_or_else(|| std::io::Error::other("no operators' address"))?;
    let (over, opened) = (AtomicBool::new(false), AtomicU64::new(0));
    let (mut times, mut failed) = (Vec::new(), 0);
    std::thread::scope(|scope| {
        for to in [mgmt, going.matcher.frames] {
            let (over, opened) = (&over, &opened);
            scope.spawn(move || crowd(to, over, opened));
        }
        std::thread::sleep(Duration::from_millis(500));
        let begun = Instant::now();
        while begun.elapsed() < ASKED {
            let asked = Instant::now();
            match going.matcher.get("/_vars") {
                Ok((200, _)) => times.push(asked.elapsed().as_secs_f64() * 1e3),
                _ => failed += 1,
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        over.store(true, Ordering::Relaxed);
    });
    times.sort_by(f64::total_cmp);
    let (p50, p99, worst) = (at(&times, 0.5), at(&times, 0.99), at(&times, 1.0));
    print_line!(
        "operators at 110% load beside {CROWD} silent connections at each address ({} opened): {} answers, median {p50:.2} ms, \
         p99 {p99:.2} ms, worst {worst:.2} ms, {failed} without an answer",
        opened.load(Ordering::Relaxed),
        times.len()
    );
    if failed > 0 || p99 > GOAL_MS {
        short.push(format!(
                "operators: p99 {p99:.1} ms and {failed} without an answer, {GOAL_MS} ms and 0 are the goals"
            ));
    }
    let report = judged(going);
    // Callers whose connection the crowd kept out are no matter of the rules here.
    print_line!(
        "  meanwhile {:.1}% of the clients' requests in time",
        served(&report)
    );
    Ok(())
}

fn upgrades(program: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    let trial = trial(0.8, 8, UPGRADES + 1, 11);
    let mut going = trial.start(program)?;
    std::thread::sleep(Duration::from_millis(300));
    let (mut ready, mut left) = (Duration::ZERO, Duration::ZERO);
    for number in 1..=UPGRADES {
        let (yes, end) = going.upgrade(program, number)?;
        (ready, left) = (ready.max(yes), left.max(end));
    }
    let report = judged(going);
    for (front, class, tally) in report
        .tallies
        .iter()
        .filter(|(.., t)| t.unanswered + t.not_sent > 0)
    {
        print_line!(
            "  {front} {class}: {} lost, {} refused a connection",
            tally.unanswered,
            tally.not_sent
        );
    }
    print_line!(
        "{UPGRADES} upgrades in a row at 80% load: {} requests ended at the door, {:.1}% in time, yes after {} ms and left after \
         {} ms at most, rules: {}",
        door(&report),
        served(&report),
        ready.as_millis(),
        left.as_millis(),
        if report.violations.is_empty() { "all held".to_owned() } else { report.violations.join("; ") }
    );
    if door(&report) > 0 || !report.violations.is_empty() {
        short.push(format!(
            "{} requests ended at the door in {UPGRADES} upgrades",
            door(&report)
        ));
    }
    Ok(())
}

fn beside(program: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    for share in [0.8, 1.0] {
        let play = |seed: u64, upgrade: bool| -> std::io::Result<f64> {
            let mut going = trial(share, 10, 2, seed).start(program)?;
            std::thread::sleep(Duration::from_secs(5));
            if upgrade {
                going.upgrade(program, 1)?;
            }
            Ok(served(&judged(going)))
        };
        let mut lost = 0.0;
        let (mut with, mut without) = (0.0, 0.0);
        std::thread::scope(|scope| -> std::io::Result<()> {
            let play = &play;
            let start =
                |seed| [true, false].map(|upgrade| scope.spawn(move || play(seed, upgrade)));
            for [one, none] in PAIRS.map(start).collect::<Vec<_>>() {
                let gone = |_| std::io::Error::other("a trial has ended early");
                let (one, none) = (one.join().map_err(gone)??, none.join().map_err(gone)??);
                (with, without, lost) = (with + one, without + none, lost + none - one);
            }
            Ok(())
        })?;
        let pairs = PAIRS.count() as f64;
        print_line!(
            "ten seconds round an upgrade at {:.0}% load, {pairs} pairs: {:.2}% in time, {:.2}% in the same seconds without one",
            share * 100.0,
            with / pairs,
            without / pairs
        );
        if lost / pairs > GOAL_POINTS {
            short.push(format!(
                "an upgrade at {:.0}% load costs {:.2} points",
                share * 100.0,
                lost / pairs
            ));
        }
    }
    Ok(())
}

fn jobs() -> usize {
    std::thread::available_parallelism()
        .map_or(2, usize::from)
        .min(4)
}

fn played(short: &mut Vec<String>) {
    let summary = seeds::run(Plan::from_seed, 1, SEEDS, jobs(), false, || (), |_| ());
    let met = |name: &str| summary.coverage.get(name).map_or(0, |(times, _)| *times);
    print_line!(
        "{SEEDS} seeds: {} upgrades, {} left to a successor, the new process died in {}, the old one in {}, three processes in {}; \
         {} broke a rule",
        met("upgrade"),
        met("shut down in favour of a successor"),
        met("new process dies before the old one is shut down") + met("new process dies after the old one is shut down"),
        met("old process dies during an upgrade"),
        met("third process while the first still responds"),
        summary.failed.len()
    );
    for outcome in &summary.failed {
        short.push(format!(
            "seed {}: {}",
            outcome.seed,
            outcome.violations.join("; ")
        ));
    }
}

/// The same seeds with two upgrades each, once with what the predecessor has learned and once without, as it is torn.
fn learned() {
    let of = |seed: u64, torn: bool, load: f64| {
        let mut plan = Plan::from_seed(seed);
        let (matcher, duration) = (0, 0);
        let upgrade = |at| PlannedFault {
            at,
            duration,
            matcher,
            fault: Fault::Upgrade(None),
        };
        let tear = |at| PlannedFault {
            at,
            duration,
            matcher,
            fault: Fault::Torn,
        };
        let times = [2 * SECOND, 4 * SECOND];
        plan.faults = times.map(upgrade).to_vec();
        if torn {
            plan.faults.extend(times.map(|at| tear(at - 1)));
            plan.faults.sort_by_key(|planned| planned.at);
        }
        (plan.matchers, plan.load, plan.request_duration) = (1, load, 6 * SECOND);
        plan
    };
    for load in [0.8, 1.0, 1.2] {
        let differences: Vec<f64> = std::thread::scope(|scope| {
            let number = jobs() as u64;
            let part = |job: u64| {
                scope.spawn(move || {
                    let share = |plan| {
                        let [sent, served, ..] = seeds::play(plan).counts;
                        100.0 * served as f64 / sent.max(1) as f64
                    };
                    let seeds = (1..=PAIRED).filter(|seed| seed % number == job);
                    seeds
                        .map(|seed| share(of(seed, false, load)) - share(of(seed, true, load)))
                        .collect::<Vec<_>>()
                })
            };
            let parts: Vec<_> = (0..number).map(part).collect();
            parts
                .into_iter()
                .flat_map(|part| part.join().unwrap_or_default())
                .collect()
        });
        let number = differences.len().max(2) as f64;
        let mean = differences.iter().sum::<f64>() / number;
        let spread = differences
            .iter()
            .map(|one| (one - mean).powi(2))
            .sum::<f64>()
            / (number - 1.0);
        print_line!(
            "what was learned passed on, {PAIRED} seeds with two upgrades at {:.0}% load, each with and without: {mean:+.3} points of \
             tries served, standard error {:.3}",
            load * 100.0,
            (spread / number).sqrt()
        );
    }
}

fn bugs(short: &mut Vec<String>) {
    if !inject_bug(Some(InjectedBug::PassedListenerDropped)) {
        short.push("built without the feature `bug-injection`: no bug can be injected".to_owned());
        return;
    }
    let mut found = Vec::new();
    for bug in BUGS {
        let prepare = || {
            inject_bug(Some(bug));
        };
        let summary = seeds::run(Plan::from_seed, 1, WITHIN, jobs(), true, prepare, |_| ());
        match summary.failed.first() {
            Some(first) => found.push(format!("{bug:?} {}", first.seed)),
            None => short.push(format!("{bug:?} is not found in {WITHIN} seeds")),
        }
    }
    inject_bug(None);
    print_line!(
        "injected bugs found, with the first seed: {}",
        found.join(", ")
    );
}
