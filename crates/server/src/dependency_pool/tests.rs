//! Tests of the pool on loopback sockets that are never accepted, with a simulated clock.

use super::*;
use crate::os_host::OsHost;

/// Guards against exceeding the connection limit; queued calls time out as well.
#[test]
fn calls_beyond_the_connection_limit_wait_and_time_out() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("socket is bound");
    let event_loop = calloop::EventLoop::try_new().expect("event loop is created");
    let mut pool = DependencyPool::new(
        OsHost::new(event_loop.handle()),
        listener.local_addr().expect("socket has an address"),
        DependencyProtocol::Http,
        2,
    );
    let mut events = Vec::new();
    for id in 1..=4 {
        let call = DependencyCall {
            id,
            body: Vec::new(),
            timeout: 1_000 * id,
            is_idempotent: true,
        };
        pool.call(0, call, &mut events);
    }
    assert_eq!((pool.connections.len(), pool.waiting.len()), (2, 2));
    pool.abandon(3);
    assert_eq!(pool.next_deadline(), Some(1_000));
    pool.poll(1_500, &mut events);
    let ended_calls = |events: &[Event]| -> Vec<_> {
        let ended_call = |event: &Event| match event {
            Event::CallEnded {
                id,
                outcome,
                elapsed,
                ..
            } => (*id, *outcome, *elapsed),
            other => panic!("{other:?}"),
        };
        events.iter().map(ended_call).collect()
    };
    assert_eq!(ended_calls(&events), [(1, Outcome::TimedOut, 1_500)]);
    assert_eq!(
        (pool.connections.len(), pool.waiting.len()),
        (2, 0),
        "the next call gets the connection"
    );
    events.clear();
    pool.poll(4_000, &mut events);
    let mut ended = ended_calls(&events);
    ended.sort_by_key(|end| end.0);
    assert_eq!(
        ended,
        [(2, Outcome::TimedOut, 4_000), (4, Outcome::TimedOut, 4_000)]
    );
    assert_eq!((pool.connections.len(), pool.busy.len()), (0, 0));
}

/// Guards against connections that the dependency closed while they were idle: an idempotent call
/// is retried on a new connection, and neither the run nor the controller notices.
#[test]
fn repeats_a_call_on_a_stale_connection_once() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("socket is bound");
    let event_loop = calloop::EventLoop::try_new().expect("event loop is created");
    let mut pool = DependencyPool::new(
        OsHost::new(event_loop.handle()),
        listener.local_addr().expect("socket has an address"),
        DependencyProtocol::Http,
        2,
    );
    let mut events = Vec::new();
    pool.call(
        0,
        DependencyCall {
            id: 1,
            body: Vec::new(),
            timeout: 9_000,
            is_idempotent: true,
        },
        &mut events,
    );
    pool.connections
        .values_mut()
        .for_each(|connection| connection.is_reused = true);
    pool.fail(10, 1, Outcome::Interrupted, &mut events);
    assert!(events.is_empty() && pool.busy.len() == 1 && pool.connections.keys().eq(&[2]));
    assert_eq!(
        pool.next_deadline(),
        Some(9_000),
        "the deadline is unchanged"
    );
    pool.connections
        .values_mut()
        .for_each(|connection| connection.is_reused = true);
    pool.fail(20, 2, Outcome::Interrupted, &mut events);
    assert!(matches!(
        events[..],
        [Event::CallEnded {
            id: 1,
            outcome: Outcome::Interrupted,
            elapsed: 20,
            ..
        }]
    ));
    assert!(pool.connections.is_empty() && pool.busy.is_empty());
}
