//! What nginx's directives mean, as a route table; or a refusal for each that can't be expressed. Nothing is guessed: a
//! directive that is not named in [`table`] is refused.

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
use values::milliseconds;

/// Contexts, by their letters in [`table`].
const MAIN: &str = "main";
const HTTP: &str = "http";
const SERVER: &str = "server";
const LOCATION: &str = "location";
const UPSTREAM: &str = "upstream";

/// What an import came to.
#[derive(Debug)]
pub struct Import {
    /// The table, as far as it was understood; to be used only where nothing was refused.
    pub routes: Routes,
    /// What was found, in the order of files and lines.
    pub diagnostics: Vec<Diagnostic>,
    /// Findings that are not told one by one.
    pub omitted_diagnostics: usize,
    /// Directives read.
    pub directive_count: usize,
}

impl Import {
    /// Reads a file and what it includes.
    #[must_use]
    pub fn read(files: &dyn FileSource, name: &str) -> Self {
        let mut tree = ConfigTree::read(files, name);
        let directives = std::mem::take(&mut tree.directives);
        let mut reader = Reader {
            tree,
            names: HashMap::new(),
            defaults: HashMap::new(),
            made: HashMap::new(),
            routes: Routes::default(),
            zones: BTreeMap::new(),
            differs: BTreeSet::new(),
        };
        reader.main(&directives);
        reader.references();
        let Reader {
            mut tree, routes, ..
        } = reader;
        tree.diagnostics.sort_by(|a, b| {
            a.position
                .cmp(&b.position)
                .then_with(|| a.severity.cmp(&b.severity))
        });
        let count = count(&directives);
        Self {
            routes,
            diagnostics: tree.diagnostics,
            omitted_diagnostics: tree.omitted_diagnostics,
            directive_count: count,
        }
    }

    /// Whether the table means all that the file means.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.omitted_diagnostics == 0
            && self
                .diagnostics
                .iter()
                .all(|finding| finding.severity == Severity::Difference)
    }
}

fn count(all: &[Directive]) -> usize {
    all.iter()
        .map(|one| 1 + one.block.as_deref().map_or(0, count))
        .sum()
}

/// What locations inherit.
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

/// Locations of one block.
#[derive(Default)]
struct Siblings {
    all: Vec<Location>,
    /// Plain ones, by their sign and pattern.
    seen: HashMap<(&'static str, String), SourcePosition>,
}

struct Reader {
    tree: ConfigTree,
    /// Servers by address and name.
    names: HashMap<(String, String), SourcePosition>,
    /// Where variables are made.
    made: HashMap<String, Word>,
    /// Default servers by address.
    defaults: HashMap<String, SourcePosition>,
    routes: Routes,
    /// Keys and rates of zones; no rate for those of open requests.
    zones: BTreeMap<String, (String, u64)>,
    /// Directives whose difference was told; once is enough.
    differs: BTreeSet<String>,
}

impl Reader {
    fn error(&mut self, at: &Word, what: impl Into<String>) {
        self.tree.note(at, Severity::Error, what);
    }

    fn refuse(&mut self, at: &Word, what: impl Into<String>) {
        self.tree.note(at, Severity::Unsupported, what);
    }

    fn differs(&mut self, at: &Word, what: impl Into<String>) {
        let what = what.into();
        if self.differs.insert(what.clone()) {
            self.tree.note(at, Severity::Difference, what);
        }
    }

    /// Whether a directive is to be read; says so where it is not.
    fn takes(&mut self, one: &Directive, context: &str) -> bool {
        let name = one.name.text.as_str();
        let Some((_, contexts, fate)) =
            known_directives().iter().find(|(known, ..)| *known == name)
        else {
            self.refuse(
                &one.name,
                format!("{name:?} is not known here, and nobody should guess what it does"),
            );
            return false;
        };
        let letter = context.chars().next().unwrap_or('m');
        if !contexts.contains(letter) {
            self.error(&one.name, format!("{name:?} is not allowed in {context}"));
            return false;
        }
        let takes_block = matches!(
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
        if takes_block != one.block.is_some() {
            let what = if takes_block {
                "has no block"
            } else {
                "takes no block"
            };
            self.error(&one.name, format!("{name:?} {what}"));
            return false;
        }
        match fate {
            DirectiveSupport::Full => return true,
            DirectiveSupport::Ignored => {}
            DirectiveSupport::Partial(what) => self.differs(&one.name, format!("{name}: {what}")),
            DirectiveSupport::Unsupported(why) => self.refuse(&one.name, format!("{name}: {why}")),
        }
        false
    }

    /// The arguments, where their number is within this range.
    fn args<'a>(&mut self, one: &'a Directive, least: usize, most: usize) -> Option<&'a [Word]> {
        if (least..=most).contains(&one.args.len()) {
            return Some(&one.args);
        }
        let name = &one.name.text;
        self.error(
            &one.name,
            format!(
                "{name:?} has {} arguments, which is not what it takes",
                one.args.len()
            ),
        );
        None
    }

    fn main(&mut self, all: &[Directive]) {
        let mut seen = false;
        for one in all {
            // A file of upstream and location blocks alone is what others include; it is read as if in http.
            if is_bare(one) {
                continue;
            }
            if self.takes(one, MAIN) {
                if std::mem::replace(&mut seen, true) {
                    self.error(&one.name, "a second http block");
                }
                self.http(one.block.as_deref().unwrap_or_default());
            }
        }
        let bare: Vec<_> = all.iter().filter(|one| is_bare(one)).cloned().collect();
        if let Some(one) = bare.first() {
            if seen {
                self.error(
                    &one.name,
                    format!("{:?} is not allowed in main", one.name.text),
                );
            } else {
                self.http(&bare);
            }
        } else if !seen && self.tree.diagnostics.is_empty() {
            let position = SourcePosition {
                file: self.tree.texts.keys().next().cloned().unwrap_or_default(),
                line: 1,
                column: 1,
            };
            self.error(
                &Word {
                    text: String::new(),
                    position,
                    length: 1,
                },
                "there is no http block and no server in it",
            );
        }
    }

    fn http(&mut self, all: &[Directive]) {
        let inherited = self.inherit(all, HTTP, &Inherited::default());
        for one in all {
            let name = one.name.text.as_str();
            if is_inherited(name) || name == "limit_req_zone" || name == "limit_conn_zone" {
                continue;
            }
            if !self.takes(one, HTTP) {
                continue;
            }
            let block = one.block.as_deref().unwrap_or_default();
            match name {
                "upstream" => self.upstream(one, block),
                "map" => self.map(one, block),
                "split_clients" => self.split(one, block),
                "server" => self.server(one, block, &inherited),
                _ => {}
            }
        }
    }

    /// Settings that hold for all below, unless they say otherwise.
    fn inherit(&mut self, all: &[Directive], context: &str, above: &Inherited) -> Inherited {
        if context == HTTP {
            // Zones may stand after what uses them.
            for one in all {
                if matches!(one.name.text.as_str(), "limit_req_zone" | "limit_conn_zone")
                    && self.takes(one, HTTP)
                {
                    self.zone(one);
                }
            }
        }
        let mut here = above.clone();
        for one in all.iter().filter(|one| is_inherited(&one.name.text)) {
            if !self.takes(one, context) {
                continue;
            }
            match one.name.text.as_str() {
                "limit_req_status" | "limit_conn_status" => {
                    let Some([word]) = self.args(one, 1, 1) else {
                        continue;
                    };
                    match word.text.parse() {
                        Ok(status @ 400..=599) if one.name.text == "limit_req_status" => {
                            here.rate_limit_status = status;
                        }
                        Ok(status @ 400..=599) => here.concurrency_limit_status = status,
                        _ => self.error(
                            word,
                            format!("{:?} is not a status from 400 to 599", word.text),
                        ),
                    }
                }
                "merge_slashes" => match self.args(one, 1, 1) {
                    Some([word]) if word.text == "on" || word.text == "off" => {
                        here.merge_slashes = word.text == "on";
                    }
                    Some([word, ..]) => {
                        self.error(word, format!("{:?} is neither on nor off", word.text));
                    }
                    _ => {}
                },
                "proxy_next_upstream" => self.next(one, &mut here.retry_policy),
                "proxy_next_upstream_tries" => {
                    if let Some([word]) = self.args(one, 1, 1) {
                        here.retry_policy.max_attempts = self.number(word).unwrap_or(0);
                    }
                }
                "proxy_next_upstream_timeout" => {
                    here.retry_policy.timeout_ms = self.time_of(one).unwrap_or(0);
                }
                "proxy_connect_timeout" => {
                    here.timeouts.connect_ms = self.time_of(one).unwrap_or(60_000);
                }
                "proxy_send_timeout" => here.timeouts.send_ms = self.time_of(one).unwrap_or(60_000),
                "proxy_read_timeout" => here.timeouts.read_ms = self.time_of(one).unwrap_or(60_000),
                _ => {}
            }
        }
        // Limits of one level replace those above; both kinds apart.
        for rate in [true, false] {
            let name = if rate { "limit_req" } else { "limit_conn" };
            let own: Vec<_> = all.iter().filter(|one| one.name.text == name).collect();
            if own.is_empty() {
                continue;
            }
            here.limits.retain(|limit| (limit.rate > 0) != rate);
            for one in own {
                if self.takes(one, context) {
                    let limit = if rate {
                        self.limit_rate(one)
                    } else {
                        self.limit_open(one)
                    };
                    here.limits.extend(limit);
                }
            }
        }
        for limit in &mut here.limits {
            limit.status = if limit.rate > 0 {
                here.rate_limit_status
            } else {
                here.concurrency_limit_status
            };
        }
        here
    }

    fn number(&mut self, word: &Word) -> Option<u32> {
        let number = word.text.parse().ok();
        if number.is_none() {
            self.error(word, format!("{:?} is not a whole number", word.text));
        }
        number
    }

    fn time_of(&mut self, one: &Directive) -> Option<u64> {
        let [word] = self.args(one, 1, 1)? else {
            return None;
        };
        self.time(word, &word.text)
    }

    fn time(&mut self, word: &Word, text: &str) -> Option<u64> {
        let time = milliseconds(text);
        if time.is_none() {
            self.error(
                word,
                format!("{text:?} is not a time such as 10s, 1m30s or 250ms"),
            );
        }
        time
    }

    fn template(&mut self, word: &Word) {
        if let Err(what) = Template::parse(&word.text) {
            self.error(word, what);
        }
    }

    fn next(&mut self, one: &Directive, next: &mut RetryPolicy) {
        let Some(words) = self.args(one, 1, 20) else {
            return;
        };
        *next = RetryPolicy {
            on_error: false,
            on_timeout: false,
            on_statuses: Vec::new(),
            ..next.clone()
        };
        for word in words {
            match word.text.as_str() {
                "error" => next.on_error = true,
                "timeout" => next.on_timeout = true,
                "off" => {}
                "invalid_header" => next.on_error = true,
                "non_idempotent" => {
                    let what =
                        "non_idempotent: what may have run of a class with an effect is never tried again";
                    self.differs(word, what);
                }
                other => match other
                    .strip_prefix("http_")
                    .and_then(|code| code.parse::<u16>().ok())
                {
                    Some(code @ (403 | 404 | 429 | 500 | 502 | 503 | 504)) => {
                        next.on_statuses.push(code);
                    }
                    _ => self.error(word, format!("{other:?} is no outcome of a try")),
                },
            }
        }
    }
}

/// What a file of its own may hold that others include within http.
fn is_bare(one: &Directive) -> bool {
    matches!(
        one.name.text.as_str(),
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
pub(crate) fn visit_locations<'a>(all: &'a [Location], visit: &mut impl FnMut(&'a Location)) {
    for location in all {
        visit(location);
        visit_locations(&location.nested, visit);
    }
}
