//! `cleatpulley simulator`: whole matchers on a virtual clock, with faults from seeds.

use clap::{Args, Subcommand};
use cleatpulley_simulator::plan::{AdmissionMode, Plan};
use cleatpulley_simulator::seeds::{self, Summary};
use std::io::{IsTerminal, Write};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// What is done.
#[derive(Subcommand)]
pub enum Simulator {
    /// Play many seeds, say which broke a rule, and how often what was met; ends with 1 where one did
    Run {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// How many
        #[arg(long, default_value_t = 1_000)]
        count: u64,
        /// Threads; as many as there are cores unless set
        #[arg(long)]
        jobs: Option<usize>,
        /// What each seed stands for
        #[arg(long, value_enum, default_value = "mixed")]
        plan: Kind,
    },
    /// Play one seed and print what passed; ends with 1 where it broke a rule
    Replay {
        #[command(flatten)]
        seed: Seed,
        /// Only the last lines
        #[arg(long)]
        last: Option<usize>,
    },
    /// Find a smaller set of faults, callers and time that still breaks the rule that a seed breaks
    Shrink {
        #[command(flatten)]
        seed: Seed,
        /// Plans to try at most
        #[arg(long, default_value_t = 400)]
        most: u32,
    },
}

/// A seed.
#[derive(Args)]
pub struct Seed {
    /// The seed
    seed: u64,
    /// What it stands for
    #[arg(long, value_enum, default_value = "mixed")]
    plan: Kind,
}

/// What seeds stand for.
#[derive(clap::ValueEnum, Clone, Copy)]
pub enum Kind {
    /// Whatever is drawn
    Mixed,
    /// Floods of strangers, and decisions on places
    Floods,
    /// Upgrades that fall into each other, and keys
    Upgrades,
}

impl Kind {
    fn plan(self, seed: u64) -> Plan {
        match self {
            Self::Mixed => Plan::from_seed(seed),
            Self::Floods => Plan::with_floods(seed),
            Self::Upgrades => Plan::with_upgrade_chains(seed),
        }
    }
}

impl Seed {
    fn plan(&self) -> Plan {
        self.plan.plan(self.seed)
    }
}

/// Does it.
///
/// # Errors
/// Where the system tells no number of cores.
pub fn run(command: &Simulator) -> Result<ExitCode, String> {
    match command {
        Simulator::Run {
            from,
            count,
            jobs,
            plan,
        } => Ok(many(*from, *count, *jobs, *plan)),
        Simulator::Replay { seed, last } => Ok(replay(seed.plan(), *last)),
        Simulator::Shrink { seed, most } => Ok(shrink(&seed.plan(), *most)),
    }
}

/// Threads unless somebody says how many.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(4, usize::from)
}

fn status(good: bool) -> ExitCode {
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn many(from: u64, count: u64, jobs: Option<usize>, kind: Kind) -> ExitCode {
    let begun = Instant::now();
    let watched = std::io::stderr().is_terminal();
    let progress = |done: u64| {
        if watched && (done.is_multiple_of(50) || done == count) {
            eprint!("\r{done} of {count} seeds ");
            let _ = std::io::stderr().flush();
        }
    };
    let jobs = jobs.unwrap_or_else(cores);
    let summary = seeds::run(
        |seed| kind.plan(seed),
        from,
        count,
        jobs,
        false,
        || (),
        progress,
    );
    if watched {
        eprintln!();
    }
    show(&summary, begun.elapsed(), jobs);
    for outcome in summary.failed.iter().take(20) {
        print_line!("seed {}: {}", outcome.seed, outcome.violations.join("; "));
    }
    print_line!(
        "{} seeds, {} broke a rule; digest {:016x}",
        summary.seeds,
        summary.failed.len(),
        summary.digest
    );
    status(summary.failed.is_empty())
}

/// Speed and coverage.
pub fn show(summary: &Summary, took: Duration, jobs: usize) {
    let seconds = took.as_secs_f64().max(1e-9);
    let simulated = summary.simulated as f64 / 1e6;
    print_line!(
"{} seeds in {seconds:.1} s by {jobs} jobs: {:.0} seeds a second, {:.0} simulated seconds a second, {:.0} for each job; {:.1} million events",
summary.seeds,
summary.seeds as f64 / seconds,
simulated / seconds,
simulated / seconds / jobs as f64,
summary.events as f64 / 1e6
);
    let [sent, served, refused, failed, unreachable] = summary.counts;
    print_line!("tries: {sent} sent, {served} served, {refused} refused, {failed} failed or lost, {unreachable} found nobody");
    print_line!("met:");
    for (name, (times, seeds)) in &summary.coverage {
        print_line!("  {name:<55} {times:>9} times in {seeds:>6} seeds");
    }
}

fn describe(plan: &Plan) {
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
            AdmissionMode::Allowlist => ", places decided, the front ends' address named",
            AdmissionMode::Reputation => ", places decided, standing earned",
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
    describe(&plan);
    let (outcome, trace) = seeds::replay(plan);
    let from = last.map_or(0, |last| trace.len().saturating_sub(last));
    let mut out = std::io::stdout().lock();
    for line in &trace[from..] {
        // Whoever reads may stop reading.
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
        .for_each(|what| drop(writeln!(out, "broken: {what}")));
    status(outcome.violations.is_empty())
}

fn shrink(whole: &Plan, most: u32) -> ExitCode {
    if seeds::play(whole.clone()).violations.is_empty() {
        print_line!("seed {} breaks no rule", whole.seed);
        return ExitCode::SUCCESS;
    }
    let (small, played) = seeds::shrink(whole.clone(), most);
    print_line!(
        "{played} plans played; {} faults of {} are left:",
        small.faults.len(),
        whole.faults.len()
    );
    describe(&small);
    let (outcome, trace) = seeds::replay(small);
    trace[trace.len().saturating_sub(40)..]
        .iter()
        .for_each(|line| print_line!("{line}"));
    outcome
        .violations
        .iter()
        .for_each(|what| print_line!("broken: {what}"));
    ExitCode::FAILURE
}
