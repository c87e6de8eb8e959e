//! Accuracy of the estimates at partial load, time to detection of a slowdown, lead time of
//! saturation warnings, and goodput of the predictive limit compared with the reactive one.

use cleatpulley_saturation::ConcurrencyLimit;
use cleatpulley_saturation_bench::{
    measure_accuracy, run_experiment, to_micros, Experiment, Limiter, SeedRange, Slowdown,
    UpstreamKind,
};

const QUEUE: UpstreamKind = UpstreamKind::Queue {
    servers: 8,
    service_time: 0.02,
    variability: 0.8,
};

#[test]
fn estimates_throughput_at_saturation_from_a_partial_load() {
    for (load, goal) in [(0.6, 0.15), (0.8, 0.07)] {
        let accuracy = measure_accuracy(
            load,
            SeedRange {
                first: 0,
                count: 40,
            },
        );
        assert!(
            accuracy.median_error <= goal && accuracy.coverage >= 0.8 && accuracy.collapsed <= 8,
            "{accuracy:?} at {load}"
        );
    }
}

#[test]
fn slow_upstream_is_detected_within_seconds_without_false_alarms() {
    let mut detection_delays = Vec::new();
    let mut false_alarms = 0;
    for seed in 0..20 {
        let mut detected_at = None;
        let arrival_rate = |_| 200.0;
        let experiment = Experiment {
            slowdown: Some(Slowdown {
                start: 40.0,
                factor: 3.0,
            }),
            ..Experiment::new(QUEUE, &arrival_rate, 60.0, seed)
        };
        run_experiment(experiment, |now, model| {
            if model.predict(to_micros(now)).regime_changes > 0 && detected_at.is_none() {
                detected_at = Some(now);
            }
        });
        match detected_at {
            Some(time) if time >= 40.0 => detection_delays.push(time - 40.0),
            Some(_) => false_alarms += 1,
            None => {}
        }
    }
    assert_eq!(false_alarms, 0);
    assert_eq!(detection_delays.len(), 20, "{detection_delays:?}");
    assert!(
        detection_delays.iter().all(|delay| *delay <= 9.0),
        "{detection_delays:?}"
    );
}

#[test]
fn warns_of_saturation_ahead_of_a_ramp() {
    let true_throughput = QUEUE.saturation_throughput();
    // The load increases by 1% of the throughput at saturation per second, and reaches it after 70
    // s.
    let arrival_rate = |now| true_throughput * (0.3 + 0.01 * now);
    let mut warned_at = None;
    run_experiment(
        Experiment::new(QUEUE, &arrival_rate, 69.0, 4),
        |now, model| {
            let prediction = model.predict(to_micros(now));
            let is_saturation_near = prediction
                .seconds_to_saturation
                .is_some_and(|seconds| seconds < 30.0);
            if warned_at.is_none() && now > 20.0 && is_saturation_near {
                warned_at = Some(now);
            }
        },
    );
    let lead_time = 70.0 - warned_at.expect("a warning before saturation");
    assert!(
        (15.0..45.0).contains(&lead_time),
        "{lead_time} s before saturation"
    );
}

/// The load is 130% of the throughput at saturation of an upstream whose throughput decreases with
/// concurrency.
#[test]
fn predictive_limit_has_no_less_goodput_than_the_reactive_one() {
    let kind = UpstreamKind::ProcessorSharing {
        single_throughput: 20.0,
        contention: 0.05,
        coherence: 0.004,
    };
    let true_throughput = kind.saturation_throughput();
    let arrival_rate = |_| 1.3 * true_throughput;
    let relative_goodput = |limiter: Limiter| {
        let experiment = Experiment {
            limiter,
            deadline: 20.0 * kind.uncontended_latency(),
            ..Experiment::new(kind, &arrival_rate, 60.0, 9)
        };
        run_experiment(experiment, |_, _| ()).goodput() / true_throughput
    };
    let unlimited = relative_goodput(Limiter::Unlimited);
    let reactive = relative_goodput(Limiter::Reactive(ConcurrencyLimit::default()));
    let predictive = relative_goodput(Limiter::Predictive(ConcurrencyLimit::default()));
    assert!(
        unlimited < 0.2,
        "without a limit the goodput collapses: {unlimited}"
    );
    assert!(
        predictive >= reactive - 0.02 && predictive > 0.85,
        "{predictive} with predictions, {reactive} without"
    );
}
