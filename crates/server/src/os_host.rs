//! The real world: calloop's event loop, the system's sockets and clocks, and a thread that keeps results.

use super::handover_channel::{self, HandoverChannel, ReceivedSocket};
use super::host::{DatagramSocket, GossipHost, HandoverAddress, Host, Readiness, Stream};
use super::persistence_thread::PersistenceThread;
use super::reputation_store::ReputationStorage;
use super::status_report::{FleetLink, Status, StatusReporter};
use super::{Options, Reload, Server, SocketOwner};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use cleatpulley_connection_admission::book::Entry;
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::interface::Micros;
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::RefCell;
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Access to the event loop.
pub type EventLoopHandle = LoopHandle<'static, Box<dyn Service>>;

/// What an event loop serves: a matcher, or a gateway.
pub trait Service {
    /// The event loop saw something on a connection.
    fn on_readiness(&mut self, party: SocketOwner, readiness: Readiness);

    /// The event loop saw new connections on this listener.
    fn on_acceptable(&mut self, listener: usize);

    /// The keeper of results has something to say.
    fn on_persistence_event(&mut self, _: Event) {}

    /// The book of earned standing tells what it held.
    fn on_reputation_loaded(&mut self, _: Vec<Entry>) {}

    /// The notice to leave.
    fn begin_shutdown(&mut self);

    /// The configuration is to be read again.
    fn reload(&mut self);

    /// Does what there is to do; returns until when there is nothing but to wait.
    fn poll(&mut self) -> Micros;

    /// All is answered and nobody can ask any more, or it is time.
    fn is_finished(&self) -> bool;

    /// What it can't go on with.
    fn take_fault(&mut self) -> Option<io::Error> {
        None
    }

    /// Closes what it keeps.
    fn close(&mut self) {}

    /// How it is, for a fleet's daemon.
    fn status(&self) -> Status;

    /// The time in its world.
    fn now(&self) -> Micros;
}

impl Service for Server<OsHost> {
    fn on_readiness(&mut self, party: SocketOwner, readiness: Readiness) {
        Self::on_readiness(self, party, readiness);
    }

    fn on_acceptable(&mut self, listener: usize) {
        Self::on_acceptable(self, listener);
    }

    fn on_persistence_event(&mut self, fact: Event) {
        Self::on_persistence_event(self, fact);
    }

    fn on_reputation_loaded(&mut self, entries: Vec<Entry>) {
        Self::on_reputation_loaded(self, &entries);
    }

    fn begin_shutdown(&mut self) {
        Self::begin_shutdown(self);
    }

    fn reload(&mut self) {
        Self::reload(self);
    }

    fn poll(&mut self) -> Micros {
        Self::poll(self)
    }

    fn is_finished(&self) -> bool {
        Self::is_finished(self)
    }

    fn take_fault(&mut self) -> Option<io::Error> {
        Self::take_fault(self)
    }

    fn close(&mut self) {
        Self::close(self);
    }

    fn status(&self) -> Status {
        Self::status(self)
    }

    fn now(&self) -> Micros {
        Self::now(self)
    }
}

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// One clock for all facts: microseconds of the Unix clock at the start, and monotonic from there on.
#[derive(Debug, Clone, Copy)]
struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_micros() as Micros);
        Self {
            unix,
            start: Instant::now(),
        }
    }

    fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

/// The real world.
#[derive(Clone)]
pub struct OsHost {
    handle: EventLoopHandle,
    clock: Clock,
    /// A listening socket that the process was started with; it takes the first listener's place.
    inherited: Rc<RefCell<Option<TcpListener>>>,
    shares_addresses: bool,
}

/// Where successors come to.
pub struct SuccessorListener {
    socket: Rc<Socket>,
    _watch: Watch,
}

/// A connection; it is watched for edges.
pub struct OsStream {
    socket: Rc<TcpStream>,
    handle: EventLoopHandle,
    token: RegistrationToken,
}

impl Drop for OsStream {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

impl Stream for OsStream {
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*self.socket).read(buffer)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        (&*self.socket).write(bytes)
    }

    fn shutdown_write(&self) {
        // A peer that is gone already is no failure.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    fn take_error(&self) -> io::Result<()> {
        self.socket.take_error()?.map_or(Ok(()), Err)
    }
}

/// A listening socket.
pub struct Listener {
    socket: Rc<TcpListener>,
    _watch: Watch,
}

impl Listener {
    pub(super) fn socket(&self) -> &TcpListener {
        &self.socket
    }
}

/// What the event loop watches, until this is dropped.
pub struct Watch {
    handle: EventLoopHandle,
    token: RegistrationToken,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

impl OsHost {
    /// That of an event loop.
    #[must_use]
    pub fn new(handle: EventLoopHandle) -> Self {
        Self {
            handle,
            clock: Clock::new(),
            inherited: Rc::default(),
            shares_addresses: false,
        }
    }

    /// Listening sockets share their addresses with those of other processes that do likewise (SO_REUSEPORT), so that a
    /// successor can listen beside this one where no socket passes between them.
    #[must_use]
    pub fn sharing_addresses(self, shares_addresses: bool) -> Self {
        Self {
            shares_addresses,
            ..self
        }
    }

    fn watch_for<S: AsFd + 'static>(
        &self,
        socket: Rc<S>,
        mode: Mode,
        seen: impl Fn(&mut Box<dyn Service>) + 'static,
    ) -> io::Result<Watch> {
        let source = Generic::new(socket, Interest::READ, mode);
        let watched = self.handle.insert_source(source, move |_, _, node| {
            seen(node);
            Ok(PostAction::Continue)
        });
        let token = watched.map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Watch {
            handle: self.handle.clone(),
            token,
        })
    }

    fn watch_listener(&self, socket: TcpListener, place: usize) -> io::Result<Listener> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let watch = self.watch_for(Rc::clone(&socket), Mode::Edge, move |node| {
            node.on_acceptable(place);
        })?;
        Ok(Listener {
            socket,
            _watch: watch,
        })
    }

    fn passage(&self, socket: Socket, party: SocketOwner) -> io::Result<HandoverChannel> {
        let socket = Rc::new(socket);
        let seen = Readiness {
            readable: true,
            writable: false,
        };
        let watch = self.watch_for(Rc::clone(&socket), Mode::Edge, move |node| {
            node.on_readiness(party, seen);
        })?;
        Ok(HandoverChannel {
            socket,
            _watch: watch,
        })
    }

    fn watch(&self, socket: TcpStream, party: SocketOwner) -> io::Result<OsStream> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::BOTH, Mode::Edge);
        let watched = self.handle.insert_source(source, move |seen, _, node| {
            let readiness = Readiness {
                readable: seen.readable || seen.error,
                writable: seen.writable || seen.error,
            };
            node.on_readiness(party, readiness);
            Ok(PostAction::Continue)
        });
        let token = watched.map_err(|e| io::Error::other(e.to_string()))?;
        Ok(OsStream {
            socket,
            handle: self.handle.clone(),
            token,
        })
    }
}

impl Host for OsHost {
    type Stream = OsStream;
    type Listener = Listener;
    type ResultPersistence = PersistenceThread;
    type ReputationStorage = ReputationStorage;
    type SuccessorListener = SuccessorListener;
    type ReservedDescriptor = std::fs::File;
    type HandoverChannel = HandoverChannel;

    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn listen(&self, address: SocketAddr, place: usize) -> io::Result<(Listener, SocketAddr)> {
        let inherited = if place == 0 {
            self.inherited.take()
        } else {
            None
        };
        let socket = match inherited {
            Some(socket) => socket,
            None => {
                let socket = Socket::new(
                    Domain::for_address(address),
                    Type::STREAM,
                    Some(Protocol::TCP),
                )?;
                socket.set_reuse_address(true)?;
                if self.shares_addresses {
                    socket.set_reuse_port(true)?;
                }
                socket.bind(&address.into())?;
                socket.listen(BACKLOG)?;
                TcpListener::from(socket)
            }
        };
        let address = socket.local_addr()?;
        Ok((self.watch_listener(socket, place)?, address))
    }

    fn is_address_in_use(&self, address: SocketAddr) -> bool {
        let alone = || -> io::Result<()> {
            let socket = Socket::new(
                Domain::for_address(address),
                Type::STREAM,
                Some(Protocol::TCP),
            )?;
            socket.set_reuse_address(true)?;
            socket.bind(&address.into())
        };
        let shares = self.shares_addresses && address.port() != 0;
        shares && alone().is_err_and(|e| e.kind() == ErrorKind::AddrInUse)
    }

    fn adopt_listener(
        &self,
        passed: ReceivedSocket,
        address: SocketAddr,
        place: usize,
    ) -> io::Result<Listener> {
        self.watch_listener(passed.listener(address)?, place)
    }

    fn listen_for_successors(
        &self,
        meeting: &HandoverAddress,
        place: usize,
    ) -> io::Result<SuccessorListener> {
        let socket = Rc::new(handover_channel::post(meeting)?);
        let watch = self.watch_for(Rc::clone(&socket), Mode::Edge, move |node| {
            node.on_acceptable(place);
        })?;
        Ok(SuccessorListener {
            socket,
            _watch: watch,
        })
    }

    fn accept_successor(
        &self,
        post: &SuccessorListener,
        party: SocketOwner,
    ) -> io::Result<HandoverChannel> {
        self.passage(handover_channel::welcome(&post.socket)?, party)
    }

    fn connect_to_predecessor(
        &self,
        meeting: &HandoverAddress,
        party: SocketOwner,
    ) -> io::Result<HandoverChannel> {
        self.passage(handover_channel::visit(meeting)?, party)
    }

    fn accept(&self, listener: &Listener, party: SocketOwner) -> io::Result<(OsStream, IpAddr)> {
        let (socket, address) = listener.socket.accept()?;
        let watched = self.watch(socket, party).map_err(|e| {
            tracing::warn!("a connection can't be watched: {e}");
            io::Error::from(ErrorKind::ConnectionAborted)
        });
        Ok((watched?, address.ip()))
    }

    fn reserve_descriptor(&self) -> io::Result<std::fs::File> {
        std::fs::File::open("/dev/null")
    }

    fn connect(&self, to: SocketAddr, party: SocketOwner) -> io::Result<OsStream> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e)
                if e.raw_os_error() == Some(libc::EINPROGRESS)
                    || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        self.watch(socket.into(), party)
    }

    fn open_reputation_storage(
        &self,
        folder: PathBuf,
        most: usize,
    ) -> io::Result<ReputationStorage> {
        ReputationStorage::start(&self.handle, folder, most)
    }

    fn open_result_persistence(
        &self,
        folder: PathBuf,
        seed: u64,
        lasting: bool,
    ) -> io::Result<PersistenceThread> {
        if lasting {
            PersistenceThread::start(&self.handle, folder, seed)
        } else {
            Ok(PersistenceThread::at_once(folder, seed))
        }
    }
}

/// A socket for datagrams; it is watched for edges.
pub struct OsDatagramSocket {
    socket: Rc<UdpSocket>,
    _watch: Watch,
}

impl DatagramSocket for OsDatagramSocket {
    fn send(&self, to: SocketAddr, datagram: &[u8]) -> io::Result<()> {
        self.socket.send_to(datagram, to).map(|_| ())
    }

    fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer)
    }
}

impl GossipHost for OsHost {
    type DatagramSocket = OsDatagramSocket;

    fn bind_datagram_socket(
        &self,
        address: SocketAddr,
        place: usize,
    ) -> io::Result<(OsDatagramSocket, SocketAddr)> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{address}: {e}"));
        let socket = UdpSocket::bind(address).map_err(named)?;
        socket.set_nonblocking(true)?;
        let at = socket.local_addr()?;
        let socket = Rc::new(socket);
        let watch = self.watch_for(Rc::clone(&socket), Mode::Edge, move |node| {
            node.on_acceptable(place);
        })?;
        Ok((
            OsDatagramSocket {
                socket,
                _watch: watch,
            },
            at,
        ))
    }

    fn random(&self) -> u64 {
        // The system's own numbers, as std draws them for its maps.
        RandomState::new().hash_one(self.clock.unix)
    }
}

/// The signals that the program hears: SIGTERM, SIGINT and SIGHUP. Held back from the moment at which this is made, and
/// heard once it serves. Guards against a notice or a new configuration in the first moments of a process, whose usual
/// meaning is its death.
pub struct BlockedSignals(Signals);

impl BlockedSignals {
    /// Holds them back from here on; threads begun later do so too.
    ///
    /// # Errors
    /// Those of the system.
    pub fn hold() -> io::Result<Self> {
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
        signals.map(Self).map_err(io::Error::other)
    }
}

/// What a process gets from whoever has started it, and what it has from its first moments.
#[derive(Default)]
pub struct HostOptions {
    /// Signals held back so far; they are held from here on where there is none.
    pub signals: Option<BlockedSignals>,
    /// Where the daemon listens.
    pub link: Option<FleetLink>,
    /// A listening socket that instances share.
    pub listener: Option<TcpListener>,
    /// Other processes of this program may listen on the same addresses.
    pub shares_addresses: bool,
}

/// A fleet's daemon hears so often how the matcher is.
const TELLS: Duration = Duration::from_millis(100);

/// Serves until the notice to leave has come and its time has passed. SIGHUP reads the configuration again. A fleet's
/// daemon is told how it goes, where there is one.
///
/// # Errors
/// When the event loop or a listening socket can't be had.
pub fn serve(options: Options, reload: Reload, hosted: HostOptions) -> io::Result<()> {
    serve_with(hosted, |world| {
        Ok(Box::new(Server::new(world, options, reload)?))
    })
}

/// The same for whatever is made in the real world.
///
/// # Errors
/// When the event loop can't be had, or what is to be served can't be made.
pub fn serve_with(
    hosted: HostOptions,
    make: impl FnOnce(OsHost) -> io::Result<Box<dyn Service>>,
) -> io::Result<()> {
    let mut event_loop: EventLoop<'static, Box<dyn Service>> =
        EventLoop::try_new().map_err(io::Error::other)?;
    let handle = event_loop.handle();
    let BlockedSignals(signals) = hosted.signals.map_or_else(BlockedSignals::hold, Ok)?;
    let heard =
        |event: calloop::signals::Event, (): &mut (), node: &mut Box<dyn Service>| match event
            .signal()
        {
            Signal::SIGHUP => node.reload(),
            _ => node.begin_shutdown(),
        };
    handle
        .insert_source(signals, heard)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let world = OsHost::new(handle.clone()).sharing_addresses(hosted.shares_addresses);
    let shared = hosted
        .listener
        .as_ref()
        .map(TcpListener::try_clone)
        .transpose()?;
    *world.inherited.borrow_mut() = hosted.listener;
    if let Some(link) = hosted.link {
        let mut reporter = StatusReporter::new(link, shared);
        let tell = move |_, (): &mut (), node: &mut Box<dyn Service>| {
            reporter.say(&node.status());
            TimeoutAction::ToDuration(TELLS)
        };
        let timer = Timer::immediate();
        handle
            .insert_source(timer, tell)
            .map_err(|e| io::Error::other(e.to_string()))?;
    }
    let mut node = make(world)?;
    loop {
        let next = node.poll();
        if let Some(fault) = node.take_fault() {
            return Err(fault);
        }
        if node.is_finished() {
            node.close();
            tracing::info!("left");
            return Ok(());
        }
        let wait = next.saturating_sub(node.now());
        match event_loop.dispatch(Duration::from_micros(wait), &mut node) {
            Err(calloop::Error::IoError(e)) if e.kind() != ErrorKind::Interrupted => return Err(e),
            Err(calloop::Error::OtherError(e)) => return Err(io::Error::other(e.to_string())),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
