//! What a history is told and says: its bounds, what becomes of a try, and what is to be carried out.

use crate::record::{Outcome, Record, ScopedKey};
use cleatpulley_policy::interface::{Micros, RequestId};

/// How much may be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Keys.
    pub entries: usize,
    /// Bytes of results.
    pub bytes: usize,
    /// How long a key is remembered from its run on, or from its first try where nothing ran.
    pub window: Micros,
    /// Where something written is not durable after this time, the store counts as stalled.
    pub stall: Micros,
    /// Mixed into the index, so that nobody can choose keys that meet there.
    pub seed: u64,
}

/// What is to be done with a try that carries a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the first: the controller decides on it as on any other.
    First,
    /// The first is held or runs: this one waits, and is told what the first is told.
    Waits(RequestId),
    /// The first ended, and the store has how.
    Known,
    /// The first may have run, and nobody knows how it ended.
    Unknown,
    /// The key belongs to a request of another class or body.
    OtherRequest,
    /// What is kept is not known yet: whether it may run or be turned away can't be said before.
    NotYet,
    /// Another owner admits keys of its range.
    Elsewhere,
    /// No room for a further key, or nowhere to write it: to be refused, as it never ran.
    NoRoom,
}

/// What is to be carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Write this of a key, until then; [`History::durable`](super::History::durable) is told its ticket once it is durable.
    Write {
        /// Numbers rise; durable means all up to it.
        ticket: u64,
        /// The key.
        key: ScopedKey,
        /// What.
        record: Record,
        /// When it may be forgotten.
        expiry: Micros,
    },
    /// Forget what was written of a key: its intent was never followed by a start.
    Erase {
        /// The key.
        key: ScopedKey,
    },
    /// Start the request: its intent is durable.
    Start(RequestId),
    /// A run that was wanted is not to be started: nobody waits for it any more, or its intent can't be written.
    DropRun(RequestId),
    /// Tell a try how its key ended.
    Tell(RequestId, Outcome),
    /// Turn a try away: its key never ran.
    TurnAway(RequestId),
    /// The first is gone without a run: this try takes its place, and the controller decides on it anew.
    Promote(RequestId),
}
