//! The state that a controller has learned about its machine and the dependency. A process hands it
//! to its successor, which would otherwise have to learn everything again.
//!
//! The serialized names are part of the hot restart's snapshot format, which the predecessor and a
//! successor of another release share. They must not change when a field is renamed.

use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;

/// Learned state of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LearnedClass {
    /// Smoothed time of a run of typical size, calls included, in microseconds.
    pub run_time: f64,
    /// Smoothed hint of the expected work, in microseconds; 0 before the first hint.
    #[serde(rename = "work")]
    pub expected_work: f64,
    /// Longest time to its deadline that a first attempt arrived with, in microseconds.
    #[serde(rename = "patience")]
    pub longest_remaining_time: Micros,
}

/// Learned state of the calls to the dependency.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LearnedDependency {
    /// Limit on concurrent calls.
    #[serde(rename = "bound")]
    pub concurrency_limit: f64,
    /// Smoothed latency of a call, in microseconds.
    pub latency: f64,
    /// Baseline of the latency, in microseconds; 0 before the first reply.
    #[serde(rename = "usual")]
    pub baseline_latency: f64,
    /// Smoothed number of requests that wait for their call.
    pub backlog: f64,
    /// Gap between two admissions, in microseconds.
    pub gap: f64,
}

/// Learned state that a controller hands to its successor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LearnedState {
    /// Learned state of the classes, by class index.
    pub classes: Vec<LearnedClass>,
    /// Learned state of the dependency.
    #[serde(rename = "calls")]
    pub dependency: LearnedDependency,
    /// Limit on running requests.
    pub run_limit: f64,
    /// Rank below which arrivals are rejected, from 0 to 1.
    #[serde(rename = "cut")]
    pub rank_threshold: f64,
    /// Capacity advertised to callers, from 0 to 1.
    #[serde(rename = "welcome")]
    pub advertised_capacity: f64,
    /// Smoothed time between the arrival of a request and its read, in microseconds.
    #[serde(rename = "lag")]
    pub read_delay: f64,
    /// Smoothed share of retries among the arrivals, from 0 to 1.
    #[serde(rename = "again")]
    pub retry_ratio: f64,
}

/// Reason why a learned state was not restored. Fields have their snapshot names.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum LearnedStateError {
    /// The learned state has another number of classes than this configuration.
    #[error("classes: found {found}, expected {expected}")]
    ClassCount {
        /// Number of classes in the learned state.
        found: usize,
        /// Number of classes of this controller.
        expected: usize,
    },
    /// A value is outside the range that a controller can reach.
    #[error("{field}: {value} is not within {minimum} to {maximum}")]
    OutOfRange {
        /// Name of the field.
        field: LearnedField,
        /// Value of the field.
        value: f64,
        /// Minimum valid value.
        minimum: f64,
        /// Maximum valid value.
        maximum: f64,
    },
}

/// Name of a field in the snapshot, such as `run_limit`, `calls.bound` or `classes[2].run_time`.
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

/// Maximum valid smoothed time: one hour, longer than any caller waits.
const MAX_TIME_MICROS: f64 = 3.6e9;
/// Maximum valid limit on runs or calls.
const MAX_LIMIT: f64 = 1e6;

impl LearnedState {
    /// Checks that the number of classes matches and that every value is in its valid range.
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
