//! Tests of the listener on loopback sockets with a simulated clock: nothing is read unless the
//! test polls.

use super::accept::ACCEPT_PAUSE;
use super::client_connection::MIN_SLOT_TIME;
use super::eviction::SWEEP_INTERVAL;
use super::*;
use crate::os_host::OsHost;
use cleatpulley_protocol::frame;
use cleatpulley_protocol::frame::connection::DRAIN_TIMEOUT;
use cleatpulley_protocol::state_machine::ConnectionState;
use std::net::TcpStream;

const SECOND: Micros = 1_000_000;

/// Guards against a busy loop between the stop notice and the stop.
#[test]
fn accepts_nothing_after_listeners_are_closed() {
    let event_loop = calloop::EventLoop::try_new().expect("event loop is created");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listener = ClientListener::new(OsHost::new(event_loop.handle()), Vec::new(), 8);
    listener
        .listen(address, ClientProtocol::Frames(Rc::default()))
        .expect("socket is bound");
    let mut events = Vec::new();
    listener.notify_stop(1);
    listener.poll(1, &mut events);
    assert!(listener.addresses.is_empty());
    // A closed connection frees a slot.
    listener.on_acceptable(0);
    assert!(!listener.poll(2, &mut events));
}

/// Returns a listener with a connection limit, after `count` clients have connected, and the
/// clients' sockets.
fn connect_clients(
    max_connections: usize,
    count: usize,
) -> (
    calloop::EventLoop<'static, Box<dyn crate::os_host::Service>>,
    ClientListener<OsHost>,
    Vec<TcpStream>,
) {
    let event_loop = calloop::EventLoop::try_new().expect("event loop is created");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listener = ClientListener::new(
        OsHost::new(event_loop.handle()),
        Vec::new(),
        max_connections,
    );
    let address = listener
        .listen(address, ClientProtocol::Frames(Rc::default()))
        .expect("socket is bound");
    let clients = (0..count)
        .map(|_| TcpStream::connect(address).expect("listener accepts connections"))
        .collect();
    listener.poll(1, &mut Vec::new());
    (event_loop, listener, clients)
}

fn numbers(listener: &ClientListener<OsHost>) -> Vec<u64> {
    let mut numbers: Vec<_> = listener.connections.keys().copied().collect();
    numbers.sort_unstable();
    numbers
}

fn status(
    listener: &mut ClientListener<OsHost>,
    number: u64,
) -> &mut cleatpulley_protocol::state_machine::ConnectionStatus {
    listener
        .connections
        .get_mut(&number)
        .expect("connection is open")
        .machine
        .status_mut()
}

fn is_open(connection: &ClientConnection<OsHost>) -> bool {
    connection.lingering_since.is_none()
        && connection.machine.status().state == ConnectionState::Open
}

/// Guards against clients that occupy all slots and send nothing.
#[test]
fn longest_silent_connection_is_evicted() {
    let (_event_loop, mut listener, _clients) = connect_clients(2, 3);
    assert_eq!(
        numbers(&listener),
        [1, 2],
        "newly accepted connections keep their slots"
    );
    status(&mut listener, 1).has_received_message = true;
    listener.poll(1 + ACCEPT_PAUSE, &mut Vec::new());
    assert_eq!(numbers(&listener), [1, 3]);
    // A connection with an open request is never evicted.
    status(&mut listener, 3).open_requests = 1;
    let _client = TcpStream::connect(_clients[0].peer_addr().expect("socket has an address"))
        .expect("listener accepts connections");
    listener.on_acceptable(0);
    listener.poll(SECOND, &mut Vec::new());
    assert_eq!(numbers(&listener), [1, 3]);
}

/// Guards against clients that send one request and keep their connection open; connections in use
/// are not affected.
#[test]
fn longest_idle_connections_are_notified_to_close_while_slots_are_scarce() {
    let (_event_loop, mut listener, _clients) = connect_clients(9, 8);
    for (number, connection) in &mut listener.connections {
        let status = connection.machine.status_mut();
        (
            status.has_received_message,
            status.waiting_since,
            status.last_activity_at,
        ) = (true, None, *number);
    }
    status(&mut listener, 1).open_requests = 1;
    listener.poll(SECOND, &mut Vec::new());
    let closing_numbers = |listener: &ClientListener<OsHost>| {
        let mut closing_numbers: Vec<_> = listener
            .connections
            .iter()
            .filter(|(_, connection)| !is_open(connection))
            .map(|(number, _)| *number)
            .collect();
        closing_numbers.sort_unstable();
        closing_numbers
    };
    assert_eq!(closing_numbers(&listener), [2, 3]);
    listener.poll(SECOND + SWEEP_INTERVAL, &mut Vec::new());
    assert_eq!(
        closing_numbers(&listener),
        [2, 3],
        "six of nine slots are no shortage"
    );
}

/// Guards against counting a pause of the machine as idle time of the clients.
#[test]
fn machine_pause_does_not_count_as_idle_time_of_clients() {
    let (_event_loop, mut listener, _clients) = connect_clients(8, 2);
    listener.poll(9 * SECOND, &mut Vec::new());
    assert!(listener.connections.values().all(is_open));
    for iteration in 1..=20 {
        listener.poll(9 * SECOND + iteration * SWEEP_INTERVAL, &mut Vec::new());
    }
    assert!(!listener.connections.values().any(is_open));
}

/// Readiness of a connection on which bytes have arrived.
const READABLE: Readiness = Readiness {
    readable: true,
    writable: true,
};

/// Returns a request with this id, as a frame on stream 1.
fn request(id: u64) -> Vec<u8> {
    let fields = [
        ("verb", "look"),
        ("door", "1"),
        ("lb", "4"),
        ("cpu", "1"),
        ("ram", "1"),
        ("standing", "0"),
    ];
    let mut fields: Vec<_> = fields
        .iter()
        .map(|(name, value)| (*name, (*value).to_owned()))
        .collect();
    fields.push(("txn", format!("{id:016x}")));
    let (mut payload, mut frame) = (Vec::new(), Vec::new());
    frame::codec::push_fields(&mut payload, &fields);
    frame::codec::push_request(&mut frame, 1, &payload);
    frame
}

/// Does the same as [`connect_clients`], with one request class.
fn connect_clients_of_class(
    max_connections: usize,
    count: usize,
) -> (
    calloop::EventLoop<'static, Box<dyn crate::os_host::Service>>,
    ClientListener<OsHost>,
    Vec<TcpStream>,
) {
    let (event_loop, mut listener, clients) = connect_clients(max_connections, count);
    listener.context.class_names = vec!["look".to_owned()];
    (event_loop, listener, clients)
}

fn read_request_ids(events: &[Event]) -> Vec<u64> {
    let id = |event: &Event| match event {
        Event::RequestRead(arrival) => Some(arrival.id),
        _ => None,
    };
    events.iter().filter_map(id).collect()
}

/// Returns the bytes that the peer reads until the connection closes; a reset is an error.
fn read_until_close(client: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    client
        .set_read_timeout(Some(std::time::Duration::from_secs(10)))
        .expect("timeout is set");
    let mut bytes = Vec::new();
    std::io::Read::read_to_end(client, &mut bytes).map(|_| bytes)
}

/// A request arrives before its connection is considered for eviction, but its readiness was not
/// reported yet: the connection stays. In the other order, without a request, the connection is
/// closed.
#[test]
fn connection_with_an_unread_request_is_not_evicted() {
    let (_event_loop, mut listener, mut clients) = connect_clients_of_class(2, 3);
    assert_eq!(numbers(&listener), [1, 2]);
    std::io::Write::write_all(&mut clients[0], &request(7)).expect("bytes are sent");
    let mut events = Vec::new();
    listener.poll(1 + ACCEPT_PAUSE, &mut events);
    assert_eq!(
        read_request_ids(&events),
        [7],
        "the longest silent connection has a request"
    );
    assert_eq!(numbers(&listener), [1, 3], "the next connection is evicted");
}

/// The first part of a request arrives before the stop notice, the second part after the parting
/// time: the request is accepted. A connection without any bytes before the notice is closed.
#[test]
fn partial_request_keeps_its_connection_until_it_is_complete() {
    let (_event_loop, mut listener, mut clients) = connect_clients_of_class(8, 2);
    let frame = request(9);
    let (first_part, second_part) = frame.split_at(20);
    std::io::Write::write_all(&mut clients[0], first_part).expect("bytes are sent");
    let mut events = Vec::new();
    listener.on_readiness(1, READABLE);
    listener.on_readiness(2, READABLE);
    listener.poll(2, &mut events);
    listener.notify_stop(3);
    listener.poll(3, &mut events);
    let after_parting = 3 + DRAIN_TIMEOUT + SWEEP_INTERVAL;
    listener.poll(after_parting, &mut events);
    listener.poll(after_parting + 1, &mut events);
    assert!(
        listener.connections[&1].lingering_since.is_none(),
        "the request is incomplete"
    );
    assert!(
        listener.connections[&2].lingering_since.is_some(),
        "no request has arrived"
    );
    std::io::Write::write_all(&mut clients[0], second_part).expect("bytes are sent");
    listener.on_readiness(1, READABLE);
    listener.poll(after_parting + 2, &mut events);
    assert_eq!(read_request_ids(&events), [9]);
    listener.respond(
        after_parting + 3,
        ClientStream {
            connection: 1,
            stream: 1,
        },
        &Response::Failed,
    );
    listener.flush(after_parting + 3, &mut events);
    listener.poll(after_parting + 4, &mut events);
    assert!(
        listener.connections[&1].lingering_since.is_some(),
        "the request has its response"
    );
}

/// The second part of a request never arrives.
#[test]
fn partial_request_keeps_its_connection_for_a_limited_time() {
    let (_event_loop, mut listener, mut clients) = connect_clients_of_class(8, 1);
    std::io::Write::write_all(&mut clients[0], &request(9)[..20]).expect("bytes are sent");
    listener.on_readiness(1, READABLE);
    listener.poll(2, &mut Vec::new());
    listener.notify_stop(3);
    for iteration in 1..=25 {
        listener.poll(3 + iteration * SWEEP_INTERVAL, &mut Vec::new());
    }
    assert!(listener.connections[&1].lingering_since.is_some());
}

/// A response was sent and the write side closed; the client has not read it yet when a notice to
/// all connections follows. Any further byte would cause a reset, which loses the response.
#[test]
fn sends_nothing_more_once_the_write_side_is_closed() {
    let (_event_loop, mut listener, mut clients) = connect_clients_of_class(8, 1);
    std::io::Write::write_all(&mut clients[0], &request(5)).expect("bytes are sent");
    clients[0]
        .shutdown(std::net::Shutdown::Write)
        .expect("write side is closed");
    let mut events = Vec::new();
    listener.on_readiness(1, READABLE);
    listener.poll(2, &mut events);
    listener.respond(
        3,
        ClientStream {
            connection: 1,
            stream: 1,
        },
        &Response::Served(b"done".to_vec()),
    );
    listener.flush(3, &mut events);
    let connection = listener
        .connections
        .get_mut(&1)
        .expect("connection is open");
    connection.stream.shutdown_write();
    connection.lingering_since = Some(3);
    listener.notify_stop(4);
    listener.yield_to_successor(4);
    assert_eq!(listener.connections[&1].stream.unsent_bytes(), 0);
    listener.sweep(4 + 3 * SECOND, &mut events);
    assert_eq!(listener.connections[&1].stream.unsent_bytes(), 0);
    drop(listener);
    let bytes = read_until_close(&mut clients[0]).expect("connection was not reset");
    assert!(bytes.ends_with(b"done"), "{bytes:?}");
}

/// A connection with a request is pending in the accept queue at the stop notice: it is accepted
/// and notified, and its request is accepted. In the other order, a connection after the listener
/// is closed is refused, which proves that nothing ran.
#[test]
fn connection_pending_at_the_stop_notice_gets_its_response() {
    let (_event_loop, mut listener, clients) = connect_clients_of_class(8, 1);
    let address = clients[0].peer_addr().expect("socket has an address");
    let mut client = TcpStream::connect(address).expect("listener accepts connections");
    std::io::Write::write_all(&mut client, &request(3)).expect("bytes are sent");
    listener.notify_stop(2);
    let mut events = Vec::new();
    listener.poll(2, &mut events);
    assert!(
        TcpStream::connect(address).is_err(),
        "the listener is closed"
    );
    assert_eq!(numbers(&listener), [1, 2]);
    listener.on_readiness(2, READABLE);
    listener.poll(3, &mut events);
    assert_eq!(read_request_ids(&events), [3]);
    listener.respond(
        4,
        ClientStream {
            connection: 2,
            stream: 1,
        },
        &Response::Failed,
    );
    listener.flush(4, &mut events);
    let mut goodbye = Vec::new();
    frame::codec::push_go_away(&mut goodbye);
    let mut received = vec![0; goodbye.len()];
    std::io::Read::read_exact(&mut client, &mut received).expect("goodbye has arrived");
    assert_eq!(received, goodbye);
}

/// A request arrives on an idle connection while its client is notified to close: in both orders
/// the request is accepted, and the write side is not closed before the response was sent.
#[test]
fn request_that_crosses_the_close_notice_is_accepted() {
    for arrives_before_notice in [true, false] {
        let (_event_loop, mut listener, mut clients) = connect_clients_of_class(8, 1);
        status(&mut listener, 1).has_received_message = true;
        status(&mut listener, 1).waiting_since = None;
        listener.set_idle_timeout(SECOND);
        let mut events = Vec::new();
        let idle_timeout_at = 1 + 2 * SECOND;
        if arrives_before_notice {
            std::io::Write::write_all(&mut clients[0], &request(4)).expect("bytes are sent");
            listener.on_readiness(1, READABLE);
        }
        listener.poll(idle_timeout_at, &mut events);
        assert_eq!(
            is_open(&listener.connections[&1]),
            arrives_before_notice,
            "received bytes are read before the idle check"
        );
        if !arrives_before_notice {
            std::io::Write::write_all(&mut clients[0], &request(4)).expect("bytes are sent");
            listener.on_readiness(1, READABLE);
            listener.poll(idle_timeout_at + MIN_SLOT_TIME, &mut events);
        }
        assert_eq!(read_request_ids(&events), [4]);
        listener.poll(idle_timeout_at + 2 * DRAIN_TIMEOUT, &mut events);
        assert!(
            listener.connections[&1].lingering_since.is_none(),
            "a response is pending"
        );
    }
}

/// The limit is lowered right after connections were accepted: they are closed after the minimum
/// slot time, and not before.
#[test]
fn connections_above_a_lowered_limit_are_closed_after_the_minimum_slot_time() {
    let (_event_loop, mut listener, _clients) = connect_clients(8, 6);
    let mut events = Vec::new();
    listener.set_connection_limit(2, 3, &mut events);
    assert_eq!(listener.connection_count(), 6);
    listener.poll(1 + SWEEP_INTERVAL, &mut events);
    assert_eq!(
        numbers(&listener),
        [4, 5, 6],
        "the longest silent ones are closed first"
    );
}

/// Guards against requests that run although their client has left: it reset its connection, for
/// example by closing it with unread responses, and may send them again elsewhere.
#[test]
fn requests_of_a_client_that_has_reset_its_connection_are_not_read() {
    let (_event_loop, mut listener, mut clients) = connect_clients_of_class(8, 2);
    // More than one iteration reads, so that the reset is not seen with the first read.
    let health_checks = [0, 0, 0, 6, 6, 0, 0, 0, 2, 0].repeat(20_000);
    for client in &mut clients {
        std::io::Write::write_all(client, &request(7)).expect("bytes are sent");
        std::io::Write::write_all(client, &health_checks).expect("bytes are sent");
    }
    let reset = socket2::Socket::from(clients.remove(0));
    reset
        .set_linger(Some(std::time::Duration::ZERO))
        .expect("option is set");
    drop(reset);
    listener.on_readiness(1, READABLE);
    listener.on_readiness(2, READABLE);
    let mut events = Vec::new();
    listener.poll(2, &mut events);
    assert_eq!(
        read_request_ids(&events).len(),
        1,
        "only the other client waits"
    );
    assert_eq!(numbers(&listener), [2]);
}

/// Returns the front of a request that claims 16,000 bytes.
fn partial_request(length: usize) -> Vec<u8> {
    let mut frame = 16_005_u32.to_be_bytes().to_vec();
    frame.push(frame::codec::REQUEST);
    frame.extend_from_slice(&1_u32.to_be_bytes());
    frame.resize(length, b'x');
    frame
}

/// Guards against hundreds of clients that stop half way through a large request, whose buffers exceed
/// the memory of the process.
#[test]
fn memory_of_incomplete_requests_is_limited() {
    const CLIENTS: usize = 40;
    const LIMIT: usize = 200_000;
    let (_event_loop, mut listener, mut clients) = connect_clients_of_class(64, CLIENTS);
    listener.set_buffer_limit(LIMIT);
    let (small, large) = clients.split_at_mut(1);
    std::io::Write::write_all(&mut small[0], &request(9)[..20]).expect("bytes are sent");
    for client in large {
        std::io::Write::write_all(client, &partial_request(15_000)).expect("bytes are sent");
    }
    let mut events = Vec::new();
    for number in 1..=CLIENTS as u64 {
        listener.on_readiness(number, READABLE);
    }
    listener.poll(2, &mut events);
    assert!(
        listener.buffered_bytes() <= LIMIT,
        "{}",
        listener.buffered_bytes()
    );
    // The largest give way, and a slow small request is still accepted.
    std::io::Write::write_all(&mut small[0], &request(9)[20..]).expect("bytes are sent");
    listener.on_readiness(1, READABLE);
    listener.poll(3, &mut events);
    assert_eq!(read_request_ids(&events), [9]);
}

/// Guards against an incomplete request that keeps the memory of a burst before it.
#[test]
fn incomplete_request_after_a_burst_keeps_only_its_own_memory() {
    let (_event_loop, mut listener, mut clients) = connect_clients_of_class(8, 1);
    let mut burst = Vec::new();
    while burst.len() < 60_000 {
        // Health checks without fields.
        burst.extend_from_slice(&[0, 0, 0, 6, 6, 0, 0, 0, 1, 0]);
    }
    burst.extend_from_slice(&partial_request(100));
    std::io::Write::write_all(&mut clients[0], &burst).expect("bytes are sent");
    listener.on_readiness(1, READABLE);
    while listener.poll(2, &mut Vec::new()) {}
    assert!(
        listener.connections[&1].stream.input.capacity() <= 16_384,
        "{}",
        listener.connections[&1].stream.input.capacity()
    );
}

/// Guards against requests of many clients that are all read, with their memory, before the first of them
/// is handled.
#[test]
fn one_iteration_reads_a_limited_number_of_requests_and_the_next_goes_on() {
    const CLIENTS: u64 = 700;
    let (_event_loop, mut listener, mut clients) = connect_clients_of_class(1_000, 128);
    while clients.len() < CLIENTS as usize {
        let address = clients[0].peer_addr().expect("client is connected");
        clients.push(TcpStream::connect(address).expect("listener accepts connections"));
        listener.on_acceptable(0);
        listener.poll(1, &mut Vec::new());
    }
    for (client, id) in clients.iter_mut().zip(1_u64..) {
        std::io::Write::write_all(client, &request(id)).expect("bytes are sent");
        listener.on_readiness(id, READABLE);
    }
    let mut ids = Vec::new();
    loop {
        let mut events = Vec::new();
        let has_more = listener.poll(2, &mut events);
        assert!(events.len() <= 256, "{}", events.len());
        ids.extend(read_request_ids(&events));
        if !has_more {
            break;
        }
    }
    assert_eq!(ids, (1..=CLIENTS).collect::<Vec<_>>());
}

/// Guards against many clients that send messages other than requests without pause: an iteration that reads
/// from all of them keeps operators and other peers waiting.
#[test]
fn one_iteration_reads_from_a_limited_number_of_busy_connections() {
    const CLIENTS: u64 = 100;
    let (_event_loop, mut listener, mut clients) = connect_clients_of_class(128, CLIENTS as usize);
    let health_checks = [0, 0, 0, 6, 6, 0, 0, 0, 2, 0].repeat(4_000);
    for (client, number) in clients.iter_mut().zip(1_u64..) {
        std::io::Write::write_all(client, &health_checks).expect("bytes are sent");
        listener.on_readiness(number, READABLE);
    }
    assert!(listener.poll(2, &mut Vec::new()), "there is more to read");
    let is_served =
        |connection: &&ClientConnection<OsHost>| connection.machine.status().has_received_message;
    let count =
        |listener: &ClientListener<OsHost>| listener.connections.values().filter(is_served).count();
    assert_eq!(count(&listener), MAX_BUSY_CONNECTIONS_PER_POLL);
    // The others have their turn before those that were served.
    listener.poll(3, &mut Vec::new());
    assert_eq!(count(&listener), 2 * MAX_BUSY_CONNECTIONS_PER_POLL);
}
