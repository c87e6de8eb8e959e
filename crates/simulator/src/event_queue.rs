//! Event queue for a simulation: nearly all events are due within a fraction of a second, and time
//! never goes back. A ring of short time buckets holds those, each sorted only when it becomes
//! current; a binary heap holds the rest until they are near. `cleatpulley check simulator`
//! compares it with a binary heap alone.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of a bucket in microseconds, as a power of two.
const BUCKET_BITS: u32 = 6;
/// Number of buckets in the ring: a quarter of a second.
const RING_BUCKETS: u64 = 4_096;

struct FarEvent<T> {
    key: (u64, u64),
    event: T,
}

impl<T> PartialEq for FarEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<T> Eq for FarEvent<T> {}

impl<T> PartialOrd for FarEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for FarEvent<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

/// Events in the order of their times, and of insertion where times are equal.
pub struct EventQueue<T> {
    /// Events by bucket, unsorted.
    ring: Vec<Vec<(u64, u64, T)>>,
    /// Bitmap of buckets that are not empty.
    occupied: Vec<u64>,
    /// The current bucket, sorted with the next event at the end.
    current: Vec<(u64, u64, T)>,
    /// Number of the current bucket, counted from time 0.
    bucket: u64,
    far: BinaryHeap<Reverse<FarEvent<T>>>,
    number: u64,
    len: usize,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            ring: (0..RING_BUCKETS).map(|_| Vec::new()).collect(),
            occupied: vec![0; (RING_BUCKETS / 64) as usize],
            current: Vec::new(),
            bucket: 0,
            far: BinaryHeap::new(),
            number: 0,
            len: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event; an event before the current bucket is moved to its start.
    pub fn push(&mut self, at: u64, event: T) {
        self.number += 1;
        self.len += 1;
        let at = at.max(self.bucket << BUCKET_BITS);
        let bucket = at >> BUCKET_BITS;
        if bucket == self.bucket {
            let key = (at, self.number);
            let index = self
                .current
                .partition_point(|(at, number, _)| (*at, *number) > key);
            self.current.insert(index, (at, self.number, event));
        } else if bucket < self.bucket + RING_BUCKETS {
            self.insert_near(at, self.number, event);
        } else {
            self.far.push(Reverse(FarEvent {
                key: (at, self.number),
                event,
            }));
        }
    }

    fn insert_near(&mut self, at: u64, number: u64, event: T) {
        let index = ((at >> BUCKET_BITS) % RING_BUCKETS) as usize;
        self.ring[index].push((at, number, event));
        self.occupied[index / 64] |= 1 << (index % 64);
    }

    /// Number of the next bucket in the ring that is not empty.
    fn next_occupied(&self) -> Option<u64> {
        let words = self.occupied.len();
        let from = ((self.bucket + 1) % RING_BUCKETS) as usize;
        for step in 0..=words {
            let word = (from / 64 + step) % words;
            let mut bits = self.occupied[word];
            if step == 0 {
                bits &= !0 << (from % 64);
            } else if step == words {
                bits &= !(!0 << (from % 64));
            }
            if bits != 0 {
                let index = (word * 64) as u64 + u64::from(bits.trailing_zeros());
                return Some(self.bucket + 1 + (index + RING_BUCKETS - from as u64) % RING_BUCKETS);
            }
        }
        None
    }

    /// Removes the next event; returns its time and the event.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        if self.current.is_empty() {
            let far = self.far.peek().map(|Reverse(far)| far.key.0 >> BUCKET_BITS);
            self.bucket = [self.next_occupied(), far].into_iter().flatten().min()?;
            // Moves events that have come within reach of the ring.
            while self
                .far
                .peek()
                .is_some_and(|Reverse(far)| far.key.0 >> BUCKET_BITS < self.bucket + RING_BUCKETS)
            {
                if let Some(Reverse(FarEvent {
                    key: (at, number),
                    event,
                })) = self.far.pop()
                {
                    self.insert_near(at, number, event);
                }
            }
            let index = (self.bucket % RING_BUCKETS) as usize;
            std::mem::swap(&mut self.current, &mut self.ring[index]);
            self.occupied[index / 64] &= !(1 << (index % 64));
            self.current
                .sort_unstable_by_key(|(at, number, _)| Reverse((*at, *number)));
        }
        let (at, _, event) = self.current.pop()?;
        self.len -= 1;
        Some((at, event))
    }

    /// Number of pending events.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns true if no event is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    #[test]
    fn events_are_popped_in_the_order_of_time_and_then_of_insertion() {
        for (seed, span) in [(3, 50), (4, 2_000), (5, 400_000), (6, 9_000_000)] {
            let mut random = SmallRng::seed_from_u64(seed);
            let (mut queue, mut model, mut now) =
                (EventQueue::default(), std::collections::BTreeSet::new(), 0);
            for number in 0..20_000_u64 {
                if random.random_range(0..5) < 3 {
                    let at = now + random.random_range(0..4) * random.random_range(0..span);
                    queue.push(at, number);
                    model.insert((at, number));
                } else if let Some(next) = model.pop_first() {
                    assert_eq!(queue.pop(), Some(next));
                    now = next.0;
                }
                assert_eq!(queue.len(), model.len());
            }
            assert!(model.into_iter().all(|next| queue.pop() == Some(next)) && queue.is_empty());
        }
    }
}
