//! How far a key has come.

use crate::record::KeyOutcome;
use cleatpulley_policy::interface::RequestId;

/// An entry of the table.
#[derive(Debug)]
pub(super) struct KeyEntry {
    pub(super) digest: RequestDigest,
    pub(super) state: KeyState,
}

/// The digest that binds a key to its request. Two halves, so that an entry needs no wider
/// alignment.
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
    /// Its first attempt is queued or runs.
    Pending(Box<PendingKey>),
    /// Its run has ended, and its outcome is in the store.
    Completed {
        /// Size of the cached result.
        result_bytes: u32,
    },
    /// It may have run, and nobody knows how that ended.
    Unknown,
}

/// How far the run of a pending key has come.
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
        /// How it ended.
        outcome: KeyOutcome,
    },
}

/// A key whose first attempt is queued or runs.
#[derive(Debug)]
pub(super) struct PendingKey {
    pub(super) stage: RunStage,
    pub(super) first_attempt: RequestId,
    /// The caller of the first attempt still waits.
    pub(super) is_first_waiting: bool,
    /// Further attempts that wait for the outcome.
    pub(super) waiting_attempts: Vec<RequestId>,
    /// Something was written of the key.
    pub(super) has_record: bool,
    /// The start may never have been received, and then no end will be reported.
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

    /// Returns whether this attempt is the first one, and still queued.
    pub(super) fn is_queued_first(&self, id: RequestId) -> bool {
        self.first_attempt == id && self.stage == RunStage::Accepted
    }

    /// Returns whether anybody waits for the outcome.
    pub(super) fn is_awaited(&self) -> bool {
        self.is_first_waiting || !self.waiting_attempts.is_empty()
    }

    /// Removes and returns all attempts that wait for the outcome, the first one first.
    pub(super) fn take_waiting(&mut self) -> Vec<RequestId> {
        let mut waiting = Vec::new();
        if std::mem::take(&mut self.is_first_waiting) {
            waiting.push(self.first_attempt);
        }
        waiting.append(&mut self.waiting_attempts);
        waiting
    }
}

/// Returns the size of the result of an outcome, in bytes.
pub(super) fn result_bytes(outcome: &KeyOutcome) -> u32 {
    match outcome {
        KeyOutcome::Served(result) => u32::try_from(result.len()).unwrap_or(u32::MAX),
        KeyOutcome::Failed => 0,
    }
}
