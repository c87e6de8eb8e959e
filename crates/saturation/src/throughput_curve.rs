//! Parametric family of curves of throughput over concurrency.
//!
//! With `n` requests in flight at `c` servers, of which `m = min(n, c)` are busy, the throughput is
//! `r m / (1 + s (m - 1) + k n (n - 1))`: the universal scalability law (N. Gunther) with
//! contention `s` and coherence `k`, in front of which requests queue for a server. `s = k = 0` is
//! a queue with `c` servers, and an unbounded `c` is the universal scalability law itself.

/// A curve of throughput over the number of requests in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ThroughputCurve {
    /// Throughput with a single request in flight, in completions per second.
    pub single_throughput: f64,
    /// Shape of the curve.
    pub shape: CurveShape,
}

/// The shape of a curve: the throughput as a multiple of that with a single request in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CurveShape {
    /// Number of servers. Requests in flight beyond it wait.
    pub servers: f64,
    /// Contention: share of the work that is serialized.
    pub contention: f64,
    /// Coherence: cost that each request in flight imposes on every other one.
    pub coherence: f64,
}

/// The saturation point of a curve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Peak {
    /// Number of requests in flight.
    pub concurrency: f64,
    /// Throughput, in completions per second.
    pub throughput: f64,
}

impl ThroughputCurve {
    /// Returns the throughput with `concurrency` requests in flight, in completions per second.
    #[must_use]
    pub fn throughput(&self, concurrency: f64) -> f64 {
        self.single_throughput * self.shape.speedup(concurrency)
    }

    /// Returns the saturation point: the lowest concurrency with the highest throughput.
    #[must_use]
    pub fn peak(&self) -> Peak {
        let concurrency = self.shape.peak_concurrency();
        Peak {
            concurrency,
            throughput: self.throughput(concurrency),
        }
    }
}

impl CurveShape {
    /// Returns the throughput with `concurrency` requests in flight, as a multiple of that with a
    /// single one.
    #[must_use]
    pub fn speedup(&self, concurrency: f64) -> f64 {
        let busy = concurrency.min(self.servers);
        let contention = self.contention * (busy - 1.0).max(0.0);
        let coherence = self.coherence * concurrency * (concurrency - 1.0).max(0.0);
        busy / (1.0 + contention + coherence)
    }

    /// Returns the concurrency of the highest throughput: `sqrt((1 - s) / k)` by the universal
    /// scalability law, but at most the number of servers.
    fn peak_concurrency(&self) -> f64 {
        if self.coherence <= 0.0 {
            return self.servers;
        }
        let by_coherence = ((1.0 - self.contention) / self.coherence).sqrt().max(1.0);
        self.servers.min(by_coherence)
    }
}
