//! Until when an epoch may be acted on.
//!
//! A process asks all that agree how far they have accepted. Where most of them, itself among them, have accepted no more than
//! is decided here, nothing more had been decided when it asked: whatever is decided was accepted by most, and one of those
//! would have been among the answers. So the epoch was the latest at the time of *asking*, and for so long after that it may
//! be acted on. An answer to an older question counts for that question's time.

use crate::NodeId;
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Questions whose answers may still come.
const OPEN: usize = 32;

/// What was asked, and who has answered.
#[derive(Debug, Clone)]
struct Asked {
    number: u64,
    at: Micros,
    /// How far each has accepted.
    answers: BTreeMap<NodeId, u64>,
}

/// The lease of one process.
#[derive(Debug, Clone)]
pub struct Lease {
    lasts: Micros,
    most: usize,
    number: u64,
    asked: VecDeque<Asked>,
    /// The latest time at which the epoch surely was the latest.
    sure: Option<Micros>,
}

impl Lease {
    /// One of so long, where answers of so many of them are most.
    #[must_use]
    pub fn new(lasts: Micros, most: usize) -> Self {
        Self {
            lasts,
            most,
            number: 0,
            asked: VecDeque::new(),
            sure: None,
        }
    }

    /// Others are asked from here on; what was sure stays so.
    pub fn enter(&mut self, most: usize) {
        self.most = most;
        self.asked.clear();
    }

    /// Asks now: the number of the question.
    pub fn ask(&mut self, now: Micros) -> u64 {
        self.number += 1;
        if self.asked.len() == OPEN {
            self.asked.pop_front();
        }
        self.asked.push_back(Asked {
            number: self.number,
            at: now,
            answers: BTreeMap::new(),
        });
        self.number
    }

    /// One has answered a question.
    pub fn answer(&mut self, number: u64, from: NodeId, accepted: u64) {
        if let Some(asked) = self.asked.iter_mut().find(|asked| asked.number == number) {
            asked.answers.insert(from, accepted);
        }
    }

    /// Looks at the answers, where so much is decided here.
    pub fn look(&mut self, decided: u64) {
        let most = self.most;
        let sure = |asked: &&Asked| {
            asked
                .answers
                .values()
                .filter(|&&accepted| accepted <= decided)
                .count()
                >= most
        };
        let latest = self.asked.iter().rev().find(sure).map(|asked| asked.at);
        self.sure = self.sure.max(latest);
    }

    /// Until when the epoch may be acted on.
    #[must_use]
    pub fn until(&self) -> Option<Micros> {
        self.sure.map(|sure| sure + self.lasts)
    }

    /// Whether it may be now.
    #[must_use]
    pub fn holds(&self, now: Micros) -> bool {
        self.until().is_some_and(|until| now < until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lease_counts_from_the_question_and_needs_most_answers() {
        let mut lease = Lease::new(100, 2);
        let first = lease.ask(1_000);
        lease.answer(first, 1, 5);
        lease.look(5);
        assert_eq!(lease.until(), None, "one of three");
        lease.answer(first, 2, 6);
        lease.look(5);
        assert_eq!(lease.until(), None, "one has more than is decided here");
        lease.look(6);
        assert_eq!(lease.until(), Some(1_100), "however late the answer came");
        let second = lease.ask(1_050);
        lease.answer(second, 2, 6);
        lease.answer(second, 2, 6);
        lease.look(6);
        assert_eq!(lease.until(), Some(1_100), "one answer counts once");
        lease.answer(second, 3, 2);
        lease.look(6);
        assert!(lease.holds(1_149) && !lease.holds(1_150));
    }

    #[test]
    fn answers_to_what_was_never_asked_count_for_nothing() {
        let mut lease = Lease::new(100, 2);
        lease.answer(7, 1, 0);
        lease.answer(7, 2, 0);
        lease.look(0);
        assert_eq!(lease.until(), None);
    }
}
