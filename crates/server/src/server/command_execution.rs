//! Execution of the dispatcher's commands by the adapters.

use super::Server;
use crate::host::{Host, ResultPersistence as _};
use cleatpulley_dispatcher::Command;
use cleatpulley_policy::interface::Micros;

impl<H: Host> Server<H> {
    /// Executes all pending commands of the dispatcher.
    pub(super) fn execute_commands(&mut self, now: Micros) {
        for command in std::mem::take(&mut self.commands) {
            self.execute(now, command);
        }
    }

    fn execute(&mut self, now: Micros, command: Command) {
        let adapters = &mut self.adapters;
        match command {
            Command::Respond { client, response } => {
                adapters.client_listener.respond(now, client, &response);
            }
            Command::StartRun { id, class, body } => adapters.runtime.start(id, class, &body),
            Command::ResumeWithReply { id, body } => adapters.runtime.resume_with_reply(id, &body),
            Command::ResumeWithoutCall { id, notice } => {
                adapters.runtime.resume_without_call(id, notice);
            }
            Command::StopRun(id) => adapters.runtime.stop(id),
            Command::MakeCall(call) => {
                adapters.dependency_pool.call(now, call, &mut self.events);
            }
            Command::AbandonCall(id) => adapters.dependency_pool.abandon(id),
            Command::ReadGauges => adapters.runtime.read_gauges(),
            Command::SetHealth(is_healthy) => self.set_health(is_healthy),
            Command::SetFeedback(value) => adapters.client_listener.set_feedback(value),
            Command::CloseIdleConnections(idle_timeout) => {
                adapters.client_listener.set_idle_timeout(idle_timeout);
            }
            Command::PersistKey(key_command) => {
                if let Some(storage) = &mut self.key_persistence.storage {
                    storage.write(key_command);
                }
            }
            Command::LoadCachedResult {
                id,
                load_number,
                key,
            } => {
                if let Some(storage) = &mut self.key_persistence.storage {
                    storage.load_result(now, id, load_number, key);
                }
            }
        }
    }

    fn set_health(&mut self, is_healthy: bool) {
        if is_healthy {
            tracing::info!("health checks are answered good");
        } else {
            tracing::info!("health checks are answered bad");
        }
        self.adapters.client_listener.set_health(is_healthy);
    }
}
