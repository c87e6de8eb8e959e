//! Imports `upstream`, `map` and `split_clients` blocks.

use super::values::parse_share;
use super::{Importer, UPSTREAM};
use crate::model::{BalancingMethod, Pool, Target, Variable};
use crate::pattern;
use crate::syntax::{Directive, Word};
use std::collections::BTreeSet;

impl Importer {
    pub(super) fn import_upstream(&mut self, directive: &Directive, block: &[Directive]) {
        let Some([name]) = self.args(directive, 1, 1) else {
            return;
        };
        let mut pool = Pool {
            position: directive.name.position.clone(),
            method: BalancingMethod::RoundRobin,
            keepalive: 0,
            targets: Vec::new(),
        };
        let mut first_backup = None;
        for inner in block {
            if inner.name.text == "server" {
                if let Some(target) = self.parse_target(inner) {
                    if target.backup {
                        first_backup = first_backup.or(Some(inner));
                    }
                    pool.targets.push(target);
                }
                continue;
            }
            if !self.accepts(inner, UPSTREAM) {
                continue;
            }
            if inner.name.text == "keepalive" {
                if let Some([word]) = self.args(inner, 1, 2).map(|args| &args[..1]) {
                    pool.keepalive = self.parse_number(word).unwrap_or(0);
                }
                continue;
            }
            if pool.method != BalancingMethod::RoundRobin {
                self.error(&inner.name, "the pool already has a load balancing method");
            }
            match inner.name.text.as_str() {
                "least_conn" if self.args(inner, 0, 0).is_some() => {
                    pool.method = BalancingMethod::LeastConnections;
                }
                "ip_hash" if self.args(inner, 0, 0).is_some() => {
                    pool.method = BalancingMethod::AddressHash;
                }
                "hash" => {
                    let Some(words) = self.args(inner, 1, 2) else {
                        continue;
                    };
                    self.check_template(&words[0]);
                    let consistent = match words.get(1) {
                        Some(word) if word.text != "consistent" => {
                            self.error(
                                word,
                                format!("{:?} is not understood, only consistent is", word.text),
                            );
                            continue;
                        }
                        second => second.is_some(),
                    };
                    pool.method = BalancingMethod::Hash {
                        key: words[0].text.clone(),
                        consistent,
                    };
                }
                "random" => {
                    let words: Vec<_> = inner.args.iter().map(|word| word.text.as_str()).collect();
                    match words[..] {
                        [] => pool.method = BalancingMethod::Random,
                        ["two"] | ["two", "least_conn"] => pool.method = BalancingMethod::RandomTwo,
                        _ => self.reject(
                            &inner.name,
                            format!("random {} is not supported", words.join(" ")),
                        ),
                    }
                }
                _ => {}
            }
        }
        if let (
            Some(inner),
            BalancingMethod::Hash { .. }
            | BalancingMethod::AddressHash
            | BalancingMethod::Random
            | BalancingMethod::RandomTwo,
        ) = (first_backup, &pool.method)
        {
            self.error(&inner.name, "this load balancing method supports no backup");
        }
        if pool.targets.is_empty() {
            self.error(name, format!("upstream {:?} has no server", name.text));
        }
        if self.routes.pools.insert(name.text.clone(), pool).is_some() {
            self.error(name, format!("upstream {:?} is there already", name.text));
        }
    }

    pub(super) fn parse_target(&mut self, directive: &Directive) -> Option<Target> {
        if directive.block.is_some() {
            self.error(&directive.name, "a server of an upstream takes no block");
            return None;
        }
        let (address, parameters) = self.args(directive, 1, 20)?.split_first()?;
        let mut target = Target::new(
            directive.name.position.clone(),
            self.parse_address(address, &address.text)?,
        );
        for word in parameters {
            match word.text.split_once('=') {
                None if word.text == "backup" => target.backup = true,
                None if word.text == "down" => target.down = true,
                Some(("weight", text)) => match text.parse() {
                    Ok(weight @ 1..=65_535) => target.weight = weight,
                    _ => self.error(
                        word,
                        format!("weight {text:?} is not a whole number from 1 to 65535"),
                    ),
                },
                Some((key @ ("max_fails" | "max_conns"), text)) => match text.parse() {
                    Ok(count) if key == "max_fails" => target.max_fails = count,
                    Ok(count) => target.max_connections = count,
                    Err(_) => self.error(word, format!("{key} {text:?} is not a whole number")),
                },
                Some(("fail_timeout", text)) => {
                    target.fail_timeout_ms = self.parse_time(word, text).unwrap_or(10_000);
                }
                Some(("slow_start", text)) => {
                    target.slow_start_ms = self.parse_time(word, text).unwrap_or(0);
                }
                _ if word.text == "resolve" => {
                    self.reject(word, "resolve: names are not looked up again");
                }
                _ => self.reject(word, format!("{:?} is not understood", word.text)),
            }
        }
        Some(target)
    }

    /// Parses a host and port; the default port is 80.
    pub(super) fn parse_address(&mut self, word: &Word, text: &str) -> Option<String> {
        if text.starts_with("unix:") {
            self.reject(word, "targets are reached over TCP only");
            return None;
        }
        let (host, port) = match text.rsplit_once(':') {
            Some((host, port)) if !host.is_empty() && !port.contains(']') => (host, Some(port)),
            _ => (text, None),
        };
        let port = port.map_or(Ok(80), str::parse::<u16>);
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-._".contains(c);
        let ipv6_literal = host
            .strip_prefix('[')
            .and_then(|host| host.strip_suffix(']'));
        let is_valid = match ipv6_literal {
            Some(inner) => inner.parse::<std::net::Ipv6Addr>().is_ok(),
            None => !host.is_empty() && host.chars().all(is_plain),
        };
        match port {
            Ok(port @ 1..) if is_valid => Some(format!("{host}:{port}")),
            _ => {
                self.error(word, format!("{text:?} is not a host and port"));
                None
            }
        }
    }

    pub(super) fn import_map(&mut self, directive: &Directive, block: &[Directive]) {
        let Some([source, variable]) = self.args(directive, 2, 2) else {
            return;
        };
        self.check_template(source);
        let (mut cases, mut default, mut hostnames) = (Vec::new(), String::new(), false);
        let mut seen = BTreeSet::new();
        for inner in block {
            let case = inner.name.text.clone();
            match (case.as_str(), &inner.args[..]) {
                ("hostnames", []) => hostnames = true,
                ("volatile", []) => {}
                ("default", [value]) => {
                    self.check_template(value);
                    default.clone_from(&value.text);
                }
                (_, [value]) => {
                    self.check_template(value);
                    if let Some(regex) = case.strip_prefix('~') {
                        let (regex, case_insensitive) = regex
                            .strip_prefix('*')
                            .map_or((regex, false), |regex| (regex, true));
                        if let Err(message) = pattern::compile(regex, case_insensitive) {
                            self.reject(&inner.name, message);
                        }
                    }
                    if !seen.insert(case.to_lowercase()) {
                        self.error(&inner.name, format!("{case:?} is there already"));
                    }
                    cases.push((case, value.text.clone()));
                }
                _ => self.error(&inner.name, "each case of a map takes one value"),
            }
        }
        let map = Variable::Map {
            source: source.text.clone(),
            cases,
            default,
            hostnames,
        };
        self.define_variable(variable, map);
    }

    pub(super) fn import_split_clients(&mut self, directive: &Directive, block: &[Directive]) {
        let Some([key, variable]) = self.args(directive, 2, 2) else {
            return;
        };
        self.check_template(key);
        let (mut parts, mut sum) = (Vec::new(), 0);
        for inner in block {
            let [value] = &inner.args[..] else {
                self.error(&inner.name, "each share of split_clients takes one value");
                continue;
            };
            let text = inner.name.text.as_str();
            let share = if text == "*" {
                Some(0)
            } else {
                parse_share(text)
            };
            let Some(share) = share else {
                self.error(
                    &inner.name,
                    format!("{text:?} is not a share such as 12.5% or *"),
                );
                continue;
            };
            sum += share;
            if sum > 10_000 {
                self.error(&inner.name, "the shares come to more than 100%");
            }
            parts.push((share, value.text.clone()));
        }
        self.define_variable(
            variable,
            Variable::Split {
                key: key.text.clone(),
                parts,
            },
        );
    }

    pub(super) fn define_variable(&mut self, word: &Word, variable: Variable) {
        let Some(name) = word.text.strip_prefix('$').filter(|name| !name.is_empty()) else {
            return self.error(word, format!("{:?} is no variable", word.text));
        };
        self.variable_definitions
            .insert(name.to_owned(), word.clone());
        if self
            .routes
            .variables
            .insert(name.to_owned(), variable)
            .is_some()
        {
            self.error(word, format!("{:?} is there already", word.text));
        }
    }
}
