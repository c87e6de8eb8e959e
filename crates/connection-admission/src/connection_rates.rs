//! Rate limits on new connections per address and per prefix.

use crate::address_prefix::AddressPrefix;
use crate::decision::RejectReason;
use crate::rate_sketch::{BucketReading, RateSketch};
use crate::settings::Settings;
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::net::IpAddr;

/// Ratio of the address sketch's width to the prefix sketch's: fewer prefixes than addresses are
/// active at the same time.
const PREFIX_SKETCH_WIDTH_DIVISOR: usize = 8;

/// The buckets of one rate limit; `None` if the limit is not configured.
#[derive(Debug)]
struct RateLimiter {
    sketch: Option<RateSketch>,
}

impl RateLimiter {
    fn read(&self, now: Micros, key: u64) -> Option<BucketReading> {
        self.sketch.as_ref().map(|sketch| sketch.read(now, key))
    }

    fn has_capacity(&self, reading: Option<&BucketReading>) -> bool {
        match (&self.sketch, reading) {
            (Some(sketch), Some(reading)) => sketch.has_capacity(reading),
            _ => true,
        }
    }

    fn record(&mut self, reading: Option<&BucketReading>) {
        if let (Some(sketch), Some(reading)) = (&mut self.sketch, reading) {
            sketch.record(reading);
        }
    }

    fn memory_bytes(&self) -> usize {
        self.sketch.as_ref().map_or(0, RateSketch::memory_bytes)
    }
}

/// The rate limits on new connections by address and by prefix.
#[derive(Debug)]
pub(crate) struct ConnectionRates {
    by_address: RateLimiter,
    by_prefix: RateLimiter,
    hash_seed: u64,
}

impl ConnectionRates {
    pub(crate) fn new(settings: &Settings, now: Micros) -> Self {
        let address_sketch = settings
            .address_limits
            .rate
            .map(|limit| RateSketch::new(limit, settings.sketch_width, now));
        let prefix_width = settings.sketch_width / PREFIX_SKETCH_WIDTH_DIVISOR;
        let prefix_sketch = settings
            .prefix_limits
            .rate
            .map(|limit| RateSketch::new(limit, prefix_width, now));
        Self {
            by_address: RateLimiter {
                sketch: address_sketch,
            },
            by_prefix: RateLimiter {
                sketch: prefix_sketch,
            },
            hash_seed: settings.seed,
        }
    }

    /// Counts a new connection if both limits permit it. A connection that either limit rejects is
    /// counted by neither.
    pub(crate) fn try_acquire(
        &mut self,
        now: Micros,
        address: IpAddr,
        prefix: AddressPrefix,
    ) -> Result<(), RejectReason> {
        let address_key = AddressPrefix::from_address(address).keyed_hash(self.hash_seed);
        let prefix_key = prefix.keyed_hash(self.hash_seed);
        // Both sketches are read before either is checked, so that the cache misses on their cells
        // overlap.
        let address_reading = self.by_address.read(now, address_key);
        let prefix_reading = self.by_prefix.read(now, prefix_key);
        if !is_bug_injected(InjectedBug::ConnectionRateUncounted) {
            if !self.by_address.has_capacity(address_reading.as_ref()) {
                return Err(RejectReason::AddressRate);
            }
            if !self.by_prefix.has_capacity(prefix_reading.as_ref()) {
                return Err(RejectReason::PrefixRate);
            }
        }
        self.by_address.record(address_reading.as_ref());
        self.by_prefix.record(prefix_reading.as_ref());
        Ok(())
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        self.by_address.memory_bytes() + self.by_prefix.memory_bytes()
    }
}
