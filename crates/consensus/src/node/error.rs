//! The errors of a node.

use crate::change::InvalidChange;
use crate::configuration::MembersError;
use crate::log::LogError;
use crate::settings::SettingsError;
use crate::storage::StorageError;
use omnipaxos::errors::ConfigError;

/// A node that can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting is out of bounds.
    #[error("the setting `{}` is invalid", .0.key())]
    Settings(#[from] SettingsError),
    /// The log can't be recovered.
    #[error("the log can't be recovered")]
    Log(#[from] LogError),
    /// The consensus library rejects the configuration.
    #[error("the consensus library rejects the configuration")]
    Configuration(#[from] ConfigError),
}

/// Why a running node has failed. It sends nothing more until it is started anew.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The storage failed, so that nothing more can be promised durably.
    #[error("the storage of the log has failed")]
    Storage(#[from] StorageError),
    /// The consensus library rejects a later configuration.
    #[error("the consensus library rejects the configuration")]
    Configuration(#[from] ConfigError),
}

/// A change that can't be proposed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Too many changes of this process are not decided yet.
    #[error("too many changes are pending")]
    QueueFull,
    /// The change exceeds the bounds of the table.
    #[error("the change is invalid")]
    InvalidChange(#[from] InvalidChange),
}

/// A configuration that can't be proposed.
#[derive(Debug, thiserror::Error)]
pub enum ReconfigureError {
    /// The members can't form a group.
    #[error("the members can't form a group")]
    Members(#[from] MembersError),
    /// This process is not a member of the current configuration.
    #[error("this process is not a member of the current configuration")]
    NotAMember,
    /// Another configuration is being decided.
    #[error("another configuration is being decided")]
    ChangeInProgress,
    /// The consensus library rejects the configuration.
    #[error("the consensus library rejects the configuration")]
    Rejected(#[source] ConfigError),
}
