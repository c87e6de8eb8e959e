//! Hot restart between two and three processes over real sockets.

use super::*;
use crate::host::HandoverChannel as _;
use crate::os_host::{OsHost, Service};
use calloop::EventLoop;
use cleatpulley_hot_restart::message::PROTOCOL_VERSION;

fn poll(
    hot_restart: &mut HotRestart<OsHost>,
    now: Micros,
    listeners: &[(SocketAddr, Option<&crate::os_host::Listener>)],
) -> Vec<HotRestartStep<OsHost>> {
    let mut steps = Vec::new();
    // Edges are seen by an event loop that does not run here.
    hot_restart.on_acceptable();
    hot_restart.poll(now, true, listeners, ProcessUsage::default, &mut steps);
    steps
}

/// Guards the process that serves against whoever else connects to its socket: it goes on, and the
/// next successor gets the listener.
#[test]
fn malformed_peers_change_nothing_for_the_next_successor() {
    let event_loop: EventLoop<'static, Box<dyn Service>> =
        EventLoop::try_new().expect("an event loop");
    let host = OsHost::new(event_loop.handle());
    let folder = std::env::temp_dir().join(format!("cleatpulley-visit-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (listener, address) = host
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0)
        .expect("a listening socket");
    let handover_address = HandoverAddress {
        folder: folder.clone(),
        name: "n1".to_owned(),
        address,
    };
    let fresh = HandoverAddress {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        ..handover_address.clone()
    };
    let mut old = HotRestart::new(host.clone(), fresh, &[]);
    assert!(old.is_serving());
    old.listen_for_successors(address);
    let listeners = [(address, Some(&listener))];
    let hello = |name: &str| Message::Hello {
        version: PROTOCOL_VERSION,
        name: name.into(),
        addresses: vec![address],
    };
    let mut now = host.now();
    for malformed in [
        b"GET / HTTP/1.1".to_vec(),
        vec![0xFF; 70_000],
        hello("n2").encode(),
        Message::HandoverRequest {}.encode(),
    ] {
        let peer = host
            .connect_to_predecessor(&handover_address, SocketOwner::Predecessor)
            .expect("it is there");
        peer.send(&malformed, &[]).expect("it is taken");
        assert!(poll(&mut old, now, &listeners).is_empty());
        assert!(
            old.is_serving() && old.successor.protocol.can_accept_peer(),
            "{}",
            malformed.escape_ascii()
        );
    }
    // A peer that sends nothing keeps others out for a limited time.
    let silent = host
        .connect_to_predecessor(&handover_address, SocketOwner::Predecessor)
        .expect("it is there");
    poll(&mut old, now, &listeners);
    let second = host
        .connect_to_predecessor(&handover_address, SocketOwner::Predecessor)
        .expect("it is there");
    poll(&mut old, now, &listeners);
    let (bytes, _) = second.receive().expect("an answer");
    assert!(matches!(
        Message::decode(&bytes),
        Ok(Message::Rejected { .. })
    ));
    now += predecessor::HANDOVER_TIMEOUT;
    poll(&mut old, now, &listeners);
    assert!(old.successor.protocol.can_accept_peer());
    drop(silent);
    let mut new = HotRestart::new(host.clone(), handover_address, &[address]);
    assert!(!new.is_serving());
    poll(&mut old, now, &listeners);
    let steps = poll(&mut new, now, &[]);
    let adopts = |step: &HotRestartStep<OsHost>| matches!(step, HotRestartStep::AdoptListeners(listeners) if listeners.len() == 1);
    assert!(steps.iter().any(adopts), "the socket came");
    poll(&mut new, now, &[]);
    let steps = poll(&mut old, now, &listeners);
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::YieldConnections))
            && old.has_yielded()
    );
    old.on_connections_yielded(ProcessUsage::default(), String::new(), Vec::new());
    let steps = poll(&mut new, now, &[]);
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::Serve))
            && new.is_serving()
    );
    drop(new);
    let steps = poll(&mut old, now, &listeners);
    assert!(
        steps.is_empty() && old.is_orphaned(),
        "another may have the place"
    );
    now += predecessor::ORPHAN_SEARCH_TIME;
    let steps = poll(&mut old, now, &listeners);
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::ResumeServing))
            && old.is_serving(),
        "it takes clients again"
    );
    std::fs::remove_dir_all(&folder).expect("it was there");
}

/// Guards the cores and the descriptors against two processes that use the same share: the first of
/// three processes connects to the third once the one between them died, and what the first uses
/// counts there until it is free.
#[test]
fn process_whose_successor_died_counts_in_the_next_successors_usage() {
    let event_loop: EventLoop<'static, Box<dyn Service>> =
        EventLoop::try_new().expect("an event loop");
    let host = OsHost::new(event_loop.handle());
    let folder = std::env::temp_dir().join(format!("cleatpulley-chain-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (listener, address) = host
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0)
        .expect("a listening socket");
    let handover_address = HandoverAddress {
        folder: folder.clone(),
        name: "n1".to_owned(),
        address,
    };
    let fresh = HandoverAddress {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        ..handover_address.clone()
    };
    let mut first = HotRestart::new(host.clone(), fresh.clone(), &[]);
    first.listen_for_successors(address);
    let listeners = [(address, Some(&listener))];
    let mut second = HotRestart::new(host.clone(), handover_address, &[address]);
    let mut now = host.now();
    poll(&mut first, now, &listeners);
    poll(&mut second, now, &[]);
    poll(&mut second, now, &[]);
    poll(&mut first, now, &listeners);
    assert!(first.has_yielded());
    first.on_connections_yielded(ProcessUsage::default(), String::new(), Vec::new());
    poll(&mut second, now, &[]);
    assert!(second.is_serving());
    let mut third = HotRestart::new(host.clone(), fresh, &[]);
    third.listen_for_successors(address);
    drop(second);
    let left = ProcessUsage {
        running_requests: 3,
        memory_kb: 40.0,
        dependency_calls: 2,
        descriptors: 9,
    };
    let mut steps = Vec::new();
    first.poll(now, true, &listeners, || left, &mut steps);
    assert!(
        steps.is_empty() && first.has_yielded() && !first.is_orphaned(),
        "it takes no clients again"
    );
    let last_usage = |steps: &[HotRestartStep<OsHost>]| {
        let usage = |step: &HotRestartStep<OsHost>| match step {
            HotRestartStep::SetPredecessorUsage(usage) => Some(*usage),
            _ => None,
        };
        steps.iter().filter_map(usage).next_back()
    };
    assert_eq!(last_usage(&poll(&mut third, now, &listeners)), Some(left));
    assert!(third.has_predecessor(), "and is waited for");
    drop(first);
    let steps = poll(&mut third, now, &listeners);
    assert_eq!(last_usage(&steps), Some(left), "what runs can't be stopped");
    now += 1_000_000;
    let runs = ProcessUsage {
        running_requests: 3,
        memory_kb: 40.0,
        ..ProcessUsage::default()
    };
    assert_eq!(
        last_usage(&poll(&mut third, now, &listeners)),
        Some(runs),
        "its connections are gone"
    );
    now += 3_000_000;
    assert_eq!(
        last_usage(&poll(&mut third, now, &listeners)),
        Some(ProcessUsage::default())
    );
    assert!(!third.has_predecessor());
    std::fs::remove_dir_all(&folder).expect("it was there");
}
