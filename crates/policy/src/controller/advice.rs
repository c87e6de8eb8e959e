//! What callers are told of how welcome they are, and which connections are worth keeping.

use super::runs::FULL_CORES;
use super::Controller;
use crate::interface::{Action, Advert, Micros};

/// Least chance that callers are asked to leave us: with none, a recovered server would hear of nobody.
pub(super) const ADVERT_FLOOR: f64 = 0.1;
/// Requests for each lane that one caller may have here: one that runs and one that is on its way or waits.
const ROUNDS: f64 = 2.0;
/// The advertised value is renewed when it has moved by this much.
const ADVERT_STEP: f64 = 0.03;

impl Controller {
    /// Tells callers how welcome they are. Moves by small steps, so that they do not herd.
    pub(super) fn advertise(&mut self, actions: &mut Vec<Action>) {
        let welcome = if self.leaves() {
            0.0
        } else {
            (self.welcome * (1.0 - self.lag / self.held_work().1)).max(ADVERT_FLOOR)
        };
        if (welcome - self.advertised).abs() < ADVERT_STEP
            && (welcome < 1.0) == (self.advertised < 1.0)
        {
            return;
        }
        self.advertised = welcome;
        let bands = self.settings.classes.len().max(1) as f64;
        let value = match self.settings.advert {
            Advert::Unused => return,
            Advert::Weight => welcome,
            Advert::Floor => (1.0 - welcome) * (1.0 - 1.0 / bands),
            // For each caller all that fits: few callers send most, and a fixed share would shut them out of
            // cores that the others leave idle. What they send too much together lowers the welcome.
            Advert::Allowance => welcome * ROUNDS * self.lanes(),
        };
        actions.push(Action::Advertise(value));
    }

    /// Closes connections unlikely to carry more: many callers come too seldom. Guards against a full table,
    /// which takes of the cores and shuts callers out; under strain less so, since new ones would add to it.
    pub(super) fn close_idle(&mut self, actions: &mut Vec<Action>) {
        let idle = self.settings.idle as f64;
        let interval =
            f64::from(self.settings.callers) * self.memory_span() / self.arrivals.max(1.0);
        let strain =
            (self.runnable.unwrap_or(0.0) / f64::from(self.settings.cores.max(1)) / FULL_CORES)
                .max(1.0);
        let keep = idle * (strain * idle / interval.max(1.0)).min(1.0).powi(2);
        if keep < 0.9 * self.kept_idle || keep > 1.1 * self.kept_idle {
            self.kept_idle = keep;
            actions.push(Action::CloseIdle((keep as Micros).max(self.period)));
        }
    }
}
