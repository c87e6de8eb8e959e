use super::*;
use cleatpulley_policy::learned_state::{LearnedClass, LearnedDependency};

const NOW: Micros = 1_764_576_000_000_000;

fn learned_state() -> LearnedState {
    LearnedState {
        classes: vec![LearnedClass {
            run_time: 61_000.5,
            expected_work: 20_000.0,
            longest_remaining_time: 900_000,
        }],
        dependency: LearnedDependency {
            concurrency_limit: 6.4,
            latency: 8_100.0,
            baseline_latency: 7_900.0,
            backlog: 0.25,
            gap: 810.0,
        },
        run_limit: 9.5,
        rank_threshold: 0.125,
        advertised_capacity: 0.9,
        read_delay: 300.0,
        retry_ratio: 0.01,
    }
}

#[test]
fn decodes_the_learned_state_that_was_encoded() {
    let digest = site_digest("n1", &["a".to_owned()]);
    let text = encode(digest, NOW, &learned_state());
    assert_eq!(
        decode(digest, NOW + 5, &text).expect("a valid snapshot"),
        learned_state()
    );
}

#[test]
fn rejects_damaged_and_old_snapshots_and_those_of_another_site_or_version() {
    let own_site = site_digest("n1", &["a".to_owned()]);
    let text = encode(own_site, NOW, &learned_state());
    for position in 0..text.len() {
        assert!(
            decode(own_site, NOW, &text[..position]).is_err(),
            "{position}"
        );
        for bit in [1, 4] {
            let mut bytes = text.clone().into_bytes();
            bytes[position] ^= bit;
            let Ok(damaged) = String::from_utf8(bytes) else {
                continue;
            };
            assert!(
                decode(own_site, NOW, &damaged).is_err(),
                "byte {position} of {damaged}"
            );
        }
    }
    let other_site = site_digest("n1", &["b".to_owned()]);
    assert!(matches!(
        decode(other_site, NOW, &text),
        Err(SnapshotError::OtherSite)
    ));
    assert!(matches!(
        decode(own_site, NOW + MAX_AGE + 1, &text),
        Err(SnapshotError::OutsidePermittedAge(_))
    ));
    assert!(matches!(
        decode(own_site, NOW - MAX_AGE - 1, &text),
        Err(SnapshotError::OutsidePermittedAge(_))
    ));
    let snapshot = SnapshotEnvelope {
        version: 2,
        site_digest: own_site,
        taken_at: NOW,
        learned_state: "{}".into(),
        checksum: 0,
    };
    let text = serde_json::to_string(&snapshot).expect("JSON");
    assert!(matches!(
        decode(own_site, NOW, &text),
        Err(SnapshotError::UnsupportedVersion(2))
    ));
}
