//! The dispatcher's state of a request, and the table of requests.

use crate::event::ClientStream;
use cleatpulley_policy::interface::{Micros, Request, RequestId};
use std::collections::HashMap;

/// Stage of a request's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// The request waits for the controller to start or reject it.
    Queued,
    /// The run was started.
    Running,
    /// The run waits for a call that has not been made yet or has to be repeated.
    AwaitingCall,
    /// The call is in flight.
    Calling,
    /// The run starts once its intent is durable. The controller already counts it as running, but
    /// nothing has been sent to the runtime.
    PersistingIntent,
    /// The run has ended, and its result is not durable yet.
    PersistingResult,
    /// The request waits for the outcome of its key, for recovered keys, or for a cached result to
    /// be loaded.
    AwaitingKey,
}

impl RequestStage {
    /// Returns whether the runtime has a run of the request.
    pub(crate) fn is_started(self) -> bool {
        matches!(self, Self::Running | Self::AwaitingCall | Self::Calling)
    }

    /// Returns whether the request uses the memory of a running request.
    pub(crate) fn has_running_memory(self) -> bool {
        self.is_started() || self == Self::PersistingIntent
    }
}

/// A request that has no response yet or still runs.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) client: ClientStream,
    pub(crate) class: usize,
    pub(crate) received_at: Micros,
    pub(crate) respond_by: Micros,
    pub(crate) is_settled: bool,
    /// Whether the start command may not have reached the runtime. If it has not, no end of the run
    /// will be reported.
    pub(crate) is_start_uncertain: bool,
    pub(crate) stage: RequestStage,
    /// Whether the request has an idempotency key, so that its result is cached.
    pub(crate) has_key: bool,
    /// The request as passed to the controller, kept because the controller may have to decide on
    /// it again.
    pub(crate) controller_request: Request,
    /// Body of the request; kept after the start only if the start may be sent again.
    pub(crate) body: Vec<u8>,
    /// The last call that the run requested.
    pub(crate) call: RequestedCall,
    /// Number under which the request waits for recovered keys or a cached result; 0 where it does
    /// not.
    pub(crate) wait_number: u64,
}

/// A call that a run has requested.
#[derive(Debug, Default)]
pub(crate) struct RequestedCall {
    /// Number of the runtime's notice; 0 before the first call.
    pub(crate) notice: u64,
    pub(crate) body: Vec<u8>,
}

/// The live requests, by id.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: HashMap<RequestId, RequestState>,
}

impl RequestTable {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    pub(crate) fn insert(&mut self, id: RequestId, request: RequestState) {
        self.requests.insert(id, request);
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Iterates over all requests, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    pub(crate) fn has_stage(&self, id: RequestId, stage: RequestStage) -> bool {
        self.get(id).is_some_and(|request| request.stage == stage)
    }

    /// Returns the ids of the matching requests, in the order in which they were received.
    pub(crate) fn ids_in_order(&self, matches: impl Fn(&RequestState) -> bool) -> Vec<RequestId> {
        let mut found: Vec<(Micros, RequestId)> = self
            .requests
            .iter()
            .filter(|(_, request)| matches(request))
            .map(|(id, request)| (request.received_at, *id))
            .collect();
        found.sort_unstable();
        found.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the memory of the requests that wait for recovered keys or a cached result, in kB.
    /// The controller does not account for these.
    pub(crate) fn uncontrolled_memory_kb(&self) -> f64 {
        self.iter()
            .filter(|request| {
                request.stage == RequestStage::AwaitingKey && request.wait_number != 0
            })
            .map(|request| request.controller_request.memory_kb)
            .sum()
    }
}
