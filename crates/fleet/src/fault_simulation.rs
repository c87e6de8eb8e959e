//! Randomized simulation of the plan with injected faults: processes fail to start, crash, hang, ignore the drain signal
//! or perform worse, the daemon crashes between any two effects and reads the saved plan back, and operators pause,
//! resume and roll back replacements. Everything is derived from a seed. The plan's invariants are checked against the
//! state of the simulated processes.

use crate::plan::{
    Effect, Event, FleetSettings, Instance, Notice, Phase, Plan, ProcessExit, ProcessIdentity,
    ReplacementMode, StatusReport, WARM_THRESHOLD,
};
use crate::regression::{RegressionThresholds, RequestCounts};
use crate::restart::RestartPolicy;
use crate::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Simulated time between two iterations.
const TICK: Micros = 100_000;
const SECOND: Micros = 1_000_000;
/// End of the period in which random faults are injected.
const FAULTS_END: Micros = 60 * SECOND;
/// Time by which the fleet has to converge.
const CONVERGENCE_DEADLINE: Micros = 400 * SECOND;
/// Tolerance for rounding in sums of capacities.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Behaviour of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    Good,
    /// Each process exits soon after its start.
    Crashes,
    /// Rejects far more requests.
    RejectsMore,
    /// Never becomes warm.
    StaysCold,
}

#[derive(Debug)]
struct SimulatedProcess {
    slot: usize,
    generation: u32,
    identity: ProcessIdentity,
    started_at: Micros,
    /// Time of the first status report.
    reports_from: Micros,
    counts: RequestCounts,
    warmth: f64,
    hung: bool,
    ignores_drain: bool,
    exits_at: Option<Micros>,
    drain_received: bool,
    /// Whether the plan knows that the process received the drain signal.
    drain_known: bool,
    killed: bool,
}

/// Result of a simulation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SimulationResult {
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Number of occurrences of each situation.
    pub situations: BTreeMap<&'static str, u64>,
    /// Simulated time at which the fleet converged, in microseconds.
    pub converged_at: Micros,
}

struct FaultSimulation {
    random: SmallRng,
    settings: FleetSettings,
    now: Micros,
    plan: Plan,
    /// The plan as last saved.
    saved_plan: String,
    processes: BTreeMap<u64, SimulatedProcess>,
    used_incarnations: BTreeSet<u64>,
    pending_events: Vec<Event>,
    behaviours: BTreeMap<u32, Behaviour>,
    last_pid: u32,
    result: SimulationResult,
    shutting_down: bool,
}

fn random_settings(random: &mut SmallRng) -> FleetSettings {
    let instances = random.random_range(1..9);
    let surge = random.random_range(0..4);
    let max_capacity = instances as f64 - if surge == 0 { 1.0 } else { 0.0 };
    FleetSettings {
        instances,
        surge,
        batch: random.random_range(1..5),
        min_capacity: (random.random_range(0.0..=1.0) * max_capacity).floor(),
        start_timeout: 2 * SECOND,
        warm_up_timeout: 20 * SECOND,
        drain_timeout: 4 * SECOND,
        report_timeout: SECOND,
        failure_limit: 3,
        regression: RegressionThresholds {
            min_samples: 200,
            max_rejected_increase: 0.05,
            max_failed_increase: 0.02,
            max_late_increase: 0.05,
            standard_errors: 3.0,
        },
        restart: RestartPolicy {
            initial_delay: SECOND / 2,
            max_delay: 10 * SECOND,
            budget: 12,
            budget_window: 30 * SECOND,
        },
    }
}

/// Runs the simulation of one seed.
#[must_use]
pub fn run(seed: u64) -> SimulationResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let settings = random_settings(&mut random);
    // The random settings are always valid.
    let Ok(plan) = Plan::new(settings, 1, seed) else {
        return SimulationResult {
            violations: vec!["the settings are rejected".to_owned()],
            ..SimulationResult::default()
        };
    };
    let mut simulation = FaultSimulation {
        saved_plan: String::new(),
        random,
        settings,
        now: 0,
        plan,
        processes: BTreeMap::new(),
        used_incarnations: BTreeSet::new(),
        pending_events: Vec::new(),
        behaviours: BTreeMap::from([(1, Behaviour::Good)]),
        last_pid: 100,
        result: SimulationResult::default(),
        shutting_down: false,
    };
    simulation.saved_plan = simulation.encode_plan();
    let mut effects = Vec::new();
    simulation.plan.recover(0, Vec::new(), &mut effects);
    simulation.execute_effects(effects);
    while simulation.now < CONVERGENCE_DEADLINE && simulation.result.violations.is_empty() {
        simulation.now += TICK;
        simulation.tick();
        if simulation.now > FAULTS_END && simulation.plan.is_converged() {
            break;
        }
    }
    simulation.check_final_state();
    simulation.result
}

impl FaultSimulation {
    fn encode_plan(&self) -> String {
        serde_json::to_string(&self.plan).unwrap_or_default()
    }

    fn count(&mut self, situation: &'static str) {
        *self.result.situations.entry(situation).or_default() += 1;
    }

    fn report_violation(&mut self, message: String) {
        self.result
            .violations
            .push(format!("at {:.1} s: {message}", self.now as f64 / 1e6));
    }

    fn random_event_occurs(&mut self, per_mille: u32) -> bool {
        self.now < FAULTS_END && self.random.random_range(0..1_000) < per_mille
    }

    fn tick(&mut self) {
        self.run_operator();
        self.run_processes();
        self.deliver_events();
        let mut effects = Vec::new();
        self.plan.handle_timeouts(self.now, &mut effects);
        self.execute_effects(effects);
        if self.random_event_occurs(3) {
            self.crash_daemon();
        }
    }

    fn deliver_events(&mut self) {
        for event in std::mem::take(&mut self.pending_events) {
            let mut effects = Vec::new();
            self.plan.handle_event(self.now, event, &mut effects);
            self.execute_effects(effects);
        }
    }

    /// Issues random operator commands: a new generation now and then, pause, resume and rollback.
    fn run_operator(&mut self) {
        let mut effects = Vec::new();
        let now = self.now;
        if self.plan.replacement().is_none() && self.random_event_occurs(12) {
            let generation = self.behaviours.len() as u32 + 1;
            let behaviour = match self.random.random_range(0..6) {
                0 => Behaviour::Crashes,
                1 => Behaviour::RejectsMore,
                2 => Behaviour::StaysCold,
                _ => Behaviour::Good,
            };
            self.behaviours.insert(generation, behaviour);
            if self
                .plan
                .begin_replacement(now, generation, &mut effects)
                .is_ok()
            {
                self.count(match behaviour {
                    Behaviour::Good => "replacement by a good generation",
                    Behaviour::Crashes => "replacement by a crashing generation",
                    Behaviour::RejectsMore => "replacement by a generation that rejects more",
                    Behaviour::StaysCold => "replacement by a generation that stays cold",
                });
            }
        }
        if self.random_event_occurs(4) && self.plan.pause(now, &mut effects).is_ok() {
            self.count("paused");
        }
        let paused = self
            .plan
            .replacement()
            .is_some_and(|replacement| replacement.mode == ReplacementMode::Paused);
        if (self.random_event_occurs(30) || paused && self.now >= FAULTS_END)
            && self.plan.resume(now, &mut effects).is_ok()
        {
            self.count("resumed");
        }
        if self.random_event_occurs(2) && self.plan.roll_back(now, &mut effects).is_ok() {
            self.count("rolled back by an operator");
        }
        self.execute_effects(effects);
    }

    /// Runs all processes for one tick.
    fn run_processes(&mut self) {
        let incarnations: Vec<u64> = self.processes.keys().copied().collect();
        for incarnation in incarnations {
            // The events of one process are delivered before the next process runs.
            self.deliver_events();
            let faults = [
                self.random_event_occurs(2),
                self.random_event_occurs(1),
                self.random_event_occurs(1),
            ];
            let (now, served) = (self.now, self.random.random_range(5..30));
            let Some(process) = self.processes.get_mut(&incarnation) else {
                continue;
            };
            let behaviour = self.behaviours[&process.generation];
            let age = now - process.started_at;
            let exit = match () {
                () if process.killed => Some(ProcessExit::Signal(9)),
                () if process.exits_at.is_some_and(|at| now >= at) => Some(ProcessExit::Clean),
                () if behaviour == Behaviour::Crashes && age > SECOND => {
                    Some(ProcessExit::Status(101))
                }
                () if faults[0] => Some(ProcessExit::Signal(11)),
                () => None,
            };
            if let Some(exit) = exit {
                if process.drain_received && !process.killed && exit != ProcessExit::Clean {
                    *self
                        .result
                        .situations
                        .entry("crash while draining")
                        .or_default() += 1;
                } else if now < process.reports_from && exit != ProcessExit::Clean {
                    *self
                        .result
                        .situations
                        .entry("exit before the first status report")
                        .or_default() += 1;
                }
                self.processes.remove(&incarnation);
                self.pending_events.push(Event::Exited(incarnation, exit));
                continue;
            }
            process.hung |= faults[1];
            if faults[2] && !process.drain_received {
                // An operator stops the process directly.
                process.exits_at = Some(now + SECOND);
                process.drain_received = true;
            }
            if process.hung || now < process.reports_from {
                continue;
            }
            let warm_up = (now - process.reports_from) as f64 / (4 * SECOND) as f64;
            process.warmth = if behaviour == Behaviour::StaysCold {
                0.3
            } else {
                (0.25 + 0.75 * warm_up).min(1.0)
            };
            if behaviour == Behaviour::RejectsMore {
                process.counts.rejected += served;
            }
            process.counts.served += served;
            process.drain_known |= process.drain_received;
            let status = StatusReport {
                warmth: process.warmth,
                counts: process.counts,
                draining: process.drain_received,
            };
            self.pending_events
                .push(Event::StatusReported(incarnation, status));
        }
    }

    fn execute_effects(&mut self, effects: Vec<Effect>) {
        // The daemon may crash between any two effects.
        let crash_before = if self.random_event_occurs(6) {
            Some(self.random.random_range(0..=effects.len()))
        } else {
            None
        };
        for (n, effect) in effects.into_iter().enumerate() {
            if crash_before == Some(n) {
                self.crash_daemon();
                return;
            }
            match effect {
                Effect::Save => self.saved_plan = self.encode_plan(),
                Effect::Spawn {
                    incarnation,
                    generation,
                    slot,
                } => {
                    self.spawn(incarnation, generation, slot);
                }
                Effect::Drain(incarnation) => self.drain(incarnation),
                Effect::Kill(incarnation) => {
                    self.count("killed");
                    if let Some(process) = self.processes.get_mut(&incarnation) {
                        process.killed = true;
                    }
                }
                Effect::Notify(Notice::RollbackStarted(_)) => {
                    self.count("rolled back automatically");
                }
                Effect::Notify(Notice::ReplacementCompleted(generation)) => {
                    self.count("replaced");
                    if self.behaviours[&generation] != Behaviour::Good
                        && self.behaviours[&generation] != Behaviour::RejectsMore
                    {
                        self.report_violation(format!(
                            "the bad generation {generation} replaced a good one"
                        ));
                    }
                }
                Effect::Notify(Notice::RollbackCompleted(_)) => self.count("rollback completed"),
                Effect::Notify(Notice::DrainOverdue(_)) => self.count("drain overdue"),
                Effect::Notify(Notice::InstanceFailed(..)) => self.count("failed"),
            }
        }
    }

    fn spawn(&mut self, incarnation: u64, generation: u32, slot: usize) {
        if !self.used_incarnations.insert(incarnation) {
            self.report_violation(format!("incarnation {incarnation} is used twice"));
        }
        if let Some((other, _)) = self
            .processes
            .iter()
            .find(|(_, process)| process.slot == slot)
        {
            let other = *other;
            self.report_violation(format!(
                "slot {slot} has two instances: {other} and {incarnation}"
            ));
        }
        if self.processes.len() >= self.settings.instances + self.settings.surge {
            self.report_violation("more processes than instances plus surge".to_owned());
        }
        if self.random_event_occurs(60) {
            self.count("process could not be started");
            self.pending_events
                .push(Event::SpawnFailed(incarnation, "no descriptors".to_owned()));
            return;
        }
        // Process ids are reused soon.
        self.last_pid = 100 + (self.last_pid + 1) % 12;
        let identity = ProcessIdentity {
            pid: self.last_pid,
            start_ticks: self.now + incarnation,
        };
        let (hung, ignores_drain) = (self.random_event_occurs(20), self.random_event_occurs(50));
        let process = SimulatedProcess {
            slot,
            generation,
            identity,
            started_at: self.now,
            reports_from: self.now + self.random.random_range(1..8) * TICK,
            counts: RequestCounts::default(),
            warmth: 0.0,
            hung,
            ignores_drain,
            exits_at: None,
            drain_received: false,
            drain_known: false,
            killed: false,
        };
        self.processes.insert(incarnation, process);
        self.pending_events
            .push(Event::Spawned(incarnation, identity));
    }

    fn drain(&mut self, incarnation: u64) {
        // Capacity by the last status reports, without processes known to drain and killed ones.
        let capacity = |process: &SimulatedProcess| match (
            process.drain_known || process.killed,
            process.warmth,
        ) {
            (true, _) => 0.0,
            (false, warmth) if warmth >= WARM_THRESHOLD => 1.0,
            (false, warmth) => warmth,
        };
        let total: f64 = self.processes.values().map(capacity).sum();
        let Some(process) = self.processes.get_mut(&incarnation) else {
            return;
        };
        let own = capacity(process);
        let is_hung = process.hung;
        (process.drain_received, process.drain_known) = (true, true);
        let drain_duration = TICK * self.random.random_range(3..20);
        if !process.ignores_drain {
            process.exits_at = Some(self.now + drain_duration);
        }
        if self.shutting_down
            || own == 0.0
            || total - own + ROUNDING_TOLERANCE >= self.settings.min_capacity
        {
            return;
        }
        // A hung process serves nothing. A daemon that was restarted does not know whether the process has a
        // connection for reports, and drains it where it would otherwise kill it.
        if is_hung {
            return self.count("hung instance drained");
        }
        // The exception for instances that serve.
        let rolling_back = self
            .plan
            .replacement()
            .is_some_and(|replacement| replacement.mode == ReplacementMode::Back);
        let full = self.plan.instances().len() == self.settings.instances + self.settings.surge;
        let is_cold = |instance: &Instance| {
            instance.incarnation == incarnation && instance.warmth < WARM_THRESHOLD
        };
        if rolling_back && full && self.plan.instances().iter().any(is_cold) {
            return self.count("cold instance drained to free a slot");
        }
        let min_capacity = self.settings.min_capacity;
        self.report_violation(format!(
            "{incarnation} is drained: capacity {total:.2} less {own:.2} is below {min_capacity}"
        ));
    }

    /// Crashes the daemon and starts it again: it reads the saved plan and learns which processes still run.
    fn crash_daemon(&mut self) {
        self.count("daemon crashed");
        match serde_json::from_str(&self.saved_plan) {
            Ok(plan) => self.plan = plan,
            Err(e) => return self.report_violation(format!("the saved plan can't be read: {e}")),
        }
        self.pending_events.clear();
        let known: Vec<_> = self
            .plan
            .instances()
            .iter()
            .map(|instance| (instance.incarnation, instance.process))
            .collect();
        let mut events = Vec::new();
        for (incarnation, known_identity) in known {
            match self.processes.get(&incarnation) {
                Some(process) if known_identity.is_none_or(|known| known == process.identity) => {
                    events.push(Event::Spawned(incarnation, process.identity));
                }
                _ => events.push(Event::Exited(incarnation, ProcessExit::Unobserved)),
            }
        }
        let known: BTreeSet<u64> = self
            .plan
            .instances()
            .iter()
            .map(|instance| instance.incarnation)
            .collect();
        if let Some(incarnation) = self
            .processes
            .keys()
            .find(|incarnation| !known.contains(incarnation))
            .copied()
        {
            self.report_violation(format!(
                "{incarnation} runs, and the restarted daemon does not know it"
            ));
        }
        let mut effects = Vec::new();
        // Instances that were drained just before the crash may not have received the signal.
        let draining: Vec<u64> = self
            .plan
            .instances()
            .iter()
            .filter(|instance| instance.phase == Phase::Draining)
            .map(|instance| instance.incarnation)
            .collect();
        // The new daemon does not know status reports that the old one received and did not save.
        self.processes
            .iter_mut()
            .for_each(|(incarnation, process)| {
                process.drain_known &= draining.contains(incarnation);
            });
        for incarnation in draining {
            if let Some(process) = self
                .processes
                .get_mut(&incarnation)
                .filter(|process| !process.drain_received)
            {
                (process.drain_received, process.drain_known) = (true, true);
                process.exits_at = (!process.ignores_drain).then_some(self.now + SECOND);
            }
        }
        self.plan.recover(self.now, events, &mut effects);
        self.execute_effects(effects);
    }

    fn check_final_state(&mut self) {
        if !self.result.violations.is_empty() {
            return;
        }
        if !self.plan.is_converged() {
            let instances: Vec<_> = self
                .plan
                .instances()
                .iter()
                .map(|instance| {
                    format!(
                        "{} g{} {:?}",
                        instance.incarnation, instance.generation, instance.phase
                    )
                })
                .collect();
            return self.report_violation(format!(
                "not converged: {}; {:?}; {:?}",
                instances.join(", "),
                self.plan.replacement(),
                self.settings
            ));
        }
        if self.processes.len() != self.settings.instances {
            self.report_violation(format!(
                "{} processes for {} instances",
                self.processes.len(),
                self.settings.instances
            ));
        }
        self.result.converged_at = self.now;
        self.shutting_down = true;
        let mut effects = Vec::new();
        self.plan.begin_shutdown(self.now, &mut effects);
        self.execute_effects(effects);
        for _ in 0..200 {
            self.now += TICK;
            self.tick();
        }
        if !self.plan.is_converged() || !self.processes.is_empty() {
            self.report_violation("the fleet does not shut down".to_owned());
        }
    }
}
