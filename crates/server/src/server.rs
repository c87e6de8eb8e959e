//! The [`Server`], and one iteration of its event loop.
//!
//! | module | contents |
//! | --- | --- |
//! | `state` | the components of a server |
//! | `construction` | construction of a server from its options |
//! | `command_execution` | execution of the dispatcher's commands by the adapters |
//! | `handover` | the steps of a hot restart, as successor and as predecessor |
//! | `shutdown` | draining, stopping, and closing the persistence |
//! | `management_view` | usage, status and metrics |

mod command_execution;
mod construction;
mod handover;
mod management_view;
mod shutdown;
mod state;

use crate::host::{Host, Readiness, ResultPersistence};
use crate::hot_restart::{self, HotRestart};
use crate::management_endpoint::{self, ManagementEndpoint};
use crate::options::{Reload, ServiceAddresses};
use crate::socket_owner::SocketOwner;
use crate::tls_layer;
use cleatpulley_connection_admission::reputation_database::StoredReputation;
use cleatpulley_dispatcher::{Command, Dispatcher, Event};
use cleatpulley_policy::interface::Micros;
use state::{
    Adapters, Handover, KeyPersistence, ReputationPersistence, ServerIdentity, Shutdown, WarmUp,
};
use std::io;

/// File descriptors kept for the event loop, the listener, the runtime link, the registry and the
/// log, with some in reserve. Clients and the dependency can't use them.
const RESERVED_DESCRIPTORS: usize = 32;

/// A server: the dispatcher, the adapters around it, and the state of shutdown, handover and
/// persistence.
pub struct Server<H: Host> {
    host: H,
    identity: ServerIdentity,
    reload: Reload,
    dispatcher: Dispatcher,
    adapters: Adapters<H>,
    /// Events not yet handled by the dispatcher.
    events: Vec<Event>,
    /// Commands of the dispatcher that are not executed yet.
    commands: Vec<Command>,
    shutdown: Shutdown,
    handover: Handover<H>,
    key_persistence: KeyPersistence<H>,
    reputation: ReputationPersistence<H>,
    warm_up: WarmUp,
}

impl<H: Host> Server<H> {
    /// Returns the current time of the host, in microseconds of the Unix clock.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.host.now()
    }

    /// Records that a socket has become readable or writable.
    pub fn on_readiness(&mut self, owner: SocketOwner, readiness: Readiness) {
        let adapters = &mut self.adapters;
        match owner {
            SocketOwner::ClientConnection(number) => {
                adapters.client_listener.on_readiness(number, readiness);
            }
            SocketOwner::Runtime => adapters.runtime.on_readiness(readiness),
            SocketOwner::Dependency(number) => {
                adapters.dependency_pool.on_readiness(number, readiness);
            }
            SocketOwner::Registry(number) => adapters.registry.on_readiness(number, readiness),
            SocketOwner::Management(number) => {
                if let Some(management) = &mut adapters.management {
                    management.on_readiness(number, readiness);
                }
            }
            // Handover channels are read in every iteration; a server has no gateway targets.
            SocketOwner::Predecessor | SocketOwner::Successor | SocketOwner::GatewayTarget(_) => {}
        }
    }

    /// Handles an event of the persistence of idempotency keys.
    pub fn on_persistence_event(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Handles the persisted reputation of client addresses once it is loaded.
    pub fn on_reputation_loaded(&mut self, entries: &[StoredReputation]) {
        let now = self.now();
        if let Some(admission) = self.adapters.client_listener.admission_mut() {
            admission.restore_reputation(now, entries);
        }
    }

    /// Records that connections may be pending on a listener.
    pub fn on_acceptable(&mut self, listener: usize) {
        match (
            &mut self.adapters.management,
            &mut self.handover.hot_restart,
        ) {
            (Some(management), _) if listener == management_endpoint::LISTENER_NUMBER => {
                management.on_acceptable();
            }
            (_, Some(hot_restart)) if listener == hot_restart::LISTENER_NUMBER => {
                hot_restart.on_acceptable();
            }
            _ => self.adapters.client_listener.on_acceptable(listener),
        }
    }

    /// Reloads the configuration and applies its service addresses; other settings take effect at
    /// the next start. A faulty configuration changes nothing.
    pub fn reload(&mut self) {
        let ServiceAddresses {
            runtime,
            dependency,
            registry,
        } = match (self.reload)() {
            Ok(addresses) => addresses,
            Err(error) => {
                tracing::error!("the configuration stays as it was: {error}");
                return;
            }
        };
        let now = self.host.now();
        if let Some(tls) = &self.adapters.tls {
            tls.borrow_mut().poll(now, true);
        }
        tracing::info!(%runtime, %dependency, %registry, "configuration read again");
        self.adapters.runtime.relocate(now, runtime);
        self.adapters
            .dependency_pool
            .relocate(now, dependency, &mut self.events);
        self.adapters.registry.relocate(now, registry);
    }

    /// Runs one iteration: passes the events of the adapters to the dispatcher and executes its
    /// commands. Returns the time of the next iteration if no socket becomes ready before.
    pub fn poll(&mut self) -> Micros {
        let now = self.host.now();
        self.notify_stop(now);
        self.poll_tls(now);
        // The management endpoint is served first, so that its latency does not depend on the
        // number of clients.
        let mut has_more = self.poll_management(now);
        self.poll_hot_restart(now);
        self.retry_listen(now);
        self.stop_accepting_near_stop(now);
        has_more |= self.read_events(now);
        self.dispatch_events(now);
        self.release_keys(now);
        self.write_reputation_when_due(now);
        self.execute_commands(now);
        self.poll_key_persistence(now);
        has_more |= self.flush(now);
        self.poll_registry(now);
        if has_more || !self.events.is_empty() {
            return 0;
        }
        self.next_deadline(now)
    }

    fn poll_tls(&mut self, now: Micros) {
        if let Some(tls) = &self.adapters.tls {
            tls.borrow_mut().poll(now, false);
        }
    }

    fn poll_management(&mut self, now: Micros) -> bool {
        let Some(mut management) = self.adapters.management.take() else {
            return false;
        };
        let has_more = management.poll(now, &*self);
        self.adapters.management = Some(management);
        has_more
    }

    fn retry_listen(&mut self, now: Micros) {
        if self.handover.retry_listen_at.is_some_and(|at| now >= at) {
            self.listen();
        }
    }

    fn read_events(&mut self, now: Micros) -> bool {
        let adapters = &mut self.adapters;
        let mut has_more = adapters.client_listener.poll(now, &mut self.events);
        has_more |= adapters.runtime.poll(now, &mut self.events);
        adapters.dependency_pool.poll(now, &mut self.events);
        has_more
    }

    fn dispatch_events(&mut self, now: Micros) {
        for event in self.events.drain(..) {
            if let Event::RuntimeReady(uptime) = event {
                self.warm_up.on_runtime_ready(now, uptime);
            }
            self.dispatcher.handle_event(now, event, &mut self.commands);
        }
        self.dispatcher.poll(now, &mut self.commands);
    }

    fn write_reputation_when_due(&mut self, now: Micros) {
        if self.reputation.is_write_due(now) {
            self.write_reputation(now);
        }
    }

    fn write_reputation(&mut self, now: Micros) {
        let admission = self.adapters.client_listener.admission_mut();
        self.reputation.write(now, admission);
    }

    fn poll_key_persistence(&mut self, now: Micros) {
        if let Some(storage) = &mut self.key_persistence.storage {
            storage.poll(now, &mut self.events);
        }
    }

    fn flush(&mut self, now: Micros) -> bool {
        let adapters = &mut self.adapters;
        adapters.client_listener.flush(now, &mut self.events);
        let has_more = adapters.runtime.poll(now, &mut self.events);
        adapters.dependency_pool.poll(now, &mut self.events);
        has_more
    }

    fn poll_registry(&mut self, now: Micros) {
        let is_open = self.adapters.runtime.is_ready() && !self.shutdown.has_begun();
        let reports = self.handover.is_serving() && !self.shutdown.is_replaced();
        self.adapters.registry.poll(now, reports.then_some(is_open));
    }

    /// Returns the earliest deadline of all components.
    fn next_deadline(&self, now: Micros) -> Micros {
        let adapters = &self.adapters;
        let management = adapters.management.as_ref();
        let hot_restart = self.handover.hot_restart.as_ref();
        let key_storage = self.key_persistence.storage.as_ref();
        let optional_deadlines = [
            self.dispatcher.next_deadline(),
            adapters.runtime.next_deadline(),
            adapters.dependency_pool.next_deadline(),
            management.and_then(ManagementEndpoint::next_deadline),
            adapters
                .tls
                .as_ref()
                .map(|_| now + tls_layer::CERTIFICATE_CHECK_INTERVAL),
            self.shutdown.stop_at(),
            self.handover.retry_listen_at,
            self.handover.yield_state.next_deadline(now),
            hot_restart.and_then(HotRestart::next_deadline),
            key_storage.and_then(ResultPersistence::next_deadline),
        ];
        optional_deadlines
            .into_iter()
            .flatten()
            .chain([
                adapters.client_listener.next_deadline(),
                adapters.registry.next_deadline(),
            ])
            .min()
            .unwrap_or(0)
    }

    /// Returns true while new clients are accepted. A server accepts none while its runtime is not
    /// ready.
    #[must_use]
    pub fn accepts_clients(&self) -> bool {
        self.adapters.runtime.is_ready()
            && !self.shutdown.has_begun()
            && self.handover.retry_listen_at.is_none()
            && self.handover.is_serving()
    }

    /// Returns true if this process continues with the state learned by its predecessor.
    #[must_use]
    pub fn has_restored_learned_state(&self) -> bool {
        self.handover.has_restored_learned_state
    }

    /// Takes the fatal error that the process has to end with, if any.
    pub fn take_error(&mut self) -> Option<io::Error> {
        self.handover.listen_error.take()
    }
}
