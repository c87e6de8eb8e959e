//! The route table as data. An importer produces it, and it can be written by hand as JSON.

use crate::diagnostic::SourcePosition;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

impl<'de> Deserialize<'de> for SourcePosition {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
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

fn handwritten_position() -> SourcePosition {
    SourcePosition {
        file: Arc::from("by hand"),
        line: 1,
        column: 1,
    }
}

fn default_true() -> bool {
    true
}

fn default_one() -> u32 {
    1
}

fn default_fail_timeout_ms() -> u64 {
    10_000
}

/// How a location matches paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MatchKind {
    /// `=`: the whole path is equal.
    Exact,
    /// No modifier: the longest prefix wins, unless a regular expression matches.
    Prefix,
    /// `^~`: the longest prefix wins, without a check of regular expressions.
    #[serde(rename = "final")]
    PreferentialPrefix,
    /// `~`: a regular expression; the first one in the file that matches wins.
    Regex,
    /// `~*`: a regular expression that ignores case.
    #[serde(rename = "regex_any_case")]
    RegexCaseInsensitive,
    /// `@`: a named location, which matches no path.
    Named,
}

impl MatchKind {
    /// Returns nginx's modifier, with the space that follows it.
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

    /// Whether the location matches by a regular expression.
    #[must_use]
    pub fn is_regex(self) -> bool {
        matches!(self, Self::Regex | Self::RegexCaseInsensitive)
    }
}

/// Flag of a `rewrite`: what follows after the path was replaced. The names of the variants appear in
/// [`Routes::to_lines`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RewriteFlag {
    /// No flag: the next step runs.
    Next,
    /// `last`: the location is looked up again.
    Last,
    /// `break`: the request stays in this location.
    Break,
    /// `redirect`: the response is 302.
    Redirect,
    /// `permanent`: the response is 301.
    Permanent,
}

/// A directive of nginx's rewrite module in a server or location. The steps run in the order of the
/// file. Their texts may contain variables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RewriteStep {
    /// Sets a variable.
    Set {
        /// Name, without the dollar sign.
        variable: String,
        /// Value.
        value: String,
    },
    /// Replaces the path if it matches.
    Rewrite {
        /// Regular expression for the path.
        regex: String,
        /// New path. A question mark at its end drops the query string of the request.
        replacement: String,
        /// What follows after the replacement.
        #[serde(rename = "after")]
        flag: RewriteFlag,
    },
    /// Responds to the request.
    Return {
        /// Status.
        code: u16,
        /// Body, or the address of a redirection.
        text: Option<String>,
    },
    /// Skips the remaining steps.
    Break,
}

/// Where a location forwards requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyPass {
    /// Name of the pool, or a variable, with its dollar sign, whose values are names of pools.
    pub pool: String,
    /// Replaces the part of the path that the location matched. Without it, the path is forwarded
    /// unchanged.
    #[serde(default)]
    pub uri: Option<String>,
}

/// Which failed attempts are retried at another target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryPolicy {
    /// Retries after a connection that failed or broke.
    #[serde(rename = "error")]
    pub on_error: bool,
    /// Retries after a timeout.
    #[serde(rename = "timeout")]
    pub on_timeout: bool,
    /// Retries after a response with one of these statuses; 503 and 429 stand for rejections.
    #[serde(rename = "statuses")]
    pub on_statuses: Vec<u16>,
    /// Maximum number of attempts; 0 for as many as there are targets.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Time in ms after which no retry begins; 0 for no limit of its own.
    pub timeout_ms: u64,
}

/// A limit of requests per second or of concurrent requests, for each value of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Key; may contain variables.
    pub key: String,
    /// Name of the zone. Limits with the same zone share their counts.
    pub zone: String,
    /// Rate in thousandths of a request per second; 0 for a limit of concurrent requests.
    pub rate: u64,
    /// Number of requests beyond the rate that are admitted, or maximum number of concurrent requests.
    pub burst: u64,
    /// Status of the response to requests beyond the limit.
    pub status: u16,
}

/// Timeouts of an attempt, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyTimeouts {
    /// Maximum time to establish a connection.
    #[serde(rename = "connect")]
    pub connect_ms: u64,
    /// Maximum time during which nothing is written.
    #[serde(rename = "send")]
    pub send_ms: u64,
    /// Maximum time during which nothing is read.
    #[serde(rename = "read")]
    pub read_ms: u64,
}

/// A `location` block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Position of its definition.
    #[serde(rename = "place", default = "handwritten_position")]
    pub position: SourcePosition,
    /// How it matches paths.
    #[serde(rename = "how")]
    pub match_kind: MatchKind,
    /// Path, prefix, regular expression or name.
    pub pattern: String,
    /// Takes only requests that a rewrite has sent here.
    #[serde(default)]
    pub internal: bool,
    /// Steps that run before the request is forwarded.
    #[serde(default)]
    pub steps: Vec<RewriteStep>,
    /// Where requests are forwarded to; `None` if the steps respond.
    #[serde(rename = "pass", default)]
    pub proxy_pass: Option<ProxyPass>,
    /// Which failed attempts are retried.
    #[serde(rename = "next", default)]
    pub retry_policy: RetryPolicy,
    /// Request limits.
    #[serde(default)]
    pub limits: Vec<Limit>,
    /// Timeouts of an attempt.
    #[serde(rename = "times", default)]
    pub timeouts: ProxyTimeouts,
    /// Nested locations.
    #[serde(default)]
    pub nested: Vec<Location>,
}

/// A `server` block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Position of its definition.
    #[serde(rename = "place", default = "handwritten_position")]
    pub position: SourcePosition,
    /// Listen addresses as `address:port`, and whether this is the default server of the address.
    #[serde(rename = "listens")]
    pub listen_addresses: Vec<(String, bool)>,
    /// Server names: exact, `*.x`, `x.*`, or a regular expression after `~`.
    pub names: Vec<String>,
    /// Merges adjacent slashes of a path.
    #[serde(default = "default_true")]
    pub merge_slashes: bool,
    /// Steps that run before the location is looked up.
    #[serde(default)]
    pub steps: Vec<RewriteStep>,
    /// Locations, in the order of the file.
    pub locations: Vec<Location>,
}

/// How a pool chooses the target of a request. The names of the variants appear in the comparison of
/// two tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancingMethod {
    /// Smooth weighted round robin.
    RoundRobin,
    /// Fewest open requests, relative to the weight.
    LeastConnections,
    /// The less loaded of two random targets.
    RandomTwo,
    /// A random target, by weight.
    Random,
    /// Hash of a key.
    Hash {
        /// Key; may contain variables.
        key: String,
        /// Uses a hash ring, on which the loss of a target moves only its own keys.
        consistent: bool,
    },
    /// Hash of the caller's address.
    AddressHash,
}

/// A target of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Position of its definition.
    #[serde(rename = "place", default = "handwritten_position")]
    pub position: SourcePosition,
    /// Host and port.
    pub address: String,
    /// Weight.
    #[serde(default = "default_one")]
    pub weight: u32,
    /// Number of failures within the fail timeout after which it is considered unavailable; 0 for
    /// never.
    #[serde(default = "default_one")]
    pub max_fails: u32,
    /// Time in ms within which failures count, and for which the target is then unavailable.
    #[serde(default = "default_fail_timeout_ms")]
    pub fail_timeout_ms: u64,
    /// Maximum number of open requests; 0 for no limit.
    #[serde(default)]
    pub max_connections: u32,
    /// Time in ms over which the weight grows after the target was unavailable.
    #[serde(default)]
    pub slow_start_ms: u64,
    /// Takes requests only while all other targets are unavailable.
    #[serde(default)]
    pub backup: bool,
    /// Takes no requests.
    #[serde(default)]
    pub down: bool,
}

impl Target {
    /// Creates a target with nginx's defaults.
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
    /// Position of its definition.
    #[serde(rename = "place", default = "handwritten_position")]
    pub position: SourcePosition,
    /// How it chooses a target.
    #[serde(rename = "way")]
    pub method: BalancingMethod,
    /// Number of idle connections that are kept open.
    #[serde(default)]
    pub keepalive: u32,
    /// Targets, in the order of the file.
    pub targets: Vec<Target>,
}

/// A variable whose value follows from other variables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Variable {
    /// `map`: the value of the first case that matches; exact values precede regular expressions.
    Map {
        /// The text that is looked up.
        source: String,
        /// Cases, as in the file, with their values.
        cases: Vec<(String, String)>,
        /// Value if no case matches.
        default: String,
        /// Cases may be host names with `*`.
        hostnames: bool,
    },
    /// `split_clients`: a value chosen by a hash of the key.
    Split {
        /// Key.
        key: String,
        /// Shares in hundredths of a percent, 0 for the rest, with their values.
        parts: Vec<(u32, String)>,
    },
}

/// A route table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routes {
    /// Servers, in the order of the file.
    pub servers: Vec<Server>,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Variables by name, without the dollar sign.
    #[serde(default)]
    pub variables: BTreeMap<String, Variable>,
}

/// Name of the variable that a route sets to the class of its requests.
pub const CLASS_VARIABLE: &str = "matcher_class";

fn method_name(pool: &Pool) -> String {
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
    /// Returns a location whose pool is not defined, and the name of the pool. Only a table written by
    /// hand can have one.
    #[must_use]
    pub fn find_missing_pool(&self) -> Option<(&Location, &str)> {
        let mut found = None;
        for server in &self.servers {
            crate::import::visit_locations(&server.locations, &mut |location| {
                let pool = location
                    .proxy_pass
                    .as_ref()
                    .map(|proxy_pass| proxy_pass.pool.as_str());
                let missing =
                    pool.filter(|pool| !pool.starts_with('$') && !self.pools.contains_key(*pool));
                found = found.or(missing.map(|pool| (location, pool)));
            });
        }
        found
    }

    /// Returns the table as text, with a line for each server, location, step, pool, target and
    /// variable.
    #[must_use]
    pub fn to_lines(&self) -> Vec<String> {
        let mut out = Vec::new();
        for server in &self.servers {
            let listen_addresses: Vec<_> = server
                .listen_addresses
                .iter()
                .map(|(address, default)| {
                    format!("{address}{}", if *default { " default" } else { "" })
                })
                .collect();
            let names = server.names.join(" ");
            let slashes = if server.merge_slashes {
                ""
            } else {
                " slashes kept"
            };
            out.push(format!(
                "{} server {} [{names}]{slashes}",
                server.position,
                listen_addresses.join(", ")
            ));
            push_step_lines(&server.steps, 1, &mut out);
            push_location_lines(&server.locations, 1, &mut out);
        }
        for (name, pool) in &self.pools {
            let keepalive = if pool.keepalive > 0 {
                format!(" keepalive {}", pool.keepalive)
            } else {
                String::new()
            };
            out.push(format!(
                "{} pool {name}: {}{keepalive}",
                pool.position,
                method_name(pool)
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
                for (is_set, word) in [(target.backup, " backup"), (target.down, " down")] {
                    line.push_str(if is_set { word } else { "" });
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

fn push_step_lines(steps: &[RewriteStep], depth: usize, out: &mut Vec<String>) {
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

fn push_location_lines(locations: &[Location], depth: usize, out: &mut Vec<String>) {
    let indent = "  ".repeat(depth);
    for location in locations {
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
            let policy = &location.retry_policy;
            let mut retried_failures: Vec<String> = Vec::new();
            retried_failures.extend(policy.on_error.then(|| "error".to_owned()));
            retried_failures.extend(policy.on_timeout.then(|| "timeout".to_owned()));
            retried_failures.extend(policy.on_statuses.iter().map(ToString::to_string));
            let is_default = policy.on_error && policy.on_timeout && policy.on_statuses.is_empty();
            if !is_default || policy.max_attempts > 0 || policy.timeout_ms > 0 {
                line.push_str(&format!(", next after [{}]", retried_failures.join(" ")));
                line.push_str(&format!(
                    " {} tries {} ms",
                    policy.max_attempts, policy.timeout_ms
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
        push_step_lines(&location.steps, depth + 1, out);
        push_location_lines(&location.nested, depth + 1, out);
    }
}
