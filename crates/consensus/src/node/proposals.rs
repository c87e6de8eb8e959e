//! The changes that this process has proposed and that are not decided yet.

use super::error::ProposeError;
use crate::change::{Change, ChangeId, Epoch, Incarnation, Subject};
use crate::configuration::NodeId;
use cleatpulley_policy::interface::Micros;
use std::collections::VecDeque;

/// The largest number of pending changes.
const MAX_PENDING: usize = 1_024;
/// A change that is not decided within this time is submitted again: the message that forwarded it
/// to the leader may be lost.
const RETRY_INTERVAL: Micros = 1_000_000;

/// The queue of pending changes. Only the first is submitted to the log, so that changes of one
/// process are decided in their order.
#[derive(Debug)]
pub(super) struct ProposalQueue {
    proposer: NodeId,
    incarnation: Incarnation,
    last_sequence: u64,
    pending: VecDeque<Change>,
    /// When the first pending change was submitted last.
    submitted_at: Option<Micros>,
}

impl ProposalQueue {
    pub(super) fn new(proposer: NodeId, incarnation: Incarnation) -> Self {
        Self {
            proposer,
            incarnation,
            last_sequence: 0,
            pending: VecDeque::new(),
            submitted_at: None,
        }
    }

    /// Queues a change.
    ///
    /// # Errors
    ///
    /// Returns an error where the queue is full, or the change exceeds the bounds of the table.
    pub(super) fn enqueue(
        &mut self,
        subject: Subject,
        value: Option<Vec<u8>>,
        expected_epoch: Option<Epoch>,
    ) -> Result<ChangeId, ProposeError> {
        if self.pending.len() >= MAX_PENDING {
            return Err(ProposeError::QueueFull);
        }
        self.last_sequence += 1;
        let id = ChangeId {
            proposer: self.proposer,
            incarnation: self.incarnation,
            sequence: self.last_sequence,
        };
        let change = Change {
            id,
            subject,
            value,
            expected_epoch,
        };
        change.check()?;
        self.pending.push_back(change);
        Ok(id)
    }

    /// Returns the change to submit now, if one is due for the first time or for a retry.
    pub(super) fn due(&self, now: Micros) -> Option<&Change> {
        let is_due = self
            .submitted_at
            .is_none_or(|submitted_at| now >= submitted_at + RETRY_INTERVAL);
        self.pending.front().filter(|_| is_due)
    }

    /// Records that the due change was submitted.
    pub(super) fn on_submitted(&mut self, now: Micros) {
        self.submitted_at = Some(now);
    }

    /// Makes the first change due at once, as the log that it was submitted to has ended.
    pub(super) fn resubmit(&mut self) {
        self.submitted_at = None;
    }

    /// Removes the first change if it is the one that was decided.
    pub(super) fn on_decided(&mut self, id: ChangeId) {
        if self.pending.front().is_some_and(|first| first.id == id) {
            self.pending.pop_front();
            self.submitted_at = None;
        }
    }

    /// Returns the number of pending changes.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}
