//! The four rules asserted after each step of many random, legal sequences of events, each from a fixed seed.

mod common;

use cleatpulley::interface::*;
use cleatpulley::Controller;
use common::*;
use std::collections::BTreeMap;

/// A generator of its own (splitmix64), so that a sequence is the same on every machine.
struct RandomSource(u64);

impl RandomSource {
    fn next_below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % limit
    }

    fn is_one_in(&mut self, n: u64) -> bool {
        self.next_below(n) == 0
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum At {
    Held,
    Cores,
    Call,
    Called,
    Sharing(RequestId),
    Over,
}

#[derive(Debug, Clone)]
struct RequestRecord {
    class: usize,
    /// What it shares with its further tries.
    key: u64,
    arrived: Micros,
    due: Micros,
    at: At,
    started: Micros,
    ran: bool,
    answered: bool,
    /// Its last call may have taken effect although it did not succeed.
    unsure: bool,
    memory_kb: f64,
}

/// The server around one controller: plays random events and holds every action against the rules.
struct ServerModel {
    settings: Settings,
    controller: Controller,
    chance: RandomSource,
    now: Micros,
    seen: BTreeMap<RequestId, RequestRecord>,
    /// Entries in the table of keys: the key's holder and when it runs out.
    entries: BTreeMap<RequestId, Micros>,
    drain: Option<(Micros, Micros)>,
    log: Vec<Action>,
}

impl ServerModel {
    fn new(settings: Settings, seed: u64) -> Self {
        let controller = Controller::new(settings.clone(), seed);
        let mut world = Self {
            settings,
            controller,
            chance: RandomSource(seed),
            now: 50 * SECOND,
            seen: BTreeMap::new(),
            entries: BTreeMap::new(),
            drain: None,
            log: Vec::new(),
        };
        world.step(&[Event::Started]);
        world
    }

    fn step(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.controller.step(self.now, events, &mut actions);
        for action in &actions {
            self.take(action);
        }
        self.log.extend(actions);
        self.check_invariants();
    }

    fn take(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::Run(id) => {
                let request = self.seen[&id].clone();
                assert_eq!(request.at, At::Held, "only what is held can run");
                assert!(!request.answered, "an answered request must not run");
                let class = &self.settings.classes[request.class];
                if class.effect == Effect::Deduplicated {
                    let twice = self.seen.iter().any(|(other, seen)| {
                        *other != id
                            && seen.key == request.key
                            && seen.ran
                            && request.arrived <= seen.arrived + class.deduplication_window
                    });
                    assert!(!twice, "a keyed request runs once in its window");
                }
                if let Some((notice, _)) = self.drain {
                    assert!(
                        request.arrived <= notice + self.settings.drain_grace,
                        "after the grace"
                    );
                }
                let request = self.seen.get_mut(&id).expect("seen");
                (request.at, request.ran, request.started) = (At::Cores, true, now);
            }
            Action::Reject { id, .. } => {
                let request = self
                    .seen
                    .get_mut(&id)
                    .expect("only what arrived is refused");
                assert_eq!(request.at, At::Held, "a refusal promises that it never ran");
                assert!(!request.answered, "one final answer");
                (request.answered, request.at) = (true, At::Over);
            }
            Action::Fail(id) => {
                let request = self.seen.get_mut(&id).expect("only what arrived is failed");
                assert!(!request.answered, "one final answer");
                request.answered = true;
                if matches!(request.at, At::Held | At::Sharing(_)) {
                    request.at = At::Over;
                }
            }
            Action::Call { id, .. } => {
                let request = self.seen.get_mut(&id).expect("seen");
                assert_eq!(request.at, At::Call, "only what stands at a call can call");
                let safe = self.settings.classes[request.class].effect == Effect::Idempotent;
                assert!(
                    safe || !request.unsure,
                    "a call that may have taken effect is not made again"
                );
                request.at = At::Called;
            }
            Action::SkipCall(id) => {
                let request = self.seen.get_mut(&id).expect("seen");
                assert_eq!(request.at, At::Call);
                assert!(
                    self.settings.classes[request.class].weight_ratio_without_call > 0.0,
                    "this call can't be left out"
                );
                request.at = At::Cores;
            }
            Action::ShareResponse(id) => {
                let request = self.seen.get_mut(&id).expect("seen");
                let At::Sharing(_) = request.at else {
                    panic!("nothing to share: {request:?}")
                };
            }
            Action::InsertKey { id, lifetime } => {
                self.entries.insert(id, now + lifetime);
            }
            Action::RemoveKey(id) => {
                self.entries.remove(&id);
            }
            Action::Preempt(id) => {
                assert_ne!(
                    self.settings.preemption,
                    Preemption::Never,
                    "nothing may be stopped here"
                );
                let request = &self.seen[&id];
                assert_eq!(request.at, At::Cores, "only what runs is stopped");
                assert!(request.answered, "an answer is owed");
                let safe = self.settings.classes[request.class].effect == Effect::Idempotent;
                assert!(safe, "what has an effect is not stopped");
            }
            Action::SetTimer { .. }
            | Action::SetFeedback(_)
            | Action::CloseIdleConnections(_)
            | Action::SetHealth { .. } => {}
        }
    }

    fn check_invariants(&mut self) {
        self.entries.retain(|_, until| *until > self.now);
        let (mut memory, mut on_cores, mut calls) =
            (self.entries.len() as f64 * self.settings.key_entry_kb, 0, 0);
        for (id, request) in &self.seen {
            let stop = self.drain.map_or(Micros::MAX, |(_, stop_at)| stop_at);
            let latest = (request.due + self.settings.response_slack).min(stop);
            assert!(
                request.answered || self.now <= latest,
                "request {id} got no answer in time"
            );
            let factor = match request.at {
                At::Over => 0.0,
                At::Held | At::Sharing(_) => 1.0,
                At::Cores | At::Call | At::Called => self.settings.running_memory_factor,
            };
            memory += request.memory_kb * factor;
            on_cores += u32::from(request.at == At::Cores);
            calls += u32::from(request.at == At::Called);
        }
        assert!(memory <= self.settings.memory_kb, "{memory} kB");
        let crowd =
            self.settings.overload_concurrency_per_core * f64::from(self.settings.cores.max(1));
        assert!(
            f64::from(on_cores) <= crowd.max(1.0),
            "{on_cores} on the cores"
        );
        if let DependencyLimit::Shared {
            concurrency_quota: share,
            ..
        } = self.settings.dependency
        {
            assert!(f64::from(calls) <= share.max(1.0), "{calls} calls in hand");
        }
    }

    /// A new request, or now and then a further try of a keyed one.
    fn arrival(&mut self, id: RequestId) -> Event {
        let class = self.chance.next_below(self.settings.classes.len() as u64) as usize;
        let keyed = self.settings.classes[class].effect == Effect::Deduplicated;
        let fresh_key = id << 8;
        let tries: Vec<u64> = self
            .seen
            .values()
            .filter(|s| s.class == class)
            .map(|s| s.key)
            .collect();
        let again = keyed && !tries.is_empty() && self.chance.is_one_in(3);
        let key = if again {
            tries[self.chance.next_below(tries.len() as u64) as usize]
        } else {
            fresh_key
        };
        let same = |other: &RequestId| self.seen.get(other).is_some_and(|seen| seen.key == key);
        let kept = self.entries.keys().copied().find(same);
        let held = self
            .seen
            .iter()
            .find(|(_, s)| s.key == key && s.at == At::Held)
            .map(|(other, _)| *other);
        let prior = held.or(kept);
        let waited = self.chance.next_below(20) * MS;
        let arrived = self.now - waited;
        let due = self.now + (1 + self.chance.next_below(6)) * SECOND;
        let memory_kb = 5.0 + self.chance.next_below(40) as f64;
        // What is not held can only be repeated by sharing.
        let at = prior
            .filter(|_| held.is_none())
            .map_or(At::Held, At::Sharing);
        let seen = RequestRecord {
            class,
            key,
            arrived,
            due,
            at,
            started: 0,
            ran: false,
            answered: false,
            unsure: false,
            memory_kb,
        };
        self.seen.insert(id, seen);
        let (retry, rank) = (again, self.chance.next_below(100) as f64 / 100.0);
        let work = self
            .chance
            .is_one_in(2)
            .then(|| (50 + self.chance.next_below(500)) * MS);
        let request = Request {
            id,
            class,
            respond_by: Some(due),
            read_delay: waited,
            duplicate_of: prior,
            is_retry: retry,
            rank,
            expected_work: work,
            ..Request::default()
        };
        Event::Arrived(Request {
            memory_kb,
            ..request
        })
    }

    /// What may become of one request by itself in this moment.
    fn progress(&mut self, id: RequestId) -> Option<Event> {
        let request = self.seen[&id].clone();
        let elapsed = self.now - request.started;
        let outcome = match request.at {
            At::Over => return None,
            At::Held if !request.answered && self.chance.is_one_in(200) => {
                let request = self.seen.get_mut(&id).expect("seen");
                (request.answered, request.at) = (true, At::Over);
                return Some(Event::Abandoned(id));
            }
            At::Held => return None,
            At::Cores
                if self.settings.classes[request.class].calls_dependency
                    && self.chance.is_one_in(6) =>
            {
                self.seen.get_mut(&id).expect("seen").at =
                    if request.answered { At::Over } else { At::Call };
                if !request.answered {
                    return Some(Event::CallRequested(id));
                }
                Outcome::Cancelled
            }
            At::Cores if self.chance.is_one_in(8) => {
                [Outcome::Success, Outcome::Success, Outcome::Failure]
                    [self.chance.next_below(3) as usize]
            }
            At::Cores => return None,
            At::Call | At::Called if request.answered => Outcome::Cancelled,
            At::Call => return None,
            At::Called if self.chance.is_one_in(5) => {
                let outcome = [
                    Outcome::Success,
                    Outcome::Success,
                    Outcome::Failure,
                    Outcome::Overloaded,
                    Outcome::TimedOut,
                    Outcome::Unreachable,
                    Outcome::Interrupted,
                ][self.chance.next_below(7) as usize];
                let at = if outcome == Outcome::Success {
                    At::Cores
                } else {
                    At::Call
                };
                let request = self.seen.get_mut(&id).expect("seen");
                request.at = at;
                request.unsure = matches!(
                    outcome,
                    Outcome::Failure | Outcome::TimedOut | Outcome::Interrupted
                );
                return Some(call_ended(id, outcome, self.chance.next_below(800) * MS));
            }
            At::Called => return None,
            At::Sharing(prior) => {
                if self
                    .seen
                    .get(&prior)
                    .is_some_and(|prior| prior.at != At::Over)
                {
                    return None;
                }
                Outcome::Success
            }
        };
        let request = self.seen.get_mut(&id).expect("seen");
        (request.answered, request.at) = (true, At::Over);
        Some(Event::RunEnded {
            id,
            outcome,
            elapsed,
        })
    }

    fn play(mut self, steps: u64, drains: bool) -> Vec<Action> {
        let mut next = 1;
        for step in 0..steps {
            self.now += (1 + self.chance.next_below(40)) * MS;
            let ids: Vec<RequestId> = self.seen.keys().copied().collect();
            let mut events: Vec<Event> =
                ids.into_iter().filter_map(|id| self.progress(id)).collect();
            let gauges = Gauges {
                runnable: Some(self.chance.next_below(8) as f64),
                memory: None,
            };
            events.push(Event::TimerExpired { token: 0, gauges });
            if drains && step == steps / 2 {
                let stop_at = self.now + 4 * SECOND;
                self.drain = Some((self.now, stop_at));
                events.push(Event::DrainStarted { stop_at });
            }
            self.step(&events);
            if self
                .drain
                .is_none_or(|(_, stop_at)| self.now + SECOND < stop_at)
                && self.chance.is_one_in(2)
            {
                let event = self.arrival(next);
                next += 1;
                self.step(&[event]);
            }
        }
        self.finish_all();
        self.log
    }

    /// Lets all end, and sees that nothing is left behind.
    fn finish_all(&mut self) {
        for _ in 0..1_500 {
            self.now += 10 * MS;
            let ids: Vec<RequestId> = self.seen.keys().copied().collect();
            let mut events: Vec<Event> =
                ids.into_iter().filter_map(|id| self.progress(id)).collect();
            events.push(Event::TimerExpired {
                token: 0,
                gauges: Gauges::default(),
            });
            self.step(&events);
        }
        assert!(self
            .seen
            .values()
            .all(|request| request.answered && request.at == At::Over));
        let left = format!("{:?}", self.controller);
        assert!(
            left.contains("requests: {}"),
            "records of requests that are over: {left}"
        );
    }
}

fn varied() -> Settings {
    let classes = vec![
        class(Effect::Idempotent, false),
        Class {
            priority_weight: 5.0,
            late_weight_ratio: 0.2,
            ..class(Effect::Deduplicated, true)
        },
        class(Effect::Idempotent, true),
        class(Effect::AtMostOnce, true),
        Class {
            weight_ratio_without_call: 0.5,
            ..class(Effect::Idempotent, true)
        },
    ];
    Settings {
        classes,
        memory_kb: 3_000.0,
        ..settings()
    }
}

fn play_all(settings: &Settings) {
    for seed in 0..6 {
        for drains in [false, true] {
            ServerModel::new(settings.clone(), seed).play(600, drains);
        }
    }
}

#[test]
fn random_events_never_break_a_rule() {
    play_all(&varied());
    play_all(&Settings {
        preemption: Preemption::Discard,
        ..varied()
    });
}

#[test]
fn random_events_never_break_a_rule_on_a_cold_server_with_one_core_and_little_memory() {
    play_all(&Settings {
        cores: 1,
        cold_start: true,
        memory_kb: 800.0,
        ..varied()
    });
}

#[test]
fn random_events_never_break_a_rule_with_any_kind_of_dependency() {
    play_all(&Settings {
        dependency: DependencyLimit::Shared {
            concurrency_quota: 0.01,
            averaging_window: 5 * SECOND,
        },
        ..varied()
    });
    play_all(&Settings {
        dependency: DependencyLimit::NextTier,
        ..varied()
    });
    let mut alone = varied();
    alone.dependency = DependencyLimit::NoDependency;
    alone
        .classes
        .iter_mut()
        .for_each(|class| class.calls_dependency = false);
    play_all(&alone);
}

#[test]
fn random_events_never_break_a_rule_with_tenants_and_many_callers_or_without_windows() {
    let tenants = vec![
        Tenant {
            quota_per_second: 3.0,
        },
        Tenant {
            quota_per_second: 0.0,
        },
    ];
    play_all(&Settings {
        tenants,
        callers: 1_000,
        servers: 300,
        ..varied()
    });
    let mut brief = varied();
    brief
        .classes
        .iter_mut()
        .for_each(|class| class.deduplication_window = 0);
    play_all(&brief);
}

#[test]
fn same_seed_gives_the_same_actions() {
    let log = |seed| ServerModel::new(varied(), seed).play(400, true);
    assert_eq!(log(5), log(5));
    assert_ne!(log(5), log(6));
}

#[test]
fn random_events_never_exceed_a_small_survivable_concurrency() {
    let mut crowded = Settings {
        overload_concurrency_per_core: 2.0,
        dependency: DependencyLimit::NoDependency,
        ..varied()
    };
    crowded
        .classes
        .iter_mut()
        .for_each(|class| class.calls_dependency = false);
    play_all(&crowded);
}
