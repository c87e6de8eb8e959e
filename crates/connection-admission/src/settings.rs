//! Settings of connection admission.

use crate::address_prefix::{AddressPrefix, PrefixLengths};
use crate::rate_sketch::RateLimit;
use crate::reputation::ReputationSettings;

/// Limits on the connections of an address or of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ConnectionLimits {
    /// Maximum number of connection slots held at the same time.
    pub slots: Option<usize>,
    /// Rate limit on new connections.
    pub rate: Option<RateLimit>,
}

/// The settings of connection admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Prefixes whose clients the operator trusts. The limits below don't apply to them.
    pub allowlist: Vec<AddressPrefix>,
    /// Share of the connection slots reserved for known clients: half of it for allowlisted
    /// clients, half for clients with reputation.
    pub reserved_share: f64,
    /// Limits of each address.
    pub address_limits: ConnectionLimits,
    /// Limits of each prefix.
    pub prefix_limits: ConnectionLimits,
    /// Prefix lengths by which addresses are grouped.
    pub prefix_lengths: PrefixLengths,
    /// How addresses gain reputation; `None` if they don't.
    pub reputation: Option<ReputationSettings>,
    /// Cells in each row of the sketch that counts new connections by address.
    pub sketch_width: usize,
    /// Seed of random numbers, and of hashes that clients must not be able to predict.
    pub seed: u64,
}
