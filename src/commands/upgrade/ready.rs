//! Waiting until the new process of an upgrade takes clients.

use super::management_client::{ManagementClient, ManagementError};
use super::rollback::RESPONSE_TIMEOUT;
use cleatpulley::server::host::HandoverAddress;
use cleatpulley::server::serving_process::find_serving_process;
use cleatpulley_hot_restart::readiness::{next_step, NextStep, ReadinessCheck, ServingProcess};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::process::{Child, ExitStatus};
use std::time::{Duration, Instant};

const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why the upgrade does not go on with the new process.
#[derive(Debug, thiserror::Error)]
pub enum NotReadyError {
    #[error("the new process has exited with {0}: see its log")]
    Exited(ExitStatus),
    #[error("the new process is not ready after {timeout:?}: see its log; the last GET /_ready at {address}: {last_check}")]
    TimedOut {
        timeout: Duration,
        address: SocketAddr,
        last_check: CheckOutcome,
    },
    #[error("the new process can't be waited for: {0}")]
    Wait(#[from] io::Error),
}

/// The outcome of a request of `/_ready`.
#[derive(Debug)]
pub enum CheckOutcome {
    Status(u16),
    NoResponse(ManagementError),
}

impl CheckOutcome {
    fn as_readiness_check(&self) -> ReadinessCheck {
        match self {
            Self::Status(200) => ReadinessCheck::Ready,
            Self::Status(_) => ReadinessCheck::NotReady,
            Self::NoResponse(_) => ReadinessCheck::Unknown,
        }
    }
}

impl fmt::Display for CheckOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "status {status}"),
            Self::NoResponse(error) => error.fmt(f),
        }
    }
}

/// How it is known that the new process takes clients.
pub enum Readiness {
    Reported,
    /// It answers on the handover socket, but its management endpoint does not respond.
    Unreported(SocketAddr, ManagementError),
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reported => Ok(()),
            Self::Unreported(address, error) => {
                write!(f, ", though GET /_ready at {address} fails: {error}")
            }
        }
    }
}

/// Waits until the new process takes clients.
///
/// # Errors
/// The process has exited, or it is not ready within the timeout.
pub fn wait_until_ready(
    new_process: &mut Child,
    management: &ManagementClient,
    handover_address: &HandoverAddress,
    timeout: Duration,
) -> Result<Readiness, NotReadyError> {
    let new_pid = new_process.id();
    let serving_process = || match find_serving_process(handover_address, RESPONSE_TIMEOUT) {
        Ok(pid) if pid == new_pid => ServingProcess::New,
        Ok(_) => ServingProcess::Other,
        Err(_) => ServingProcess::Unknown,
    };
    let started_at = Instant::now();
    loop {
        if let Some(status) = new_process.try_wait()? {
            return Err(NotReadyError::Exited(status));
        }
        let last_check = match management.request_ready_status() {
            Ok(status) => CheckOutcome::Status(status),
            Err(error) => CheckOutcome::NoResponse(error),
        };
        let has_timed_out = started_at.elapsed() > timeout;
        let step = next_step(
            last_check.as_readiness_check(),
            has_timed_out,
            serving_process,
        );
        match (step, last_check) {
            (NextStep::CheckAgain, _) => std::thread::sleep(READY_POLL_INTERVAL),
            (NextStep::TerminateOld, CheckOutcome::Status(_)) => return Ok(Readiness::Reported),
            (NextStep::TerminateOld, CheckOutcome::NoResponse(error)) => {
                return Ok(Readiness::Unreported(management.address(), error));
            }
            (NextStep::RollBack, last_check) => {
                return Err(NotReadyError::TimedOut {
                    timeout,
                    address: management.address(),
                    last_check,
                });
            }
        }
    }
}
