//! `cleatpulley upgrade`: replaces a running server by a new process and shows each step.

mod management_client;

use crate::ConfigArgs;
use clap::Args;
use management_client::ManagementClient;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::fs::File;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Arguments of `cleatpulley upgrade`.
#[derive(Args)]
pub struct Upgrade {
    /// The process id of the running server
    #[arg(long)]
    pid: u32,
    #[command(flatten)]
    config_args: ConfigArgs,
    /// The program to start [default: this program]
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// The folder through which both processes connect: the upgrade folder of the running server
    #[arg(long, value_name = "FOLDER", env = "TMPDIR")]
    upgrade_folder: PathBuf,
    /// The file that the log of the new process is appended to
    #[arg(long, value_name = "FILE")]
    log_file: PathBuf,
    /// Seconds until the new process has to be ready; it is killed if it is not
    #[arg(long, default_value_t = 6.0)]
    ready_within: f64,
    /// Seconds until the old process has to exit after SIGTERM; it is reported but not killed if it does not
    #[arg(long, default_value_t = 10.0)]
    left_within: f64,
}

/// Runs the upgrade.
///
/// # Errors
/// The upgrade failed; the error says why, and which process serves.
pub fn run(upgrade: Upgrade) -> Result<ExitCode, String> {
    let old_process =
        open_process(upgrade.pid).map_err(|e| format!("--pid: process {}: {e}", upgrade.pid))?;
    let args = upgrade.config_args.to_arguments();
    let (config, operator, _) = upgrade.config_args.load()?;
    let address = config.management.filter(|address| address.port() != 0);
    let address =
        address.ok_or("mgmt: the new process needs a management address with a port of its own")?;
    let management = ManagementClient::new(address, &operator);
    if !management
        .is_address_free()
        .map_err(|e| format!("mgmt: {address}: {e}"))?
    {
        return Err(format!(
            "mgmt: another process listens on {address}; the new process needs another address"
        ));
    }
    let program = match upgrade.program {
        Some(program) => program,
        None => std::env::current_exe().map_err(|e| e.to_string())?,
    };
    let log = File::options()
        .create(true)
        .append(true)
        .open(&upgrade.log_file);
    let log = log.map_err(|e| format!("--log-file: {}: {e}", upgrade.log_file.display()))?;
    let mut command = Command::new(&program);
    command
        .arg("serve")
        .args(args)
        .arg("--upgrade-folder")
        .arg(&upgrade.upgrade_folder);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log);
    // The new process has to outlive this command and its terminal.
    command.process_group(0);
    let mut new_process = command
        .spawn()
        .map_err(|e| format!("--program: {}: {e}", program.display()))?;
    print_line!(
        "1. process {} started, log in {}",
        new_process.id(),
        upgrade.log_file.display()
    );
    let started_at = Instant::now();
    if let Err(error) = wait_until_ready(
        &mut new_process,
        &management,
        Duration::from_secs_f64(upgrade.ready_within),
    ) {
        // The new process has not taken over, so the old one accepts clients again immediately.
        let _ = new_process.kill();
        let _ = new_process.wait();
        return Err(format!(
            "{error}; it was killed, and process {} keeps serving",
            upgrade.pid
        ));
    }
    print_line!(
        "2. it takes clients after {} ms",
        started_at.elapsed().as_millis()
    );
    pidfd_send_signal(&old_process, Signal::TERM)
        .map_err(|e| format!("process {}: {e}", upgrade.pid))?;
    print_line!("3. process {} was sent SIGTERM", upgrade.pid);
    let signaled_at = Instant::now();
    if !wait_for_exit(&old_process, Duration::from_secs_f64(upgrade.left_within))
        .map_err(|e| e.to_string())?
    {
        return Err(format!(
            "process {} has not exited {} s after SIGTERM; process {} serves",
            upgrade.pid,
            upgrade.left_within,
            new_process.id()
        ));
    }
    print_line!(
        "4. it has left after {} ms; process {} serves at {}",
        signaled_at.elapsed().as_millis(),
        new_process.id(),
        config.listen
    );
    Ok(ExitCode::SUCCESS)
}

/// Opens a process descriptor, which can't refer to another process if the id is reused.
fn open_process(pid: u32) -> io::Result<OwnedFd> {
    let pid = i32::try_from(pid)
        .ok()
        .and_then(Pid::from_raw)
        .ok_or(io::ErrorKind::InvalidInput)?;
    Ok(pidfd_open(pid, PidfdFlags::empty())?)
}

/// Waits for the exit of a process, and returns whether it exits within the timeout.
fn wait_for_exit(process: &OwnedFd, timeout: Duration) -> io::Result<bool> {
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let poll_timeout = Timespec {
            tv_sec: remaining.as_secs() as i64,
            tv_nsec: i64::from(remaining.subsec_nanos()),
        };
        match poll(
            &mut [PollFd::from_borrowed_fd(process.as_fd(), PollFlags::IN)],
            Some(&poll_timeout),
        ) {
            Ok(ready_count) => return Ok(ready_count > 0),
            Err(e) if e == rustix::io::Errno::INTR => {}
            Err(e) => return Err(e.into()),
        }
    }
}

fn wait_until_ready(
    process: &mut Child,
    management: &ManagementClient,
    timeout: Duration,
) -> Result<(), String> {
    let started_at = Instant::now();
    loop {
        if let Ok(Some(status)) = process.try_wait() {
            return Err(format!(
                "the new process has exited with {status}: see its log"
            ));
        }
        let outcome = management.request_ready_status();
        if matches!(outcome, Ok(200)) {
            return Ok(());
        }
        if started_at.elapsed() > timeout {
            let last_outcome = match outcome {
                Ok(status) => format!("status {status}"),
                Err(error) => error.to_string(),
            };
            return Err(format!(
                "the new process is not ready after {timeout:?}: see its log; \
                 the last GET /_ready at {}: {last_outcome}",
                management.address()
            ));
        }
        std::thread::sleep(READY_POLL_INTERVAL);
    }
}
