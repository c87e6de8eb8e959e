//! Request limits of a location: rate limits (a leaky bucket per key) and limits of concurrent
//! requests per key.
//!
//! The number of keys with a rate is bounded. The least recently used key is evicted, because its
//! bucket has leaked for the longest time.

use crate::balancer::Micros;
use crate::model::Limit;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};

/// Maximum length of a stored key. Longer keys are stored by their hash, because callers choose the
/// keys and all of them are kept.
const MAX_KEY_BYTES: usize = 64;
/// Maximum number of keys whose rate a zone tracks.
const MAX_RATE_KEYS_PER_ZONE: usize = 65_536;

#[derive(Debug, Default)]
struct Zone {
    /// By key: excess in thousandths of a request at the last request, time of that request, and its
    /// sequence number in `keys_by_last_use`.
    rate_states: HashMap<String, (u64, Micros, u64)>,
    keys_by_last_use: BTreeMap<u64, String>,
    last_sequence: u64,
    in_flight: HashMap<String, u64>,
}

/// A request exceeds a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Time from now until a request with this key is admitted; 0 if that depends on more than time.
    pub retry_after: Micros,
    /// Status of the response.
    pub status: u16,
}

/// Rates and concurrent requests of all zones.
#[derive(Debug, Default)]
pub struct RequestLimiter {
    zones: HashMap<String, Zone>,
}

impl RequestLimiter {
    /// Admits a request and counts it against all limits, or rejects it and counts it against none.
    /// Each limit comes with the value of its key; an empty key is not limited, as in nginx.
    ///
    /// # Errors
    /// The first limit that is exceeded.
    pub fn try_acquire(
        &mut self,
        now: Micros,
        limits: &[(&Limit, String)],
    ) -> Result<(), LimitExceeded> {
        let limits_with_key = || {
            limits
                .iter()
                .filter(|(_, key)| !key.is_empty())
                .map(|(limit, key)| (limit, bounded_key(key)))
        };
        for (limit, key) in limits_with_key() {
            let zone = self.zones.entry(limit.zone.clone()).or_default();
            let exceeded = match limit.rate {
                0 => (zone.in_flight.get(&*key).copied().unwrap_or(0) >= limit.burst).then_some(0),
                rate => {
                    let excess = zone.excess(now, &key, rate);
                    let max_excess = limit.burst * 1_000;
                    (excess > max_excess).then(|| (excess - max_excess) * 1_000_000 / rate)
                }
            };
            if let Some(retry_after) = exceeded {
                return Err(LimitExceeded {
                    retry_after,
                    status: limit.status,
                });
            }
        }
        for (limit, key) in limits_with_key() {
            let Some(zone) = self.zones.get_mut(&limit.zone) else {
                continue;
            };
            match limit.rate {
                0 => *zone.in_flight.entry(key.into_owned()).or_default() += 1,
                rate => zone.record_request(now, &key, rate),
            }
        }
        Ok(())
    }

    /// Releases the concurrent request that [`try_acquire`](Self::try_acquire) has admitted.
    pub fn release(&mut self, limits: &[(&Limit, String)]) {
        for (limit, key) in limits
            .iter()
            .filter(|(limit, key)| limit.rate == 0 && !key.is_empty())
        {
            let key = &*bounded_key(key);
            let Some(zone) = self.zones.get_mut(&limit.zone) else {
                continue;
            };
            if let Some(count) = zone.in_flight.get_mut(key) {
                *count -= 1;
                if *count == 0 {
                    zone.in_flight.remove(key);
                }
            }
        }
    }

    /// Returns the number of keys in all zones.
    #[must_use]
    pub fn tracked_keys(&self) -> usize {
        self.zones
            .values()
            .map(|zone| zone.rate_states.len() + zone.in_flight.len())
            .sum()
    }
}

fn bounded_key(key: &str) -> Cow<'_, str> {
    match key.len() {
        0..=MAX_KEY_BYTES => Cow::Borrowed(key),
        _ => Cow::Owned(format!(
            "{:032x}",
            xxhash_rust::xxh3::xxh3_128(key.as_bytes())
        )),
    }
}

impl Zone {
    /// Returns the excess over the rate, in thousandths of a request, if a request arrived now: 1,000
    /// for each request, less what has leaked since. The first request of a key has no excess.
    fn excess(&self, now: Micros, key: &str, rate: u64) -> u64 {
        let Some((excess, last_seen, _)) = self.rate_states.get(key) else {
            return 0;
        };
        let leaked = u128::from(now.saturating_sub(*last_seen)) * u128::from(rate) / 1_000_000;
        (excess + 1_000).saturating_sub(u64::try_from(leaked).unwrap_or(u64::MAX))
    }

    fn record_request(&mut self, now: Micros, key: &str, rate: u64) {
        let excess = self.excess(now, key, rate);
        self.last_sequence += 1;
        if let Some((_, _, sequence)) = self
            .rate_states
            .insert(key.to_owned(), (excess, now, self.last_sequence))
        {
            self.keys_by_last_use.remove(&sequence);
        }
        self.keys_by_last_use
            .insert(self.last_sequence, key.to_owned());
        if self.rate_states.len() > MAX_RATE_KEYS_PER_ZONE {
            if let Some((_, oldest)) = self.keys_by_last_use.pop_first() {
                self.rate_states.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limit(rate: u64, burst: u64) -> Limit {
        Limit {
            key: String::new(),
            zone: format!("z{rate}"),
            rate,
            burst,
            status: 429,
        }
    }

    #[test]
    fn rate_and_burst_are_enforced_and_the_wait_is_reported() {
        let (mut limits, limit) = (RequestLimiter::default(), limit(10_000, 2));
        let mut try_acquire = |now: Micros| limits.try_acquire(now, &[(&limit, "a".to_owned())]);
        assert_eq!(
            [try_acquire(0), try_acquire(0), try_acquire(0)],
            [Ok(()); 3]
        );
        assert_eq!(
            try_acquire(0),
            Err(LimitExceeded {
                retry_after: 100_000,
                status: 429
            })
        );
        assert_eq!(
            try_acquire(99_000),
            Err(LimitExceeded {
                retry_after: 1_000,
                status: 429
            })
        );
        assert_eq!(try_acquire(100_000), Ok(()));
        // The rate of ten requests per second holds over a longer time.
        let admitted = (0..10_000)
            .filter(|i| try_acquire(200_000 + i * 1_000).is_ok())
            .count();
        assert!((100..=103).contains(&admitted), "{admitted} in 10 s");
    }

    #[test]
    fn concurrent_requests_are_counted_by_key_and_released() {
        let (mut limits, limit) = (RequestLimiter::default(), limit(0, 2));
        let a = [(&limit, "a".to_owned())];
        assert_eq!(
            [limits.try_acquire(0, &a), limits.try_acquire(0, &a)],
            [Ok(()); 2]
        );
        assert!(
            limits.try_acquire(0, &a).is_err()
                && limits.try_acquire(0, &[(&limit, "b".to_owned())]).is_ok()
        );
        limits.release(&a);
        assert!(limits.try_acquire(0, &a).is_ok());
        assert!((0..10).all(|_| limits.try_acquire(0, &[(&limit, String::new())]).is_ok()));
        limits.release(&a);
        limits.release(&a);
        assert_eq!(limits.tracked_keys(), 1);
    }

    #[test]
    fn a_request_rejected_by_one_limit_counts_against_none() {
        let (mut limits, rate_limit, concurrency_limit) =
            (RequestLimiter::default(), limit(1_000, 0), limit(0, 1));
        let key = || "a".to_owned();
        limits
            .try_acquire(0, &[(&concurrency_limit, key())])
            .unwrap();
        assert!(limits
            .try_acquire(0, &[(&rate_limit, key()), (&concurrency_limit, key())])
            .is_err());
        assert_eq!(limits.try_acquire(0, &[(&rate_limit, key())]), Ok(()));
    }

    /// Guards against thousands of stored keys of kilobytes each.
    #[test]
    fn long_keys_stay_distinct_and_are_stored_by_hash() {
        let (mut limits, limit) = (RequestLimiter::default(), limit(0, 1));
        let key = |end: &str| [(&limit, "k".repeat(10_000) + end)];
        assert!(
            limits.try_acquire(0, &key("a")).is_ok() && limits.try_acquire(0, &key("b")).is_ok()
        );
        assert!(limits.try_acquire(0, &key("a")).is_err());
        assert!(limits
            .zones
            .values()
            .flat_map(|zone| zone.in_flight.keys())
            .all(|key| key.len() <= MAX_KEY_BYTES));
        limits.release(&key("a"));
        assert!(limits.try_acquire(0, &key("a")).is_ok());
    }

    #[test]
    fn rate_keys_of_a_zone_are_bounded() {
        let (mut limits, limit) = (RequestLimiter::default(), limit(1_000, 0));
        for number in 0..3 * MAX_RATE_KEYS_PER_ZONE {
            limits
                .try_acquire(number as u64, &[(&limit, number.to_string())])
                .unwrap();
        }
        assert_eq!(limits.tracked_keys(), MAX_RATE_KEYS_PER_ZONE);
    }
}
