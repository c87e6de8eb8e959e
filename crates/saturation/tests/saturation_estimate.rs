//! Estimates from observations that are generated from a known curve.

use cleatpulley_saturation::{
    estimate_saturation, ConcurrencyStatistics, CurveShape, ThroughputCurve,
};

/// Generates observations of a curve, for `seconds` at each concurrency up to `max_concurrency`.
fn observe(curve: ThroughputCurve, max_concurrency: usize, seconds: f64) -> ConcurrencyStatistics {
    let mut statistics = ConcurrencyStatistics::default();
    for in_flight in 1..=max_concurrency {
        statistics.add_time(in_flight, seconds);
        let completions = (curve.throughput(in_flight as f64) * seconds) as usize;
        for _ in 0..completions {
            statistics.add_completion(in_flight);
        }
    }
    statistics
}

/// Returns the curve of a queue with `servers` servers.
fn queue(servers: f64, single_throughput: f64) -> ThroughputCurve {
    ThroughputCurve {
        single_throughput,
        shape: CurveShape {
            servers,
            contention: 0.0,
            coherence: 0.0,
        },
    }
}

#[test]
fn estimate_finds_the_saturation_throughput_of_a_known_curve() {
    let usl_curve = ThroughputCurve {
        single_throughput: 10.0,
        shape: CurveShape {
            servers: 1_000.0,
            contention: 0.03,
            coherence: 1e-3,
        },
    };
    for curve in [queue(8.0, 20.0), queue(1.0, 50.0), usl_curve] {
        let peak = curve.peak();
        let true_throughput = peak.throughput;
        let statistics = observe(curve, (1.3 * peak.concurrency) as usize + 2, 20.0);
        let estimate = estimate_saturation(&statistics).expect("there are enough completions");
        assert!(
            (estimate.throughput / true_throughput - 1.0).abs() < 0.03,
            "{estimate:?} of {true_throughput}"
        );
        assert!(
            estimate.low <= true_throughput * 1.001 && true_throughput <= estimate.high * 1.001,
            "{estimate:?} of {true_throughput}"
        );
    }
}

#[test]
fn interval_is_wide_far_from_saturation_and_too_few_completions_give_no_estimate() {
    let curve = queue(40.0, 20.0);
    let far = estimate_saturation(&observe(curve, 4, 20.0)).expect("there are enough completions");
    let near =
        estimate_saturation(&observe(curve, 50, 20.0)).expect("there are enough completions");
    assert!(
        far.high / far.low > 2.0 && near.high / near.low < 1.2,
        "{far:?} {near:?}"
    );
    assert_eq!(estimate_saturation(&observe(curve, 1, 2.0)), None);
}
