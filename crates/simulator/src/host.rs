//! Host of simulated matchers: sockets of the virtual network, its clock, and persistence on an
//! in-memory disk.

use crate::handover::{
    HandoverState, VirtualHandoverChannel, VirtualReceivedSocket, VirtualSuccessorListener,
};
use crate::network::{EndId, Network, NetworkEvent};
use crate::reputation_storage::{ReputationWorker, VirtualReputationStorage};
use cleatpulley_dispatcher::key_table::KeyCommand;
use cleatpulley_dispatcher::Event as DispatcherEvent;
use cleatpulley_idempotency::journal::Journal;
use cleatpulley_idempotency::record::ScopedKey;
use cleatpulley_log_store::simulated_folder::SimulatedFolder;
use cleatpulley_log_store::{Error, Options};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::{Micros, RequestId};
use cleatpulley_server::host::{HandoverAddress, Host, Readiness, ResultPersistence, Stream};
use cleatpulley_server::persistence_thread::{PersistenceJob, ResultStore};
use cleatpulley_server::SocketOwner;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;

/// Events of the simulation.
#[derive(Debug)]
pub enum Event {
    /// An event of the network.
    Network(NetworkEvent),
    /// The process of this matcher and incarnation is to be polled.
    Server(usize, u64),
    /// A service's timer is due.
    Service(usize),
    /// The persistence worker of this matcher and incarnation has work to do.
    ResultPersistence(usize, u64),
    /// The reputation worker of this matcher and incarnation has work to do.
    ReputationStorage(usize, u64),
    /// A fault begins.
    FaultStart(usize),
    /// A fault ends.
    FaultEnd(usize),
    /// A matcher without a process is started again.
    Restart(usize, u64),
    /// A handover channel of this process has a connection or a message to read.
    HandoverChannel(usize, u64),
    /// The upgrades of this machine are to be checked.
    Rollout(usize),
    /// The metrics of all processes are requested.
    PollMetrics,
}

/// The network, shared by everything that is connected to it.
pub type SharedNetwork = Rc<RefCell<Network<Event>>>;

/// Owner of an end of a connection.
#[derive(Debug, Clone, Copy)]
pub enum ConnectionOwner {
    /// A socket owner within a matcher's process, by the slot of the process.
    Server(usize, SocketOwner),
    /// A link of a service.
    Service(usize, u64),
}

const NUMBER_MASK: u64 = (1 << 48) - 1;
/// Delay before retrying to open a store that another process holds locked.
const LOCK_RETRY_DELAY: Micros = 50_000;

impl ConnectionOwner {
    /// Encodes the owner as the number that the network stores.
    #[must_use]
    pub fn encode(self) -> u64 {
        let (kind, index, number) = match self {
            Self::Server(matcher, SocketOwner::ClientConnection(number)) => (0, matcher, number),
            Self::Server(matcher, SocketOwner::Runtime) => (1, matcher, 0),
            Self::Server(matcher, SocketOwner::Dependency(number)) => (2, matcher, number),
            Self::Server(matcher, SocketOwner::Registry(number)) => (3, matcher, number),
            Self::Server(matcher, SocketOwner::GatewayTarget(number)) => (5, matcher, number),
            Self::Server(matcher, SocketOwner::Predecessor) => (7, matcher, 0),
            Self::Server(matcher, SocketOwner::Successor) => (8, matcher, 0),
            Self::Server(matcher, SocketOwner::Management(number)) => (6, matcher, number),
            Self::Service(service, link) => (4, service, link),
        };
        kind << 56 | (index as u64) << 48 | number & NUMBER_MASK
    }

    /// Decodes the number that the network stores.
    #[must_use]
    pub fn decode(code: u64) -> Self {
        let (index, number) = ((code >> 48 & 0xFF) as usize, code & NUMBER_MASK);
        match code >> 56 {
            0 => Self::Server(index, SocketOwner::ClientConnection(number)),
            1 => Self::Server(index, SocketOwner::Runtime),
            2 => Self::Server(index, SocketOwner::Dependency(number)),
            3 => Self::Server(index, SocketOwner::Registry(number)),
            5 => Self::Server(index, SocketOwner::GatewayTarget(number)),
            6 => Self::Server(index, SocketOwner::Management(number)),
            7 => Self::Server(index, SocketOwner::Predecessor),
            8 => Self::Server(index, SocketOwner::Successor),
            _ => Self::Service(index, number),
        }
    }
}

/// Lock of a disk's store: the incarnation of the process that holds it.
pub type StoreLock = Rc<Cell<Option<u64>>>;

/// Persistence worker of a matcher's process.
pub struct PersistenceWorker {
    lock: StoreLock,
    incarnation: u64,
    /// The store is closed, and no further jobs are accepted.
    closed: bool,
    /// Pending jobs.
    pub jobs: VecDeque<PersistenceJob>,
    store: ResultStore<SimulatedFolder>,
    /// The disk; a crash replaces it.
    pub disk: SimulatedFolder,
    scheduled: bool,
    /// No job is done before this time.
    pub stalled_until: Micros,
}

impl PersistenceWorker {
    /// Creates the worker of a process on this disk, which may hold data of earlier processes.
    #[must_use]
    pub fn new(disk: SimulatedFolder, lock: StoreLock, incarnation: u64) -> Self {
        let (jobs, store) = (VecDeque::new(), ResultStore::default());
        Self {
            lock,
            incarnation,
            closed: false,
            jobs,
            store,
            disk,
            scheduled: false,
            stalled_until: 0,
        }
    }

    /// Releases the lock of a process that has ended, as the operating system does.
    pub fn unlock(&self) {
        if self.lock.get() == Some(self.incarnation) {
            self.lock.set(None);
        }
    }

    /// Does all pending jobs and closes the store.
    pub fn close(&mut self, now: Micros) {
        // As in the persistence thread, closing waits for a stalled disk, so that no job is left
        // for the next process.
        self.stalled_until = self.stalled_until.min(now);
        self.run_jobs(now, &mut Vec::new());
        self.jobs.clear();
        self.store.close();
        self.unlock();
        self.closed = true;
    }

    /// Does the pending jobs; returns when it wants to be called again.
    pub fn run_jobs(&mut self, now: Micros, events: &mut Vec<DispatcherEvent>) -> Option<Micros> {
        self.scheduled = false;
        if self.closed {
            return None;
        }
        if now < self.stalled_until {
            self.scheduled = true;
            return Some(self.stalled_until);
        }
        if !self.store.is_open() {
            let is_locked = self
                .lock
                .get()
                .is_some_and(|incarnation| incarnation != self.incarnation);
            if is_locked && !is_bug_injected(InjectedBug::LockIgnored) {
                self.store.open(Err(Error::Locked), events);
                self.scheduled = true;
                return Some(now + LOCK_RETRY_DELAY);
            }
            self.lock.set(Some(self.incarnation));
            self.disk.release_lock();
            let options = Options {
                segment_bytes: 16_384,
                ..Options::default()
            };
            let opened = Journal::open(self.disk.clone(), options, now);
            self.store.open(opened, events);
        }
        self.store.execute(&mut self.jobs.drain(..), events);
        self.store.sync(events);
        self.store.maintain(now, 4_096, events);
        if self.store.is_open() {
            return None;
        }
        self.scheduled = true;
        Some(now + 500_000)
    }
}

/// The simulated environment as one process sees it.
#[derive(Clone)]
pub struct VirtualHost {
    /// The network.
    pub net: SharedNetwork,
    /// Index of the matcher.
    pub matcher: usize,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Number that is unique among the processes that exist at the same time.
    pub slot: usize,
    /// Handover state of the machine.
    pub handover: Rc<RefCell<HandoverState>>,
    /// Number of the process on the network, which counts its descriptors.
    pub process: usize,
    /// Its persistence worker.
    pub persistence: Rc<RefCell<PersistenceWorker>>,
    /// Its reputation worker.
    pub reputation: Rc<RefCell<ReputationWorker>>,
}

/// A connection.
pub struct VirtualStream {
    net: SharedNetwork,
    end: EndId,
}

impl Drop for VirtualStream {
    fn drop(&mut self) {
        self.net.borrow_mut().close(self.end);
    }
}

impl Stream for VirtualStream {
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.net.borrow_mut().read(self.end, buffer)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.net.borrow_mut().write(self.end, bytes)
    }

    fn shutdown_write(&self) {
        self.net.borrow_mut().shutdown_write(self.end);
    }

    fn take_error(&self) -> io::Result<()> {
        self.net.borrow_mut().pending_error(self.end)
    }
}

/// A listening socket.
pub struct VirtualListener {
    net: SharedNetwork,
    address: SocketAddr,
    number: u64,
    process: usize,
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        self.net
            .borrow_mut()
            .close_listener(self.address, self.number, self.process);
    }
}

/// A descriptor reserved for later use.
pub struct VirtualReservedDescriptor {
    net: SharedNetwork,
    process: usize,
}

impl Drop for VirtualReservedDescriptor {
    fn drop(&mut self) {
        self.net.borrow_mut().release_descriptor(self.process);
    }
}

impl VirtualListener {
    pub(crate) fn new(
        net: SharedNetwork,
        address: SocketAddr,
        number: u64,
        process: usize,
    ) -> Self {
        Self {
            net,
            address,
            number,
            process,
        }
    }

    /// Address and number of the socket.
    pub(crate) fn address_and_number(&self) -> (SocketAddr, u64) {
        (self.address, self.number)
    }
}

/// Handle by which a matcher uses its persistence worker.
pub struct VirtualResultPersistence {
    host: VirtualHost,
}

impl VirtualResultPersistence {
    fn push(&self, job: PersistenceJob) {
        let mut persistence = self.host.persistence.borrow_mut();
        // Jobs for a closed worker are dropped; the next process's worker does not get them either.
        if persistence.closed {
            return;
        }
        persistence.jobs.push_back(job);
        if !std::mem::replace(&mut persistence.scheduled, true) {
            let mut net = self.host.net.borrow_mut();
            // A sync takes time; jobs that arrive in the meantime share the next one.
            let at = net.now + 700 + (net.now / 7) % 900;
            net.queue.push(
                at,
                Event::ResultPersistence(self.host.matcher, self.host.incarnation),
            );
        }
    }
}

impl ResultPersistence for VirtualResultPersistence {
    fn write(&mut self, effect: KeyCommand) {
        self.push(PersistenceJob::Write(effect));
    }

    fn load_result(&mut self, now: Micros, id: RequestId, number: u64, key: ScopedKey) {
        self.push(PersistenceJob::LoadResult(now, id, number, key));
    }

    fn release(&mut self) {
        let now = self.host.net.borrow().now;
        self.host.persistence.borrow_mut().close(now);
    }

    fn stop(self) {
        let now = self.host.net.borrow().now;
        self.host
            .persistence
            .borrow_mut()
            .run_jobs(now, &mut Vec::new());
    }
}

impl Host for VirtualHost {
    type Stream = VirtualStream;
    type Listener = VirtualListener;
    type ResultPersistence = VirtualResultPersistence;
    type SuccessorListener = VirtualSuccessorListener;
    type ReservedDescriptor = VirtualReservedDescriptor;
    type ReputationStorage = VirtualReputationStorage;
    type HandoverChannel = VirtualHandoverChannel;

    fn reserve_descriptor(&self) -> io::Result<VirtualReservedDescriptor> {
        self.net.borrow_mut().acquire_descriptor(self.process)?;
        Ok(VirtualReservedDescriptor {
            net: Rc::clone(&self.net),
            process: self.process,
        })
    }

    fn open_reputation_storage(
        &self,
        _: PathBuf,
        max_entries: usize,
    ) -> io::Result<VirtualReputationStorage> {
        Ok(VirtualReputationStorage::new(self, max_entries))
    }

    fn is_address_in_use(&self, address: SocketAddr) -> bool {
        self.net.borrow().listener_count(address) > 0
    }

    fn adopt_listener(
        &self,
        passed: VirtualReceivedSocket,
        address: SocketAddr,
        _: usize,
    ) -> io::Result<VirtualListener> {
        passed.adopt_listener(address, self.process)
    }

    fn listen_for_successors(
        &self,
        _: &HandoverAddress,
        _: usize,
    ) -> io::Result<VirtualSuccessorListener> {
        VirtualSuccessorListener::new(self)
    }

    fn accept_successor(
        &self,
        listener: &VirtualSuccessorListener,
        _: SocketOwner,
    ) -> io::Result<VirtualHandoverChannel> {
        listener.accept(self)
    }

    fn connect_to_predecessor(
        &self,
        _: &HandoverAddress,
        _: SocketOwner,
    ) -> io::Result<VirtualHandoverChannel> {
        VirtualHandoverChannel::connect(self)
    }

    fn now(&self) -> Micros {
        self.net.borrow().now
    }

    fn listen(
        &self,
        address: SocketAddr,
        _place: usize,
    ) -> io::Result<(VirtualListener, SocketAddr)> {
        let number = self.net.borrow_mut().listen(address, self.process, true)?;
        let (net, process) = (Rc::clone(&self.net), self.process);
        Ok((
            VirtualListener {
                net,
                address,
                number,
                process,
            },
            address,
        ))
    }

    fn accept(
        &self,
        listener: &VirtualListener,
        socket_owner: SocketOwner,
    ) -> io::Result<(VirtualStream, IpAddr)> {
        let mut net = self.net.borrow_mut();
        let owner = ConnectionOwner::Server(self.slot, socket_owner).encode();
        let end = net.accept_at(listener.address, listener.number, self.process, owner)?;
        let address = net.peer_address(end);
        Ok((
            VirtualStream {
                net: Rc::clone(&self.net),
                end,
            },
            address,
        ))
    }

    fn connect(&self, to: SocketAddr, socket_owner: SocketOwner) -> io::Result<VirtualStream> {
        let owner = ConnectionOwner::Server(self.slot, socket_owner).encode();
        let end = self.net.borrow_mut().connect(to, self.process, owner)?;
        Ok(VirtualStream {
            net: Rc::clone(&self.net),
            end,
        })
    }

    fn open_result_persistence(
        &self,
        _folder: PathBuf,
        _seed: u64,
        _lasting: bool,
    ) -> io::Result<VirtualResultPersistence> {
        let mut net = self.net.borrow_mut();
        let at = net.now + 3_000;
        let mut persistence = self.persistence.borrow_mut();
        persistence.unlock();
        (persistence.scheduled, persistence.closed, persistence.store) =
            (true, false, ResultStore::default());
        net.queue
            .push(at, Event::ResultPersistence(self.matcher, self.incarnation));
        drop(net);
        Ok(VirtualResultPersistence { host: self.clone() })
    }
}

/// Full readiness: an end may have become readable, writable or broken, so both directions are
/// tried.
pub const ALL_READY: Readiness = Readiness {
    readable: true,
    writable: true,
};
