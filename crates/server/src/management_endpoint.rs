//! The operators' address: who asks how this process is, each on a connection of its own. Served before the clients' side in each
//! turn, in places that no client can take.

use super::buffered_connection::BufferedConnection;
use super::error::StartError;
use super::host::{Host, Readiness};
use super::tls_layer::{TlsLayer, TlsState};
use super::SocketOwner;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::mgmt::{Answers, Connection};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

/// The number of this listener: the front counts its own from 0.
pub const PLACE: usize = 1 << 16;
/// Callers at a time. What is beyond that pushes out who has waited longest without a whole call.
pub const PLACES: usize = 16;
/// Connections accepted in one turn: a crowd here may not keep the clients waiting.
const ACCEPTS: usize = 128;
/// Wait after the system had no descriptor for a new connection.
const ACCEPT_PAUSE: Micros = 50_000;
const READ_AT_ONCE: usize = 16_384;
/// A connection that was accepted so lately is not pushed out by the next.
const FAIR: Micros = 500;

struct Caller<H: Host> {
    conn: BufferedConnection<H>,
    call: Connection,
    /// Our end is closed.
    finished: bool,
}

/// The listener and its callers.
pub struct ManagementEndpoint<H: Host> {
    world: H,
    listener: H::Listener,
    acceptable: bool,
    accept_at: Micros,
    callers: BTreeMap<u64, Caller<H>>,
    most: usize,
    noted: Vec<u64>,
    numbers: u64,
    /// TLS, where operators speak it: each handshake begins at once, in the places of operators.
    tls: Option<Rc<RefCell<TlsState>>>,
}

impl<H: Host> ManagementEndpoint<H> {
    /// Listens.
    ///
    /// # Errors
    /// Those of the system.
    pub fn listen(world: H, address: SocketAddr) -> Result<Self, StartError> {
        let (listener, address) = world
            .listen(address, PLACE)
            .map_err(|source| StartError::ManagementListen { address, source })?;
        tracing::info!("operators are answered on {address}");
        let (callers, noted) = (BTreeMap::new(), Vec::new());
        let tls = None;
        Ok(Self {
            world,
            listener,
            acceptable: true,
            accept_at: 0,
            callers,
            most: PLACES,
            noted,
            numbers: 0,
            tls,
        })
    }

    /// Speaks TLS from now on.
    pub fn set_tls(&mut self, tls: Rc<RefCell<TlsState>>) {
        self.tls = Some(tls);
    }

    /// Has so many places from now on; who has waited longest beyond them goes.
    pub fn set_connection_limit(&mut self, most: usize) {
        self.most = most.max(1);
        while self.callers.len() > self.most {
            self.callers.pop_first();
        }
    }

    /// Connections that stand.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.callers.len()
    }

    /// Connections may wait to be accepted.
    pub fn on_acceptable(&mut self) {
        self.acceptable = true;
    }

    /// A connection may be read from or written to.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(caller) = self.callers.get_mut(&number) {
            caller.conn.on_readiness(readiness);
            self.noted.push(number);
        }
    }

    /// Answers what has come, accepts, and closes. True when there is more to do at once.
    pub fn poll(&mut self, now: Micros, answers: &dyn Answers) -> bool {
        for number in std::mem::take(&mut self.noted) {
            self.serve(now, number, answers);
        }
        // Those that stand come first: room for the next is made of what has still no whole call.
        self.accept(now, answers);
        let due = |(number, caller): (&u64, &Caller<H>)| {
            (now >= caller.call.deadline()).then_some(*number)
        };
        let due: Vec<_> = self.callers.iter().filter_map(due).collect();
        for number in due {
            let Some(caller) = self.callers.get_mut(&number) else {
                continue;
            };
            if caller.call.expire(now, caller.conn.output()) {
                self.callers.remove(&number);
            } else {
                self.serve(now, number, answers);
            }
        }
        self.acceptable && now >= self.accept_at
    }

    /// When something is to be looked at, though nothing happened.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        let deadline = self
            .callers
            .values()
            .map(|caller| caller.call.deadline())
            .min();
        let accept = (self.acceptable && self.accept_at > 0).then_some(self.accept_at);
        [deadline, accept].into_iter().flatten().min()
    }

    fn accept(&mut self, now: Micros, answers: &dyn Answers) {
        for _ in 0..ACCEPTS {
            if !self.acceptable || now < self.accept_at {
                return;
            }
            if self.callers.len() >= self.most && !self.make_room(now) {
                self.accept_at = now + FAIR;
                return;
            }
            let number = self.numbers + 1;
            let mut conn = match self
                .world
                .accept(&self.listener, SocketOwner::Management(number))
            {
                Ok((stream, _)) => BufferedConnection::new(stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.acceptable = false;
                    return;
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) =>
                {
                    continue
                }
                Err(e) => {
                    // Guards against a loop at full speed while descriptors are short.
                    tracing::warn!("no operator's connection accepted for a while: {e}");
                    self.make_room(now);
                    self.accept_at = now + ACCEPT_PAUSE;
                    return;
                }
            };
            self.numbers = number;
            // A call that came with its connection is answered before the next can push it out.
            conn.on_readiness(Readiness {
                readable: true,
                writable: true,
            });
            if self.tls.is_some() {
                conn.set_tls(TlsLayer::new());
            }
            self.callers.insert(
                number,
                Caller {
                    conn,
                    call: Connection::new(now),
                    finished: false,
                },
            );
            self.serve(now, number, answers);
        }
    }

    /// Pushes out who has its answer or waits longest for a whole call. Guards against callers that hold all places
    /// and ask nothing.
    fn make_room(&mut self, now: Micros) -> bool {
        let rank = |(number, caller): (&u64, &Caller<H>)| {
            let done = caller.call.answered() && caller.conn.unsent() == 0;
            (done || now >= caller.call.since() + FAIR).then_some((!done, *number))
        };
        if is_bug_injected(InjectedBug::ManagementStarved) {
            return false;
        }
        let Some((_, number)) = self.callers.iter().filter_map(rank).min() else {
            return false;
        };
        self.callers.remove(&number).is_some()
    }

    fn serve(&mut self, now: Micros, number: u64, answers: &dyn Answers) {
        let Some(caller) = self.callers.get_mut(&number) else {
            return;
        };
        let tls = self.tls.as_ref().map(|tls| tls.borrow());
        if !caller.go_on(now, answers, tls.as_deref()) {
            self.callers.remove(&number);
        }
    }
}

impl<H: Host> Caller<H> {
    /// Reads, answers and sends; false where the connection is over.
    fn go_on(&mut self, now: Micros, answers: &dyn Answers, tls: Option<&TlsState>) -> bool {
        loop {
            let Ok(mut more) = self.conn.read(READ_AT_ONCE) else {
                return false;
            };
            if let (Some(tls), true) = (tls, self.conn.layer().and_then(TlsLayer::offer).is_some())
            {
                if self.conn.begin(tls.config()).is_err() {
                    return false;
                }
                more = true;
            }
            let input = std::mem::take(&mut self.conn.input);
            let used = self.call.receive(now, &input, self.conn.output(), answers);
            self.conn.input = input;
            self.conn.consume(used);
            // What is read beyond a call's answer is thrown away, as long as it comes; an edge tells of it once.
            if !more {
                break;
            }
        }
        if self.conn.flush().is_err() {
            return false;
        }
        let sent = self.conn.unsent() == 0;
        if self.call.answered() && sent && !std::mem::replace(&mut self.finished, true) {
            self.conn.shutdown_write();
        }
        // One that closed its end before a whole call came asks nothing any more.
        !self.conn.ended || self.call.answered() && !sent
    }
}
