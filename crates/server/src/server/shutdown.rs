//! Shutdown of a server: draining, stopping, and closing the persistence.

use super::Server;
use crate::host::{Host, ResultPersistence as _};
use crate::hot_restart::HotRestart;
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;

/// No connection is accepted within this time before the stop: its requests would be read but get
/// no response.
const ACCEPT_CUTOFF_BEFORE_STOP: Micros = 5_000;
/// Time before the stop at which clients are notified to send no more requests, so that requests in
/// flight still get their response.
const STOP_NOTICE: Micros = 400_000;
/// A replaced process stops this long after the longest client timeout.
const REPLACED_STOP_MARGIN: Micros = 700_000;
/// Upper bound of the client timeout that is used for the stop of a replaced process.
const MAX_REPLACED_CLIENT_TIMEOUT: Micros = 3_000_000;

impl<H: Host> Server<H> {
    /// Begins the graceful shutdown. Only the first call has an effect.
    pub fn begin_shutdown(&mut self) {
        if self.shutdown.has_begun() {
            return;
        }
        let now = self.host.now();
        let hot_restart = self.handover.hot_restart.as_ref();
        if hot_restart.is_some_and(HotRestart::has_yielded) {
            return self.begin_shutdown_replaced(now);
        }
        self.begin_draining(now);
    }

    fn begin_draining(&mut self, now: Micros) {
        let stop_at = now + self.shutdown.duration;
        tracing::info!(
            connections = self.adapters.client_listener.connection_count(),
            pending_requests = self.dispatcher.pending_count(),
            "leaving within {} ms",
            self.shutdown.duration / 1_000,
        );
        self.shutdown.begin(stop_at);
        self.events.push(Event::DrainStarted { stop_at });
        // The listeners stay open: while a whole fleet shuts down no other process accepts on a shared one.
        self.adapters.client_listener.begin_shutdown(now);
    }

    /// Closes the listener that other instances share, since one of them accepts on it. Only a process that
    /// shuts down closes it.
    pub fn close_shared_listener(&mut self) {
        if self.shutdown.has_begun() && self.shutdown.shares_listener {
            self.adapters.client_listener.close_first_listener();
        }
    }

    /// Returns the listener that other instances share, if there is one and it is open.
    #[must_use]
    pub fn shared_listener(&self) -> Option<&H::Listener> {
        if !self.shutdown.shares_listener {
            return None;
        }
        let (_, listener) = self.adapters.client_listener.listeners().next()?;
        listener
    }

    /// Begins the shutdown of a process whose successor serves: clients are not notified to use
    /// other servers, and each request that was read gets its response.
    fn begin_shutdown_replaced(&mut self, now: Micros) {
        let client_timeout = self
            .shutdown
            .max_client_timeout
            .min(MAX_REPLACED_CLIENT_TIMEOUT);
        let duration = self
            .shutdown
            .duration
            .min(client_timeout + REPLACED_STOP_MARGIN);
        tracing::info!("leaving within {} ms, to its successor", duration / 1_000);
        let stop_at = now + duration;
        self.shutdown.begin_replaced(stop_at);
        // The listeners stay open in case the successor dies; nothing is accepted on them before
        // that.
        self.events.push(Event::Replaced { stop_at });
    }

    /// Notifies clients to send no more requests once the stop is near.
    pub(super) fn notify_stop(&mut self, now: Micros) {
        if !self.shutdown.is_stop_within(now, STOP_NOTICE) {
            return;
        }
        self.adapters.client_listener.notify_stop(now);
        if let Some(hot_restart) = &mut self.handover.hot_restart {
            hot_restart.stop_successor_search(now);
        }
    }

    /// Stops accepting once requests on a new connection would get no response.
    pub(super) fn stop_accepting_near_stop(&mut self, now: Micros) {
        if self.shutdown.is_stop_within(now, ACCEPT_CUTOFF_BEFORE_STOP) {
            self.adapters.client_listener.pause_accepting();
        }
    }

    /// Returns true once the process may end: no request is pending and none can arrive, or the
    /// stop time has passed.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        let Some(stop_at) = self.shutdown.stop_at() else {
            return false;
        };
        let now = self.host.now();
        now >= stop_at
            || (self.is_idle()
                && ((self.shutdown.is_replaced() && !self.is_needed_for_handover())
                    || now + STOP_NOTICE / 2 >= stop_at))
    }

    /// Returns true if no request is pending and no client is connected.
    fn is_idle(&self) -> bool {
        let has_requests = self.dispatcher.pending_count() > 0;
        let has_connections = self.adapters.client_listener.connection_count() > 0;
        (!has_requests && !has_connections)
            || is_bug_injected(InjectedBug::ExitBeforeResponses)
            || (self.shutdown.is_replaced() && is_bug_injected(InjectedBug::PredecessorExitsEarly))
    }

    /// Returns true if other processes of a handover still need this one.
    fn is_needed_for_handover(&self) -> bool {
        // A predecessor that is still running would treat the end of this process as a crash, and
        // the successor learns the predecessor's usage only through this process.
        let waits_for_process = self
            .handover
            .hot_restart
            .as_ref()
            .is_some_and(|hot_restart| hot_restart.has_predecessor() || hot_restart.is_orphaned());
        // Retries with the key of an active run get their response from this process.
        let has_active_keys = self
            .dispatcher
            .key_table()
            .is_some_and(|key_table| key_table.active_runs() > 0);
        waits_for_process || has_active_keys
    }

    /// Closes the persistence. No request may be served afterwards.
    pub fn close(&mut self) {
        let usage = self.combined_usage();
        // Before the channel closes: the predecessor may serve again.
        self.save_started_ids(self.host.now());
        if let Some(hot_restart) = &mut self.handover.hot_restart {
            hot_restart.shutdown(usage);
        }
        match self.key_persistence.storage.take() {
            // Another process of this server may use the keys.
            Some(storage) if self.handover.has_handover_folder => storage.stop(),
            Some(storage) => storage.discard(),
            None => {}
        }
        self.write_reputation(self.host.now());
        self.reputation.stop();
    }
}
