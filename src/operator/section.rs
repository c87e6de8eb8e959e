//! A subsystem's section, read from an operator file.

use super::{evaluate, locate, Fault, Wrong};
use std::path::Path;

/// Reads what one subsystem wants of an operator file, and checks it beside the file's folder.
///
/// # Errors
/// File, line where it is known, key, and what is wrong there.
pub(super) fn read_section<F: serde::de::DeserializeOwned, T>(
    file: &Path,
    check: impl FnOnce(F, &Path) -> Result<T, Wrong>,
) -> Result<T, Fault> {
    let json = evaluate(file)?;
    let source = std::fs::read_to_string(file).unwrap_or_default();
    let folder = file.parent().map(Path::to_owned).unwrap_or_default();
    let mut reader = serde_json::Deserializer::from_str(&json);
    let read = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
        let (key, what) = (e.path().to_string(), e.inner().to_string());
        // Lines of the evaluated text mean nothing to whoever wrote the template.
        let what = what
            .split(" at line ")
            .next()
            .unwrap_or_default()
            .to_owned();
        (if key == "." { String::new() } else { key }, what)
    });
    read.and_then(|read| check(read, &folder))
        .map_err(|(key, what)| {
            let line = locate(&source, &key, &what);
            Fault {
                file: file.to_owned(),
                line,
                key,
                what,
            }
        })
}
