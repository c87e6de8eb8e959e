//! Plans a replacement before anything is changed: the plan is simulated with instances that start, warm up and drain as
//! described, for every combination of batch and surge, and the quickest schedule is chosen whose capacity stays above
//! demand. If there is none, the limit that prevents it is named, together with the value that would suffice.

use crate::plan::{
    Effect, Event, FleetSettings, Phase, Plan, PlanError, ProcessExit, ProcessIdentity,
    StatusReport,
};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Interval at which capacity is sampled, in addition to each event.
const SAMPLE_INTERVAL: Micros = 250_000;
/// Interval at which a simulated instance reports its warmth.
const REPORT_INTERVAL: Micros = 100_000;
/// Maximum simulated time of a replacement.
const MAX_SIMULATED_TIME: Micros = 6 * 3_600_000_000;
/// Timeout of the plan that never expires within a simulation.
const NO_TIMEOUT: Micros = Micros::MAX / 8;

/// Properties of the host and of one instance on it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct HostProfile {
    /// Number of cores of the host.
    pub cores: f64,
    /// Cores that one instance uses at its full rate.
    #[serde(rename = "cores_each")]
    pub cores_per_instance: f64,
    /// Requests per second that a warm instance can serve.
    #[serde(rename = "rate_each")]
    pub rate_per_instance: f64,
    /// Time from the start of a process to its first status report.
    #[serde(rename = "start")]
    pub start_duration: Micros,
    /// Warmth at the first status report, relative to a warm instance.
    #[serde(rename = "cold_from")]
    pub initial_warmth: f64,
    /// Time from the first status report until the instance is warm; the warmth grows linearly.
    #[serde(rename = "warm_after")]
    pub warm_up_duration: Micros,
    /// Time from the drain signal to the end of the process.
    #[serde(rename = "drain")]
    pub drain_duration: Micros,
}

/// Expected requests per second, as points of time since the start and rate; linear between two points.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forecast(pub Vec<(Micros, f64)>);

impl Forecast {
    /// Returns the expected rate at `time`: before the first point that of the first, after the last that of the last.
    #[must_use]
    pub fn at(&self, time: Micros) -> f64 {
        let next = self
            .0
            .iter()
            .position(|point| point.0 > time)
            .unwrap_or(self.0.len());
        match (next.checked_sub(1).map(|i| self.0[i]), self.0.get(next)) {
            (Some((from, low)), Some(&(to, high))) => {
                low + (high - low) * (time - from) as f64 / (to - from).max(1) as f64
            }
            (Some((_, last)), None) => last,
            (None, Some(&(_, first))) => first,
            (None, None) => 0.0,
        }
    }

    /// Returns the highest expected rate.
    #[must_use]
    pub fn peak(&self) -> f64 {
        self.0.iter().map(|point| point.1).fold(0.0, f64::max)
    }
}

/// Input of the planner.
#[derive(Debug, Clone)]
pub struct PlannerInput {
    /// Settings of the fleet; its batch and its surge are the maxima that a schedule may use.
    pub settings: FleetSettings,
    /// Properties of the host and its instances.
    pub host: HostProfile,
    /// Expected load.
    pub demand: Forecast,
    /// Share by which capacity has to exceed demand.
    pub headroom: f64,
}

/// Kind of a step of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// A new instance is started.
    Start,
    /// A new instance is warm.
    Warm,
    /// An old instance is told to drain.
    #[serde(rename = "leave")]
    Drain,
    /// An instance has ended.
    #[serde(rename = "gone")]
    Exit,
}

/// A step of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Step {
    /// Time since the start of the replacement.
    pub at: Micros,
    /// What happens.
    #[serde(rename = "what")]
    pub kind: StepKind,
    /// The number of the instance.
    pub incarnation: u64,
    /// Index of the instance's slot.
    #[serde(rename = "address")]
    pub slot: usize,
}

/// A simulated replacement of all instances.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Schedule {
    /// Maximum number of instances replaced at the same time.
    pub batch: usize,
    /// Maximum number of additional instances.
    pub surge: usize,
    /// Duration of the replacement, or `None` if it does not end.
    #[serde(rename = "takes")]
    pub duration: Option<Micros>,
    /// Minimum of the capacity less the required rate, in requests per second, and its time.
    #[serde(rename = "margin")]
    pub min_margin: (f64, Micros),
    /// Maximum number of cores used by all processes together.
    #[serde(rename = "cores")]
    pub peak_cores: f64,
    /// All steps, ordered by time.
    pub steps: Vec<Step>,
    /// Samples of time, capacity and required rate.
    pub samples: Vec<(Micros, f64, f64)>,
}

impl Schedule {
    fn is_feasible(&self) -> bool {
        self.duration.is_some() && self.min_margin.0 >= 0.0
    }
}

/// The limit that prevents a replacement.
#[derive(Debug, Clone, PartialEq, Serialize, thiserror::Error)]
pub enum Limit {
    /// The fleet has too little capacity even without a replacement.
    #[error("load: without any replacement {needed:.1} requests a second are needed and {available:.1} are there, {:.1} short", needed - available)]
    Load {
        /// Required requests per second.
        needed: f64,
        /// Available requests per second.
        #[serde(rename = "there")]
        available: f64,
    },
    /// More additional instances are needed.
    #[error("surge: {allowed} allowed, {needed} needed")]
    Surge {
        /// Allowed surge.
        allowed: usize,
        /// Smallest sufficient surge.
        needed: usize,
    },
    /// More cores are needed.
    #[error("cores: {available:.1} available, {needed:.1} needed")]
    Cores {
        /// Available cores.
        #[serde(rename = "there")]
        available: f64,
        /// Sufficient number of cores.
        needed: f64,
    },
    /// The load during the replacement is too high, whatever the surge.
    #[error("load during the replacement: {shortfall:.1} requests a second too much at {:.1} s, whatever the surge", *at as f64 / 1e6)]
    #[serde(rename = "Meanwhile")]
    LoadDuringReplacement {
        /// Requests per second that exceed the capacity.
        #[serde(rename = "short")]
        shortfall: f64,
        /// Time since the start of the replacement.
        at: Micros,
    },
}

/// Result of the planner.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum PlannerOutput {
    /// The quickest feasible schedule.
    Possible(Schedule),
    /// No schedule is feasible: the one with the largest margin, and the limit that prevents a replacement.
    Impossible(Box<Schedule>, Limit),
}

/// Searches the quickest feasible schedule.
///
/// # Errors
/// Invalid settings.
pub fn plan_replacement(input: &PlannerInput) -> Result<PlannerOutput, PlanError> {
    FleetSettings {
        surge: input.settings.surge.max(1),
        ..input.settings
    }
    .check()?;
    let best = search(input, input.settings.surge);
    if let Some(schedule) = best.as_ref().filter(|schedule| schedule.is_feasible()) {
        return Ok(PlannerOutput::Possible(schedule.clone()));
    }
    let limit = find_limit(input);
    let nearest = best.or_else(|| search(input, input.settings.surge.max(1)));
    let nearest = nearest.ok_or(PlanError::InvalidSetting("batch: no replacement can begin"))?;
    Ok(PlannerOutput::Impossible(Box::new(nearest), limit))
}

fn find_limit(input: &PlannerInput) -> Limit {
    let (host, settings) = (&input.host, &input.settings);
    let needed = input.demand.peak() * (1.0 + input.headroom);
    let available = capacity(host, settings.instances as f64);
    if needed > available {
        return Limit::Load { needed, available };
    }
    let max_surge = settings.instances;
    let feasible = |input: &PlannerInput, surge| search(input, surge).filter(Schedule::is_feasible);
    if feasible(input, max_surge).is_some() {
        // The smallest sufficient surge; a larger one is never worse.
        let needed =
            (settings.surge + 1..=max_surge).find(|surge| feasible(input, *surge).is_some());
        return Limit::Surge {
            allowed: settings.surge,
            needed: needed.unwrap_or(max_surge),
        };
    }
    let unlimited_cores = PlannerInput {
        host: HostProfile {
            cores: f64::MAX,
            ..*host
        },
        ..input.clone()
    };
    if let Some(schedule) = feasible(&unlimited_cores, max_surge) {
        return Limit::Cores {
            available: host.cores,
            needed: schedule.peak_cores,
        };
    }
    let best = search(&unlimited_cores, max_surge).map_or((0.0, 0), |schedule| schedule.min_margin);
    Limit::LoadDuringReplacement {
        shortfall: -best.0,
        at: best.1,
    }
}

/// Returns the requests per second that `warm` warm instances can serve on the host's cores.
fn capacity(host: &HostProfile, warm: f64) -> f64 {
    (warm * host.rate_per_instance)
        .min(host.cores / host.cores_per_instance.max(1e-9) * host.rate_per_instance)
}

/// Returns the best schedule with a surge up to `max_surge`: the quickest feasible one, or else the one with the largest
/// margin.
fn search(input: &PlannerInput, max_surge: usize) -> Option<Schedule> {
    let mut best: Option<Schedule> = None;
    for surge in candidates_up_to(max_surge, true) {
        for batch in candidates_up_to(input.settings.batch.min(input.settings.instances), false) {
            let Some(schedule) = simulate(input, batch, surge) else {
                continue;
            };
            let is_better = best.as_ref().is_none_or(|best| {
                match (schedule.is_feasible(), best.is_feasible()) {
                    (true, true) => schedule.duration < best.duration,
                    (false, false) => schedule.min_margin.0 > best.min_margin.0,
                    (is_feasible, _) => is_feasible,
                }
            });
            if is_better {
                best = Some(schedule);
            }
        }
    }
    best
}

/// Returns candidate values up to `max`: all small values, and fewer of the large ones.
fn candidates_up_to(max: usize, include_zero: bool) -> Vec<usize> {
    let mut candidates: Vec<usize> = if include_zero { vec![0] } else { Vec::new() };
    let mut next = 1;
    while next < max {
        candidates.push(next);
        next += (next / 4).max(1);
    }
    if max > 0 {
        candidates.push(max);
    }
    candidates
}

/// Simulates a replacement; returns `None` if it can't begin.
#[must_use]
pub fn simulate(input: &PlannerInput, batch: usize, surge: usize) -> Option<Schedule> {
    let host = input.host;
    let settings = FleetSettings {
        batch,
        surge,
        start_timeout: NO_TIMEOUT,
        warm_up_timeout: NO_TIMEOUT,
        drain_timeout: NO_TIMEOUT,
        report_timeout: NO_TIMEOUT,
        ..input.settings
    };
    let mut simulation = Simulation {
        plan: Plan::new(settings, 1, 0).ok()?,
        host,
        pending_events: BTreeMap::new(),
        sequence: 0,
        fleet_is_up: false,
        steps: Vec::new(),
    };
    let mut effects = Vec::new();
    simulation.plan.recover(0, Vec::new(), &mut effects);
    simulation.execute_effects(0, effects);
    simulation.run_due_events(0);
    simulation.fleet_is_up = true;
    let mut effects = Vec::new();
    simulation.plan.begin_replacement(0, 2, &mut effects).ok()?;
    simulation.execute_effects(0, effects);
    let mut schedule = Schedule {
        batch,
        surge,
        duration: None,
        min_margin: (f64::INFINITY, 0),
        peak_cores: 0.0,
        steps: Vec::new(),
        samples: Vec::new(),
    };
    let (mut now, mut next_sample) = (0, 0);
    loop {
        simulation.run_due_events(now);
        schedule.record_sample(input, &simulation.plan, now);
        if simulation.plan.is_converged() && simulation.pending_events.is_empty() {
            schedule.duration = Some(now);
            break;
        }
        let Some(next_event) = simulation.pending_events.keys().next().map(|key| key.0) else {
            break;
        };
        next_sample = next_sample.max(now) + SAMPLE_INTERVAL;
        now = next_event.min(next_sample).max(now);
        if now > MAX_SIMULATED_TIME {
            break;
        }
    }
    schedule.steps = simulation.steps;
    Some(schedule)
}

impl Schedule {
    fn record_sample(&mut self, input: &PlannerInput, plan: &Plan, now: Micros) {
        let host = &input.host;
        let available = capacity(host, plan.capacity());
        let needed = input.demand.at(now) * (1.0 + input.headroom);
        if available - needed < self.min_margin.0 {
            self.min_margin = (available - needed, now);
        }
        let processes = plan
            .instances()
            .iter()
            .filter(|instance| instance.phase != Phase::Planned)
            .count();
        self.peak_cores = self
            .peak_cores
            .max(processes as f64 * host.cores_per_instance);
        if self
            .samples
            .last()
            .is_none_or(|last| now >= last.0 + SAMPLE_INTERVAL || last.1 != available)
        {
            self.samples.push((now, available, needed));
        }
    }
}

/// A plan with simulated instances that obey every signal.
struct Simulation {
    plan: Plan,
    host: HostProfile,
    /// Future events by time and sequence number.
    pending_events: BTreeMap<(Micros, u64), Event>,
    sequence: u64,
    /// Whether the first generation is up; before that, instances start at once and no steps are recorded.
    fleet_is_up: bool,
    steps: Vec<Step>,
}

impl Simulation {
    fn schedule_event(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.pending_events.insert((at, self.sequence), event);
    }

    fn record_step(&mut self, at: Micros, kind: StepKind, incarnation: u64) {
        let instance = self
            .plan
            .instances()
            .iter()
            .find(|instance| instance.incarnation == incarnation);
        if let (Some(instance), true) = (instance, self.fleet_is_up) {
            self.steps.push(Step {
                at,
                kind,
                incarnation,
                slot: instance.slot,
            });
        }
    }

    fn execute_effects(&mut self, now: Micros, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Spawn { incarnation, .. } => {
                    self.record_step(now, StepKind::Start, incarnation);
                    self.schedule_event(
                        now,
                        Event::Spawned(
                            incarnation,
                            ProcessIdentity {
                                pid: 1,
                                start_ticks: incarnation,
                            },
                        ),
                    );
                    let status_report = |warmth| {
                        Event::StatusReported(
                            incarnation,
                            StatusReport {
                                warmth,
                                ..StatusReport::default()
                            },
                        )
                    };
                    if !self.fleet_is_up {
                        self.schedule_event(now, status_report(1.0));
                        continue;
                    }
                    let (host, started_at) = (self.host, now + self.host.start_duration);
                    let mut elapsed = 0;
                    while elapsed < host.warm_up_duration {
                        let share = elapsed as f64 / host.warm_up_duration as f64;
                        self.schedule_event(
                            started_at + elapsed,
                            status_report(
                                host.initial_warmth + (1.0 - host.initial_warmth) * share,
                            ),
                        );
                        elapsed += REPORT_INTERVAL;
                    }
                    self.schedule_event(started_at + host.warm_up_duration, status_report(1.0));
                }
                Effect::Drain(incarnation) => {
                    self.record_step(now, StepKind::Drain, incarnation);
                    self.schedule_event(
                        now + self.host.drain_duration,
                        Event::Exited(incarnation, ProcessExit::Clean),
                    );
                }
                Effect::Kill(incarnation) => {
                    self.schedule_event(now, Event::Exited(incarnation, ProcessExit::Signal(9)));
                }
                Effect::Save | Effect::Notify(_) => {}
            }
        }
    }

    /// Delivers all events that are due at `now`.
    fn run_due_events(&mut self, now: Micros) {
        while let Some(entry) = self
            .pending_events
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let event = entry.remove();
            let (Event::Spawned(incarnation, _)
            | Event::SpawnFailed(incarnation, _)
            | Event::StatusReported(incarnation, _)
            | Event::Disconnected(incarnation)
            | Event::Exited(incarnation, _)) = event;
            let phase_of = |plan: &Plan| {
                plan.instances()
                    .iter()
                    .find(|instance| instance.incarnation == incarnation)
                    .map(|instance| instance.phase)
            };
            let old_phase = phase_of(&self.plan);
            if matches!(event, Event::Exited(..)) {
                self.record_step(now, StepKind::Exit, incarnation);
            }
            let mut effects = Vec::new();
            self.plan.handle_event(now, event, &mut effects);
            if old_phase != Some(Phase::Warm) && phase_of(&self.plan) == Some(Phase::Warm) {
                self.record_step(now, StepKind::Warm, incarnation);
            }
            self.execute_effects(now, effects);
        }
    }
}
