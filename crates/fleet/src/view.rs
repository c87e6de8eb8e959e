//! What the daemon shows of a fleet, and what it is asked: a JSON object in a line each way.

use crate::instance_config::{Release, Slot};
use crate::plan::{Mode, Phase};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// What the daemon is asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Ask {
    /// To show the fleet.
    Status,
    /// To replace all by this generation; releases that it does not know yet come along.
    Replace {
        /// The generation.
        generation: u32,
        /// Releases with their generations; pairs, as a map's keys would come as text and not be read within a tagged object.
        releases: Vec<(u32, Release)>,
    },
    /// To stop a replacement where it stands.
    Pause,
    /// To let it go on.
    Resume,
    /// To go back.
    Rollback,
    /// To tell all to leave, and to end once they have.
    Down,
}

/// What it answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The fleet.
    Fleet(Box<View>),
    /// Why it does not do it.
    Refused(String),
}

/// A fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The daemon's process id.
    pub daemon: u32,
    /// The version of the table of instances.
    pub version: u64,
    /// What all run, or ran before the replacement that is on.
    pub stable: u32,
    /// The replacement that is on.
    pub replacement: Option<ReplacementView>,
    /// Capacity and its floor, in warm instances.
    pub capacity: f64,
    /// Below it nobody is told to leave.
    pub floor: f64,
    /// All is as it should be.
    pub at_rest: bool,
    /// The fleet ends.
    pub ends: bool,
    /// Why the last replacement went back by itself.
    pub halted: Option<String>,
    /// Instances.
    pub instances: Vec<InstanceView>,
    /// Those that are gone, the latest last.
    pub gone: Vec<GoneView>,
}

/// A replacement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplacementView {
    /// The new generation.
    pub generation: u32,
    /// How it goes on.
    pub mode: Mode,
    /// So many of it are wanted now.
    pub quota: usize,
    /// Failures of it.
    pub crashes: u32,
    /// Seconds since its begin.
    pub age_s: f64,
    /// Why it goes back by itself.
    pub halted: Option<String>,
}

/// An instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceView {
    /// Its place.
    #[serde(flatten)]
    pub place: Slot,
    /// Its number.
    pub incarnation: u64,
    /// What it runs.
    pub generation: u32,
    /// Where it stands.
    pub phase: Phase,
    /// For so many seconds.
    pub phase_s: f64,
    /// Its process, where one is known.
    pub pid: Option<u32>,
    /// Its speed, as a share of a warm one's.
    pub warmth: f64,
    /// Requests a second that it answered lately, whatever the answer.
    pub rate: f64,
    /// The share of these that it refused.
    pub refused_share: f64,
    /// Requests that owe an answer.
    pub held: usize,
    /// Served since its start.
    pub served: u64,
    /// Refused since its start.
    pub refused: u64,
    /// Failed or late since its start.
    pub failed: u64,
}

/// One that is gone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GoneView {
    /// Its number.
    pub incarnation: u64,
    /// What it ran.
    pub generation: u32,
    /// Stopped or failed.
    pub phase: Phase,
    /// Why it failed.
    pub why: Option<String>,
    /// Its log.
    pub log: PathBuf,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_asked_is_read_as_it_was_meant() {
        let release = Release {
            program: "/p".into(),
            operator: Some("/o".into()),
        };
        let replace = Ask::Replace {
            generation: 2,
            releases: vec![(1, release.clone()), (2, release)],
        };
        for ask in [
            Ask::Status,
            replace,
            Ask::Pause,
            Ask::Resume,
            Ask::Rollback,
            Ask::Down,
        ] {
            let text = serde_json::to_string(&ask).expect("it can be written");
            assert_eq!(
                serde_json::from_str::<Ask>(&text).expect("it can be read"),
                ask,
                "{text}"
            );
        }
    }
}
