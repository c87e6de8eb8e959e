//! What can be said only when all was read: names of pools and variables.

use super::{visit_locations, Reader};
use crate::model::{Location, ProxyPass, RewriteStep, Routes, Server, Variable};
use crate::pattern;
use crate::syntax::Word;
use crate::template::Template;
use std::collections::BTreeSet;

impl Reader {
    /// What can be said only when all was read: names of pools and variables.
    pub(super) fn references(&mut self) {
        let routes = std::mem::take(&mut self.routes);
        for server in &routes.servers {
            let mut known = BTreeSet::new();
            collect_set(&server.steps, &mut known);
            visit_locations(&server.locations, &mut |location| {
                collect_set(&location.steps, &mut known);
                if location.match_kind.is_regex() {
                    known.extend(pattern::capture_names(&location.pattern));
                }
            });
            let mut faults = Vec::new();
            visit_locations(&server.locations, &mut |location| {
                if let Some(pass) = &location.proxy_pass {
                    faults.extend(
                        pool_fault(&routes, server, pass)
                            .map(|what| (location.position.clone(), what)),
                    );
                }
                for text in texts(location) {
                    faults.extend(
                        variable_fault(&routes, &known, &text)
                            .map(|what| (location.position.clone(), what)),
                    );
                }
            });
            for step in &server.steps {
                for text in step_texts(step) {
                    faults.extend(
                        variable_fault(&routes, &known, &text)
                            .map(|what| (server.position.clone(), what)),
                    );
                }
            }
            for (position, what) in faults {
                self.refuse(
                    &Word {
                        text: String::new(),
                        position,
                        length: 8,
                    },
                    what,
                );
            }
        }
        for (name, variable) in &routes.variables {
            let texts: Vec<&String> = match variable {
                Variable::Map {
                    source,
                    cases,
                    default,
                    ..
                } => cases
                    .iter()
                    .map(|(_, value)| value)
                    .chain([source, default])
                    .collect(),
                Variable::Split { key, .. } => vec![key],
            };
            let known = BTreeSet::new();
            let fault = texts
                .into_iter()
                .find_map(|text| variable_fault(&routes, &known, text));
            if let Some((what, word)) = fault.zip(self.made.get(name).cloned()) {
                self.refuse(&word, what);
            }
        }
        self.routes = routes;
    }
}

fn collect_set(steps: &[RewriteStep], into: &mut BTreeSet<String>) {
    for step in steps {
        match step {
            RewriteStep::Set { variable, .. } => {
                into.insert(variable.clone());
            }
            RewriteStep::Rewrite { regex, .. } => into.extend(pattern::capture_names(regex)),
            _ => {}
        }
    }
}

fn step_texts(step: &RewriteStep) -> Vec<String> {
    match step {
        RewriteStep::Set { value, .. } => vec![value.clone()],
        RewriteStep::Rewrite { replacement, .. } => vec![replacement.clone()],
        RewriteStep::Return { text, .. } => text.iter().cloned().collect(),
        RewriteStep::Break => Vec::new(),
    }
}

fn texts(location: &Location) -> Vec<String> {
    let mut found: Vec<String> = location.steps.iter().flat_map(step_texts).collect();
    found.extend(location.limits.iter().map(|limit| limit.key.clone()));
    found.extend(
        location
            .proxy_pass
            .iter()
            .filter_map(|pass| pass.uri.clone()),
    );
    found
}

/// What is wrong with the pool that a location passes to.
fn pool_fault(routes: &Routes, server: &Server, pass: &ProxyPass) -> Option<String> {
    let missing = |pool: &str| {
        (!routes.pools.contains_key(pool))
            .then(|| format!("no upstream is called {pool:?}, and names are not looked up"))
    };
    let Some(variable) = pass.pool.strip_prefix('$') else {
        return missing(&pass.pool);
    };
    let mut values: Vec<&str> = Vec::new();
    match routes.variables.get(variable) {
        Some(Variable::Map { cases, default, .. }) => {
            values.extend(cases.iter().map(|(_, value)| value.as_str()));
            values.push(default);
        }
        Some(Variable::Split { parts, .. }) => {
            values.extend(parts.iter().map(|(_, value)| value.as_str()));
            if parts.iter().all(|(share, _)| *share > 0)
                && parts.iter().map(|(share, _)| share).sum::<u32>() < 10_000
            {
                values.push("");
            }
        }
        None => {
            let collect = |steps: &'_ [RewriteStep]| {
                steps.iter().any(
                    |step| matches!(step, RewriteStep::Set { variable: name, .. } if name == variable),
                )
            };
            let mut found = collect(&server.steps);
            visit_locations(&server.locations, &mut |location| {
                found |= collect(&location.steps);
            });
            if !found {
                return Some(format!(
                    "the pool is ${variable}, which no map, split_clients or set makes"
                ));
            }
            let set = |steps: &[RewriteStep]| {
                for step in steps {
                    if let RewriteStep::Set {
                        variable: name,
                        value,
                    } = step
                    {
                        if name == variable && !routes.pools.contains_key(value) {
                            return Some(value.clone());
                        }
                    }
                }
                None
            };
            let mut bad = set(&server.steps);
            visit_locations(&server.locations, &mut |location| {
                if bad.is_none() {
                    bad = set(&location.steps);
                }
            });
            return bad.map(|value| {
                format!("${variable} may be {value:?}, and no upstream is called that")
            });
        }
    }
    let bad = values
        .into_iter()
        .find(|value| !routes.pools.contains_key(*value))?;
    Some(format!(
        "${variable} may be {bad:?}, and no upstream is called that"
    ))
}

fn variable_fault(routes: &Routes, known: &BTreeSet<String>, text: &str) -> Option<String> {
    let template = Template::parse(text).ok()?;
    let is_known = |name: &str| {
        routes.variables.contains_key(name)
            || known.contains(name)
            || crate::template::is_request_variable(name)
    };
    let unknown = template.variables().find(|name| !is_known(name))?;
    Some(format!("${unknown} is a variable that nothing here sets"))
}
