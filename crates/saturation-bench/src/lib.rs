//! Emulated upstreams of many kinds, run event by event from a seed, to measure the queueing model
//! and the concurrency limit by.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `upstream_kind` | the kinds of upstreams, with their true throughput |
//! | `limiter` | what limits the requests in flight |
//! | `experiment` | one run of an upstream under a load |
//! | `accuracy` | estimates over many upstreams, compared with the truth |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accuracy;
mod experiment;
mod limiter;
mod upstream_kind;

pub use accuracy::{measure_accuracy, Accuracy, SeedRange};
pub use experiment::{run, to_micros, Experiment, Outcome, Slowdown};
pub use limiter::Limiter;
pub use upstream_kind::UpstreamKind;
