//! Eviction of connections: for new ones, by idle timeouts, and while connection slots are scarce.

use super::client_connection::ClientConnection;
use super::ClientListener;
use crate::host::{Host, Readiness};
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::interface::Micros;

/// Interval between sweeps for idle and closing connections.
pub(super) const SWEEP_INTERVAL: Micros = 100_000;
/// A sweep that is late by this time follows a pause of the machine, which must not count as idle
/// time of clients.
const PAUSE_THRESHOLD: Micros = 1_000_000;
/// Fraction of the slots beyond which clients of idle connections are notified to close, the
/// longest idle first.
const SCARCITY_SHARE: f64 = 0.75;
/// An idle connection used within this time is spared: its client may be about to use it.
const RECENT_USE: Micros = 300_000;

impl<H: Host> ClientListener<H> {
    /// Closes a connection without open requests, if there is one: first those that are closing,
    /// then those that never sent a complete message, the oldest first. Otherwise clients that send
    /// nothing could take all slots while others wait to be accepted.
    pub(super) fn free_connection_slot(&mut self, now: Micros, events: &mut Vec<Event>) -> bool {
        while let Some(number) = self.next_evictable(now) {
            // A request may have arrived since the connection was last read: closing would lose it.
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.stream.on_readiness(Readiness {
                    readable: true,
                    writable: false,
                });
            }
            self.serve(now, number, events);
            let Some(connection) = self.connections.get(&number) else {
                return true;
            };
            if connection.eviction_order(now).is_some() {
                self.close(number, events);
                return true;
            }
        }
        false
    }

    fn next_evictable(&self, now: Micros) -> Option<u64> {
        let evictable = self.connections.iter().filter_map(|(number, connection)| {
            let order = connection.eviction_order(now)?;
            Some((order, *number))
        });
        evictable.min().map(|(_, number)| number)
    }

    /// Checks all connections for deadlines, idle timeouts and the connection limit.
    pub(super) fn sweep(&mut self, now: Micros, events: &mut Vec<Event>) {
        self.acceptor.reserve_descriptor(&self.host);
        // Closes connections that could not be closed yet when the limit was lowered.
        self.set_connection_limit(now, self.acceptor.max_connections, events);
        if self.acceptor.is_yielding() {
            self.request_close(now);
        }
        let was_paused = now >= self.sweeper.sweep_at + PAUSE_THRESHOLD;
        self.sweeper.sweep_at = now + SWEEP_INTERVAL;
        self.expire_connections(now, was_paused);
        self.close_idle_when_slots_are_scarce(now);
    }

    fn expire_connections(&mut self, now: Micros, was_paused: bool) {
        for (&number, connection) in &mut self.connections {
            if connection.is_lingering() {
                self.ready.push(number);
                continue;
            }
            let context = self.context.for_connection(now, number);
            let machine = &mut *connection.machine;
            let output = connection.stream.output();
            if was_paused && machine.status().waiting_since.is_some() {
                machine.status_mut().waiting_since = Some(now);
            }
            if machine.deadline().is_some_and(|deadline| now >= deadline) {
                machine.handle_timeout(&context, output);
            }
            let status = machine.status();
            let idle_timeout = self.sweeper.idle_timeout;
            let is_timed_out =
                idle_timeout.is_some_and(|timeout| now >= status.last_activity_at + timeout);
            if status.is_idle() && is_timed_out {
                machine.stop_accepting_requests(&context, output);
            }
            if !connection.is_open() {
                self.ready.push(number);
            }
        }
    }

    /// Notifies clients of idle connections to close while slots are scarce.
    fn close_idle_when_slots_are_scarce(&mut self, now: Micros) {
        let max_open = (SCARCITY_SHARE * self.acceptor.max_connections as f64) as usize;
        let open_count = self
            .connections
            .values()
            .filter(|connection| connection.is_open())
            .count();
        let excess = open_count.saturating_sub(max_open);
        if excess == 0 {
            return;
        }
        for number in self.longest_idle(now, excess) {
            if let Some(connection) = self.connections.get_mut(&number) {
                let context = self.context.for_connection(now, number);
                connection
                    .machine
                    .stop_accepting_requests(&context, connection.stream.output());
            }
            self.ready.push(number);
        }
    }

    /// Returns the numbers of the longest idle connections, except recently used ones.
    fn longest_idle(&self, now: Micros, count: usize) -> Vec<u64> {
        let last_use_of_idle = |(number, connection): (&u64, &ClientConnection<H>)| {
            let status = connection.machine.status();
            let is_idle = !connection.is_lingering() && status.is_idle();
            (is_idle && now >= status.last_activity_at + RECENT_USE)
                .then_some((status.last_activity_at, *number))
        };
        let mut idle: Vec<_> = self
            .connections
            .iter()
            .filter_map(last_use_of_idle)
            .collect();
        idle.sort_unstable();
        idle.into_iter()
            .take(count)
            .map(|(_, number)| number)
            .collect()
    }
}
