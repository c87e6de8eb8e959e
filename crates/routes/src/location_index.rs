//! Finds the location for a path by nginx's rules, with a trie of the exact and prefix locations,
//! and the regular expressions in the order of the file. [`find_linear`] does the same by checking
//! every location; tests and measurements compare with it.

use crate::model::{Location, MatchKind};
use crate::pattern;
use crate::trie::{Trie, TrieItem};
use regex::bytes::{Regex, RegexSet, RegexSetBuilder};

/// Number of regular expressions in a block from which they are matched as one set.
const MIN_REGEXES_FOR_SET: usize = 4;

/// Result of looking up a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocationMatch {
    /// The location with this number takes the path. Numbers follow the order of the file.
    Found(u32),
    /// The path lacks the trailing slash of the location with this number: the caller is redirected
    /// to the path with the slash.
    AppendSlash(u32),
    /// No location takes the path.
    NotFound,
}

/// Lookup structures for the locations of one block.
#[derive(Debug, Clone, Default)]
struct BlockIndex {
    trie: Trie,
    regexes: Vec<(Regex, u32)>,
    regex_set: Option<RegexSet>,
}

/// Properties of a location that a lookup needs.
#[derive(Debug, Clone)]
struct IndexedLocation {
    excludes_regexes: bool,
    adds_slash: bool,
    nested: Option<Box<BlockIndex>>,
    regex: Option<Regex>,
}

/// The locations of a server, prepared for lookups.
#[derive(Debug, Clone, Default)]
pub struct LocationIndex {
    top_level: BlockIndex,
    locations: Vec<IndexedLocation>,
}

fn adds_slash(location: &Location) -> bool {
    location.proxy_pass.is_some() && location.pattern.ends_with('/')
}

impl LocationIndex {
    /// Prepares the locations of a server and numbers them; nested locations follow the one around
    /// them.
    ///
    /// # Errors
    /// A regular expression that can't be compiled.
    pub fn new(locations: &[Location]) -> Result<Self, String> {
        let mut index = Self::default();
        index.top_level = index.build_block(locations)?;
        Ok(index)
    }

    fn build_block(&mut self, locations: &[Location]) -> Result<BlockIndex, String> {
        let mut block_index = BlockIndex::default();
        let mut items: Vec<TrieItem<'_>> = Vec::new();
        for location in locations {
            let number = self.locations.len() as u32;
            let excludes_regexes = location.match_kind == MatchKind::PreferentialPrefix;
            self.locations.push(IndexedLocation {
                excludes_regexes,
                adds_slash: adds_slash(location),
                nested: None,
                regex: None,
            });
            let pattern = location.pattern.as_bytes();
            match location.match_kind {
                MatchKind::Exact => items.push((pattern, Some(number), None)),
                MatchKind::Prefix | MatchKind::PreferentialPrefix => {
                    items.push((pattern, None, Some(number)));
                }
                MatchKind::Regex | MatchKind::RegexCaseInsensitive => {
                    let regex = pattern::compile(
                        &location.pattern,
                        location.match_kind == MatchKind::RegexCaseInsensitive,
                    )?;
                    self.locations[number as usize].regex = Some(regex.clone());
                    block_index.regexes.push((regex, number));
                }
                MatchKind::Named => {}
            }
            if !location.nested.is_empty() {
                let nested = self.build_block(&location.nested)?;
                self.locations[number as usize].nested = Some(Box::new(nested));
            }
        }
        block_index.trie = Trie::new(items);
        if block_index.regexes.len() >= MIN_REGEXES_FOR_SET {
            let patterns = locations
                .iter()
                .filter(|location| location.match_kind.is_regex())
                .map(|location| match location.match_kind {
                    MatchKind::RegexCaseInsensitive => format!("(?i){}", location.pattern),
                    _ => location.pattern.clone(),
                });
            // Building a set that would be too large fails; the expressions are then matched one by
            // one.
            block_index.regex_set = RegexSetBuilder::new(patterns).unicode(false).build().ok();
        }
        Ok(block_index)
    }

    /// Finds the location that takes a normalized path.
    #[must_use]
    pub fn find(&self, path: &[u8]) -> LocationMatch {
        match self.find_in_block(&self.top_level, path) {
            BlockMatch::Final(number) | BlockMatch::Overridable(number) => {
                LocationMatch::Found(number)
            }
            BlockMatch::AppendSlash(number) => LocationMatch::AppendSlash(number),
            BlockMatch::NotFound => LocationMatch::NotFound,
        }
    }

    /// Returns the regular expression of a location; texts of the location may refer to its capture
    /// groups.
    #[must_use]
    pub fn regex(&self, number: u32) -> Option<&Regex> {
        self.locations.get(number as usize)?.regex.as_ref()
    }

    fn find_nested(&self, number: u32, path: &[u8]) -> BlockMatch {
        self.locations[number as usize]
            .nested
            .as_ref()
            .map_or(BlockMatch::NotFound, |block_index| {
                self.find_in_block(block_index, path)
            })
    }

    fn find_in_block(&self, block_index: &BlockIndex, path: &[u8]) -> BlockMatch {
        let trie_match = block_index.trie.find(path);
        if let Some(number) = trie_match.exact {
            return BlockMatch::Final(number);
        }
        let with_slash = trie_match.with_slash.filter(|number| {
            !trie_match.prefix_is_whole_path && self.locations[*number as usize].adds_slash
        });
        if let Some(number) = with_slash {
            return BlockMatch::AppendSlash(number);
        }
        let mut found = BlockMatch::NotFound;
        if let Some(number) = trie_match.prefix {
            found = match self.find_nested(number, path) {
                final_match @ (BlockMatch::Final(_) | BlockMatch::AppendSlash(_)) => {
                    return final_match
                }
                BlockMatch::Overridable(inner) => BlockMatch::Overridable(inner),
                BlockMatch::NotFound => BlockMatch::Overridable(number),
            };
            if self.locations[number as usize].excludes_regexes {
                return found;
            }
        }
        let Some(number) = block_index.first_regex(path) else {
            return found;
        };
        match self.find_nested(number, path) {
            BlockMatch::Final(inner) | BlockMatch::Overridable(inner) => BlockMatch::Final(inner),
            BlockMatch::AppendSlash(inner) => BlockMatch::AppendSlash(inner),
            BlockMatch::NotFound => BlockMatch::Final(number),
        }
    }
}

/// Result of looking up a path in one block.
#[derive(Clone, Copy)]
enum BlockMatch {
    /// An exact location or a regular expression takes the path; the enclosing block can't override
    /// it.
    Final(u32),
    /// A prefix location takes the path; regular expressions of the enclosing block take precedence.
    Overridable(u32),
    AppendSlash(u32),
    NotFound,
}

impl BlockIndex {
    fn first_regex(&self, path: &[u8]) -> Option<u32> {
        match &self.regex_set {
            Some(set) => set
                .matches(path)
                .iter()
                .next()
                .map(|position| self.regexes[position].1),
            None => self
                .regexes
                .iter()
                .find(|(regex, _)| regex.is_match(path))
                .map(|(_, number)| *number),
        }
    }
}

/// Finds the location for a path by checking every location, following nginx's documentation
/// literally.
#[must_use]
pub fn find_linear(locations: &[Location], path: &[u8]) -> LocationMatch {
    /// Pairs the locations of a block with their numbers.
    fn number_locations(locations: &[Location], first_number: u32) -> Vec<(u32, &Location)> {
        let mut next_number = first_number;
        let mut out = Vec::new();
        for location in locations {
            out.push((next_number, location));
            next_number += 1 + subtree_size(&location.nested);
        }
        out
    }
    fn subtree_size(locations: &[Location]) -> u32 {
        locations
            .iter()
            .map(|location| 1 + subtree_size(&location.nested))
            .sum()
    }
    /// Returns the match, and whether regular expressions of the enclosing block take precedence.
    fn find_in_block(
        locations: &[Location],
        first_number: u32,
        path: &[u8],
    ) -> Option<(LocationMatch, bool)> {
        let numbered_locations = number_locations(locations, first_number);
        let find_plain = |match_kind: MatchKind, pattern: &[u8]| {
            numbered_locations.iter().find(|(_, location)| {
                location.match_kind == match_kind && location.pattern.as_bytes() == pattern
            })
        };
        if let Some((number, _)) = find_plain(MatchKind::Exact, path) {
            return Some((LocationMatch::Found(*number), false));
        }
        let has_whole_path = [MatchKind::Prefix, MatchKind::PreferentialPrefix]
            .into_iter()
            .any(|match_kind| find_plain(match_kind, path).is_some());
        let path_with_slash = [path, b"/"].concat();
        let mut with_slash = [
            MatchKind::Exact,
            MatchKind::Prefix,
            MatchKind::PreferentialPrefix,
        ]
        .into_iter()
        .filter_map(|match_kind| find_plain(match_kind, &path_with_slash));
        if let Some((number, location)) = with_slash.next().filter(|_| !has_whole_path) {
            if adds_slash(location) {
                return Some((LocationMatch::AppendSlash(*number), false));
            }
        }
        let prefixes = numbered_locations.iter().filter(|(_, location)| {
            matches!(
                location.match_kind,
                MatchKind::Prefix | MatchKind::PreferentialPrefix
            )
        });
        let longest = prefixes
            .filter(|(_, location)| path.starts_with(location.pattern.as_bytes()))
            .max_by_key(|(_, location)| location.pattern.len());
        let mut found = None;
        if let Some((number, location)) = longest {
            found = find_in_block(&location.nested, number + 1, path)
                .or(Some((LocationMatch::Found(*number), true)));
            if location.match_kind == MatchKind::PreferentialPrefix
                || found.is_some_and(|(_, is_overridable)| !is_overridable)
            {
                return found;
            }
        }
        for (number, location) in numbered_locations
            .iter()
            .filter(|(_, location)| location.match_kind.is_regex())
        {
            let regex = pattern::compile(
                &location.pattern,
                location.match_kind == MatchKind::RegexCaseInsensitive,
            );
            if regex.is_ok_and(|regex| regex.is_match(path)) {
                let nested_match = find_in_block(&location.nested, number + 1, path)
                    .map(|(location_match, _)| location_match);
                return Some((nested_match.unwrap_or(LocationMatch::Found(*number)), false));
            }
        }
        found
    }
    find_in_block(locations, 0, path).map_or(LocationMatch::NotFound, |(location_match, _)| {
        location_match
    })
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
            regex.prop_map(|(case_insensitive, text, pass)| (
                if case_insensitive {
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

    /// Locations of one block, without duplicates of an exact or prefix location.
    fn siblings(depth: u32) -> BoxedStrategy<Vec<Location>> {
        prop::collection::vec(any_location(depth), 0..7)
            .prop_map(|mut locations| {
                let mut seen = std::collections::HashSet::new();
                locations.retain(|location| {
                    location.match_kind.is_regex()
                        || seen.insert((
                            location.match_kind == MatchKind::Exact,
                            location.pattern.clone(),
                        ))
                });
                locations
            })
            .boxed()
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..ProptestConfig::default() })]
        #[test]
        fn find_agrees_with_a_linear_search(locations in siblings(2), paths in prop::collection::vec("/[abAB/]{0,4}", 8)) {
            let index = LocationIndex::new(&locations).unwrap();
            for path in paths {
                prop_assert_eq!(index.find(path.as_bytes()), find_linear(&locations, path.as_bytes()), "{}", path);
            }
        }
    }
}
