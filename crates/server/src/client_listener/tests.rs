//! The front on sockets of loopback, on a clock of the test's own: nothing is read before the test says so.

use super::accept::ACCEPT_PAUSE;
use super::client_connection::FAIR;
use super::*;
use crate::os_host::OsHost;
use cleatpulley_protocol::frame;
use cleatpulley_protocol::frame::connection::PARTING;
use std::net::TcpStream;

const SECOND: Micros = 1_000_000;

/// Guards against a loop at full speed between the last goodbye and the stop.
#[test]
fn once_it_no_longer_listens_there_is_nothing_to_accept() {
    let event_loop = calloop::EventLoop::try_new().expect("an event loop");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut front = ClientListener::new(OsHost::new(event_loop.handle()), Vec::new(), 8);
    front
        .listen(address, FrontProtocol::Frames(Rc::default()))
        .expect("a port");
    let mut facts = Vec::new();
    front.notify_stop(1);
    front.poll(1, &mut facts);
    assert!(front.doors.is_empty());
    // A connection that closes leaves room for another.
    front.on_acceptable(0);
    assert!(!front.poll(2, &mut facts));
}

/// Connections of a front that holds at most so many, and their other ends.
fn crowd(
    most: usize,
    number: usize,
) -> (
    calloop::EventLoop<'static, Box<dyn crate::os_host::Service>>,
    ClientListener<OsHost>,
    Vec<TcpStream>,
) {
    let event_loop = calloop::EventLoop::try_new().expect("an event loop");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut front = ClientListener::new(OsHost::new(event_loop.handle()), Vec::new(), most);
    let address = front
        .listen(address, FrontProtocol::Frames(Rc::default()))
        .expect("a port");
    let ends = (0..number)
        .map(|_| TcpStream::connect(address).expect("it listens"))
        .collect();
    front.poll(1, &mut Vec::new());
    (event_loop, front, ends)
}

fn numbers(front: &ClientListener<OsHost>) -> Vec<u64> {
    let mut numbers: Vec<_> = front.peers.keys().copied().collect();
    numbers.sort_unstable();
    numbers
}

fn status(
    front: &mut ClientListener<OsHost>,
    number: u64,
) -> &mut cleatpulley_protocol::machine::Status {
    front
        .peers
        .get_mut(&number)
        .expect("it stands")
        .machine
        .status_mut()
}

fn open(peer: &Peer<OsHost>) -> bool {
    peer.lingers.is_none() && peer.machine.status().standing == Standing::Open
}

/// Guards against clients that take all places and say nothing.
#[test]
fn the_silent_longest_makes_room_where_no_place_is_left() {
    let (_event_loop, mut front, _ends) = crowd(2, 3);
    assert_eq!(
        numbers(&front),
        [1, 2],
        "what was accepted just now keeps its place"
    );
    status(&mut front, 1).spoken = true;
    front.poll(1 + ACCEPT_PAUSE, &mut Vec::new());
    assert_eq!(numbers(&front), [1, 3]);
    // A request that is open is never given up for a place.
    status(&mut front, 3).open = 1;
    let _end = TcpStream::connect(_ends[0].peer_addr().expect("an address")).expect("it listens");
    front.on_acceptable(0);
    front.poll(SECOND, &mut Vec::new());
    assert_eq!(numbers(&front), [1, 3]);
}

/// Guards against clients that ask once and hold their connection for good; those in use pay nothing.
#[test]
fn the_idle_longest_are_told_to_close_while_places_run_short() {
    let (_event_loop, mut front, _ends) = crowd(9, 8);
    for (number, peer) in &mut front.peers {
        let status = peer.machine.status_mut();
        (status.spoken, status.waits, status.used) = (true, None, *number);
    }
    status(&mut front, 1).open = 1;
    front.poll(SECOND, &mut Vec::new());
    let parting = |front: &ClientListener<OsHost>| {
        let mut parting: Vec<_> = front
            .peers
            .iter()
            .filter(|(_, peer)| !open(peer))
            .map(|(n, _)| *n)
            .collect();
        parting.sort_unstable();
        parting
    };
    assert_eq!(parting(&front), [2, 3]);
    front.poll(SECOND + SWEEP, &mut Vec::new());
    assert_eq!(parting(&front), [2, 3], "six of nine places are no crowd");
}

/// Guards against taking a pause of the machine for silence.
#[test]
fn a_pause_is_no_silence() {
    let (_event_loop, mut front, _ends) = crowd(8, 2);
    front.poll(9 * SECOND, &mut Vec::new());
    assert!(front.peers.values().all(open));
    for turn in 1..=20 {
        front.poll(9 * SECOND + turn * SWEEP, &mut Vec::new());
    }
    assert!(!front.peers.values().any(open));
}

/// What the event loop would tell of a connection on which something has come.
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

/// A front with one class, and connections to it that are accepted at this time.
fn looks(
    most: usize,
    number: usize,
) -> (
    calloop::EventLoop<'static, Box<dyn crate::os_host::Service>>,
    ClientListener<OsHost>,
    Vec<TcpStream>,
) {
    let (event_loop, mut front, ends) = crowd(most, number);
    front.classes = vec!["look".to_owned()];
    (event_loop, front, ends)
}

fn arrived(facts: &[Event]) -> Vec<u64> {
    let id = |fact: &Event| match fact {
        Event::RequestRead(arrival) => Some(arrival.id),
        _ => None,
    };
    facts.iter().filter_map(id).collect()
}

/// The bytes that the peer finds up to the end of the connection; a reset is an error.
fn rest(end: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    end.set_read_timeout(Some(std::time::Duration::from_secs(10)))
        .expect("a time-out");
    let mut bytes = Vec::new();
    std::io::Read::read_to_end(end, &mut bytes).map(|_| bytes)
}

/// The request was written before its connection's place is wanted, and nothing was told of it yet. The other order: the
/// place is wanted first, and there is no request: that one goes.
#[test]
fn a_place_is_not_taken_from_whoever_has_just_asked() {
    let (_event_loop, mut front, mut ends) = looks(2, 3);
    assert_eq!(numbers(&front), [1, 2]);
    std::io::Write::write_all(&mut ends[0], &request(7)).expect("it is taken");
    let mut facts = Vec::new();
    front.poll(1 + ACCEPT_PAUSE, &mut facts);
    assert_eq!(arrived(&facts), [7], "the silent longest was not silent");
    assert_eq!(numbers(&front), [1, 3], "the place was taken from the next");
}

/// What comes on a connection that rests until the matcher ends it: half a request before its end is told, the other half
/// after the time for that. It is taken whole; the other order, nothing before, is no request.
#[test]
fn half_a_request_holds_its_connection_until_it_is_whole() {
    let (_event_loop, mut front, mut ends) = looks(8, 2);
    let whole = request(9);
    let (before, after) = whole.split_at(20);
    std::io::Write::write_all(&mut ends[0], before).expect("it is taken");
    let mut facts = Vec::new();
    front.on_readiness(1, READABLE);
    front.on_readiness(2, READABLE);
    front.poll(2, &mut facts);
    front.notify_stop(3);
    front.poll(3, &mut facts);
    let late = 3 + PARTING + SWEEP;
    front.poll(late, &mut facts);
    front.poll(late + 1, &mut facts);
    assert!(
        front.peers[&1].lingers.is_none(),
        "half a request is on its way"
    );
    assert!(
        front.peers[&2].lingers.is_some(),
        "nothing came on this one"
    );
    std::io::Write::write_all(&mut ends[0], after).expect("it is taken");
    front.on_readiness(1, READABLE);
    front.poll(late + 2, &mut facts);
    assert_eq!(arrived(&facts), [9]);
    front.respond(
        late + 3,
        ClientStream {
            connection: 1,
            stream: 1,
        },
        &Response::Failed,
    );
    front.flush(late + 3, &mut facts);
    front.poll(late + 4, &mut facts);
    assert!(
        front.peers[&1].lingers.is_some(),
        "and then nothing holds it"
    );
}

/// The other half never comes.
#[test]
fn half_a_request_does_not_hold_its_connection_for_ever() {
    let (_event_loop, mut front, mut ends) = looks(8, 1);
    std::io::Write::write_all(&mut ends[0], &request(9)[..20]).expect("it is taken");
    front.on_readiness(1, READABLE);
    front.poll(2, &mut Vec::new());
    front.notify_stop(3);
    for turn in 1..=25 {
        front.poll(3 + turn * SWEEP, &mut Vec::new());
    }
    assert!(front.peers[&1].lingers.is_some());
}

/// An answer was sent and our end closed; the peer has not read it yet when a word for all connections goes out. Any byte
/// more would be answered by a reset, which takes the answer back.
#[test]
fn nothing_is_said_any_more_where_our_end_is_closed() {
    let (_event_loop, mut front, mut ends) = looks(8, 1);
    std::io::Write::write_all(&mut ends[0], &request(5)).expect("it is taken");
    ends[0]
        .shutdown(std::net::Shutdown::Write)
        .expect("a half close");
    let mut facts = Vec::new();
    front.on_readiness(1, READABLE);
    front.poll(2, &mut facts);
    front.respond(
        3,
        ClientStream {
            connection: 1,
            stream: 1,
        },
        &Response::Served(b"done".to_vec()),
    );
    front.flush(3, &mut facts);
    let peer = front.peers.get_mut(&1).expect("it stands");
    peer.conn.shutdown_write();
    peer.lingers = Some(3);
    front.notify_stop(4);
    front.yield_to_successor(4);
    assert_eq!(front.peers[&1].conn.unsent(), 0);
    front.sweep(4 + 3 * SECOND, &mut facts);
    assert_eq!(front.peers[&1].conn.unsent(), 0);
    drop(front);
    let bytes = rest(&mut ends[0]).expect("no reset");
    assert!(bytes.ends_with(b"done"), "{bytes:?}");
}

/// A connection waits in the queue, with its request, when the last goodbye is said: it is accepted, told so, and its
/// request taken. The other order: whoever comes once the queue is closed is refused, which proves that nothing ran.
#[test]
fn whoever_waits_in_the_queue_at_the_goodbye_is_answered() {
    let (_event_loop, mut front, ends) = looks(8, 1);
    let address = ends[0].peer_addr().expect("an address");
    let mut end = TcpStream::connect(address).expect("it listens");
    std::io::Write::write_all(&mut end, &request(3)).expect("it is taken");
    front.notify_stop(2);
    let mut facts = Vec::new();
    front.poll(2, &mut facts);
    assert!(
        TcpStream::connect(address).is_err(),
        "nobody waits there unseen"
    );
    assert_eq!(numbers(&front), [1, 2]);
    front.on_readiness(2, READABLE);
    front.poll(3, &mut facts);
    assert_eq!(arrived(&facts), [3]);
    front.respond(
        4,
        ClientStream {
            connection: 2,
            stream: 1,
        },
        &Response::Failed,
    );
    front.flush(4, &mut facts);
    let mut goodbye = Vec::new();
    frame::codec::push_goodbye(&mut goodbye);
    let mut got = vec![0; goodbye.len()];
    std::io::Read::read_exact(&mut end, &mut got).expect("a word");
    assert_eq!(got, goodbye);
}

/// A request comes on an idle connection in the moment in which it is told to close: both orders end with the request taken,
/// and our end is closed no sooner than it is answered.
#[test]
fn a_request_that_crosses_the_word_to_close_is_taken() {
    for before in [true, false] {
        let (_event_loop, mut front, mut ends) = looks(8, 1);
        status(&mut front, 1).spoken = true;
        status(&mut front, 1).waits = None;
        front.set_idle_timeout(SECOND);
        let mut facts = Vec::new();
        let idle = 1 + 2 * SECOND;
        if before {
            std::io::Write::write_all(&mut ends[0], &request(4)).expect("it is taken");
            front.on_readiness(1, READABLE);
        }
        front.poll(idle, &mut facts);
        assert_eq!(
            open(&front.peers[&1]),
            before,
            "what has come is read before silence is judged"
        );
        if !before {
            std::io::Write::write_all(&mut ends[0], &request(4)).expect("it is taken");
            front.on_readiness(1, READABLE);
            front.poll(idle + FAIR, &mut facts);
        }
        assert_eq!(arrived(&facts), [4]);
        front.poll(idle + 2 * PARTING, &mut facts);
        assert!(front.peers[&1].lingers.is_none(), "an answer is owed");
    }
}

/// Places became fewer while connections had just come, which keep theirs for a moment: they go after it, and not before.
#[test]
fn those_that_could_not_go_at_once_go_when_they_may() {
    let (_event_loop, mut front, _ends) = crowd(8, 6);
    let mut facts = Vec::new();
    front.set_connection_limit(2, 3, &mut facts);
    assert_eq!(front.connection_count(), 6);
    front.poll(1 + SWEEP, &mut facts);
    assert_eq!(numbers(&front), [4, 5, 6], "the silent longest first");
}
