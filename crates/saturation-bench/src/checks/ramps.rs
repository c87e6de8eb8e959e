//! Lead time of saturation warnings on a load ramp, and false warnings under a steady load.

use super::report::Report;
use super::{quantile, random_queue, SECONDS_PER_HOUR, UPSTREAM_COUNT};
use cleatpulley_saturation::UpstreamModel;
use cleatpulley_saturation_bench::{run_experiment, to_micros, Experiment};

/// Load at the start of a ramp, as a share of the throughput at saturation.
const RAMP_START_LOAD: f64 = 0.3;
/// Increase of the load per second, as a share of the throughput at saturation.
const RAMP_LOAD_PER_SECOND: f64 = 0.01;
/// Time at which a ramp reaches saturation, in seconds.
const SATURATION_SECONDS: f64 = 70.0;
/// Length of a run with a ramp, in seconds.
const RAMP_SECONDS: f64 = 69.0;
/// Predicted time to saturation below which a warning is given, in seconds.
const WARNING_HORIZON_SECONDS: f64 = 30.0;
/// Time at the start of a run in which warnings are ignored, in seconds.
const WARM_UP_SECONDS: f64 = 20.0;
/// Minimum median time from the warning to saturation, in seconds.
const MIN_MEDIAN_LEAD_SECONDS: f64 = 20.0;
/// Steady load, as a share of the throughput at saturation.
const STEADY_LOAD: f64 = 0.6;
/// Length of a run with a steady load, in seconds.
const STEADY_SECONDS: f64 = 120.0;

/// Checks the lead time of warnings, and prints the rate of false warnings.
pub fn check(report: &mut Report) {
    let mut lead_times: Vec<f64> = (0..UPSTREAM_COUNT).map(warning_lead_seconds).collect();
    lead_times.sort_by(f64::total_cmp);
    let median = quantile(&lead_times, 0.5);
    let first_decile = quantile(&lead_times, 0.1);
    let figure = format!(
        "a ramp of 1% per second: warned {median:.0} s ahead in the median, {first_decile:.0} s in nine of ten (goal 20 s)"
    );
    report.check(median >= MIN_MEDIAN_LEAD_SECONDS, figure);

    let false_warnings: u32 = (0..UPSTREAM_COUNT).map(count_false_warnings).sum();
    let hours = UPSTREAM_COUNT as f64 * (STEADY_SECONDS - WARM_UP_SECONDS) / SECONDS_PER_HOUR;
    println!(
        "  false warnings at a steady 60%: {:.1} per upstream and hour",
        f64::from(false_warnings) / hours
    );
}

/// Returns the time from the first warning to saturation in seconds, 0 without a warning.
fn warning_lead_seconds(seed: u64) -> f64 {
    let kind = random_queue(seed);
    let true_throughput = kind.saturation_throughput();
    let arrival_rate = |now| true_throughput * (RAMP_START_LOAD + RAMP_LOAD_PER_SECOND * now);
    let mut first_warning = None;
    run_experiment(
        Experiment::new(kind, &arrival_rate, RAMP_SECONDS, seed),
        |now, model| {
            if predicts_saturation(now, model) && first_warning.is_none() {
                first_warning = Some(now);
            }
        },
    );
    SATURATION_SECONDS - first_warning.unwrap_or(SATURATION_SECONDS)
}

/// Counts the warnings under a steady load; consecutive ones count once.
fn count_false_warnings(seed: u64) -> u32 {
    let kind = random_queue(seed);
    let true_throughput = kind.saturation_throughput();
    let arrival_rate = |_| STEADY_LOAD * true_throughput;
    let mut warnings = 0;
    let mut was_warning = false;
    run_experiment(
        Experiment::new(kind, &arrival_rate, STEADY_SECONDS, seed),
        |now, model| {
            let is_warning = predicts_saturation(now, model);
            warnings += u32::from(is_warning && !was_warning);
            was_warning = is_warning;
        },
    );
    warnings
}

/// Returns whether saturation is predicted within the horizon.
fn predicts_saturation(now: f64, model: &mut UpstreamModel) -> bool {
    let seconds_to_saturation = model.predict(to_micros(now)).seconds_to_saturation;
    now > WARM_UP_SECONDS
        && seconds_to_saturation.is_some_and(|seconds| seconds < WARNING_HORIZON_SECONDS)
}
