//! The configuration of the group: which processes are members.

use crate::change::Epoch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Identifies a process of the group; configured by the operator, 1 to 64.
pub type NodeId = u64;

/// Identifies a configuration; rises by one with each.
pub type ConfigurationId = u32;

/// The id of the configuration that a new group starts with.
pub const INITIAL_CONFIGURATION_ID: ConfigurationId = 1;

/// The ids that a process may have.
pub const NODE_IDS: RangeInclusive<NodeId> = 1..=64;

/// A configuration of the group. Each has a log of its own, which starts from the table that the
/// previous configuration ended with.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Configuration {
    /// Identifies the configuration.
    pub id: ConfigurationId,
    /// The processes that vote.
    pub members: Vec<NodeId>,
    /// The epoch that the previous configuration ended with: the number of changes decided before
    /// the log of this one.
    pub base_epoch: Epoch,
}

impl Configuration {
    /// Returns the configuration that a new group starts with.
    #[must_use]
    pub fn initial(members: Vec<NodeId>) -> Self {
        Self {
            id: INITIAL_CONFIGURATION_ID,
            members,
            base_epoch: 0,
        }
    }

    /// Returns whether the process is a member.
    #[must_use]
    pub fn has_member(&self, node: NodeId) -> bool {
        self.members.contains(&node)
    }

    /// Returns the number of members that form a majority quorum.
    #[must_use]
    pub fn quorum_size(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// A list of members that can't form a group.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MembersError {
    /// The number of members is not 3, 5 or 7.
    #[error("a group must have 3, 5 or 7 members, not {0}")]
    Count(usize),
    /// A process is listed twice.
    #[error("the members of a group must be distinct")]
    Duplicate,
    /// A member's id is out of bounds.
    #[error("the id of a member must be between 1 and 64, not {0}")]
    NodeIdOutOfRange(NodeId),
}

/// Checks that the processes can form a group.
///
/// # Errors
///
/// Returns the first rule that the list violates.
pub fn check_members(members: &[NodeId]) -> Result<(), MembersError> {
    let distinct: BTreeSet<&NodeId> = members.iter().collect();
    if distinct.len() != members.len() {
        return Err(MembersError::Duplicate);
    }
    if !matches!(members.len(), 3 | 5 | 7) {
        return Err(MembersError::Count(members.len()));
    }
    match members.iter().find(|member| !NODE_IDS.contains(member)) {
        Some(&member) => Err(MembersError::NodeIdOutOfRange(member)),
        None => Ok(()),
    }
}
