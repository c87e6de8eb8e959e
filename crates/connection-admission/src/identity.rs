//! Clients known by the names of a verified certificate: named by the operator, or limited by name
//! in slots and in new connections a second. The names are known only after the TLS handshake, so
//! this is asked then, once for each connection.

use crate::decision::ConnectionId;
use crate::rate_sketch::{RateLimit, RateSketch};
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeSet, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Cells of each row of the sketch that counts new connections by name: one authority issues few
/// names.
const SKETCH_WIDTH: usize = 4_096;

/// What an operator sets.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Names whose clients are known as if their address was named; they have no limits.
    pub allowlist: Vec<String>,
    /// Connection slots that a name may hold.
    pub slots: Option<usize>,
    /// New connections of a name.
    pub rate: Option<RateLimit>,
}

/// Why a connection is rejected for its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum IdentityRejection {
    /// Its name holds as many slots as it may.
    #[error("the certificate's name holds as many connection slots as it may")]
    Slots,
    /// Its name exceeds its rate of new connections.
    #[error("the certificate's name exceeds its rate of new connections")]
    Rate,
}

/// The limits of a process by name, and the slots that each name holds.
#[derive(Debug)]
pub struct IdentityLimiter {
    settings: Settings,
    rates: Option<RateSketch>,
    connections_by_name: HashMap<String, BTreeSet<ConnectionId>>,
    names: HashMap<ConnectionId, String>,
}

impl IdentityLimiter {
    /// Creates the limits of a process in which no name holds a slot.
    #[must_use]
    pub fn new(settings: Settings, now: Micros) -> Self {
        let rates = settings
            .rate
            .map(|limit| RateSketch::new(limit, SKETCH_WIDTH, now));
        Self {
            settings,
            rates,
            connections_by_name: HashMap::new(),
            names: HashMap::new(),
        }
    }

    /// Notifies of the names of a connection's certificate, and returns whether the operator has
    /// named one of them. If not, the first name holds the connection's slot.
    ///
    /// # Errors
    /// [`IdentityRejection`] if the first name is at its limit; the connection is to be closed.
    pub fn admit(
        &mut self,
        now: Micros,
        id: ConnectionId,
        names: &[String],
    ) -> Result<bool, IdentityRejection> {
        let Some(first) = names.first() else {
            return Ok(false);
        };
        if names
            .iter()
            .any(|name| self.settings.allowlist.contains(name))
        {
            return Ok(true);
        }
        if self
            .settings
            .slots
            .is_some_and(|max| self.slots_held(first) >= max)
        {
            return Err(IdentityRejection::Slots);
        }
        let key = xxh3_64(first.as_bytes());
        if let Some(rates) = &mut self.rates {
            if !rates.try_acquire(now, key) {
                return Err(IdentityRejection::Rate);
            }
        }
        self.connections_by_name
            .entry(first.clone())
            .or_default()
            .insert(id);
        self.names.insert(id, first.clone());
        Ok(false)
    }

    /// Notifies that a connection is closed.
    pub fn on_closed(&mut self, id: ConnectionId) {
        let Some(name) = self.names.remove(&id) else {
            return;
        };
        if let Some(ids) = self.connections_by_name.get_mut(&name) {
            ids.remove(&id);
            if ids.is_empty() {
                self.connections_by_name.remove(&name);
            }
        }
    }

    /// Returns the slots that a name holds.
    #[must_use]
    pub fn slots_held(&self, name: &str) -> usize {
        self.connections_by_name.get(name).map_or(0, BTreeSet::len)
    }
}
