//! What an operator sets.

use crate::address_prefix::{AddressPrefix, PrefixLengths};
use crate::rate_sketch::RateLimit;
use crate::reputation::ReputationSettings;

/// The limits of an address, or of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ConnectionLimits {
    /// Connection slots held at a time.
    pub places: Option<usize>,
    /// New connections.
    pub rate: Option<RateLimit>,
}

/// The settings of connection admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Clients that the operator has named. The limits below don't apply to them.
    pub named: Vec<AddressPrefix>,
    /// Share of the connection slots reserved for known clients: half of it for the named ones,
    /// half for those with reputation.
    pub reserve: f64,
    /// Limits of each address.
    pub address: ConnectionLimits,
    /// Limits of each prefix.
    pub prefix: ConnectionLimits,
    /// Bits of a prefix, of IPv4 and of IPv6 addresses.
    pub bits: (u8, u8),
    /// How clients get reputation, where they can.
    pub earned: Option<ReputationSettings>,
    /// Cells of each row of the sketch that counts new connections by address.
    pub width: usize,
    /// Seeds random numbers, and hashes that no client can foresee.
    pub seed: u64,
}

impl Settings {
    pub(crate) fn prefix_lengths(&self) -> PrefixLengths {
        let (ipv4, ipv6) = self.bits;
        PrefixLengths { ipv4, ipv6 }
    }
}
