//! TLS in the front: a handshake's turn, its end, and the names that may ask for a class. What runs when is decided by
//! [`Handshakes`]; this obeys.

use super::{ClientListener, FrontProtocol};
use crate::host::Host;
use crate::tls_layer::{TlsLayer, TlsState};
use cleatpulley_connection_admission::admit::Known;
use cleatpulley_connection_admission::handshake::{Offer, Turn};
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::machine::Context;

impl TlsState {
    /// Whether a door of this kind speaks TLS.
    #[must_use]
    pub fn speaks(&self, speaks: &FrontProtocol) -> bool {
        match speaks {
            FrontProtocol::Frames(_) | FrontProtocol::Relayed(_) => self.options().frames,
            FrontProtocol::Ajp(..) => self.options().ajp,
        }
    }
}

impl<H: Host> ClientListener<H> {
    /// After a connection was served: its offer is decided on, the end of its handshake is noted, and what it asked for
    /// goes on, or is answered as forbidden where its names may not ask for the class.
    pub(super) fn secure_turn(&mut self, now: Micros, number: u64, facts: &mut Vec<Event>) {
        let Some(peer) = self.peers.get_mut(&number) else {
            facts.extend(self.arrivals.drain(..).map(Event::RequestRead));
            return;
        };
        let Some(layer) = peer.conn.layer_mut() else {
            facts.extend(self.arrivals.drain(..).map(Event::RequestRead));
            return;
        };
        if let Some(offer) = layer.offer() {
            layer.asked();
            let offer = Offer {
                resumes: offer.resumes,
                known: peer.known,
            };
            let turn = self.handshakes.as_mut().map_or(Turn::Begin, |handshakes| {
                handshakes.offer(now, number, offer)
            });
            match turn {
                Turn::Begin => self.begin(number, facts),
                Turn::Wait => {}
                Turn::Refuse => self.refuse(number, facts),
            }
        }
        let Some(peer) = self.peers.get_mut(&number) else {
            return;
        };
        let mut over = None;
        if peer.conn.layer_mut().is_some_and(TlsLayer::established) {
            if let Some(handshakes) = &mut self.handshakes {
                handshakes.done(number);
            }
            peer.names = peer
                .conn
                .layer()
                .and_then(TlsLayer::session)
                .map(cleatpulley_tls::session::Session::peer_names)
                .unwrap_or_default();
            match self
                .identities
                .as_mut()
                .map(|identities| identities.identify(now, number, &peer.names))
            {
                Some(Ok(true)) => {
                    peer.known = Known::Named;
                    if let Some(admission) = &mut self.admission {
                        admission.promote(number);
                    }
                }
                Some(Err(why)) => over = Some(why),
                Some(Ok(false)) | None => {}
            }
        }
        if let Some(why) = over {
            // Told to part; what it asked already goes on, for a keyed request may have run before.
            let context = Context {
                now,
                number,
                classes: &self.classes,
                good: self.good,
                feedback: self.feedback,
            };
            tracing::debug!("front end connection {number}: its name is over its cap: {why:?}");
            peer.over = true;
            self.refused += 1;
            peer.machine.part(&context, peer.conn.output());
        }
        let tls = self.tls.as_ref().map(|tls| tls.borrow());
        for arrival in self.arrivals.drain(..) {
            let permitted = tls
                .as_ref()
                .is_none_or(|tls| tls.permits(arrival.class, &peer.names));
            facts.push(if permitted {
                Event::RequestRead(arrival)
            } else {
                Event::RequestForbidden(arrival)
            });
        }
    }

    /// Handshakes that waited and may begin now, and those that are past their deadline.
    pub(super) fn handshakes_turn(&mut self, now: Micros, facts: &mut Vec<Event>) {
        let Some(handshakes) = &mut self.handshakes else {
            return;
        };
        let (begun, over) = (handshakes.next(now), handshakes.overdue(now));
        for number in begun {
            self.begin(number, facts);
        }
        for number in over {
            // Before its handshake has ended nothing can be open on it.
            if self
                .peers
                .get(&number)
                .is_some_and(|peer| peer.machine.status().open == 0)
            {
                tracing::debug!("front end connection {number}: the handshake did not end in time");
                self.close(number, facts);
            }
        }
    }

    fn begin(&mut self, number: u64, facts: &mut Vec<Event>) {
        let (Some(tls), Some(peer)) = (&self.tls, self.peers.get_mut(&number)) else {
            return;
        };
        let config = tls.borrow().config();
        match peer.conn.begin(config) {
            // What came with the first record is read now, and what is to be said goes out.
            Ok(()) => self.noted.push(number),
            Err(e) => {
                tracing::debug!("front end connection {number}: {e}");
                self.close(number, facts);
            }
        }
    }

    fn refuse(&mut self, number: u64, facts: &mut Vec<Event>) {
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.conn.refuse_tls();
        }
        self.close(number, facts);
    }
}
