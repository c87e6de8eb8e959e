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
        successor.poll(ANSWER_TIMEOUT * 9, false),
        [],
        "a runtime may come up late"
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
fn listens_itself_where_no_acceptable_offer_comes() {
    let listen_alone = [
        Effect::Close,
        Effect::BindAllListeners,
        Effect::OpenStore,
        Effect::StartAccepting,
    ];
    let mut search_over = connected_successor();
    search_over.on_disconnected(7);
    assert_eq!(
        search_over.on_disconnected(7 + PREDECESSOR_SEARCH_TIME),
        listen_alone
    );
    assert_eq!(
        connected_successor().poll(ANSWER_TIMEOUT, true),
        listen_alone,
        "a silent predecessor"
    );
    assert_eq!(
        connected_successor().on_message(1, offer(5), 0),
        listen_alone,
        "no socket came along"
    );
    assert_eq!(
        connected_successor().on_message(1, offer(7), 1),
        listen_alone,
        "one that was not asked for"
    );
    let other_version = Message::ListenerOffer {
        version: PROTOCOL_VERSION + 1,
        addresses: vec![address(5)],
    };
    assert_eq!(
        connected_successor().on_message(1, other_version, 1),
        listen_alone
    );
    assert_eq!(
        connected_successor().on_message(1, Message::HandoverRequest {}, 0),
        listen_alone
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
        "nobody is there yet"
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
fn retreats_and_retries_when_descriptors_are_short() {
    let mut successor = connected_successor();
    successor.on_message(1, offer(5), 1);
    assert_eq!(successor.on_adoption_failed(2), [Effect::Close]);
    assert!(!successor.is_serving());
    assert_eq!(successor.poll(2 + RETRY_DELAY, true), [Effect::Reconnect]);
    successor.on_connected(RETRY_TIME);
    successor.on_message(RETRY_TIME, offer(5), 1);
    assert_eq!(
        successor.on_adoption_failed(RETRY_TIME),
        [],
        "it goes on with what it has"
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
    let listen_alone = [
        Effect::Close,
        Effect::BindAllListeners,
        Effect::OpenStore,
        Effect::StartAccepting,
    ];
    assert_eq!(successor.on_message(RETRY_TIME, busy(), 0), listen_alone);
}

#[test]
fn serves_when_its_predecessor_is_lost_or_hangs_after_passing_listeners() {
    let mut predecessor_lost = connected_successor();
    predecessor_lost.on_message(1, offer(5), 1);
    assert_eq!(
        predecessor_lost.on_disconnected(2),
        [Effect::Close, Effect::OpenStore, Effect::StartAccepting]
    );
    let mut predecessor_hangs = connected_successor();
    predecessor_hangs.on_message(1, offer(5), 1);
    predecessor_hangs.poll(2, true);
    assert_eq!(predecessor_hangs.next_deadline(), Some(2 + ANSWER_TIMEOUT));
    assert_eq!(
        predecessor_hangs.poll(2 + ANSWER_TIMEOUT, true),
        [Effect::StartAccepting]
    );
}
