//! Ids of requests whose run was started, remembered for some time after its end. A request whose client
//! has left may come again with the same id, here or at the process that takes over the clients.

use cleatpulley_policy::interface::{Micros, RequestId};
use std::collections::{HashSet, VecDeque};

/// Time for which an id is remembered after the start of its run. It exceeds the time for which any client
/// sends a request again.
const LIFETIME: Micros = 60_000_000;
/// Maximum number of ids; the oldest are forgotten first.
const MAX_IDS: usize = 65_536;

/// An id and the time at which it is forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartedId {
    /// The request's id.
    pub id: RequestId,
    /// Time at which the id is forgotten, in Unix microseconds.
    pub expires_at: Micros,
}

/// The remembered ids.
#[derive(Debug, Default)]
pub(crate) struct StartedIds {
    ids: HashSet<RequestId>,
    /// The same ids, the oldest first.
    by_age: VecDeque<StartedId>,
}

impl StartedIds {
    /// Records that the run of a request is started.
    pub(crate) fn on_started(&mut self, now: Micros, id: RequestId) {
        self.insert(StartedId {
            id,
            expires_at: now + LIFETIME,
        });
        self.remove_expired(now);
    }

    pub(crate) fn insert(&mut self, started: StartedId) {
        if !self.ids.insert(started.id) {
            return;
        }
        self.by_age.push_back(started);
        if self.by_age.len() > MAX_IDS {
            self.remove_oldest();
        }
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
    }

    pub(crate) fn remove_expired(&mut self, now: Micros) {
        while self
            .by_age
            .front()
            .is_some_and(|oldest| oldest.expires_at <= now)
        {
            self.remove_oldest();
        }
    }

    /// Iterates over the ids, the oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = StartedId> + '_ {
        self.by_age.iter().copied()
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            self.ids.remove(&oldest.id);
        }
    }
}
