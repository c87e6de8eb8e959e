//! Tests of a connection to a loopback listener that does not accept it.

use super::*;
use crate::os_host::OsHost;

#[test]
fn empty_buffers_give_back_the_capacity_of_a_burst() {
    let event_loop = calloop::EventLoop::try_new().expect("event loop is created");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("socket is bound");
    let address = listener.local_addr().expect("socket has an address");
    let mut connection = BufferedConnection::connect(
        &OsHost::new(event_loop.handle()),
        address,
        SocketOwner::Runtime,
    )
    .expect("listener accepts connections");
    connection.input = vec![0; 65_536];
    connection.consume(65_535);
    assert_eq!(connection.input.len(), 1);
    connection.consume(1);
    assert!(connection.input.capacity() <= MAX_IDLE_CAPACITY_BYTES);
    connection.output().extend_from_slice(&[0; 65_536]);
    connection.sent_bytes = 65_536;
    connection.total_sent_bytes = 65_536;
    connection.flush().expect("flush succeeds");
    assert!(connection.output.capacity() <= MAX_IDLE_CAPACITY_BYTES);
}
