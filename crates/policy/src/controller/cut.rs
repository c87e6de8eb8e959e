//! What a request is worth beside the others, and the rank cut, which refuses the lowest first.

use super::advice::ADVERT_FLOOR;
use super::{Controller, Record, HOLD_SHARE};
use crate::interface::Micros;

/// Arrivals that the rank cut is measured against: enough for steps of two in a hundred.
pub(super) const RANKED: usize = 64;

impl Controller {
    /// Worth for each unit of run time; a tenant over its share, beyond what chance gives, counts for less.
    pub(super) fn merit(&self, record: &Record) -> f64 {
        let worth = record.worth * f64::from(1 + record.joiners) * self.within_share(record.tenant);
        worth / self.run_time(record).max(1.0)
    }

    /// Its run would end after the aim.
    pub(super) fn is_late(&self, record: &Record) -> bool {
        self.now as f64 + self.run_time(record) > record.aim as f64
    }

    /// Merit, less what an answer after the aim loses.
    pub(super) fn urgency(&self, record: &Record) -> f64 {
        let late = self.is_late(record);
        self.merit(record)
            * if late {
                self.class(record).late_worth.max(0.01)
            } else {
                1.0
            }
    }

    fn within_share(&self, tenant: usize) -> f64 {
        let Some(quota) = self.settings.tenants.get(tenant).map(|t| t.quota_per_s) else {
            return 1.0;
        };
        let rate =
            self.tries[tenant] * f64::from(self.settings.servers.max(1)) * 1e6 / self.memory_span();
        if quota <= 0.0 || rate <= quota * (1.0 + 1.0 / self.tries[tenant].max(1.0).sqrt()) {
            return 1.0;
        }
        let within = quota / rate;
        within + (1.0 - within) * self.settings.over_share_worth
    }

    /// How far back tries are counted: the longest that a client waits.
    pub(super) fn memory_span(&self) -> f64 {
        self.settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0)
            .max(1_000_000) as f64
    }

    /// The share of recent arrivals with less merit, ties broken by place: where the request stands in rank.
    pub(super) fn standing_of(&self, record: &Record) -> f64 {
        let merit = self.merit(record);
        let below = self
            .ranked
            .iter()
            .filter(|other| **other < merit * 0.999)
            .count() as f64;
        let equal = self
            .ranked
            .iter()
            .filter(|other| (**other / merit - 1.0).abs() <= 0.001)
            .count() as f64;
        (below + equal * record.place) / self.ranked.len().max(1) as f64
    }

    /// The cut rises while the held work overruns the tightest aim, and falls otherwise.
    pub(super) fn adjust_cut(&mut self, passed: Micros) {
        let (waiting, allowed) = self.held_work();
        let overrun = (HOLD_SHARE * waiting / allowed - 1.0).clamp(-1.0, 1.0);
        let step = passed as f64 / (2.0 * allowed);
        self.cut = (self.cut + overrun * step).clamp(0.0, 1.0);
        let crowded = (2.0 * (waiting + self.lag) / allowed - 1.0).clamp(-1.0, 1.0);
        self.welcome =
            (self.welcome - crowded * step).clamp(ADVERT_FLOOR, self.speed().max(ADVERT_FLOOR));
    }
}
