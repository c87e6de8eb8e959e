//! The result of a step.

/// Whether a job needs further steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobStatus {
    Running,
    Finished,
}
