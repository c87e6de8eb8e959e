//! Tests of the link on loopback sockets with a simulated clock.

use super::*;
use crate::os_host::OsHost;

/// The address changes a second time while the link drains. Guards against waiting for a mark that
/// is never sent: the link would be closed only at its deadline, and no command sent until then.
#[test]
fn draining_link_is_closed_by_its_first_mark_after_a_second_address_change() {
    let event_loop = calloop::EventLoop::try_new().expect("event loop is created");
    let listeners: Vec<_> = (0..3)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("socket is bound"))
        .collect();
    let addresses: Vec<_> = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("socket has an address"))
        .collect();
    let mut runtime = RuntimeLink::new(
        OsHost::new(event_loop.handle()),
        addresses[0],
        Vec::new(),
        Vec::new(),
    );
    runtime.connect(0);
    runtime.link.as_mut().expect("link is connecting").state = LinkState::Ready;
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
        "the mark is confirmed and the link closed"
    );
    runtime.poll(3_000, &mut events);
    assert!(
        listeners[2].accept().is_ok(),
        "the next link uses the latest address"
    );
}
