//! Regular expressions of a configuration. They match bytes, as in nginx; one that would mean
//! something else here than in nginx is rejected.

use regex::bytes::{Regex, RegexBuilder};

/// Compiles a regular expression.
///
/// # Errors
/// A message that names the unsupported construct: look-around, backreferences or possessive
/// repetition.
pub fn compile(text: &str, case_insensitive: bool) -> Result<Regex, String> {
    RegexBuilder::new(text)
        .case_insensitive(case_insensitive)
        .unicode(false)
        .build()
        .map_err(|e| {
            let message = e.to_string();
            let last = message
                .lines()
                .last()
                .unwrap_or_default()
                .trim_start_matches("error: ")
                .to_owned();
            format!("the regular expression {text:?} can't be expressed: {last}")
        })
}

/// Returns the names of the capture groups; nginx makes variables of them.
#[must_use]
pub fn capture_names(text: &str) -> Vec<String> {
    let Ok(regex) = compile(text, false) else {
        return Vec::new();
    };
    regex.capture_names().flatten().map(str::to_owned).collect()
}
