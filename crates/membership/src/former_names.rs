//! Former names of items that callers in other packages still use; each goes with its last caller.

use crate::authentication::AuthenticationError;
use crate::event::Event;
use crate::membership::Membership;
use crate::shared_metrics::MetricKind;
use cleatpulley_policy::interface::Micros;

/// Former path of [`authentication`](crate::authentication).
pub mod seal {
    pub use crate::authentication::KeyRing as Keys;
}

/// Former path of [`shared_metrics`](crate::shared_metrics).
pub mod figures {
    pub use crate::shared_metrics::MetricKind as Kind;
}

#[doc(hidden)]
impl Membership {
    /// See [`handle_datagram`](Self::handle_datagram).
    ///
    /// # Errors
    /// The same.
    pub fn hear(&mut self, now: Micros, datagram: &[u8]) -> Result<(), AuthenticationError> {
        self.handle_datagram(now, datagram)
    }

    /// See [`poll`](Self::poll).
    pub fn turn(&mut self, now: Micros) {
        self.poll(now);
    }

    /// See [`next_deadline`](Self::next_deadline).
    #[must_use]
    pub fn next(&self) -> Micros {
        self.next_deadline()
    }

    /// See [`publish`](Self::publish).
    pub fn tell(&mut self, now: Micros, kind: MetricKind, value: Vec<u8>) {
        self.publish(now, kind, value);
    }

    /// See [`take_outgoing`](Self::take_outgoing).
    pub fn take_out(&mut self) -> Vec<(std::net::SocketAddr, Vec<u8>)> {
        self.take_outgoing()
    }

    /// See [`next_event`](Self::next_event).
    pub fn event(&mut self) -> Option<Event> {
        self.next_event()
    }

    /// See [`set_keys`](Self::set_keys).
    pub fn rekey(&mut self, keys: crate::authentication::KeyRing) {
        self.set_keys(keys);
    }
}
