//! The `results` section: storage of the results of keyed requests.

use super::{key_error, KeyError};
use crate::config::Config;
use cleatpulley_dispatcher::key_table::KeyTableOptions;
use cleatpulley_dispatcher::KeyScope;
use cleatpulley_policy::interface::Effect;
use cleatpulley_server::IdempotencyOptions;
use serde::Deserialize;
use std::fmt;
use std::path::PathBuf;

const US_PER_MS: u64 = 1_000;
/// Keys are stored for at most 30 days. Data that has to live longer belongs in a database.
const MAX_WINDOW_MS: u64 = 30 * 86_400_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ResultsSection {
    folder: String,
    classes: Vec<String>,
    #[serde(default = "default_window_ms")]
    window_ms: u64,
    #[serde(default = "default_max_entries")]
    max_entries: usize,
    #[serde(default = "default_max_mb")]
    max_mb: usize,
    #[serde(default = "default_stall_ms")]
    stall_ms: u64,
    #[serde(default = "default_entry_kb")]
    entry_kb: f64,
    #[serde(default = "default_owner")]
    owner: String,
    #[serde(default)]
    required: bool,
    #[serde(default)]
    frame_field: Option<String>,
}

fn default_window_ms() -> u64 {
    600_000
}

fn default_max_entries() -> usize {
    200_000
}

fn default_max_mb() -> usize {
    256
}

fn default_stall_ms() -> u64 {
    100
}

/// Memory of one entry in KB, rounded up.
fn default_entry_kb() -> f64 {
    0.2
}

fn default_owner() -> String {
    "caller".to_owned()
}

impl ResultsSection {
    /// Checks the section. `ajp_sends_keys` is true if AJP requests may carry a key.
    pub(super) fn check(
        self,
        config: &Config,
        ajp_sends_keys: bool,
    ) -> Result<IdempotencyOptions, KeyError> {
        if self.folder.is_empty() {
            return key_error("results.folder", "it is empty");
        }
        if self.classes.is_empty() {
            return key_error(
                "results.classes",
                "no class; to store no results, remove the section",
            );
        }
        let mut is_stored = vec![false; config.class_names.len()];
        let window = self.window_ms.saturating_mul(US_PER_MS);
        if self.window_ms > MAX_WINDOW_MS {
            return key_error(
                "results.window_ms",
                format!("{} is more than {MAX_WINDOW_MS}, 30 days", self.window_ms),
            );
        }
        for (i, name) in self.classes.iter().enumerate() {
            let key = format!("results.classes[{i}]");
            let Some(index) = config.class_names.iter().position(|class| class == name) else {
                return key_error(
                    key,
                    format!(
                        "{name:?} is not a class; the classes are {}",
                        config.class_names.join(", ")
                    ),
                );
            };
            let class = &config.settings.classes[index];
            if class.effect == Effect::Idempotent {
                return key_error(
                    key,
                    format!("{name:?} is idempotent and needs no stored results"),
                );
            }
            if class.effect == Effect::Deduplicated && !self.required {
                return key_error(
                    "results.required",
                    format!("{name:?} is deduplicated, so each request needs a key"),
                );
            }
            // The entry has to exist for as long as a repeat may come: while the first attempt awaits its
            // response, and within the deduplication window.
            let min_window = class
                .client_timeout
                .max(if class.effect == Effect::Deduplicated {
                    class.deduplication_window
                } else {
                    0
                });
            if window < min_window {
                let message = format!(
                    "{} is less than the {} ms in which {name:?} may be retried",
                    self.window_ms,
                    min_window / US_PER_MS
                );
                return key_error("results.window_ms", message);
            }
            is_stored[index] = true;
        }
        if !ajp_sends_keys && self.frame_field.is_none() {
            return key_error(
                "results.frame_field",
                "no protocol carries keys: set a field of frames, or ajp.figures.key",
            );
        }
        if let Some(field) = &self.frame_field {
            let protocol_fields = [
                "verb", "txn", "door", "lb", "cpu", "ram", "standing", "item",
            ];
            if field.is_empty() || field.len() > 255 || protocol_fields.contains(&field.as_str()) {
                return key_error(
                    "results.frame_field",
                    format!("{field:?} is empty, too long or already used"),
                );
            }
        }
        let check_range = |key: &str, value: usize, max: usize| match value {
            _ if (1..=max).contains(&value) => Ok(value),
            _ => key_error(
                format!("results.{key}"),
                format!("{value} is not within 1 to {max}"),
            ),
        };
        if !(self.entry_kb >= 0.0 && self.entry_kb < 1_000.0) {
            return key_error(
                "results.entry_kb",
                format!("{} is not from 0 to under 1000", self.entry_kb),
            );
        }
        if !(1..=60_000).contains(&self.stall_ms) {
            return key_error(
                "results.stall_ms",
                format!("{} is not within 1 to 60000", self.stall_ms),
            );
        }
        let scope = match self.owner.as_str() {
            "all" => KeyScope::Global,
            "caller" => KeyScope::PerCaller,
            other => {
                return key_error(
                    "results.owner",
                    format!("{other:?} is neither \"all\" nor \"caller\""),
                )
            }
        };
        let capacity = KeyTableOptions {
            max_entries: check_range("max_entries", self.max_entries, 50_000_000)?,
            max_result_bytes: check_range("max_mb", self.max_mb, 1_000_000)? * 1_000_000,
            deduplication_window: window,
            stall_timeout: self.stall_ms * US_PER_MS,
            hash_seed: config.seed,
        };
        Ok(IdempotencyOptions {
            folder: PathBuf::from(self.folder),
            is_durable: true,
            classes: is_stored,
            required: self.required,
            scope,
            capacity,
            key_entry_kb: self.entry_kb,
            key_frame_field: self.frame_field,
        })
    }
}

/// Writes the options as one line.
pub(crate) fn write_summary(options: &IdempotencyOptions, f: &mut impl fmt::Write) -> fmt::Result {
    let KeyTableOptions {
        max_entries: entries,
        max_result_bytes: bytes,
        deduplication_window,
        stall_timeout,
        ..
    } = options.capacity;
    let classes = options
        .classes
        .iter()
        .filter(|is_stored| **is_stored)
        .count();
    write!(
        f,
        "results: of {classes} classes in {}; for {} ms, {entries} keys and {} MB at most; keys {}, {}; stalled after {} ms",
        options.folder.display(),
        deduplication_window / US_PER_MS,
        bytes / 1_000_000,
        if options.scope == KeyScope::Global { "shared by all callers" } else { "of each caller" },
        if options.required { "required" } else { "optional" },
        stall_timeout / US_PER_MS,
    )
}
