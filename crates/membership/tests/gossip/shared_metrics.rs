//! Dissemination and expiry of shared metrics.

use crate::emulated_network::{EmulatedNetwork, SECOND};
use cleatpulley_membership::MetricKind;

#[test]
fn metrics_reach_all_members_and_expire_with_their_process() {
    for seed in 0..4 {
        let mut network = EmulatedNetwork::new(seed);
        network.conditions.lost_per_mille = 100;
        let ports = network.start_cluster(10);
        network.run(10 * SECOND);

        for port in &ports {
            let now = network.now;
            let value = f64::from(*port) / 100.0;
            network.process_mut(*port).membership.publish(
                now,
                MetricKind::WarmUp,
                value.to_le_bytes().to_vec(),
            );
        }
        network.run(8 * SECOND);

        for port in &ports {
            let metrics = network.processes[port].membership.shared_metrics();
            let numbers: Vec<f64> = metrics
                .of_kind(network.now, MetricKind::WarmUp)
                .filter_map(|(metric, _)| metric.as_number())
                .collect();
            assert_eq!(
                numbers.len(),
                ports.len(),
                "seed {seed}: {port} knows {numbers:?}"
            );
            let oldest = metrics
                .of_kind(network.now, MetricKind::WarmUp)
                .map(|(_, age)| age)
                .max();
            assert!(oldest < Some(8 * SECOND), "seed {seed}: {oldest:?}");
        }

        network.kill(4);
        network.run(15 * SECOND);

        for port in ports.iter().filter(|port| **port != 4) {
            let metrics = network.processes[port].membership.shared_metrics();
            assert_eq!(
                metrics.of_kind(network.now, MetricKind::WarmUp).count(),
                ports.len() - 1,
                "seed {seed}: {port}"
            );
        }
    }
}
