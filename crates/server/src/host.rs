//! The interface to the operating system. All that a server asks of its host goes through these
//! traits, and nothing of it knows which host that is: [`os_host`](crate::os_host) has the one of
//! calloop and std, a simulator brings another.

use crate::socket_owner::SocketOwner;
use cleatpulley_connection_admission::reputation_database::StoredReputation;
use cleatpulley_dispatcher::key_table::KeyCommand;
use cleatpulley_dispatcher::Event;
use cleatpulley_idempotency::record::ScopedKey;
use cleatpulley_policy::interface::{Micros, RequestId};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// What the event loop saw on a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readiness {
    /// It may be read from, also where it was closed or broke.
    pub readable: bool,
    /// It may be written to, also where it broke.
    pub writable: bool,
}

/// A stream socket, open until it is dropped. No call blocks: what can't be done now is
/// [`WouldBlock`](io::ErrorKind::WouldBlock), and the readiness is reported to the owner later.
pub trait Stream {
    /// Reads some of the bytes that have arrived; returns 0 where the peer sends no more.
    ///
    /// # Errors
    /// Those of the system.
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes some of the bytes; returns how many.
    ///
    /// # Errors
    /// Those of the system.
    fn write(&self, bytes: &[u8]) -> io::Result<usize>;

    /// Closes the write side; what the peer still sends can be read.
    fn shutdown_write(&self);

    /// Returns the error that the socket holds, such as that of a failed attempt to connect.
    ///
    /// # Errors
    /// That error.
    fn take_error(&self) -> io::Result<()>;
}

/// A connection to the other process of a hot restart, open until it is dropped. Messages arrive
/// complete, and listening sockets come along with them. No call blocks.
pub trait HandoverChannel {
    /// A listening socket.
    type Listener;
    /// A socket that was handed over and is not watched by the event loop yet.
    type ReceivedSocket;

    /// Sends a message, with these sockets along.
    ///
    /// # Errors
    /// Those of the system; [`WouldBlock`](io::ErrorKind::WouldBlock) where the peer does not read.
    fn send(&self, message: &[u8], listeners: &[&Self::Listener]) -> io::Result<()>;

    /// Returns the next message and the sockets that came along; an empty message is the end.
    ///
    /// # Errors
    /// Those of the system; [`WouldBlock`](io::ErrorKind::WouldBlock) where none has arrived.
    fn receive(&self) -> io::Result<(Vec<u8>, Vec<Self::ReceivedSocket>)>;
}

/// Where the processes of a hot restart meet: by the folder, the name of the server, and the first
/// address that it listens on.
#[derive(Debug, Clone)]
pub struct HandoverAddress {
    /// A folder that both processes share, and no other user.
    pub folder: PathBuf,
    /// The name of the server.
    pub name: String,
    /// The address.
    pub address: SocketAddr,
}

/// Persists idempotency keys and cached results. Its events go to
/// [`Server::on_persistence_event`](crate::Server::on_persistence_event).
pub trait ResultPersistence {
    /// Writes a change of the key table.
    fn write(&mut self, command: KeyCommand);

    /// Loads the cached result of a key, as of `now`.
    fn load_result(&mut self, now: Micros, id: RequestId, number: u64, key: ScopedKey);

    /// Lets it write what it has and close in its own time. It is given nothing more.
    fn release(&mut self);

    /// Waits until it is closed, for a limited time.
    fn stop(self);

    /// Does the same where no process follows this one: what is not durable is removed.
    fn discard(self)
    where
        Self: Sized,
    {
        self.stop();
    }

    /// Maintains its files and returns its events, where it has no thread for that.
    fn poll(&mut self, _now: Micros, _events: &mut Vec<Event>) {}

    /// Returns when [`poll`](Self::poll) has something to do.
    fn next_deadline(&self) -> Option<Micros> {
        None
    }
}

/// Persists the reputation of client addresses. What it loads goes to
/// [`Server::on_reputation_loaded`](crate::Server::on_reputation_loaded).
pub trait ReputationStorage {
    /// Writes changed entries, in its own time.
    fn write(&self, entries: Vec<StoredReputation>);

    /// Lets it write what it has and close in its own time. It is given nothing more.
    fn release(&mut self);

    /// Waits until it is closed, for a limited time.
    fn stop(self);
}

/// The host of a server.
pub trait Host: Clone + 'static {
    /// A stream socket.
    type Stream: Stream;
    /// A listening socket; it listens until it is dropped.
    type Listener;
    /// The persistence of idempotency keys.
    type ResultPersistence: ResultPersistence;
    /// The persistence of the reputation of client addresses.
    type ReputationStorage: ReputationStorage;
    /// The socket on which successors connect; they may until it is dropped.
    type SuccessorListener;
    /// A descriptor in reserve, free once this is dropped.
    type ReservedDescriptor;
    /// A connection to the other process of a hot restart.
    type HandoverChannel: HandoverChannel<Listener = Self::Listener>;

    /// Returns the time: microseconds of the Unix clock at the start, and monotonic from there on.
    fn now(&self) -> Micros;

    /// Listens on an address. New connections are reported with this number. Returns the listener,
    /// and the address with the port that the system chose.
    ///
    /// # Errors
    /// Those of the system.
    fn listen(
        &self,
        address: SocketAddr,
        number: usize,
    ) -> io::Result<(Self::Listener, SocketAddr)>;

    /// Returns true where another process listens on an address that [`listen`](Self::listen) would
    /// share with it.
    fn is_address_in_use(&self, address: SocketAddr) -> bool;

    /// Accepts a connection that waits; returns it with the address of its client.
    ///
    /// # Errors
    /// [`WouldBlock`](io::ErrorKind::WouldBlock) where none waits, and those of the system.
    fn accept(
        &self,
        listener: &Self::Listener,
        owner: SocketOwner,
    ) -> io::Result<(Self::Stream, IpAddr)>;

    /// Reserves a descriptor, so that a connection can be accepted when no other is left.
    ///
    /// # Errors
    /// Those of the system.
    fn reserve_descriptor(&self) -> io::Result<Self::ReservedDescriptor>;

    /// Begins to connect; the first readiness reports how that went.
    ///
    /// # Errors
    /// Those of the system; a refusal may come at once.
    fn connect(&self, address: SocketAddr, owner: SocketOwner) -> io::Result<Self::Stream>;

    /// Adopts a socket that another process has handed over, where it listens on this address,
    /// whose port may be 0.
    ///
    /// # Errors
    /// Where it does not, and those of the system.
    fn adopt_listener(
        &self,
        received: <Self::HandoverChannel as HandoverChannel>::ReceivedSocket,
        address: SocketAddr,
        number: usize,
    ) -> io::Result<Self::Listener>;

    /// Lets successors find this process from now on. They are reported with this number, as new
    /// connections are.
    ///
    /// # Errors
    /// Those of the system.
    fn listen_for_successors(
        &self,
        address: &HandoverAddress,
        number: usize,
    ) -> io::Result<Self::SuccessorListener>;

    /// Accepts a successor that waits, where it belongs to the same user.
    ///
    /// # Errors
    /// [`WouldBlock`](io::ErrorKind::WouldBlock) where none waits, and those of the system.
    fn accept_successor(
        &self,
        listener: &Self::SuccessorListener,
        owner: SocketOwner,
    ) -> io::Result<Self::HandoverChannel>;

    /// Connects to the process to take over from.
    ///
    /// # Errors
    /// Where there is none, and those of the system.
    fn connect_to_predecessor(
        &self,
        address: &HandoverAddress,
        owner: SocketOwner,
    ) -> io::Result<Self::HandoverChannel>;

    /// Opens the persistence of the reputation of at most `max_addresses` addresses.
    ///
    /// # Errors
    /// Those of the system.
    fn open_reputation_storage(
        &self,
        folder: PathBuf,
        max_addresses: usize,
    ) -> io::Result<Self::ReputationStorage>;

    /// Opens the persistence of idempotency keys in a folder. One that is not durable outlives its
    /// process, for the next one of the same server, and not the machine.
    ///
    /// # Errors
    /// Those of the system.
    fn open_result_persistence(
        &self,
        folder: PathBuf,
        seed: u64,
        is_durable: bool,
    ) -> io::Result<Self::ResultPersistence>;
}

/// A datagram socket, open until it is dropped. No call blocks.
pub trait DatagramSocket {
    /// Sends a datagram.
    ///
    /// # Errors
    /// Those of the system.
    fn send(&self, address: SocketAddr, datagram: &[u8]) -> io::Result<()>;

    /// Receives the next datagram; returns its length and its sender.
    ///
    /// # Errors
    /// [`WouldBlock`](io::ErrorKind::WouldBlock) where none has arrived, and those of the system.
    fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)>;
}

/// A host on which processes gossip.
pub trait GossipHost: Host {
    /// A datagram socket.
    type DatagramSocket: DatagramSocket;

    /// Binds a datagram socket, whose readiness is reported with this number, as new connections
    /// are. Returns it with the address that the system chose.
    ///
    /// # Errors
    /// Those of the system.
    fn bind_datagram_socket(
        &self,
        address: SocketAddr,
        number: usize,
    ) -> io::Result<(Self::DatagramSocket, SocketAddr)>;

    /// Returns a random number.
    fn random(&self) -> u64;
}
