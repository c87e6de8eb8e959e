//! Decisions on new connections, and their counters.

/// The listener's identifier of a connection.
pub type ConnectionId = u64;

/// How far a client is trusted; clients of a higher level take precedence for connection slots.
///
/// A client of any level above [`Unknown`](Self::Unknown) is called *known*.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrustLevel {
    /// The client is neither allowlisted nor has reputation.
    Unknown,
    /// The client's address has enough reputation.
    Reputable,
    /// The client's address or a name of its certificate is on an allowlist of the operator.
    Allowlisted,
}

/// Reason for the rejection of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The address exceeds its rate limit on new connections.
    AddressRate,
    /// The prefix exceeds its rate limit on new connections.
    PrefixRate,
    /// The address holds its maximum number of slots.
    AddressSlots,
    /// The prefix holds its maximum number of slots.
    PrefixSlots,
    /// All slots are held by connections that can't be evicted for this one.
    Full,
}

/// Decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The connection gets a free slot.
    Admit(TrustLevel),
    /// The connection gets the slot of another one, which has no pending request.
    EvictAndAdmit {
        /// The connection to close.
        victim: ConnectionId,
        /// The trust level of the new connection's client.
        trust_level: TrustLevel,
    },
    /// The connection must be closed.
    Reject(RejectReason),
}

/// Counters of the decisions since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Connections that got a slot.
    pub admitted: u64,
    /// Admitted connections that got the slot of an evicted one.
    pub evicted: u64,
    /// Connections rejected by the rate limit of their address or prefix.
    pub rejected_by_rate: u64,
    /// Connections rejected by the slot limit of their address or prefix.
    pub rejected_by_slots: u64,
    /// Connections rejected because no slot was free and none could be evicted.
    pub rejected_as_full: u64,
}

impl Counters {
    pub(crate) fn record(&mut self, decision: Decision) {
        match decision {
            Decision::Admit(_) => self.admitted += 1,
            Decision::EvictAndAdmit { .. } => {
                self.admitted += 1;
                self.evicted += 1;
            }
            Decision::Reject(RejectReason::AddressRate | RejectReason::PrefixRate) => {
                self.rejected_by_rate += 1;
            }
            Decision::Reject(RejectReason::AddressSlots | RejectReason::PrefixSlots) => {
                self.rejected_by_slots += 1;
            }
            Decision::Reject(RejectReason::Full) => self.rejected_as_full += 1,
        }
    }
}
