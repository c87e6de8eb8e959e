//! Memory, and the table of keys in it.

use super::{Controller, Record, Stage, MARGIN};
use crate::interface::{Action, Micros, RequestId};

impl Controller {
    pub(super) fn memory_kb(&self) -> f64 {
        let of = |record: &Record| match record.stage {
            Stage::Held | Stage::Sharing(_) => record.memory_kb,
            _ => record.memory_kb * self.settings.run_factor.max(1.0),
        };
        self.requests.values().map(of).sum::<f64>()
            + self.entries.len().max(self.kept) as f64 * self.settings.entry_kb
            + self.beside.1
    }

    pub(super) fn memory_full(&self, more: f64) -> bool {
        self.memory_kb() + more > MARGIN * self.settings.memory_kb
    }

    pub(super) fn remember(&mut self, id: RequestId, lifetime: Micros, actions: &mut Vec<Action>) {
        self.entries.insert(id, self.now + lifetime);
        actions.push(Action::Remember { id, lifetime });
    }

    pub(super) fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.entries.remove(&id).is_some() {
            actions.push(Action::Forget(id));
        }
    }
}
