//! Services on loopback sockets: one thread, one poller.

use crate::{ConnectionId, Effect, Service};
use cleatpulley_policy::interface::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use socket2::{Domain, SockAddr, Socket, Type};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A service that others may look at while it runs.
pub type Shared<S> = Arc<Mutex<S>>;

/// A service that may be looked at.
pub fn shared<S: Service>(service: S) -> Shared<S> {
    Arc::new(Mutex::new(service))
}

/// Looks at a shared service.
pub fn with_lock<S: ?Sized, T>(shared: &Mutex<S>, with: impl FnOnce(&mut S) -> T) -> T {
    with(&mut shared.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Longest wait without a look at whether it is over.
const BREATH: Micros = 20_000;
const CHUNK: usize = 65_536;

/// Microseconds of the Unix clock, monotonic from the first use on.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_micros() as Micros);
        Self {
            unix,
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// The time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

struct Port {
    service: Arc<Mutex<dyn Service>>,
}

struct Wire {
    stream: TcpStream,
    port: usize,
    link: ConnectionId,
    out: Vec<u8>,
    sent: usize,
    connected: bool,
    closing: bool,
}

/// Services that wait to be started.
#[derive(Default)]
pub struct Host {
    ports: Vec<Port>,
    /// Listeners, each with the port it belongs to and its number among that port's.
    doors: Vec<(TcpListener, usize, usize)>,
}

/// A host that runs; it stops when this is dropped.
pub struct Running {
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Host {
    /// Adds a service that listens; returns where.
    ///
    /// # Errors
    /// Where the address can't be listened on.
    pub fn listen(
        &mut self,
        at: SocketAddr,
        service: Arc<Mutex<dyn Service>>,
    ) -> io::Result<SocketAddr> {
        self.listen_at(&[at], service).map(|addresses| addresses[0])
    }

    /// Adds a service with several doors; returns where they are.
    ///
    /// # Errors
    /// Where an address can't be listened on.
    pub fn listen_at(
        &mut self,
        at: &[SocketAddr],
        service: Arc<Mutex<dyn Service>>,
    ) -> io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for (door, address) in at.iter().enumerate() {
            let listener = TcpListener::bind(*address)?;
            addresses.push(listener.local_addr()?);
            self.doors.push((listener, self.ports.len(), door));
        }
        self.ports.push(Port { service });
        Ok(addresses)
    }

    /// Adds a service that only dials.
    pub fn add(&mut self, service: Arc<Mutex<dyn Service>>) {
        self.ports.push(Port { service });
    }

    /// Runs in a thread of its own.
    ///
    /// # Errors
    /// Where the system has no poller.
    pub fn start(mut self, clock: Clock) -> io::Result<Running> {
        let poll = Poll::new()?;
        for (place, (listener, ..)) in self.doors.iter_mut().enumerate() {
            poll.registry()
                .register(listener, Token(place), Interest::READABLE)?;
        }
        let next_key = self.doors.len();
        let over = Arc::new(AtomicBool::new(false));
        let mut work = Work {
            poll,
            ports: self.ports,
            doors: self.doors,
            wires: HashMap::new(),
            keys: HashMap::new(),
            next_key,
            accepted: 0,
            clock,
            buffer: vec![0; CHUNK],
            effects: Vec::new(),
        };
        let told = Arc::clone(&over);
        let thread = std::thread::spawn(move || {
            let mut events = Events::with_capacity(1_024);
            while !told.load(Ordering::Relaxed) {
                if work.turn(&mut events).is_err() {
                    return;
                }
            }
        });
        Ok(Running {
            over,
            thread: Some(thread),
        })
    }
}

struct Work {
    poll: Poll,
    ports: Vec<Port>,
    doors: Vec<(TcpListener, usize, usize)>,
    wires: HashMap<usize, Wire>,
    keys: HashMap<(usize, ConnectionId), usize>,
    next_key: usize,
    accepted: ConnectionId,
    clock: Clock,
    buffer: Vec<u8>,
    effects: Vec<Effect>,
}

impl Work {
    fn turn(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.clock.now();
        let next = self
            .ports
            .iter()
            .filter_map(|port| with_lock(&port.service, |service| service.next_deadline()))
            .min();
        let wait = next.map_or(BREATH, |at| at.saturating_sub(now)).min(BREATH);
        match self.poll.poll(events, Some(Duration::from_micros(wait))) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        let now = self.clock.now();
        for event in events.iter() {
            let Token(key) = event.token();
            if key < self.doors.len() {
                self.accept(now, key);
            } else {
                self.ready(now, key, event.is_writable());
            }
        }
        for place in 0..self.ports.len() {
            let due = with_lock(&self.ports[place].service, |service| {
                service.next_deadline()
            })
            .is_some_and(|at| at <= now);
            if due {
                self.tell(place, |service, effects| service.advance(now, effects));
            }
        }
        Ok(())
    }

    /// Tells a service something, and carries out what it wants done.
    fn tell(&mut self, place: usize, what: impl FnOnce(&mut dyn Service, &mut Vec<Effect>)) {
        let mut effects = std::mem::take(&mut self.effects);
        with_lock(&self.ports[place].service, |service| {
            what(service, &mut effects);
        });
        while !effects.is_empty() {
            let mut lost = Vec::new();
            for effect in effects.drain(..) {
                lost.extend(self.carry_out(place, effect));
            }
            let now = self.clock.now();
            for link in lost {
                with_lock(&self.ports[place].service, |service| {
                    service.on_close(now, link, &mut effects);
                });
            }
        }
        self.effects = effects;
    }

    /// Does what a service wants; returns a link that could not be made or broke.
    fn carry_out(&mut self, place: usize, effect: Effect) -> Option<ConnectionId> {
        match effect {
            Effect::Send(link, bytes) => {
                let key = *self.keys.get(&(place, link))?;
                let wire = self.wires.get_mut(&key)?;
                wire.out.extend_from_slice(&bytes);
                if wire.connected && flush(wire).is_err() {
                    self.drop_wire(key);
                    return Some(link);
                }
                None
            }
            Effect::Close(link) => {
                let key = *self.keys.get(&(place, link))?;
                let wire = self.wires.get_mut(&key)?;
                wire.closing = true;
                if wire.sent == wire.out.len() {
                    self.drop_wire(key);
                }
                None
            }
            Effect::Reset(link) => {
                let key = *self.keys.get(&(place, link))?;
                if let Some(wire) = self.wires.get(&key) {
                    let _ = socket2::SockRef::from(&wire.stream).set_linger(Some(Duration::ZERO));
                }
                self.drop_wire(key);
                None
            }
            Effect::Connect(link, address) => match TcpStream::connect(address) {
                Ok(stream) => self
                    .add(place, link, stream, false)
                    .is_none()
                    .then_some(link),
                Err(_) => Some(link),
            },
            Effect::ConnectFrom(link, address, from) => match dial_from(address, from) {
                Ok(stream) => self
                    .add(place, link, stream, false)
                    .is_none()
                    .then_some(link),
                Err(_) => Some(link),
            },
        }
    }

    fn add(
        &mut self,
        port: usize,
        link: ConnectionId,
        mut stream: TcpStream,
        connected: bool,
    ) -> Option<usize> {
        let key = self.next_key;
        self.next_key += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream, Token(key), interest)
            .ok()?;
        let _ = stream.set_nodelay(true);
        let wire = Wire {
            stream,
            port,
            link,
            out: Vec::new(),
            sent: 0,
            connected,
            closing: false,
        };
        self.wires.insert(key, wire);
        self.keys.insert((port, link), key);
        Some(key)
    }

    fn drop_wire(&mut self, key: usize) {
        if let Some(mut wire) = self.wires.remove(&key) {
            self.keys.remove(&(wire.port, wire.link));
            let _ = self.poll.registry().deregister(&mut wire.stream);
        }
    }

    fn accept(&mut self, now: Micros, key: usize) {
        let (place, door) = (self.doors[key].1, self.doors[key].2);
        while let Ok((stream, _)) = self.doors[key].0.accept() {
            self.accepted += 2;
            let link = self.accepted;
            if self.add(place, link, stream, true).is_some() {
                self.tell(place, |service, effects| {
                    service.on_accept(now, link, door, effects);
                });
            }
        }
    }

    fn ready(&mut self, now: Micros, key: usize, writable: bool) {
        let Some(wire) = self.wires.get_mut(&key) else {
            return;
        };
        let (place, link) = (wire.port, wire.link);
        if writable && !wire.connected {
            // The first writability tells how the connecting went.
            let failed = wire.stream.take_error().ok().flatten().is_some()
                || wire.stream.peer_addr().is_err();
            if failed {
                self.lose(now, key, place, link);
                return;
            }
            wire.connected = true;
            self.tell(place, |service, effects| {
                service.on_open(now, link, effects);
            });
        }
        let Some(wire) = self.wires.get_mut(&key) else {
            return;
        };
        if wire.connected && flush(wire).is_err() {
            self.lose(now, key, place, link);
            return;
        }
        if wire.closing && wire.sent == wire.out.len() {
            self.drop_wire(key);
            return;
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        while let Some(wire) = self.wires.get_mut(&key) {
            match wire.stream.read(&mut buffer) {
                Ok(0) => {
                    self.lose(now, key, place, link);
                    break;
                }
                Ok(n) => self.tell(place, |service, effects| {
                    service.on_data(now, link, &buffer[..n], effects);
                }),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    break
                }
                Err(_) => {
                    self.lose(now, key, place, link);
                    break;
                }
            }
        }
        self.buffer = buffer;
    }

    fn lose(&mut self, now: Micros, key: usize, place: usize, link: ConnectionId) {
        self.drop_wire(key);
        self.tell(place, |service, effects| {
            service.on_close(now, link, effects);
        });
    }
}

fn flush(wire: &mut Wire) -> io::Result<()> {
    while wire.sent < wire.out.len() {
        match wire.stream.write(&wire.out[wire.sent..]) {
            Ok(n) => wire.sent += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    wire.out.clear();
    wire.sent = 0;
    Ok(())
}

/// A connection from one of the host's loopback addresses.
fn dial_from(to: SocketAddr, from: IpAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(SocketAddr::new(from, 0)))?;
    match socket.connect(&SockAddr::from(to)) {
        // A connection without waiting is on its way.
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(TcpStream::from_std(std::net::TcpStream::from(socket))),
    }
}
