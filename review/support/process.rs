//! Processes of the project, each in a process group of its own; all are ended with the case.

use super::{deploy_command, http, wait_until, Case, CaseError};
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::Duration;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Ids of the processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and not waited for, with what they started themselves.
pub fn kill_all() {
    if let Ok(mut running) = RUNNING.lock() {
        for pid in running.drain(..) {
            send(-(pid as i32), SIGKILL);
        }
    }
}

fn send(pid: i32, signal: i32) {
    // SAFETY: `kill` takes two numbers and touches no memory.
    unsafe {
        kill(pid, signal);
    }
}

/// Notes a process that a started one has started in a group of its own, so that it is ended with the case.
pub fn adopt(pid: u32) {
    RUNNING.lock().unwrap().push(pid);
}

/// Notes that a process has ended, so that its id is not used any more.
pub fn forget(pid: u32) {
    RUNNING.lock().unwrap().retain(|running| *running != pid);
}

/// A process of the project.
pub struct Process {
    pub name: String,
    child: Child,
    pub log: PathBuf,
}

/// Environment of a matcher.
pub struct Matcher<'a> {
    pub label: &'a str,
    pub name: &'a str,
    pub config: &'a Path,
    pub listen: SocketAddr,
    pub mgmt: SocketAddr,
    pub scratch: &'a Path,
    /// Arguments after the `run` command, for features that an operator file switches on.
    pub arguments: &'a str,
}

impl Process {
    /// Starts a matcher by the `run` command of the deploy file.
    pub fn start_matcher(case: &Case, matcher: &Matcher) -> Result<Self, CaseError> {
        let run = deploy_command(&case.root, "run")?;
        let command = format!("{run} {}", matcher.arguments);
        let process = Self::start(
            case,
            matcher.label,
            command.trim(),
            &[
                ("GW_CONFIG", matcher.config.display().to_string()),
                ("GW_NAME", matcher.name.to_owned()),
                ("GW_LISTEN", matcher.listen.to_string()),
                ("GW_MGMT", matcher.mgmt.to_string()),
                ("TMPDIR", matcher.scratch.display().to_string()),
            ],
        )?;
        Ok(process)
    }

    /// Starts a command by `/bin/sh -c` from the root of the repository.
    pub fn start(
        case: &Case,
        label: &str,
        command: &str,
        environment: &[(&str, String)],
    ) -> Result<Self, CaseError> {
        let log = case.folder.join(format!("{label}.log"));
        let file = File::create(&log)?;
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(&case.root)
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .process_group(0)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        case.record.line(&format!("started {label}: {command}"));
        Ok(Self {
            name: label.to_owned(),
            child,
            log,
        })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, case: &Case, signal: i32) {
        let word = match signal {
            SIGHUP => "SIGHUP",
            SIGKILL => "SIGKILL",
            SIGTERM => "SIGTERM",
            SIGCONT => "SIGCONT",
            SIGSTOP => "SIGSTOP",
            _ => "a signal",
        };
        case.record.line(&format!("{word} to {}", self.name));
        send(self.child.id() as i32, signal);
    }

    /// Waits for the end of the process; `None` if it runs on after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let mut status = None;
        wait_until(limit, || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        if status.is_some() {
            forget(self.child.id());
        }
        status
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the log so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Copies the lines of the log that contain one of these texts to the record.
    pub fn quote_log(&self, case: &Case, texts: &[&str]) {
        for line in self
            .read_log()
            .lines()
            .filter(|line| texts.iter().any(|text| line.contains(text)))
        {
            case.record.line(&format!("log of {}: {line}", self.name));
        }
    }
}

/// Waits until a process takes clients.
pub fn await_ready(case: &Case, process: &mut Process, mgmt: SocketAddr) -> Result<(), CaseError> {
    let is_ready = wait_until(Duration::from_secs(30), || {
        http::get_status(mgmt, "/_ready") == Some(200)
    });
    if !is_ready {
        process.quote_log(case, &[""]);
        return Err(format!("{} is not ready after 30 s", process.name).into());
    }
    case.record.line(&format!("{} is ready", process.name));
    Ok(())
}
