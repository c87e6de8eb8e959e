//! The plan of a fleet: its instances, the target generation, and the steps from the current to the target state. Events
//! and deadlines go in, effects come out. The caller executes the effects in order: what [`Effect::Save`] covers must be
//! durable before the next effect is executed.
//!
//! Invariants: no slot has two instances, no incarnation number is used twice, and no instance is drained while the
//! capacity without it would be below the floor. There are two exceptions. During a rollback, a generation that was given
//! up and never became warm may occupy all slots; then one of its instances is drained so that another can start. And an
//! instance without status reports is killed, or drained where its connection for reports is not open.

use crate::regression::{self, Regression, RegressionThresholds, RequestCounts};
use crate::restart::{RestartBackoff, RestartPolicy};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Maximum number of terminated instances that are kept for display.
const MAX_TERMINATED: usize = 64;
/// Time after which a process that did not end is killed again, in microseconds.
const KILL_RETRY_INTERVAL: Micros = 1_000_000;
/// Minimum warmth of an instance that counts as warm.
pub const WARM_THRESHOLD: f64 = 0.95;
/// Tolerance for sums of shares that miss a limit by rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Size, limits and timeouts of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FleetSettings {
    /// Number of instances.
    pub instances: usize,
    /// Maximum number of additional instances during a replacement, each in a slot of its own.
    pub surge: usize,
    /// Maximum number of instances replaced at the same time.
    pub batch: usize,
    /// Minimum capacity during a replacement, in warm instances.
    #[serde(rename = "minimum")]
    pub min_capacity: f64,
    /// Time within which a new process has to send its first status report.
    #[serde(rename = "start_within")]
    pub start_timeout: Micros,
    /// Time from the first status report within which an instance has to become warm.
    #[serde(rename = "warm_within")]
    pub warm_up_timeout: Micros,
    /// Time after which a draining instance is killed.
    #[serde(rename = "drain_within")]
    pub drain_timeout: Micros,
    /// Time without a status report after which an instance counts as hung and is killed, or is drained if it has no
    /// connection for reports.
    #[serde(rename = "silent_within")]
    pub report_timeout: Micros,
    /// Number of failed instances of a new generation that ends its replacement.
    #[serde(rename = "crashes")]
    pub failure_limit: u32,
    /// Thresholds above which a new generation counts as worse than the old one.
    #[serde(rename = "verdict")]
    pub regression: RegressionThresholds,
    /// Restarts of failed instances.
    pub restart: RestartPolicy,
}

/// Why settings are invalid or a command was rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// A setting is out of range.
    #[error("{0}")]
    InvalidSetting(&'static str),
    /// No instance could ever be replaced with these settings.
    #[error(
        "with {instances} instances, a surge of 0 and a minimum of {min_capacity} no instance could ever be drained: \
         the minimum may be {} at most, or the surge has to be 1",
        instances - 1
    )]
    NoRoomToReplace {
        /// Number of instances.
        instances: usize,
        /// Minimum capacity, in warm instances.
        min_capacity: f64,
    },
    /// The command is not possible in the current state of the fleet.
    #[error("{0}")]
    InvalidState(&'static str),
}

impl FleetSettings {
    /// Checks that the settings are in range and allow a replacement.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn check(&self) -> Result<(), PlanError> {
        let (instances, min_capacity) = (self.instances, self.min_capacity);
        if instances == 0 {
            return Err(PlanError::InvalidSetting("instances: must be at least 1"));
        }
        if self.batch == 0 {
            return Err(PlanError::InvalidSetting("batch: must be at least 1"));
        }
        if !(0.0..=instances as f64).contains(&min_capacity) {
            return Err(PlanError::InvalidSetting(
                "minimum: not between 0 and the number of instances",
            ));
        }
        if self.surge == 0 && min_capacity > instances as f64 - 1.0 {
            return Err(PlanError::NoRoomToReplace {
                instances,
                min_capacity,
            });
        }
        Ok(())
    }

    /// Returns the capacity, in warm instances, below which no instance is drained during a replacement: the minimum,
    /// but at least the number of instances less the part of the batch that the surge does not cover.
    #[must_use]
    pub fn floor(&self) -> f64 {
        let missing = self
            .batch
            .saturating_sub(self.surge)
            .max(usize::from(self.surge == 0));
        self.min_capacity
            .max(self.instances.saturating_sub(missing) as f64)
    }
}

/// Identity of a process: its id and its start time, a pair that is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// The process id.
    pub pid: u32,
    /// When the system started the process, in clock ticks since boot.
    #[serde(rename = "start")]
    pub start_ticks: u64,
}

/// Phase of an instance's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The process is not started yet.
    Planned,
    /// The process runs and has sent no status report yet.
    Starting,
    /// The instance serves at reduced speed while it warms up.
    Cold,
    /// The instance serves at full speed.
    Warm,
    /// The instance was told to drain, or reported that it drains.
    Draining,
    /// The process ended after draining.
    Stopped,
    /// The process ended without having been told to, or could not be started.
    Failed,
}

/// An instance of the server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's number, which is never reused.
    pub incarnation: u64,
    /// The generation that the instance runs.
    pub generation: u32,
    /// Index of the slot that the instance occupies.
    #[serde(rename = "address")]
    pub slot: usize,
    /// Current phase.
    pub phase: Phase,
    /// When the current phase began.
    #[serde(rename = "since")]
    pub phase_since: Micros,
    /// The instance's process, if known.
    pub process: Option<ProcessIdentity>,
    /// When the last status report was received.
    #[serde(rename = "heard")]
    pub last_report_at: Micros,
    /// Speed relative to a warm instance, from 0 to 1.
    pub warmth: f64,
    /// Requests since the instance started.
    pub counts: RequestCounts,
    /// The counts when the comparison of the two generations began.
    baseline: Option<RequestCounts>,
    /// Whether the instance's connection for status reports is open. Unknown to a new daemon until it
    /// reports.
    #[serde(skip)]
    is_connected: bool,
    /// When the process was last killed.
    #[serde(rename = "killed")]
    killed_at: Option<Micros>,
    /// Why the instance failed.
    #[serde(rename = "why")]
    pub failure_reason: Option<String>,
}

impl Instance {
    /// Returns the instance's capacity, in warm instances.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        match self.phase {
            // A killed instance serves nothing, whether or not its process has ended.
            _ if self.killed_at.is_some() => 0.0,
            Phase::Warm => 1.0,
            Phase::Cold => self.warmth.clamp(0.0, 1.0),
            _ => 0.0,
        }
    }

    fn is_active(&self) -> bool {
        matches!(
            self.phase,
            Phase::Planned | Phase::Starting | Phase::Cold | Phase::Warm
        )
    }

    fn is_serving(&self) -> bool {
        matches!(self.phase, Phase::Cold | Phase::Warm)
    }

    /// Returns whether the instance accepts connections and is to go on doing so. It accepts none before
    /// its runtime is up, and reports a warmth of 0 until then.
    fn is_accepting(&self) -> bool {
        self.is_serving() && self.warmth > 0.0 && self.killed_at.is_none()
    }

    /// Drains an instance without a connection for status reports. It may serve, and only its reports
    /// be lost, so that it is killed only if it does not drain in time.
    fn drain_silent(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let reason = if self.phase == Phase::Starting {
            "it sent no status report after its start"
        } else {
            "its status reports ended with their connection"
        };
        self.failure_reason = Some(reason.to_owned());
        (self.phase, self.phase_since) = (Phase::Draining, now);
        effects.push(Effect::Save);
        effects.push(Effect::Drain(self.incarnation));
    }
}

/// Direction of a replacement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplacementMode {
    /// Proceeds towards the new generation.
    Rolling,
    /// Paused by an operator.
    Paused,
    /// Rolls back to the old generation.
    Back,
}

/// A replacement of all instances by a new generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replacement {
    /// The new generation.
    pub generation: u32,
    /// Current direction.
    pub mode: ReplacementMode,
    /// Current target number of instances of the new generation.
    #[serde(rename = "quota")]
    pub target_count: usize,
    /// Number of failed instances of the new generation.
    #[serde(rename = "crashes")]
    pub failures: u32,
    /// When the replacement began.
    #[serde(rename = "begun")]
    pub started_at: Micros,
    /// Why the replacement is rolled back automatically.
    #[serde(rename = "halted")]
    pub rollback_reason: Option<String>,
    /// Requests of instances that terminated during the comparison: of the new and of the old generation.
    #[serde(rename = "gone")]
    terminated_counts: [RequestCounts; 2],
    /// Whether the comparison of the two generations has begun.
    #[serde(rename = "compared")]
    comparing: bool,
}

/// An input of the plan, for the instance with the given incarnation number.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The instance's process was started, or found running.
    Spawned(u64, ProcessIdentity),
    /// The process could not be started.
    SpawnFailed(u64, String),
    /// The instance sent a status report.
    StatusReported(u64, StatusReport),
    /// The instance's connection for status reports was closed.
    Disconnected(u64),
    /// The process has ended.
    Exited(u64, ProcessExit),
}

/// Status report of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct StatusReport {
    /// Speed relative to a warm instance, from 0 to 1.
    pub warmth: f64,
    /// Requests since the instance started.
    pub counts: RequestCounts,
    /// Whether the instance is draining.
    pub draining: bool,
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessExit {
    /// With status 0.
    Clean,
    /// With another status.
    Status(i32),
    /// By a signal.
    Signal(i32),
    /// Unknown, because the process was not a child of this daemon or could not be waited for.
    Unobserved,
}

impl fmt::Display for ProcessExit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clean => write!(f, "it ended with status 0 without having been told to"),
            Self::Status(status) => write!(f, "it ended with status {status}"),
            Self::Signal(signal) => write!(f, "it ended by signal {signal}"),
            Self::Unobserved => write!(f, "its process is gone"),
        }
    }
}

/// An action that the caller executes.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Make the plan durable before the next effect is executed.
    Save,
    /// Start a process.
    Spawn {
        /// The instance's number.
        incarnation: u64,
        /// The generation to run.
        generation: u32,
        /// Index of the instance's slot.
        slot: usize,
    },
    /// Tell an instance to drain.
    Drain(u64),
    /// Kill an instance's process.
    Kill(u64),
    /// Notify operators.
    Notify(Notice),
}

/// A notice to operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// An instance has failed, with the reason.
    InstanceFailed(u64, String),
    /// An instance did not drain in time and is killed.
    DrainOverdue(u64),
    /// The replacement is rolled back automatically, with the reason.
    RollbackStarted(String),
    /// All instances run the new generation.
    ReplacementCompleted(u32),
    /// All instances run the old generation again.
    RollbackCompleted(u32),
}

/// The plan of a fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Plan {
    #[serde(rename = "bounds")]
    settings: FleetSettings,
    instances: Vec<Instance>,
    #[serde(rename = "gone")]
    terminated: VecDeque<Instance>,
    /// The generation that all instances run, or ran before the current replacement.
    #[serde(rename = "stable")]
    stable_generation: u32,
    replacement: Option<Replacement>,
    #[serde(rename = "ends")]
    shutting_down: bool,
    #[serde(rename = "restarts")]
    restart_backoff: RestartBackoff,
    /// For each slot, when an instance in it last failed.
    failed_at: BTreeMap<usize, Micros>,
    /// Why the last replacement was rolled back automatically.
    #[serde(default, rename = "halted")]
    rollback_reason: Option<String>,
    next_incarnation: u64,
    /// Version of the table of instances, which grows with each change.
    version: u64,
}

impl Plan {
    /// Creates the plan of an empty fleet that is to run `generation`.
    ///
    /// # Errors
    /// Invalid settings.
    pub fn new(settings: FleetSettings, generation: u32, seed: u64) -> Result<Self, PlanError> {
        settings.check()?;
        Ok(Self {
            settings,
            instances: Vec::new(),
            terminated: VecDeque::new(),
            stable_generation: generation,
            replacement: None,
            shutting_down: false,
            restart_backoff: RestartBackoff::new(settings.restart, seed),
            failed_at: BTreeMap::new(),
            rollback_reason: None,
            next_incarnation: 1,
            version: 0,
        })
    }

    /// Returns the settings of the fleet.
    #[must_use]
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Returns the instances that have not terminated.
    #[must_use]
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Returns whether an instance accepts connections and is not draining.
    #[must_use]
    pub fn has_accepting_instance(&self) -> bool {
        self.instances.iter().any(Instance::is_accepting)
    }

    /// Returns whether all instances drain and no other is started before they have ended.
    #[must_use]
    pub fn is_draining_without_successor(&self) -> bool {
        let is_draining = |instance: &Instance| instance.phase == Phase::Draining;
        let has_one_slot = self.settings.instances + self.settings.surge == 1;
        self.shutting_down || (has_one_slot && self.instances.iter().any(is_draining))
    }

    /// Returns the most recently terminated instances, the latest last.
    pub fn terminated(&self) -> impl Iterator<Item = &Instance> {
        self.terminated.iter()
    }

    /// Returns the generation that all instances run, or ran before the current replacement.
    #[must_use]
    pub fn stable_generation(&self) -> u32 {
        self.stable_generation
    }

    /// Returns the current replacement.
    #[must_use]
    pub fn replacement(&self) -> Option<&Replacement> {
        self.replacement.as_ref()
    }

    /// Returns why the last replacement was rolled back automatically, until the next one begins.
    #[must_use]
    pub fn rollback_reason(&self) -> Option<&str> {
        self.rollback_reason.as_deref()
    }

    /// Returns the version of the table of instances, which grows with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the capacity of all serving instances, in warm instances.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        // The empty sum is -0.0, which would be printed with its sign.
        self.instances.iter().map(Instance::capacity).sum::<f64>() + 0.0
    }

    /// Returns whether the fleet is in its target state and nothing is due.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        if self.shutting_down {
            return self.instances.is_empty();
        }
        let is_settled = |instance: &Instance| {
            instance.phase == Phase::Warm && instance.generation == self.stable_generation
        };
        self.replacement.is_none()
            && self.instances.len() == self.settings.instances
            && self.instances.iter().all(is_settled)
    }

    /// Returns whether the fleet is shutting down or has shut down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Replaces the settings.
    ///
    /// # Errors
    /// Invalid settings.
    pub fn update_settings(&mut self, settings: FleetSettings) -> Result<(), PlanError> {
        settings.check()?;
        self.settings = settings;
        Ok(())
    }

    /// Reinitializes a fleet without instances, with other settings and another generation. Incarnation numbers are not
    /// reused.
    ///
    /// # Errors
    /// Invalid settings.
    pub fn reinitialize(
        &mut self,
        settings: FleetSettings,
        generation: u32,
    ) -> Result<(), PlanError> {
        self.update_settings(settings)?;
        (self.stable_generation, self.replacement, self.shutting_down) = (generation, None, false);
        Ok(())
    }

    /// Starts a new fleet, or resumes a plan that was read from the store. `events` holds what changed in the meantime:
    /// the running process or the exit of each instance. No step is taken before all of them are applied.
    pub fn recover(&mut self, now: Micros, events: Vec<Event>, effects: &mut Vec<Effect>) {
        for event in events {
            self.apply_event(now, event, effects);
        }
        // Status reports missed while the daemon was down must not make instances count as hung.
        for instance in &mut self.instances {
            instance.last_report_at = instance.last_report_at.max(now);
        }
        self.reconcile(now, effects);
    }

    /// Begins to replace all instances by a new generation.
    ///
    /// # Errors
    /// A replacement is in progress, `generation` is already running, or the fleet is shutting down.
    pub fn begin_replacement(
        &mut self,
        now: Micros,
        generation: u32,
        effects: &mut Vec<Effect>,
    ) -> Result<(), PlanError> {
        if self.shutting_down {
            return Err(PlanError::InvalidState("the fleet is shutting down"));
        }
        if self.replacement.is_some() {
            return Err(PlanError::InvalidState(
                "a replacement is already in progress: wait until it ends, or roll it back",
            ));
        }
        if generation == self.stable_generation {
            return Err(PlanError::InvalidState(
                "this generation is already running",
            ));
        }
        self.rollback_reason = None;
        self.replacement = Some(Replacement {
            generation,
            mode: ReplacementMode::Rolling,
            target_count: 0,
            failures: 0,
            started_at: now,
            rollback_reason: None,
            terminated_counts: [RequestCounts::default(); 2],
            comparing: false,
        });
        self.reconcile(now, effects);
        Ok(())
    }

    fn change_mode(
        &mut self,
        now: Micros,
        from: &[ReplacementMode],
        to: ReplacementMode,
        error: &'static str,
        effects: &mut Vec<Effect>,
    ) -> Result<(), PlanError> {
        match &mut self.replacement {
            Some(replacement) if from.contains(&replacement.mode) => replacement.mode = to,
            _ => return Err(PlanError::InvalidState(error)),
        }
        effects.push(Effect::Save);
        self.reconcile(now, effects);
        Ok(())
    }

    /// Pauses the replacement.
    ///
    /// # Errors
    /// No replacement is rolling.
    pub fn pause(&mut self, now: Micros, effects: &mut Vec<Effect>) -> Result<(), PlanError> {
        self.change_mode(
            now,
            &[ReplacementMode::Rolling],
            ReplacementMode::Paused,
            "no replacement goes on",
            effects,
        )
    }

    /// Resumes a paused replacement.
    ///
    /// # Errors
    /// No replacement is paused.
    pub fn resume(&mut self, now: Micros, effects: &mut Vec<Effect>) -> Result<(), PlanError> {
        self.change_mode(
            now,
            &[ReplacementMode::Paused],
            ReplacementMode::Rolling,
            "no replacement is paused",
            effects,
        )
    }

    /// Rolls the replacement back to the old generation.
    ///
    /// # Errors
    /// No replacement is in progress, or it is already being rolled back.
    pub fn roll_back(&mut self, now: Micros, effects: &mut Vec<Effect>) -> Result<(), PlanError> {
        let from = [ReplacementMode::Rolling, ReplacementMode::Paused];
        self.change_mode(
            now,
            &from,
            ReplacementMode::Back,
            "there is no replacement to roll back",
            effects,
        )
    }

    /// Begins to shut down the whole fleet.
    pub fn begin_shutdown(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.shutting_down = true;
        effects.push(Effect::Save);
        self.reconcile(now, effects);
    }

    /// Handles an event of an instance. Events of terminated instances are ignored.
    pub fn handle_event(&mut self, now: Micros, event: Event, effects: &mut Vec<Effect>) {
        self.apply_event(now, event, effects);
        self.reconcile(now, effects);
    }

    fn apply_event(&mut self, now: Micros, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Spawned(incarnation, process) => {
                if let Some(instance) = self.instance_mut(incarnation) {
                    instance.process = Some(process);
                    if instance.phase == Phase::Planned {
                        (
                            instance.phase,
                            instance.phase_since,
                            instance.last_report_at,
                        ) = (Phase::Starting, now, now);
                    }
                    self.version += 1;
                    effects.push(Effect::Save);
                }
            }
            Event::SpawnFailed(incarnation, reason) => {
                self.on_exit(now, incarnation, Some(reason), effects);
            }
            Event::StatusReported(incarnation, status) => {
                self.on_status_report(now, incarnation, &status, effects);
            }
            Event::Disconnected(incarnation) => {
                if let Some(instance) = self.instance_mut(incarnation) {
                    instance.is_connected = false;
                }
            }
            Event::Exited(incarnation, exit) => {
                let expected =
                    self.instance_mut(incarnation)
                        .is_some_and(|instance| match instance.phase {
                            Phase::Draining => true,
                            // The daemon died before it started the process: the generation is not at fault.
                            Phase::Planned => exit == ProcessExit::Unobserved,
                            _ => false,
                        });
                self.on_exit(
                    now,
                    incarnation,
                    (!expected).then(|| exit.to_string()),
                    effects,
                );
            }
        }
    }

    fn instance_mut(&mut self, incarnation: u64) -> Option<&mut Instance> {
        self.instances
            .iter_mut()
            .find(|instance| instance.incarnation == incarnation)
    }

    fn on_status_report(
        &mut self,
        now: Micros,
        incarnation: u64,
        status: &StatusReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(instance) = self.instance_mut(incarnation) else {
            return;
        };
        (instance.last_report_at, instance.counts) = (now, status.counts);
        instance.is_connected = true;
        if status.warmth.is_finite() {
            instance.warmth = status.warmth;
        }
        let old_phase = instance.phase;
        let new_phase = match old_phase {
            // An operator stopped the process directly: its exit is not a failure.
            Phase::Planned | Phase::Starting | Phase::Cold | Phase::Warm if status.draining => {
                Phase::Draining
            }
            Phase::Planned | Phase::Starting | Phase::Cold if instance.warmth >= WARM_THRESHOLD => {
                Phase::Warm
            }
            Phase::Planned | Phase::Starting => Phase::Cold,
            unchanged => unchanged,
        };
        if old_phase == new_phase {
            return;
        }
        (instance.phase, instance.phase_since) = (new_phase, now);
        let generation = instance.generation;
        self.version += 1;
        effects.push(Effect::Save);
        if new_phase == Phase::Warm {
            self.restart_backoff.on_success(generation);
            self.begin_comparison(generation);
        }
    }

    /// Records baselines when an instance of the new generation becomes warm; the comparison begins with the first one.
    fn begin_comparison(&mut self, generation: u32) {
        let Some(replacement) = self
            .replacement
            .as_mut()
            .filter(|replacement| replacement.generation == generation)
        else {
            return;
        };
        let first = !std::mem::replace(&mut replacement.comparing, true);
        for instance in &mut self.instances {
            let is_new = instance.generation == generation;
            if instance.phase == Phase::Warm && instance.baseline.is_none() && (is_new || first) {
                instance.baseline = Some(instance.counts);
            }
        }
    }

    fn on_exit(
        &mut self,
        now: Micros,
        incarnation: u64,
        failure: Option<String>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = self
            .instances
            .iter()
            .position(|instance| instance.incarnation == incarnation)
        else {
            return;
        };
        let mut instance = self.instances.remove(index);
        self.version += 1;
        self.add_terminated_counts(&instance);
        (instance.phase_since, instance.process) = (now, None);
        // An instance killed or drained because it was silent failed for the reason recorded then, such as a
        // hang, however it ended.
        let failure = match instance.failure_reason.take() {
            Some(recorded) => Some(recorded),
            None => failure,
        };
        instance.phase = if failure.is_some() {
            Phase::Failed
        } else {
            Phase::Stopped
        };
        if let Some(failure) = failure {
            self.restart_backoff.on_failure(now, instance.generation);
            self.failed_at.insert(instance.slot, now);
            effects.push(Effect::Notify(Notice::InstanceFailed(
                incarnation,
                failure.clone(),
            )));
            instance.failure_reason = Some(failure);
            let limit = self.settings.failure_limit;
            if let Some(replacement) = self
                .replacement
                .as_mut()
                .filter(|replacement| replacement.generation == instance.generation)
            {
                replacement.failures += 1;
                if replacement.failures >= limit {
                    let reason = format!(
                        "{} instances of the new generation failed",
                        replacement.failures
                    );
                    self.begin_rollback(reason, effects);
                }
            }
        }
        self.terminated.push_back(instance);
        if self.terminated.len() > MAX_TERMINATED {
            self.terminated.pop_front();
        }
        effects.push(Effect::Save);
    }

    fn add_terminated_counts(&mut self, instance: &Instance) {
        let (Some(replacement), Some(baseline)) = (&mut self.replacement, instance.baseline) else {
            return;
        };
        let side = usize::from(instance.generation != replacement.generation);
        replacement.terminated_counts[side] =
            replacement.terminated_counts[side].plus(instance.counts.since(baseline));
    }

    fn begin_rollback(&mut self, reason: String, effects: &mut Vec<Effect>) {
        let Some(replacement) = self
            .replacement
            .as_mut()
            .filter(|replacement| replacement.mode != ReplacementMode::Back)
        else {
            return;
        };
        replacement.mode = ReplacementMode::Back;
        replacement.rollback_reason = Some(reason.clone());
        self.rollback_reason = Some(reason.clone());
        effects.push(Effect::Notify(Notice::RollbackStarted(reason)));
        effects.push(Effect::Save);
    }

    /// Rolls the replacement back if the new generation performs worse than the old one.
    fn check_regression(&mut self, effects: &mut Vec<Effect>) {
        let Some(replacement) = self
            .replacement
            .as_ref()
            .filter(|replacement| replacement.mode != ReplacementMode::Back)
        else {
            return;
        };
        let mut counts = replacement.terminated_counts;
        for instance in &self.instances {
            if let Some(baseline) = instance.baseline {
                let side = usize::from(instance.generation != replacement.generation);
                counts[side] = counts[side].plus(instance.counts.since(baseline));
            }
        }
        let regression: Option<Regression> =
            regression::detect_regression(counts[0], counts[1], &self.settings.regression);
        if let Some(regression) = regression {
            self.begin_rollback(regression.to_string(), effects);
        }
    }

    /// Handles the deadlines that have passed.
    pub fn handle_timeouts(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let settings = self.settings;
        let mut warm_up_overdue = None;
        let mut drained = 0;
        for instance in &mut self.instances {
            let overdue = match instance.phase {
                Phase::Starting => now >= instance.phase_since + settings.start_timeout,
                Phase::Cold | Phase::Warm => {
                    now >= instance.last_report_at + settings.report_timeout
                }
                Phase::Draining => now >= instance.phase_since + settings.drain_timeout,
                _ => false,
            };
            let still_cold = instance.phase == Phase::Cold
                && now >= instance.phase_since + settings.warm_up_timeout;
            if still_cold
                && self
                    .replacement
                    .as_ref()
                    .is_some_and(|replacement| replacement.generation == instance.generation)
            {
                warm_up_overdue = Some(instance.incarnation);
            }
            if !overdue
                || instance
                    .killed_at
                    .is_some_and(|at| now < at + KILL_RETRY_INTERVAL)
            {
                continue;
            }
            if !instance.is_connected && instance.phase != Phase::Draining {
                drained += 1;
                instance.drain_silent(now, effects);
                continue;
            }
            if instance.killed_at.replace(now).is_none() {
                if instance.phase == Phase::Draining {
                    effects.push(Effect::Notify(Notice::DrainOverdue(instance.incarnation)));
                } else {
                    instance.failure_reason = Some("it hung".to_owned());
                }
                // The kill is saved first, so that a restarted daemon does not count on this instance's capacity.
                effects.push(Effect::Save);
            }
            effects.push(Effect::Kill(instance.incarnation));
        }
        self.version += drained;
        if let Some(incarnation) = warm_up_overdue {
            self.begin_rollback(
                format!("instance {incarnation} of the new generation did not become warm in time"),
                effects,
            );
        }
        self.reconcile(now, effects);
    }

    /// Returns the earliest time at which [`handle_timeouts`](Self::handle_timeouts) has something to do.
    #[must_use]
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let settings = &self.settings;
        let instance_deadline = |instance: &Instance| {
            let deadline = match instance.phase {
                Phase::Planned => return None,
                Phase::Starting => instance.phase_since + settings.start_timeout,
                Phase::Cold | Phase::Warm => instance.last_report_at + settings.report_timeout,
                Phase::Draining => instance.phase_since + settings.drain_timeout,
                Phase::Stopped | Phase::Failed => return None,
            };
            Some(
                instance
                    .killed_at
                    .map_or(deadline, |at| deadline.max(at + KILL_RETRY_INTERVAL)),
            )
        };
        let new_generation = self
            .replacement
            .as_ref()
            .filter(|replacement| replacement.mode != ReplacementMode::Back)
            .map(|replacement| replacement.generation);
        let warm_up_deadlines = self
            .instances
            .iter()
            .filter(|instance| {
                instance.phase == Phase::Cold && Some(instance.generation) == new_generation
            })
            .map(|instance| instance.phase_since + settings.warm_up_timeout);
        let starts = self
            .target_counts()
            .into_iter()
            .filter(|(generation, target)| self.active_count(*generation) < *target);
        let starts = starts
            .map(|(generation, _)| self.restart_backoff.earliest_start(now, generation))
            .filter(|at| *at > now);
        self.instances
            .iter()
            .filter_map(instance_deadline)
            .chain(warm_up_deadlines)
            .chain(starts)
            .min()
    }

    /// Returns the current target number of instances of each generation.
    fn target_counts(&self) -> Vec<(u32, usize)> {
        let total = self.settings.instances;
        match &self.replacement {
            _ if self.shutting_down => Vec::new(),
            None => vec![(self.stable_generation, total)],
            Some(replacement) => vec![
                (replacement.generation, replacement.target_count),
                (
                    self.stable_generation,
                    total - replacement.target_count.min(total),
                ),
            ],
        }
    }

    fn active_count(&self, generation: u32) -> usize {
        self.instances
            .iter()
            .filter(|instance| instance.generation == generation && instance.is_active())
            .count()
    }

    /// Takes all steps from the current to the target state that are possible now.
    fn reconcile(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.check_regression(effects);
        self.update_target_count(effects);
        if self.shutting_down {
            let active: Vec<u64> = self
                .instances
                .iter()
                .filter(|instance| instance.is_active())
                .map(|instance| instance.incarnation)
                .collect();
            active
                .into_iter()
                .for_each(|incarnation| self.drain(now, incarnation, effects));
            return;
        }
        self.drain_excess(now, effects);
        self.start_missing(now, effects);
    }

    /// Raises the target number of new instances with the number of warm ones, not with time, and ends the replacement
    /// once all instances run the same generation.
    fn update_target_count(&mut self, effects: &mut Vec<Effect>) {
        let (total, batch) = (self.settings.instances, self.settings.batch);
        let Some(replacement) = &mut self.replacement else {
            return;
        };
        let new_generation = replacement.generation;
        let is_warm = |instance: &&Instance, is_new: bool| {
            instance.phase == Phase::Warm && (instance.generation == new_generation) == is_new
        };
        let warm_new = self
            .instances
            .iter()
            .filter(|instance| is_warm(instance, true))
            .count();
        let has_any = |is_new| {
            self.instances
                .iter()
                .any(|instance| (instance.generation == new_generation) == is_new)
        };
        let old_target = replacement.target_count;
        replacement.target_count = match replacement.mode {
            ReplacementMode::Rolling => old_target.max(total.min(warm_new + batch)),
            ReplacementMode::Paused => old_target,
            ReplacementMode::Back => 0,
        };
        let target = replacement.target_count;
        let mode = replacement.mode;
        if mode == ReplacementMode::Rolling && warm_new == total && !has_any(false) {
            self.finish_replacement(
                new_generation,
                Notice::ReplacementCompleted(new_generation),
                effects,
            );
        } else if mode == ReplacementMode::Back && !has_any(true) {
            let stable = self.stable_generation;
            self.finish_replacement(stable, Notice::RollbackCompleted(stable), effects);
        } else if old_target != target {
            effects.push(Effect::Save);
        }
    }

    fn finish_replacement(&mut self, generation: u32, notice: Notice, effects: &mut Vec<Effect>) {
        self.stable_generation = generation;
        self.replacement = None;
        self.instances
            .iter_mut()
            .for_each(|instance| instance.baseline = None);
        effects.push(Effect::Notify(notice));
        effects.push(Effect::Save);
    }

    fn drain(&mut self, now: Micros, incarnation: u64, effects: &mut Vec<Effect>) {
        let Some(instance) = self.instance_mut(incarnation) else {
            return;
        };
        // A process that is not started yet receives no signal: it is told to drain once it runs.
        if instance.phase == Phase::Planned {
            return;
        }
        (instance.phase, instance.phase_since) = (Phase::Draining, now);
        self.version += 1;
        effects.push(Effect::Save);
        effects.push(Effect::Drain(incarnation));
    }

    /// Drains instances beyond the target numbers, as far as the capacity stays at the floor.
    fn drain_excess(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        // Avoids a deadlock: where a generation that is rolled back occupies all slots, one of its instances that is not
        // warm has to drain before anything else can start, whatever it still serves.
        let max_instances = self.settings.instances + self.settings.surge;
        let rolling_back = self
            .replacement
            .as_ref()
            .is_some_and(|replacement| replacement.mode == ReplacementMode::Back);
        let deadlocked = rolling_back
            && self.instances.len() >= max_instances
            && self.active_count(self.stable_generation) < self.settings.instances;
        for (generation, target) in self.target_counts() {
            while self.active_count(generation) > target {
                let warm = self.instances.iter().filter(|instance| {
                    instance.phase == Phase::Warm && instance.killed_at.is_none()
                });
                let warm = warm.count() as f64;
                let draining = self
                    .instances
                    .iter()
                    .filter(|instance| instance.phase == Phase::Draining)
                    .count();
                let capacity = self.capacity();
                // Instances with the least capacity first, among equals the oldest.
                let candidate = self
                    .instances
                    .iter()
                    .filter(|instance| {
                        instance.generation == generation
                            && instance.is_active()
                            && instance.killed_at.is_none()
                    })
                    .filter(|instance| instance.phase != Phase::Planned)
                    .min_by(|a, b| {
                        a.capacity()
                            .total_cmp(&b.capacity())
                            .then(a.incarnation.cmp(&b.incarnation))
                    });
                let Some(instance) = candidate else { break };
                let floor = self.settings.floor();
                let keeps_floor = match instance.phase {
                    // Only warm instances replace a warm one: an instance that is cold now may never become warm.
                    Phase::Warm => warm - 1.0 + ROUNDING_TOLERANCE >= floor,
                    _ => {
                        warm >= floor
                            || capacity - instance.capacity() + ROUNDING_TOLERANCE >= floor
                            || deadlocked && draining == 0
                    }
                };
                // An instance that serves nothing yet can always drain.
                if !(keeps_floor && draining < self.settings.batch || !instance.is_serving()) {
                    break;
                }
                let incarnation = instance.incarnation;
                self.drain(now, incarnation, effects);
            }
        }
    }

    /// Starts missing instances, as far as there are free slots and the restart backoff allows.
    fn start_missing(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let max_instances = self.settings.instances + self.settings.surge;
        for (generation, target) in self.target_counts() {
            while self.active_count(generation) < target && self.instances.len() < max_instances {
                if self.restart_backoff.earliest_start(now, generation) > now {
                    break;
                }
                let is_occupied =
                    |slot: &usize| self.instances.iter().any(|instance| instance.slot == *slot);
                // Prefers the slot whose last failure is the oldest: another process may use the address of a slot.
                let last_failure = |slot: &usize| self.failed_at.get(slot).copied().unwrap_or(0);
                let Some(slot) = (0..max_instances)
                    .filter(|slot| !is_occupied(slot))
                    .min_by_key(last_failure)
                else {
                    return;
                };
                let incarnation = self.next_incarnation;
                self.next_incarnation += 1;
                self.version += 1;
                self.restart_backoff.on_start(now, generation);
                self.instances.push(Instance {
                    incarnation,
                    generation,
                    slot,
                    phase: Phase::Planned,
                    phase_since: now,
                    process: None,
                    last_report_at: now,
                    warmth: 0.0,
                    counts: RequestCounts::default(),
                    baseline: None,
                    is_connected: false,
                    killed_at: None,
                    failure_reason: None,
                });
                // Saved before the start, so that the number is not reused if the daemon crashes in between.
                effects.push(Effect::Save);
                effects.push(Effect::Spawn {
                    incarnation,
                    generation,
                    slot,
                });
            }
        }
    }
}
