use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn offer(port: u16) -> Message {
    Message::ListenerOffer {
        version: PROTOCOL_VERSION,
        addresses: vec![address(port)],
    }
}

fn connected_successor() -> Successor {
    let (successor, effects) = Successor::new(0, "n1", vec![address(5), address(6)]);
    assert!(matches!(
        &effects[..],
        [Effect::Send(Message::Hello { .. })]
    ));
    successor
}

#[test]
fn requests_the_handover_once_its_runtime_is_up_and_then_serves() {
    let mut successor = connected_successor();
    assert_eq!(
        successor.on_message(1, offer(5), 1),
        [Effect::AdoptListeners(vec![address(5)])]
    );
    assert_eq!(
        successor.poll(RESPONSE_TIMEOUT * 9, false),
        [],
        "the runtime may become ready late"
    );
    assert_eq!(
        successor.poll(2, true),
        [Effect::Send(Message::HandoverRequest {})]
    );
    assert!(!successor.is_serving());
    let usage = ProcessUsage {
        running_requests: 4,
        ..ProcessUsage::default()
    };
    let handover = Message::HandoverComplete {
        usage,
        learned_state: "x".into(),
        reputation: Vec::new(),
    };
    assert_eq!(
        successor.on_message(3, handover, 0),
        [
            Effect::RestoreLearnedState("x".into()),
            Effect::SetPredecessorUsage(usage),
            Effect::StartAccepting
        ]
    );
    assert!(successor.is_serving());
    assert_eq!(
        successor.on_message(4, Message::StoreReleased {}, 0),
        [Effect::OpenStore]
    );
    assert_eq!(
        successor.on_disconnected(5),
        [Effect::Close, Effect::OpenStore, Effect::PredecessorLost]
    );
    assert_eq!(successor.next_deadline(), None);
}

#[test]
fn binds_new_listeners_without_an_acceptable_offer() {
    let serve_alone = [
        Effect::Close,
        Effect::BindAllListeners,
        Effect::OpenStore,
        Effect::StartAccepting,
    ];
    let mut search_over = connected_successor();
    search_over.on_disconnected(7);
    assert_eq!(
        search_over.on_disconnected(7 + PREDECESSOR_SEARCH_TIME),
        serve_alone
    );
    assert_eq!(
        connected_successor().poll(RESPONSE_TIMEOUT, true),
        serve_alone,
        "a silent predecessor"
    );
    assert_eq!(
        connected_successor().on_message(1, offer(5), 0),
        serve_alone,
        "no socket was passed"
    );
    assert_eq!(
        connected_successor().on_message(1, offer(7), 1),
        serve_alone,
        "the address was not requested"
    );
    let other_version = Message::ListenerOffer {
        version: PROTOCOL_VERSION + 1,
        addresses: vec![address(5)],
    };
    assert_eq!(
        connected_successor().on_message(1, other_version, 1),
        serve_alone
    );
    assert_eq!(
        connected_successor().on_message(1, Message::HandoverRequest {}, 0),
        serve_alone
    );
}

#[test]
fn searches_for_an_earlier_predecessor_when_its_own_is_lost_at_once() {
    let mut successor = connected_successor();
    assert_eq!(successor.on_disconnected(10), [Effect::Close]);
    assert!(!successor.is_serving());
    assert_eq!(
        successor.poll(10 + PREDECESSOR_SEARCH_INTERVAL, true),
        [Effect::Reconnect]
    );
    assert_eq!(
        successor.on_disconnected(10 + PREDECESSOR_SEARCH_INTERVAL),
        [Effect::Close],
        "no process accepts the connection yet"
    );
    assert_eq!(
        successor.poll(10 + 2 * PREDECESSOR_SEARCH_INTERVAL, true),
        [Effect::Reconnect]
    );
    successor.on_connected(10 + 2 * PREDECESSOR_SEARCH_INTERVAL);
    assert_eq!(
        successor.on_message(60 + 2 * PREDECESSOR_SEARCH_INTERVAL, offer(5), 1),
        [Effect::AdoptListeners(vec![address(5)])]
    );
}

#[test]
fn retries_when_file_descriptors_run_short() {
    let mut successor = connected_successor();
    successor.on_message(1, offer(5), 1);
    assert_eq!(successor.on_adoption_failed(2), [Effect::Close]);
    assert!(!successor.is_serving());
    assert_eq!(successor.poll(2 + RETRY_DELAY, true), [Effect::Reconnect]);
    successor.on_connected(RETRY_PERIOD);
    successor.on_message(RETRY_PERIOD, offer(5), 1);
    assert_eq!(
        successor.on_adoption_failed(RETRY_PERIOD),
        [],
        "it continues with the sockets that it adopted"
    );
}

#[test]
fn retries_a_busy_predecessor_for_a_limited_time() {
    let mut successor = connected_successor();
    let busy = || Message::Rejected {
        reason: "busy".into(),
    };
    assert_eq!(successor.on_message(1, busy(), 0), [Effect::Close]);
    assert_eq!(successor.poll(RETRY_DELAY, true), []);
    assert_eq!(successor.poll(1 + RETRY_DELAY, true), [Effect::Reconnect]);
    assert!(matches!(
        &successor.on_connected(1 + RETRY_DELAY)[..],
        [Effect::Send(Message::Hello { .. })]
    ));
    let serve_alone = [
        Effect::Close,
        Effect::BindAllListeners,
        Effect::OpenStore,
        Effect::StartAccepting,
    ];
    assert_eq!(successor.on_message(RETRY_PERIOD, busy(), 0), serve_alone);
}

#[test]
fn serves_when_its_predecessor_is_lost_or_hangs_after_passing_listeners() {
    let mut predecessor_lost = connected_successor();
    predecessor_lost.on_message(1, offer(5), 1);
    assert_eq!(predecessor_lost.on_disconnected(2), [Effect::Close]);
    assert_eq!(predecessor_lost.poll(2, false), [Effect::Reconnect]);
    assert_eq!(
        predecessor_lost.on_disconnected(2),
        [Effect::Close, Effect::OpenStore, Effect::StartAccepting],
        "the predecessor can't be connected to"
    );
    let mut predecessor_hangs = connected_successor();
    predecessor_hangs.on_message(1, offer(5), 1);
    predecessor_hangs.poll(2, true);
    assert_eq!(
        predecessor_hangs.next_deadline(),
        Some(2 + RESPONSE_TIMEOUT)
    );
    assert_eq!(
        predecessor_hangs.poll(2 + RESPONSE_TIMEOUT, true),
        [Effect::StartAccepting]
    );
}

#[test]
fn does_not_serve_when_a_predecessor_that_serves_has_closed_the_connection() {
    let mut successor = connected_successor();
    successor.on_message(1, offer(5), 1);
    assert_eq!(successor.on_disconnected(2), [Effect::Close]);
    assert_eq!(successor.poll(2, false), [Effect::Reconnect]);
    successor.on_connected(2);
    assert!(!successor.is_serving());
    let busy = Message::Rejected {
        reason: "busy".into(),
    };
    let late = RETRY_PERIOD * 9;
    assert_eq!(successor.on_message(late, busy, 0), [Effect::Close]);
    assert_eq!(
        successor.poll(late + REJECTED_AGAIN_RETRY_DELAY, false),
        [Effect::Reconnect]
    );
    successor.on_connected(late);
    assert_eq!(
        successor.on_message(late, offer(5), 1),
        [Effect::AdoptListeners(vec![address(5)])]
    );
    assert_eq!(
        successor.poll(late, true),
        [Effect::Send(Message::HandoverRequest {})]
    );
    assert!(!successor.is_serving());
}
