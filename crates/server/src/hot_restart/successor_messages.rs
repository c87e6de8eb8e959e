//! Accepting successors, their messages, and execution of the effects of this process's predecessor
//! side.

use super::channel_message::{receive_message, ReceivedMessage};
use super::connections::ACCEPT_RETRY_INTERVAL;
use super::step::HotRestartStep;
use super::{HotRestart, ListenerEntry};
use crate::host::{HandoverChannel as _, Host};
use crate::socket_owner::SocketOwner;
use cleatpulley_hot_restart::predecessor::Effect;
use cleatpulley_hot_restart::{Message, ProcessUsage};
use cleatpulley_policy::interface::Micros;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

impl<H: Host> HotRestart<H> {
    /// Accepts pending successors: the first one if there is none yet, while the others are
    /// rejected.
    pub(super) fn accept_successors(&mut self, now: Micros, steps: &mut Vec<HotRestartStep<H>>) {
        while now >= self.successor_listener.accept_at
            && std::mem::take(&mut self.successor_listener.is_acceptable)
        {
            let Some(socket) = &self.successor_listener.socket else {
                return;
            };
            let accepted = self.host.accept_successor(socket, SocketOwner::Successor);
            match accepted {
                Ok(channel) => self.on_successor_accepted(now, channel),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The process belongs to another user; another one may be pending after it.
                Err(error) if error.kind() == ErrorKind::PermissionDenied => {
                    tracing::warn!(%error, "upgrade: rejected a process of another user");
                }
                // The reserved descriptor has been freed for the successor, and accepting is
                // retried.
                Err(_) if self.successor_listener.reserved_descriptor.take().is_some() => {}
                Err(error) => {
                    // The delay prevents a busy loop while file descriptors are short.
                    tracing::warn!(%error, "upgrade: failed to accept a successor; retrying");
                    self.successor_listener.accept_at = now + ACCEPT_RETRY_INTERVAL;
                    steps.push(HotRestartStep::FreeDescriptor);
                }
            }
            self.successor_listener.is_acceptable = true;
        }
    }

    fn on_successor_accepted(&mut self, now: Micros, channel: H::HandoverChannel) {
        if self.successor.protocol.can_accept_peer() {
            self.successor.protocol.on_connected(now);
            self.successor.channel = Some(channel);
            return;
        }
        let reason = "another successor is here".to_owned();
        // The process may have ended already.
        let _ = channel.send(&Message::Rejected { reason }.encode(), &[]);
    }

    /// Reads all messages that have arrived from the successor.
    pub(super) fn read_successor(
        &mut self,
        now: Micros,
        listeners: &[ListenerEntry<'_, H>],
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        let listening = listeners.iter().filter(|(_, listener)| listener.is_some());
        let addresses: Vec<_> = listening.map(|(address, _)| *address).collect();
        while let Some(channel) = &self.successor.channel {
            let effects = match receive_message(channel) {
                Ok(None) => return,
                Ok(Some(ReceivedMessage { message, .. })) => self
                    .successor
                    .protocol
                    .on_message(now, &message, &addresses),
                Err(error) => {
                    tracing::info!(%error, "upgrade: the successor is gone");
                    self.successor.protocol.on_disconnected(now)
                }
            };
            self.apply_predecessor_effects(now, effects, listeners, steps);
        }
    }

    /// Handles the death of the successor: connects to a process that has taken over from it, if
    /// there is one, and reports the usage of this process to it.
    pub(super) fn find_serving_process(
        &mut self,
        now: Micros,
        listeners: &[ListenerEntry<'_, H>],
        usage: impl Fn() -> ProcessUsage,
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        // The path may still belong to this process itself.
        self.successor_listener.socket = None;
        let connected = self
            .host
            .connect_to_predecessor(&self.handover_address, SocketOwner::Successor);
        // If there is none, the attempt is repeated until the search times out.
        let Ok(channel) = connected else { return };
        tracing::info!("upgrade: connected to the process that took over from the lost successor");
        self.successor.channel = Some(channel);
        let effects = self
            .successor
            .protocol
            .on_serving_process_found(now, usage());
        self.apply_predecessor_effects(now, effects, listeners, steps);
    }

    /// Executes effects; if that fails, executes the effects of the disconnection.
    pub(super) fn apply_predecessor_effects(
        &mut self,
        now: Micros,
        effects: Vec<Effect>,
        listeners: &[ListenerEntry<'_, H>],
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        if let Err(error) = self.execute_predecessor_effects(effects, listeners, steps) {
            tracing::info!(%error, "upgrade: the successor is gone");
            let effects = self.successor.protocol.on_disconnected(now);
            // Nothing is sent to a lost process, so this can't fail.
            let _ = self.execute_predecessor_effects(effects, listeners, steps);
        }
    }

    fn execute_predecessor_effects(
        &mut self,
        effects: Vec<Effect>,
        listeners: &[ListenerEntry<'_, H>],
        steps: &mut Vec<HotRestartStep<H>>,
    ) -> io::Result<()> {
        for effect in effects {
            self.execute_predecessor_effect(effect, listeners, steps)?;
        }
        Ok(())
    }

    fn execute_predecessor_effect(
        &mut self,
        effect: Effect,
        listeners: &[ListenerEntry<'_, H>],
        steps: &mut Vec<HotRestartStep<H>>,
    ) -> io::Result<()> {
        match effect {
            Effect::Send(message) => self.successor.send(&message)?,
            Effect::SendWithListeners(message) => self.hand_over_listeners(&message, listeners)?,
            Effect::StopAccepting => steps.push(HotRestartStep::YieldConnections),
            Effect::ResumeAccepting => steps.push(HotRestartStep::ResumeServing),
            Effect::Close => self.successor.channel = None,
            Effect::AttachEarlierPredecessor(usage) => {
                tracing::info!(
                    "upgrade: connected to an earlier predecessor whose successor is gone"
                );
                if let Some(channel) = self.successor.channel.take() {
                    self.earlier_predecessors.add(channel, usage);
                }
                steps.push(HotRestartStep::SetPredecessorUsage(
                    self.total_predecessor_usage(),
                ));
            }
            // The caller searches before it executes the other effects.
            Effect::FindServingProcess => {}
        }
        Ok(())
    }

    /// Sends an offer together with the listeners of its addresses.
    fn hand_over_listeners(
        &self,
        message: &Message,
        listeners: &[ListenerEntry<'_, H>],
    ) -> io::Result<()> {
        let Message::ListenerOffer { addresses, .. } = message else {
            return Ok(());
        };
        let find_listener = |offered: &SocketAddr| {
            let entry = listeners.iter().find(|(address, _)| address == offered);
            entry.and_then(|(_, listener)| *listener)
        };
        let offered_listeners: Vec<_> = addresses.iter().filter_map(find_listener).collect();
        self.successor
            .channel()?
            .send(&message.encode(), &offered_listeners)
    }
}
