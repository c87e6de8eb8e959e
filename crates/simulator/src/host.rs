//! Matchers' host in the virtual world: sockets of the virtual network, its clock, and a keeper whose disk is in memory.

use crate::hall::{Hall, VirtualPassage, VirtualPassed, VirtualPost};
use crate::net::{EndId, Net, NetEvent};
use crate::shelf::{Shelf, VirtualStandings};
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

/// What happens in the virtual world.
#[derive(Debug)]
pub enum Event {
    /// On the network.
    Net(NetEvent),
    /// A matcher of this life is to take a turn.
    Server(usize, u64),
    /// A service has something to do.
    Service(usize),
    /// A matcher's keeper of this life has something to do.
    ResultPersistence(usize, u64),
    /// Its book of earned standing has.
    Shelf(usize, u64),
    /// A fault begins.
    Fault(usize),
    /// A fault ends.
    Undo(usize),
    /// A replaced matcher comes back.
    Revive(usize, u64),
    /// Somebody has come to a matcher's process, or something was said to it, on their way to take a place.
    HandoverChannel(usize, u64),
    /// A process is looked after that is to take another's place.
    Rollout(usize),
    /// Operators ask.
    Inspect,
}

/// The network, shared by all who are on it.
pub type Shared = Rc<RefCell<Net<Event>>>;

/// Who owns an end of a connection.
#[derive(Debug, Clone, Copy)]
pub enum Owner {
    /// The party of a matcher's process, by its slot.
    Server(usize, SocketOwner),
    /// A link of a service.
    Service(usize, u64),
}

const NUMBER: u64 = (1 << 48) - 1;
/// A store that another process has open is tried again after this time.
const LOCKED: Micros = 50_000;

impl Owner {
    /// As the network has it.
    #[must_use]
    pub fn encode(self) -> u64 {
        let (kind, index, number) = match self {
            Self::Server(node, SocketOwner::ClientConnection(number)) => (0, node, number),
            Self::Server(node, SocketOwner::Runtime) => (1, node, 0),
            Self::Server(node, SocketOwner::Dependency(number)) => (2, node, number),
            Self::Server(node, SocketOwner::Registry(number)) => (3, node, number),
            Self::Server(node, SocketOwner::GatewayTarget(number)) => (5, node, number),
            Self::Server(node, SocketOwner::Predecessor) => (7, node, 0),
            Self::Server(node, SocketOwner::Successor) => (8, node, 0),
            Self::Server(node, SocketOwner::Management(number)) => (6, node, number),
            Self::Service(service, link) => (4, service, link),
        };
        kind << 56 | (index as u64) << 48 | number & NUMBER
    }

    /// From what the network has.
    #[must_use]
    pub fn decode(code: u64) -> Self {
        let (index, number) = ((code >> 48 & 0xFF) as usize, code & NUMBER);
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

/// Which process has a disk's store open, by its life.
pub type Lock = Rc<Cell<Option<u64>>>;

/// A matcher's keeper, as its host has it.
pub struct Desk {
    lock: Lock,
    life: u64,
    /// It has closed the store, and nothing more is asked of it.
    released: bool,
    /// What it has to do.
    pub jobs: VecDeque<PersistenceJob>,
    core: ResultStore<SimulatedFolder>,
    /// The disk; a crash leaves another.
    pub disk: SimulatedFolder,
    scheduled: bool,
    /// It does nothing before this time.
    pub stalled_until: Micros,
}

impl Desk {
    /// One of a process on this disk, which a process before may have left.
    #[must_use]
    pub fn new(disk: SimulatedFolder, lock: Lock, life: u64) -> Self {
        let (jobs, core) = (VecDeque::new(), ResultStore::default());
        Self {
            lock,
            life,
            released: false,
            jobs,
            core,
            disk,
            scheduled: false,
            stalled_until: 0,
        }
    }

    /// Its process is gone: the system opens the lock.
    pub fn abandon(&self) {
        if self.lock.get() == Some(self.life) {
            self.lock.set(None);
        }
    }

    /// Does what there is to do and closes the store.
    pub fn close(&mut self, now: Micros) {
        // A disk that stands still is waited for there, as the keeper's thread does, and nothing is left for the next.
        self.stalled_until = self.stalled_until.min(now);
        self.work(now, &mut Vec::new());
        self.jobs.clear();
        self.core.close();
        self.abandon();
        self.released = true;
    }

    /// Does what there is to do; returns when it wants to go on.
    pub fn work(&mut self, now: Micros, facts: &mut Vec<DispatcherEvent>) -> Option<Micros> {
        self.scheduled = false;
        if self.released {
            return None;
        }
        if now < self.stalled_until {
            self.scheduled = true;
            return Some(self.stalled_until);
        }
        if !self.core.is_open() {
            let taken = self.lock.get().is_some_and(|life| life != self.life);
            if taken && !is_bug_injected(InjectedBug::LockIgnored) {
                self.core.open(Err(Error::Locked), facts);
                self.scheduled = true;
                return Some(now + LOCKED);
            }
            self.lock.set(Some(self.life));
            self.disk.release_lock();
            let options = Options {
                segment_bytes: 16_384,
                ..Options::default()
            };
            let opened = Journal::open(self.disk.clone(), options, now);
            self.core.open(opened, facts);
        }
        self.core.execute(&mut self.jobs.drain(..), facts);
        self.core.sync(facts);
        self.core.maintain(now, 4_096, facts);
        if self.core.is_open() {
            return None;
        }
        self.scheduled = true;
        Some(now + 500_000)
    }
}

/// The virtual world, as one matcher sees it.
#[derive(Clone)]
pub struct Virtual {
    /// The network.
    pub net: Shared,
    /// Which matcher it is.
    pub node: usize,
    /// Its life.
    pub life: u64,
    /// Its number among all processes that are there at a time.
    pub slot: usize,
    /// Where the machine's processes meet.
    pub hall: Rc<RefCell<Hall>>,
    /// Its process, for descriptors.
    pub process: usize,
    /// Its keeper.
    pub desk: Rc<RefCell<Desk>>,
    /// Its book of earned standing.
    pub shelf: Rc<RefCell<Shelf>>,
}

/// A connection.
pub struct VirtualStream {
    net: Shared,
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
        self.net.borrow_mut().finish(self.end);
    }

    fn take_error(&self) -> io::Result<()> {
        self.net.borrow_mut().check(self.end)
    }
}

/// A listening socket.
pub struct VirtualListener {
    net: Shared,
    address: SocketAddr,
    number: u64,
    process: usize,
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        self.net
            .borrow_mut()
            .close_door(self.address, self.number, self.process);
    }
}

/// A descriptor that is kept for later.
pub struct VirtualSpare {
    net: Shared,
    process: usize,
}

impl Drop for VirtualSpare {
    fn drop(&mut self) {
        self.net.borrow_mut().let_go(self.process);
    }
}

impl VirtualListener {
    pub(crate) fn new(net: Shared, address: SocketAddr, number: u64, process: usize) -> Self {
        Self {
            net,
            address,
            number,
            process,
        }
    }

    /// Where it listens, and its number there.
    pub(crate) fn at(&self) -> (SocketAddr, u64) {
        (self.address, self.number)
    }
}

/// A matcher's access to its keeper.
pub struct VirtualKeeper {
    world: Virtual,
}

impl VirtualKeeper {
    fn push(&self, job: PersistenceJob) {
        let mut desk = self.world.desk.borrow_mut();
        // Nobody takes what is asked of a keeper that was let go, also not the next one.
        if desk.released {
            return;
        }
        desk.jobs.push_back(job);
        if !std::mem::replace(&mut desk.scheduled, true) {
            let mut net = self.world.net.borrow_mut();
            // A sync takes its time, and what comes meanwhile shares the next.
            let at = net.now + 700 + (net.now / 7) % 900;
            net.queue.push(
                at,
                Event::ResultPersistence(self.world.node, self.world.life),
            );
        }
    }
}

impl ResultPersistence for VirtualKeeper {
    fn write(&mut self, effect: KeyCommand) {
        self.push(PersistenceJob::Write(effect));
    }

    fn load_result(&mut self, now: Micros, id: RequestId, number: u64, key: ScopedKey) {
        self.push(PersistenceJob::LoadResult(now, id, number, key));
    }

    fn release(&mut self) {
        let now = self.world.net.borrow().now;
        self.world.desk.borrow_mut().close(now);
    }

    fn stop(self) {
        let now = self.world.net.borrow().now;
        self.world.desk.borrow_mut().work(now, &mut Vec::new());
    }
}

impl Host for Virtual {
    type Stream = VirtualStream;
    type Listener = VirtualListener;
    type ResultPersistence = VirtualKeeper;
    type SuccessorListener = VirtualPost;
    type ReservedDescriptor = VirtualSpare;
    type ReputationStorage = VirtualStandings;
    type HandoverChannel = VirtualPassage;

    fn reserve_descriptor(&self) -> io::Result<VirtualSpare> {
        self.net.borrow_mut().hold(self.process)?;
        Ok(VirtualSpare {
            net: Rc::clone(&self.net),
            process: self.process,
        })
    }

    fn open_reputation_storage(&self, _: PathBuf, most: usize) -> io::Result<VirtualStandings> {
        Ok(VirtualStandings::new(self, most))
    }

    fn is_address_in_use(&self, address: SocketAddr) -> bool {
        self.net.borrow().listeners(address) > 0
    }

    fn adopt_listener(
        &self,
        passed: VirtualPassed,
        address: SocketAddr,
        _: usize,
    ) -> io::Result<VirtualListener> {
        passed.take_up(address, self.process)
    }

    fn listen_for_successors(&self, _: &HandoverAddress, _: usize) -> io::Result<VirtualPost> {
        VirtualPost::new(self)
    }

    fn accept_successor(&self, post: &VirtualPost, _: SocketOwner) -> io::Result<VirtualPassage> {
        post.welcome(self)
    }

    fn connect_to_predecessor(
        &self,
        _: &HandoverAddress,
        _: SocketOwner,
    ) -> io::Result<VirtualPassage> {
        VirtualPassage::visit(self)
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
        party: SocketOwner,
    ) -> io::Result<(VirtualStream, IpAddr)> {
        let mut net = self.net.borrow_mut();
        let owner = Owner::Server(self.slot, party).encode();
        let end = net.accept_at(listener.address, listener.number, self.process, owner)?;
        let address = net.address_of(end);
        Ok((
            VirtualStream {
                net: Rc::clone(&self.net),
                end,
            },
            address,
        ))
    }

    fn connect(&self, to: SocketAddr, party: SocketOwner) -> io::Result<VirtualStream> {
        let owner = Owner::Server(self.slot, party).encode();
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
    ) -> io::Result<VirtualKeeper> {
        let mut net = self.net.borrow_mut();
        let at = net.now + 3_000;
        let mut desk = self.desk.borrow_mut();
        desk.abandon();
        (desk.scheduled, desk.released, desk.core) = (true, false, ResultStore::default());
        net.queue
            .push(at, Event::ResultPersistence(self.node, self.life));
        drop(net);
        Ok(VirtualKeeper {
            world: self.clone(),
        })
    }
}

/// Both ways are worth a try: an end may have become readable, writable or broken.
pub const READY: Readiness = Readiness {
    readable: true,
    writable: true,
};
