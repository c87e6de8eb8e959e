//! Reads route tables from files: nginx configurations and the project's own JSON.

use cleatpulley_routes::import::Import;
use cleatpulley_routes::model::Routes;
use cleatpulley_routes::syntax::FileSource;
use std::path::Path;

/// Maximum size of a file that is read; no configuration is larger.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Files in the local file system.
pub struct LocalFiles;

impl FileSource for LocalFiles {
    fn read(&self, name: &str) -> Result<Vec<u8>, String> {
        let metadata = std::fs::metadata(name).map_err(|e| e.to_string())?;
        if !metadata.is_file() {
            return Err("not a regular file".to_owned());
        }
        if metadata.len() > MAX_FILE_BYTES {
            return Err(format!(
                "the file has {} bytes, which is more than {MAX_FILE_BYTES}",
                metadata.len()
            ));
        }
        std::fs::read(name).map_err(|e| e.to_string())
    }

    fn expand_glob(&self, pattern: &str) -> Result<Vec<String>, String> {
        if !pattern.contains(['*', '?', '[']) {
            return Ok(vec![pattern.to_owned()]);
        }
        let options = glob::MatchOptions {
            require_literal_separator: true,
            ..Default::default()
        };
        let paths = glob::glob_with(pattern, options).map_err(|e| e.to_string())?;
        let to_name = |path: Result<std::path::PathBuf, glob::GlobError>| {
            let path = path.map_err(|e| e.to_string())?;
            path.into_os_string()
                .into_string()
                .map_err(|_| "a file name is not valid UTF-8".to_owned())
        };
        paths.map(to_name).collect()
    }
}

/// Reads the routes of a file: the project's own JSON if the name ends with `.json`, otherwise an
/// nginx configuration.
///
/// # Errors
/// The file is invalid, or has routes that can't be expressed here; the error lists all faults.
pub fn load_routes(file: &Path) -> Result<Routes, String> {
    let name = file
        .to_str()
        .ok_or_else(|| format!("{}: the file name is not valid UTF-8", file.display()))?;
    if file
        .extension()
        .is_some_and(|extension| extension == "json")
    {
        let text = LocalFiles.read(name).map_err(|e| format!("{name}: {e}"))?;
        let routes: Routes = serde_json::from_slice(&text).map_err(|e| format!("{name}: {e}"))?;
        if let Some((location, pool)) = routes.find_missing_pool() {
            return Err(format!(
                "{name}: location {}{}: there is no pool {pool:?}",
                location.match_kind.modifier(),
                location.pattern
            ));
        }
        cleatpulley_routes::router::Router::new(&routes)
            .map_err(|error| format!("{name}: {error}"))?;
        return Ok(routes);
    }
    let import = Import::read(&LocalFiles, name);
    if import.is_complete() {
        return Ok(import.routes);
    }
    let errors = import.diagnostics.iter().filter(|diagnostic| {
        diagnostic.severity != cleatpulley_routes::diagnostic::Severity::Difference
    });
    let messages: Vec<_> = errors
        .map(cleatpulley_routes::diagnostic::Diagnostic::render)
        .collect();
    Err(messages.join("\n"))
}
