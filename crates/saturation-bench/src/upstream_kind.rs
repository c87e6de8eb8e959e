//! Kinds of emulated upstreams.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Concurrency below which the highest throughput is searched.
const MAX_CONCURRENCY: i32 = 2_000;

/// How an upstream serves its requests.
#[derive(Debug, Clone, Copy)]
pub enum UpstreamKind {
    /// Servers behind one first-come first-served queue.
    Queue {
        /// Number of servers.
        servers: usize,
        /// Mean service time, in seconds.
        service_time: f64,
        /// Variability of the service time: 0 for a constant one, 1 for an exponential one.
        variability: f64,
    },
    /// Processor sharing by the universal scalability law.
    Shared {
        /// Throughput of a single request in flight, in completions a second.
        single_throughput: f64,
        /// Contention.
        contention: f64,
        /// Coherence.
        coherence: f64,
    },
}

impl UpstreamKind {
    /// Draws a kind: one in three shared, the others queues.
    #[must_use]
    pub fn random(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        if random.random_range(0..3) == 0 {
            return Self::Shared {
                single_throughput: random.random_range(5.0..60.0),
                contention: random.random_range(0.01..0.2),
                coherence: random.random_range(0.0005..0.01),
            };
        }
        let servers = random.random_range(1..24);
        Self::Queue {
            servers,
            service_time: random.random_range(0.005..0.1),
            variability: random.random_range(0.2..1.0),
        }
    }

    /// Throughput at saturation, in completions a second.
    #[must_use]
    pub fn saturation_throughput(self) -> f64 {
        (1..MAX_CONCURRENCY)
            .map(|concurrency| self.throughput(f64::from(concurrency)))
            .fold(0.0, f64::max)
    }

    /// Mean throughput with so many requests in flight, in completions a second.
    #[must_use]
    pub fn throughput(self, concurrency: f64) -> f64 {
        match self {
            Self::Queue {
                servers,
                service_time,
                ..
            } => concurrency.min(servers as f64) / service_time,
            Self::Shared {
                single_throughput,
                contention,
                coherence,
            } => {
                single_throughput * concurrency
                    / (1.0
                        + contention * (concurrency - 1.0)
                        + coherence * concurrency * (concurrency - 1.0))
            }
        }
    }

    /// Mean latency of a single request in flight, in seconds.
    #[must_use]
    pub fn uncontended_latency(self) -> f64 {
        1.0 / self.throughput(1.0)
    }

    /// Requests that are served at the same time; others wait.
    pub(crate) fn servers(self) -> usize {
        match self {
            Self::Queue { servers, .. } => servers,
            Self::Shared { .. } => usize::MAX,
        }
    }

    /// Work that each of so many requests gets done in a second, in the unit of
    /// [`draw_work`](Self::draw_work).
    pub(crate) fn service_rate(self, in_service: usize) -> f64 {
        match self {
            Self::Queue { .. } => 1.0,
            Self::Shared { .. } => self.throughput(in_service as f64) / in_service.max(1) as f64,
        }
    }

    /// Draws the work of a request: seconds at a server of a queue, or the share of a mean request.
    pub(crate) fn draw_work(self, random: &mut SmallRng) -> f64 {
        match self {
            Self::Queue {
                service_time,
                variability,
                ..
            } => service_time * (1.0 - variability + variability * draw_exponential(random)),
            Self::Shared { .. } => draw_exponential(random),
        }
    }
}

/// Draws from the exponential distribution of mean 1.
pub(crate) fn draw_exponential(random: &mut SmallRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
