//! The section on kept results.

use super::{wrong, Wrong};
use crate::config::Config;
use cleatpulley_dispatcher::key_table::KeyTableOptions;
use cleatpulley_dispatcher::KeyScope;
use cleatpulley_policy::interface::Effect;
use cleatpulley_server::IdempotencyOptions;
use serde::Deserialize;
use std::fmt;
use std::path::PathBuf;

const MS: u64 = 1_000;
/// A key is remembered for at most 30 days: what is kept for longer belongs into a database.
const LONGEST_WINDOW_MS: u64 = 30 * 86_400_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ResultsSection {
    folder: String,
    classes: Vec<String>,
    #[serde(default = "window")]
    window_ms: u64,
    #[serde(default = "entries")]
    max_entries: usize,
    #[serde(default = "megabytes")]
    max_mb: usize,
    #[serde(default = "stall")]
    stall_ms: u64,
    #[serde(default = "entry")]
    entry_kb: f64,
    #[serde(default = "owner")]
    owner: String,
    #[serde(default)]
    required: bool,
    #[serde(default)]
    frame_field: Option<String>,
}

fn window() -> u64 {
    600_000
}

fn entries() -> usize {
    200_000
}

fn megabytes() -> usize {
    256
}

fn stall() -> u64 {
    100
}

/// What an entry takes by measurement, rounded up.
fn entry() -> f64 {
    0.2
}

fn owner() -> String {
    "caller".to_owned()
}

impl ResultsSection {
    /// Checks it; `ajp_key` says whether AJP callers may tell a key.
    pub(super) fn check(self, config: &Config, ajp_key: bool) -> Result<IdempotencyOptions, Wrong> {
        if self.folder.is_empty() {
            return wrong("results.folder", "it names no folder");
        }
        if self.classes.is_empty() {
            return wrong(
                "results.classes",
                "no class; leave the section out to keep nothing",
            );
        }
        let mut classes = vec![false; config.class_names.len()];
        let window = self.window_ms.saturating_mul(MS);
        if self.window_ms > LONGEST_WINDOW_MS {
            return wrong(
                "results.window_ms",
                format!(
                    "{} is more than {LONGEST_WINDOW_MS}, 30 days",
                    self.window_ms
                ),
            );
        }
        for (i, name) in self.classes.iter().enumerate() {
            let key = format!("results.classes[{i}]");
            let Some(place) = config.class_names.iter().position(|known| known == name) else {
                return wrong(
                    key,
                    format!(
                        "{name:?} is no class; there are {}",
                        config.class_names.join(", ")
                    ),
                );
            };
            let class = &config.settings.classes[place];
            if class.effect == Effect::Idempotent {
                return wrong(
                    key,
                    format!("{name:?} is safe to repeat, and needs no result kept"),
                );
            }
            if class.effect == Effect::Deduplicated && !self.required {
                return wrong(
                    "results.required",
                    format!("{name:?} is deduplicated, which takes a key with each request"),
                );
            }
            // Guards against a repeat that comes while its first is still owed an answer and finds no entry.
            let least = class
                .client_timeout
                .max(if class.effect == Effect::Deduplicated {
                    class.deduplication_window
                } else {
                    0
                });
            if window < least {
                let what = format!(
                    "{} is less than the {} ms in which {name:?} may come again",
                    self.window_ms,
                    least / MS
                );
                return wrong("results.window_ms", what);
            }
            classes[place] = true;
        }
        if !ajp_key && self.frame_field.is_none() {
            return wrong(
                "results.frame_field",
                "no front brings keys: name a field of frames, or ajp.figures.key",
            );
        }
        if let Some(field) = &self.frame_field {
            let known = [
                "verb", "txn", "door", "lb", "cpu", "ram", "standing", "item",
            ];
            if field.is_empty() || field.len() > 255 || known.contains(&field.as_str()) {
                return wrong(
                    "results.frame_field",
                    format!("{field:?} is empty, too long or taken"),
                );
            }
        }
        let within = |key: &str, value: usize, most: usize| match value {
            _ if (1..=most).contains(&value) => Ok(value),
            _ => wrong(
                format!("results.{key}"),
                format!("{value} is not within 1 to {most}"),
            ),
        };
        if !(self.entry_kb >= 0.0 && self.entry_kb < 1_000.0) {
            return wrong(
                "results.entry_kb",
                format!("{} is not from 0 to under 1000", self.entry_kb),
            );
        }
        if !(1..=60_000).contains(&self.stall_ms) {
            return wrong(
                "results.stall_ms",
                format!("{} is not within 1 to 60000", self.stall_ms),
            );
        }
        let owner = match self.owner.as_str() {
            "all" => KeyScope::Global,
            "caller" => KeyScope::PerCaller,
            other => {
                return wrong(
                    "results.owner",
                    format!("{other:?} is neither \"all\" nor \"caller\""),
                )
            }
        };
        let bounds = KeyTableOptions {
            max_entries: within("max_entries", self.max_entries, 50_000_000)?,
            max_result_bytes: within("max_mb", self.max_mb, 1_000_000)? * 1_000_000,
            deduplication_window: window,
            stall_timeout: self.stall_ms * MS,
            hash_seed: config.seed,
        };
        Ok(IdempotencyOptions {
            folder: PathBuf::from(self.folder),
            is_durable: true,
            classes,
            required: self.required,
            scope: owner,
            capacity: bounds,
            key_entry_kb: self.entry_kb,
            key_frame_field: self.frame_field,
        })
    }
}

/// What they come to, in one line.
pub(crate) fn show(results: &IdempotencyOptions, f: &mut impl fmt::Write) -> fmt::Result {
    let KeyTableOptions {
        max_entries: entries,
        max_result_bytes: bytes,
        deduplication_window: window,
        stall_timeout: stall,
        ..
    } = results.capacity;
    let kept = results.classes.iter().filter(|kept| **kept).count();
    write!(
        f,
        "results: of {kept} classes in {}; for {} ms, {entries} keys and {} MB at most; keys {}, {}; stalled after {} ms",
        results.folder.display(),
        window / MS,
        bytes / 1_000_000,
        if results.scope == KeyScope::Global { "shared by all callers" } else { "of each caller" },
        if results.required { "required" } else { "optional" },
        stall / MS,
    )
}
