//! Merging, expiry and limits of shared metrics.

use super::*;
use crate::identity::{Label, Role};
use proptest::prelude::*;

fn process(port: u16, incarnation: u64) -> Identity {
    let label = |text: &str| Label::try_from(text.to_owned()).expect("a label");
    Identity {
        name: label(&format!("p{port}")),
        incarnation,
        boot_id: 0,
        address: ([127, 0, 0, 1], port).into(),
        role: Role::Server,
        zone: label("mona"),
        host: label("h1"),
    }
}

fn metric() -> impl Strategy<Value = Metric> {
    (1..4u16, 1..3u64, 0..3u16, 0..4u64, 0..3u8).prop_map(
        |(port, incarnation, kind, version, value)| {
            let address = ([127, 0, 0, 1], port).into();
            Metric {
                address,
                incarnation,
                kind: MetricKind::Other(kind),
                version,
                value: vec![value],
            }
        },
    )
}

proptest! {
    /// The merged state depends neither on order nor on repetition.
    #[test]
    fn metrics_merge_to_the_same_state_in_any_order_and_repetition(
        published in proptest::collection::vec(metric(), 0..40), order in any::<u64>(),
    ) {
        let mut in_order = SharedMetrics::default();
        (1..4).for_each(|port| in_order.set_alive(&process(port, 2)));
        let mut shuffled = in_order.clone();
        published.iter().for_each(|metric| { in_order.merge(0, metric.clone()); });
        let mut updates: Vec<_> = published.iter().chain(&published).cloned().collect();
        updates.sort_by_key(|metric| {
            (metric.version ^ order, metric.value[0] ^ order as u8, metric.address)
        });
        updates.into_iter().for_each(|metric| { shuffled.merge(0, metric); });
        prop_assert_eq!(in_order, shuffled);
    }
}

#[test]
fn metric_expires_with_its_incarnation_and_its_lifetime() {
    let (old, new) = (process(1, 5), process(1, 6));
    let metric_of = |identity: &Identity, version| Metric {
        address: identity.address,
        incarnation: identity.incarnation,
        kind: MetricKind::WarmUp,
        version,
        value: 0.5f64.to_le_bytes().to_vec(),
    };
    let mut metrics = SharedMetrics::default();
    assert!(
        !metrics.merge(0, metric_of(&old, 1)),
        "the process is not alive"
    );
    metrics.set_alive(&old);
    assert!(metrics.merge(0, metric_of(&old, 9)) && !metrics.merge(0, metric_of(&old, 9)));
    assert_eq!(
        metrics
            .of_kind(7, MetricKind::WarmUp)
            .next()
            .map(|(metric, age)| (metric.as_number(), age)),
        Some((Some(0.5), 7))
    );
    metrics.set_alive(&new);
    assert!(
        metrics.is_empty(),
        "metrics of the former incarnation are dropped"
    );
    assert!(!metrics.merge(0, metric_of(&old, 10)) && metrics.merge(10, metric_of(&new, 1)));
    metrics.set_down(&old);
    assert_eq!(
        metrics.len(),
        1,
        "the end of the old incarnation changes nothing"
    );
    metrics.expire(20, 10);
    assert_eq!(metrics.len(), 1);
    metrics.expire(21, 10);
    assert!(metrics.is_empty());
}

#[test]
fn limits_the_number_and_the_size_of_metrics_of_a_process() {
    let mut metrics = SharedMetrics::default();
    metrics.set_alive(&process(1, 1));
    let address = process(1, 1).address;
    for kind in 0..200 {
        let metric = Metric {
            address,
            incarnation: 1,
            kind: MetricKind::Other(kind),
            version: 1,
            value: vec![0],
        };
        metrics.merge(0, metric);
    }
    assert_eq!(metrics.len(), MAX_KINDS);
    let too_long = Metric {
        address,
        incarnation: 1,
        kind: MetricKind::Other(0),
        version: 2,
        value: vec![0; MAX_VALUE_BYTES + 1],
    };
    assert!(!metrics.merge(0, too_long));
}
