//! The limit on running requests, and their starts and ends.

use super::{must_call, smooth, Actions, Controller, Stage, MARGIN};
use crate::interface::{Action, Effect, Micros, Outcome, RequestId};

/// Share of the crowd survived that running requests may make.
const CROWD_MARGIN: f64 = 0.5;
/// Work demanding each core from which the run limit shrinks: one run beside one reading or new connection.
pub(super) const FULL_CORES: f64 = 2.0;
/// Step of the run limit in one period, as a share of the cores.
const RUN_STEP: f64 = 0.05;

impl Controller {
    /// Starts held work in its line while runs, memory and calls have room.
    pub(super) fn start_runs(&mut self, actions: &mut Vec<Action>) {
        let (mut running, mut memory) = (self.on_cores(), self.memory_kb());
        if running == 0 && self.held().next().is_none() {
            self.progress = self.now;
        }
        for id in self.line() {
            if running >= self.run_limit as usize {
                return;
            }
            let record = &self.requests[&id];
            let class = self.class(record);
            let more = record.memory_kb * (self.settings.run_factor.max(1.0) - 1.0);
            let fits = memory + more <= MARGIN * self.settings.memory_kb;
            if !fits || (must_call(class) && self.calls_crowded(record)) {
                continue;
            }
            memory += more;
            if running == 0 {
                self.progress = self.now;
            }
            running += 1;
            self.put(id, Stage::Running);
            actions.push(Action::Run(id));
        }
    }

    pub(super) fn run_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        took: Micros,
        actions: &mut Actions,
    ) {
        let Some(record) = self.requests.remove(&id) else {
            return;
        };
        if record.stage == Stage::Calling {
            self.gate
                .past
                .push((record.called, self.now + self.settings.linger));
        }
        match record.stage {
            Stage::Sharing(prior) => self.leave_share(prior),
            _ => self.progress = self.now,
        }
        let safe = self.class(&record).effect == Effect::Safe;
        if outcome != Outcome::Success && safe {
            self.forget(id, actions);
        } else if outcome == Outcome::Success && !matches!(record.stage, Stage::Sharing(_)) {
            let pace = &mut self.paces[record.class];
            pace.run_time = smooth(pace.run_time, took as f64 / record.size.max(0.1)).max(1.0);
            if safe && self.entries.contains_key(&id) {
                self.remember(id, self.settings.fresh, actions);
            }
        }
    }

    pub(super) fn leave_share(&mut self, prior: RequestId) {
        if let Some(prior) = self.requests.get_mut(&prior) {
            prior.joiners = prior.joiners.saturating_sub(1);
        }
    }

    /// The limit grows while cores idle and work waits, shrinks towards the cores while they are crowded, and
    /// stays under the crowd survived at present speed.
    pub(super) fn adjust_run_limit(&mut self) {
        let cores = f64::from(self.settings.cores.max(1));
        let waits =
            self.held().next().is_some() && self.on_cores() as f64 >= self.run_limit.floor();
        match self.runnable {
            Some(runnable) if runnable > FULL_CORES * cores => self.run_limit -= RUN_STEP * cores,
            Some(runnable) if runnable < cores && waits => self.run_limit += RUN_STEP * cores,
            _ => {}
        }
        let crowd = (1.0 + (self.settings.crowd - 1.0).max(0.0) * self.speed()) * cores;
        self.run_limit = self
            .run_limit
            .clamp(cores, (CROWD_MARGIN * crowd).max(cores));
    }

    /// The share of full speed that a cold start surely has by now.
    pub(super) fn speed(&self) -> f64 {
        let warmth = (self.now - self.started) as f64 / self.settings.warm_after.max(1) as f64;
        let cold = if self.settings.cold_start {
            self.settings.cold_speed
        } else {
            1.0
        };
        (cold + (1.0 - cold) * warmth).min(1.0)
    }
}
