//! Removal of keys whose deduplication window has passed.

use super::key_state::KeyState;
use super::KeyTable;
use crate::expiring_table::EntryHandle;
use crate::record::ScopedKey;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;

impl KeyTable {
    /// Removes the keys whose deduplication window has passed. A key with an active run stays until
    /// that run ends.
    pub fn remove_expired(&mut self, now: Micros) {
        while let Some(handle) = self.keys.pop_expired(now) {
            let Some(pending) = self.pending(handle) else {
                self.remove(handle);
                continue;
            };
            // The end of a run whose start is uncertain may never be reported.
            if !pending.is_start_uncertain || pending.is_awaited() {
                self.keys.start_expiry(handle);
                return;
            }
            let first_attempt = pending.first_attempt;
            self.runs.remove(&first_attempt);
            self.remove(handle);
        }
    }

    /// Finds a key whose deduplication window has not passed. Removes a completed or unknown key
    /// whose window has passed, even if entries before it in the expiry log have not expired.
    pub(super) fn find_current(&mut self, now: Micros, key: &ScopedKey) -> Option<EntryHandle> {
        let handle = self.keys.find(key)?;
        let entry = self.keys.get(handle)?;
        let is_past_window =
            entry.expires_at <= now || is_bug_injected(InjectedBug::KeyEvictedInWindow);
        if is_past_window && !matches!(entry.value.state, KeyState::Pending(_)) {
            self.remove(handle);
            return None;
        }
        Some(handle)
    }

    fn remove(&mut self, handle: EntryHandle) {
        if let Some(entry) = self.keys.remove(handle) {
            if let KeyState::Completed { result_bytes } = entry.value.state {
                self.result_bytes = self.result_bytes.saturating_sub(result_bytes as usize);
            }
        }
    }
}
