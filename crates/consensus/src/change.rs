//! What is agreed on.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Bytes of a name.
pub const MOST_NAME: usize = 128;
/// Bytes of a value: an nginx file of routes, a calendar.
pub const MOST_VALUE: usize = 262_144;

/// What a subject is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// The routes of a gateway, as the text they are read from.
    Routes,
    /// The weight of a target in a pool.
    Weight,
    /// Whether a target belongs to a pool.
    Pool,
    /// Whether an instance drains by plan.
    Drain,
    /// The release that a host's instances are to have.
    Release,
    /// The calendar of freezes.
    Calendar,
    /// A permission to change in spite of one.
    Override,
}

impl Kind {
    /// All.
    pub const ALL: [Self; 7] = [
        Self::Routes,
        Self::Weight,
        Self::Pool,
        Self::Drain,
        Self::Release,
        Self::Calendar,
        Self::Override,
    ];
}

/// What a change is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// What it is.
    pub kind: Kind,
    /// Which one.
    pub name: String,
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}", self.kind, self.name)
    }
}

/// Who asked for a change, in which of its lives, and the how-manieth it was there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId {
    /// The process.
    pub process: u64,
    /// Its life.
    pub incarnation: u64,
    /// Rises within it. The next is asked for once this one is decided.
    pub number: u64,
}

/// A change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Whose it is.
    pub id: ChangeId,
    /// What it is about.
    pub subject: Subject,
    /// The new value; none removes it.
    pub value: Option<Vec<u8>>,
    /// The epoch of the subject that the asker knew, where the change holds only for that: 0 for one that was not there.
    pub seen: Option<u64>,
}

/// Why a change is not asked for.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadChange {
    /// Its name.
    #[error("a name has 1 to {MOST_NAME} bytes, and not {0}")]
    Name(usize),
    /// Its value.
    #[error("a value has {MOST_VALUE} bytes at most, and not {0}")]
    Value(usize),
}

impl Change {
    /// Looks whether it is bounded.
    ///
    /// # Errors
    /// What is not.
    pub fn check(&self) -> Result<(), BadChange> {
        let (name, value) = (
            self.subject.name.len(),
            self.value.as_ref().map_or(0, Vec::len),
        );
        if !(1..=MOST_NAME).contains(&name) {
            return Err(BadChange::Name(name));
        }
        if value > MOST_VALUE {
            return Err(BadChange::Value(value));
        }
        Ok(())
    }
}

/// The library's own snapshots are not used: a change may depend on all before it, and the table is kept beside the log.
impl omnipaxos::storage::Entry for Change {
    type Snapshot = omnipaxos::storage::NoSnapshot;
}
