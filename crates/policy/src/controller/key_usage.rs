//! The table of idempotency keys, as far as the controller has to know it.

use crate::interface::{Micros, RequestId};
use std::collections::BTreeMap;

/// The entries of the table and when they expire.
#[derive(Debug, Clone)]
pub(super) struct KeyUsage {
    /// Entries that the controller itself inserts and removes.
    entries: BTreeMap<RequestId, Micros>,
    /// Entries of the table of cached results, as it was last reported.
    reported_entries: usize,
    /// The table of cached results takes further entries.
    pub(super) has_capacity: bool,
}

impl KeyUsage {
    pub(super) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            reported_entries: 0,
            has_capacity: true,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len().max(self.reported_entries)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    pub(super) fn insert(&mut self, id: RequestId, expires_at: Micros) {
        self.entries.insert(id, expires_at);
    }

    /// Removes an entry. Returns whether there was one.
    pub(super) fn remove(&mut self, id: RequestId) -> bool {
        self.entries.remove(&id).is_some()
    }

    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.entries.retain(|_, expires_at| *expires_at > now);
    }

    /// Takes over the usage that the table of cached results reports.
    pub(super) fn on_usage_report(&mut self, entries: usize, has_capacity: bool) {
        self.reported_entries = entries;
        self.has_capacity = has_capacity;
    }
}
