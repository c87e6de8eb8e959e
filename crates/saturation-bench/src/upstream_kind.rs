//! Kinds of emulated upstreams.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Upper bound of the concurrencies that are searched for the highest throughput.
const MAX_CONCURRENCY: i32 = 2_000;

/// The service discipline and the parameters of an emulated upstream.
#[derive(Debug, Clone, Copy)]
pub enum UpstreamKind {
    /// Servers behind a single first-come, first-served queue.
    Queue {
        /// Number of servers.
        servers: usize,
        /// Mean service time, in seconds.
        service_time: f64,
        /// Variability of the service time, from 0 (constant) to 1 (exponential).
        variability: f64,
    },
    /// Processor sharing, with a throughput by the universal scalability law.
    ProcessorSharing {
        /// Throughput with a single request in flight, in completions per second.
        single_throughput: f64,
        /// Contention of the universal scalability law.
        contention: f64,
        /// Coherence of the universal scalability law.
        coherence: f64,
    },
}

impl UpstreamKind {
    /// Generates a random upstream: processor sharing with a probability of 1/3, otherwise a queue.
    #[must_use]
    pub fn random(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        if rng.random_range(0..3) == 0 {
            return Self::ProcessorSharing {
                single_throughput: rng.random_range(5.0..60.0),
                contention: rng.random_range(0.01..0.2),
                coherence: rng.random_range(0.0005..0.01),
            };
        }
        let servers = rng.random_range(1..24);
        Self::Queue {
            servers,
            service_time: rng.random_range(0.005..0.1),
            variability: rng.random_range(0.2..1.0),
        }
    }

    /// Returns the throughput at saturation, in completions per second.
    #[must_use]
    pub fn saturation_throughput(self) -> f64 {
        (1..MAX_CONCURRENCY)
            .map(|concurrency| self.throughput(f64::from(concurrency)))
            .fold(0.0, f64::max)
    }

    /// Returns the mean throughput with `concurrency` requests in flight, in completions per
    /// second.
    #[must_use]
    pub fn throughput(self, concurrency: f64) -> f64 {
        match self {
            Self::Queue {
                servers,
                service_time,
                ..
            } => concurrency.min(servers as f64) / service_time,
            Self::ProcessorSharing {
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

    /// Returns the mean latency with a single request in flight, in seconds.
    #[must_use]
    pub fn uncontended_latency(self) -> f64 {
        1.0 / self.throughput(1.0)
    }

    /// Returns the maximum number of requests in service; others wait.
    pub(crate) fn servers(self) -> usize {
        match self {
            Self::Queue { servers, .. } => servers,
            Self::ProcessorSharing { .. } => usize::MAX,
        }
    }

    /// Returns the work done per second for each of `in_service` requests, in the unit of
    /// [`draw_work`](Self::draw_work).
    pub(crate) fn service_rate(self, in_service: usize) -> f64 {
        match self {
            Self::Queue { .. } => 1.0,
            Self::ProcessorSharing { .. } => {
                self.throughput(in_service as f64) / in_service.max(1) as f64
            }
        }
    }

    /// Draws the work of a request: its service time in seconds for a queue, or a multiple of the
    /// mean work for processor sharing.
    pub(crate) fn draw_work(self, rng: &mut SmallRng) -> f64 {
        match self {
            Self::Queue {
                service_time,
                variability,
                ..
            } => service_time * (1.0 - variability + variability * draw_exponential(rng)),
            Self::ProcessorSharing { .. } => draw_exponential(rng),
        }
    }
}

/// Draws from the exponential distribution with mean 1.
pub(crate) fn draw_exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
