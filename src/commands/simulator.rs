//! `cleatpulley simulator`: simulates whole matchers on a virtual clock, with faults drawn from seeds.

use clap::{Args, Subcommand};
use cleatpulley_simulator::plan::{AdmissionMode, Plan};
use cleatpulley_simulator::seeds::{self, Summary};
use std::io::{IsTerminal, Write};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Subcommands of `cleatpulley simulator`.
#[derive(Subcommand)]
pub enum Simulator {
    /// Run many seeds and print those that violated an invariant, and how often each situation occurred; exits with 1
    /// if any did
    Run {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 1_000)]
        count: u64,
        /// Number of threads [default: number of cores]
        #[arg(long)]
        jobs: Option<usize>,
        /// The kind of plan that is drawn from each seed
        #[arg(long, value_enum, default_value = "mixed")]
        plan: PlanKind,
    },
    /// Run one seed and print its trace; exits with 1 if it violated an invariant
    Replay {
        #[command(flatten)]
        seed: SeedArgs,
        /// Print only this many lines from the end of the trace
        #[arg(long)]
        last: Option<usize>,
    },
    /// Find a smaller set of faults, callers and time that still violates the invariant that a seed violates
    Shrink {
        #[command(flatten)]
        seed: SeedArgs,
        /// Maximum number of plans to run
        #[arg(long, default_value_t = 400)]
        most: u32,
    },
}

/// Arguments that select one plan.
#[derive(Args)]
pub struct SeedArgs {
    /// The seed
    seed: u64,
    /// The kind of plan that is drawn from the seed
    #[arg(long, value_enum, default_value = "mixed")]
    plan: PlanKind,
}

/// The kinds of plans that can be drawn from a seed.
#[derive(clap::ValueEnum, Clone, Copy)]
pub enum PlanKind {
    /// Any faults
    Mixed,
    /// Floods of connections from unknown addresses, with connection admission
    Floods,
    /// Overlapping upgrades, with keyed requests
    Upgrades,
}

impl PlanKind {
    fn plan(self, seed: u64) -> Plan {
        match self {
            Self::Mixed => Plan::from_seed(seed),
            Self::Floods => Plan::with_floods(seed),
            Self::Upgrades => Plan::with_upgrade_chains(seed),
        }
    }
}

impl SeedArgs {
    fn plan(&self) -> Plan {
        self.plan.plan(self.seed)
    }
}

/// Runs a subcommand.
///
/// # Errors
/// None at present; the type is that of all subcommands.
pub fn run(command: &Simulator) -> Result<ExitCode, String> {
    match command {
        Simulator::Run {
            from,
            count,
            jobs,
            plan,
        } => Ok(run_seeds(*from, *count, *jobs, *plan)),
        Simulator::Replay { seed, last } => Ok(replay(seed.plan(), *last)),
        Simulator::Shrink { seed, most } => Ok(shrink(&seed.plan(), *most)),
    }
}

/// Returns the default number of threads.
pub fn default_jobs() -> usize {
    std::thread::available_parallelism().map_or(4, usize::from)
}

fn exit_status(success: bool) -> ExitCode {
    if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_seeds(from: u64, count: u64, jobs: Option<usize>, kind: PlanKind) -> ExitCode {
    let started_at = Instant::now();
    let is_terminal = std::io::stderr().is_terminal();
    let progress = |done: u64| {
        if is_terminal && (done.is_multiple_of(50) || done == count) {
            eprint!("\r{done} of {count} seeds ");
            let _ = std::io::stderr().flush();
        }
    };
    let jobs = jobs.unwrap_or_else(default_jobs);
    let summary = seeds::run(
        |seed| kind.plan(seed),
        from,
        count,
        jobs,
        false,
        || (),
        progress,
    );
    if is_terminal {
        eprintln!();
    }
    print_summary(&summary, started_at.elapsed(), jobs);
    for outcome in summary.failed.iter().take(20) {
        print_line!("seed {}: {}", outcome.seed, outcome.violations.join("; "));
    }
    print_line!(
        "{} seeds, {} violated an invariant; digest {:016x}",
        summary.seeds,
        summary.failed.len(),
        summary.digest
    );
    exit_status(summary.failed.is_empty())
}

/// Prints the speed and the coverage of a run.
pub fn print_summary(summary: &Summary, elapsed: Duration, jobs: usize) {
    let seconds = elapsed.as_secs_f64().max(1e-9);
    let simulated_s = summary.simulated as f64 / 1e6;
    print_line!(
        "{} seeds in {seconds:.1} s by {jobs} jobs: {:.0} seeds a second, {:.0} simulated seconds a second, {:.0} for each job; {:.1} million events",
        summary.seeds,
        summary.seeds as f64 / seconds,
        simulated_s / seconds,
        simulated_s / seconds / jobs as f64,
        summary.events as f64 / 1e6
    );
    let [sent, served, rejected, failed, unreachable] = summary.counts;
    print_line!("attempts: {sent} sent, {served} served, {rejected} rejected, {failed} failed or lost, {unreachable} found no matcher");
    print_line!("met:");
    for (name, (times, seeds)) in &summary.coverage {
        print_line!("  {name:<55} {times:>9} times in {seeds:>6} seeds");
    }
}

fn print_plan(plan: &Plan) {
    print_line!(
        "seed {}: {} matchers of {} cores, {:.0}% load for {:.1} s, {} descriptors{}{}",
        plan.seed,
        plan.matchers,
        plan.cores,
        plan.load * 100.0,
        plan.request_duration as f64 / 1e6,
        plan.max_descriptors,
        if plan.partial_io {
            ", partial reads and writes"
        } else {
            ""
        },
        match plan.admission {
            AdmissionMode::Unrestricted => "",
            AdmissionMode::Allowlist =>
                ", connection admission with the front ends' address on the allowlist",
            AdmissionMode::Reputation => ", connection admission with reputation",
        }
    );
    for (n, behavior) in plan.habits.iter().enumerate() {
        print_line!("  front end {n}: {behavior:?}");
    }
    plan.faults
        .iter()
        .for_each(|fault| print_line!("  {fault}"));
}

fn replay(plan: Plan, last: Option<usize>) -> ExitCode {
    print_plan(&plan);
    let (outcome, trace) = seeds::replay(plan);
    let from = last.map_or(0, |last| trace.len().saturating_sub(last));
    let mut out = std::io::stdout().lock();
    for line in &trace[from..] {
        // A write fails if the reader has closed the pipe.
        if writeln!(out, "{line}").is_err() {
            break;
        }
    }
    let _ = writeln!(
        out,
        "{} events, digest {:016x}",
        outcome.events, outcome.digest
    );
    outcome
        .violations
        .iter()
        .for_each(|violation| drop(writeln!(out, "broken: {violation}")));
    exit_status(outcome.violations.is_empty())
}

fn shrink(plan: &Plan, max_plans: u32) -> ExitCode {
    if seeds::play(plan.clone()).violations.is_empty() {
        print_line!("seed {} violates no invariant", plan.seed);
        return ExitCode::SUCCESS;
    }
    let (shrunk, plans_run) = seeds::shrink(plan.clone(), max_plans);
    print_line!(
        "{plans_run} plans run; {} faults of {} are left:",
        shrunk.faults.len(),
        plan.faults.len()
    );
    print_plan(&shrunk);
    let (outcome, trace) = seeds::replay(shrunk);
    trace[trace.len().saturating_sub(40)..]
        .iter()
        .for_each(|line| print_line!("{line}"));
    outcome
        .violations
        .iter()
        .for_each(|violation| print_line!("broken: {violation}"));
    ExitCode::FAILURE
}
