//! The run of a first attempt: intent, start, end and result.

use super::key_state::{result_bytes, KeyState, RunStage};
use super::{KeyCommand, KeyTable, PendingWrite};
use crate::expiring_table::EntryHandle;
use crate::record::{KeyOutcome, KeyRecord};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Micros, RequestId};

impl KeyTable {
    /// Requests the run of a first attempt. It is started once its intent is durable.
    pub fn request_run(&mut self, now: Micros, id: RequestId, commands: &mut Vec<KeyCommand>) {
        let Some(&handle) = self.attempts.get(&id) else {
            return;
        };
        let is_queued = self
            .pending(handle)
            .is_some_and(|pending| pending.is_queued_first(id));
        if !is_queued {
            return;
        }
        if !self.persistence.accepts_writes() {
            commands.push(KeyCommand::CancelRun(id));
            self.discard(handle, commands);
            return;
        }
        // The deduplication window starts with the attempt that runs, which may be a later one that
        // replaced the original first attempt.
        let expires_at = now + self.options.deduplication_window;
        self.keys.extend_expiry(handle, expires_at);
        let sequence = self.add_pending_write(now, handle);
        if let Some(pending) = self.pending_mut(handle) {
            pending.stage = RunStage::WritingIntent { sequence };
            pending.has_record = true;
        }
        let Some(entry) = self.keys.get(handle) else {
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

    fn add_pending_write(&mut self, now: Micros, handle: EntryHandle) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.pending_writes.push_back(PendingWrite {
            sequence,
            handle,
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
        let Some(pending) = self.pending_mut(write.handle) else {
            return;
        };
        let stage = std::mem::replace(&mut pending.stage, RunStage::Started);
        match stage {
            RunStage::WritingIntent { sequence } if sequence == write.sequence => {
                self.on_intent_durable(write.handle, commands);
            }
            RunStage::WritingResult { sequence, outcome } if sequence == write.sequence => {
                self.on_result_durable(write.handle, &outcome, commands);
            }
            stage => pending.stage = stage,
        }
    }

    fn on_intent_durable(&mut self, handle: EntryHandle, commands: &mut Vec<KeyCommand>) {
        let Some(pending) = self.pending_mut(handle) else {
            return;
        };
        let first_attempt = pending.first_attempt;
        if pending.is_awaited() {
            self.runs.insert(first_attempt, handle);
            self.keys.start_expiry(handle);
            commands.push(KeyCommand::Start(first_attempt));
        } else {
            // No attempt waits any more, so the run's effect would not be reported to any caller.
            commands.push(KeyCommand::CancelRun(first_attempt));
            self.discard(handle, commands);
        }
    }

    fn on_result_durable(
        &mut self,
        handle: EntryHandle,
        outcome: &KeyOutcome,
        commands: &mut Vec<KeyCommand>,
    ) {
        self.respond_to_waiting(handle, outcome, commands);
        if let Some(entry) = self.keys.get_mut(handle) {
            entry.state = KeyState::Completed {
                result_bytes: result_bytes(outcome),
            };
        }
    }

    /// Returns whether this is a first attempt whose run was started and has not ended.
    #[must_use]
    pub fn is_started(&self, id: RequestId) -> bool {
        self.runs.contains_key(&id)
    }

    /// Handles the end of a first attempt's run. The waiting attempts get their response once the
    /// result is durable.
    pub fn on_run_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: KeyOutcome,
        commands: &mut Vec<KeyCommand>,
    ) {
        let Some(handle) = self.runs.remove(&id) else {
            return;
        };
        if !self.persistence.is_available {
            // No response may be sent that a crash could revert. Only the intent is durable, so
            // after a crash the key may have run.
            self.mark_unknown(handle, commands);
            return;
        }
        let sequence = self.add_pending_write(now, handle);
        let bytes = result_bytes(&outcome) as usize;
        let Some(pending) = self.pending_mut(handle) else {
            return;
        };
        pending.stage = RunStage::WritingResult {
            sequence,
            outcome: outcome.clone(),
        };
        self.result_bytes += bytes;
        let Some(entry) = self.keys.get(handle) else {
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

    /// Notes that the start of a run may not have reached the runtime, so that its end may never be
    /// reported.
    pub fn mark_start_uncertain(&mut self, id: RequestId) {
        let Some(&handle) = self.runs.get(&id) else {
            return;
        };
        if let Some(pending) = self.pending_mut(handle) {
            pending.is_start_uncertain = true;
        }
    }

    /// Handles the report that a first attempt was not started after all: its key never ran.
    pub fn on_never_ran(&mut self, id: RequestId, commands: &mut Vec<KeyCommand>) {
        if let Some(handle) = self.runs.remove(&id) {
            self.discard(handle, commands);
        }
    }
}
