//! The connections of the client side: accepting, places, silent and idle connections, crowding, drain and the end
//! are the same for every protocol and live here; what the bytes mean is a [`Machine`]'s.

mod accept;
mod client_connection;
mod front_protocol;
mod tls;

pub use front_protocol::FrontProtocol;

use super::host::{Host, Readiness};
use super::tls_layer::TlsState;
use cleatpulley_connection_admission::handshake::Handshakes;
use cleatpulley_connection_admission::identity::Identities;
use cleatpulley_connection_admission::Admission;
use cleatpulley_dispatcher::{ClientStream, Event, IncomingRequest, Response};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::machine::{Context, Machine, Standing};
use client_connection::{Next, Peer};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// How often idle and parting connections are looked for.
const SWEEP: Micros = 100_000;
/// A sweep that comes so late tells of a pause of the machine, which is no silence of the peers.
const PAUSE: Micros = 1_000_000;
/// Beyond this share of the places, idle connections are told to close, the longest idle first.
const CROWDED: f64 = 0.75;
/// An idle connection that carried something so lately is not told so: its front end may be about to use it.
const WARM: Micros = 300_000;

/// A listening socket.
struct Door<H: Host> {
    /// Where it listens, or is to.
    address: SocketAddr,
    /// None before there is one, and once others alone accept there.
    listener: Option<H::Listener>,
    speaks: FrontProtocol,
    acceptable: bool,
    /// It speaks TLS.
    secure: bool,
}

/// What a [`ClientListener`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientListenerUsage {
    /// Listening sockets.
    pub listeners: usize,
    /// Connections.
    pub connections: usize,
    /// Requests that are open on the connections.
    pub open_requests: usize,
}

/// Why an address can't be listened on.
#[derive(Debug)]
pub struct ListenFailure {
    /// The address.
    pub address: SocketAddr,
    /// What the system reported.
    pub error: io::Error,
}

/// The listeners and their connections.
pub struct ClientListener<H: Host> {
    world: H,
    doors: Vec<Door<H>>,
    classes: Vec<String>,
    most: usize,
    /// In the order of their numbers: what is done to all of them is done alike in every run.
    peers: BTreeMap<u64, Peer<H>>,
    noted: Vec<u64>,
    /// Connections with more to read than one turn takes: no edge will tell of it again.
    again: Vec<u64>,
    arrivals: Vec<IncomingRequest>,
    numbers: u64,
    accept_at: Micros,
    sweep_at: Micros,
    feedback: Option<f64>,
    good: bool,
    idle: Option<Micros>,
    leaving: bool,
    parting: bool,
    /// Another process accepts.
    resting: bool,
    /// Connections are sent away as soon as nothing is on its way on them.
    yielding: bool,
    /// Who gets a place, where that is not first come, first served.
    admission: Option<Admission>,
    /// TLS, where some doors speak it, and which handshakes run.
    tls: Option<Rc<RefCell<TlsState>>>,
    handshakes: Option<Handshakes>,
    identities: Option<Identities>,
    /// Connections that are `over`.
    refused: usize,
    /// A descriptor kept for the moment at which no other is left, where it matters who comes then.
    spare: Option<H::ReservedDescriptor>,
}

impl<H: Host> ClientListener<H> {
    /// A front without listeners, for at most so many connections.
    #[must_use]
    pub fn new(world: H, classes: Vec<String>, most: usize) -> Self {
        Self {
            world,
            doors: Vec::new(),
            classes,
            most,
            peers: BTreeMap::new(),
            noted: Vec::new(),
            again: Vec::new(),
            arrivals: Vec::new(),
            numbers: 0,
            accept_at: 0,
            sweep_at: 0,
            feedback: None,
            good: true,
            idle: None,
            leaving: false,
            parting: false,
            resting: false,
            yielding: false,
            admission: None,
            tls: None,
            handshakes: None,
            identities: None,
            refused: 0,
            spare: None,
        }
    }

    /// Speaks TLS on the doors that it is set for, those that come later among them.
    pub fn set_tls(&mut self, now: Micros, tls: Rc<RefCell<TlsState>>) {
        let settings = tls.borrow().options().handshakes;
        self.handshakes = settings.map(|settings| Handshakes::new(settings, now));
        let identities = tls.borrow().options().identities.clone();
        self.identities = identities.map(|settings| Identities::new(settings, now));
        for door in &mut self.doors {
            door.secure = tls.borrow().speaks(&door.speaks);
        }
        self.tls = Some(tls);
    }

    /// The decisions on handshakes, where there are any.
    #[must_use]
    pub fn handshakes(&self) -> Option<&Handshakes> {
        self.handshakes.as_ref()
    }

    fn secures(&self, speaks: &FrontProtocol) -> bool {
        self.tls
            .as_ref()
            .is_some_and(|tls| tls.borrow().speaks(speaks))
    }

    /// Lets these decisions say who gets a place.
    pub fn set_admission(&mut self, admission: Admission) {
        self.admission = Some(admission);
        self.keep_spare();
    }

    /// The decisions on places, where there are any.
    #[must_use]
    pub fn admission(&self) -> Option<&Admission> {
        self.admission.as_ref()
    }

    /// The same, for what another process hands on.
    pub fn admission_mut(&mut self) -> Option<&mut Admission> {
        self.admission.as_mut()
    }

    /// Adds an address whose listening socket comes later.
    pub fn add_expected_listener(&mut self, address: SocketAddr, speaks: FrontProtocol) {
        let secure = self.secures(&speaks);
        self.doors.push(Door {
            address,
            listener: None,
            speaks,
            acceptable: false,
            secure,
        });
    }

    /// Takes up the listening socket of an address that one is expected for; tells whether there is one.
    ///
    /// # Errors
    /// What the maker of the listener says.
    pub fn adopt(
        &mut self,
        address: SocketAddr,
        listener: impl FnOnce(usize) -> io::Result<H::Listener>,
    ) -> io::Result<bool> {
        let expects = |door: &Door<H>| door.address == address && door.listener.is_none();
        let Some(place) = self.doors.iter().position(expects) else {
            return Ok(false);
        };
        self.doors[place].listener = Some(listener(place)?);
        // Connections may wait there already.
        self.doors[place].acceptable = true;
        Ok(true)
    }

    /// Listens on all addresses that still have no listening socket.
    ///
    /// # Errors
    /// The first that can't be had.
    pub fn listen_expected(&mut self) -> Result<Vec<SocketAddr>, ListenFailure> {
        let mut addresses = Vec::new();
        for place in 0..self.doors.len() {
            if self.doors[place].listener.is_some() {
                continue;
            }
            let address = self.doors[place].address;
            let (listener, address) = self
                .world
                .listen(address, place)
                .map_err(|error| ListenFailure { address, error })?;
            let door = &mut self.doors[place];
            (door.address, door.listener, door.acceptable) = (address, Some(listener), true);
            addresses.push(address);
        }
        Ok(addresses)
    }

    /// Where it listens, with the sockets.
    pub fn listeners(&self) -> impl Iterator<Item = (SocketAddr, Option<&H::Listener>)> {
        self.doors
            .iter()
            .map(|door| (door.address, door.listener.as_ref()))
    }

    /// Accepts nothing until it is told to.
    pub fn pause_accepting(&mut self) {
        self.resting = true;
    }

    /// Accepts, again or at last.
    pub fn resume_accepting(&mut self) {
        (self.resting, self.yielding) = (false, false);
        self.doors
            .iter_mut()
            .for_each(|door| door.acceptable = door.listener.is_some());
    }

    /// Another process accepts from here on: connections are told to close, each as soon as nothing is on its way on it.
    pub fn yield_to_successor(&mut self, now: Micros) {
        (self.resting, self.yielding) = (true, true);
        self.send_away(now);
    }

    /// Holds so many connections from now on. Those above that go where they owe nothing.
    pub fn set_connection_limit(&mut self, now: Micros, most: usize, facts: &mut Vec<Event>) {
        self.most = most.max(1);
        while self.peers.len() > self.most && self.make_room(now, facts) {}
    }

    /// Closes a connection that owes nothing, if there is one: the system has no descriptor left. Guards against the next
    /// that waits at the door, who would have it before whom it is meant for.
    pub fn free_slot(&mut self, now: Micros, meant_until: Micros, facts: &mut Vec<Event>) {
        self.make_room(now, facts);
        self.accept_at = self.accept_at.max(meant_until);
    }

    /// All connections that were ever used have been told to close.
    #[must_use]
    pub fn is_sent_away(&self) -> bool {
        let used = |peer: &Peer<H>| {
            let status = peer.machine.status();
            status.standing == Standing::Open && status.spoken
        };
        !self.peers.values().any(used)
    }

    fn send_away(&mut self, now: Micros) {
        let (good, feedback) = (self.good, self.feedback);
        for (&number, peer) in &mut self.peers {
            let context = Context {
                now,
                number,
                classes: &self.classes,
                good,
                feedback,
            };
            peer.send_away(&context);
            self.noted.push(number);
        }
    }

    /// Listens on one more address; returns where that is.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn listen(&mut self, address: SocketAddr, speaks: FrontProtocol) -> io::Result<SocketAddr> {
        let (listener, address) = self.world.listen(address, self.doors.len())?;
        let secure = self.secures(&speaks);
        self.doors.push(Door {
            address,
            listener: Some(listener),
            speaks,
            acceptable: true,
            secure,
        });
        Ok(address)
    }

    /// Listeners, connections, and the requests that are open on those.
    #[must_use]
    pub fn usage(&self) -> ClientListenerUsage {
        let open = self
            .peers
            .values()
            .map(|peer| peer.machine.status().open)
            .sum();
        let listeners = self
            .doors
            .iter()
            .filter(|door| door.listener.is_some())
            .count();
        ClientListenerUsage {
            listeners,
            connections: self.peers.len(),
            open_requests: open,
        }
    }

    /// Descriptors that are kept for later.
    #[must_use]
    pub fn reserved_descriptors(&self) -> usize {
        usize::from(self.spare.is_some())
    }

    /// Connections that stand.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.peers.len()
    }

    /// Connections may wait to be accepted on this listener.
    pub fn on_acceptable(&mut self, place: usize) {
        if let Some(door) = self.doors.get_mut(place) {
            door.acceptable = true;
        }
    }

    /// A connection may be read from or written to.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.conn.on_readiness(readiness);
            self.noted.push(number);
        }
    }

    /// All answers carry this value from now on.
    pub fn set_feedback(&mut self, value: f64) {
        self.feedback = Some(value);
    }

    /// Health checks are answered so from now on.
    pub fn set_health(&mut self, good: bool) {
        self.good = good;
    }

    /// Connections idle for so long are closed from now on.
    pub fn set_idle_timeout(&mut self, after: Micros) {
        self.idle = Some(after);
    }

    /// Answers a request. A connection that is gone needs no answer.
    pub fn respond(&mut self, now: Micros, to: ClientStream, answer: &Response) {
        let Some(peer) = self.peers.get_mut(&to.connection) else {
            return;
        };
        let (good, feedback) = (self.good, self.feedback);
        let context = Context {
            now,
            number: to.connection,
            classes: &self.classes,
            good,
            feedback,
        };
        if peer
            .machine
            .answer(&context, to.stream, answer, peer.conn.output())
        {
            self.noted.push(to.connection);
            if let (Some(admission), Response::Served(_)) = (&mut self.admission, answer) {
                admission.served(now, to.connection);
            }
        }
    }

    /// The first listener is shared with other processes, which accept there from now on.
    pub fn close_listeners(&mut self) {
        if let Some(door) = self.doors.first_mut() {
            door.listener = None;
        }
    }

    /// The notice to leave has come.
    pub fn begin_shutdown(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.leaving, true) {
            self.tell_all(now, |machine, context, out| machine.leave(context, out));
        }
    }

    /// The stop is near: no new request is taken, and no new connection once those waiting are accepted.
    pub fn notify_stop(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.parting, true) {
            self.tell_all(now, |machine, context, out| machine.part(context, out));
            self.doors
                .iter_mut()
                .for_each(|door| door.acceptable = true);
        }
    }

    fn tell_all(&mut self, now: Micros, tell: impl Fn(&mut dyn Machine, &Context, &mut Vec<u8>)) {
        let (good, feedback) = (self.good, self.feedback);
        // Guards what was answered last on a connection whose end is closed: a word more would break it.
        for (&number, peer) in self
            .peers
            .iter_mut()
            .filter(|(_, peer)| peer.lingers.is_none())
        {
            let context = Context {
                now,
                number,
                classes: &self.classes,
                good,
                feedback,
            };
            tell(&mut *peer.machine, &context, peer.conn.output());
            self.noted.push(number);
        }
    }

    /// Accepts, reads, sends and closes. True when more can be read at once.
    pub fn poll(&mut self, now: Micros, facts: &mut Vec<Event>) -> bool {
        self.accept(now, facts);
        self.handshakes_turn(now, facts);
        let mut noted = std::mem::take(&mut self.noted);
        noted.append(&mut self.again);
        noted.sort_unstable();
        noted.dedup();
        noted
            .into_iter()
            .for_each(|number| self.serve(now, number, facts));
        // After what has come was read: a pause of the machine is no silence.
        if now >= self.sweep_at {
            self.sweep(now, facts);
        }
        !self.again.is_empty() || (self.acceptable() && now >= self.accept_at)
    }

    /// Reads and sends on a connection, and closes it where it is over.
    fn serve(&mut self, now: Micros, number: u64, facts: &mut Vec<Event>) {
        let Some(peer) = self.peers.get_mut(&number) else {
            return;
        };
        let (good, feedback) = (self.good, self.feedback);
        let context = Context {
            now,
            number,
            classes: &self.classes,
            good,
            feedback,
        };
        let next = peer.serve(&context, &mut self.arrivals);
        if let (Some(admission), true) = (&mut self.admission, peer.machine.status().spoken) {
            admission.spoke(number);
        }
        if self.yielding {
            peer.send_away(&context);
            self.noted.push(number);
        }
        self.secure_turn(now, number, facts);
        // Behind the requests that came with them.
        if let Some(peer) = self.peers.get_mut(&number) {
            let cancelled = peer.machine.take_cancelled().into_iter();
            facts.extend(cancelled.map(|stream| {
                Event::RequestCancelled(ClientStream {
                    connection: number,
                    stream,
                })
            }));
        }
        match next {
            Ok(Next::Wait) => {}
            Ok(Next::Again) => self.again.push(number),
            Ok(Next::Close) => self.close(number, facts),
            Err(e) => {
                tracing::debug!("front end connection {number}: {e}");
                self.close(number, facts);
            }
        }
    }

    /// Sends what this turn has answered.
    pub fn flush(&mut self, now: Micros, facts: &mut Vec<Event>) {
        let mut noted = std::mem::take(&mut self.noted);
        noted.sort_unstable();
        noted.dedup();
        for number in noted {
            let Some(peer) = self.peers.get_mut(&number) else {
                continue;
            };
            if peer.conn.flush().is_err() {
                self.close(number, facts);
            } else if peer.rests(now) {
                self.noted.push(number);
            }
        }
    }

    /// When connections have to be looked at, though nothing happened.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        let next = if self.acceptable() && self.accept_at > 0 {
            self.sweep_at.min(self.accept_at)
        } else {
            self.sweep_at
        };
        self.handshakes
            .as_ref()
            .and_then(Handshakes::wake_at)
            .map_or(next, |at| next.min(at))
    }

    fn acceptable(&self) -> bool {
        !self.resting && self.doors.iter().any(|door| door.acceptable)
    }

    fn close(&mut self, number: u64, facts: &mut Vec<Event>) {
        if let Some(peer) = self.peers.remove(&number) {
            self.refused -= usize::from(peer.over);
            if peer.machine.status().open > 0 {
                facts.push(Event::ConnectionLost(number));
            }
            if let Some(admission) = &mut self.admission {
                admission.leave(number);
            }
            if let Some(handshakes) = &mut self.handshakes {
                handshakes.done(number);
            }
            if let Some(identities) = &mut self.identities {
                identities.leave(number);
            }
            self.doors
                .iter_mut()
                .for_each(|door| door.acceptable = true);
        }
    }

    /// Gives up the place of a connection that owes nothing, if there is one: first those that only wait for
    /// their end, then those that never sent a whole message, the oldest first. Guards against clients that take
    /// all places and say nothing, while front ends wait to be accepted.
    fn make_room(&mut self, now: Micros, facts: &mut Vec<Event>) -> bool {
        let spare = |(number, peer): (&u64, &Peer<H>)| {
            peer.spare_since(now)
                .map(|(rank, since)| (rank, since, *number))
        };
        while let Some((_, _, number)) = self.peers.iter().filter_map(spare).min() {
            // What it sent may have come since it was last read: closing over that would lose it.
            if let Some(peer) = self.peers.get_mut(&number) {
                peer.conn.on_readiness(Readiness {
                    readable: true,
                    writable: false,
                });
            }
            self.serve(now, number, facts);
            match self
                .peers
                .get(&number)
                .map(|peer| peer.spare_since(now).is_some())
            {
                Some(false) => {}
                Some(true) => {
                    self.close(number, facts);
                    return true;
                }
                None => return true,
            }
        }
        false
    }

    fn sweep(&mut self, now: Micros, facts: &mut Vec<Event>) {
        self.keep_spare();
        // Those that could not go yet when places became fewer.
        self.set_connection_limit(now, self.most, facts);
        if self.yielding {
            self.send_away(now);
        }
        let paused = now >= self.sweep_at + PAUSE;
        self.sweep_at = now + SWEEP;
        let (good, feedback) = (self.good, self.feedback);
        for (&number, peer) in &mut self.peers {
            if peer.lingers.is_some() {
                self.noted.push(number);
                continue;
            }
            let context = Context {
                now,
                number,
                classes: &self.classes,
                good,
                feedback,
            };
            if paused && peer.machine.status().waits.is_some() {
                peer.machine.status_mut().waits = Some(now);
            }
            if peer.machine.deadline().is_some_and(|at| now >= at) {
                peer.machine.expire(&context, peer.conn.output());
            }
            let status = peer.machine.status();
            if status.is_idle() && self.idle.is_some_and(|after| now >= status.used + after) {
                peer.machine.part(&context, peer.conn.output());
            }
            if peer.machine.status().standing != Standing::Open {
                self.noted.push(number);
            }
        }
        let crowd = (CROWDED * self.most as f64) as usize;
        let ends = |peer: &&Peer<H>| {
            peer.lingers.is_some() || peer.machine.status().standing != Standing::Open
        };
        let going = self.peers.values().filter(ends).count();
        let excess = (self.peers.len() - going).saturating_sub(crowd);
        if excess > 0 {
            let idle = |(number, peer): (&u64, &Peer<H>)| {
                let status = peer.machine.status();
                let idle = peer.lingers.is_none() && status.is_idle();
                (idle && now >= status.used + WARM).then_some((status.used, *number))
            };
            let mut idle: Vec<_> = self.peers.iter().filter_map(idle).collect();
            idle.sort_unstable();
            for (_, number) in idle.into_iter().take(excess) {
                let context = Context {
                    now,
                    number,
                    classes: &self.classes,
                    good,
                    feedback,
                };
                if let Some(peer) = self.peers.get_mut(&number) {
                    peer.machine.part(&context, peer.conn.output());
                }
                self.noted.push(number);
            }
        }
    }
}

#[cfg(test)]
mod tests;
