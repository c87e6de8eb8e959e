//! Small versioned values that each process publishes about itself.
//!
//! They form a state-based CRDT: the same set of metrics merges to the same state in any order and
//! with any repetition. Of two metrics of the same process and kind, the one with the later
//! incarnation wins, then the higher version, then the greater value, compared by bytes, so that
//! all processes agree even if a process publishes two values under one version.
//!
//! A metric expires with its process, or when it has not been renewed for its lifetime. Its age is
//! measured by the clock of the receiver from the first reception on. This is a lower bound, as the
//! time in transit is not included. Users of a metric have to limit its influence on their
//! decisions.

use crate::identity::Identity;
use cleatpulley_policy::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 96;
/// Maximum number of kinds of metrics that a process may publish.
pub const MAX_KINDS: usize = 16;
/// Interval at which a process publishes its metrics again, even if unchanged, for processes that
/// have joined since.
pub const RENEWAL_INTERVAL: Micros = 2_000_000;

/// Kind of a metric: what it measures.
///
/// The order of the variants is their encoding in datagrams. `WarmUp` has to be the first, as
/// [`SharedMetrics::of_process`] relies on that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MetricKind {
    /// Share of its full speed that a process has reached during slow start, from 0 to 1.
    WarmUp,
    /// 1 since the start of a graceful shutdown, else 0.
    Draining,
    /// Capacity of the process, in the unit of its role.
    Capacity,
    /// Statistics of an upstream, or other metrics, by number.
    Other(u16),
}

/// A value published by a process in one of its incarnations.
///
/// Fields are encoded in datagrams in this order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Metric {
    /// Address of the process.
    pub address: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Kind of the metric.
    pub kind: MetricKind,
    /// Version of the value: increases with each publication in an incarnation.
    pub version: u64,
    /// Value of at most [`MAX_VALUE_BYTES`] bytes.
    pub value: Vec<u8>,
}

impl Metric {
    /// Decodes the value as an `f64` in little-endian bytes; `None` if it is not a finite number.
    #[must_use]
    pub fn as_number(&self) -> Option<f64> {
        let bytes = <[u8; 8]>::try_from(&self.value[..]).ok()?;
        Some(f64::from_le_bytes(bytes)).filter(|number| number.is_finite())
    }

    /// Returns whether this metric wins over another one of the same process and kind.
    fn supersedes(&self, other: &Self) -> bool {
        let precedence = |metric: &Self| (metric.incarnation, metric.version);
        precedence(self)
            .cmp(&precedence(other))
            .then_with(|| self.value.cmp(&other.value))
            .is_gt()
    }
}

/// A metric and the time of its first reception.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Received {
    metric: Metric,
    received_at: Micros,
}

/// The merged metrics of all members.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedMetrics {
    /// Incarnations of the members, by address.
    alive: BTreeMap<SocketAddr, u64>,
    metrics: BTreeMap<(SocketAddr, MetricKind), Received>,
}

impl SharedMetrics {
    /// Notes that a process is alive in this incarnation, and drops the metrics of its other
    /// incarnations.
    pub fn set_alive(&mut self, identity: &Identity) {
        self.alive.insert(identity.address, identity.incarnation);
        self.metrics.retain(|(address, _), received| {
            *address != identity.address || received.metric.incarnation == identity.incarnation
        });
    }

    /// Notes that an incarnation of a process is down, and drops its metrics.
    pub fn set_down(&mut self, identity: &Identity) {
        if self.alive.get(&identity.address) == Some(&identity.incarnation) {
            self.alive.remove(&identity.address);
            self.metrics
                .retain(|(address, _), _| *address != identity.address);
        }
    }

    /// Merges a metric. Returns whether it changed the state.
    ///
    /// Ignores values longer than [`MAX_VALUE_BYTES`], more than [`MAX_KINDS`] kinds of a process,
    /// and metrics of processes that are not alive in the same incarnation.
    pub fn merge(&mut self, now: Micros, metric: Metric) -> bool {
        let is_alive = self.alive.get(&metric.address) == Some(&metric.incarnation);
        if !is_alive || metric.value.len() > MAX_VALUE_BYTES {
            return false;
        }
        let key = (metric.address, metric.kind);
        let is_accepted = match self.metrics.get(&key) {
            Some(known) => metric.supersedes(&known.metric),
            None => self.of_process(metric.address).count() < MAX_KINDS,
        };
        if !is_accepted {
            return false;
        }
        let received = Received {
            metric,
            received_at: now,
        };
        self.metrics.insert(key, received);
        true
    }

    /// Drops metrics that are older than `lifetime`.
    pub fn expire(&mut self, now: Micros, lifetime: Micros) {
        self.metrics
            .retain(|_, received| now.saturating_sub(received.received_at) <= lifetime);
    }

    /// Returns the metrics of a process.
    pub fn of_process(&self, address: SocketAddr) -> impl Iterator<Item = &Metric> {
        let first_key = (address, MetricKind::WarmUp);
        self.metrics
            .range(first_key..)
            .take_while(move |((owner, _), _)| *owner == address)
            .map(|(_, received)| &received.metric)
    }

    /// Returns the metrics of a kind, each with a lower bound of its age.
    pub fn of_kind(
        &self,
        now: Micros,
        kind: MetricKind,
    ) -> impl Iterator<Item = (&Metric, Micros)> {
        self.metrics
            .iter()
            .filter(move |((_, metric_kind), _)| *metric_kind == kind)
            .map(move |(_, received)| {
                let age = now.saturating_sub(received.received_at);
                (&received.metric, age)
            })
    }

    /// Returns the number of metrics.
    #[must_use]
    pub fn len(&self) -> usize {
        self.metrics.len()
    }

    /// Returns whether there are no metrics.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.metrics.is_empty()
    }
}

#[cfg(test)]
mod tests;
