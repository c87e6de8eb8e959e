//! A request as the controller knows it, and the table of all of them.

use crate::interface::{Micros, RequestId};
use std::collections::BTreeMap;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestStage {
    /// It waits to be started.
    Queued,
    /// It occupies a core.
    Running,
    /// Its run waits for a call to the dependency that was not made yet, or has to be made again.
    AwaitingCall,
    /// Its call is in flight.
    Calling,
    /// It waits for the outcome of the request that it repeats.
    Sharing(RequestId),
}

/// The times of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestTiming {
    pub(super) arrived_at: Micros,
    pub(super) respond_by: Micros,
    /// When its response stops earning the full weight.
    pub(super) objective_at: Micros,
}

/// What a response to the request is worth, and what it costs.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestValue {
    pub(super) weight: f64,
    /// Its work over the usual work of its class.
    pub(super) relative_size: f64,
    /// Its position among the requests of its class, from 0 to 1.
    pub(super) rank_in_class: f64,
}

/// A request that is not over: it has no response yet, or still occupies a core or a call.
#[derive(Debug, Clone)]
pub(super) struct RequestState {
    pub(super) id: RequestId,
    pub(super) class: usize,
    pub(super) tenant: usize,
    pub(super) is_retry: bool,
    /// Its result is to be cached.
    pub(super) caches_result: bool,
    /// Memory while queued.
    pub(super) memory_kb: f64,
    pub(super) timing: RequestTiming,
    pub(super) value: RequestValue,
    pub(super) stage: RequestStage,
    /// It has its response, or nobody waits for one: only its core, memory or call is still taken.
    pub(super) is_settled: bool,
    /// Requests that wait to share its response.
    pub(super) sharing_requests: u32,
    /// When its last call was made.
    pub(super) call_made_at: Micros,
}

/// The requests that are not over, by id.
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

    /// All requests, by ascending id.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    /// All requests, by ascending id.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut RequestState> {
        self.requests.values_mut()
    }

    /// The queued requests, by ascending id.
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

    /// Removes one request from those that wait to share the response of `original`.
    pub(super) fn remove_sharing_request(&mut self, original: RequestId) {
        if let Some(original) = self.requests.get_mut(&original) {
            original.sharing_requests = original.sharing_requests.saturating_sub(1);
        }
    }

    /// Requests that occupy a core.
    pub(super) fn running_count(&self) -> usize {
        self.count(|stage| stage == RequestStage::Running)
    }

    /// Runs that wait for their call or have it in flight: they occupy no core.
    pub(super) fn in_call_count(&self) -> usize {
        self.count(|stage| matches!(stage, RequestStage::AwaitingCall | RequestStage::Calling))
    }

    /// Calls in flight.
    pub(super) fn calling_count(&self) -> usize {
        self.count(|stage| stage == RequestStage::Calling)
    }

    fn count(&self, has_stage: impl Fn(RequestStage) -> bool) -> usize {
        self.iter()
            .filter(|request| has_stage(request.stage))
            .count()
    }
}
