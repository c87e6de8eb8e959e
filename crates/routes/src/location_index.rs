//! Which location takes a path: nginx's rules, over a trie of the plain locations and the regular expressions in order.
//! [`one_by_one`] is the same by a look at each location: what tests and measurements compare with.

use crate::model::{Location, MatchKind};
use crate::pattern;
use crate::trie::{Item, Trie};
use regex::bytes::{Regex, RegexSet, RegexSetBuilder};

/// From so many regular expressions on they are tried together.
const TOGETHER: usize = 4;

/// What takes a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocationMatch {
    /// This location, by its number in the order of the file.
    Found(u32),
    /// The path lacks the slash at its end that this location has: the caller is sent there.
    AppendSlash(u32),
    /// None.
    NotFound,
}

/// Locations of one block.
#[derive(Debug, Clone, Default)]
struct Level {
    trie: Trie,
    regexes: Vec<(Regex, u32)>,
    together: Option<RegexSet>,
}

/// What is known of a location to look it up.
#[derive(Debug, Clone)]
struct Known {
    is_final: bool,
    adds_slash: bool,
    within: Option<Box<Level>>,
    regex: Option<Regex>,
}

/// The locations of a server, ready to be looked up.
#[derive(Debug, Clone, Default)]
pub struct LocationIndex {
    top: Level,
    known: Vec<Known>,
}

fn adds_slash(location: &Location) -> bool {
    location.proxy_pass.is_some() && location.pattern.ends_with('/')
}

impl LocationIndex {
    /// Prepares locations. Each gets a number: those within a location follow it.
    ///
    /// # Errors
    /// A regular expression that can't be compiled.
    pub fn new(locations: &[Location]) -> Result<Self, String> {
        let mut locator = Self::default();
        locator.top = locator.level(locations)?;
        Ok(locator)
    }

    fn level(&mut self, locations: &[Location]) -> Result<Level, String> {
        let mut level = Level::default();
        let mut items: Vec<Item<'_>> = Vec::new();
        for location in locations {
            let number = self.known.len() as u32;
            let is_final = location.match_kind == MatchKind::PreferentialPrefix;
            self.known.push(Known {
                is_final,
                adds_slash: adds_slash(location),
                within: None,
                regex: None,
            });
            let pattern = location.pattern.as_bytes();
            match location.match_kind {
                MatchKind::Exact => items.push((pattern, Some(number), None)),
                MatchKind::Prefix | MatchKind::PreferentialPrefix => {
                    items.push((pattern, None, Some(number)))
                }
                MatchKind::Regex | MatchKind::RegexCaseInsensitive => {
                    let regex = pattern::compile(
                        &location.pattern,
                        location.match_kind == MatchKind::RegexCaseInsensitive,
                    )?;
                    self.known[number as usize].regex = Some(regex.clone());
                    level.regexes.push((regex, number));
                }
                MatchKind::Named => {}
            }
            if !location.nested.is_empty() {
                let within = self.level(&location.nested)?;
                self.known[number as usize].within = Some(Box::new(within));
            }
        }
        level.trie = Trie::new(items);
        if level.regexes.len() >= TOGETHER {
            let any = locations
                .iter()
                .filter(|one| one.match_kind.is_regex())
                .map(|one| match one.match_kind {
                    MatchKind::RegexCaseInsensitive => format!("(?i){}", one.pattern),
                    _ => one.pattern.clone(),
                });
            // A set that grows too large is left out: then they are tried in turn.
            level.together = RegexSetBuilder::new(any).unicode(false).build().ok();
        }
        Ok(level)
    }

    /// Finds the location that takes a normal path.
    #[must_use]
    pub fn find(&self, path: &[u8]) -> LocationMatch {
        match self.find_in(&self.top, path) {
            Inner::Settled(number) | Inner::Open(number) => LocationMatch::Found(number),
            Inner::AppendSlash(number) => LocationMatch::AppendSlash(number),
            Inner::NotFound => LocationMatch::NotFound,
        }
    }

    /// The regular expression of a location, whose groups a request's texts may name.
    #[must_use]
    pub fn regex(&self, number: u32) -> Option<&Regex> {
        self.known.get(number as usize)?.regex.as_ref()
    }

    fn within(&self, number: u32, path: &[u8]) -> Inner {
        self.known[number as usize]
            .within
            .as_ref()
            .map_or(Inner::NotFound, |level| self.find_in(level, path))
    }

    fn find_in(&self, level: &Level, path: &[u8]) -> Inner {
        let hit = level.trie.find(path);
        if let Some(number) = hit.exact {
            return Inner::Settled(number);
        }
        let slashed = hit
            .slashed
            .filter(|number| !hit.whole && self.known[*number as usize].adds_slash);
        if let Some(number) = slashed {
            return Inner::AppendSlash(number);
        }
        let mut found = Inner::NotFound;
        if let Some(number) = hit.prefix {
            found = match self.within(number, path) {
                settled @ (Inner::Settled(_) | Inner::AppendSlash(_)) => return settled,
                Inner::Open(inner) => Inner::Open(inner),
                Inner::NotFound => Inner::Open(number),
            };
            if self.known[number as usize].is_final {
                return found;
            }
        }
        let Some(number) = level.first_regex(path) else {
            return found;
        };
        match self.within(number, path) {
            Inner::Settled(inner) | Inner::Open(inner) => Inner::Settled(inner),
            Inner::AppendSlash(inner) => Inner::AppendSlash(inner),
            Inner::NotFound => Inner::Settled(number),
        }
    }
}

/// What one block says of a path.
#[derive(Clone, Copy)]
enum Inner {
    /// An exact location or a regular expression: nothing beside the block changes that.
    Settled(u32),
    /// A prefix: regular expressions beside the block come before it.
    Open(u32),
    AppendSlash(u32),
    NotFound,
}

impl Level {
    fn first_regex(&self, path: &[u8]) -> Option<u32> {
        match &self.together {
            Some(set) => set.matches(path).iter().next().map(|at| self.regexes[at].1),
            None => self
                .regexes
                .iter()
                .find(|(regex, _)| regex.is_match(path))
                .map(|(_, number)| *number),
        }
    }
}

/// The same by a look at each location, from the text of nginx's rules.
#[must_use]
pub fn one_by_one(locations: &[Location], path: &[u8]) -> LocationMatch {
    /// Numbers of locations in the order of the file.
    fn numbered(locations: &[Location], from: u32) -> Vec<(u32, &Location)> {
        let mut next = from;
        let mut out = Vec::new();
        for location in locations {
            out.push((next, location));
            next += 1 + size(&location.nested);
        }
        out
    }
    fn size(locations: &[Location]) -> u32 {
        locations.iter().map(|one| 1 + size(&one.nested)).sum()
    }
    /// The location, and whether regular expressions beside the block may still come before it.
    fn block(locations: &[Location], from: u32, path: &[u8]) -> Option<(LocationMatch, bool)> {
        let all = numbered(locations, from);
        let named = |match_kind: MatchKind, pattern: &[u8]| {
            all.iter()
                .find(|(_, one)| one.match_kind == match_kind && one.pattern.as_bytes() == pattern)
        };
        if let Some((number, _)) = named(MatchKind::Exact, path) {
            return Some((LocationMatch::Found(*number), false));
        }
        let whole = [MatchKind::Prefix, MatchKind::PreferentialPrefix]
            .into_iter()
            .any(|match_kind| named(match_kind, path).is_some());
        let slash = [path, b"/"].concat();
        let mut slashed = [
            MatchKind::Exact,
            MatchKind::Prefix,
            MatchKind::PreferentialPrefix,
        ]
        .into_iter()
        .filter_map(|match_kind| named(match_kind, &slash));
        if let Some((number, one)) = slashed.next().filter(|_| !whole) {
            if adds_slash(one) {
                return Some((LocationMatch::AppendSlash(*number), false));
            }
        }
        let plain = all.iter().filter(|(_, one)| {
            matches!(
                one.match_kind,
                MatchKind::Prefix | MatchKind::PreferentialPrefix
            )
        });
        let best = plain
            .filter(|(_, one)| path.starts_with(one.pattern.as_bytes()))
            .max_by_key(|(_, one)| one.pattern.len());
        let mut found = None;
        if let Some((number, one)) = best {
            found = block(&one.nested, number + 1, path)
                .or(Some((LocationMatch::Found(*number), true)));
            if one.match_kind == MatchKind::PreferentialPrefix
                || found.is_some_and(|(_, open)| !open)
            {
                return found;
            }
        }
        for (number, one) in all.iter().filter(|(_, one)| one.match_kind.is_regex()) {
            let regex = pattern::compile(
                &one.pattern,
                one.match_kind == MatchKind::RegexCaseInsensitive,
            );
            if regex.is_ok_and(|regex| regex.is_match(path)) {
                let inner = block(&one.nested, number + 1, path).map(|(taken, _)| taken);
                return Some((inner.unwrap_or(LocationMatch::Found(*number)), false));
            }
        }
        found
    }
    block(locations, 0, path).map_or(LocationMatch::NotFound, |(taken, _)| taken)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::diagnostic::SourcePosition;
    use crate::model::{ProxyPass, ProxyTimeouts, RetryPolicy};
    use proptest::prelude::*;

    fn location(
        match_kind: MatchKind,
        pattern: String,
        pass: bool,
        nested: Vec<Location>,
    ) -> Location {
        let pass = pass.then(|| ProxyPass {
            pool: "p".to_owned(),
            uri: None,
        });
        Location {
            position: SourcePosition {
                file: "t".into(),
                line: 1,
                column: 1,
            },
            match_kind,
            pattern,
            internal: false,
            steps: Vec::new(),
            proxy_pass: pass,
            retry_policy: RetryPolicy {
                on_error: true,
                on_timeout: true,
                on_statuses: Vec::new(),
                max_attempts: 0,
                timeout_ms: 0,
            },
            limits: Vec::new(),
            timeouts: ProxyTimeouts {
                connect_ms: 1,
                send_ms: 1,
                read_ms: 1,
            },
            nested,
        }
    }

    fn any_location(depth: u32) -> BoxedStrategy<Location> {
        let plain = (0..3_usize, "/[ab]{0,2}/?", any::<bool>());
        let regex = (
            any::<bool>(),
            prop::sample::select(vec!["^/a", "b$", "/", "A", "a.b", "^/b/?$", "x"]),
            any::<bool>(),
        );
        let nested = if depth == 0 {
            Just(Vec::new()).boxed()
        } else {
            siblings(depth - 1)
        };
        let either = prop_oneof![
            plain.prop_map(|(match_kind, path, pass)| (
                [
                    MatchKind::Exact,
                    MatchKind::Prefix,
                    MatchKind::PreferentialPrefix
                ][match_kind],
                path,
                pass
            )),
            regex.prop_map(|(any, text, pass)| (
                if any {
                    MatchKind::RegexCaseInsensitive
                } else {
                    MatchKind::Regex
                },
                text.to_owned(),
                pass
            )),
        ];
        (either, nested)
            .prop_map(|((match_kind, pattern, pass), nested)| {
                let nested = if match_kind == MatchKind::Exact {
                    Vec::new()
                } else {
                    nested
                };
                location(match_kind, pattern, pass, nested)
            })
            .boxed()
    }

    /// Locations of one block, without two of a kind for one path.
    fn siblings(depth: u32) -> BoxedStrategy<Vec<Location>> {
        prop::collection::vec(any_location(depth), 0..7)
            .prop_map(|mut all| {
                let mut seen = std::collections::HashSet::new();
                all.retain(|one| {
                    one.match_kind.is_regex()
                        || seen.insert((one.match_kind == MatchKind::Exact, one.pattern.clone()))
                });
                all
            })
            .boxed()
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..ProptestConfig::default() })]
        #[test]
        fn it_finds_what_a_look_at_each_location_finds(all in siblings(2), paths in prop::collection::vec("/[abAB/]{0,4}", 8)) {
            let locator = LocationIndex::new(&all).unwrap();
            for path in paths {
                prop_assert_eq!(locator.find(path.as_bytes()), one_by_one(&all, path.as_bytes()), "{}", path);
            }
        }
    }
}
