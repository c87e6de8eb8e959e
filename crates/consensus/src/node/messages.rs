//! Received messages.

use super::paxos::accepted_index;
use super::Node;
use crate::change::{Change, LogIndex};
use crate::configuration::{ConfigurationId, NodeId};
use crate::lease::ProbeId;
use crate::message::{DecodeError, Endpoints, Message};
use crate::storage::DurableStorage;
use cleatpulley_policy::interface::Micros;
use omnipaxos::messages::Message as PaxosMessage;
use std::cmp::Ordering;

impl<S: DurableStorage> Node<S> {
    /// Handles a message that was received on the session with a process.
    ///
    /// # Errors
    ///
    /// Returns an error where the bytes are not a message of that session. The node is unchanged
    /// then, and the session is best closed.
    pub fn handle_message(
        &mut self,
        now: Micros,
        sender: NodeId,
        bytes: &[u8],
    ) -> Result<(), DecodeError> {
        let endpoints = Endpoints {
            sender,
            recipient: self.settings.node_id,
        };
        let message = Message::decode(bytes, endpoints)?;
        if self.failure.is_some() {
            return Ok(());
        }
        self.dispatch(sender, message);
        self.advance(now);
        Ok(())
    }

    fn dispatch(&mut self, sender: NodeId, message: Message) {
        match message {
            Message::Paxos {
                configuration,
                message,
            } => {
                if self.is_current(sender, configuration) {
                    self.handle_paxos(sender, message);
                }
            }
            Message::AcceptedIndexRequest {
                configuration,
                probe,
            } => {
                if self.is_current(sender, configuration) {
                    self.respond_to_probe(sender, probe);
                }
            }
            Message::AcceptedIndexResponse {
                configuration,
                probe,
                accepted_index,
            } => {
                if configuration == self.configuration.id {
                    self.lease.on_response(probe, sender, accepted_index);
                }
            }
            Message::InstallConfiguration {
                configuration,
                initial_table,
            } => {
                if configuration.id > self.configuration.id {
                    self.install_configuration(configuration, *initial_table);
                }
            }
        }
    }

    /// Returns whether the sender is in the same configuration. Otherwise the message is ignored, and
    /// whichever of the two is behind is sent the later configuration.
    fn is_current(&mut self, sender: NodeId, configuration: ConfigurationId) -> bool {
        match configuration.cmp(&self.configuration.id) {
            Ordering::Equal => true,
            Ordering::Greater => {
                self.request_configuration(sender);
                false
            }
            Ordering::Less => {
                self.send_configuration(sender);
                false
            }
        }
    }

    fn handle_paxos(&mut self, sender: NodeId, message: PaxosMessage<Change>) {
        let is_member = self.configuration.has_member(sender);
        if let Some(paxos) = self.paxos.as_mut().filter(|_| is_member) {
            paxos.handle_incoming(message);
        }
    }

    fn respond_to_probe(&mut self, sender: NodeId, probe: ProbeId) {
        let accepted_index = self.paxos.as_ref().map_or(LogIndex(0), accepted_index);
        let response = Message::AcceptedIndexResponse {
            configuration: self.configuration.id,
            probe,
            accepted_index,
        };
        self.outbox.send(sender, &response);
    }

    /// Requests the configuration of a process that is in a later one: a request that names the
    /// earlier configuration is answered with the later one.
    fn request_configuration(&mut self, recipient: NodeId) {
        let request = Message::AcceptedIndexRequest {
            configuration: self.configuration.id,
            probe: ProbeId::UNTRACKED,
        };
        self.outbox.send(recipient, &request);
    }

    fn send_configuration(&mut self, recipient: NodeId) {
        let message = Message::InstallConfiguration {
            configuration: self.configuration.clone(),
            initial_table: Box::new(self.initial_table.clone()),
        };
        self.outbox.send(recipient, &message);
    }
}
