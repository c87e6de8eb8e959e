//! Draining: what clients are notified of when another process accepts, or this one shuts down.

use super::client_connection::ClientConnection;
use super::ClientListener;
use crate::host::Host;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::state_machine::{ConnectionStateMachine, Context};

impl<H: Host> ClientListener<H> {
    /// Lets another process accept from here on: clients are asked to close their connections, each
    /// as soon as no request is on its way.
    pub fn yield_to_successor(&mut self, now: Micros) {
        self.acceptor.begin_yield();
        self.send_away(now);
    }

    /// Returns true once all connections that were ever used have been asked to close.
    #[must_use]
    pub fn are_connections_sent_away(&self) -> bool {
        !self
            .connections
            .values()
            .any(ClientConnection::is_open_and_used)
    }

    pub(super) fn send_away(&mut self, now: Micros) {
        for (&number, connection) in &mut self.connections {
            connection.send_away(&self.context.at(now, number));
            self.ready.push(number);
        }
    }

    /// Closes the first listener: other processes share its address and accept there from now on.
    pub fn close_listeners(&mut self) {
        if let Some(address) = self.addresses.first_mut() {
            address.listener = None;
        }
    }

    /// Asks clients to use other servers. Only the first call has an effect.
    pub fn begin_shutdown(&mut self, now: Micros) {
        if std::mem::replace(&mut self.shutdown.has_begun, true) {
            return;
        }
        self.notify_all(now, |machine, context, output| {
            machine.begin_shutdown(context, output);
        });
    }

    /// Notifies clients that the stop is near: no new request is accepted, and no new connection after
    /// those that wait. Only the first call has an effect.
    pub fn notify_stop(&mut self, now: Micros) {
        if std::mem::replace(&mut self.shutdown.is_stop_near, true) {
            return;
        }
        self.notify_all(now, |machine, context, output| {
            machine.stop_accepting_requests(context, output);
        });
        self.set_all_acceptable();
    }

    fn notify_all(
        &mut self,
        now: Micros,
        notify: impl Fn(&mut dyn ConnectionStateMachine, &Context, &mut Vec<u8>),
    ) {
        for (&number, connection) in &mut self.connections {
            // Guards the last response on a connection whose write side is closed: one more message
            // would break it.
            if connection.is_lingering() {
                continue;
            }
            let context = self.context.at(now, number);
            let output = connection.stream.output();
            notify(&mut *connection.machine, &context, output);
            self.ready.push(number);
        }
    }
}
