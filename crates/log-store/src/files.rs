//! The interface to the file system, and its implementation on a real folder.
//!
//! The store uses files only through [`FileSystem`], so that tests can put a failing disk under it.

use std::collections::HashMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// An open file, identified by a number that its [`FileSystem`] assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FileHandle(pub u32);

/// Makes the data of a file durable. It may run on another thread.
pub type SyncTask = Box<dyn FnOnce() -> io::Result<()> + Send>;

/// A folder without subfolders. Files are read at any offset and written at their end.
pub trait FileSystem {
    /// Lists the names of all files, in any order.
    ///
    /// # Errors
    /// If the file system fails.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Creates an empty file.
    ///
    /// # Errors
    /// If a file with this name exists, or if the file system fails.
    fn create(&mut self, name: &str) -> io::Result<FileHandle>;

    /// Opens an existing file.
    ///
    /// # Errors
    /// If there is no file with this name, or if the file system fails.
    fn open(&mut self, name: &str) -> io::Result<FileHandle>;

    /// Size of a file in bytes.
    ///
    /// # Errors
    /// If the file system fails.
    fn size(&self, file: FileHandle) -> io::Result<u64>;

    /// Reads at `offset` until `buffer` is full or the file ends. Returns the number of bytes read.
    ///
    /// # Errors
    /// If the file system fails.
    fn read_at(&self, file: FileHandle, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes at `offset`, which is the end of what was written before. Returns the number of bytes
    /// written, which may be fewer than there are.
    ///
    /// # Errors
    /// If the file system fails; some bytes may have been written then.
    fn append(&mut self, file: FileHandle, offset: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Truncates a file to `size` bytes.
    ///
    /// # Errors
    /// If the file system fails.
    fn truncate(&mut self, file: FileHandle, size: u64) -> io::Result<()>;

    /// Extends a file with zeros to `size` bytes if it is shorter. Writing below that later does
    /// not change the file's size, which makes syncing cheaper.
    ///
    /// # Errors
    /// If the file system fails; the file is unchanged then.
    fn reserve(&mut self, file: FileHandle, size: u64) -> io::Result<()>;

    /// A task that makes everything written to a file so far durable.
    ///
    /// # Errors
    /// If the file system fails.
    fn sync_task(&mut self, file: FileHandle) -> io::Result<SyncTask>;

    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    /// If the file system fails.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Renames a file. Replaces a file that has the new name.
    ///
    /// # Errors
    /// If the file system fails.
    fn rename(&mut self, old_name: &str, new_name: &str) -> io::Result<()>;

    /// Removes a file. Open handles to it can still be read from.
    ///
    /// # Errors
    /// If the file system fails.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Closes a handle.
    fn close(&mut self, file: FileHandle);

    /// Locks the folder for writing. Returns `false` if another process holds the lock.
    ///
    /// # Errors
    /// If the file system fails.
    fn lock(&mut self) -> io::Result<bool>;

    /// Makes everything written to a file so far durable, and blocks until it is.
    ///
    /// # Errors
    /// If the file system fails.
    fn sync(&mut self, file: FileHandle) -> io::Result<()> {
        self.sync_task(file)?()
    }
}

/// Name of the file whose lock excludes other writers.
pub const LOCK_FILE_NAME: &str = "lock";

/// What the data of a folder has to survive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Durability {
    /// A crash of the host: syncs wait for the disk.
    Host,
    /// A crash of the process only: syncs do nothing.
    Process,
}

/// A folder of the operating system's file system. The lock is released when it is dropped.
#[derive(Debug)]
pub struct OsFolder {
    path: PathBuf,
    files: HashMap<FileHandle, File>,
    next_handle: u32,
    lock: Option<File>,
    durability: Durability,
}

impl OsFolder {
    /// A folder at `path`, which is created if it does not exist and `create` is set.
    ///
    /// # Errors
    /// If the folder does not exist or cannot be created. The error names the folder.
    pub fn new(path: impl Into<PathBuf>, create: bool) -> io::Result<Self> {
        let path = path.into();
        if create {
            std::fs::create_dir_all(&path).map_err(|error| with_path(&path, error))?;
        } else if !path.is_dir() {
            let error = io::Error::new(ErrorKind::NotFound, "no such folder");
            return Err(with_path(&path, error));
        }
        Ok(Self {
            path,
            files: HashMap::new(),
            next_handle: 0,
            lock: None,
            durability: Durability::Host,
        })
    }

    /// Makes the folder one whose data survives a crash of the process, but not of the host: syncs
    /// return at once.
    #[must_use]
    pub fn without_sync(self) -> Self {
        Self {
            durability: Durability::Process,
            ..self
        }
    }

    fn add_file(&mut self, file: File) -> FileHandle {
        let handle = FileHandle(self.next_handle);
        self.next_handle = self.next_handle.wrapping_add(1);
        self.files.insert(handle, file);
        handle
    }

    fn file(&self, handle: FileHandle) -> io::Result<&File> {
        self.files
            .get(&handle)
            .ok_or_else(|| io::Error::other("the file handle is closed"))
    }
}

/// Adds the path to an error's message.
fn with_path(path: &Path, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}

impl FileSystem for OsFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path).map_err(|error| with_path(&self.path, error))? {
            let entry = entry?;
            names.push(entry.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn create(&mut self, name: &str) -> io::Result<FileHandle> {
        let path = self.path.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&path);
        let file = file.map_err(|error| with_path(&path, error))?;
        Ok(self.add_file(file))
    }

    fn open(&mut self, name: &str) -> io::Result<FileHandle> {
        let path = self.path.join(name);
        // Without permission to write, the file can still be read.
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&path)
            .or_else(|_| File::open(&path));
        let file = file.map_err(|error| with_path(&path, error))?;
        Ok(self.add_file(file))
    }

    fn size(&self, file: FileHandle) -> io::Result<u64> {
        Ok(self.file(file)?.metadata()?.len())
    }

    fn read_at(&self, file: FileHandle, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let file = self.file(file)?;
        let mut read = 0;
        while read < buffer.len() {
            match file.read_at(&mut buffer[read..], offset + read as u64) {
                Ok(0) => break,
                Ok(length) => read += length,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(read)
    }

    fn append(&mut self, file: FileHandle, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.file(file)?.write_at(bytes, offset)
    }

    fn truncate(&mut self, file: FileHandle, size: u64) -> io::Result<()> {
        self.file(file)?.set_len(size)
    }

    fn reserve(&mut self, file: FileHandle, size: u64) -> io::Result<()> {
        let file = self.file(file)?;
        if file.metadata()?.len() < size {
            file.set_len(size)?;
        }
        Ok(())
    }

    fn sync_task(&mut self, file: FileHandle) -> io::Result<SyncTask> {
        if self.durability == Durability::Process {
            return Ok(Box::new(|| Ok(())));
        }
        let file = self.file(file)?.try_clone()?;
        Ok(Box::new(move || file.sync_data()))
    }

    fn sync(&mut self, file: FileHandle) -> io::Result<()> {
        if self.durability == Durability::Process {
            return Ok(());
        }
        self.file(file)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if self.durability == Durability::Process {
            return Ok(());
        }
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, old_name: &str, new_name: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(old_name), self.path.join(new_name))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn close(&mut self, file: FileHandle) {
        self.files.remove(&file);
    }

    fn lock(&mut self) -> io::Result<bool> {
        let path = self.path.join(LOCK_FILE_NAME);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path);
        let file = file.map_err(|error| with_path(&path, error))?;
        match file.try_lock() {
            Ok(()) => {
                self.lock = Some(file);
                Ok(true)
            }
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(with_path(&path, error)),
        }
    }
}
