//! Regular expressions of a configuration: on bytes, as nginx matches them, and only those that mean the same here.

use regex::bytes::{Regex, RegexBuilder};

/// Compiles one.
///
/// # Errors
/// Why it can't be expressed: look-around, references back and possessive repetition are not.
pub fn compile(text: &str, any_case: bool) -> Result<Regex, String> {
    RegexBuilder::new(text)
        .case_insensitive(any_case)
        .unicode(false)
        .build()
        .map_err(|e| {
            let what = e.to_string();
            let last = what
                .lines()
                .last()
                .unwrap_or_default()
                .trim_start_matches("error: ")
                .to_owned();
            format!("the regular expression {text:?} can't be expressed: {last}")
        })
}

/// Names of its groups; they become variables.
#[must_use]
pub fn names(text: &str) -> Vec<String> {
    let Ok(regex) = compile(text, false) else {
        return Vec::new();
    };
    regex.capture_names().flatten().map(str::to_owned).collect()
}
