//! The processes of this server that came before its predecessor: those that are still there
//! because their own successor died, and what the ones that are gone have left in use.

use super::channel_message::{receive_message, ReceivedMessage};
use super::step::HotRestartStep;
use crate::host::Host;
use cleatpulley_hot_restart::{Message, ProcessUsage};
use cleatpulley_policy::interface::Micros;

/// What a process that died had in use may have belonged to one before it, which is found within
/// this time.
const PREDECESSOR_SEARCH_TIME: Micros = 200_000;
/// Running work can't be stopped: it goes on for this long after the process that started it is
/// gone. Guards the cores and the memory against as much again on top of it.
const ORPHANED_RUN_TIME: Micros = 3_000_000;

/// The processes, and what is left of those that are gone.
pub(super) struct EarlierPredecessors<H: Host> {
    connected: Vec<ConnectedProcess<H>>,
    residuals: Vec<ResidualUsage>,
}

/// A process that is still there.
struct ConnectedProcess<H: Host> {
    channel: H::HandoverChannel,
    /// What it reported last.
    usage: ProcessUsage,
}

/// What a process that is gone has left in use.
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
    /// Returns the number of processes that are still there.
    pub(super) fn connected_count(&self) -> usize {
        self.connected.len()
    }

    /// Returns what all of them use of the machine.
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

    /// A process is gone that used this much.
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

    /// Returns when something that a process has left in use becomes free.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        let deadlines = self.residuals.iter().map(|residual| residual.freed_at);
        deadlines.min()
    }

    /// Reads the messages of all of them and drops what is free by now. Returns true where the
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

/// What the messages of a process have changed.
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

/// Returns what two processes use together.
pub(super) fn sum(first: ProcessUsage, second: ProcessUsage) -> ProcessUsage {
    ProcessUsage {
        running_requests: first.running_requests + second.running_requests,
        memory_kb: first.memory_kb + second.memory_kb,
        dependency_calls: first.dependency_calls + second.dependency_calls,
        descriptors: first.descriptors + second.descriptors,
    }
}
