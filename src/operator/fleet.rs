//! The section on a fleet: its places, releases and bounds, and what is known for planning.

use super::{evaluate, locate, wrong, Fault, Wrong};
use cleatpulley_fleet::instance_config::{Release, Slot};
use cleatpulley_fleet::plan::Bounds;
use cleatpulley_fleet::planner::{Forecast, Host, Question};
use cleatpulley_fleet::regression::RegressionThresholds;
use cleatpulley_fleet::restart::RestartPolicy;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;

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
    places: Vec<PlaceSection>,
    releases: BTreeMap<u32, Release>,
    #[serde(default = "one")]
    surge: usize,
    #[serde(default = "one")]
    batch: usize,
    minimum: Option<f64>,
    #[serde(default)]
    timeouts_ms: Timeouts,
    #[serde(default = "crashes")]
    crashes: u32,
    #[serde(default)]
    worse: Worse,
    #[serde(default)]
    restart: Restart,
    host: Option<HostSection>,
    #[serde(default)]
    demand: Vec<(f64, f64)>,
    #[serde(default = "headroom")]
    headroom: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlaceSection {
    name: String,
    listen: Option<String>,
    config: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Timeouts {
    start: u64,
    warm: u64,
    drain: u64,
    silent: u64,
}

impl Default for Timeouts {
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
struct Worse {
    samples: u64,
    refused: f64,
    failed: f64,
    late: f64,
    errors: f64,
}

impl Default for Worse {
    fn default() -> Self {
        Self {
            samples: 500,
            refused: 0.05,
            failed: 0.01,
            late: 0.05,
            errors: 4.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Restart {
    first_ms: u64,
    most_ms: u64,
    budget: usize,
    within_ms: u64,
}

impl Default for Restart {
    fn default() -> Self {
        Self {
            first_ms: 200,
            most_ms: 30_000,
            budget: 20,
            within_ms: 60_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HostSection {
    cores: f64,
    cores_each: f64,
    rate_each: f64,
    start_ms: u64,
    cold_from: f64,
    warm_ms: u64,
    drain_ms: u64,
}

fn one() -> usize {
    1
}

fn crashes() -> u32 {
    3
}

fn headroom() -> f64 {
    0.1
}

/// A fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Where its daemon keeps what it knows, and its control socket.
    pub folder: PathBuf,
    /// The address that all instances share, where they do.
    pub shared: Option<SocketAddr>,
    /// As many as instances and surge.
    pub places: Vec<Slot>,
    /// By generation.
    pub releases: BTreeMap<u32, Release>,
    /// Bounds of its plan.
    pub bounds: Bounds,
    /// What is known for planning.
    pub question: Option<Question>,
}

impl Fleet {
    /// Reads the fleet's section of an operator file; other sections are not looked at.
    ///
    /// # Errors
    /// File, line where it is known, key, and what is wrong there.
    pub fn load(file: &Path) -> Result<Self, Fault> {
        let json = evaluate(file)?;
        let source = std::fs::read_to_string(file).unwrap_or_default();
        Self::parse(&json).map_err(|(key, what)| {
            let line = locate(&source, &key, &what);
            Fault {
                file: file.to_owned(),
                line,
                key,
                what,
            }
        })
    }

    fn parse(json: &str) -> Result<Self, Wrong> {
        let mut reader = serde_json::Deserializer::from_str(json);
        let file: File = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let key = e.path().to_string();
            let what = e.into_inner().to_string();
            let what = what
                .split(" at line ")
                .next()
                .unwrap_or_default()
                .to_owned();
            (if key == "." { "fleet".to_owned() } else { key }, what)
        })?;
        file.fleet
            .check()
            .map_err(|(key, what)| (format!("fleet.{key}"), what))
    }
}

impl FleetSection {
    fn check(self) -> Result<Fleet, Wrong> {
        let needed = self.instances.saturating_add(self.surge);
        if self.places.len() < needed {
            let what = format!(
                "{} for {} instances and a surge of {}: one of each is needed",
                self.places.len(),
                self.instances,
                self.surge
            );
            return wrong("places", what);
        }
        let shared = self
            .listen
            .as_deref()
            .map(|text| address("listen".to_owned(), text))
            .transpose()?;
        let places = places(&self.places, shared)?;
        if self.releases.is_empty() {
            return wrong("releases", "none: there is nothing to run");
        }
        let less = if self.surge == 0 { 1 } else { 0 };
        let minimum = self
            .minimum
            .unwrap_or(self.instances.saturating_sub(less.max(self.batch)) as f64);
        let bounds = Bounds {
            instances: self.instances,
            surge: self.surge,
            batch: self.batch,
            minimum,
            start_within: self.timeouts_ms.start.saturating_mul(MS),
            warm_within: self.timeouts_ms.warm.saturating_mul(MS),
            drain_within: self.timeouts_ms.drain.saturating_mul(MS),
            silent_within: self.timeouts_ms.silent.saturating_mul(MS),
            crashes: self.crashes.max(1),
            regression: RegressionThresholds {
                min_samples: self.worse.samples,
                max_rejected_increase: self.worse.refused,
                max_failed_increase: self.worse.failed,
                max_late_increase: self.worse.late,
                standard_errors: self.worse.errors,
            },
            restart: RestartPolicy {
                initial_delay: self.restart.first_ms.saturating_mul(MS),
                max_delay: self.restart.most_ms.saturating_mul(MS),
                budget: self.restart.budget.max(1),
                budget_window: self.restart.within_ms.saturating_mul(MS),
            },
        };
        bounds.check().map_err(|refused| {
            let text = refused.to_string();
            match text.split_once(": ") {
                Some((key, what)) if !key.contains(' ') => (key.to_owned(), what.to_owned()),
                _ => ("minimum".to_owned(), text),
            }
        })?;
        let host = self.host.as_ref().map(HostSection::check).transpose()?;
        let question = match host {
            None => None,
            Some(host) => Some(Question {
                bounds,
                host,
                demand: forecast(&self.demand)?,
                headroom: self.headroom.max(0.0),
            }),
        };
        Ok(Fleet {
            folder: self.folder,
            shared,
            places,
            releases: self.releases,
            bounds,
            question,
        })
    }
}

fn address(key: String, text: &str) -> Result<SocketAddr, Wrong> {
    let what = || format!("{text:?} is not an address and port, such as 127.0.0.1:5050");
    text.parse().map_err(|_| (key, what()))
}

fn places(sections: &[PlaceSection], shared: Option<SocketAddr>) -> Result<Vec<Slot>, Wrong> {
    let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    let one = |(i, section): (usize, &PlaceSection)| {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if section.name.is_empty() || !section.name.chars().all(plain) {
            let what = format!(
                "{:?} is not letters, digits, '-', '_' and '.'",
                section.name
            );
            return wrong(format!("places[{i}].name"), what);
        }
        let key = || format!("places[{i}].listen");
        let listen = match (&section.listen, shared) {
            (Some(text), None) => address(key(), text)?,
            (None, Some(shared)) => shared,
            (Some(_), Some(_)) => return wrong(key(), "fleet.listen names one address for all"),
            (None, None) => return wrong(key(), "missing, and fleet.listen names none for all"),
        };
        if !names.insert(section.name.clone()) {
            return wrong(
                format!("places[{i}].name"),
                format!("{:?} is there twice", section.name),
            );
        }
        if shared.is_none() && !addresses.insert(listen) {
            return wrong(key(), format!("{listen} is there twice"));
        }
        Ok(Slot {
            name: section.name.clone(),
            listen,
            config: section.config.clone(),
        })
    };
    sections.iter().enumerate().map(one).collect()
}

impl HostSection {
    fn check(&self) -> Result<Host, Wrong> {
        let positive = [
            ("cores", self.cores),
            ("cores_each", self.cores_each),
            ("rate_each", self.rate_each),
            ("cold_from", self.cold_from),
        ];
        for (key, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return wrong(format!("host.{key}"), format!("{value} is not above 0"));
            }
        }
        if self.cold_from > 1.0 {
            return wrong(
                "host.cold_from",
                format!("{} is a share above 1", self.cold_from),
            );
        }
        Ok(Host {
            cores: self.cores,
            cores_each: self.cores_each,
            rate_each: self.rate_each,
            start: self.start_ms.saturating_mul(MS),
            cold_from: self.cold_from,
            warm_after: self.warm_ms.saturating_mul(MS),
            drain: self.drain_ms.saturating_mul(MS),
        })
    }
}

fn forecast(points: &[(f64, f64)]) -> Result<Forecast, Wrong> {
    let mut before = -1.0;
    let mut all = Vec::new();
    for (i, &(seconds, rate)) in points.iter().enumerate() {
        if !(seconds.is_finite() && (0.0..1e7).contains(&seconds) && seconds > before) {
            let what = format!("{seconds} is no time in seconds after the point before it");
            return wrong(format!("demand[{i}]"), what);
        }
        if !(rate.is_finite() && rate >= 0.0) {
            return wrong(
                format!("demand[{i}]"),
                format!("{rate} is no number of requests a second"),
            );
        }
        before = seconds;
        all.push(((seconds * SECOND as f64) as u64, rate));
    }
    Ok(Forecast(all))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fault(change: &str) -> String {
        let text = r#"{"fleet": {"folder": "/f", "instances": 1, "surge": 1, "minimum": 1, "releases": {"1": {"program": "/p"}},
            "places": [{"name": "a", "listen": "127.0.0.1:1", "config": "/a"},
                       {"name": "b", "listen": "127.0.0.1:2", "config": "/b"}]}}"#;
        let (from, to) = change.split_once(" => ").unwrap_or((change, change));
        assert!(text.contains(from), "{from}");
        match Fleet::parse(&text.replace(from, to)) {
            Ok(_) => "fine".to_owned(),
            Err((key, what)) => format!("{key}: {what}"),
        }
    }

    #[test]
    fn each_fault_names_its_key() {
        assert_eq!(fault("127.0.0.1:2"), "fine");
        for (change, key) in [
            (
                "127.0.0.1:2 => 127.0.0.1:1",
                "fleet.places[1].listen: 127.0.0.1:1 is there twice",
            ),
            (
                "127.0.0.1:2 => here",
                "fleet.places[1].listen: \"here\" is not",
            ),
            (
                "\"b\" => \"a\"",
                "fleet.places[1].name: \"a\" is there twice",
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
            let told = fault(change);
            assert!(told.starts_with(key), "{change}: {told}");
        }
    }
}
