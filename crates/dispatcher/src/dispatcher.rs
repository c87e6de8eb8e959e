//! The dispatcher's state, and its processing of events, timers and controller steps.

use crate::command::Command;
use crate::controller_timers::ControllerTimers;
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::event::{Event, ResourceUsage};
use crate::idempotency_keys::IdempotencyKeys;
use crate::request_state::{RequestStage, RequestTable};
use crate::started_ids::{StartedId, StartedIds};
use cleatpulley_idempotency::key_table::KeyCommand;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Action, Event as ControllerEvent, Micros, Settings};
use cleatpulley_policy::learned_state::{LearnedState, LearnedStateError};
use cleatpulley_policy::Controller;

/// Manages the life cycle of a server's requests.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) driver: ControllerDriver,
    pub(crate) requests: RequestTable,
    pub(crate) deadlines: Deadlines,
    pub(crate) timers: ControllerTimers,
    pub(crate) keys: Option<IdempotencyKeys>,
    /// Commands of the table of keys that have not been executed yet.
    pub(crate) key_commands: Vec<KeyCommand>,
    pub(crate) counters: Counters,
    pub(crate) started_ids: StartedIds,
}

/// The controller, with its pending events and the buffer of its actions.
pub(crate) struct ControllerDriver {
    controller: Controller,
    is_started: bool,
    /// Time of the controller's last step.
    pub(crate) last_step_at: Micros,
    /// Events for the controller's next step.
    pub(crate) events: Vec<ControllerEvent>,
    actions: Vec<Action>,
    /// Usage of the table of keys that the controller was last notified of.
    pub(crate) reported_key_usage: KeyTableUsage,
}

/// Usage of the table of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KeyTableUsage {
    pub(crate) entries: usize,
    pub(crate) has_capacity: bool,
}

impl ControllerDriver {
    fn new(settings: Settings, seed: u64) -> Self {
        Self {
            controller: Controller::new(settings, seed),
            is_started: false,
            last_step_at: 0,
            events: Vec::new(),
            actions: Vec::new(),
            reported_key_usage: KeyTableUsage {
                entries: 0,
                has_capacity: true,
            },
        }
    }

    /// Queues an event for the controller's next step.
    pub(crate) fn notify(&mut self, event: ControllerEvent) {
        self.events.push(event);
    }
}

impl Dispatcher {
    /// Creates the dispatcher of a process that has just started.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        // A response must be the result of the request's own run, so responses are not shared.
        let settings = Settings {
            shared_response_lifetime: 0,
            ..settings
        };
        Self {
            driver: ControllerDriver::new(settings.clone(), seed),
            requests: RequestTable::default(),
            deadlines: Deadlines::new(),
            timers: ControllerTimers::default(),
            keys: None,
            key_commands: Vec::new(),
            counters: Counters::new(settings.classes.len()),
            started_ids: StartedIds::default(),
            settings,
        }
    }

    /// Creates a dispatcher that caches the results of requests with an idempotency key.
    #[must_use]
    pub fn with_keys(mut settings: Settings, seed: u64, keys: IdempotencyKeys) -> Self {
        // The controller only has to remember a key while an attempt can still wait. It is notified
        // of the size of the whole table.
        for class in &mut settings.classes {
            class.deduplication_window = class.deduplication_window.min(class.client_timeout);
        }
        Self {
            keys: Some(keys),
            ..Self::new(settings, seed)
        }
    }

    /// Returns the number of requests in the table, including those that have their response but
    /// still run.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that have no response yet.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the ids of requests that may have run or may still run here. The process that takes over the
    /// clients must not run them again.
    #[must_use]
    pub fn export_started_ids(&self, now: Micros) -> Vec<StartedId> {
        let mut pending = StartedIds::default();
        for id in self.requests.ids_in_order(|_| true) {
            pending.on_started(now, id);
        }
        self.started_ids.iter().chain(pending.iter()).collect()
    }

    /// Records ids that another process of this server has exported.
    pub fn import_started_ids(&mut self, now: Micros, mut started_ids: Vec<StartedId>) {
        started_ids.sort_unstable_by_key(|started| started.expires_at);
        for started in started_ids {
            self.started_ids.insert(started);
        }
        self.started_ids.remove_expired(now);
    }

    /// Returns the counts of responses since the process started.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the resources of the machine that requests use.
    ///
    /// The memory includes what queued requests will need once the run limit is used up. A
    /// successor reserves that memory, since it would be notified of each start too late.
    #[must_use]
    pub fn resource_usage(&self) -> ResourceUsage {
        let count = |matches: fn(RequestStage) -> bool| {
            self.requests
                .iter()
                .filter(|request| matches(request.stage))
                .count()
        };
        let running = count(|stage| {
            matches!(
                stage,
                RequestStage::Running | RequestStage::PersistingIntent
            )
        });
        let calls = count(|stage| stage == RequestStage::Calling);
        ResourceUsage {
            running,
            memory_kb: self.reserved_memory_bytes(running) as f64 / 1e3,
            calls,
        }
    }

    /// Returns the memory of all requests, with the running memory of those queued requests that
    /// may start in addition to `running` others. Counted in whole bytes, so that the sum does not
    /// depend on the order.
    fn reserved_memory_bytes(&self, running: usize) -> u64 {
        let factor = self.settings.running_memory_factor.max(1.0);
        let present: u64 = self
            .requests
            .iter()
            .map(|request| {
                let queued_kb = request.controller_request.memory_kb;
                if request.stage.has_running_memory() {
                    (queued_kb * factor * 1e3) as u64
                } else {
                    (queued_kb * 1e3) as u64
                }
            })
            .sum();
        let growth_factor = (factor - 1.0) * 1e3;
        let mut growth: Vec<u64> = self
            .requests
            .iter()
            .filter(|request| request.stage == RequestStage::Queued)
            .map(|request| (request.controller_request.memory_kb * growth_factor) as u64)
            .collect();
        growth.sort_unstable_by(|left, right| right.cmp(left));
        let run_limit = self.driver.controller.learned_state().run_limit as usize;
        let starts = run_limit.saturating_sub(running);
        present + growth.into_iter().take(starts).sum::<u64>()
    }

    /// Returns the state that the controller has learned.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        self.driver.controller.learned_state()
    }

    /// Restores the state that the controller of another process has learned on this machine.
    ///
    /// # Errors
    /// Returns an error if a value is outside its valid range; nothing is restored then.
    pub fn restore_learned_state(
        &mut self,
        learned: &LearnedState,
    ) -> Result<(), LearnedStateError> {
        self.driver.controller.restore_learned_state(learned)
    }

    /// Handles an event. Decisions of the controller are made in the next [`poll`](Self::poll).
    pub fn handle_event(&mut self, now: Micros, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::RuntimeReady(age) => self.start(now, now.saturating_sub(age), commands),
            Event::RequestRead(request) => self.on_request(now, request, commands),
            Event::RequestForbidden(request) => self.on_forbidden_request(&request, commands),
            Event::ConnectionLost(connection) => {
                self.abandon_requests(now, |client| client.connection == connection, commands);
            }
            Event::RequestCancelled(cancelled) => {
                self.abandon_requests(now, |client| *client == cancelled, commands);
            }
            Event::CallRequested { id, notice, body } => {
                self.on_call_requested(id, notice, body, commands);
            }
            Event::RunEnded {
                id,
                outcome,
                elapsed,
                result,
            } => self.end_run(now, id, outcome, elapsed, result, commands),
            Event::CommandRejected { id, command } => {
                self.on_command_rejected(now, id, command, commands);
            }
            Event::CommandUncertain { id, command } => {
                self.resolve_uncertain_command(now, id, command, commands);
            }
            Event::CallEnded {
                id,
                outcome,
                elapsed,
                reply,
            } => self.on_call_ended(id, outcome, elapsed, reply, commands),
            Event::Gauges(gauges) => self.timers.set_gauges(now, gauges),
            Event::RuntimeReplaced => self.on_runtime_replaced(now, commands),
            Event::DrainStarted { .. } if is_bug_injected(InjectedBug::DrainIgnored) => {}
            Event::DrainStarted { stop_at } => {
                self.begin_shutdown(stop_at, ControllerEvent::DrainStarted { stop_at });
            }
            Event::Replaced { stop_at } => {
                self.begin_shutdown(stop_at, ControllerEvent::Replaced { stop_at });
            }
            Event::PredecessorUsage(usage) => {
                self.driver.notify(ControllerEvent::PredecessorUsage {
                    running: usage.running,
                    memory_kb: usage.memory_kb,
                    calls: usage.calls,
                });
            }
            Event::KeysRecovered(_)
            | Event::KeysDurable(_)
            | Event::PersistenceAvailable(_)
            | Event::CachedResultLoaded { .. } => self.on_key_event(now, event, commands),
        }
    }

    /// Runs a step of the controller if one is due, and responds to expired requests. Events are
    /// batched into steps that are at least one tick apart.
    pub fn poll(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.poll_keys(now, commands);
        if now >= self.next_step_at() {
            self.timers.expire(now, &mut self.driver.events);
            if !self.driver.events.is_empty() {
                if !self.driver.is_started {
                    self.start(now, now, commands);
                }
                self.step(now, commands);
            }
        }
        if self.timers.take_gauge_request(now) {
            commands.push(Command::ReadGauges);
        }
        self.respond_to_expired(now, commands);
    }

    /// Returns the time at which [`poll`](Self::poll) has to be called next, unless an event comes
    /// first.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        let next_step = self.next_step_at();
        let events = (!self.driver.events.is_empty()).then_some(next_step);
        let timer = self.timers.next_deadline(next_step);
        let response = self
            .deadlines
            .first()
            .map(|deadline| self.expires_at(deadline.respond_by));
        let keys = self
            .keys
            .as_ref()
            .and_then(|keys| keys.table.next_deadline());
        [events, timer, response, keys].into_iter().flatten().min()
    }

    fn next_step_at(&self) -> Micros {
        self.driver.last_step_at + self.settings.tick
    }

    /// Starts the controller with a first step at the time `started_at`.
    fn start(&mut self, now: Micros, started_at: Micros, commands: &mut Vec<Command>) {
        if self.driver.is_started {
            return;
        }
        self.driver.is_started = true;
        let start = vec![ControllerEvent::Started];
        let pending_events = std::mem::replace(&mut self.driver.events, start);
        self.step(started_at, commands);
        self.driver.events = pending_events;
        self.driver.last_step_at = now.saturating_sub(self.settings.tick);
    }

    /// Passes the pending events to the controller and executes its actions.
    fn step(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.driver.last_step_at = now;
        self.report_key_usage();
        let mut events = std::mem::take(&mut self.driver.events);
        self.update_read_delays(now, &mut events);
        let mut actions = std::mem::take(&mut self.driver.actions);
        self.driver.controller.step(now, &events, &mut actions);
        for action in actions.drain(..) {
            self.execute_action(now, action, commands);
        }
        self.driver.actions = actions;
        events.clear();
        events.append(&mut self.driver.events);
        self.driver.events = events;
    }

    /// Sets the read delay of arrivals, which includes the time that they waited for this step.
    fn update_read_delays(&self, now: Micros, events: &mut [ControllerEvent]) {
        for event in events {
            if let ControllerEvent::Arrived(request) = event {
                request.read_delay = match self.requests.get(request.id) {
                    Some(state) => now.saturating_sub(state.received_at),
                    None => 0,
                };
            }
        }
    }
}
