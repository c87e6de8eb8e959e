//! What the serving process does for its successor.

use cleatpulley_hot_restart::message::{Message, ProcessUsage, PROTOCOL_VERSION};
use cleatpulley_hot_restart::predecessor::{
    Effect, Predecessor, HANDOVER_TIMEOUT, ORPHAN_SEARCH_TIME, USAGE_REPORT_INTERVAL,
};
use std::net::SocketAddr;

fn hello(version: u32, name: &str) -> Message {
    let listen = vec![address(5), address(6)];
    Message::Hello {
        version,
        name: name.into(),
        listen,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn connected_predecessor() -> Predecessor {
    let mut predecessor = Predecessor::new("n1");
    predecessor.visited(0);
    assert!(!predecessor.receives());
    predecessor
}

#[test]
fn passes_its_listeners_hands_over_on_request_and_resumes_when_orphaned() {
    let mut predecessor = connected_predecessor();
    let offer = Message::Offer {
        version: PROTOCOL_VERSION,
        listen: vec![address(6)],
    };
    assert_eq!(
        predecessor.hear(1, &hello(PROTOCOL_VERSION, "n1"), &[address(6), address(7)]),
        [Effect::Pass(offer)]
    );
    assert!(!predecessor.yielded());
    assert_eq!(predecessor.hear(2, &Message::Take {}, &[]), [Effect::Yield]);
    assert!(predecessor.yielded());
    assert_eq!(
        predecessor.turn(2 + USAGE_REPORT_INTERVAL - 1, ProcessUsage::default),
        []
    );
    let usage_report = Effect::Send(Message::Left(ProcessUsage::default()));
    assert_eq!(
        predecessor.turn(2 + USAGE_REPORT_INTERVAL, ProcessUsage::default),
        [usage_report]
    );
    assert_eq!(
        predecessor.store_free(),
        [Effect::Send(Message::StoreFree {})]
    );
    assert_eq!(
        predecessor.ended(100),
        [Effect::Close],
        "its successor died"
    );
    assert!(
        predecessor.yielded() && !predecessor.receives(),
        "another process may serve by now"
    );
    assert_eq!(predecessor.store_free(), [], "nobody is there to take it");
    assert_eq!(predecessor.turn(100, ProcessUsage::default), [Effect::Look]);
    assert_eq!(predecessor.turn(101, ProcessUsage::default), []);
    assert_eq!(
        predecessor.turn(100 + ORPHAN_SEARCH_TIME, ProcessUsage::default),
        [Effect::Resume]
    );
    assert!(predecessor.receives(), "and the next may come");
}

#[test]
fn orphan_attaches_to_the_process_that_serves_and_its_search_ends() {
    let mut predecessor = connected_predecessor();
    predecessor.hear(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    predecessor.hear(2, &Message::Take {}, &[]);
    predecessor.ended(100);
    let usage = ProcessUsage {
        running: 2,
        ..ProcessUsage::default()
    };
    let earlier_predecessor = Message::EarlierPredecessor {
        version: PROTOCOL_VERSION,
        name: "n1".into(),
        held: usage,
    };
    assert_eq!(
        predecessor.found(110, usage),
        [Effect::Send(earlier_predecessor.clone())]
    );
    assert_eq!(
        predecessor.store_free(),
        [Effect::Send(Message::StoreFree {})]
    );
    assert_eq!(predecessor.found(111, usage), [], "it has one already");
    // A process that does not know this message closes each time; the search still ends.
    predecessor.ended(120);
    assert_eq!(
        predecessor.turn(100 + ORPHAN_SEARCH_TIME, ProcessUsage::default),
        [Effect::Resume]
    );
    let mut orphaned_twice = connected_predecessor();
    orphaned_twice.hear(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    orphaned_twice.hear(2, &Message::Take {}, &[]);
    orphaned_twice.ended(100);
    orphaned_twice.found(110, usage);
    orphaned_twice.ended(200_000);
    assert_eq!(
        orphaned_twice.turn(200_001, ProcessUsage::default),
        [Effect::Look],
        "another one died, much later"
    );
    let mut stopping = connected_predecessor();
    stopping.hear(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    stopping.hear(2, &Message::Take {}, &[]);
    stopping.ended(100);
    stopping.search_no_more(101);
    assert_eq!(stopping.turn(101, ProcessUsage::default), [Effect::Resume]);
    let mut latest = connected_predecessor();
    assert_eq!(
        latest.hear(1, &earlier_predecessor, &[]),
        [Effect::Behind(usage)]
    );
    assert!(latest.receives(), "its own successor may come all the same");
    let of_other_server = Message::EarlierPredecessor {
        version: PROTOCOL_VERSION,
        name: "n2".into(),
        held: usage,
    };
    let effects = connected_predecessor().hear(1, &of_other_server, &[]);
    assert!(matches!(
        &effects[..],
        [Effect::Send(Message::Refused { .. }), Effect::Close]
    ));
}

#[test]
fn rejects_peers_of_another_version_or_server_and_silent_ones() {
    for (version, name) in [(PROTOCOL_VERSION + 1, "n1"), (PROTOCOL_VERSION, "n2")] {
        let effects = connected_predecessor().hear(1, &hello(version, name), &[address(5)]);
        assert!(matches!(
            &effects[..],
            [Effect::Send(Message::Refused { .. }), Effect::Close]
        ));
    }
    assert_eq!(
        connected_predecessor().hear(1, &Message::Take {}, &[address(5)]),
        [Effect::Close],
        "out of turn"
    );
    let mut silent = connected_predecessor();
    assert_eq!(silent.next(), Some(HANDOVER_TIMEOUT));
    assert_eq!(
        silent.turn(HANDOVER_TIMEOUT, ProcessUsage::default),
        [Effect::Close]
    );
    assert!(silent.receives());
}

#[test]
fn successor_lost_before_the_handover_changes_nothing() {
    let mut predecessor = connected_predecessor();
    predecessor.hear(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    assert_eq!(predecessor.ended(2), [Effect::Close]);
    assert!(predecessor.receives());
    let mut slow_successor = connected_predecessor();
    slow_successor.hear(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    assert_eq!(
        slow_successor.turn(1 + HANDOVER_TIMEOUT, ProcessUsage::default),
        [Effect::Close]
    );
}
