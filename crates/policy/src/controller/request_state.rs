//! The controller's state of a request, and the table of requests.

use crate::interface::{Micros, RequestId};
use std::collections::BTreeMap;

/// Stage of a request's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestStage {
    /// The request waits to be started.
    Queued,
    /// The request occupies a core.
    Running,
    /// The run waits for a call to the dependency that has not been made yet or has to be repeated.
    AwaitingCall,
    /// The call is in flight.
    Calling,
    /// The request waits for the outcome of the request with this id, which it repeats.
    Sharing(RequestId),
}

/// Arrival time, deadline and objective of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestTiming {
    pub(super) arrived_at: Micros,
    pub(super) respond_by: Micros,
    /// Time after which a response no longer earns the full weight.
    pub(super) objective_at: Micros,
}

/// Weight that a response to the request earns, and its relative cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestValue {
    pub(super) weight: f64,
    /// Work of the request relative to the typical work of its class.
    pub(super) relative_size: f64,
    /// Rank of the request within its class, from 0 to 1.
    pub(super) rank_in_class: f64,
}

/// A live request: it has no response yet, or still occupies a core, memory or a call.
#[derive(Debug, Clone)]
pub(super) struct RequestState {
    pub(super) id: RequestId,
    pub(super) class: usize,
    pub(super) tenant: usize,
    pub(super) is_retry: bool,
    /// Whether the result is to be cached.
    pub(super) caches_result: bool,
    /// Memory while queued, in kB.
    pub(super) memory_kb: f64,
    pub(super) timing: RequestTiming,
    pub(super) value: RequestValue,
    pub(super) stage: RequestStage,
    /// Whether the request has its response, or nobody waits for one. A settled request only
    /// occupies its core, memory or call.
    pub(super) is_settled: bool,
    /// Number of requests that wait to share its response.
    pub(super) sharing_requests: u32,
    /// Time at which its last call was made.
    pub(super) call_made_at: Micros,
}

/// The live requests, by id.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
}

impl RequestTable {
    pub(super) fn insert(&mut self, request: RequestState) {
        self.requests.insert(request.id, request);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        self.requests.remove(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Iterates over all requests, by ascending id.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    /// Iterates mutably over all requests, by ascending id.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut RequestState> {
        self.requests.values_mut()
    }

    /// Iterates over the queued requests, by ascending id.
    pub(super) fn queued(&self) -> impl Iterator<Item = &RequestState> {
        self.iter()
            .filter(|request| request.stage == RequestStage::Queued)
    }

    pub(super) fn has_queued(&self) -> bool {
        self.queued().next().is_some()
    }

    pub(super) fn set_stage(&mut self, id: RequestId, stage: RequestStage) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = stage;
        }
    }

    /// Decrements the number of requests that wait to share the response of `original`.
    pub(super) fn remove_sharing_request(&mut self, original: RequestId) {
        if let Some(original) = self.requests.get_mut(&original) {
            original.sharing_requests = original.sharing_requests.saturating_sub(1);
        }
    }

    /// Returns the number of requests that occupy a core.
    pub(super) fn running_count(&self) -> usize {
        self.count(|stage| stage == RequestStage::Running)
    }

    /// Returns the number of runs that wait for their call or have it in flight. They occupy no
    /// core.
    pub(super) fn in_call_count(&self) -> usize {
        self.count(|stage| matches!(stage, RequestStage::AwaitingCall | RequestStage::Calling))
    }

    /// Returns the number of calls in flight.
    pub(super) fn calling_count(&self) -> usize {
        self.count(|stage| stage == RequestStage::Calling)
    }

    fn count(&self, has_stage: impl Fn(RequestStage) -> bool) -> usize {
        self.iter()
            .filter(|request| has_stage(request.stage))
            .count()
    }
}
