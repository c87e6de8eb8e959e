//! From method and path to a class, and what a request's figures are where nobody tells them.

use std::collections::HashMap;

/// One entry: a path, or with a `/*` at its end all paths below it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassRoute {
    /// The path or pattern.
    pub path: String,
    /// Methods that it takes.
    pub methods: Vec<String>,
    /// Index of the class.
    pub class: usize,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassMatch<'a> {
    /// To this class.
    Class(usize),
    /// Nowhere with this method; these would do.
    MethodNotAllowed(&'a [String]),
    /// Nowhere.
    NotFound,
}

/// The table. A whole path comes before a pattern, a longer pattern before a shorter one.
#[derive(Debug, Clone, Default)]
pub struct ClassTable {
    exact: HashMap<String, ClassRoute>,
    /// Patterns without their `*`, the longest first.
    below: Vec<(String, ClassRoute)>,
}

impl ClassTable {
    /// Builds the table.
    ///
    /// # Errors
    /// The index of the faulty entry and what is wrong with it.
    pub fn new(entries: Vec<ClassRoute>) -> Result<Self, (usize, String)> {
        let mut table = Self::default();
        for (place, entry) in entries.into_iter().enumerate() {
            if !entry.path.starts_with('/') {
                return Err((
                    place,
                    format!("the path {:?} does not begin with a slash", entry.path),
                ));
            }
            let (before, star) = match entry.path.strip_suffix("/*") {
                Some(before) => (before.to_owned() + "/", true),
                None => (entry.path.clone(), false),
            };
            // Guards against a pattern that looks as if it meant more than is understood here.
            if before.contains(['*', '?', '#', ';', '%'])
                || before.split('/').any(|part| part == "..")
            {
                return Err((
                    place,
                    format!(
                        "the path {:?} is neither plain nor plain with a /* at its end",
                        entry.path
                    ),
                ));
            }
            if entry.methods.is_empty() {
                return Err((place, format!("the path {:?} takes no method", entry.path)));
            }
            let taken = if star {
                table.below.iter().any(|(other, _)| *other == before)
            } else {
                table.exact.contains_key(&before)
            };
            if taken {
                return Err((
                    place,
                    format!("the path {:?} has an entry already", entry.path),
                ));
            }
            if star {
                table.below.push((before, entry));
            } else {
                table.exact.insert(before, entry);
            }
        }
        table
            .below
            .sort_by(|a, b| b.0.len().cmp(&a.0.len()).then_with(|| a.0.cmp(&b.0)));
        Ok(table)
    }

    /// Finds the class of a request. Paths are compared as they came: nothing is decoded or resolved, so that no
    /// two readings of one path exist.
    #[must_use]
    pub fn find(&self, method: &[u8], path: &[u8]) -> ClassMatch<'_> {
        let Ok(path) = std::str::from_utf8(path) else {
            return ClassMatch::NotFound;
        };
        let below = || {
            let plain = !path.contains('%') && !path.split('/').any(|part| part == "..");
            self.below
                .iter()
                .find(|(before, _)| plain && path.starts_with(before))
                .map(|(_, entry)| entry)
        };
        match self.exact.get(path).or_else(below) {
            Some(entry) if entry.methods.iter().any(|m| m.as_bytes() == method) => {
                ClassMatch::Class(entry.class)
            }
            Some(entry) => ClassMatch::MethodNotAllowed(&entry.methods),
            None => ClassMatch::NotFound,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(path: &str, class: usize) -> ClassRoute {
        ClassRoute {
            path: path.to_owned(),
            methods: vec!["POST".to_owned()],
            class,
        }
    }

    #[test]
    fn a_whole_path_comes_first_and_then_the_longest_pattern() {
        let table = ClassTable::new(vec![
            entry("/a/*", 0),
            entry("/a/b/*", 1),
            entry("/a/b/c", 2),
        ])
        .expect("good");
        for (path, class) in [("/a/x", 0), ("/a/b/x", 1), ("/a/b/c", 2), ("/a/b/c/d", 1)] {
            assert_eq!(
                table.find(b"POST", path.as_bytes()),
                ClassMatch::Class(class),
                "{path}"
            );
        }
        assert_eq!(
            table.find(b"GET", b"/a/x"),
            ClassMatch::MethodNotAllowed(&["POST".to_owned()])
        );
        for path in ["/a", "/ab", "/", "", "/b", "/a/../b", "/a/%2e%2e/x"] {
            assert_eq!(
                table.find(b"POST", path.as_bytes()),
                ClassMatch::NotFound,
                "{path}"
            );
        }
        assert_eq!(table.find(b"POST", b"/a/\xff"), ClassMatch::NotFound);
    }

    #[test]
    fn faulty_entries_are_named() {
        for path in ["a", "/a*", "/*/b", "/a?", "/a/../b/*"] {
            assert_eq!(
                ClassTable::new(vec![entry("/ok", 0), entry(path, 0)])
                    .expect_err(path)
                    .0,
                1
            );
        }
        assert!(ClassTable::new(vec![entry("/a", 0), entry("/a", 1)]).is_err());
        assert!(ClassTable::new(vec![entry("/a/*", 0), entry("/a/*", 1)]).is_err());
    }
}
