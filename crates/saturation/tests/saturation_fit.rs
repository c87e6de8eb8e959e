//! Estimates from observations that are generated from a known curve.

use cleatpulley_saturation::{fit, ConcurrencyStatistics, CurveShape, ThroughputCurve};

/// Generates observations of a curve, for `seconds` at each concurrency up to `highest`.
fn observe(curve: ThroughputCurve, highest: usize, seconds: f64) -> ConcurrencyStatistics {
    let mut statistics = ConcurrencyStatistics::default();
    for in_flight in 1..=highest {
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
    let shared = ThroughputCurve {
        single_throughput: 10.0,
        shape: CurveShape {
            servers: 1_000.0,
            contention: 0.03,
            coherence: 1e-3,
        },
    };
    for curve in [queue(8.0, 20.0), queue(1.0, 50.0), shared] {
        let peak = curve.peak();
        let rate = peak.throughput;
        let statistics = observe(curve, (1.3 * peak.concurrency) as usize + 2, 20.0);
        let fit = fit(&statistics).expect("there are enough completions");
        assert!(
            (fit.throughput / rate - 1.0).abs() < 0.03,
            "{fit:?} of {rate}"
        );
        assert!(
            fit.low <= rate * 1.001 && rate <= fit.high * 1.001,
            "{fit:?} of {rate}"
        );
    }
}

#[test]
fn interval_is_wide_far_from_saturation_and_too_few_completions_give_no_estimate() {
    let curve = queue(40.0, 20.0);
    let far = fit(&observe(curve, 4, 20.0)).expect("there are enough completions");
    let near = fit(&observe(curve, 50, 20.0)).expect("there are enough completions");
    assert!(
        far.high / far.low > 2.0 && near.high / near.low < 1.2,
        "{far:?} {near:?}"
    );
    assert_eq!(fit(&observe(curve, 1, 2.0)), None);
}
