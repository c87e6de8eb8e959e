//! The simulated folder: the file system interface on a simulated disk.

use super::disk::{Disk, WriteExtent};
use super::fault::Fault;
use crate::files::{FileHandle, FileSystem, SyncTask};
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A simulated folder in memory. Clones share the same disk.
#[derive(Debug, Clone, Default)]
pub struct SimulatedFolder {
    disk: Arc<Mutex<Disk>>,
}

impl SimulatedFolder {
    fn new(disk: Disk) -> Self {
        Self {
            disk: Arc::new(Mutex::new(disk)),
        }
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        lock_disk(&self.disk)
    }

    /// Number of operations that changed something since the faults were last set, or since the
    /// folder was created.
    #[must_use]
    pub fn operation_count(&self) -> u64 {
        self.disk().operations()
    }

    /// Sets the faults, which replace all earlier ones. Their operations are counted from here on.
    pub fn set_faults(&self, faults: &[Fault]) {
        self.disk().set_faults(faults);
    }

    /// Releases the folder's lock, as if the process that held it had ended.
    pub fn release_lock(&self) {
        self.disk().unlock();
    }

    /// The folder after a crash at this moment. The seed determines which unsynced changes survive.
    /// The folder itself should not be used any more.
    #[must_use]
    pub fn after_crash(&self, seed: u64) -> Self {
        Self::new(self.disk().after_crash(seed))
    }

    /// A copy in which everything that was written is durable, as after a clean stop of the
    /// machine.
    #[must_use]
    pub fn durable_copy(&self) -> Self {
        Self::new(self.disk().after_clean_stop())
    }

    /// The content of a file; empty if there is none with this name.
    #[must_use]
    pub fn file_bytes(&self, name: &str) -> Vec<u8> {
        let disk = self.disk();
        let inode = disk.named_inode(name);
        inode.map_or(Vec::new(), |inode| inode.data().to_vec())
    }

    /// Replaces or creates a file with this content, which is durable at once.
    pub fn put_file(&self, name: &str, bytes: Vec<u8>) {
        self.disk().put_durable_file(name, bytes);
    }

    /// The names of all files.
    #[must_use]
    pub fn file_names(&self) -> Vec<String> {
        self.disk().file_names()
    }

    /// Total size of all files in bytes.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.disk().named_bytes()
    }
}

fn lock_disk(disk: &Mutex<Disk>) -> MutexGuard<'_, Disk> {
    disk.lock().unwrap_or_else(PoisonError::into_inner)
}

fn not_found() -> io::Error {
    io::Error::from(ErrorKind::NotFound)
}

impl FileSystem for SimulatedFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.file_names())
    }

    fn create(&mut self, name: &str) -> io::Result<FileHandle> {
        let mut disk = self.disk();
        disk.begin_operation()?;
        if disk.lookup(name).is_some() {
            return Err(io::Error::from(ErrorKind::AlreadyExists));
        }
        let inode = disk.create_file(name);
        Ok(disk.open_handle(inode))
    }

    fn open(&mut self, name: &str) -> io::Result<FileHandle> {
        let mut disk = self.disk();
        disk.check_alive()?;
        let inode = disk.lookup(name).ok_or_else(not_found)?;
        Ok(disk.open_handle(inode))
    }

    fn size(&self, file: FileHandle) -> io::Result<u64> {
        Ok(self.disk().inode(file)?.data().len() as u64)
    }

    fn read_at(&self, file: FileHandle, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let disk = self.disk();
        disk.check_alive()?;
        let data = disk.inode(file)?.data();
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(data.len());
        let length = buffer.len().min(data.len() - start);
        buffer[..length].copy_from_slice(&data[start..start + length]);
        Ok(length)
    }

    fn append(&mut self, file: FileHandle, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = self.disk();
        let mut written = match disk.begin_operation()? {
            WriteExtent::Whole => bytes.len(),
            WriteExtent::Half => bytes.len() / 2,
        };
        if let Some(free) = disk.free_bytes() {
            // Space that was reserved is in use already and can be overwritten.
            let reserved = disk.inode(file)?.data().len();
            let available = free + reserved.saturating_sub(offset as usize);
            written = written.min(available);
            if written == 0 && !bytes.is_empty() {
                return Err(io::Error::from(ErrorKind::StorageFull));
            }
        }
        let inode = disk.inode_mut(file)?;
        inode.write(offset as usize, &bytes[..written]);
        Ok(written)
    }

    fn truncate(&mut self, file: FileHandle, size: u64) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin_operation()?;
        disk.inode_mut(file)?.truncate(size as usize);
        Ok(())
    }

    fn reserve(&mut self, file: FileHandle, size: u64) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin_operation()?;
        let free = disk.free_bytes();
        let inode = disk.inode_mut(file)?;
        let additional = (size as usize).saturating_sub(inode.data().len());
        if free.is_some_and(|free| free < additional) {
            return Err(io::Error::from(ErrorKind::StorageFull));
        }
        inode.extend(additional);
        Ok(())
    }

    fn sync_task(&mut self, file: FileHandle) -> io::Result<SyncTask> {
        let inode = self.disk().inode_number(file)?;
        let disk = Arc::clone(&self.disk);
        Ok(Box::new(move || lock_disk(&disk).sync_inode(inode)))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin_operation()?;
        disk.sync_names();
        Ok(())
    }

    fn rename(&mut self, old_name: &str, new_name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin_operation()?;
        if !disk.rename_file(old_name, new_name) {
            return Err(not_found());
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin_operation()?;
        if !disk.remove_file(name) {
            return Err(not_found());
        }
        Ok(())
    }

    fn close(&mut self, file: FileHandle) {
        self.disk().close_handle(file);
    }

    fn lock(&mut self) -> io::Result<bool> {
        Ok(self.disk().lock())
    }
}
