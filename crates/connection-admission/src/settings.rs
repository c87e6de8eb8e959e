//! What an operator sets.

use crate::address_prefix::{AddressPrefix, PrefixLengths};
use crate::rate_sketch::RateLimit;
use crate::reputation::ReputationSettings;

/// The limits of an address, or of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ConnectionLimits {
    /// Connection slots held at a time.
    pub slots: Option<usize>,
    /// New connections.
    pub rate: Option<RateLimit>,
}

/// The settings of connection admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Clients that the operator has named. The limits below don't apply to them.
    pub allowlist: Vec<AddressPrefix>,
    /// Share of the connection slots reserved for known clients: half of it for the named ones,
    /// half for those with reputation.
    pub reserved_share: f64,
    /// Limits of each address.
    pub address_limits: ConnectionLimits,
    /// Limits of each prefix.
    pub prefix_limits: ConnectionLimits,
    /// Bits of a prefix.
    pub prefix_lengths: PrefixLengths,
    /// How clients get reputation, where they can.
    pub reputation: Option<ReputationSettings>,
    /// Cells of each row of the sketch that counts new connections by address.
    pub sketch_width: usize,
    /// Seeds random numbers, and hashes that no client can foresee.
    pub seed: u64,
}
