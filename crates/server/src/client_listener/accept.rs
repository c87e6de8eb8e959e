//! Accepting: who gets a place, and what becomes of those who get none. What is decided lies with
//! `cleatpulley_connection_admission`, where it is on; otherwise those beyond the bound wait with the system.

use super::{ClientListener, Peer};
use crate::buffered_connection::BufferedConnection;
use crate::host::{Host, Readiness};
use crate::tls_layer::{TlsLayer, BUSY_ALERT};
use crate::SocketOwner;
use cleatpulley_connection_admission::admit::Known;
use cleatpulley_connection_admission::Decision;
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::machine::Context;
use std::io::{self, ErrorKind};
use std::net::IpAddr;

/// Connections accepted in one turn on each listener.
const ACCEPTS: usize = 128;
/// Connections turned away that are held at once until what came on them is answered, an eighth of all at most.
const REFUSED_HELD: usize = 16;
/// Wait after the system had no descriptor for a new connection.
pub(super) const ACCEPT_PAUSE: Micros = 50_000;
/// Wait where known callers that were turned away fill what is held of such.
const REFUSED_PAUSE: Micros = 2_000;

/// Who came, and how.
struct Caller {
    address: IpAddr,
    /// The spare descriptor was given up for it: no other is left.
    short: bool,
}

impl<H: Host> ClientListener<H> {
    pub(super) fn accept(&mut self, now: Micros, facts: &mut Vec<Event>) {
        for place in 0..self.doors.len() {
            if now < self.accept_at || self.resting {
                return;
            }
            self.accept_at_door(place, now, facts);
        }
        if self.parting && !self.doors.is_empty() && !self.acceptable() {
            self.doors.clear();
        }
    }

    fn accept_at_door(&mut self, place: usize, now: Micros, facts: &mut Vec<Event>) {
        // Those that got no place and are still held have been read since the turn in which they came: where none can go,
        // all of them owe an answer. Strangers are closed unread then; a known caller is held beyond the others, and while
        // one is, whoever comes waits with the system.
        let stuck = self.refused >= self.held() && !self.forget_refused(facts);
        if stuck && self.refused > self.held() {
            self.accept_at = now + REFUSED_PAUSE;
            return;
        }
        for _ in 0..ACCEPTS {
            if !self.doors[place].acceptable {
                return;
            }
            // Those beyond the bound wait with the system, where they cost us nothing; but where it matters who comes, a known
            // caller may stand behind them, and only accepting tells.
            let full = self.peers.len() >= self.most && self.admission.is_none();
            if full && !self.make_room(now, facts) {
                self.accept_at = now + ACCEPT_PAUSE;
                return;
            }
            // Those that came in this turn are read first.
            if !stuck && self.refused >= self.held() && !self.forget_refused(facts) {
                return;
            }
            let number = self.numbers + 1;
            let door = &mut self.doors[place];
            let Some(listener) = &door.listener else {
                door.acceptable = false;
                return;
            };
            let mut short = false;
            let mut accepted = self
                .world
                .accept(listener, SocketOwner::ClientConnection(number));
            if accepted.as_ref().is_err_and(|e| !is_passing(e)) && give_up(self.spare.take()) {
                // The descriptor that is kept for that: who waits is known or not, and only accepting tells. The system says
                // that it has none also where nobody waits.
                short = true;
                accepted = self
                    .world
                    .accept(listener, SocketOwner::ClientConnection(number));
            }
            let (stream, address) = match accepted {
                Ok(accepted) => accepted,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    door.acceptable = false;
                    self.keep_spare();
                    return;
                }
                Err(e) if is_passing(&e) => {
                    self.keep_spare();
                    continue;
                }
                Err(e) => {
                    // Guards against a loop at full speed while descriptors are short.
                    tracing::warn!("no connection accepted for a while: {e}");
                    self.make_room(now, facts);
                    self.keep_spare();
                    self.accept_at = now + ACCEPT_PAUSE;
                    if is_bug_injected(InjectedBug::AcceptNotResumed) {
                        self.accept_at = Micros::MAX;
                    }
                    return;
                }
            };
            let caller = Caller { address, short };
            self.numbers = number;
            self.let_in(
                place,
                now,
                BufferedConnection::new(stream),
                &caller,
                stuck,
                facts,
            );
            if caller.short {
                self.keep_spare();
            }
            if self.refused > self.held() {
                return;
            }
        }
    }

    /// Has a descriptor kept for the moment at which no other is left.
    pub(super) fn keep_spare(&mut self) {
        if self.spare.is_none() && self.admission.is_some() {
            self.spare = self.world.reserve_descriptor().ok();
        }
    }

    /// Gives a connection its place, or turns it away. `stuck` tells that those turned away before all owe an answer.
    fn let_in(
        &mut self,
        place: usize,
        now: Micros,
        mut conn: BufferedConnection<H>,
        caller: &Caller,
        stuck: bool,
        facts: &mut Vec<Event>,
    ) {
        let number = self.numbers;
        let mut machine = self.doors[place].speaks.machine(now, caller.address);
        let secure = self.doors[place].secure;
        let known = self.admit(now, caller, facts);
        let (good, feedback) = (self.good, self.feedback);
        let context = Context {
            now,
            number,
            classes: &self.classes,
            good,
            feedback,
        };
        let names = Vec::new();
        match known {
            Ok(known) => {
                if secure {
                    conn.set_tls(TlsLayer::new());
                    if let Some(handshakes) = &mut self.handshakes {
                        handshakes.accepted(now, number);
                    }
                }
                if let Some(admission) = &mut self.admission {
                    admission.enter(now, number, caller.address, known);
                }
                if self.leaving {
                    machine.leave(&context, conn.output());
                }
                if self.parting {
                    machine.part(&context, conn.output());
                }
                self.peers.insert(
                    number,
                    Peer {
                        conn,
                        machine,
                        lingers: None,
                        known,
                        names,
                        over: false,
                    },
                );
            }
            // Nothing can be asked before a handshake: the alert is all.
            Err(_) if secure => {
                conn.output().extend_from_slice(&BUSY_ALERT);
                say_at_once(&mut conn);
            }
            Err(known) => {
                // A word where the protocol has one.
                machine.part(&context, conn.output());
                if (caller.short || stuck) && known == Known::Unknown {
                    // Nothing of it was read: what it asks has failed, and is not turned away. For a known caller the spare
                    // descriptor is worth having.
                    return say_at_once(&mut conn);
                }
                // What came with the connection is read and answered, for closing over it would lose it, and a keyed request
                // among it may have run before.
                conn.on_readiness(Readiness {
                    readable: true,
                    writable: true,
                });
                self.peers.insert(
                    number,
                    Peer {
                        conn,
                        machine,
                        lingers: None,
                        known,
                        names,
                        over: true,
                    },
                );
                self.refused += 1;
                self.noted.push(number);
            }
        }
    }

    /// Connections that got no place and are held at once: part of the bound, so that they take no descriptor beyond it.
    fn held(&self) -> usize {
        REFUSED_HELD.min(self.most / 8).max(1)
    }

    /// Closes the oldest connection that got no place and owes nothing, where there is one: a flood that holds its
    /// connections would else keep them for as long as what they sent is read away, and the door shut.
    fn forget_refused(&mut self, facts: &mut Vec<Event>) -> bool {
        // What came on it is read and answered, or thrown away once our end is closed: closing it loses nothing.
        let owes = |peer: &Peer<H>| {
            let unread = peer.lingers.is_none() && !peer.conn.is_drained();
            peer.machine.status().open > 0 || peer.conn.unsent() > 0 || unread
        };
        let oldest = self
            .peers
            .iter()
            .find(|(_, peer)| peer.over && !owes(peer))
            .map(|(number, _)| *number);
        oldest
            .inspect(|&number| self.close(number, facts))
            .is_some()
    }

    /// Whether a caller gets a place, and how it is known; another may lose its own for it.
    fn admit(
        &mut self,
        now: Micros,
        caller: &Caller,
        facts: &mut Vec<Event>,
    ) -> Result<Known, Known> {
        let places = self.most - self.held().min(self.most - 1);
        let Some(admission) = &mut self.admission else {
            return Ok(Known::Unknown);
        };
        // Where no descriptor is left, all places there are are taken.
        let places = if caller.short {
            admission.len().min(places)
        } else {
            places
        };
        let peers = &self.peers;
        let spare = |number: u64| {
            peers.get(&number).is_some_and(|peer| {
                let status = peer.machine.status();
                status.open == 0
                    && (peer.lingers.is_some() || !status.spoken || status.waits.is_none())
            })
        };
        match admission.decide(now, caller.address, places, spare) {
            Decision::Admit(known) => Ok(known),
            Decision::Instead(number, known) => {
                self.close(number, facts);
                Ok(known)
            }
            Decision::Refuse(why) => {
                let known = admission.known(now, caller.address);
                tracing::debug!(
                    "a connection from {} gets no place: {why:?}",
                    caller.address
                );
                Err(known)
            }
        }
    }
}

/// Frees the descriptor that was kept; false where there was none.
fn give_up<S>(spare: Option<S>) -> bool {
    let kept = spare.is_some();
    if is_bug_injected(InjectedBug::SpareDescriptorLeaked) {
        std::mem::forget(spare);
    }
    kept
}

/// Nothing is short: nobody waits, or whoever waited is gone.
fn is_passing(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::ConnectionAborted
    )
}

/// Says what is to be said as far as the system takes it now; nothing is read.
fn say_at_once<H: Host>(conn: &mut BufferedConnection<H>) {
    conn.on_readiness(Readiness {
        readable: false,
        writable: true,
    });
    let _ = conn.flush();
}
