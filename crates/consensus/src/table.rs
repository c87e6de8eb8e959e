//! What all changes come to, in their order.

use crate::change::{BadChange, Change, ChangeId, Subject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Subjects that are known at one time.
pub const MOST_SUBJECTS: usize = 16_384;
/// Processes whose last change is remembered.
pub const MOST_ASKERS: usize = 1_024;

/// What became of a change that was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It holds.
    Applied,
    /// It had been decided before: a second try of the same.
    Repeated,
    /// It no longer applies: the subject changed in this epoch meanwhile.
    Outdated(u64),
    /// It is out of bounds.
    Bad(BadChange),
    /// There is no room for another subject.
    Full,
}

/// The present state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    /// Changes that were decided.
    pub epoch: u64,
    /// By subject: the epoch in which it changed last, and its value.
    subjects: BTreeMap<Subject, (u64, Vec<u8>)>,
    /// By process: its last change, and in which epoch that was.
    askers: BTreeMap<u64, (u64, u64, u64)>,
}

impl Table {
    /// The next change in the order.
    pub fn apply(&mut self, change: &Change) -> Outcome {
        self.epoch += 1;
        if !self.is_new(change.id) {
            return Outcome::Repeated;
        }
        if let Err(bad) = change.check() {
            return Outcome::Bad(bad);
        }
        let known = self
            .subjects
            .get(&change.subject)
            .map_or(0, |(epoch, _)| *epoch);
        if change.seen.is_some_and(|seen| seen != known) {
            return Outcome::Outdated(known);
        }
        match &change.value {
            None => {
                self.subjects.remove(&change.subject);
            }
            Some(_) if known == 0 && self.subjects.len() >= MOST_SUBJECTS => return Outcome::Full,
            Some(value) => {
                self.subjects
                    .insert(change.subject.clone(), (self.epoch, value.clone()));
            }
        }
        Outcome::Applied
    }

    /// Guards against a change that is decided twice because its asker heard nothing of the first.
    fn is_new(&mut self, id: ChangeId) -> bool {
        let last = self
            .askers
            .get(&id.process)
            .map_or((0, 0), |(life, number, _)| (*life, *number));
        if (id.incarnation, id.number) <= last {
            return false;
        }
        if self.askers.len() >= MOST_ASKERS && !self.askers.contains_key(&id.process) {
            // Whoever was silent for longest asks nothing twice any more.
            let oldest = self
                .askers
                .iter()
                .min_by_key(|(_, (_, _, epoch))| *epoch)
                .map(|(process, _)| *process);
            oldest.map(|process| self.askers.remove(&process));
        }
        self.askers
            .insert(id.process, (id.incarnation, id.number, self.epoch));
        true
    }

    /// A subject's value, and the epoch in which it changed last.
    #[must_use]
    pub fn get(&self, subject: &Subject) -> Option<(u64, &[u8])> {
        self.subjects
            .get(subject)
            .map(|(epoch, value)| (*epoch, value.as_slice()))
    }

    /// All subjects with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, u64, &[u8])> {
        self.subjects
            .iter()
            .map(|(subject, (epoch, value))| (subject, *epoch, value.as_slice()))
    }

    /// Subjects that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.subjects.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.subjects.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::change::{Kind, MOST_NAME};

    fn change(process: u64, number: u64, name: &str, value: Option<&str>) -> Change {
        Change {
            id: ChangeId {
                process,
                incarnation: 1,
                number,
            },
            subject: Subject {
                kind: Kind::Weight,
                name: name.to_owned(),
            },
            value: value.map(|value| value.as_bytes().to_vec()),
            seen: None,
        }
    }

    #[test]
    fn a_change_counts_once_however_often_it_is_decided() {
        let mut table = Table::default();
        let first = change(1, 1, "a", Some("1"));
        assert_eq!(table.apply(&first), Outcome::Applied);
        assert_eq!(table.apply(&change(2, 1, "a", Some("2"))), Outcome::Applied);
        assert_eq!(table.apply(&first), Outcome::Repeated);
        assert_eq!(table.get(&first.subject), Some((2, &b"2"[..])));
        assert_eq!(table.epoch, 3);
        let later_life = Change {
            id: ChangeId {
                incarnation: 2,
                ..first.id
            },
            ..first
        };
        assert_eq!(table.apply(&later_life), Outcome::Applied);
    }

    #[test]
    fn a_change_that_no_longer_applies_is_dropped_with_the_epoch_that_came_between() {
        let mut table = Table::default();
        let new = Change {
            seen: Some(0),
            ..change(1, 1, "a", Some("1"))
        };
        assert_eq!(table.apply(&new), Outcome::Applied);
        let late = Change {
            seen: Some(0),
            ..change(2, 1, "a", Some("2"))
        };
        assert_eq!(table.apply(&late), Outcome::Outdated(1));
        let informed = Change {
            seen: Some(1),
            ..change(2, 2, "a", None)
        };
        assert_eq!(table.apply(&informed), Outcome::Applied);
        assert!(table.is_empty());
    }

    #[test]
    fn nothing_grows_without_a_bound() {
        let mut table = Table::default();
        for number in 0..MOST_ASKERS as u64 + 50 {
            assert_eq!(
                table.apply(&change(number, 1, "a", Some("1"))),
                Outcome::Applied
            );
        }
        assert_eq!(table.askers.len(), MOST_ASKERS);
        let long = change(1, 9, &"x".repeat(MOST_NAME + 1), None);
        assert_eq!(
            table.apply(&long),
            Outcome::Bad(BadChange::Name(MOST_NAME + 1))
        );
    }
}
