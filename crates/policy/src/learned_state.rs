//! What a controller has learned of its machine and of the dependency. A process hands it to its
//! successor, which would otherwise have to learn all of it again.
//!
//! The serialized names belong to the snapshot format of a hot restart, which two releases share;
//! they stay as they are when a field is renamed here.

use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;

/// What was learned of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LearnedClass {
    /// Smoothed time of a run of usual size, calls included, in microseconds.
    pub run_time: f64,
    /// Smoothed hint of the expected work, in microseconds; 0 where none was seen.
    #[serde(rename = "work")]
    pub expected_work: f64,
    /// The longest remaining time that a first attempt arrived with, in microseconds.
    #[serde(rename = "patience")]
    pub longest_remaining_time: Micros,
}

/// What was learned of the calls to the dependency.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LearnedDependency {
    /// The limit on concurrent calls.
    #[serde(rename = "bound")]
    pub concurrency_limit: f64,
    /// Smoothed latency, in microseconds.
    pub latency: f64,
    /// The baseline of the latency, in microseconds; 0 where none was seen.
    #[serde(rename = "usual")]
    pub baseline_latency: f64,
    /// Smoothed backlog of requests that wait for a call.
    pub backlog: f64,
    /// The gap between two admissions, in microseconds.
    pub gap: f64,
}

/// Everything that a controller hands to its successor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LearnedState {
    /// By index of the class.
    pub classes: Vec<LearnedClass>,
    /// Of the dependency.
    #[serde(rename = "calls")]
    pub dependency: LearnedDependency,
    /// The limit on running requests.
    pub run_limit: f64,
    /// The rank below which arrivals are rejected, from 0 to 1.
    #[serde(rename = "cut")]
    pub rank_threshold: f64,
    /// The capacity that callers are advised of, from 0 to 1.
    #[serde(rename = "welcome")]
    pub advertised_capacity: f64,
    /// Smoothed time that requests wait before they are read, in microseconds.
    #[serde(rename = "lag")]
    pub read_delay: f64,
    /// Smoothed share of retries among the arrivals, from 0 to 1.
    #[serde(rename = "again")]
    pub retry_ratio: f64,
}

/// Why a learned state was not restored. Fields are named as they are in the snapshot.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum LearnedStateError {
    /// It is of a configuration with another number of classes.
    #[error("classes: {found} of them, {expected} here")]
    ClassCount {
        /// Classes in the learned state.
        found: usize,
        /// Classes of this controller.
        expected: usize,
    },
    /// A value is one that no controller can have.
    #[error("{field}: {value} is not within {minimum} to {maximum}")]
    OutOfRange {
        /// The field.
        field: LearnedField,
        /// Its value.
        value: f64,
        /// The least possible value.
        minimum: f64,
        /// The greatest possible value.
        maximum: f64,
    },
}

/// Names a field of the snapshot: `run_limit`, `calls.bound` or `classes[2].run_time`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LearnedField {
    class: Option<usize>,
    name: &'static str,
}

impl fmt::Display for LearnedField {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(class) = self.class {
            write!(formatter, "classes[{class}].")?;
        }
        formatter.write_str(self.name)
    }
}

/// No smoothed time is longer, in microseconds: nobody waits for an hour.
const MAX_TIME_MICROS: f64 = 3.6e9;
/// No limit on runs or calls is higher.
const MAX_LIMIT: f64 = 1e6;

impl LearnedState {
    /// Protects a controller from values that no controller can have.
    pub(crate) fn validate(&self, class_count: usize) -> Result<(), LearnedStateError> {
        if self.classes.len() != class_count {
            return Err(LearnedStateError::ClassCount {
                found: self.classes.len(),
                expected: class_count,
            });
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(index)?;
        }
        self.dependency.validate()?;
        check_range(None, "run_limit", self.run_limit, 1.0..=MAX_LIMIT)?;
        check_range(None, "cut", self.rank_threshold, 0.0..=1.0)?;
        check_range(None, "welcome", self.advertised_capacity, 0.0..=1.0)?;
        check_range(None, "lag", self.read_delay, 0.0..=MAX_TIME_MICROS)?;
        check_range(None, "again", self.retry_ratio, 0.0..=1.0)
    }
}

impl LearnedClass {
    fn validate(&self, index: usize) -> Result<(), LearnedStateError> {
        let class = Some(index);
        let remaining = self.longest_remaining_time as f64;
        check_range(class, "run_time", self.run_time, 1.0..=MAX_TIME_MICROS)?;
        check_range(class, "work", self.expected_work, 0.0..=MAX_TIME_MICROS)?;
        check_range(class, "patience", remaining, 0.0..=MAX_TIME_MICROS)
    }
}

impl LearnedDependency {
    fn validate(&self) -> Result<(), LearnedStateError> {
        check_range(None, "calls.bound", self.concurrency_limit, 1.0..=MAX_LIMIT)?;
        check_range(None, "calls.latency", self.latency, 1.0..=MAX_TIME_MICROS)?;
        check_range(
            None,
            "calls.usual",
            self.baseline_latency,
            0.0..=MAX_TIME_MICROS,
        )?;
        check_range(None, "calls.backlog", self.backlog, 0.0..=MAX_LIMIT)?;
        check_range(None, "calls.gap", self.gap, 0.0..=MAX_TIME_MICROS)
    }
}

fn check_range(
    class: Option<usize>,
    name: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
) -> Result<(), LearnedStateError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(LearnedStateError::OutOfRange {
        field: LearnedField { class, name },
        value,
        minimum: *range.start(),
        maximum: *range.end(),
    })
}
