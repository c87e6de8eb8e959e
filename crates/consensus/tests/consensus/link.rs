//! One direction of a session between two processes.

use cleatpulley_consensus::NodeId;

/// The direction of a session in which messages travel from one process to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link {
    pub sender: NodeId,
    pub recipient: NodeId,
}

impl Link {
    /// Returns both directions of the session between two processes.
    pub fn both([first, second]: [NodeId; 2]) -> [Self; 2] {
        let forth = Self {
            sender: first,
            recipient: second,
        };
        let back = Self {
            sender: second,
            recipient: first,
        };
        [forth, back]
    }
}
