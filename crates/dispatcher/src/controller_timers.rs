//! The controller's timers, and the gauges passed with their expiry.

use cleatpulley_policy::interface::{Event as ControllerEvent, Gauges, Micros};
use std::collections::BTreeSet;

/// Time before the expiry of a timer at which gauges are read, so that they are available and
/// recent when it expires.
const GAUGE_READ_LEAD: Micros = 4_000;
/// Age above which gauges are not passed to the controller, since they do not reflect the current
/// load.
const MAX_GAUGE_AGE: Micros = 100_000;

/// A timer of the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    expires_at: Micros,
    token: u64,
}

/// Pending timers, and the last read gauges.
#[derive(Debug, Default)]
pub(crate) struct ControllerTimers {
    timers: BTreeSet<Timer>,
    gauges: Gauges,
    gauges_read_at: Micros,
    /// Expiry time of the timer for which gauges were last requested.
    gauges_requested_for: Micros,
}

impl ControllerTimers {
    pub(crate) fn set(&mut self, expires_at: Micros, token: u64) {
        self.timers.insert(Timer { expires_at, token });
    }

    pub(crate) fn set_gauges(&mut self, now: Micros, gauges: Gauges) {
        self.gauges = gauges;
        self.gauges_read_at = now;
    }

    /// Appends an event for each timer that has expired.
    pub(crate) fn expire(&mut self, now: Micros, events: &mut Vec<ControllerEvent>) {
        while let Some(timer) = self.timers.first().copied() {
            if timer.expires_at > now {
                return;
            }
            self.timers.pop_first();
            let is_fresh = now.saturating_sub(self.gauges_read_at) <= MAX_GAUGE_AGE;
            let gauges = if is_fresh {
                self.gauges
            } else {
                Gauges::default()
            };
            events.push(ControllerEvent::TimerExpired {
                token: timer.token,
                gauges,
            });
        }
    }

    /// Returns whether gauges have to be read now, and records that they were requested.
    pub(crate) fn take_gauge_request(&mut self, now: Micros) -> bool {
        let Some(timer) = self.timers.first() else {
            return false;
        };
        let is_requested = timer.expires_at == self.gauges_requested_for;
        if is_requested || now + GAUGE_READ_LEAD < timer.expires_at {
            return false;
        }
        self.gauges_requested_for = timer.expires_at;
        true
    }

    /// Returns the time of the next expiry or gauge request, given the time of the controller's
    /// next possible step.
    pub(crate) fn next_deadline(&self, next_step: Micros) -> Option<Micros> {
        let timer = self.timers.first()?;
        if timer.expires_at == self.gauges_requested_for {
            Some(timer.expires_at.max(next_step))
        } else {
            Some(timer.expires_at.saturating_sub(GAUGE_READ_LEAD))
        }
    }
}
