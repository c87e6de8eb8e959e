//! The replicated state machine: the table that decided changes are applied to, in log order.

#[cfg(test)]
mod tests;

use crate::change::{Change, ChangeId, Epoch, Incarnation, InvalidChange, Subject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The largest number of subjects in a table.
pub const MAX_SUBJECTS: usize = 16_384;
/// The number of proposers whose last change is remembered for deduplication.
pub const MAX_PROPOSERS: usize = 1_024;

/// The effect of a decided change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change was applied.
    Applied,
    /// The change had been decided before; this is a retry of the same proposal.
    Duplicate,
    /// The expected epoch of the change is stale: the subject was last changed in this one.
    Conflict(Epoch),
    /// The change exceeds the bounds of the table.
    Invalid(InvalidChange),
    /// The table has [`MAX_SUBJECTS`] subjects already.
    TableFull,
}

/// The value of a subject and the epoch of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct SubjectState {
    changed_in: Epoch,
    value: Vec<u8>,
}

/// The last change of a proposer and the epoch in which it was decided.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct LastChange {
    incarnation: Incarnation,
    sequence: u64,
    decided_in: Epoch,
}

/// The replicated table.
///
/// Its fields and their order are part of the stored and of the wire format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    /// The number of changes that were decided, applied or not.
    pub epoch: Epoch,
    subjects: BTreeMap<Subject, SubjectState>,
    /// By proposer.
    proposers: BTreeMap<u64, LastChange>,
}

impl Table {
    /// Applies the next decided change. The epoch rises whatever the outcome.
    pub fn apply(&mut self, change: &Change) -> Outcome {
        self.epoch += 1;
        if self.is_duplicate(change.id) {
            return Outcome::Duplicate;
        }
        self.remember(change.id);
        if let Err(error) = change.check() {
            return Outcome::Invalid(error);
        }
        let changed_in = self
            .subjects
            .get(&change.subject)
            .map_or(0, |subject| subject.changed_in);
        if change
            .expected_epoch
            .is_some_and(|expected| expected != changed_in)
        {
            return Outcome::Conflict(changed_in);
        }
        let is_new_subject = changed_in == 0;
        match &change.value {
            None => {
                self.subjects.remove(&change.subject);
            }
            Some(_) if is_new_subject && self.subjects.len() >= MAX_SUBJECTS => {
                return Outcome::TableFull;
            }
            Some(value) => {
                let state = SubjectState {
                    changed_in: self.epoch,
                    value: value.clone(),
                };
                self.subjects.insert(change.subject.clone(), state);
            }
        }
        Outcome::Applied
    }

    /// Returns whether the change was decided before. A proposer that does not learn of the
    /// decision submits the change again, so it may be decided twice.
    fn is_duplicate(&self, id: ChangeId) -> bool {
        let last = self
            .proposers
            .get(&id.proposer)
            .map_or((Incarnation(0), 0), |last| {
                (last.incarnation, last.sequence)
            });
        (id.incarnation, id.sequence) <= last
    }

    /// Remembers the change as the last one of its proposer.
    fn remember(&mut self, id: ChangeId) {
        let is_known = self.proposers.contains_key(&id.proposer);
        if !is_known && self.proposers.len() >= MAX_PROPOSERS {
            self.forget_oldest_proposer();
        }
        let last = LastChange {
            incarnation: id.incarnation,
            sequence: id.sequence,
            decided_in: self.epoch,
        };
        self.proposers.insert(id.proposer, last);
    }

    /// Drops the proposer whose last change is the oldest, as the least likely to retry it.
    fn forget_oldest_proposer(&mut self) {
        let oldest = self
            .proposers
            .iter()
            .min_by_key(|(_, last)| last.decided_in)
            .map(|(proposer, _)| *proposer);
        if let Some(proposer) = oldest {
            self.proposers.remove(&proposer);
        }
    }

    /// Returns the epoch in which the subject was last changed, and its value.
    #[must_use]
    pub fn get(&self, subject: &Subject) -> Option<(Epoch, &[u8])> {
        self.subjects
            .get(subject)
            .map(|state| (state.changed_in, state.value.as_slice()))
    }

    /// Iterates over all subjects, each with the epoch of its last change and its value.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, Epoch, &[u8])> {
        self.subjects
            .iter()
            .map(|(subject, state)| (subject, state.changed_in, state.value.as_slice()))
    }

    /// Returns the number of subjects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.subjects.len()
    }

    /// Returns whether the table has no subjects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.subjects.is_empty()
    }
}
