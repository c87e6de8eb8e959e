//! The rollback of an upgrade: the new process drains and exits, and the old one accepts clients
//! again. The new process may have taken the clients whatever a readiness check said, so that it is
//! not killed before it has had the time to respond to all that it has read.

use super::process::ProcessDescriptor;
use cleatpulley::server::host::HandoverAddress;
use cleatpulley::server::serving_process::find_serving_process;
use rustix::process::Signal;
use std::fmt;
use std::io;
use std::time::{Duration, Instant};

/// Time beyond its own stop time after which a draining process counts as hung.
const STOP_MARGIN: Duration = Duration::from_secs(2);
/// Time within which the old process accepts clients again after the exit of the new one.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a response on the handover socket.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How the new process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewProcessEnd {
    /// It had exited before the rollback.
    ExitedBefore,
    /// It has drained and exited.
    Drained,
    /// It did not exit at its stop time, and was killed.
    Killed,
}

/// Which process serves after the rollback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldProcessState {
    /// The old process answers on the handover socket.
    Serves,
    /// The old process runs, but does not answer on the handover socket.
    Runs,
    /// The old process has exited.
    Exited,
}

/// The result of a rollback.
pub struct RollbackReport {
    new_process: NewProcessEnd,
    old_process: OldProcessState,
    old_pid: u32,
}

impl fmt::Display for RollbackReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let old_pid = self.old_pid;
        match self.new_process {
            NewProcessEnd::ExitedBefore => {}
            NewProcessEnd::Drained => write!(f, "it has drained and exited; ")?,
            NewProcessEnd::Killed => {
                write!(f, "it did not exit after SIGTERM and was killed; ")?;
            }
        }
        match self.old_process {
            OldProcessState::Serves => write!(f, "process {old_pid} serves"),
            OldProcessState::Runs => write!(
                f,
                "process {old_pid} runs, but does not answer in the upgrade folder: see its log"
            ),
            OldProcessState::Exited => {
                write!(f, "process {old_pid} has exited as well: no process serves")
            }
        }
    }
}

/// Ends the new process, which stops `stop_time` after SIGTERM at the latest, and finds out whether
/// the old one serves.
///
/// # Errors
/// The new process can't be signaled or waited for.
pub fn roll_back(
    old_process: &ProcessDescriptor,
    new_process: &ProcessDescriptor,
    stop_time: Duration,
    handover_address: &HandoverAddress,
) -> io::Result<RollbackReport> {
    let end = end_new_process(new_process, stop_time)?;
    Ok(RollbackReport {
        new_process: end,
        old_process: await_old_process(old_process, handover_address)?,
        old_pid: old_process.pid,
    })
}

fn end_new_process(
    new_process: &ProcessDescriptor,
    stop_time: Duration,
) -> io::Result<NewProcessEnd> {
    if new_process.wait_for_exit(Duration::ZERO)? {
        return Ok(NewProcessEnd::ExitedBefore);
    }
    new_process.send_signal(Signal::TERM)?;
    if new_process.wait_for_exit(stop_time + STOP_MARGIN)? {
        return Ok(NewProcessEnd::Drained);
    }
    new_process.send_signal(Signal::KILL)?;
    new_process.wait_for_exit(STOP_MARGIN)?;
    Ok(NewProcessEnd::Killed)
}

/// Waits until the old process answers on the handover socket, which shows that it accepts clients.
fn await_old_process(
    old_process: &ProcessDescriptor,
    handover_address: &HandoverAddress,
) -> io::Result<OldProcessState> {
    let started_at = Instant::now();
    loop {
        if old_process.wait_for_exit(Duration::ZERO)? {
            return Ok(OldProcessState::Exited);
        }
        let serving_process = find_serving_process(handover_address, RESPONSE_TIMEOUT);
        if serving_process.is_ok_and(|pid| pid == old_process.pid) {
            return Ok(OldProcessState::Serves);
        }
        if started_at.elapsed() > RESUME_TIMEOUT {
            return Ok(OldProcessState::Runs);
        }
        std::thread::sleep(RESUME_POLL_INTERVAL);
    }
}
