//! Answers by their deadlines, what is given up, and leaving: the grace, the stop, and a successor.

use super::{Controller, Record, Stage, HOLD_SHARE};
use crate::interface::{Action, Effect, Halt, Micros, RequestId};

/// Share of further tries among arrivals from which a refusal is to be the last: the others refuse too.
const LAST_AGAIN: f64 = 0.1;
/// The same by the unread wait, as a share of what held work is allowed: a reading elsewhere costs too much.
const LAST_LAG: f64 = 0.3;

#[derive(Debug, Clone, Copy)]
pub(super) struct Drain {
    pub(super) last_arrival: Micros,
    pub(super) stop_at: Micros,
    /// Another process has our place: callers are not sent elsewhere.
    pub(super) succeeded: bool,
}

impl Controller {
    /// Leaving, with the grace from the first notice; callers are sent elsewhere unless a successor is here.
    pub(super) fn begin_drain(
        &mut self,
        stop_at: Micros,
        succeeded: bool,
        actions: &mut Vec<Action>,
    ) {
        let stop_at = stop_at.saturating_sub(2 * self.settings.answer_slack.max(self.period));
        let last_arrival = self
            .drain
            .map_or(self.now + self.settings.drain_grace, |d| d.last_arrival);
        self.drain = Some(Drain {
            last_arrival,
            stop_at,
            succeeded,
        });
        for record in self.requests.values_mut() {
            record.due = record.due.min(stop_at);
        }
        if !succeeded {
            actions.push(Action::Health {
                good: false,
                from_state: true,
            });
        }
    }

    /// Callers are sent elsewhere.
    pub(super) fn leaves(&self) -> bool {
        self.drain.is_some_and(|drain| !drain.succeeded)
    }

    /// Reached the machine after the grace that follows the notice to leave.
    pub(super) fn too_late_to_run(&self, record: &Record) -> bool {
        self.drain
            .is_some_and(|drain| record.arrived > drain.last_arrival)
    }

    /// Answers all that is due before the next period.
    pub(super) fn keep_deadlines(&mut self, actions: &mut Vec<Action>) {
        let barred = |r: &Record| r.stage == Stage::Held && self.too_late_to_run(r);
        let is_due = |r: &&Record| !r.answered && (self.now + self.period >= r.due || barred(r));
        let due = self
            .requests
            .values()
            .filter(is_due)
            .map(|r| (r.id, r.stage == Stage::Held));
        for (id, held) in due.collect::<Vec<_>>() {
            match held.then(|| self.requests.remove(&id)).flatten() {
                Some(record) => self.refuse(&record, actions),
                None => self.fail(id, actions),
            }
        }
    }

    /// Turns away a request that never ran here.
    pub(super) fn refuse(&mut self, record: &Record, actions: &mut Vec<Action>) {
        let (waiting, allowed) = self.held_work();
        let over =
            (waiting + self.lag - HOLD_SHARE * allowed).max(0.0) * (0.5 + self.next_random());
        // Never without a time to come back: what is refused now may be welcome in the next period.
        let away = self.leaves() || record.keep && !self.keeps;
        let avoid_for = if away {
            Micros::MAX
        } else {
            (over as Micros).max(self.period)
        };
        let avoid_for = avoid_for.min(self.settings.max_avoid);
        let last = record.retry || self.again > LAST_AGAIN || self.lag > LAST_LAG * allowed;
        actions.push(Action::Refuse {
            id: record.id,
            avoid_for,
            last,
        });
        self.forget(record.id, actions);
    }

    /// Fails a request that has run or waits for another; what it occupies stays counted until it ends.
    pub(super) fn fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        actions.push(Action::Fail(id));
        self.close(id, actions);
    }

    /// No answer is owed any more; a run goes on where it may not be stopped, or has an effect.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        record.answered = true;
        let halts = self.settings.halt != Halt::Never;
        match record.stage {
            Stage::Running
                if halts && self.settings.classes[record.class].effect == Effect::Safe =>
            {
                actions.push(Action::Halt(id));
            }
            Stage::Held => {
                self.requests.remove(&id);
                self.forget(id, actions);
            }
            Stage::Sharing(prior) => {
                self.requests.remove(&id);
                self.leave_share(prior);
            }
            _ => {}
        }
    }
}
