//! Memory usage of requests and of the table of keys.

use super::request_state::{RequestStage, RequestState};
use super::{Controller, USABLE_SHARE};
use crate::interface::{Action, Micros, RequestId};

impl Controller {
    /// Returns the memory used by requests, keys and a predecessor, in kB.
    pub(super) fn memory_kb(&self) -> f64 {
        let requests: f64 = self
            .requests
            .iter()
            .map(|request| self.request_memory_kb(request))
            .sum();
        requests + self.keys.len() as f64 * self.settings.key_entry_kb + self.predecessor.memory_kb
    }

    fn request_memory_kb(&self, request: &RequestState) -> f64 {
        match request.stage {
            RequestStage::Queued | RequestStage::Sharing(_) => request.memory_kb,
            RequestStage::Running | RequestStage::AwaitingCall | RequestStage::Calling => {
                request.memory_kb * self.running_memory_factor()
            }
        }
    }

    /// Returns the memory of a running request, as a multiple of its memory while queued.
    pub(super) fn running_memory_factor(&self) -> f64 {
        self.settings.running_memory_factor.max(1.0)
    }

    /// Returns whether another `more_kb` would exceed the usable share of the memory.
    pub(super) fn exceeds_memory(&self, more_kb: f64) -> bool {
        self.memory_kb() + more_kb > USABLE_SHARE * self.settings.memory_kb
    }

    pub(super) fn insert_key(
        &mut self,
        id: RequestId,
        lifetime: Micros,
        actions: &mut Vec<Action>,
    ) {
        self.keys.insert(id, self.clock.now + lifetime);
        actions.push(Action::InsertKey { id, lifetime });
    }

    pub(super) fn remove_key(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.keys.remove(id) {
            actions.push(Action::RemoveKey(id));
        }
    }
}
