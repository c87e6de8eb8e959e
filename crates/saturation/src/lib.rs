//! Predicts the saturation point of an upstream from what one process observes of it: when requests
//! were sent, and when they completed. No I/O and no clock.
//!
//! [`ConcurrencyStatistics`] count, for each number of requests in flight, how long that number was
//! in flight and how many requests completed meanwhile. Natural fluctuations of the load show the
//! curve of throughput over concurrency long before the mean load comes near its end. [`fit()`]
//! fits a [`ThroughputCurve`] to it: a number of servers, with contention and coherence as in the
//! universal scalability law. The result is a throughput with an interval, which is wide where the
//! observations do not tell more.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `upstream_model` | an [`UpstreamModel`]: observations of one upstream in, [`Prediction`]s out |
//! | `concurrency_statistics` | sufficient statistics by the number of requests in flight |
//! | `throughput_curve` | the family of curves |
//! | `saturation_fit` | the likelihood of a grid of curves, and the estimate from it |
//! | `throughput_history` | recent throughput, and its trend |
//! | `concurrency_limit` | a reactive limit on requests in flight, which an estimate may move |
//!
//! ```
//! use cleatpulley_saturation::{Completion, ModelSettings, UpstreamModel};
//!
//! let mut model = UpstreamModel::new(ModelSettings::default());
//! // One request at a time, each for 10 ms: a throughput of 100 a second.
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
mod saturation_fit;
mod throughput_curve;
mod throughput_history;
mod upstream_model;

pub use completion::Completion;
pub use concurrency_limit::ConcurrencyLimit;
pub use concurrency_statistics::{ConcurrencyStatistics, LevelStatistics, Totals};
pub use saturation_fit::{fit, SaturationEstimate};
pub use throughput_curve::{CurveShape, Peak, ThroughputCurve};
pub use upstream_model::{ModelSettings, Prediction, UpstreamModel};
