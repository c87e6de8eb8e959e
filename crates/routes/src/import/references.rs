//! Checks references to pools and variables, which is possible only after the whole configuration was
//! read.

use super::{visit_locations, Importer};
use crate::model::{Location, ProxyPass, RewriteStep, Routes, Server, Variable};
use crate::pattern;
use crate::syntax::Word;
use crate::template::Template;
use std::collections::BTreeSet;

impl Importer {
    /// Reports references to unknown pools and variables.
    pub(super) fn check_references(&mut self) {
        let routes = std::mem::take(&mut self.routes);
        for server in &routes.servers {
            let mut set_variables = BTreeSet::new();
            collect_set_variables(&server.steps, &mut set_variables);
            visit_locations(&server.locations, &mut |location| {
                collect_set_variables(&location.steps, &mut set_variables);
                if location.match_kind.is_regex() {
                    set_variables.extend(pattern::capture_names(&location.pattern));
                }
            });
            let mut errors = Vec::new();
            visit_locations(&server.locations, &mut |location| {
                if let Some(proxy_pass) = &location.proxy_pass {
                    errors.extend(
                        pool_error(&routes, server, proxy_pass)
                            .map(|message| (location.position.clone(), message)),
                    );
                }
                for text in location_texts(location) {
                    errors.extend(
                        variable_error(&routes, &set_variables, &text)
                            .map(|message| (location.position.clone(), message)),
                    );
                }
            });
            for step in &server.steps {
                for text in step_texts(step) {
                    errors.extend(
                        variable_error(&routes, &set_variables, &text)
                            .map(|message| (server.position.clone(), message)),
                    );
                }
            }
            for (position, message) in errors {
                self.reject(
                    &Word {
                        text: String::new(),
                        position,
                        byte_length: 8,
                    },
                    message,
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
            let set_variables = BTreeSet::new();
            let error = texts
                .into_iter()
                .find_map(|text| variable_error(&routes, &set_variables, text));
            if let Some((message, word)) = error.zip(self.variable_definitions.get(name).cloned()) {
                self.reject(&word, message);
            }
        }
        self.routes = routes;
    }
}

fn collect_set_variables(steps: &[RewriteStep], variables: &mut BTreeSet<String>) {
    for step in steps {
        match step {
            RewriteStep::Set { variable, .. } => {
                variables.insert(variable.clone());
            }
            RewriteStep::Rewrite { regex, .. } => variables.extend(pattern::capture_names(regex)),
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

fn location_texts(location: &Location) -> Vec<String> {
    let mut texts: Vec<String> = location.steps.iter().flat_map(step_texts).collect();
    texts.extend(location.limits.iter().map(|limit| limit.key.clone()));
    texts.extend(
        location
            .proxy_pass
            .iter()
            .filter_map(|pass| pass.uri.clone()),
    );
    texts
}

/// Returns what is wrong with the pool that a location forwards to.
fn pool_error(routes: &Routes, server: &Server, proxy_pass: &ProxyPass) -> Option<String> {
    let missing_pool = |pool: &str| {
        (!routes.pools.contains_key(pool))
            .then(|| format!("no upstream is called {pool:?}, and names are not looked up"))
    };
    let Some(variable) = proxy_pass.pool.strip_prefix('$') else {
        return missing_pool(&proxy_pass.pool);
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
            let sets_variable = |steps: &'_ [RewriteStep]| {
                steps.iter().any(
                    |step| matches!(step, RewriteStep::Set { variable: name, .. } if name == variable),
                )
            };
            let mut found = sets_variable(&server.steps);
            visit_locations(&server.locations, &mut |location| {
                found |= sets_variable(&location.steps);
            });
            if !found {
                return Some(format!(
                    "the pool is ${variable}, which no map, split_clients or set makes"
                ));
            }
            let unknown_pool = |steps: &[RewriteStep]| {
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
            let mut unknown = unknown_pool(&server.steps);
            visit_locations(&server.locations, &mut |location| {
                if unknown.is_none() {
                    unknown = unknown_pool(&location.steps);
                }
            });
            return unknown.map(|value| {
                format!("${variable} may be {value:?}, and no upstream is called that")
            });
        }
    }
    let unknown = values
        .into_iter()
        .find(|value| !routes.pools.contains_key(*value))?;
    Some(format!(
        "${variable} may be {unknown:?}, and no upstream is called that"
    ))
}

fn variable_error(routes: &Routes, set_variables: &BTreeSet<String>, text: &str) -> Option<String> {
    let template = Template::parse(text).ok()?;
    let is_known = |name: &str| {
        routes.variables.contains_key(name)
            || set_variables.contains(name)
            || crate::template::is_request_variable(name)
    };
    let unknown = template.variables().find(|name| !is_known(name))?;
    Some(format!("${unknown} is a variable that nothing here sets"))
}
