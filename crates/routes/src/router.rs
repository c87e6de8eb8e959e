//! The route table ready for requests: from host, path and headers to a location, and from there to a pool, the path that
//! goes on, and the class; or to an answer.

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

/// Times that a request may be sent back to look for its location, as in nginx.
const CYCLES: usize = 10;
/// Variables that are made from variables that are made from variables.
const DEEPEST: usize = 16;

/// A request, as far as routing looks at it.
#[derive(Debug, Clone, Default)]
pub struct RouteRequest<'a> {
    /// The `address:port` that it came to; the host's port counts where it is not told.
    pub listen_address: Option<&'a str>,
    /// The host it names, with a port or without.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path with its arguments, as it came.
    pub request_target: &'a str,
    /// The headers.
    pub headers: &'a [(String, String)],
    /// The caller's address.
    pub caller_address: &'a str,
}

/// A location that passes requests on, ready for them.
#[derive(Debug)]
pub struct CompiledLocation {
    /// Where it came from.
    pub position: SourcePosition,
    /// As nginx writes it.
    pub name: String,
    /// Further tries.
    pub retry_policy: RetryPolicy,
    /// Times.
    pub timeouts: ProxyTimeouts,
    /// Limits, with their keys.
    pub limits: Vec<(Template, Limit)>,
    /// The number of the location around it.
    pub parent: Option<u32>,
    match_kind: MatchKind,
    pattern: String,
    internal: bool,
    steps: Vec<Prepared>,
    proxy_pass: Option<(Template, Option<Template>)>,
    /// The pool, where it has no variable in it.
    pool: Option<Arc<str>>,
}

#[derive(Debug)]
enum Prepared {
    Set(String, Template),
    Rewrite(Regex, Template, bool, RewriteFlag),
    Return(u16, Option<Template>),
    Break,
}

/// A server, ready for requests.
#[derive(Debug)]
pub struct CompiledServer {
    /// Where it came from.
    pub position: SourcePosition,
    /// The first of its names.
    pub name: String,
    /// Its locations, by number.
    pub locations: Vec<CompiledLocation>,
    merge_slashes: bool,
    steps: Vec<Prepared>,
    locator: LocationIndex,
}

#[derive(Debug)]
enum Known {
    Map {
        source: Template,
        whole: HashMap<String, Template>,
        names: Vec<(String, Template)>,
        regexes: Vec<(Regex, Template)>,
        default: Template,
    },
    Split {
        key: Template,
        parts: Vec<(u32, String)>,
    },
}

/// Servers of one address.
#[derive(Debug, Default)]
struct Listen {
    default: Option<usize>,
    whole: HashMap<String, usize>,
    /// `*.x`, without the star, the longest first.
    below: Vec<(String, usize)>,
    /// `x.*`, without the star, the longest first.
    above: Vec<(String, usize)>,
    regexes: Vec<(Regex, usize)>,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteDecision {
    /// It goes on to a pool.
    Forward {
        /// The server, by its number.
        server: usize,
        /// The location, by its number there.
        location: u32,
        /// The pool.
        pool: Arc<str>,
        /// The path and arguments that go on.
        uri: String,
        /// The class of the route, where one is set.
        class: Option<String>,
    },
    /// It is answered.
    Respond {
        /// The status.
        status: u16,
        /// The text, or where a redirection leads.
        text: String,
        /// What answers it: a place and why.
        reason: String,
    },
}

/// The table.
#[derive(Debug)]
pub struct Router {
    /// Servers, in the order of the file.
    pub servers: Vec<CompiledServer>,
    listens: BTreeMap<String, Listen>,
    variables: HashMap<String, Known>,
}

/// What a request has gathered on its way.
struct Walk<'a> {
    asked: &'a RouteRequest<'a>,
    uri: Uri,
    /// The path was replaced: what came is no longer what goes on.
    changed: bool,
    /// Replaced by a rewrite that stays in its location: the location's own replacement is left out then.
    stays: bool,
    set: HashMap<String, String>,
    groups: Vec<String>,
}

fn read(text: &str) -> Result<Template, String> {
    Template::parse(text)
}

fn prepare(steps: &[RewriteStep]) -> Result<Vec<Prepared>, String> {
    let one = |step: &RewriteStep| {
        Ok(match step {
            RewriteStep::Set { variable, value } => Prepared::Set(variable.clone(), read(value)?),
            RewriteStep::Rewrite {
                regex,
                replacement,
                flag,
            } => {
                let (text, drops) = replacement
                    .strip_suffix('?')
                    .map_or((replacement.as_str(), false), |text| (text, true));
                Prepared::Rewrite(pattern::compile(regex, false)?, read(text)?, drops, *flag)
            }
            RewriteStep::Return { code, text } => {
                Prepared::Return(*code, text.as_deref().map(read).transpose()?)
            }
            RewriteStep::Break => Prepared::Break,
        })
    };
    steps.iter().map(one).collect()
}

/// Whether no step makes a class or pool of more than plain text, so that host and path alone decide.
fn are_settled(steps: &[Prepared]) -> bool {
    steps.iter().all(|step| match step {
        Prepared::Set(_, value) => value.variables().next().is_none(),
        Prepared::Rewrite(..) => false,
        Prepared::Return(..) | Prepared::Break => true,
    })
}

impl CompiledLocation {
    /// Whether host and path alone decide what becomes of its requests.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.pool.is_some() && are_settled(&self.steps)
    }

    fn all(locations: &[Location], parent: Option<u32>, out: &mut Vec<Self>) -> Result<(), String> {
        for location in locations {
            let number = out.len() as u32;
            let pass = match &location.proxy_pass {
                Some(pass) => Some((
                    read(&pass.pool)?,
                    pass.uri.as_deref().map(read).transpose()?,
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
                .map(|limit| Ok((read(&limit.key)?, limit.clone())));
            out.push(Self {
                position: location.position.clone(),
                name: format!("{}{}", location.match_kind.modifier(), location.pattern),
                retry_policy: location.retry_policy.clone(),
                timeouts: location.timeouts,
                limits: limits.collect::<Result<_, String>>()?,
                parent,
                match_kind: location.match_kind,
                pattern: location.pattern.clone(),
                internal: location.internal,
                steps: prepare(&location.steps)?,
                proxy_pass: pass,
                pool: pool.map(Arc::from),
            });
            Self::all(&location.nested, Some(number), out)?;
        }
        Ok(())
    }
}

impl CompiledServer {
    /// Whether its own steps leave everything to host and path.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        are_settled(&self.steps)
    }

    fn new(server: &Server) -> Result<Self, String> {
        let mut locations = Vec::new();
        CompiledLocation::all(&server.locations, None, &mut locations)?;
        Ok(Self {
            position: server.position.clone(),
            name: server.names.first().cloned().unwrap_or_default(),
            locations,
            merge_slashes: server.merge_slashes,
            steps: prepare(&server.steps)?,
            locator: LocationIndex::new(&server.locations)?,
        })
    }
}

impl Known {
    fn new(variable: &Variable) -> Result<Self, String> {
        Ok(match variable {
            Variable::Map {
                source,
                cases,
                default,
                hostnames,
            } => {
                let (mut whole, mut names, mut regexes) = (HashMap::new(), Vec::new(), Vec::new());
                for (case, value) in cases {
                    let value = read(value)?;
                    if let Some(regex) = case.strip_prefix('~') {
                        let (regex, any_case) = regex
                            .strip_prefix('*')
                            .map_or((regex, false), |regex| (regex, true));
                        regexes.push((pattern::compile(regex, any_case)?, value));
                    } else if let Some(rest) = case.strip_prefix('.').filter(|_| *hostnames) {
                        // A name and all below it.
                        names.push((format!("*.{rest}").to_lowercase(), value.clone()));
                        whole.insert(rest.to_lowercase(), value);
                    } else if *hostnames && case.contains('*') {
                        names.push((case.to_lowercase(), value));
                    } else {
                        // A backslash takes the meaning of what follows away.
                        whole.insert(
                            case.strip_prefix('\\').unwrap_or(case).to_lowercase(),
                            value,
                        );
                    }
                }
                names.sort_by_key(|(name, _)| (name.ends_with('*'), usize::MAX - name.len()));
                Self::Map {
                    source: read(source)?,
                    whole,
                    names,
                    regexes,
                    default: read(default)?,
                }
            }
            Variable::Split { key, parts } => {
                let mut last = 0_u64;
                let bound = |(share, value): &(u32, String)| {
                    last += u64::from(*share) * 0xffff_ffff / 10_000;
                    (if *share == 0 { 0 } else { last as u32 }, value.clone())
                };
                Self::Split {
                    key: read(key)?,
                    parts: parts.iter().map(bound).collect(),
                }
            }
        })
    }
}

impl Router {
    /// Prepares a table.
    ///
    /// # Errors
    /// What can't be prepared; a table that was imported can.
    pub fn new(routes: &Routes) -> Result<Self, String> {
        let servers = routes
            .servers
            .iter()
            .map(CompiledServer::new)
            .collect::<Result<Vec<_>, _>>()?;
        let mut listens: BTreeMap<String, Listen> = BTreeMap::new();
        for (number, server) in routes.servers.iter().enumerate() {
            for (address, default) in &server.listen_addresses {
                let listen = listens.entry(address.clone()).or_default();
                if *default || listen.default.is_none() {
                    let first = listen.default.replace(number);
                    // One that is the default by its place gives way to one that says so, and not the other way.
                    let said = |at: usize| {
                        routes.servers[at]
                            .listen_addresses
                            .iter()
                            .any(|(other, said)| other == address && *said)
                    };
                    if let Some(first) = first.filter(|first| said(*first)) {
                        listen.default = Some(first);
                    }
                }
                for name in &server.names {
                    if let Some(regex) = name.strip_prefix('~') {
                        listen
                            .regexes
                            .push((pattern::compile(regex, true)?, number));
                    } else if let Some(rest) = name.strip_prefix('*') {
                        listen.below.push((rest.to_owned(), number));
                    } else if let Some(rest) = name.strip_suffix('*') {
                        listen.above.push((rest.to_owned(), number));
                    } else {
                        listen.whole.entry(name.clone()).or_insert(number);
                    }
                }
            }
        }
        for listen in listens.values_mut() {
            listen
                .below
                .sort_by_key(|(name, number)| (usize::MAX - name.len(), *number));
            listen
                .above
                .sort_by_key(|(name, number)| (usize::MAX - name.len(), *number));
        }
        let variables = routes
            .variables
            .iter()
            .map(|(name, variable)| Ok((name.clone(), Known::new(variable)?)));
        Ok(Self {
            servers,
            listens,
            variables: variables.collect::<Result<_, String>>()?,
        })
    }

    /// Decides on a request.
    ///
    /// # Errors
    /// Where the request could not have come: no server listens where it says.
    pub fn route(&self, asked: &RouteRequest<'_>) -> Result<RouteDecision, String> {
        self.walk(asked, &mut None)
    }

    /// The same, and what was weighed on the way, a line each.
    ///
    /// # Errors
    /// As with [`route`](Self::route).
    pub fn explain(
        &self,
        asked: &RouteRequest<'_>,
    ) -> Result<(RouteDecision, Vec<String>), String> {
        let mut said = Some(Vec::new());
        let decision = self.walk(asked, &mut said)?;
        Ok((decision, said.unwrap_or_default()))
    }

    /// The location of a decision.
    #[must_use]
    pub fn location(&self, server: usize, location: u32) -> Option<&CompiledLocation> {
        self.servers.get(server)?.locations.get(location as usize)
    }

    fn listen(&self, asked: &RouteRequest<'_>) -> Result<(&str, &Listen), String> {
        if let Some(at) = asked.listen_address {
            let found = self
                .listens
                .get_key_value(at)
                .map(|(key, listen)| (key.as_str(), listen));
            return found.ok_or_else(|| format!("no server listens on {at}"));
        }
        let port = split_port(asked.host).1.unwrap_or("80");
        let mut found = self
            .listens
            .iter()
            .filter(|(at, _)| at.rsplit(':').next() == Some(port));
        match (found.next(), found.next()) {
            (Some((at, listen)), None) => Ok((at, listen)),
            (None, _) => Err(format!("no server listens on port {port}")),
            _ => {
                // A request to a name may have come to any of these addresses.
                let any = self.listens.get_key_value(&format!("*:{port}"));
                any.map(|(at, listen)| (at.as_str(), listen))
                    .ok_or_else(|| {
                        format!("several addresses have port {port}: name the one it came to")
                    })
            }
        }
    }

    fn walk(
        &self,
        asked: &RouteRequest<'_>,
        said: &mut Option<Vec<String>>,
    ) -> Result<RouteDecision, String> {
        let (at, listen) = self.listen(asked)?;
        let name = split_port(asked.host)
            .0
            .trim_end_matches('.')
            .to_lowercase();
        let (number, why) = listen.choose(&name);
        let host = &self.servers[number];
        say(said, || {
            format!("{} server {:?} on {at}: {why}", host.position, host.name)
        });
        let answer = |code: u16, text: String, by: String| {
            Ok(RouteDecision::Respond {
                status: code,
                text,
                reason: by,
            })
        };
        let uri = match uri::parse(asked.request_target, host.merge_slashes) {
            Ok(uri) => uri,
            Err(what) => {
                return answer(
                    400,
                    String::new(),
                    format!("the path can't be read: {what}"),
                )
            }
        };
        let mut walk = Walk {
            asked,
            uri,
            changed: false,
            stays: false,
            set: HashMap::new(),
            groups: Vec::new(),
        };
        if let Some(done) = self.steps(&host.steps, &host.position, &mut walk, said).1 {
            return Ok(done);
        }
        for _ in 0..=CYCLES {
            let path = walk.uri.path.clone();
            let taken = host.locator.find(&path);
            if said.is_some() {
                host.weigh(&path, taken, said);
            }
            let number = match taken {
                LocationMatch::Found(number) => number,
                LocationMatch::AppendSlash(number) => {
                    let mut to = uri::escape(&path) + "/";
                    if !walk.uri.args.is_empty() {
                        to = to + "?" + &walk.uri.args;
                    }
                    return answer(
                        301,
                        to,
                        format!(
                            "{} adds the slash at the end",
                            host.locations[number as usize].position
                        ),
                    );
                }
                LocationMatch::NotFound => {
                    return answer(404, String::new(), "no location takes the path".to_owned())
                }
            };
            let site = &host.locations[number as usize];
            if site.internal && !walk.changed {
                return answer(404, String::new(), format!("{} is internal", site.position));
            }
            if let Some(groups) = host
                .locator
                .regex(number)
                .and_then(|regex| regex.captures(&path))
            {
                walk.capture(host.locator.regex(number), &groups);
            }
            let (again, done) = self.steps(&site.steps, &site.position, &mut walk, said);
            if let Some(done) = done {
                return Ok(done);
            }
            if again {
                continue;
            }
            let Some((pool, uri)) = &site.proxy_pass else {
                return answer(
                    404,
                    String::new(),
                    format!("{} passes nothing on", site.position),
                );
            };
            let pool = match &site.pool {
                Some(pool) => pool.clone(),
                None => Arc::from(self.fill(pool, &walk)),
            };
            let uri = uri.as_ref().map(|uri| {
                (
                    self.fill(uri, &walk),
                    uri.0.len() > 1 || uri.variables().next().is_some(),
                )
            });
            let class = walk
                .set
                .get(CLASS_VARIABLE)
                .filter(|class| !class.is_empty())
                .cloned();
            let location = number;
            let server = self
                .servers
                .iter()
                .position(|other| std::ptr::eq(other, host))
                .unwrap_or_default();
            let uri = walk.goes_on(site, uri);
            return Ok(RouteDecision::Forward {
                server,
                location,
                pool,
                uri,
                class,
            });
        }
        answer(
            500,
            String::new(),
            format!("rewrites sent it back more than {CYCLES} times"),
        )
    }

    /// Takes steps; whether a location has to be looked up again, and an answer where they give one.
    fn steps(
        &self,
        steps: &[Prepared],
        position: &SourcePosition,
        walk: &mut Walk<'_>,
        said: &mut Option<Vec<String>>,
    ) -> (bool, Option<RouteDecision>) {
        let mut again = false;
        for step in steps {
            match step {
                Prepared::Set(name, value) => {
                    let value = self.fill(value, walk);
                    walk.set.insert(name.clone(), value);
                }
                Prepared::Break => return (again, None),
                Prepared::Return(code, text) => {
                    let text = text
                        .as_ref()
                        .map(|text| self.fill(text, walk))
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
                Prepared::Rewrite(regex, to, drops, flag) => {
                    let path = walk.uri.path.clone();
                    let Some(groups) = regex.captures(&path) else {
                        continue;
                    };
                    walk.capture(Some(regex), &groups);
                    let to = self.fill(to, walk);
                    let redirect = |code| RouteDecision::Respond {
                        status: code,
                        text: to.clone(),
                        reason: format!("{position} rewrites it"),
                    };
                    match flag {
                        RewriteFlag::Redirect => return (false, Some(redirect(302))),
                        RewriteFlag::Permanent => return (false, Some(redirect(301))),
                        _ => {}
                    }
                    let (path, args) = to
                        .split_once('?')
                        .map_or((to.as_str(), None), |(path, args)| (path, Some(args)));
                    let old = std::mem::take(&mut walk.uri.args);
                    walk.uri.args = match args {
                        _ if *drops => args.unwrap_or_default().to_owned(),
                        Some(args) if old.is_empty() => args.to_owned(),
                        Some(args) => format!("{args}&{old}"),
                        None => old,
                    };
                    walk.uri.path = path.as_bytes().to_vec();
                    walk.changed = true;
                    say(said, || format!("{position} rewrites the path to {path:?}"));
                    match flag {
                        RewriteFlag::Last => return (true, None),
                        RewriteFlag::Break => {
                            walk.stays = true;
                            return (false, None);
                        }
                        _ => again = true,
                    }
                }
            }
        }
        (again, None)
    }

    fn fill(&self, template: &Template, walk: &Walk<'_>) -> String {
        self.fill_at(template, walk, 0)
    }

    fn fill_at(&self, template: &Template, walk: &Walk<'_>, depth: usize) -> String {
        template.expand(|piece, out| match piece {
            TemplatePart::Capture(number) => {
                out.push_str(walk.groups.get(*number).map_or("", |text| text));
            }
            TemplatePart::Variable(name) => out.push_str(&self.value(name, walk, depth)),
            TemplatePart::Literal(_) => {}
        })
    }

    /// A text with the values that a request gives to its variables.
    #[must_use]
    pub fn expand(&self, template: &Template, asked: &RouteRequest<'_>) -> String {
        let uri = uri::parse(asked.request_target, true).unwrap_or(Uri {
            path: Vec::new(),
            args: String::new(),
        });
        let walk = Walk {
            asked,
            uri,
            changed: false,
            stays: false,
            set: HashMap::new(),
            groups: Vec::new(),
        };
        self.fill(template, &walk)
    }

    fn value(&self, name: &str, walk: &Walk<'_>, depth: usize) -> String {
        if let Some(value) = walk.set.get(name) {
            return value.clone();
        }
        let Some(known) = self.variables.get(name).filter(|_| depth < DEEPEST) else {
            return walk.given(name);
        };
        match known {
            Known::Map {
                source,
                whole,
                names,
                regexes,
                default,
            } => {
                let source = self.fill_at(source, walk, depth + 1);
                let lower = source.to_lowercase();
                let by_name = || {
                    let fits = |name: &str| match name.strip_prefix('*') {
                        Some(end) => lower.len() > end.len() && lower.ends_with(end),
                        None => name.strip_suffix('*').is_some_and(|start| {
                            lower.len() > start.len() && lower.starts_with(start)
                        }),
                    };
                    names
                        .iter()
                        .find(|(name, _)| fits(name))
                        .map(|(_, value)| value)
                };
                let by_regex = || {
                    regexes
                        .iter()
                        .find(|(regex, _)| regex.is_match(source.as_bytes()))
                        .map(|(_, value)| value)
                };
                let value = whole
                    .get(&lower)
                    .or_else(by_name)
                    .or_else(by_regex)
                    .unwrap_or(default);
                self.fill_at(value, walk, depth + 1)
            }
            Known::Split { key, parts } => {
                let hash = murmur2(self.fill_at(key, walk, depth + 1).as_bytes());
                let part = parts.iter().find(|(bound, _)| *bound == 0 || hash < *bound);
                part.map(|(_, value)| value.clone()).unwrap_or_default()
            }
        }
    }
}

impl Listen {
    /// The server for a host, and why.
    fn choose(&self, name: &str) -> (usize, String) {
        if let Some(number) = self.whole.get(name).filter(|_| !name.is_empty()) {
            return (*number, "the whole name".to_owned());
        }
        // `*.x` stands for labels below x, and not for x itself.
        if let Some((end, number)) = self
            .below
            .iter()
            .find(|(end, _)| name.len() > end.len() && name.ends_with(end))
        {
            return (
                *number,
                format!("the longest name with a star before, *{end}"),
            );
        }
        if let Some((start, number)) = self
            .above
            .iter()
            .find(|(start, _)| name.len() > start.len() && name.starts_with(start))
        {
            return (
                *number,
                format!("the longest name with a star after, {start}*"),
            );
        }
        if let Some((regex, number)) = self
            .regexes
            .iter()
            .find(|(regex, _)| regex.is_match(name.as_bytes()))
        {
            return (
                *number,
                format!("the first regular expression that matches, {regex}"),
            );
        }
        if let Some(number) = self.whole.get("").filter(|_| name.is_empty()) {
            return (*number, "the server without a name".to_owned());
        }
        (
            self.default.unwrap_or_default(),
            "the default server: no name fits".to_owned(),
        )
    }
}

impl CompiledServer {
    /// Says of each location why it takes the path or does not.
    fn weigh(&self, path: &[u8], taken: LocationMatch, said: &mut Option<Vec<String>>) {
        let shown = String::from_utf8_lossy(path).into_owned();
        say(said, || format!("path {shown:?}:"));
        let winner = match taken {
            LocationMatch::Found(number) | LocationMatch::AppendSlash(number) => Some(number),
            LocationMatch::NotFound => None,
        };
        // The locations around the winner, and the winner, from the outside in.
        let mut way: Vec<u32> =
            std::iter::successors(winner, |number| self.locations[*number as usize].parent)
                .collect();
        way.reverse();
        let mut parent = None;
        for depth in 0..=way.len() {
            let here: Vec<_> = self
                .locations
                .iter()
                .enumerate()
                .filter(|(_, site)| site.parent == parent)
                .collect();
            if here.is_empty() {
                break;
            }
            let chosen = way.get(depth).copied();
            let fits = |site: &CompiledLocation| match site.match_kind {
                MatchKind::Exact => site.pattern.as_bytes() == path,
                MatchKind::Prefix | MatchKind::PreferentialPrefix => {
                    path.starts_with(site.pattern.as_bytes())
                }
                MatchKind::Named => false,
                MatchKind::Regex | MatchKind::RegexCaseInsensitive => pattern::compile(
                    &site.pattern,
                    site.match_kind == MatchKind::RegexCaseInsensitive,
                )
                .is_ok_and(|regex| regex.is_match(path)),
            };
            let longest = here
                .iter()
                .filter(|(_, site)| {
                    !site.match_kind.is_regex() && site.match_kind != MatchKind::Exact && fits(site)
                })
                .max_by_key(|(_, site)| site.pattern.len());
            let by = chosen.map(|number| &self.locations[number as usize]);
            for (number, site) in &here {
                let why = if Some(*number as u32) == chosen {
                    match (site.match_kind, taken) {
                        (_, LocationMatch::AppendSlash(_)) if depth + 1 == way.len() => {
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
                    let name = by.map_or("", |site| &site.name);
                    match site.match_kind {
                        MatchKind::Named => "is reached by name only".to_owned(),
                        MatchKind::Exact => "is not the path".to_owned(),
                        MatchKind::Prefix | MatchKind::PreferentialPrefix if !fits(site) => {
                            "is no prefix of the path".to_owned()
                        }
                        MatchKind::Prefix | MatchKind::PreferentialPrefix
                            if longest.is_some_and(|(other, _)| other != number) =>
                        {
                            let other = longest.map_or("", |(_, site)| &site.name);
                            format!("a prefix, and {other} is longer")
                        }
                        MatchKind::Prefix | MatchKind::PreferentialPrefix => {
                            format!("the longest prefix, and {name} comes before it")
                        }
                        _ if by.is_some_and(|by| !by.match_kind.is_regex()) && fits(site) => {
                            format!("matches, and is not tried because of {name}")
                        }
                        _ if fits(site) => format!("matches, and {name} stands before it"),
                        _ => "does not match".to_owned(),
                    }
                };
                let mark = if Some(*number as u32) == chosen {
                    "*"
                } else {
                    "-"
                };
                say(said, || {
                    format!(
                        "  {}{mark} {} {}: {why}",
                        "  ".repeat(depth),
                        site.position,
                        site.name
                    )
                });
            }
            let Some(next) = chosen else { break };
            parent = Some(next);
        }
    }
}

impl Walk<'_> {
    fn capture(&mut self, regex: Option<&Regex>, groups: &regex::bytes::Captures<'_>) {
        let text =
            |found: regex::bytes::Match<'_>| String::from_utf8_lossy(found.as_bytes()).into_owned();
        self.groups = groups
            .iter()
            .map(|group| group.map(text).unwrap_or_default())
            .collect();
        for name in regex
            .into_iter()
            .flat_map(|regex| regex.capture_names().flatten())
        {
            let value = groups.name(name).map(text).unwrap_or_default();
            self.set.insert(name.to_owned(), value);
        }
    }

    fn given(&self, name: &str) -> String {
        let asked = self.asked;
        match name {
            "uri" | "document_uri" => String::from_utf8_lossy(&self.uri.path).into_owned(),
            "request_uri" => asked.request_target.to_owned(),
            "args" | "query_string" => self.uri.args.clone(),
            "is_args" => if self.uri.args.is_empty() { "" } else { "?" }.to_owned(),
            "host" => split_port(asked.host).0.to_lowercase(),
            "request_method" => asked.method.to_owned(),
            "remote_addr" | "binary_remote_addr" => asked.caller_address.to_owned(),
            "scheme" => "http".to_owned(),
            "server_port" => split_port(asked.listen_address.unwrap_or(asked.host))
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
                    let cookies = asked
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
                    return asked.host.to_owned();
                }
                let same = |name: &str| {
                    name.len() == wanted.len()
                        && name
                            .bytes()
                            .zip(wanted.bytes())
                            .all(|(a, b)| a.to_ascii_lowercase() == b || a == b'-' && b == b'_')
                };
                asked
                    .headers
                    .iter()
                    .find(|(name, _)| same(name))
                    .map(|(_, value)| value.clone())
                    .unwrap_or_default()
            }
        }
    }

    /// The path and arguments that go on.
    fn goes_on(&self, site: &CompiledLocation, uri: Option<(String, bool)>) -> String {
        let mut out = match uri {
            // One with variables is the whole of it.
            Some((uri, true)) => return uri,
            Some((uri, false)) if !self.stays => {
                let rest = self
                    .uri
                    .path
                    .strip_prefix(site.pattern.as_bytes())
                    .unwrap_or_default();
                uri + &uri::escape(rest)
            }
            None if !self.changed => {
                return self
                    .asked
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

fn say(said: &mut Option<Vec<String>>, what: impl FnOnce() -> String) {
    if let Some(said) = said {
        said.push(what());
    }
}

/// Host and port.
fn split_port(host: &str) -> (&str, Option<&str>) {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.contains(']') && !port.is_empty() => (name, Some(port)),
        _ => (host, None),
    }
}

/// The hash by which nginx splits clients; no other would give them the same parts.
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

    /// Values of the reference's own making, with the seed 0.
    #[test]
    fn the_split_hashes_as_murmur_does() {
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
