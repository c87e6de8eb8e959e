//! Tests of the socket options that the host sets.

use super::*;
use crate::host::Host as _;
use crate::socket_owner::SocketOwner;
use calloop::EventLoop;
use std::net::SocketAddr;

/// Guards against small writes delayed by Nagle's algorithm: a close with unread bytes would lose
/// them.
#[test]
fn streams_of_both_sides_send_small_writes_at_once() {
    let event_loop = EventLoop::try_new().expect("event loop is created");
    let host = OsHost::new(event_loop.handle());
    let (listener, address) = host
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0)
        .expect("socket is bound");
    let connected = host
        .connect(address, SocketOwner::Runtime)
        .expect("listener accepts connections");
    let (accepted, _) = host
        .accept(&listener, SocketOwner::ClientConnection(1))
        .expect("connection is pending");
    for stream in [connected, accepted] {
        assert!(stream.socket.nodelay().expect("socket option is readable"));
    }
}
