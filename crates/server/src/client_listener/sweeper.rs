//! Schedule of connection sweeps.

use cleatpulley_policy::interface::Micros;

/// Time of the next sweep, and the idle timeout.
#[derive(Default)]
pub(super) struct Sweeper {
    pub(super) sweep_at: Micros,
    /// `None` if idle connections are kept open.
    pub(super) idle_timeout: Option<Micros>,
}

impl Sweeper {
    pub(super) fn is_due(&self, now: Micros) -> bool {
        now >= self.sweep_at
    }
}
