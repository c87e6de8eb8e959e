//! The settings of a node.

use crate::configuration::{check_members, MembersError, NodeId, NODE_IDS};
use cleatpulley_policy::interface::Micros;
use std::ops::RangeInclusive;

/// The bounds of [`Settings::tick_interval`]: 1 ms to 1 s.
const TICK_INTERVALS: RangeInclusive<Micros> = 1_000..=1_000_000;
/// The minimum election timeout: with fewer ticks, one late heartbeat would start an election.
const MIN_ELECTION_TIMEOUT_TICKS: u64 = 3;
/// The minimum number of probes during a lease, so that losing one does not end it.
const MIN_PROBES_PER_LEASE: u64 = 4;

/// The settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The id of this process.
    pub node_id: NodeId,
    /// The members of the initial configuration; later configurations are decided by the log.
    pub members: Vec<NodeId>,
    /// The interval between two ticks of the library's logical clock, in microseconds.
    pub tick_interval: Micros,
    /// The number of ticks without a heartbeat of the leader after which an election starts.
    pub election_timeout_ticks: u64,
    /// How long an epoch may be acted on after it was known to be the latest, in microseconds.
    pub lease_duration: Micros,
    /// The interval between two probes that renew the lease, in microseconds.
    pub probe_interval: Micros,
    /// The number of decided entries that a trim leaves in the log for members that lag.
    pub retained_entries: usize,
}

impl Settings {
    /// Returns the default settings of a process in a group with these members.
    #[must_use]
    pub fn new(node_id: NodeId, members: Vec<NodeId>) -> Self {
        Self {
            node_id,
            members,
            tick_interval: 20_000,
            election_timeout_ticks: 15,
            lease_duration: 3_000_000,
            probe_interval: 250_000,
            retained_entries: 1_024,
        }
    }

    /// Checks each setting and how they go together.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is violated.
    pub fn check(&self) -> Result<(), SettingsError> {
        if !NODE_IDS.contains(&self.node_id) {
            return Err(SettingsError::NodeIdOutOfRange(self.node_id));
        }
        check_members(&self.members)?;
        if !TICK_INTERVALS.contains(&self.tick_interval) {
            return Err(SettingsError::TickInterval(self.tick_interval));
        }
        if self.election_timeout_ticks < MIN_ELECTION_TIMEOUT_TICKS {
            return Err(SettingsError::ElectionTimeout(self.election_timeout_ticks));
        }
        if self.probe_interval == 0
            || self.lease_duration < MIN_PROBES_PER_LEASE * self.probe_interval
        {
            return Err(SettingsError::LeaseShorterThanProbes);
        }
        if self.lease_duration <= self.tick_interval * self.election_timeout_ticks {
            return Err(SettingsError::LeaseShorterThanElection);
        }
        Ok(())
    }
}

/// A setting that is out of bounds.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The id of this process is out of bounds.
    #[error("the id of a process must be between 1 and 64, not {0}")]
    NodeIdOutOfRange(NodeId),
    /// The initial members can't form a group.
    #[error("the initial members can't form a group")]
    Members(#[from] MembersError),
    /// The tick interval is out of bounds.
    #[error("a tick must take 1 ms to 1 s, not {0} us")]
    TickInterval(Micros),
    /// The election timeout has too few ticks.
    #[error("an election timeout must have at least {MIN_ELECTION_TIMEOUT_TICKS} ticks, not {0}")]
    ElectionTimeout(u64),
    /// The probe interval is 0, or one lost probe could end the lease.
    #[error("the lease lasts less than {MIN_PROBES_PER_LEASE} probes: a lost one would end it")]
    LeaseShorterThanProbes,
    /// The lease could end before a new leader is elected.
    #[error("the lease lasts no longer than an election timeout")]
    LeaseShorterThanElection,
}

impl SettingsError {
    /// Returns the configuration key of the setting.
    #[must_use]
    pub fn key(&self) -> &'static str {
        match self {
            Self::NodeIdOutOfRange(_) => "me",
            Self::Members(_) => "members",
            Self::TickInterval(_) | Self::ElectionTimeout(_) => "tick",
            Self::LeaseShorterThanProbes | Self::LeaseShorterThanElection => "lease",
        }
    }
}
