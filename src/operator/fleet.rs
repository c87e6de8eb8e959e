//! The `fleet` section of the operator file: places, releases, limits, and the properties that the planner needs.

use super::{evaluate, find_line, key_error, KeyError, OperatorFileError};
use cleatpulley_fleet::instance_config::{Release, Slot};
use cleatpulley_fleet::plan::FleetSettings;
use cleatpulley_fleet::planner::{Forecast, HostProfile, PlannerInput};
use cleatpulley_fleet::regression::RegressionThresholds;
use cleatpulley_fleet::restart::RestartPolicy;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const MICROS_PER_MS: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Deserialize)]
struct File {
    fleet: FleetSection,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetSection {
    folder: PathBuf,
    listen: Option<String>,
    instances: usize,
    #[serde(rename = "places")]
    slots: Vec<SlotSection>,
    releases: BTreeMap<u32, Release>,
    #[serde(default = "default_to_one")]
    surge: usize,
    #[serde(default = "default_to_one")]
    batch: usize,
    #[serde(rename = "minimum")]
    min_capacity: Option<f64>,
    #[serde(default)]
    timeouts_ms: TimeoutsSection,
    #[serde(default = "default_failure_limit", rename = "crashes")]
    failure_limit: u32,
    #[serde(default, rename = "worse")]
    regression: RegressionSection,
    #[serde(default)]
    restart: RestartSection,
    host: Option<HostSection>,
    #[serde(default)]
    demand: Vec<(f64, f64)>,
    #[serde(default = "default_headroom")]
    headroom: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SlotSection {
    name: String,
    listen: Option<String>,
    config: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TimeoutsSection {
    start: u64,
    warm: u64,
    drain: u64,
    silent: u64,
}

impl Default for TimeoutsSection {
    fn default() -> Self {
        Self {
            start: 5_000,
            warm: 120_000,
            drain: 10_000,
            silent: 2_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RegressionSection {
    #[serde(rename = "samples")]
    min_samples: u64,
    #[serde(rename = "refused")]
    max_rejected_increase: f64,
    #[serde(rename = "failed")]
    max_failed_increase: f64,
    #[serde(rename = "late")]
    max_late_increase: f64,
    #[serde(rename = "errors")]
    standard_errors: f64,
}

impl Default for RegressionSection {
    fn default() -> Self {
        Self {
            min_samples: 500,
            max_rejected_increase: 0.05,
            max_failed_increase: 0.01,
            max_late_increase: 0.05,
            standard_errors: 4.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RestartSection {
    #[serde(rename = "first_ms")]
    initial_delay_ms: u64,
    #[serde(rename = "most_ms")]
    max_delay_ms: u64,
    budget: usize,
    #[serde(rename = "within_ms")]
    budget_window_ms: u64,
}

impl Default for RestartSection {
    fn default() -> Self {
        Self {
            initial_delay_ms: 200,
            max_delay_ms: 30_000,
            budget: 20,
            budget_window_ms: 60_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HostSection {
    cores: f64,
    #[serde(rename = "cores_each")]
    cores_per_instance: f64,
    #[serde(rename = "rate_each")]
    rate_per_instance: f64,
    start_ms: u64,
    #[serde(rename = "cold_from")]
    initial_warmth: f64,
    #[serde(rename = "warm_ms")]
    warm_up_ms: u64,
    drain_ms: u64,
}

fn default_to_one() -> usize {
    1
}

fn default_failure_limit() -> u32 {
    3
}

fn default_headroom() -> f64 {
    0.1
}

/// The checked configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The folder of the daemon's state and sockets.
    pub folder: PathBuf,
    /// The listen address that all instances share, if they do.
    pub shared_address: Option<SocketAddr>,
    /// Slots, at least as many as instances plus surge.
    pub slots: Vec<Slot>,
    /// Releases by generation.
    pub releases: BTreeMap<u32, Release>,
    /// Size, limits and timeouts of the fleet.
    pub settings: FleetSettings,
    /// Input of the planner, if the file describes the host.
    pub planner_input: Option<PlannerInput>,
}

impl FleetConfig {
    /// Reads the `fleet` section of an operator file; other sections are ignored.
    ///
    /// # Errors
    /// The file is invalid; the error has the file, the line if known, the key, and what is wrong.
    pub fn load(file: &Path) -> Result<Self, OperatorFileError> {
        let json = evaluate(file)?;
        let source = std::fs::read_to_string(file).unwrap_or_default();
        Self::parse(&json).map_err(|(key, message)| {
            let line = find_line(&source, &key, &message);
            OperatorFileError {
                file: file.to_owned(),
                line,
                key,
                message,
            }
        })
    }

    fn parse(json: &str) -> Result<Self, KeyError> {
        let mut reader = serde_json::Deserializer::from_str(json);
        let file: File = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let key = e.path().to_string();
            let message = e.into_inner().to_string();
            let message = message
                .split(" at line ")
                .next()
                .unwrap_or_default()
                .to_owned();
            (if key == "." { "fleet".to_owned() } else { key }, message)
        })?;
        file.fleet
            .check()
            .map_err(|(key, message)| (format!("fleet.{key}"), message))
    }
}

impl FleetSection {
    fn check(self) -> Result<FleetConfig, KeyError> {
        let needed = self.instances.saturating_add(self.surge);
        if self.slots.len() < needed {
            let message = format!(
                "{} for {} instances and a surge of {}: one is needed for each",
                self.slots.len(),
                self.instances,
                self.surge
            );
            return key_error("places", message);
        }
        let shared_address = self
            .listen
            .as_deref()
            .map(|text| parse_address("listen".to_owned(), text))
            .transpose()?;
        let slots = check_slots(&self.slots, shared_address)?;
        if self.releases.is_empty() {
            return key_error("releases", "none: at least one release is needed");
        }
        let min_missing = if self.surge == 0 { 1 } else { 0 };
        let min_capacity = self
            .min_capacity
            .unwrap_or(self.instances.saturating_sub(min_missing.max(self.batch)) as f64);
        let settings = FleetSettings {
            instances: self.instances,
            surge: self.surge,
            batch: self.batch,
            min_capacity,
            start_timeout: self.timeouts_ms.start.saturating_mul(MICROS_PER_MS),
            warm_up_timeout: self.timeouts_ms.warm.saturating_mul(MICROS_PER_MS),
            drain_timeout: self.timeouts_ms.drain.saturating_mul(MICROS_PER_MS),
            report_timeout: self.timeouts_ms.silent.saturating_mul(MICROS_PER_MS),
            failure_limit: self.failure_limit.max(1),
            regression: RegressionThresholds {
                min_samples: self.regression.min_samples,
                max_rejected_increase: self.regression.max_rejected_increase,
                max_failed_increase: self.regression.max_failed_increase,
                max_late_increase: self.regression.max_late_increase,
                standard_errors: self.regression.standard_errors,
            },
            restart: RestartPolicy {
                initial_delay: self.restart.initial_delay_ms.saturating_mul(MICROS_PER_MS),
                max_delay: self.restart.max_delay_ms.saturating_mul(MICROS_PER_MS),
                budget: self.restart.budget.max(1),
                budget_window: self.restart.budget_window_ms.saturating_mul(MICROS_PER_MS),
            },
        };
        // The message begins with the key, if it is about a single setting.
        settings.check().map_err(|error| {
            let text = error.to_string();
            match text.split_once(": ") {
                Some((key, message)) if !key.contains(' ') => (key.to_owned(), message.to_owned()),
                _ => ("minimum".to_owned(), text),
            }
        })?;
        let host = self.host.as_ref().map(HostSection::check).transpose()?;
        let planner_input = match host {
            None => None,
            Some(host) => Some(PlannerInput {
                settings,
                host,
                demand: check_forecast(&self.demand)?,
                headroom: self.headroom.max(0.0),
            }),
        };
        Ok(FleetConfig {
            folder: self.folder,
            shared_address,
            slots,
            releases: self.releases,
            settings,
            planner_input,
        })
    }
}

fn parse_address(key: String, text: &str) -> Result<SocketAddr, KeyError> {
    let message = || format!("{text:?} is not an address and port, such as 127.0.0.1:5050");
    text.parse().map_err(|_| (key, message()))
}

fn check_slots(
    sections: &[SlotSection],
    shared_address: Option<SocketAddr>,
) -> Result<Vec<Slot>, KeyError> {
    let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    let check_slot = |(i, section): (usize, &SlotSection)| {
        let is_name_character = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if section.name.is_empty() || !section.name.chars().all(is_name_character) {
            let message = format!(
                "{:?} is not a name of letters, digits, '-', '_' and '.'",
                section.name
            );
            return key_error(format!("places[{i}].name"), message);
        }
        let key = || format!("places[{i}].listen");
        let listen = match (&section.listen, shared_address) {
            (Some(text), None) => parse_address(key(), text)?,
            (None, Some(shared_address)) => shared_address,
            (Some(_), Some(_)) => {
                return key_error(
                    key(),
                    "conflicts with fleet.listen, the address of all places",
                )
            }
            (None, None) => {
                return key_error(
                    key(),
                    "missing, and there is no fleet.listen for all places",
                )
            }
        };
        if !names.insert(section.name.clone()) {
            return key_error(
                format!("places[{i}].name"),
                format!("{:?} is used twice", section.name),
            );
        }
        if shared_address.is_none() && !addresses.insert(listen) {
            return key_error(key(), format!("{listen} is used twice"));
        }
        Ok(Slot {
            name: section.name.clone(),
            listen,
            config: section.config.clone(),
        })
    };
    sections.iter().enumerate().map(check_slot).collect()
}

impl HostSection {
    fn check(&self) -> Result<HostProfile, KeyError> {
        let positive = [
            ("cores", self.cores),
            ("cores_each", self.cores_per_instance),
            ("rate_each", self.rate_per_instance),
            ("cold_from", self.initial_warmth),
        ];
        for (key, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return key_error(
                    format!("host.{key}"),
                    format!("{value} is not greater than 0"),
                );
            }
        }
        if self.initial_warmth > 1.0 {
            return key_error(
                "host.cold_from",
                format!("{} is a share above 1", self.initial_warmth),
            );
        }
        Ok(HostProfile {
            cores: self.cores,
            cores_per_instance: self.cores_per_instance,
            rate_per_instance: self.rate_per_instance,
            start_duration: self.start_ms.saturating_mul(MICROS_PER_MS),
            initial_warmth: self.initial_warmth,
            warm_up_duration: self.warm_up_ms.saturating_mul(MICROS_PER_MS),
            drain_duration: self.drain_ms.saturating_mul(MICROS_PER_MS),
        })
    }
}

fn check_forecast(points: &[(f64, f64)]) -> Result<Forecast, KeyError> {
    let mut previous = -1.0;
    let mut checked = Vec::new();
    for (i, &(seconds, rate)) in points.iter().enumerate() {
        if !(seconds.is_finite() && (0.0..1e7).contains(&seconds) && seconds > previous) {
            let message = format!("{seconds} is not a time in seconds after the previous point");
            return key_error(format!("demand[{i}]"), message);
        }
        if !(rate.is_finite() && rate >= 0.0) {
            return key_error(
                format!("demand[{i}]"),
                format!("{rate} is not a number of requests per second"),
            );
        }
        previous = seconds;
        checked.push(((seconds * MICROS_PER_SECOND as f64) as u64, rate));
    }
    Ok(Forecast(checked))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn check_changed(replacement: &str) -> String {
        let text = r#"{"fleet": {"folder": "/f", "instances": 1, "surge": 1, "minimum": 1, "releases": {"1": {"program": "/p"}},
            "places": [{"name": "a", "listen": "127.0.0.1:1", "config": "/a"},
                       {"name": "b", "listen": "127.0.0.1:2", "config": "/b"}]}}"#;
        let (from, to) = replacement
            .split_once(" => ")
            .unwrap_or((replacement, replacement));
        assert!(text.contains(from), "{from}");
        match FleetConfig::parse(&text.replace(from, to)) {
            Ok(_) => "valid".to_owned(),
            Err((key, message)) => format!("{key}: {message}"),
        }
    }

    #[test]
    fn every_error_names_its_key() {
        assert_eq!(check_changed("127.0.0.1:2"), "valid");
        for (replacement, expected) in [
            (
                "127.0.0.1:2 => 127.0.0.1:1",
                "fleet.places[1].listen: 127.0.0.1:1 is used twice",
            ),
            (
                "127.0.0.1:2 => here",
                "fleet.places[1].listen: \"here\" is not",
            ),
            (
                "\"b\" => \"a\"",
                "fleet.places[1].name: \"a\" is used twice",
            ),
            (
                "\"surge\": 1 => \"surge\": 2",
                "fleet.places: 2 for 1 instances and a surge of 2",
            ),
            (
                "\"minimum\": 1 => \"minimum\": 2",
                "fleet.minimum: not between 0 and",
            ),
            (
                "\"surge\": 1 => \"surge\": 0",
                "fleet.minimum: with 1 instances, a surge of 0",
            ),
            (
                "\"minimum\": 1 => \"minimum\": 1, \"pace\": 2",
                "fleet.pace: unknown field `pace`",
            ),
            (
                "{\"1\": {\"program\": \"/p\"}} => {}",
                "fleet.releases: none",
            ),
            ("\"1\": {\"program => \"x\": {\"program", "fleet.releases"),
        ] {
            let message = check_changed(replacement);
            assert!(message.starts_with(expected), "{replacement}: {message}");
        }
    }
}
