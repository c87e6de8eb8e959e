//! What became of requests, by class: the one place where that is counted. Every process counts from 0.

use super::Answer;

/// Of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests served.
    pub served: u64,
    /// Those turned away.
    pub refused: u64,
    /// Those that failed, late ones and those at fault themselves among them.
    pub failed: u64,
    /// Of those, the ones whose time was over before they could be answered otherwise.
    pub late: u64,
    /// Of those, the ones that no server could answer otherwise.
    pub rejected: u64,
    /// Runs handed to the runtime. One that is handed over again after a break counts once.
    pub relayed: u64,
}

/// Of all classes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counts {
    classes: Vec<Tally>,
}

impl Counts {
    pub(super) fn new(classes: usize) -> Self {
        Self {
            classes: vec![Tally::default(); classes],
        }
    }

    /// By the index of the class.
    #[must_use]
    pub fn classes(&self) -> &[Tally] {
        &self.classes
    }

    /// All classes together.
    #[must_use]
    pub fn total(&self) -> Tally {
        self.classes
            .iter()
            .fold(Tally::default(), |sum, tally| Tally {
                served: sum.served + tally.served,
                refused: sum.refused + tally.refused,
                failed: sum.failed + tally.failed,
                late: sum.late + tally.late,
                rejected: sum.rejected + tally.rejected,
                relayed: sum.relayed + tally.relayed,
            })
    }

    pub(super) fn answered(&mut self, class: usize, answer: &Answer) {
        let Some(tally) = self.classes.get_mut(class) else {
            return;
        };
        match answer {
            Answer::Served(_) | Answer::Returned { .. } => tally.served += 1,
            Answer::Refused { .. } => tally.refused += 1,
            Answer::Failed => tally.failed += 1,
            Answer::Expired => (tally.failed, tally.late) = (tally.failed + 1, tally.late + 1),
            Answer::Rejected(_) => {
                (tally.failed, tally.rejected) = (tally.failed + 1, tally.rejected + 1)
            }
        }
    }

    pub(super) fn relayed(&mut self, class: usize) {
        if let Some(tally) = self.classes.get_mut(class) {
            tally.relayed += 1;
        }
    }
}
