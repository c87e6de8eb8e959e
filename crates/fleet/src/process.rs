//! Processes of the system: started apart from the daemon's own, so that they outlive it, and known by a descriptor that
//! means this process and no other that gets its number later.

use crate::instance_config::{Release, Slot};
use crate::plan::{Exit, Process};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A process that runs for an instance.
pub struct Running {
    /// Which.
    pub process: Process,
    descriptor: OwnedFd,
    /// Where this daemon has started it itself.
    child: Option<Child>,
}

/// What an instance is told when it is started.
pub struct Start<'a> {
    /// Its place.
    pub place: &'a Slot,
    /// What it runs.
    pub release: &'a Release,
    /// Where it tells how it is.
    pub socket: &'a Path,
    /// Its number.
    pub incarnation: u64,
    /// What proves it.
    pub token: &'a str,
    /// Where its log goes.
    pub log: &'a Path,
    /// The listening socket that it shares with others, where there is one.
    pub listener: Option<OwnedFd>,
}

impl Running {
    /// Starts a process.
    ///
    /// # Errors
    /// The system's.
    pub fn start(start: Start<'_>) -> io::Result<Self> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(start.log)?;
        let mut command = Command::new(&start.release.program);
        command
            .arg("serve")
            .arg("--config")
            .arg(&start.place.config);
        command
            .arg("--name")
            .arg(&start.place.name)
            .arg("--listen")
            .arg(start.place.listen.to_string());
        if let Some(operator) = &start.release.operator {
            let path = operator
                .to_string_lossy()
                .replace("{place}", &start.place.name);
            command.arg("--operator").arg(path);
        }
        command.arg("--fleet-socket").arg(start.socket);
        command
            .arg("--fleet-instance")
            .arg(format!("{}:{}", start.incarnation, start.token));
        // What a terminal sends to the daemon is not for them.
        match start.listener {
            // Handed over as standard input: no process gets more descriptors than those it is told of.
            Some(listener) => command
                .arg("--inherit-listener")
                .stdin(Stdio::from(listener)),
            None => command.stdin(Stdio::null()),
        };
        command
            .process_group(0)
            .stdout(log.try_clone()?)
            .stderr(log);
        let mut child = command.spawn()?;
        match Self::open(child.id()) {
            Ok((process, descriptor)) => Ok(Self {
                process,
                descriptor,
                child: Some(child),
            }),
            Err(e) => {
                // Guards against a process that nobody would watch.
                let _ = child.kill();
                let _ = child.wait();
                Err(e)
            }
        }
    }

    /// Takes up a process that another daemon has started. None where it is gone, or its number belongs to another.
    #[must_use]
    pub fn adopt(process: Process) -> Option<Self> {
        let (found, descriptor) = Self::open(process.pid).ok()?;
        (found == process).then_some(Self {
            process,
            descriptor,
            child: None,
        })
    }

    /// The process with this number now.
    fn open(pid: u32) -> io::Result<(Process, OwnedFd)> {
        let number = i32::try_from(pid)
            .ok()
            .and_then(Pid::from_raw)
            .ok_or(io::ErrorKind::InvalidInput)?;
        let descriptor = pidfd_open(number, PidfdFlags::empty())?;
        // Read after the descriptor is open: as long as the two agree nobody else can have the number.
        let start = started(pid)?;
        Ok((Process { pid, start }, descriptor))
    }

    /// Becomes readable when the process has ended.
    #[must_use]
    pub fn descriptor(&self) -> BorrowedFd<'_> {
        self.descriptor.as_fd()
    }

    /// Sends a signal; one that has ended already is no failure, its end is told elsewhere.
    pub fn signal(&self, signal: Signal) {
        let _ = pidfd_send_signal(&self.descriptor, signal);
    }

    /// How it ended, once its descriptor is readable.
    pub fn ended(&mut self) -> Exit {
        let Some(child) = &mut self.child else {
            return Exit::Unseen;
        };
        match child.wait() {
            Ok(status) => match (status.code(), status.signal()) {
                (Some(0), _) => Exit::Clean,
                (Some(code), _) => Exit::Status(code),
                (None, Some(signal)) => Exit::Signal(signal),
                (None, None) => Exit::Unseen,
            },
            Err(_) => Exit::Unseen,
        }
    }
}

/// When the system started a process, in its ticks.
///
/// # Errors
/// Where there is none.
pub fn started(pid: u32) -> io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name before it may hold spaces and brackets.
    let fields = text
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace());
    let start = fields.and_then(|mut fields| fields.nth(19)?.parse().ok());
    start.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Processes that were started with these words among their arguments.
#[must_use]
pub fn find(words: &str) -> Vec<Process> {
    let Ok(folder) = std::fs::read_dir("/proc") else {
        return Vec::new();
    };
    let pids = folder
        .flatten()
        .filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let has = |pid: &u32| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        line.split(|byte| *byte == 0)
            .any(|word| word == words.as_bytes())
    };
    pids.filter(has)
        .filter_map(|pid| {
            Some(Process {
                pid,
                start: started(pid).ok()?,
            })
        })
        .collect()
}

/// A secret that nobody else knows.
///
/// # Errors
/// The system's.
pub fn secret() -> io::Result<u64> {
    use std::io::Read;
    let mut bytes = [0; 8];
    File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(u64::from_le_bytes(bytes))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_number_that_another_process_has_now_is_not_taken_up() {
        let pid = std::process::id();
        let start = started(pid).expect("this process");
        assert!(Running::adopt(Process { pid, start }).is_some());
        assert!(Running::adopt(Process {
            pid,
            start: start - 1
        })
        .is_none());
        let mut child = Command::new("true").spawn().expect("a process");
        let gone = Process {
            pid: child.id(),
            start: started(child.id()).expect("it is there until it is waited for"),
        };
        child.wait().expect("it ends");
        assert!(Running::adopt(gone).is_none());
    }
}
