//! What is decided on a new connection, and counters of the decisions.

/// The number by which the listener identifies a connection.
pub type ConnectionId = u64;

/// How a client is known; a greater one has the better right to a connection slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrustLevel {
    /// It is not known.
    Unknown,
    /// Its address has reputation.
    Reputable,
    /// An operator has named its address, or a name of its certificate.
    Allowlisted,
}

/// Why a connection is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// Its address exceeds its rate of new connections.
    AddressRate,
    /// Its prefix exceeds its rate of new connections.
    PrefixRate,
    /// Its address holds as many slots as it may.
    AddressSlots,
    /// Its prefix holds as many slots as it may.
    PrefixSlots,
    /// All slots are held by connections that have no less right to them.
    Full,
}

/// What is to be done with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It gets a free slot.
    Admit(TrustLevel),
    /// It gets the slot of another connection, which has no pending request.
    EvictAndAdmit {
        /// The connection that is to be closed.
        victim: ConnectionId,
        /// How the client of the new one is known.
        trust_level: TrustLevel,
    },
    /// It is to be closed.
    Reject(RejectReason),
}

/// Counters of the decisions since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Connections that got a slot.
    pub admitted: u64,
    /// Of those, connections that got the slot of another.
    pub evicted: u64,
    /// Connections rejected for the rate of their address or prefix.
    pub rejected_by_rate: u64,
    /// Connections rejected for the slots of their address or prefix.
    pub rejected_by_slots: u64,
    /// Connections rejected because all slots were held.
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
