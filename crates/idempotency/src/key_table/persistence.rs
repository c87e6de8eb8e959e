//! Whether keys can be persisted, and what follows where they can't.

use super::key_state::{result_bytes, RunStage};
use super::{KeyCommand, KeyTable};
use cleatpulley_policy::interface::Micros;

/// The state of the store, as far as it is known here.
#[derive(Debug)]
pub(super) struct Persistence {
    /// The keys of the store were loaded.
    pub(super) is_recovered: bool,
    /// The store takes writes.
    pub(super) is_available: bool,
    /// A write was not durable within the stall timeout.
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
    /// Notes that the store takes no more writes, or takes them again.
    ///
    /// What is not durable then counts as not written. Intents are discarded, as nothing was
    /// started; results become failures.
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
            let Some(pending) = self.pending(write.location) else {
                continue;
            };
            match &pending.stage {
                RunStage::WritingIntent { .. } => {
                    commands.push(KeyCommand::CancelRun(pending.first_attempt));
                    self.discard(write.location, commands);
                }
                RunStage::WritingResult { outcome, .. } => {
                    let bytes = result_bytes(outcome) as usize;
                    self.result_bytes = self.result_bytes.saturating_sub(bytes);
                    self.mark_unknown(write.location, commands);
                }
                RunStage::Accepted | RunStage::Started => {}
            }
        }
    }

    /// Removes expired keys, and discards intents that wait too long to become durable, so that they
    /// occupy no core: nothing of them was started. Results go on waiting for as long as those who
    /// wait for them.
    pub fn poll(&mut self, now: Micros, commands: &mut Vec<KeyCommand>) {
        self.remove_expired(now);
        let is_late = self
            .pending_writes
            .front()
            .is_some_and(|write| now >= write.written_at + self.options.stall_timeout);
        if self.persistence.is_stalled || !is_late {
            return;
        }
        self.persistence.is_stalled = true;
        let locations: Vec<_> = self
            .pending_writes
            .iter()
            .map(|write| write.location)
            .collect();
        for location in locations {
            let Some(pending) = self.pending(location) else {
                continue;
            };
            if matches!(pending.stage, RunStage::WritingIntent { .. }) {
                commands.push(KeyCommand::CancelRun(pending.first_attempt));
                self.discard(location, commands);
            }
        }
    }

    /// Returns when [`poll`](Self::poll) has something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        if self.persistence.is_stalled {
            return None;
        }
        let write = self.pending_writes.front()?;
        Some(write.written_at + self.options.stall_timeout)
    }
}
