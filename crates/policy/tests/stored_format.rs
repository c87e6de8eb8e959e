//! The serialized form of a learned state must stay byte-identical, since a successor process may
//! be of another release.
//!
//! `fixtures/learned.json` was written by release 0.2.

use cleatpulley_policy::learned_state::{LearnedClass, LearnedDependency, LearnedState};

const RELEASE_0_2_JSON: &str = include_str!("fixtures/learned.json");

fn learned_state() -> LearnedState {
    LearnedState {
        classes: vec![
            LearnedClass {
                run_time: 61_000.5,
                expected_work: 20_000.0,
                longest_remaining_time: 900_000,
            },
            LearnedClass {
                run_time: 1.0,
                expected_work: 0.0,
                longest_remaining_time: 0,
            },
        ],
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
fn deserializes_state_written_by_release_0_2() {
    assert_eq!(
        serde_json::from_str::<LearnedState>(RELEASE_0_2_JSON).expect("the fixture is valid JSON"),
        learned_state()
    );
}

#[test]
fn serializes_to_the_bytes_of_release_0_2() {
    assert_eq!(
        serde_json::to_string(&learned_state()).expect("serialization succeeds"),
        RELEASE_0_2_JSON
    );
}
