//! Calls to what lies below: which are made, in which order, and which are left out or given up.

use super::{Actions, Controller, Record, Stage, HOLD_SHARE};
use crate::interface::{Action, Effect, Micros, Outcome, RequestId};

/// Call latencies, and two periods at the least, for which the reply to a call is waited for.
const CALL_PATIENCE: f64 = 8.0;

impl Controller {
    /// Requests of as much merit at calls are more than can be served in half the time left to the aim.
    pub(super) fn calls_crowded(&self, record: &Record) -> bool {
        let merit = self.merit(record);
        let left = record.aim.saturating_sub(self.now) as f64;
        let rounds = (HOLD_SHARE * left / self.gate.latency).max(1.0);
        let better = |other: &&Record| {
            other.stage == Stage::Calling
                || other.stage == Stage::AwaitingCall && self.merit(other) >= merit
        };
        self.requests.values().filter(better).count() as f64 > self.gate.bound * rounds
    }

    /// Issues waiting calls, best first, while the bound has room; leaves out or gives up those too late.
    pub(super) fn make_calls(&mut self, actions: &mut Vec<Action>) {
        let waiting = |record: &&Record| record.stage == Stage::AwaitingCall && !record.answered;
        let mut queue: Vec<(f64, RequestId)> = self
            .requests
            .values()
            .filter(waiting)
            .map(|record| (self.merit(record), record.id))
            .collect();
        queue.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let (mut in_hand, mut ahead) = (self.calls_in_hand(), 0.0);
        for (_, id) in queue {
            let record = &self.requests[&id];
            let class = self.class(record);
            let last = if class.late_worth > 0.0 {
                record.due
            } else {
                record.aim
            };
            let end = self.now as f64 + (ahead / self.gate.bound + 1.0) * self.gate.latency;
            if class.skip_worth > 0.0 && end > record.aim as f64 {
                self.put(id, Stage::Running);
                actions.push(Action::SkipCall(id));
            } else if self.now > last {
                self.fail(id, actions);
            } else if self.gate.has_room(self.now, in_hand) {
                in_hand += 1;
                self.call(id, actions);
            } else {
                ahead += 1.0;
            }
        }
    }

    /// Makes a call that leaves time to answer, and where less than one call is ours, keeps to that.
    fn call(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        record.stage = Stage::Calling;
        record.called = self.now;
        // A reply so late is lost, not late. What must not be made again is given up for good, and so not
        // before its answer would be worth nothing.
        let safe = self.settings.classes[record.class].effect == Effect::Safe;
        let patience = (CALL_PATIENCE * self.gate.latency).max(2.0 * self.period as f64) as Micros;
        let patience = patience.max(if safe {
            0
        } else {
            record.aim.saturating_sub(self.now)
        });
        let left = record
            .due
            .saturating_sub(self.now + self.period)
            .min(patience)
            .max(1);
        let linger = self.settings.linger;
        let allowed = self
            .gate
            .allowance(self.now)
            .map_or(left, |t| (t as Micros).saturating_sub(linger));
        actions.push(Action::Call {
            id,
            timeout: left.min(allowed).max(1),
        });
    }

    pub(super) fn call_ended(
        &mut self,
        id: RequestId,
        end: Outcome,
        took: Micros,
        actions: &mut Actions,
    ) {
        self.gate
            .call_ended(self.now, end, took, self.settings.linger);
        let Some(record) = self.requests.get_mut(&id) else {
            return;
        };
        let success = end == Outcome::Success;
        record.stage = if success {
            Stage::Running
        } else {
            Stage::AwaitingCall
        };
        let never_ran = matches!(
            end,
            Outcome::Overloaded | Outcome::Unreachable | Outcome::Void
        );
        if !success && self.settings.classes[record.class].effect != Effect::Safe && !never_ran {
            // The call may have taken effect, and so must not be made again.
            self.fail(id, actions);
        }
    }
}
