//! Checks of the queueing model, one module each.

pub mod cost;
pub mod estimates;
pub mod goodput;
pub mod ramps;
pub mod regime_changes;
pub mod report;

use cleatpulley_saturation_bench::UpstreamKind;

/// Number of upstreams in a check of changes over time.
const UPSTREAM_COUNT: u64 = 60;
/// Seconds in an hour.
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Generates a random upstream with a queue.
fn random_queue(seed: u64) -> UpstreamKind {
    match UpstreamKind::random(seed) {
        queue @ UpstreamKind::Queue { .. } => queue,
        UpstreamKind::ProcessorSharing { .. } => UpstreamKind::Queue {
            servers: 1 + seed as usize % 16,
            service_time: 0.02,
            variability: 0.8,
        },
    }
}

/// Returns the quantile at `share` of sorted values.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
