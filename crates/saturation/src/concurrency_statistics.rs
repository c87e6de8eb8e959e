//! Sufficient statistics by the number of requests in flight.

/// Numbers of requests below this have a level each.
const EXACT_LEVELS: usize = 32;
/// Levels for each doubling beyond them.
const LEVELS_PER_DOUBLING: usize = 8;
/// Doublings from the exact levels to [`MAX_CONCURRENCY`].
const DOUBLINGS: usize = 7;
/// Largest number of requests in flight that is distinguished.
const MAX_CONCURRENCY: usize = 4_096;
/// Number of levels.
const LEVELS: usize = EXACT_LEVELS + LEVELS_PER_DOUBLING * DOUBLINGS + 1;

/// Observations of one upstream, of constant size, by levels of concurrency. Those of several
/// observers add up.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencyStatistics {
    levels: [LevelStatistics; LEVELS],
}

/// Observations at one level of concurrency.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LevelStatistics {
    /// Time at this level, in seconds.
    pub seconds: f64,
    /// Integral of the number in flight over that time, in request seconds.
    pub request_seconds: f64,
    /// Requests that completed at this level.
    pub completions: f64,
    /// Completed requests that were sent at this level, themselves included in its number.
    pub sent: f64,
    /// Sum of the latencies of those requests, in seconds.
    pub latency_sum: f64,
    /// Sum of the squares of those latencies, in seconds squared.
    pub latency_square_sum: f64,
}

/// Sums over all levels.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Totals {
    /// Requests that completed.
    pub completions: f64,
    /// Time observed, in seconds.
    pub seconds: f64,
}

impl Totals {
    /// Completions a second, 0 where no time was observed.
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
    /// Mean number of requests in flight at this level.
    #[must_use]
    pub fn concurrency(&self) -> f64 {
        if self.seconds > 0.0 {
            self.request_seconds / self.seconds
        } else {
            0.0
        }
    }

    /// Mean latency of the requests that were sent at this level, in seconds.
    #[must_use]
    pub fn mean_latency(&self) -> f64 {
        self.latency_sum / self.sent.max(1.0)
    }

    fn scale(&mut self, factor: f64) {
        self.seconds *= factor;
        self.request_seconds *= factor;
        self.completions *= factor;
        self.sent *= factor;
        self.latency_sum *= factor;
        self.latency_square_sum *= factor;
    }

    fn merge(&mut self, other: &Self) {
        self.seconds += other.seconds;
        self.request_seconds += other.request_seconds;
        self.completions += other.completions;
        self.sent += other.sent;
        self.latency_sum += other.latency_sum;
        self.latency_square_sum += other.latency_square_sum;
    }
}

impl Default for ConcurrencyStatistics {
    fn default() -> Self {
        Self {
            levels: [LevelStatistics::default(); LEVELS],
        }
    }
}

/// The level that a number of requests in flight belongs to.
fn level_index(in_flight: usize) -> usize {
    if in_flight < EXACT_LEVELS {
        return in_flight;
    }
    let doublings = (in_flight.min(MAX_CONCURRENCY) as f64 / EXACT_LEVELS as f64).log2();
    let beyond = doublings * LEVELS_PER_DOUBLING as f64;
    (EXACT_LEVELS + beyond as usize).min(LEVELS - 1)
}

impl ConcurrencyStatistics {
    /// Adds time during which so many requests were in flight.
    pub fn add_time(&mut self, in_flight: usize, seconds: f64) {
        let level = &mut self.levels[level_index(in_flight)];
        level.seconds += seconds;
        level.request_seconds += seconds * in_flight as f64;
    }

    /// Adds a completion while so many requests were in flight, the completed one included.
    pub fn add_completion(&mut self, in_flight: usize) {
        self.levels[level_index(in_flight)].completions += 1.0;
    }

    /// Adds the latency, in seconds, of a request after whose sending so many were in flight.
    pub fn add_latency(&mut self, in_flight: usize, seconds: f64) {
        let level = &mut self.levels[level_index(in_flight)];
        level.sent += 1.0;
        level.latency_sum += seconds;
        level.latency_square_sum += seconds * seconds;
    }

    /// Scales the weight of all observations so far by a factor.
    pub fn scale(&mut self, factor: f64) {
        for level in &mut self.levels {
            level.scale(factor);
        }
    }

    /// Adds the observations of others.
    pub fn merge(&mut self, other: &Self) {
        for (level, added) in self.levels.iter_mut().zip(&other.levels) {
            level.merge(added);
        }
    }

    /// The levels at which at least one request was in flight.
    pub fn busy_levels(&self) -> impl Iterator<Item = &LevelStatistics> {
        self.levels[1..].iter().filter(|level| level.seconds > 0.0)
    }

    /// Sums of completions and time over all levels.
    #[must_use]
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for level in &self.levels {
            totals.completions += level.completions;
            totals.seconds += level.seconds;
        }
        totals
    }

    /// Mean latency of the completed requests, in seconds.
    #[must_use]
    pub fn mean_latency(&self) -> f64 {
        let mut latency_sum = 0.0;
        let mut sent: f64 = 0.0;
        for level in &self.levels {
            latency_sum += level.latency_sum;
            sent += level.sent;
        }
        latency_sum / sent.max(1.0)
    }

    /// Mean number of requests in flight over time.
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

    /// Highest number of requests in flight that was observed for a time.
    #[must_use]
    pub fn highest_concurrency(&self) -> f64 {
        self.busy_levels()
            .map(LevelStatistics::concurrency)
            .fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;
