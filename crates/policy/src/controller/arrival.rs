//! What becomes of a request that has come.

use super::cut::RANKED;
use super::{must_call, smooth, Controller, Record, Stage};
use crate::interface::{Action, Effect, Request, RequestId};

/// Weight of one arrival in the share of further tries.
const AGAIN_SMOOTH: f64 = 0.03;

impl Controller {
    pub(super) fn arrive(&mut self, request: &Request, actions: &mut Vec<Action>) {
        self.lag = smooth(self.lag, request.waited as f64);
        let mut record = self.record(request);
        self.count(&record);
        if let Some(prior) = request.prior {
            if self.follow_prior(&mut record, prior, actions) {
                // Guards against repeats without end; what they repeat may have run, so that none is refused.
                let (id, full) = (record.id, record.keep && self.memory_full(record.memory_kb));
                self.requests.insert(id, record);
                if full {
                    self.fail(id, actions);
                }
                return;
            }
        }
        if self.turns_away(&record) {
            return self.refuse(&record, actions);
        }
        let id = record.id;
        self.requests.insert(id, record);
        self.shed(actions);
        let Some(record) = self.requests.get(&id) else {
            return;
        };
        let class = &self.settings.classes[record.class];
        if class.calls {
            self.gate.admit(self.now);
        }
        let lifetime = match class.effect {
            Effect::Keyed => (record.arrived + class.window + self.period).saturating_sub(self.now),
            Effect::Safe if self.settings.fresh > 0 && request.has_subject && !request.write => {
                record.due.saturating_sub(self.now) + self.settings.fresh
            }
            _ => 0,
        };
        if lifetime > 0 {
            self.remember(id, lifetime, actions);
        }
    }

    fn count(&mut self, record: &Record) {
        self.again += AGAIN_SMOOTH * (f64::from(u8::from(record.retry)) - self.again);
        self.arrivals += 1.0;
        if !record.retry {
            self.tries[record.tenant] += 1.0;
        }
        self.ranked.push_back(self.merit(record));
        if self.ranked.len() > RANKED {
            self.ranked.pop_front();
        }
    }

    /// Settles a request that repeats another: true when it now waits for that one's outcome.
    /// Guards against a second run: whatever is not known to be held may have run. A keyed request that is
    /// still held gives way to its newer try, whose caller is the one that waits; both do where results are
    /// kept.
    fn follow_prior(
        &mut self,
        record: &mut Record,
        prior: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let keyed = self.class(record).effect != Effect::Safe;
        match self.requests.get_mut(&prior) {
            Some(old) if old.stage == Stage::Sharing(record.id) => return false,
            Some(old) if old.stage == Stage::Held && keyed && !record.keep => {
                self.entries.remove(&prior);
                self.requests.remove(&prior);
                actions.push(Action::Refuse {
                    id: prior,
                    avoid_for: 0,
                    last: true,
                });
                return false;
            }
            Some(old) => old.joiners += 1,
            None => {}
        }
        record.stage = Stage::Sharing(prior);
        actions.push(Action::Share(record.id));
        true
    }

    fn turns_away(&self, record: &Record) -> bool {
        let class = self.class(record);
        let entry = if record.keep || class.effect == Effect::Keyed {
            self.settings.entry_kb
        } else {
            0.0
        };
        let standing = self.standing_of(record);
        self.too_late_to_run(record)
            || record.keep && !self.keeps
            || self.memory_full(record.memory_kb + entry)
            || must_call(class)
                && (self.gate.closed(self.now, standing) || self.calls_crowded(record))
            || self.would_wait() && standing < self.cut
    }

    /// An arrival finds held work or no free run. Guards against cores idling behind a cut without a queue.
    fn would_wait(&self) -> bool {
        self.on_cores() >= self.run_limit as usize || self.held().next().is_some()
    }
}
