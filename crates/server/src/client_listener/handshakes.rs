//! TLS handshakes of connections: [`TlsHandshakes`](super::tls_handshakes::TlsHandshakes) decides
//! when each begins, and a completed one yields the names in the client's certificate.

use super::ClientListener;
use crate::host::Host;
use crate::tls_layer::TlsLayer;
use cleatpulley_connection_admission::decision::TrustLevel;
use cleatpulley_connection_admission::handshake::{HandshakeDecision, HandshakeKind};
use cleatpulley_connection_admission::identity::IdentityRejection;
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::interface::Micros;

impl<H: Host> ClientListener<H> {
    /// Advances the handshake of a connection that was served: schedules it after the client hello,
    /// and handles its completion.
    pub(super) fn poll_handshake(&mut self, now: Micros, number: u64, events: &mut Vec<Event>) {
        self.decide_offer(now, number, events);
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let layer = connection.stream.tls_layer_mut();
        if layer.is_some_and(TlsLayer::take_handshake_completion) {
            self.on_handshake_finished(now, number);
        }
    }

    fn decide_offer(&mut self, now: Micros, number: u64, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some(layer) = connection.stream.tls_layer_mut() else {
            return;
        };
        let Some(offer) = layer.offer() else {
            return;
        };
        layer.mark_offer_decided();
        let kind = HandshakeKind {
            is_resumption: offer.offers_resumption,
            trust_level: connection.trust_level,
        };
        match self.tls.decide(now, number, kind) {
            HandshakeDecision::Begin => self.begin_handshake(number, events),
            HandshakeDecision::Wait => {}
            HandshakeDecision::Reject => self.reject_handshake(number, events),
        }
    }

    fn on_handshake_finished(&mut self, now: Micros, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if let Some(handshakes) = &mut self.tls.handshakes {
            handshakes.on_ended(number);
        }
        let session = connection.stream.tls_layer().and_then(TlsLayer::session);
        connection.certificate_names = session
            .map(cleatpulley_tls::session::Session::peer_names)
            .unwrap_or_default();
        let Some(identities) = &mut self.tls.identities else {
            return;
        };
        match identities.admit(now, number, &connection.certificate_names) {
            Ok(true) => {
                connection.trust_level = TrustLevel::Allowlisted;
                if let Some(admission) = &mut self.acceptor.admission {
                    admission.on_allowlisted(number);
                }
            }
            Ok(false) => {}
            Err(reason) => self.reject_over_identity_limit(now, number, &reason),
        }
    }

    /// Notifies a client to close whose certificate name has too many connections. Requests that it
    /// has already sent are served, since one with an idempotency key may have run before.
    fn reject_over_identity_limit(&mut self, now: Micros, number: u64, reason: &IdentityRejection) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        tracing::debug!(
            ?reason,
            "front end connection {number}: its name is over its limit"
        );
        connection.is_rejected = true;
        self.acceptor.rejected_count += 1;
        let context = self.context.for_connection(now, number);
        connection
            .machine
            .stop_accepting_requests(&context, connection.stream.output());
    }

    /// Forwards the requests read from a connection; those that its certificate names do not permit
    /// are forwarded as forbidden.
    pub(super) fn forward_arrivals(&mut self, number: u64, events: &mut Vec<Event>) {
        let secure_connection = self
            .connections
            .get(&number)
            .filter(|connection| connection.stream.tls_layer().is_some());
        for arrival in self.arrivals.drain(..) {
            let is_permitted = secure_connection.is_none_or(|connection| {
                self.tls
                    .is_permitted(arrival.class, &connection.certificate_names)
            });
            events.push(if is_permitted {
                Event::RequestRead(arrival)
            } else {
                Event::RequestForbidden(arrival)
            });
        }
    }

    /// Begins queued handshakes that may begin now, and closes connections whose handshake is past
    /// its deadline.
    pub(super) fn poll_handshakes(&mut self, now: Micros, events: &mut Vec<Event>) {
        let Some(handshakes) = &mut self.tls.handshakes else {
            return;
        };
        let startable = handshakes.begin_queued(now);
        let expired = handshakes.take_expired(now);
        for number in startable {
            self.begin_handshake(number, events);
        }
        for number in expired {
            // No request can be open on a connection before its handshake has ended.
            let connection = self.connections.get(&number);
            if connection.is_some_and(|connection| connection.machine.status().open_requests == 0) {
                tracing::debug!("front end connection {number}: the handshake did not end in time");
                self.close(number, events);
            }
        }
    }

    fn begin_handshake(&mut self, number: u64, events: &mut Vec<Event>) {
        let (Some(tls), Some(connection)) = (&self.tls.state, self.connections.get_mut(&number))
        else {
            return;
        };
        let config = tls.borrow().config();
        match connection.stream.begin_handshake(config) {
            // The bytes received with the first record are processed now, and the reply is sent.
            Ok(()) => self.ready.push(number),
            Err(error) => {
                tracing::debug!(%error, "front end connection {number}: no handshake");
                self.close(number, events);
            }
        }
    }

    fn reject_handshake(&mut self, number: u64, events: &mut Vec<Event>) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stream.reject_handshake();
        }
        self.close(number, events);
    }
}
