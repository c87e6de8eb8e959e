//! Servers and locations.

use super::directives::{known_directives, DirectiveSupport};
use super::{is_inherited, Inherited, Reader, Siblings, LOCATION, SERVER};
use crate::diagnostic::{Severity, SourcePosition};
use crate::model::{
    BalancingMethod, Location, MatchKind, Pool, ProxyPass, RewriteFlag, RewriteStep, Server, Target,
};
use crate::pattern;
use crate::syntax::{Directive, Word};

impl Reader {
    pub(super) fn server(&mut self, one: &Directive, block: &[Directive], above: &Inherited) {
        if self.args(one, 0, 0).is_none() {
            return;
        }
        let inherited = self.inherit(block, SERVER, above);
        let mut server = Server {
            position: one.name.position.clone(),
            listen_addresses: Vec::new(),
            names: Vec::new(),
            merge_slashes: inherited.merge_slashes,
            steps: Vec::new(),
            locations: Vec::new(),
        };
        let mut siblings = Siblings::default();
        for inner in block.iter().filter(|inner| !is_inherited(&inner.name.text)) {
            if !self.takes(inner, SERVER) {
                continue;
            }
            match inner.name.text.as_str() {
                "listen" => self.listen(inner, &mut server),
                "server_name" => {
                    for word in self.args(inner, 1, 1_000).unwrap_or_default() {
                        self.server_name(word, &mut server);
                    }
                }
                "location" => self.location(inner, None, &inherited, &mut siblings),
                _ => server.steps.extend(self.step(inner, false)),
            }
        }
        server.locations = siblings.all;
        if server.listen_addresses.is_empty() {
            server.listen_addresses.push(("*:80".to_owned(), false));
        }
        if server.names.is_empty() {
            server.names.push(String::new());
        }
        for (listen, default) in &server.listen_addresses {
            if *default
                && self
                    .defaults
                    .insert(listen.clone(), server.position.clone())
                    .is_some()
            {
                self.error(&one.name, format!("{listen} has a default server already"));
            }
            for name in &server.names {
                let known = self.names.entry((listen.clone(), name.clone()));
                if let std::collections::hash_map::Entry::Occupied(other) = known {
                    let other = other.get();
                    let what = format!(
                        "the name {name:?} on {listen} belongs to the server of {other}; this one is never chosen by it"
                    );
                    self.tree.note(&one.name, Severity::Difference, what);
                } else {
                    known.or_insert(server.position.clone());
                }
            }
        }
        self.routes.servers.push(server);
    }

    pub(super) fn listen(&mut self, one: &Directive, server: &mut Server) {
        let Some((word, rest)) = self.args(one, 1, 20).and_then(<[_]>::split_first) else {
            return;
        };
        let text = word.text.as_str();
        if text.starts_with("unix:") {
            return self.refuse(word, "callers come over TCP only");
        }
        let address = match text.rsplit_once(':') {
            _ if text.parse::<u16>().is_ok() => Some(format!("*:{text}")),
            Some((host, port)) if !port.contains(']') => port
                .parse::<u16>()
                .ok()
                .filter(|_| !host.is_empty())
                .map(|port| format!("{host}:{port}")),
            _ => Some(format!("{text}:80")),
        };
        let Some(address) = address else {
            return self.error(word, format!("{text:?} is not an address, a port or both"));
        };
        let mut default = false;
        for word in rest {
            match word.text.as_str() {
                "default_server" | "default" => default = true,
                "ssl" => self.differs(word, "listen ssl: TLS is ended elsewhere"),
                "http2" | "quic" => self.differs(word, "listen: callers speak AJP or frames here"),
                "proxy_protocol" => {
                    self.refuse(word, "the address of a caller is its connection's");
                }
                text if text == "reuseport"
                    || text == "deferred"
                    || text == "bind"
                    || text.contains('=') => {}
                other => self.error(word, format!("{other:?} is not understood")),
            }
        }
        if server
            .listen_addresses
            .iter()
            .any(|(other, _)| *other == address)
        {
            return self.error(word, format!("{address} is there already"));
        }
        server.listen_addresses.push((address, default));
    }

    pub(super) fn server_name(&mut self, word: &Word, server: &mut Server) {
        let name = word.text.as_str();
        if let Some(regex) = name.strip_prefix('~') {
            if let Err(what) = pattern::compile(regex, true) {
                self.refuse(word, what);
            }
            return server.names.push(name.to_owned());
        }
        let name = name.to_lowercase();
        let inner = name
            .strip_prefix("*.")
            .or_else(|| name.strip_suffix(".*"))
            .unwrap_or(&name);
        if inner.contains('*') || inner.contains('$') {
            return self.error(
                word,
                format!("{name:?}: a star stands for whole labels at the begin or end only"),
            );
        }
        // A name that begins with a dot means itself and all below it.
        match name.strip_prefix('.') {
            Some(rest) => server.names.extend([rest.to_owned(), format!("*.{rest}")]),
            None => server.names.push(name),
        }
    }

    pub(super) fn step(&mut self, one: &Directive, in_location: bool) -> Option<RewriteStep> {
        match one.name.text.as_str() {
            "set" => {
                let [variable, value] = self.args(one, 2, 2)? else {
                    return None;
                };
                self.template(value);
                let Some(name) = variable
                    .text
                    .strip_prefix('$')
                    .filter(|name| !name.is_empty())
                else {
                    self.error(variable, format!("{:?} is no variable", variable.text));
                    return None;
                };
                if crate::template::is_request_variable(name) {
                    self.error(variable, format!("{:?} can't be set", variable.text));
                }
                Some(RewriteStep::Set {
                    variable: name.to_owned(),
                    value: value.text.clone(),
                })
            }
            "break" => self.args(one, 0, 0).map(|_| RewriteStep::Break),
            "return" => {
                let words = self.args(one, 1, 2)?;
                let first = &words[0];
                if let Some(text) = words.get(1) {
                    self.template(text);
                }
                match first.text.parse::<u16>() {
                    Ok(code @ 100..=999) => Some(RewriteStep::Return {
                        code,
                        text: words.get(1).map(|word| word.text.clone()),
                    }),
                    _ if first.text.starts_with("http://")
                        || first.text.starts_with("https://")
                        || first.text.starts_with('$') =>
                    {
                        Some(RewriteStep::Return {
                            code: 302,
                            text: Some(first.text.clone()),
                        })
                    }
                    _ => {
                        self.error(
                            first,
                            format!("{:?} is neither a status nor an address", first.text),
                        );
                        None
                    }
                }
            }
            "rewrite" => {
                let words = self.args(one, 2, 3)?;
                if let Err(what) = pattern::compile(&words[0].text, false) {
                    self.refuse(&words[0], what);
                }
                self.template(&words[1]);
                let replacement = words[1].text.clone();
                let away = ["http://", "https://", "$scheme"]
                    .iter()
                    .any(|start| replacement.starts_with(start));
                let flag = match words.get(2).map(|word| word.text.as_str()) {
                    None if away => RewriteFlag::Redirect,
                    None => RewriteFlag::Next,
                    Some("last") => RewriteFlag::Last,
                    Some("break") => RewriteFlag::Break,
                    Some("redirect") => RewriteFlag::Redirect,
                    Some("permanent") => RewriteFlag::Permanent,
                    Some(_) => {
                        self.error(
                            &words[2],
                            format!("{:?} is no flag of a rewrite", words[2].text),
                        );
                        return None;
                    }
                };
                if flag == RewriteFlag::Break && !in_location {
                    // The path stays replaced, and a location is looked up by it: the same as the next step.
                    return Some(RewriteStep::Rewrite {
                        regex: words[0].text.clone(),
                        replacement,
                        flag: RewriteFlag::Last,
                    });
                }
                Some(RewriteStep::Rewrite {
                    regex: words[0].text.clone(),
                    replacement,
                    flag,
                })
            }
            _ => None,
        }
    }

    pub(super) fn location(
        &mut self,
        one: &Directive,
        above: Option<&Location>,
        inherited: &Inherited,
        into: &mut Siblings,
    ) {
        let Some(words) = self.args(one, 1, 2) else {
            return;
        };
        let Some((match_kind, pattern)) = self.matcher(words) else {
            return;
        };
        let at = words.last().unwrap_or(&one.name);
        if let Some(above) = above {
            if above.match_kind == MatchKind::Exact {
                return self.error(at, "a location within an exact one is never reached");
            }
            if above.match_kind == MatchKind::Named || match_kind == MatchKind::Named {
                return self.error(
                    at,
                    "named locations stand in a server only, with none within",
                );
            }
            if !match_kind.is_regex()
                && !above.match_kind.is_regex()
                && !pattern.starts_with(&above.pattern)
            {
                return self.error(
                    at,
                    format!(
                        "{pattern:?} is outside of {:?}, in which it stands",
                        above.pattern
                    ),
                );
            }
        }
        if match_kind.is_regex() {
            if let Err(what) =
                pattern::compile(&pattern, match_kind == MatchKind::RegexCaseInsensitive)
            {
                self.refuse(at, what);
            }
        }
        let kind = match match_kind {
            MatchKind::PreferentialPrefix => MatchKind::Prefix,
            match_kind => match_kind,
        };
        if !match_kind.is_regex() {
            let position = one.name.position.clone();
            if let Some(other) = into
                .seen
                .insert((kind.modifier(), pattern.clone()), position)
            {
                let what = format!(
                    "location {}{pattern} is there already, at {other}",
                    match_kind.modifier()
                );
                self.error(at, what);
            }
        }
        let block = one.block.as_deref().unwrap_or_default();
        let here = self.inherit(block, LOCATION, inherited);
        let mut location = Location {
            position: one.name.position.clone(),
            match_kind,
            pattern,
            internal: false,
            steps: Vec::new(),
            proxy_pass: None,
            retry_policy: here.retry_policy.clone(),
            limits: here.limits.clone(),
            timeouts: here.timeouts,
            nested: Vec::new(),
        };
        let mut siblings = Siblings::default();
        for inner in block.iter().filter(|inner| !is_inherited(&inner.name.text)) {
            if !self.takes(inner, LOCATION) {
                continue;
            }
            match inner.name.text.as_str() {
                "internal" => location.internal = true,
                "proxy_pass" => {
                    if location.proxy_pass.is_some() {
                        self.error(&inner.name, "a second proxy_pass");
                    }
                    location.proxy_pass = self.pass(inner, &location, &one.name.position);
                }
                "location" => {
                    let mut nested = std::mem::take(&mut siblings);
                    self.location(inner, Some(&location), &here, &mut nested);
                    siblings = nested;
                }
                _ => location.steps.extend(self.step(inner, true)),
            }
        }
        location.nested = siblings.all;
        // What a rewrite does not match is answered 404, as by an nginx without the file.
        let answers = |step: &RewriteStep| match step {
            RewriteStep::Return { .. } => true,
            RewriteStep::Rewrite { flag, .. } => *flag != RewriteFlag::Break,
            _ => false,
        };
        let refused = block.iter().any(|inner| {
            !matches!(
                known_directives()
                    .iter()
                    .find(|(name, ..)| *name == inner.name.text),
                Some((
                    ..,
                    DirectiveSupport::Full
                        | DirectiveSupport::Ignored
                        | DirectiveSupport::Partial(_)
                ))
            ) || inner.name.text == "proxy_pass"
        });
        if location.proxy_pass.is_none() && !location.steps.iter().any(answers) && !refused {
            self.refuse(
                at,
                "nothing is passed on or returned here, and nginx would look for a file",
            );
        }
        into.all.push(location);
    }

    pub(super) fn matcher(&mut self, words: &[Word]) -> Option<(MatchKind, String)> {
        let (match_kind, word, pattern) = match words {
            [word] => {
                // The sign may stand without a space.
                let signs = [
                    ("=", MatchKind::Exact),
                    ("^~", MatchKind::PreferentialPrefix),
                    ("~*", MatchKind::RegexCaseInsensitive),
                    ("~", MatchKind::Regex),
                    ("@", MatchKind::Named),
                ];
                let found = signs.iter().find_map(|(sign, match_kind)| {
                    Some((*match_kind, word.text.strip_prefix(sign)?))
                });
                let (match_kind, pattern) = found.unwrap_or((MatchKind::Prefix, &word.text));
                (match_kind, word, pattern.to_owned())
            }
            [sign, word] => {
                let match_kind = match sign.text.as_str() {
                    "=" => MatchKind::Exact,
                    "^~" => MatchKind::PreferentialPrefix,
                    "~" => MatchKind::Regex,
                    "~*" => MatchKind::RegexCaseInsensitive,
                    other => {
                        self.error(sign, format!("{other:?} is no modifier of a location"));
                        return None;
                    }
                };
                (match_kind, word, word.text.clone())
            }
            _ => return None,
        };
        if matches!(
            match_kind,
            MatchKind::Exact | MatchKind::Prefix | MatchKind::PreferentialPrefix
        ) && !pattern.starts_with('/')
        {
            self.refuse(
                word,
                format!(
                    "{pattern:?} does not begin with a slash, as all paths do: nothing reaches it"
                ),
            );
            return None;
        }
        Some((match_kind, pattern))
    }

    pub(super) fn pass(
        &mut self,
        one: &Directive,
        location: &Location,
        position: &SourcePosition,
    ) -> Option<ProxyPass> {
        let [word] = self.args(one, 1, 1)? else {
            return None;
        };
        if word.text.starts_with("https://") {
            self.refuse(word, "https: targets speak AJP or frames, without TLS");
            return None;
        }
        let Some(rest) = word.text.strip_prefix("http://") else {
            self.error(word, format!("{:?} does not begin with http://", word.text));
            return None;
        };
        let (host, uri) = match rest.find('/') {
            Some(at) => (&rest[..at], Some(rest[at..].to_owned())),
            None => (rest, None),
        };
        self.template(word);
        if uri.is_some()
            && (location.match_kind.is_regex() || location.match_kind == MatchKind::Named)
            && !word.text.contains('$')
        {
            self.error(
                word,
                "proxy_pass with a URI is not allowed in a location given by a regular expression or a name",
            );
            return None;
        }
        if host.contains('$') {
            if !host.starts_with('$')
                || host[1..].contains(|c: char| !c.is_ascii_alphanumeric() && c != '_')
            {
                self.refuse(word, "the host is one variable or none");
                return None;
            }
            return Some(ProxyPass {
                pool: host.to_owned(),
                uri,
            });
        }
        if host.starts_with("unix:") {
            self.refuse(word, "targets are reached over TCP only");
            return None;
        }
        // Whether it names a pool is known once all of the file was read; an address is one of its own.
        if host.contains([':', '.', '[']) && !self.routes.pools.contains_key(host) {
            let address = self.address(word, host)?;
            let target = Target {
                max_fails: 0,
                ..Target::new(position.clone(), address.clone())
            };
            let pool = Pool {
                position: position.clone(),
                method: BalancingMethod::RoundRobin,
                keepalive: 0,
                targets: vec![target],
            };
            self.routes.pools.entry(address.clone()).or_insert(pool);
            return Some(ProxyPass { pool: address, uri });
        }
        Some(ProxyPass {
            pool: host.to_owned(),
            uri,
        })
    }
}
