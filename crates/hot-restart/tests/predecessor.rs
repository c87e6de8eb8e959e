//! The predecessor's side of a hot restart: handover, loss of the successor, and rejected peers.

use cleatpulley_hot_restart::message::{Message, ProcessUsage, PROTOCOL_VERSION};
use cleatpulley_hot_restart::predecessor::{
    Effect, Predecessor, HANDOVER_TIMEOUT, ORPHAN_SEARCH_TIME, USAGE_REPORT_INTERVAL,
};
use std::net::SocketAddr;

fn hello(version: u32, name: &str) -> Message {
    let addresses = vec![address(5), address(6)];
    Message::Hello {
        version,
        name: name.into(),
        addresses,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn connected_predecessor() -> Predecessor {
    let mut predecessor = Predecessor::new("n1");
    predecessor.on_connected(0);
    assert!(!predecessor.can_accept_peer());
    predecessor
}

#[test]
fn passes_its_listeners_hands_over_on_request_and_resumes_when_orphaned() {
    let mut predecessor = connected_predecessor();
    let offer = Message::ListenerOffer {
        version: PROTOCOL_VERSION,
        addresses: vec![address(6)],
    };
    assert_eq!(
        predecessor.on_message(1, &hello(PROTOCOL_VERSION, "n1"), &[address(6), address(7)]),
        [Effect::SendWithListeners(offer)]
    );
    assert!(!predecessor.has_handed_over());
    assert_eq!(
        predecessor.on_message(2, &Message::HandoverRequest {}, &[]),
        [Effect::StopAccepting]
    );
    assert!(predecessor.has_handed_over());
    assert_eq!(
        predecessor.poll(2 + USAGE_REPORT_INTERVAL - 1, ProcessUsage::default),
        []
    );
    let usage_report = Effect::Send(Message::UsageReport(ProcessUsage::default()));
    assert_eq!(
        predecessor.poll(2 + USAGE_REPORT_INTERVAL, ProcessUsage::default),
        [usage_report]
    );
    assert_eq!(
        predecessor.on_store_released(),
        [Effect::Send(Message::StoreReleased {})]
    );
    assert_eq!(
        predecessor.on_disconnected(100),
        [Effect::Close],
        "the successor died"
    );
    assert!(
        predecessor.has_handed_over() && !predecessor.can_accept_peer(),
        "another process may be serving now"
    );
    assert_eq!(
        predecessor.on_store_released(),
        [],
        "no process is connected that could open the store"
    );
    assert_eq!(
        predecessor.poll(100, ProcessUsage::default),
        [Effect::FindServingProcess]
    );
    assert_eq!(predecessor.poll(101, ProcessUsage::default), []);
    assert_eq!(
        predecessor.poll(100 + ORPHAN_SEARCH_TIME, ProcessUsage::default),
        [Effect::ResumeAccepting]
    );
    assert!(
        predecessor.can_accept_peer(),
        "another successor may connect"
    );
}

#[test]
fn orphan_reports_to_the_process_that_serves_and_its_search_ends() {
    let mut predecessor = connected_predecessor();
    predecessor.on_message(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    predecessor.on_message(2, &Message::HandoverRequest {}, &[]);
    predecessor.on_disconnected(100);
    let usage = ProcessUsage {
        running_requests: 2,
        ..ProcessUsage::default()
    };
    let earlier_predecessor = Message::EarlierPredecessor {
        version: PROTOCOL_VERSION,
        name: "n1".into(),
        usage,
    };
    assert_eq!(
        predecessor.on_serving_process_found(110, usage),
        [Effect::Send(earlier_predecessor.clone())]
    );
    assert_eq!(
        predecessor.on_store_released(),
        [Effect::Send(Message::StoreReleased {})]
    );
    assert_eq!(
        predecessor.on_serving_process_found(111, usage),
        [],
        "it has found a serving process already"
    );
    // A process that does not know this message closes the connection each time; the search still
    // ends.
    predecessor.on_disconnected(120);
    assert_eq!(
        predecessor.poll(100 + ORPHAN_SEARCH_TIME, ProcessUsage::default),
        [Effect::ResumeAccepting]
    );
    let mut orphaned_twice = connected_predecessor();
    orphaned_twice.on_message(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    orphaned_twice.on_message(2, &Message::HandoverRequest {}, &[]);
    orphaned_twice.on_disconnected(100);
    orphaned_twice.on_serving_process_found(110, usage);
    orphaned_twice.on_disconnected(200_000);
    assert_eq!(
        orphaned_twice.poll(200_001, ProcessUsage::default),
        [Effect::FindServingProcess],
        "a later loss begins a new search"
    );
    let mut stopping = connected_predecessor();
    stopping.on_message(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    stopping.on_message(2, &Message::HandoverRequest {}, &[]);
    stopping.on_disconnected(100);
    stopping.end_search(101);
    assert_eq!(
        stopping.poll(101, ProcessUsage::default),
        [Effect::ResumeAccepting]
    );
    let mut latest = connected_predecessor();
    assert_eq!(
        latest.on_message(1, &earlier_predecessor, &[]),
        [Effect::AttachEarlierPredecessor(usage)]
    );
    assert!(
        latest.can_accept_peer(),
        "its own successor can still connect"
    );
    let of_other_server = Message::EarlierPredecessor {
        version: PROTOCOL_VERSION,
        name: "n2".into(),
        usage,
    };
    let effects = connected_predecessor().on_message(1, &of_other_server, &[]);
    assert!(matches!(
        &effects[..],
        [Effect::Send(Message::Rejected { .. }), Effect::Close]
    ));
}

#[test]
fn rejects_peers_of_another_version_or_server_and_disconnects_silent_ones() {
    for (version, name) in [(PROTOCOL_VERSION + 1, "n1"), (PROTOCOL_VERSION, "n2")] {
        let effects = connected_predecessor().on_message(1, &hello(version, name), &[address(5)]);
        assert!(matches!(
            &effects[..],
            [Effect::Send(Message::Rejected { .. }), Effect::Close]
        ));
    }
    assert_eq!(
        connected_predecessor().on_message(1, &Message::HandoverRequest {}, &[address(5)]),
        [Effect::Close],
        "protocol violation"
    );
    let mut silent = connected_predecessor();
    assert_eq!(silent.next_deadline(), Some(HANDOVER_TIMEOUT));
    assert_eq!(
        silent.poll(HANDOVER_TIMEOUT, ProcessUsage::default),
        [Effect::Close]
    );
    assert!(silent.can_accept_peer());
}

#[test]
fn predecessor_keeps_serving_if_its_successor_is_lost_before_the_handover() {
    let mut predecessor = connected_predecessor();
    predecessor.on_message(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    assert_eq!(predecessor.on_disconnected(2), [Effect::Close]);
    assert!(predecessor.can_accept_peer());
    let mut slow_successor = connected_predecessor();
    slow_successor.on_message(1, &hello(PROTOCOL_VERSION, "n1"), &[address(5)]);
    assert_eq!(
        slow_successor.poll(1 + HANDOVER_TIMEOUT, ProcessUsage::default),
        [Effect::Close]
    );
}
