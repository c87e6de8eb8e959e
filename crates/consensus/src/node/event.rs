//! What a node reports to its owner.

use crate::change::{Change, Epoch};
use crate::configuration::{Configuration, NodeId};
use crate::table::Outcome;

/// A change in the state of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A change was decided.
    Decided {
        /// The epoch that the change brought about: its place among all decided changes.
        epoch: Epoch,
        /// The change.
        change: Change,
        /// The effect of the change on the table.
        outcome: Outcome,
    },
    /// The table was replaced by one of this epoch, without a [`Decided`](Self::Decided) for each
    /// change in between.
    TableInstalled(Epoch),
    /// The leader has changed; `None` if no leader is known.
    LeaderChanged(Option<NodeId>),
    /// The lease is held: the current epoch may be acted on.
    LeaseAcquired,
    /// The lease has expired: the current epoch may no longer be acted on.
    LeaseExpired,
    /// Another configuration is in force.
    ConfigurationChanged(Configuration),
    /// The node has failed and sends nothing more; [`Node::failure`](super::Node::failure) returns
    /// the cause.
    Failed,
}
