//! Trials of the plan: processes that fail to start, die, hang, ignore what they are told or answer worse, a daemon that
//! dies between any two effects and reads back what was saved, operators who change their minds; all from a seed. What
//! the plan promises is judged from the processes' own books.

use crate::plan::{
    Bounds, Effect, Event, Exit, Instance, Mode, Note, Phase, Plan, Process, Status, WARM,
};
use crate::regression::{RegressionThresholds, RequestCounts};
use crate::restart::RestartPolicy;
use crate::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const TICK: Micros = 100_000;
const SECOND: Micros = 1_000_000;
/// Until then things go wrong by chance.
const TROUBLE: Micros = 60 * SECOND;
/// By then all has to be at rest.
const END: Micros = 400 * SECOND;
/// Slack of a sum.
const ROUNDING: f64 = 1e-6;

/// How a generation is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Good,
    /// Each process dies soon after its start.
    Crashes,
    /// It refuses far more.
    Refuses,
    /// It never gets warm.
    Cold,
}

#[derive(Debug)]
struct Running {
    address: usize,
    generation: u32,
    process: Process,
    born: Micros,
    speaks_from: Micros,
    counts: RequestCounts,
    warmth: f64,
    hangs: bool,
    deaf: bool,
    leaves_at: Option<Micros>,
    told: bool,
    /// The plan knows that it was told to leave.
    known: bool,
    killed: bool,
}

/// What a trial came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// What was broken.
    pub broken: Vec<String>,
    /// How often what was met.
    pub met: BTreeMap<&'static str, u64>,
    /// When all was at rest, in microseconds.
    pub rested: Micros,
}

struct Trial {
    random: SmallRng,
    bounds: Bounds,
    now: Micros,
    plan: Plan,
    saved: String,
    running: BTreeMap<u64, Running>,
    seen: BTreeSet<u64>,
    news: Vec<Event>,
    kinds: BTreeMap<u32, Kind>,
    pids: u32,
    outcome: Outcome,
    ending: bool,
}

fn bounds(random: &mut SmallRng) -> Bounds {
    let instances = random.random_range(1..9);
    let surge = random.random_range(0..4);
    let most = instances as f64 - if surge == 0 { 1.0 } else { 0.0 };
    Bounds {
        instances,
        surge,
        batch: random.random_range(1..5),
        minimum: (random.random_range(0.0..=1.0) * most).floor(),
        start_within: 2 * SECOND,
        warm_within: 20 * SECOND,
        drain_within: 4 * SECOND,
        silent_within: SECOND,
        crashes: 3,
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

/// Plays one trial.
#[must_use]
pub fn play(seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let bounds = bounds(&mut random);
    // The bounds are made to be ones that the plan takes.
    let Ok(plan) = Plan::new(bounds, 1, seed) else {
        return Outcome {
            broken: vec!["bounds are refused".to_owned()],
            ..Outcome::default()
        };
    };
    let mut trial = Trial {
        saved: String::new(),
        random,
        bounds,
        now: 0,
        plan,
        running: BTreeMap::new(),
        seen: BTreeSet::new(),
        news: Vec::new(),
        kinds: BTreeMap::from([(1, Kind::Good)]),
        pids: 100,
        outcome: Outcome::default(),
        ending: false,
    };
    trial.saved = trial.text();
    let mut out = Vec::new();
    trial.plan.recover(0, Vec::new(), &mut out);
    trial.obey(out);
    while trial.now < END && trial.outcome.broken.is_empty() {
        trial.now += TICK;
        trial.turn();
        if trial.now > TROUBLE && trial.plan.at_rest() {
            break;
        }
    }
    trial.close();
    trial.outcome
}

impl Trial {
    fn text(&self) -> String {
        serde_json::to_string(&self.plan).unwrap_or_default()
    }

    fn meet(&mut self, what: &'static str) {
        *self.outcome.met.entry(what).or_default() += 1;
    }

    fn wrong(&mut self, what: String) {
        self.outcome
            .broken
            .push(format!("at {:.1} s: {what}", self.now as f64 / 1e6));
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.now < TROUBLE && self.random.random_range(0..1_000) < per_mille
    }

    fn turn(&mut self) {
        self.operate();
        self.live();
        self.deliver();
        let mut out = Vec::new();
        self.plan.advance(self.now, &mut out);
        self.obey(out);
        if self.chance(3) {
            self.daemon_dies();
        }
    }

    fn deliver(&mut self) {
        for event in std::mem::take(&mut self.news) {
            let mut out = Vec::new();
            self.plan.handle(self.now, event, &mut out);
            self.obey(out);
        }
    }

    /// Operators: a new generation now and then, and other commands.
    fn operate(&mut self) {
        let mut out = Vec::new();
        let now = self.now;
        if self.plan.replacement().is_none() && self.chance(12) {
            let generation = self.kinds.len() as u32 + 1;
            let kind = match self.random.random_range(0..6) {
                0 => Kind::Crashes,
                1 => Kind::Refuses,
                2 => Kind::Cold,
                _ => Kind::Good,
            };
            self.kinds.insert(generation, kind);
            if self.plan.replace(now, generation, &mut out).is_ok() {
                self.meet(match kind {
                    Kind::Good => "replacement by a good generation",
                    Kind::Crashes => "replacement by one that crashes",
                    Kind::Refuses => "replacement by one that refuses more",
                    Kind::Cold => "replacement by one that stays cold",
                });
            }
        }
        if self.chance(4) && self.plan.pause(now, &mut out).is_ok() {
            self.meet("paused");
        }
        let paused = self
            .plan
            .replacement()
            .is_some_and(|one| one.mode == Mode::Paused);
        if (self.chance(30) || paused && self.now >= TROUBLE)
            && self.plan.resume(now, &mut out).is_ok()
        {
            self.meet("resumed");
        }
        if self.chance(2) && self.plan.roll_back(now, &mut out).is_ok() {
            self.meet("rolled back by hand");
        }
        self.obey(out);
    }

    /// Processes live on for a tick.
    fn live(&mut self) {
        let ids: Vec<u64> = self.running.keys().copied().collect();
        for id in ids {
            // What one did is told before the next does anything.
            self.deliver();
            let draw = [self.chance(2), self.chance(1), self.chance(1)];
            let (now, served) = (self.now, self.random.random_range(5..30));
            let Some(one) = self.running.get_mut(&id) else {
                continue;
            };
            let kind = self.kinds[&one.generation];
            let age = now - one.born;
            let exit = match () {
                () if one.killed => Some(Exit::Signal(9)),
                () if one.leaves_at.is_some_and(|at| now >= at) => Some(Exit::Clean),
                () if kind == Kind::Crashes && age > SECOND => Some(Exit::Status(101)),
                () if draw[0] => Some(Exit::Signal(11)),
                () => None,
            };
            if let Some(exit) = exit {
                if one.told && !one.killed && exit != Exit::Clean {
                    *self.outcome.met.entry("crash within a drain").or_default() += 1;
                } else if now < one.speaks_from && exit != Exit::Clean {
                    *self
                        .outcome
                        .met
                        .entry("death before the first word")
                        .or_default() += 1;
                }
                self.running.remove(&id);
                self.news.push(Event::Exited(id, exit));
                continue;
            }
            one.hangs |= draw[1];
            if draw[2] && !one.told {
                // Somebody tells it to leave by hand.
                one.leaves_at = Some(now + SECOND);
                one.told = true;
            }
            if one.hangs || now < one.speaks_from {
                continue;
            }
            let warm = (now - one.speaks_from) as f64 / (4 * SECOND) as f64;
            one.warmth = if kind == Kind::Cold {
                0.3
            } else {
                (0.25 + 0.75 * warm).min(1.0)
            };
            if kind == Kind::Refuses {
                one.counts.rejected += served;
            }
            one.counts.served += served;
            one.known |= one.told;
            let status = Status {
                warmth: one.warmth,
                counts: one.counts,
                drains: one.told,
            };
            self.news.push(Event::Heard(id, status));
        }
    }

    fn obey(&mut self, effects: Vec<Effect>) {
        // The daemon may die between any two of them.
        let dies = if self.chance(6) {
            Some(self.random.random_range(0..=effects.len()))
        } else {
            None
        };
        for (n, effect) in effects.into_iter().enumerate() {
            if dies == Some(n) {
                self.daemon_dies();
                return;
            }
            match effect {
                Effect::Save => self.saved = self.text(),
                Effect::Spawn {
                    incarnation,
                    generation,
                    address,
                } => {
                    self.spawn(incarnation, generation, address);
                }
                Effect::Leave(incarnation) => self.leave(incarnation),
                Effect::Kill(incarnation) => {
                    self.meet("killed");
                    if let Some(one) = self.running.get_mut(&incarnation) {
                        one.killed = true;
                    }
                }
                Effect::Note(Note::Halted(_)) => self.meet("halted by itself"),
                Effect::Note(Note::Replaced(generation)) => {
                    self.meet("replaced");
                    if self.kinds[&generation] != Kind::Good
                        && self.kinds[&generation] != Kind::Refuses
                    {
                        self.wrong(format!(
                            "a bad generation {generation} has replaced a good one"
                        ));
                    }
                }
                Effect::Note(Note::WentBack(_)) => self.meet("went back"),
                Effect::Note(Note::Overdue(_)) => self.meet("left too late"),
                Effect::Note(Note::Failed(..)) => self.meet("failed"),
            }
        }
    }

    fn spawn(&mut self, incarnation: u64, generation: u32, address: usize) {
        if !self.seen.insert(incarnation) {
            self.wrong(format!("incarnation {incarnation} comes twice"));
        }
        if let Some((other, _)) = self.running.iter().find(|(_, one)| one.address == address) {
            let other = *other;
            self.wrong(format!(
                "address {address} has two owners: {other} and {incarnation}"
            ));
        }
        if self.running.len() >= self.bounds.instances + self.bounds.surge {
            self.wrong("more processes than instances and surge".to_owned());
        }
        if self.chance(60) {
            self.meet("no process could be started");
            self.news
                .push(Event::NotSpawned(incarnation, "no descriptors".to_owned()));
            return;
        }
        // Process ids come again soon.
        self.pids = 100 + (self.pids + 1) % 12;
        let process = Process {
            pid: self.pids,
            start: self.now + incarnation,
        };
        let (hangs, deaf) = (self.chance(20), self.chance(50));
        let running = Running {
            address,
            generation,
            process,
            born: self.now,
            speaks_from: self.now + self.random.random_range(1..8) * TICK,
            counts: RequestCounts::default(),
            warmth: 0.0,
            hangs,
            deaf,
            leaves_at: None,
            told: false,
            known: false,
            killed: false,
        };
        self.running.insert(incarnation, running);
        self.news.push(Event::Spawned(incarnation, process));
    }

    fn leave(&mut self, incarnation: u64) {
        // What instances last said of themselves, those that leave or were killed left out.
        let weight = |one: &Running| match (one.known || one.killed, one.warmth) {
            (true, _) => 0.0,
            (false, warmth) if warmth >= WARM => 1.0,
            (false, warmth) => warmth,
        };
        let all: f64 = self.running.values().map(weight).sum();
        let Some(one) = self.running.get_mut(&incarnation) else {
            return;
        };
        let own = weight(one);
        (one.told, one.known) = (true, true);
        let drain = TICK * self.random.random_range(3..20);
        if !one.deaf {
            one.leaves_at = Some(self.now + drain);
        }
        if self.ending || own == 0.0 || all - own + ROUNDING >= self.bounds.minimum {
            return;
        }
        // The one exception that the plan makes.
        let back = self
            .plan
            .replacement()
            .is_some_and(|one| one.mode == Mode::Back);
        let full = self.plan.instances().len() == self.bounds.instances + self.bounds.surge;
        let said = |one: &Instance| one.incarnation == incarnation && one.warmth < WARM;
        if back && full && self.plan.instances().iter().any(said) {
            return self.meet("a cold one made room on the way back");
        }
        let minimum = self.bounds.minimum;
        self.wrong(format!(
            "{incarnation} is told to leave: {all:.2} less {own:.2} is below {minimum}"
        ));
    }

    /// The daemon dies and comes back: what was saved is read, and what is not so any more is told.
    fn daemon_dies(&mut self) {
        self.meet("daemon died");
        match serde_json::from_str(&self.saved) {
            Ok(plan) => self.plan = plan,
            Err(e) => return self.wrong(format!("what was saved can't be read: {e}")),
        }
        self.news.clear();
        let known: Vec<_> = self
            .plan
            .instances()
            .iter()
            .map(|one| (one.incarnation, one.process))
            .collect();
        let mut events = Vec::new();
        for (incarnation, process) in known {
            match self.running.get(&incarnation) {
                Some(one) if process.is_none_or(|known| known == one.process) => {
                    events.push(Event::Spawned(incarnation, one.process));
                }
                _ => events.push(Event::Exited(incarnation, Exit::Unseen)),
            }
        }
        let known: BTreeSet<u64> = self
            .plan
            .instances()
            .iter()
            .map(|one| one.incarnation)
            .collect();
        if let Some(id) = self.running.keys().find(|id| !known.contains(id)).copied() {
            self.wrong(format!(
                "{id} runs, and the daemon that came back does not know of it"
            ));
        }
        let mut out = Vec::new();
        // Those who were told to leave just before may not have heard it.
        let leaving: Vec<u64> = self
            .plan
            .instances()
            .iter()
            .filter(|one| one.phase == Phase::Draining)
            .map(|one| one.incarnation)
            .collect();
        // What the old daemon had heard and not saved, the new one does not know.
        self.running
            .iter_mut()
            .for_each(|(id, one)| one.known &= leaving.contains(id));
        for id in leaving {
            if let Some(one) = self.running.get_mut(&id).filter(|one| !one.told) {
                (one.told, one.known) = (true, true);
                one.leaves_at = (!one.deaf).then_some(self.now + SECOND);
            }
        }
        self.plan.recover(self.now, events, &mut out);
        self.obey(out);
    }

    fn close(&mut self) {
        if !self.outcome.broken.is_empty() {
            return;
        }
        if !self.plan.at_rest() {
            let state: Vec<_> = self
                .plan
                .instances()
                .iter()
                .map(|one| format!("{} g{} {:?}", one.incarnation, one.generation, one.phase))
                .collect();
            return self.wrong(format!(
                "not at rest: {}; {:?}; {:?}",
                state.join(", "),
                self.plan.replacement(),
                self.bounds
            ));
        }
        if self.running.len() != self.bounds.instances {
            self.wrong(format!(
                "{} processes for {} instances",
                self.running.len(),
                self.bounds.instances
            ));
        }
        self.outcome.rested = self.now;
        self.ending = true;
        let mut out = Vec::new();
        self.plan.end(self.now, &mut out);
        self.obey(out);
        for _ in 0..200 {
            self.now += TICK;
            self.turn();
        }
        if !self.plan.at_rest() || !self.running.is_empty() {
            self.wrong("the fleet does not end".to_owned());
        }
    }
}
