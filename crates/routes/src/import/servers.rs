//! Imports `server` and `location` blocks.

use super::directives::{known_directives, DirectiveSupport};
use super::{is_inherited, Importer, Inherited, SiblingLocations, LOCATION, SERVER};
use crate::diagnostic::{Severity, SourcePosition};
use crate::model::{
    BalancingMethod, Location, MatchKind, Pool, ProxyPass, RewriteFlag, RewriteStep, Server, Target,
};
use crate::pattern;
use crate::syntax::{Directive, Word};

impl Importer {
    pub(super) fn import_server(
        &mut self,
        directive: &Directive,
        block: &[Directive],
        outer: &Inherited,
    ) {
        if self.args(directive, 0, 0).is_none() {
            return;
        }
        let inherited = self.inherited_settings(block, SERVER, outer);
        let mut server = Server {
            position: directive.name.position.clone(),
            listen_addresses: Vec::new(),
            names: Vec::new(),
            merge_slashes: inherited.merge_slashes,
            steps: Vec::new(),
            locations: Vec::new(),
        };
        let mut siblings = SiblingLocations::default();
        for inner in block.iter().filter(|inner| !is_inherited(&inner.name.text)) {
            if !self.accepts(inner, SERVER) {
                continue;
            }
            match inner.name.text.as_str() {
                "listen" => self.import_listen(inner, &mut server),
                "server_name" => {
                    for word in self.args(inner, 1, 1_000).unwrap_or_default() {
                        self.import_server_name(word, &mut server);
                    }
                }
                "location" => self.import_location(inner, None, &inherited, &mut siblings),
                _ => server.steps.extend(self.parse_step(inner, false)),
            }
        }
        server.locations = siblings.locations;
        if server.listen_addresses.is_empty() {
            server.listen_addresses.push(("*:80".to_owned(), false));
        }
        if server.names.is_empty() {
            server.names.push(String::new());
        }
        for (listen, default) in &server.listen_addresses {
            if *default
                && self
                    .default_servers
                    .insert(listen.clone(), server.position.clone())
                    .is_some()
            {
                self.error(
                    &directive.name,
                    format!("{listen} already has a default server"),
                );
            }
            for name in &server.names {
                let entry = self.server_positions.entry((listen.clone(), name.clone()));
                if let std::collections::hash_map::Entry::Occupied(existing) = entry {
                    let existing = existing.get();
                    let message = format!(
                        "the name {name:?} on {listen} belongs to the server of {existing}; this one is never chosen by it"
                    );
                    self.tree
                        .report(&directive.name, Severity::Difference, message);
                } else {
                    entry.or_insert(server.position.clone());
                }
            }
        }
        self.routes.servers.push(server);
    }

    pub(super) fn import_listen(&mut self, directive: &Directive, server: &mut Server) {
        let Some((word, parameters)) = self.args(directive, 1, 20).and_then(<[_]>::split_first)
        else {
            return;
        };
        let text = word.text.as_str();
        if text.starts_with("unix:") {
            return self.reject(word, "callers come over TCP only");
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
        for word in parameters {
            match word.text.as_str() {
                "default_server" | "default" => default = true,
                "ssl" => self.warn(word, "listen ssl: TLS is ended elsewhere"),
                "http2" | "quic" => self.warn(word, "listen: callers speak AJP or frames here"),
                "proxy_protocol" => {
                    self.reject(word, "the address of a caller is that of its connection");
                }
                text if text == "reuseport"
                    || text == "deferred"
                    || text == "bind"
                    || text.contains('=') => {}
                parameter => self.error(word, format!("{parameter:?} is not understood")),
            }
        }
        if server
            .listen_addresses
            .iter()
            .any(|(existing, _)| *existing == address)
        {
            return self.error(word, format!("{address} is there already"));
        }
        server.listen_addresses.push((address, default));
    }

    pub(super) fn import_server_name(&mut self, word: &Word, server: &mut Server) {
        let name = word.text.as_str();
        if let Some(regex) = name.strip_prefix('~') {
            if let Err(message) = pattern::compile(regex, true) {
                self.reject(word, message);
            }
            return server.names.push(name.to_owned());
        }
        let name = name.to_lowercase();
        let fixed_part = name
            .strip_prefix("*.")
            .or_else(|| name.strip_suffix(".*"))
            .unwrap_or(&name);
        if fixed_part.contains('*') || fixed_part.contains('$') {
            return self.error(
                word,
                format!(
                    "{name:?}: an asterisk stands for whole labels, at the beginning or end only"
                ),
            );
        }
        // A name that begins with a dot matches itself and all names below it.
        match name.strip_prefix('.') {
            Some(rest) => server.names.extend([rest.to_owned(), format!("*.{rest}")]),
            None => server.names.push(name),
        }
    }

    pub(super) fn parse_step(
        &mut self,
        directive: &Directive,
        in_location: bool,
    ) -> Option<RewriteStep> {
        match directive.name.text.as_str() {
            "set" => {
                let [variable, value] = self.args(directive, 2, 2)? else {
                    return None;
                };
                self.check_template(value);
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
            "break" => self.args(directive, 0, 0).map(|_| RewriteStep::Break),
            "return" => {
                let words = self.args(directive, 1, 2)?;
                let first = &words[0];
                if let Some(text) = words.get(1) {
                    self.check_template(text);
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
                let words = self.args(directive, 2, 3)?;
                if let Err(message) = pattern::compile(&words[0].text, false) {
                    self.reject(&words[0], message);
                }
                self.check_template(&words[1]);
                let replacement = words[1].text.clone();
                let is_redirect = ["http://", "https://", "$scheme"]
                    .iter()
                    .any(|prefix| replacement.starts_with(prefix));
                let flag = match words.get(2).map(|word| word.text.as_str()) {
                    None if is_redirect => RewriteFlag::Redirect,
                    None => RewriteFlag::Next,
                    Some("last") => RewriteFlag::Last,
                    Some("break") => RewriteFlag::Break,
                    Some("redirect") => RewriteFlag::Redirect,
                    Some("permanent") => RewriteFlag::Permanent,
                    Some(_) => {
                        self.error(
                            &words[2],
                            format!("{:?} is not a flag of rewrite", words[2].text),
                        );
                        return None;
                    }
                };
                if flag == RewriteFlag::Break && !in_location {
                    // In a server, `break` keeps the new path and looks up the location by it, which is
                    // what `last` does.
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

    pub(super) fn import_location(
        &mut self,
        directive: &Directive,
        outer: Option<&Location>,
        inherited: &Inherited,
        siblings: &mut SiblingLocations,
    ) {
        let Some(words) = self.args(directive, 1, 2) else {
            return;
        };
        let Some((match_kind, pattern)) = self.parse_location_pattern(words) else {
            return;
        };
        let last_word = words.last().unwrap_or(&directive.name);
        if let Some(outer) = outer {
            if outer.match_kind == MatchKind::Exact {
                return self.error(last_word, "a location within an exact one is never reached");
            }
            if outer.match_kind == MatchKind::Named || match_kind == MatchKind::Named {
                return self.error(
                    last_word,
                    "named locations stand in a server only, with none within",
                );
            }
            if !match_kind.is_regex()
                && !outer.match_kind.is_regex()
                && !pattern.starts_with(&outer.pattern)
            {
                return self.error(
                    last_word,
                    format!(
                        "{pattern:?} is outside of {:?}, in which it stands",
                        outer.pattern
                    ),
                );
            }
        }
        if match_kind.is_regex() {
            if let Err(message) =
                pattern::compile(&pattern, match_kind == MatchKind::RegexCaseInsensitive)
            {
                self.reject(last_word, message);
            }
        }
        let duplicate_kind = match match_kind {
            MatchKind::PreferentialPrefix => MatchKind::Prefix,
            match_kind => match_kind,
        };
        if !match_kind.is_regex() {
            let position = directive.name.position.clone();
            if let Some(existing) = siblings
                .positions
                .insert((duplicate_kind.modifier(), pattern.clone()), position)
            {
                let message = format!(
                    "location {}{pattern} is there already, at {existing}",
                    match_kind.modifier()
                );
                self.error(last_word, message);
            }
        }
        let block = directive.block.as_deref().unwrap_or_default();
        let settings = self.inherited_settings(block, LOCATION, inherited);
        let mut location = Location {
            position: directive.name.position.clone(),
            match_kind,
            pattern,
            internal: false,
            steps: Vec::new(),
            proxy_pass: None,
            retry_policy: settings.retry_policy.clone(),
            limits: settings.limits.clone(),
            timeouts: settings.timeouts,
            nested: Vec::new(),
        };
        let mut nested_siblings = SiblingLocations::default();
        for inner in block.iter().filter(|inner| !is_inherited(&inner.name.text)) {
            if !self.accepts(inner, LOCATION) {
                continue;
            }
            match inner.name.text.as_str() {
                "internal" => location.internal = true,
                "proxy_pass" => {
                    if location.proxy_pass.is_some() {
                        self.error(&inner.name, "a second proxy_pass");
                    }
                    location.proxy_pass =
                        self.parse_proxy_pass(inner, &location, &directive.name.position);
                }
                "location" => {
                    let mut nested = std::mem::take(&mut nested_siblings);
                    self.import_location(inner, Some(&location), &settings, &mut nested);
                    nested_siblings = nested;
                }
                _ => location.steps.extend(self.parse_step(inner, true)),
            }
        }
        location.nested = nested_siblings.locations;
        // A request that no rewrite matches gets a 404 response, as from an nginx without the file.
        let responds = |step: &RewriteStep| match step {
            RewriteStep::Return { .. } => true,
            RewriteStep::Rewrite { flag, .. } => *flag != RewriteFlag::Break,
            _ => false,
        };
        let has_reported_error = block.iter().any(|inner| {
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
        if location.proxy_pass.is_none()
            && !location.steps.iter().any(responds)
            && !has_reported_error
        {
            self.reject(
                last_word,
                "nothing is passed on or returned here, and nginx would look for a file",
            );
        }
        siblings.locations.push(location);
    }

    pub(super) fn parse_location_pattern(&mut self, words: &[Word]) -> Option<(MatchKind, String)> {
        let (match_kind, word, pattern) = match words {
            [word] => {
                // The modifier may be written without a space.
                let modifiers = [
                    ("=", MatchKind::Exact),
                    ("^~", MatchKind::PreferentialPrefix),
                    ("~*", MatchKind::RegexCaseInsensitive),
                    ("~", MatchKind::Regex),
                    ("@", MatchKind::Named),
                ];
                let found = modifiers.iter().find_map(|(modifier, match_kind)| {
                    Some((*match_kind, word.text.strip_prefix(modifier)?))
                });
                let (match_kind, pattern) = found.unwrap_or((MatchKind::Prefix, &word.text));
                (match_kind, word, pattern.to_owned())
            }
            [modifier, word] => {
                let match_kind = match modifier.text.as_str() {
                    "=" => MatchKind::Exact,
                    "^~" => MatchKind::PreferentialPrefix,
                    "~" => MatchKind::Regex,
                    "~*" => MatchKind::RegexCaseInsensitive,
                    unknown => {
                        self.error(
                            modifier,
                            format!("{unknown:?} is no modifier of a location"),
                        );
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
            self.reject(
                word,
                format!(
                    "{pattern:?} does not begin with a slash, as all paths do: nothing reaches it"
                ),
            );
            return None;
        }
        Some((match_kind, pattern))
    }

    pub(super) fn parse_proxy_pass(
        &mut self,
        directive: &Directive,
        location: &Location,
        position: &SourcePosition,
    ) -> Option<ProxyPass> {
        let [word] = self.args(directive, 1, 1)? else {
            return None;
        };
        if word.text.starts_with("https://") {
            self.reject(word, "https: targets speak AJP or frames, without TLS");
            return None;
        }
        let Some(authority_and_uri) = word.text.strip_prefix("http://") else {
            self.error(word, format!("{:?} does not begin with http://", word.text));
            return None;
        };
        let (host, uri) = match authority_and_uri.find('/') {
            Some(slash) => (
                &authority_and_uri[..slash],
                Some(authority_and_uri[slash..].to_owned()),
            ),
            None => (authority_and_uri, None),
        };
        self.check_template(word);
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
                self.reject(word, "the host is one variable or none");
                return None;
            }
            return Some(ProxyPass {
                pool: host.to_owned(),
                uri,
            });
        }
        if host.starts_with("unix:") {
            self.reject(word, "targets are reached over TCP only");
            return None;
        }
        // Whether a name is that of a pool is known only after the whole file was read. An address
        // becomes a pool of its own.
        if host.contains([':', '.', '[']) && !self.routes.pools.contains_key(host) {
            let address = self.parse_address(word, host)?;
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
