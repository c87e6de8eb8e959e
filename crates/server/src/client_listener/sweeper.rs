//! When connections are swept.

use cleatpulley_policy::interface::Micros;

/// When connections are swept, and which of them count as idle.
#[derive(Default)]
pub(super) struct Sweeper {
    pub(super) sweep_at: Micros,
    /// None while idle connections are kept.
    pub(super) idle_timeout: Option<Micros>,
}

impl Sweeper {
    pub(super) fn is_due(&self, now: Micros) -> bool {
        now >= self.sweep_at
    }
}
