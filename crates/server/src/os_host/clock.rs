//! The clock of all events.

use cleatpulley_policy::interface::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds of the Unix clock at the start, and monotonic from there on.
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
