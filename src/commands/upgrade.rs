//! `cleatpulley upgrade`: replaces a running server by a new process and shows each step.

mod launch;
mod management_client;
mod process;
mod ready;
mod rollback;

use crate::ConfigArgs;
use clap::Args;
use cleatpulley::config::Config;
use cleatpulley::operator::OperatorSettings;
use cleatpulley::server::host::HandoverAddress;
use launch::Launch;
use management_client::ManagementClient;
use process::{ProcessDescriptor, SignalOutcome};
use ready::wait_until_ready;
use rollback::{roll_back, RollbackReport};
use rustix::process::Signal;
use std::io;
use std::path::PathBuf;
use std::process::{Child, ExitCode};
use std::time::{Duration, Instant};

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
    /// Seconds until the new process has to be ready. If it is not, it is sent SIGTERM, responds to all that it has
    /// read and exits, and the old process serves again
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
    let old_process = ProcessDescriptor::open(upgrade.pid)
        .map_err(|e| format!("--pid: process {}: {e}", upgrade.pid))?;
    let arguments = upgrade.config_args.to_arguments();
    let (config, operator, _) = upgrade.config_args.load()?;
    let management = create_management_client(&config, &operator)?;
    let launch = Launch {
        program: upgrade.program,
        arguments,
        upgrade_folder: upgrade.upgrade_folder,
        log_file: upgrade.log_file,
    };
    let mut new_process = launch.start()?;
    let started_at = Instant::now();
    // Opened before the process is waited for: its id may be reused afterwards.
    let new_descriptor = ProcessDescriptor::open(new_process.id());
    print_line!(
        "1. process {} started, log in {}",
        new_process.id(),
        launch.log_file.display()
    );
    let handover_address = HandoverAddress {
        folder: launch.upgrade_folder,
        name: config.name,
        address: config.listen,
    };
    let ready_timeout = Duration::from_secs_f64(upgrade.ready_within);
    let readiness = wait_until_ready(
        &mut new_process,
        &management,
        &handover_address,
        ready_timeout,
    );
    let readiness = readiness.map_err(|reason| {
        let stop_time = Duration::from_micros(config.shutdown_time);
        let report = new_descriptor.and_then(|new_descriptor| {
            roll_back(&old_process, &new_descriptor, stop_time, &handover_address)
        });
        // If it has exited, it is removed from the system's table of processes.
        let _ = new_process.try_wait();
        format!("{reason}; {}", describe_rollback(report, old_process.pid))
    })?;
    print_line!(
        "2. it takes clients after {} ms{readiness}",
        started_at.elapsed().as_millis()
    );
    let left_timeout = Duration::from_secs_f64(upgrade.left_within);
    let exit_time = terminate_old_process(&old_process, &mut new_process, left_timeout)?;
    print_line!(
        "4. it has left after {} ms; process {} serves at {}",
        exit_time.as_millis(),
        new_process.id(),
        handover_address.address
    );
    Ok(ExitCode::SUCCESS)
}

/// Returns what has become of both processes, for the operator.
fn describe_rollback(report: io::Result<RollbackReport>, old_pid: u32) -> String {
    match report {
        Ok(report) => report.to_string(),
        Err(error) => format!(
            "the rollback failed: {error}; the new process may run: send it SIGTERM, so that process {old_pid} serves"
        ),
    }
}

/// Creates the client of the new process's management endpoint, at an address that is free.
fn create_management_client(
    config: &Config,
    operator: &OperatorSettings,
) -> Result<ManagementClient, String> {
    let address = config.management.filter(|address| address.port() != 0);
    let address =
        address.ok_or("mgmt: the new process needs a management address with a port of its own")?;
    let management = ManagementClient::new(address, operator);
    let is_free = management
        .is_address_free()
        .map_err(|e| format!("mgmt: {address}: {e}"))?;
    if !is_free {
        return Err(format!(
            "mgmt: another process listens on {address}; the new process needs another address"
        ));
    }
    Ok(management)
}

/// Tells the old process to leave, and returns the time until its exit.
fn terminate_old_process(
    old_process: &ProcessDescriptor,
    new_process: &mut Child,
    timeout: Duration,
) -> Result<Duration, String> {
    let old_pid = old_process.pid;
    let outcome = old_process
        .send_signal(Signal::TERM)
        .map_err(|e| format!("process {old_pid}: {e}"))?;
    match outcome {
        SignalOutcome::Sent => print_line!("3. process {old_pid} was sent SIGTERM"),
        SignalOutcome::AlreadyExited => print_line!("3. process {old_pid} had already exited"),
    }
    let signaled_at = Instant::now();
    let has_left = old_process
        .wait_for_exit(timeout)
        .map_err(|e| format!("process {old_pid}: {e}"))?;
    let exit_time = signaled_at.elapsed();
    if let Some(status) = new_process.try_wait().map_err(|e| e.to_string())? {
        return Err(format!(
            "process {} has exited with {status} after process {old_pid} was sent SIGTERM: start a process at once",
            new_process.id()
        ));
    }
    if !has_left {
        return Err(format!(
            "process {old_pid} has not exited {} s after SIGTERM; process {} serves",
            timeout.as_secs_f64(),
            new_process.id()
        ));
    }
    Ok(exit_time)
}
