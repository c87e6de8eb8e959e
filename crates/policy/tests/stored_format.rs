//! What a controller has learned keeps its bytes, as the process that takes its place may be of another release.
//!
//! `fixtures/learned.json` is what release 0.2 writes.

use cleatpulley_policy::learned_state::{LearnedClass, LearnedDependency, LearnedState};

const TEXT: &str = include_str!("fixtures/learned.json");

fn learned() -> LearnedState {
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
fn reads_what_a_controller_of_release_0_2_learned() {
    assert_eq!(
        serde_json::from_str::<LearnedState>(TEXT).expect("it is read"),
        learned()
    );
}

#[test]
fn writes_what_was_learned_with_the_bytes_of_release_0_2() {
    assert_eq!(
        serde_json::to_string(&learned()).expect("it is written"),
        TEXT
    );
}
