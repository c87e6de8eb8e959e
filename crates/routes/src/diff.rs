//! Compares two route tables and reports which requests are routed differently, each kind with an
//! example request.

use crate::model::{Pool, Routes};
use crate::probe::{example_values, probe_requests, ProbeRequest};
use crate::router::{RouteDecision, RouteRequest, Router};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of values of one header that are combined with each request.
const MAX_HEADER_VALUES: usize = 64;

/// Requests of one kind that the two tables route differently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReroutedRequests {
    /// Decision of the old table, with the location that made it.
    pub before: String,
    /// Decision of the new table, with the location that made it.
    pub after: String,
    /// An example request, with the header that the decision depends on.
    pub example: String,
    /// Number of probe requests of this kind.
    pub count: usize,
}

/// Difference between two route tables.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Requests that are routed differently.
    #[serde(rename = "moved")]
    pub rerouted: Vec<ReroutedRequests>,
    /// One line for each change of a pool's balancing method or targets.
    pub pools: Vec<String>,
    /// Number of probe requests.
    #[serde(rename = "tried")]
    pub probe_count: usize,
}

impl Difference {
    /// Whether no probe request and no pool shows a difference.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rerouted.is_empty() && self.pools.is_empty()
    }
}

/// Describes a decision, without the position of the location that made it.
#[must_use]
pub fn describe_decision(decision: &Result<RouteDecision, String>) -> String {
    match decision {
        Ok(RouteDecision::Forward {
            pool, uri, class, ..
        }) => {
            let class = class
                .as_ref()
                .map(|class| format!(" as {class}"))
                .unwrap_or_default();
            format!("{pool} {uri}{class}")
        }
        Ok(RouteDecision::Respond { status, text, .. }) if text.is_empty() => status.to_string(),
        Ok(RouteDecision::Respond { status, text, .. }) => format!("{status} {text:?}"),
        Err(error) => error.clone(),
    }
}

fn describe_with_location(router: &Router, decision: &Result<RouteDecision, String>) -> String {
    match decision {
        Ok(RouteDecision::Forward {
            server,
            location,
            pool,
            class,
            ..
        }) => {
            let location = router.location(*server, *location);
            let location = location
                .map(|location| format!("{} at {}", location.name, location.position))
                .unwrap_or_default();
            let class = class
                .as_ref()
                .map(|class| format!(" as {class}"))
                .unwrap_or_default();
            format!("{pool}{class} by {location}")
        }
        Ok(RouteDecision::Respond { status, reason, .. }) => format!("{status}: {reason}"),
        Err(error) => error.clone(),
    }
}

/// Returns the names of the `http_` variables, which are request headers, that a table's own
/// variables use.
#[must_use]
pub fn header_variables(routes: &Routes) -> BTreeSet<String> {
    use crate::model::Variable;
    let sources = routes
        .variables
        .values()
        .map(|definition| match definition {
            Variable::Map { source, .. } => source,
            Variable::Split { key, .. } => key,
        });
    let mut names = BTreeSet::new();
    for source in sources {
        let Ok(template) = crate::template::Template::parse(source) else {
            continue;
        };
        names.extend(
            template
                .variables()
                .filter(|name| name.starts_with("http_"))
                .map(str::to_owned),
        );
    }
    names
}

/// Compares two route tables.
///
/// # Errors
/// A table can't be prepared.
pub fn diff_routes(old: &Routes, new: &Routes) -> Result<Difference, String> {
    let (old_router, new_router) = (Router::new(old)?, Router::new(new)?);
    let requests: BTreeSet<ProbeRequest> = probe_requests(old)
        .into_iter()
        .chain(probe_requests(new))
        .collect();
    // Each request is routed without headers, with each value that a map lists, and with some values
    // that no map lists.
    let mut header_variants: Vec<Vec<(String, String)>> = vec![Vec::new()];
    for name in header_variables(old)
        .into_iter()
        .chain(header_variables(new))
        .collect::<BTreeSet<_>>()
    {
        let header = name.trim_start_matches("http_").replace('_', "-");
        let mut values: BTreeSet<String> = example_values(old, &name)
            .into_iter()
            .chain(example_values(new, &name))
            .collect();
        values.extend((0..16).map(|number| format!("sample-{number}")));
        header_variants.extend(
            values
                .into_iter()
                .take(MAX_HEADER_VALUES)
                .map(|value| vec![(header.clone(), value)]),
        );
    }
    let mut difference = Difference::default();
    let mut groups: BTreeMap<(String, String), (String, usize)> = BTreeMap::new();
    for request in &requests {
        for headers in &header_variants {
            let route_request = RouteRequest {
                listen_address: Some(&request.listen_address),
                host: &request.host,
                method: "POST",
                request_target: &request.path,
                headers,
                caller_address: "192.0.2.1",
            };
            difference.probe_count += 1;
            let (old_decision, new_decision) = (
                old_router.route(&route_request),
                new_router.route(&route_request),
            );
            if describe_decision(&old_decision) == describe_decision(&new_decision) {
                continue;
            }
            let port = request.listen_address.rsplit(':').next().unwrap_or("80");
            let header: String = headers
                .iter()
                .map(|(name, value)| format!(" with {name}: {value}"))
                .collect();
            let host = if request.host.is_empty() {
                "-"
            } else {
                &request.host
            };
            let example = format!("POST http://{host}:{port}{}{header}", request.path);
            let group = groups
                .entry((
                    describe_with_location(&old_router, &old_decision),
                    describe_with_location(&new_router, &new_decision),
                ))
                .or_insert((example, 0));
            group.1 += 1;
        }
    }
    let rerouted = groups
        .into_iter()
        .map(|((before, after), (example, count))| ReroutedRequests {
            before,
            after,
            example,
            count,
        });
    difference.rerouted = rerouted.collect();
    let names: BTreeSet<_> = old.pools.keys().chain(new.pools.keys()).collect();
    for name in names {
        match (old.pools.get(name), new.pools.get(name)) {
            (None, _) => difference.pools.push(format!("{name}: new")),
            (_, None) => difference.pools.push(format!("{name}: gone")),
            (Some(old), Some(new)) => diff_pool(name, old, new, &mut difference.pools),
        }
    }
    Ok(difference)
}

fn diff_pool(name: &str, old: &Pool, new: &Pool, out: &mut Vec<String>) {
    if old.method != new.method {
        out.push(format!(
            "{name}: chooses by {:?}, before by {:?}",
            new.method, old.method
        ));
    }
    let target_lines = |pool: &Pool| -> Vec<String> {
        let target_line = |target: &crate::model::Target| {
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
        pool.targets.iter().map(target_line).collect()
    };
    let (old, new) = (target_lines(old), target_lines(new));
    out.extend(
        old.iter()
            .filter(|line| !new.contains(line))
            .map(|line| format!("{name}: no longer {line}")),
    );
    out.extend(
        new.iter()
            .filter(|line| !old.contains(line))
            .map(|line| format!("{name}: now {line}")),
    );
}
