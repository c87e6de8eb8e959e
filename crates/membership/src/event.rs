//! What a [`Membership`](crate::Membership) reports to its caller.

use crate::identity::Identity;
use crate::incarnation::IncarnationMark;

/// A change that the caller has to know of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A process became a member, or a member came back under another incarnation.
    Up(Identity),
    /// A member was declared down, left, or was replaced by another incarnation.
    Down(Identity),
    /// Other processes had declared this one down; it joined again under this incarnation.
    Rejoined(u64),
    /// Another process has the name of this one at another address, and takes precedence. This
    /// process is not a member until that one is down.
    Superseded(Identity),
    /// This mark has to be durable before the process may be restarted: see
    /// [`Incarnations`](crate::incarnation::Incarnations).
    PersistMark(IncarnationMark),
    /// All incarnations have been used; this process takes no further part.
    IncarnationsExhausted,
}

/// Another process, as seen from this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its identity.
    pub identity: Identity,
    /// Whether it is suspected: it acknowledged neither a probe nor an indirect probe, and is
    /// declared down unless it refutes the suspicion in time.
    pub suspected: bool,
}
