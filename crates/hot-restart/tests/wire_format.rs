//! Compatibility of the wire format: the messages of a hot restart and the snapshot of a
//! controller's learned state are encoded to the same bytes as by release 0.2, and are decoded from
//! them, as either process may be of that release.
//!
//! `fixtures/messages.jsonl` has a message in each line, `fixtures/snapshot.json` a snapshot.

use cleatpulley_hot_restart::{message, snapshot, Message, ProcessUsage};
use cleatpulley_policy::learned_state::{LearnedClass, LearnedDependency, LearnedState};
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

/// When the snapshot was taken.
const TAKEN_AT: u64 = 1_764_576_000_000_000;

fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name);
    fs::read_to_string(path).expect("a fixture")
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address and port")
}

fn ip(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

fn messages() -> Vec<Message> {
    let usage = ProcessUsage {
        running_requests: 3,
        memory_kb: 12.5,
        dependency_calls: 1,
        descriptors: 40,
    };
    let addresses = vec![address("127.0.0.1:5050"), address("[2001:db8::1]:5051")];
    vec![
        Message::Hello {
            version: 1,
            name: "n1".to_owned(),
            addresses: addresses.clone(),
        },
        Message::Hello {
            version: 1,
            name: "ä\"\\\n".to_owned(),
            addresses: Vec::new(),
        },
        Message::ListenerOffer {
            version: 1,
            addresses,
        },
        Message::ListenerOffer {
            version: 1,
            addresses: Vec::new(),
        },
        Message::Rejected {
            reason: "another successor is there".to_owned(),
        },
        Message::HandoverRequest {},
        Message::HandoverComplete {
            usage: ProcessUsage::default(),
            learned_state: String::new(),
            reputation: Vec::new(),
        },
        Message::HandoverComplete {
            usage,
            learned_state: fixture("snapshot.json"),
            reputation: vec![
                (ip("10.0.0.1"), 2.5),
                (ip("2001:db8::2"), 1_234.567_890_123_456),
            ],
        },
        Message::StoreReleased {},
        Message::UsageReport(usage),
        Message::UsageReport(ProcessUsage::default()),
        Message::EarlierPredecessor {
            version: 1,
            name: "n1".to_owned(),
            usage,
        },
    ]
}

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

fn site_digest() -> u64 {
    snapshot::site_digest("n1", &["find-race".to_owned(), "claim-seat".to_owned()])
}

#[test]
fn decodes_each_message_of_release_0_2() {
    let text = fixture("messages.jsonl");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), messages().len());
    for (line, expected) in lines.into_iter().zip(messages()) {
        assert_eq!(Message::decode(line.as_bytes()).expect(line), expected);
    }
}

#[test]
fn encodes_each_message_to_the_bytes_of_release_0_2() {
    let text = fixture("messages.jsonl");
    for (line, message) in text.lines().zip(messages()) {
        assert_eq!(String::from_utf8(message.encode()).expect("text"), line);
    }
}

#[test]
fn versions_and_limits_are_those_of_release_0_2() {
    assert_eq!(
        (
            message::PROTOCOL_VERSION,
            message::MAX_MESSAGE_BYTES,
            message::MAX_REPUTATION_ENTRIES
        ),
        (1, 65_536, 700)
    );
    assert_eq!(
        (snapshot::SNAPSHOT_VERSION, snapshot::MAX_AGE),
        (1, 10_000_000)
    );
}

#[test]
fn decodes_the_snapshot_of_release_0_2() {
    assert_eq!(
        snapshot::decode(site_digest(), TAKEN_AT + 5, &fixture("snapshot.json"))
            .expect("a valid snapshot"),
        learned_state()
    );
}

#[test]
fn encodes_the_snapshot_to_the_bytes_of_release_0_2() {
    assert_eq!(
        snapshot::encode(site_digest(), TAKEN_AT, &learned_state()),
        fixture("snapshot.json")
    );
}
