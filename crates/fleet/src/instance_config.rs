//! The configuration that an instance is started with: its slot and its release.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A name, a listen address and a configuration, used by one instance at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Name of the slot, which is also the name of its matcher.
    pub name: String,
    /// Address on which the matcher listens.
    pub listen: SocketAddr,
    /// Path of the platform's configuration of the matcher.
    pub config: PathBuf,
}

/// What the instances of a generation run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Path of the program.
    pub program: PathBuf,
    /// Path of the operator file; `{place}` in it stands for the slot's name.
    #[serde(default)]
    pub operator: Option<PathBuf>,
}
