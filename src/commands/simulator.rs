//! `cleatpulley simulator`: whole matchers on a virtual clock, with faults from seeds.

use clap::{Args, Subcommand};
use cleatpulley_simulator::plan::{AdmissionMode, Plan};
use cleatpulley_simulator::seeds::{self, Summary};
use std::io::{IsTerminal, Write};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Subcommands of the simulator.
#[derive(Subcommand)]
pub enum Simulator {
    /// Run many seeds and print which violated a rule and what was covered; exits with 1 if one did
    Run {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 1_000)]
        count: u64,
        /// Threads; the number of cores by default
        #[arg(long)]
        jobs: Option<usize>,
        /// PlanKind of plan that each seed determines
        #[arg(long, value_enum, default_value = "mixed")]
        plan: PlanKind,
    },
    /// Run one seed and print its history; exits with 1 if it violated a rule
    Replay {
        #[command(flatten)]
        seed: SeedArgs,
        /// Print only the last lines
        #[arg(long)]
        last: Option<usize>,
    },
    /// Find a smaller set of faults, callers and time that still violates the same rule as a seed
    Shrink {
        #[command(flatten)]
        seed: SeedArgs,
        /// Maximum number of plans to run
        #[arg(long, default_value_t = 400)]
        most: u32,
    },
}

/// A seed with its kind of plan.
#[derive(Args)]
pub struct SeedArgs {
    /// The seed
    seed: u64,
    /// PlanKind of plan that it determines
    #[arg(long, value_enum, default_value = "mixed")]
    plan: PlanKind,
}

/// PlanKind of plan that a seed determines.
#[derive(clap::ValueEnum, Clone, Copy)]
pub enum PlanKind {
    /// General: any faults
    Mixed,
    /// Floods of unknown clients, with connection admission
    Floods,
    /// Overlapping upgrades, with idempotency keys
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

/// Runs the subcommand.
///
/// # Errors
/// None so far.
pub fn run(command: &Simulator) -> Result<ExitCode, String> {
    match command {
        Simulator::Run {
            from,
            count,
            jobs,
            plan,
        } => Ok(run_many(*from, *count, *jobs, *plan)),
        Simulator::Replay { seed, last } => Ok(replay(seed.plan(), *last)),
        Simulator::Shrink { seed, most } => Ok(shrink(&seed.plan(), *most)),
    }
}

/// Default number of threads.
pub fn default_threads() -> usize {
    std::thread::available_parallelism().map_or(4, usize::from)
}

fn exit_code(success: bool) -> ExitCode {
    if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_many(from: u64, count: u64, jobs: Option<usize>, kind: PlanKind) -> ExitCode {
    let started = Instant::now();
    let is_terminal = std::io::stderr().is_terminal();
    let progress = |done: u64| {
        if is_terminal && (done.is_multiple_of(50) || done == count) {
            eprint!("\r{done} of {count} seeds ");
            let _ = std::io::stderr().flush();
        }
    };
    let jobs = jobs.unwrap_or_else(default_threads);
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
    print_summary(&summary, started.elapsed(), jobs);
    for outcome in summary.failed.iter().take(20) {
        print_line!("seed {}: {}", outcome.seed, outcome.violations.join("; "));
    }
    print_line!(
        "{} seeds, {} violated a rule; digest {:016x}",
        summary.seeds,
        summary.failed.len(),
        summary.digest
    );
    exit_code(summary.failed.is_empty())
}

/// Prints speed and coverage.
pub fn print_summary(summary: &Summary, elapsed: Duration, jobs: usize) {
    let seconds = elapsed.as_secs_f64().max(1e-9);
    let simulated = summary.simulated as f64 / 1e6;
    print_line!(
        "{} seeds in {seconds:.1} s by {jobs} jobs: {:.0} seeds a second, {:.0} simulated seconds a second, {:.0} for each job; {:.1} million events",
        summary.seeds,
        summary.seeds as f64 / seconds,
        simulated / seconds,
        simulated / seconds / jobs as f64,
        summary.events as f64 / 1e6
    );
    let [sent, served, rejected, failed, unreachable] = summary.counts;
    print_line!("attempts: {sent} sent, {served} served, {rejected} rejected, {failed} failed or lost, {unreachable} unreachable");
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
            ", reads and writes cut short"
        } else {
            ""
        },
        match plan.admission {
            AdmissionMode::Unrestricted => "",
            AdmissionMode::Allowlist =>
                ", connection admission, the front ends' address on the allowlist",
            AdmissionMode::Reputation => ", connection admission by reputation",
        }
    );
    for (n, habit) in plan.habits.iter().enumerate() {
        print_line!("  front end {n}: {habit:?}");
    }
    plan.faults
        .iter()
        .for_each(|planned| print_line!("  {planned}"));
}

fn replay(plan: Plan, last: Option<usize>) -> ExitCode {
    print_plan(&plan);
    let (outcome, trace) = seeds::replay(plan);
    let from = last.map_or(0, |last| trace.len().saturating_sub(last));
    let mut out = std::io::stdout().lock();
    for line in &trace[from..] {
        // The reader of the output may close it early.
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
        .for_each(|violation| drop(writeln!(out, "violation: {violation}")));
    exit_code(outcome.violations.is_empty())
}

fn shrink(plan: &Plan, max_plans: u32) -> ExitCode {
    if seeds::play(plan.clone()).violations.is_empty() {
        print_line!("seed {} violates no rule", plan.seed);
        return ExitCode::SUCCESS;
    }
    let (smallest, played) = seeds::shrink(plan.clone(), max_plans);
    print_line!(
        "{played} plans run; {} of {} faults are left:",
        smallest.faults.len(),
        plan.faults.len()
    );
    print_plan(&smallest);
    let (outcome, trace) = seeds::replay(smallest);
    trace[trace.len().saturating_sub(40)..]
        .iter()
        .for_each(|line| print_line!("{line}"));
    outcome
        .violations
        .iter()
        .for_each(|violation| print_line!("violation: {violation}"));
    ExitCode::FAILURE
}
