//! Links between pages of the documentation, and the file paths that pages quote, lead to existing
//! files.

use std::fs;
use std::path::{Path, PathBuf};

/// Folders of the repository. A quoted path that begins with one of them has to exist.
const TOP_FOLDERS: [&str; 8] = [
    "crates/", "src/", "tests/", "docs/", "deploy/", ".ci/", "journal/", "scripts/",
];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn pages_in(folder: &Path) -> Vec<PathBuf> {
    let mut pages = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("read the entry").path();
        if path.is_dir() {
            pages.extend(pages_in(&path));
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
    pages.sort();
    pages
}

/// Returns all pages except the changelog, which names files of earlier releases.
fn pages() -> Vec<PathBuf> {
    let mut pages = pages_in(&root().join("docs"));
    pages.push(root().join("README.md"));
    pages.push(root().join("CONTRIBUTING.md"));
    pages
}

/// Returns the targets of links to other files: `[text](target)`.
fn link_targets(text: &str) -> Vec<&str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .filter(|target| !target.contains("://") && !target.starts_with('#'))
        .map(|target| target.split('#').next().unwrap_or(target))
        .collect()
}

/// Returns the quoted paths of files and folders: `crates/policy/src`. A path with `...` is a pattern,
/// which is left out.
fn quoted_paths(text: &str) -> Vec<&str> {
    text.split('`')
        .skip(1)
        .step_by(2)
        .map(|quoted| quoted.trim_end_matches('/'))
        .filter(|quoted| TOP_FOLDERS.iter().any(|folder| quoted.starts_with(folder)))
        .filter(|quoted| !quoted.contains("..."))
        .filter(|quoted| {
            quoted
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || "/._-".contains(c))
        })
        .collect()
}

#[test]
fn links_between_pages_lead_to_files() {
    let mut dead = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("read the page");
        let folder = page.parent().expect("the page is in a folder");
        for target in link_targets(&text) {
            if !folder.join(target).exists() {
                dead.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(dead.is_empty(), "dead links: {dead:#?}");
}

#[test]
fn paths_that_pages_name_exist() {
    let mut dead = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("read the page");
        for path in quoted_paths(&text) {
            if !root().join(path).exists() {
                dead.push(format!("{}: {path}", page.display()));
            }
        }
    }
    assert!(dead.is_empty(), "dead paths: {dead:#?}");
}

#[test]
fn finds_dead_links_and_paths() {
    let text = "[a](gone.md#part), [b](https://example.org/x), `crates/gone/src/`, `cargo test`";
    assert_eq!(link_targets(text), ["gone.md"]);
    assert_eq!(quoted_paths(text), ["crates/gone/src"]);
}
