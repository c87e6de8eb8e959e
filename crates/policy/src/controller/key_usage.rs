//! The controller's view of the table of idempotency keys.

use crate::interface::{Micros, RequestId};
use std::collections::BTreeMap;

/// Entries of the table of keys and their expiry times.
#[derive(Debug, Clone)]
pub(super) struct KeyUsage {
    /// Expiry times of the entries that the controller itself inserts and removes.
    entries: BTreeMap<RequestId, Micros>,
    /// Last reported number of entries in the table of cached results.
    reported_entries: usize,
    /// Whether the table of cached results takes further entries.
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

    /// Removes an entry. Returns whether it existed.
    pub(super) fn remove(&mut self, id: RequestId) -> bool {
        self.entries.remove(&id).is_some()
    }

    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.entries.retain(|_, expires_at| *expires_at > now);
    }

    /// Records the usage that the table of cached results reports.
    pub(super) fn on_usage_report(&mut self, entries: usize, has_capacity: bool) {
        self.reported_entries = entries;
        self.has_capacity = has_capacity;
    }
}
