//! The interface to the operating system. A server accesses its host only through these traits:
//! [`os_host`](crate::os_host) implements them with calloop and std, the simulator with simulated
//! devices.

use crate::socket_owner::SocketOwner;
use cleatpulley_connection_admission::reputation_database::StoredReputation;
use cleatpulley_dispatcher::key_table::KeyCommand;
use cleatpulley_dispatcher::{Event, StartedId};
use cleatpulley_idempotency::record::ScopedKey;
use cleatpulley_policy::interface::{Micros, RequestId};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Readiness of a socket, as reported by the event loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Readiness {
    /// The socket is readable, or was closed by the peer, or has failed.
    pub readable: bool,
    /// The socket is writable, or has failed.
    pub writable: bool,
}

/// A stream socket, open until it is dropped. No call blocks: operations that can't proceed return
/// [`WouldBlock`](io::ErrorKind::WouldBlock), and the owner is notified of the readiness later.
pub trait Stream {
    /// Reads available bytes; returns 0 at the end of the stream.
    ///
    /// # Errors
    /// Errors of the operating system.
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes as many bytes as the socket accepts; returns their number.
    ///
    /// # Errors
    /// Errors of the operating system.
    fn write(&self, bytes: &[u8]) -> io::Result<usize>;

    /// Closes the write side; the read side stays open.
    fn shutdown_write(&self);

    /// Returns the pending socket error (SO_ERROR), such as that of a failed connection attempt.
    ///
    /// # Errors
    /// The pending socket error.
    fn take_error(&self) -> io::Result<()>;
}

/// A connection to the other process of a hot restart, open until it is dropped. Message boundaries
/// are preserved, and messages carry listening sockets. No call blocks.
pub trait HandoverChannel {
    /// A listening socket.
    type Listener;
    /// A received socket that is not registered with the event loop yet.
    type ReceivedSocket;

    /// Sends a message together with these listening sockets.
    ///
    /// # Errors
    /// Errors of the operating system; [`WouldBlock`](io::ErrorKind::WouldBlock) if the peer does
    /// not read.
    fn send(&self, message: &[u8], listeners: &[&Self::Listener]) -> io::Result<()>;

    /// Receives the next message and its sockets; an empty message means that the peer closed the
    /// channel.
    ///
    /// # Errors
    /// Errors of the operating system; [`WouldBlock`](io::ErrorKind::WouldBlock) if no message has
    /// arrived.
    fn receive(&self) -> io::Result<(Vec<u8>, Vec<Self::ReceivedSocket>)>;
}

/// Rendezvous of the processes of a hot restart: the folder, the name of the server, and its first
/// listening address.
#[derive(Debug, Clone)]
pub struct HandoverAddress {
    /// Folder shared by both processes and inaccessible to other users.
    pub folder: PathBuf,
    /// Name of the server.
    pub name: String,
    /// First listening address of the server.
    pub address: SocketAddr,
}

/// Persists idempotency keys and cached results. Its events are passed to
/// [`Server::on_persistence_event`](crate::Server::on_persistence_event).
pub trait ResultPersistence {
    /// Writes a change of the key table.
    fn write(&mut self, command: KeyCommand);

    /// Loads the cached result of a key, as of `now`.
    fn load_result(&mut self, now: Micros, id: RequestId, load_number: u64, key: ScopedKey);

    /// Begins to close the storage: pending writes are completed in the background, and no further
    /// calls may follow.
    fn release(&mut self);

    /// Closes the storage and waits for a limited time until it is closed.
    fn stop(self);

    /// Does the same as [`stop`](Self::stop) if no successor process follows, and removes data that
    /// is not durable.
    fn discard(self)
    where
        Self: Sized,
    {
        self.stop();
    }

    /// Maintains the files and returns pending events, for implementations without a thread.
    fn poll(&mut self, _now: Micros, _events: &mut Vec<Event>) {}

    /// Returns when [`poll`](Self::poll) is to be called next.
    fn next_deadline(&self) -> Option<Micros> {
        None
    }
}

/// Persists the reputation of client addresses. Loaded entries are passed to
/// [`Server::on_reputation_loaded`](crate::Server::on_reputation_loaded).
pub trait ReputationStorage {
    /// Writes changed entries in the background.
    fn write(&self, entries: Vec<StoredReputation>);

    /// Begins to close the storage: pending writes are completed in the background, and no further
    /// calls may follow.
    fn release(&mut self);

    /// Closes the storage and waits for a limited time until it is closed.
    fn stop(self);
}

/// The operating system or simulation under a server.
pub trait Host: Clone + 'static {
    /// A stream socket.
    type Stream: Stream;
    /// A listening socket, closed when it is dropped.
    type Listener;
    /// Persistence of idempotency keys.
    type ResultPersistence: ResultPersistence;
    /// Persistence of the reputation of client addresses.
    type ReputationStorage: ReputationStorage;
    /// The socket on which successors connect, closed when it is dropped.
    type SuccessorListener;
    /// A reserved file descriptor, freed when this is dropped.
    type ReservedDescriptor;
    /// A connection to the other process of a hot restart.
    type HandoverChannel: HandoverChannel<Listener = Self::Listener>;

    /// Returns the time in microseconds: the Unix time at the start, advanced by a monotonic clock.
    fn now(&self) -> Micros;

    /// Listens on an address. The event loop reports pending connections under the listener number
    /// `number`. Returns the listener and its address, with the port that the system chose.
    ///
    /// # Errors
    /// Errors of the operating system.
    fn listen(
        &self,
        address: SocketAddr,
        number: usize,
    ) -> io::Result<(Self::Listener, SocketAddr)>;

    /// Returns true if another process listens on an address that [`listen`](Self::listen) would
    /// share with it.
    fn is_address_in_use(&self, address: SocketAddr) -> bool;

    /// Accepts a pending connection; returns it with the address of its client.
    ///
    /// # Errors
    /// [`WouldBlock`](io::ErrorKind::WouldBlock) if none is pending, and errors of the operating
    /// system.
    fn accept(
        &self,
        listener: &Self::Listener,
        owner: SocketOwner,
    ) -> io::Result<(Self::Stream, IpAddr)>;

    /// Reserves a file descriptor, so that a connection can be accepted when all others are in use.
    ///
    /// # Errors
    /// Errors of the operating system.
    fn reserve_descriptor(&self) -> io::Result<Self::ReservedDescriptor>;

    /// Begins to connect; the first readiness event signals success or failure.
    ///
    /// # Errors
    /// Errors of the operating system; the connection may be refused immediately.
    fn connect(&self, address: SocketAddr, owner: SocketOwner) -> io::Result<Self::Stream>;

    /// Adopts a listening socket received from another process, if it listens on `address`. Port 0
    /// matches any port.
    ///
    /// # Errors
    /// If the socket does not listen on `address`, and errors of the operating system.
    fn adopt_listener(
        &self,
        received: <Self::HandoverChannel as HandoverChannel>::ReceivedSocket,
        address: SocketAddr,
        number: usize,
    ) -> io::Result<Self::Listener>;

    /// Listens for successors. The event loop reports pending successors under the listener number
    /// `number`.
    ///
    /// # Errors
    /// Errors of the operating system.
    fn listen_for_successors(
        &self,
        address: &HandoverAddress,
        number: usize,
    ) -> io::Result<Self::SuccessorListener>;

    /// Accepts a pending successor, if it belongs to the same user.
    ///
    /// # Errors
    /// [`WouldBlock`](io::ErrorKind::WouldBlock) if none is pending, and errors of the operating
    /// system.
    fn accept_successor(
        &self,
        listener: &Self::SuccessorListener,
        owner: SocketOwner,
    ) -> io::Result<Self::HandoverChannel>;

    /// Connects to the process to take over from, the predecessor.
    ///
    /// # Errors
    /// If there is no predecessor, and errors of the operating system.
    fn connect_to_predecessor(
        &self,
        address: &HandoverAddress,
        owner: SocketOwner,
    ) -> io::Result<Self::HandoverChannel>;

    /// Saves the ids of requests that this process may have run, for the process that takes over.
    ///
    /// # Errors
    /// Errors of the operating system.
    fn save_started_ids(&self, _: &HandoverAddress, _: &[StartedId]) -> io::Result<()> {
        Ok(())
    }

    /// Loads the ids that the process before this one has saved.
    ///
    /// # Errors
    /// Errors of the operating system, or a malformed file.
    fn load_started_ids(&self, _: &HandoverAddress) -> io::Result<Vec<StartedId>> {
        Ok(Vec::new())
    }

    /// Opens the persistence of the reputation of at most `max_addresses` addresses.
    ///
    /// # Errors
    /// Errors of the operating system.
    fn open_reputation_storage(
        &self,
        folder: PathBuf,
        max_addresses: usize,
    ) -> io::Result<Self::ReputationStorage>;

    /// Opens the persistence of idempotency keys in a folder. If it is not durable, the keys
    /// survive the process, for the next process of the same server, but not the machine.
    ///
    /// # Errors
    /// Errors of the operating system.
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
    /// Errors of the operating system.
    fn send(&self, address: SocketAddr, datagram: &[u8]) -> io::Result<()>;

    /// Receives the next datagram; returns its length and its sender.
    ///
    /// # Errors
    /// [`WouldBlock`](io::ErrorKind::WouldBlock) if none has arrived, and errors of the operating
    /// system.
    fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)>;
}

/// A host that supports the gossip of the membership.
pub trait GossipHost: Host {
    /// A datagram socket.
    type DatagramSocket: DatagramSocket;

    /// Binds a datagram socket. The event loop reports received datagrams under the listener number
    /// `number`. Returns the socket and its address, with the port that the system chose.
    ///
    /// # Errors
    /// Errors of the operating system.
    fn bind_datagram_socket(
        &self,
        address: SocketAddr,
        number: usize,
    ) -> io::Result<(Self::DatagramSocket, SocketAddr)>;

    /// Returns a random number.
    fn random(&self) -> u64;
}
