//! The link on sockets of loopback, on a clock of the test's own.

use super::*;
use crate::os_host::OsHost;

/// A second new address while the link to the first is being left. Guards against a mark that is never sent: the link
/// would be left only once its time is over, and no command goes out until then.
#[test]
fn a_link_that_is_being_left_is_left_by_its_first_mark_wherever_it_goes() {
    let event_loop = calloop::EventLoop::try_new().expect("an event loop");
    let listeners: Vec<_> = (0..3)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"))
        .collect();
    let at: Vec<_> = listeners
        .iter()
        .map(|l| l.local_addr().expect("an address"))
        .collect();
    let mut runtime = RuntimeLink::new(
        OsHost::new(event_loop.handle()),
        at[0],
        Vec::new(),
        Vec::new(),
    );
    runtime.connect(0);
    runtime.synced = true;
    runtime.relocate(1_000, at[1]);
    let left = runtime.leaving;
    assert_eq!(left, Some((1, 1_000 + LEAVING)));
    runtime.relocate(2_000, at[2]);
    assert_eq!((runtime.leaving, runtime.address), (left, at[2]));
    let mut facts = Vec::new();
    runtime.confirm(1, &mut facts);
    assert!(
        runtime.poll(3_000, &mut facts) && !runtime.is_connected(),
        "proved, and left at once"
    );
    runtime.poll(3_000, &mut facts);
    assert!(listeners[2].accept().is_ok(), "and the next is the newest");
}
