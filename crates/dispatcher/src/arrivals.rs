//! Requests that were read, and client connections that were lost.

use crate::command::Command;
use crate::dispatcher::Dispatcher;
use crate::event::{ClientStream, IncomingRequest};
use crate::idempotency_keys::KeyDecision;
use crate::request_state::{RequestStage, RequestState, RequestedCall};
use crate::request_trace;
use crate::response::{RequestError, Response};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{
    Class, Effect, Event as ControllerEvent, Micros, Request, RequestId,
};

/// Share of the memory for requests that wait for recovered keys or cached results. The controller
/// does not account for these requests, and leaves little more memory than this unused.
const UNCONTROLLED_MEMORY_SHARE: f64 = 0.1;

impl Dispatcher {
    pub(crate) fn on_request(
        &mut self,
        now: Micros,
        mut incoming: IncomingRequest,
        commands: &mut Vec<Command>,
    ) {
        self.started_ids.remove_expired(now);
        if incoming.key.is_some() {
            incoming.id = self.unused_id(incoming.id, incoming.client, incoming.class);
        }
        let Some(class) = self.settings.classes.get(incoming.class) else {
            commands.push(Command::Respond {
                client: incoming.client,
                response: Response::Failed,
            });
            return;
        };
        // Every attempt has a new id. A request whose id is known may be running or have run, and must
        // not run twice.
        if self.is_known(incoming.id) {
            self.respond_unregistered(&incoming, Response::Failed, commands);
            return;
        }
        let received_at = clamp_received_at(now, incoming.received_at, class);
        let respond_by = self
            .deadlines
            .cap(received_at + class.client_timeout)
            .max(now);
        request_trace::arrived(now, &incoming, received_at);
        let request = controller_request(&incoming, class);
        self.register(now, incoming, request, received_at, respond_by, commands);
    }

    /// Decides on a request by its key, and adds it to the table unless it gets its response at
    /// once.
    fn register(
        &mut self,
        now: Micros,
        incoming: IncomingRequest,
        mut request: Request,
        received_at: Micros,
        respond_by: Micros,
        commands: &mut Vec<Command>,
    ) {
        let id = request.id;
        let decision = self.decide_by_key(now, &incoming, &mut request);
        let mut state = queued_state(&incoming, request, received_at, respond_by);
        match decision {
            KeyDecision::Admit => {
                let arrival = ControllerEvent::Arrived(state.controller_request.clone());
                self.driver.notify(arrival);
                state.body = incoming.body;
            }
            KeyDecision::Respond(response) => {
                self.respond_unregistered(&incoming, response, commands);
                return;
            }
            KeyDecision::AwaitRecovery(wait_number) => {
                state.stage = RequestStage::AwaitingKey;
                state.wait_number = wait_number;
                state.body = incoming.body;
            }
            KeyDecision::LoadCachedResult(key) => {
                state.stage = RequestStage::AwaitingKey;
                state.wait_number = self.next_wait_number();
                commands.push(Command::LoadCachedResult {
                    id,
                    load_number: state.wait_number,
                    key,
                });
            }
        }
        self.requests.insert(id, state);
        self.deadlines.insert(respond_by, id);
    }

    fn decide_by_key(
        &mut self,
        now: Micros,
        incoming: &IncomingRequest,
        request: &mut Request,
    ) -> KeyDecision {
        let Some(keys) = &mut self.keys else {
            return KeyDecision::Admit;
        };
        let requests = &self.requests;
        let limit_kb = UNCONTROLLED_MEMORY_SHARE * self.settings.memory_kb;
        let has_memory_for = |more_kb| requests.uncontrolled_memory_kb() + more_kb <= limit_kb;
        keys.on_request(
            now,
            request,
            incoming.key.as_deref(),
            &incoming.body,
            has_memory_for,
        )
    }

    /// Responds to a request that is not in the table.
    fn respond_unregistered(
        &mut self,
        incoming: &IncomingRequest,
        response: Response,
        commands: &mut Vec<Command>,
    ) {
        self.counters.on_response(incoming.class, &response);
        commands.push(Command::Respond {
            client: incoming.client,
            response,
        });
    }

    pub(crate) fn on_forbidden_request(
        &mut self,
        incoming: &IncomingRequest,
        commands: &mut Vec<Command>,
    ) {
        let response = Response::Invalid(RequestError::Forbidden);
        self.respond_unregistered(incoming, response, commands);
    }

    /// Returns whether a request with this id is pending, still runs, or has run in the last minute.
    pub(crate) fn is_known(&self, id: RequestId) -> bool {
        let runs = self
            .keys
            .as_ref()
            .is_some_and(|keys| keys.table.is_started(id));
        runs || self.requests.contains(id) || self.started_ids.contains(id)
    }

    /// Abandons the pending requests of the matching client streams, whose callers no longer wait.
    pub(crate) fn abandon_requests(
        &mut self,
        now: Micros,
        is_lost: impl Fn(&ClientStream) -> bool,
        commands: &mut Vec<Command>,
    ) {
        let lost = self
            .requests
            .ids_in_order(|request| is_lost(&request.client) && !request.is_settled);
        for id in lost {
            self.driver.notify(ControllerEvent::Abandoned(id));
            if is_bug_injected(InjectedBug::RequestLeaked) {
                self.deadlines.remove_id(id);
                continue;
            }
            self.settle(now, id, commands);
        }
    }
}

/// Returns the state of a queued request, without its body.
fn queued_state(
    incoming: &IncomingRequest,
    controller_request: Request,
    received_at: Micros,
    respond_by: Micros,
) -> RequestState {
    RequestState {
        client: incoming.client,
        class: incoming.class,
        received_at,
        respond_by,
        is_settled: false,
        is_start_uncertain: false,
        stage: RequestStage::Queued,
        has_key: controller_request.caches_result,
        controller_request,
        body: Vec::new(),
        call: RequestedCall::default(),
        wait_number: 0,
    }
}

/// Limits the time of receipt to a plausible range, since clocks differ: not in the future, and not
/// before any client would have timed out.
fn clamp_received_at(now: Micros, received_at: Micros, class: &Class) -> Micros {
    received_at
        .min(now)
        .max(now.saturating_sub(class.client_timeout))
}

/// Converts an incoming request to the controller's type.
fn controller_request(incoming: &IncomingRequest, class: &Class) -> Request {
    Request {
        id: incoming.id,
        respond_by: None,
        duplicate_of: None,
        class: incoming.class,
        tenant: 0,
        read_delay: 0,
        expected_work: (incoming.expected_work > 0).then_some(incoming.expected_work),
        is_retry: incoming.is_retry,
        is_write: class.effect != Effect::Idempotent,
        has_subject: incoming.has_subject,
        caller: incoming.caller,
        rank: incoming.rank,
        memory_kb: incoming.memory_kb,
        caches_result: false,
    }
}
