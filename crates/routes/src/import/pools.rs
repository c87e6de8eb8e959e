//! Upstream blocks, and variables that maps and splits make.

use super::values::share;
use super::{Reader, UPSTREAM};
use crate::model::{BalancingMethod, Pool, Target, Variable};
use crate::pattern;
use crate::syntax::{Directive, Word};
use std::collections::BTreeSet;

impl Reader {
    pub(super) fn upstream(&mut self, one: &Directive, block: &[Directive]) {
        let Some([name]) = self.args(one, 1, 1) else {
            return;
        };
        let mut pool = Pool {
            position: one.name.position.clone(),
            method: BalancingMethod::RoundRobin,
            keepalive: 0,
            targets: Vec::new(),
        };
        let mut backup = None;
        for inner in block {
            if inner.name.text == "server" {
                if let Some(target) = self.target(inner) {
                    if target.backup {
                        backup = backup.or(Some(inner));
                    }
                    pool.targets.push(target);
                }
                continue;
            }
            if !self.takes(inner, UPSTREAM) {
                continue;
            }
            if inner.name.text == "keepalive" {
                if let Some([word]) = self.args(inner, 1, 2).map(|args| &args[..1]) {
                    pool.keepalive = self.number(word).unwrap_or(0);
                }
                continue;
            }
            if pool.method != BalancingMethod::RoundRobin {
                self.error(&inner.name, "the pool has a way to choose already");
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
                    self.template(&words[0]);
                    let consistent = match words.get(1) {
                        Some(word) if word.text != "consistent" => {
                            self.error(word, format!("{:?} is not consistent", word.text));
                            continue;
                        }
                        other => other.is_some(),
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
                        _ => self.refuse(
                            &inner.name,
                            format!("random {} is not measured here", words.join(" ")),
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
        ) = (backup, &pool.method)
        {
            self.error(&inner.name, "this way to choose knows no backup");
        }
        if pool.targets.is_empty() {
            self.error(name, format!("upstream {:?} has no server", name.text));
        }
        if self.routes.pools.insert(name.text.clone(), pool).is_some() {
            self.error(name, format!("upstream {:?} is there already", name.text));
        }
    }

    pub(super) fn target(&mut self, one: &Directive) -> Option<Target> {
        if one.block.is_some() {
            self.error(&one.name, "a server of an upstream takes no block");
            return None;
        }
        let (address, rest) = self.args(one, 1, 20)?.split_first()?;
        let mut target = Target::new(
            one.name.position.clone(),
            self.address(address, &address.text)?,
        );
        for word in rest {
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
                    target.fail_timeout_ms = self.time(word, text).unwrap_or(10_000);
                }
                Some(("slow_start", text)) => {
                    target.slow_start_ms = self.time(word, text).unwrap_or(0);
                }
                _ if word.text == "resolve" => {
                    self.refuse(word, "resolve: names are not looked up again");
                }
                _ => self.refuse(word, format!("{:?} is not understood", word.text)),
            }
        }
        Some(target)
    }

    /// Host and port; 80 where none is named.
    pub(super) fn address(&mut self, word: &Word, text: &str) -> Option<String> {
        if text.starts_with("unix:") {
            self.refuse(word, "targets are reached over TCP only");
            return None;
        }
        let (host, port) = match text.rsplit_once(':') {
            Some((host, port)) if !host.is_empty() && !port.contains(']') => (host, Some(port)),
            _ => (text, None),
        };
        let port = port.map_or(Ok(80), str::parse::<u16>);
        let plain = |c: char| c.is_ascii_alphanumeric() || "-._".contains(c);
        let literal = host
            .strip_prefix('[')
            .and_then(|host| host.strip_suffix(']'));
        let good = match literal {
            Some(inner) => inner.parse::<std::net::Ipv6Addr>().is_ok(),
            None => !host.is_empty() && host.chars().all(plain),
        };
        match port {
            Ok(port @ 1..) if good => Some(format!("{host}:{port}")),
            _ => {
                self.error(word, format!("{text:?} is not a host and port"));
                None
            }
        }
    }

    pub(super) fn map(&mut self, one: &Directive, block: &[Directive]) {
        let Some([source, variable]) = self.args(one, 2, 2) else {
            return;
        };
        self.template(source);
        let (mut cases, mut default, mut hostnames) = (Vec::new(), String::new(), false);
        let mut seen = BTreeSet::new();
        for inner in block {
            let case = inner.name.text.clone();
            match (case.as_str(), &inner.args[..]) {
                ("hostnames", []) => hostnames = true,
                ("volatile", []) => {}
                ("default", [value]) => {
                    self.template(value);
                    default.clone_from(&value.text);
                }
                (_, [value]) => {
                    self.template(value);
                    if let Some(regex) = case.strip_prefix('~') {
                        let (regex, any_case) = regex
                            .strip_prefix('*')
                            .map_or((regex, false), |regex| (regex, true));
                        if let Err(what) = pattern::compile(regex, any_case) {
                            self.refuse(&inner.name, what);
                        }
                    }
                    if !seen.insert(case.to_lowercase()) {
                        self.error(&inner.name, format!("{case:?} is there already"));
                    }
                    cases.push((case, value.text.clone()));
                }
                _ => self.error(&inner.name, "a map has a value beside each case"),
            }
        }
        let map = Variable::Map {
            source: source.text.clone(),
            cases,
            default,
            hostnames,
        };
        self.variable(variable, map);
    }

    pub(super) fn split(&mut self, one: &Directive, block: &[Directive]) {
        let Some([key, variable]) = self.args(one, 2, 2) else {
            return;
        };
        self.template(key);
        let (mut parts, mut sum) = (Vec::new(), 0);
        for inner in block {
            let [value] = &inner.args[..] else {
                self.error(&inner.name, "a split has a value beside each share");
                continue;
            };
            let text = inner.name.text.as_str();
            let share = if text == "*" { Some(0) } else { share(text) };
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
        self.variable(
            variable,
            Variable::Split {
                key: key.text.clone(),
                parts,
            },
        );
    }

    pub(super) fn variable(&mut self, word: &Word, variable: Variable) {
        let Some(name) = word.text.strip_prefix('$').filter(|name| !name.is_empty()) else {
            return self.error(word, format!("{:?} is no variable", word.text));
        };
        self.made.insert(name.to_owned(), word.clone());
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
