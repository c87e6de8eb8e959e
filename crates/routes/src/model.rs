//! A route table in the project's own form: what an importer understood, and what can be written by hand as JSON.

use crate::diagnostic::SourcePosition;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

impl<'de> Deserialize<'de> for SourcePosition {
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

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            on_error: true,
            on_timeout: true,
            on_statuses: Vec::new(),
            max_attempts: 0,
            timeout_ms: 0,
        }
    }
}

impl Default for ProxyTimeouts {
    fn default() -> Self {
        Self {
            connect_ms: 60_000,
            send_ms: 60_000,
            read_ms: 60_000,
        }
    }
}

fn by_hand() -> SourcePosition {
    SourcePosition {
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
pub enum MatchKind {
    /// `=`: the whole path.
    Exact,
    /// No modifier: the longest prefix, unless a regular expression matches.
    Prefix,
    /// `^~`: the longest prefix, and no regular expression is tried.
    #[serde(rename = "final")]
    PreferentialPrefix,
    /// `~`: a regular expression, in the order of the file.
    Regex,
    /// `~*`: one that ignores case.
    #[serde(rename = "regex_any_case")]
    RegexCaseInsensitive,
    /// `@`: reached by name only.
    Named,
}

impl MatchKind {
    /// As nginx writes it.
    #[must_use]
    pub fn modifier(self) -> &'static str {
        match self {
            Self::Exact => "= ",
            Self::Prefix => "",
            Self::PreferentialPrefix => "^~ ",
            Self::Regex => "~ ",
            Self::RegexCaseInsensitive => "~* ",
            Self::Named => "@",
        }
    }

    /// Whether it is a regular expression.
    #[must_use]
    pub fn is_regex(self) -> bool {
        matches!(self, Self::Regex | Self::RegexCaseInsensitive)
    }
}

/// What a rewrite does after it has replaced the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RewriteFlag {
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
pub enum RewriteStep {
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
        #[serde(rename = "after")]
        flag: RewriteFlag,
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
pub struct ProxyPass {
    /// The pool, or a variable with its sign whose values are pools.
    pub pool: String,
    /// What replaces the part of the path that the location matched; without it the path goes on as it came.
    #[serde(default)]
    pub uri: Option<String>,
}

/// Which outcomes of a try are followed by another try elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryPolicy {
    /// Refused connections, broken ones.
    #[serde(rename = "error")]
    pub on_error: bool,
    /// No answer within the time.
    #[serde(rename = "timeout")]
    pub on_timeout: bool,
    /// Answers that say failure, by status; 503 and 429 are the refusals.
    #[serde(rename = "statuses")]
    pub on_statuses: Vec<u16>,
    /// Tries in all, 0 for as many as there are targets.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
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
pub struct ProxyTimeouts {
    /// For a connection.
    #[serde(rename = "connect")]
    pub connect_ms: u64,
    /// Without anything written.
    #[serde(rename = "send")]
    pub send_ms: u64,
    /// Without anything read.
    #[serde(rename = "read")]
    pub read_ms: u64,
}

/// A location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Where it came from.
    #[serde(rename = "place", default = "by_hand")]
    pub position: SourcePosition,
    /// How it is matched.
    #[serde(rename = "how")]
    pub match_kind: MatchKind,
    /// The path, prefix, regular expression or name.
    pub pattern: String,
    /// Not for requests from outside.
    #[serde(default)]
    pub internal: bool,
    /// What happens first.
    #[serde(default)]
    pub steps: Vec<RewriteStep>,
    /// Where requests go; `None` where the steps answer.
    #[serde(rename = "pass", default)]
    pub proxy_pass: Option<ProxyPass>,
    /// Further tries.
    #[serde(rename = "next", default)]
    pub retry_policy: RetryPolicy,
    /// Limits.
    #[serde(default)]
    pub limits: Vec<Limit>,
    /// Times.
    #[serde(rename = "times", default)]
    pub timeouts: ProxyTimeouts,
    /// Locations within.
    #[serde(default)]
    pub nested: Vec<Location>,
}

/// A server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Where it came from.
    #[serde(rename = "place", default = "by_hand")]
    pub position: SourcePosition,
    /// Addresses as `address:port`, and whether it is the default there.
    #[serde(rename = "listens")]
    pub listen_addresses: Vec<(String, bool)>,
    /// Names: whole, `*.x`, `x.*`, or a regular expression after `~`.
    pub names: Vec<String>,
    /// Slashes in a row count as one.
    #[serde(default = "yes")]
    pub merge_slashes: bool,
    /// What happens before a location is looked up.
    #[serde(default)]
    pub steps: Vec<RewriteStep>,
    /// Locations, in the order of the file.
    pub locations: Vec<Location>,
}

/// How a pool chooses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancingMethod {
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
    #[serde(rename = "place", default = "by_hand")]
    pub position: SourcePosition,
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
    pub fn new(position: SourcePosition, address: String) -> Self {
        Self {
            position,
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
    #[serde(rename = "place", default = "by_hand")]
    pub position: SourcePosition,
    /// How it chooses.
    #[serde(rename = "way")]
    pub method: BalancingMethod,
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
pub const CLASS_VARIABLE: &str = "matcher_class";

fn name_of(pool: &Pool) -> String {
    match &pool.method {
        BalancingMethod::RoundRobin => "round robin".to_owned(),
        BalancingMethod::LeastConnections => "least connections".to_owned(),
        BalancingMethod::RandomTwo => "random two".to_owned(),
        BalancingMethod::Random => "random".to_owned(),
        BalancingMethod::Hash { key, consistent } => {
            format!(
                "{} of {key}",
                if *consistent {
                    "consistent hash"
                } else {
                    "hash"
                }
            )
        }
        BalancingMethod::AddressHash => "hash of the address".to_owned(),
    }
}

impl Routes {
    /// A location whose pool is not there, and that pool: an import has none, a table written by hand may.
    #[must_use]
    pub fn find_missing_pool(&self) -> Option<(&Location, &str)> {
        let mut found = None;
        for server in &self.servers {
            crate::import::locations(&server.locations, &mut |location| {
                let pool = location.proxy_pass.as_ref().map(|pass| pass.pool.as_str());
                let missing =
                    pool.filter(|pool| !pool.starts_with('$') && !self.pools.contains_key(*pool));
                found = found.or(missing.map(|pool| (location, pool)));
            });
        }
        found
    }

    /// The table as lines of text: one for each server, location, step, pool, target and variable.
    #[must_use]
    pub fn to_lines(&self) -> Vec<String> {
        let mut out = Vec::new();
        for server in &self.servers {
            let listen_addresses: Vec<_> = server
                .listen_addresses
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
                server.position,
                listen_addresses.join(", ")
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
                pool.position,
                name_of(pool)
            ));
            for target in &pool.targets {
                let mut line = format!(
                    "{}   {} weight {}",
                    target.position, target.address, target.weight
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

fn steps(steps: &[RewriteStep], depth: usize, out: &mut Vec<String>) {
    let indent = "  ".repeat(depth);
    for step in steps {
        out.push(match step {
            RewriteStep::Set { variable, value } => format!("{indent}set ${variable} {value:?}"),
            RewriteStep::Rewrite {
                regex,
                replacement,
                flag,
            } => {
                format!(
                    "{indent}rewrite {regex} to {replacement:?} then {}",
                    format!("{flag:?}").to_lowercase()
                )
            }
            RewriteStep::Return { code, text } => match text {
                Some(text) => format!("{indent}return {code} {text:?}"),
                None => format!("{indent}return {code}"),
            },
            RewriteStep::Break => format!("{indent}break"),
        });
    }
}

fn locations(all: &[Location], depth: usize, out: &mut Vec<String>) {
    let indent = "  ".repeat(depth);
    for location in all {
        let mut line = format!(
            "{} {indent}{}{}",
            location.position,
            location.match_kind.modifier(),
            location.pattern
        );
        if let Some(ProxyPass { pool, uri }) = &location.proxy_pass {
            line.push_str(&format!(" -> {pool}"));
            if let Some(uri) = uri {
                line.push_str(&format!(" with {uri}"));
            }
            let next = &location.retry_policy;
            let mut after: Vec<String> = Vec::new();
            after.extend(next.on_error.then(|| "error".to_owned()));
            after.extend(next.on_timeout.then(|| "timeout".to_owned()));
            after.extend(next.on_statuses.iter().map(ToString::to_string));
            let usual = next.on_error && next.on_timeout && next.on_statuses.is_empty();
            if !usual || next.max_attempts > 0 || next.timeout_ms > 0 {
                line.push_str(&format!(", next after [{}]", after.join(" ")));
                line.push_str(&format!(
                    " {} tries {} ms",
                    next.max_attempts, next.timeout_ms
                ));
            }
            let ProxyTimeouts {
                connect_ms,
                send_ms,
                read_ms,
            } = location.timeouts;
            if (connect_ms, send_ms, read_ms) != (60_000, 60_000, 60_000) {
                line.push_str(&format!(", times {connect_ms}/{send_ms}/{read_ms} ms"));
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
