//! The state of a key in the table.

use crate::record::KeyOutcome;
use cleatpulley_policy::interface::RequestId;

/// The value of a key in the table.
#[derive(Debug)]
pub(super) struct KeyEntry {
    pub(super) digest: RequestDigest,
    pub(super) state: KeyState,
}

/// The digest of the request that a key is bound to. Stored as two halves, so that entries don't
/// need the alignment of a `u128`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestDigest([u64; 2]);

impl From<u128> for RequestDigest {
    fn from(digest: u128) -> Self {
        Self([(digest >> 64) as u64, digest as u64])
    }
}

impl From<RequestDigest> for u128 {
    fn from(digest: RequestDigest) -> Self {
        let [high, low] = digest.0;
        u128::from(high) << 64 | u128::from(low)
    }
}

/// The state of a key.
#[derive(Debug)]
pub(super) enum KeyState {
    /// Its first attempt is queued or running.
    Pending(Box<PendingKey>),
    /// The run has ended, and its outcome is in the store.
    Completed {
        /// Size of the cached result, in bytes.
        result_bytes: u32,
    },
    /// The key may have run, but its outcome is not known.
    Unknown,
}

/// The stage of a pending key's run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RunStage {
    /// The first attempt is queued.
    Accepted,
    /// The intent to run is being written.
    WritingIntent {
        /// Sequence number of the write.
        sequence: u64,
    },
    /// The run was started.
    Started,
    /// The run has ended, and its result is being written.
    WritingResult {
        /// Sequence number of the write.
        sequence: u64,
        /// The outcome of the run.
        outcome: KeyOutcome,
    },
}

/// A key whose first attempt is queued or running.
#[derive(Debug)]
pub(super) struct PendingKey {
    pub(super) stage: RunStage,
    pub(super) first_attempt: RequestId,
    /// Whether the caller of the first attempt still waits for the outcome.
    pub(super) is_first_waiting: bool,
    /// Further attempts that wait for the outcome.
    pub(super) waiting_attempts: Vec<RequestId>,
    /// Whether a record of the key was written.
    pub(super) has_record: bool,
    /// Whether the start of the run may not have been received, so that its end may never be
    /// reported.
    pub(super) is_start_uncertain: bool,
}

impl PendingKey {
    pub(super) fn new(first_attempt: RequestId) -> Self {
        Self {
            stage: RunStage::Accepted,
            first_attempt,
            is_first_waiting: true,
            waiting_attempts: Vec::new(),
            has_record: false,
            is_start_uncertain: false,
        }
    }

    /// Returns whether this is the first attempt and its run has not been requested yet.
    pub(super) fn is_queued_first(&self, id: RequestId) -> bool {
        self.first_attempt == id && self.stage == RunStage::Accepted
    }

    /// Returns whether any attempt waits for the outcome.
    pub(super) fn is_awaited(&self) -> bool {
        self.is_first_waiting || !self.waiting_attempts.is_empty()
    }

    /// Removes and returns all attempts that wait for the outcome, starting with the first attempt.
    pub(super) fn take_waiting(&mut self) -> Vec<RequestId> {
        let mut waiting = Vec::new();
        if std::mem::take(&mut self.is_first_waiting) {
            waiting.push(self.first_attempt);
        }
        waiting.append(&mut self.waiting_attempts);
        waiting
    }
}

/// Returns the size of an outcome's result, in bytes.
pub(super) fn result_bytes(outcome: &KeyOutcome) -> u32 {
    match outcome {
        KeyOutcome::Served(result) => u32::try_from(result.len()).unwrap_or(u32::MAX),
        KeyOutcome::Failed => 0,
    }
}
