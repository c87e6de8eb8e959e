//! Routes requests: from host, path and headers to a location, and from there to a pool, the URI that
//! the target gets, and the class of the request; or to a response without any target.

use crate::diagnostic::SourcePosition;
use crate::location_index::{LocationIndex, LocationMatch};
use crate::model::{
    Limit, Location, MatchKind, ProxyTimeouts, RetryPolicy, RewriteFlag, RewriteStep, Routes,
    Server, Variable, CLASS_VARIABLE,
};
use crate::pattern;
use crate::template::{Template, TemplatePart};
use crate::uri::{self, Uri};
use regex::bytes::Regex;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Maximum number of times that rewrites may restart the location lookup of a request, as in nginx.
const MAX_INTERNAL_REDIRECTS: usize = 10;
/// Maximum depth of variables whose values refer to other variables.
const MAX_VARIABLE_DEPTH: usize = 16;

/// The parts of a request that routing depends on.
#[derive(Debug, Clone, Default)]
pub struct RouteRequest<'a> {
    /// `address:port` at which the request arrived; if absent, the port of the host decides.
    pub listen_address: Option<&'a str>,
    /// Host of the request, with or without a port.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query string, as received.
    pub request_target: &'a str,
    /// Headers.
    pub headers: &'a [(String, String)],
    /// Address of the caller.
    pub caller_address: &'a str,
}

/// A location, prepared for requests.
#[derive(Debug)]
pub struct CompiledLocation {
    /// Where the configuration defines it.
    pub position: SourcePosition,
    /// Modifier and pattern, as in the configuration.
    pub name: String,
    /// Which failed attempts are retried.
    pub retry_policy: RetryPolicy,
    /// Timeouts of an attempt.
    pub timeouts: ProxyTimeouts,
    /// Request limits, with the templates of their keys.
    pub limits: Vec<(Template, Limit)>,
    /// Number of the enclosing location.
    pub parent: Option<u32>,
    match_kind: MatchKind,
    pattern: String,
    internal: bool,
    steps: Vec<CompiledStep>,
    proxy_pass: Option<(Template, Option<Template>)>,
    /// Name of the pool, if it contains no variable.
    pool: Option<Arc<str>>,
}

#[derive(Debug)]
enum CompiledStep {
    Set(String, Template),
    /// Regular expression, new path, whether the query string is dropped, and flag.
    Rewrite(Regex, Template, bool, RewriteFlag),
    Return(u16, Option<Template>),
    Break,
}

/// A server, prepared for requests.
#[derive(Debug)]
pub struct CompiledServer {
    /// Where the configuration defines it.
    pub position: SourcePosition,
    /// First server name.
    pub name: String,
    /// Locations, by their number.
    pub locations: Vec<CompiledLocation>,
    merge_slashes: bool,
    steps: Vec<CompiledStep>,
    location_index: LocationIndex,
}

#[derive(Debug)]
enum CompiledVariable {
    Map {
        source: Template,
        exact: HashMap<String, Template>,
        wildcards: Vec<(String, Template)>,
        regexes: Vec<(Regex, Template)>,
        default: Template,
    },
    Split {
        key: Template,
        parts: Vec<(u32, String)>,
    },
}

/// The servers of one listen address, by their names.
#[derive(Debug, Default)]
struct VirtualHosts {
    default: Option<usize>,
    exact: HashMap<String, usize>,
    /// Names `*.x` without the asterisk, the longest first.
    leading_wildcards: Vec<(String, usize)>,
    /// Names `x.*` without the asterisk, the longest first.
    trailing_wildcards: Vec<(String, usize)>,
    regexes: Vec<(Regex, usize)>,
}

/// Where a request is routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteDecision {
    /// The request is forwarded to a pool.
    Forward {
        /// Index of the server.
        server: usize,
        /// Number of the location within the server.
        location: u32,
        /// Name of the pool.
        pool: Arc<str>,
        /// Path and query string that the target gets.
        uri: String,
        /// Class of the request, if the route sets one.
        class: Option<String>,
    },
    /// The request gets a response without any target.
    Respond {
        /// Status.
        status: u16,
        /// Body, or the address of a redirection.
        text: String,
        /// Position in the configuration, and why it responds.
        reason: String,
    },
}

/// A route table, prepared for requests.
#[derive(Debug)]
pub struct Router {
    /// Servers, in the order of the file.
    pub servers: Vec<CompiledServer>,
    virtual_hosts: BTreeMap<String, VirtualHosts>,
    variables: HashMap<String, CompiledVariable>,
}

/// State of a request while it is routed.
struct RequestState<'a> {
    request: &'a RouteRequest<'a>,
    uri: Uri,
    /// A rewrite has replaced the path, so that the target gets the new one.
    path_rewritten: bool,
    /// A rewrite with the flag `break` has replaced the path: the URI of `proxy_pass` is ignored.
    stays_in_location: bool,
    set_variables: HashMap<String, String>,
    captures: Vec<String>,
}

fn parse_template(text: &str) -> Result<Template, String> {
    Template::parse(text)
}

fn compile_steps(steps: &[RewriteStep]) -> Result<Vec<CompiledStep>, String> {
    let compile_step = |step: &RewriteStep| {
        Ok(match step {
            RewriteStep::Set { variable, value } => {
                CompiledStep::Set(variable.clone(), parse_template(value)?)
            }
            RewriteStep::Rewrite {
                regex,
                replacement,
                flag,
            } => {
                let (text, drops_arguments) = replacement
                    .strip_suffix('?')
                    .map_or((replacement.as_str(), false), |text| (text, true));
                CompiledStep::Rewrite(
                    pattern::compile(regex, false)?,
                    parse_template(text)?,
                    drops_arguments,
                    *flag,
                )
            }
            RewriteStep::Return { code, text } => {
                CompiledStep::Return(*code, text.as_deref().map(parse_template).transpose()?)
            }
            RewriteStep::Break => CompiledStep::Break,
        })
    };
    steps.iter().map(compile_step).collect()
}

/// Whether the steps set only literal values and rewrite nothing, so that host and path alone decide.
fn are_static(steps: &[CompiledStep]) -> bool {
    steps.iter().all(|step| match step {
        CompiledStep::Set(_, value) => value.variables().next().is_none(),
        CompiledStep::Rewrite(..) => false,
        CompiledStep::Return(..) | CompiledStep::Break => true,
    })
}

impl CompiledLocation {
    /// Whether host and path alone decide how the requests of the location are routed.
    #[must_use]
    pub fn is_static(&self) -> bool {
        self.pool.is_some() && are_static(&self.steps)
    }

    fn compile_all(
        locations: &[Location],
        parent: Option<u32>,
        compiled: &mut Vec<Self>,
    ) -> Result<(), String> {
        for location in locations {
            let index = compiled.len() as u32;
            let pass = match &location.proxy_pass {
                Some(pass) => Some((
                    parse_template(&pass.pool)?,
                    pass.uri.as_deref().map(parse_template).transpose()?,
                )),
                None => None,
            };
            let pool = location
                .proxy_pass
                .as_ref()
                .map(|pass| pass.pool.as_str())
                .filter(|pool| !pool.starts_with('$'));
            let limits = location
                .limits
                .iter()
                .map(|limit| Ok((parse_template(&limit.key)?, limit.clone())));
            compiled.push(Self {
                position: location.position.clone(),
                name: format!("{}{}", location.match_kind.modifier(), location.pattern),
                retry_policy: location.retry_policy.clone(),
                timeouts: location.timeouts,
                limits: limits.collect::<Result<_, String>>()?,
                parent,
                match_kind: location.match_kind,
                pattern: location.pattern.clone(),
                internal: location.internal,
                steps: compile_steps(&location.steps)?,
                proxy_pass: pass,
                pool: pool.map(Arc::from),
            });
            Self::compile_all(&location.nested, Some(index), compiled)?;
        }
        Ok(())
    }
}

impl CompiledServer {
    /// Whether the steps of the server leave the decision to host and path.
    #[must_use]
    pub fn is_static(&self) -> bool {
        are_static(&self.steps)
    }

    fn new(server: &Server) -> Result<Self, String> {
        let mut locations = Vec::new();
        CompiledLocation::compile_all(&server.locations, None, &mut locations)?;
        Ok(Self {
            position: server.position.clone(),
            name: server.names.first().cloned().unwrap_or_default(),
            locations,
            merge_slashes: server.merge_slashes,
            steps: compile_steps(&server.steps)?,
            location_index: LocationIndex::new(&server.locations)?,
        })
    }
}

impl CompiledVariable {
    fn new(variable: &Variable) -> Result<Self, String> {
        Ok(match variable {
            Variable::Map {
                source,
                cases,
                default,
                hostnames,
            } => {
                let (mut exact, mut wildcards, mut regexes) =
                    (HashMap::new(), Vec::new(), Vec::new());
                for (case, value) in cases {
                    let value = parse_template(value)?;
                    if let Some(regex) = case.strip_prefix('~') {
                        let (regex, case_insensitive) = regex
                            .strip_prefix('*')
                            .map_or((regex, false), |regex| (regex, true));
                        regexes.push((pattern::compile(regex, case_insensitive)?, value));
                    } else if let Some(rest) = case.strip_prefix('.').filter(|_| *hostnames) {
                        // The name itself and all names below it.
                        wildcards.push((format!("*.{rest}").to_lowercase(), value.clone()));
                        exact.insert(rest.to_lowercase(), value);
                    } else if *hostnames && case.contains('*') {
                        wildcards.push((case.to_lowercase(), value));
                    } else {
                        // A leading backslash escapes a value that begins with a special character.
                        exact.insert(
                            case.strip_prefix('\\').unwrap_or(case).to_lowercase(),
                            value,
                        );
                    }
                }
                wildcards.sort_by_key(|(name, _)| (name.ends_with('*'), usize::MAX - name.len()));
                Self::Map {
                    source: parse_template(source)?,
                    exact,
                    wildcards,
                    regexes,
                    default: parse_template(default)?,
                }
            }
            Variable::Split { key, parts } => {
                let mut upper_bound = 0_u64;
                let to_bound = |(share, value): &(u32, String)| {
                    upper_bound += u64::from(*share) * 0xffff_ffff / 10_000;
                    (
                        if *share == 0 { 0 } else { upper_bound as u32 },
                        value.clone(),
                    )
                };
                Self::Split {
                    key: parse_template(key)?,
                    parts: parts.iter().map(to_bound).collect(),
                }
            }
        })
    }
}

impl Router {
    /// Prepares a route table.
    ///
    /// # Errors
    /// A regular expression or template is invalid. That can't happen with an imported table.
    pub fn new(routes: &Routes) -> Result<Self, String> {
        let servers = routes
            .servers
            .iter()
            .map(CompiledServer::new)
            .collect::<Result<Vec<_>, _>>()?;
        let mut virtual_hosts: BTreeMap<String, VirtualHosts> = BTreeMap::new();
        for (server_index, server) in routes.servers.iter().enumerate() {
            for (address, default) in &server.listen_addresses {
                let hosts = virtual_hosts.entry(address.clone()).or_default();
                if *default || hosts.default.is_none() {
                    let previous = hosts.default.replace(server_index);
                    // An explicit default server replaces one that is the default as the first of its
                    // address, and never the other way round.
                    let is_explicit_default = |index: usize| {
                        routes.servers[index]
                            .listen_addresses
                            .iter()
                            .any(|(other, is_default)| other == address && *is_default)
                    };
                    if let Some(previous) =
                        previous.filter(|previous| is_explicit_default(*previous))
                    {
                        hosts.default = Some(previous);
                    }
                }
                for name in &server.names {
                    if let Some(regex) = name.strip_prefix('~') {
                        hosts
                            .regexes
                            .push((pattern::compile(regex, true)?, server_index));
                    } else if let Some(rest) = name.strip_prefix('*') {
                        hosts
                            .leading_wildcards
                            .push((rest.to_owned(), server_index));
                    } else if let Some(rest) = name.strip_suffix('*') {
                        hosts
                            .trailing_wildcards
                            .push((rest.to_owned(), server_index));
                    } else {
                        hosts.exact.entry(name.clone()).or_insert(server_index);
                    }
                }
            }
        }
        for hosts in virtual_hosts.values_mut() {
            hosts
                .leading_wildcards
                .sort_by_key(|(name, server_index)| (usize::MAX - name.len(), *server_index));
            hosts
                .trailing_wildcards
                .sort_by_key(|(name, server_index)| (usize::MAX - name.len(), *server_index));
        }
        let variables = routes
            .variables
            .iter()
            .map(|(name, variable)| Ok((name.clone(), CompiledVariable::new(variable)?)));
        Ok(Self {
            servers,
            virtual_hosts,
            variables: variables.collect::<Result<_, String>>()?,
        })
    }

    /// Routes a request.
    ///
    /// # Errors
    /// No server listens on the address or port of the request.
    pub fn route(&self, request: &RouteRequest<'_>) -> Result<RouteDecision, String> {
        self.route_with_trace(request, &mut None)
    }

    /// Routes a request and returns one line of explanation for each consideration.
    ///
    /// # Errors
    /// As for [`route`](Self::route).
    pub fn explain(
        &self,
        request: &RouteRequest<'_>,
    ) -> Result<(RouteDecision, Vec<String>), String> {
        let mut trace = Some(Vec::new());
        let decision = self.route_with_trace(request, &mut trace)?;
        Ok((decision, trace.unwrap_or_default()))
    }

    /// Returns the location of a decision.
    #[must_use]
    pub fn location(&self, server: usize, location: u32) -> Option<&CompiledLocation> {
        self.servers.get(server)?.locations.get(location as usize)
    }

    fn find_virtual_hosts(
        &self,
        request: &RouteRequest<'_>,
    ) -> Result<(&str, &VirtualHosts), String> {
        if let Some(address) = request.listen_address {
            let candidates = self
                .virtual_hosts
                .get_key_value(address)
                .map(|(key, virtual_hosts)| (key.as_str(), virtual_hosts));
            return candidates.ok_or_else(|| format!("no server listens on {address}"));
        }
        let port = split_port(request.host).1.unwrap_or("80");
        let mut candidates = self
            .virtual_hosts
            .iter()
            .filter(|(address, _)| address.rsplit(':').next() == Some(port));
        match (candidates.next(), candidates.next()) {
            (Some((address, virtual_hosts)), None) => Ok((address, virtual_hosts)),
            (None, _) => Err(format!("no server listens on port {port}")),
            _ => {
                // The request may have arrived at any of these addresses; a wildcard address decides.
                let wildcard = self.virtual_hosts.get_key_value(&format!("*:{port}"));
                wildcard
                    .map(|(address, virtual_hosts)| (address.as_str(), virtual_hosts))
                    .ok_or_else(|| {
                        format!("several addresses have port {port}: name the one it came to")
                    })
            }
        }
    }

    fn route_with_trace(
        &self,
        request: &RouteRequest<'_>,
        trace: &mut Option<Vec<String>>,
    ) -> Result<RouteDecision, String> {
        let (address, virtual_hosts) = self.find_virtual_hosts(request)?;
        let name = split_port(request.host)
            .0
            .trim_end_matches('.')
            .to_lowercase();
        let (server_index, why) = virtual_hosts.choose(&name);
        let compiled_server = &self.servers[server_index];
        push_trace(trace, || {
            format!(
                "{} server {:?} on {address}: {why}",
                compiled_server.position, compiled_server.name
            )
        });
        let respond = |status: u16, text: String, reason: String| {
            Ok(RouteDecision::Respond {
                status,
                text,
                reason,
            })
        };
        let uri = match uri::parse(request.request_target, compiled_server.merge_slashes) {
            Ok(uri) => uri,
            Err(error) => {
                return respond(
                    400,
                    String::new(),
                    format!("the path can't be read: {error}"),
                )
            }
        };
        let mut state = RequestState {
            request,
            uri,
            path_rewritten: false,
            stays_in_location: false,
            set_variables: HashMap::new(),
            captures: Vec::new(),
        };
        if let Some(decision) = self
            .run_steps(
                &compiled_server.steps,
                &compiled_server.position,
                &mut state,
                trace,
            )
            .1
        {
            return Ok(decision);
        }
        for _ in 0..=MAX_INTERNAL_REDIRECTS {
            let path = state.uri.path.clone();
            let location_match = compiled_server.location_index.find(&path);
            if trace.is_some() {
                compiled_server.trace_locations(&path, location_match, trace);
            }
            let number = match location_match {
                LocationMatch::Found(number) => number,
                LocationMatch::AppendSlash(number) => {
                    let mut redirect_uri = uri::escape(&path) + "/";
                    if !state.uri.args.is_empty() {
                        redirect_uri = redirect_uri + "?" + &state.uri.args;
                    }
                    return respond(
                        301,
                        redirect_uri,
                        format!(
                            "{} adds the slash at the end",
                            compiled_server.locations[number as usize].position
                        ),
                    );
                }
                LocationMatch::NotFound => {
                    return respond(404, String::new(), "no location takes the path".to_owned())
                }
            };
            let compiled_location = &compiled_server.locations[number as usize];
            if compiled_location.internal && !state.path_rewritten {
                return respond(
                    404,
                    String::new(),
                    format!("{} is internal", compiled_location.position),
                );
            }
            if let Some(captures) = compiled_server
                .location_index
                .regex(number)
                .and_then(|regex| regex.captures(&path))
            {
                state.capture(compiled_server.location_index.regex(number), &captures);
            }
            let (look_up_again, decision) = self.run_steps(
                &compiled_location.steps,
                &compiled_location.position,
                &mut state,
                trace,
            );
            if let Some(decision) = decision {
                return Ok(decision);
            }
            if look_up_again {
                continue;
            }
            let Some((pool, uri)) = &compiled_location.proxy_pass else {
                return respond(
                    404,
                    String::new(),
                    format!("{} passes nothing on", compiled_location.position),
                );
            };
            let pool = match &compiled_location.pool {
                Some(pool) => pool.clone(),
                None => Arc::from(self.expand_with_state(pool, &state)),
            };
            let uri = uri.as_ref().map(|uri| {
                (
                    self.expand_with_state(uri, &state),
                    uri.0.len() > 1 || uri.variables().next().is_some(),
                )
            });
            let class = state
                .set_variables
                .get(CLASS_VARIABLE)
                .filter(|class| !class.is_empty())
                .cloned();
            let location = number;
            let server = self
                .servers
                .iter()
                .position(|other| std::ptr::eq(other, compiled_server))
                .unwrap_or_default();
            let uri = state.upstream_uri(compiled_location, uri);
            return Ok(RouteDecision::Forward {
                server,
                location,
                pool,
                uri,
                class,
            });
        }
        respond(
            500,
            String::new(),
            format!("rewrites sent it back more than {MAX_INTERNAL_REDIRECTS} times"),
        )
    }

    /// Runs the steps of a server or location. Returns whether the location has to be looked up again,
    /// and the response if a step makes one.
    fn run_steps(
        &self,
        steps: &[CompiledStep],
        position: &SourcePosition,
        state: &mut RequestState<'_>,
        trace: &mut Option<Vec<String>>,
    ) -> (bool, Option<RouteDecision>) {
        let mut look_up_again = false;
        for step in steps {
            match step {
                CompiledStep::Set(name, value) => {
                    let value = self.expand_with_state(value, state);
                    state.set_variables.insert(name.clone(), value);
                }
                CompiledStep::Break => return (look_up_again, None),
                CompiledStep::Return(code, text) => {
                    let text = text
                        .as_ref()
                        .map(|text| self.expand_with_state(text, state))
                        .unwrap_or_default();
                    return (
                        false,
                        Some(RouteDecision::Respond {
                            status: *code,
                            text,
                            reason: format!("{position} returns it"),
                        }),
                    );
                }
                CompiledStep::Rewrite(regex, replacement, drops_arguments, flag) => {
                    let path = state.uri.path.clone();
                    let Some(captures) = regex.captures(&path) else {
                        continue;
                    };
                    state.capture(Some(regex), &captures);
                    let replacement = self.expand_with_state(replacement, state);
                    let redirect = |status| RouteDecision::Respond {
                        status,
                        text: replacement.clone(),
                        reason: format!("{position} rewrites it"),
                    };
                    match flag {
                        RewriteFlag::Redirect => return (false, Some(redirect(302))),
                        RewriteFlag::Permanent => return (false, Some(redirect(301))),
                        _ => {}
                    }
                    let (path, arguments) = replacement
                        .split_once('?')
                        .map_or((replacement.as_str(), None), |(path, arguments)| {
                            (path, Some(arguments))
                        });
                    let old_arguments = std::mem::take(&mut state.uri.args);
                    state.uri.args = match arguments {
                        _ if *drops_arguments => arguments.unwrap_or_default().to_owned(),
                        Some(arguments) if old_arguments.is_empty() => arguments.to_owned(),
                        Some(arguments) => format!("{arguments}&{old_arguments}"),
                        None => old_arguments,
                    };
                    state.uri.path = path.as_bytes().to_vec();
                    state.path_rewritten = true;
                    push_trace(trace, || {
                        format!("{position} rewrites the path to {path:?}")
                    });
                    match flag {
                        RewriteFlag::Last => return (true, None),
                        RewriteFlag::Break => {
                            state.stays_in_location = true;
                            return (false, None);
                        }
                        _ => look_up_again = true,
                    }
                }
            }
        }
        (look_up_again, None)
    }

    fn expand_with_state(&self, template: &Template, state: &RequestState<'_>) -> String {
        self.expand_at_depth(template, state, 0)
    }

    fn expand_at_depth(
        &self,
        template: &Template,
        state: &RequestState<'_>,
        depth: usize,
    ) -> String {
        template.expand(|part, out| match part {
            TemplatePart::Capture(number) => {
                out.push_str(state.captures.get(*number).map_or("", |text| text));
            }
            TemplatePart::Variable(name) => out.push_str(&self.variable_value(name, state, depth)),
            TemplatePart::Literal(_) => {}
        })
    }

    /// Expands a template with the variables of a request.
    #[must_use]
    pub fn expand(&self, template: &Template, request: &RouteRequest<'_>) -> String {
        let uri = uri::parse(request.request_target, true).unwrap_or(Uri {
            path: Vec::new(),
            args: String::new(),
        });
        let state = RequestState {
            request,
            uri,
            path_rewritten: false,
            stays_in_location: false,
            set_variables: HashMap::new(),
            captures: Vec::new(),
        };
        self.expand_with_state(template, &state)
    }

    fn variable_value(&self, name: &str, state: &RequestState<'_>, depth: usize) -> String {
        if let Some(value) = state.set_variables.get(name) {
            return value.clone();
        }
        let Some(variable) = self
            .variables
            .get(name)
            .filter(|_| depth < MAX_VARIABLE_DEPTH)
        else {
            return state.request_variable(name);
        };
        match variable {
            CompiledVariable::Map {
                source,
                exact,
                wildcards,
                regexes,
                default,
            } => {
                let source = self.expand_at_depth(source, state, depth + 1);
                let lowercase_source = source.to_lowercase();
                let find_wildcard = || {
                    let matches_name = |name: &str| match name.strip_prefix('*') {
                        Some(suffix) => {
                            lowercase_source.len() > suffix.len()
                                && lowercase_source.ends_with(suffix)
                        }
                        None => name.strip_suffix('*').is_some_and(|prefix| {
                            lowercase_source.len() > prefix.len()
                                && lowercase_source.starts_with(prefix)
                        }),
                    };
                    wildcards
                        .iter()
                        .find(|(name, _)| matches_name(name))
                        .map(|(_, value)| value)
                };
                let find_regex = || {
                    regexes
                        .iter()
                        .find(|(regex, _)| regex.is_match(source.as_bytes()))
                        .map(|(_, value)| value)
                };
                let value = exact
                    .get(&lowercase_source)
                    .or_else(find_wildcard)
                    .or_else(find_regex)
                    .unwrap_or(default);
                self.expand_at_depth(value, state, depth + 1)
            }
            CompiledVariable::Split { key, parts } => {
                let hash = murmur2(self.expand_at_depth(key, state, depth + 1).as_bytes());
                let part = parts.iter().find(|(bound, _)| *bound == 0 || hash < *bound);
                part.map(|(_, value)| value.clone()).unwrap_or_default()
            }
        }
    }
}

impl VirtualHosts {
    /// Returns the index of the server for a host name, and why it was chosen.
    fn choose(&self, name: &str) -> (usize, String) {
        if let Some(server_index) = self.exact.get(name).filter(|_| !name.is_empty()) {
            return (*server_index, "the whole name".to_owned());
        }
        // `*.x` matches names below x, but not x itself.
        if let Some((suffix, server_index)) = self
            .leading_wildcards
            .iter()
            .find(|(suffix, _)| name.len() > suffix.len() && name.ends_with(suffix))
        {
            return (
                *server_index,
                format!("the longest name with a star before, *{suffix}"),
            );
        }
        if let Some((prefix, server_index)) = self
            .trailing_wildcards
            .iter()
            .find(|(prefix, _)| name.len() > prefix.len() && name.starts_with(prefix))
        {
            return (
                *server_index,
                format!("the longest name with a star after, {prefix}*"),
            );
        }
        if let Some((regex, server_index)) = self
            .regexes
            .iter()
            .find(|(regex, _)| regex.is_match(name.as_bytes()))
        {
            return (
                *server_index,
                format!("the first regular expression that matches, {regex}"),
            );
        }
        if let Some(server_index) = self.exact.get("").filter(|_| name.is_empty()) {
            return (*server_index, "the server without a name".to_owned());
        }
        (
            self.default.unwrap_or_default(),
            "the default server: no name fits".to_owned(),
        )
    }
}

impl CompiledServer {
    /// Adds a line to the trace for each location, with the reason why it takes the path or not.
    fn trace_locations(
        &self,
        path: &[u8],
        location_match: LocationMatch,
        trace: &mut Option<Vec<String>>,
    ) {
        let path_text = String::from_utf8_lossy(path).into_owned();
        push_trace(trace, || format!("path {path_text:?}:"));
        let winner = match location_match {
            LocationMatch::Found(number) | LocationMatch::AppendSlash(number) => Some(number),
            LocationMatch::NotFound => None,
        };
        // The winning location and those around it, the outermost first.
        let mut ancestry: Vec<u32> =
            std::iter::successors(winner, |number| self.locations[*number as usize].parent)
                .collect();
        ancestry.reverse();
        let mut parent = None;
        for depth in 0..=ancestry.len() {
            let siblings: Vec<_> = self
                .locations
                .iter()
                .enumerate()
                .filter(|(_, location)| location.parent == parent)
                .collect();
            if siblings.is_empty() {
                break;
            }
            let chosen = ancestry.get(depth).copied();
            let matches_path = |location: &CompiledLocation| match location.match_kind {
                MatchKind::Exact => location.pattern.as_bytes() == path,
                MatchKind::Prefix | MatchKind::PreferentialPrefix => {
                    path.starts_with(location.pattern.as_bytes())
                }
                MatchKind::Named => false,
                MatchKind::Regex | MatchKind::RegexCaseInsensitive => pattern::compile(
                    &location.pattern,
                    location.match_kind == MatchKind::RegexCaseInsensitive,
                )
                .is_ok_and(|regex| regex.is_match(path)),
            };
            let longest = siblings
                .iter()
                .filter(|(_, location)| {
                    !location.match_kind.is_regex()
                        && location.match_kind != MatchKind::Exact
                        && matches_path(location)
                })
                .max_by_key(|(_, location)| location.pattern.len());
            let winning_location = chosen.map(|number| &self.locations[number as usize]);
            for (number, location) in &siblings {
                let reason = if Some(*number as u32) == chosen {
                    match (location.match_kind, location_match) {
                        (_, LocationMatch::AppendSlash(_)) if depth + 1 == ancestry.len() => {
                            "adds the slash that the path lacks".to_owned()
                        }
                        (MatchKind::Exact, _) => "is the whole path".to_owned(),
                        (match_kind, _) if match_kind.is_regex() => {
                            "the first regular expression that matches".to_owned()
                        }
                        (MatchKind::PreferentialPrefix, _) => {
                            "the longest prefix, and no regular expression is tried".to_owned()
                        }
                        _ => "the longest prefix, and no regular expression matches".to_owned(),
                    }
                } else {
                    let name = winning_location.map_or("", |location| &location.name);
                    match location.match_kind {
                        MatchKind::Named => "is reached by name only".to_owned(),
                        MatchKind::Exact => "is not the path".to_owned(),
                        MatchKind::Prefix | MatchKind::PreferentialPrefix
                            if !matches_path(location) =>
                        {
                            "is no prefix of the path".to_owned()
                        }
                        MatchKind::Prefix | MatchKind::PreferentialPrefix
                            if longest.is_some_and(|(longer, _)| longer != number) =>
                        {
                            let longer = longest.map_or("", |(_, location)| &location.name);
                            format!("a prefix, and {longer} is longer")
                        }
                        MatchKind::Prefix | MatchKind::PreferentialPrefix => {
                            format!("the longest prefix, and {name} comes before it")
                        }
                        _ if winning_location.is_some_and(|winning_location| {
                            !winning_location.match_kind.is_regex()
                        }) && matches_path(location) =>
                        {
                            format!("matches, and is not tried because of {name}")
                        }
                        _ if matches_path(location) => {
                            format!("matches, and {name} stands before it")
                        }
                        _ => "does not match".to_owned(),
                    }
                };
                let mark = if Some(*number as u32) == chosen {
                    "*"
                } else {
                    "-"
                };
                push_trace(trace, || {
                    format!(
                        "  {}{mark} {} {}: {reason}",
                        "  ".repeat(depth),
                        location.position,
                        location.name
                    )
                });
            }
            let Some(next_parent) = chosen else { break };
            parent = Some(next_parent);
        }
    }
}

impl RequestState<'_> {
    fn capture(&mut self, regex: Option<&Regex>, captures: &regex::bytes::Captures<'_>) {
        let to_text = |capture: regex::bytes::Match<'_>| {
            String::from_utf8_lossy(capture.as_bytes()).into_owned()
        };
        self.captures = captures
            .iter()
            .map(|group| group.map(to_text).unwrap_or_default())
            .collect();
        for name in regex
            .into_iter()
            .flat_map(|regex| regex.capture_names().flatten())
        {
            let value = captures.name(name).map(to_text).unwrap_or_default();
            self.set_variables.insert(name.to_owned(), value);
        }
    }

    fn request_variable(&self, name: &str) -> String {
        let request = self.request;
        match name {
            "uri" | "document_uri" => String::from_utf8_lossy(&self.uri.path).into_owned(),
            "request_uri" => request.request_target.to_owned(),
            "args" | "query_string" => self.uri.args.clone(),
            "is_args" => if self.uri.args.is_empty() { "" } else { "?" }.to_owned(),
            "host" => split_port(request.host).0.to_lowercase(),
            "request_method" => request.method.to_owned(),
            "remote_addr" | "binary_remote_addr" => request.caller_address.to_owned(),
            "scheme" => "http".to_owned(),
            "server_port" => split_port(request.listen_address.unwrap_or(request.host))
                .1
                .unwrap_or("80")
                .to_owned(),
            _ => {
                if let Some(wanted) = name.strip_prefix("arg_") {
                    let pairs = self
                        .uri
                        .args
                        .split('&')
                        .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
                    return pairs
                        .filter(|(name, _)| name.eq_ignore_ascii_case(wanted))
                        .map(|(_, value)| value.to_owned())
                        .next()
                        .unwrap_or_default();
                }
                if let Some(wanted) = name.strip_prefix("cookie_") {
                    let cookies = request
                        .headers
                        .iter()
                        .filter(|(name, _)| name.eq_ignore_ascii_case("cookie"));
                    let pairs = cookies
                        .flat_map(|(_, value)| value.split(';'))
                        .filter_map(|pair| pair.trim().split_once('='));
                    return pairs
                        .filter(|(name, _)| *name == wanted)
                        .map(|(_, value)| value.to_owned())
                        .next()
                        .unwrap_or_default();
                }
                let Some(wanted) = name.strip_prefix("http_") else {
                    return String::new();
                };
                if wanted == "host" {
                    return request.host.to_owned();
                }
                let matches_header = |name: &str| {
                    name.len() == wanted.len()
                        && name
                            .bytes()
                            .zip(wanted.bytes())
                            .all(|(a, b)| a.to_ascii_lowercase() == b || a == b'-' && b == b'_')
                };
                request
                    .headers
                    .iter()
                    .find(|(name, _)| matches_header(name))
                    .map(|(_, value)| value.clone())
                    .unwrap_or_default()
            }
        }
    }

    /// Returns the path and query string that the target gets.
    fn upstream_uri(&self, location: &CompiledLocation, uri: Option<(String, bool)>) -> String {
        let mut out = match uri {
            // A URI with variables replaces the whole path and query string.
            Some((uri, true)) => return uri,
            Some((uri, false)) if !self.stays_in_location => {
                let rest = self
                    .uri
                    .path
                    .strip_prefix(location.pattern.as_bytes())
                    .unwrap_or_default();
                uri + &uri::escape(rest)
            }
            None if !self.path_rewritten => {
                return self
                    .request
                    .request_target
                    .split('#')
                    .next()
                    .unwrap_or_default()
                    .to_owned()
            }
            _ => uri::escape(&self.uri.path),
        };
        if !self.uri.args.is_empty() {
            out = out + "?" + &self.uri.args;
        }
        out
    }
}

fn push_trace(trace: &mut Option<Vec<String>>, line: impl FnOnce() -> String) {
    if let Some(trace) = trace {
        trace.push(line());
    }
}

/// Splits host and port.
fn split_port(host: &str) -> (&str, Option<&str>) {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.contains(']') && !port.is_empty() => (name, Some(port)),
        _ => (host, None),
    }
}

/// MurmurHash2, the hash of nginx's `split_clients`; another hash would assign other parts.
fn murmur2(data: &[u8]) -> u32 {
    const M: u32 = 0x5bd1_e995;
    let mut hash = data.len() as u32;
    let (words, tail) = data.split_at(data.len() / 4 * 4);
    for word in words.chunks_exact(4) {
        let mut k = u32::from_le_bytes([word[0], word[1], word[2], word[3]]).wrapping_mul(M);
        k ^= k >> 24;
        hash = hash.wrapping_mul(M) ^ k.wrapping_mul(M);
    }
    if !tail.is_empty() {
        for (at, byte) in tail.iter().enumerate() {
            hash ^= u32::from(*byte) << (8 * at);
        }
        hash = hash.wrapping_mul(M);
    }
    hash ^= hash >> 13;
    hash = hash.wrapping_mul(M);
    hash ^ hash >> 15
}

#[cfg(test)]
mod tests {
    use super::murmur2;

    /// The expected values come from the reference implementation, with the seed 0.
    #[test]
    fn murmur2_agrees_with_the_reference_implementation() {
        for (text, hash) in [
            ("", 0),
            ("a", 0x9268_5f5e),
            ("abcd", 0x2687_3021),
            ("hello world", 0x44a8_1419),
        ] {
            assert_eq!(murmur2(text.as_bytes()), hash, "{text}");
        }
    }
}
