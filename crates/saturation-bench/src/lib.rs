//! Discrete-event simulation of many kinds of upstreams, reproducible from a seed, which measures
//! the queueing model and the concurrency limit.
//!
//! | module | contents |
//! | --- | --- |
//! | `upstream_kind` | kinds of emulated upstreams, with their true throughput |
//! | `limiter` | limiters of the requests in flight |
//! | `experiment` | one run of an upstream under a load |
//! | `accuracy` | accuracy of the estimates over many upstreams |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accuracy;
mod experiment;
mod limiter;
mod upstream_kind;

pub use accuracy::{measure_accuracy, Accuracy, SeedRange};
pub use experiment::{run_experiment, to_micros, Experiment, Outcome, Slowdown};
pub use limiter::Limiter;
pub use upstream_kind::UpstreamKind;
