//! TLS of client connections: scheduling of handshakes, and permissions by certificate names.

use super::client_protocol::ClientProtocol;
use crate::tls_layer::TlsState;
use cleatpulley_connection_admission::handshake::{
    HandshakeDecision, HandshakeKind, HandshakeScheduler,
};
use cleatpulley_connection_admission::identity::IdentityLimiter;
use cleatpulley_policy::interface::Micros;
use std::cell::RefCell;
use std::rc::Rc;

/// TLS state of the client connections; all fields are `None` without TLS.
#[derive(Default)]
pub(super) struct TlsHandshakes {
    pub(super) state: Option<Rc<RefCell<TlsState>>>,
    /// Schedules handshakes; without it each begins immediately.
    pub(super) handshakes: Option<HandshakeScheduler>,
    /// Limits clients by the names in their certificates.
    pub(super) identities: Option<IdentityLimiter>,
}

impl TlsHandshakes {
    /// Returns true if TLS is enabled on addresses of this protocol.
    pub(super) fn is_enabled_for(&self, protocol: &ClientProtocol) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|state| state.borrow().is_enabled_for(protocol))
    }

    pub(super) fn on_accepted(&mut self, now: Micros, number: u64) {
        if let Some(handshakes) = &mut self.handshakes {
            handshakes.on_accepted(now, number);
        }
    }

    pub(super) fn on_closed(&mut self, number: u64) {
        if let Some(handshakes) = &mut self.handshakes {
            handshakes.on_ended(number);
        }
        if let Some(identities) = &mut self.identities {
            identities.on_closed(number);
        }
    }

    pub(super) fn decide(
        &mut self,
        now: Micros,
        number: u64,
        kind: HandshakeKind,
    ) -> HandshakeDecision {
        match &mut self.handshakes {
            Some(handshakes) => handshakes.on_client_hello(now, number, kind),
            None => HandshakeDecision::Begin,
        }
    }

    /// Returns true if a client with these certificate names may use this request class.
    pub(super) fn is_permitted(&self, class: usize, certificate_names: &[String]) -> bool {
        let state = self.state.as_ref();
        state.is_none_or(|state| state.borrow().permits(class, certificate_names))
    }
}

impl TlsState {
    /// Returns true if TLS is enabled on addresses of this protocol.
    #[must_use]
    pub fn is_enabled_for(&self, protocol: &ClientProtocol) -> bool {
        match protocol {
            ClientProtocol::Frames(_) | ClientProtocol::GatewayFrames(_) => self.options().frames,
            ClientProtocol::Ajp(..) => self.options().ajp,
        }
    }
}
