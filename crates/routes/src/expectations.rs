//! Expectations on routing, checked without traffic.
//!
//! The location of a request follows from its host and path alone, so one lookup proves an
//! expectation for all subjects if the location's pool contains no variable. Otherwise the subjects
//! that the file lists, those that a map lists and a seeded sample are checked, and the report says
//! so. An expectation that matches nothing is vacuous and fails, because the configuration has
//! changed without it.

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
    /// Subjects that the requests are about.
    #[serde(default)]
    pub subjects: SubjectSettings,
    /// The expectations.
    #[serde(rename = "expect")]
    pub expectations: Vec<Expectation>,
}

/// The subjects that are checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SubjectSettings {
    /// Request header that names the subject.
    pub header: String,
    /// Subjects that are always checked.
    pub popular: Vec<String>,
    /// Number of random subjects, made from the pattern.
    pub samples: u32,
    /// Name of a random subject, with `%d` for its number.
    pub pattern: String,
    /// Random numbers are below this.
    #[serde(rename = "numbers")]
    pub number_limit: u64,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for SubjectSettings {
    fn default() -> Self {
        Self {
            header: "X-Subject".to_owned(),
            popular: Vec::new(),
            samples: 2_000,
            pattern: "subject-%d".to_owned(),
            number_limit: 1_000_000,
            seed: 1,
        }
    }
}

/// A set of requests that an expectation is about.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSet {
    /// Host, with a port if it is not 80.
    pub host: String,
    /// Method.
    #[serde(default = "default_method")]
    pub method: String,
    /// The only path.
    #[serde(default)]
    pub path: Option<String>,
    /// Prefix of the paths.
    #[serde(rename = "under", default)]
    pub prefix: Option<String>,
    /// Subjects, instead of those of the file.
    #[serde(default)]
    pub subjects: Option<Vec<String>>,
}

fn default_method() -> String {
    "POST".to_owned()
}

/// Where requests are expected to be routed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectedDestination {
    /// To one of these pools.
    #[serde(default)]
    pub pools: Vec<String>,
    /// With this class.
    #[serde(default)]
    pub class: Option<String>,
    /// Not to a pool, but to a response with this status.
    #[serde(default)]
    pub status: Option<u16>,
}

/// A limit of the requests that a change of the configuration may move.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveLimit {
    /// Configuration file to compare with.
    #[serde(rename = "from")]
    pub baseline_file: String,
    /// Maximum share of requests that may go to another pool or target.
    #[serde(rename = "at_most")]
    pub max_share: f64,
}

/// An expectation. One of its last four fields says what is expected.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// Name in the report.
    pub name: String,
    /// The requests it is about; empty if it is about targets.
    #[serde(default)]
    pub requests: Vec<RequestSet>,
    /// The requests are routed there.
    #[serde(rename = "lands", default)]
    pub destination: Option<ExpectedDestination>,
    /// No request reaches any of these addresses.
    #[serde(rename = "never", default)]
    pub unreachable_addresses: Vec<String>,
    /// All requests of a subject go to the same pool, whatever their path.
    #[serde(rename = "one_pool", default)]
    pub single_pool: bool,
    /// At most a share of the requests moves.
    #[serde(rename = "moves", default)]
    pub move_limit: Option<MoveLimit>,
}

/// For which requests an expectation was checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Coverage {
    /// For all requests that it is about.
    Proven,
    /// For a sample of them.
    Sampled,
}

/// Outcome of an expectation.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It holds.
    Holds(Coverage),
    /// It doesn't hold.
    Broken {
        /// A request that breaks it, and how that request is routed.
        example: String,
        /// Number of requests, targets or subjects that break it.
        count: usize,
    },
    /// It matches nothing, for this reason.
    Vacuous(String),
}

/// Report on one expectation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExpectationReport {
    /// Name of the expectation.
    pub name: String,
    /// Outcome.
    #[serde(rename = "came")]
    pub outcome: Outcome,
    /// Number of requests that were checked.
    #[serde(rename = "tried")]
    pub requests_checked: usize,
}

impl ExpectationReport {
    /// Whether the expectation holds.
    #[must_use]
    pub fn holds(&self) -> bool {
        matches!(self.outcome, Outcome::Holds(_))
    }
}

/// A route table, prepared for checks of expectations.
pub struct Checker<'a> {
    routes: &'a Routes,
    router: Router,
    /// The pools by name: their balancer, and the key of a pool that balances by one.
    pools: BTreeMap<String, (Balancer, Option<Template>)>,
}

impl<'a> Checker<'a> {
    /// Prepares a route table.
    ///
    /// # Errors
    /// The table can't be prepared.
    pub fn new(routes: &'a Routes) -> Result<Self, String> {
        let key_template = |method: &BalancingMethod| match method {
            BalancingMethod::Hash { key, .. } => Template::parse(key).ok(),
            _ => None,
        };
        let with_balancer = |(name, pool): (&String, &_)| {
            (
                name.clone(),
                (Balancer::new(pool, 0), key_template(&pool.method)),
            )
        };
        let pools = routes.pools.iter().map(with_balancer).collect();
        Ok(Self {
            routes,
            router: Router::new(routes)?,
            pools,
        })
    }

    fn route(
        &self,
        requests: &RequestSet,
        path: &str,
        headers: &[(String, String)],
    ) -> Result<RouteDecision, String> {
        self.router.route(&route_request(requests, path, headers))
    }

    /// Whether a decision depends only on host and path.
    fn is_static(&self, decision: &RouteDecision) -> bool {
        match decision {
            // The body of a response may depend on more, but its status doesn't.
            RouteDecision::Respond { .. } => true,
            RouteDecision::Forward {
                server, location, ..
            } => {
                self.router
                    .location(*server, *location)
                    .is_some_and(crate::router::CompiledLocation::is_static)
                    && self
                        .router
                        .servers
                        .get(*server)
                        .is_some_and(crate::router::CompiledServer::is_static)
            }
        }
    }

    /// Returns the pool that a request goes to, and its target if the pool balances by a key.
    fn destination(
        &self,
        requests: &RequestSet,
        path: &str,
        headers: &[(String, String)],
    ) -> Destination {
        let route_request = route_request(requests, path, headers);
        let decision = self.router.route(&route_request);
        let Ok(RouteDecision::Forward { pool, .. }) = &decision else {
            return Destination {
                pool_or_response: crate::diff::describe_decision(&decision).into(),
                is_forwarded: false,
                target: None,
            };
        };
        let target = self.pools.get(&**pool).and_then(|(balancer, key)| {
            let key = key.as_ref()?;
            let index =
                balancer.preferred_target(self.router.expand(key, &route_request).as_bytes())?;
            balancer.addresses().nth(index).map(str::to_owned)
        });
        Destination {
            pool_or_response: pool.clone(),
            is_forwarded: true,
            target,
        }
    }
}

/// Where a request is routed.
#[derive(PartialEq)]
struct Destination {
    pool_or_response: Arc<str>,
    is_forwarded: bool,
    target: Option<String>,
}

impl std::fmt::Display for Destination {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.target {
            Some(target) => write!(f, "{target} of {}", self.pool_or_response),
            None => f.write_str(&self.pool_or_response),
        }
    }
}

fn route_request<'a>(
    requests: &'a RequestSet,
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

/// Returns the paths to check for a set of requests, and whether they represent all paths of the set.
fn paths(routes: &Routes, requests: &RequestSet) -> (Vec<String>, bool) {
    if let Some(path) = &requests.path {
        return (vec![path.clone()], true);
    }
    let prefix = requests.prefix.clone().unwrap_or_else(|| "/".to_owned());
    let mut paths_found: BTreeSet<String> = BTreeSet::from([prefix.clone(), format!("{prefix}x")]);
    let prefix_without_slash = prefix.trim_end_matches('/');
    for server in &routes.servers {
        paths_found.extend(
            probe::server_paths(server)
                .into_iter()
                .filter(|path| path.starts_with(&prefix)),
        );
        // A regular expression without an anchor may match paths below any prefix.
        crate::import::visit_locations(&server.locations, &mut |location| {
            if let Some(example) = probe::location_example(location) {
                paths_found.insert(format!(
                    "{prefix_without_slash}/{}",
                    crate::uri::escape(example.trim_start_matches('/').as_bytes())
                ));
            }
        });
    }
    // These paths cover all exact and prefix locations, but not all that a regular expression or the
    // steps of a server may match.
    let may_have_other_paths = |server: &Server| {
        let mut found = !server.steps.is_empty();
        crate::import::visit_locations(&server.locations, &mut |location| {
            found |= matches!(
                location.match_kind,
                MatchKind::Regex | MatchKind::RegexCaseInsensitive
            );
        });
        found
    };
    (
        paths_found.into_iter().collect(),
        !routes.servers.iter().any(may_have_other_paths),
    )
}

/// Returns why a set of requests matches nothing, if it does.
fn vacuous_reason(checker: &Checker<'_>, requests: &RequestSet) -> Option<String> {
    let name = requests
        .host
        .rsplit_once(':')
        .map_or(requests.host.as_str(), |(name, _)| name)
        .to_lowercase();
    let is_known_host = checker
        .routes
        .servers
        .iter()
        .flat_map(|server| &server.names)
        .any(|server_name| {
            let regex = server_name
                .strip_prefix('~')
                .and_then(|regex| crate::pattern::compile(regex, true).ok());
            *server_name == name
                || server_name
                    .strip_prefix('*')
                    .is_some_and(|suffix| name.ends_with(suffix))
                || server_name
                    .strip_suffix('*')
                    .is_some_and(|prefix| name.starts_with(prefix))
                || regex.is_some_and(|regex| regex.is_match(name.as_bytes()))
                || server_name.is_empty() && checker.routes.servers.len() == 1
        });
    if !is_known_host {
        return Some(format!("no server is called {:?}", requests.host));
    }
    if requests.subjects.as_ref().is_some_and(Vec::is_empty) {
        return Some("its set of subjects is empty".to_owned());
    }
    let prefix = requests.prefix.as_ref()?;
    let (paths_checked, _) = paths(checker.routes, requests);
    let is_routed = |path: &String| match checker.route(requests, path, &[]) {
        Ok(RouteDecision::Forward { .. }) => true,
        Ok(RouteDecision::Respond { status, .. }) => status != 404,
        Err(_) => false,
    };
    let mut any = paths_checked.iter().any(is_routed);
    for server in &checker.routes.servers {
        let applies = |location: &crate::model::Location| {
            !location.match_kind.is_regex() && location.pattern.starts_with(prefix)
        };
        crate::import::visit_locations(&server.locations, &mut |location| any |= applies(location));
    }
    (!any).then(|| format!("no location takes paths below {prefix:?}"))
}

/// Checks all expectations. `load_baseline` loads a configuration file to compare with.
///
/// # Errors
/// The table can't be prepared.
pub fn check_expectations(
    routes: &Routes,
    file: &ExpectationFile,
    load_baseline: &dyn Fn(&str) -> Result<Routes, String>,
) -> Result<Vec<ExpectationReport>, String> {
    let checker = Checker::new(routes)?;
    let sample = SubjectSample::new(routes, &file.subjects);
    Ok(file
        .expectations
        .iter()
        .map(|expectation| check_expectation(&checker, &sample, expectation, load_baseline))
        .collect())
}

/// The subjects that are checked.
struct SubjectSample {
    header: String,
    /// Subjects that the file or a map lists, followed by the random ones.
    subjects: Vec<String>,
}

impl SubjectSample {
    fn new(routes: &Routes, settings: &SubjectSettings) -> Self {
        let mut subjects = settings.popular.clone();
        let variable = format!("http_{}", settings.header.to_lowercase().replace('-', "_"));
        subjects.extend(probe::example_values(routes, &variable));
        let mut random = SmallRng::seed_from_u64(settings.seed);
        let number = |_| {
            random
                .random_range(0..settings.number_limit.max(1))
                .to_string()
        };
        subjects.extend(
            (0..settings.samples)
                .map(number)
                .map(|number| settings.pattern.replace("%d", &number)),
        );
        Self {
            header: settings.header.clone(),
            subjects,
        }
    }

    fn subjects_of<'a>(&'a self, requests: &'a RequestSet) -> &'a [String] {
        requests.subjects.as_deref().unwrap_or(&self.subjects)
    }

    fn headers(&self, subject: &str) -> Vec<(String, String)> {
        vec![(self.header.clone(), subject.to_owned())]
    }
}

fn check_expectation(
    checker: &Checker<'_>,
    sample: &SubjectSample,
    expectation: &Expectation,
    load_baseline: &dyn Fn(&str) -> Result<Routes, String>,
) -> ExpectationReport {
    let mut requests_checked = 0;
    let outcome = evaluate(
        checker,
        sample,
        expectation,
        load_baseline,
        &mut requests_checked,
    );
    ExpectationReport {
        name: expectation.name.clone(),
        outcome,
        requests_checked,
    }
}

fn evaluate(
    checker: &Checker<'_>,
    sample: &SubjectSample,
    expectation: &Expectation,
    load_baseline: &dyn Fn(&str) -> Result<Routes, String>,
    requests_checked: &mut usize,
) -> Outcome {
    if !expectation.unreachable_addresses.is_empty() {
        return check_unreachable(checker, expectation);
    }
    if expectation.requests.is_empty() {
        return Outcome::Vacuous("it has no requests".to_owned());
    }
    if let Some(reason) = expectation
        .requests
        .iter()
        .find_map(|requests| vacuous_reason(checker, requests))
    {
        return Outcome::Vacuous(reason);
    }
    if let Some(destination) = &expectation.destination {
        return check_destination(checker, sample, expectation, destination, requests_checked);
    }
    if expectation.single_pool {
        return check_single_pool(checker, sample, expectation, requests_checked);
    }
    match &expectation.move_limit {
        Some(move_limit) => check_moves(
            checker,
            sample,
            expectation,
            move_limit,
            load_baseline,
            requests_checked,
        ),
        None => Outcome::Vacuous(
            "it says nothing: one of lands, never, one_pool and moves does".to_owned(),
        ),
    }
}

fn is_expected(expected: &ExpectedDestination, decision: &Result<RouteDecision, String>) -> bool {
    match decision {
        Ok(RouteDecision::Forward { pool, class, .. }) => {
            expected.status.is_none()
                && (expected.pools.is_empty()
                    || expected.pools.iter().any(|wanted| **wanted == **pool))
                && (expected.class.is_none() || expected.class == *class)
        }
        Ok(RouteDecision::Respond { status, .. }) => expected.status == Some(*status),
        Err(_) => false,
    }
}

fn check_destination(
    checker: &Checker<'_>,
    sample: &SubjectSample,
    expectation: &Expectation,
    expected: &ExpectedDestination,
    requests_checked: &mut usize,
) -> Outcome {
    if let Some(pool) = expected
        .pools
        .iter()
        .find(|pool| !checker.routes.pools.contains_key(*pool))
    {
        return Outcome::Vacuous(format!("there is no pool {pool:?}"));
    }
    let (mut coverage, mut broken_count, mut example) = (Coverage::Proven, 0, None);
    for requests in &expectation.requests {
        let (paths, covers_all_paths) = paths(checker.routes, requests);
        if !covers_all_paths {
            coverage = Coverage::Sampled;
        }
        for path in &paths {
            let decision_without_headers = checker.route(requests, path, &[]);
            let is_static = decision_without_headers
                .as_ref()
                .is_ok_and(|decision| checker.is_static(decision));
            let no_subject = vec![String::new()];
            let subjects = if is_static {
                &no_subject
            } else {
                sample.subjects_of(requests)
            };
            // A list of subjects is checked as a whole.
            if !is_static && requests.subjects.is_none() {
                coverage = Coverage::Sampled;
            }
            for subject in subjects {
                let decision = if is_static {
                    decision_without_headers.clone()
                } else {
                    checker.route(requests, path, &sample.headers(subject))
                };
                *requests_checked += 1;
                if !is_expected(expected, &decision) {
                    broken_count += 1;
                    let subject_text = if is_static {
                        String::new()
                    } else {
                        format!(" for {subject:?}")
                    };
                    let decision_text = crate::diff::describe_decision(&decision);
                    example.get_or_insert_with(|| {
                        format!(
                            "{} {}{path}{subject_text}: {decision_text}",
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
            count: broken_count,
        },
        None => Outcome::Holds(coverage),
    }
}

/// Checks the targets of all pools, whether a location leads to them or not.
fn check_unreachable(checker: &Checker<'_>, expectation: &Expectation) -> Outcome {
    let is_known = |address: &String| {
        checker
            .routes
            .pools
            .values()
            .flat_map(|pool| &pool.targets)
            .any(|target| target.address == *address)
    };
    if let Some(address) = expectation
        .unreachable_addresses
        .iter()
        .find(|address| !is_known(address))
    {
        return Outcome::Vacuous(format!("no pool names {address}"));
    }
    let mut broken = Vec::new();
    for (name, pool) in &checker.routes.pools {
        for target in pool.targets.iter().filter(|target| {
            expectation.unreachable_addresses.contains(&target.address) && !target.down
        }) {
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

fn check_single_pool(
    checker: &Checker<'_>,
    sample: &SubjectSample,
    expectation: &Expectation,
    requests_checked: &mut usize,
) -> Outcome {
    let mut is_proven = true;
    let mut pools_by_subject: BTreeMap<&str, (Arc<str>, String)> = BTreeMap::new();
    let (mut broken, mut example) = (BTreeSet::new(), None);
    for requests in &expectation.requests {
        let (paths, covers_all_paths) = paths(checker.routes, requests);
        is_proven &= covers_all_paths;
        for path in &paths {
            for subject in sample.subjects_of(requests) {
                let headers = sample.headers(subject);
                let decision = checker.route(requests, path, &headers);
                is_proven &= decision
                    .as_ref()
                    .is_ok_and(|decision| checker.is_static(decision));
                *requests_checked += 1;
                let Destination {
                    pool_or_response: pool,
                    is_forwarded,
                    ..
                } = checker.destination(requests, path, &headers);
                // A response without any target goes to no pool.
                if !is_forwarded {
                    continue;
                }
                let first = pools_by_subject
                    .entry(subject)
                    .or_insert_with(|| (pool.clone(), path.clone()));
                if first.0 != pool {
                    broken.insert(subject.clone());
                    let (first_pool, first_path) = (first.0.clone(), first.1.clone());
                    example.get_or_insert_with(|| {
                        format!(
                            "{subject:?} lands in {first_pool} by {first_path} and in {pool} by {path}"
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
        None if pools_by_subject.is_empty() => {
            Outcome::Vacuous("no request of it lands in a pool".to_owned())
        }
        None => Outcome::Holds(if is_proven {
            Coverage::Proven
        } else {
            Coverage::Sampled
        }),
    }
}

fn check_moves(
    checker: &Checker<'_>,
    sample: &SubjectSample,
    expectation: &Expectation,
    limit: &MoveLimit,
    load_baseline: &dyn Fn(&str) -> Result<Routes, String>,
    requests_checked: &mut usize,
) -> Outcome {
    let baseline = match load_baseline(&limit.baseline_file) {
        Ok(baseline) => baseline,
        Err(error) => return Outcome::Vacuous(format!("{}: {error}", limit.baseline_file)),
    };
    let baseline = match Checker::new(&baseline) {
        Ok(baseline) => baseline,
        Err(error) => return Outcome::Vacuous(format!("{}: {error}", limit.baseline_file)),
    };
    let (mut moved, mut example) = (0, None);
    for requests in &expectation.requests {
        let (paths, _) = paths(checker.routes, requests);
        for path in &paths {
            for subject in sample.subjects_of(requests) {
                let headers = sample.headers(subject);
                let old_destination = baseline.destination(requests, path, &headers);
                let new_destination = checker.destination(requests, path, &headers);
                *requests_checked += 1;
                if old_destination != new_destination {
                    moved += 1;
                    example.get_or_insert_with(|| {
                        format!("{subject:?} by {path} moves from {old_destination} to {new_destination}")
                    });
                }
            }
        }
    }
    if *requests_checked == 0 {
        return Outcome::Vacuous("it has no subjects".to_owned());
    }
    let share = moved as f64 / *requests_checked as f64;
    match example {
        Some(example) if share > limit.max_share => Outcome::Broken {
            example: format!("{:.2}% move; {example}", share * 100.0),
            count: moved,
        },
        _ => Outcome::Holds(Coverage::Sampled),
    }
}
