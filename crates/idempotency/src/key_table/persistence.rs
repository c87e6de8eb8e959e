//! Availability of the store, and what happens to pending writes when it fails or stalls.

use super::key_state::{result_bytes, RunStage};
use super::{KeyCommand, KeyTable};
use cleatpulley_policy::interface::Micros;

/// The state of the store, as it was last reported to the table.
#[derive(Debug)]
pub(super) struct Persistence {
    /// Whether the keys of the store have been loaded.
    pub(super) is_recovered: bool,
    /// Whether the store accepts writes.
    pub(super) is_available: bool,
    /// Whether a write did not become durable within the stall timeout.
    pub(super) is_stalled: bool,
}

impl Persistence {
    pub(super) fn new() -> Self {
        Self {
            is_recovered: false,
            is_available: true,
            is_stalled: false,
        }
    }

    pub(super) fn accepts_writes(&self) -> bool {
        self.is_available && !self.is_stalled
    }

    pub(super) fn admits_keys(&self) -> bool {
        self.is_recovered && self.accepts_writes()
    }
}

impl KeyTable {
    /// Notes that the store does not accept writes any more, or accepts them again.
    ///
    /// When it stops, pending writes count as not written: keys with a pending intent are
    /// discarded, as their runs were not started, and keys with a pending result become unknown.
    pub fn set_persistence_available(
        &mut self,
        is_available: bool,
        commands: &mut Vec<KeyCommand>,
    ) {
        self.persistence.is_available = is_available;
        if is_available {
            self.persistence.is_stalled = false;
            return;
        }
        for write in std::mem::take(&mut self.pending_writes) {
            let Some(pending) = self.pending(write.handle) else {
                continue;
            };
            match &pending.stage {
                RunStage::WritingIntent { .. } => {
                    commands.push(KeyCommand::CancelRun(pending.first_attempt));
                    self.discard(write.handle, commands);
                }
                RunStage::WritingResult { outcome, .. } => {
                    let bytes = result_bytes(outcome) as usize;
                    self.result_bytes = self.result_bytes.saturating_sub(bytes);
                    self.mark_unknown(write.handle, commands);
                }
                RunStage::Accepted | RunStage::Started => {}
            }
        }
    }

    /// Removes expired keys. If a write does not become durable within the stall timeout, also
    /// discards the keys with a pending intent, so that they don't occupy cores: their runs were not
    /// started. Pending results are kept, and the attempts that wait for them continue to wait.
    pub fn poll(&mut self, now: Micros, commands: &mut Vec<KeyCommand>) {
        self.remove_expired(now);
        let is_overdue = self
            .pending_writes
            .front()
            .is_some_and(|write| now >= write.written_at + self.options.stall_timeout);
        if self.persistence.is_stalled || !is_overdue {
            return;
        }
        self.persistence.is_stalled = true;
        let handles: Vec<_> = self
            .pending_writes
            .iter()
            .map(|write| write.handle)
            .collect();
        for handle in handles {
            let Some(pending) = self.pending(handle) else {
                continue;
            };
            if matches!(pending.stage, RunStage::WritingIntent { .. }) {
                commands.push(KeyCommand::CancelRun(pending.first_attempt));
                self.discard(handle, commands);
            }
        }
    }

    /// Returns the time at which a pending write exceeds the stall timeout, when
    /// [`poll`](Self::poll) has to be called.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        if self.persistence.is_stalled {
            return None;
        }
        let write = self.pending_writes.front()?;
        Some(write.written_at + self.options.stall_timeout)
    }
}
