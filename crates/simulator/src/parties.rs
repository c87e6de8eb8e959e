//! Services on the virtual network: what they want done is done, and what happens is told to them.

use crate::host::{Event, Owner, Shared};
use crate::net::EndId;
use cleatpulley_emulators::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};

struct Wire {
    end: EndId,
    out: Vec<u8>,
    up: bool,
    closing: bool,
    /// The service dialled it.
    dialled: bool,
}

/// A service's place on the network.
pub struct Place {
    net: Shared,
    number: usize,
    process: usize,
    wires: BTreeMap<ConnectionId, Wire>,
    accepted: ConnectionId,
    /// Links that ended before the other side took them.
    pub unaccepted: BTreeSet<ConnectionId>,
    /// When it was last said to want something done.
    wake: Micros,
    /// Nothing is told or done: its machine stands still.
    pub paused: bool,
    buffer: Vec<u8>,
    effects: Vec<Effect>,
}

impl Place {
    /// A place that may hold any number of descriptors.
    pub fn new(net: Shared, number: usize) -> Self {
        let process = net.borrow_mut().process(usize::MAX);
        Self {
            net,
            number,
            process,
            wires: BTreeMap::new(),
            accepted: 0,
            unaccepted: BTreeSet::new(),
            wake: Micros::MAX,
            paused: false,
            buffer: vec![0; 65_536],
            effects: Vec::new(),
        }
    }

    /// Listens. In this world no address is taken twice, but by a service that moves.
    pub fn listen(&mut self, at: SocketAddr) {
        // One that listens already goes on.
        let _ = self.net.borrow_mut().listen(at, self.process, false);
    }

    /// Accepts all that wait at this of the service's doors.
    pub fn acceptable<S: Service + ?Sized>(
        &mut self,
        service: &mut S,
        at: SocketAddr,
        door: usize,
    ) {
        loop {
            let link = self.accepted + 2;
            let owner = Owner::Service(self.number, link).encode();
            let accepted = self.net.borrow_mut().accept(at, owner);
            let Ok(end) = accepted else { return };
            self.accepted = link;
            self.wires.insert(
                link,
                Wire {
                    end,
                    out: Vec::new(),
                    up: true,
                    closing: false,
                    dialled: false,
                },
            );
            self.tell(service, |service, now, out| {
                service.on_accept(now, link, door, out);
            });
        }
    }

    /// Something happened on a link.
    pub fn ready<S: Service + ?Sized>(&mut self, service: &mut S, link: ConnectionId) {
        let Some(wire) = self.wires.get_mut(&link) else {
            return;
        };
        let end = wire.end;
        if !wire.up {
            if self.net.borrow_mut().check(end).is_err() {
                self.lose(service, link);
                return;
            }
            if !self.net.borrow().stands(end) {
                return;
            }
            wire.up = true;
            self.tell(service, |service, now, out| service.on_open(now, link, out));
        }
        self.flush(link);
        let mut buffer = std::mem::take(&mut self.buffer);
        while let Some(wire) = self.wires.get(&link) {
            let read = self.net.borrow_mut().read(wire.end, &mut buffer);
            match read {
                Ok(0) => {
                    self.lose(service, link);
                    break;
                }
                Ok(n) => self.tell(service, |service, now, out| {
                    service.on_data(now, link, &buffer[..n], out);
                }),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.lose(service, link);
                    break;
                }
            }
        }
        self.buffer = buffer;
    }

    fn lose<S: Service + ?Sized>(&mut self, service: &mut S, link: ConnectionId) {
        if self.wires.get(&link).is_some_and(|wire| wire.dialled) && self.accepted(link).is_none() {
            self.unaccepted.insert(link);
        }
        self.drop_wire(link);
        self.tell(service, |service, now, out| {
            service.on_close(now, link, out);
        });
    }

    fn drop_wire(&mut self, link: ConnectionId) {
        if let Some(wire) = self.wires.remove(&link) {
            self.net.borrow_mut().close(wire.end);
        }
    }

    fn flush(&mut self, link: ConnectionId) {
        let Some(wire) = self.wires.get_mut(&link) else {
            return;
        };
        let mut sent = 0;
        while sent < wire.out.len() {
            match self.net.borrow_mut().write(wire.end, &wire.out[sent..]) {
                Ok(n) => sent += n,
                // A connection that broke is told of when it is read.
                Err(_) => break,
            }
        }
        wire.out.drain(..sent);
        if wire.closing && wire.out.is_empty() {
            self.drop_wire(link);
        }
    }

    /// Time has passed.
    pub fn advance<S: Service + ?Sized>(&mut self, service: &mut S) {
        let now = self.net.borrow().now;
        // What was scheduled before something else came up is out of date.
        if now < self.wake {
            return;
        }
        self.wake = Micros::MAX;
        if service.next_deadline().is_some_and(|at| at <= now) {
            self.tell(service, cleatpulley_emulators::Service::advance);
        } else {
            self.schedule(service);
        }
    }

    /// Says when the service wants something done.
    pub fn schedule<S: Service + ?Sized>(&mut self, service: &S) {
        let Some(next) = service.next_deadline() else {
            return;
        };
        let mut net = self.net.borrow_mut();
        let next = next.max(net.now);
        if next < self.wake {
            self.wake = next;
            net.queue.push(next, Event::Service(self.number));
        }
    }

    /// Tells a service something, and does what it wants done.
    pub fn tell<S: Service + ?Sized>(
        &mut self,
        service: &mut S,
        what: impl FnOnce(&mut S, Micros, &mut Vec<Effect>),
    ) {
        let now = self.net.borrow().now;
        let mut effects = std::mem::take(&mut self.effects);
        what(service, now, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
        self.schedule(service);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send(link, bytes) => {
                if let Some(wire) = self.wires.get_mut(&link) {
                    wire.out.extend_from_slice(&bytes);
                    self.flush(link);
                }
            }
            Effect::Close(link) => {
                if let Some(wire) = self.wires.get_mut(&link) {
                    wire.closing = true;
                    self.flush(link);
                }
            }
            Effect::Reset(link) => {
                if let Some(wire) = self.wires.get(&link) {
                    self.net.borrow_mut().reset(wire.end);
                    self.drop_wire(link);
                }
            }
            Effect::Connect(link, to) => self.dial(link, to, None),
            Effect::ConnectFrom(link, to, from) => self.dial(link, to, Some(from)),
        }
    }

    fn dial(&mut self, link: ConnectionId, to: SocketAddr, from: Option<IpAddr>) {
        let owner = Owner::Service(self.number, link).encode();
        let mut net = self.net.borrow_mut();
        let from = from.unwrap_or_else(|| net.address());
        if let Ok(end) = net.connect_from(to, self.process, owner, from) {
            let wire = Wire {
                end,
                out: Vec::new(),
                up: false,
                closing: false,
                dialled: true,
            };
            self.wires.insert(link, wire);
        }
    }

    /// Connections that it has dialled and that stand.
    #[must_use]
    pub fn dialled(&self) -> Vec<(ConnectionId, EndId)> {
        let mine = self
            .wires
            .iter()
            .filter(|(_, wire)| wire.dialled && wire.up);
        mine.map(|(link, wire)| (*link, wire.end)).collect()
    }

    /// Whose the other side of a link is, where it was accepted.
    #[must_use]
    pub fn peer(&self, link: ConnectionId) -> Option<u64> {
        self.wires
            .get(&link)
            .and_then(|wire| self.net.borrow().peer_owner(wire.end))
    }

    /// When the other side of a link has accepted it.
    #[must_use]
    pub fn accepted(&self, link: ConnectionId) -> Option<Micros> {
        self.wires
            .get(&link)
            .and_then(|wire| self.net.borrow().accepted(wire.end))
    }
}
