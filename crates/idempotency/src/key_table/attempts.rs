//! Attempts with a key: how they arrive, wait, and leave.

use super::key_state::{KeyEntry, KeyState, PendingKey};
use super::{KeyCommand, KeyStatus, KeyTable};
use crate::expiring_table::Location;
use crate::record::{KeyOutcome, ScopedKey};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Micros, RequestId};

impl KeyTable {
    /// Handles an attempt with a key. `digest` binds the key to the request.
    pub fn on_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        key: &ScopedKey,
        digest: u128,
    ) -> KeyStatus {
        self.remove_expired(now);
        if !self.persistence.is_recovered {
            // A key that can't be read may have run: after a rejection its caller would go to
            // another server.
            return if self.persistence.is_available {
                KeyStatus::NotRecovered
            } else {
                KeyStatus::Unknown
            };
        }
        if let Some(location) = self.find_current(now, key) {
            return self.on_known_key(id, location, digest);
        }
        if !self.fences.owns(key) {
            return KeyStatus::OwnedElsewhere;
        }
        // An entry inside its window is never evicted for a new one.
        if !self.has_capacity() {
            return KeyStatus::NoCapacity;
        }
        let entry = KeyEntry {
            digest: digest.into(),
            state: KeyState::Pending(Box::new(PendingKey::new(id))),
        };
        let expires_at = now + self.options.deduplication_window;
        let location = self.keys.insert(key.clone(), expires_at, entry);
        self.attempts.insert(id, location);
        KeyStatus::First
    }

    fn on_known_key(&mut self, id: RequestId, location: Location, digest: u128) -> KeyStatus {
        let Some(entry) = self.keys.get_mut(location) else {
            return KeyStatus::NoCapacity;
        };
        if entry.digest != digest.into() && !is_bug_injected(InjectedBug::BodyIgnored) {
            return KeyStatus::Mismatch;
        }
        match &mut entry.state {
            KeyState::Completed { .. } => KeyStatus::Completed,
            KeyState::Unknown => KeyStatus::Unknown,
            // Its end may still be reported, but no further attempt should wait for that.
            KeyState::Pending(pending)
                if pending.is_start_uncertain && !pending.is_first_waiting =>
            {
                KeyStatus::Unknown
            }
            KeyState::Pending(pending) => {
                pending.waiting_attempts.push(id);
                let first_attempt = pending.first_attempt;
                self.attempts.insert(id, location);
                KeyStatus::Pending(first_attempt)
            }
        }
    }

    /// Notes that the controller rejected a first attempt: its key never ran, and nobody who waits
    /// for it is served.
    pub fn on_rejected(&mut self, id: RequestId, commands: &mut Vec<KeyCommand>) {
        let Some(&location) = self.attempts.get(&id) else {
            return;
        };
        self.on_attempt_left(id);
        // Where it may have run, the controller's rejection comes too late, and is no response for
        // the others.
        let is_queued = self
            .pending(location)
            .is_some_and(|pending| pending.is_queued_first(id));
        if is_queued {
            self.discard(location, commands);
        }
    }

    /// Notes that a queued first attempt is over, its deadline passed or its caller gone: the next
    /// attempt that waits takes its place.
    pub fn yield_to_next(&mut self, id: RequestId, commands: &mut Vec<KeyCommand>) {
        let Some(&location) = self.attempts.get(&id) else {
            return;
        };
        self.on_attempt_left(id);
        let Some(pending) = self.pending_mut(location) else {
            return;
        };
        if !pending.is_queued_first(id) {
            return;
        }
        if pending.waiting_attempts.is_empty() {
            self.discard(location, commands);
            return;
        }
        pending.first_attempt = pending.waiting_attempts.remove(0);
        pending.is_first_waiting = true;
        commands.push(KeyCommand::Promote(pending.first_attempt));
    }

    /// Returns whether other attempts wait for the outcome of this first one.
    #[must_use]
    pub fn has_waiting_attempts(&self, id: RequestId) -> bool {
        self.attempts
            .get(&id)
            .and_then(|location| self.pending(*location))
            .is_some_and(|pending| {
                pending.first_attempt == id && !pending.waiting_attempts.is_empty()
            })
    }

    /// Notes that an attempt got its response elsewhere or its caller is gone; its key stays.
    pub fn on_attempt_left(&mut self, id: RequestId) {
        let Some(location) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(pending) = self.pending_mut(location) {
            pending.waiting_attempts.retain(|other| *other != id);
            if pending.first_attempt == id {
                pending.is_first_waiting = false;
            }
        }
    }

    /// Discards a key that was never started: all who wait are rejected, and it is as if it had
    /// never come.
    pub(super) fn discard(&mut self, location: Location, commands: &mut Vec<KeyCommand>) {
        let Some(entry) = self.keys.remove(location) else {
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

    /// Notes that nobody will know how a key ended: those who wait get a failure.
    pub(super) fn mark_unknown(&mut self, location: Location, commands: &mut Vec<KeyCommand>) {
        self.respond_to_waiting(location, &KeyOutcome::Failed, commands);
        if let Some(entry) = self.keys.get_mut(location) {
            entry.state = KeyState::Unknown;
        }
    }

    pub(super) fn respond_to_waiting(
        &mut self,
        location: Location,
        outcome: &KeyOutcome,
        commands: &mut Vec<KeyCommand>,
    ) {
        let Some(pending) = self.pending_mut(location) else {
            return;
        };
        for id in pending.take_waiting() {
            self.attempts.remove(&id);
            commands.push(KeyCommand::Respond(id, outcome.clone()));
        }
    }
}
