//! The deadlines of requests that have no response yet.

use cleatpulley_policy::interface::{Micros, RequestId};
use std::collections::BTreeSet;

/// The pending requests, ordered by deadline.
#[derive(Debug)]
pub(crate) struct Deadlines {
    pending: BTreeSet<Deadline>,
    /// Upper bound of all deadlines, set when the shutdown begins.
    latest: Micros,
}

/// A pending request and its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Deadline {
    pub(crate) respond_by: Micros,
    pub(crate) id: RequestId,
}

impl Deadlines {
    pub(crate) fn new() -> Self {
        Self {
            pending: BTreeSet::new(),
            latest: Micros::MAX,
        }
    }

    /// Returns the number of pending requests.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn first(&self) -> Option<Deadline> {
        self.pending.first().copied()
    }

    pub(crate) fn insert(&mut self, respond_by: Micros, id: RequestId) {
        self.pending.insert(Deadline { respond_by, id });
    }

    pub(crate) fn remove(&mut self, respond_by: Micros, id: RequestId) {
        self.pending.remove(&Deadline { respond_by, id });
    }

    /// Removes a request whose deadline is not known.
    pub(crate) fn remove_id(&mut self, id: RequestId) {
        self.pending.retain(|deadline| deadline.id != id);
    }

    /// Returns the earlier of a deadline and the upper bound of all deadlines.
    pub(crate) fn cap(&self, respond_by: Micros) -> Micros {
        respond_by.min(self.latest)
    }

    /// Limits all deadlines to `latest`, and returns them.
    pub(crate) fn cap_all(&mut self, latest: Micros) -> Vec<Deadline> {
        self.latest = latest;
        let capped: Vec<Deadline> = std::mem::take(&mut self.pending)
            .into_iter()
            .map(|deadline| Deadline {
                respond_by: deadline.respond_by.min(latest),
                id: deadline.id,
            })
            .collect();
        self.pending.extend(&capped);
        capped
    }
}
