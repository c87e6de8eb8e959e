//! Accuracy of the estimates at partial load, time to detection of a slowdown, lead time of
//! saturation warnings, and goodput of the predictive limit compared with the reactive one.

use cleatpulley_saturation::ConcurrencyLimit;
use cleatpulley_saturation_bench::{
    measure_accuracy, run, to_micros, Experiment, Limiter, SeedRange, Slowdown, UpstreamKind,
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
    let mut noticed = Vec::new();
    let mut false_alarms = 0;
    for seed in 0..20 {
        let mut detection = None;
        let arrival_rate = |_| 200.0;
        let experiment = Experiment {
            slowdown: Some(Slowdown {
                start: 40.0,
                factor: 3.0,
            }),
            ..Experiment::new(QUEUE, &arrival_rate, 60.0, seed)
        };
        run(experiment, |now, model| {
            if model.predict(to_micros(now)).regime_changes > 0 && detection.is_none() {
                detection = Some(now);
            }
        });
        match detection {
            Some(time) if time >= 40.0 => noticed.push(time - 40.0),
            Some(_) => false_alarms += 1,
            None => {}
        }
    }
    assert_eq!(false_alarms, 0);
    assert_eq!(noticed.len(), 20, "{noticed:?}");
    assert!(noticed.iter().all(|after| *after <= 9.0), "{noticed:?}");
}

#[test]
fn warns_of_saturation_ahead_of_a_ramp() {
    let truth = QUEUE.saturation_throughput();
    // The load increases by 1% of the throughput at saturation per second, and reaches it after 70
    // s.
    let arrival_rate = |now| truth * (0.3 + 0.01 * now);
    let mut warned = None;
    run(
        Experiment::new(QUEUE, &arrival_rate, 69.0, 4),
        |now, model| {
            let prediction = model.predict(to_micros(now));
            let is_near = prediction
                .seconds_to_saturation
                .is_some_and(|seconds| seconds < 30.0);
            if warned.is_none() && now > 20.0 && is_near {
                warned = Some(now);
            }
        },
    );
    let ahead = 70.0 - warned.expect("a warning before saturation");
    assert!((15.0..45.0).contains(&ahead), "{ahead} s ahead");
}

/// The load is 130% of the throughput at saturation of an upstream whose throughput decreases with
/// concurrency.
#[test]
fn predictive_limit_has_no_less_goodput_than_the_reactive_one() {
    let kind = UpstreamKind::Shared {
        single_throughput: 20.0,
        contention: 0.05,
        coherence: 0.004,
    };
    let truth = kind.saturation_throughput();
    let arrival_rate = |_| 1.3 * truth;
    let relative_goodput = |limiter: Limiter| {
        let experiment = Experiment {
            limiter,
            deadline: 20.0 * kind.uncontended_latency(),
            ..Experiment::new(kind, &arrival_rate, 60.0, 9)
        };
        run(experiment, |_, _| ()).goodput() / truth
    };
    let none = relative_goodput(Limiter::Unlimited);
    let reactive = relative_goodput(Limiter::Reactive(ConcurrencyLimit::default()));
    let predicted = relative_goodput(Limiter::Predictive(ConcurrencyLimit::default()));
    assert!(none < 0.2, "without a limit the goodput collapses: {none}");
    assert!(
        predicted >= reactive - 0.02 && predicted > 0.85,
        "{predicted} with predictions, {reactive} without"
    );
}
