//! Connects services to the virtual network: carries out their effects and passes events to them.

use crate::host::{ConnectionOwner, Event, SharedNetwork};
use crate::network::EndId;
use cleatpulley_emulators::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};

struct Connection {
    end: EndId,
    output: Vec<u8>,
    established: bool,
    closing: bool,
    /// The service dialled it.
    dialled: bool,
}

/// A service's endpoint on the network.
pub struct ServiceEndpoint {
    net: SharedNetwork,
    number: usize,
    process: usize,
    connections: BTreeMap<ConnectionId, Connection>,
    last_accepted: ConnectionId,
    /// Links that ended before the other side accepted them.
    pub unaccepted: BTreeSet<ConnectionId>,
    /// Earliest scheduled wake-up.
    wake_at: Micros,
    /// The machine is paused: nothing is passed on or carried out.
    pub paused: bool,
    buffer: Vec<u8>,
    effects: Vec<Effect>,
}

impl ServiceEndpoint {
    /// Creates an endpoint without a descriptor limit.
    pub fn new(net: SharedNetwork, number: usize) -> Self {
        let process = net.borrow_mut().add_process(usize::MAX);
        Self {
            net,
            number,
            process,
            connections: BTreeMap::new(),
            last_accepted: 0,
            unaccepted: BTreeSet::new(),
            wake_at: Micros::MAX,
            paused: false,
            buffer: vec![0; 65_536],
            effects: Vec::new(),
        }
    }

    /// Listens on an address. No address is used twice here, except by a service that moves.
    pub fn listen(&mut self, address: SocketAddr) {
        // A socket that already listens there stays.
        let _ = self.net.borrow_mut().listen(address, self.process, false);
    }

    /// Accepts all waiting connections of this listener of the service.
    pub fn on_acceptable<S: Service + ?Sized>(
        &mut self,
        service: &mut S,
        address: SocketAddr,
        listener: usize,
    ) {
        loop {
            let link = self.last_accepted + 2;
            let owner = ConnectionOwner::Service(self.number, link).encode();
            let accepted = self.net.borrow_mut().accept(address, owner);
            let Ok(end) = accepted else { return };
            self.last_accepted = link;
            self.connections.insert(
                link,
                Connection {
                    end,
                    output: Vec::new(),
                    established: true,
                    closing: false,
                    dialled: false,
                },
            );
            self.call(service, |service, now, out| {
                service.on_accept(now, link, listener, out);
            });
        }
    }

    /// Handles readiness of a link.
    pub fn on_ready<S: Service + ?Sized>(&mut self, service: &mut S, link: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&link) else {
            return;
        };
        let end = connection.end;
        if !connection.established {
            if self.net.borrow_mut().pending_error(end).is_err() {
                self.on_connection_lost(service, link);
                return;
            }
            if !self.net.borrow().is_established(end) {
                return;
            }
            connection.established = true;
            self.call(service, |service, now, out| service.on_open(now, link, out));
        }
        self.flush(link);
        let mut buffer = std::mem::take(&mut self.buffer);
        while let Some(connection) = self.connections.get(&link) {
            let read = self.net.borrow_mut().read(connection.end, &mut buffer);
            match read {
                Ok(0) => {
                    self.on_connection_lost(service, link);
                    break;
                }
                Ok(n) => self.call(service, |service, now, out| {
                    service.on_data(now, link, &buffer[..n], out);
                }),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.on_connection_lost(service, link);
                    break;
                }
            }
        }
        self.buffer = buffer;
    }

    fn on_connection_lost<S: Service + ?Sized>(&mut self, service: &mut S, link: ConnectionId) {
        if self
            .connections
            .get(&link)
            .is_some_and(|connection| connection.dialled)
            && self.accepted_at(link).is_none()
        {
            self.unaccepted.insert(link);
        }
        self.remove_connection(link);
        self.call(service, |service, now, out| {
            service.on_close(now, link, out);
        });
    }

    fn remove_connection(&mut self, link: ConnectionId) {
        if let Some(connection) = self.connections.remove(&link) {
            self.net.borrow_mut().close(connection.end);
        }
    }

    fn flush(&mut self, link: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&link) else {
            return;
        };
        let mut sent = 0;
        while sent < connection.output.len() {
            match self
                .net
                .borrow_mut()
                .write(connection.end, &connection.output[sent..])
            {
                Ok(n) => sent += n,
                // The error is reported when the connection is read.
                Err(_) => break,
            }
        }
        connection.output.drain(..sent);
        if connection.closing && connection.output.is_empty() {
            self.remove_connection(link);
        }
    }

    /// Lets the service do what is due.
    pub fn advance<S: Service + ?Sized>(&mut self, service: &mut S) {
        let now = self.net.borrow().now;
        // This event was scheduled before a later change; it is obsolete.
        if now < self.wake_at {
            return;
        }
        self.wake_at = Micros::MAX;
        if service.next_deadline().is_some_and(|at| at <= now) {
            self.call(service, cleatpulley_emulators::Service::advance);
        } else {
            self.schedule(service);
        }
    }

    /// Schedules the service's next wake-up.
    pub fn schedule<S: Service + ?Sized>(&mut self, service: &S) {
        let Some(next) = service.next_deadline() else {
            return;
        };
        let mut net = self.net.borrow_mut();
        let next = next.max(net.now);
        if next < self.wake_at {
            self.wake_at = next;
            net.queue.push(next, Event::Service(self.number));
        }
    }

    /// Calls a service and carries out the effects that it returns.
    pub fn call<S: Service + ?Sized>(
        &mut self,
        service: &mut S,
        action: impl FnOnce(&mut S, Micros, &mut Vec<Effect>),
    ) {
        let now = self.net.borrow().now;
        let mut effects = std::mem::take(&mut self.effects);
        action(service, now, &mut effects);
        for effect in effects.drain(..) {
            self.apply_effect(effect);
        }
        self.effects = effects;
        self.schedule(service);
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send(link, bytes) => {
                if let Some(connection) = self.connections.get_mut(&link) {
                    connection.output.extend_from_slice(&bytes);
                    self.flush(link);
                }
            }
            Effect::Close(link) => {
                if let Some(connection) = self.connections.get_mut(&link) {
                    connection.closing = true;
                    self.flush(link);
                }
            }
            Effect::Reset(link) => {
                if let Some(connection) = self.connections.get(&link) {
                    self.net.borrow_mut().reset(connection.end);
                    self.remove_connection(link);
                }
            }
            Effect::Connect(link, to) => self.dial(link, to, None),
            Effect::ConnectFrom(link, to, from) => self.dial(link, to, Some(from)),
        }
    }

    fn dial(&mut self, link: ConnectionId, to: SocketAddr, from: Option<IpAddr>) {
        let owner = ConnectionOwner::Service(self.number, link).encode();
        let mut net = self.net.borrow_mut();
        let from = from.unwrap_or_else(|| net.front_end_address());
        if let Ok(end) = net.connect_from(to, self.process, owner, from) {
            let connection = Connection {
                end,
                output: Vec::new(),
                established: false,
                closing: false,
                dialled: true,
            };
            self.connections.insert(link, connection);
        }
    }

    /// Established connections that it dialled.
    #[must_use]
    pub fn dialled_connections(&self) -> Vec<(ConnectionId, EndId)> {
        let established = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.dialled && connection.established);
        established
            .map(|(link, connection)| (*link, connection.end))
            .collect()
    }

    /// Owner of the other side of a link, if it was accepted.
    #[must_use]
    pub fn peer_owner(&self, link: ConnectionId) -> Option<u64> {
        self.connections
            .get(&link)
            .and_then(|connection| self.net.borrow().peer_owner(connection.end))
    }

    /// When the other side of a link accepted it.
    #[must_use]
    pub fn accepted_at(&self, link: ConnectionId) -> Option<Micros> {
        self.connections
            .get(&link)
            .and_then(|connection| self.net.borrow().accepted_at(connection.end))
    }
}
