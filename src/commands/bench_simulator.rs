//! `cleatpulley check simulator`: speed, coverage, reproducibility, and injected bugs.

use super::simulator::{default_threads, print_summary};
use cleatpulley::policy::bug_injection::{inject_bug, InjectedBug};
use cleatpulley_emulators::site::Setup;
use cleatpulley_simulator::event_queue::EventQueue;
use cleatpulley_simulator::front_end::Habit;
use cleatpulley_simulator::plan::Plan;
use cleatpulley_simulator::seeds;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::Instant;

/// Number of seeds for speed and coverage.
const SEEDS: u64 = 400;
/// Number of seeds within which an injected bug has to be found.
const MAX_SEEDS_TO_FIND_BUG: u64 = 400;
/// Coverage points that the page of hard cases requires; each has to be reached.
const REQUIRED_COVERAGE: [&str; 7] = [
    "shutdown while several times slower",
    "response lost at its deadline",
    "link break during a reload",
    "crash between intent and result",
    "stalled body during a drain",
    "no descriptor left during a drain",
    "repeated key gets the first response",
];

/// Runs the measurements, prints them, and returns the shortfalls.
///
/// # Errors
/// None so far.
pub fn run() -> Result<Vec<String>, String> {
    let mut shortfalls = Vec::new();
    measure_event_queue();
    measure_speed(&mut shortfalls);
    check_reproducibility(&mut shortfalls);
    check_injected_bugs(&mut shortfalls);
    Ok(shortfalls)
}

/// Compares the event queue with a binary heap, on events that schedule others at times like those
/// of a simulation.
fn measure_event_queue() {
    let delay = |n: u64| [40, 120, 700, 2_000, 15_000, 300_000][(n % 6) as usize] + n % 37;
    let (mut queue, mut heap, rounds) = (EventQueue::default(), BinaryHeap::new(), 3_000_000);
    (0..600_u64).for_each(|n| queue.push(delay(n), n));
    let started = Instant::now();
    for n in 0..rounds {
        if let Some((at, event)) = queue.pop() {
            queue.push(at + delay(n + event), black_box(event));
        }
    }
    let own_ns = started.elapsed().as_nanos() as f64 / rounds as f64;
    (0..600_u64).for_each(|n| heap.push(Reverse((delay(n), n, n))));
    let started = Instant::now();
    for n in 0..rounds {
        if let Some(Reverse((at, _, event))) = heap.pop() {
            heap.push(Reverse((at + delay(n + event), n + 600, black_box(event))));
        }
    }
    let heap_ns = started.elapsed().as_nanos() as f64 / rounds as f64;
    print_line!(
        "queue of 600 events, ns an event: ring and heap {own_ns:.0}, BinaryHeap alone {heap_ns:.0}, ratio {:.2}",
        own_ns / heap_ns
    );
}

fn measure_speed(shortfalls: &mut Vec<String>) {
    let mut plan = Plan::from_seed(1);
    plan.faults.clear();
    (
        plan.matchers,
        plan.cores,
        plan.request_duration,
        plan.partial_io,
    ) = (1, 12, 60_000_000, false);
    plan.habits.truncate(1);
    let simple_habit = Habit {
        ajp: false,
        retries: false,
        hasty: None,
        copies: None,
        keyed: false,
        ..plan.habits[0].clone()
    };
    plan.habits = vec![simple_habit];
    plan.load = 150.0
        / Setup {
            cores: 12,
            ..Setup::default()
        }
        .capacity();
    let started = Instant::now();
    let outcome = seeds::play(plan);
    let ratio = outcome.simulated as f64 / 1e6 / started.elapsed().as_secs_f64();
    print_line!(
        "one matcher, {:.0} attempts a second: {ratio:.0} times real time on one core",
        outcome.counts[0] as f64 / 60.0
    );
    if ratio < 500.0 {
        shortfalls.push(format!(
            "{ratio:.0} times real time on one core, the goal is 500"
        ));
    }
    let jobs = default_threads().min(4);
    let started = Instant::now();
    let summary = seeds::run(Plan::from_seed, 1, SEEDS, jobs, false, || (), |_| ());
    print_summary(&summary, started.elapsed(), jobs);
    for outcome in &summary.failed {
        shortfalls.push(format!(
            "seed {}: {}",
            outcome.seed,
            outcome.violations.join("; ")
        ));
    }
    for name in REQUIRED_COVERAGE {
        if !summary.coverage.contains_key(name) {
            shortfalls.push(format!("no seed reached: {name}"));
        }
    }
}

fn check_reproducibility(shortfalls: &mut Vec<String>) {
    let digest = |jobs| seeds::run(Plan::from_seed, 1, 60, jobs, false, || (), |_| ()).digest;
    let (one_job, many_jobs) = (digest(1), digest(default_threads().max(2)));
    print_line!(
        "60 seeds by one job and by many jobs: digests {one_job:016x} and {many_jobs:016x}"
    );
    if one_job != many_jobs {
        shortfalls.push("the same seeds give another digest with another job count".to_owned());
    }
}

fn check_injected_bugs(shortfalls: &mut Vec<String>) {
    if !inject_bug(None) || !inject_bug(Some(InjectedBug::DeadlinesLate)) {
        shortfalls
            .push("built without the feature `bug-injection`: no bug can be injected".to_owned());
        return;
    }
    print_line!("injected bugs: seeds until found, faults before and after shrinking");
    let general = InjectedBug::GENERAL.map(|bug| (bug, Plan::from_seed as fn(u64) -> Plan));
    let chains = InjectedBug::HOT_RESTART_CHAINS
        .map(|bug| (bug, Plan::with_upgrade_chains as fn(u64) -> Plan));
    for (bug, plan) in general.into_iter().chain(chains) {
        inject_bug(Some(bug));
        let prepare = || {
            inject_bug(Some(bug));
        };
        let summary = seeds::run(
            plan,
            1,
            MAX_SEEDS_TO_FIND_BUG,
            default_threads().min(4),
            true,
            prepare,
            |_| (),
        );
        let Some(first) = summary.failed.first() else {
            print_line!(
                "  {:<18} not found in {} seeds",
                format!("{bug:?}"),
                summary.seeds
            );
            shortfalls.push(format!(
                "{bug:?} is not found in {MAX_SEEDS_TO_FIND_BUG} seeds"
            ));
            continue;
        };
        let unshrunk = plan(first.seed);
        let (replayed, _) = seeds::replay(unshrunk.clone());
        if replayed.digest != first.digest {
            shortfalls.push(format!(
                "{bug:?}: seed {} gives another digest when it is replayed",
                first.seed
            ));
        }
        let faults = unshrunk.faults.len();
        let (smallest, played) = seeds::shrink(unshrunk, 12);
        print_line!(
            "  {:<18} {:>4} seeds   faults {faults:>2} to {:>2}, {:.1} s of requests, in {played} plans: {}",
            format!("{bug:?}"),
            first.seed,
            smallest.faults.len(),
            smallest.request_duration as f64 / 1e6,
            first.violations[0]
        );
    }
    inject_bug(None);
}
