//! The connections of front ends: frames in, answers out.

use super::conn::Conn;
use super::frame::{self, Parsed, Request};
use super::{Handle, Party};
use crate::exchange::{Answer, Arrival, Fact, Origin};
use crate::interface::Micros;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeSet, HashMap};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Connections accepted in one turn.
const ACCEPTS: usize = 128;
/// Wait after the system had no descriptor for a new connection.
const ACCEPT_PAUSE: Micros = 50_000;
/// Requests that may be open on a connection.
const OPEN: usize = 32;
/// Bytes read from a connection in one turn, so that a loud peer blocks nobody.
const READ_AT_ONCE: usize = 65_536;
/// A peer that leaves so much unread is not read from: its answers would pile up here. What its open requests
/// still get comes on top.
const UNREAD: usize = 32_768;
/// After the word that no new request may come, the front end is left this long to close.
const PARTING: Micros = 1_000_000;
/// After our end is closed, what the peer sent before is read away for so long: closing over unread bytes
/// would take back answers on their way.
const LINGER: Micros = 2_000_000;
/// How often idle and parting connections are looked for.
const SWEEP: Micros = 100_000;
/// A frame that began, or the first one of a connection, has to be whole after this time.
const SILENCE: Micros = 2_000_000;
/// Beyond this share of the places, idle connections are told to close, the longest idle first.
const CROWDED: f64 = 0.75;
/// An idle connection that carried something so lately is not told so: its front end may be about to use it.
const WARM: Micros = 300_000;
/// Where no place is left, a connection that was accepted or told to close so lately keeps its place: what it
/// sent may be on its way.
const FAIR: Micros = 50_000;
/// Runs of used streams that are remembered for each connection.
const RUNS: usize = 64;

/// The streams used on a connection, as runs of numbers: mostly one run.
#[derive(Debug, Default)]
struct Streams(Vec<(u32, u32)>);

impl Streams {
    /// Marks a stream as used; false when it was.
    fn take(&mut self, stream: u32) -> bool {
        let place = self.0.partition_point(|run| run.1 < stream);
        if self.0.get(place).is_some_and(|run| run.0 <= stream) {
            return false;
        }
        self.0.insert(place, (stream, stream));
        if self.0.get(place + 1).is_some_and(|next| next.0 - 1 == stream) {
            self.0[place].1 = self.0.remove(place + 1).1;
        }
        if place > 0 && self.0[place - 1].1 + 1 == stream {
            self.0[place - 1].1 = self.0.remove(place).1;
        }
        if self.0.len() > RUNS {
            // What lies between the two oldest runs counts as used.
            self.0[0].1 = self.0.remove(1).1;
        }
        true
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// Requests are read.
    Open,
    /// No new request may come; the front end closes when all is answered, or we do.
    Parting(Micros),
    /// Nothing more can be read; it is closed when all is answered.
    Lost,
    /// Our end is closed; what still comes is thrown away.
    Lingering(Micros),
}

struct Peer {
    conn: Conn,
    state: State,
    streams: Streams,
    open: BTreeSet<u32>,
    /// Bytes of a frame that is passed over.
    skip: usize,
    /// When a frame last came or went.
    used: Micros,
    /// Since when the rest of a frame is waited for, or the first one.
    waits: Option<Micros>,
    /// A whole frame has come.
    spoken: bool,
}

/// The listener and its connections.
pub struct Front {
    handle: Handle,
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    address: SocketAddr,
    classes: Vec<String>,
    most: usize,
    peers: HashMap<u64, Peer>,
    noted: Vec<u64>,
    /// Connections with more to read than one turn takes: no edge will tell of it again.
    again: Vec<u64>,
    numbers: u64,
    acceptable: bool,
    accept_at: Micros,
    sweep_at: Micros,
    feedback: Option<f64>,
    good: bool,
    idle: Option<Micros>,
    parting: bool,
}

impl Front {
    /// Listens, for at most so many connections.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn listen(
        handle: Handle,
        address: SocketAddr,
        classes: Vec<String>,
        most: usize,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener = Rc::new(TcpListener::from(socket));
        let address = listener.local_addr()?;
        let source = Generic::new(Rc::clone(&listener), Interest::READ, Mode::Edge);
        let token = handle
            .insert_source(source, |_, _, node| {
                node.acceptable();
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Self {
            handle,
            listener: Some((listener, token)),
            address,
            classes,
            most,
            peers: HashMap::new(),
            noted: Vec::new(),
            again: Vec::new(),
            numbers: 0,
            acceptable: true,
            accept_at: 0,
            sweep_at: 0,
            feedback: None,
            good: true,
            idle: None,
            parting: false,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that stand.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.peers.len()
    }

    /// Connections may wait to be accepted.
    pub fn note_listener(&mut self) {
        self.acceptable = true;
    }

    /// Takes note of what the event loop saw.
    pub fn note(&mut self, number: u64, readiness: Readiness) {
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.conn.note(readiness);
            self.noted.push(number);
        }
    }

    /// The value that answers carry from now on.
    pub fn set_feedback(&mut self, value: f64) {
        self.feedback = Some(value);
    }

    /// What health checks are told from now on.
    pub fn set_health(&mut self, good: bool) {
        self.good = good;
    }

    /// Connections idle for so long are closed from now on.
    pub fn set_idle(&mut self, after: Micros) {
        self.idle = Some(after);
    }

    /// Answers a request. A connection that is gone needs no answer.
    pub fn answer(&mut self, now: Micros, to: Origin, answer: &Answer) {
        let Some(peer) = self.peers.get_mut(&to.connection) else { return };
        if peer.open.remove(&to.stream) {
            frame::push_answer(peer.conn.output(), to.stream, answer, self.feedback);
            peer.used = now;
            self.noted.push(to.connection);
        }
    }

    /// The stop is near: no new request is taken, and no new connection once those waiting are accepted.
    pub fn part(&mut self, now: Micros) {
        if std::mem::replace(&mut self.parting, true) {
            return;
        }
        for (number, peer) in &mut self.peers {
            peer.part(now);
            self.noted.push(*number);
        }
        self.acceptable = true;
    }

    /// Accepts, reads, sends and closes. True when more can be read at once.
    pub fn turn(&mut self, now: Micros, facts: &mut Vec<Fact>) -> bool {
        self.accept(now, facts);
        let mut noted = std::mem::take(&mut self.noted);
        noted.append(&mut self.again);
        noted.sort_unstable();
        noted.dedup();
        for number in noted {
            let Some(peer) = self.peers.get_mut(&number) else { continue };
            let context = Context { now, number, classes: &self.classes, good: self.good };
            match peer.serve(&context, self.feedback, facts) {
                Ok(Next::Wait) => {}
                Ok(Next::Again) => self.again.push(number),
                Ok(Next::Close) => self.close(number, facts),
                Err(e) => {
                    log::debug!("front end connection {number}: {e}");
                    self.close(number, facts);
                }
            }
        }
        // After what has come was read: a pause of the machine is no silence.
        if now >= self.sweep_at {
            self.sweep(now);
        }
        !self.again.is_empty() || (self.acceptable && now >= self.accept_at)
    }

    /// Sends what this turn has answered.
    pub fn flush(&mut self, now: Micros, facts: &mut Vec<Fact>) {
        let mut noted = std::mem::take(&mut self.noted);
        noted.sort_unstable();
        noted.dedup();
        for number in noted {
            let Some(peer) = self.peers.get_mut(&number) else { continue };
            if peer.conn.flush().is_err() {
                self.close(number, facts);
            } else if peer.rest(now) {
                self.noted.push(number);
            }
        }
    }

    /// When connections have to be looked at, though nothing happened.
    #[must_use]
    pub fn next(&self) -> Micros {
        if self.acceptable && self.accept_at > 0 {
            self.sweep_at.min(self.accept_at)
        } else {
            self.sweep_at
        }
    }

    fn close(&mut self, number: u64, facts: &mut Vec<Fact>) {
        if let Some(peer) = self.peers.remove(&number) {
            if !peer.open.is_empty() {
                facts.push(Fact::OriginLost(number));
            }
            self.acceptable = true;
        }
    }

    /// Gives up the place of a connection that owes nothing, if there is one: first those that only wait for
    /// their end, then those that never sent a whole frame, the oldest first. Guards against clients that take
    /// all places and say nothing, while front ends wait to be accepted.
    fn make_room(&mut self, now: Micros, facts: &mut Vec<Fact>) -> bool {
        let spare = |(number, peer): (&u64, &Peer)| {
            let (rank, since) = match peer.state {
                _ if !peer.open.is_empty() => return None,
                State::Lingering(since) => (0, since),
                State::Parting(since) => (1, since),
                State::Lost => (1, peer.used),
                State::Open if !peer.spoken => (2, peer.waits.unwrap_or(now)),
                State::Open => return None,
            };
            (now >= since + FAIR).then_some((rank, since, *number))
        };
        let Some((_, _, number)) = self.peers.iter().filter_map(spare).min() else { return false };
        self.close(number, facts);
        true
    }

    fn accept(&mut self, now: Micros, facts: &mut Vec<Fact>) {
        if !self.acceptable || now < self.accept_at {
            return;
        }
        for _ in 0..ACCEPTS {
            // Those beyond the bound wait with the system, where they cost us nothing.
            if self.peers.len() >= self.most && !self.make_room(now, facts) {
                self.accept_at = now + ACCEPT_PAUSE;
                return;
            }
            let Some((listener, _)) = &self.listener else {
                self.acceptable = false;
                return;
            };
            let socket = match listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.acceptable = false;
                    if self.parting {
                        self.stop_listening();
                    }
                    return;
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue
                }
                Err(e) => {
                    // Guards against a loop at full speed while descriptors are short.
                    log::warn!("no connection accepted for a while: {e}");
                    self.make_room(now, facts);
                    self.accept_at = now + ACCEPT_PAUSE;
                    return;
                }
            };
            self.numbers += 1;
            let number = self.numbers;
            match Conn::new(&self.handle, socket, Party::Front(number)) {
                Ok(conn) => {
                    let mut peer = Peer {
                        conn,
                        state: State::Open,
                        streams: Streams::default(),
                        open: BTreeSet::new(),
                        skip: 0,
                        used: now,
                        waits: Some(now),
                        spoken: false,
                    };
                    if self.parting {
                        peer.part(now);
                    }
                    self.peers.insert(number, peer);
                }
                Err(e) => log::warn!("a connection can't be watched: {e}"),
            }
        }
    }

    fn stop_listening(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
    }

    fn sweep(&mut self, now: Micros) {
        let paused = now >= self.sweep_at + SILENCE / 2;
        self.sweep_at = now + SWEEP;
        for (number, peer) in &mut self.peers {
            if paused && peer.waits.is_some() {
                peer.waits = Some(now);
            }
            if peer.state == State::Open && peer.waits.is_some_and(|since| now >= since + SILENCE) {
                log::debug!("front end connection {number}: no whole frame in time");
                peer.give_up("no whole frame in time");
            }
            if peer.is_idle() && self.idle.is_some_and(|after| now >= peer.used + after) {
                peer.part(now);
            }
            if peer.state != State::Open {
                self.noted.push(*number);
            }
        }
        let crowd = (CROWDED * self.most as f64) as usize;
        let going = self.peers.values().filter(|peer| peer.state != State::Open).count();
        let excess = (self.peers.len() - going).saturating_sub(crowd);
        if excess > 0 {
            let idle = |(number, peer): (&u64, &Peer)| {
                (peer.is_idle() && now >= peer.used + WARM).then_some((peer.used, *number))
            };
            let mut idle: Vec<_> = self.peers.iter().filter_map(idle).collect();
            idle.sort_unstable();
            for (_, number) in idle.into_iter().take(excess) {
                self.peers.get_mut(&number).into_iter().for_each(|peer| peer.part(now));
                self.noted.push(number);
            }
        }
    }
}

struct Context<'a> {
    now: Micros,
    number: u64,
    classes: &'a [String],
    good: bool,
}

#[derive(PartialEq)]
enum Next {
    Wait,
    Again,
    Close,
}

impl Peer {
    fn serve(&mut self, context: &Context, feedback: Option<f64>, facts: &mut Vec<Fact>) -> io::Result<Next> {
        let mut more = false;
        self.conn.flush()?;
        if self.conn.unsent() < UNREAD {
            more = self.conn.read(READ_AT_ONCE)?;
            self.take_frames(context, feedback, facts);
        }
        self.conn.flush()?;
        let now = context.now;
        if self.rest(now) {
            self.conn.finish();
            self.state = State::Lingering(now);
        }
        if let State::Lingering(since) = self.state {
            if self.conn.ended || now >= since + LINGER {
                return Ok(Next::Close);
            }
        }
        Ok(if more { Next::Again } else { Next::Wait })
    }

    /// Nothing is owed, and no more may come.
    fn rest(&self, now: Micros) -> bool {
        let over = match self.state {
            State::Open => self.conn.ended,
            State::Parting(since) => self.conn.ended || now >= since + PARTING,
            State::Lost => true,
            State::Lingering(_) => false,
        };
        over && self.open.is_empty() && self.conn.unsent() == 0
    }

    /// Nothing is open on it and nothing on its way, though it has been used.
    fn is_idle(&self) -> bool {
        self.state == State::Open && self.spoken && self.waits.is_none() && self.open.is_empty()
    }

    /// Nothing more is read; what is open is still answered.
    fn give_up(&mut self, what: &str) {
        frame::push_error(self.conn.output(), what);
        self.state = State::Lost;
    }

    fn part(&mut self, now: Micros) {
        if self.state == State::Open {
            frame::push_goodbye(self.conn.output());
            self.state = State::Parting(now);
        }
    }

    fn take_frames(&mut self, context: &Context, feedback: Option<f64>, facts: &mut Vec<Fact>) {
        let input = std::mem::take(&mut self.conn.input);
        let mut used = 0;
        let mut whole = false;
        while used < input.len() {
            let rest = &input[used..];
            if matches!(self.state, State::Lost | State::Lingering(_)) {
                used = input.len();
            } else if self.skip > 0 {
                let passed = self.skip.min(rest.len());
                self.skip -= passed;
                used += passed;
                whole |= self.skip == 0;
            } else {
                match frame::parse(rest) {
                    Parsed::Short => break,
                    Parsed::Frame { kind, stream, payload } => {
                        used += payload.end;
                        whole = true;
                        self.take_frame(kind, stream, Some(&rest[payload]), context, feedback, facts);
                    }
                    Parsed::Large { kind, stream, whole } => {
                        self.skip = whole;
                        self.take_frame(kind, stream, None, context, feedback, facts);
                    }
                    Parsed::Lost(length) => {
                        self.fault(context, 0, &format!("no frame has the length {length}"));
                    }
                }
            }
        }
        if whole {
            self.spoken = true;
            self.used = context.now;
            self.waits = None;
        }
        if used < input.len() || self.skip > 0 {
            self.waits = self.waits.or(Some(context.now));
        }
        self.conn.input = input;
        self.conn.consume(used);
    }

    /// Takes one frame; one too large comes without its payload.
    fn take_frame(
        &mut self,
        kind: u8,
        stream: u32,
        payload: Option<&[u8]>,
        context: &Context,
        feedback: Option<f64>,
        facts: &mut Vec<Fact>,
    ) {
        match kind {
            frame::REQUEST if stream == 0 => self.fault(context, 0, "a request on stream 0"),
            frame::REQUEST if !self.streams.take(stream) => {
                self.fault(context, 0, &format!("stream {stream} was used before"));
            }
            // Guards against a client that goes on as if it had not been told to stop.
            frame::REQUEST if matches!(self.state, State::Parting(since) if context.now >= since + PARTING) =>
            {
                self.fault(context, 0, "a request long after the word that none may come");
            }
            frame::REQUEST if self.open.len() >= OPEN => {
                self.fault(context, stream, "too many open requests");
            }
            frame::REQUEST => match payload.ok_or("the frame is too large".to_owned()) {
                Ok(payload) => match arrival(payload, stream, context) {
                    Ok(arrival) => {
                        self.open.insert(stream);
                        facts.push(Fact::Arrived(arrival));
                    }
                    Err(what) => self.fault(context, stream, &what),
                },
                Err(what) => self.fault(context, stream, &what),
            },
            frame::CHECK => {
                frame::push_health(self.conn.output(), stream, context.good, feedback);
                if !payload.is_some_and(frame::is_fields) {
                    self.fault(context, 0, "a health check without fields");
                }
            }
            other => self.fault(context, 0, &format!("a frame of type {other}")),
        }
    }

    /// Answers what can't be served: the request where there is one, and the connection gets no new ones; else
    /// nothing more is read from it. It is closed when its other requests are answered.
    fn fault(&mut self, context: &Context, stream: u32, what: &str) {
        // Once a connection: the next faults come as fast as they can be sent.
        if self.state == State::Open {
            log::warn!("front end connection {}: {what}", context.number);
        }
        if stream == 0 {
            self.give_up(what);
        } else {
            frame::push_answer(self.conn.output(), stream, &Answer::Failed, None);
            self.part(context.now);
        }
    }
}

fn arrival(payload: &[u8], stream: u32, context: &Context) -> Result<Arrival, String> {
    let request = Request::decode(payload)?;
    let class = context.classes.iter().position(|name| name == request.verb);
    Ok(Arrival {
        origin: Origin { connection: context.number, stream },
        id: request.txn,
        class: class.ok_or_else(|| format!("field `verb` names no class: {:?}", request.verb))?,
        caller: request.lb,
        door: request.door,
        work: request.cpu,
        memory_kb: request.ram,
        rank: request.standing,
        has_subject: request.has_item,
        body: request.body.to_vec(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpStream;

    const SECOND: Micros = 1_000_000;

    #[test]
    fn each_stream_is_taken_once_in_any_order() {
        let mut streams = Streams::default();
        for stream in [1, 2, 3, 7, 5, 6, 4, u32::MAX, 9] {
            assert!(streams.take(stream), "{stream}");
            assert!(!streams.take(stream), "{stream}");
        }
        assert_eq!(streams.0, [(1, 7), (9, 9), (u32::MAX, u32::MAX)]);
    }

    /// Guards against a loop at full speed between the last goodbye and the stop.
    #[test]
    fn once_it_no_longer_listens_there_is_nothing_to_accept() {
        let event_loop = calloop::EventLoop::try_new().expect("an event loop");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut front = Front::listen(event_loop.handle(), address, Vec::new(), 8).expect("a port");
        let mut facts = Vec::new();
        front.part(1);
        front.turn(1, &mut facts);
        assert!(front.listener.is_none());
        // A connection that closes leaves room for another.
        front.note_listener();
        assert!(!front.turn(2, &mut facts));
    }

    #[test]
    fn the_memory_of_used_streams_is_bounded() {
        let mut streams = Streams::default();
        for n in 1..1_000 {
            assert!(streams.take(2 * n));
        }
        assert_eq!(streams.0.len(), RUNS);
        assert!(!streams.take(2), "what was forgotten counts as used");
    }

    /// Connections of a front that holds at most so many, and their other ends.
    fn crowd(
        most: usize,
        number: usize,
    ) -> (calloop::EventLoop<'static, super::super::Node>, Front, Vec<TcpStream>) {
        let event_loop = calloop::EventLoop::try_new().expect("an event loop");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut front = Front::listen(event_loop.handle(), address, Vec::new(), most).expect("a port");
        let ends = (0..number).map(|_| TcpStream::connect(front.address()).expect("it listens")).collect();
        front.turn(1, &mut Vec::new());
        (event_loop, front, ends)
    }

    fn numbers(front: &Front) -> Vec<u64> {
        let mut numbers: Vec<_> = front.peers.keys().copied().collect();
        numbers.sort_unstable();
        numbers
    }

    /// Guards against clients that take all places and say nothing.
    #[test]
    fn the_silent_longest_makes_room_where_no_place_is_left() {
        let (_event_loop, mut front, _ends) = crowd(2, 3);
        assert_eq!(numbers(&front), [1, 2], "what was accepted just now keeps its place");
        front.peers.get_mut(&1).expect("it stands").spoken = true;
        front.turn(1 + ACCEPT_PAUSE, &mut Vec::new());
        assert_eq!(numbers(&front), [1, 3]);
        // A request that is open is never given up for a place.
        front.peers.get_mut(&3).expect("it stands").open.insert(1);
        let _end = TcpStream::connect(front.address()).expect("it listens");
        front.note_listener();
        front.turn(SECOND, &mut Vec::new());
        assert_eq!(numbers(&front), [1, 3]);
    }

    /// Guards against clients that ask once and hold their connection for good; those in use pay nothing.
    #[test]
    fn the_idle_longest_are_told_to_close_while_places_run_short() {
        let (_event_loop, mut front, _ends) = crowd(9, 8);
        for (number, peer) in &mut front.peers {
            (peer.spoken, peer.waits, peer.used) = (true, None, *number);
        }
        front.peers.get_mut(&1).expect("it stands").open.insert(1);
        front.turn(SECOND, &mut Vec::new());
        let parting = |front: &Front| {
            let mut parting: Vec<_> =
                front.peers.iter().filter(|(_, peer)| peer.state != State::Open).map(|(n, _)| *n).collect();
            parting.sort_unstable();
            parting
        };
        assert_eq!(parting(&front), [2, 3]);
        front.turn(SECOND + SWEEP, &mut Vec::new());
        assert_eq!(parting(&front), [2, 3], "six of nine places are no crowd");
    }

    /// Guards against taking a pause of the machine for silence.
    #[test]
    fn a_pause_is_no_silence() {
        let (_event_loop, mut front, _ends) = crowd(8, 2);
        front.turn(9 * SECOND, &mut Vec::new());
        assert!(front.peers.values().all(|peer| peer.state == State::Open));
        for turn in 1..=20 {
            front.turn(9 * SECOND + turn * SWEEP, &mut Vec::new());
        }
        assert!(front.peers.values().all(|peer| peer.state != State::Open));
    }
}
