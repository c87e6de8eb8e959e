//! Files of an nginx configuration on disk.

use cleatpulley_routes::import::Import;
use cleatpulley_routes::model::Routes;
use cleatpulley_routes::syntax::FileSource;
use std::path::Path;

/// A file that is larger is no configuration.
const LARGEST: u64 = 64 << 20;

/// The files of this machine.
pub struct Disk;

impl FileSource for Disk {
    fn read(&self, name: &str) -> Result<Vec<u8>, String> {
        let about = std::fs::metadata(name).map_err(|e| e.to_string())?;
        if !about.is_file() {
            return Err("it is no file".to_owned());
        }
        if about.len() > LARGEST {
            return Err(format!(
                "it has {} bytes, and {LARGEST} are read at most",
                about.len()
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
        let found = glob::glob_with(pattern, options).map_err(|e| e.to_string())?;
        let name = |path: Result<std::path::PathBuf, glob::GlobError>| {
            let path = path.map_err(|e| e.to_string())?;
            path.into_os_string()
                .into_string()
                .map_err(|_| "a file's name is no text".to_owned())
        };
        found.map(name).collect()
    }
}

/// The table of a file: nginx's blocks, or the project's own JSON where the name ends so.
///
/// # Errors
/// All that is wrong with it, or can't be expressed.
pub fn load(file: &Path) -> Result<Routes, String> {
    let name = file
        .to_str()
        .ok_or_else(|| format!("{}: its name is no text", file.display()))?;
    if file.extension().is_some_and(|end| end == "json") {
        let text = Disk.read(name).map_err(|e| format!("{name}: {e}"))?;
        let routes: Routes = serde_json::from_slice(&text).map_err(|e| format!("{name}: {e}"))?;
        if let Some((location, pool)) = routes.find_missing_pool() {
            return Err(format!(
                "{name}: location {}{}: there is no pool {pool:?}",
                location.match_kind.modifier(),
                location.pattern
            ));
        }
        cleatpulley_routes::router::Router::new(&routes)
            .map_err(|what| format!("{name}: {what}"))?;
        return Ok(routes);
    }
    let import = Import::read(&Disk, name);
    if import.is_complete() {
        return Ok(import.routes);
    }
    let faults = import
        .diagnostics
        .iter()
        .filter(|one| one.severity != cleatpulley_routes::diagnostic::Severity::Difference);
    let told: Vec<_> = faults
        .map(cleatpulley_routes::diagnostic::Diagnostic::render)
        .collect();
    Err(told.join("\n"))
}
