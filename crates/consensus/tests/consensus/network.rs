//! The sessions between simulated processes: ordered, delayed, and cut in either direction.

use crate::link::Link;
use cleatpulley_consensus::NodeId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A message in flight.
pub struct InFlight {
    arrives_at: u64,
    pub bytes: Vec<u8>,
}

/// The sessions between processes.
pub struct Network {
    in_flight: BTreeMap<Link, VecDeque<InFlight>>,
    /// Links that drop all messages, unnoticed by both ends.
    pub cut: BTreeSet<Link>,
    /// The bound of the random part of a message's delay.
    pub max_jitter: u64,
}

impl Network {
    /// Returns a network without messages in flight.
    pub fn new(max_jitter: u64) -> Self {
        Self {
            in_flight: BTreeMap::new(),
            cut: BTreeSet::new(),
            max_jitter,
        }
    }

    /// Returns when the next message arrives.
    pub fn next_arrival(&self) -> Option<u64> {
        self.in_flight
            .values()
            .filter_map(|queue| queue.front())
            .map(|message| message.arrives_at)
            .min()
    }

    /// Removes and returns a message that has arrived, with its link.
    pub fn take_arrived(&mut self, now: u64) -> Option<(Link, InFlight)> {
        let (link, queue) = self.in_flight.iter_mut().find(|(_, queue)| {
            queue
                .front()
                .is_some_and(|message| message.arrives_at <= now)
        })?;
        queue.pop_front().map(|message| (*link, message))
    }

    /// Sends a message, to arrive at this time and not before those sent earlier.
    pub fn send(&mut self, link: Link, earliest: u64, bytes: Vec<u8>) {
        if self.cut.contains(&link) {
            return;
        }
        let queue = self.in_flight.entry(link).or_default();
        let predecessor = queue.back().map_or(0, |message| message.arrives_at);
        queue.push_back(InFlight {
            arrives_at: earliest.max(predecessor),
            bytes,
        });
    }

    /// Puts a message back at the head of its link, as in the session's receive buffer.
    pub fn delay(&mut self, link: Link, arrives_at: u64, bytes: Vec<u8>) {
        let queue = self.in_flight.entry(link).or_default();
        queue.push_front(InFlight { arrives_at, bytes });
    }

    /// Drops all messages between two processes.
    pub fn drop_in_flight(&mut self, ends: [NodeId; 2]) {
        for link in Link::both(ends) {
            self.in_flight.remove(&link);
        }
    }
}
