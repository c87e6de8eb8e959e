//! The seam to the file system: one flat folder. The store reaches files through this trait only, so that a test can
//! put a failing disk under it.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// An open file, by a number of the folder's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Handle(pub u32);

/// Makes a file's data durable, perhaps on another thread.
pub type SyncTask = Box<dyn FnOnce() -> io::Result<()> + Send>;

/// A flat folder of files that are read anywhere and written at their end.
pub trait Files {
    /// Names of all files, in any order.
    ///
    /// # Errors
    /// Those of the system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Creates an empty file that is not there yet.
    ///
    /// # Errors
    /// Those of the system, also where it is there.
    fn create(&mut self, name: &str) -> io::Result<Handle>;

    /// Opens a file that is there.
    ///
    /// # Errors
    /// Those of the system.
    fn open(&mut self, name: &str) -> io::Result<Handle>;

    /// Bytes of a file.
    ///
    /// # Errors
    /// Those of the system.
    fn size(&self, file: Handle) -> io::Result<u64>;

    /// Reads from a place; fewer bytes than asked for only at the end of the file.
    ///
    /// # Errors
    /// Those of the system.
    fn read_at(&self, file: Handle, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes at this place, which is the end of the file; returns how many bytes were taken, perhaps not all.
    ///
    /// # Errors
    /// Those of the system; some bytes may have been written then.
    fn append(&mut self, file: Handle, offset: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Cuts a file.
    ///
    /// # Errors
    /// Those of the system.
    fn truncate(&mut self, file: Handle, size: u64) -> io::Result<()>;

    /// Extends a file with zeros to this size, if it is shorter: what is written there later changes no size any more.
    ///
    /// # Errors
    /// Those of the system; the file is as it was then.
    fn reserve(&mut self, file: Handle, size: u64) -> io::Result<()>;

    /// What makes all that was written to a file so far durable.
    ///
    /// # Errors
    /// Those of the system.
    fn sync_task(&mut self, file: Handle) -> io::Result<SyncTask>;

    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    /// Those of the system.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Renames a file, over one that has the name already.
    ///
    /// # Errors
    /// Those of the system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; a handle to it stays good for reading.
    ///
    /// # Errors
    /// Those of the system.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Closes a handle.
    fn close(&mut self, file: Handle);

    /// Takes the folder for its only writer; false where another has it.
    ///
    /// # Errors
    /// Those of the system.
    fn lock(&mut self) -> io::Result<bool>;

    /// Makes all that was written to a file so far durable, now.
    ///
    /// # Errors
    /// Those of the system.
    fn sync(&mut self, file: Handle) -> io::Result<()> {
        self.sync_task(file)?()
    }
}

/// The name of the file whose lock keeps others out.
pub const LOCK: &str = "lock";

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    files: HashMap<Handle, File>,
    next: u32,
    lock: Option<File>,
    lasting: bool,
}

impl Folder {
    /// A folder, created where it is not there and `create` says so.
    ///
    /// # Errors
    /// Those of the system, naming the folder.
    pub fn new(path: impl Into<PathBuf>, create: bool) -> io::Result<Self> {
        let path = path.into();
        if create {
            std::fs::create_dir_all(&path).map_err(|e| named(&path, e))?;
        } else if !path.is_dir() {
            return Err(named(
                &path,
                io::Error::new(ErrorKind::NotFound, "no such folder"),
            ));
        }
        Ok(Self {
            path,
            files: HashMap::new(),
            next: 0,
            lock: None,
            lasting: true,
        })
    }

    /// One that is to outlive its process and not its host: nothing is waited for to reach the disk.
    #[must_use]
    pub fn passing(self) -> Self {
        Self {
            lasting: false,
            ..self
        }
    }

    fn keep(&mut self, file: File) -> Handle {
        let handle = Handle(self.next);
        self.next = self.next.wrapping_add(1);
        self.files.insert(handle, file);
        handle
    }

    fn file(&self, handle: Handle) -> io::Result<&File> {
        self.files
            .get(&handle)
            .ok_or_else(|| io::Error::other("a handle that was closed"))
    }
}

fn named(path: &Path, e: io::Error) -> io::Error {
    io::Error::new(e.kind(), format!("{}: {e}", path.display()))
}

impl Files for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path).map_err(|e| named(&self.path, e))? {
            let entry = entry?;
            names.push(entry.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn create(&mut self, name: &str) -> io::Result<Handle> {
        let path = self.path.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&path);
        let file = file.map_err(|e| named(&path, e))?;
        Ok(self.keep(file))
    }

    fn open(&mut self, name: &str) -> io::Result<Handle> {
        let path = self.path.join(name);
        // One that may not be written can still be read.
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&path)
            .or_else(|_| File::open(&path));
        let file = file.map_err(|e| named(&path, e))?;
        Ok(self.keep(file))
    }

    fn size(&self, file: Handle) -> io::Result<u64> {
        Ok(self.file(file)?.metadata()?.len())
    }

    fn read_at(&self, file: Handle, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let file = self.file(file)?;
        let mut have = 0;
        while have < buffer.len() {
            match file.read_at(&mut buffer[have..], offset + have as u64) {
                Ok(0) => break,
                Ok(n) => have += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(have)
    }

    fn append(&mut self, file: Handle, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.file(file)?.write_at(bytes, offset)
    }

    fn truncate(&mut self, file: Handle, size: u64) -> io::Result<()> {
        self.file(file)?.set_len(size)
    }

    fn reserve(&mut self, file: Handle, size: u64) -> io::Result<()> {
        let file = self.file(file)?;
        if file.metadata()?.len() < size {
            file.set_len(size)?;
        }
        Ok(())
    }

    fn sync_task(&mut self, file: Handle) -> io::Result<SyncTask> {
        if !self.lasting {
            return Ok(Box::new(|| Ok(())));
        }
        let file = self.file(file)?.try_clone()?;
        Ok(Box::new(move || file.sync_data()))
    }

    fn sync(&mut self, file: Handle) -> io::Result<()> {
        if !self.lasting {
            return Ok(());
        }
        self.file(file)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        if !self.lasting {
            return Ok(());
        }
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn close(&mut self, file: Handle) {
        self.files.remove(&file);
    }

    fn lock(&mut self) -> io::Result<bool> {
        let path = self.path.join(LOCK);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path);
        let file = file.map_err(|e| named(&path, e))?;
        match file.try_lock() {
            Ok(()) => {
                self.lock = Some(file);
                Ok(true)
            }
            Err(std::fs::TryLockError::WouldBlock) => Ok(false),
            Err(std::fs::TryLockError::Error(e)) => Err(named(&path, e)),
        }
    }
}
