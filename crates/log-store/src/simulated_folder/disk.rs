//! The state of a simulated disk: files, their names, open handles and faults.

use super::fault::Fault;
use super::inode::Inode;
use crate::files::FileHandle;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::io;

/// A change of file names that was not synced yet.
#[derive(Debug, Clone)]
enum NameChange {
    Create {
        name: String,
        inode: u64,
    },
    Remove {
        name: String,
    },
    Rename {
        old_name: String,
        new_name: String,
        inode: u64,
    },
}

/// How much of a write the disk accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteExtent {
    Whole,
    Half,
}

/// The names of the files on a disk.
#[derive(Debug, Default)]
struct NameTable {
    /// What a reader sees.
    current: BTreeMap<String, u64>,
    /// What the last sync of the folder made durable.
    durable: BTreeMap<String, u64>,
    unsynced: Vec<NameChange>,
}

/// A simulated disk.
#[derive(Debug, Default)]
pub(super) struct Disk {
    inodes: BTreeMap<u64, Inode>,
    names: NameTable,
    handles: HashMap<FileHandle, u64>,
    next_inode: u64,
    next_handle: u32,
    operations: u64,
    faults: Vec<Fault>,
    has_crashed: bool,
    is_locked: bool,
}

impl Disk {
    /// Counts an operation that changes something.
    ///
    /// # Errors
    /// If a fault applies to this operation, or the machine has crashed.
    pub(super) fn begin_operation(&mut self) -> io::Result<WriteExtent> {
        let number = self.operations;
        self.operations += 1;
        let mut extent = WriteExtent::Whole;
        for fault in &self.faults {
            match *fault {
                Fault::CrashAt(first) if number >= first => self.has_crashed = true,
                Fault::FailOnce(failing) if number == failing => {
                    return Err(io::Error::other("injected fault"));
                }
                Fault::ShortWrite(short) if number == short => extent = WriteExtent::Half,
                _ => {}
            }
        }
        self.check_alive()?;
        Ok(extent)
    }

    /// Fails if the machine has crashed.
    pub(super) fn check_alive(&self) -> io::Result<()> {
        if self.has_crashed {
            return Err(io::Error::other("crashed"));
        }
        Ok(())
    }

    /// Number of operations since the faults were set.
    pub(super) fn operations(&self) -> u64 {
        self.operations
    }

    /// Sets the faults and begins to count operations anew.
    pub(super) fn set_faults(&mut self, faults: &[Fault]) {
        self.operations = 0;
        self.faults = faults.to_vec();
    }

    /// Bytes that can still be written, if that is limited.
    pub(super) fn free_bytes(&self) -> Option<usize> {
        let limit = self.faults.iter().find_map(|fault| match *fault {
            Fault::Full(first, limit) if self.operations > first => Some(limit),
            _ => None,
        })?;
        let used = self.inodes.values().map(|inode| inode.data().len()).sum();
        Some(limit.saturating_sub(used))
    }

    /// Takes the lock. Returns `false` if it is held already.
    pub(super) fn lock(&mut self) -> bool {
        !std::mem::replace(&mut self.is_locked, true)
    }

    pub(super) fn unlock(&mut self) {
        self.is_locked = false;
    }

    pub(super) fn open_handle(&mut self, inode: u64) -> FileHandle {
        let handle = FileHandle(self.next_handle);
        self.next_handle += 1;
        self.handles.insert(handle, inode);
        handle
    }

    pub(super) fn close_handle(&mut self, handle: FileHandle) {
        self.handles.remove(&handle);
    }

    /// Number of the file that a handle is open on.
    pub(super) fn inode_number(&self, handle: FileHandle) -> io::Result<u64> {
        self.handles
            .get(&handle)
            .copied()
            .ok_or_else(|| io::Error::other("the file handle is closed"))
    }

    pub(super) fn inode(&self, handle: FileHandle) -> io::Result<&Inode> {
        let number = self.inode_number(handle)?;
        self.inodes.get(&number).ok_or_else(no_such_inode)
    }

    pub(super) fn inode_mut(&mut self, handle: FileHandle) -> io::Result<&mut Inode> {
        let number = self.inode_number(handle)?;
        self.inodes.get_mut(&number).ok_or_else(no_such_inode)
    }

    /// Syncs a file, which counts as an operation.
    pub(super) fn sync_inode(&mut self, number: u64) -> io::Result<()> {
        let operation = self.begin_operation();
        let inode = self.inodes.get_mut(&number).ok_or_else(no_such_inode)?;
        if let Err(error) = operation {
            inode.fail_sync();
            return Err(error);
        }
        inode.sync();
        Ok(())
    }

    /// Number of the file with this name.
    pub(super) fn lookup(&self, name: &str) -> Option<u64> {
        self.names.current.get(name).copied()
    }

    /// The file with this name.
    pub(super) fn named_inode(&self, name: &str) -> Option<&Inode> {
        self.inodes.get(&self.lookup(name)?)
    }

    /// Names of all files.
    pub(super) fn file_names(&self) -> Vec<String> {
        self.names.current.keys().cloned().collect()
    }

    /// Size of all files that have a name, in bytes.
    pub(super) fn named_bytes(&self) -> u64 {
        let numbers = self.names.current.values();
        numbers
            .filter_map(|number| self.inodes.get(number))
            .map(|inode| inode.data().len() as u64)
            .sum()
    }

    /// Creates an empty file and returns its number.
    pub(super) fn create_file(&mut self, name: &str) -> u64 {
        let inode = self.add_inode(Inode::default());
        self.names.current.insert(name.to_owned(), inode);
        self.names.unsynced.push(NameChange::Create {
            name: name.to_owned(),
            inode,
        });
        inode
    }

    /// Renames a file. Returns `false` if there is none with the old name.
    pub(super) fn rename_file(&mut self, old_name: &str, new_name: &str) -> bool {
        let Some(inode) = self.names.current.remove(old_name) else {
            return false;
        };
        self.names.current.insert(new_name.to_owned(), inode);
        self.names.unsynced.push(NameChange::Rename {
            old_name: old_name.to_owned(),
            new_name: new_name.to_owned(),
            inode,
        });
        true
    }

    /// Removes a file. Returns `false` if there is none with this name.
    pub(super) fn remove_file(&mut self, name: &str) -> bool {
        if self.names.current.remove(name).is_none() {
            return false;
        }
        self.names.unsynced.push(NameChange::Remove {
            name: name.to_owned(),
        });
        true
    }

    /// Makes all changes of names durable.
    pub(super) fn sync_names(&mut self) {
        self.names.durable = self.names.current.clone();
        self.names.unsynced.clear();
    }

    /// Puts a file with this content, which is durable at once, in place of the one with this name.
    pub(super) fn put_durable_file(&mut self, name: &str, bytes: Vec<u8>) {
        let inode = self.add_inode(Inode::durable(bytes));
        self.names.current.insert(name.to_owned(), inode);
        self.names.durable.insert(name.to_owned(), inode);
    }

    fn add_inode(&mut self, inode: Inode) -> u64 {
        let number = self.next_inode;
        self.next_inode += 1;
        self.inodes.insert(number, inode);
        number
    }

    /// The disk after a crash. The seed determines which unsynced changes survive.
    pub(super) fn after_crash(&self, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut names = self.names.durable.clone();
        for change in &self.names.unsynced {
            if random.random() {
                apply_name_change(&mut names, change);
            }
        }
        let inodes = self
            .inodes
            .iter()
            .map(|(number, inode)| (*number, inode.after_crash(&mut random)))
            .collect();
        self.successor(inodes, names)
    }

    /// The disk after the machine was stopped cleanly: everything is durable.
    pub(super) fn after_clean_stop(&self) -> Self {
        let durable_inode = |inode: &Inode| Inode::durable(inode.data().to_vec());
        let inodes = self
            .inodes
            .iter()
            .map(|(number, inode)| (*number, durable_inode(inode)))
            .collect();
        self.successor(inodes, self.names.current.clone())
    }

    /// A disk with these durable files, without handles, faults and lock.
    fn successor(&self, inodes: BTreeMap<u64, Inode>, names: BTreeMap<String, u64>) -> Self {
        Self {
            inodes,
            names: NameTable {
                current: names.clone(),
                durable: names,
                unsynced: Vec::new(),
            },
            next_inode: self.next_inode,
            ..Self::default()
        }
    }
}

fn apply_name_change(names: &mut BTreeMap<String, u64>, change: &NameChange) {
    match change {
        NameChange::Create { name, inode } => {
            names.insert(name.clone(), *inode);
        }
        NameChange::Remove { name } => {
            names.remove(name);
        }
        NameChange::Rename {
            old_name,
            new_name,
            inode,
        } => {
            names.remove(old_name);
            names.insert(new_name.clone(), *inode);
        }
    }
}

fn no_such_inode() -> io::Error {
    io::Error::other("no such inode")
}
