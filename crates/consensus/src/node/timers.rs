//! The deadlines of a node's periodic work.

use crate::settings::Settings;
use cleatpulley_policy::interface::Micros;

/// The interval between two trims of the log.
const TRIM_INTERVAL: Micros = 2_000_000;

/// A task that repeats. Intervals that passed while the process was suspended are not made up for:
/// the others had to go on without it.
#[derive(Debug)]
pub(super) struct Timer {
    interval: Micros,
    deadline: Micros,
}

impl Timer {
    fn new(interval: Micros) -> Self {
        Self {
            interval,
            deadline: 0,
        }
    }

    /// Returns whether the deadline has passed, and if so sets the next one.
    pub(super) fn expire(&mut self, now: Micros) -> bool {
        let has_expired = now >= self.deadline;
        if has_expired {
            self.deadline = now + self.interval;
        }
        has_expired
    }
}

/// The timers of a node. All are due at its first poll.
#[derive(Debug)]
pub(super) struct Timers {
    /// The tick of the library's logical clock.
    pub tick: Timer,
    /// The start of a probe that renews the lease.
    pub probe: Timer,
    /// The trim of the log.
    pub trim: Timer,
}

impl Timers {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            tick: Timer::new(settings.tick_interval),
            probe: Timer::new(settings.probe_interval),
            trim: Timer::new(TRIM_INTERVAL),
        }
    }

    /// Returns the next deadline of a tick or a probe. A trim is not urgent and waits for these.
    pub(super) fn next_deadline(&self) -> Micros {
        self.tick.deadline.min(self.probe.deadline)
    }
}
