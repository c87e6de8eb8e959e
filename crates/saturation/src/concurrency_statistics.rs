//! Sufficient statistics by level of concurrency.

/// Number of lowest levels that cover a single concurrency each.
const EXACT_LEVELS: usize = 32;
/// Number of levels for each doubling of the concurrency above the exact levels.
const LEVELS_PER_DOUBLING: usize = 8;
/// Number of doublings from the exact levels to [`MAX_CONCURRENCY`].
const DOUBLINGS: usize = 7;
/// Concurrency from which on all share the last level.
const MAX_CONCURRENCY: usize = 4_096;
/// Number of levels.
const LEVEL_COUNT: usize = EXACT_LEVELS + LEVELS_PER_DOUBLING * DOUBLINGS + 1;

/// Observations of one upstream by level of concurrency, in constant memory. Statistics of several
/// processes can be merged.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencyStatistics {
    levels: [LevelStatistics; LEVEL_COUNT],
}

/// Observations at one level of concurrency.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LevelStatistics {
    /// Time spent at this level, in seconds.
    pub seconds: f64,
    /// Integral of the number of requests in flight over that time, in request-seconds.
    pub request_seconds: f64,
    /// Number of requests that completed at this level.
    pub completions: f64,
    /// Number of completed requests that were at this level right after they were sent.
    pub latency_samples: f64,
    /// Sum of the latencies of the requests sent at this level, in seconds.
    pub latency_sum: f64,
    /// Sum of the squared latencies of the requests sent at this level, in seconds squared.
    pub latency_square_sum: f64,
}

/// Sums over all levels.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Totals {
    /// Number of completed requests.
    pub completions: f64,
    /// Observed time, in seconds.
    pub seconds: f64,
}

impl Totals {
    /// Returns the completions per second, 0 if no time was observed.
    #[must_use]
    pub fn throughput(&self) -> f64 {
        if self.seconds > 0.0 {
            self.completions / self.seconds
        } else {
            0.0
        }
    }
}

impl LevelStatistics {
    /// Returns the mean number of requests in flight at this level.
    #[must_use]
    pub fn concurrency(&self) -> f64 {
        if self.seconds > 0.0 {
            self.request_seconds / self.seconds
        } else {
            0.0
        }
    }

    /// Returns the mean latency of the requests sent at this level, in seconds.
    #[must_use]
    pub fn mean_latency(&self) -> f64 {
        self.latency_sum / self.latency_samples.max(1.0)
    }

    fn scale(&mut self, factor: f64) {
        self.seconds *= factor;
        self.request_seconds *= factor;
        self.completions *= factor;
        self.latency_samples *= factor;
        self.latency_sum *= factor;
        self.latency_square_sum *= factor;
    }

    fn merge(&mut self, other: &Self) {
        self.seconds += other.seconds;
        self.request_seconds += other.request_seconds;
        self.completions += other.completions;
        self.latency_samples += other.latency_samples;
        self.latency_sum += other.latency_sum;
        self.latency_square_sum += other.latency_square_sum;
    }
}

impl Default for ConcurrencyStatistics {
    fn default() -> Self {
        Self {
            levels: [LevelStatistics::default(); LEVEL_COUNT],
        }
    }
}

/// Returns the index of the level of a number of requests in flight.
fn level_index(in_flight: usize) -> usize {
    if in_flight < EXACT_LEVELS {
        return in_flight;
    }
    let doublings = (in_flight.min(MAX_CONCURRENCY) as f64 / EXACT_LEVELS as f64).log2();
    let levels_above_exact = doublings * LEVELS_PER_DOUBLING as f64;
    (EXACT_LEVELS + levels_above_exact as usize).min(LEVEL_COUNT - 1)
}

impl ConcurrencyStatistics {
    /// Adds time during which `in_flight` requests were in flight.
    pub fn add_time(&mut self, in_flight: usize, seconds: f64) {
        let level = &mut self.levels[level_index(in_flight)];
        level.seconds += seconds;
        level.request_seconds += seconds * in_flight as f64;
    }

    /// Adds a completion at `in_flight` requests in flight, including the completed one.
    pub fn add_completion(&mut self, in_flight: usize) {
        self.levels[level_index(in_flight)].completions += 1.0;
    }

    /// Adds the latency, in seconds, of a request that was sent as the `in_flight`-th in flight.
    pub fn add_latency(&mut self, in_flight: usize, seconds: f64) {
        let level = &mut self.levels[level_index(in_flight)];
        level.latency_samples += 1.0;
        level.latency_sum += seconds;
        level.latency_square_sum += seconds * seconds;
    }

    /// Multiplies the weight of all previous observations by a factor.
    pub fn scale(&mut self, factor: f64) {
        for level in &mut self.levels {
            level.scale(factor);
        }
    }

    /// Adds the observations of other statistics.
    pub fn merge(&mut self, other: &Self) {
        for (level, added) in self.levels.iter_mut().zip(&other.levels) {
            level.merge(added);
        }
    }

    /// Returns the observed levels with at least one request in flight.
    pub fn busy_levels(&self) -> impl Iterator<Item = &LevelStatistics> {
        self.levels[1..].iter().filter(|level| level.seconds > 0.0)
    }

    /// Returns the sums of completions and time over all levels.
    #[must_use]
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for level in &self.levels {
            totals.completions += level.completions;
            totals.seconds += level.seconds;
        }
        totals
    }

    /// Returns the mean latency of the completed requests, in seconds.
    #[must_use]
    pub fn mean_latency(&self) -> f64 {
        let mut latency_sum = 0.0;
        let mut latency_samples: f64 = 0.0;
        for level in &self.levels {
            latency_sum += level.latency_sum;
            latency_samples += level.latency_samples;
        }
        latency_sum / latency_samples.max(1.0)
    }

    /// Returns the time-weighted mean number of requests in flight.
    #[must_use]
    pub fn mean_concurrency(&self) -> f64 {
        let mut request_seconds = 0.0;
        let mut seconds = 0.0;
        for level in &self.levels {
            request_seconds += level.request_seconds;
            seconds += level.seconds;
        }
        if seconds > 0.0 {
            request_seconds / seconds
        } else {
            0.0
        }
    }

    /// Returns the mean concurrency of the highest observed level.
    #[must_use]
    pub fn highest_concurrency(&self) -> f64 {
        self.busy_levels()
            .map(LevelStatistics::concurrency)
            .fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;
