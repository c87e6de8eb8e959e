//! Messages of the predecessor, and execution of the effects of this process's successor side.

use super::channel_message::{receive_message, ReceivedMessage};
use super::step::HotRestartStep;
use super::HotRestart;
use crate::host::Host;
use crate::socket_owner::SocketOwner;
use cleatpulley_hot_restart::successor::Effect;
use cleatpulley_hot_restart::Message;
use cleatpulley_policy::interface::Micros;
use std::io;

impl<H: Host> HotRestart<H> {
    /// Reads all messages that have arrived from the predecessor.
    pub(super) fn read_predecessor(&mut self, now: Micros, steps: &mut Vec<HotRestartStep<H>>) {
        while let Some(predecessor) = &mut self.predecessor {
            let Some(channel) = &predecessor.channel else {
                return;
            };
            let effects = match receive_message(channel) {
                Ok(None) => return,
                Ok(Some(ReceivedMessage { message, sockets })) => {
                    if let Message::Rejected { reason } = &message {
                        tracing::warn!(
                            reason = %reason,
                            "upgrade: the serving process rejected the handover"
                        );
                    }
                    let socket_count = sockets.len();
                    predecessor.received_sockets = sockets;
                    predecessor.protocol.on_message(now, message, socket_count)
                }
                Err(error) => {
                    if predecessor.protocol.is_serving() {
                        tracing::info!(%error, "upgrade: the predecessor is gone");
                    } else {
                        tracing::info!(%error, "upgrade: the connection to the predecessor is lost");
                    }
                    predecessor.protocol.on_disconnected(now)
                }
            };
            self.apply_successor_effects(now, effects, steps);
            self.drop_received_sockets();
        }
    }

    fn drop_received_sockets(&mut self) {
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.received_sockets.clear();
        }
    }

    /// Handles expired deadlines of the successor's side.
    pub(super) fn poll_predecessor(
        &mut self,
        now: Micros,
        can_serve: bool,
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        if let Some(predecessor) = &mut self.predecessor {
            let effects = predecessor.protocol.poll(now, can_serve);
            self.apply_successor_effects(now, effects, steps);
        }
    }

    /// Executes effects; if that fails, executes the effects of the disconnection.
    fn apply_successor_effects(
        &mut self,
        now: Micros,
        effects: Vec<Effect>,
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        let reconnects = effects.contains(&Effect::Reconnect);
        let mut result = self.execute_successor_effects(effects, steps);
        if reconnects {
            result = self.reconnect_to_predecessor(now, steps);
        }
        let Err(error) = result else { return };
        tracing::info!(%error, "upgrade: the predecessor is gone");
        if let Some(predecessor) = &mut self.predecessor {
            let effects = predecessor.protocol.on_disconnected(now);
            // Nothing is sent to a lost process, so this can't fail.
            let _ = self.execute_successor_effects(effects, steps);
        }
    }

    fn reconnect_to_predecessor(
        &mut self,
        now: Micros,
        steps: &mut Vec<HotRestartStep<H>>,
    ) -> io::Result<()> {
        let channel = self
            .host
            .connect_to_predecessor(&self.handover_address, SocketOwner::Predecessor)?;
        let Some(predecessor) = &mut self.predecessor else {
            return Ok(());
        };
        predecessor.channel = Some(channel);
        let effects = predecessor.protocol.on_connected(now);
        self.execute_successor_effects(effects, steps)
    }

    pub(super) fn execute_successor_effects(
        &mut self,
        effects: Vec<Effect>,
        steps: &mut Vec<HotRestartStep<H>>,
    ) -> io::Result<()> {
        for effect in effects {
            self.execute_successor_effect(effect, steps)?;
        }
        Ok(())
    }

    fn execute_successor_effect(
        &mut self,
        effect: Effect,
        steps: &mut Vec<HotRestartStep<H>>,
    ) -> io::Result<()> {
        let Some(predecessor) = &mut self.predecessor else {
            return Ok(());
        };
        match effect {
            Effect::Send(message) => predecessor.send(&message)?,
            Effect::AdoptListeners(addresses) => {
                let listeners = predecessor.take_listeners(addresses);
                steps.push(HotRestartStep::AdoptListeners(listeners));
            }
            Effect::BindAllListeners => steps.push(HotRestartStep::Listen),
            Effect::StartAccepting => steps.push(HotRestartStep::Serve),
            Effect::OpenStore => steps.push(HotRestartStep::OpenKeyPersistence),
            Effect::SetPredecessorUsage(usage) => {
                self.predecessor_usage = usage;
                steps.push(HotRestartStep::SetPredecessorUsage(
                    self.total_predecessor_usage(),
                ));
            }
            Effect::RestoreLearnedState(snapshot) => {
                steps.push(HotRestartStep::RestoreLearnedState(snapshot));
            }
            Effect::ImportReputation(reputation) => {
                steps.push(HotRestartStep::ImportReputation(reputation));
            }
            Effect::Close => predecessor.channel = None,
            Effect::PredecessorLost => {
                let lost_usage = std::mem::take(&mut self.predecessor_usage);
                self.earlier_predecessors
                    .on_process_lost(self.host.now(), lost_usage);
                steps.push(HotRestartStep::SetPredecessorUsage(
                    self.total_predecessor_usage(),
                ));
            }
            // The caller connects after all effects have been executed.
            Effect::Reconnect => {}
        }
        Ok(())
    }
}
