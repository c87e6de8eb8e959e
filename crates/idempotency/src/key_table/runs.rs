//! The run of a first attempt: its intent, its start, its end, and its result.

use super::key_state::{result_bytes, KeyState, RunStage};
use super::{KeyCommand, KeyTable, PendingWrite};
use crate::expiring_table::Location;
use crate::record::{KeyOutcome, KeyRecord};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Micros, RequestId};

impl KeyTable {
    /// Requests the run of a first attempt. Its intent has to be durable before it is started.
    pub fn request_run(&mut self, now: Micros, id: RequestId, commands: &mut Vec<KeyCommand>) {
        let Some(&location) = self.attempts.get(&id) else {
            return;
        };
        let is_queued = self
            .pending(location)
            .is_some_and(|pending| pending.is_queued_first(id));
        if !is_queued {
            return;
        }
        if !self.persistence.accepts_writes() {
            commands.push(KeyCommand::CancelRun(id));
            self.discard(location, commands);
            return;
        }
        // The window is that of the attempt that runs: one that replaced the first came later.
        let expires_at = now + self.options.deduplication_window;
        self.keys.extend_expiry(location, expires_at);
        let sequence = self.add_pending_write(now, location);
        if let Some(pending) = self.pending_mut(location) {
            pending.stage = RunStage::WritingIntent { sequence };
            pending.has_record = true;
        }
        let Some(entry) = self.keys.get(location) else {
            return;
        };
        commands.push(KeyCommand::Write {
            sequence,
            key: entry.key.clone(),
            record: KeyRecord::Intent {
                digest: entry.value.digest.into(),
            },
            expires_at: entry.expires_at,
        });
        if is_bug_injected(InjectedBug::IntentSkipped) {
            self.on_durable(sequence, commands);
        }
    }

    fn add_pending_write(&mut self, now: Micros, location: Location) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.pending_writes.push_back(PendingWrite {
            sequence,
            location,
            written_at: now,
        });
        sequence
    }

    /// Notes that all writes up to this sequence number are durable.
    pub fn on_durable(&mut self, sequence: u64, commands: &mut Vec<KeyCommand>) {
        self.persistence.is_stalled = false;
        while let Some(write) = self.pending_writes.front().copied() {
            if write.sequence > sequence {
                return;
            }
            self.pending_writes.pop_front();
            self.on_write_durable(write, commands);
        }
    }

    fn on_write_durable(&mut self, write: PendingWrite, commands: &mut Vec<KeyCommand>) {
        let Some(pending) = self.pending_mut(write.location) else {
            return;
        };
        let stage = std::mem::replace(&mut pending.stage, RunStage::Started);
        match stage {
            RunStage::WritingIntent { sequence } if sequence == write.sequence => {
                self.on_intent_durable(write.location, commands);
            }
            RunStage::WritingResult { sequence, outcome } if sequence == write.sequence => {
                self.on_result_durable(write.location, &outcome, commands);
            }
            stage => pending.stage = stage,
        }
    }

    fn on_intent_durable(&mut self, location: Location, commands: &mut Vec<KeyCommand>) {
        let Some(pending) = self.pending_mut(location) else {
            return;
        };
        let first_attempt = pending.first_attempt;
        if pending.is_awaited() {
            self.runs.insert(first_attempt, location);
            self.keys.start_expiry(location);
            commands.push(KeyCommand::Start(first_attempt));
        } else {
            // An effect that nobody learns of helps nobody.
            commands.push(KeyCommand::CancelRun(first_attempt));
            self.discard(location, commands);
        }
    }

    fn on_result_durable(
        &mut self,
        location: Location,
        outcome: &KeyOutcome,
        commands: &mut Vec<KeyCommand>,
    ) {
        self.respond_to_waiting(location, outcome, commands);
        if let Some(entry) = self.keys.get_mut(location) {
            entry.state = KeyState::Completed {
                result_bytes: result_bytes(outcome),
            };
        }
    }

    /// Returns whether this request is a first attempt that was started.
    #[must_use]
    pub fn is_started(&self, id: RequestId) -> bool {
        self.runs.contains_key(&id)
    }

    /// Notes the end of a first attempt's run. The attempts that wait get a response once the result
    /// is durable.
    pub fn on_run_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: KeyOutcome,
        commands: &mut Vec<KeyCommand>,
    ) {
        let Some(location) = self.runs.remove(&id) else {
            return;
        };
        if !self.persistence.is_available {
            // No response may be sent that a crash could take back. What is durable is that the key
            // may have run.
            self.mark_unknown(location, commands);
            return;
        }
        let sequence = self.add_pending_write(now, location);
        let bytes = result_bytes(&outcome) as usize;
        let Some(pending) = self.pending_mut(location) else {
            return;
        };
        pending.stage = RunStage::WritingResult {
            sequence,
            outcome: outcome.clone(),
        };
        self.result_bytes += bytes;
        let Some(entry) = self.keys.get(location) else {
            return;
        };
        commands.push(KeyCommand::Write {
            sequence,
            key: entry.key.clone(),
            record: KeyRecord::Completed {
                digest: entry.value.digest.into(),
                outcome,
            },
            expires_at: entry.expires_at,
        });
        if is_bug_injected(InjectedBug::ResponseBeforeDurable) {
            self.on_durable(sequence, commands);
        }
    }

    /// Notes that the start of a run may not have reached the runtime: an end may be reported or
    /// not.
    pub fn mark_start_uncertain(&mut self, id: RequestId) {
        let Some(&location) = self.runs.get(&id) else {
            return;
        };
        if let Some(pending) = self.pending_mut(location) {
            pending.is_start_uncertain = true;
        }
    }

    /// Notes that a first attempt was not started after all: its key never ran.
    pub fn on_never_ran(&mut self, id: RequestId, commands: &mut Vec<KeyCommand>) {
        if let Some(location) = self.runs.remove(&id) {
            self.discard(location, commands);
        }
    }
}
