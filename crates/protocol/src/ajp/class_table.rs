//! The table that maps the method and path of a request to its class.

use std::collections::HashMap;

/// An entry: a path, or all paths below it if it ends with `/*`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassRoute {
    /// The path or pattern.
    pub path: String,
    /// Methods that the path accepts.
    pub methods: Vec<String>,
    /// Index of the request class.
    pub class: usize,
}

/// The result of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassMatch<'a> {
    /// The request belongs to the class with this index.
    Class(usize),
    /// The path accepts only these other methods.
    MethodNotAllowed(&'a [String]),
    /// No entry has the path.
    NotFound,
}

/// The table. An exact path takes precedence over a pattern, and a longer pattern over a shorter
/// one.
#[derive(Debug, Clone, Default)]
pub struct ClassTable {
    exact: HashMap<String, ClassRoute>,
    /// Patterns without their `*`, longest first.
    patterns: Vec<(String, ClassRoute)>,
}

impl ClassTable {
    /// Builds the table.
    ///
    /// # Errors
    /// Returns the index of the invalid entry and what is wrong with it.
    pub fn new(entries: Vec<ClassRoute>) -> Result<Self, (usize, String)> {
        let mut table = Self::default();
        for (index, entry) in entries.into_iter().enumerate() {
            if !entry.path.starts_with('/') {
                return Err((
                    index,
                    format!("the path {:?} does not begin with a slash", entry.path),
                ));
            }
            let (prefix, is_pattern) = match entry.path.strip_suffix("/*") {
                Some(prefix) => (prefix.to_owned() + "/", true),
                None => (entry.path.clone(), false),
            };
            // Rejects characters that look like syntax which is not supported here.
            if prefix.contains(['*', '?', '#', ';', '%'])
                || prefix.split('/').any(|segment| segment == "..")
            {
                return Err((
                    index,
                    format!(
                        "the path {:?} is neither an exact path nor one that ends with /*",
                        entry.path
                    ),
                ));
            }
            if entry.methods.is_empty() {
                return Err((index, format!("the path {:?} has no methods", entry.path)));
            }
            let is_duplicate = if is_pattern {
                table.patterns.iter().any(|(other, _)| *other == prefix)
            } else {
                table.exact.contains_key(&prefix)
            };
            if is_duplicate {
                return Err((index, format!("the path {:?} is listed twice", entry.path)));
            }
            if is_pattern {
                table.patterns.push((prefix, entry));
            } else {
                table.exact.insert(prefix, entry);
            }
        }
        table
            .patterns
            .sort_by(|a, b| b.0.len().cmp(&a.0.len()).then_with(|| a.0.cmp(&b.0)));
        Ok(table)
    }

    /// Finds the class of a request. Paths are compared as received, without decoding or resolving
    /// anything, so that a path has only one interpretation.
    #[must_use]
    pub fn find(&self, method: &[u8], path: &[u8]) -> ClassMatch<'_> {
        let Ok(path) = std::str::from_utf8(path) else {
            return ClassMatch::NotFound;
        };
        let patterns = || {
            let is_plain = !path.contains('%') && !path.split('/').any(|segment| segment == "..");
            self.patterns
                .iter()
                .find(|(prefix, _)| is_plain && path.starts_with(prefix))
                .map(|(_, entry)| entry)
        };
        match self.exact.get(path).or_else(patterns) {
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
    fn exact_path_precedes_the_longest_matching_pattern() {
        let table = ClassTable::new(vec![
            entry("/a/*", 0),
            entry("/a/b/*", 1),
            entry("/a/b/c", 2),
        ])
        .expect("a valid table");
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
    fn invalid_entry_is_reported_by_index() {
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
