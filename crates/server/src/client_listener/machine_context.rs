//! Context shared by the state machines of all connections.

use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::state_machine::Context;

/// Context shared by the state machines of all connections.
pub(super) struct MachineContext {
    /// Names of the request classes, by index.
    pub(super) class_names: Vec<String>,
    /// Result of health checks.
    pub(super) is_healthy: bool,
    /// Feedback value that all responses carry.
    pub(super) feedback: Option<f64>,
}

impl MachineContext {
    pub(super) fn for_connection(&self, now: Micros, number: u64) -> Context<'_> {
        Context {
            now,
            connection_id: number,
            class_names: &self.class_names,
            is_healthy: self.is_healthy,
            feedback: self.feedback,
        }
    }
}
