//! What a controller has learned, as it is passed on: with a version, the site it is of, its age and a checksum, so that one
//! that is torn, old or of another site is told and not believed.

use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use cleatpulley_policy::learned_state::LearnedState;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The version of what is learned. Another is not believed.
pub const VERSION: u32 = 1;
/// What is older tells nothing of the present.
pub const OLDEST: Micros = 10_000_000;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    version: u32,
    /// A digest of the matcher's name and its classes.
    site: u64,
    taken: Micros,
    learned: String,
    checksum: u64,
}

impl Form {
    fn sum(&self) -> u64 {
        xxh3_64(
            format!(
                "{} {} {} {}",
                self.version, self.site, self.taken, self.learned
            )
            .as_bytes(),
        )
    }
}

/// Why a snapshot is not believed.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// It can't be read.
    #[error("it can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// It is of another version.
    #[error("version {0}, and {VERSION} is read here")]
    Version(u32),
    /// It was changed on its way.
    #[error("its checksum is wrong")]
    Torn,
    /// It is of another site.
    #[error("it is of another site")]
    OtherSite,
    /// It was taken too long ago, or later than now.
    #[error("it was taken {0} ms before this moment, which is too far from it")]
    Old(i64),
}

/// The digest of a site.
#[must_use]
pub fn site(name: &str, classes: &[String]) -> u64 {
    xxh3_64(format!("{name}\n{}", classes.join("\n")).as_bytes())
}

/// As it is passed on.
#[must_use]
pub fn encode(site: u64, now: Micros, learned: &LearnedState) -> String {
    // None of its parts can fail to be written.
    let learned = serde_json::to_string(learned).unwrap_or_default();
    let mut form = Form {
        version: VERSION,
        site,
        taken: now,
        learned,
        checksum: 0,
    };
    form.checksum = form.sum();
    serde_json::to_string(&form).unwrap_or_default()
}

/// Reads what was passed on.
///
/// # Errors
/// Why it is not believed.
pub fn decode(site: u64, now: Micros, text: &str) -> Result<LearnedState, Fault> {
    let form: Form = serde_json::from_str(text)?;
    if form.version != VERSION {
        return Err(Fault::Version(form.version));
    }
    if form.checksum != form.sum() && !is_bug_injected(InjectedBug::TornSnapshotAccepted) {
        return Err(Fault::Torn);
    }
    if form.site != site {
        return Err(Fault::OtherSite);
    }
    // The clocks of two processes differ by little: each was read once from the system's.
    if now.abs_diff(form.taken) > OLDEST {
        return Err(Fault::Old((now as i64 - form.taken as i64) / 1_000));
    }
    Ok(serde_json::from_str(&form.learned)?)
}

#[cfg(test)]
mod tests {
    use super::*;
    use cleatpulley_policy::learned_state::{LearnedClass, LearnedDependency};

    const NOW: Micros = 1_764_576_000_000_000;

    fn learned() -> LearnedState {
        LearnedState {
            classes: vec![LearnedClass {
                run_time: 61_000.5,
                expected_work: 20_000.0,
                longest_remaining_time: 900_000,
            }],
            dependency: LearnedDependency {
                concurrency_limit: 6.4,
                latency: 8_100.0,
                baseline_latency: 7_900.0,
                backlog: 0.25,
                gap: 810.0,
            },
            run_limit: 9.5,
            rank_threshold: 0.125,
            advertised_capacity: 0.9,
            read_delay: 300.0,
            retry_ratio: 0.01,
        }
    }

    #[test]
    fn what_was_learned_comes_back_as_it_was() {
        let site = site("n1", &["a".to_owned()]);
        let text = encode(site, NOW, &learned());
        assert_eq!(decode(site, NOW + 5, &text).expect("whole"), learned());
    }

    #[test]
    fn one_that_is_torn_old_or_of_another_site_is_not_believed() {
        let here = site("n1", &["a".to_owned()]);
        let text = encode(here, NOW, &learned());
        for cut in 0..text.len() {
            assert!(decode(here, NOW, &text[..cut]).is_err(), "{cut}");
            for bit in [1, 4] {
                let mut bytes = text.clone().into_bytes();
                bytes[cut] ^= bit;
                let Ok(odd) = String::from_utf8(bytes) else {
                    continue;
                };
                assert!(decode(here, NOW, &odd).is_err(), "byte {cut} of {odd}");
            }
        }
        let other = site("n1", &["b".to_owned()]);
        assert!(matches!(decode(other, NOW, &text), Err(Fault::OtherSite)));
        assert!(matches!(
            decode(here, NOW + OLDEST + 1, &text),
            Err(Fault::Old(_))
        ));
        assert!(matches!(
            decode(here, NOW - OLDEST - 1, &text),
            Err(Fault::Old(_))
        ));
        let form = Form {
            version: 2,
            site: here,
            taken: NOW,
            learned: "{}".into(),
            checksum: 0,
        };
        let text = serde_json::to_string(&form).expect("JSON");
        assert!(matches!(decode(here, NOW, &text), Err(Fault::Version(2))));
    }
}
