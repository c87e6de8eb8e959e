//! Attempts with a key: their arrival, their waiting for the outcome, and their end.

use super::key_state::{KeyEntry, KeyState, PendingKey};
use super::{KeyCommand, KeyStatus, KeyTable};
use crate::expiring_table::EntryHandle;
use crate::record::{KeyOutcome, ScopedKey};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Micros, RequestId};

impl KeyTable {
    /// Handles the arrival of an attempt with a key. `digest` is that of its request, to which the
    /// key is bound.
    pub fn on_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        key: &ScopedKey,
        digest: u128,
    ) -> KeyStatus {
        self.remove_expired(now);
        if !self.persistence.is_recovered {
            // The key may have run, and must not be rejected: its caller would send a rejected
            // request to another server.
            return if self.persistence.is_available {
                KeyStatus::NotRecovered
            } else {
                KeyStatus::Unknown
            };
        }
        if let Some(handle) = self.find_current(now, key) {
            return self.on_known_key(id, handle, digest);
        }
        if !self.fences.owns(key) {
            return KeyStatus::OwnedElsewhere;
        }
        // An entry is never evicted for a new one before its deduplication window has passed.
        if !self.has_capacity() {
            return KeyStatus::NoCapacity;
        }
        let entry = KeyEntry {
            digest: digest.into(),
            state: KeyState::Pending(Box::new(PendingKey::new(id))),
        };
        let expires_at = now + self.options.deduplication_window;
        let handle = self.keys.insert(key.clone(), expires_at, entry);
        self.attempts.insert(id, handle);
        KeyStatus::First
    }

    fn on_known_key(&mut self, id: RequestId, handle: EntryHandle, digest: u128) -> KeyStatus {
        let Some(entry) = self.keys.get_mut(handle) else {
            return KeyStatus::NoCapacity;
        };
        if entry.digest != digest.into() && !is_bug_injected(InjectedBug::BodyIgnored) {
            return KeyStatus::Mismatch;
        }
        match &mut entry.state {
            KeyState::Completed { .. } => KeyStatus::Completed,
            KeyState::Unknown => KeyStatus::Unknown,
            // The end of the run may still be reported, but a further attempt must not wait for it.
            KeyState::Pending(pending)
                if pending.is_start_uncertain && !pending.is_first_waiting =>
            {
                KeyStatus::Unknown
            }
            KeyState::Pending(pending) => {
                pending.waiting_attempts.push(id);
                let first_attempt = pending.first_attempt;
                self.attempts.insert(id, handle);
                KeyStatus::Pending(first_attempt)
            }
        }
    }

    /// Handles the rejection of a first attempt by the controller: its key never ran, so all
    /// attempts that wait for it are rejected as well.
    pub fn on_rejected(&mut self, id: RequestId, commands: &mut Vec<KeyCommand>) {
        let Some(&handle) = self.attempts.get(&id) else {
            return;
        };
        self.on_attempt_left(id);
        // If the key may have run already, the rejection comes too late and must not be the
        // response to the other attempts.
        let is_queued = self
            .pending(handle)
            .is_some_and(|pending| pending.is_queued_first(id));
        if is_queued {
            self.discard(handle, commands);
        }
    }

    /// Ends a queued first attempt whose deadline has passed or whose caller is gone: the next
    /// waiting attempt becomes the first one. Discards the key if no attempt waits.
    pub fn yield_to_next(&mut self, id: RequestId, commands: &mut Vec<KeyCommand>) {
        let Some(&handle) = self.attempts.get(&id) else {
            return;
        };
        self.on_attempt_left(id);
        let Some(pending) = self.pending_mut(handle) else {
            return;
        };
        if !pending.is_queued_first(id) {
            return;
        }
        if pending.waiting_attempts.is_empty() {
            self.discard(handle, commands);
            return;
        }
        pending.first_attempt = pending.waiting_attempts.remove(0);
        pending.is_first_waiting = true;
        commands.push(KeyCommand::Promote(pending.first_attempt));
    }

    /// Returns whether other attempts wait for the outcome of this first attempt.
    #[must_use]
    pub fn has_waiting_attempts(&self, id: RequestId) -> bool {
        self.attempts
            .get(&id)
            .and_then(|handle| self.pending(*handle))
            .is_some_and(|pending| {
                pending.first_attempt == id && !pending.waiting_attempts.is_empty()
            })
    }

    /// Notes that an attempt got its response elsewhere or that its caller is gone; its key stays.
    pub fn on_attempt_left(&mut self, id: RequestId) {
        let Some(handle) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(pending) = self.pending_mut(handle) {
            pending.waiting_attempts.retain(|other| *other != id);
            if pending.first_attempt == id {
                pending.is_first_waiting = false;
            }
        }
    }

    /// Removes a key whose run was never started, with its record, and rejects all attempts that
    /// wait for it.
    pub(super) fn discard(&mut self, handle: EntryHandle, commands: &mut Vec<KeyCommand>) {
        let Some(entry) = self.keys.remove(handle) else {
            return;
        };
        let KeyState::Pending(mut pending) = entry.value.state else {
            return;
        };
        for id in pending.take_waiting() {
            self.attempts.remove(&id);
            commands.push(KeyCommand::Reject(id));
        }
        if pending.has_record {
            commands.push(KeyCommand::Erase { key: entry.key });
        }
    }

    /// Marks the outcome of a key as unknown: the attempts that wait for it get a failure.
    pub(super) fn mark_unknown(&mut self, handle: EntryHandle, commands: &mut Vec<KeyCommand>) {
        self.respond_to_waiting(handle, &KeyOutcome::Failed, commands);
        if let Some(entry) = self.keys.get_mut(handle) {
            entry.state = KeyState::Unknown;
        }
    }

    pub(super) fn respond_to_waiting(
        &mut self,
        handle: EntryHandle,
        outcome: &KeyOutcome,
        commands: &mut Vec<KeyCommand>,
    ) {
        let Some(pending) = self.pending_mut(handle) else {
            return;
        };
        for id in pending.take_waiting() {
            self.attempts.remove(&id);
            commands.push(KeyCommand::Respond(id, outcome.clone()));
        }
    }
}
