//! The exchange, where the client side and the server side meet: a core with no I/O and no clock.
//!
//! Adapters tell it [`Fact`]s and carry out the [`Command`]s that it appends. It owns the table of requests,
//! their due times, the timers and the [`Controller`]; it sees to it that each request gets exactly one
//! answer, whatever the other parties do. It knows nothing of frames, lines or HTTP, so that another protocol
//! can stand before it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use cleatpulley_idempotency::history::{Effect as KeyEffect, History, Recovered, Verdict};
use cleatpulley_idempotency::record::{digest, Outcome as Ending, ScopedKey};
use cleatpulley_policy::interface::{
    Action, Effect, Event, Gauges, Micros, Outcome, Request, RequestId, Settings,
};
use cleatpulley_policy::learned::Learned;
use cleatpulley_policy::plant::{planted, Bug};
use cleatpulley_policy::Controller;
use std::collections::{BTreeSet, HashMap};

pub use cleatpulley_idempotency::history;

mod counts;
mod dues;
mod entry;
mod keyed;
mod runs;
mod trace;
mod words;

use entry::{Entry, Stage};
use keyed::Meeting;

pub use counts::{Counts, Tally};
pub use keyed::{Keys, Owner};
pub use words::{Answer, Arrival, Call, Command, Fact, Fault, Head, Order, Origin};

/// Gauges are asked for so long before a timer, that they are there and fresh when it fires.
const GAUGE_LEAD: Micros = 4_000;
/// Older gauges tell the controller nothing about the present.
const GAUGE_AGE: Micros = 100_000;

/// The core of a matcher.
pub struct Exchange {
    controller: Controller,
    settings: Settings,
    started: bool,
    entries: HashMap<RequestId, Entry>,
    /// Due times of the unanswered.
    dues: BTreeSet<(Micros, RequestId)>,
    /// No answer is due later: the stop is near.
    last_due: Micros,
    timers: BTreeSet<(Micros, u64)>,
    events: Vec<Event>,
    actions: Vec<Action>,
    stepped: Micros,
    gauges: Gauges,
    gauged: Micros,
    /// The timer that gauges were last asked for.
    asked_for: Micros,
    keys: Option<Keys>,
    key_effects: Vec<KeyEffect>,
    /// What the controller was last told of the table.
    told_kept: (usize, bool),
    counts: Counts,
}

impl Exchange {
    /// An exchange for a process that has just started.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        // A served answer must be the result of the request's own run: none is shared.
        let settings = Settings {
            fresh: 0,
            ..settings
        };
        Self {
            controller: Controller::new(settings.clone(), seed),
            counts: Counts::new(settings.classes.len()),
            settings,
            started: false,
            entries: HashMap::new(),
            dues: BTreeSet::new(),
            last_due: Micros::MAX,
            timers: BTreeSet::new(),
            events: Vec::new(),
            actions: Vec::new(),
            stepped: 0,
            gauges: Gauges::default(),
            gauged: 0,
            asked_for: 0,
            keys: None,
            key_effects: Vec::new(),
            told_kept: (0, true),
        }
    }

    /// One that keeps the results of keyed requests.
    #[must_use]
    pub fn with_keys(mut settings: Settings, seed: u64, keys: Keys) -> Self {
        // The controller forgets tries that nobody can wait for; it is told how large the table is.
        settings
            .classes
            .iter_mut()
            .for_each(|class| class.window = class.window.min(class.deadline));
        Self {
            keys: Some(keys),
            ..Self::new(settings, seed)
        }
    }

    /// Requests that are known, answered ones whose run is still on among them.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.entries.len()
    }

    /// Requests on the cores, memory booked for requests in KB, and calls in the hands of the store. The memory is what it
    /// comes to once the cores have taken up as much of what is held as they may: another process leaves room for it, and
    /// would hear of each start too late.
    #[must_use]
    pub fn held(&self) -> (usize, f64, usize) {
        let count =
            |wanted: fn(&Stage) -> bool| self.entries.values().filter(|e| wanted(&e.stage)).count();
        // In whole bytes: the sum is the same in whatever order.
        let of = |entry: &Entry| match entry.stage {
            Stage::Held | Stage::Waiting | Stage::Ending => (entry.request.memory_kb * 1e3) as u64,
            _ => (entry.request.memory_kb * self.settings.run_factor.max(1.0) * 1e3) as u64,
        };
        let running = count(|stage| matches!(stage, Stage::Running | Stage::Starting));
        let calls = count(|stage| matches!(stage, Stage::Calling));
        let more = (self.settings.run_factor.max(1.0) - 1.0) * 1e3;
        let held = self
            .entries
            .values()
            .filter(|entry| matches!(entry.stage, Stage::Held));
        let mut to_come: Vec<_> = held
            .map(|entry| (entry.request.memory_kb * more) as u64)
            .collect();
        to_come.sort_unstable_by(|one, other| other.cmp(one));
        let starts = (self.controller.learned().run_limit as usize).saturating_sub(running);
        let booked = self
            .entries
            .values()
            .map(of)
            .chain(to_come.into_iter().take(starts))
            .sum::<u64>();
        (running, booked as f64 / 1e3, calls)
    }

    /// What its controller has learned.
    #[must_use]
    pub fn learned(&self) -> Learned {
        self.controller.learned()
    }

    /// Takes up what the controller of another process has learned on this machine.
    ///
    /// # Errors
    /// The figure that no controller has; nothing is taken up then.
    pub fn learn(&mut self, learned: &Learned) -> Result<(), String> {
        self.controller.learn(learned)
    }

    /// What became of requests since the start, by class.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Requests that still owe an answer.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        self.dues.len()
    }

    /// Hears a fact. What the controller has to decide waits for the next [`advance`](Self::advance).
    pub fn hear(&mut self, now: Micros, fact: Fact, commands: &mut Vec<Command>) {
        match fact {
            Fact::Ready(since) => self.start(now, now.saturating_sub(since), commands),
            Fact::Arrived(arrival) => self.arrive(now, arrival, commands),
            Fact::Forbidden(arrival) => {
                let answer = Answer::Rejected(Fault::Forbidden);
                if arrival.class < self.settings.classes.len() {
                    self.counts.answered(arrival.class, &answer);
                }
                commands.push(Command::Answer {
                    to: arrival.origin,
                    answer,
                });
            }
            Fact::OriginLost(connection) => {
                self.lose_origin(now, |origin| origin.connection == connection, commands);
            }
            Fact::Cancelled(origin) => self.lose_origin(now, |other| *other == origin, commands),
            Fact::CallWanted { id, notice, body } => {
                let Some(entry) = self.entries.get_mut(&id) else {
                    return;
                };
                if matches!(entry.stage, Stage::Held) {
                    return;
                }
                if matches!(entry.stage, Stage::Calling) {
                    commands.push(Command::Abandon(id));
                }
                entry.stage = Stage::AtCall;
                entry.doubtful = false;
                entry.notice = notice;
                entry.call = body;
                self.events.push(Event::CallNeeded(id));
            }
            Fact::RunEnded {
                id,
                outcome,
                elapsed,
                result,
            } => {
                self.end_run(now, id, outcome, elapsed, result, commands);
            }
            Fact::OrderRefused {
                id,
                order: Order::Start,
            } => {
                self.end_run(now, id, Outcome::Void, 0, Vec::new(), commands);
            }
            // It ended by itself, or never was one.
            Fact::OrderRefused {
                order: Order::Stop, ..
            } => {}
            Fact::OrderRefused { id, .. } => {
                // The run can't go on, and nothing better is known to be done for its caller.
                if self.answer(now, id, Answer::Failed, commands) {
                    self.events.push(Event::Gone(id));
                }
            }
            Fact::OrderInDoubt { id, order } => self.settle(now, id, order, commands),
            Fact::CallEnded {
                id,
                outcome,
                elapsed,
                reply,
            } => {
                let Some(entry) = self.entries.get_mut(&id) else {
                    return;
                };
                if !matches!(entry.stage, Stage::Calling) {
                    return;
                }
                if outcome == Outcome::Success {
                    entry.stage = Stage::Running;
                    commands.push(Command::Give { id, body: reply });
                } else {
                    entry.stage = Stage::AtCall;
                }
                self.events.push(Event::CallEnded {
                    id,
                    outcome,
                    elapsed,
                });
            }
            Fact::Gauges(gauges) => {
                self.gauges = gauges;
                self.gauged = now;
            }
            Fact::RuntimeLost => self.lose_runs(now, commands),
            Fact::Drain { .. } if planted(Bug::DrainForgotten) => {}
            Fact::Drain { stop_at } => self.begin_drain(stop_at, Event::Drain { stop_at }),
            Fact::Succeeded { stop_at } => self.begin_drain(stop_at, Event::Succeeded { stop_at }),
            Fact::Beside {
                running,
                memory_kb,
                calls,
            } => {
                self.events.push(Event::Beside {
                    running,
                    memory_kb,
                    calls,
                });
            }
            Fact::Recovered(_) | Fact::Durable(_) | Fact::Keeping(_) | Fact::Recalled { .. } => {
                self.hear_of_keys(now, fact, commands);
            }
        }
    }

    /// Lets the controller decide where it is time to: events are gathered into one step, and steps are no
    /// closer than the tick.
    pub fn advance(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.advance_keys(now, commands);
        if now >= self.stepped + self.settings.tick {
            while let Some(&(at, token)) = self.timers.first() {
                if at > now {
                    break;
                }
                self.timers.pop_first();
                let fresh = now.saturating_sub(self.gauged) <= GAUGE_AGE;
                let gauges = if fresh {
                    self.gauges
                } else {
                    Gauges::default()
                };
                self.events.push(Event::Timer { token, gauges });
            }
            if !self.events.is_empty() {
                if !self.started {
                    self.start(now, now, commands);
                }
                self.step(now, commands);
            }
        }
        if let Some(&(at, _)) = self.timers.first() {
            if at != self.asked_for && now + GAUGE_LEAD >= at {
                self.asked_for = at;
                commands.push(Command::AskGauges);
            }
        }
        self.keep_dues(now, commands);
    }

    /// When [`advance`](Self::advance) has something to do next, if nothing is heard before.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        let step = self.stepped + self.settings.tick;
        let events = (!self.events.is_empty()).then_some(step);
        let timer = self.timers.first().map(|&(at, _)| {
            let ask = at.saturating_sub(GAUGE_LEAD);
            if at == self.asked_for {
                at.max(step)
            } else {
                ask
            }
        });
        let due = self.dues.first().map(|&(due, _)| self.answers_at(due));
        let keys = self.keys.as_ref().and_then(|keys| keys.history.next());
        [events, timer, due, keys].into_iter().flatten().min()
    }

    fn start(&mut self, now: Micros, since: Micros, commands: &mut Vec<Command>) {
        if self.started {
            return;
        }
        self.started = true;
        let waiting = std::mem::replace(&mut self.events, vec![Event::Started]);
        self.step(since, commands);
        self.events = waiting;
        self.stepped = now.saturating_sub(self.settings.tick);
    }

    fn step(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.stepped = now;
        self.tell_kept();
        let mut events = std::mem::take(&mut self.events);
        for event in &mut events {
            if let Event::Arrived(request) = event {
                // The door stands still while the request waited for this step.
                request.waited = self
                    .entries
                    .get(&request.id)
                    .map_or(0, |e| now.saturating_sub(e.door));
            }
        }
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.step(now, &events, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action, commands);
        }
        self.actions = actions;
        events.clear();
        events.append(&mut self.events);
        self.events = events;
    }

    fn arrive(&mut self, now: Micros, arrival: Arrival, commands: &mut Vec<Command>) {
        let Arrival {
            origin,
            mut id,
            class,
            caller,
            door,
            work,
            memory_kb,
            rank,
            retry,
            has_subject,
            key,
            body,
            head: _,
        } = arrival;
        if key.is_some() {
            id = self.own_id(id, origin, class);
        }
        let Some(settings) = self.settings.classes.get(class) else {
            commands.push(Command::Answer {
                to: origin,
                answer: Answer::Failed,
            });
            return;
        };
        // Ids are new with every try: one that is open already may run, and must not run again.
        let runs = self
            .keys
            .as_ref()
            .is_some_and(|keys| keys.history.is_run(id));
        if runs || self.entries.contains_key(&id) {
            self.counts.answered(class, &Answer::Failed);
            commands.push(Command::Answer {
                to: origin,
                answer: Answer::Failed,
            });
            return;
        }
        // Guards against clocks that differ: nothing came later than now, or longer ago than anyone waits.
        let door = door.min(now).max(now.saturating_sub(settings.deadline));
        let due = (door + settings.deadline).min(self.last_due).max(now);
        trace::arrived(now, id, class, caller, door, work);
        let mut request = Request {
            id,
            due: None,
            prior: None,
            class,
            tenant: 0,
            waited: 0,
            work: (work > 0).then_some(work),
            retry,
            write: settings.effect != Effect::Safe,
            has_subject,
            caller,
            rank,
            memory_kb,
            keep: false,
        };
        let meeting = match &mut self.keys {
            Some(keys) => {
                let fits = |more| keyed::fits_unseen(&self.entries, self.settings.memory_kb, more);
                keys.meet(now, &mut request, key.as_deref(), &body, fits)
            }
            None => Meeting::Decide,
        };
        let mut entry = Entry {
            origin,
            class,
            door,
            due,
            answered: false,
            doubtful: false,
            stage: Stage::Held,
            keyed: request.keep,
            request: request.clone(),
            body,
            notice: 0,
            call: Vec::new(),
        };
        match meeting {
            Meeting::Decide => self.events.push(Event::Arrived(request)),
            Meeting::Answer(answer) => {
                self.counts.answered(class, &answer);
                commands.push(Command::Answer { to: origin, answer });
                return;
            }
            Meeting::Wait(number) => {
                entry.stage = Stage::Waiting;
                entry.notice = number;
            }
            Meeting::Recall(key) => {
                entry.stage = Stage::Waiting;
                entry.body = Vec::new();
                entry.notice = self.next_recall();
                commands.push(Command::Recall {
                    id,
                    number: entry.notice,
                    key,
                });
            }
        }
        self.entries.insert(id, entry);
        self.dues.insert((due, id));
    }

    fn act(&mut self, now: Micros, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Run(id) => {
                let Some(entry) = self.entries.get_mut(&id) else {
                    return;
                };
                if !matches!(entry.stage, Stage::Held) {
                    return;
                }
                if entry.keyed {
                    return self.run_keyed(now, id, commands);
                }
                entry.stage = Stage::Running;
                trace::starts(now, id);
                let safe = self.settings.classes[entry.class].effect == Effect::Safe;
                let body = if safe {
                    entry.body.clone()
                } else {
                    std::mem::take(&mut entry.body)
                };
                self.counts.relayed(entry.class);
                commands.push(Command::Start {
                    id,
                    class: entry.class,
                    body,
                });
            }
            Action::Refuse {
                id,
                avoid_for,
                last,
            } => {
                // The promise that it never ran is only given where that is known.
                let held = self
                    .entries
                    .get(&id)
                    .is_some_and(|e| matches!(e.stage, Stage::Held));
                let refused = Answer::Refused {
                    later: avoid_for,
                    last,
                };
                if !held || !self.refuse_keyed(now, id, &refused, commands) {
                    self.answer(
                        now,
                        id,
                        if held { refused } else { Answer::Failed },
                        commands,
                    );
                }
            }
            Action::Share(id) if self.entries.get(&id).is_some_and(|entry| entry.keyed) => {
                if let Some(entry) = self
                    .entries
                    .get_mut(&id)
                    .filter(|e| matches!(e.stage, Stage::Held))
                {
                    entry.stage = Stage::Waiting;
                }
            }
            Action::Fail(id) | Action::Share(id) => {
                // The controller gives up a little before the due time, so that the answer comes by then.
                let late = self.stepped + self.settings.answer_slack;
                let past = self.entries.get(&id).is_some_and(|entry| late >= entry.due);
                self.answer(
                    now,
                    id,
                    if past {
                        Answer::Expired
                    } else {
                        Answer::Failed
                    },
                    commands,
                );
            }
            Action::Call { id, timeout } => {
                let Some(entry) = self.entries.get_mut(&id) else {
                    return;
                };
                if matches!(entry.stage, Stage::AtCall) && !entry.answered {
                    entry.stage = Stage::Calling;
                    let repeatable = self.settings.classes[entry.class].effect == Effect::Safe;
                    commands.push(Command::Call(Call {
                        id,
                        body: entry.call.clone(),
                        timeout,
                        repeatable,
                    }));
                }
            }
            Action::SkipCall(id) => {
                let Some(entry) = self.entries.get_mut(&id) else {
                    return;
                };
                if matches!(entry.stage, Stage::AtCall) {
                    entry.stage = Stage::Running;
                    commands.push(Command::Omit {
                        id,
                        notice: entry.notice,
                    });
                }
            }
            // Only of what is over, and never of what has an effect that its repeats are told of.
            Action::Halt(id) => {
                let Some(entry) = self.entries.get(&id) else {
                    return;
                };
                if matches!(entry.stage, Stage::Running) && entry.answered && !entry.keyed {
                    commands.push(Command::Stop(id));
                }
            }
            Action::Timer { at, token } => {
                self.timers.insert((at, token));
            }
            Action::Advertise(value) => {
                trace::advertised(now, value);
                commands.push(Command::Feedback(value));
            }
            Action::CloseIdle(after) => commands.push(Command::CloseIdle(after)),
            Action::Health { good, .. } => commands.push(Command::Health(good)),
            // What is kept of a key is the history's affair.
            Action::Remember { .. } | Action::Forget(_) => {}
        }
    }

    /// Answers a request unless it was answered before; tells whether it did.
    fn answer(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: Answer,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(entry) = self.entries.get(&id).filter(|entry| !entry.answered) else {
            return false;
        };
        self.counts.answered(entry.class, &answer);
        trace::answered(now, id, entry.request.caller, entry.door, &answer);
        commands.push(Command::Answer {
            to: entry.origin,
            answer,
        });
        self.over(now, id, commands);
        true
    }

    /// No answer is owed any more: a held request is gone, a call abandoned, and a run ends in its own time.
    fn over(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.answered = true;
        self.dues.remove(&(entry.due, id));
        let keyed = entry.keyed;
        match entry.stage {
            Stage::Held | Stage::Ending | Stage::Waiting => {
                self.entries.remove(&id);
            }
            // Whether it still starts is for those to say who wait for it.
            Stage::Starting => {}
            Stage::Calling => {
                entry.stage = Stage::AtCall;
                commands.push(Command::Abandon(id));
            }
            Stage::Running if entry.doubtful => {
                // Guards against a run that never was and would hold its place on the cores for ever.
                self.entries.remove(&id);
                self.events.push(Event::RunEnded {
                    id,
                    outcome: Outcome::Withdrawn,
                    elapsed: 0,
                });
            }
            Stage::Running | Stage::AtCall => {}
        }
        if keyed {
            self.leave_key(now, id, commands);
        }
    }
}
