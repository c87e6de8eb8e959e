//! A request as the dispatcher knows it, and the table of all of them.

use crate::event::ClientStream;
use cleatpulley_policy::interface::{Micros, Request, RequestId};
use std::collections::HashMap;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// It waits for the controller to start or reject it.
    Queued,
    /// Its run was started.
    Running,
    /// Its run waits for a call that was not made yet or has to be made again.
    AwaitingCall,
    /// Its call is in flight.
    Calling,
    /// It starts once its intent is durable. To the controller it runs already; nothing was sent.
    PersistingIntent,
    /// Its run has ended, and its result is not durable yet.
    PersistingResult,
    /// It waits for how its key ends, or for a cached result to be loaded.
    AwaitingKey,
}

impl RequestStage {
    /// Returns whether the runtime has a run of the request.
    pub(crate) fn is_started(self) -> bool {
        matches!(self, Self::Running | Self::AwaitingCall | Self::Calling)
    }

    /// Returns whether the request takes the memory of a run.
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
    /// Its start may never have reached the runtime, and then no end will be reported.
    pub(crate) is_start_uncertain: bool,
    pub(crate) stage: RequestStage,
    /// It has an idempotency key, and its result is cached.
    pub(crate) has_key: bool,
    /// What the controller was notified of, for an attempt that may have to be decided on again.
    pub(crate) request: Request,
    /// Its body; kept beyond the start only where a start may be sent again.
    pub(crate) body: Vec<u8>,
    /// The last call that the run requested.
    pub(crate) call: RequestedCall,
    /// The number under which it waits for recovered keys or a cached result; 0 where it does not.
    pub(crate) wait_number: u64,
}

/// A call that a run has requested.
#[derive(Debug, Default)]
pub(crate) struct RequestedCall {
    /// The number of the runtime's notice; 0 before the first call.
    pub(crate) notice: u64,
    pub(crate) body: Vec<u8>,
}

/// The requests that are not over, by id.
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

    /// All requests, in no order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    pub(crate) fn has_stage(&self, id: RequestId, stage: RequestStage) -> bool {
        self.get(id).is_some_and(|request| request.stage == stage)
    }

    /// Returns the ids of those that match, in the order in which they were received.
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

    /// Returns the memory of the requests that wait for recovered keys or a cached result. The
    /// controller does not know of these.
    pub(crate) fn uncontrolled_memory_kb(&self) -> f64 {
        self.iter()
            .filter(|request| {
                request.stage == RequestStage::AwaitingKey && request.wait_number != 0
            })
            .map(|request| request.request.memory_kb)
            .sum()
    }
}
