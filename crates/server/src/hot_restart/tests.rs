//! Tests of hot restart between two and three processes over real sockets.

use super::*;
use crate::host::HandoverChannel as _;
use crate::os_host::{OsHost, Service};
use calloop::EventLoop;
use cleatpulley_hot_restart::message::PROTOCOL_VERSION;

/// A server's host and its listener, which processes of the test hand over to each other.
struct Fixture {
    host: OsHost,
    listener: crate::os_host::Listener,
    address: SocketAddr,
    folder: tempfile::TempDir,
    _event_loop: EventLoop<'static, Box<dyn Service>>,
}

impl Fixture {
    fn new() -> Self {
        let event_loop = EventLoop::try_new().expect("event loop is created");
        let host = OsHost::new(event_loop.handle());
        let (listener, address) = host
            .listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0)
            .expect("listener is created");
        Self {
            host,
            listener,
            address,
            folder: tempfile::tempdir().expect("folder is created"),
            _event_loop: event_loop,
        }
    }

    fn handover_address(&self) -> HandoverAddress {
        HandoverAddress {
            folder: self.folder.path().to_owned(),
            name: "n1".to_owned(),
            address: self.address,
        }
    }

    /// Returns a process that serves and listens for successors.
    fn serving_process(&self) -> HotRestart<OsHost> {
        let unbound_address = HandoverAddress {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            ..self.handover_address()
        };
        let mut process = HotRestart::new(self.host.clone(), unbound_address, &[]);
        assert!(process.is_serving());
        process.listen_for_successors(self.address);
        process
    }

    /// Returns a process that has connected to the one that listens for successors.
    fn successor(&self) -> HotRestart<OsHost> {
        HotRestart::new(self.host.clone(), self.handover_address(), &[self.address])
    }
}

fn poll(
    hot_restart: &mut HotRestart<OsHost>,
    now: Micros,
    listeners: &[(SocketAddr, Option<&crate::os_host::Listener>)],
) -> Vec<HotRestartStep<OsHost>> {
    poll_with(hot_restart, now, true, listeners)
}

fn poll_with(
    hot_restart: &mut HotRestart<OsHost>,
    now: Micros,
    can_serve: bool,
    listeners: &[(SocketAddr, Option<&crate::os_host::Listener>)],
) -> Vec<HotRestartStep<OsHost>> {
    let mut steps = Vec::new();
    // The event loop that reports readiness does not run in this test.
    hot_restart.on_acceptable();
    hot_restart.poll(now, can_serve, listeners, ProcessUsage::default, &mut steps);
    steps
}

/// Guards the serving process against malformed peers on its socket: it continues to serve, and the
/// next successor gets the listener.
#[test]
fn malformed_peers_do_not_affect_the_next_successor() {
    let fixture = Fixture::new();
    let (host, address) = (fixture.host.clone(), fixture.address);
    let handover_address = fixture.handover_address();
    let mut predecessor_process = fixture.serving_process();
    let listeners = [(address, Some(&fixture.listener))];
    let hello_message = |name: &str| Message::Hello {
        version: PROTOCOL_VERSION,
        name: name.into(),
        addresses: vec![address],
    };
    let mut now = host.now();
    for malformed in [
        b"GET / HTTP/1.1".to_vec(),
        vec![0xFF; 70_000],
        hello_message("n2").encode(),
        Message::HandoverRequest {}.encode(),
    ] {
        let peer = host
            .connect_to_predecessor(&handover_address, SocketOwner::Predecessor)
            .expect("peer is listening");
        peer.send(&malformed, &[]).expect("bytes are sent");
        assert!(poll(&mut predecessor_process, now, &listeners).is_empty());
        assert!(
            predecessor_process.is_serving()
                && predecessor_process.successor.protocol.can_accept_peer(),
            "{}",
            malformed.escape_ascii()
        );
    }
    // A peer that sends nothing blocks others for a limited time.
    let silent_peer = host
        .connect_to_predecessor(&handover_address, SocketOwner::Predecessor)
        .expect("peer is listening");
    poll(&mut predecessor_process, now, &listeners);
    let second = host
        .connect_to_predecessor(&handover_address, SocketOwner::Predecessor)
        .expect("peer is listening");
    poll(&mut predecessor_process, now, &listeners);
    let (bytes, _) = second.receive().expect("response has arrived");
    assert!(matches!(
        Message::decode(&bytes),
        Ok(Message::Rejected { .. })
    ));
    now += predecessor::HANDOVER_TIMEOUT;
    poll(&mut predecessor_process, now, &listeners);
    assert!(predecessor_process.successor.protocol.can_accept_peer());
    drop(silent_peer);
    let mut successor_process = fixture.successor();
    assert!(!successor_process.is_serving());
    poll(&mut predecessor_process, now, &listeners);
    let steps = poll(&mut successor_process, now, &[]);
    let adopts_one_listener = |step: &HotRestartStep<OsHost>| matches!(step, HotRestartStep::AdoptListeners(listeners) if listeners.len() == 1);
    assert!(
        steps.iter().any(adopts_one_listener),
        "the socket was received"
    );
    poll(&mut successor_process, now, &[]);
    let steps = poll(&mut predecessor_process, now, &listeners);
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::YieldConnections))
            && predecessor_process.has_yielded()
    );
    predecessor_process.on_connections_yielded(ProcessUsage::default(), String::new(), Vec::new());
    let steps = poll(&mut successor_process, now, &[]);
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::Serve))
            && successor_process.is_serving()
    );
    drop(successor_process);
    let steps = poll(&mut predecessor_process, now, &listeners);
    assert!(
        steps.is_empty() && predecessor_process.is_orphaned(),
        "another process may have taken over"
    );
    now += predecessor::ORPHAN_SEARCH_TIME;
    let steps = poll(&mut predecessor_process, now, &listeners);
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::ResumeServing))
            && predecessor_process.is_serving(),
        "accepts clients again"
    );
}

/// Guards against two processes that use the same share of cores and descriptors: the first of
/// three processes connects to the third after the second died, and the usage of the first counts
/// there until it is freed.
#[test]
fn usage_of_a_process_whose_successor_died_counts_for_the_next_successor() {
    let fixture = Fixture::new();
    let (host, address) = (fixture.host.clone(), fixture.address);
    let mut first = fixture.serving_process();
    let listeners = [(address, Some(&fixture.listener))];
    let mut second = fixture.successor();
    let mut now = host.now();
    poll(&mut first, now, &listeners);
    poll(&mut second, now, &[]);
    poll(&mut second, now, &[]);
    poll(&mut first, now, &listeners);
    assert!(first.has_yielded());
    first.on_connections_yielded(ProcessUsage::default(), String::new(), Vec::new());
    poll(&mut second, now, &[]);
    assert!(second.is_serving());
    let mut third = fixture.serving_process();
    drop(second);
    let remaining_usage = ProcessUsage {
        running_requests: 3,
        memory_kb: 40.0,
        dependency_calls: 2,
        descriptors: 9,
    };
    let mut steps = Vec::new();
    first.poll(now, true, &listeners, || remaining_usage, &mut steps);
    assert!(
        steps.is_empty() && first.has_yielded() && !first.is_orphaned(),
        "does not accept clients again"
    );
    let last_usage = |steps: &[HotRestartStep<OsHost>]| {
        let usage = |step: &HotRestartStep<OsHost>| match step {
            HotRestartStep::SetPredecessorUsage(usage) => Some(*usage),
            _ => None,
        };
        steps.iter().filter_map(usage).next_back()
    };
    assert_eq!(
        last_usage(&poll(&mut third, now, &listeners)),
        Some(remaining_usage)
    );
    assert!(
        third.has_predecessor(),
        "the first process is still connected"
    );
    drop(first);
    let steps = poll(&mut third, now, &listeners);
    assert_eq!(
        last_usage(&steps),
        Some(remaining_usage),
        "runs continue after the process ended"
    );
    now += 1_000_000;
    let run_usage = ProcessUsage {
        running_requests: 3,
        memory_kb: 40.0,
        ..ProcessUsage::default()
    };
    assert_eq!(
        last_usage(&poll(&mut third, now, &listeners)),
        Some(run_usage),
        "its connections are closed"
    );
    now += 3_000_000;
    assert_eq!(
        last_usage(&poll(&mut third, now, &listeners)),
        Some(ProcessUsage::default())
    );
    assert!(!third.has_predecessor());
}

/// Guards against a closed connection that counts as the end of the predecessor: that had only waited
/// for too long for a successor without a runtime, which then accepted clients beside it.
#[test]
fn successor_without_a_runtime_does_not_accept_beside_a_predecessor_that_stopped_waiting() {
    let fixture = Fixture::new();
    let (host, address) = (fixture.host.clone(), fixture.address);
    let mut predecessor = fixture.serving_process();
    let listeners = [(address, Some(&fixture.listener))];
    let mut successor = fixture.successor();
    let mut now = host.now();
    for _ in 0..3 {
        poll(&mut predecessor, now, &listeners);
        poll_with(&mut successor, now, false, &[]);
        now += predecessor::HANDOVER_TIMEOUT;
        poll(&mut predecessor, now, &listeners);
        let steps = poll_with(&mut successor, now, false, &[]);
        assert!(steps.is_empty(), "neither serves nor opens the store");
        assert!(!successor.is_serving() && predecessor.is_serving());
    }
    // Its runtime is up now.
    poll(&mut predecessor, now, &listeners);
    poll(&mut successor, now, &[]);
    poll(&mut successor, now, &[]);
    poll(&mut predecessor, now, &listeners);
    assert!(predecessor.has_yielded());
    predecessor.on_connections_yielded(ProcessUsage::default(), String::new(), Vec::new());
    poll(&mut successor, now, &[]);
    assert!(successor.is_serving());
}

/// Guards against a successor that goes on searching for a predecessor that has ended.
#[test]
fn successor_without_a_runtime_accepts_at_once_when_its_predecessor_has_ended() {
    let fixture = Fixture::new();
    let (host, address) = (fixture.host.clone(), fixture.address);
    let mut predecessor = fixture.serving_process();
    let listeners = [(address, Some(&fixture.listener))];
    let mut successor = fixture.successor();
    let now = host.now();
    poll(&mut predecessor, now, &listeners);
    poll_with(&mut successor, now, false, &[]);
    drop(predecessor);
    let steps = poll_with(&mut successor, now, false, &[]);
    let serves = |step: &HotRestartStep<OsHost>| matches!(step, HotRestartStep::Serve);
    assert!(steps.iter().any(serves) && successor.is_serving());
}
