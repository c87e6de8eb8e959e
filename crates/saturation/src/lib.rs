//! Predicts the saturation point of an upstream from the times at which one process sent requests
//! to it and at which they completed. This crate does no I/O and reads no clock.
//!
//! [`ConcurrencyStatistics`] record, for each level of concurrency (requests in flight), the time
//! spent at it and the completions in that time. Natural fluctuations of the load reveal the curve
//! of throughput over concurrency long before the mean load approaches saturation.
//! [`estimate_saturation`] fits a [`ThroughputCurve`] to these statistics: a number of servers,
//! with contention and coherence as in the universal scalability law. The result is the throughput
//! at saturation with an interval, which is wide if the observations are not conclusive.
//!
//! | module | contents |
//! | --- | --- |
//! | `upstream_model` | model that turns observations of one upstream into [`Prediction`]s |
//! | `concurrency_statistics` | sufficient statistics by level of concurrency |
//! | `throughput_curve` | the parametric family of curves |
//! | `saturation_estimate` | likelihoods on a grid of curves, and the estimate from them |
//! | `throughput_history` | recent throughput, and its trend |
//! | `concurrency_limit` | a reactive limit on requests in flight, which an estimate may adjust |
//!
//! ```
//! use cleatpulley_saturation::{Completion, ModelSettings, UpstreamModel};
//!
//! let mut model = UpstreamModel::new(ModelSettings::default());
//! // One request in flight at a time, with a latency of 10 ms: a throughput of 100 per second.
//! for call in 0..2_000u64 {
//!     let concurrency = model.on_request_sent(call * 10_000);
//!     let completion = Completion {
//!         concurrency,
//!         latency: 10_000,
//!     };
//!     model.on_completion(call * 10_000 + 10_000, completion);
//! }
//! let prediction = model.predict(20_000_000);
//! assert!(prediction.littles_law_error < 0.1, "the observations agree with Little's law");
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod completion;
mod concurrency_limit;
mod concurrency_statistics;
mod saturation_estimate;
mod throughput_curve;
mod throughput_history;
mod upstream_model;

pub use completion::Completion;
pub use concurrency_limit::ConcurrencyLimit;
pub use concurrency_statistics::{ConcurrencyStatistics, LevelStatistics, Totals};
pub use saturation_estimate::{estimate_saturation, SaturationEstimate};
pub use throughput_curve::{CurveShape, Peak, ThroughputCurve};
pub use upstream_model::{ModelSettings, Prediction, UpstreamModel};
