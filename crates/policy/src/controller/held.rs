//! Held work: its line, what of it can't end in time, and what it needs beside what it is allowed.

use super::{Controller, Pace, Record, HOLD_SHARE};
use crate::interface::{Action, Class, Micros, RequestId};

impl Controller {
    /// Held requests in the order of their runs: by when they are wanted, what can't be in time last.
    pub(super) fn line(&self) -> Vec<RequestId> {
        let mut line: Vec<_> = self
            .held()
            .map(|record| (self.wanted(record), record.id))
            .collect();
        line.sort_unstable();
        line.into_iter().map(|(_, id)| id).collect()
    }

    fn wanted(&self, record: &Record) -> (bool, Micros) {
        let late = self.is_late(record);
        (late, if late { record.due } else { record.aim })
    }

    /// Turns away the held request of least merit among those ahead of one that can't end in time, until all
    /// can. Guards against holding what is refused too late for its caller to go elsewhere.
    pub(super) fn shed(&mut self, actions: &mut Vec<Action>) {
        while let Some(record) = self
            .least_in_the_way()
            .and_then(|id| self.requests.remove(&id))
        {
            self.refuse(&record, actions);
        }
    }

    fn least_in_the_way(&self) -> Option<RequestId> {
        let free = self.on_cores() < self.run_limit as usize;
        let (mut ahead, mut least) = (0.0, (f64::INFINITY, 0));
        for id in self.line() {
            let record = &self.requests[&id];
            let wait = if ahead == 0.0 && free {
                0.0
            } else {
                ahead / self.lanes() + self.standstill()
            };
            let merit = self.urgency(record);
            if merit <= least.0 {
                least = (merit, id);
            }
            if !self.may_run_by_aim(record, wait) {
                return Some(least.1);
            }
            ahead += self.run_time(record);
        }
        None
    }

    /// Guards against taking what can't be finished; one such run goes on, so that a recovery is heard of.
    fn may_run_by_aim(&self, record: &Record, wait: f64) -> bool {
        let end = self.now as f64 + wait + self.run_time(record);
        let last = if self.class(record).late_worth > 0.0 {
            record.due
        } else {
            record.aim
        };
        end <= last as f64
            || self
                .requests
                .values()
                .all(|other| other.answered || other.id == record.id)
    }

    /// The time that the held work needs, and the time that the tightest class allows it.
    pub(super) fn held_work(&self) -> (f64, f64) {
        let work: f64 = self.held().map(|record| self.run_time(record)).sum();
        let waiting = if work > 0.0 {
            work / self.lanes() + self.standstill()
        } else {
            0.0
        };
        let slack = |(class, pace): (&Class, &Pace)| {
            HOLD_SHARE * (class.aim as f64 - pace.run_time).max(0.1 * class.aim as f64)
        };
        let allowed = self
            .settings
            .classes
            .iter()
            .zip(&self.paces)
            .map(slack)
            .fold(f64::INFINITY, f64::min);
        (waiting, allowed.max(1.0))
    }
}
