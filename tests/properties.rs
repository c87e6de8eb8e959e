//! Property tests: asserts the four rules of the controller after each step of many random, valid
//! sequences of events, each from a fixed seed.

mod common;

use cleatpulley::interface::*;
use cleatpulley::Controller;
use common::*;
use std::collections::BTreeMap;

/// SplitMix64 generator, so that a seed gives the same sequence on every machine.
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

/// Stage of a request's life cycle, as the model tracks it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Queued,
    Running,
    AwaitingCall,
    Calling,
    Sharing(RequestId),
    Done,
}

#[derive(Debug, Clone)]
struct RequestRecord {
    class: usize,
    /// Key that all attempts of the request share.
    key: u64,
    arrived_at: Micros,
    deadline: Micros,
    stage: Stage,
    started_at: Micros,
    has_run: bool,
    /// Whether it has its response, or its caller no longer waits.
    is_settled: bool,
    /// Whether its last call may have taken effect although it did not succeed.
    may_have_taken_effect: bool,
    memory_kb: f64,
}

/// Model of the server around one controller: generates random events and checks every action
/// against the rules.
struct ServerModel {
    settings: Settings,
    controller: Controller,
    random: RandomSource,
    now: Micros,
    requests: BTreeMap<RequestId, RequestRecord>,
    /// Expiry times of the entries in the table of keys, by id of the request that holds the key.
    key_entries: BTreeMap<RequestId, Micros>,
    /// Start of the drain, and time at which the process is stopped.
    drain: Option<(Micros, Micros)>,
    action_log: Vec<Action>,
}

impl ServerModel {
    fn new(settings: Settings, seed: u64) -> Self {
        let controller = Controller::new(settings.clone(), seed);
        let mut model = Self {
            settings,
            controller,
            random: RandomSource(seed),
            now: 50 * SECOND,
            requests: BTreeMap::new(),
            key_entries: BTreeMap::new(),
            drain: None,
            action_log: Vec::new(),
        };
        model.step(&[Event::Started]);
        model
    }

    fn step(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.controller.step(self.now, events, &mut actions);
        for action in &actions {
            self.apply_action(action);
        }
        self.action_log.extend(actions);
        self.check_invariants();
    }

    fn apply_action(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::Run(id) => {
                let request = self.requests[&id].clone();
                assert_eq!(
                    request.stage,
                    Stage::Queued,
                    "only a queued request can run"
                );
                assert!(!request.is_settled, "a settled request must not run");
                let class = &self.settings.classes[request.class];
                if class.effect == Effect::Deduplicated {
                    let has_run_before = self.requests.iter().any(|(other, record)| {
                        *other != id
                            && record.key == request.key
                            && record.has_run
                            && request.arrived_at <= record.arrived_at + class.deduplication_window
                    });
                    assert!(
                        !has_run_before,
                        "a request with a key must run only once in its deduplication window"
                    );
                }
                if let Some((drain_started_at, _)) = self.drain {
                    assert!(
                        request.arrived_at <= drain_started_at + self.settings.drain_grace,
                        "a request that arrives after the drain grace period must not run"
                    );
                }
                let request = self.requests.get_mut(&id).expect("the request is known");
                (request.stage, request.has_run, request.started_at) = (Stage::Running, true, now);
            }
            Action::Reject { id, .. } => {
                let request = self
                    .requests
                    .get_mut(&id)
                    .expect("only a known request can be rejected");
                assert_eq!(
                    request.stage,
                    Stage::Queued,
                    "a rejected request must never have run"
                );
                assert!(!request.is_settled, "a request must get only one response");
                (request.is_settled, request.stage) = (true, Stage::Done);
            }
            Action::Fail(id) => {
                let request = self
                    .requests
                    .get_mut(&id)
                    .expect("only a known request can fail");
                assert!(!request.is_settled, "a request must get only one response");
                request.is_settled = true;
                if matches!(request.stage, Stage::Queued | Stage::Sharing(_)) {
                    request.stage = Stage::Done;
                }
            }
            Action::Call { id, .. } => {
                let request = self.requests.get_mut(&id).expect("the request is known");
                assert_eq!(
                    request.stage,
                    Stage::AwaitingCall,
                    "only a run that awaits its call can make it"
                );
                let is_idempotent =
                    self.settings.classes[request.class].effect == Effect::Idempotent;
                assert!(
                    is_idempotent || !request.may_have_taken_effect,
                    "a call that may have taken effect must not be repeated"
                );
                request.stage = Stage::Calling;
            }
            Action::SkipCall(id) => {
                let request = self.requests.get_mut(&id).expect("the request is known");
                assert_eq!(request.stage, Stage::AwaitingCall);
                assert!(
                    self.settings.classes[request.class].weight_ratio_without_call > 0.0,
                    "the class does not allow skipping the call"
                );
                request.stage = Stage::Running;
            }
            Action::ShareResponse(id) => {
                let request = self.requests.get_mut(&id).expect("the request is known");
                let Stage::Sharing(_) = request.stage else {
                    panic!("the request has no original to share a response with: {request:?}")
                };
            }
            Action::InsertKey { id, lifetime } => {
                self.key_entries.insert(id, now + lifetime);
            }
            Action::RemoveKey(id) => {
                self.key_entries.remove(&id);
            }
            Action::Preempt(id) => {
                assert_ne!(
                    self.settings.preemption,
                    Preemption::Never,
                    "these settings forbid preemption"
                );
                let request = &self.requests[&id];
                assert_eq!(
                    request.stage,
                    Stage::Running,
                    "only a running request can be preempted"
                );
                assert!(
                    request.is_settled,
                    "a request without a response must not be preempted"
                );
                let is_idempotent =
                    self.settings.classes[request.class].effect == Effect::Idempotent;
                assert!(is_idempotent, "only idempotent requests can be preempted");
            }
            Action::SetTimer { .. }
            | Action::SetFeedback(_)
            | Action::CloseIdleConnections(_)
            | Action::SetHealth { .. } => {}
        }
    }

    fn check_invariants(&mut self) {
        self.key_entries
            .retain(|_, expires_at| *expires_at > self.now);
        let (mut memory, mut on_cores, mut calls) = (
            self.key_entries.len() as f64 * self.settings.key_entry_kb,
            0,
            0,
        );
        for (id, request) in &self.requests {
            let stop = self.drain.map_or(Micros::MAX, |(_, stop_at)| stop_at);
            let latest = (request.deadline + self.settings.response_slack).min(stop);
            assert!(
                request.is_settled || self.now <= latest,
                "request {id} got no response in time"
            );
            let factor = match request.stage {
                Stage::Done => 0.0,
                Stage::Queued | Stage::Sharing(_) => 1.0,
                Stage::Running | Stage::AwaitingCall | Stage::Calling => {
                    self.settings.running_memory_factor
                }
            };
            memory += request.memory_kb * factor;
            on_cores += u32::from(request.stage == Stage::Running);
            calls += u32::from(request.stage == Stage::Calling);
        }
        assert!(
            memory <= self.settings.memory_kb,
            "requests and keys use {memory} kB"
        );
        let max_running =
            self.settings.overload_concurrency_per_core * f64::from(self.settings.cores.max(1));
        assert!(
            f64::from(on_cores) <= max_running.max(1.0),
            "{on_cores} requests occupy a core"
        );
        if let DependencyLimit::Shared {
            concurrency_quota: quota,
            ..
        } = self.settings.dependency
        {
            assert!(
                f64::from(calls) <= quota.max(1.0),
                "{calls} calls are in flight"
            );
        }
    }

    /// Returns the arrival of a new request, or sometimes of a retry of one with a key.
    fn next_arrival(&mut self, id: RequestId) -> Event {
        let class = self.random.next_below(self.settings.classes.len() as u64) as usize;
        let is_keyed = self.settings.classes[class].effect == Effect::Deduplicated;
        let new_key = id << 8;
        let known_keys: Vec<u64> = self
            .requests
            .values()
            .filter(|record| record.class == class)
            .map(|record| record.key)
            .collect();
        let is_repeat = is_keyed && !known_keys.is_empty() && self.random.is_one_in(3);
        let key = if is_repeat {
            known_keys[self.random.next_below(known_keys.len() as u64) as usize]
        } else {
            new_key
        };
        let has_same_key = |other: &RequestId| {
            self.requests
                .get(other)
                .is_some_and(|record| record.key == key)
        };
        let key_holder = self.key_entries.keys().copied().find(has_same_key);
        let queued_attempt = self
            .requests
            .iter()
            .find(|(_, record)| record.key == key && record.stage == Stage::Queued)
            .map(|(other, _)| *other);
        let original = queued_attempt.or(key_holder);
        let read_delay = self.random.next_below(20) * MS;
        let arrived_at = self.now - read_delay;
        let deadline = self.now + (1 + self.random.next_below(6)) * SECOND;
        let memory_kb = 5.0 + self.random.next_below(40) as f64;
        // A repeat of a request that is not queued can only share its response.
        let stage = original
            .filter(|_| queued_attempt.is_none())
            .map_or(Stage::Queued, Stage::Sharing);
        let record = RequestRecord {
            class,
            key,
            arrived_at,
            deadline,
            stage,
            started_at: 0,
            has_run: false,
            is_settled: false,
            may_have_taken_effect: false,
            memory_kb,
        };
        self.requests.insert(id, record);
        let (is_retry, rank) = (is_repeat, self.random.next_below(100) as f64 / 100.0);
        let work = self
            .random
            .is_one_in(2)
            .then(|| (50 + self.random.next_below(500)) * MS);
        let request = Request {
            id,
            class,
            respond_by: Some(deadline),
            read_delay,
            duplicate_of: original,
            is_retry,
            rank,
            expected_work: work,
            ..Request::default()
        };
        Event::Arrived(Request {
            memory_kb,
            ..request
        })
    }

    /// Returns a random event of this request, if one occurs in this step.
    fn next_event(&mut self, id: RequestId) -> Option<Event> {
        let request = self.requests[&id].clone();
        let elapsed = self.now - request.started_at;
        let outcome = match request.stage {
            Stage::Done => return None,
            Stage::Queued if !request.is_settled && self.random.is_one_in(200) => {
                let request = self.requests.get_mut(&id).expect("the request is known");
                (request.is_settled, request.stage) = (true, Stage::Done);
                return Some(Event::Abandoned(id));
            }
            Stage::Queued => return None,
            Stage::Running
                if self.settings.classes[request.class].calls_dependency
                    && self.random.is_one_in(6) =>
            {
                self.requests
                    .get_mut(&id)
                    .expect("the request is known")
                    .stage = if request.is_settled {
                    Stage::Done
                } else {
                    Stage::AwaitingCall
                };
                if !request.is_settled {
                    return Some(Event::CallRequested(id));
                }
                Outcome::Cancelled
            }
            Stage::Running if self.random.is_one_in(8) => {
                [Outcome::Success, Outcome::Success, Outcome::Failure]
                    [self.random.next_below(3) as usize]
            }
            Stage::Running => return None,
            Stage::AwaitingCall | Stage::Calling if request.is_settled => Outcome::Cancelled,
            Stage::AwaitingCall => return None,
            Stage::Calling if self.random.is_one_in(5) => {
                let outcome = [
                    Outcome::Success,
                    Outcome::Success,
                    Outcome::Failure,
                    Outcome::Overloaded,
                    Outcome::TimedOut,
                    Outcome::Unreachable,
                    Outcome::Interrupted,
                ][self.random.next_below(7) as usize];
                let stage = if outcome == Outcome::Success {
                    Stage::Running
                } else {
                    Stage::AwaitingCall
                };
                let request = self.requests.get_mut(&id).expect("the request is known");
                request.stage = stage;
                request.may_have_taken_effect = matches!(
                    outcome,
                    Outcome::Failure | Outcome::TimedOut | Outcome::Interrupted
                );
                return Some(call_ended(id, outcome, self.random.next_below(800) * MS));
            }
            Stage::Calling => return None,
            Stage::Sharing(original) => {
                if self
                    .requests
                    .get(&original)
                    .is_some_and(|original| original.stage != Stage::Done)
                {
                    return None;
                }
                Outcome::Success
            }
        };
        let request = self.requests.get_mut(&id).expect("the request is known");
        (request.is_settled, request.stage) = (true, Stage::Done);
        Some(Event::RunEnded {
            id,
            outcome,
            elapsed,
        })
    }

    fn run(mut self, steps: u64, drains_halfway: bool) -> Vec<Action> {
        let mut next = 1;
        for step in 0..steps {
            self.now += (1 + self.random.next_below(40)) * MS;
            let ids: Vec<RequestId> = self.requests.keys().copied().collect();
            let mut events: Vec<Event> = ids
                .into_iter()
                .filter_map(|id| self.next_event(id))
                .collect();
            let gauges = Gauges {
                runnable: Some(self.random.next_below(8) as f64),
                memory: None,
            };
            events.push(Event::TimerExpired { token: 0, gauges });
            if drains_halfway && step == steps / 2 {
                let stop_at = self.now + 4 * SECOND;
                self.drain = Some((self.now, stop_at));
                events.push(Event::DrainStarted { stop_at });
            }
            self.step(&events);
            if self
                .drain
                .is_none_or(|(_, stop_at)| self.now + SECOND < stop_at)
                && self.random.is_one_in(2)
            {
                let event = self.next_arrival(next);
                next += 1;
                self.step(&[event]);
            }
        }
        self.finish_requests();
        self.action_log
    }

    /// Lets all requests end, and asserts that the controller keeps no state of them.
    fn finish_requests(&mut self) {
        for _ in 0..1_500 {
            self.now += 10 * MS;
            let ids: Vec<RequestId> = self.requests.keys().copied().collect();
            let mut events: Vec<Event> = ids
                .into_iter()
                .filter_map(|id| self.next_event(id))
                .collect();
            events.push(Event::TimerExpired {
                token: 0,
                gauges: Gauges::default(),
            });
            self.step(&events);
        }
        assert!(self
            .requests
            .values()
            .all(|request| request.is_settled && request.stage == Stage::Done));
        let debug_output = format!("{:?}", self.controller);
        assert!(
            debug_output.contains("requests: {}"),
            "the controller keeps state of completed requests: {debug_output}"
        );
    }
}

fn mixed_class_settings() -> Settings {
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

fn run_all_seeds(settings: &Settings) {
    for seed in 0..6 {
        for drains_halfway in [false, true] {
            ServerModel::new(settings.clone(), seed).run(600, drains_halfway);
        }
    }
}

#[test]
fn random_events_never_break_a_rule() {
    run_all_seeds(&mixed_class_settings());
    run_all_seeds(&Settings {
        preemption: Preemption::Discard,
        ..mixed_class_settings()
    });
}

#[test]
fn random_events_never_break_a_rule_on_a_cold_server_with_one_core_and_little_memory() {
    run_all_seeds(&Settings {
        cores: 1,
        cold_start: true,
        memory_kb: 800.0,
        ..mixed_class_settings()
    });
}

#[test]
fn random_events_never_break_a_rule_with_any_kind_of_dependency() {
    run_all_seeds(&Settings {
        dependency: DependencyLimit::Shared {
            concurrency_quota: 0.01,
            averaging_window: 5 * SECOND,
        },
        ..mixed_class_settings()
    });
    run_all_seeds(&Settings {
        dependency: DependencyLimit::NextTier,
        ..mixed_class_settings()
    });
    let mut without_dependency = mixed_class_settings();
    without_dependency.dependency = DependencyLimit::NoDependency;
    without_dependency
        .classes
        .iter_mut()
        .for_each(|class| class.calls_dependency = false);
    run_all_seeds(&without_dependency);
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
    run_all_seeds(&Settings {
        tenants,
        callers: 1_000,
        servers: 300,
        ..mixed_class_settings()
    });
    let mut without_windows = mixed_class_settings();
    without_windows
        .classes
        .iter_mut()
        .for_each(|class| class.deduplication_window = 0);
    run_all_seeds(&without_windows);
}

#[test]
fn same_seed_gives_the_same_actions() {
    let action_log = |seed| ServerModel::new(mixed_class_settings(), seed).run(400, true);
    assert_eq!(action_log(5), action_log(5));
    assert_ne!(action_log(5), action_log(6));
}

#[test]
fn random_events_never_exceed_a_low_overload_concurrency() {
    let mut low_overload_concurrency = Settings {
        overload_concurrency_per_core: 2.0,
        dependency: DependencyLimit::NoDependency,
        ..mixed_class_settings()
    };
    low_overload_concurrency
        .classes
        .iter_mut()
        .for_each(|class| class.calls_dependency = false);
    run_all_seeds(&low_overload_concurrency);
}
