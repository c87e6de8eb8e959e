//! The end of a key's deduplication window.

use super::key_state::KeyState;
use super::KeyTable;
use crate::expiring_table::Location;
use crate::record::ScopedKey;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;

impl KeyTable {
    /// Removes the keys whose window has passed. One whose run is active stays until that ends.
    pub fn remove_expired(&mut self, now: Micros) {
        while let Some(location) = self.keys.pop_expired(now) {
            let Some(pending) = self.pending(location) else {
                self.remove(location);
                continue;
            };
            // A run of uncertain start may never end.
            if !pending.is_start_uncertain || pending.is_awaited() {
                self.keys.start_expiry(location);
                return;
            }
            let first_attempt = pending.first_attempt;
            self.runs.remove(&first_attempt);
            self.remove(location);
        }
    }

    /// Finds a key whose window has not passed. Removes a completed one whose window has, though
    /// older ones may expire before it.
    pub(super) fn find_current(&mut self, now: Micros, key: &ScopedKey) -> Option<Location> {
        let location = self.keys.find(key)?;
        let entry = self.keys.get(location)?;
        let is_past_window =
            entry.expires_at <= now || is_bug_injected(InjectedBug::KeyEvictedInWindow);
        if is_past_window && !matches!(entry.value.state, KeyState::Pending(_)) {
            self.remove(location);
            return None;
        }
        Some(location)
    }

    fn remove(&mut self, location: Location) {
        if let Some(entry) = self.keys.remove(location) {
            if let KeyState::Completed { result_bytes } = entry.value.state {
                self.result_bytes = self.result_bytes.saturating_sub(result_bytes as usize);
            }
        }
    }
}
