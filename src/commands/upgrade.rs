//! `cleatpulley upgrade`: puts a new process in the place of one that serves, and shows each step.

use crate::ConfigArgs;
use clap::Args;
use cleatpulley::protocol::http;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

/// An answer at the operators' address comes within this time.
const ANSWERED: Duration = Duration::from_secs(1);
const LOOKS: Duration = Duration::from_millis(5);

/// What is to be upgraded, and to what.
#[derive(Args)]
pub struct Upgrade {
    /// The process that serves
    #[arg(long)]
    pid: u32,
    #[command(flatten)]
    config_args: ConfigArgs,
    /// The program to start; this one unless set
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// The folder in which both processes meet: that of the process that serves
    #[arg(long, value_name = "FOLDER", env = "TMPDIR")]
    upgrade_folder: PathBuf,
    /// Where the new process writes its log, after what is there
    #[arg(long, value_name = "FILE")]
    log_file: PathBuf,
    /// The new process says within so many seconds that it takes clients, or is ended
    #[arg(long, default_value_t = 6.0)]
    ready_within: f64,
    /// The old one has left so many seconds after it was told to, or is told of; it is not killed
    #[arg(long, default_value_t = 10.0)]
    left_within: f64,
}

/// Does it.
///
/// # Errors
/// What went wrong, and who serves then.
pub fn run(upgrade: Upgrade) -> Result<ExitCode, String> {
    let watch = open(upgrade.pid).map_err(|e| format!("--pid: process {}: {e}", upgrade.pid))?;
    let args = upgrade.config_args.to_arguments();
    let (config, ..) = upgrade.config_args.load()?;
    let mgmt = config.management.filter(|address| address.port() != 0);
    let mgmt = mgmt
        .ok_or("mgmt: the new process needs an address of its own, with a port, to be asked at")?;
    if ask(mgmt).is_ok() {
        return Err(format!(
            "mgmt: somebody answers at {mgmt} already; the new process needs another address"
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
    // It outlives this command and its terminal.
    command.process_group(0);
    let mut new = command
        .spawn()
        .map_err(|e| format!("--program: {}: {e}", program.display()))?;
    print_line!(
        "1. process {} started, log in {}",
        new.id(),
        upgrade.log_file.display()
    );
    let begun = Instant::now();
    if let Err(fault) = wait_ready(
        &mut new,
        mgmt,
        Duration::from_secs_f64(upgrade.ready_within),
    ) {
        // It never was believed: the old one takes clients again at once.
        let _ = new.kill();
        let _ = new.wait();
        return Err(format!(
            "{fault}; it was ended, and process {} serves on",
            upgrade.pid
        ));
    }
    print_line!(
        "2. it takes clients after {} ms",
        begun.elapsed().as_millis()
    );
    pidfd_send_signal(&watch, Signal::TERM).map_err(|e| format!("process {}: {e}", upgrade.pid))?;
    print_line!("3. process {} told to leave", upgrade.pid);
    let told = Instant::now();
    if !ended(&watch, Duration::from_secs_f64(upgrade.left_within)).map_err(|e| e.to_string())? {
        return Err(format!(
            "process {} has not left {} s after it was told to; process {} serves",
            upgrade.pid,
            upgrade.left_within,
            new.id()
        ));
    }
    print_line!(
        "4. it has left after {} ms; process {} serves at {}",
        told.elapsed().as_millis(),
        new.id(),
        config.listen
    );
    Ok(ExitCode::SUCCESS)
}

/// A process, by a descriptor that means no other one later.
fn open(pid: u32) -> io::Result<OwnedFd> {
    let pid = i32::try_from(pid)
        .ok()
        .and_then(Pid::from_raw)
        .ok_or(io::ErrorKind::InvalidInput)?;
    Ok(pidfd_open(pid, PidfdFlags::empty())?)
}

/// Whether a process ends within this time.
fn ended(watch: &OwnedFd, patience: Duration) -> io::Result<bool> {
    let until = Instant::now() + patience;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let wait = Timespec {
            tv_sec: left.as_secs() as i64,
            tv_nsec: i64::from(left.subsec_nanos()),
        };
        match poll(
            &mut [PollFd::from_borrowed_fd(watch.as_fd(), PollFlags::IN)],
            Some(&wait),
        ) {
            Ok(number) => return Ok(number > 0),
            Err(e) if e == rustix::io::Errno::INTR => {}
            Err(e) => return Err(e.into()),
        }
    }
}

fn wait_ready(new: &mut Child, mgmt: SocketAddr, patience: Duration) -> Result<(), String> {
    let begun = Instant::now();
    loop {
        if let Ok(Some(status)) = new.try_wait() {
            return Err(format!(
                "the new process has ended with {status}: look at its log"
            ));
        }
        if matches!(ask(mgmt), Ok(200)) {
            return Ok(());
        }
        if begun.elapsed() > patience {
            return Err(format!(
                "the new process takes no clients after {patience:?}: look at its log"
            ));
        }
        std::thread::sleep(LOOKS);
    }
}

/// The status of `/_ready`.
fn ask(mgmt: SocketAddr) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&mgmt, ANSWERED)?;
    stream.set_read_timeout(Some(ANSWERED))?;
    let mut bytes = Vec::new();
    http::push_request(&mut bytes, "GET", "/_ready", &mgmt.to_string(), &[], b"");
    stream.write_all(&bytes)?;
    bytes.clear();
    stream.read_to_end(&mut bytes)?;
    let reply = http::parse_response(&bytes, true).map_err(io::Error::other)?;
    reply
        .map(|reply| reply.status)
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
