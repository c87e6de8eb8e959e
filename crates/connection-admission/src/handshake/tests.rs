use super::*;
use crate::decision::TrustLevel;
use cleatpulley_policy::interface::Micros;
use proptest::prelude::*;

const MS: Micros = 1_000;

fn settings() -> Settings {
    Settings {
        per_second: 100.0,
        burst: 10.0,
        max_running: 8,
        resumed_cost: 0.25,
        reserved_share: 0.25,
        timeout: 1_000 * MS,
        max_waiting: 16,
    }
}

const UNKNOWN_FULL: HandshakeKind = HandshakeKind {
    is_resumption: false,
    trust_level: TrustLevel::Unknown,
};
const UNKNOWN_RESUMPTION: HandshakeKind = HandshakeKind {
    is_resumption: true,
    trust_level: TrustLevel::Unknown,
};
const ALLOWLISTED_FULL: HandshakeKind = HandshakeKind {
    is_resumption: false,
    trust_level: TrustLevel::Allowlisted,
};

/// Guards against a flood of full handshakes of unknown clients that takes the CPU time of requests
/// and delays the handshakes of allowlisted clients.
#[test]
fn flood_of_full_handshakes_is_limited_and_allowlisted_clients_begin_at_once() {
    let mut scheduler = HandshakeScheduler::new(settings(), 0);
    let mut id = 0;
    let mut allowlisted_waited = 0;
    // For 10 s, 2,000 unknown clients per second and an allowlisted one every 100 ms; each
    // handshake ends 5 ms after it begins.
    let mut running_until: Vec<(Micros, u64)> = Vec::new();
    for ms in 0..10_000 {
        let now = ms * MS;
        running_until.retain(|&(end_time, id)| {
            if end_time <= now {
                scheduler.on_ended(id);
            }
            end_time > now
        });
        for begun in scheduler.begin_queued(now) {
            running_until.push((now + 5 * MS, begun));
        }
        for _ in scheduler.take_expired(now) {}
        for _ in 0..2 {
            id += 1;
            scheduler.on_accepted(now, id);
            if scheduler.on_client_hello(now, id, UNKNOWN_FULL) == HandshakeDecision::Begin {
                running_until.push((now + 5 * MS, id));
            }
        }
        if ms % 100 == 0 {
            id += 1;
            scheduler.on_accepted(now, id);
            match scheduler.on_client_hello(now, id, ALLOWLISTED_FULL) {
                HandshakeDecision::Begin => running_until.push((now + 5 * MS, id)),
                _ => allowlisted_waited += 1,
            }
        }
    }
    let full = scheduler.counters.full;
    // 100 of allowlisted clients; those of unknown clients are limited to three quarters of 100 per
    // second, plus the initial burst.
    assert_eq!(
        allowlisted_waited, 0,
        "an allowlisted client never waits behind unknown clients"
    );
    assert!(
        (750..=100 + 760).contains(&full),
        "{full} full handshakes in 10 s"
    );
    assert!(scheduler.counters.rejected > 15_000);
}

#[test]
fn running_handshakes_are_limited_and_resumptions_take_precedence() {
    let mut scheduler = HandshakeScheduler::new(
        Settings {
            per_second: 1e6,
            burst: 1e6,
            ..settings()
        },
        0,
    );
    for id in 0..20 {
        scheduler.on_accepted(0, id);
        scheduler.on_client_hello(0, id, UNKNOWN_FULL);
    }
    // Unknown clients may use three quarters of the eight concurrent handshakes.
    assert_eq!(
        scheduler.load(),
        HandshakeLoad {
            running: 6,
            waiting: 14
        }
    );
    scheduler.on_accepted(0, 100);
    assert_eq!(
        scheduler.on_client_hello(0, 100, UNKNOWN_RESUMPTION),
        HandshakeDecision::Begin,
        "resumptions may use the reserve"
    );
    scheduler.on_accepted(0, 101);
    assert_eq!(
        scheduler.on_client_hello(0, 101, UNKNOWN_RESUMPTION),
        HandshakeDecision::Begin
    );
    scheduler.on_accepted(0, 102);
    assert_eq!(
        scheduler.on_client_hello(0, 102, UNKNOWN_RESUMPTION),
        HandshakeDecision::Wait,
        "all eight handshakes run"
    );
    scheduler.on_ended(0);
    assert_eq!(
        scheduler.begin_queued(1),
        vec![102],
        "a resumption begins before full handshakes that waited longer"
    );
    assert_eq!(
        scheduler.begin_queued(1),
        Vec::<u64>::new(),
        "all eight handshakes run"
    );
    scheduler.on_ended(100);
    assert_eq!(
        scheduler.begin_queued(1),
        vec![6],
        "an unknown client uses the sixth unreserved handshake again"
    );
    scheduler.on_ended(101);
    assert_eq!(
        scheduler.begin_queued(1),
        Vec::<u64>::new(),
        "unknown clients run their maximum of six"
    );
    assert_eq!(
        scheduler.load(),
        HandshakeLoad {
            running: 7,
            waiting: 13
        }
    );
}

#[test]
fn queue_is_bounded_and_a_known_client_displaces_the_last_unknown_one() {
    let mut scheduler = HandshakeScheduler::new(
        Settings {
            max_running: 1,
            reserved_share: 0.0,
            ..settings()
        },
        0,
    );
    for id in 0..17 {
        scheduler.on_accepted(0, id);
        scheduler.on_client_hello(0, id, UNKNOWN_FULL);
    }
    assert_eq!(
        scheduler.load(),
        HandshakeLoad {
            running: 1,
            waiting: 16
        }
    );
    scheduler.on_accepted(0, 17);
    assert_eq!(
        scheduler.on_client_hello(0, 17, UNKNOWN_FULL),
        HandshakeDecision::Reject
    );
    scheduler.on_accepted(0, 18);
    assert_eq!(
        scheduler.on_client_hello(0, 18, ALLOWLISTED_FULL),
        HandshakeDecision::Wait
    );
    assert_eq!(
        scheduler.take_expired(1),
        vec![16],
        "the unknown client at the back of the queue is displaced"
    );
    scheduler.on_ended(0);
    assert_eq!(scheduler.begin_queued(2), vec![18]);
}

/// Guards against clients that abandon a handshake or send it byte by byte: it is closed at its
/// deadline, whatever its state.
#[test]
fn each_handshake_ends_by_its_deadline_from_the_accept() {
    let mut scheduler = HandshakeScheduler::new(
        Settings {
            max_running: 1,
            ..settings()
        },
        0,
    );
    scheduler.on_accepted(0, 1);
    scheduler.on_accepted(10 * MS, 2);
    scheduler.on_client_hello(20 * MS, 2, ALLOWLISTED_FULL);
    scheduler.on_accepted(30 * MS, 3);
    scheduler.on_client_hello(30 * MS, 3, ALLOWLISTED_FULL);
    assert_eq!(
        scheduler.load(),
        HandshakeLoad {
            running: 1,
            waiting: 1
        }
    );
    assert_eq!(scheduler.next_deadline(), Some(1_000 * MS));
    assert!(scheduler.take_expired(999 * MS).is_empty());
    assert_eq!(scheduler.take_expired(1_000 * MS), vec![1]);
    assert_eq!(scheduler.take_expired(1_010 * MS), vec![2]);
    assert_eq!(scheduler.take_expired(1_030 * MS), vec![3]);
    assert_eq!(scheduler.counters.timed_out, 3);
    assert_eq!(
        scheduler.load(),
        HandshakeLoad {
            running: 0,
            waiting: 0
        }
    );
}

#[test]
fn waiting_handshake_begins_once_there_are_enough_tokens() {
    let mut scheduler = HandshakeScheduler::new(
        Settings {
            burst: 1.0,
            reserved_share: 0.0,
            ..settings()
        },
        0,
    );
    assert_eq!(scheduler.next_deadline(), None);
    scheduler.on_accepted(0, 1);
    assert_eq!(
        scheduler.on_client_hello(0, 1, UNKNOWN_FULL),
        HandshakeDecision::Begin
    );
    scheduler.on_accepted(0, 2);
    assert_eq!(
        scheduler.on_client_hello(0, 2, UNKNOWN_FULL),
        HandshakeDecision::Wait
    );
    let deadline = scheduler.next_deadline().expect("a deadline");
    assert_eq!(deadline, 10 * MS);
    assert!(scheduler.begin_queued(deadline - 1).is_empty());
    assert_eq!(scheduler.begin_queued(deadline), vec![2]);
}

proptest! {
    /// In any order of events, the limits on running, unreserved and waiting handshakes hold, and
    /// no connection both runs and waits.
    #[test]
    fn limits_hold_in_any_order_of_events(
        steps in proptest::collection::vec((0u8..5, 0u64..40, 0u64..50), 1..400)
    ) {
        let settings = settings();
        let mut scheduler = HandshakeScheduler::new(settings, 0);
        let mut now = 0;
        for (event, id, elapsed_ms) in steps {
            now += elapsed_ms * MS;
            match event {
                0 => scheduler.on_accepted(now, id),
                1 => { scheduler.on_client_hello(now, id, UNKNOWN_FULL); }
                2 => {
                    let kind = HandshakeKind {
                        is_resumption: id % 2 == 0,
                        trust_level: TrustLevel::Reputable,
                    };
                    scheduler.on_client_hello(now, id, kind);
                }
                3 => scheduler.on_ended(id),
                _ => { scheduler.begin_queued(now); scheduler.take_expired(now); }
            }
            prop_assert!(scheduler.running.len() <= settings.max_running);
            prop_assert!(scheduler.running_unreserved <= 6);
            prop_assert!(scheduler.queue.waiting.len() <= settings.max_waiting);
            prop_assert_eq!(scheduler.queue.order.len(), scheduler.queue.waiting.len());
            for id in scheduler.running.keys() {
                prop_assert!(!scheduler.queue.waiting.contains_key(id));
            }
        }
    }
}
