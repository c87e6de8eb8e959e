//! What goes elsewhere under another table, with a request for each as an example.

use crate::model::{Pool, Routes};
use crate::probe::{probes, values, Probe};
use crate::router::{RouteDecision, RouteRequest, Router};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Values of one header that are tried with each request.
const VALUES: usize = 64;

/// Requests that go elsewhere now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Moved {
    /// What became of them, and by which location.
    pub before: String,
    /// What becomes of them now.
    pub after: String,
    /// An example, with the header that makes it so.
    pub example: String,
    /// Examples of this kind that were tried.
    pub count: usize,
}

/// How two tables differ.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Requests that go elsewhere.
    #[serde(rename = "moved")]
    pub rerouted: Vec<Moved>,
    /// Pools whose way to choose or targets differ, a line each.
    pub pools: Vec<String>,
    /// Requests that were tried.
    #[serde(rename = "tried")]
    pub probe_count: usize,
}

impl Difference {
    /// Whether nothing differs, as far as was tried.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rerouted.is_empty() && self.pools.is_empty()
    }
}

/// What a decision comes to, without its place in a file.
#[must_use]
pub fn describe_decision(found: &Result<RouteDecision, String>) -> String {
    match found {
        Ok(RouteDecision::Forward {
            pool, uri, class, ..
        }) => {
            let class = class
                .as_ref()
                .map(|class| format!(" as {class}"))
                .unwrap_or_default();
            format!("{pool} {uri}{class}")
        }
        Ok(RouteDecision::Respond {
            status: code, text, ..
        }) if text.is_empty() => code.to_string(),
        Ok(RouteDecision::Respond {
            status: code, text, ..
        }) => format!("{code} {text:?}"),
        Err(what) => what.clone(),
    }
}

fn by(table: &Router, found: &Result<RouteDecision, String>) -> String {
    match found {
        Ok(RouteDecision::Forward {
            server,
            location,
            pool,
            class,
            ..
        }) => {
            let site = table.location(*server, *location);
            let site = site
                .map(|site| format!("{} at {}", site.name, site.position))
                .unwrap_or_default();
            let class = class
                .as_ref()
                .map(|class| format!(" as {class}"))
                .unwrap_or_default();
            format!("{pool}{class} by {site}")
        }
        Ok(RouteDecision::Respond {
            status: code,
            reason: by,
            ..
        }) => format!("{code}: {by}"),
        Err(what) => what.clone(),
    }
}

/// Headers that a table's variables look at.
#[must_use]
pub fn headers(routes: &Routes) -> BTreeSet<String> {
    use crate::model::Variable;
    let sources = routes.variables.values().map(|made| match made {
        Variable::Map { source, .. } => source,
        Variable::Split { key, .. } => key,
    });
    let mut found = BTreeSet::new();
    for source in sources {
        let Ok(template) = crate::template::Template::parse(source) else {
            continue;
        };
        found.extend(
            template
                .variables()
                .filter(|name| name.starts_with("http_"))
                .map(str::to_owned),
        );
    }
    found
}

/// Compares two tables.
///
/// # Errors
/// Where one of them can't be prepared.
pub fn diff_routes(old: &Routes, new: &Routes) -> Result<Difference, String> {
    let (before, after) = (Router::new(old)?, Router::new(new)?);
    let all: BTreeSet<Probe> = probes(old).into_iter().chain(probes(new)).collect();
    // With no header, and with each value that a map names and some that none does.
    let mut variants: Vec<Vec<(String, String)>> = vec![Vec::new()];
    for name in headers(old)
        .into_iter()
        .chain(headers(new))
        .collect::<BTreeSet<_>>()
    {
        let header = name.trim_start_matches("http_").replace('_', "-");
        let mut tried: BTreeSet<String> = values(old, &name)
            .into_iter()
            .chain(values(new, &name))
            .collect();
        tried.extend((0..16).map(|number| format!("sample-{number}")));
        variants.extend(
            tried
                .into_iter()
                .take(VALUES)
                .map(|value| vec![(header.clone(), value)]),
        );
    }
    let mut difference = Difference::default();
    let mut groups: BTreeMap<(String, String), (String, usize)> = BTreeMap::new();
    for probe in &all {
        for headers in &variants {
            let asked = RouteRequest {
                listen_address: Some(&probe.listen),
                host: &probe.host,
                method: "POST",
                request_target: &probe.path,
                headers,
                caller_address: "192.0.2.1",
            };
            difference.probe_count += 1;
            let (was, is) = (before.route(&asked), after.route(&asked));
            if describe_decision(&was) == describe_decision(&is) {
                continue;
            }
            let port = probe.listen.rsplit(':').next().unwrap_or("80");
            let header: String = headers
                .iter()
                .map(|(name, value)| format!(" with {name}: {value}"))
                .collect();
            let host = if probe.host.is_empty() {
                "-"
            } else {
                &probe.host
            };
            let example = format!("POST http://{host}:{port}{}{header}", probe.path);
            let group = groups
                .entry((by(&before, &was), by(&after, &is)))
                .or_insert((example, 0));
            group.1 += 1;
        }
    }
    let moved = groups
        .into_iter()
        .map(|((before, after), (example, count))| Moved {
            before,
            after,
            example,
            count,
        });
    difference.rerouted = moved.collect();
    let names: BTreeSet<_> = old.pools.keys().chain(new.pools.keys()).collect();
    for name in names {
        match (old.pools.get(name), new.pools.get(name)) {
            (None, _) => difference.pools.push(format!("{name}: new")),
            (_, None) => difference.pools.push(format!("{name}: gone")),
            (Some(was), Some(is)) => pool(name, was, is, &mut difference.pools),
        }
    }
    Ok(difference)
}

fn pool(name: &str, was: &Pool, is: &Pool, out: &mut Vec<String>) {
    if was.method != is.method {
        out.push(format!(
            "{name}: chooses by {:?}, before by {:?}",
            is.method, was.method
        ));
    }
    let lines = |pool: &Pool| -> Vec<String> {
        let one = |target: &crate::model::Target| {
            let mut target = target.clone();
            target.position.line = 0;
            let parts = [
                format!("weight {}", target.weight),
                format!(
                    "fails {} in {} ms",
                    target.max_fails, target.fail_timeout_ms
                ),
                format!("open {}", target.max_connections),
                format!("slow start {} ms", target.slow_start_ms),
                if target.backup {
                    "backup".to_owned()
                } else {
                    String::new()
                },
                if target.down {
                    "down".to_owned()
                } else {
                    String::new()
                },
            ];
            format!("{} {}", target.address, parts.join(" ").trim_end())
        };
        pool.targets.iter().map(one).collect()
    };
    let (was, is) = (lines(was), lines(is));
    out.extend(
        was.iter()
            .filter(|line| !is.contains(line))
            .map(|line| format!("{name}: no longer {line}")),
    );
    out.extend(
        is.iter()
            .filter(|line| !was.contains(line))
            .map(|line| format!("{name}: now {line}")),
    );
}
