use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn offer(port: u16) -> Message {
    Message::Offer {
        version: PROTOCOL_VERSION,
        listen: vec![address(port)],
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
        successor.hear(1, offer(5), 1),
        [Effect::Adopt(vec![address(5)])]
    );
    assert_eq!(
        successor.turn(ANSWER_TIMEOUT * 9, false),
        [],
        "a runtime may come up late"
    );
    assert_eq!(successor.turn(2, true), [Effect::Send(Message::Take {})]);
    assert!(!successor.serves());
    let usage = ProcessUsage {
        running: 4,
        ..ProcessUsage::default()
    };
    let handover = Message::Yours {
        held: usage,
        learned: "x".into(),
        standing: Vec::new(),
    };
    assert_eq!(
        successor.hear(3, handover, 0),
        [
            Effect::Learn("x".into()),
            Effect::Beside(usage),
            Effect::Serve
        ]
    );
    assert!(successor.serves());
    assert_eq!(
        successor.hear(4, Message::StoreFree {}, 0),
        [Effect::OpenStore]
    );
    assert_eq!(
        successor.ended(5),
        [Effect::Close, Effect::OpenStore, Effect::Mourn]
    );
    assert_eq!(successor.next(), None);
}

#[test]
fn listens_itself_where_no_acceptable_offer_comes() {
    let listen_alone = [
        Effect::Close,
        Effect::Listen,
        Effect::OpenStore,
        Effect::Serve,
    ];
    let mut search_over = connected_successor();
    search_over.ended(7);
    assert_eq!(search_over.ended(7 + PREDECESSOR_SEARCH_TIME), listen_alone);
    assert_eq!(
        connected_successor().turn(ANSWER_TIMEOUT, true),
        listen_alone,
        "a silent predecessor"
    );
    assert_eq!(
        connected_successor().hear(1, offer(5), 0),
        listen_alone,
        "no socket came along"
    );
    assert_eq!(
        connected_successor().hear(1, offer(7), 1),
        listen_alone,
        "one that was not asked for"
    );
    let other_version = Message::Offer {
        version: PROTOCOL_VERSION + 1,
        listen: vec![address(5)],
    };
    assert_eq!(
        connected_successor().hear(1, other_version, 1),
        listen_alone
    );
    assert_eq!(
        connected_successor().hear(1, Message::Take {}, 0),
        listen_alone
    );
}

#[test]
fn searches_for_an_earlier_predecessor_when_its_own_is_lost_at_once() {
    let mut successor = connected_successor();
    assert_eq!(successor.ended(10), [Effect::Close]);
    assert!(!successor.serves());
    assert_eq!(
        successor.turn(10 + PREDECESSOR_SEARCH_INTERVAL, true),
        [Effect::Visit]
    );
    assert_eq!(
        successor.ended(10 + PREDECESSOR_SEARCH_INTERVAL),
        [Effect::Close],
        "nobody is there yet"
    );
    assert_eq!(
        successor.turn(10 + 2 * PREDECESSOR_SEARCH_INTERVAL, true),
        [Effect::Visit]
    );
    successor.visited(10 + 2 * PREDECESSOR_SEARCH_INTERVAL);
    assert_eq!(
        successor.hear(60 + 2 * PREDECESSOR_SEARCH_INTERVAL, offer(5), 1),
        [Effect::Adopt(vec![address(5)])]
    );
}

#[test]
fn retreats_and_retries_when_descriptors_are_short() {
    let mut successor = connected_successor();
    successor.hear(1, offer(5), 1);
    assert_eq!(successor.retreat(2), [Effect::Close]);
    assert!(!successor.serves());
    assert_eq!(successor.turn(2 + RETRY_DELAY, true), [Effect::Visit]);
    successor.visited(RETRY_TIME);
    successor.hear(RETRY_TIME, offer(5), 1);
    assert_eq!(
        successor.retreat(RETRY_TIME),
        [],
        "it goes on with what it has"
    );
}

#[test]
fn retries_a_busy_predecessor_for_a_limited_time() {
    let mut successor = connected_successor();
    let busy = || Message::Refused { why: "busy".into() };
    assert_eq!(successor.hear(1, busy(), 0), [Effect::Close]);
    assert_eq!(successor.turn(RETRY_DELAY, true), []);
    assert_eq!(successor.turn(1 + RETRY_DELAY, true), [Effect::Visit]);
    assert!(matches!(
        &successor.visited(1 + RETRY_DELAY)[..],
        [Effect::Send(Message::Hello { .. })]
    ));
    let listen_alone = [
        Effect::Close,
        Effect::Listen,
        Effect::OpenStore,
        Effect::Serve,
    ];
    assert_eq!(successor.hear(RETRY_TIME, busy(), 0), listen_alone);
}

#[test]
fn serves_when_its_predecessor_is_lost_or_hangs_after_passing_listeners() {
    let mut predecessor_lost = connected_successor();
    predecessor_lost.hear(1, offer(5), 1);
    assert_eq!(
        predecessor_lost.ended(2),
        [Effect::Close, Effect::OpenStore, Effect::Serve]
    );
    let mut predecessor_hangs = connected_successor();
    predecessor_hangs.hear(1, offer(5), 1);
    predecessor_hangs.turn(2, true);
    assert_eq!(predecessor_hangs.next(), Some(2 + ANSWER_TIMEOUT));
    assert_eq!(
        predecessor_hangs.turn(2 + ANSWER_TIMEOUT, true),
        [Effect::Serve]
    );
}
