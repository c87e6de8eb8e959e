//! Implementation of the host on the operating system.

use super::clock::Clock;
use super::event_loop::{EventLoopHandle, Watch};
use super::sockets::{Listener, OsDatagramSocket, OsStream, SuccessorListener};
use crate::handover_channel::{self, HandoverChannel, ReceivedSocket};
use crate::host::{GossipHost, HandoverAddress, Host, Readiness};
use crate::persistence_thread::PersistenceThread;
use crate::reputation_store::ReputationStorage;
use crate::socket_owner::SocketOwner;
use crate::started_ids_file;
use cleatpulley_dispatcher::StartedId;
use cleatpulley_policy::interface::Micros;
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::RefCell;
use std::fs::File;
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;

/// Maximum number of pending connections of a listener.
const LISTEN_BACKLOG: i32 = 1_024;

/// The operating system, accessed through one event loop.
#[derive(Clone)]
pub struct OsHost {
    handle: EventLoopHandle,
    clock: Clock,
    /// Listening socket inherited from the parent process; it becomes the first listener.
    inherited_listener: Rc<RefCell<Option<TcpListener>>>,
    shares_addresses: bool,
}

impl OsHost {
    /// Creates the host of an event loop.
    #[must_use]
    pub fn new(handle: EventLoopHandle) -> Self {
        Self {
            handle,
            clock: Clock::new(),
            inherited_listener: Rc::default(),
            shares_addresses: false,
        }
    }

    /// Sets whether listening sockets share their addresses with those of other processes
    /// (SO_REUSEPORT), so that a successor can listen in parallel to its predecessor if no socket
    /// is handed over.
    #[must_use]
    pub fn with_shared_addresses(self, shares_addresses: bool) -> Self {
        Self {
            shares_addresses,
            ..self
        }
    }

    /// Sets the inherited listening socket that becomes the first listener.
    pub(super) fn set_inherited_listener(&self, listener: Option<TcpListener>) {
        *self.inherited_listener.borrow_mut() = listener;
    }

    fn watch_listener(&self, socket: TcpListener, number: usize) -> io::Result<Listener> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let watch = Watch::readable(&self.handle, Rc::clone(&socket), move |service| {
            service.on_acceptable(number);
        })?;
        Ok(Listener {
            socket,
            _watch: watch,
        })
    }

    fn watch_channel(&self, socket: Socket, owner: SocketOwner) -> io::Result<HandoverChannel> {
        let socket = Rc::new(socket);
        let readiness = Readiness {
            readable: true,
            writable: false,
        };
        let watch = Watch::readable(&self.handle, Rc::clone(&socket), move |service| {
            service.on_readiness(owner, readiness);
        })?;
        Ok(HandoverChannel::new(socket, watch))
    }

    fn watch_stream(&self, socket: TcpStream, owner: SocketOwner) -> io::Result<OsStream> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let watch = Watch::readable_and_writable(&self.handle, Rc::clone(&socket), owner)?;
        Ok(OsStream {
            socket,
            _watch: watch,
        })
    }

    fn create_listener(&self, address: SocketAddr) -> io::Result<TcpListener> {
        let socket = create_tcp_socket(address)?;
        socket.set_reuse_address(true)?;
        if self.shares_addresses {
            socket.set_reuse_port(true)?;
        }
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(TcpListener::from(socket))
    }
}

fn create_tcp_socket(address: SocketAddr) -> io::Result<Socket> {
    Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )
}

/// Binds to an address without sharing it.
fn bind_exclusively(address: SocketAddr) -> io::Result<()> {
    let socket = create_tcp_socket(address)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}

impl Host for OsHost {
    type Stream = OsStream;
    type Listener = Listener;
    type ResultPersistence = PersistenceThread;
    type ReputationStorage = ReputationStorage;
    type SuccessorListener = SuccessorListener;
    type ReservedDescriptor = File;
    type HandoverChannel = HandoverChannel;

    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn listen(&self, address: SocketAddr, number: usize) -> io::Result<(Listener, SocketAddr)> {
        let inherited = if number == 0 {
            self.inherited_listener.take()
        } else {
            None
        };
        let socket = match inherited {
            Some(socket) => socket,
            None => self.create_listener(address)?,
        };
        let address = socket.local_addr()?;
        Ok((self.watch_listener(socket, number)?, address))
    }

    fn is_address_in_use(&self, address: SocketAddr) -> bool {
        self.shares_addresses
            && address.port() != 0
            && bind_exclusively(address).is_err_and(|error| error.kind() == ErrorKind::AddrInUse)
    }

    fn adopt_listener(
        &self,
        received: ReceivedSocket,
        address: SocketAddr,
        number: usize,
    ) -> io::Result<Listener> {
        self.watch_listener(received.into_listener(address)?, number)
    }

    fn listen_for_successors(
        &self,
        address: &HandoverAddress,
        number: usize,
    ) -> io::Result<SuccessorListener> {
        let socket = Rc::new(handover_channel::listen(address)?);
        let watch = Watch::readable(&self.handle, Rc::clone(&socket), move |service| {
            service.on_acceptable(number);
        })?;
        Ok(SuccessorListener {
            socket,
            _watch: watch,
        })
    }

    fn accept_successor(
        &self,
        listener: &SuccessorListener,
        owner: SocketOwner,
    ) -> io::Result<HandoverChannel> {
        self.watch_channel(handover_channel::accept(&listener.socket)?, owner)
    }

    fn connect_to_predecessor(
        &self,
        address: &HandoverAddress,
        owner: SocketOwner,
    ) -> io::Result<HandoverChannel> {
        self.watch_channel(handover_channel::connect(address)?, owner)
    }

    fn accept(&self, listener: &Listener, owner: SocketOwner) -> io::Result<(OsStream, IpAddr)> {
        let (socket, address) = listener.socket.accept()?;
        let stream = self.watch_stream(socket, owner).map_err(|error| {
            tracing::warn!(%error, "failed to register a connection with the event loop");
            io::Error::from(ErrorKind::ConnectionAborted)
        })?;
        Ok((stream, address.ip()))
    }

    fn reserve_descriptor(&self) -> io::Result<File> {
        File::open("/dev/null")
    }

    fn connect(&self, address: SocketAddr, owner: SocketOwner) -> io::Result<OsStream> {
        let socket = create_tcp_socket(address)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(error)
                if error.raw_os_error() == Some(libc::EINPROGRESS)
                    || error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        self.watch_stream(socket.into(), owner)
    }

    fn save_started_ids(
        &self,
        address: &HandoverAddress,
        started_ids: &[StartedId],
    ) -> io::Result<()> {
        started_ids_file::save(address, started_ids)
    }

    fn load_started_ids(&self, address: &HandoverAddress) -> io::Result<Vec<StartedId>> {
        started_ids_file::load(address)
    }

    fn open_reputation_storage(
        &self,
        folder: PathBuf,
        max_addresses: usize,
    ) -> io::Result<ReputationStorage> {
        ReputationStorage::start(&self.handle, folder, max_addresses)
    }

    fn open_result_persistence(
        &self,
        folder: PathBuf,
        seed: u64,
        is_durable: bool,
    ) -> io::Result<PersistenceThread> {
        if is_durable {
            PersistenceThread::start(&self.handle, folder, seed)
        } else {
            Ok(PersistenceThread::inline(folder, seed))
        }
    }
}

impl GossipHost for OsHost {
    type DatagramSocket = OsDatagramSocket;

    fn bind_datagram_socket(
        &self,
        address: SocketAddr,
        number: usize,
    ) -> io::Result<(OsDatagramSocket, SocketAddr)> {
        let socket = UdpSocket::bind(address)
            .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
        socket.set_nonblocking(true)?;
        let local_address = socket.local_addr()?;
        let socket = Rc::new(socket);
        let watch = Watch::readable(&self.handle, Rc::clone(&socket), move |service| {
            service.on_acceptable(number);
        })?;
        let socket = OsDatagramSocket {
            socket,
            _watch: watch,
        };
        Ok((socket, local_address))
    }

    fn random(&self) -> u64 {
        // Random number of the operating system, as std uses for the seeds of hash maps.
        RandomState::new().hash_one(self.clock.unix_at_start())
    }
}
