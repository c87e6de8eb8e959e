//! The consensus library's part of a node.

use crate::change::{Change, LogIndex};
use crate::configuration::Configuration;
use crate::log::DurableLog;
use crate::settings::Settings;
use crate::storage::DurableStorage;
use omnipaxos::errors::ConfigError;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

/// The consensus library on the durable log.
pub(super) type Paxos<S> = OmniPaxos<Change, DurableLog<S>>;

/// Builds the consensus library's part of a node from its log; `None` if the process is not a
/// member of the configuration.
pub(super) fn build_paxos<S: DurableStorage>(
    settings: &Settings,
    configuration: &Configuration,
    log: &DurableLog<S>,
) -> Result<Option<Paxos<S>>, ConfigError> {
    if !configuration.has_member(settings.node_id) {
        return Ok(None);
    }
    let cluster_config = ClusterConfig {
        configuration_id: configuration.id,
        nodes: configuration.members.clone(),
        flexible_quorum: None,
    };
    let server_config = ServerConfig {
        pid: settings.node_id,
        election_tick_timeout: settings.election_timeout_ticks,
        resend_message_tick_timeout: settings.election_timeout_ticks,
        ..ServerConfig::default()
    };
    let config = OmniPaxosConfig {
        cluster_config,
        server_config,
    };
    config.build(log.clone()).map(Some)
}

/// Returns the number of entries that the log has accepted.
pub(super) fn accepted_index<S: DurableStorage>(paxos: &Paxos<S>) -> LogIndex {
    LogIndex(paxos.get_accepted_idx() as u64)
}

/// Returns the number of entries that are known to be decided.
pub(super) fn decided_index<S: DurableStorage>(paxos: &Paxos<S>) -> LogIndex {
    LogIndex(paxos.get_decided_idx() as u64)
}
