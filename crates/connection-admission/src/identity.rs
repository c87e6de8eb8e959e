//! Limits on clients by the names in their verified certificate, in slots and in new connections
//! per second. Allowlisted names have no limits. The names are available only after the TLS
//! handshake, so these limits are checked then, once for each connection.

use crate::decision::ConnectionId;
use crate::rate_sketch::{RateLimit, RateSketch};
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeSet, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Cells in each row of the sketch that counts new connections by name. A narrow sketch is enough
/// for the few names that one certificate authority issues.
const SKETCH_WIDTH: usize = 4_096;

/// Limits per certificate name.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Names whose clients are trusted like those of an allowlisted address; they have no limits.
    pub allowlist: Vec<String>,
    /// Maximum number of connection slots held by a name.
    pub slots: Option<usize>,
    /// Rate limit on new connections of a name.
    pub rate: Option<RateLimit>,
}

/// Reason for the rejection of a connection by its certificate name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum IdentityRejection {
    /// The name holds its maximum number of slots.
    #[error("the certificate name holds its maximum number of connection slots")]
    Slots,
    /// The name exceeds its rate limit on new connections.
    #[error("the certificate name exceeds its rate limit on new connections")]
    Rate,
}

/// Enforces the limits per certificate name on the connections of a process.
#[derive(Debug)]
pub struct IdentityLimiter {
    settings: Settings,
    rate_sketch: Option<RateSketch>,
    connections_by_name: HashMap<String, BTreeSet<ConnectionId>>,
    name_by_connection: HashMap<ConnectionId, String>,
}

impl IdentityLimiter {
    /// Creates a limiter in which no name holds a slot.
    #[must_use]
    pub fn new(settings: Settings, now: Micros) -> Self {
        let rate_sketch = settings
            .rate
            .map(|limit| RateSketch::new(limit, SKETCH_WIDTH, now));
        Self {
            settings,
            rate_sketch,
            connections_by_name: HashMap::new(),
            name_by_connection: HashMap::new(),
        }
    }

    /// Admits a connection by the names of its certificate. Returns whether one of them is
    /// allowlisted; if none is, the connection's slot counts towards the first name.
    ///
    /// # Errors
    /// [`IdentityRejection`] if the first name is at its limit; the connection must be closed.
    pub fn admit(
        &mut self,
        now: Micros,
        id: ConnectionId,
        names: &[String],
    ) -> Result<bool, IdentityRejection> {
        let Some(first_name) = names.first() else {
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
            .is_some_and(|max| self.slots_held(first_name) >= max)
        {
            return Err(IdentityRejection::Slots);
        }
        let name_hash = xxh3_64(first_name.as_bytes());
        if let Some(rate_sketch) = &mut self.rate_sketch {
            if !rate_sketch.try_acquire(now, name_hash) {
                return Err(IdentityRejection::Rate);
            }
        }
        self.connections_by_name
            .entry(first_name.clone())
            .or_default()
            .insert(id);
        self.name_by_connection.insert(id, first_name.clone());
        Ok(false)
    }

    /// Handles the close of a connection.
    pub fn on_closed(&mut self, id: ConnectionId) {
        let Some(name) = self.name_by_connection.remove(&id) else {
            return;
        };
        if let Some(ids) = self.connections_by_name.get_mut(&name) {
            ids.remove(&id);
            if ids.is_empty() {
                self.connections_by_name.remove(&name);
            }
        }
    }

    /// Returns the number of slots held by a name.
    #[must_use]
    pub fn slots_held(&self, name: &str) -> usize {
        self.connections_by_name.get(name).map_or(0, BTreeSet::len)
    }
}
