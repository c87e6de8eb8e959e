//! Detection of a slowdown of an upstream, and false alarms in a steady state.

use super::report::Report;
use super::{quantile, random_queue, SECONDS_PER_HOUR, UPSTREAM_COUNT};
use cleatpulley_saturation_bench::{run_experiment, to_micros, Experiment, Slowdown};

/// The fault: service times triple after half a minute.
const SLOWDOWN: Slowdown = Slowdown {
    start: 30.0,
    factor: 3.0,
};
/// Load in the runs with a slowdown, as a share of the throughput at saturation without it.
const SLOWED_LOAD: f64 = 0.25;
/// Maximum time to detection in nine of ten runs, in seconds.
const MAX_DETECTION_SECONDS: f64 = 5.0;
/// Load in a steady state, as a share of the throughput at saturation.
const STEADY_LOAD: f64 = 0.7;
/// Length of a run in a steady state, in seconds.
const STEADY_SECONDS: f64 = 120.0;
/// Maximum number of false alarms per upstream and hour.
const MAX_FALSE_ALARMS_PER_HOUR: f64 = 1.0;

/// Checks the time to detection, and the rate of false alarms.
pub fn check(report: &mut Report) {
    check_detection(report);
    check_false_alarms(report);
}

fn check_detection(report: &mut Report) {
    let mut delays: Vec<f64> = (0..UPSTREAM_COUNT).map(detection_delay).collect();
    delays.sort_by(f64::total_cmp);
    let median = quantile(&delays, 0.5);
    let ninth_decile = quantile(&delays, 0.9);
    let figure = format!(
        "slowdown to a third: detected after {median:.1} s in the median, {ninth_decile:.1} s in nine of ten (goal 5 s)"
    );
    report.check(ninth_decile <= MAX_DETECTION_SECONDS, figure);
}

/// Returns the time from the slowdown to its detection in seconds, infinite if it was not detected.
fn detection_delay(seed: u64) -> f64 {
    let kind = random_queue(seed);
    let arrivals_per_second = SLOWED_LOAD * kind.saturation_throughput();
    let arrival_rate = |_| arrivals_per_second;
    let experiment = Experiment {
        slowdown: Some(SLOWDOWN),
        ..Experiment::new(kind, &arrival_rate, 60.0, seed)
    };
    let mut detected_after = None;
    run_experiment(experiment, |now, model| {
        let regime_changes = model.predict(to_micros(now)).regime_changes;
        if now >= SLOWDOWN.start && detected_after.is_none() && regime_changes > 0 {
            detected_after = Some(now - SLOWDOWN.start);
        }
    });
    detected_after.unwrap_or(f64::INFINITY)
}

fn check_false_alarms(report: &mut Report) {
    let mut alarms = 0;
    let mut hours = 0.0;
    for seed in 0..UPSTREAM_COUNT {
        let kind = random_queue(seed);
        let arrivals_per_second = STEADY_LOAD * kind.saturation_throughput();
        let arrival_rate = |_| arrivals_per_second;
        let experiment = Experiment::new(kind, &arrival_rate, STEADY_SECONDS, seed);
        let mut outcome = run_experiment(experiment, |_, _| ());
        let prediction = outcome.model.predict(to_micros(STEADY_SECONDS));
        alarms += prediction.regime_changes;
        hours += STEADY_SECONDS / SECONDS_PER_HOUR;
    }
    let alarms_per_hour = f64::from(alarms) / hours;
    report.check(
        alarms_per_hour <= MAX_FALSE_ALARMS_PER_HOUR,
        format!(
            "false alarms of a regime change: {alarms_per_hour:.2} per upstream and hour (goal 1)"
        ),
    );
}
