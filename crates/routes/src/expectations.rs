//! Expectations on routing, checked without traffic.
//!
//! Which location takes a request follows from its host and path alone, so that an expectation over all subjects is
//! proven by one look where the location's pool has no variable in it. Where it has, the subjects that the file names, those
//! that a map names and a seeded sample are tried, and the report says so. An expectation that meets nothing is vacuous,
//! and fails: a change of the configuration has left it behind.

use crate::balancer::Balancer;
use crate::model::{BalancingMethod, MatchKind, Routes, Server};
use crate::probe;
use crate::router::{RouteDecision, RouteRequest, Router};
use crate::template::Template;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A file of expectations.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectationFile {
    /// Whom requests concern.
    #[serde(default)]
    pub subjects: Subjects,
    /// What is expected.
    pub expect: Vec<Expectation>,
}

/// Subjects of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Subjects {
    /// The header that names them.
    pub header: String,
    /// Those that are always tried.
    pub popular: Vec<String>,
    /// So many more are made from the pattern.
    pub samples: u32,
    /// A name with `%d` for a number.
    pub pattern: String,
    /// Numbers below this.
    pub numbers: u64,
    /// For the sample.
    pub seed: u64,
}

impl Default for Subjects {
    fn default() -> Self {
        Self {
            header: "X-Subject".to_owned(),
            popular: Vec::new(),
            samples: 2_000,
            pattern: "subject-%d".to_owned(),
            numbers: 1_000_000,
            seed: 1,
        }
    }
}

/// Requests that an expectation is about.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requests {
    /// The host, with a port where it is not 80.
    pub host: String,
    /// The method.
    #[serde(default = "post")]
    pub method: String,
    /// A path.
    #[serde(default)]
    pub path: Option<String>,
    /// All paths that begin with this.
    #[serde(default)]
    pub under: Option<String>,
    /// These subjects instead of all.
    #[serde(default)]
    pub subjects: Option<Vec<String>>,
}

fn post() -> String {
    "POST".to_owned()
}

/// Where requests land.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lands {
    /// In one of these pools.
    #[serde(default)]
    pub pools: Vec<String>,
    /// As this class.
    #[serde(default)]
    pub class: Option<String>,
    /// Answered with this status instead.
    #[serde(default)]
    pub status: Option<u16>,
}

/// A bound on what moves.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Moves {
    /// The file before.
    pub from: String,
    /// The share of subjects that may go to another pool or target.
    pub at_most: f64,
}

/// An expectation: one of its last four says what.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// What it is called.
    pub name: String,
    /// What it is about; nothing for one about targets.
    #[serde(default)]
    pub requests: Vec<Requests>,
    /// They land there.
    #[serde(default)]
    pub lands: Option<Lands>,
    /// No request reaches any of these addresses.
    #[serde(default)]
    pub never: Vec<String>,
    /// Each subject lands in one pool, whichever of the paths it asks for.
    #[serde(default)]
    pub one_pool: bool,
    /// So few subjects move.
    #[serde(default)]
    pub moves: Option<Moves>,
}

/// How an expectation was checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Coverage {
    /// For all requests that it is about.
    Proven,
    /// For those that were tried.
    Sampled,
}

/// What came of an expectation.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It holds.
    Holds(Coverage),
    /// It does not; with an example, and how many of those that were tried.
    Broken {
        /// A request and what became of it.
        example: String,
        /// How many were found.
        count: usize,
    },
    /// It meets nothing, for this reason.
    Vacuous(String),
}

/// A line of the report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExpectationReport {
    /// The expectation.
    pub name: String,
    /// What came of it.
    #[serde(rename = "came")]
    pub outcome: Outcome,
    /// Requests that were tried.
    #[serde(rename = "tried")]
    pub requests_checked: usize,
}

impl ExpectationReport {
    /// Whether it holds.
    #[must_use]
    pub fn holds(&self) -> bool {
        matches!(self.outcome, Outcome::Holds(_))
    }
}

/// A table with what is needed to check it.
pub struct Checked<'a> {
    routes: &'a Routes,
    table: Router,
    /// Pools, and what they choose by.
    pools: BTreeMap<String, (Balancer, Option<Template>)>,
}

impl<'a> Checked<'a> {
    /// Prepares a table.
    ///
    /// # Errors
    /// Where it can't be prepared.
    pub fn new(routes: &'a Routes) -> Result<Self, String> {
        let key = |method: &BalancingMethod| match method {
            BalancingMethod::Hash { key, .. } => Template::parse(key).ok(),
            _ => None,
        };
        let one = |(name, pool): (&String, &_)| {
            (name.clone(), (Balancer::new(pool, 0), key(&pool.method)))
        };
        let pools = routes.pools.iter().map(one).collect();
        Ok(Self {
            routes,
            table: Router::new(routes)?,
            pools,
        })
    }

    fn decide(
        &self,
        requests: &Requests,
        path: &str,
        headers: &[(String, String)],
    ) -> Result<RouteDecision, String> {
        self.table.route(&asked(requests, path, headers))
    }

    /// Whether the decision depends on nothing but host and path.
    fn is_settled(&self, decision: &RouteDecision) -> bool {
        match decision {
            // The text of an answer may differ; its status does not.
            RouteDecision::Respond { .. } => true,
            RouteDecision::Forward {
                server, location, ..
            } => {
                self.table
                    .location(*server, *location)
                    .is_some_and(crate::router::CompiledLocation::is_settled)
                    && self
                        .table
                        .servers
                        .get(*server)
                        .is_some_and(crate::router::CompiledServer::is_settled)
            }
        }
    }

    /// The pool, and where the pool chooses by a key the target, that a request goes to.
    fn home(&self, requests: &Requests, path: &str, headers: &[(String, String)]) -> Home {
        let asked = asked(requests, path, headers);
        let found = self.table.route(&asked);
        let Ok(RouteDecision::Forward { pool, .. }) = &found else {
            return Home {
                found: crate::diff::describe_decision(&found).into(),
                passes: false,
                target: None,
            };
        };
        let target = self.pools.get(&**pool).and_then(|(balancer, key)| {
            let key = key.as_ref()?;
            let at = balancer.preferred_target(self.table.expand(key, &asked).as_bytes())?;
            balancer.addresses().nth(at).map(str::to_owned)
        });
        Home {
            found: pool.clone(),
            passes: true,
            target,
        }
    }
}

/// Where a request goes.
#[derive(PartialEq)]
struct Home {
    found: Arc<str>,
    passes: bool,
    target: Option<String>,
}

impl std::fmt::Display for Home {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.target {
            Some(target) => write!(f, "{target} of {}", self.found),
            None => f.write_str(&self.found),
        }
    }
}

fn asked<'a>(
    requests: &'a Requests,
    path: &'a str,
    headers: &'a [(String, String)],
) -> RouteRequest<'a> {
    let (host, method) = (requests.host.as_str(), requests.method.as_str());
    RouteRequest {
        listen_address: None,
        host,
        method,
        request_target: path,
        headers,
        caller_address: "192.0.2.1",
    }
}

/// Paths that requests are about, and whether these stand for all of them.
fn paths(routes: &Routes, requests: &Requests) -> (Vec<String>, bool) {
    if let Some(path) = &requests.path {
        return (vec![path.clone()], true);
    }
    let under = requests.under.clone().unwrap_or_else(|| "/".to_owned());
    let mut found: BTreeSet<String> = BTreeSet::from([under.clone(), format!("{under}x")]);
    let stem = under.trim_end_matches('/');
    for server in &routes.servers {
        found.extend(
            probe::server_paths(server)
                .into_iter()
                .filter(|path| path.starts_with(&under)),
        );
        // A regular expression without an anchor takes paths below any prefix.
        crate::import::locations(&server.locations, &mut |location| {
            if let Some(text) = probe::location_example(location) {
                found.insert(format!(
                    "{stem}/{}",
                    crate::uri::escape(text.trim_start_matches('/').as_bytes())
                ));
            }
        });
    }
    // Plain locations are all met by these; what else a regular expression takes is not known.
    let any_regex = |server: &Server| {
        let mut any = !server.steps.is_empty();
        crate::import::locations(&server.locations, &mut |location| {
            any |= matches!(
                location.match_kind,
                MatchKind::Regex | MatchKind::RegexCaseInsensitive
            );
        });
        any
    };
    (
        found.into_iter().collect(),
        !routes.servers.iter().any(any_regex),
    )
}

/// Why requests meet nothing, if they do.
fn vacuous(checked: &Checked<'_>, requests: &Requests) -> Option<String> {
    let name = requests
        .host
        .rsplit_once(':')
        .map_or(requests.host.as_str(), |(name, _)| name)
        .to_lowercase();
    let named = checked
        .routes
        .servers
        .iter()
        .flat_map(|server| &server.names)
        .any(|known| {
            let regex = known
                .strip_prefix('~')
                .and_then(|regex| crate::pattern::compile(regex, true).ok());
            *known == name
                || known
                    .strip_prefix('*')
                    .is_some_and(|end| name.ends_with(end))
                || known
                    .strip_suffix('*')
                    .is_some_and(|start| name.starts_with(start))
                || regex.is_some_and(|regex| regex.is_match(name.as_bytes()))
                || known.is_empty() && checked.routes.servers.len() == 1
        });
    if !named {
        return Some(format!("no server is called {:?}", requests.host));
    }
    if requests.subjects.as_ref().is_some_and(Vec::is_empty) {
        return Some("its set of subjects is empty".to_owned());
    }
    let under = requests.under.as_ref()?;
    let (tried, _) = paths(checked.routes, requests);
    let met = |path: &String| match checked.decide(requests, path, &[]) {
        Ok(RouteDecision::Forward { .. }) => true,
        Ok(RouteDecision::Respond { status: code, .. }) => code != 404,
        Err(_) => false,
    };
    let mut any = tried.iter().any(met);
    for server in &checked.routes.servers {
        let plain = |location: &crate::model::Location| {
            !location.match_kind.is_regex() && location.pattern.starts_with(under)
        };
        crate::import::locations(&server.locations, &mut |location| any |= plain(location));
    }
    (!any).then(|| format!("no location takes paths below {under:?}"))
}

/// Checks all expectations; `old` reads the files that are compared with.
///
/// # Errors
/// Where the table can't be prepared.
pub fn check_expectations(
    routes: &Routes,
    file: &ExpectationFile,
    old: &dyn Fn(&str) -> Result<Routes, String>,
) -> Result<Vec<ExpectationReport>, String> {
    let checked = Checked::new(routes)?;
    let subjects = Sample::new(routes, &file.subjects);
    Ok(file
        .expect
        .iter()
        .map(|one| report(&checked, &subjects, one, old))
        .collect())
}

/// The subjects that are tried.
struct Sample {
    header: String,
    /// Named in the file or by a map, then the sample.
    all: Vec<String>,
}

impl Sample {
    fn new(routes: &Routes, subjects: &Subjects) -> Self {
        let mut all = subjects.popular.clone();
        let variable = format!("http_{}", subjects.header.to_lowercase().replace('-', "_"));
        all.extend(probe::example_values(routes, &variable));
        let mut random = SmallRng::seed_from_u64(subjects.seed);
        let number = |_| random.random_range(0..subjects.numbers.max(1)).to_string();
        all.extend(
            (0..subjects.samples)
                .map(number)
                .map(|number| subjects.pattern.replace("%d", &number)),
        );
        Self {
            header: subjects.header.clone(),
            all,
        }
    }

    fn of<'a>(&'a self, requests: &'a Requests) -> &'a [String] {
        requests.subjects.as_deref().unwrap_or(&self.all)
    }

    fn headers(&self, subject: &str) -> Vec<(String, String)> {
        vec![(self.header.clone(), subject.to_owned())]
    }
}

fn report(
    checked: &Checked<'_>,
    sample: &Sample,
    one: &Expectation,
    old: &dyn Fn(&str) -> Result<Routes, String>,
) -> ExpectationReport {
    let mut tried = 0;
    let came = came(checked, sample, one, old, &mut tried);
    ExpectationReport {
        name: one.name.clone(),
        outcome: came,
        requests_checked: tried,
    }
}

fn came(
    checked: &Checked<'_>,
    sample: &Sample,
    one: &Expectation,
    old: &dyn Fn(&str) -> Result<Routes, String>,
    tried: &mut usize,
) -> Outcome {
    if !one.never.is_empty() {
        return never(checked, one);
    }
    if one.requests.is_empty() {
        return Outcome::Vacuous("it is about no requests".to_owned());
    }
    if let Some(why) = one
        .requests
        .iter()
        .find_map(|requests| vacuous(checked, requests))
    {
        return Outcome::Vacuous(why);
    }
    if let Some(lands) = &one.lands {
        return all_land(checked, sample, one, lands, tried);
    }
    if one.one_pool {
        return in_one_pool(checked, sample, one, tried);
    }
    match &one.moves {
        Some(moves) => few_move(checked, sample, one, moves, old, tried),
        None => Outcome::Vacuous(
            "it says nothing: one of lands, never, one_pool and moves does".to_owned(),
        ),
    }
}

fn lands_there(lands: &Lands, found: &Result<RouteDecision, String>) -> bool {
    match found {
        Ok(RouteDecision::Forward { pool, class, .. }) => {
            lands.status.is_none()
                && (lands.pools.is_empty() || lands.pools.iter().any(|wanted| **wanted == **pool))
                && (lands.class.is_none() || lands.class == *class)
        }
        Ok(RouteDecision::Respond { status: code, .. }) => lands.status == Some(*code),
        Err(_) => false,
    }
}

fn all_land(
    checked: &Checked<'_>,
    sample: &Sample,
    one: &Expectation,
    lands: &Lands,
    tried: &mut usize,
) -> Outcome {
    if let Some(pool) = lands
        .pools
        .iter()
        .find(|pool| !checked.routes.pools.contains_key(*pool))
    {
        return Outcome::Vacuous(format!("there is no pool {pool:?}"));
    }
    let (mut how, mut broken, mut example) = (Coverage::Proven, 0, None);
    for requests in &one.requests {
        let (paths, whole) = paths(checked.routes, requests);
        if !whole {
            how = Coverage::Sampled;
        }
        for path in &paths {
            let first = checked.decide(requests, path, &[]);
            let settled = first
                .as_ref()
                .is_ok_and(|decision| checked.is_settled(decision));
            let none = vec![String::new()];
            let subjects = if settled { &none } else { sample.of(requests) };
            // A set that is named is tried whole.
            if !settled && requests.subjects.is_none() {
                how = Coverage::Sampled;
            }
            for subject in subjects {
                let found = if settled {
                    first.clone()
                } else {
                    checked.decide(requests, path, &sample.headers(subject))
                };
                *tried += 1;
                if !lands_there(lands, &found) {
                    broken += 1;
                    let for_whom = if settled {
                        String::new()
                    } else {
                        format!(" for {subject:?}")
                    };
                    let become_of = crate::diff::describe_decision(&found);
                    example.get_or_insert_with(|| {
                        format!(
                            "{} {}{path}{for_whom}: {become_of}",
                            requests.method, requests.host
                        )
                    });
                }
            }
        }
    }
    match example {
        Some(example) => Outcome::Broken {
            example,
            count: broken,
        },
        None => Outcome::Holds(how),
    }
}

/// Each pool that a location leads to is looked at, whatever leads there.
fn never(checked: &Checked<'_>, one: &Expectation) -> Outcome {
    let named = |address: &String| {
        checked
            .routes
            .pools
            .values()
            .flat_map(|pool| &pool.targets)
            .any(|target| target.address == *address)
    };
    if let Some(address) = one.never.iter().find(|address| !named(address)) {
        return Outcome::Vacuous(format!("no pool names {address}"));
    }
    let mut broken = Vec::new();
    for (name, pool) in &checked.routes.pools {
        for target in pool
            .targets
            .iter()
            .filter(|target| one.never.contains(&target.address) && !target.down)
        {
            broken.push(format!(
                "{} is in the pool {name}, at {}, and not down",
                target.address, target.position
            ));
        }
    }
    match broken.first().cloned() {
        Some(example) => Outcome::Broken {
            example,
            count: broken.len(),
        },
        None => Outcome::Holds(Coverage::Proven),
    }
}

fn in_one_pool(
    checked: &Checked<'_>,
    sample: &Sample,
    one: &Expectation,
    tried: &mut usize,
) -> Outcome {
    let mut settled = true;
    let mut homes: BTreeMap<&str, (Arc<str>, String)> = BTreeMap::new();
    let (mut broken, mut example) = (BTreeSet::new(), None);
    for requests in &one.requests {
        let (paths, whole) = paths(checked.routes, requests);
        settled &= whole;
        for path in &paths {
            for subject in sample.of(requests) {
                let headers = sample.headers(subject);
                let found = checked.decide(requests, path, &headers);
                settled &= found
                    .as_ref()
                    .is_ok_and(|decision| checked.is_settled(decision));
                *tried += 1;
                let Home {
                    found: pool,
                    passes,
                    ..
                } = checked.home(requests, path, &headers);
                // Answers reach no pool.
                if !passes {
                    continue;
                }
                let home = homes
                    .entry(subject)
                    .or_insert_with(|| (pool.clone(), path.clone()));
                if home.0 != pool {
                    broken.insert(subject.clone());
                    let (other, other_path) = (home.0.clone(), home.1.clone());
                    example.get_or_insert_with(|| {
                        format!(
                            "{subject:?} lands in {other} by {other_path} and in {pool} by {path}"
                        )
                    });
                }
            }
        }
    }
    match example {
        Some(example) => Outcome::Broken {
            example,
            count: broken.len(),
        },
        None if homes.is_empty() => Outcome::Vacuous("no request of it lands in a pool".to_owned()),
        None => Outcome::Holds(if settled {
            Coverage::Proven
        } else {
            Coverage::Sampled
        }),
    }
}

fn few_move(
    checked: &Checked<'_>,
    sample: &Sample,
    one: &Expectation,
    moves: &Moves,
    old: &dyn Fn(&str) -> Result<Routes, String>,
    tried: &mut usize,
) -> Outcome {
    let before = match old(&moves.from) {
        Ok(before) => before,
        Err(what) => return Outcome::Vacuous(format!("{}: {what}", moves.from)),
    };
    let before = match Checked::new(&before) {
        Ok(before) => before,
        Err(what) => return Outcome::Vacuous(format!("{}: {what}", moves.from)),
    };
    let (mut moved, mut example) = (0, None);
    for requests in &one.requests {
        let (paths, _) = paths(checked.routes, requests);
        for path in &paths {
            for subject in sample.of(requests) {
                let headers = sample.headers(subject);
                let was = before.home(requests, path, &headers);
                let is = checked.home(requests, path, &headers);
                *tried += 1;
                if was != is {
                    moved += 1;
                    example.get_or_insert_with(|| {
                        format!("{subject:?} by {path} moves from {was} to {is}")
                    });
                }
            }
        }
    }
    if *tried == 0 {
        return Outcome::Vacuous("it is about no subjects".to_owned());
    }
    let share = moved as f64 / *tried as f64;
    match example {
        Some(example) if share > moves.at_most => Outcome::Broken {
            example: format!("{:.2}% move; {example}", share * 100.0),
            count: moved,
        },
        _ => Outcome::Holds(Coverage::Sampled),
    }
}
