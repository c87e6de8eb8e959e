//! The timers of the SWIM library.

use super::effects::DelayedTimer;
use crate::identity::Identity;
use cleatpulley_policy::interface::Micros;
use foca::Timer;
use std::collections::BTreeMap;

/// Delay of a poll from which on this process counts as paused: the delay of a poll does not depend
/// on the network.
const PAUSE_THRESHOLD: Micros = 300_000;

/// Timers by deadline. Timers with the same deadline are ordered by their start.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    /// Number of timers that were started.
    started: u64,
}

impl TimerQueue {
    pub(super) fn start(&mut self, now: Micros, delayed: DelayedTimer) {
        self.started += 1;
        let deadline = now + delayed.delay;
        self.timers.insert((deadline, self.started), delayed.timer);
    }

    /// Removes and returns the first timer whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now: Micros) -> Option<Timer<Identity>> {
        let first = self.timers.first_entry()?;
        let (deadline, _) = *first.key();
        (deadline <= now).then(|| first.remove())
    }

    /// Returns the earliest deadline, or `None` if there are no timers.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        self.timers.keys().next().map(|(deadline, _)| *deadline)
    }

    /// If this process was paused, postpones all timers by the duration of the pause. It would
    /// otherwise declare other processes down because it did not receive their acks in time.
    pub(super) fn postpone_after_pause(&mut self, now: Micros) {
        let Some(first_deadline) = self.next_deadline() else {
            return;
        };
        let delay = now.saturating_sub(first_deadline);
        if delay < PAUSE_THRESHOLD {
            return;
        }
        self.timers = std::mem::take(&mut self.timers)
            .into_iter()
            .map(|((deadline, number), timer)| ((deadline + delay, number), timer))
            .collect();
    }

    pub(super) fn clear(&mut self) {
        self.timers.clear();
    }
}
