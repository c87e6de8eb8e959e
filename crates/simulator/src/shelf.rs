//! A matcher's book of earned standing in the virtual world, on a disk that outlives its processes.

use crate::host::{Event, Lock, Virtual};
use cleatpulley_connection_admission::reputation_database::{ReputationDatabase, StoredReputation};
use cleatpulley_log_store::simulated_folder::SimulatedFolder;
use cleatpulley_log_store::{Error, Options, Store};
use cleatpulley_policy::interface::Micros;
use cleatpulley_server::host::ReputationStorage;

/// A store that another process has open is tried again after this time.
const LOCKED: Micros = 50_000;
/// A store that failed is tried again after this time.
const RETRY: Micros = 500_000;

/// The book, as its host has it.
pub struct Shelf {
    lock: Lock,
    life: u64,
    disk: SimulatedFolder,
    book: Option<ReputationDatabase<SimulatedFolder>>,
    scheduled: bool,
    /// What it held, until the matcher is told.
    pub remembered: Vec<StoredReputation>,
}

impl Shelf {
    /// That of a process on this disk, which a process before may have left.
    #[must_use]
    pub fn new(disk: SimulatedFolder, lock: Lock, life: u64) -> Self {
        Self {
            lock,
            life,
            disk,
            book: None,
            scheduled: false,
            remembered: Vec::new(),
        }
    }

    /// Its process is gone: the system opens the lock.
    pub fn abandon(&self) {
        if self.lock.get() == Some(self.life) {
            self.lock.set(None);
        }
    }

    /// Does what there is to do; returns when it wants to go on.
    pub fn work(&mut self, now: Micros) -> Option<Micros> {
        self.scheduled = false;
        let book = self.book.as_mut()?;
        if !book.is_open() {
            let opened = if self.lock.get().is_some_and(|life| life != self.life) {
                Err(Error::Locked)
            } else {
                self.lock.set(Some(self.life));
                self.disk.release_lock();
                Store::open(
                    self.disk.clone(),
                    Options {
                        segment_bytes: 4_096,
                        ..Options::default()
                    },
                )
            };
            let locked = matches!(opened, Err(Error::Locked));
            self.remembered
                .extend(book.open(opened, now).unwrap_or_default());
            if !book.is_open() {
                self.scheduled = true;
                return Some(now + if locked { LOCKED } else { RETRY });
            }
        }
        book.flush(now);
        None
    }

    fn close(&mut self, now: Micros) {
        if let Some(mut book) = self.book.take() {
            book.close(now);
            self.abandon();
        }
    }
}

/// A matcher's access to it.
pub struct VirtualStandings {
    world: Virtual,
}

impl VirtualStandings {
    /// Opens it soon.
    #[must_use]
    pub fn new(world: &Virtual, most: usize) -> Self {
        world.shelf.borrow_mut().book = Some(ReputationDatabase::new(most));
        let new = Self {
            world: world.clone(),
        };
        new.soon();
        new
    }

    fn soon(&self) {
        if !std::mem::replace(&mut self.world.shelf.borrow_mut().scheduled, true) {
            let mut net = self.world.net.borrow_mut();
            let at = net.now + 2_000;
            net.queue
                .push(at, Event::Shelf(self.world.node, self.world.life));
        }
    }
}

impl ReputationStorage for VirtualStandings {
    fn write(&self, entries: Vec<StoredReputation>) {
        if let Some(book) = &mut self.world.shelf.borrow_mut().book {
            book.enqueue(entries);
        }
        self.soon();
    }

    fn release(&mut self) {
        let now = self.world.net.borrow().now;
        self.world.shelf.borrow_mut().close(now);
    }

    fn stop(mut self) {
        self.release();
    }
}
