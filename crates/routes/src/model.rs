//! A route table in the project's own form: what an importer understood, and what can be written by hand as JSON.

use crate::place::Place;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

impl<'de> Deserialize<'de> for Place {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let (file, line) = text.rsplit_once(':').unwrap_or((&text, "1"));
        Ok(Self {
            file: Arc::from(file),
            line: line.parse().unwrap_or(1),
            column: 1,
        })
    }
}

impl Default for Next {
    fn default() -> Self {
        Self {
            error: true,
            timeout: true,
            statuses: Vec::new(),
            tries: 0,
            timeout_ms: 0,
        }
    }
}

impl Default for Times {
    fn default() -> Self {
        Self {
            connect: 60_000,
            send: 60_000,
            read: 60_000,
        }
    }
}

fn by_hand() -> Place {
    Place {
        file: Arc::from("by hand"),
        line: 1,
        column: 1,
    }
}

fn yes() -> bool {
    true
}

fn one() -> u32 {
    1
}

fn ten_seconds() -> u64 {
    10_000
}

/// How a location is matched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Match {
    /// `=`: the whole path.
    Exact,
    /// No modifier: the longest prefix, unless a regular expression matches.
    Prefix,
    /// `^~`: the longest prefix, and no regular expression is tried.
    Final,
    /// `~`: a regular expression, in the order of the file.
    Regex,
    /// `~*`: one that ignores case.
    RegexAnyCase,
    /// `@`: reached by name only.
    Named,
}

impl Match {
    /// As nginx writes it.
    #[must_use]
    pub fn sign(self) -> &'static str {
        match self {
            Self::Exact => "= ",
            Self::Prefix => "",
            Self::Final => "^~ ",
            Self::Regex => "~ ",
            Self::RegexAnyCase => "~* ",
            Self::Named => "@",
        }
    }

    /// Whether it is a regular expression.
    #[must_use]
    pub fn is_regex(self) -> bool {
        matches!(self, Self::Regex | Self::RegexAnyCase)
    }
}

/// What a rewrite does after it has replaced the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum After {
    /// The next step.
    Next,
    /// `last`: locations are looked up again.
    Last,
    /// `break`: it stays in this location.
    Break,
    /// `redirect`: answered with 302.
    Redirect,
    /// `permanent`: answered with 301.
    Permanent,
}

/// A step of a server or location, in the order of the file. Texts may hold variables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Sets a variable.
    Set {
        /// Its name, without the sign.
        variable: String,
        /// Its value.
        value: String,
    },
    /// Replaces the path where it matches.
    Rewrite {
        /// The regular expression.
        regex: String,
        /// What replaces the path; with a question mark at its end the arguments are left out.
        replacement: String,
        /// What follows.
        after: After,
    },
    /// Answers.
    Return {
        /// The status.
        code: u16,
        /// The text, or the address of a redirection.
        text: Option<String>,
    },
    /// Ends the steps.
    Break,
}

/// Where a location sends requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pass {
    /// The pool, or a variable with its sign whose values are pools.
    pub pool: String,
    /// What replaces the part of the path that the location matched; without it the path goes on as it came.
    #[serde(default)]
    pub uri: Option<String>,
}

/// Which outcomes of a try are followed by another try elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Next {
    /// Refused connections, broken ones.
    pub error: bool,
    /// No answer within the time.
    pub timeout: bool,
    /// Answers that say failure, by status; 503 and 429 are the refusals.
    pub statuses: Vec<u16>,
    /// Tries in all, 0 for as many as there are targets.
    pub tries: u32,
    /// Time for all tries in ms, 0 for no bound of its own.
    pub timeout_ms: u64,
}

/// A limit of requests a second or of open requests, by a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Key, with variables.
    pub key: String,
    /// Zone: limits with one zone share their counts.
    pub zone: String,
    /// Requests in 1,000 s, or 0 for a limit of open requests.
    pub rate: u64,
    /// Requests beyond the rate that are let through, or the open requests.
    pub burst: u64,
    /// Status of the answer where it is reached.
    pub status: u16,
}

/// Times in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    /// For a connection.
    pub connect: u64,
    /// Without anything written.
    pub send: u64,
    /// Without anything read.
    pub read: u64,
}

/// A location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Where it came from.
    #[serde(default = "by_hand")]
    pub place: Place,
    /// How it is matched.
    pub how: Match,
    /// The path, prefix, regular expression or name.
    pub pattern: String,
    /// Not for requests from outside.
    #[serde(default)]
    pub internal: bool,
    /// What happens first.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Where requests go; `None` where the steps answer.
    #[serde(default)]
    pub pass: Option<Pass>,
    /// Further tries.
    #[serde(default)]
    pub next: Next,
    /// Limits.
    #[serde(default)]
    pub limits: Vec<Limit>,
    /// Times.
    #[serde(default)]
    pub times: Times,
    /// Locations within.
    #[serde(default)]
    pub nested: Vec<Location>,
}

/// A server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Where it came from.
    #[serde(default = "by_hand")]
    pub place: Place,
    /// Addresses as `address:port`, and whether it is the default there.
    pub listens: Vec<(String, bool)>,
    /// Names: whole, `*.x`, `x.*`, or a regular expression after `~`.
    pub names: Vec<String>,
    /// Slashes in a row count as one.
    #[serde(default = "yes")]
    pub merge_slashes: bool,
    /// What happens before a location is looked up.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Locations, in the order of the file.
    pub locations: Vec<Location>,
}

/// How a pool chooses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// Smooth weighted round robin.
    RoundRobin,
    /// The fewest open requests by weight.
    LeastConnections,
    /// The better of two taken at random.
    RandomTwo,
    /// One at random, by weight.
    Random,
    /// By a key; consistent where a target's loss moves its own keys only.
    Hash {
        /// The key, with variables.
        key: String,
        /// On a ring.
        consistent: bool,
    },
    /// By the caller's address.
    AddressHash,
}

/// A target of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Where it came from.
    #[serde(default = "by_hand")]
    pub place: Place,
    /// Host and port.
    pub address: String,
    /// Its weight.
    #[serde(default = "one")]
    pub weight: u32,
    /// Failures within the time after which it is left alone; 0 for never.
    #[serde(default = "one")]
    pub max_fails: u32,
    /// That time, and how long it is left alone, in ms.
    #[serde(default = "ten_seconds")]
    pub fail_timeout_ms: u64,
    /// Open requests at most; 0 for no bound.
    #[serde(default)]
    pub max_connections: u32,
    /// Time in ms over which its weight grows after it was left alone.
    #[serde(default)]
    pub slow_start_ms: u64,
    /// Takes requests only where all others are left alone.
    #[serde(default)]
    pub backup: bool,
    /// Takes none.
    #[serde(default)]
    pub down: bool,
}

impl Target {
    /// One with all that is usual.
    #[must_use]
    pub fn new(place: Place, address: String) -> Self {
        Self {
            place,
            address,
            weight: 1,
            max_fails: 1,
            fail_timeout_ms: 10_000,
            max_connections: 0,
            slow_start_ms: 0,
            backup: false,
            down: false,
        }
    }
}

/// A pool of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Where it came from.
    #[serde(default = "by_hand")]
    pub place: Place,
    /// How it chooses.
    pub way: Way,
    /// Idle connections that are kept.
    #[serde(default)]
    pub keepalive: u32,
    /// The targets.
    pub targets: Vec<Target>,
}

/// A variable whose value follows from others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Variable {
    /// The value beside the first case that fits: a whole value, then a regular expression.
    Map {
        /// What is looked up.
        source: String,
        /// Cases, as they were written.
        cases: Vec<(String, String)>,
        /// The value where none fits.
        default: String,
        /// Cases may be names with `*`.
        hostnames: bool,
    },
    /// Parts by a hash of the key; shares in hundredths of a percent, 0 for the rest.
    Split {
        /// The key.
        key: String,
        /// Shares and values.
        parts: Vec<(u32, String)>,
    },
}

/// The whole table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routes {
    /// Servers in the order of the file.
    pub servers: Vec<Server>,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Variables by name, without the sign.
    #[serde(default)]
    pub variables: BTreeMap<String, Variable>,
}

/// The variable that names the class of a request's route.
pub const CLASS: &str = "matcher_class";

fn name_of(pool: &Pool) -> String {
    match &pool.way {
        Way::RoundRobin => "round robin".to_owned(),
        Way::LeastConnections => "least connections".to_owned(),
        Way::RandomTwo => "random two".to_owned(),
        Way::Random => "random".to_owned(),
        Way::Hash { key, consistent } => {
            format!(
                "{} of {key}",
                if *consistent {
                    "consistent hash"
                } else {
                    "hash"
                }
            )
        }
        Way::AddressHash => "hash of the address".to_owned(),
    }
}

impl Routes {
    /// A location whose pool is not there, and that pool: an import has none, a table written by hand may.
    #[must_use]
    pub fn without_pool(&self) -> Option<(&Location, &str)> {
        let mut found = None;
        for server in &self.servers {
            crate::import::locations(&server.locations, &mut |location| {
                let pool = location.pass.as_ref().map(|pass| pass.pool.as_str());
                let missing =
                    pool.filter(|pool| !pool.starts_with('$') && !self.pools.contains_key(*pool));
                found = found.or(missing.map(|pool| (location, pool)));
            });
        }
        found
    }

    /// The table as lines of text: one for each server, location, step, pool, target and variable.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let mut out = Vec::new();
        for server in &self.servers {
            let listens: Vec<_> = server
                .listens
                .iter()
                .map(|(at, default)| format!("{at}{}", if *default { " default" } else { "" }))
                .collect();
            let names = server.names.join(" ");
            let merge = if server.merge_slashes {
                ""
            } else {
                " slashes kept"
            };
            out.push(format!(
                "{} server {} [{names}]{merge}",
                server.place,
                listens.join(", ")
            ));
            steps(&server.steps, 1, &mut out);
            locations(&server.locations, 1, &mut out);
        }
        for (name, pool) in &self.pools {
            let keep = if pool.keepalive > 0 {
                format!(" keepalive {}", pool.keepalive)
            } else {
                String::new()
            };
            out.push(format!(
                "{} pool {name}: {}{keep}",
                pool.place,
                name_of(pool)
            ));
            for target in &pool.targets {
                let mut line = format!(
                    "{}   {} weight {}",
                    target.place, target.address, target.weight
                );
                match target.max_fails {
                    0 => line.push_str(" fails not counted"),
                    fails => {
                        line.push_str(&format!(" fails {fails} in {} ms", target.fail_timeout_ms));
                    }
                }
                if target.max_connections > 0 {
                    line.push_str(&format!(" at most {} open", target.max_connections));
                }
                if target.slow_start_ms > 0 {
                    line.push_str(&format!(" slow start {} ms", target.slow_start_ms));
                }
                for (is, word) in [(target.backup, " backup"), (target.down, " down")] {
                    line.push_str(if is { word } else { "" });
                }
                out.push(line);
            }
        }
        for (name, variable) in &self.variables {
            match variable {
                Variable::Map {
                    source,
                    cases,
                    default,
                    hostnames,
                } => {
                    let hosts = if *hostnames { " by host names" } else { "" };
                    out.push(format!(
                        "${name} = map of {source}{hosts}, else {default:?}"
                    ));
                    out.extend(
                        cases
                            .iter()
                            .map(|(case, value)| format!("  {case} -> {value:?}")),
                    );
                }
                Variable::Split { key, parts } => {
                    out.push(format!("${name} = split of {key}"));
                    out.extend(parts.iter().map(|(share, value)| match share {
                        0 => format!("  rest -> {value:?}"),
                        share => format!("  {}.{:02}% -> {value:?}", share / 100, share % 100),
                    }));
                }
            }
        }
        out
    }
}

fn steps(steps: &[Step], depth: usize, out: &mut Vec<String>) {
    let indent = "  ".repeat(depth);
    for step in steps {
        out.push(match step {
            Step::Set { variable, value } => format!("{indent}set ${variable} {value:?}"),
            Step::Rewrite {
                regex,
                replacement,
                after,
            } => {
                format!(
                    "{indent}rewrite {regex} to {replacement:?} then {}",
                    format!("{after:?}").to_lowercase()
                )
            }
            Step::Return { code, text } => match text {
                Some(text) => format!("{indent}return {code} {text:?}"),
                None => format!("{indent}return {code}"),
            },
            Step::Break => format!("{indent}break"),
        });
    }
}

fn locations(all: &[Location], depth: usize, out: &mut Vec<String>) {
    let indent = "  ".repeat(depth);
    for location in all {
        let mut line = format!(
            "{} {indent}{}{}",
            location.place,
            location.how.sign(),
            location.pattern
        );
        if let Some(Pass { pool, uri }) = &location.pass {
            line.push_str(&format!(" -> {pool}"));
            if let Some(uri) = uri {
                line.push_str(&format!(" with {uri}"));
            }
            let next = &location.next;
            let mut after: Vec<String> = Vec::new();
            after.extend(next.error.then(|| "error".to_owned()));
            after.extend(next.timeout.then(|| "timeout".to_owned()));
            after.extend(next.statuses.iter().map(ToString::to_string));
            let usual = next.error && next.timeout && next.statuses.is_empty();
            if !usual || next.tries > 0 || next.timeout_ms > 0 {
                line.push_str(&format!(", next after [{}]", after.join(" ")));
                line.push_str(&format!(" {} tries {} ms", next.tries, next.timeout_ms));
            }
            let Times {
                connect,
                send,
                read,
            } = location.times;
            if (connect, send, read) != (60_000, 60_000, 60_000) {
                line.push_str(&format!(", times {connect}/{send}/{read} ms"));
            }
        }
        if location.internal {
            line.push_str(", internal");
        }
        for limit in &location.limits {
            line.push_str(&match limit.rate {
                0 => format!(
                    ", at most {} open by {} in {}",
                    limit.burst, limit.key, limit.zone
                ),
                rate => format!(
                    ", at most {}.{:03}/s and {} more by {} in {}",
                    rate / 1_000,
                    rate % 1_000,
                    limit.burst,
                    limit.key,
                    limit.zone
                ),
            });
        }
        out.push(line);
        steps(&location.steps, depth + 1, out);
        locations(&location.nested, depth + 1, out);
    }
}
