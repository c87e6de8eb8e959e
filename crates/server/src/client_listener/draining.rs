//! Draining: notices to clients when another process accepts or this one shuts down.

use super::client_connection::ClientConnection;
use super::ClientListener;
use crate::host::Host;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::state_machine::{ConnectionStateMachine, Context};

impl<H: Host> ClientListener<H> {
    /// Stops accepting in favour of another process: each client is notified to close its
    /// connection as soon as it has no partly received request.
    pub fn yield_to_successor(&mut self, now: Micros) {
        self.acceptor.begin_yield();
        self.request_close(now);
    }

    /// Returns true once the clients of all used connections have been notified to close.
    #[must_use]
    pub fn is_close_requested_on_all(&self) -> bool {
        !self
            .connections
            .values()
            .any(ClientConnection::is_open_and_used)
    }

    pub(super) fn request_close(&mut self, now: Micros) {
        for (&number, connection) in &mut self.connections {
            connection.request_close(&self.context.for_connection(now, number));
            self.ready.push(number);
        }
    }

    /// Closes the first listener: other processes share its address and accept new connections.
    pub fn close_first_listener(&mut self) {
        if let Some(address) = self.addresses.first_mut() {
            address.listener = None;
        }
    }

    /// Notifies clients to use other servers. Only the first call has an effect.
    pub fn begin_shutdown(&mut self, now: Micros) {
        if std::mem::replace(&mut self.shutdown.has_begun, true) {
            return;
        }
        self.notify_all(now, |machine, context, output| {
            machine.begin_shutdown(context, output);
        });
    }

    /// Notifies clients that the stop is near: no new request is accepted, and no new connection
    /// except those already pending. Only the first call has an effect.
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
            // A connection whose write side is closed can carry no further message; sending one
            // would lose its last response.
            if connection.is_lingering() {
                continue;
            }
            let context = self.context.for_connection(now, number);
            let output = connection.stream.output();
            notify(&mut *connection.machine, &context, output);
            self.ready.push(number);
        }
    }
}
