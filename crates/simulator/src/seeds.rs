//! Runs many seeds, replays one seed, and shrinks a failing plan.

use crate::plan::Plan;
use crate::simulation::{Outcome, Simulation};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;

/// Runs one plan.
#[must_use]
pub fn play(plan: Plan) -> Outcome {
    Simulation::new(plan, false).run().0
}

/// Runs one plan with a trace of its events.
#[must_use]
pub fn replay(plan: Plan) -> (Outcome, Vec<String>) {
    let (outcome, trace) = Simulation::new(plan, true).run();
    (outcome, trace.unwrap_or_default())
}

/// Summary of many seeds.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// Number of seeds that were run.
    pub seeds: u64,
    /// Outcomes of the seeds that violated a rule, in the order of the seeds.
    pub failed: Vec<Outcome>,
    /// Simulated time, in microseconds.
    pub simulated: u64,
    /// Number of events.
    pub events: u64,
    /// Numbers of attempts: sent, served, rejected, failed or lost, unreachable.
    pub counts: [u64; 5],
    /// How often each coverage point was reached, and in how many seeds.
    pub coverage: BTreeMap<&'static str, (u64, u64)>,
    /// Digest of all digests, in the order of the seeds.
    pub digest: u64,
}

/// Runs seeds on `jobs` threads, with the plan that `make_plan` returns for each; `prepare` runs
/// once on each thread. With `stop_at_failure` it stops at the first failure.
pub fn run(
    make_plan: impl Fn(u64) -> Plan + Sync,
    from: u64,
    number: u64,
    jobs: usize,
    stop_at_failure: bool,
    prepare: impl Fn() + Sync,
    progress: impl Fn(u64) + Sync,
) -> Summary {
    let (next, over) = (AtomicU64::new(0), AtomicBool::new(false));
    let outcomes = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                prepare();
                let mut thread_outcomes = Vec::new();
                while !over.load(Ordering::Relaxed) {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= number {
                        break;
                    }
                    let outcome = play(make_plan(from + index));
                    if stop_at_failure && !outcome.violations.is_empty() {
                        over.store(true, Ordering::Relaxed);
                    }
                    thread_outcomes.push(outcome);
                    progress(index + 1);
                }
                if let Ok(mut outcomes) = outcomes.lock() {
                    outcomes.append(&mut thread_outcomes);
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().unwrap_or_default();
    outcomes.sort_by_key(|outcome| outcome.seed);
    let mut summary = Summary::default();
    let mut digest = xxhash_rust::xxh3::Xxh3::new();
    for outcome in outcomes {
        summary.seeds += 1;
        summary.simulated += outcome.simulated;
        summary.events += outcome.events;
        summary
            .counts
            .iter_mut()
            .zip(outcome.counts)
            .for_each(|(sum, count)| *sum += count);
        for (name, number) in &outcome.coverage {
            let coverage = summary.coverage.entry(name).or_default();
            *coverage = (coverage.0 + number, coverage.1 + 1);
        }
        digest.update(&outcome.digest.to_le_bytes());
        if !outcome.violations.is_empty() {
            summary.failed.push(outcome);
        }
    }
    summary.digest = digest.digest();
    summary
}

/// Shrinks a failing plan as long as it still violates the same rule: fewer faults, fewer front
/// ends, less time and load. Returns the smallest plan and the number of plans that were run.
#[must_use]
pub fn shrink(plan: Plan, max_plans: u32) -> (Plan, u32) {
    // Ids and times differ between plans.
    let message_kind = |text: &str| -> String {
        let words = text
            .split_whitespace()
            .filter(|word| !word.contains(|c: char| c.is_ascii_digit()));
        words.collect::<Vec<_>>().join(" ")
    };
    let Some(violation_kind) = play(plan.clone())
        .violations
        .first()
        .map(|text| message_kind(text))
    else {
        return (plan, 1);
    };
    let fails = |plan: &Plan| {
        play(plan.clone())
            .violations
            .first()
            .is_some_and(|text| message_kind(text) == violation_kind)
    };
    let (mut smallest, mut played) = (plan, 1);
    loop {
        let mut smaller: Vec<Plan> = Vec::new();
        for index in 0..smallest.faults.len() {
            let mut plan = smallest.clone();
            plan.faults.remove(index);
            smaller.push(plan);
        }
        for index in 0..smallest
            .habits
            .len()
            .min(smallest.habits.len().saturating_sub(1) * 8)
        {
            let mut plan = smallest.clone();
            plan.habits.remove(index);
            plan.load *= plan.habits.len() as f64 / (plan.habits.len() + 1) as f64;
            smaller.push(plan);
        }
        if smallest.matchers > 1 {
            smaller.push(Plan {
                matchers: smallest.matchers - 1,
                ..smallest.clone()
            });
        }
        if smallest.request_duration > 1_000_000 {
            smaller.push(Plan {
                request_duration: smallest.request_duration / 2,
                ..smallest.clone()
            });
        }
        if smallest.load > 0.05 {
            smaller.push(Plan {
                load: smallest.load / 2.0,
                ..smallest.clone()
            });
        }
        if smallest.partial_io {
            smaller.push(Plan {
                partial_io: false,
                ..smallest.clone()
            });
        }
        let mut better = None;
        for plan in smaller {
            if played >= max_plans {
                break;
            }
            played += 1;
            if fails(&plan) {
                better = Some(plan);
                break;
            }
        }
        match better {
            Some(plan) => smallest = plan,
            None => return (smallest, played),
        }
    }
}
