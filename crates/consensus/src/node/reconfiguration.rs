//! Configuration changes. The log of a configuration ends with a stop sign, which names the next
//! configuration; the log of that one starts from the table that this one ended with.

use super::error::ReconfigureError;
use super::event::Event;
use super::paxos::{build_paxos, Paxos};
use super::Node;
use crate::configuration::{check_members, Configuration, NodeId};
use crate::storage::DurableStorage;
use crate::table::Table;
use omnipaxos::{ClusterConfig, ProposeErr};

impl<S: DurableStorage> Node<S> {
    /// Proposes a configuration with other members. [`Event::ConfigurationChanged`] reports it once
    /// it is in force.
    ///
    /// # Errors
    ///
    /// Returns an error where the members can't form a group, this process is not a member, or
    /// another configuration is being decided.
    pub fn propose_configuration(&mut self, members: Vec<NodeId>) -> Result<(), ReconfigureError> {
        check_members(&members)?;
        let Some(paxos) = &mut self.paxos else {
            return Err(ReconfigureError::NotAMember);
        };
        let next = ClusterConfig {
            configuration_id: self.configuration.id + 1,
            nodes: members,
            flexible_quorum: None,
        };
        paxos.reconfigure(next, None).map_err(|error| match error {
            ProposeErr::ConfigError(source, ..) => ReconfigureError::Rejected(source),
            ProposeErr::PendingReconfigEntry(_) | ProposeErr::PendingReconfigConfig(..) => {
                ReconfigureError::ChangeInProgress
            }
        })
    }

    /// Changes to the next configuration, if the log has decided its stop sign.
    pub(super) fn adopt_decided_configuration(&mut self) {
        let Some(stop_sign) = self.paxos.as_ref().and_then(Paxos::is_reconfigured) else {
            return;
        };
        let next = stop_sign.next_config;
        if next.configuration_id <= self.configuration.id {
            return;
        }
        let configuration = Configuration {
            id: next.configuration_id,
            members: next.nodes,
            base_epoch: self.table.epoch,
        };
        self.enter(configuration, self.table.clone());
    }

    /// Changes to a later configuration that another process has sent with its initial table.
    /// One that contradicts itself or this process's table is ignored.
    pub(super) fn install_configuration(
        &mut self,
        configuration: Configuration,
        initial_table: Table,
    ) {
        let is_valid = check_members(&configuration.members).is_ok()
            && initial_table.epoch == configuration.base_epoch
            && initial_table.epoch >= self.table.epoch;
        if !is_valid {
            return;
        }
        self.events.push(Event::TableInstalled(initial_table.epoch));
        self.enter(configuration, initial_table);
    }

    /// Starts the log of a configuration.
    fn enter(&mut self, configuration: Configuration, initial_table: Table) {
        self.log.reset(&configuration, &initial_table);
        self.lease.change_quorum(configuration.quorum_size());
        self.proposals.resubmit();
        self.configuration = configuration.clone();
        self.table = initial_table.clone();
        self.initial_table = initial_table;
        match build_paxos(&self.settings, &self.configuration, &self.log) {
            Ok(paxos) => self.paxos = paxos,
            Err(error) => self.fail(error.into()),
        }
        self.events.push(Event::ConfigurationChanged(configuration));
        for peer in self.outbox.connected_peers() {
            self.reconnect_member(peer);
        }
    }

    /// Has the consensus library resend what a new session with a member requires.
    pub(super) fn reconnect_member(&mut self, peer: NodeId) {
        let is_member = self.configuration.has_member(peer);
        if let Some(paxos) = self.paxos.as_mut().filter(|_| is_member) {
            paxos.reconnected(peer);
        }
    }
}
