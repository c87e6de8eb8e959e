//! Test harness that passes events to one controller, with default settings and helpers.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

use cleatpulley::interface::*;
use cleatpulley::Controller;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn class(effect: Effect, calls_dependency: bool) -> Class {
    Class {
        effect,
        latency_objective: 2 * SECOND,
        latency_objective_stretch: 0.0,
        client_timeout: 8 * SECOND,
        late_weight_ratio: 0.0,
        priority_weight: 1.0,
        deduplication_window: 20 * SECOND,
        calls_dependency,
        weight_ratio_without_call: 0.0,
    }
}

/// Settings with two cores and three classes: idempotent (0), deduplicated (1), and idempotent with
/// calls to the dependency (2).
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Idempotent, false),
            class(Effect::Deduplicated, false),
            class(Effect::Idempotent, true),
        ],
        tenants: Vec::new(),
        over_quota_weight_ratio: 0.1,
        weight_by_work: false,
        marks_retries: true,
        servers: 2,
        callers: 2,
        cores: 2,
        memory_kb: 10_000.0,
        key_entry_kb: 10.0,
        running_memory_factor: 8.0,
        dependency: DependencyLimit::Shared {
            concurrency_quota: 4.0,
            averaging_window: 5 * SECOND,
        },
        client_idle_timeout: 30 * SECOND,
        abandoned_call_linger: 200 * MS,
        shared_response_lifetime: 0,
        feedback: FeedbackKind::Weight,
        max_retry_after: SECOND,
        reports_abandonment: true,
        preemption: Preemption::Never,
        discovery_follows_health: true,
        cold_start: false,
        cold_start_speed: 0.2,
        warm_up_time: 10 * SECOND,
        response_slack: 60 * MS,
        drain_grace: 2 * SECOND,
        overload_concurrency_per_core: 6.0,
        tick: 4 * MS,
    }
}

pub struct ControllerHarness {
    pub controller: Controller,
    pub now: Micros,
}

impl ControllerHarness {
    /// Creates a controller that has started at second 100.
    pub fn new(settings: Settings) -> Self {
        let mut harness = Self {
            controller: Controller::new(settings, 7),
            now: 100 * SECOND,
        };
        harness.step(&[Event::Started]);
        harness
    }

    /// Passes events to the controller at the current time, and returns its actions.
    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.step(self.now, events, &mut actions);
        actions
    }

    /// Advances the clock with a timer event every 20 ms, and returns all actions other than
    /// timers.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let end = self.now + duration;
        let mut all_actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 20 * MS).min(end);
            all_actions.extend(self.step(&[Event::TimerExpired {
                token: 0,
                gauges: Gauges::default(),
            }]));
        }
        all_actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
        all_actions
    }

    pub fn request(&self, id: RequestId, class: usize) -> Request {
        Request {
            id,
            class,
            respond_by: Some(self.now + 8 * SECOND),
            memory_kb: 10.0,
            ..Request::default()
        }
    }

    pub fn arrive(&mut self, id: RequestId, class: usize) -> Vec<Action> {
        self.step(&[Event::Arrived(self.request(id, class))])
    }
}

pub fn run_ended(id: RequestId, elapsed: Micros) -> Event {
    Event::RunEnded {
        id,
        outcome: Outcome::Success,
        elapsed,
    }
}

pub fn call_ended(id: RequestId, outcome: Outcome, elapsed: Micros) -> Event {
    Event::CallEnded {
        id,
        outcome,
        elapsed,
    }
}

pub fn started_runs(actions: &[Action]) -> Vec<RequestId> {
    actions
        .iter()
        .filter_map(|action| {
            if let Action::Run(id) = action {
                Some(*id)
            } else {
                None
            }
        })
        .collect()
}

pub fn made_calls(actions: &[Action]) -> Vec<RequestId> {
    actions
        .iter()
        .filter_map(|action| {
            if let Action::Call { id, .. } = action {
                Some(*id)
            } else {
                None
            }
        })
        .collect()
}

pub fn rejected(actions: &[Action]) -> Vec<RequestId> {
    actions
        .iter()
        .filter_map(|action| {
            if let Action::Reject { id, .. } = action {
                Some(*id)
            } else {
                None
            }
        })
        .collect()
}

pub fn failed(actions: &[Action]) -> Vec<RequestId> {
    actions
        .iter()
        .filter_map(|action| {
            if let Action::Fail(id) = action {
                Some(*id)
            } else {
                None
            }
        })
        .collect()
}
