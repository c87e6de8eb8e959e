//! The clock of the host.

use cleatpulley_policy::interface::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Clock in microseconds: the Unix time at the start, advanced by a monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    unix_at_start: Micros,
    start: Instant,
}

impl Clock {
    pub(super) fn new() -> Self {
        let unix_at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_micros() as Micros);
        Self {
            unix_at_start,
            start: Instant::now(),
        }
    }

    pub(super) fn unix_at_start(&self) -> Micros {
        self.unix_at_start
    }

    pub(super) fn now(&self) -> Micros {
        self.unix_at_start + self.start.elapsed().as_micros() as Micros
    }
}
