//! The metrics that this process publishes about itself.

use crate::identity::Identity;
use crate::shared_metrics::{Metric, MetricKind};
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeMap;

/// The latest value of each kind of metric.
#[derive(Default)]
pub(super) struct OwnMetrics {
    values: BTreeMap<MetricKind, VersionedValue>,
    /// When all metrics are published again.
    pub(super) next_renewal: Micros,
}

#[derive(Default)]
struct VersionedValue {
    /// Version that was last published under this incarnation, or 0 if none was.
    version: u64,
    value: Vec<u8>,
}

impl OwnMetrics {
    /// Replaces the value of a kind.
    pub(super) fn set(&mut self, kind: MetricKind, value: Vec<u8>) {
        self.values.entry(kind).or_default().value = value;
    }

    /// Returns the metric of a kind with its next version, for publication.
    pub(super) fn next_version(&mut self, owner: &Identity, kind: MetricKind) -> Option<Metric> {
        let current = self.values.get_mut(&kind)?;
        current.version += 1;
        Some(Metric {
            address: owner.address,
            incarnation: owner.incarnation,
            kind,
            version: current.version,
            value: current.value.clone(),
        })
    }

    /// Returns the kinds that have a value.
    pub(super) fn kinds(&self) -> Vec<MetricKind> {
        self.values.keys().copied().collect()
    }

    /// Restarts the versions under a new incarnation, and schedules an immediate renewal.
    pub(super) fn restart_versions(&mut self, now: Micros) {
        for current in self.values.values_mut() {
            current.version = 0;
        }
        self.next_renewal = now;
    }
}
