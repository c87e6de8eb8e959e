//! The two processes of an upgrade, referred to by descriptors, which never denote another process
//! whose id is the same.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

/// A process that may be no child of this program.
pub struct ProcessDescriptor {
    /// The id of the process.
    pub pid: u32,
    descriptor: OwnedFd,
}

/// Whether a signal has reached its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalOutcome {
    /// The process runs and gets the signal.
    Sent,
    /// The process had exited.
    AlreadyExited,
}

impl ProcessDescriptor {
    /// Opens the process that has this id now.
    ///
    /// # Errors
    /// There is no such process, or no descriptor is left.
    pub fn open(pid: u32) -> io::Result<Self> {
        let raw_pid = i32::try_from(pid)
            .ok()
            .and_then(Pid::from_raw)
            .ok_or(io::ErrorKind::InvalidInput)?;
        let descriptor = pidfd_open(raw_pid, PidfdFlags::empty())?;
        Ok(Self { pid, descriptor })
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The system rejects the signal; a process that has exited is no error.
    pub fn send_signal(&self, signal: Signal) -> io::Result<SignalOutcome> {
        match pidfd_send_signal(&self.descriptor, signal) {
            Ok(()) => Ok(SignalOutcome::Sent),
            Err(rustix::io::Errno::SRCH) => Ok(SignalOutcome::AlreadyExited),
            Err(error) => Err(error.into()),
        }
    }

    /// Waits for the exit of the process, and returns whether it exits within the timeout.
    ///
    /// # Errors
    /// Waiting fails: this does not tell whether the process has exited.
    pub fn wait_for_exit(&self, timeout: Duration) -> io::Result<bool> {
        let deadline = Instant::now() + timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let poll_timeout = Timespec {
                tv_sec: remaining.as_secs() as i64,
                tv_nsec: i64::from(remaining.subsec_nanos()),
            };
            let mut descriptors = [PollFd::from_borrowed_fd(
                self.descriptor.as_fd(),
                PollFlags::IN,
            )];
            match poll(&mut descriptors, Some(&poll_timeout)) {
                Ok(ready_count) => return Ok(ready_count > 0),
                Err(rustix::io::Errno::INTR) => {}
                Err(error) => return Err(error.into()),
            }
        }
    }
}
