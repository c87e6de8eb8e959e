//! Every decision of cleatpulley; the types it speaks are in `src/interface.rs`.
//!
//! Bassoon gapping decides the ordinary path: the smoothed backlog of requests that wait to call what lies
//! below sets a gap, and each admission closes that destination for one gap. Beside it stand a bound on the
//! calls in hand, a limit on the runs on the cores and a rank cut; the rest guards the four rules.

use crate::interface::{
    Action, Advert, Below, Class, Effect, Event, Micros, Outcome, Request, RequestId, Settings,
};
use std::collections::{BTreeMap, VecDeque};

/// Weight of the past in the smoothed backlog, as the paper has it.
const ALPHA: f64 = 0.9;
/// The gap shrinks to no less than this share of itself in one period, as the paper has it.
const PHI_MIN: f64 = 0.2;
/// A gap of this share of the call latency or less spaces nothing out: it counts as none.
const GAP_FLOOR: f64 = 0.1;
/// The longest gap in call latencies: one that outlives the trouble by more would idle a healed dependency.
const GAP_CEILING: f64 = 2.0;
/// Calls falter when their smoothed latency is this multiple of the usual, as DESIGN has it.
const FALTER: f64 = 2.0;
/// Weight of one sample in a smoothed time: a change must be met within few samples, of which a small server
/// sees one or two a second.
const SMOOTH: f64 = 0.25;
/// Weight of a call in the usual latency: a trouble is not taken for the usual, but a new state is, in time.
const USUAL_SMOOTH: f64 = 0.002;
/// Call latencies for which no call is made after one failed: one that is down gets no storm of repeats.
const CALL_PAUSE: f64 = 2.0;
/// Call latencies, and two periods at the least, for which the reply to a call is waited for.
const CALL_PATIENCE: f64 = 8.0;
/// Share of the told calls below which their bound is not halved: what lies below was measured to survive
/// them, and fewer leave answers poorer for nothing.
const LEAST_SHARE: f64 = 0.5;
/// Weight by which the latency nears the usual in a call latency without any call: a belief that keeps calls
/// from being made would otherwise never be put right.
const LATENCY_FADE: f64 = 0.25;
/// Share of its span for which the calls' mean may run ahead: little beside what the mean forgives.
const BURST_SHARE: f64 = 0.1;
/// Share of a run's time that its hint stands for: waits do not grow with work, and hints are rough.
const HINT_SHARE: f64 = 0.5;
/// Periods in an answer's slack: a deadline is met with three of four still in hand.
const PERIODS_IN_SLACK: u64 = 4;
/// Share of a class's aim that its run is thought to take before one was seen.
const FIRST_GUESS: f64 = 0.25;
/// Share of the time between run and aim that held work may need: the rest absorbs uneven runs.
const HOLD_SHARE: f64 = 0.5;
/// Share of the memory, or of the crowd survived, that is used: what is not seen yet needs the rest.
const MARGIN: f64 = 0.85;
/// Share of the crowd survived that running requests may make.
const CROWD_MARGIN: f64 = 0.5;
/// Work demanding each core from which the run limit shrinks: one run beside one reading or new connection.
const FULL_CORES: f64 = 2.0;
/// Step of the run limit in one period, as a share of the cores.
const RUN_STEP: f64 = 0.05;
/// Share by which the lag fades in a period: with nothing left to read, nobody would lower it.
const LAG_FADE: f64 = 0.01;
/// Share of further tries among arrivals from which a refusal is to be the last: the others refuse too.
const LAST_AGAIN: f64 = 0.1;
/// Weight of one arrival in the share of further tries.
const AGAIN_SMOOTH: f64 = 0.03;
/// The same by the unread wait, as a share of what held work is allowed: a reading elsewhere costs too much.
const LAST_LAG: f64 = 0.3;
/// Arrivals that the rank cut is measured against: enough for steps of two in a hundred.
const RANKED: usize = 64;
/// Least chance that callers are asked to leave us: with none, a recovered server would hear of nobody.
const ADVERT_FLOOR: f64 = 0.1;
/// Requests for each lane that one caller may have here: one that runs and one that is on its way or waits.
const ROUNDS: f64 = 2.0;
/// The advertised value is renewed when it has moved by this much.
const ADVERT_STEP: f64 = 0.03;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Held,
    Running,
    AwaitingCall,
    Calling,
    /// Waits for the outcome of the request it repeats.
    Sharing(RequestId),
}

/// A request that is not over: it owes an answer, or it still occupies a core or a call.
#[derive(Debug, Clone)]
struct Record {
    id: RequestId,
    class: usize,
    tenant: usize,
    arrived: Micros,
    due: Micros,
    /// When its answer stops earning the full worth.
    aim: Micros,
    /// Its work over the usual for its class.
    size: f64,
    worth: f64,
    retry: bool,
    /// Its result is to be kept.
    keep: bool,
    /// Place among the requests of its class, from 0 to 1.
    place: f64,
    memory_kb: f64,
    stage: Stage,
    /// Answered, or nobody waits: only its core, memory or call is still taken.
    answered: bool,
    /// Requests that wait to share its answer.
    joiners: u32,
    called: Micros,
}

#[derive(Debug, Clone)]
pub(crate) struct Pace {
    /// Smoothed time of a run of usual size, calls included.
    pub(crate) run_time: f64,
    /// Smoothed hint.
    pub(crate) work: f64,
    /// The longest time left that a first try was seen with; none yet is 0.
    pub(crate) patience: Micros,
}

/// The destination below: calls in hand, their bound, and the gap.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gate {
    pub(crate) bound: f64,
    least: f64,
    /// Calls in hand that are ours as a mean over `span`.
    pub(crate) share: f64,
    span: Micros,
    /// Decisions are no closer than this: shorter latencies differ by chance.
    period: Micros,
    /// Call time that the share, less a margin, still allows, in microseconds.
    budget: f64,
    pub(crate) sqlen: f64,
    pub(crate) gap: f64,
    /// The last admission, and whether it opened a gap.
    admitted: Micros,
    gapped: bool,
    pub(crate) latency: f64,
    pub(crate) usual: f64,
    falters: bool,
    halved_at: Micros,
    /// Calls that ended without any word from below since the last that had one, and when the latest of those
    /// that had one was made.
    unheard: u32,
    heard: Micros,
    /// When a call was last in hand, or its trace faded.
    idle_from: Micros,
    /// No call is made before this time.
    paused_until: Micros,
    /// Start and end of the calls of the last span; an abandoned one ends when it has left the hands below.
    past: Vec<(Micros, Micros)>,
}

#[derive(Debug, Clone, Copy)]
struct Drain {
    last_arrival: Micros,
    stop_at: Micros,
    /// Another process has our place: callers are not sent elsewhere.
    succeeded: bool,
}

/// The overload controller of one server.
#[derive(Debug, Clone)]
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
        let period = settings.tick.max(settings.answer_slack / PERIODS_IN_SLACK).max(1);
        let guess = if settings.cold_start { 2.0 * FIRST_GUESS } else { FIRST_GUESS };
        let pace = |class: &Class| {
            let run_time = (guess * class.aim as f64).max(1.0);
            Pace { run_time, work: 0.0, patience: 0 }
        };
        Self {
            random: seed,
            now: 0,
            started: 0,
            period,
            adjusted: 0,
            requests: BTreeMap::new(),
            entries: BTreeMap::new(),
            kept: 0,
            keeps: true,
            paces: settings.classes.iter().map(pace).collect(),
            tries: vec![0.0; settings.tenants.len().max(1)],
            gate: Gate::new(&settings, period),
            run_limit: f64::from(settings.cores.max(1)),
            runnable: None,
            progress: 0,
            lag: 0.0,
            again: 0.0,
            cut: 0.0,
            ranked: VecDeque::with_capacity(RANKED),
            welcome: 1.0,
            advertised: 1.0,
            arrivals: 0.0,
            kept_idle: settings.idle as f64,
            drain: None,
            beside: (0, 0.0, 0),
            settings,
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
                if let Some(record) = self.requests.get_mut(&id) {
                    record.stage = Stage::AwaitingCall;
                }
            }
            Event::CallEnded { id, outcome, elapsed } => self.call_ended(id, outcome, elapsed, actions),
            Event::RunEnded { id, outcome, elapsed } => self.run_ended(id, outcome, elapsed, actions),
            Event::Timer { gauges, .. } => {
                self.runnable = gauges.runnable;
                actions.push(Action::Timer { at: self.now + self.period, token: 0 });
            }
            Event::Drain { stop_at } => self.begin_drain(stop_at, false, actions),
            Event::Succeeded { stop_at } => self.begin_drain(stop_at, true, actions),
            Event::Beside { running, memory_kb, calls } => self.beside = (running, memory_kb, calls),
            Event::Kept { entries, room } => (self.kept, self.keeps) = (entries, room),
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.started = self.now;
        self.adjusted = self.now;
        self.progress = self.now;
        // Checks that do real work would take cores and calls from requests.
        actions.push(Action::Health { good: true, from_state: true });
        actions.push(Action::Timer { at: self.now + self.period, token: 0 });
    }

    /// Leaving, with the grace from the first notice; callers are sent elsewhere unless a successor is here.
    fn begin_drain(&mut self, stop_at: Micros, succeeded: bool, actions: &mut Vec<Action>) {
        let stop_at = stop_at.saturating_sub(2 * self.settings.answer_slack.max(self.period));
        let last_arrival = self.drain.map_or(self.now + self.settings.drain_grace, |d| d.last_arrival);
        self.drain = Some(Drain { last_arrival, stop_at, succeeded });
        for record in self.requests.values_mut() {
            record.due = record.due.min(stop_at);
        }
        if !succeeded {
            actions.push(Action::Health { good: false, from_state: true });
        }
    }

    /// Callers are sent elsewhere.
    fn leaves(&self) -> bool {
        self.drain.is_some_and(|drain| !drain.succeeded)
    }

    // ---- arrival ----

    fn arrive(&mut self, request: &Request, actions: &mut Vec<Action>) {
        self.lag = smooth(self.lag, request.waited as f64);
        let mut record = self.record(request);
        self.count(&record);
        if let Some(prior) = request.prior {
            if self.follow_prior(&mut record, prior, actions) {
                // Guards against repeats without end; what they repeat may have run, so that none is refused.
                let full = record.keep && self.memory_full(record.memory_kb);
                let id = record.id;
                self.requests.insert(id, record);
                if full {
                    self.fail(id, actions);
                }
                return;
            }
        }
        if self.turns_away(&record) {
            self.refuse(&record, actions);
            return;
        }
        let id = record.id;
        self.requests.insert(id, record);
        self.shed(actions);
        let Some(record) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[record.class];
        if class.calls {
            self.gate.admit(self.now);
        }
        let lifetime = match class.effect {
            Effect::Keyed => (record.arrived + class.window + self.period).saturating_sub(self.now),
            Effect::Safe if self.settings.fresh > 0 && request.has_subject && !request.write => {
                record.due.saturating_sub(self.now) + self.settings.fresh
            }
            _ => 0,
        };
        if lifetime > 0 {
            self.remember(id, lifetime, actions);
        }
    }

    fn record(&mut self, request: &Request) -> Record {
        let class = &self.settings.classes[request.class];
        let pace = &mut self.paces[request.class];
        let arrived = self.now.saturating_sub(request.waited);
        let due = request.due.unwrap_or(arrived + class.deadline).max(self.now);
        let left = due - arrived.min(due);
        // A further try with less time left than a first one is at least so much older; one with more has
        // what is left of its client's whole time.
        if !request.retry {
            pace.patience = pace.patience.max(left);
        }
        let whole = if left > pace.patience && pace.patience > 0 { class.deadline } else { pace.patience };
        let age = if request.retry { whole.saturating_sub(left) } else { 0 };
        let size = request.work.map_or(1.0, |work| {
            pace.work = if pace.work > 0.0 { smooth(pace.work, work as f64) } else { work as f64 };
            HINT_SHARE * work as f64 / pace.work + (1.0 - HINT_SHARE)
        });
        let stretch = class.aim_stretch * request.work.unwrap_or(0) as f64;
        let aim = (arrived + class.aim + stretch as Micros).saturating_sub(age).min(due);
        let bands = self.settings.classes.len() as f64;
        Record {
            id: request.id,
            class: request.class,
            tenant: request.tenant,
            arrived,
            due: due.min(self.drain.map_or(due, |d| d.stop_at)),
            aim,
            size,
            worth: class.worth * if self.settings.worth_by_work { size * pace.work.max(1.0) } else { 1.0 },
            retry: request.retry,
            keep: request.keep,
            place: (request.rank * bands).fract(),
            memory_kb: request.memory_kb,
            stage: Stage::Held,
            answered: false,
            joiners: 0,
            called: 0,
        }
    }

    fn count(&mut self, record: &Record) {
        self.again += AGAIN_SMOOTH * (f64::from(u8::from(record.retry)) - self.again);
        self.arrivals += 1.0;
        if !record.retry {
            self.tries[record.tenant] += 1.0;
        }
        self.ranked.push_back(self.merit(record));
        if self.ranked.len() > RANKED {
            self.ranked.pop_front();
        }
    }

    /// Settles a request that repeats another: true when it now waits for that one's outcome.
    /// Guards against a second run: whatever is not known to be held may have run. A keyed request that is
    /// still held gives way to its newer try, whose caller is the one that waits; both do where results are
    /// kept.
    fn follow_prior(&mut self, record: &mut Record, prior: RequestId, actions: &mut Vec<Action>) -> bool {
        let keyed = self.settings.classes[record.class].effect != Effect::Safe;
        match self.requests.get_mut(&prior) {
            Some(old) if old.stage == Stage::Sharing(record.id) => return false,
            Some(old) if old.stage == Stage::Held && keyed && !record.keep => {
                let old = old.clone();
                self.entries.remove(&prior);
                self.requests.remove(&prior);
                actions.push(Action::Refuse { id: old.id, avoid_for: 0, last: true });
                return false;
            }
            Some(old) => old.joiners += 1,
            None => {}
        }
        record.stage = Stage::Sharing(prior);
        actions.push(Action::Share(record.id));
        true
    }

    fn turns_away(&self, record: &Record) -> bool {
        let class = &self.settings.classes[record.class];
        let entry = if record.keep || class.effect == Effect::Keyed { self.settings.entry_kb } else { 0.0 };
        let standing = self.standing_of(record);
        self.too_late_to_run(record)
            || record.keep && !self.keeps
            || self.memory_full(record.memory_kb + entry)
            || must_call(class) && (self.gate.closed(self.now, standing) || self.calls_crowded(record))
            || self.would_wait() && standing < self.cut
    }

    /// Reached the machine after the grace that follows the notice to leave.
    fn too_late_to_run(&self, record: &Record) -> bool {
        self.drain.is_some_and(|drain| record.arrived > drain.last_arrival)
    }

    /// The share of recent arrivals with less merit, ties broken by place: where the request stands in rank.
    fn standing_of(&self, record: &Record) -> f64 {
        let merit = self.merit(record);
        let below = self.ranked.iter().filter(|other| **other < merit * 0.999).count() as f64;
        let equal = self.ranked.iter().filter(|other| (**other / merit - 1.0).abs() <= 0.001).count() as f64;
        (below + equal * record.place) / self.ranked.len().max(1) as f64
    }

    /// An arrival finds held work or no free run. Guards against cores idling behind a cut without a queue.
    fn would_wait(&self) -> bool {
        let held = |record: &Record| record.stage == Stage::Held;
        self.on_cores() >= self.run_limit as usize || self.requests.values().any(held)
    }

    /// Held requests in the order of their runs: by the time they are wanted, and after all those that can be
    /// in time those that only earn what late answers do.
    fn line(&self) -> Vec<RequestId> {
        let held = self.requests.values().filter(|record| record.stage == Stage::Held);
        let mut line: Vec<_> = held.map(|record| (self.wanted(record), record.id)).collect();
        line.sort_unstable();
        line.into_iter().map(|(_, id)| id).collect()
    }

    fn wanted(&self, record: &Record) -> (bool, Micros) {
        let late = self.now as f64 + self.run_time(record) > record.aim as f64;
        (late, if late { record.due } else { record.aim })
    }

    /// Turns away the held request of least merit among those ahead of one that can't end in time, until all
    /// can. Guards against holding what is refused too late for its caller to go elsewhere.
    fn shed(&mut self, actions: &mut Vec<Action>) {
        while let Some(record) = self.least_in_the_way().and_then(|id| self.requests.remove(&id)) {
            self.refuse(&record, actions);
        }
    }

    fn least_in_the_way(&self) -> Option<RequestId> {
        let free = self.on_cores() < self.run_limit as usize;
        let mut ahead = 0.0;
        let mut least = (f64::INFINITY, 0);
        for id in self.line() {
            let record = &self.requests[&id];
            let wait = if ahead == 0.0 && free { 0.0 } else { ahead / self.lanes() + self.standstill() };
            let merit = self.urgency(record);
            if merit <= least.0 {
                least = (merit, id);
            }
            if !self.may_run_by_aim(record, wait) {
                return Some(least.1);
            }
            ahead += self.run_time(record);
        }
        None
    }

    /// Guards against taking what can't be finished; one such run goes on, so that a recovery is heard of.
    fn may_run_by_aim(&self, record: &Record, wait: f64) -> bool {
        let end = self.now as f64 + wait + self.run_time(record);
        let last = if self.settings.classes[record.class].late_worth > 0.0 { record.due } else { record.aim };
        end <= last as f64 || self.requests.values().all(|other| other.answered || other.id == record.id)
    }

    // ---- worth ----

    /// Worth for each unit of run time; a tenant over its share, beyond what chance gives, counts for less.
    fn merit(&self, record: &Record) -> f64 {
        let joined = f64::from(1 + record.joiners);
        let cost = self.run_time(record).max(1.0);
        record.worth * joined * self.within_share(record.tenant) / cost
    }

    fn within_share(&self, tenant: usize) -> f64 {
        let Some(quota) = self.settings.tenants.get(tenant).map(|t| t.quota_per_s) else { return 1.0 };
        let rate = self.tries[tenant] * f64::from(self.settings.servers.max(1)) * 1e6 / self.memory_span();
        if quota <= 0.0 || rate <= quota * (1.0 + 1.0 / self.tries[tenant].max(1.0).sqrt()) {
            return 1.0;
        }
        let within = quota / rate;
        within + (1.0 - within) * self.settings.over_share_worth
    }

    /// How far back tries are counted: the longest that a client waits.
    fn memory_span(&self) -> f64 {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0).max(1_000_000) as f64
    }

    // ---- what is in hand ----

    fn run_time(&self, record: &Record) -> f64 {
        self.paces[record.class].run_time * record.size
    }

    fn count_stage(&self, stage: impl Fn(Stage) -> bool) -> usize {
        self.requests.values().filter(|record| stage(record.stage)).count()
    }

    fn on_cores(&self) -> usize {
        self.count_stage(|stage| stage == Stage::Running) + self.beside.0
    }

    fn at_calls(&self) -> usize {
        self.count_stage(|stage| matches!(stage, Stage::AwaitingCall | Stage::Calling))
    }

    fn calls_in_hand(&self) -> usize {
        self.count_stage(|stage| stage == Stage::Calling) + self.beside.2
    }

    /// Runs that go on side by side, those at calls included.
    fn lanes(&self) -> f64 {
        self.run_limit + self.at_calls() as f64
    }

    /// For how long no run has ended while some should have: the symptom of cores that stand still.
    fn standstill(&self) -> f64 {
        (self.now - self.progress) as f64
    }

    fn memory_kb(&self) -> f64 {
        let of = |record: &Record| match record.stage {
            Stage::Held | Stage::Sharing(_) => record.memory_kb,
            _ => record.memory_kb * self.settings.run_factor.max(1.0),
        };
        self.requests.values().map(of).sum::<f64>()
            + self.entries.len().max(self.kept) as f64 * self.settings.entry_kb
            + self.beside.1
    }

    fn memory_full(&self, more: f64) -> bool {
        self.memory_kb() + more > MARGIN * self.settings.memory_kb
    }

    fn remember(&mut self, id: RequestId, lifetime: Micros, actions: &mut Vec<Action>) {
        self.entries.insert(id, self.now + lifetime);
        actions.push(Action::Remember { id, lifetime });
    }

    fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.entries.remove(&id).is_some() {
            actions.push(Action::Forget(id));
        }
    }

    // ---- once a period ----

    fn adjust(&mut self, actions: &mut Vec<Action>) {
        let passed = self.now - self.adjusted;
        self.adjusted = self.now;
        self.entries.retain(|_, until| *until > self.adjusted);
        let keep = (1.0 - passed as f64 / self.memory_span()).max(0.0);
        self.tries.iter_mut().chain([&mut self.arrivals]).for_each(|count| *count *= keep);
        let must = |r: &&Record| r.stage == Stage::AwaitingCall && must_call(&self.settings.classes[r.class]);
        let backlog = self.requests.values().filter(must).count(); // The others go on without one.
        let in_hand = self.calls_in_hand();
        self.gate.adjust(self.now, passed, backlog, in_hand);
        self.adjust_run_limit();
        self.lag *= 1.0 - LAG_FADE;
        self.adjust_cut(passed);
        self.advertise(actions);
        self.close_idle(actions);
    }

    /// Closes connections unlikely to carry more: many callers come too seldom. Guards against a full table,
    /// which takes of the cores and shuts callers out; under strain less so, since new ones would add to it.
    fn close_idle(&mut self, actions: &mut Vec<Action>) {
        let idle = self.settings.idle as f64;
        let interval = f64::from(self.settings.callers) * self.memory_span() / self.arrivals.max(1.0);
        let strain =
            (self.runnable.unwrap_or(0.0) / f64::from(self.settings.cores.max(1)) / FULL_CORES).max(1.0);
        let keep = idle * (strain * idle / interval.max(1.0)).min(1.0).powi(2);
        if keep < 0.9 * self.kept_idle || keep > 1.1 * self.kept_idle {
            self.kept_idle = keep;
            actions.push(Action::CloseIdle((keep as Micros).max(self.period)));
        }
    }

    /// The limit grows while cores idle and work waits, shrinks towards the cores while they are crowded, and
    /// stays under the crowd survived at present speed.
    fn adjust_run_limit(&mut self) {
        let cores = f64::from(self.settings.cores.max(1));
        let waits = self.requests.values().any(|record| record.stage == Stage::Held);
        let step = RUN_STEP * cores;
        match self.runnable {
            Some(runnable) if runnable > FULL_CORES * cores => self.run_limit -= step,
            Some(runnable)
                if runnable < cores && waits && self.on_cores() as f64 >= self.run_limit.floor() =>
            {
                self.run_limit += step;
            }
            _ => {}
        }
        let crowd = (1.0 + (self.settings.crowd - 1.0).max(0.0) * self.speed()) * cores;
        self.run_limit = self.run_limit.clamp(cores, (CROWD_MARGIN * crowd).max(cores));
    }

    /// The share of full speed that a cold start surely has by now.
    fn speed(&self) -> f64 {
        let warmth = (self.now - self.started) as f64 / self.settings.warm_after.max(1) as f64;
        let cold = if self.settings.cold_start { self.settings.cold_speed } else { 1.0 };
        (cold + (1.0 - cold) * warmth).min(1.0)
    }

    /// The cut rises while the held work overruns the tightest aim, and falls otherwise.
    fn adjust_cut(&mut self, passed: Micros) {
        let (waiting, allowed) = self.held_work();
        let overrun = (HOLD_SHARE * waiting / allowed - 1.0).clamp(-1.0, 1.0);
        let step = passed as f64 / (2.0 * allowed);
        self.cut = (self.cut + overrun * step).clamp(0.0, 1.0);
        let crowded = (2.0 * (waiting + self.lag) / allowed - 1.0).clamp(-1.0, 1.0);
        self.welcome = (self.welcome - crowded * step).clamp(ADVERT_FLOOR, self.speed().max(ADVERT_FLOOR));
    }

    /// The time that the held work needs, and the time that the tightest class allows it.
    fn held_work(&self) -> (f64, f64) {
        let held = self.requests.values().filter(|record| record.stage == Stage::Held);
        let work: f64 = held.map(|record| self.run_time(record)).sum();
        let waiting = if work > 0.0 { work / self.lanes() + self.standstill() } else { 0.0 };
        let slack = |(class, pace): (&Class, &Pace)| {
            HOLD_SHARE * (class.aim as f64 - pace.run_time).max(0.1 * class.aim as f64)
        };
        let allowed = self.settings.classes.iter().zip(&self.paces).map(slack).fold(f64::INFINITY, f64::min);
        (waiting, allowed.max(1.0))
    }

    /// Tells callers how welcome they are. Moves by small steps, so that they do not herd.
    fn advertise(&mut self, actions: &mut Vec<Action>) {
        let welcome = if self.leaves() {
            0.0
        } else {
            (self.welcome * (1.0 - self.lag / self.held_work().1)).max(ADVERT_FLOOR)
        };
        if (welcome - self.advertised).abs() < ADVERT_STEP && (welcome < 1.0) == (self.advertised < 1.0) {
            return;
        }
        self.advertised = welcome;
        let bands = self.settings.classes.len().max(1) as f64;
        let value = match self.settings.advert {
            Advert::Unused => return,
            Advert::Weight => welcome,
            Advert::Floor => (1.0 - welcome) * (1.0 - 1.0 / bands),
            // For each caller all that fits: few callers send most, and a fixed share would shut them out of
            // cores that the others leave idle. What they send too much together lowers the welcome.
            Advert::Allowance => welcome * ROUNDS * self.lanes(),
        };
        actions.push(Action::Advertise(value));
    }

    // ---- calls ----

    /// Requests of as much merit at calls are more than can be served in half the time left to the aim.
    fn calls_crowded(&self, record: &Record) -> bool {
        let merit = self.merit(record);
        let left = record.aim.saturating_sub(self.now) as f64;
        let rounds = (HOLD_SHARE * left / self.gate.latency).max(1.0);
        let better = |other: &&Record| {
            other.stage == Stage::Calling || other.stage == Stage::AwaitingCall && self.merit(other) >= merit
        };
        self.requests.values().filter(better).count() as f64 > self.gate.bound * rounds
    }

    /// Issues waiting calls, best first, while the bound has room; leaves out or gives up those too late.
    fn make_calls(&mut self, actions: &mut Vec<Action>) {
        let waiting = |record: &&Record| record.stage == Stage::AwaitingCall && !record.answered;
        let mut queue: Vec<(f64, RequestId)> =
            self.requests.values().filter(waiting).map(|record| (self.merit(record), record.id)).collect();
        queue.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut in_hand = self.calls_in_hand();
        let mut ahead = 0.0;
        for (_, id) in queue {
            let record = &self.requests[&id];
            let class = &self.settings.classes[record.class];
            let last = if class.late_worth > 0.0 { record.due } else { record.aim };
            let end = self.now as f64 + (ahead / self.gate.bound + 1.0) * self.gate.latency;
            if class.skip_worth > 0.0 && end > record.aim as f64 {
                self.resume(id);
                actions.push(Action::SkipCall(id));
            } else if self.now > last {
                self.fail(id, actions);
            } else if self.gate.has_room(self.now, in_hand) {
                in_hand += 1;
                self.call(id, actions);
            } else {
                ahead += 1.0;
            }
        }
    }

    fn resume(&mut self, id: RequestId) {
        if let Some(record) = self.requests.get_mut(&id) {
            record.stage = Stage::Running;
        }
    }

    /// Makes a call that leaves time to answer, and where less than one call is ours, keeps to that.
    fn call(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(record) = self.requests.get_mut(&id) else { return };
        record.stage = Stage::Calling;
        record.called = self.now;
        // A reply so late is lost, not late. What must not be made again is given up for good, and so not
        // before its answer would be worth nothing.
        let safe = self.settings.classes[record.class].effect == Effect::Safe;
        let patience = (CALL_PATIENCE * self.gate.latency).max(2.0 * self.period as f64) as Micros;
        let patience = patience.max(if safe { 0 } else { record.aim.saturating_sub(self.now) });
        let left = record.due.saturating_sub(self.now + self.period).min(patience).max(1);
        let linger = self.settings.linger;
        let allowed = self.gate.allowance(self.now).map_or(left, |t| (t as Micros).saturating_sub(linger));
        actions.push(Action::Call { id, timeout: left.min(allowed).max(1) });
    }

    fn call_ended(&mut self, id: RequestId, outcome: Outcome, elapsed: Micros, actions: &mut Vec<Action>) {
        self.gate.call_ended(self.now, outcome, elapsed, self.settings.linger);
        let Some(record) = self.requests.get_mut(&id) else { return };
        if outcome == Outcome::Success {
            record.stage = Stage::Running;
            return;
        }
        record.stage = Stage::AwaitingCall;
        let never_ran = matches!(outcome, Outcome::Overloaded | Outcome::Unreachable | Outcome::Void);
        if self.settings.classes[record.class].effect != Effect::Safe && !never_ran {
            // The call may have taken effect, and so must not be made again.
            self.fail(id, actions);
        }
    }

    // ---- runs ----

    /// Starts held work in its line while runs, memory and calls have room.
    fn start_runs(&mut self, actions: &mut Vec<Action>) {
        if !self.requests.values().any(|record| record.stage == Stage::Held) {
            if self.on_cores() == 0 {
                self.progress = self.now;
            }
            return;
        }
        let mut running = self.on_cores();
        let mut memory = self.memory_kb();
        for id in self.line() {
            if running >= self.run_limit as usize {
                return;
            }
            let record = &self.requests[&id];
            let class = &self.settings.classes[record.class];
            let more = record.memory_kb * (self.settings.run_factor.max(1.0) - 1.0);
            let fits = memory + more <= MARGIN * self.settings.memory_kb;
            if !fits || (must_call(class) && self.calls_crowded(record)) {
                continue;
            }
            memory += more;
            if running == 0 {
                self.progress = self.now;
            }
            running += 1;
            self.resume(id);
            actions.push(Action::Run(id));
        }
    }

    /// Merit, less what an answer after the aim loses.
    fn urgency(&self, record: &Record) -> f64 {
        let late = self.now as f64 + self.run_time(record) > record.aim as f64;
        self.merit(record) * if late { self.settings.classes[record.class].late_worth.max(0.01) } else { 1.0 }
    }

    fn run_ended(&mut self, id: RequestId, outcome: Outcome, elapsed: Micros, actions: &mut Vec<Action>) {
        let Some(record) = self.requests.remove(&id) else { return };
        if record.stage == Stage::Calling {
            self.gate.past.push((record.called, self.now + self.settings.linger));
        }
        if let Stage::Sharing(prior) = record.stage {
            self.leave_share(prior);
        } else {
            self.progress = self.now;
        }
        if outcome != Outcome::Success {
            if self.settings.classes[record.class].effect == Effect::Safe {
                self.forget(id, actions);
            }
            return;
        }
        if !matches!(record.stage, Stage::Sharing(_)) {
            let pace = &mut self.paces[record.class];
            let size = record.size.max(0.1);
            pace.run_time = smooth(pace.run_time, elapsed as f64 / size).max(1.0);
            if self.entries.contains_key(&id) && self.settings.classes[record.class].effect == Effect::Safe {
                self.remember(id, self.settings.fresh, actions);
            }
        }
    }

    fn leave_share(&mut self, prior: RequestId) {
        if let Some(prior) = self.requests.get_mut(&prior) {
            prior.joiners = prior.joiners.saturating_sub(1);
        }
    }

    // ---- answers and deadlines ----

    /// Answers all that is due before the next period.
    fn keep_deadlines(&mut self, actions: &mut Vec<Action>) {
        let open: Vec<RequestId> = self.requests.values().filter(|r| !r.answered).map(|r| r.id).collect();
        for id in open {
            let record = &self.requests[&id];
            let held = record.stage == Stage::Held;
            let barred = held && self.too_late_to_run(record);
            if !barred && self.now + self.period < record.due {
                continue;
            }
            if held {
                if let Some(record) = self.requests.remove(&id) {
                    self.refuse(&record, actions);
                }
            } else {
                self.fail(id, actions);
            }
        }
    }

    /// Turns away a request that never ran here.
    fn refuse(&mut self, record: &Record, actions: &mut Vec<Action>) {
        let (waiting, allowed) = self.held_work();
        let over = (waiting + self.lag - HOLD_SHARE * allowed).max(0.0) * (0.5 + self.next_random());
        // Never without a time to come back: what is refused now may be welcome in the next period.
        let away = self.leaves() || record.keep && !self.keeps;
        let avoid_for = if away { Micros::MAX } else { (over as Micros).max(self.period) };
        let avoid_for = avoid_for.min(self.settings.max_avoid);
        let last = record.retry || self.again > LAST_AGAIN || self.lag > LAST_LAG * allowed;
        actions.push(Action::Refuse { id: record.id, avoid_for, last });
        self.forget(record.id, actions);
    }

    /// Fails a request that has run or waits for another; what it occupies stays counted until it ends.
    fn fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        actions.push(Action::Fail(id));
        self.close(id, actions);
    }

    /// No answer is owed any more, but a run goes on.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(record) = self.requests.get_mut(&id) else { return };
        record.answered = true;
        match record.stage {
            Stage::Held => {
                self.requests.remove(&id);
                self.forget(id, actions);
            }
            Stage::Sharing(prior) => {
                self.requests.remove(&id);
                self.leave_share(prior);
            }
            _ => {}
        }
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

impl Gate {
    fn new(settings: &Settings, period: Micros) -> Self {
        let cores = f64::from(settings.cores.max(1));
        let (share, span, start, least) = match settings.below {
            Below::Shared { share, span } => {
                (MARGIN * share.max(0.0), span, 1.0, LEAST_SHARE * MARGIN * share)
            }
            _ => (cores * settings.crowd.max(1.0), settings.warm_after, cores, 1.0),
        };
        let aim = settings.classes.iter().map(|class| class.aim).min().unwrap_or(0);
        let latency = (GAP_FLOOR * aim as f64).max(1.0);
        let (bound, least) = (start.min(share.max(1.0)), least.max(1.0));
        Self { bound, least, share, span, period, latency, ..Self::default() }
    }

    /// A gap holds off the least worth for twice its length and the most for hardly any: the paper's first
    /// arrival after a gap wins, whatever it is worth.
    fn closed(&self, now: Micros, standing: f64) -> bool {
        self.gapped && ((now - self.admitted) as f64) < 2.0 * self.gap * (1.0 - standing)
    }

    /// Each admission closes the destination for one gap.
    fn admit(&mut self, now: Micros) {
        self.gapped = self.gap > GAP_FLOOR * self.latency;
        self.admitted = now;
    }

    fn has_room(&self, now: Micros, in_hand: usize) -> bool {
        let room =
            now >= self.paused_until && (self.taken(now, in_hand) as f64) < self.bound.floor().max(1.0);
        room && self.budget >= 0.0
            && self.allowance(now).is_none_or(|left| left >= self.latency.min(self.whole()))
    }

    /// The call time of one span that the told share stands for.
    fn whole(&self) -> f64 {
        self.share / MARGIN * self.span as f64
    }

    /// Calls in the hands of what lies below.
    fn taken(&self, now: Micros, in_hand: usize) -> usize {
        in_hand + self.past.iter().filter(|call| call.1 > now).count()
    }

    /// Where less than one call is ours: the call time that the share leaves of the last span. Guards against
    /// what lies below turning slow, when all servers at once make calls as long as they may.
    fn allowance(&self, now: Micros) -> Option<f64> {
        let from = now.saturating_sub(self.span);
        let used: Micros = self.past.iter().map(|call| call.1.saturating_sub(call.0.max(from))).sum();
        (self.share < 1.0).then(|| self.whole() - used as f64)
    }

    /// One period of the paper's rule; the backlog alone does not gap while calls below keep their pace.
    fn adjust(&mut self, now: Micros, passed: Micros, backlog: usize, in_hand: usize) {
        self.past.retain(|call| call.1 + self.span > now);
        let gained = (self.share - self.taken(now, in_hand) as f64) * passed as f64;
        self.budget = (self.budget + gained).min(BURST_SHARE * self.share * self.span as f64);
        self.sqlen = ALPHA * self.sqlen + (1.0 - ALPHA) * backlog as f64;
        let tqlen = self.bound.max(1.0);
        let mut phi = (self.sqlen / tqlen).max(PHI_MIN);
        if !self.falters {
            phi = phi.min(1.0);
        }
        if in_hand > 0 {
            self.idle_from = now;
        } else if now >= self.idle_from + self.latency as Micros
            && self.latency > self.usual
            && self.usual > 0.0
        {
            self.latency += LATENCY_FADE * (self.usual - self.latency);
            self.idle_from = now;
        }
        let floor = GAP_FLOOR * self.latency;
        self.gap = (self.gap * phi).clamp(floor, GAP_CEILING * self.latency);
    }

    fn call_ended(&mut self, now: Micros, outcome: Outcome, elapsed: Micros, linger: Micros) {
        let end = if outcome == Outcome::TimedOut { now + linger } else { now };
        self.past.push((now.saturating_sub(elapsed), end));
        let answered = matches!(outcome, Outcome::Success | Outcome::Failure);
        let made = now.saturating_sub(elapsed);
        if answered {
            self.heard = self.heard.max(made);
        }
        // Guards against taking a connection that broke or fell silent for trouble below: there, the next
        // call has no answer either, and nor have those made after it.
        let silent = matches!(outcome, Outcome::TimedOut | Outcome::Broken);
        self.unheard = if silent { self.unheard + 1 } else { 0 };
        if silent && (self.unheard == 1 || self.heard > made) {
            return;
        }
        if answered || outcome == Outcome::TimedOut {
            self.latency = smooth(self.latency, elapsed as f64).max(1.0);
        }
        if answered {
            let old = if self.usual > 0.0 { self.usual } else { elapsed as f64 };
            self.usual = old + USUAL_SMOOTH * (elapsed as f64 - old);
        }
        if !answered && outcome != Outcome::TimedOut {
            self.paused_until = now + (CALL_PAUSE * self.latency) as Micros;
        }
        self.falters = !answered || self.latency > FALTER * self.usual.max(self.period as f64);
        if !self.falters {
            self.bound = (self.bound + 1.0 / self.bound).min(self.share.max(1.0));
        } else if now >= self.halved_at + self.latency as Micros {
            self.bound = (self.bound / 2.0).max(self.least);
            self.halved_at = now;
        }
    }
}

fn must_call(class: &Class) -> bool {
    class.calls && class.skip_worth == 0.0
}

fn smooth(old: f64, sample: f64) -> f64 {
    old + SMOOTH * (sample - old)
}
