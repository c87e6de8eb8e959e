//! The link on loopback sockets, on a clock of the test.

use super::*;
use crate::os_host::OsHost;

/// A second change of address while the link departs from the first. Guards against a mark that is
/// never sent: the link would be closed only at its deadline, and no command go out until then.
#[test]
fn departing_link_is_closed_by_its_first_mark_after_a_second_move() {
    let event_loop = calloop::EventLoop::try_new().expect("an event loop");
    let listeners: Vec<_> = (0..3)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"))
        .collect();
    let addresses: Vec<_> = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address"))
        .collect();
    let mut runtime = RuntimeLink::new(
        OsHost::new(event_loop.handle()),
        addresses[0],
        Vec::new(),
        Vec::new(),
    );
    runtime.connect(0);
    runtime.link.as_mut().expect("it connects").state = LinkState::Ready;
    runtime.relocate(1_000, addresses[1]);
    let draining = runtime.state();
    assert_eq!(
        draining,
        Some(LinkState::Draining {
            mark: 1,
            deadline: 1_000 + DRAIN_TIMEOUT
        })
    );
    runtime.relocate(2_000, addresses[2]);
    assert_eq!((runtime.state(), runtime.address), (draining, addresses[2]));
    let mut events = Vec::new();
    runtime.confirm(1, &mut events);
    assert!(
        runtime.poll(3_000, &mut events) && !runtime.is_connected(),
        "proved, and closed at once"
    );
    runtime.poll(3_000, &mut events);
    assert!(listeners[2].accept().is_ok(), "and the next is the newest");
}
