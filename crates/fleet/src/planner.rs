//! What a replacement would come to, before anything is touched: the plan itself is played with instances that start, warm
//! and drain as told, for each way to go about it, and the quickest is taken whose capacity stays above demand. Where
//! none does, the limit that forbids it is named, and by how much it would have to give.

use crate::plan::{Bounds, Effect, Event, Exit, Phase, Plan, Process, Refused, Status};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Capacity is looked at so often, and whenever something happens.
const SAMPLE: Micros = 250_000;
/// An instance says so often how warm it is.
const SAYS: Micros = 100_000;
/// No replacement is played for longer.
const LONGEST: Micros = 6 * 3_600_000_000;
/// Deadlines of the plan play no part here.
const NEVER: Micros = Micros::MAX / 8;

/// What instances on a host are like.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Cores of the host.
    pub cores: f64,
    /// Cores that one instance at its full rate takes.
    pub cores_each: f64,
    /// Requests a second that a warm instance can do.
    pub rate_each: f64,
    /// Time from a start to the first word.
    pub start: Micros,
    /// Speed at the first word, as a share of a warm one's.
    pub cold_from: f64,
    /// Time from the first word until it is warm; the speed grows evenly.
    pub warm_after: Micros,
    /// Time from being told to leave to the end.
    pub drain: Micros,
}

/// Requests a second that are expected, by time from the beginning on; between two points along a line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forecast(pub Vec<(Micros, f64)>);

impl Forecast {
    /// What is expected then: before the first point as there, after the last as there.
    #[must_use]
    pub fn at(&self, time: Micros) -> f64 {
        let after = self
            .0
            .iter()
            .position(|point| point.0 > time)
            .unwrap_or(self.0.len());
        match (after.checked_sub(1).map(|i| self.0[i]), self.0.get(after)) {
            (Some((from, low)), Some(&(to, high))) => {
                low + (high - low) * (time - from) as f64 / (to - from).max(1) as f64
            }
            (Some((_, last)), None) => last,
            (None, Some(&(_, first))) => first,
            (None, None) => 0.0,
        }
    }

    /// The most that is expected at any time.
    #[must_use]
    pub fn peak(&self) -> f64 {
        self.0.iter().map(|point| point.1).fold(0.0, f64::max)
    }
}

/// What is asked.
#[derive(Debug, Clone)]
pub struct Question {
    /// Bounds of the fleet; its batch is the largest that may be taken, its surge too.
    pub bounds: Bounds,
    /// What instances are like.
    pub host: Host,
    /// What is expected.
    pub demand: Forecast,
    /// Capacity has to be above demand by this share.
    pub headroom: f64,
}

/// What happens in a course.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// A new instance is started.
    Start,
    /// It is warm.
    Warm,
    /// An old one is told to leave.
    Leave,
    /// It is gone.
    Gone,
}

/// A step of a course.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Step {
    /// When, from the beginning on.
    pub at: Micros,
    /// What.
    pub what: What,
    /// With which instance.
    pub incarnation: u64,
    /// At which address.
    pub address: usize,
}

/// A way to replace all.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Course {
    /// So many at once.
    pub batch: usize,
    /// So many more than usual.
    pub surge: usize,
    /// How long it takes; none where it does not end.
    pub takes: Option<Micros>,
    /// The least of capacity beyond what is needed, in requests a second, and when.
    pub margin: (f64, Micros),
    /// The most cores that processes would take together.
    pub cores: f64,
    /// What happens.
    pub steps: Vec<Step>,
    /// Time, capacity and what is needed.
    pub samples: Vec<(Micros, f64, f64)>,
}

impl Course {
    fn holds(&self) -> bool {
        self.takes.is_some() && self.margin.0 >= 0.0
    }
}

/// What forbids it.
#[derive(Debug, Clone, PartialEq, Serialize, thiserror::Error)]
pub enum Limit {
    /// There is too much load for the fleet as it stands.
    #[error("load: without any replacement {needed:.1} requests a second are needed and {there:.1} are there, {:.1} short", needed - there)]
    Load {
        /// What is needed.
        needed: f64,
        /// What there is.
        there: f64,
    },
    /// More instances would have to exist at once.
    #[error("surge: {allowed} are allowed, {needed} would do")]
    Surge {
        /// What is allowed.
        allowed: usize,
        /// What would do.
        needed: usize,
    },
    /// More cores would be needed.
    #[error("cores: there are {there:.1}, {needed:.1} would do")]
    Cores {
        /// What there is.
        there: f64,
        /// What would do.
        needed: f64,
    },
    /// The load would have to be lower meanwhile.
    #[error("load meanwhile: {short:.1} requests a second too much at {:.1} s, whatever the surge", *at as f64 / 1e6)]
    Meanwhile {
        /// By how much.
        short: f64,
        /// When.
        at: Micros,
    },
}

/// What came of the question.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Answer {
    /// This is the quickest way.
    Possible(Course),
    /// There is none: the way that comes nearest, and what forbids it.
    Impossible(Box<Course>, Limit),
}

/// Answers a question.
///
/// # Errors
/// Where the bounds are none.
pub fn answer(question: &Question) -> Result<Answer, Refused> {
    Bounds {
        surge: question.bounds.surge.max(1),
        ..question.bounds
    }
    .check()?;
    let best = search(question, question.bounds.surge);
    if let Some(course) = best.as_ref().filter(|course| course.holds()) {
        return Ok(Answer::Possible(course.clone()));
    }
    let limit = limit(question);
    let nearest = best.or_else(|| search(question, question.bounds.surge.max(1)));
    let nearest = nearest.ok_or(Refused::Bound("batch: no way to replace anything"))?;
    Ok(Answer::Impossible(Box::new(nearest), limit))
}

fn limit(question: &Question) -> Limit {
    let (host, bounds) = (&question.host, &question.bounds);
    let needed = question.demand.peak() * (1.0 + question.headroom);
    let there = capacity(host, bounds.instances as f64);
    if needed > there {
        return Limit::Load { needed, there };
    }
    let wide = bounds.instances;
    let holds = |question: &Question, surge| search(question, surge).filter(Course::holds);
    if holds(question, wide).is_some() {
        // The fewest that would do; more never harm.
        let needed = (bounds.surge + 1..=wide).find(|surge| holds(question, *surge).is_some());
        return Limit::Surge {
            allowed: bounds.surge,
            needed: needed.unwrap_or(wide),
        };
    }
    let free = Question {
        host: Host {
            cores: f64::MAX,
            ..*host
        },
        ..question.clone()
    };
    if let Some(course) = holds(&free, wide) {
        return Limit::Cores {
            there: host.cores,
            needed: course.cores,
        };
    }
    let best = search(&free, wide).map_or((0.0, 0), |course| course.margin);
    Limit::Meanwhile {
        short: -best.0,
        at: best.1,
    }
}

/// What so many warm instances can do on the host's cores.
fn capacity(host: &Host, warm: f64) -> f64 {
    (warm * host.rate_each).min(host.cores / host.cores_each.max(1e-9) * host.rate_each)
}

/// The best of the ways with at most this surge: the quickest that holds, or the one with the largest margin.
fn search(question: &Question, surge: usize) -> Option<Course> {
    let mut best: Option<Course> = None;
    for surge in steps_to(surge, true) {
        for batch in steps_to(question.bounds.batch.min(question.bounds.instances), false) {
            let Some(course) = play(question, batch, surge) else {
                continue;
            };
            let better = best
                .as_ref()
                .is_none_or(|best| match (course.holds(), best.holds()) {
                    (true, true) => course.takes < best.takes,
                    (false, false) => course.margin.0 > best.margin.0,
                    (holds, _) => holds,
                });
            if better {
                best = Some(course);
            }
        }
    }
    best
}

/// Numbers up to this one: each of the small, fewer of the large.
fn steps_to(most: usize, zero: bool) -> Vec<usize> {
    let mut all: Vec<usize> = if zero { vec![0] } else { Vec::new() };
    let mut next = 1;
    while next < most {
        all.push(next);
        next += (next / 4).max(1);
    }
    if most > 0 {
        all.push(most);
    }
    all
}

/// Plays a replacement; nothing where it could not begin.
#[must_use]
pub fn play(question: &Question, batch: usize, surge: usize) -> Option<Course> {
    let host = question.host;
    let bounds = Bounds {
        batch,
        surge,
        start_within: NEVER,
        warm_within: NEVER,
        drain_within: NEVER,
        silent_within: NEVER,
        ..question.bounds
    };
    let mut stage = Stage {
        plan: Plan::new(bounds, 1, 0).ok()?,
        host,
        due: BTreeMap::new(),
        order: 0,
        fleet_is_up: false,
        steps: Vec::new(),
    };
    let mut out = Vec::new();
    stage.plan.recover(0, Vec::new(), &mut out);
    stage.obey(0, out);
    stage.run(0);
    stage.fleet_is_up = true;
    let mut out = Vec::new();
    stage.plan.replace(0, 2, &mut out).ok()?;
    stage.obey(0, out);
    let mut course = Course {
        batch,
        surge,
        takes: None,
        margin: (f64::INFINITY, 0),
        cores: 0.0,
        steps: Vec::new(),
        samples: Vec::new(),
    };
    let (mut now, mut sampled) = (0, 0);
    loop {
        stage.run(now);
        course.look(question, &stage.plan, now);
        if stage.plan.at_rest() && stage.due.is_empty() {
            course.takes = Some(now);
            break;
        }
        let Some(next) = stage.due.keys().next().map(|due| due.0) else {
            break;
        };
        sampled = sampled.max(now) + SAMPLE;
        now = next.min(sampled).max(now);
        if now > LONGEST {
            break;
        }
    }
    course.steps = stage.steps;
    Some(course)
}

impl Course {
    fn look(&mut self, question: &Question, plan: &Plan, now: Micros) {
        let host = &question.host;
        let there = capacity(host, plan.capacity());
        let needed = question.demand.at(now) * (1.0 + question.headroom);
        if there - needed < self.margin.0 {
            self.margin = (there - needed, now);
        }
        let runs = plan
            .instances()
            .iter()
            .filter(|one| one.phase != Phase::Planned)
            .count();
        self.cores = self.cores.max(runs as f64 * host.cores_each);
        if self
            .samples
            .last()
            .is_none_or(|last| now >= last.0 + SAMPLE || last.1 != there)
        {
            self.samples.push((now, there, needed));
        }
    }
}

/// Instances that do as they are told.
struct Stage {
    plan: Plan,
    host: Host,
    due: BTreeMap<(Micros, u64), Event>,
    order: u64,
    fleet_is_up: bool,
    steps: Vec<Step>,
}

impl Stage {
    fn later(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.due.insert((at, self.order), event);
    }

    fn step(&mut self, at: Micros, what: What, incarnation: u64) {
        let one = self
            .plan
            .instances()
            .iter()
            .find(|one| one.incarnation == incarnation);
        if let (Some(one), true) = (one, self.fleet_is_up) {
            self.steps.push(Step {
                at,
                what,
                incarnation,
                address: one.address,
            });
        }
    }

    fn obey(&mut self, now: Micros, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Spawn { incarnation, .. } => {
                    self.step(now, What::Start, incarnation);
                    self.later(
                        now,
                        Event::Spawned(
                            incarnation,
                            Process {
                                pid: 1,
                                start: incarnation,
                            },
                        ),
                    );
                    let says = |warmth| {
                        Event::Heard(
                            incarnation,
                            Status {
                                warmth,
                                ..Status::default()
                            },
                        )
                    };
                    if !self.fleet_is_up {
                        self.later(now, says(1.0));
                        continue;
                    }
                    let (host, begins) = (self.host, now + self.host.start);
                    let mut passed = 0;
                    while passed < host.warm_after {
                        let share = passed as f64 / host.warm_after as f64;
                        self.later(
                            begins + passed,
                            says(host.cold_from + (1.0 - host.cold_from) * share),
                        );
                        passed += SAYS;
                    }
                    self.later(begins + host.warm_after, says(1.0));
                }
                Effect::Leave(incarnation) => {
                    self.step(now, What::Leave, incarnation);
                    self.later(
                        now + self.host.drain,
                        Event::Exited(incarnation, Exit::Clean),
                    );
                }
                Effect::Kill(incarnation) => {
                    self.later(now, Event::Exited(incarnation, Exit::Signal(9)));
                }
                Effect::Save | Effect::Note(_) => {}
            }
        }
    }

    /// All that is due by now.
    fn run(&mut self, now: Micros) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let event = entry.remove();
            let (Event::Spawned(incarnation, _)
            | Event::NotSpawned(incarnation, _)
            | Event::Heard(incarnation, _)
            | Event::Exited(incarnation, _)) = event;
            let phase = |plan: &Plan| {
                plan.instances()
                    .iter()
                    .find(|one| one.incarnation == incarnation)
                    .map(|one| one.phase)
            };
            let before = phase(&self.plan);
            if matches!(event, Event::Exited(..)) {
                self.step(now, What::Gone, incarnation);
            }
            let mut out = Vec::new();
            self.plan.handle(now, event, &mut out);
            if before != Some(Phase::Warm) && phase(&self.plan) == Some(Phase::Warm) {
                self.step(now, What::Warm, incarnation);
            }
            self.obey(now, out);
        }
    }
}
