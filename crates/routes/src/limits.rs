//! Limits of a location: requests a second, and open requests, by a key. The keys that are remembered are bounded; the
//! one not seen for longest makes room, as its count has leaked away first.

use crate::balancer::Micros;
use crate::model::Limit;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};

/// A key that is longer stands there by its hash: callers choose their keys, and all of them are remembered.
const LONGEST: usize = 64;
/// Keys of one zone.
const KEYS: usize = 65_536;

#[derive(Debug, Default)]
struct Zone {
    /// By key: thousandths of requests beyond the rate, when that was so, and the key's turn.
    rates: HashMap<String, (u64, Micros, u64)>,
    turns: BTreeMap<u64, String>,
    turn: u64,
    open: HashMap<String, u64>,
}

/// A limit is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitExceeded {
    /// When the next request of this key is let through, counted from now; 0 where no time tells.
    pub retry_after: Micros,
    /// Status of the answer.
    pub status: u16,
}

/// All zones.
#[derive(Debug, Default)]
pub struct RequestLimiter {
    zones: HashMap<String, Zone>,
}

impl RequestLimiter {
    /// Lets a request through all limits, or through none; each comes with the value of its key. An empty key is not
    /// counted, as in nginx.
    ///
    /// # Errors
    /// The first limit that is reached.
    pub fn try_acquire(
        &mut self,
        now: Micros,
        limits: &[(&Limit, String)],
    ) -> Result<(), LimitExceeded> {
        let counted = || {
            limits
                .iter()
                .filter(|(_, key)| !key.is_empty())
                .map(|(limit, key)| (limit, short(key)))
        };
        for (limit, key) in counted() {
            let zone = self.zones.entry(limit.zone.clone()).or_default();
            let over = match limit.rate {
                0 => (zone.open.get(&*key).copied().unwrap_or(0) >= limit.burst).then_some(0),
                rate => {
                    let excess = zone.excess(now, &key, rate);
                    let most = limit.burst * 1_000;
                    (excess > most).then(|| (excess - most) * 1_000_000 / rate)
                }
            };
            if let Some(retry_after) = over {
                return Err(LimitExceeded {
                    retry_after,
                    status: limit.status,
                });
            }
        }
        for (limit, key) in counted() {
            let Some(zone) = self.zones.get_mut(&limit.zone) else {
                continue;
            };
            match limit.rate {
                0 => *zone.open.entry(key.into_owned()).or_default() += 1,
                rate => zone.count(now, &key, rate),
            }
        }
        Ok(())
    }

    /// A request that was let through is over.
    pub fn release(&mut self, limits: &[(&Limit, String)]) {
        for (limit, key) in limits
            .iter()
            .filter(|(limit, key)| limit.rate == 0 && !key.is_empty())
        {
            let key = &*short(key);
            let Some(zone) = self.zones.get_mut(&limit.zone) else {
                continue;
            };
            if let Some(open) = zone.open.get_mut(key) {
                *open -= 1;
                if *open == 0 {
                    zone.open.remove(key);
                }
            }
        }
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.zones
            .values()
            .map(|zone| zone.rates.len() + zone.open.len())
            .sum()
    }
}

fn short(key: &str) -> Cow<'_, str> {
    match key.len() {
        0..=LONGEST => Cow::Borrowed(key),
        _ => Cow::Owned(format!(
            "{:032x}",
            xxhash_rust::xxh3::xxh3_128(key.as_bytes())
        )),
    }
}

impl Zone {
    /// Thousandths of requests beyond the rate if one came now: one thousand for each, less what has leaked. The first of
    /// a key is not beyond it.
    fn excess(&self, now: Micros, key: &str, rate: u64) -> u64 {
        let Some((excess, at, _)) = self.rates.get(key) else {
            return 0;
        };
        let leaked = u128::from(now.saturating_sub(*at)) * u128::from(rate) / 1_000_000;
        (excess + 1_000).saturating_sub(u64::try_from(leaked).unwrap_or(u64::MAX))
    }

    fn count(&mut self, now: Micros, key: &str, rate: u64) {
        let excess = self.excess(now, key, rate);
        self.turn += 1;
        if let Some((_, _, turn)) = self.rates.insert(key.to_owned(), (excess, now, self.turn)) {
            self.turns.remove(&turn);
        }
        self.turns.insert(self.turn, key.to_owned());
        if self.rates.len() > KEYS {
            if let Some((_, oldest)) = self.turns.pop_first() {
                self.rates.remove(&oldest);
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
    fn a_rate_and_its_burst_are_held_and_the_wait_is_told() {
        let (mut limits, limit) = (RequestLimiter::default(), limit(10_000, 2));
        let mut ask = |now: Micros| limits.try_acquire(now, &[(&limit, "a".to_owned())]);
        assert_eq!([ask(0), ask(0), ask(0)], [Ok(()); 3]);
        assert_eq!(
            ask(0),
            Err(LimitExceeded {
                retry_after: 100_000,
                status: 429
            })
        );
        assert_eq!(
            ask(99_000),
            Err(LimitExceeded {
                retry_after: 1_000,
                status: 429
            })
        );
        assert_eq!(ask(100_000), Ok(()));
        // Ten a second in the long run.
        let through = (0..10_000)
            .filter(|i| ask(200_000 + i * 1_000).is_ok())
            .count();
        assert!((100..=103).contains(&through), "{through} in 10 s");
    }

    #[test]
    fn open_requests_are_counted_by_key_and_given_back() {
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
        assert_eq!(limits.keys(), 1);
    }

    #[test]
    fn a_request_that_one_limit_stops_is_counted_by_none() {
        let (mut limits, rate, open) = (RequestLimiter::default(), limit(1_000, 0), limit(0, 1));
        let key = || "a".to_owned();
        limits.try_acquire(0, &[(&open, key())]).unwrap();
        assert!(limits
            .try_acquire(0, &[(&rate, key()), (&open, key())])
            .is_err());
        assert_eq!(limits.try_acquire(0, &[(&rate, key())]), Ok(()));
    }

    /// Guards against keys of kilobytes, of which a zone would remember thousands.
    #[test]
    fn long_keys_are_told_apart_and_take_little() {
        let (mut limits, limit) = (RequestLimiter::default(), limit(0, 1));
        let key = |end: &str| [(&limit, "k".repeat(10_000) + end)];
        assert!(
            limits.try_acquire(0, &key("a")).is_ok() && limits.try_acquire(0, &key("b")).is_ok()
        );
        assert!(limits.try_acquire(0, &key("a")).is_err());
        assert!(limits
            .zones
            .values()
            .flat_map(|zone| zone.open.keys())
            .all(|key| key.len() <= LONGEST));
        limits.release(&key("a"));
        assert!(limits.try_acquire(0, &key("a")).is_ok());
    }

    #[test]
    fn keys_that_are_always_new_take_a_bounded_room() {
        let (mut limits, limit) = (RequestLimiter::default(), limit(1_000, 0));
        for number in 0..3 * KEYS {
            limits
                .try_acquire(number as u64, &[(&limit, number.to_string())])
                .unwrap();
        }
        assert_eq!(limits.keys(), KEYS);
    }
}
