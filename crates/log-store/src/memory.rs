//! A folder in memory that can fail and crash like a disk: for tests, and for a virtual world.
//!
//! What was written and not synced is kept, lost or torn at a crash, each write by itself and in any order, as a seed
//! picks; the same holds for names that were created, renamed or removed since the folder was last synced.

use crate::files::{Files, Handle, SyncTask};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Debug, Clone)]
enum Change {
    Write(usize, Vec<u8>),
    Cut(usize),
}

#[derive(Debug, Clone, Default)]
struct Inode {
    /// What a reader sees.
    data: Vec<u8>,
    /// What the last sync made durable.
    durable: Vec<u8>,
    unsynced: Vec<Change>,
    /// A sync failed: what was unsynced then never becomes durable.
    dropped: bool,
}

#[derive(Debug, Clone)]
enum Naming {
    Bind(String, u64),
    Unbind(String),
    Rename(String, String, u64),
}

/// Which operation fails, counted from 0, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// This operation and all after it do nothing: the machine has crashed.
    Crash(u64),
    /// This operation fails once.
    Fail(u64),
    /// If this operation is a write, only half of it is taken, without an error.
    Short(u64),
    /// From this operation on, files together may hold so many bytes.
    Full(u64, usize),
}

#[derive(Debug, Default)]
struct Disk {
    inodes: BTreeMap<u64, Inode>,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    pending: Vec<Naming>,
    handles: HashMap<Handle, u64>,
    next_inode: u64,
    next_handle: u32,
    operations: u64,
    faults: Vec<Fault>,
    crashed: bool,
    locked: bool,
}

/// The folder; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Memory(Arc<Mutex<Disk>>);

impl Disk {
    /// Counts an operation that changes something; an error where it is to fail.
    fn step(&mut self) -> io::Result<bool> {
        let number = self.operations;
        self.operations += 1;
        let mut short = false;
        for fault in &self.faults {
            match *fault {
                Fault::Crash(at) if number >= at => self.crashed = true,
                Fault::Fail(at) if number == at => return Err(io::Error::other("injected fault")),
                Fault::Short(at) if number == at => short = true,
                _ => {}
            }
        }
        if self.crashed {
            return Err(io::Error::other("crashed"));
        }
        Ok(short)
    }

    fn room(&self) -> Option<usize> {
        let limit = self.faults.iter().find_map(|fault| match *fault {
            Fault::Full(at, most) if self.operations > at => Some(most),
            _ => None,
        })?;
        Some(limit.saturating_sub(self.inodes.values().map(|inode| inode.data.len()).sum()))
    }

    fn inode(&self, file: Handle) -> io::Result<u64> {
        self.handles
            .get(&file)
            .copied()
            .ok_or_else(|| io::Error::other("a handle that was closed"))
    }

    fn at(&mut self, file: Handle) -> io::Result<&mut Inode> {
        let inode = self.inode(file)?;
        self.inodes
            .get_mut(&inode)
            .ok_or_else(|| io::Error::other("no such inode"))
    }

    fn handle(&mut self, inode: u64) -> Handle {
        let handle = Handle(self.next_handle);
        self.next_handle += 1;
        self.handles.insert(handle, inode);
        handle
    }
}

impl Memory {
    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Operations that changed something so far.
    #[must_use]
    pub fn operations(&self) -> u64 {
        self.disk().operations
    }

    /// Sets what is to fail, counted from here on.
    pub fn set_faults(&self, faults: &[Fault]) {
        let mut disk = self.disk();
        disk.operations = 0;
        disk.faults = faults.to_vec();
    }

    /// Lets another open it, as where whoever had it has closed it.
    pub fn release(&self) {
        self.disk().locked = false;
    }

    /// What is there after a crash now, as the seed picks. The folder itself is of no use any more.
    #[must_use]
    pub fn crash(&self, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let disk = self.disk();
        let mut names = disk.durable_names.clone();
        for naming in &disk.pending {
            if random.random() {
                apply(&mut names, naming);
            }
        }
        let mut inodes = BTreeMap::new();
        for (number, inode) in &disk.inodes {
            let mut data = inode.durable.clone();
            for change in &inode.unsynced {
                match change {
                    Change::Cut(size) => {
                        if random.random() {
                            data.truncate(*size);
                        }
                    }
                    Change::Write(offset, bytes) => {
                        let taken = match random.random_range(0..4) {
                            0 => 0,
                            1 => random.random_range(0..=bytes.len()),
                            _ => bytes.len(),
                        };
                        write(&mut data, *offset, &bytes[..taken]);
                    }
                }
            }
            inodes.insert(
                *number,
                Inode {
                    durable: data.clone(),
                    data,
                    ..Inode::default()
                },
            );
        }
        let after = Disk {
            inodes,
            durable_names: names.clone(),
            names,
            next_inode: disk.next_inode,
            ..Disk::default()
        };
        Self(Arc::new(Mutex::new(after)))
    }

    /// A copy in which all that was written is durable, as after a clean stop of the machine.
    #[must_use]
    pub fn copy(&self) -> Self {
        let disk = self.disk();
        let settled = |inode: &Inode| Inode {
            data: inode.data.clone(),
            durable: inode.data.clone(),
            ..Inode::default()
        };
        let after = Disk {
            inodes: disk
                .inodes
                .iter()
                .map(|(number, inode)| (*number, settled(inode)))
                .collect(),
            names: disk.names.clone(),
            durable_names: disk.names.clone(),
            next_inode: disk.next_inode,
            ..Disk::default()
        };
        Self(Arc::new(Mutex::new(after)))
    }

    /// The bytes of a file.
    #[must_use]
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let disk = self.disk();
        disk.names
            .get(name)
            .and_then(|inode| disk.inodes.get(inode))
            .map_or(Vec::new(), |inode| inode.data.clone())
    }

    /// Puts other bytes in the place of a file's, durable at once.
    pub fn set_bytes(&self, name: &str, bytes: Vec<u8>) {
        let mut disk = self.disk();
        let next = disk.next_inode;
        disk.next_inode += 1;
        disk.inodes.insert(
            next,
            Inode {
                durable: bytes.clone(),
                data: bytes,
                ..Inode::default()
            },
        );
        disk.names.insert(name.to_owned(), next);
        disk.durable_names.insert(name.to_owned(), next);
    }

    /// Names of all files.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.disk().names.keys().cloned().collect()
    }

    /// Bytes of all files.
    #[must_use]
    pub fn total(&self) -> u64 {
        let disk = self.disk();
        disk.names
            .values()
            .filter_map(|inode| disk.inodes.get(inode))
            .map(|inode| inode.data.len() as u64)
            .sum()
    }
}

fn apply(names: &mut BTreeMap<String, u64>, naming: &Naming) {
    match naming {
        Naming::Bind(name, inode) => {
            names.insert(name.clone(), *inode);
        }
        Naming::Unbind(name) => {
            names.remove(name);
        }
        Naming::Rename(from, to, inode) => {
            names.remove(from);
            names.insert(to.clone(), *inode);
        }
    }
}

fn write(data: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    if data.len() < offset + bytes.len() {
        // A hole that a lost write left reads as zeros.
        data.resize(offset + bytes.len(), 0);
    }
    data[offset..offset + bytes.len()].copy_from_slice(bytes);
}

fn sync(disk: &Mutex<Disk>, inode: u64) -> io::Result<()> {
    let mut disk = disk.lock().unwrap_or_else(PoisonError::into_inner);
    let failed = disk.step();
    let Some(inode) = disk.inodes.get_mut(&inode) else {
        return Err(io::Error::other("no such inode"));
    };
    if let Err(e) = failed {
        // The kernel marks the pages clean all the same: what was written is never durable.
        inode.dropped = true;
        return Err(e);
    }
    if !inode.dropped {
        for change in inode.unsynced.drain(..) {
            match change {
                Change::Write(offset, bytes) => write(&mut inode.durable, offset, &bytes),
                Change::Cut(size) => inode.durable.truncate(size),
            }
        }
    }
    Ok(())
}

impl Files for Memory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn create(&mut self, name: &str) -> io::Result<Handle> {
        let mut disk = self.disk();
        disk.step()?;
        if disk.names.contains_key(name) {
            return Err(io::Error::from(ErrorKind::AlreadyExists));
        }
        let inode = disk.next_inode;
        disk.next_inode += 1;
        disk.inodes.insert(inode, Inode::default());
        disk.names.insert(name.to_owned(), inode);
        disk.pending.push(Naming::Bind(name.to_owned(), inode));
        Ok(disk.handle(inode))
    }

    fn open(&mut self, name: &str) -> io::Result<Handle> {
        let mut disk = self.disk();
        if disk.crashed {
            return Err(io::Error::other("crashed"));
        }
        let inode = disk
            .names
            .get(name)
            .copied()
            .ok_or_else(|| io::Error::from(ErrorKind::NotFound))?;
        Ok(disk.handle(inode))
    }

    fn size(&self, file: Handle) -> io::Result<u64> {
        Ok(self.disk().at(file)?.data.len() as u64)
    }

    fn read_at(&self, file: Handle, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut disk = self.disk();
        if disk.crashed {
            return Err(io::Error::other("crashed"));
        }
        let data = &disk.at(file)?.data;
        let from = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(data.len());
        let size = buffer.len().min(data.len() - from);
        buffer[..size].copy_from_slice(&data[from..from + size]);
        Ok(size)
    }

    fn append(&mut self, file: Handle, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = self.disk();
        let short = disk.step()?;
        let mut taken = if short { bytes.len() / 2 } else { bytes.len() };
        if let Some(room) = disk.room() {
            // What was reserved is there already.
            let there = disk.at(file)?.data.len().saturating_sub(offset as usize);
            taken = taken.min(room + there);
            if taken == 0 && !bytes.is_empty() {
                return Err(io::Error::from(ErrorKind::StorageFull));
            }
        }
        let inode = disk.at(file)?;
        write(&mut inode.data, offset as usize, &bytes[..taken]);
        inode
            .unsynced
            .push(Change::Write(offset as usize, bytes[..taken].to_vec()));
        Ok(taken)
    }

    fn truncate(&mut self, file: Handle, size: u64) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        let inode = disk.at(file)?;
        inode.data.truncate(size as usize);
        inode.unsynced.push(Change::Cut(size as usize));
        Ok(())
    }

    fn reserve(&mut self, file: Handle, size: u64) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        let room = disk.room();
        let inode = disk.at(file)?;
        let more = (size as usize).saturating_sub(inode.data.len());
        if room.is_some_and(|room| room < more) {
            return Err(io::Error::from(ErrorKind::StorageFull));
        }
        if more > 0 {
            let begin = inode.data.len();
            inode.data.resize(begin + more, 0);
            inode.unsynced.push(Change::Write(begin, vec![0; more]));
        }
        Ok(())
    }

    fn sync_task(&mut self, file: Handle) -> io::Result<SyncTask> {
        let inode = self.disk().inode(file)?;
        let disk = Arc::clone(&self.0);
        Ok(Box::new(move || sync(&disk, inode)))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        disk.durable_names = disk.names.clone();
        disk.pending.clear();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        let inode = disk
            .names
            .remove(from)
            .ok_or_else(|| io::Error::from(ErrorKind::NotFound))?;
        disk.names.insert(to.to_owned(), inode);
        disk.pending
            .push(Naming::Rename(from.to_owned(), to.to_owned(), inode));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        disk.names
            .remove(name)
            .ok_or_else(|| io::Error::from(ErrorKind::NotFound))?;
        disk.pending.push(Naming::Unbind(name.to_owned()));
        Ok(())
    }

    fn close(&mut self, file: Handle) {
        self.disk().handles.remove(&file);
    }

    fn lock(&mut self) -> io::Result<bool> {
        Ok(!std::mem::replace(&mut self.disk().locked, true))
    }
}
