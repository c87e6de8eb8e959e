//! A service combined with gossip.

use super::endpoint::{Gossip, LISTENER_NUMBER};
use crate::host::Readiness;
use crate::os_host::{OsHost, Service};
use crate::socket_owner::SocketOwner;
use crate::status_report::Status;
use cleatpulley_connection_admission::reputation_database::StoredReputation;
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::interface::Micros;
use std::io;
use std::net::TcpListener;

/// A service, combined with gossip with the other processes.
pub struct ServiceWithGossip {
    service: Box<dyn Service>,
    gossip: Gossip<OsHost>,
}

impl ServiceWithGossip {
    /// Combines a service with gossip.
    #[must_use]
    pub fn new(service: Box<dyn Service>, gossip: Gossip<OsHost>) -> Self {
        Self { service, gossip }
    }
}

impl Service for ServiceWithGossip {
    fn on_readiness(&mut self, owner: SocketOwner, readiness: Readiness) {
        self.service.on_readiness(owner, readiness);
    }

    fn on_acceptable(&mut self, listener: usize) {
        if listener == LISTENER_NUMBER {
            return self.gossip.on_readiness();
        }
        self.service.on_acceptable(listener);
    }

    fn on_persistence_event(&mut self, event: Event) {
        self.service.on_persistence_event(event);
    }

    fn on_reputation_loaded(&mut self, entries: Vec<StoredReputation>) {
        self.service.on_reputation_loaded(entries);
    }

    fn begin_shutdown(&mut self) {
        self.service.begin_shutdown();
        // Other processes are notified of the drain in this iteration.
        self.gossip.publish_status_now();
    }

    fn close_shared_listener(&mut self) {
        self.service.close_shared_listener();
    }

    fn shared_listener(&self) -> Option<&TcpListener> {
        self.service.shared_listener()
    }

    fn reload(&mut self) {
        self.service.reload();
        self.gossip.reload();
    }

    fn poll(&mut self) -> Micros {
        let next_deadline = self.service.poll();
        let service = &self.service;
        next_deadline.min(self.gossip.poll(service.now(), || service.status()))
    }

    fn is_finished(&self) -> bool {
        self.service.is_finished()
    }

    fn take_error(&mut self) -> Option<io::Error> {
        self.service.take_error()
    }

    fn close(&mut self) {
        self.gossip.leave();
        self.service.close();
    }

    fn status(&self) -> Status {
        self.service.status()
    }

    fn now(&self) -> Micros {
        self.service.now()
    }
}
