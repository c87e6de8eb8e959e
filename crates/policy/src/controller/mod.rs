//! Every decision of cleatpulley; the types it speaks are in `src/interface.rs`.
//!
//! Bassoon gapping decides the ordinary path: the smoothed backlog of requests that wait to call what lies
//! below sets a gap, and each admission closes that destination for one gap. Beside it stand a bound on the
//! calls in hand, a limit on the runs on the cores and a rank cut; the rest guards the four rules.

mod advice;
mod arrival;
mod calls;
mod cut;
mod drain;
mod gate;
mod held;
mod memory;
pub(crate) mod record;
mod runs;

use crate::interface::{Action, Class, Event, Micros, RequestId, Settings};
use drain::Drain;
use gate::Gate;
use record::{Pace, Record, Stage};
use std::collections::{BTreeMap, VecDeque};

type Actions = Vec<Action>;

/// Weight of one sample in a smoothed time: a small server sees one or two a second, and few must do.
const SMOOTH: f64 = 0.25;
/// Share by which the lag fades in a period: with nothing left to read, nobody would lower it.
const LAG_FADE: f64 = 0.01;
/// Periods in an answer's slack: a deadline is met with three of four still in hand.
const PERIODS_IN_SLACK: u64 = 4;
/// Share of a class's aim that its run is thought to take before one was seen.
const FIRST_GUESS: f64 = 0.25;
/// Share of the time between run and aim that held work may need: the rest absorbs uneven runs.
const HOLD_SHARE: f64 = 0.5;
/// Share of the memory, or of the crowd survived, that is used: what is not seen yet needs the rest.
const MARGIN: f64 = 0.85;

/// The overload controller of one server.
#[derive(Debug, Clone, Default)]
pub struct Controller {
    settings: Settings,
    random: u64,
    now: Micros,
    started: Micros,
    period: Micros,
    adjusted: Micros,
    requests: BTreeMap<RequestId, Record>,
    /// Entries in the table of keys and when they run out.
    entries: BTreeMap<RequestId, Micros>,
    /// Entries of a table that is kept for us, and whether it takes more.
    kept: usize,
    keeps: bool,
    pub(crate) paces: Vec<Pace>,
    /// First tries of each tenant, fading over the memory span.
    tries: Vec<f64>,
    pub(crate) gate: Gate,
    pub(crate) run_limit: f64,
    runnable: Option<f64>,
    /// When a run last ended or began to wait, or nothing was running.
    progress: Micros,
    /// Smoothed time that requests wait unread.
    pub(crate) lag: f64,
    /// Smoothed share of further tries among arrivals.
    pub(crate) again: f64,
    pub(crate) cut: f64,
    ranked: VecDeque<f64>,
    pub(crate) welcome: f64,
    advertised: f64,
    /// Requests read, fading over the memory span.
    arrivals: f64,
    /// How long a connection is kept that carries nothing.
    kept_idle: f64,
    drain: Option<Drain>,
    /// Runs, memory and calls of a process whose place we take.
    beside: (usize, f64, usize),
}

impl Controller {
    /// A controller for a server that has just started. Nothing is carried over from an earlier life.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let period = settings
            .tick
            .max(settings.answer_slack / PERIODS_IN_SLACK)
            .max(1);
        let guess = if settings.cold_start {
            2.0 * FIRST_GUESS
        } else {
            FIRST_GUESS
        };
        let pace = |class: &Class| Pace {
            run_time: (guess * class.aim as f64).max(1.0),
            ..Pace::default()
        };
        Self {
            random: seed,
            period,
            keeps: true,
            paces: settings.classes.iter().map(pace).collect(),
            tries: vec![0.0; settings.tenants.len().max(1)],
            gate: Gate::new(&settings, period),
            run_limit: f64::from(settings.cores.max(1)),
            ranked: VecDeque::with_capacity(cut::RANKED),
            welcome: 1.0,
            advertised: 1.0,
            kept_idle: settings.idle as f64,
            settings,
            ..Self::default()
        }
    }

    /// Hears the events of one moment and appends what is to be done about them.
    pub fn step(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            self.hear(event, actions);
        }
        if self.now >= self.adjusted + self.period {
            self.adjust(actions);
        }
        self.keep_deadlines(actions);
        self.shed(actions);
        self.make_calls(actions);
        self.start_runs(actions);
    }

    fn hear(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match *event {
            Event::Started => self.start(actions),
            Event::Arrived(ref request) => self.arrive(request, actions),
            Event::Gone(id) => self.close(id, actions),
            Event::CallNeeded(id) => {
                self.progress = self.now;
                self.put(id, Stage::AwaitingCall);
            }
            Event::CallEnded {
                id,
                outcome,
                elapsed,
            } => self.call_ended(id, outcome, elapsed, actions),
            Event::RunEnded {
                id,
                outcome,
                elapsed,
            } => self.run_ended(id, outcome, elapsed, actions),
            Event::Timer { gauges, .. } => {
                self.runnable = gauges.runnable;
                actions.push(Action::Timer {
                    at: self.now + self.period,
                    token: 0,
                });
            }
            Event::Drain { stop_at } => self.begin_drain(stop_at, false, actions),
            Event::Succeeded { stop_at } => self.begin_drain(stop_at, true, actions),
            Event::Beside {
                running,
                memory_kb,
                calls,
            } => self.beside = (running, memory_kb, calls),
            Event::Kept { entries, room } => (self.kept, self.keeps) = (entries, room),
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        (self.started, self.adjusted, self.progress) = (self.now, self.now, self.now);
        // Checks that do real work would take cores and calls from requests.
        actions.push(Action::Health {
            good: true,
            from_state: true,
        });
        actions.push(Action::Timer {
            at: self.now + self.period,
            token: 0,
        });
    }

    fn adjust(&mut self, actions: &mut Vec<Action>) {
        let passed = self.now - self.adjusted;
        self.adjusted = self.now;
        self.entries.retain(|_, until| *until > self.adjusted);
        let keep = (1.0 - passed as f64 / self.memory_span()).max(0.0);
        self.tries
            .iter_mut()
            .chain([&mut self.arrivals])
            .for_each(|count| *count *= keep);
        let must = |r: &&Record| r.stage == Stage::AwaitingCall && must_call(self.class(r));
        let backlog = self.requests.values().filter(must).count(); // The others go on without one.
        let in_hand = self.calls_in_hand();
        self.gate.adjust(self.now, passed, backlog, in_hand);
        self.adjust_run_limit();
        self.lag *= 1.0 - LAG_FADE;
        self.adjust_cut(passed);
        self.advertise(actions);
        self.close_idle(actions);
    }

    /// The next number of this instance's own sequence, from 0 to 1 (splitmix64).
    fn next_random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn must_call(class: &Class) -> bool {
    class.calls && class.skip_worth == 0.0
}

fn smooth(old: f64, sample: f64) -> f64 {
    old + SMOOTH * (sample - old)
}
