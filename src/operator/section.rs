//! Reads the section of one subsystem from an operator file.

use super::{evaluate, find_line, KeyError, OperatorFileError};
use std::path::Path;

/// Evaluates an operator file, reads the sections that `F` has from it and checks them with `check`,
/// which also gets the folder of the file.
///
/// # Errors
/// The file is invalid; the error has the file, the line if known, the key, and what is wrong.
pub(super) fn read_section<F: serde::de::DeserializeOwned, T>(
    file: &Path,
    check: impl FnOnce(F, &Path) -> Result<T, KeyError>,
) -> Result<T, OperatorFileError> {
    let json = evaluate(file)?;
    let source = std::fs::read_to_string(file).unwrap_or_default();
    let folder = file.parent().map(Path::to_owned).unwrap_or_default();
    let mut reader = serde_json::Deserializer::from_str(&json);
    let sections = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
        let (key, message) = (e.path().to_string(), e.inner().to_string());
        // Line numbers of the evaluated text do not exist in the template.
        let message = message
            .split(" at line ")
            .next()
            .unwrap_or_default()
            .to_owned();
        (if key == "." { String::new() } else { key }, message)
    });
    sections
        .and_then(|sections| check(sections, &folder))
        .map_err(|(key, message)| {
            let line = find_line(&source, &key, &message);
            OperatorFileError {
                file: file.to_owned(),
                line,
                key,
                message,
            }
        })
}
