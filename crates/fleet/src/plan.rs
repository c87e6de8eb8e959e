//! The plan of a fleet: instances, the generation that is wanted, and each step between what is and what should be.
//! Events and deadlines go in, effects come out. Whoever carries them out obeys their order: what is to be saved is
//! durable before the next effect is done.
//!
//! What it keeps to, whatever happens: no address has two owners, no incarnation comes twice, and no instance is told to
//! leave while the capacity without it would be below the floor. There is one exception: on the way back a generation
//! that was given up and never got warm may hold all addresses, and then one of it leaves so that another can start.

use crate::regression::{self, Regression, RegressionThresholds, RequestCounts};
use crate::restart::{RestartBackoff, RestartPolicy};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Instances that are gone and still shown.
const SHOWN: usize = 64;
/// What did not end after it was killed is killed again after this time.
const KILL_AGAIN: Micros = 1_000_000;
/// From this warmth on an instance counts as warm.
pub const WARM: f64 = 0.95;
/// Guards against sums of shares that miss a bound by rounding.
const ROUNDING: f64 = 1e-9;

/// Bounds of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Instances.
    pub instances: usize,
    /// Further ones that may exist within a replacement, each with an address of its own.
    pub surge: usize,
    /// So many are replaced at once.
    pub batch: usize,
    /// Capacity that is kept within a replacement, in warm instances.
    pub minimum: f64,
    /// A process has to say its first word within this time.
    pub start_within: Micros,
    /// An instance has to be warm within this time after its first word.
    pub warm_within: Micros,
    /// An instance that was told to leave is killed after this time.
    pub drain_within: Micros,
    /// One that says nothing for so long hangs, and is killed.
    pub silent_within: Micros,
    /// So many failures of a new generation end its replacement.
    pub crashes: u32,
    /// When a new generation counts as worse than the old one.
    #[serde(rename = "verdict")]
    pub regression: RegressionThresholds,
    /// Starting again.
    pub restart: RestartPolicy,
}

/// What is wrong with bounds, or why a command is not obeyed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Refused {
    /// A bound is none.
    #[error("{0}")]
    Bound(&'static str),
    /// A replacement could never begin.
    #[error(
        "with {instances} instances, a surge of 0 and a minimum of {minimum} no instance could ever leave: the minimum \
         may be {} at most, or the surge has to be 1",
        instances - 1
    )]
    Stuck {
        /// Instances.
        instances: usize,
        /// The minimum.
        minimum: f64,
    },
    /// There is nothing to replace, or a replacement is on.
    #[error("{0}")]
    Now(&'static str),
}

impl Bounds {
    /// Checks them.
    ///
    /// # Errors
    /// What is wrong.
    pub fn check(&self) -> Result<(), Refused> {
        let (instances, minimum) = (self.instances, self.minimum);
        if instances == 0 {
            return Err(Refused::Bound("instances: 0 is no fleet"));
        }
        if self.batch == 0 {
            return Err(Refused::Bound("batch: 0 would replace nothing"));
        }
        if !(0.0..=instances as f64).contains(&minimum) {
            return Err(Refused::Bound(
                "minimum: not between 0 and the number of instances",
            ));
        }
        if self.surge == 0 && minimum > instances as f64 - 1.0 {
            return Err(Refused::Stuck { instances, minimum });
        }
        Ok(())
    }

    /// Capacity below which no instance is told to leave within a replacement: the minimum, and without need not less
    /// than what the batch takes beyond the surge.
    #[must_use]
    pub fn floor(&self) -> f64 {
        let without = self
            .batch
            .saturating_sub(self.surge)
            .max(usize::from(self.surge == 0));
        self.minimum
            .max(self.instances.saturating_sub(without) as f64)
    }
}

/// A process: its number and its start, which together are used once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// The process id.
    pub pid: u32,
    /// When the system started it, in the system's ticks.
    pub start: u64,
}

/// Where an instance stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It is to be started.
    Planned,
    /// Its process runs and has said nothing yet.
    Starting,
    /// It serves, slower than it will.
    Cold,
    /// It serves.
    Warm,
    /// It was told to leave, or leaves.
    Draining,
    /// It has left.
    Stopped,
    /// It ended without having been told to, or never began.
    Failed,
}

/// An instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its number, which never comes again.
    pub incarnation: u64,
    /// What it runs.
    pub generation: u32,
    /// Which of the addresses it owns.
    pub address: usize,
    /// Where it stands.
    pub phase: Phase,
    /// Since when.
    pub since: Micros,
    /// Its process, where one is known.
    pub process: Option<Process>,
    /// When it was last heard of.
    pub heard: Micros,
    /// Its speed, as a share of a warm one's.
    pub warmth: f64,
    /// What it did since it began.
    pub counts: RequestCounts,
    /// What it had done when the two generations began to be compared.
    baseline: Option<RequestCounts>,
    killed: Option<Micros>,
    /// Why it failed.
    pub why: Option<String>,
}

impl Instance {
    /// Its capacity, in warm instances.
    #[must_use]
    pub fn weight(&self) -> f64 {
        match self.phase {
            // What was killed serves nothing, whether or not it has ended.
            _ if self.killed.is_some() => 0.0,
            Phase::Warm => 1.0,
            Phase::Cold => self.warmth.clamp(0.0, 1.0),
            _ => 0.0,
        }
    }

    fn stays(&self) -> bool {
        matches!(
            self.phase,
            Phase::Planned | Phase::Starting | Phase::Cold | Phase::Warm
        )
    }

    fn serves(&self) -> bool {
        matches!(self.phase, Phase::Cold | Phase::Warm)
    }
}

/// How a replacement goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards.
    Rolling,
    /// Not at all.
    Paused,
    /// Back.
    Back,
}

/// A replacement of all instances by a new generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replacement {
    /// The new generation.
    pub generation: u32,
    /// How it goes on.
    pub mode: Mode,
    /// So many of the new generation are wanted now.
    pub quota: usize,
    /// Failures of the new generation.
    pub crashes: u32,
    /// When it began.
    pub begun: Micros,
    /// Why it goes back by itself.
    pub halted: Option<String>,
    /// What instances that are gone did while the generations were compared: new and old.
    gone: [RequestCounts; 2],
    compared: bool,
}

/// What happens to instances.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A process runs for it.
    Spawned(u64, Process),
    /// None could be started.
    NotSpawned(u64, String),
    /// It says how it is.
    Heard(u64, Status),
    /// Its process has ended.
    Exited(u64, Exit),
}

/// How an instance says it is.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Status {
    /// Its speed, as a share of a warm one's.
    pub warmth: f64,
    /// What it did since it began.
    pub counts: RequestCounts,
    /// It leaves.
    pub drains: bool,
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// With status 0.
    Clean,
    /// With another status.
    Status(i32),
    /// By a signal.
    Signal(i32),
    /// Nobody saw it.
    Unseen,
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clean => write!(f, "it ended with status 0 though nobody told it to"),
            Self::Status(status) => write!(f, "it ended with status {status}"),
            Self::Signal(signal) => write!(f, "it ended by signal {signal}"),
            Self::Unseen => write!(f, "its process is gone"),
        }
    }
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The plan is to be made durable before what follows is done.
    Save,
    /// A process is to be started.
    Spawn {
        /// For this instance.
        incarnation: u64,
        /// What it runs.
        generation: u32,
        /// Its address.
        address: usize,
    },
    /// An instance is to be told to leave.
    Leave(u64),
    /// An instance's process is to be killed.
    Kill(u64),
    /// Operators are to be told.
    Note(Note),
}

/// What operators are told.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// An instance has failed.
    Failed(u64, String),
    /// It did not leave in time and is killed.
    Overdue(u64),
    /// The replacement goes back by itself.
    Halted(String),
    /// All run the new generation.
    Replaced(u32),
    /// All run the old generation again.
    WentBack(u32),
}

/// The plan.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Plan {
    bounds: Bounds,
    instances: Vec<Instance>,
    gone: VecDeque<Instance>,
    /// What all run, or ran before the replacement that is on.
    stable: u32,
    replacement: Option<Replacement>,
    ends: bool,
    restarts: RestartBackoff,
    /// When an instance at an address last failed.
    failed_at: BTreeMap<usize, Micros>,
    /// Why the last replacement went back by itself.
    #[serde(default)]
    halted: Option<String>,
    next_incarnation: u64,
    /// Grows with each change of the instances.
    version: u64,
}

impl Plan {
    /// A fleet that is to run this generation.
    ///
    /// # Errors
    /// Where the bounds are none.
    pub fn new(bounds: Bounds, generation: u32, seed: u64) -> Result<Self, Refused> {
        bounds.check()?;
        Ok(Self {
            bounds,
            instances: Vec::new(),
            gone: VecDeque::new(),
            stable: generation,
            replacement: None,
            ends: false,
            restarts: RestartBackoff::new(bounds.restart, seed),
            failed_at: BTreeMap::new(),
            halted: None,
            next_incarnation: 1,
            version: 0,
        })
    }

    /// Its bounds.
    #[must_use]
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Instances that are not gone.
    #[must_use]
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Those that are, the latest last.
    pub fn gone(&self) -> impl Iterator<Item = &Instance> {
        self.gone.iter()
    }

    /// What all run, or ran before the replacement that is on.
    #[must_use]
    pub fn stable(&self) -> u32 {
        self.stable
    }

    /// The replacement that is on.
    #[must_use]
    pub fn replacement(&self) -> Option<&Replacement> {
        self.replacement.as_ref()
    }

    /// Why the last replacement went back by itself, until the next begins.
    #[must_use]
    pub fn halted(&self) -> Option<&str> {
        self.halted.as_deref()
    }

    /// The table's version: it grows with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What all serving instances can do, in warm ones.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        // The sum of nothing is a negative zero, which nobody wants to read.
        self.instances.iter().map(Instance::weight).sum::<f64>() + 0.0
    }

    /// All is as it should be, and nothing is due.
    #[must_use]
    pub fn at_rest(&self) -> bool {
        if self.ends {
            return self.instances.is_empty();
        }
        let right = |one: &Instance| one.phase == Phase::Warm && one.generation == self.stable;
        self.replacement.is_none()
            && self.instances.len() == self.bounds.instances
            && self.instances.iter().all(right)
    }

    /// The fleet goes down, or has.
    #[must_use]
    pub fn ends(&self) -> bool {
        self.ends
    }

    /// Other bounds hold from now on.
    ///
    /// # Errors
    /// Where they are none.
    pub fn set_bounds(&mut self, bounds: Bounds) -> Result<(), Refused> {
        bounds.check()?;
        self.bounds = bounds;
        Ok(())
    }

    /// A fleet without instances begins again, with other bounds and another generation. Incarnations go on.
    ///
    /// # Errors
    /// Where the bounds are none.
    pub fn begin_again(&mut self, bounds: Bounds, generation: u32) -> Result<(), Refused> {
        self.set_bounds(bounds)?;
        (self.stable, self.replacement, self.ends) = (generation, None, false);
        Ok(())
    }

    /// Begins to bring the fleet up, or goes on after the plan was read back. What changed meanwhile is told all at
    /// once: for each instance that it runs, with its process, or that it is gone. Nothing is done before all is known.
    pub fn recover(&mut self, now: Micros, facts: Vec<Event>, out: &mut Vec<Effect>) {
        for fact in facts {
            self.take(now, fact, out);
        }
        // Guards against calling everybody hung after nobody listened for a while.
        for one in &mut self.instances {
            one.heard = one.heard.max(now);
        }
        self.work(now, out);
    }

    /// Replaces all instances by a new generation.
    ///
    /// # Errors
    /// Where a replacement is on, or the generation runs already.
    pub fn replace(
        &mut self,
        now: Micros,
        generation: u32,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refused> {
        if self.ends {
            return Err(Refused::Now("the fleet is going down"));
        }
        if self.replacement.is_some() {
            return Err(Refused::Now(
                "a replacement is on: wait for its end, or roll it back",
            ));
        }
        if generation == self.stable {
            return Err(Refused::Now("this generation runs already"));
        }
        self.halted = None;
        self.replacement = Some(Replacement {
            generation,
            mode: Mode::Rolling,
            quota: 0,
            crashes: 0,
            begun: now,
            halted: None,
            gone: [RequestCounts::default(); 2],
            compared: false,
        });
        self.work(now, out);
        Ok(())
    }

    fn change_mode(
        &mut self,
        now: Micros,
        from: &[Mode],
        to: Mode,
        or: &'static str,
        out: &mut Vec<Effect>,
    ) -> Result<(), Refused> {
        match &mut self.replacement {
            Some(one) if from.contains(&one.mode) => one.mode = to,
            _ => return Err(Refused::Now(or)),
        }
        out.push(Effect::Save);
        self.work(now, out);
        Ok(())
    }

    /// Stops a replacement where it stands.
    ///
    /// # Errors
    /// Where none is on.
    pub fn pause(&mut self, now: Micros, out: &mut Vec<Effect>) -> Result<(), Refused> {
        self.change_mode(
            now,
            &[Mode::Rolling],
            Mode::Paused,
            "no replacement goes on",
            out,
        )
    }

    /// Lets a replacement go on.
    ///
    /// # Errors
    /// Where none was stopped.
    pub fn resume(&mut self, now: Micros, out: &mut Vec<Effect>) -> Result<(), Refused> {
        self.change_mode(
            now,
            &[Mode::Paused],
            Mode::Rolling,
            "no replacement was paused",
            out,
        )
    }

    /// Goes back to the old generation.
    ///
    /// # Errors
    /// Where no replacement is on, or it goes back already.
    pub fn roll_back(&mut self, now: Micros, out: &mut Vec<Effect>) -> Result<(), Refused> {
        let from = [Mode::Rolling, Mode::Paused];
        self.change_mode(
            now,
            &from,
            Mode::Back,
            "there is no replacement to go back from",
            out,
        )
    }

    /// Ends the whole fleet.
    pub fn end(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.ends = true;
        out.push(Effect::Save);
        self.work(now, out);
    }

    /// Something happened to an instance. What is said of one that is gone is passed over.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        self.take(now, event, out);
        self.work(now, out);
    }

    fn take(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Spawned(incarnation, process) => {
                if let Some(one) = self.find(incarnation) {
                    one.process = Some(process);
                    if one.phase == Phase::Planned {
                        (one.phase, one.since, one.heard) = (Phase::Starting, now, now);
                    }
                    self.version += 1;
                    out.push(Effect::Save);
                }
            }
            Event::NotSpawned(incarnation, why) => self.ended(now, incarnation, Some(why), out),
            Event::Heard(incarnation, status) => self.heard(now, incarnation, &status, out),
            Event::Exited(incarnation, exit) => {
                let fine = self.find(incarnation).is_some_and(|one| match one.phase {
                    Phase::Draining => true,
                    // Whoever runs this died before it was started: that is no fault of what it would have run.
                    Phase::Planned => exit == Exit::Unseen,
                    _ => false,
                });
                self.ended(now, incarnation, (!fine).then(|| exit.to_string()), out);
            }
        }
    }

    fn find(&mut self, incarnation: u64) -> Option<&mut Instance> {
        self.instances
            .iter_mut()
            .find(|one| one.incarnation == incarnation)
    }

    fn heard(&mut self, now: Micros, incarnation: u64, status: &Status, out: &mut Vec<Effect>) {
        let Some(one) = self.find(incarnation) else {
            return;
        };
        (one.heard, one.counts) = (now, status.counts);
        if status.warmth.is_finite() {
            one.warmth = status.warmth;
        }
        let before = one.phase;
        let after = match before {
            // Somebody told it to leave by hand: it is no crash when it ends.
            Phase::Planned | Phase::Starting | Phase::Cold | Phase::Warm if status.drains => {
                Phase::Draining
            }
            Phase::Planned | Phase::Starting | Phase::Cold if one.warmth >= WARM => Phase::Warm,
            Phase::Planned | Phase::Starting => Phase::Cold,
            other => other,
        };
        if before == after {
            return;
        }
        (one.phase, one.since) = (after, now);
        let generation = one.generation;
        self.version += 1;
        out.push(Effect::Save);
        if after == Phase::Warm {
            self.restarts.on_success(generation);
            self.begin_to_compare(generation);
        }
    }

    /// From the first warm instance of a new generation on the two are compared.
    fn begin_to_compare(&mut self, generation: u32) {
        let Some(replacement) = self
            .replacement
            .as_mut()
            .filter(|one| one.generation == generation)
        else {
            return;
        };
        let first = !std::mem::replace(&mut replacement.compared, true);
        for one in &mut self.instances {
            let is_new = one.generation == generation;
            if one.phase == Phase::Warm && one.baseline.is_none() && (is_new || first) {
                one.baseline = Some(one.counts);
            }
        }
    }

    fn ended(&mut self, now: Micros, incarnation: u64, why: Option<String>, out: &mut Vec<Effect>) {
        let Some(place) = self
            .instances
            .iter()
            .position(|one| one.incarnation == incarnation)
        else {
            return;
        };
        let mut one = self.instances.remove(place);
        self.version += 1;
        self.keep_counts(&one);
        (one.since, one.process) = (now, None);
        let why = match (why, one.phase, one.killed) {
            // What hung was killed: that is why it failed.
            (Some(why), _, Some(_)) => Some(one.why.take().unwrap_or(why)),
            (why, ..) => why,
        };
        one.phase = if why.is_some() {
            Phase::Failed
        } else {
            Phase::Stopped
        };
        if let Some(why) = why {
            self.restarts.on_failure(now, one.generation);
            self.failed_at.insert(one.address, now);
            out.push(Effect::Note(Note::Failed(incarnation, why.clone())));
            one.why = Some(why);
            let limit = self.bounds.crashes;
            if let Some(replacement) = self
                .replacement
                .as_mut()
                .filter(|of| of.generation == one.generation)
            {
                replacement.crashes += 1;
                if replacement.crashes >= limit {
                    let text = format!(
                        "{} instances of the new generation failed",
                        replacement.crashes
                    );
                    self.halt(text, out);
                }
            }
        }
        self.gone.push_back(one);
        if self.gone.len() > SHOWN {
            self.gone.pop_front();
        }
        out.push(Effect::Save);
    }

    fn keep_counts(&mut self, one: &Instance) {
        let (Some(replacement), Some(baseline)) = (&mut self.replacement, one.baseline) else {
            return;
        };
        let side = usize::from(one.generation != replacement.generation);
        replacement.gone[side] = replacement.gone[side].plus(one.counts.since(baseline));
    }

    fn halt(&mut self, why: String, out: &mut Vec<Effect>) {
        let Some(replacement) = self
            .replacement
            .as_mut()
            .filter(|one| one.mode != Mode::Back)
        else {
            return;
        };
        replacement.mode = Mode::Back;
        replacement.halted = Some(why.clone());
        self.halted = Some(why.clone());
        out.push(Effect::Note(Note::Halted(why)));
        out.push(Effect::Save);
    }

    /// Whether the new generation answers worse than the old one.
    fn judge(&mut self, out: &mut Vec<Effect>) {
        let Some(replacement) = self
            .replacement
            .as_ref()
            .filter(|one| one.mode != Mode::Back)
        else {
            return;
        };
        let mut sides = replacement.gone;
        for one in &self.instances {
            if let Some(baseline) = one.baseline {
                let side = usize::from(one.generation != replacement.generation);
                sides[side] = sides[side].plus(one.counts.since(baseline));
            }
        }
        let regression: Option<Regression> =
            regression::detect_regression(sides[0], sides[1], &self.bounds.regression);
        if let Some(regression) = regression {
            self.halt(regression.to_string(), out);
        }
    }

    /// Time has passed.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let bounds = self.bounds;
        let mut slow = None;
        for one in &mut self.instances {
            let overdue = match one.phase {
                Phase::Starting => now >= one.since + bounds.start_within,
                Phase::Cold | Phase::Warm => now >= one.heard + bounds.silent_within,
                Phase::Draining => now >= one.since + bounds.drain_within,
                _ => false,
            };
            let cold = one.phase == Phase::Cold && now >= one.since + bounds.warm_within;
            if cold
                && self
                    .replacement
                    .as_ref()
                    .is_some_and(|of| of.generation == one.generation)
            {
                slow = Some(one.incarnation);
            }
            if !overdue || one.killed.is_some_and(|at| now < at + KILL_AGAIN) {
                continue;
            }
            if one.killed.replace(now).is_none() {
                if one.phase == Phase::Draining {
                    out.push(Effect::Note(Note::Overdue(one.incarnation)));
                } else {
                    let silent = if one.phase == Phase::Starting {
                        "it never said a word"
                    } else {
                        "it hung"
                    };
                    one.why = Some(silent.to_owned());
                }
                // Guards against counting on it after whoever runs this has died.
                out.push(Effect::Save);
            }
            out.push(Effect::Kill(one.incarnation));
        }
        if let Some(incarnation) = slow {
            self.halt(
                format!("instance {incarnation} of the new generation does not get warm"),
                out,
            );
        }
        self.work(now, out);
    }

    /// When something is due.
    #[must_use]
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let bounds = &self.bounds;
        let of = |one: &Instance| {
            let due = match one.phase {
                Phase::Planned => return None,
                Phase::Starting => one.since + bounds.start_within,
                Phase::Cold | Phase::Warm => one.heard + bounds.silent_within,
                Phase::Draining => one.since + bounds.drain_within,
                Phase::Stopped | Phase::Failed => return None,
            };
            Some(one.killed.map_or(due, |at| due.max(at + KILL_AGAIN)))
        };
        let new = self
            .replacement
            .as_ref()
            .filter(|one| one.mode != Mode::Back)
            .map(|one| one.generation);
        let warm = self
            .instances
            .iter()
            .filter(|one| one.phase == Phase::Cold && Some(one.generation) == new)
            .map(|one| one.since + bounds.warm_within);
        let starts = self
            .wanted()
            .into_iter()
            .filter(|(generation, want)| self.have(*generation) < *want);
        let starts = starts
            .map(|(generation, _)| self.restarts.earliest_start(now, generation))
            .filter(|at| *at > now);
        self.instances
            .iter()
            .filter_map(of)
            .chain(warm)
            .chain(starts)
            .min()
    }

    /// How many of each generation are wanted now.
    fn wanted(&self) -> Vec<(u32, usize)> {
        let all = self.bounds.instances;
        match &self.replacement {
            _ if self.ends => Vec::new(),
            None => vec![(self.stable, all)],
            Some(one) => vec![
                (one.generation, one.quota),
                (self.stable, all - one.quota.min(all)),
            ],
        }
    }

    fn have(&self, generation: u32) -> usize {
        self.instances
            .iter()
            .filter(|one| one.generation == generation && one.stays())
            .count()
    }

    /// Each step from what is to what is wanted that may be done now.
    fn work(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.judge(out);
        self.move_quota(out);
        if self.ends {
            let leaving: Vec<u64> = self
                .instances
                .iter()
                .filter(|one| one.stays())
                .map(|one| one.incarnation)
                .collect();
            leaving
                .into_iter()
                .for_each(|incarnation| self.tell_to_leave(now, incarnation, out));
            return;
        }
        self.let_go(now, out);
        self.start(now, out);
    }

    /// The new generation's share grows with what of it is warm, and not by time.
    fn move_quota(&mut self, out: &mut Vec<Effect>) {
        let (all, batch) = (self.bounds.instances, self.bounds.batch);
        let Some(replacement) = &mut self.replacement else {
            return;
        };
        let new = replacement.generation;
        let warm = |one: &&Instance, right: bool| {
            one.phase == Phase::Warm && (one.generation == new) == right
        };
        let warm_new = self.instances.iter().filter(|one| warm(one, true)).count();
        let others = |right| {
            self.instances
                .iter()
                .any(|one| (one.generation == new) == right)
        };
        let before = replacement.quota;
        replacement.quota = match replacement.mode {
            Mode::Rolling => before.max(all.min(warm_new + batch)),
            Mode::Paused => before,
            Mode::Back => 0,
        };
        let quota = replacement.quota;
        let mode = replacement.mode;
        if mode == Mode::Rolling && warm_new == all && !others(false) {
            self.finish(new, Note::Replaced(new), out);
        } else if mode == Mode::Back && !others(true) {
            let stable = self.stable;
            self.finish(stable, Note::WentBack(stable), out);
        } else if before != quota {
            out.push(Effect::Save);
        }
    }

    fn finish(&mut self, generation: u32, note: Note, out: &mut Vec<Effect>) {
        self.stable = generation;
        self.replacement = None;
        self.instances
            .iter_mut()
            .for_each(|one| one.baseline = None);
        out.push(Effect::Note(note));
        out.push(Effect::Save);
    }

    fn tell_to_leave(&mut self, now: Micros, incarnation: u64, out: &mut Vec<Effect>) {
        let Some(one) = self.find(incarnation) else {
            return;
        };
        // A process that is not there yet hears nothing: it is told once it is.
        if one.phase == Phase::Planned {
            return;
        }
        (one.phase, one.since) = (Phase::Draining, now);
        self.version += 1;
        out.push(Effect::Save);
        out.push(Effect::Leave(incarnation));
    }

    /// Tells instances to leave of which there are too many, as far as capacity stays at the floor.
    fn let_go(&mut self, now: Micros, out: &mut Vec<Effect>) {
        // Guards against standing still for ever: where a generation that was given up holds all addresses, one of it
        // that is not warm has to leave before anything else can be started, whatever it still serves.
        let most = self.bounds.instances + self.bounds.surge;
        let back = self
            .replacement
            .as_ref()
            .is_some_and(|one| one.mode == Mode::Back);
        let stuck =
            back && self.instances.len() >= most && self.have(self.stable) < self.bounds.instances;
        for (generation, want) in self.wanted() {
            while self.have(generation) > want {
                let warm = self
                    .instances
                    .iter()
                    .filter(|one| one.phase == Phase::Warm && one.killed.is_none());
                let warm = warm.count() as f64;
                let draining = self
                    .instances
                    .iter()
                    .filter(|one| one.phase == Phase::Draining)
                    .count();
                let capacity = self.capacity();
                // Those first that are worth least; among equals the oldest.
                let candidate = self
                    .instances
                    .iter()
                    .filter(|one| {
                        one.generation == generation && one.stays() && one.killed.is_none()
                    })
                    .filter(|one| one.phase != Phase::Planned)
                    .min_by(|a, b| {
                        a.weight()
                            .total_cmp(&b.weight())
                            .then(a.incarnation.cmp(&b.incarnation))
                    });
                let Some(one) = candidate else { break };
                let floor = self.bounds.floor();
                let fits = match one.phase {
                    // Guards against counting on what may never get warm: warm ones leave for warm ones.
                    Phase::Warm => warm - 1.0 + ROUNDING >= floor,
                    _ => {
                        warm >= floor
                            || capacity - one.weight() + ROUNDING >= floor
                            || stuck && draining == 0
                    }
                };
                // What serves nothing yet is no loss.
                if !(fits && draining < self.bounds.batch || !one.serves()) {
                    break;
                }
                let incarnation = one.incarnation;
                self.tell_to_leave(now, incarnation, out);
            }
        }
    }

    /// Starts what is missing, as far as there are addresses and what failed may be started again.
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let most = self.bounds.instances + self.bounds.surge;
        for (generation, want) in self.wanted() {
            while self.have(generation) < want && self.instances.len() < most {
                if self.restarts.earliest_start(now, generation) > now {
                    break;
                }
                let taken =
                    |address: &usize| self.instances.iter().any(|one| one.address == *address);
                // Guards against trying again and again an address that somebody else has taken.
                let last = |address: &usize| self.failed_at.get(address).copied().unwrap_or(0);
                let Some(address) = (0..most).filter(|address| !taken(address)).min_by_key(last)
                else {
                    return;
                };
                let incarnation = self.next_incarnation;
                self.next_incarnation += 1;
                self.version += 1;
                self.restarts.on_start(now, generation);
                self.instances.push(Instance {
                    incarnation,
                    generation,
                    address,
                    phase: Phase::Planned,
                    since: now,
                    process: None,
                    heard: now,
                    warmth: 0.0,
                    counts: RequestCounts::default(),
                    baseline: None,
                    killed: None,
                    why: None,
                });
                // Guards against an incarnation that comes twice after a crash of whoever runs this.
                out.push(Effect::Save);
                out.push(Effect::Spawn {
                    incarnation,
                    generation,
                    address,
                });
            }
        }
    }
}
