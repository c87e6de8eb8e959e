//! Imports an nginx configuration as a route table, and reports each directive that can't be
//! expressed. Nothing is guessed: a directive that is not in [`known_directives`] is rejected.

mod directives;
mod limits;
mod pools;
mod references;
mod servers;
mod values;

pub use directives::{known_directives, DirectiveSupport};

use crate::diagnostic::{Diagnostic, Severity, SourcePosition};
use crate::model::{Limit, Location, ProxyTimeouts, RetryPolicy, Routes};
use crate::syntax::{ConfigTree, Directive, FileSource, Word};
use crate::template::Template;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use values::parse_milliseconds;

// Contexts; `known_directives` abbreviates them by their first letters.
const MAIN: &str = "main";
const HTTP: &str = "http";
const SERVER: &str = "server";
const LOCATION: &str = "location";
const UPSTREAM: &str = "upstream";

/// Result of an import.
#[derive(Debug)]
pub struct Import {
    /// The route table. It may be used only if the import [is complete](Self::is_complete).
    pub routes: Routes,
    /// Diagnostics, sorted by file and line.
    pub diagnostics: Vec<Diagnostic>,
    /// Number of diagnostics beyond the maximum, which are left out.
    pub omitted_diagnostics: usize,
    /// Number of directives that were read.
    pub directive_count: usize,
}

impl Import {
    /// Imports a file and the files that it includes.
    #[must_use]
    pub fn read(files: &dyn FileSource, name: &str) -> Self {
        let mut tree = ConfigTree::read(files, name);
        let directives = std::mem::take(&mut tree.directives);
        let mut importer = Importer {
            tree,
            server_positions: HashMap::new(),
            default_servers: HashMap::new(),
            variable_definitions: HashMap::new(),
            routes: Routes::default(),
            zones: BTreeMap::new(),
            reported_differences: BTreeSet::new(),
        };
        importer.import_main(&directives);
        importer.check_references();
        let Importer {
            mut tree, routes, ..
        } = importer;
        tree.diagnostics.sort_by(|a, b| {
            a.position
                .cmp(&b.position)
                .then_with(|| a.severity.cmp(&b.severity))
        });
        let directive_count = count_directives(&directives);
        Self {
            routes,
            diagnostics: tree.diagnostics,
            omitted_diagnostics: tree.omitted_diagnostics,
            directive_count,
        }
    }

    /// Whether the whole configuration was imported: there are no diagnostics but differences to nginx.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.omitted_diagnostics == 0
            && self
                .diagnostics
                .iter()
                .all(|diagnostic| diagnostic.severity == Severity::Difference)
    }
}

fn count_directives(directives: &[Directive]) -> usize {
    directives
        .iter()
        .map(|directive| 1 + directive.block.as_deref().map_or(0, count_directives))
        .sum()
}

/// Settings that locations inherit from the enclosing blocks.
#[derive(Clone)]
struct Inherited {
    retry_policy: RetryPolicy,
    timeouts: ProxyTimeouts,
    limits: Vec<Limit>,
    rate_limit_status: u16,
    concurrency_limit_status: u16,
    merge_slashes: bool,
}

impl Default for Inherited {
    fn default() -> Self {
        let (rate_limit_status, concurrency_limit_status) = (503, 503);
        Self {
            retry_policy: RetryPolicy::default(),
            timeouts: ProxyTimeouts::default(),
            limits: Vec::new(),
            rate_limit_status,
            concurrency_limit_status,
            merge_slashes: true,
        }
    }
}

/// The locations of one block.
#[derive(Default)]
struct SiblingLocations {
    locations: Vec<Location>,
    /// Positions of the locations without regular expressions, by modifier and pattern.
    positions: HashMap<(&'static str, String), SourcePosition>,
}

struct Importer {
    tree: ConfigTree,
    /// Positions of servers, by listen address and name.
    server_positions: HashMap<(String, String), SourcePosition>,
    /// Words that define variables, by name.
    variable_definitions: HashMap<String, Word>,
    /// Positions of default servers, by listen address.
    default_servers: HashMap<String, SourcePosition>,
    routes: Routes,
    /// Key and rate of each zone, by name. The rate is 0 for a zone of concurrent requests.
    zones: BTreeMap<String, (String, u64)>,
    /// Differences that were reported; each is reported once.
    reported_differences: BTreeSet<String>,
}

impl Importer {
    fn error(&mut self, word: &Word, message: impl Into<String>) {
        self.tree.report(word, Severity::Error, message);
    }

    fn reject(&mut self, word: &Word, message: impl Into<String>) {
        self.tree.report(word, Severity::Unsupported, message);
    }

    fn warn(&mut self, word: &Word, message: impl Into<String>) {
        let message = message.into();
        if self.reported_differences.insert(message.clone()) {
            self.tree.report(word, Severity::Difference, message);
        }
    }

    /// Whether a directive is to be imported; otherwise reports why not.
    fn accepts(&mut self, directive: &Directive, context: &str) -> bool {
        let name = directive.name.text.as_str();
        let Some((_, contexts, support)) = known_directives()
            .iter()
            .find(|(known_name, ..)| *known_name == name)
        else {
            self.reject(
                &directive.name,
                format!("{name:?} is not known here, and nobody should guess what it does"),
            );
            return false;
        };
        let letter = context.chars().next().unwrap_or('m');
        if !contexts.contains(letter) {
            self.error(
                &directive.name,
                format!("{name:?} is not allowed in {context}"),
            );
            return false;
        }
        let needs_block = matches!(
            name,
            "http"
                | "server"
                | "location"
                | "upstream"
                | "events"
                | "types"
                | "map"
                | "split_clients"
                | "stream"
                | "mail"
                | "if"
                | "limit_except"
                | "geo"
        );
        if needs_block != directive.block.is_some() {
            let message = if needs_block {
                "has no block"
            } else {
                "takes no block"
            };
            self.error(&directive.name, format!("{name:?} {message}"));
            return false;
        }
        match support {
            DirectiveSupport::Full => return true,
            DirectiveSupport::Ignored => {}
            DirectiveSupport::Partial(message) => {
                self.warn(&directive.name, format!("{name}: {message}"));
            }
            DirectiveSupport::Unsupported(reason) => {
                self.reject(&directive.name, format!("{name}: {reason}"));
            }
        }
        false
    }

    /// Returns the arguments of a directive if their number is in the range; otherwise reports an error.
    fn args<'a>(&mut self, directive: &'a Directive, min: usize, max: usize) -> Option<&'a [Word]> {
        if (min..=max).contains(&directive.args.len()) {
            return Some(&directive.args);
        }
        let name = &directive.name.text;
        self.error(
            &directive.name,
            format!(
                "{name:?} has {} arguments, which is not what it takes",
                directive.args.len()
            ),
        );
        None
    }

    fn import_main(&mut self, directives: &[Directive]) {
        let mut has_http = false;
        for directive in directives {
            // A file without an http block is one that others include; it is read as the content of http.
            if is_http_level(directive) {
                continue;
            }
            if self.accepts(directive, MAIN) {
                if std::mem::replace(&mut has_http, true) {
                    self.error(&directive.name, "a second http block");
                }
                self.import_http(directive.block.as_deref().unwrap_or_default());
            }
        }
        let http_level: Vec<_> = directives
            .iter()
            .filter(|directive| is_http_level(directive))
            .cloned()
            .collect();
        if let Some(directive) = http_level.first() {
            if has_http {
                self.error(
                    &directive.name,
                    format!("{:?} is not allowed in main", directive.name.text),
                );
            } else {
                self.import_http(&http_level);
            }
        } else if !has_http && self.tree.diagnostics.is_empty() {
            let position = SourcePosition {
                file: self.tree.sources.keys().next().cloned().unwrap_or_default(),
                line: 1,
                column: 1,
            };
            self.error(
                &Word {
                    text: String::new(),
                    position,
                    byte_length: 1,
                },
                "there is no http block and no server in it",
            );
        }
    }

    fn import_http(&mut self, directives: &[Directive]) {
        let inherited = self.inherited_settings(directives, HTTP, &Inherited::default());
        for directive in directives {
            let name = directive.name.text.as_str();
            if is_inherited(name) || name == "limit_req_zone" || name == "limit_conn_zone" {
                continue;
            }
            if !self.accepts(directive, HTTP) {
                continue;
            }
            let block = directive.block.as_deref().unwrap_or_default();
            match name {
                "upstream" => self.import_upstream(directive, block),
                "map" => self.import_map(directive, block),
                "split_clients" => self.import_split_clients(directive, block),
                "server" => self.import_server(directive, block, &inherited),
                _ => {}
            }
        }
    }

    /// Returns the settings of a block: those of the enclosing block, with the block's own directives
    /// applied.
    fn inherited_settings(
        &mut self,
        directives: &[Directive],
        context: &str,
        outer: &Inherited,
    ) -> Inherited {
        if context == HTTP {
            // Zones may be defined after the limits that use them.
            for directive in directives {
                if matches!(
                    directive.name.text.as_str(),
                    "limit_req_zone" | "limit_conn_zone"
                ) && self.accepts(directive, HTTP)
                {
                    self.import_zone(directive);
                }
            }
        }
        let mut settings = outer.clone();
        for directive in directives
            .iter()
            .filter(|directive| is_inherited(&directive.name.text))
        {
            if !self.accepts(directive, context) {
                continue;
            }
            match directive.name.text.as_str() {
                "limit_req_status" | "limit_conn_status" => {
                    let Some([word]) = self.args(directive, 1, 1) else {
                        continue;
                    };
                    match word.text.parse() {
                        Ok(status @ 400..=599) if directive.name.text == "limit_req_status" => {
                            settings.rate_limit_status = status;
                        }
                        Ok(status @ 400..=599) => settings.concurrency_limit_status = status,
                        _ => self.error(
                            word,
                            format!("{:?} is not a status from 400 to 599", word.text),
                        ),
                    }
                }
                "merge_slashes" => match self.args(directive, 1, 1) {
                    Some([word]) if word.text == "on" || word.text == "off" => {
                        settings.merge_slashes = word.text == "on";
                    }
                    Some([word, ..]) => {
                        self.error(word, format!("{:?} is neither on nor off", word.text));
                    }
                    _ => {}
                },
                "proxy_next_upstream" => self.retry_policy(directive, &mut settings.retry_policy),
                "proxy_next_upstream_tries" => {
                    if let Some([word]) = self.args(directive, 1, 1) {
                        settings.retry_policy.max_attempts = self.parse_number(word).unwrap_or(0);
                    }
                }
                "proxy_next_upstream_timeout" => {
                    settings.retry_policy.timeout_ms = self.time_arg(directive).unwrap_or(0);
                }
                "proxy_connect_timeout" => {
                    settings.timeouts.connect_ms = self.time_arg(directive).unwrap_or(60_000);
                }
                "proxy_send_timeout" => {
                    settings.timeouts.send_ms = self.time_arg(directive).unwrap_or(60_000);
                }
                "proxy_read_timeout" => {
                    settings.timeouts.read_ms = self.time_arg(directive).unwrap_or(60_000);
                }
                _ => {}
            }
        }
        // The limits of a block replace those of the enclosing block, separately for each kind.
        for is_rate in [true, false] {
            let name = if is_rate { "limit_req" } else { "limit_conn" };
            let own_limits: Vec<_> = directives
                .iter()
                .filter(|directive| directive.name.text == name)
                .collect();
            if own_limits.is_empty() {
                continue;
            }
            settings.limits.retain(|limit| (limit.rate > 0) != is_rate);
            for directive in own_limits {
                if self.accepts(directive, context) {
                    let limit = if is_rate {
                        self.parse_rate_limit(directive)
                    } else {
                        self.parse_concurrency_limit(directive)
                    };
                    settings.limits.extend(limit);
                }
            }
        }
        for limit in &mut settings.limits {
            limit.status = if limit.rate > 0 {
                settings.rate_limit_status
            } else {
                settings.concurrency_limit_status
            };
        }
        settings
    }

    fn parse_number(&mut self, word: &Word) -> Option<u32> {
        let number = word.text.parse().ok();
        if number.is_none() {
            self.error(word, format!("{:?} is not a whole number", word.text));
        }
        number
    }

    fn time_arg(&mut self, directive: &Directive) -> Option<u64> {
        let [word] = self.args(directive, 1, 1)? else {
            return None;
        };
        self.parse_time(word, &word.text)
    }

    fn parse_time(&mut self, word: &Word, text: &str) -> Option<u64> {
        let time = parse_milliseconds(text);
        if time.is_none() {
            self.error(
                word,
                format!("{text:?} is not a time such as 10s, 1m30s or 250ms"),
            );
        }
        time
    }

    fn check_template(&mut self, word: &Word) {
        if let Err(message) = Template::parse(&word.text) {
            self.error(word, message);
        }
    }

    fn retry_policy(&mut self, directive: &Directive, policy: &mut RetryPolicy) {
        let Some(words) = self.args(directive, 1, 20) else {
            return;
        };
        *policy = RetryPolicy {
            on_error: false,
            on_timeout: false,
            on_statuses: Vec::new(),
            ..policy.clone()
        };
        for word in words {
            match word.text.as_str() {
                "error" => policy.on_error = true,
                "timeout" => policy.on_timeout = true,
                "off" => {}
                "invalid_header" => policy.on_error = true,
                "non_idempotent" => {
                    let message =
                        "non_idempotent: what may have run of a class with an effect is never tried again";
                    self.warn(word, message);
                }
                outcome => match outcome
                    .strip_prefix("http_")
                    .and_then(|status| status.parse::<u16>().ok())
                {
                    Some(status @ (403 | 404 | 429 | 500 | 502 | 503 | 504)) => {
                        policy.on_statuses.push(status);
                    }
                    _ => self.error(word, format!("{outcome:?} is no outcome of a try")),
                },
            }
        }
    }
}

/// Whether a directive belongs to the http context, and so may be at the top of a file that others
/// include.
fn is_http_level(directive: &Directive) -> bool {
    matches!(
        directive.name.text.as_str(),
        "upstream" | "server" | "map" | "split_clients" | "limit_req_zone" | "limit_conn_zone"
    )
}

fn is_inherited(name: &str) -> bool {
    matches!(
        name,
        "merge_slashes"
            | "proxy_next_upstream"
            | "proxy_next_upstream_tries"
            | "proxy_next_upstream_timeout"
            | "proxy_connect_timeout"
            | "proxy_send_timeout"
            | "proxy_read_timeout"
            | "limit_req"
            | "limit_conn"
            | "limit_req_status"
            | "limit_conn_status"
    )
}

/// Visits all locations, nested ones included.
pub(crate) fn visit_locations<'a>(locations: &'a [Location], visit: &mut impl FnMut(&'a Location)) {
    for location in locations {
        visit(location);
        visit_locations(&location.nested, visit);
    }
}
