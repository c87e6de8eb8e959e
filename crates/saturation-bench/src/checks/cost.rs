//! Time of an update and of a prediction, and memory of a model.

use super::report::Report;
use cleatpulley_saturation::{Completion, ModelSettings, UpstreamModel};
use std::hint::black_box;
use std::time::Instant;

/// Number of requests that are sent and completed.
const REQUEST_COUNT: u64 = 2_000_000;
/// Interval between two requests, in microseconds.
const INTERVAL_MICROS: u64 = 100;
/// Latency of each request, in microseconds.
const LATENCY_MICROS: u64 = 90;
/// Upper bound of the time of an update, in nanoseconds.
const MAX_UPDATE_NANOS: f64 = 300.0;

/// Checks the time of an update, and prints the time of a prediction and the size of a model.
pub fn check(report: &mut Report) {
    let mut model = UpstreamModel::new(ModelSettings::default());
    let start = Instant::now();
    for request in 0..REQUEST_COUNT {
        let sent_at = request * INTERVAL_MICROS;
        let concurrency = black_box(model.on_request_sent(sent_at));
        let completion = Completion {
            concurrency,
            latency: LATENCY_MICROS,
        };
        model.on_completion(sent_at + LATENCY_MICROS, completion);
    }
    let updates = 2 * REQUEST_COUNT;
    let update_nanos = start.elapsed().as_nanos() as f64 / updates as f64;
    black_box(model.in_flight());
    let model_bytes = std::mem::size_of::<UpstreamModel>();
    report.check(
        update_nanos < MAX_UPDATE_NANOS,
        format!("an update takes {update_nanos:.0} ns (goal 300), a model {model_bytes} bytes"),
    );
    let start = Instant::now();
    black_box(model.predict(REQUEST_COUNT * INTERVAL_MICROS));
    println!(
        "a prediction takes {:.2} ms",
        start.elapsed().as_secs_f64() * 1e3
    );
}
