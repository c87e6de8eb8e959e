//! Processes of instances. They run in process groups of their own, so that they outlive the daemon, and are referred to
//! by a pidfd, which keeps denoting the same process even if the kernel reuses its id.

use crate::instance_config::{Release, Slot};
use crate::plan::{ProcessExit, ProcessIdentity};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Errno;
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Handle of a running process of an instance.
pub struct ProcessHandle {
    /// Identity of the process.
    pub identity: ProcessIdentity,
    pidfd: OwnedFd,
    /// The child, if this daemon started the process itself.
    child: Option<Child>,
}

/// Parameters of a new instance process.
pub struct LaunchOptions<'a> {
    /// The instance's slot.
    pub slot: &'a Slot,
    /// The release to run.
    pub release: &'a Release,
    /// Path of the socket for status reports.
    pub status_socket: &'a Path,
    /// The instance's number.
    pub incarnation: u64,
    /// The token with which the instance proves its number.
    pub token: &'a str,
    /// Path of the instance's log.
    pub log_path: &'a Path,
    /// The listening socket shared by all instances, if there is one.
    pub listener: Option<OwnedFd>,
}

impl ProcessHandle {
    /// Starts a process.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub fn spawn(options: LaunchOptions<'_>) -> io::Result<Self> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(options.log_path)?;
        let mut command = Command::new(&options.release.program);
        command
            .arg("serve")
            .arg("--config")
            .arg(&options.slot.config);
        command
            .arg("--name")
            .arg(&options.slot.name)
            .arg("--listen")
            .arg(options.slot.listen.to_string());
        if let Some(operator) = &options.release.operator {
            let path = operator
                .to_string_lossy()
                .replace("{place}", &options.slot.name);
            command.arg("--operator").arg(path);
        }
        command.arg("--fleet-socket").arg(options.status_socket);
        command
            .arg("--fleet-instance")
            .arg(format!("{}:{}", options.incarnation, options.token));
        match options.listener {
            // Passed as standard input, so that the process inherits no other descriptors.
            Some(listener) => command
                .arg("--inherit-listener")
                .stdin(Stdio::from(listener)),
            None => command.stdin(Stdio::null()),
        };
        // In a process group of its own: signals from the daemon's terminal don't reach it.
        command
            .process_group(0)
            .stdout(log.try_clone()?)
            .stderr(log);
        let mut child = command.spawn()?;
        match Self::open_pidfd(child.id()) {
            Ok((identity, pidfd)) => Ok(Self {
                identity,
                pidfd,
                child: Some(child),
            }),
            Err(e) => {
                // Without a pidfd the process could not be supervised.
                let _ = child.kill();
                let _ = child.wait();
                Err(e)
            }
        }
    }

    /// Adopts a process that another daemon started. Returns `None` if it has ended or its id was reused.
    ///
    /// # Errors
    /// Errors of the operating system, such as a shortage of descriptors: the process may be running.
    pub fn adopt(identity: ProcessIdentity) -> io::Result<Option<Self>> {
        let (found, pidfd) = match Self::open_pidfd(identity.pid) {
            Ok(opened) => opened,
            Err(error) if is_process_missing(&error) => return Ok(None),
            Err(error) => return Err(error),
        };
        Ok((found == identity).then_some(Self {
            identity,
            pidfd,
            child: None,
        }))
    }

    /// Opens the process that has this id now.
    fn open_pidfd(pid: u32) -> io::Result<(ProcessIdentity, OwnedFd)> {
        let raw_pid = i32::try_from(pid)
            .ok()
            .and_then(Pid::from_raw)
            .ok_or(io::ErrorKind::InvalidInput)?;
        let pidfd = pidfd_open(raw_pid, PidfdFlags::empty())?;
        // Read after the pidfd is open: if the start time matches then, the id was not reused.
        let start_ticks = read_start_ticks(pid)?;
        Ok((ProcessIdentity { pid, start_ticks }, pidfd))
    }

    /// Returns the pidfd, which becomes readable when the process has ended.
    #[must_use]
    pub fn pidfd(&self) -> BorrowedFd<'_> {
        self.pidfd.as_fd()
    }

    /// Sends a signal. Errors are ignored: a process that has already ended is reported through its pidfd.
    pub fn signal(&self, signal: Signal) {
        let _ = pidfd_send_signal(&self.pidfd, signal);
    }

    /// Returns how the process ended, once its pidfd is readable.
    pub fn wait(&mut self) -> ProcessExit {
        let Some(child) = &mut self.child else {
            return ProcessExit::Unobserved;
        };
        match child.wait() {
            Ok(status) => match (status.code(), status.signal()) {
                (Some(0), _) => ProcessExit::Clean,
                (Some(code), _) => ProcessExit::Status(code),
                (None, Some(signal)) => ProcessExit::Signal(signal),
                (None, None) => ProcessExit::Unobserved,
            },
            Err(_) => ProcessExit::Unobserved,
        }
    }
}

/// Returns whether an error says that there is no process with an id.
fn is_process_missing(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::NotFound
        || error.raw_os_error() == Some(Errno::SRCH.raw_os_error())
}

/// Returns when the system started a process, in clock ticks since boot.
///
/// # Errors
/// There is no such process.
pub fn read_start_ticks(pid: u32) -> io::Result<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The process name before the last bracket may contain spaces and brackets.
    let fields = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace());
    let start_ticks = fields.and_then(|mut fields| fields.nth(19)?.parse().ok());
    start_ticks.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Returns the processes that have `argument` among their command line arguments.
///
/// # Errors
/// Errors of the operating system, such as a shortage of descriptors: there may be such a process.
pub fn find_by_argument(argument: &str) -> io::Result<Vec<ProcessIdentity>> {
    let mut processes = Vec::new();
    for entry in std::fs::read_dir("/proc")? {
        let name = entry?.file_name();
        let Some(pid) = name.to_str().and_then(|name| name.parse::<u32>().ok()) else {
            continue;
        };
        match find_argument(pid, argument) {
            Ok(found) => processes.extend(found),
            // It has ended in the meantime.
            Err(error) if is_process_missing(&error) => {}
            // It belongs to another user, so it is no instance.
            Err(error) if error.kind() == io::ErrorKind::PermissionDenied => {}
            Err(error) => return Err(error),
        }
    }
    Ok(processes)
}

/// Returns the identity of a process if it has `argument` among its command line arguments.
fn find_argument(pid: u32, argument: &str) -> io::Result<Option<ProcessIdentity>> {
    let command_line = std::fs::read(format!("/proc/{pid}/cmdline"))?;
    let has_argument = command_line
        .split(|byte| *byte == 0)
        .any(|word| word == argument.as_bytes());
    if !has_argument {
        return Ok(None);
    }
    let start_ticks = read_start_ticks(pid)?;
    Ok(Some(ProcessIdentity { pid, start_ticks }))
}

/// Returns a random secret.
///
/// # Errors
/// Errors of the operating system.
pub fn random_secret() -> io::Result<u64> {
    use std::io::Read;
    let mut bytes = [0; 8];
    File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(u64::from_le_bytes(bytes))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn does_not_adopt_a_process_that_ended_or_whose_id_was_reused() {
        let pid = std::process::id();
        let start_ticks = read_start_ticks(pid).expect("this process");
        let adopt = |identity| ProcessHandle::adopt(identity).expect("descriptors are left");
        assert!(adopt(ProcessIdentity { pid, start_ticks }).is_some());
        assert!(adopt(ProcessIdentity {
            pid,
            start_ticks: start_ticks - 1
        })
        .is_none());
        let mut child = Command::new("true").spawn().expect("a process");
        let ended = ProcessIdentity {
            pid: child.id(),
            start_ticks: read_start_ticks(child.id()).expect("it is there until it is waited for"),
        };
        child.wait().expect("it ends");
        assert!(adopt(ended).is_none());
    }
}
