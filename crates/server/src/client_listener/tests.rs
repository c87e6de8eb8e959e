//! The listener on loopback sockets, on a clock of the test: nothing is read before the test says
//! so.

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

/// Guards against a loop at full speed between the notice of the stop and the stop.
#[test]
fn accepts_nothing_once_it_no_longer_listens() {
    let event_loop = calloop::EventLoop::try_new().expect("an event loop");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listener = ClientListener::new(OsHost::new(event_loop.handle()), Vec::new(), 8);
    listener
        .listen(address, ClientProtocol::Frames(Rc::default()))
        .expect("a port");
    let mut events = Vec::new();
    listener.notify_stop(1);
    listener.poll(1, &mut events);
    assert!(listener.addresses.is_empty());
    // A connection that closes leaves room for another.
    listener.on_acceptable(0);
    assert!(!listener.poll(2, &mut events));
}

/// A listener with a limit of connections, that many accepted connections, and their other ends.
fn connect_clients(
    max_connections: usize,
    count: usize,
) -> (
    calloop::EventLoop<'static, Box<dyn crate::os_host::Service>>,
    ClientListener<OsHost>,
    Vec<TcpStream>,
) {
    let event_loop = calloop::EventLoop::try_new().expect("an event loop");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listener = ClientListener::new(
        OsHost::new(event_loop.handle()),
        Vec::new(),
        max_connections,
    );
    let address = listener
        .listen(address, ClientProtocol::Frames(Rc::default()))
        .expect("a port");
    let ends = (0..count)
        .map(|_| TcpStream::connect(address).expect("it listens"))
        .collect();
    listener.poll(1, &mut Vec::new());
    (event_loop, listener, ends)
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
        .expect("it stands")
        .machine
        .status_mut()
}

fn is_open(connection: &ClientConnection<OsHost>) -> bool {
    connection.lingering_since.is_none()
        && connection.machine.status().state == ConnectionState::Open
}

/// Guards against clients that take all slots and send nothing.
#[test]
fn longest_silent_connection_gives_up_its_slot() {
    let (_event_loop, mut listener, _ends) = connect_clients(2, 3);
    assert_eq!(
        numbers(&listener),
        [1, 2],
        "what was accepted just now keeps its place"
    );
    status(&mut listener, 1).has_received_message = true;
    listener.poll(1 + ACCEPT_PAUSE, &mut Vec::new());
    assert_eq!(numbers(&listener), [1, 3]);
    // A request that is open is never given up for a place.
    status(&mut listener, 3).open_requests = 1;
    let _end = TcpStream::connect(_ends[0].peer_addr().expect("an address")).expect("it listens");
    listener.on_acceptable(0);
    listener.poll(SECOND, &mut Vec::new());
    assert_eq!(numbers(&listener), [1, 3]);
}

/// Guards against clients that send one request and keep their connection for good; connections in
/// use are not affected.
#[test]
fn longest_idle_connections_are_asked_to_close_while_slots_run_short() {
    let (_event_loop, mut listener, _ends) = connect_clients(9, 8);
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
    let parting = |listener: &ClientListener<OsHost>| {
        let mut parting: Vec<_> = listener
            .connections
            .iter()
            .filter(|(_, connection)| !is_open(connection))
            .map(|(n, _)| *n)
            .collect();
        parting.sort_unstable();
        parting
    };
    assert_eq!(parting(&listener), [2, 3]);
    listener.poll(SECOND + SWEEP_INTERVAL, &mut Vec::new());
    assert_eq!(
        parting(&listener),
        [2, 3],
        "six of nine places are no crowd"
    );
}

/// Guards against taking a pause of the machine for silence.
#[test]
fn pause_of_the_machine_is_no_silence_of_the_clients() {
    let (_event_loop, mut listener, _ends) = connect_clients(8, 2);
    listener.poll(9 * SECOND, &mut Vec::new());
    assert!(listener.connections.values().all(is_open));
    for turn in 1..=20 {
        listener.poll(9 * SECOND + turn * SWEEP_INTERVAL, &mut Vec::new());
    }
    assert!(!listener.connections.values().any(is_open));
}

/// What the event loop reports of a connection on which bytes have arrived.
const READABLE: Readiness = Readiness {
    readable: true,
    writable: true,
};

/// A request of this id, as a frame on stream 1.
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

/// The same with one request class.
fn connect_clients_of_class(
    max_connections: usize,
    count: usize,
) -> (
    calloop::EventLoop<'static, Box<dyn crate::os_host::Service>>,
    ClientListener<OsHost>,
    Vec<TcpStream>,
) {
    let (event_loop, mut listener, ends) = connect_clients(max_connections, count);
    listener.context.class_names = vec!["look".to_owned()];
    (event_loop, listener, ends)
}

fn arrived(events: &[Event]) -> Vec<u64> {
    let id = |event: &Event| match event {
        Event::RequestRead(arrival) => Some(arrival.id),
        _ => None,
    };
    events.iter().filter_map(id).collect()
}

/// The bytes that the peer finds up to the end of the connection; a reset is an error.
fn rest(end: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    end.set_read_timeout(Some(std::time::Duration::from_secs(10)))
        .expect("a time-out");
    let mut bytes = Vec::new();
    std::io::Read::read_to_end(end, &mut bytes).map(|_| bytes)
}

/// A request was written before its connection's slot is wanted, and was not reported yet. The
/// other order, where the slot is wanted first and there is no request: that connection is closed.
#[test]
fn slot_is_not_taken_from_a_connection_with_an_unread_request() {
    let (_event_loop, mut listener, mut ends) = connect_clients_of_class(2, 3);
    assert_eq!(numbers(&listener), [1, 2]);
    std::io::Write::write_all(&mut ends[0], &request(7)).expect("it is taken");
    let mut events = Vec::new();
    listener.poll(1 + ACCEPT_PAUSE, &mut events);
    assert_eq!(arrived(&events), [7], "the silent longest was not silent");
    assert_eq!(
        numbers(&listener),
        [1, 3],
        "the place was taken from the next"
    );
}

/// Half a request arrives before the notice of the stop, the other half after the time for it: the
/// request is accepted. A connection with nothing before the notice is closed.
#[test]
fn partial_request_keeps_its_connection_until_it_is_complete() {
    let (_event_loop, mut listener, mut ends) = connect_clients_of_class(8, 2);
    let whole = request(9);
    let (before, after) = whole.split_at(20);
    std::io::Write::write_all(&mut ends[0], before).expect("it is taken");
    let mut events = Vec::new();
    listener.on_readiness(1, READABLE);
    listener.on_readiness(2, READABLE);
    listener.poll(2, &mut events);
    listener.notify_stop(3);
    listener.poll(3, &mut events);
    let late = 3 + DRAIN_TIMEOUT + SWEEP_INTERVAL;
    listener.poll(late, &mut events);
    listener.poll(late + 1, &mut events);
    assert!(
        listener.connections[&1].lingering_since.is_none(),
        "half a request is on its way"
    );
    assert!(
        listener.connections[&2].lingering_since.is_some(),
        "nothing came on this one"
    );
    std::io::Write::write_all(&mut ends[0], after).expect("it is taken");
    listener.on_readiness(1, READABLE);
    listener.poll(late + 2, &mut events);
    assert_eq!(arrived(&events), [9]);
    listener.respond(
        late + 3,
        ClientStream {
            connection: 1,
            stream: 1,
        },
        &Response::Failed,
    );
    listener.flush(late + 3, &mut events);
    listener.poll(late + 4, &mut events);
    assert!(
        listener.connections[&1].lingering_since.is_some(),
        "and then nothing holds it"
    );
}

/// The other half never arrives.
#[test]
fn partial_request_does_not_keep_its_connection_for_ever() {
    let (_event_loop, mut listener, mut ends) = connect_clients_of_class(8, 1);
    std::io::Write::write_all(&mut ends[0], &request(9)[..20]).expect("it is taken");
    listener.on_readiness(1, READABLE);
    listener.poll(2, &mut Vec::new());
    listener.notify_stop(3);
    for turn in 1..=25 {
        listener.poll(3 + turn * SWEEP_INTERVAL, &mut Vec::new());
    }
    assert!(listener.connections[&1].lingering_since.is_some());
}

/// A response was sent and the write side closed; the client has not read it yet when a notice for
/// all connections follows. Any further byte would be answered by a reset, which takes the response
/// back.
#[test]
fn sends_nothing_more_once_the_write_side_is_closed() {
    let (_event_loop, mut listener, mut ends) = connect_clients_of_class(8, 1);
    std::io::Write::write_all(&mut ends[0], &request(5)).expect("it is taken");
    ends[0]
        .shutdown(std::net::Shutdown::Write)
        .expect("a half close");
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
    let connection = listener.connections.get_mut(&1).expect("it stands");
    connection.stream.shutdown_write();
    connection.lingering_since = Some(3);
    listener.notify_stop(4);
    listener.yield_to_successor(4);
    assert_eq!(listener.connections[&1].stream.unsent_bytes(), 0);
    listener.sweep(4 + 3 * SECOND, &mut events);
    assert_eq!(listener.connections[&1].stream.unsent_bytes(), 0);
    drop(listener);
    let bytes = rest(&mut ends[0]).expect("no reset");
    assert!(bytes.ends_with(b"done"), "{bytes:?}");
}

/// A connection waits in the queue, with its request, when the stop is announced: it is accepted,
/// given the notice, and its request accepted. The other order: a connection after the queue is
/// closed is refused, which proves that nothing ran.
#[test]
fn connection_that_waits_when_the_stop_is_near_gets_its_response() {
    let (_event_loop, mut listener, ends) = connect_clients_of_class(8, 1);
    let address = ends[0].peer_addr().expect("an address");
    let mut end = TcpStream::connect(address).expect("it listens");
    std::io::Write::write_all(&mut end, &request(3)).expect("it is taken");
    listener.notify_stop(2);
    let mut events = Vec::new();
    listener.poll(2, &mut events);
    assert!(
        TcpStream::connect(address).is_err(),
        "nobody waits there unseen"
    );
    assert_eq!(numbers(&listener), [1, 2]);
    listener.on_readiness(2, READABLE);
    listener.poll(3, &mut events);
    assert_eq!(arrived(&events), [3]);
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
    let mut got = vec![0; goodbye.len()];
    std::io::Read::read_exact(&mut end, &mut got).expect("a word");
    assert_eq!(got, goodbye);
}

/// A request arrives on an idle connection when that one is asked to close: both orders end with
/// the request accepted, and the write side closed no sooner than it has its response.
#[test]
fn request_that_crosses_the_notice_to_close_is_accepted() {
    for before in [true, false] {
        let (_event_loop, mut listener, mut ends) = connect_clients_of_class(8, 1);
        status(&mut listener, 1).has_received_message = true;
        status(&mut listener, 1).waiting_since = None;
        listener.set_idle_timeout(SECOND);
        let mut events = Vec::new();
        let idle = 1 + 2 * SECOND;
        if before {
            std::io::Write::write_all(&mut ends[0], &request(4)).expect("it is taken");
            listener.on_readiness(1, READABLE);
        }
        listener.poll(idle, &mut events);
        assert_eq!(
            is_open(&listener.connections[&1]),
            before,
            "what has come is read before silence is judged"
        );
        if !before {
            std::io::Write::write_all(&mut ends[0], &request(4)).expect("it is taken");
            listener.on_readiness(1, READABLE);
            listener.poll(idle + MIN_SLOT_TIME, &mut events);
        }
        assert_eq!(arrived(&events), [4]);
        listener.poll(idle + 2 * DRAIN_TIMEOUT, &mut events);
        assert!(
            listener.connections[&1].lingering_since.is_none(),
            "an answer is owed"
        );
    }
}

/// The limit was lowered when connections had just been accepted, which keep their slots for a
/// moment: they are closed after it, and not before.
#[test]
fn connections_above_a_lowered_limit_are_closed_once_they_may() {
    let (_event_loop, mut listener, _ends) = connect_clients(8, 6);
    let mut events = Vec::new();
    listener.set_connection_limit(2, 3, &mut events);
    assert_eq!(listener.connection_count(), 6);
    listener.poll(1 + SWEEP_INTERVAL, &mut events);
    assert_eq!(numbers(&listener), [4, 5, 6], "the silent longest first");
}
