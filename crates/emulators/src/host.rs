//! Runs services on loopback sockets, with one thread and one poller.

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

/// A service that other threads can access while it runs.
pub type Shared<S> = Arc<Mutex<S>>;

/// Wraps a service so that other threads can access it while it runs.
pub fn shared<S: Service>(service: S) -> Shared<S> {
    Arc::new(Mutex::new(service))
}

/// Locks a shared service and calls a closure with it.
pub fn with_lock<S: ?Sized, T>(shared: &Mutex<S>, access: impl FnOnce(&mut S) -> T) -> T {
    access(&mut shared.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Longest wait in the poller, after which the thread checks whether it must stop.
const MAX_POLL_WAIT: Micros = 20_000;
const READ_BUFFER_BYTES: usize = 65_536;

/// Unix time in microseconds, monotonic from the clock's creation.
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
    /// Returns the current Unix time in microseconds.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

struct HostedService {
    service: Arc<Mutex<dyn Service>>,
}

struct ServiceSocket {
    stream: TcpStream,
    service_index: usize,
    connection: ConnectionId,
    out: Vec<u8>,
    sent: usize,
    connected: bool,
    closing: bool,
}

/// Services that are to run on one thread, not yet started.
#[derive(Default)]
pub struct Host {
    services: Vec<HostedService>,
    /// Listeners, each with the index of its service and its index among that service's listeners.
    listeners: Vec<(TcpListener, usize, usize)>,
}

/// A running host; it stops when this is dropped.
pub struct Running {
    stopping: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Host {
    /// Adds a service with one listener; returns the listener's address.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        service: Arc<Mutex<dyn Service>>,
    ) -> io::Result<SocketAddr> {
        self.listen_at(&[address], service)
            .map(|addresses| addresses[0])
    }

    /// Adds a service with several listeners; returns their addresses.
    ///
    /// # Errors
    /// Fails when an address can't be bound.
    pub fn listen_at(
        &mut self,
        addresses: &[SocketAddr],
        service: Arc<Mutex<dyn Service>>,
    ) -> io::Result<Vec<SocketAddr>> {
        let mut bound_addresses = Vec::new();
        for (listener_index, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(*address)?;
            bound_addresses.push(listener.local_addr()?);
            self.listeners
                .push((listener, self.services.len(), listener_index));
        }
        self.services.push(HostedService { service });
        Ok(bound_addresses)
    }

    /// Adds a service without listeners, which only opens connections.
    pub fn add(&mut self, service: Arc<Mutex<dyn Service>>) {
        self.services.push(HostedService { service });
    }

    /// Starts the services on a thread of their own.
    ///
    /// # Errors
    /// Fails when the system provides no poller.
    pub fn start(mut self, clock: Clock) -> io::Result<Running> {
        let poll = Poll::new()?;
        for (service_index, (listener, ..)) in self.listeners.iter_mut().enumerate() {
            poll.registry()
                .register(listener, Token(service_index), Interest::READABLE)?;
        }
        let next_token = self.listeners.len();
        let stopping = Arc::new(AtomicBool::new(false));
        let mut event_loop = EventLoop {
            poll,
            services: self.services,
            listeners: self.listeners,
            sockets: HashMap::new(),
            tokens: HashMap::new(),
            next_token,
            last_accepted_id: 0,
            clock,
            buffer: vec![0; READ_BUFFER_BYTES],
            effects: Vec::new(),
        };
        let stop_requested = Arc::clone(&stopping);
        let thread = std::thread::spawn(move || {
            let mut events = Events::with_capacity(1_024);
            while !stop_requested.load(Ordering::Relaxed) {
                if event_loop.run_once(&mut events).is_err() {
                    return;
                }
            }
        });
        Ok(Running {
            stopping,
            thread: Some(thread),
        })
    }
}

struct EventLoop {
    poll: Poll,
    services: Vec<HostedService>,
    listeners: Vec<(TcpListener, usize, usize)>,
    sockets: HashMap<usize, ServiceSocket>,
    tokens: HashMap<(usize, ConnectionId), usize>,
    next_token: usize,
    last_accepted_id: ConnectionId,
    clock: Clock,
    buffer: Vec<u8>,
    effects: Vec<Effect>,
}

impl EventLoop {
    fn run_once(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.clock.now();
        let next = self
            .services
            .iter()
            .filter_map(|hosted| with_lock(&hosted.service, |service| service.next_deadline()))
            .min();
        let wait = next
            .map_or(MAX_POLL_WAIT, |deadline| deadline.saturating_sub(now))
            .min(MAX_POLL_WAIT);
        match self.poll.poll(events, Some(Duration::from_micros(wait))) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        let now = self.clock.now();
        for event in events.iter() {
            let Token(token) = event.token();
            if token < self.listeners.len() {
                self.accept(now, token);
            } else {
                self.on_readiness(now, token, event.is_writable());
            }
        }
        for service_index in 0..self.services.len() {
            let due = with_lock(&self.services[service_index].service, |service| {
                service.next_deadline()
            })
            .is_some_and(|deadline| deadline <= now);
            if due {
                self.call_service(service_index, |service, effects| {
                    service.advance(now, effects);
                });
            }
        }
        Ok(())
    }

    /// Calls a service and applies the effects that it requests.
    fn call_service(
        &mut self,
        service_index: usize,
        call: impl FnOnce(&mut dyn Service, &mut Vec<Effect>),
    ) {
        let mut effects = std::mem::take(&mut self.effects);
        with_lock(&self.services[service_index].service, |service| {
            call(service, &mut effects);
        });
        while !effects.is_empty() {
            let mut failed = Vec::new();
            for effect in effects.drain(..) {
                failed.extend(self.apply_effect(service_index, effect));
            }
            let now = self.clock.now();
            for connection in failed {
                with_lock(&self.services[service_index].service, |service| {
                    service.on_close(now, connection, &mut effects);
                });
            }
        }
        self.effects = effects;
    }

    /// Applies an effect; returns the connection if it could not be opened or has failed.
    fn apply_effect(&mut self, service_index: usize, effect: Effect) -> Option<ConnectionId> {
        match effect {
            Effect::Send(connection, bytes) => {
                let token = *self.tokens.get(&(service_index, connection))?;
                let socket = self.sockets.get_mut(&token)?;
                socket.out.extend_from_slice(&bytes);
                if socket.connected && flush(socket).is_err() {
                    self.remove_socket(token);
                    return Some(connection);
                }
                None
            }
            Effect::Close(connection) => {
                let token = *self.tokens.get(&(service_index, connection))?;
                let socket = self.sockets.get_mut(&token)?;
                socket.closing = true;
                if socket.sent == socket.out.len() {
                    self.remove_socket(token);
                }
                None
            }
            Effect::Reset(connection) => {
                let token = *self.tokens.get(&(service_index, connection))?;
                if let Some(socket) = self.sockets.get(&token) {
                    let _ = socket2::SockRef::from(&socket.stream).set_linger(Some(Duration::ZERO));
                }
                self.remove_socket(token);
                None
            }
            Effect::Connect(connection, address) => match TcpStream::connect(address) {
                Ok(stream) => self
                    .add(service_index, connection, stream, false)
                    .is_none()
                    .then_some(connection),
                Err(_) => Some(connection),
            },
            Effect::ConnectFrom(connection, address, from) => match connect_from(address, from) {
                Ok(stream) => self
                    .add(service_index, connection, stream, false)
                    .is_none()
                    .then_some(connection),
                Err(_) => Some(connection),
            },
        }
    }

    fn add(
        &mut self,
        service_index: usize,
        connection: ConnectionId,
        mut stream: TcpStream,
        connected: bool,
    ) -> Option<usize> {
        let token = self.next_token;
        self.next_token += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream, Token(token), interest)
            .ok()?;
        let _ = stream.set_nodelay(true);
        let socket = ServiceSocket {
            stream,
            service_index,
            connection,
            out: Vec::new(),
            sent: 0,
            connected,
            closing: false,
        };
        self.sockets.insert(token, socket);
        self.tokens.insert((service_index, connection), token);
        Some(token)
    }

    fn remove_socket(&mut self, token: usize) {
        if let Some(mut socket) = self.sockets.remove(&token) {
            self.tokens
                .remove(&(socket.service_index, socket.connection));
            let _ = self.poll.registry().deregister(&mut socket.stream);
        }
    }

    fn accept(&mut self, now: Micros, token: usize) {
        let (service_index, listener_index) = (self.listeners[token].1, self.listeners[token].2);
        while let Ok((stream, _)) = self.listeners[token].0.accept() {
            self.last_accepted_id += 2;
            let connection = self.last_accepted_id;
            if self.add(service_index, connection, stream, true).is_some() {
                self.call_service(service_index, |service, effects| {
                    service.on_accept(now, connection, listener_index, effects);
                });
            }
        }
    }

    fn on_readiness(&mut self, now: Micros, token: usize, writable: bool) {
        let Some(socket) = self.sockets.get_mut(&token) else {
            return;
        };
        let (service_index, connection) = (socket.service_index, socket.connection);
        if writable && !socket.connected {
            // The first writable event reports the result of connecting.
            let failed = socket.stream.take_error().ok().flatten().is_some()
                || socket.stream.peer_addr().is_err();
            if failed {
                self.close_failed(now, token, service_index, connection);
                return;
            }
            socket.connected = true;
            self.call_service(service_index, |service, effects| {
                service.on_open(now, connection, effects);
            });
        }
        let Some(socket) = self.sockets.get_mut(&token) else {
            return;
        };
        if socket.connected && flush(socket).is_err() {
            self.close_failed(now, token, service_index, connection);
            return;
        }
        if socket.closing && socket.sent == socket.out.len() {
            self.remove_socket(token);
            return;
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        while let Some(socket) = self.sockets.get_mut(&token) {
            match socket.stream.read(&mut buffer) {
                Ok(0) => {
                    self.close_failed(now, token, service_index, connection);
                    break;
                }
                Ok(n) => self.call_service(service_index, |service, effects| {
                    service.on_data(now, connection, &buffer[..n], effects);
                }),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    break
                }
                Err(_) => {
                    self.close_failed(now, token, service_index, connection);
                    break;
                }
            }
        }
        self.buffer = buffer;
    }

    fn close_failed(
        &mut self,
        now: Micros,
        token: usize,
        service_index: usize,
        connection: ConnectionId,
    ) {
        self.remove_socket(token);
        self.call_service(service_index, |service, effects| {
            service.on_close(now, connection, effects);
        });
    }
}

fn flush(socket: &mut ServiceSocket) -> io::Result<()> {
    while socket.sent < socket.out.len() {
        match socket.stream.write(&socket.out[socket.sent..]) {
            Ok(n) => socket.sent += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    socket.out.clear();
    socket.sent = 0;
    Ok(())
}

/// Opens a connection from the given local address.
fn connect_from(address: SocketAddr, from: IpAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(SocketAddr::new(from, 0)))?;
    match socket.connect(&SockAddr::from(address)) {
        // A nonblocking connect is in progress.
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(TcpStream::from_std(std::net::TcpStream::from(socket))),
    }
}
