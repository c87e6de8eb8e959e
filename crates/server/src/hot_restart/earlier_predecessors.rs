//! The processes of this server that preceded its predecessor: those that are still running because
//! their own successor died, and the resources that ended processes have left in use.

use super::channel_message::{receive_message, ReceivedMessage};
use super::step::HotRestartStep;
use crate::host::Host;
use cleatpulley_hot_restart::{Message, ProcessUsage};
use cleatpulley_policy::interface::Micros;

/// Connections and descriptors of a process that died count for this time: they may belong to an
/// earlier process, which reconnects within it.
const PREDECESSOR_SEARCH_TIME: Micros = 200_000;
/// Runs can't be stopped when the process that started them ends, and count for this time
/// afterwards. Otherwise cores and memory would be assigned a second time.
const ORPHANED_RUN_TIME: Micros = 3_000_000;

/// Earlier processes, and the resources left in use by ended ones.
pub(super) struct EarlierPredecessors<H: Host> {
    connected: Vec<ConnectedProcess<H>>,
    residuals: Vec<ResidualUsage>,
}

/// A process that is still running.
struct ConnectedProcess<H: Host> {
    channel: H::HandoverChannel,
    /// Usage that the process reported last.
    usage: ProcessUsage,
}

/// Resources that an ended process has left in use.
struct ResidualUsage {
    freed_at: Micros,
    usage: ProcessUsage,
}

impl<H: Host> Default for EarlierPredecessors<H> {
    fn default() -> Self {
        Self {
            connected: Vec::new(),
            residuals: Vec::new(),
        }
    }
}

impl<H: Host> EarlierPredecessors<H> {
    /// Returns the number of processes that are still running.
    pub(super) fn connected_count(&self) -> usize {
        self.connected.len()
    }

    /// Returns the machine resources used by all earlier processes.
    pub(super) fn usage(&self) -> ProcessUsage {
        let connected = self.connected.iter().map(|process| process.usage);
        let residuals = self.residuals.iter().map(|residual| residual.usage);
        connected
            .chain(residuals)
            .fold(ProcessUsage::default(), sum)
    }

    pub(super) fn add(&mut self, channel: H::HandoverChannel, usage: ProcessUsage) {
        self.connected.push(ConnectedProcess { channel, usage });
    }

    /// Handles the loss of a process with this usage.
    pub(super) fn on_process_lost(&mut self, now: Micros, usage: ProcessUsage) {
        self.residuals.push(ResidualUsage {
            freed_at: now + PREDECESSOR_SEARCH_TIME,
            usage: ProcessUsage {
                dependency_calls: usage.dependency_calls,
                descriptors: usage.descriptors,
                ..ProcessUsage::default()
            },
        });
        if usage.running_requests > 0 {
            self.residuals.push(ResidualUsage {
                freed_at: now + ORPHANED_RUN_TIME,
                usage: ProcessUsage {
                    running_requests: usage.running_requests,
                    memory_kb: usage.memory_kb,
                    ..ProcessUsage::default()
                },
            });
        }
    }

    /// Returns when the next resources of an ended process are freed.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        let deadlines = self.residuals.iter().map(|residual| residual.freed_at);
        deadlines.min()
    }

    /// Reads the messages of all processes and drops resources freed by now. Returns true if the
    /// usage has changed.
    pub(super) fn poll(&mut self, now: Micros, steps: &mut Vec<HotRestartStep<H>>) -> bool {
        let residual_count = self.residuals.len();
        self.residuals.retain(|residual| now < residual.freed_at);
        let mut has_changed = self.residuals.len() != residual_count;
        let mut lost_usages = Vec::new();
        self.connected.retain_mut(|process| {
            let result = process.read_messages(steps);
            has_changed |= !matches!(result, ReadResult::Unchanged);
            let is_lost = matches!(result, ReadResult::Lost);
            if is_lost {
                lost_usages.push(process.usage);
            }
            !is_lost
        });
        for usage in lost_usages {
            self.on_process_lost(now, usage);
        }
        has_changed
    }
}

/// Result of reading the messages of a process.
enum ReadResult {
    Unchanged,
    UsageChanged,
    Lost,
}

impl<H: Host> ConnectedProcess<H> {
    fn read_messages(&mut self, steps: &mut Vec<HotRestartStep<H>>) -> ReadResult {
        let mut result = ReadResult::Unchanged;
        loop {
            match receive_message(&self.channel) {
                Ok(None) => return result,
                Ok(Some(ReceivedMessage { message, .. })) => match message {
                    Message::UsageReport(usage) => {
                        self.usage = usage;
                        result = ReadResult::UsageChanged;
                    }
                    Message::StoreReleased {} => steps.push(HotRestartStep::OpenKeyPersistence),
                    _ => tracing::warn!("upgrade: unexpected message of an earlier predecessor"),
                },
                Err(error) => {
                    tracing::info!(%error, "upgrade: an earlier predecessor is gone");
                    return ReadResult::Lost;
                }
            }
        }
    }
}

/// Returns the sum of two usages.
pub(super) fn sum(first: ProcessUsage, second: ProcessUsage) -> ProcessUsage {
    ProcessUsage {
        running_requests: first.running_requests + second.running_requests,
        memory_kb: first.memory_kb + second.memory_kb,
        dependency_calls: first.dependency_calls + second.dependency_calls,
        descriptors: first.descriptors + second.descriptors,
    }
}
