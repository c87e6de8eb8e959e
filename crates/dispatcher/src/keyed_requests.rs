//! Requests with an idempotency key: what the table of keys decides is carried out here, between the
//! controller's decisions and the adapters.

use crate::command::Command;
use crate::dispatcher::{Dispatcher, ReportedKeys};
use crate::event::{ClientStream, Event};
use crate::idempotency_keys::{EarlyAttempt, KeyDecision};
use crate::key_commands::response_of;
use crate::request_state::RequestStage;
use crate::response::Response;
use cleatpulley_idempotency::key_table::{KeyCommand, KeyTable, RecoveredKeys};
use cleatpulley_idempotency::record::{request_digest, KeyOutcome};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Event as ControllerEvent, Micros, RequestId};

impl Dispatcher {
    /// Returns the table of keys, where results are cached.
    #[must_use]
    pub fn key_table(&self) -> Option<&KeyTable> {
        self.keys.as_ref().map(|keys| &keys.table)
    }

    /// Returns an id for a request with a key: its own, or an unused one where another attempt with
    /// the same id is open or still runs. A proxy that retries a request does not give it a new id;
    /// its key identifies it.
    pub(crate) fn unused_id(&self, id: RequestId, client: ClientStream, class: usize) -> RequestId {
        let Some(keys) = &self.keys else { return id };
        if !keys.caches_results(class) {
            return id;
        }
        let mut unused = id;
        let mut attempt = 0_u64;
        while self.is_known(unused) {
            attempt += 1;
            let mut bytes = client.connection.to_be_bytes().to_vec();
            bytes.extend_from_slice(&client.stream.to_be_bytes());
            bytes.extend_from_slice(&attempt.to_be_bytes());
            unused = id ^ request_digest(0, &bytes) as u64;
        }
        unused
    }

    /// Releases the keys to another process, where nobody waits for any of them and none of them
    /// runs. From then on, a request with a key fails. Returns false where it is too early.
    pub fn release_keys(&mut self) -> bool {
        let awaits_key = self.requests.iter().any(|request| {
            matches!(
                request.stage,
                RequestStage::AwaitingKey
                    | RequestStage::PersistingIntent
                    | RequestStage::PersistingResult
            )
        });
        let Some(keys) = &mut self.keys else {
            return false;
        };
        if awaits_key || !keys.is_quiet() {
            return false;
        }
        keys.release();
        true
    }

    /// Takes the keys over again after they were released, as a process does that has just started.
    pub fn reclaim_keys(&mut self, table: KeyTable) {
        if let Some(keys) = &mut self.keys {
            keys.reclaim(table);
        }
    }

    pub(crate) fn on_key_event(&mut self, now: Micros, event: Event, commands: &mut Vec<Command>) {
        let Some(keys) = &mut self.keys else { return };
        if keys.is_released() {
            return;
        }
        match event {
            Event::KeysRecovered(recovered) => {
                let drops_keys = is_bug_injected(InjectedBug::RecoveredKeysDropped);
                let recovered = if drops_keys && !recovered.is_empty() {
                    RecoveredKeys::new(0)
                } else {
                    *recovered
                };
                keys.table.load(recovered);
                self.decide_on_early_attempts(now, commands);
            }
            Event::KeysDurable(sequence) => keys.table.on_durable(sequence, &mut self.key_commands),
            Event::PersistenceAvailable(is_available) => {
                keys.table
                    .set_persistence_available(is_available, &mut self.key_commands);
                self.decide_on_early_attempts(now, commands);
            }
            Event::CachedResultLoaded {
                id,
                number,
                outcome,
            } => self.on_cached_result(now, id, number, outcome, commands),
            _ => {}
        }
        self.carry_out_key_commands(now, commands);
    }

    fn on_cached_result(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u64,
        outcome: Option<KeyOutcome>,
        commands: &mut Vec<Command>,
    ) {
        let response = outcome.map_or(Response::Failed, response_of);
        if self.awaits_key(id, number) {
            self.respond(now, id, response, commands);
        }
    }

    /// Returns whether a request waits under this number. Another request may have the id of one
    /// that is over.
    fn awaits_key(&self, id: RequestId, wait_number: u64) -> bool {
        self.requests.get(id).is_some_and(|request| {
            request.stage == RequestStage::AwaitingKey && request.wait_number == wait_number
        })
    }

    pub(crate) fn next_wait_number(&mut self) -> u64 {
        match &mut self.keys {
            Some(keys) => keys.next_wait_number(),
            None => 0,
        }
    }

    /// Decides on the attempts that waited for the keys to be recovered, as if they came now.
    fn decide_on_early_attempts(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let Some(keys) = &mut self.keys else { return };
        for attempt in keys.take_early_attempts() {
            if self.awaits_key(attempt.id, attempt.wait_number) {
                self.decide_on_early_attempt(now, attempt, commands);
            }
        }
    }

    fn decide_on_early_attempt(
        &mut self,
        now: Micros,
        attempt: EarlyAttempt,
        commands: &mut Vec<Command>,
    ) {
        let EarlyAttempt {
            id, key, digest, ..
        } = attempt;
        let (Some(request), Some(keys)) = (self.requests.get_mut(id), &mut self.keys) else {
            return;
        };
        match keys.decide(now, &mut request.request, key, digest, |_| true) {
            KeyDecision::Admit => {
                request.stage = RequestStage::Queued;
                request.wait_number = 0;
                let arrival = ControllerEvent::Arrived(request.request.clone());
                self.driver.notify(arrival);
            }
            KeyDecision::LoadCachedResult(key) => {
                request.wait_number = keys.next_wait_number();
                commands.push(Command::LoadCachedResult {
                    id,
                    number: request.wait_number,
                    key,
                });
            }
            KeyDecision::Respond(response) => {
                self.respond(now, id, response, commands);
            }
            KeyDecision::AwaitRecovery(wait_number) => request.wait_number = wait_number,
        }
    }

    pub(crate) fn poll_keys(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if let Some(keys) = &mut self.keys {
            keys.table.poll(now, &mut self.key_commands);
            self.carry_out_key_commands(now, commands);
        }
    }

    /// Notifies the controller of the usage of the table before any other event.
    pub(crate) fn report_key_usage(&mut self) {
        let Some(keys) = &mut self.keys else { return };
        let usage = ReportedKeys {
            has_capacity: keys.take_capacity(),
            entries: keys.table.len(),
        };
        if self.driver.reported_keys == usage {
            return;
        }
        self.driver.reported_keys = usage;
        let event = ControllerEvent::IdempotencyTableUsage {
            entries: usage.entries,
            has_capacity: usage.has_capacity,
        };
        self.driver.events.insert(0, event);
    }

    /// Runs a request with a key: its intent has to be durable first.
    pub(crate) fn run_with_key(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        let (Some(request), Some(keys)) = (self.requests.get_mut(id), &mut self.keys) else {
            return;
        };
        request.stage = RequestStage::PersistingIntent;
        let commands_before = self.key_commands.len();
        keys.table.request_run(now, id, &mut self.key_commands);
        if self.key_commands.len() == commands_before {
            // The table does not know it: it found no capacity when it came, and there is some now.
            self.key_commands.push(KeyCommand::CancelRun(id));
            self.key_commands.push(KeyCommand::Reject(id));
        }
        self.carry_out_key_commands(now, commands);
    }

    /// Rejects a queued request with a key. Returns whether it got its response here.
    ///
    /// Where its deadline has come and others wait for its key, one of those takes its place, so
    /// that it must not be promised that nothing ran.
    pub(crate) fn reject_with_key(
        &mut self,
        now: Micros,
        id: RequestId,
        rejection: &Response,
        commands: &mut Vec<Command>,
    ) -> bool {
        let (Some(request), Some(keys)) = (self.requests.get(id), &mut self.keys) else {
            return false;
        };
        if !request.has_key {
            return false;
        }
        let is_due = now + self.settings.response_slack >= request.respond_by;
        if is_due && keys.table.has_waiting_attempts(id) {
            return self.respond(now, id, Response::Expired, commands);
        }
        keys.table.on_rejected(id, &mut self.key_commands);
        let mut others = Vec::new();
        for command in std::mem::take(&mut self.key_commands) {
            match command {
                // Those that wait for it get the same response.
                KeyCommand::Reject(waiting) => {
                    self.reject_waiting(now, waiting, rejection, commands);
                }
                command => others.push(command),
            }
        }
        self.key_commands = others;
        self.carry_out_key_commands(now, commands);
        false
    }

    /// Notes that an attempt has its response, or that nobody waits for one.
    pub(crate) fn leave_key(&mut self, now: Micros, id: RequestId, commands: &mut Vec<Command>) {
        if let Some(keys) = &mut self.keys {
            keys.table.yield_to_next(id, &mut self.key_commands);
            self.carry_out_key_commands(now, commands);
        }
    }

    pub(crate) fn end_key(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: KeyOutcome,
        commands: &mut Vec<Command>,
    ) {
        if let Some(keys) = &mut self.keys {
            keys.table
                .on_run_ended(now, id, outcome, &mut self.key_commands);
            self.carry_out_key_commands(now, commands);
        }
    }

    /// Notes that a run was not started after all.
    pub(crate) fn release_unstarted_key(
        &mut self,
        now: Micros,
        id: RequestId,
        commands: &mut Vec<Command>,
    ) {
        if let Some(keys) = &mut self.keys {
            keys.table.on_never_ran(id, &mut self.key_commands);
            self.carry_out_key_commands(now, commands);
        }
    }
}
