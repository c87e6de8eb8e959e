//! Kinds of handshakes, and their priorities.

use crate::decision::TrustLevel;

/// The properties of a handshake that determine its priority and cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandshakeKind {
    /// Whether the ClientHello offers to resume a session.
    pub is_resumption: bool,
    /// The trust level of the client's address.
    pub trust_level: TrustLevel,
}

/// The priority of a handshake; the lowest value begins first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// A resumption of a known client.
    KnownResumption,
    /// A full handshake of a known client.
    KnownFull,
    /// A resumption of an unknown client.
    UnknownResumption,
    /// A full handshake of an unknown client, the only kind that may not use the reserve.
    UnknownFull,
}

impl Priority {
    pub(super) fn may_use_reserve(self) -> bool {
        self != Self::UnknownFull
    }
}

impl HandshakeKind {
    pub(super) fn priority(self) -> Priority {
        let is_known = self.trust_level > TrustLevel::Unknown;
        match (is_known, self.is_resumption) {
            (true, true) => Priority::KnownResumption,
            (true, false) => Priority::KnownFull,
            (false, true) => Priority::UnknownResumption,
            (false, false) => Priority::UnknownFull,
        }
    }
}
