//! Recent throughput, and its trend.

/// Number of windows in the history.
const WINDOW_COUNT: usize = 16;
/// Minimum number of windows for a trend.
const MIN_WINDOWS: usize = 4;
/// Minimum slope of a significant trend, in standard deviations; a smaller one may be due to
/// chance.
const MIN_SLOPE_SIGMAS: f64 = 2.0;

/// Throughput of the latest windows, in completions per second, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct ThroughputHistory {
    throughputs: [f64; WINDOW_COUNT],
}

/// A linear trend of the throughput.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Trend {
    /// Slope, in completions per second per second; 0 unless it is a significant rise.
    pub(crate) slope: f64,
    /// Level at the latest window, in completions per second.
    pub(crate) level: f64,
}

impl ThroughputHistory {
    /// Adds the throughput of a window that has ended.
    pub(crate) fn push(&mut self, throughput: f64) {
        self.throughputs.rotate_left(1);
        self.throughputs[WINDOW_COUNT - 1] = throughput;
    }

    /// Returns the throughput of the latest window.
    pub(crate) fn latest(&self) -> f64 {
        self.throughputs[WINDOW_COUNT - 1]
    }

    /// Returns the least squares trend over the windows since the first one with a completion.
    pub(crate) fn trend(&self, window_seconds: f64) -> Trend {
        let observed: Vec<f64> = self
            .throughputs
            .iter()
            .copied()
            .skip_while(|throughput| *throughput == 0.0)
            .collect();
        if observed.len() < MIN_WINDOWS {
            return Trend {
                slope: 0.0,
                level: observed.last().copied().unwrap_or(0.0),
            };
        }
        let count = observed.len() as f64;
        let mean_index = (count - 1.0) / 2.0;
        let mean = observed.iter().sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for (index, throughput) in observed.iter().enumerate() {
            let offset = index as f64 - mean_index;
            covariance += offset * (throughput - mean);
            variance += offset.powi(2);
        }
        // The variance of a Poisson count is its mean.
        let deviation = (mean / window_seconds / variance).sqrt();
        let slope = covariance / variance;
        let is_significant = slope > MIN_SLOPE_SIGMAS * deviation;
        let slope = if is_significant { slope } else { 0.0 };
        Trend {
            slope: slope / window_seconds,
            level: mean + slope * (count - 1.0 - mean_index),
        }
    }
}
