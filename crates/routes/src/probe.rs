//! Example requests for a table: for each server and location some that it takes or nearly takes. What compares two
//! tables, or looks for a path below a prefix, asks these.

use crate::import::locations;
use crate::model::{Location, MatchKind, Routes, Server, Variable};
use regex_syntax::hir::{Class, Hir, HirKind};
use std::collections::BTreeSet;

/// A request to try.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Probe {
    /// The `address:port`.
    pub listen: String,
    /// The host.
    pub host: String,
    /// The path.
    pub path: String,
}

/// Copies of what is repeated.
const REPEATS: u32 = 2;
/// Bytes of an example.
const LONGEST: usize = 512;

/// A text that a regular expression matches, where one is easily made; it is to be checked.
#[must_use]
pub fn example(regex: &str, any_case: bool) -> Option<String> {
    let parsed = regex_syntax::ParserBuilder::new()
        .case_insensitive(any_case)
        .unicode(false)
        .utf8(false)
        .build()
        .parse(regex)
        .ok()?;
    let mut bytes = Vec::new();
    write(&parsed, &mut bytes);
    bytes.truncate(LONGEST);
    String::from_utf8(bytes).ok()
}

fn write(hir: &Hir, out: &mut Vec<u8>) {
    if out.len() > LONGEST {
        return;
    }
    match hir.kind() {
        HirKind::Empty | HirKind::Look(_) => {}
        HirKind::Literal(literal) => out.extend_from_slice(&literal.0),
        HirKind::Class(class) => out.extend(one_of(class)),
        HirKind::Repetition(repeated) => {
            let most = repeated.max.unwrap_or(u32::MAX);
            for _ in 0..repeated.min.max(1.min(most)).min(repeated.min.max(REPEATS)) {
                write(&repeated.sub, out);
            }
        }
        HirKind::Capture(group) => write(&group.sub, out),
        HirKind::Concat(parts) => parts.iter().for_each(|part| write(part, out)),
        HirKind::Alternation(parts) => parts.first().into_iter().for_each(|part| write(part, out)),
    }
}

/// A plain letter or digit where the class has one.
fn one_of(class: &Class) -> Option<u8> {
    let ranges: Vec<(u8, u8)> = match class {
        Class::Bytes(class) => class
            .ranges()
            .iter()
            .map(|range| (range.start(), range.end()))
            .collect(),
        Class::Unicode(class) => {
            let byte = |c: char| u8::try_from(u32::from(c)).unwrap_or(0x7f);
            class
                .ranges()
                .iter()
                .map(|range| (byte(range.start()), byte(range.end())))
                .collect()
        }
    };
    let has = |wanted: &u8| {
        ranges
            .iter()
            .any(|(from, to)| (from..=to).contains(&wanted))
    };
    let wanted = b"x1a-_/.".iter().copied().find(|byte| has(byte));
    wanted.or_else(|| ranges.first().map(|(from, _)| *from))
}

/// A text that the regular expression of a location matches.
#[must_use]
pub fn location_example(location: &Location) -> Option<String> {
    let text = location.match_kind.is_regex().then(|| {
        example(
            &location.pattern,
            location.match_kind == MatchKind::RegexCaseInsensitive,
        )
    });
    text.flatten().filter(|text| !text.is_empty())
}

/// Paths near what a location takes.
fn paths(location: &Location, into: &mut BTreeSet<String>) {
    let pattern = &location.pattern;
    match location.match_kind {
        MatchKind::Named => {}
        MatchKind::Exact => {
            into.extend([
                pattern.clone(),
                format!("{pattern}/"),
                format!("{pattern}x"),
            ]);
        }
        MatchKind::Prefix | MatchKind::PreferentialPrefix => {
            into.extend([
                pattern.clone(),
                format!("{pattern}x"),
                format!("{}/x/y", pattern.trim_end_matches('/')),
            ]);
            // The path without its last byte just misses it.
            if pattern.len() > 1 {
                into.insert(
                    pattern
                        [..pattern.len() - pattern.chars().next_back().map_or(1, char::len_utf8)]
                        .to_owned(),
                );
            }
        }
        MatchKind::Regex | MatchKind::RegexCaseInsensitive => {
            if let Some(text) = location_example(location) {
                let rooted = if text.starts_with('/') {
                    text
                } else {
                    format!("/{text}")
                };
                into.extend([format!("{rooted}x"), rooted]);
            }
        }
    }
}

/// A host that a server's name takes.
#[must_use]
pub fn host(name: &str) -> String {
    if let Some(regex) = name.strip_prefix('~') {
        return example(regex, true).unwrap_or_default();
    }
    if let Some(rest) = name.strip_prefix("*.") {
        return format!("x.{rest}");
    }
    if let Some(rest) = name.strip_suffix(".*") {
        return format!("{rest}.example");
    }
    name.to_owned()
}

/// The paths near all locations of a server.
#[must_use]
pub fn server_paths(server: &Server) -> BTreeSet<String> {
    let mut found = BTreeSet::from(["/".to_owned()]);
    locations(&server.locations, &mut |location| {
        paths(location, &mut found);
    });
    // What a rewrite matches goes elsewhere than the locations say.
    let mut steps: Vec<_> = server.steps.iter().collect();
    locations(&server.locations, &mut |location| {
        steps.extend(&location.steps);
    });
    for step in steps {
        if let crate::model::RewriteStep::Rewrite { regex, .. } = step {
            found.extend(example(regex, false).filter(|text| text.starts_with('/')));
        }
    }
    found.retain(|path| path.starts_with('/'));
    found
        .into_iter()
        .map(|path| crate::uri::escape(path.as_bytes()))
        .collect()
}

/// Requests near all locations of a table.
#[must_use]
pub fn probes(routes: &Routes) -> BTreeSet<Probe> {
    let mut found = BTreeSet::new();
    for server in &routes.servers {
        let paths = server_paths(server);
        for (listen, _) in &server.listen_addresses {
            for name in &server.names {
                for path in &paths {
                    found.insert(Probe {
                        listen: listen.clone(),
                        host: host(name),
                        path: path.clone(),
                    });
                }
            }
        }
    }
    found
}

/// Values of a variable that a table's maps name, or take by a regular expression.
#[must_use]
pub fn values(routes: &Routes, variable: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for made in routes.variables.values() {
        let Variable::Map { source, cases, .. } = made else {
            continue;
        };
        if source
            .trim_start_matches("${")
            .trim_start_matches('$')
            .trim_end_matches('}')
            != variable
        {
            continue;
        }
        for (case, _) in cases {
            match case.strip_prefix('~') {
                Some(regex) => {
                    let (regex, any_case) = regex
                        .strip_prefix('*')
                        .map_or((regex, false), |regex| (regex, true));
                    found.extend(example(regex, any_case));
                }
                None => {
                    found.insert(host(case));
                }
            }
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn examples_match_what_they_are_made_from() {
        for regex in [
            r"^/api/v\d+/(?:seat|lobby)s?$",
            r"\.(png|gif)$",
            "^/[^/]+/x{3}",
            "a*b+",
            "(?i)^/QUEUE",
            "^$",
        ] {
            let text = example(regex, false).unwrap();
            assert!(
                crate::pattern::compile(regex, false)
                    .unwrap()
                    .is_match(text.as_bytes()),
                "{regex}: {text}"
            );
        }
    }
}
