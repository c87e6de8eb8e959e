//! `cleatpulley fleet`: the daemon of many instances on one host, what operators ask of it, and what a replacement would
//! come to.

use clap::{Args, Subcommand};
use cleatpulley::operator::fleet::FleetConfig as FleetFile;
use cleatpulley_fleet::control_protocol::{ControlCommand, ControlResponse, FleetView};
use cleatpulley_fleet::daemon::{self, Daemon, FleetSpec};
use cleatpulley_fleet::planner::{self, PlannerInput, PlannerOutput, Schedule, StepKind};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Lines of the chart, and their width.
const LINES: usize = 24;
const WIDTH: usize = 60;

/// A daemon that is away is asked again so often, five times a second.
const AWAY: u32 = 50;

/// Many instances on one host.
#[derive(Subcommand)]
pub enum Fleet {
    /// Run the daemon: start what is missing, take up what runs, until `fleet down`; instances outlive it
    Up {
        /// The operator file with the fleet's section
        file: PathBuf,
        /// What is run where nothing runs yet; the newest release of the file without it
        #[arg(long)]
        generation: Option<u32>,
    },
    /// Show the fleet
    Status(Asked),
    /// Replace all instances by another generation
    Replace {
        /// The generation, one of the file's releases
        generation: u32,
        #[command(flatten)]
        asked: Asked,
        /// Wait for the end, with progress; ends with 1 where it went back
        #[arg(long)]
        wait: bool,
    },
    /// Stop a replacement where it stands
    Pause(Asked),
    /// Let a paused replacement go on
    Resume(Asked),
    /// Go back to the generation before the replacement that is on
    Rollback(Asked),
    /// Tell all instances to leave, and end the daemon once they have
    Down(Asked),
    /// Watch the fleet in the terminal; q ends it
    Top(Asked),
    /// Compute the order and pace of a replacement that keeps capacity above demand, or say which limit forbids it;
    /// ends with 1 where none is possible. Nothing is touched
    Plan(Asked),
}

/// Which fleet, and how it is shown.
#[derive(Args)]
pub struct Asked {
    /// The operator file with the fleet's section
    #[arg(long, value_name = "FILE")]
    file: PathBuf,
    /// As JSON
    #[arg(long)]
    json: bool,
}

/// Runs it.
///
/// # Errors
/// What is wrong with the file, or why the daemon does not do it.
pub fn run(fleet: &Fleet) -> Result<ExitCode, String> {
    match fleet {
        Fleet::Up { file, generation } => up(file, *generation),
        Fleet::Status(asked) => tell(asked, &ControlCommand::Status),
        Fleet::Replace {
            generation,
            asked,
            wait,
        } => {
            let file = load(&asked.file)?;
            let releases = file.releases.into_iter().collect();
            let ask = ControlCommand::Replace {
                generation: *generation,
                releases,
            };
            if *wait {
                return replace(&file.folder, &ask, *generation);
            }
            tell(asked, &ask)
        }
        Fleet::Pause(asked) => tell(asked, &ControlCommand::Pause),
        Fleet::Resume(asked) => tell(asked, &ControlCommand::Resume),
        Fleet::Rollback(asked) => tell(asked, &ControlCommand::Rollback),
        Fleet::Down(asked) => tell(asked, &ControlCommand::Shutdown),
        Fleet::Top(asked) => super::fleet_top::run(&load(&asked.file)?.folder),
        Fleet::Plan(asked) => plan(&asked.file, asked.json),
    }
}

fn load(file: &Path) -> Result<FleetFile, String> {
    FleetFile::load(file).map_err(|e| e.to_string())
}

fn up(file: &Path, generation: Option<u32>) -> Result<ExitCode, String> {
    let fleet = load(file)?;
    let newest = fleet
        .releases
        .keys()
        .next_back()
        .copied()
        .unwrap_or_default();
    let generation = generation.unwrap_or(newest);
    if !fleet.releases.contains_key(&generation) {
        return Err(format!(
            "{}: fleet.releases: there is no release {generation}",
            file.display()
        ));
    }
    let wanted = FleetSpec {
        folder: fleet.folder,
        slots: fleet.slots,
        releases: fleet.releases,
        shared_address: fleet.shared_address,
        settings: fleet.settings,
        generation,
    };
    let mut daemon = Daemon::open(wanted).map_err(|e| e.to_string())?;
    if daemon.adopted > 0 {
        tracing::info!(
            "{} instances of a daemon before this one were taken up",
            daemon.adopted
        );
    }
    daemon.run().map_err(|e| e.to_string())?;
    Ok(ExitCode::SUCCESS)
}

/// Asks, and returns the fleet as it is then.
///
/// # Errors
/// Why it is not done.
pub fn ask(folder: &Path, ask: &ControlCommand) -> Result<FleetView, String> {
    match daemon::send_command(folder, ask).map_err(|e| e.to_string())? {
        ControlResponse::Fleet(view) => Ok(*view),
        ControlResponse::Rejected(why) => Err(why),
    }
}

fn tell(asked: &Asked, what: &ControlCommand) -> Result<ExitCode, String> {
    let view = ask(&load(&asked.file)?.folder, what)?;
    if asked.json {
        say!(
            "{}",
            serde_json::to_string_pretty(&view).map_err(|e| e.to_string())?
        );
    } else {
        show_fleet(&view);
    }
    Ok(ExitCode::SUCCESS)
}

/// What is on, in a line.
#[must_use]
pub fn summary(view: &FleetView) -> String {
    let state = match &view.replacement {
        _ if view.shutting_down => "going down".to_owned(),
        None => {
            let rest = if view.converged { ", at rest" } else { "" };
            let back = view.rollback_reason.as_ref().map_or(String::new(), |why| {
                format!("; the last replacement went back: {why}")
            });
            format!("generation {}{rest}{back}", view.stable_generation)
        }
        Some(one) => {
            let why = one
                .rollback_reason
                .as_ref()
                .map_or(String::new(), |why| format!(": {why}"));
            let mode = format!("{:?}", one.mode).to_lowercase();
            let done = view
                .instances
                .iter()
                .filter(|of| {
                    of.generation == one.generation
                        && of.phase == cleatpulley_fleet::plan::Phase::Warm
                })
                .count();
            format!(
                "generation {} to {}, {mode}{why}; {done} warm",
                view.stable_generation, one.generation
            )
        }
    };
    format!(
        "{state}; capacity {:.1}, floor {:.1}; table {}",
        view.capacity, view.floor, view.version
    )
}

fn show_fleet(view: &FleetView) {
    say!("{}", summary(view));
    say!(
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
    for one in &view.instances {
        say!(
            "{:<12} {:<21} {:>6} {:>4} {:<9} {:>7} {:>5.0}% {:>6.1}/s {:>7.1}% {:>5}",
            one.slot.name,
            one.slot.listen,
            one.incarnation,
            one.generation,
            format!("{:?}", one.phase).to_lowercase(),
            one.pid.map_or(String::new(), |pid| pid.to_string()),
            100.0 * one.warmth,
            one.rate,
            100.0 * one.rejected_share,
            one.open_requests
        );
    }
    for one in view
        .terminated
        .iter()
        .filter(|one| one.failure_reason.is_some())
    {
        let why = one.failure_reason.as_deref().unwrap_or_default();
        let log = one.log_path.display();
        say!(
            "failed: instance {}, generation {}: {why}; log {log}",
            one.incarnation,
            one.generation
        );
    }
}

/// Replaces and waits, with a line for each change.
fn replace(folder: &Path, what: &ControlCommand, generation: u32) -> Result<ExitCode, String> {
    let mut view = ask(folder, what)?;
    let mut said = String::new();
    while view.replacement.is_some() {
        let line = summary(&view);
        if line != said {
            say!("{line}");
            said = line;
        }
        std::thread::sleep(Duration::from_millis(200));
        // A daemon that died may be back soon: the replacement goes on then.
        let mut tries = 0;
        view = loop {
            match ask(folder, &ControlCommand::Status) {
                Ok(view) => break view,
                Err(why) if tries >= AWAY => return Err(why),
                Err(why) => {
                    if tries == 0 {
                        say!("{why}; waiting for it");
                    }
                    tries += 1;
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        };
    }
    say!("{}", summary(&view));
    Ok(if view.stable_generation == generation {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn plan(file: &Path, as_json: bool) -> Result<ExitCode, String> {
    let fleet = FleetFile::load(file).map_err(|e| e.to_string())?;
    let question = fleet.planner_input.as_ref().ok_or_else(|| {
        format!(
            "{}: fleet.host: missing: planning needs to know what instances are like",
            file.display()
        )
    })?;
    let answer = planner::plan_replacement(question)
        .map_err(|e| format!("{}: fleet: {e}", file.display()))?;
    let possible = matches!(answer, PlannerOutput::Possible(_));
    if as_json {
        let value = match &answer {
            PlannerOutput::Possible(course) => json!({ "possible": true, "course": course }),
            PlannerOutput::Impossible(course, limit) => json!({
                "possible": false, "limit": limit, "what": limit.to_string(), "nearest": course
            }),
        };
        say!("{value:#}");
    } else {
        show(&fleet, question, &answer);
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

fn show(fleet: &FleetFile, question: &PlannerInput, answer: &PlannerOutput) {
    let course = match answer {
        PlannerOutput::Possible(course) => course,
        PlannerOutput::Impossible(course, limit) => {
            say!("not possible: {limit}");
            say!("the way that comes nearest:");
            course
        }
    };
    let takes = course.duration.map_or("it does not end".to_owned(), |at| {
        format!("{:.1} s", seconds(at))
    });
    say!(
        "{} instances, batch {}, surge {}: {takes}; least margin {:.1} requests a second at {:.1} s; {:.1} of {:.1} cores \
         at most",
        question.settings.instances,
        course.batch,
        course.surge,
        course.min_margin.0,
        seconds(course.min_margin.1),
        course.peak_cores,
        question.host.cores
    );
    say!("\n{:>9}  {:<5}  {:>8}  place", "s", "step", "instance");
    for step in &course.steps {
        let what = match step.kind {
            StepKind::Start => "start",
            StepKind::Warm => "warm",
            StepKind::Drain => "leave",
            StepKind::Exit => "gone",
        };
        let place = fleet
            .slots
            .get(step.slot)
            .map_or("", |place| place.name.as_str());
        say!(
            "{:>9.2}  {what:<5}  {:>8}  {place}",
            seconds(step.at),
            step.incarnation
        );
    }
    chart(course);
}

/// Capacity as a bar, and what is needed as a mark in it.
fn chart(course: &Schedule) {
    let Some(last) = course.samples.last() else {
        return;
    };
    let most = course
        .samples
        .iter()
        .map(|sample| sample.1.max(sample.2))
        .fold(1.0, f64::max);
    say!(
        "\n{:>9}  {:>9}  {:>9}  # capacity, | needed",
        "s",
        "capacity",
        "needed"
    );
    let place = |value: f64| (value / most * WIDTH as f64).round() as usize;
    let lines = LINES.min(course.samples.len());
    for line in 0..lines {
        let from = last.0 * line as u64 / lines as u64;
        let to = last.0 * (line as u64 + 1) / lines as u64;
        let within = course
            .samples
            .iter()
            .filter(|one| one.0 >= from && (one.0 < to || line + 1 == lines && one.0 == to));
        // Of each stretch its worst moment.
        let worst = within.min_by(|a, b| (a.1 - a.2).total_cmp(&(b.1 - b.2)));
        let Some(&(at, there, needed)) = worst else {
            continue;
        };
        let mut bar = vec![b' '; WIDTH + 1];
        bar[..place(there)].fill(b'#');
        bar[place(needed)] = b'|';
        let bar = String::from_utf8(bar).unwrap_or_default();
        say!(
            "{:>9.2}  {there:>9.1}  {needed:>9.1}  {}",
            seconds(at),
            bar.trim_end()
        );
    }
}
