//! Options of the sockets that the host creates.

use super::*;
use crate::host::Host as _;
use crate::socket_owner::SocketOwner;
use calloop::EventLoop;
use std::net::SocketAddr;

/// Guards against small writes that the system holds back: a close over unread bytes would take
/// them back.
#[test]
fn streams_of_both_sides_send_small_writes_at_once() {
    let event_loop = EventLoop::try_new().expect("an event loop");
    let host = OsHost::new(event_loop.handle());
    let (listener, address) = host
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0)
        .expect("a port");
    let connected = host
        .connect(address, SocketOwner::Runtime)
        .expect("it listens");
    let (accepted, _) = host
        .accept(&listener, SocketOwner::ClientConnection(1))
        .expect("it waits");
    for stream in [connected, accepted] {
        assert!(stream.socket.nodelay().expect("an option"));
    }
}
