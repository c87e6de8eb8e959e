//! What is decided on a new connection, and counters of the decisions.

/// The number by which the listener identifies a connection.
pub type ConnectionId = u64;

/// How a client is known; a greater one has the better right to a connection slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum KnownBy {
    /// It is not known.
    Unknown,
    /// Its address has reputation.
    Earned,
    /// An operator has named its address, or a name of its certificate.
    Named,
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
    Admit(KnownBy),
    /// It gets the slot of the connection of this number, which owes no response and is to be
    /// closed.
    Instead(ConnectionId, KnownBy),
    /// It is to be closed.
    Refuse(RejectReason),
}

/// Counters of the decisions since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Connections that got a slot.
    pub admitted: u64,
    /// Of those, connections that got the slot of another.
    pub instead: u64,
    /// Connections rejected for the rate of their address or prefix.
    pub rate: u64,
    /// Connections rejected for the slots of their address or prefix.
    pub places: u64,
    /// Connections rejected because all slots were held.
    pub full: u64,
}

impl Counters {
    pub(crate) fn record(&mut self, decision: Decision) {
        match decision {
            Decision::Admit(_) => self.admitted += 1,
            Decision::Instead(..) => {
                self.admitted += 1;
                self.instead += 1;
            }
            Decision::Refuse(RejectReason::AddressRate | RejectReason::PrefixRate) => {
                self.rate += 1;
            }
            Decision::Refuse(RejectReason::AddressSlots | RejectReason::PrefixSlots) => {
                self.places += 1;
            }
            Decision::Refuse(RejectReason::Full) => self.full += 1,
        }
    }
}
