//! Decides how an upgrade continues, from what the program that runs it knows of the new process. A
//! readiness check that fails does not tell that the new process has not taken over, so it is never
//! by itself a reason to treat that process as one without clients.

/// Outcome of one readiness check of the new process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadinessCheck {
    /// The process reports that it accepts clients.
    Ready,
    /// The process reports that it does not accept clients.
    NotReady,
    /// There was no report: the process may accept clients or not.
    Unknown,
}

/// The process that holds the listening sockets, as it answers on the handover socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingProcess {
    /// The new process: it has taken the clients, and its event loop runs.
    New,
    /// Another process.
    Other,
    /// No process answers.
    Unknown,
}

/// What the program that runs an upgrade has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Check the readiness again.
    CheckAgain,
    /// Terminate the old process: the new one serves.
    TerminateOld,
    /// Let the new process drain and exit, so that the old one accepts clients again.
    RollBack,
}

/// Decides the next step after a readiness check. `serving_process` is called only where the check
/// alone does not decide.
#[must_use]
pub fn next_step(
    check: ReadinessCheck,
    has_timed_out: bool,
    serving_process: impl FnOnce() -> ServingProcess,
) -> NextStep {
    match check {
        ReadinessCheck::Ready => NextStep::TerminateOld,
        ReadinessCheck::NotReady | ReadinessCheck::Unknown if !has_timed_out => {
            NextStep::CheckAgain
        }
        ReadinessCheck::NotReady => NextStep::RollBack,
        ReadinessCheck::Unknown => match serving_process() {
            ServingProcess::New => NextStep::TerminateOld,
            ServingProcess::Other | ServingProcess::Unknown => NextStep::RollBack,
        },
    }
}
