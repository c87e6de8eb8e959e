//! `cleatpulley check simulator`: speed, coverage, the same history twice, and injected bugs.

use super::simulator::{cores, show};
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

/// Seeds for speed and coverage.
const SEEDS: u64 = 400;
/// An injected bug has to be found within so many.
const WITHIN: u64 = 400;
/// What the page of hard cases asks for; each has to be met.
const HARD: [&str; 7] = [
    "told to leave while several times slower",
    "reply lost at its due time",
    "link break while a reload is on",
    "crash between intent and result",
    "a stalled body at the drain",
    "no descriptor left within a drain",
    "a repeat is told the first answer",
];

/// Measures, prints, and says what falls short.
///
/// # Errors
/// None so far.
pub fn run() -> Result<Vec<String>, String> {
    let mut short = Vec::new();
    queue();
    speed(&mut short);
    same(&mut short);
    bugs(&mut short);
    Ok(short)
}

/// Events that breed others at times like those of a history, in the made queue and in a binary heap.
fn queue() {
    let gaps = |n: u64| [40, 120, 700, 2_000, 15_000, 300_000][(n % 6) as usize] + n % 37;
    let (mut queue, mut heap, turns) = (EventQueue::default(), BinaryHeap::new(), 3_000_000);
    (0..600_u64).for_each(|n| queue.push(gaps(n), n));
    let begun = Instant::now();
    for n in 0..turns {
        if let Some((at, event)) = queue.pop() {
            queue.push(at + gaps(n + event), black_box(event));
        }
    }
    let own = begun.elapsed().as_nanos() as f64 / turns as f64;
    (0..600_u64).for_each(|n| heap.push(Reverse((gaps(n), n, n))));
    let begun = Instant::now();
    for n in 0..turns {
        if let Some(Reverse((at, _, event))) = heap.pop() {
            heap.push(Reverse((at + gaps(n + event), n + 600, black_box(event))));
        }
    }
    let other = begun.elapsed().as_nanos() as f64 / turns as f64;
    print_line!(
"queue of 600 events, ns an event: ring and heap {own:.0}, BinaryHeap alone {other:.0}, ratio {:.2}",
own / other
);
}

fn speed(short: &mut Vec<String>) {
    let mut plan = Plan::from_seed(1);
    plan.faults.clear();
    (
        plan.matchers,
        plan.cores,
        plan.request_duration,
        plan.partial_io,
    ) = (1, 12, 60_000_000, false);
    plan.habits.truncate(1);
    let calm = Habit {
        ajp: false,
        retries: false,
        hasty: None,
        copies: None,
        keyed: false,
        ..plan.habits[0].clone()
    };
    plan.habits = vec![calm];
    plan.load = 150.0
        / Setup {
            cores: 12,
            ..Setup::default()
        }
        .capacity();
    let begun = Instant::now();
    let outcome = seeds::play(plan);
    let ratio = outcome.simulated as f64 / 1e6 / begun.elapsed().as_secs_f64();
    print_line!(
        "one matcher, {:.0} tries a second: {ratio:.0} times real time on one core",
        outcome.counts[0] as f64 / 60.0
    );
    if ratio < 500.0 {
        short.push(format!(
            "{ratio:.0} times real time on one core, the goal is 500"
        ));
    }
    let jobs = cores().min(4);
    let begun = Instant::now();
    let summary = seeds::run(Plan::from_seed, 1, SEEDS, jobs, false, || (), |_| ());
    show(&summary, begun.elapsed(), jobs);
    for outcome in &summary.failed {
        short.push(format!(
            "seed {}: {}",
            outcome.seed,
            outcome.violations.join("; ")
        ));
    }
    for name in HARD {
        if !summary.coverage.contains_key(name) {
            short.push(format!("no seed has met: {name}"));
        }
    }
}

fn same(short: &mut Vec<String>) {
    let digest = |jobs| seeds::run(Plan::from_seed, 1, 60, jobs, false, || (), |_| ()).digest;
    let (one, many) = (digest(1), digest(cores().max(2)));
    print_line!("60 seeds by one job and by many: digests {one:016x} and {many:016x}");
    if one != many {
        short.push("the same seeds pass differently with other job counts".to_owned());
    }
}

fn bugs(short: &mut Vec<String>) {
    if !inject_bug(None) || !inject_bug(Some(InjectedBug::DeadlinesLate)) {
        short.push("built without the feature `bug-injection`: no bug can be injected".to_owned());
        return;
    }
    print_line!("injected bugs: seeds to the first find, faults before and after it was shrunk");
    let any = InjectedBug::GENERAL.map(|bug| (bug, Plan::from_seed as fn(u64) -> Plan));
    let chains = InjectedBug::HOT_RESTART_CHAINS
        .map(|bug| (bug, Plan::with_upgrade_chains as fn(u64) -> Plan));
    for (bug, plan) in any.into_iter().chain(chains) {
        inject_bug(Some(bug));
        let prepare = || {
            inject_bug(Some(bug));
        };
        let summary = seeds::run(plan, 1, WITHIN, cores().min(4), true, prepare, |_| ());
        let Some(first) = summary.failed.first() else {
            print_line!(
                "  {:<18} not found in {} seeds",
                format!("{bug:?}"),
                summary.seeds
            );
            short.push(format!("{bug:?} is not found in {WITHIN} seeds"));
            continue;
        };
        let whole = plan(first.seed);
        let (again, _) = seeds::replay(whole.clone());
        if again.digest != first.digest {
            short.push(format!(
                "{bug:?}: seed {} passes differently when it is played again",
                first.seed
            ));
        }
        let faults = whole.faults.len();
        let (small, played) = seeds::shrink(whole, 12);
        print_line!(
"  {:<18} {:>4} seeds   faults {faults:>2} to {:>2}, {:.1} s of asking, in {played} plans: {}",
format!("{bug:?}"),
first.seed,
small.faults.len(),
small.request_duration as f64 / 1e6,
first.violations[0]
);
    }
    inject_bug(None);
}
