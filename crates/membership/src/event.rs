//! Events and members that a [`Membership`](crate::Membership) reports to its caller.

use crate::identity::Identity;
use crate::incarnation::IncarnationMark;

/// A change of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A process became a member, or a member rejoined under another incarnation.
    Up(Identity),
    /// A member was declared down, left, or was replaced by another incarnation.
    Down(Identity),
    /// This process had been declared down by other processes, and rejoined under this
    /// incarnation.
    Rejoined(u64),
    /// Another process has the same name as this one at another address, and takes precedence. This
    /// process is not a member until that process is down.
    Superseded(Identity),
    /// The caller has to make this mark durable before the process is restarted: see
    /// [`Incarnations`](crate::incarnation::Incarnations).
    PersistMark(IncarnationMark),
    /// All incarnations have been used; this process has left the cluster for good.
    IncarnationsExhausted,
}

/// Another member of the cluster, as seen by this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity of the member.
    pub identity: Identity,
    /// Whether the member is suspected: it acknowledged neither a direct nor an indirect probe, and
    /// is declared down unless it refutes the suspicion in time.
    pub is_suspected: bool,
}
