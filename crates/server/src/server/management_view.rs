//! Usage, status and metrics of a server.

use super::Server;
use crate::host::Host;
use crate::hot_restart::HotRestart;
use crate::options::ServerUsage;
use crate::status_report::{self, Status};
use crate::tls_layer::TlsState;
use cleatpulley_connection_admission::handshake::HandshakeScheduler;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::management;

impl<H: Host> Server<H> {
    /// Returns the resources that the server holds.
    #[must_use]
    pub fn usage(&self) -> ServerUsage {
        let clients = self.adapters.client_listener.usage();
        let dependency = self.adapters.dependency_pool.usage();
        let management = self.adapters.management.as_ref();
        let management_connections =
            management.map_or(0, |management| management.connection_count() + 1);
        let hot_restart = self.handover.hot_restart.as_ref();
        let descriptors = clients.listeners
            + clients.connections
            + dependency.connections
            + usize::from(self.adapters.runtime.is_connected())
            + self.adapters.registry.connection_count()
            + self.adapters.client_listener.reserved_descriptors()
            + management_connections
            + hot_restart.map_or(0, HotRestart::descriptor_count);
        let key_table = self.dispatcher.key_table();
        ServerUsage {
            requests: self.dispatcher.request_count(),
            pending: self.dispatcher.pending_count(),
            active_key_runs: key_table
                .map_or(0, cleatpulley_dispatcher::key_table::KeyTable::active_runs),
            open_requests: clients.open_requests,
            calls: dependency.calls,
            descriptors,
            client_connections: clients.connections,
            dependency_connections: dependency.connections,
            management_connections,
        }
    }

    /// Returns the status of the server, for the supervisor and for gossip.
    #[must_use]
    pub fn status(&self) -> Status {
        let total = self.dispatcher.counters().total();
        let warmth = if self.adapters.runtime.is_ready() {
            self.warm_up.warmth(self.now())
        } else {
            // A server without its runtime serves nothing.
            0.0
        };
        Status {
            warmth,
            pending: self.dispatcher.pending_count(),
            is_draining: self.shutdown.has_begun(),
            served: total.served,
            expired: total.expired,
            rejected: total.rejected,
            failed: total.server_failures(),
        }
    }
}

impl<H: Host> management::ManagementData for Server<H> {
    fn is_ready(&self) -> bool {
        self.accepts_clients()
    }

    fn variables_json(&self) -> Vec<u8> {
        let client_listener = &self.adapters.client_listener;
        let admission = client_listener.admission();
        let tls_metrics = self
            .adapters
            .tls
            .as_ref()
            .map(|tls| tls_metrics(&tls.borrow(), client_listener.handshakes(), self.now()));
        status_report::metrics_json(
            &self.identity.class_names,
            self.dispatcher.counters(),
            self.dispatcher.pending_count(),
            admission.map(|admission| admission.counters),
            tls_metrics,
        )
    }
}

/// Returns the TLS metrics: expiry and renewals of the certificate, and handshakes.
fn tls_metrics(
    tls: &TlsState,
    handshakes: Option<&HandshakeScheduler>,
    now: Micros,
) -> serde_json::Value {
    let certificate = tls.certificate_facts();
    let renewals = tls.renewals();
    let mut metrics = serde_json::json!({
        "certificate": {
            "names": certificate.names,
            "serial": certificate.serial,
            "expires_in_s": tls.seconds_until_expiry(now),
        },
        "renewed": renewals.accepted,
        "renewals_refused": renewals.rejected,
    });
    if let Some(handshakes) = handshakes {
        let counts = handshakes.counters;
        let load = handshakes.load();
        metrics["handshakes"] = serde_json::json!({
            "full": counts.full,
            "resumed": counts.resumed,
            "waited": counts.waited,
            "refused": counts.rejected,
            "overdue": counts.timed_out,
            "running": load.running,
            "waiting": load.waiting,
        });
    }
    metrics
}
