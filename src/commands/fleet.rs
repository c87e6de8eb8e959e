//! `cleatpulley fleet`: runs the daemon of many instances on one host, sends commands to it, and plans replacements.

use clap::{Args, Subcommand};
use cleatpulley::operator::fleet::FleetConfig;
use cleatpulley_fleet::control_protocol::{ControlCommand, ControlResponse, FleetView};
use cleatpulley_fleet::daemon::{self, Daemon, FleetSpec};
use cleatpulley_fleet::planner::{self, PlannerInput, PlannerOutput, Schedule, StepKind};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Maximum number of lines of the chart.
const CHART_LINES: usize = 24;
/// Width of the chart's bars, in characters.
const CHART_WIDTH: usize = 60;

/// Maximum number of retries, five per second, while the daemon does not respond.
const MAX_STATUS_RETRIES: u32 = 50;

/// Subcommands for many instances on one host.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Run the daemon: adopt running instances and start missing ones, until `fleet down`; instances outlive the daemon
    Up {
        /// The operator file with the fleet's section
        file: PathBuf,
        /// The generation to start if no instances run yet; the newest release in the file by default
        #[arg(long)]
        generation: Option<u32>,
    },
    /// Show the fleet
    Status(FleetArgs),
    /// Replace all instances by another generation
    Replace {
        /// The generation, one of the file's releases
        generation: u32,
        #[command(flatten)]
        args: FleetArgs,
        /// Wait for the end and show progress; exits with 1 if the replacement is rolled back
        #[arg(long)]
        wait: bool,
    },
    /// Pause the replacement
    Pause(FleetArgs),
    /// Resume a paused replacement
    Resume(FleetArgs),
    /// Roll the current replacement back to the previous generation
    Rollback(FleetArgs),
    /// Drain all instances, and stop the daemon once they have ended
    #[command(name = "down")]
    Shutdown(FleetArgs),
    /// Watch the fleet in the terminal; q quits
    Top(FleetArgs),
    /// Compute the order and pace of a replacement that keeps capacity above demand, or name the limit that prevents it;
    /// exits with 1 if no replacement is possible. Changes nothing
    Plan(FleetArgs),
}

/// Arguments that select a fleet and the output format.
#[derive(Args)]
pub struct FleetArgs {
    /// The operator file with the fleet's section
    #[arg(long, value_name = "FILE")]
    file: PathBuf,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Runs a subcommand.
///
/// # Errors
/// The operator file is invalid, or the daemon failed or rejected the command.
pub fn run(command: &FleetCommand) -> Result<ExitCode, String> {
    match command {
        FleetCommand::Up { file, generation } => run_daemon(file, *generation),
        FleetCommand::Status(args) => execute(args, &ControlCommand::Status),
        FleetCommand::Replace {
            generation,
            args,
            wait,
        } => {
            let config = load_config(&args.file)?;
            let releases = config.releases.into_iter().collect();
            let command = ControlCommand::Replace {
                generation: *generation,
                releases,
            };
            if *wait {
                return replace_and_wait(&config.folder, &command, *generation);
            }
            execute(args, &command)
        }
        FleetCommand::Pause(args) => execute(args, &ControlCommand::Pause),
        FleetCommand::Resume(args) => execute(args, &ControlCommand::Resume),
        FleetCommand::Rollback(args) => execute(args, &ControlCommand::Rollback),
        FleetCommand::Shutdown(args) => execute(args, &ControlCommand::Shutdown),
        FleetCommand::Top(args) => super::fleet_top::run(&load_config(&args.file)?.folder),
        FleetCommand::Plan(args) => plan(&args.file, args.json),
    }
}

fn load_config(file: &Path) -> Result<FleetConfig, String> {
    FleetConfig::load(file).map_err(|e| e.to_string())
}

fn run_daemon(file: &Path, generation: Option<u32>) -> Result<ExitCode, String> {
    let config = load_config(file)?;
    let newest = config
        .releases
        .keys()
        .next_back()
        .copied()
        .unwrap_or_default();
    let generation = generation.unwrap_or(newest);
    if !config.releases.contains_key(&generation) {
        return Err(format!(
            "{}: fleet.releases: there is no release {generation}",
            file.display()
        ));
    }
    let spec = FleetSpec {
        folder: config.folder,
        slots: config.slots,
        releases: config.releases,
        shared_address: config.shared_address,
        settings: config.settings,
        generation,
    };
    let mut daemon = Daemon::open(spec).map_err(|e| e.to_string())?;
    if daemon.adopted > 0 {
        tracing::info!(
            "{} instances of a previous daemon were adopted",
            daemon.adopted
        );
    }
    daemon.run().map_err(|e| e.to_string())?;
    Ok(ExitCode::SUCCESS)
}

/// Sends a command to the daemon of `folder`, and returns the state of the fleet after it.
///
/// # Errors
/// The daemon does not respond or rejected the command.
pub fn send_command(folder: &Path, command: &ControlCommand) -> Result<FleetView, String> {
    match daemon::send_command(folder, command).map_err(|e| e.to_string())? {
        ControlResponse::Fleet(view) => Ok(*view),
        ControlResponse::Rejected(reason) => Err(reason),
    }
}

fn execute(args: &FleetArgs, command: &ControlCommand) -> Result<ExitCode, String> {
    let view = send_command(&load_config(&args.file)?.folder, command)?;
    if args.json {
        print_line!(
            "{}",
            serde_json::to_string_pretty(&view).map_err(|e| e.to_string())?
        );
    } else {
        print_fleet(&view);
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the state of the fleet in one line.
#[must_use]
pub fn summary(view: &FleetView) -> String {
    let state = match &view.replacement {
        _ if view.shutting_down => "going down".to_owned(),
        None => {
            let converged = if view.converged { ", at rest" } else { "" };
            let rollback = view
                .rollback_reason
                .as_ref()
                .map_or(String::new(), |reason| {
                    format!("; the last replacement was rolled back: {reason}")
                });
            format!("generation {}{converged}{rollback}", view.stable_generation)
        }
        Some(replacement) => {
            let reason = replacement
                .rollback_reason
                .as_ref()
                .map_or(String::new(), |reason| format!(": {reason}"));
            let mode = format!("{:?}", replacement.mode).to_lowercase();
            let warm = view
                .instances
                .iter()
                .filter(|instance| {
                    instance.generation == replacement.generation
                        && instance.phase == cleatpulley_fleet::plan::Phase::Warm
                })
                .count();
            format!(
                "generation {} to {}, {mode}{reason}; {warm} warm",
                view.stable_generation, replacement.generation
            )
        }
    };
    format!(
        "{state}; capacity {:.1}, floor {:.1}; table {}",
        view.capacity, view.floor, view.version
    )
}

fn print_fleet(view: &FleetView) {
    print_line!("{}", summary(view));
    print_line!(
        "{:<12} {:<21} {:>6} {:>4} {:<9} {:>7} {:>6} {:>8} {:>8} {:>5}",
        "name",
        "address",
        "number",
        "gen",
        "phase",
        "pid",
        "warmth",
        "rate",
        "refused",
        "held"
    );
    for instance in &view.instances {
        print_line!(
            "{:<12} {:<21} {:>6} {:>4} {:<9} {:>7} {:>5.0}% {:>6.1}/s {:>7.1}% {:>5}",
            instance.slot.name,
            instance.slot.listen,
            instance.incarnation,
            instance.generation,
            format!("{:?}", instance.phase).to_lowercase(),
            instance.pid.map_or(String::new(), |pid| pid.to_string()),
            100.0 * instance.warmth,
            instance.rate,
            100.0 * instance.rejected_share,
            instance.open_requests
        );
    }
    for instance in view
        .terminated
        .iter()
        .filter(|instance| instance.failure_reason.is_some())
    {
        let reason = instance.failure_reason.as_deref().unwrap_or_default();
        let log_path = instance.log_path.display();
        print_line!(
            "failed: instance {}, generation {}: {reason}; log {log_path}",
            instance.incarnation,
            instance.generation
        );
    }
}

/// Sends a replace command and waits until the replacement ends; prints a line for each change.
fn replace_and_wait(
    folder: &Path,
    command: &ControlCommand,
    generation: u32,
) -> Result<ExitCode, String> {
    let mut view = send_command(folder, command)?;
    let mut last_line = String::new();
    while view.replacement.is_some() {
        let line = summary(&view);
        if line != last_line {
            print_line!("{line}");
            last_line = line;
        }
        std::thread::sleep(Duration::from_millis(200));
        // A daemon that crashed may be restarted soon: it then resumes the replacement.
        let mut retries = 0;
        view = loop {
            match send_command(folder, &ControlCommand::Status) {
                Ok(view) => break view,
                Err(error) if retries >= MAX_STATUS_RETRIES => return Err(error),
                Err(error) => {
                    if retries == 0 {
                        print_line!("{error}; waiting for it");
                    }
                    retries += 1;
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        };
    }
    print_line!("{}", summary(&view));
    Ok(if view.stable_generation == generation {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn plan(file: &Path, as_json: bool) -> Result<ExitCode, String> {
    let config = FleetConfig::load(file).map_err(|e| e.to_string())?;
    let input = config.planner_input.as_ref().ok_or_else(|| {
        format!(
            "{}: fleet.host: missing: planning needs the properties of the host and its instances",
            file.display()
        )
    })?;
    let output =
        planner::plan_replacement(input).map_err(|e| format!("{}: fleet: {e}", file.display()))?;
    let possible = matches!(output, PlannerOutput::Possible(_));
    if as_json {
        let value = match &output {
            PlannerOutput::Possible(schedule) => json!({ "possible": true, "course": schedule }),
            PlannerOutput::Impossible(schedule, limit) => json!({
                "possible": false, "limit": limit, "what": limit.to_string(), "nearest": schedule
            }),
        };
        print_line!("{value:#}");
    } else {
        print_plan(&config, input, &output);
    }
    Ok(if possible {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}

fn print_plan(config: &FleetConfig, input: &PlannerInput, output: &PlannerOutput) {
    let schedule = match output {
        PlannerOutput::Possible(schedule) => schedule,
        PlannerOutput::Impossible(schedule, limit) => {
            print_line!("not possible: {limit}");
            print_line!("the schedule with the largest margin:");
            schedule
        }
    };
    let duration = schedule
        .duration
        .map_or("it does not end".to_owned(), |duration| {
            format!("{:.1} s", seconds(duration))
        });
    print_line!(
        "{} instances, batch {}, surge {}: {duration}; least margin {:.1} requests a second at {:.1} s; {:.1} of {:.1} cores \
         at most",
        input.settings.instances,
        schedule.batch,
        schedule.surge,
        schedule.min_margin.0,
        seconds(schedule.min_margin.1),
        schedule.peak_cores,
        input.host.cores
    );
    print_line!("\n{:>9}  {:<5}  {:>8}  place", "s", "step", "instance");
    for step in &schedule.steps {
        let kind = match step.kind {
            StepKind::Start => "start",
            StepKind::Warm => "warm",
            StepKind::Drain => "leave",
            StepKind::Exit => "gone",
        };
        let slot = config
            .slots
            .get(step.slot)
            .map_or("", |slot| slot.name.as_str());
        print_line!(
            "{:>9.2}  {kind:<5}  {:>8}  {slot}",
            seconds(step.at),
            step.incarnation
        );
    }
    print_chart(schedule);
}

/// Prints a chart over time: a bar for the capacity, with a mark at the required rate.
fn print_chart(schedule: &Schedule) {
    let Some(last) = schedule.samples.last() else {
        return;
    };
    let max_rate = schedule
        .samples
        .iter()
        .map(|sample| sample.1.max(sample.2))
        .fold(1.0, f64::max);
    print_line!(
        "\n{:>9}  {:>9}  {:>9}  # capacity, | needed",
        "s",
        "capacity",
        "needed"
    );
    let column = |rate: f64| (rate / max_rate * CHART_WIDTH as f64).round() as usize;
    let lines = CHART_LINES.min(schedule.samples.len());
    for line in 0..lines {
        let from = last.0 * line as u64 / lines as u64;
        let to = last.0 * (line as u64 + 1) / lines as u64;
        let samples = schedule.samples.iter().filter(|sample| {
            sample.0 >= from && (sample.0 < to || line + 1 == lines && sample.0 == to)
        });
        // Each line shows the sample with the smallest margin in its interval.
        let worst = samples.min_by(|a, b| (a.1 - a.2).total_cmp(&(b.1 - b.2)));
        let Some(&(at, available, needed)) = worst else {
            continue;
        };
        let mut bar = vec![b' '; CHART_WIDTH + 1];
        bar[..column(available)].fill(b'#');
        bar[column(needed)] = b'|';
        let bar = String::from_utf8(bar).unwrap_or_default();
        print_line!(
            "{:>9.2}  {available:>9.1}  {needed:>9.1}  {}",
            seconds(at),
            bar.trim_end()
        );
    }
}
