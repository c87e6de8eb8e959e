//! Execution of the steps that a [`HotRestart`] requests from the server, as successor and as
//! predecessor.

use super::state::YieldState;
use super::{Server, RESERVED_DESCRIPTORS};
use crate::client_listener::ListenFailure;
use crate::error::StartError;
use crate::host::{HandoverAddress, Host, ResultPersistence as _};
use crate::hot_restart::{self, HotRestart, HotRestartStep, InheritedListener};
use crate::management_endpoint;
use cleatpulley_dispatcher::key_table::KeyTable;
use cleatpulley_dispatcher::{Event, ResourceUsage};
use cleatpulley_hot_restart::{snapshot, ProcessUsage};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::io;
use std::net::IpAddr;

/// Minimum limit of client connections, regardless of the connections of the predecessor.
const MIN_CLIENT_CONNECTIONS: usize = 8;
/// Delay before listening is retried after a shortage of file descriptors.
const LISTEN_RETRY_INTERVAL: Micros = 20_000;

impl<H: Host> Server<H> {
    /// Advances the handover from a predecessor and to a successor.
    pub(super) fn poll_hot_restart(&mut self, now: Micros) {
        let Some(mut hot_restart) = self.handover.hot_restart.take() else {
            return;
        };
        loop {
            let mut steps = Vec::new();
            let listeners: Vec<_> = self.adapters.client_listener.listeners().collect();
            // A process that does not listen yet can't accept clients, and one that was told to
            // leave would only reject them.
            let can_serve = self.adapters.runtime.is_ready()
                && self.handover.retry_listen_at.is_none()
                && !self.shutdown.has_begun();
            let usage = || self.combined_usage();
            hot_restart.poll(now, can_serve, &listeners, usage, &mut steps);
            let adopts_listeners = steps
                .iter()
                .any(|step| matches!(step, HotRestartStep::AdoptListeners(_)));
            for step in steps {
                self.execute_step(now, step, &mut hot_restart);
            }
            if !adopts_listeners {
                break;
            }
        }
        self.handover.hot_restart = Some(hot_restart);
    }

    fn execute_step(
        &mut self,
        now: Micros,
        step: HotRestartStep<H>,
        hot_restart: &mut HotRestart<H>,
    ) {
        match step {
            HotRestartStep::AdoptListeners(listeners) => {
                self.adopt_listeners(now, listeners, hot_restart);
            }
            HotRestartStep::Listen => {
                tracing::warn!(
                    "upgrade: nothing was passed on; listens in parallel to the process that serves"
                );
                self.listen();
            }
            HotRestartStep::Serve => self.serve(hot_restart),
            HotRestartStep::FreeDescriptor => self.adapters.client_listener.free_slot(
                now,
                now + 2 * hot_restart::ACCEPT_RETRY_INTERVAL,
                &mut self.events,
            ),
            HotRestartStep::ImportReputation(reputation) => {
                self.import_reputation(now, &reputation);
            }
            HotRestartStep::OpenKeyPersistence => self.open_key_persistence(),
            HotRestartStep::SetPredecessorUsage(usage) => self.set_predecessor_usage(now, usage),
            HotRestartStep::RestoreLearnedState(snapshot) => {
                self.restore_learned_state(now, &snapshot);
            }
            HotRestartStep::YieldConnections => self.yield_connections(now, hot_restart),
            HotRestartStep::ResumeServing => self.resume_serving(now, hot_restart),
        }
    }

    /// Adopts the listeners of the predecessor, and listens on the addresses that were not handed
    /// over.
    fn adopt_listeners(
        &mut self,
        now: Micros,
        listeners: Vec<InheritedListener<H>>,
        hot_restart: &mut HotRestart<H>,
    ) {
        if is_bug_injected(InjectedBug::PassedListenerDropped) {
            return self.listen();
        }
        let mut is_short_of_descriptors = false;
        for listener in listeners {
            is_short_of_descriptors |= self.adopt_listener(listener);
        }
        // Connections pending on a listener that is not adopted would be lost with the predecessor.
        if is_short_of_descriptors && hot_restart.on_adoption_failed(now) {
            return;
        }
        self.listen();
    }

    /// Adopts one listener; returns true if no file descriptor is left for it.
    fn adopt_listener(&mut self, listener: InheritedListener<H>) -> bool {
        let InheritedListener { address, socket } = listener;
        let host = &self.host;
        let adopted = self
            .adapters
            .client_listener
            .adopt(address, |index| host.adopt_listener(socket, address, index));
        match adopted {
            Ok(true) => {
                let name = &self.identity.name;
                tracing::info!("{name} listens on {address}, which was passed on");
                false
            }
            Ok(false) => false,
            Err(error) if is_descriptor_shortage(&error) => {
                tracing::warn!(%address, %error, "upgrade: no descriptor is left to adopt an inherited listener");
                true
            }
            Err(error) => {
                tracing::warn!(%address, %error, "upgrade: an inherited listener is unusable; opening a new one");
                false
            }
        }
    }

    fn serve(&mut self, hot_restart: &mut HotRestart<H>) {
        tracing::info!("upgrade: takes clients");
        self.handover.address = self.handover_address();
        self.load_started_ids();
        self.adapters.client_listener.resume_accepting();
        self.reputation.open(&self.host);
        self.listen_for_successors(hot_restart);
    }

    /// Saves the ids of the requests that this process may have run or may still run, for its successor.
    pub(super) fn save_started_ids(&self, now: Micros) {
        let Some(address) = self.handover_address() else {
            return;
        };
        let started_ids = self.dispatcher.export_started_ids(now);
        if let Err(error) = self.host.save_started_ids(&address, &started_ids) {
            tracing::warn!(%error, "upgrade: the successor does not learn the ids of requests that ran");
        }
    }

    /// Returns the rendezvous with other processes of this server, with the address that it listens on.
    fn handover_address(&self) -> Option<HandoverAddress> {
        let known = self.handover.address.clone()?;
        // There is no listener any more shortly before the stop.
        let first_listener = self.adapters.client_listener.listeners().next();
        Some(HandoverAddress {
            address: first_listener.map_or(known.address, |(address, _)| address),
            ..known
        })
    }

    fn load_started_ids(&mut self) {
        let Some(address) = self.handover_address() else {
            return;
        };
        let now = self.host.now();
        match self.host.load_started_ids(&address) {
            Ok(started_ids) => self.dispatcher.import_started_ids(now, started_ids),
            Err(error) => {
                tracing::warn!(%error, "upgrade: the ids of requests that ran before are not known");
            }
        }
    }

    fn listen_for_successors(&self, hot_restart: &mut HotRestart<H>) {
        let first_listener = self.adapters.client_listener.listeners().next();
        if let Some((address, _)) = first_listener {
            hot_restart.listen_for_successors(address);
        }
    }

    fn import_reputation(&mut self, now: Micros, reputation: &[(IpAddr, f64)]) {
        if let Some(admission) = self.adapters.client_listener.admission_mut() {
            tracing::info!(
                addresses = reputation.len(),
                "upgrade: imported the reputation earned with the predecessor"
            );
            admission.import_reputation(now, reputation);
        }
    }

    fn set_predecessor_usage(&mut self, now: Micros, usage: ProcessUsage) {
        if is_bug_injected(InjectedBug::PredecessorUsageIgnored) {
            return;
        }
        self.handover.predecessor_usage = usage;
        self.events.push(Event::PredecessorUsage(ResourceUsage {
            running: usage.running_requests,
            memory_kb: usage.memory_kb,
            calls: usage.dependency_calls,
        }));
        self.share_descriptors(now);
    }

    fn restore_learned_state(&mut self, now: Micros, snapshot: &str) {
        let site = self.identity.snapshot_site();
        let learned_state = match snapshot::decode(site, now, snapshot) {
            Ok(learned_state) => learned_state,
            Err(error) => return reject_learned_state(&error),
        };
        match self.dispatcher.restore_learned_state(&learned_state) {
            Ok(()) => {
                self.handover.has_restored_learned_state = true;
                tracing::info!("upgrade: goes on with what the predecessor had learned");
            }
            Err(error) => reject_learned_state(&error),
        }
    }

    /// Hands the clients over to the successor, with the learned state and the reputation.
    fn yield_connections(&mut self, now: Micros, hot_restart: &mut HotRestart<H>) {
        tracing::info!("upgrade: a successor takes clients from here on");
        self.handover.yield_state = YieldState::ConnectionsYielded { since: now };
        self.shutdown.on_yield();
        self.adapters.client_listener.yield_to_successor(now);
        self.share_descriptors(now);
        self.write_reputation(now);
        self.reputation.release();
        self.save_started_ids(now);
        let admission = self.adapters.client_listener.admission();
        let reputation =
            admission.map_or_else(Vec::new, |admission| admission.export_reputation(now));
        let learned_state = self.dispatcher.learned_state();
        let snapshot = snapshot::encode(self.identity.snapshot_site(), now, &learned_state);
        hot_restart.on_connections_yielded(self.combined_usage(), snapshot, reputation);
    }

    /// Resumes serving after the successor was lost.
    fn resume_serving(&mut self, now: Micros, hot_restart: &mut HotRestart<H>) {
        self.reclaim_keys();
        self.load_started_ids();
        self.adapters.client_listener.resume_accepting();
        self.reputation.open(&self.host);
        self.share_descriptors(now);
        match self.shutdown.on_successor_lost() {
            Some(stop_at) => {
                tracing::error!("upgrade: the successor is gone, and this process leaves as well");
                // Without a successor the process drains: clients are notified to use other
                // servers.
                self.events.push(Event::DrainStarted { stop_at });
                self.adapters.client_listener.begin_shutdown(now);
            }
            None => tracing::warn!("upgrade: the successor is gone; takes clients again"),
        }
        // A draining process also listens for successors: a new one gets its listeners with the
        // pending connections.
        self.listen_for_successors(hot_restart);
    }

    /// Takes back the idempotency keys after the successor that owned them was lost.
    fn reclaim_keys(&mut self) {
        let yield_state = std::mem::replace(&mut self.handover.yield_state, YieldState::Serving);
        let (YieldState::KeysReleased, Some(settings)) =
            (yield_state, &self.key_persistence.settings)
        else {
            return;
        };
        self.dispatcher
            .reclaim_keys(KeyTable::new(settings.capacity));
        // The folder now has the successor's keys as well, and is recovered from.
        if let Some(storage) = self.key_persistence.storage.take() {
            storage.stop();
        }
        self.open_key_persistence();
    }

    fn open_key_persistence(&mut self) {
        if let Err(error) = self.key_persistence.open(&self.host) {
            tracing::error!(%error, "results: nothing can be kept");
            self.events.push(Event::PersistenceAvailable(false));
        }
    }

    /// Releases the idempotency keys to the successor once all requests in flight during the
    /// handover have arrived and no run with a key is active: only one process owns the keys at a
    /// time.
    pub(super) fn release_keys(&mut self, now: Micros) {
        if !matches!(
            self.handover.yield_state,
            YieldState::ConnectionsYielded { .. }
        ) {
            return;
        }
        if !self.adapters.client_listener.is_close_requested_on_all() {
            self.handover.yield_state = YieldState::ConnectionsYielded { since: now };
            return;
        }
        let may_have_in_flight_requests = self.handover.yield_state.next_deadline(now).is_some();
        let Some(storage) = &mut self.key_persistence.storage else {
            return;
        };
        if may_have_in_flight_requests || !self.dispatcher.release_keys() {
            return;
        }
        tracing::info!("upgrade: the successor has the idempotency keys from here on");
        self.handover.yield_state = YieldState::KeysReleased;
        storage.release();
        if let Some(hot_restart) = &mut self.handover.hot_restart {
            hot_restart.on_key_persistence_released();
        }
    }

    /// Limits the connections so that all processes of this server together stay within the
    /// descriptor limit of one.
    fn share_descriptors(&mut self, now: Micros) {
        let limits = self.shared_limits();
        let client_listener = &mut self.adapters.client_listener;
        client_listener.set_connection_limit(now, limits.client_connections, &mut self.events);
        if let Some(management) = &mut self.adapters.management {
            management.set_connection_limit(limits.management_connections);
        }
    }

    fn shared_limits(&self) -> SharedLimits {
        let max_client_connections = self.handover.max_client_connections;
        let predecessor_descriptors = self.handover.predecessor_usage.descriptors;
        let has_predecessor = predecessor_descriptors > 0;
        let available = if has_predecessor {
            // Each process needs some descriptors of its own.
            let taken = predecessor_descriptors + RESERVED_DESCRIPTORS / 2;
            max_client_connections.saturating_sub(taken)
        } else {
            max_client_connections
        };
        let has_yielded = self.handover.yield_state.has_yielded();
        let client_connections = if has_yielded {
            available.min(max_client_connections / 3)
        } else {
            available
        };
        // If few descriptors are left, the limit of operators' connections is reduced as well.
        let is_scarce = available < 2 * MIN_CLIENT_CONNECTIONS;
        let management_connections = if has_yielded || (has_predecessor && is_scarce) {
            management_endpoint::MAX_CONNECTIONS / 4
        } else if has_predecessor {
            management_endpoint::MAX_CONNECTIONS / 2
        } else {
            management_endpoint::MAX_CONNECTIONS
        };
        SharedLimits {
            client_connections: client_connections
                .max(MIN_CLIENT_CONNECTIONS.min(max_client_connections)),
            management_connections,
        }
    }

    /// Listens on all addresses without a listener. A shortage of descriptors does not end the
    /// process but is retried: a descriptor may become free soon, and no other process would serve
    /// the pending connections.
    pub(super) fn listen(&mut self) {
        self.handover.retry_listen_at = None;
        match self.adapters.client_listener.listen_expected() {
            Ok(addresses) => {
                for address in addresses {
                    tracing::info!("{} listens on {address}", self.identity.name);
                }
            }
            Err(failure) if is_descriptor_shortage(&failure.error) => {
                let ListenFailure { address, error } = failure;
                tracing::warn!(%address, %error, "upgrade: no descriptor is left to listen; retrying");
                let retry_listen_at = self.host.now() + LISTEN_RETRY_INTERVAL;
                self.handover.retry_listen_at = Some(retry_listen_at);
            }
            Err(failure) => {
                let error = StartError::Listen {
                    address: failure.address,
                    source: failure.error,
                };
                self.handover.listen_error = Some(error.into());
            }
        }
    }

    /// Returns the machine resources used by this process and its predecessors: a successor learns
    /// the usage of the predecessors only through this process.
    pub(super) fn combined_usage(&self) -> ProcessUsage {
        let own_usage = self.dispatcher.resource_usage();
        let predecessor_usage = self.handover.predecessor_usage;
        ProcessUsage {
            running_requests: own_usage.running + predecessor_usage.running_requests,
            memory_kb: own_usage.memory_kb + predecessor_usage.memory_kb,
            dependency_calls: own_usage.calls + predecessor_usage.dependency_calls,
            descriptors: self.usage().descriptors + predecessor_usage.descriptors,
        }
    }
}

/// Connection limits while several processes of this server share the descriptor limit of one.
struct SharedLimits {
    client_connections: usize,
    management_connections: usize,
}

fn reject_learned_state(error: &impl std::fmt::Display) {
    tracing::warn!(%error, "upgrade: what the predecessor had learned is not restored");
}

/// Returns true if no file descriptor is left, in this process or on the whole machine.
fn is_descriptor_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}
