//! Read leases: until when a process may act on its epoch without probing the others again.
//!
//! A process probes all members for the number of entries that they have accepted. Suppose a
//! quorum, the process itself included, has accepted no more entries than the process knows to be
//! decided. Every decided entry was accepted by a quorum, and any two quorums share a member, so
//! nothing further had been decided when the probe *started*. The epoch was then the latest, and
//! may be acted on for the duration of the lease from that time on, however late the responses
//! arrived. A response to an older probe counts for the time of that probe.
//!
//! This is the read-index procedure of Raft (Ongaro's thesis, section 6.4) without a leader, with
//! the result kept for a time.

#[cfg(test)]
mod tests;

use crate::change::LogIndex;
use crate::configuration::NodeId;
use cleatpulley_policy::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The number of probes whose responses are still awaited; the oldest is abandoned beyond it.
const MAX_OUTSTANDING_PROBES: usize = 32;

/// Identifies a probe of one process; rises with each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProbeId(pub u64);

impl ProbeId {
    /// The id of a request whose response is not awaited. No probe has it.
    pub const UNTRACKED: Self = Self(0);

    fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A probe and the responses to it.
#[derive(Debug, Clone)]
struct Probe {
    id: ProbeId,
    started_at: Micros,
    /// By member: the number of entries that it has accepted.
    accepted_indexes: BTreeMap<NodeId, LogIndex>,
}

impl Probe {
    /// Returns whether a quorum has accepted no more entries than are decided here.
    fn is_confirmed(&self, quorum_size: usize, decided_index: LogIndex) -> bool {
        let confirming = self
            .accepted_indexes
            .values()
            .filter(|&&accepted_index| accepted_index <= decided_index)
            .count();
        confirming >= quorum_size
    }
}

/// The lease of one process.
#[derive(Debug, Clone)]
pub struct Lease {
    duration: Micros,
    quorum_size: usize,
    last_probe: ProbeId,
    /// From the oldest to the newest.
    outstanding: VecDeque<Probe>,
    /// The latest time at which the epoch was known to be the latest.
    confirmed_at: Option<Micros>,
}

impl Lease {
    /// Returns a lease that is not held yet, with its duration in microseconds.
    #[must_use]
    pub fn new(duration: Micros, quorum_size: usize) -> Self {
        Self {
            duration,
            quorum_size,
            last_probe: ProbeId::UNTRACKED,
            outstanding: VecDeque::new(),
            confirmed_at: None,
        }
    }

    /// Changes to the quorum of another configuration. Probes of the previous one are abandoned;
    /// a lease that is held stays so until it expires.
    pub fn change_quorum(&mut self, quorum_size: usize) {
        self.quorum_size = quorum_size;
        self.outstanding.clear();
    }

    /// Starts a probe and returns its id.
    pub fn start_probe(&mut self, now: Micros) -> ProbeId {
        self.last_probe = self.last_probe.next();
        if self.outstanding.len() == MAX_OUTSTANDING_PROBES {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(Probe {
            id: self.last_probe,
            started_at: now,
            accepted_indexes: BTreeMap::new(),
        });
        self.last_probe
    }

    /// Records the response of a member. Responses to probes that are not outstanding are ignored.
    pub fn on_response(&mut self, probe: ProbeId, member: NodeId, accepted_index: LogIndex) {
        let matching = self
            .outstanding
            .iter_mut()
            .find(|outstanding| outstanding.id == probe);
        if let Some(outstanding) = matching {
            outstanding.accepted_indexes.insert(member, accepted_index);
        }
    }

    /// Extends the lease from the start of the newest confirmed probe, given the number of entries
    /// that are decided here.
    pub fn renew(&mut self, decided_index: LogIndex) {
        let newest_confirmed = self
            .outstanding
            .iter()
            .rev()
            .find(|probe| probe.is_confirmed(self.quorum_size, decided_index))
            .map(|probe| probe.started_at);
        self.confirmed_at = self.confirmed_at.max(newest_confirmed);
    }

    /// Returns when the lease expires or expired; `None` if it was never held.
    #[must_use]
    pub fn expires_at(&self) -> Option<Micros> {
        self.confirmed_at
            .map(|confirmed_at| confirmed_at + self.duration)
    }

    /// Returns whether the epoch may be acted on at this time.
    #[must_use]
    pub fn is_held(&self, now: Micros) -> bool {
        self.expires_at().is_some_and(|expires_at| now < expires_at)
    }
}
