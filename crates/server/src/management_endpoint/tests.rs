//! Tests of the endpoint on loopback sockets with a simulated clock: nothing is read unless the test polls.

use super::*;
use crate::os_host::OsHost;
use std::io::Write;
use std::net::TcpStream;

struct NoMetrics;

impl ManagementData for NoMetrics {
    fn is_ready(&self) -> bool {
        true
    }

    fn variables_json(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// Guards against a client that sends without pause and keeps the event loop from all others: the endpoint
/// read from it until nothing was left.
#[test]
fn one_iteration_reads_a_limited_number_of_bytes_from_a_client() {
    let event_loop = calloop::EventLoop::try_new().expect("event loop is created");
    let host = OsHost::new(event_loop.handle());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut endpoint = ManagementEndpoint::listen(host, any_port).expect("socket is bound");
    let address = endpoint
        .listener
        .socket()
        .local_addr()
        .expect("socket has an address");
    let mut client = TcpStream::connect(address).expect("endpoint accepts connections");
    client.set_nonblocking(true).expect("option is set");
    let bytes = b"GET /_ready HTTP/1.1\r\n\r\n".repeat(2_000);
    let mut sent = 0;
    while let Ok(length) = client.write(&bytes) {
        sent += length;
    }
    assert!(sent > MAX_READS_PER_POLL * READ_LIMIT_BYTES, "{sent}");
    assert!(endpoint.poll(1, &NoMetrics), "there is more to read");
}
