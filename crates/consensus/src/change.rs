//! The entries of the replicated log: changes of one subject each.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The longest name of a subject, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The largest value of a subject, in bytes: room for an nginx file of routes or for a calendar.
pub const MAX_VALUE_BYTES: usize = 262_144;

/// A version of the replicated table: the number of changes decided up to it.
pub type Epoch = u64;

/// Numbers the starts of a process: higher after each restart. Encoded as its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A number of log entries, counted from the start of the configuration's log. Encoded as its
/// number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogIndex(pub u64);

/// The kind of a [`Subject`].
///
/// The order of the variants is part of the stored and of the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SubjectKind {
    /// The routes of a gateway, as the text that they are parsed from.
    Routes,
    /// The weight of a target in an upstream pool.
    Weight,
    /// Whether a target belongs to an upstream pool.
    Pool,
    /// Whether an instance is draining by plan.
    Drain,
    /// The release that the instances of a host are to run.
    Release,
    /// The calendar of change freezes.
    Calendar,
    /// A permission to make changes during a freeze.
    Override,
}

impl SubjectKind {
    /// All kinds, in the order of their declaration.
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

/// A key of the replicated table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subject {
    /// The kind of the subject.
    pub kind: SubjectKind,
    /// The name of the subject among those of its kind, 1 to [`MAX_NAME_BYTES`] bytes.
    pub name: String,
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} {}", self.kind, self.name)
    }
}

/// Identifies a proposal, so that one decided twice after a retry is applied once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId {
    /// The process that proposed the change.
    pub proposer: u64,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
    /// Rises with each proposal of the incarnation. A process submits its next proposal only once
    /// the one before is decided, so sequence numbers of one process are decided in order.
    pub sequence: u64,
}

/// A change of one subject, proposed to the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Identifies the proposal.
    pub id: ChangeId,
    /// The subject to change.
    pub subject: Subject,
    /// The new value of the subject; `None` removes the subject.
    pub value: Option<Vec<u8>>,
    /// Makes the change conditional: it applies only if the subject was last changed in this epoch.
    /// 0 requires that the subject does not exist.
    pub expected_epoch: Option<Epoch>,
}

/// A change that exceeds the bounds of the table.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidChange {
    /// The name of the subject is empty or too long; the field is its length in bytes.
    #[error("a name must have 1 to {MAX_NAME_BYTES} bytes, not {0}")]
    NameLength(usize),
    /// The value is too large; the field is its length in bytes.
    #[error("a value must have at most {MAX_VALUE_BYTES} bytes, not {0}")]
    ValueTooLarge(usize),
}

impl Change {
    /// Checks the lengths of name and value.
    ///
    /// # Errors
    ///
    /// Returns the first bound that is exceeded.
    pub fn check(&self) -> Result<(), InvalidChange> {
        let name_bytes = self.subject.name.len();
        if !(1..=MAX_NAME_BYTES).contains(&name_bytes) {
            return Err(InvalidChange::NameLength(name_bytes));
        }
        let value_bytes = self.value.as_ref().map_or(0, Vec::len);
        if value_bytes > MAX_VALUE_BYTES {
            return Err(InvalidChange::ValueTooLarge(value_bytes));
        }
        Ok(())
    }
}

/// The library's snapshots are not used: the effect of a change may depend on all changes before
/// it, and the table that is stored with the log serves as the snapshot.
impl omnipaxos::storage::Entry for Change {
    type Snapshot = omnipaxos::storage::NoSnapshot;
}
