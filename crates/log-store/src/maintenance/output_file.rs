//! A file that a job writes under a temporary name until it is complete.

use crate::engine::Engine;
use crate::error::Error;
use crate::files::{FileHandle, FileSystem};

/// A sync is due after this many bytes, so that each sync is short.
const SYNC_INTERVAL_BYTES: u64 = 262_144;

/// A file under a temporary name.
pub(super) struct OutputFile {
    pub handle: FileHandle,
    name: String,
    size: u64,
    synced_size: u64,
}

impl OutputFile {
    /// Creates the file.
    ///
    /// # Errors
    /// If the file system fails.
    pub(super) fn create<F: FileSystem>(
        engine: &mut Engine<F>,
        name: String,
    ) -> Result<Self, Error> {
        let handle = engine
            .files
            .create(&name)
            .map_err(Error::io(&name, "create"))?;
        Ok(Self {
            handle,
            name,
            size: 0,
            synced_size: 0,
        })
    }

    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Size of the file in bytes.
    pub(super) fn size(&self) -> u64 {
        self.size
    }

    pub(super) fn is_sync_due(&self) -> bool {
        self.size - self.synced_size >= SYNC_INTERVAL_BYTES
    }

    pub(super) fn is_synced(&self) -> bool {
        self.synced_size >= self.size
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// If the file system fails.
    pub(super) fn append<F: FileSystem>(
        &mut self,
        engine: &mut Engine<F>,
        bytes: &[u8],
    ) -> Result<(), Error> {
        engine.append_bytes(self.handle, &self.name, self.size, bytes)?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Makes the content of the file durable.
    ///
    /// # Errors
    /// If the file system fails.
    pub(super) fn sync<F: FileSystem>(&mut self, engine: &mut Engine<F>) -> Result<(), Error> {
        engine.stats.syncs += 1;
        engine
            .files
            .sync(self.handle)
            .map_err(Error::io(&self.name, "sync"))?;
        self.synced_size = self.size;
        Ok(())
    }

    /// Gives the file its final name. That is not durable before the folder is synced.
    ///
    /// # Errors
    /// If the file system fails.
    pub(super) fn rename<F: FileSystem>(
        &self,
        engine: &mut Engine<F>,
        final_name: &str,
    ) -> Result<(), Error> {
        engine
            .files
            .rename(&self.name, final_name)
            .map_err(Error::io(final_name, "rename"))
    }

    /// Closes and removes the file. A failure is ignored: the next opening removes unfinished
    /// files.
    pub(super) fn discard<F: FileSystem>(&self, engine: &mut Engine<F>) {
        engine.files.close(self.handle);
        let _ = engine.files.remove(&self.name);
    }
}
