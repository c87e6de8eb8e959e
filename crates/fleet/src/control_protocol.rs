//! The protocol on the daemon's control socket: commands and responses, each a JSON object on a line of its own.

use crate::instance_config::{Release, Slot};
use crate::plan::{Phase, ReplacementMode};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// A command to the daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum ControlCommand {
    /// Show the fleet.
    Status,
    /// Replace all instances by another generation.
    Replace {
        /// The new generation.
        generation: u32,
        /// Releases with their generations, for those that the daemon does not know yet. They are pairs because serde
        /// can't read a map with integer keys within an internally tagged enum: JSON has them as strings.
        releases: Vec<(u32, Release)>,
    },
    /// Pause the replacement.
    Pause,
    /// Resume the paused replacement.
    Resume,
    /// Roll the replacement back.
    Rollback,
    /// Drain all instances, and exit once they have ended.
    #[serde(rename = "down")]
    Shutdown,
}

/// The daemon's response to a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlResponse {
    /// The state of the fleet after the command.
    Fleet(Box<FleetView>),
    /// The command was rejected, with the reason.
    #[serde(rename = "refused")]
    Rejected(String),
}

/// State of a fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Process id of the daemon.
    #[serde(rename = "daemon")]
    pub daemon_pid: u32,
    /// Version of the table of instances.
    pub version: u64,
    /// The generation that all instances run, or ran before the current replacement.
    #[serde(rename = "stable")]
    pub stable_generation: u32,
    /// The current replacement.
    pub replacement: Option<ReplacementView>,
    /// Capacity of the serving instances, in warm instances.
    pub capacity: f64,
    /// Capacity below which no instance is drained, in warm instances.
    pub floor: f64,
    /// Whether the fleet is in its target state.
    #[serde(rename = "at_rest")]
    pub converged: bool,
    /// Whether the fleet is shutting down.
    #[serde(rename = "ends")]
    pub shutting_down: bool,
    /// Why the last replacement was rolled back automatically.
    #[serde(rename = "halted")]
    pub rollback_reason: Option<String>,
    /// The instances that have not terminated.
    pub instances: Vec<InstanceView>,
    /// The most recently terminated instances, the latest last.
    #[serde(rename = "gone")]
    pub terminated: Vec<TerminatedInstanceView>,
}

/// State of a replacement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplacementView {
    /// The new generation.
    pub generation: u32,
    /// Current direction.
    pub mode: ReplacementMode,
    /// Current target number of instances of the new generation.
    #[serde(rename = "quota")]
    pub target_count: usize,
    /// Number of failed instances of the new generation.
    #[serde(rename = "crashes")]
    pub failures: u32,
    /// Seconds since the replacement began.
    pub age_s: f64,
    /// Why the replacement is rolled back automatically.
    #[serde(rename = "halted")]
    pub rollback_reason: Option<String>,
}

/// State of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceView {
    /// The slot that the instance occupies.
    #[serde(flatten)]
    pub slot: Slot,
    /// The instance's number.
    pub incarnation: u64,
    /// The generation that the instance runs.
    pub generation: u32,
    /// Current phase.
    pub phase: Phase,
    /// Seconds since the current phase began.
    pub phase_s: f64,
    /// Process id, if known.
    pub pid: Option<u32>,
    /// Speed relative to a warm instance, from 0 to 1.
    pub warmth: f64,
    /// Recent rate of completed requests, whatever their outcome, per second.
    pub rate: f64,
    /// Share of rejected requests among those counted by `rate`.
    #[serde(rename = "refused_share")]
    pub rejected_share: f64,
    /// Number of requests without a response yet.
    #[serde(rename = "held")]
    pub open_requests: usize,
    /// Requests served since the instance started.
    pub served: u64,
    /// Requests rejected since the instance started.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests failed or served late since the instance started.
    pub failed: u64,
}

/// State of a terminated instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminatedInstanceView {
    /// The instance's number.
    pub incarnation: u64,
    /// The generation that the instance ran.
    pub generation: u32,
    /// Stopped or failed.
    pub phase: Phase,
    /// Why the instance failed.
    #[serde(rename = "why")]
    pub failure_reason: Option<String>,
    /// Path of the instance's log.
    #[serde(rename = "log")]
    pub log_path: PathBuf,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_command_survives_encoding_and_decoding() {
        let release = Release {
            program: "/p".into(),
            operator: Some("/o".into()),
        };
        let replace = ControlCommand::Replace {
            generation: 2,
            releases: vec![(1, release.clone()), (2, release)],
        };
        for command in [
            ControlCommand::Status,
            replace,
            ControlCommand::Pause,
            ControlCommand::Resume,
            ControlCommand::Rollback,
            ControlCommand::Shutdown,
        ] {
            let text = serde_json::to_string(&command).expect("encodes");
            assert_eq!(
                serde_json::from_str::<ControlCommand>(&text).expect("decodes"),
                command,
                "{text}"
            );
        }
    }
}
