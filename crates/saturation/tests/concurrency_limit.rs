//! The limit on requests in flight: the reactive limit, and its adjustment by an estimate.

use cleatpulley_saturation::{
    Completion, ConcurrencyLimit, CurveShape, SaturationEstimate, ThroughputCurve,
};

/// Returns an estimate of saturation at a concurrency, with an interval of the throughput.
fn estimate(concurrency: f64, low: f64, high: f64) -> SaturationEstimate {
    let shape = CurveShape {
        servers: concurrency,
        contention: 0.0,
        coherence: 0.0,
    };
    SaturationEstimate {
        curve: ThroughputCurve {
            single_throughput: 1.0,
            shape,
        },
        throughput: 1.0,
        low,
        high,
        concurrency,
    }
}

#[test]
fn estimate_moves_the_limit_within_bounds_and_only_with_a_narrow_interval() {
    let mut limit = ConcurrencyLimit::default();
    assert_eq!(limit.limit(), 4);
    limit.set_estimate(Some(&estimate(100.0, 0.9, 1.1)));
    assert_eq!(limit.limit(), 8, "at most twice the reactive limit");
    limit.set_estimate(Some(&estimate(0.1, 0.9, 1.1)));
    assert_eq!(limit.limit(), 2, "at least half of the reactive limit");
    limit.set_estimate(Some(&estimate(100.0, 0.5, 2.0)));
    assert_eq!(
        limit.limit(),
        4,
        "an estimate with a wide interval is ignored"
    );
}

#[test]
fn limit_grows_while_requests_complete_in_time_and_decreases_once_per_latency() {
    let mut limit = ConcurrencyLimit::default();
    let in_time = Completion {
        concurrency: 1,
        latency: 10_000,
    };
    for step in 0..200 {
        limit.on_completion(step * 10_000, in_time, limit.limit());
    }
    let grown_limit = limit.limit();
    assert!(grown_limit > 15, "{grown_limit}");

    let late = Completion {
        concurrency: 9,
        latency: 100_000,
    };
    for step in 0..40 {
        limit.on_completion(2_000_000 + step * 1_000, late, limit.limit());
    }
    assert!(
        limit.limit() < grown_limit && limit.limit() >= grown_limit / 3,
        "{} after {grown_limit}",
        limit.limit()
    );
}
