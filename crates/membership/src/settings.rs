//! Timeouts and limits of the membership protocol.

use crate::authentication::HEADER_BYTES;
use crate::shared_metrics::RENEWAL_INTERVAL;
use cleatpulley_policy::interface::Micros;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Maximum length of a sent datagram, in bytes: below the MTU of any path, so that none is
/// fragmented.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Length of a datagram before the gossip, in bytes: authentication header and payload kind.
const HEADER_AND_KIND_BYTES: usize = HEADER_BYTES + 1;
/// Minimum probe interval.
const MIN_PROBE_INTERVAL: Micros = 10_000;
/// Minimum suspicion timeout, in probe intervals.
const MIN_SUSPICION_PROBES: Micros = 2;
/// Minimum number of renewals within the lifetime of a metric.
const MIN_RENEWALS: Micros = 2;
/// Valid range of the limit on known processes.
const MEMBER_LIMITS: RangeInclusive<usize> = 2..=4_096;
/// Number of processes that are requested to send an indirect probe, or gossiped to in one round.
const FANOUT: NonZeroUsize = NonZeroUsize::MIN.saturating_add(2);
/// Number of times that each update is gossiped.
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::MIN.saturating_add(9);
/// Probe intervals between two announcements to a member that is up.
const ANNOUNCE_PROBES: Micros = 20;
/// Probe intervals between two announcements to members that are down. They let the two sides of a
/// healed partition find each other.
const ANNOUNCE_TO_DOWN_PROBES: Micros = 4;
/// Number of gossip rounds in a probe interval.
const GOSSIP_ROUNDS_PER_PROBE: Micros = 2;

/// Timeouts and limits of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Interval at which a process probes another one.
    pub probe_interval: Micros,
    /// Time after which indirect probes are sent if a direct probe has not been acknowledged; less
    /// than half of `probe_interval`.
    pub ack_timeout: Micros,
    /// Time within which a suspected process has to refute the suspicion, or is declared down.
    pub suspicion_timeout: Micros,
    /// Time for which a process that is down is remembered, so that late gossip about it does not
    /// bring it back.
    pub down_retention: Micros,
    /// Lifetime of a shared metric that is not renewed.
    pub metric_lifetime: Micros,
    /// Limit on the number of known processes.
    pub max_members: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: 500_000,
            ack_timeout: 200_000,
            suspicion_timeout: 5_000_000,
            down_retention: 30_000_000,
            metric_lifetime: 10_000_000,
            max_members: 512,
        }
    }
}

/// A setting whose value is invalid, by itself or together with the other settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct InvalidSetting {
    /// Name of the setting.
    pub key: &'static str,
    /// The reason why its value is invalid.
    pub reason: String,
}

impl Settings {
    /// Checks each value by itself and together with the others.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        ensure(
            self.probe_interval >= MIN_PROBE_INTERVAL,
            "probe",
            "is less than 10 ms",
        )?;
        ensure(
            self.ack_timeout > 0 && self.ack_timeout < self.probe_interval / 2,
            "answer",
            "has to be more than 0 and less than half of probe: indirect probes take the other half",
        )?;
        ensure(
            self.suspicion_timeout >= MIN_SUSPICION_PROBES * self.probe_interval,
            "suspicion",
            "is less than twice probe: one lost datagram could get a live member declared down",
        )?;
        ensure(
            self.down_retention >= self.suspicion_timeout,
            "remembered",
            "is less than suspicion",
        )?;
        ensure(
            self.metric_lifetime >= MIN_RENEWALS * RENEWAL_INTERVAL,
            "figures",
            "is less than 4 s, in which each metric is renewed twice",
        )?;
        ensure(
            MEMBER_LIMITS.contains(&self.max_members),
            "most",
            "has to be between 2 and 4096",
        )
    }

    /// Returns the configuration of the SWIM library.
    pub(crate) fn foca_config(&self) -> Config {
        Config {
            probe_period: Duration::from_micros(self.probe_interval),
            probe_rtt: Duration::from_micros(self.ack_timeout),
            num_indirect_probes: FANOUT,
            max_transmissions: MAX_TRANSMISSIONS,
            suspect_to_down_after: Duration::from_micros(self.suspicion_timeout),
            remove_down_after: Some(Duration::from_micros(self.down_retention)),
            max_packet_size: NonZeroUsize::new(MAX_DATAGRAM_BYTES - HEADER_AND_KIND_BYTES)
                .unwrap_or(NonZeroUsize::MIN),
            // The library would also notify members that have refuted their suspicion, so that live
            // members would rejoin needlessly. The state machine sends its own notices instead.
            notify_down_members: false,
            periodic_announce: periodic(ANNOUNCE_PROBES * self.probe_interval, NonZeroUsize::MIN),
            periodic_announce_to_down_members: periodic(
                ANNOUNCE_TO_DOWN_PROBES * self.probe_interval,
                FANOUT,
            ),
            periodic_gossip: periodic(self.probe_interval / GOSSIP_ROUNDS_PER_PROBE, FANOUT),
        }
    }
}

/// Returns an error for a setting unless its condition is met.
fn ensure(is_met: bool, key: &'static str, reason: &str) -> Result<(), InvalidSetting> {
    if is_met {
        return Ok(());
    }
    Err(InvalidSetting {
        key,
        reason: reason.to_owned(),
    })
}

/// Returns the parameters of a periodic message to this number of members.
fn periodic(interval: Micros, num_members: NonZeroUsize) -> Option<PeriodicParams> {
    Some(PeriodicParams {
        frequency: Duration::from_micros(interval),
        num_members,
    })
}
