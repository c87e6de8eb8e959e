//! The section on who gets a place.

use super::{wrong, Wrong};
use cleatpulley_connection_admission::address_prefix::{AddressPrefix, PrefixLengths};
use cleatpulley_connection_admission::rate_sketch::RateLimit;
use cleatpulley_connection_admission::reputation::ReputationSettings;
use cleatpulley_connection_admission::settings::ConnectionLimits;
use cleatpulley_connection_admission::Settings;
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};

const SECOND: u64 = 1_000_000;
/// Cells of each row of the counts of new connections: a megabyte for addresses, and an eighth of that for prefixes. Twice
/// as many would lie beyond the caches of most cores, and a decision would take half as long again.
pub const WIDTH: usize = 32_768;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AdmissionSection {
    #[serde(default)]
    named: Vec<String>,
    #[serde(default = "reserve")]
    reserve: f64,
    #[serde(default)]
    address: CapSection,
    #[serde(default)]
    prefix: CapSection,
    #[serde(default = "bits")]
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
    #[serde(default = "points")]
    points: f64,
    #[serde(default = "half_life")]
    half_life_s: u64,
    #[serde(default = "most")]
    most: usize,
    #[serde(default = "of_prefix")]
    of_prefix: usize,
    #[serde(default)]
    folder: Option<String>,
}

fn reserve() -> f64 {
    0.2
}

fn bits() -> (u8, u8) {
    (24, 64)
}

fn points() -> f64 {
    100.0
}

fn half_life() -> u64 {
    3_600
}

fn most() -> usize {
    10_000
}

fn of_prefix() -> usize {
    8
}

impl CapSection {
    fn check(self, name: &str) -> Result<ConnectionLimits, Wrong> {
        if self.places == Some(0) {
            return wrong(
                format!("admission.{name}.places"),
                "0 lets nobody in; leave it out for no cap",
            );
        }
        let rate = match (self.per_second, self.burst) {
            (None, None) => None,
            (None, Some(_)) => {
                return wrong(format!("admission.{name}.per_second"), "a burst needs it");
            }
            (Some(per_second), burst) => {
                if !(per_second > 0.0 && per_second <= 1e6) {
                    let what = format!("{per_second} is not above 0 and up to 1000000");
                    return wrong(format!("admission.{name}.per_second"), what);
                }
                let burst = burst.unwrap_or_else(|| per_second.max(1.0));
                if !(1.0..=1e6).contains(&burst) {
                    let what = format!("{burst} is not within 1 to 1000000");
                    return wrong(format!("admission.{name}.burst"), what);
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
    /// The settings, and the folder that earned standing is kept in: each matcher has one of its own there, by its name.
    pub(super) fn check(
        self,
        name: &str,
        beside: &Path,
    ) -> Result<(Settings, Option<PathBuf>), Wrong> {
        let mut named = Vec::new();
        for (i, text) in self.named.iter().enumerate() {
            match text.parse::<AddressPrefix>() {
                Ok(net) => named.push(net),
                Err(what) => return wrong(format!("admission.named[{i}]"), what),
            }
        }
        if !(0.0..=0.9).contains(&self.reserve) {
            return wrong(
                "admission.reserve",
                format!("{} is not within 0 to 0.9", self.reserve),
            );
        }
        let (four, six) = self.prefix_bits;
        if !(8..=32).contains(&four) || !(16..=128).contains(&six) {
            let what = format!("{four} and {six} are not within 8 to 32 and 16 to 128");
            return wrong("admission.prefix_bits", what);
        }
        let kept = self
            .earned
            .as_ref()
            .and_then(|earned| earned.folder.as_deref());
        let folder = kept.map(|text| folder_of(text, name, beside)).transpose()?;
        let earned = match self.earned {
            None => None,
            Some(earned) => {
                if !(1.0..=1e6).contains(&earned.points) {
                    let what = format!("{} is not within 1 to 1000000", earned.points);
                    return wrong("admission.earned.points", what);
                }
                let within = |key: &str, value: usize, most: usize| match value {
                    _ if (1..=most).contains(&value) => Ok(value),
                    _ => wrong(
                        format!("admission.earned.{key}"),
                        format!("{value} is not within 1 to {most}"),
                    ),
                };
                let half_life = within("half_life_s", earned.half_life_s as usize, 31_536_000)?;
                Some(ReputationSettings {
                    known_threshold: earned.points,
                    half_life: half_life as u64 * SECOND,
                    max_addresses: within("most", earned.most, 1_000_000)?,
                    max_addresses_per_prefix: within("of_prefix", earned.of_prefix, 1_000_000)?,
                })
            }
        };
        let settings = Settings {
            allowlist: named,
            reserved_share: self.reserve,
            address_limits: self.address.check("address")?,
            prefix_limits: self.prefix.check("prefix")?,
            prefix_lengths: PrefixLengths {
                ipv4: self.prefix_bits.0,
                ipv6: self.prefix_bits.1,
            },
            reputation: earned,
            sketch_width: WIDTH,
            seed: 0,
        };
        Ok((settings, folder))
    }
}

/// Guards against a name that leads elsewhere, and against two matchers with one folder.
fn folder_of(text: &str, name: &str, beside: &Path) -> Result<PathBuf, Wrong> {
    if text.is_empty() {
        return wrong("admission.earned.folder", "it names no folder");
    }
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if name.is_empty() || name.starts_with('.') || !name.chars().all(plain) {
        let what = format!(
            "the matcher's name {name:?} can be no folder's: letters, digits, '.', '_' and '-' can"
        );
        return wrong("admission.earned.folder", what);
    }
    Ok(beside.join(text).join(name))
}

pub(super) fn show(
    settings: &Settings,
    folder: Option<&Path>,
    f: &mut fmt::Formatter<'_>,
) -> fmt::Result {
    let cap = |cap: &ConnectionLimits| {
        let places = cap
            .slots
            .map_or("any number of places".to_owned(), |places| {
                format!("{places} places")
            });
        let rate = cap.rate.map_or("any rate".to_owned(), |rate| {
            format!(
                "{} new a second and {} at once",
                rate.per_second, rate.burst
            )
        });
        format!("{places}, {rate}")
    };
    let PrefixLengths {
        ipv4: four,
        ipv6: six,
    } = settings.prefix_lengths;
    write!(
        f,
        "admission: {} nets named, {:.0}% of the places kept for known callers; an address: {}; a prefix (/{four}, /{six}): {}; {}",
        settings.allowlist.len(),
        settings.reserved_share * 100.0,
        cap(&settings.address_limits),
        cap(&settings.prefix_limits),
        settings.reputation.map_or("standing is not earned".to_owned(), |earned| format!(
            "known from {} points on, half of which fades in {} s, {} addresses at most, {} of a prefix",
            earned.known_threshold,
            earned.half_life / SECOND,
            earned.max_addresses,
            earned.max_addresses_per_prefix
        )),
    )?;
    match (settings.reputation, folder) {
        (Some(_), Some(folder)) => write!(f, ", kept in {}", folder.display()),
        (Some(_), None) => write!(f, ", forgotten at a restart"),
        (None, _) => Ok(()),
    }
}
