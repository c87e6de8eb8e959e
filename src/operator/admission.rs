//! The `admission` section: which clients get a connection slot.

use super::{key_error, KeyError};
use cleatpulley_connection_admission::address_prefix::{AddressPrefix, PrefixLengths};
use cleatpulley_connection_admission::rate_sketch::RateLimit;
use cleatpulley_connection_admission::reputation::ReputationSettings;
use cleatpulley_connection_admission::settings::ConnectionLimits;
use cleatpulley_connection_admission::Settings;
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};

const US_PER_SECOND: u64 = 1_000_000;
/// Cells in each row of the sketches that count new connections: one megabyte for addresses, and an
/// eighth of that for prefixes. Twice as many cells would not fit the caches of most cores, and a
/// decision would take half as long again.
pub const SKETCH_WIDTH: usize = 32_768;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AdmissionSection {
    #[serde(default)]
    named: Vec<String>,
    #[serde(default = "default_reserve")]
    reserve: f64,
    #[serde(default)]
    address: CapSection,
    #[serde(default)]
    prefix: CapSection,
    #[serde(default = "default_prefix_bits")]
    prefix_bits: (u8, u8),
    #[serde(default)]
    earned: Option<EarnedSection>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct CapSection {
    places: Option<usize>,
    per_second: Option<f64>,
    burst: Option<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EarnedSection {
    #[serde(default = "default_points")]
    points: f64,
    #[serde(default = "default_half_life_s")]
    half_life_s: u64,
    #[serde(default = "default_max_addresses")]
    most: usize,
    #[serde(default = "default_max_addresses_per_prefix")]
    of_prefix: usize,
    #[serde(default)]
    folder: Option<String>,
}

fn default_reserve() -> f64 {
    0.2
}

fn default_prefix_bits() -> (u8, u8) {
    (24, 64)
}

fn default_points() -> f64 {
    100.0
}

fn default_half_life_s() -> u64 {
    3_600
}

fn default_max_addresses() -> usize {
    10_000
}

fn default_max_addresses_per_prefix() -> usize {
    8
}

impl CapSection {
    fn check(self, subsection: &str) -> Result<ConnectionLimits, KeyError> {
        if self.places == Some(0) {
            return key_error(
                format!("admission.{subsection}.places"),
                "0 admits no connection; for no limit, remove it",
            );
        }
        let rate = match (self.per_second, self.burst) {
            (None, None) => None,
            (None, Some(_)) => {
                return key_error(
                    format!("admission.{subsection}.per_second"),
                    "it is required with a burst",
                );
            }
            (Some(per_second), burst) => {
                if !(per_second > 0.0 && per_second <= 1e6) {
                    let message = format!("{per_second} is not above 0 and up to 1000000");
                    return key_error(format!("admission.{subsection}.per_second"), message);
                }
                let burst = burst.unwrap_or_else(|| per_second.max(1.0));
                if !(1.0..=1e6).contains(&burst) {
                    let message = format!("{burst} is not within 1 to 1000000");
                    return key_error(format!("admission.{subsection}.burst"), message);
                }
                Some(RateLimit { per_second, burst })
            }
        };
        Ok(ConnectionLimits {
            slots: self.places,
            rate,
        })
    }
}

impl AdmissionSection {
    /// Checks the section. Returns the settings and the folder that the reputation of addresses is
    /// persisted in, a subfolder named after the matcher. Paths are relative to `base_folder`.
    pub(super) fn check(
        self,
        matcher_name: &str,
        base_folder: &Path,
    ) -> Result<(Settings, Option<PathBuf>), KeyError> {
        let mut allowlist = Vec::new();
        for (i, text) in self.named.iter().enumerate() {
            match text.parse::<AddressPrefix>() {
                Ok(prefix) => allowlist.push(prefix),
                Err(message) => return key_error(format!("admission.named[{i}]"), message),
            }
        }
        if !(0.0..=0.9).contains(&self.reserve) {
            return key_error(
                "admission.reserve",
                format!("{} is not within 0 to 0.9", self.reserve),
            );
        }
        let (ipv4_bits, ipv6_bits) = self.prefix_bits;
        if !(8..=32).contains(&ipv4_bits) || !(16..=128).contains(&ipv6_bits) {
            let message =
                format!("{ipv4_bits} and {ipv6_bits} are not within 8 to 32 and 16 to 128");
            return key_error("admission.prefix_bits", message);
        }
        let folder_setting = self
            .earned
            .as_ref()
            .and_then(|earned| earned.folder.as_deref());
        let folder = folder_setting
            .map(|setting| reputation_folder(setting, matcher_name, base_folder))
            .transpose()?;
        let reputation = match self.earned {
            None => None,
            Some(earned) => {
                if !(1.0..=1e6).contains(&earned.points) {
                    let message = format!("{} is not within 1 to 1000000", earned.points);
                    return key_error("admission.earned.points", message);
                }
                let check_range = |key: &str, value: usize, max: usize| match value {
                    _ if (1..=max).contains(&value) => Ok(value),
                    _ => key_error(
                        format!("admission.earned.{key}"),
                        format!("{value} is not within 1 to {max}"),
                    ),
                };
                let half_life_s =
                    check_range("half_life_s", earned.half_life_s as usize, 31_536_000)?;
                Some(ReputationSettings {
                    known_threshold: earned.points,
                    half_life: half_life_s as u64 * US_PER_SECOND,
                    max_addresses: check_range("most", earned.most, 1_000_000)?,
                    max_addresses_per_prefix: check_range(
                        "of_prefix",
                        earned.of_prefix,
                        1_000_000,
                    )?,
                })
            }
        };
        let settings = Settings {
            allowlist,
            reserved_share: self.reserve,
            address_limits: self.address.check("address")?,
            prefix_limits: self.prefix.check("prefix")?,
            prefix_lengths: PrefixLengths {
                ipv4: self.prefix_bits.0,
                ipv6: self.prefix_bits.1,
            },
            reputation,
            sketch_width: SKETCH_WIDTH,
            seed: 0,
        };
        Ok((settings, folder))
    }
}

/// Returns the folder of one matcher below the folder of the setting. Rejects a matcher name that
/// would lead to another folder; each matcher needs a folder of its own.
fn reputation_folder(setting: &str, name: &str, base_folder: &Path) -> Result<PathBuf, KeyError> {
    if setting.is_empty() {
        return key_error("admission.earned.folder", "it is empty");
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if name.is_empty() || name.starts_with('.') || !name.chars().all(is_allowed) {
        let message = format!(
            "the matcher's name {name:?} can be no folder's: letters, digits, '.', '_' and '-' can"
        );
        return key_error("admission.earned.folder", message);
    }
    Ok(base_folder.join(setting).join(name))
}

/// Writes the settings as one line.
pub(super) fn write_summary(
    settings: &Settings,
    folder: Option<&Path>,
    f: &mut fmt::Formatter<'_>,
) -> fmt::Result {
    let describe_limits = |limits: &ConnectionLimits| {
        let slots = limits
            .slots
            .map_or("any number of places".to_owned(), |slots| {
                format!("{slots} places")
            });
        let rate = limits.rate.map_or("any rate".to_owned(), |rate| {
            format!(
                "{} new a second and {} at once",
                rate.per_second, rate.burst
            )
        });
        format!("{slots}, {rate}")
    };
    let PrefixLengths {
        ipv4: ipv4_bits,
        ipv6: ipv6_bits,
    } = settings.prefix_lengths;
    write!(
        f,
        "admission: {} nets named, {:.0}% of the places kept for known callers; an address: {}; a prefix (/{ipv4_bits}, /{ipv6_bits}): {}; {}",
        settings.allowlist.len(),
        settings.reserved_share * 100.0,
        describe_limits(&settings.address_limits),
        describe_limits(&settings.prefix_limits),
        settings.reputation.map_or("standing is not earned".to_owned(), |reputation| format!(
            "known from {} points on, half of which fades in {} s, {} addresses at most, {} of a prefix",
            reputation.known_threshold,
            reputation.half_life / US_PER_SECOND,
            reputation.max_addresses,
            reputation.max_addresses_per_prefix
        )),
    )?;
    match (settings.reputation, folder) {
        (Some(_), Some(folder)) => write!(f, ", kept in {}", folder.display()),
        (Some(_), None) => write!(f, ", forgotten at a restart"),
        (None, _) => Ok(()),
    }
}
