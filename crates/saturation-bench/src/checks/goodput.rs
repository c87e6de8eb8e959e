//! Goodput of each limiter on the same upstreams.

use super::report::Report;
use cleatpulley_saturation::ConcurrencyLimit;
use cleatpulley_saturation_bench::{run_experiment, Experiment, Limiter, UpstreamKind};

/// Loads, as shares of the throughput at saturation.
const LOADS: [f64; 3] = [0.9, 1.1, 1.3];
/// Fixed limits, the best of which is the reference for each upstream.
const FIXED_LIMITS: [usize; 11] = [1, 2, 4, 6, 8, 12, 16, 24, 32, 48, 64];
/// Deadline of a response, as a multiple of the uncontended latency.
const DEADLINE_LATENCIES: f64 = 20.0;
/// Length of a run, in seconds.
const RUN_SECONDS: f64 = 40.0;
/// Number of threads among which the upstreams are divided.
const THREAD_COUNT: u64 = 4;
/// Number of upstreams per thread.
const UPSTREAMS_PER_THREAD: u64 = 10;
/// Maximum shortfall in goodput of the predictive limit against the reactive one.
const MAX_GOODPUT_LOSS: f64 = 0.01;

/// Goodput of one upstream as a share of its throughput at saturation, by limiter.
#[derive(Clone, Copy)]
struct Goodput {
    unlimited: f64,
    reactive: f64,
    best_fixed: f64,
    predictive: f64,
}

/// A sample mean over upstreams, and its standard error.
struct MeanEstimate {
    mean: f64,
    standard_error: f64,
}

/// Checks that the use of estimates does not reduce goodput.
pub fn check(report: &mut Report) {
    println!(
        "goodput as a share of the throughput at saturation, 40 upstreams, mean and standard error"
    );
    for load in LOADS {
        let goodputs = measure_all(load);
        let mean_of =
            |limiter: fn(&Goodput) -> f64| MeanEstimate::from_values(goodputs.iter().map(limiter));
        let unlimited = mean_of(|goodput| goodput.unlimited);
        let reactive = mean_of(|goodput| goodput.reactive);
        let best_fixed = mean_of(|goodput| goodput.best_fixed);
        let predictive = mean_of(|goodput| goodput.predictive);
        let figure = format!(
            "  at {:.0}%: without a limit {unlimited}, reactive {reactive}, best fixed limit {best_fixed}, with predictions {predictive}",
            load * 100.0
        );
        report.check(predictive.mean >= reactive.mean - MAX_GOODPUT_LOSS, figure);
    }
}

/// Measures all upstreams on several threads. Each upstream has its own seed, so that the results
/// don't depend on the scheduling of the threads.
fn measure_all(load: f64) -> Vec<Goodput> {
    let measure_on_thread = |thread: u64| -> Vec<Goodput> {
        (0..UPSTREAMS_PER_THREAD)
            .map(|index| measure_goodput(THREAD_COUNT * index + thread, load))
            .collect()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREAD_COUNT)
            .map(|thread| scope.spawn(move || measure_on_thread(thread)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    })
}

fn measure_goodput(seed: u64, load: f64) -> Goodput {
    let kind = UpstreamKind::random(seed);
    let true_throughput = kind.saturation_throughput();
    let arrival_rate = |_| load * true_throughput;
    let goodput = |limiter: Limiter| {
        let experiment = Experiment {
            limiter,
            deadline: DEADLINE_LATENCIES * kind.uncontended_latency(),
            ..Experiment::new(kind, &arrival_rate, RUN_SECONDS, seed)
        };
        run_experiment(experiment, |_, _| ()).goodput() / true_throughput
    };
    let best_fixed = FIXED_LIMITS
        .into_iter()
        .map(|limit| goodput(Limiter::Fixed(limit)))
        .fold(0.0, f64::max);
    Goodput {
        unlimited: goodput(Limiter::Unlimited),
        reactive: goodput(Limiter::Reactive(ConcurrencyLimit::default())),
        best_fixed,
        predictive: goodput(Limiter::Predictive(ConcurrencyLimit::default())),
    }
}

impl MeanEstimate {
    fn from_values(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.collect();
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squared_deviations = values.iter().map(|value| (value - mean).powi(2));
        let variance = squared_deviations.sum::<f64>() / (count - 1.0);
        Self {
            mean,
            standard_error: (variance / count).sqrt(),
        }
    }
}

impl std::fmt::Display for MeanEstimate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.3} ({:.3})", self.mean, self.standard_error)
    }
}
