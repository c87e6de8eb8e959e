//! Probe requests for a route table: for each server and location some requests that it takes, and
//! some that it just misses. Comparisons of tables and expectations use them.

use crate::import::visit_locations;
use crate::model::{Location, MatchKind, Routes, Server, Variable};
use regex_syntax::hir::{Class, Hir, HirKind};
use std::collections::BTreeSet;

/// A probe request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProbeRequest {
    /// The `address:port` at which the request arrives.
    pub listen_address: String,
    /// Host.
    pub host: String,
    /// Path.
    pub path: String,
}

/// Maximum number of copies of a repetition whose minimum is lower.
const MAX_REPETITIONS: u32 = 2;
/// Maximum length of an example.
const MAX_EXAMPLE_BYTES: usize = 512;

/// Returns a text that a regular expression probably matches, if one is easily made. The caller has
/// to check that it does.
#[must_use]
pub fn regex_example(regex: &str, case_insensitive: bool) -> Option<String> {
    let hir = regex_syntax::ParserBuilder::new()
        .case_insensitive(case_insensitive)
        .unicode(false)
        .utf8(false)
        .build()
        .parse(regex)
        .ok()?;
    let mut bytes = Vec::new();
    write_example(&hir, &mut bytes);
    bytes.truncate(MAX_EXAMPLE_BYTES);
    String::from_utf8(bytes).ok()
}

fn write_example(hir: &Hir, out: &mut Vec<u8>) {
    if out.len() > MAX_EXAMPLE_BYTES {
        return;
    }
    match hir.kind() {
        HirKind::Empty | HirKind::Look(_) => {}
        HirKind::Literal(literal) => out.extend_from_slice(&literal.0),
        HirKind::Class(class) => out.extend(example_byte(class)),
        HirKind::Repetition(repetition) => {
            let max_count = repetition.max.unwrap_or(u32::MAX);
            for _ in 0..repetition
                .min
                .max(1.min(max_count))
                .min(repetition.min.max(MAX_REPETITIONS))
            {
                write_example(&repetition.sub, out);
            }
        }
        HirKind::Capture(group) => write_example(&group.sub, out),
        HirKind::Concat(parts) => parts.iter().for_each(|part| write_example(part, out)),
        HirKind::Alternation(parts) => parts
            .first()
            .into_iter()
            .for_each(|part| write_example(part, out)),
    }
}

/// Returns a byte of a character class, preferably a plain letter or digit.
fn example_byte(class: &Class) -> Option<u8> {
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
    let is_in_class = |preferred: &u8| {
        ranges
            .iter()
            .any(|(from, to)| (from..=to).contains(&preferred))
    };
    let preferred = b"x1a-_/.".iter().copied().find(|byte| is_in_class(byte));
    preferred.or_else(|| ranges.first().map(|(from, _)| *from))
}

/// Returns an example for the regular expression of a location.
#[must_use]
pub fn location_example(location: &Location) -> Option<String> {
    let example = location.match_kind.is_regex().then(|| {
        regex_example(
            &location.pattern,
            location.match_kind == MatchKind::RegexCaseInsensitive,
        )
    });
    example.flatten().filter(|example| !example.is_empty())
}

/// Adds paths that a location takes or just misses.
fn add_location_paths(location: &Location, paths: &mut BTreeSet<String>) {
    let pattern = &location.pattern;
    match location.match_kind {
        MatchKind::Named => {}
        MatchKind::Exact => {
            paths.extend([
                pattern.clone(),
                format!("{pattern}/"),
                format!("{pattern}x"),
            ]);
        }
        MatchKind::Prefix | MatchKind::PreferentialPrefix => {
            paths.extend([
                pattern.clone(),
                format!("{pattern}x"),
                format!("{}/x/y", pattern.trim_end_matches('/')),
            ]);
            // The prefix without its last character just misses the location.
            if pattern.len() > 1 {
                paths.insert(
                    pattern
                        [..pattern.len() - pattern.chars().next_back().map_or(1, char::len_utf8)]
                        .to_owned(),
                );
            }
        }
        MatchKind::Regex | MatchKind::RegexCaseInsensitive => {
            if let Some(example) = location_example(location) {
                let absolute = if example.starts_with('/') {
                    example
                } else {
                    format!("/{example}")
                };
                paths.extend([format!("{absolute}x"), absolute]);
            }
        }
    }
}

/// Returns a host that matches a server name.
#[must_use]
pub fn example_host(name: &str) -> String {
    if let Some(regex) = name.strip_prefix('~') {
        return regex_example(regex, true).unwrap_or_default();
    }
    if let Some(rest) = name.strip_prefix("*.") {
        return format!("x.{rest}");
    }
    if let Some(rest) = name.strip_suffix(".*") {
        return format!("{rest}.example");
    }
    name.to_owned()
}

/// Returns paths that the locations of a server take or just miss.
#[must_use]
pub fn server_paths(server: &Server) -> BTreeSet<String> {
    let mut paths = BTreeSet::from(["/".to_owned()]);
    visit_locations(&server.locations, &mut |location| {
        add_location_paths(location, &mut paths);
    });
    // Rewrites change the location that a path leads to.
    let mut steps: Vec<_> = server.steps.iter().collect();
    visit_locations(&server.locations, &mut |location| {
        steps.extend(&location.steps);
    });
    for step in steps {
        if let crate::model::RewriteStep::Rewrite { regex, .. } = step {
            paths.extend(regex_example(regex, false).filter(|text| text.starts_with('/')));
        }
    }
    paths.retain(|path| path.starts_with('/'));
    paths
        .into_iter()
        .map(|path| crate::uri::escape(path.as_bytes()))
        .collect()
}

/// Returns the probe requests for all servers and locations of a table.
#[must_use]
pub fn probe_requests(routes: &Routes) -> BTreeSet<ProbeRequest> {
    let mut probe_requests = BTreeSet::new();
    for server in &routes.servers {
        let paths = server_paths(server);
        for (listen_address, _) in &server.listen_addresses {
            for name in &server.names {
                for path in &paths {
                    probe_requests.insert(ProbeRequest {
                        listen_address: listen_address.clone(),
                        host: example_host(name),
                        path: path.clone(),
                    });
                }
            }
        }
    }
    probe_requests
}

/// Returns values of a variable that the maps of a table list or match by a regular expression.
#[must_use]
pub fn example_values(routes: &Routes, variable: &str) -> BTreeSet<String> {
    let mut values = BTreeSet::new();
    for definition in routes.variables.values() {
        let Variable::Map { source, cases, .. } = definition else {
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
                    let (regex, case_insensitive) = regex
                        .strip_prefix('*')
                        .map_or((regex, false), |regex| (regex, true));
                    values.extend(regex_example(regex, case_insensitive));
                }
                None => {
                    values.insert(example_host(case));
                }
            }
        }
    }
    values
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn examples_match_their_regular_expressions() {
        for regex in [
            r"^/api/v\d+/(?:seat|lobby)s?$",
            r"\.(png|gif)$",
            "^/[^/]+/x{3}",
            "a*b+",
            "(?i)^/QUEUE",
            "^$",
        ] {
            let text = regex_example(regex, false).unwrap();
            assert!(
                crate::pattern::compile(regex, false)
                    .unwrap()
                    .is_match(text.as_bytes()),
                "{regex}: {text}"
            );
        }
    }
}
