//! The system's sockets as they are set up.

use super::*;

/// Guards against small writes that the system holds back: a close over unread bytes would take them back.
#[test]
fn nothing_written_is_held_back_on_connections_of_either_side() {
    let event_loop = EventLoop::try_new().expect("an event loop");
    let real = OsHost::new(event_loop.handle());
    let (listener, address) = real
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0)
        .expect("a port");
    let made = real
        .connect(address, SocketOwner::Runtime)
        .expect("it listens");
    let (accepted, _) = real
        .accept(&listener, SocketOwner::ClientConnection(1))
        .expect("it waits");
    for connection in [made, accepted] {
        assert!(connection.socket.nodelay().expect("an option"));
    }
}
