//! Hand-written files with their expected tables, line for line, refusals included, and what becomes of requests.
//!
//! A case is one file: `=== NAME` before each file of the configuration, the first of them the one that is read; after
//! `--- findings`, `--- table` and `--- requests` what is expected. A request is a line `METHOD URL [header: value]...`
//! and after `=>` what becomes of it.

use cleatpulley_routes::import::Import;
use cleatpulley_routes::router::{RouteDecision, RouteRequest, Router};
use std::collections::BTreeMap;
use std::path::Path;

struct Case {
    first: String,
    files: BTreeMap<String, Vec<u8>>,
    /// By section.
    expected: BTreeMap<String, Vec<String>>,
    source: String,
}

fn read(text: &str) -> Case {
    let mut case = Case {
        first: String::new(),
        files: BTreeMap::new(),
        expected: BTreeMap::new(),
        source: String::new(),
    };
    let (mut file, mut section) = (None, None);
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("=== ") {
            if case.first.is_empty() {
                case.first = name.to_owned();
            }
            file = Some(name.to_owned());
        } else if let Some(name) = line.strip_prefix("--- ") {
            (file, section) = (None, Some(name.to_owned()));
            case.expected.entry(name.to_owned()).or_default();
            continue;
        } else if let Some(name) = &file {
            let text = case.files.entry(name.clone()).or_default();
            text.extend_from_slice(line.as_bytes());
            text.push(b'\n');
        } else if let Some(name) = &section {
            case.expected
                .entry(name.clone())
                .or_default()
                .push(line.to_owned());
            continue;
        }
        case.source.push_str(line);
        case.source.push('\n');
    }
    case
}

fn ask(table: &Router, line: &str) -> String {
    let request = line.split(" => ").next().unwrap_or_default();
    let (method, rest) = request.split_once(' ').expect("a method and a URL");
    let mut parts = rest.split(" ++ ");
    let url = parts
        .next()
        .expect("a URL")
        .strip_prefix("http://")
        .expect("http");
    let headers: Vec<_> = parts
        .map(|part| part.split_once(": ").expect("a header"))
        .map(|(a, b)| (a.to_owned(), b.to_owned()))
        .collect();
    let at = url.find('/').unwrap_or(url.len());
    let (host, target) = url.split_at(at);
    let asked = RouteRequest {
        listen_address: None,
        host,
        method,
        request_target: target,
        headers: &headers,
        caller_address: "192.0.2.1",
    };
    let found = match table.route(&asked) {
        Ok(RouteDecision::Forward {
            server,
            location,
            pool,
            uri,
            class,
        }) => {
            let site = table.location(server, location).expect("a location");
            let class = class
                .map(|class| format!(" class {class}"))
                .unwrap_or_default();
            format!(
                "{} {} -> {pool} {uri}{class}",
                site.position.line, site.name
            )
        }
        Ok(RouteDecision::Respond {
            status: code,
            text,
            reason: by,
        }) => format!("{code} {text:?} {by}"),
        Err(what) => format!("error: {what}"),
    };
    format!("{request} => {found}")
}

#[test]
fn hand_written_files_come_to_their_tables_line_for_line() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files");
    let mut names: Vec<_> = std::fs::read_dir(&folder)
        .expect("the folder")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    names.sort();
    let (mut count, mut wrong) = (0, Vec::new());
    for name in names {
        let text = std::fs::read_to_string(&name).expect("a case");
        let case = read(&text);
        let import = Import::read(&case.files, &case.first);
        let mut found = BTreeMap::new();
        let diagnostics: Vec<_> = import
            .diagnostics
            .iter()
            .flat_map(|one| {
                one.render()
                    .lines()
                    .map(|line| line.trim_end().to_owned())
                    .collect::<Vec<_>>()
            })
            .collect();
        found.insert("findings".to_owned(), diagnostics);
        let whole = import.is_complete();
        found.insert(
            "table".to_owned(),
            if whole {
                import.routes.to_lines()
            } else {
                Vec::new()
            },
        );
        let empty = Vec::new();
        let requests = case.expected.get("requests").unwrap_or(&empty);
        let table = Router::new(&import.routes);
        if whole {
            let table = table.expect("what was imported can be prepared");
            found.insert(
                "requests".to_owned(),
                requests.iter().map(|line| ask(&table, line)).collect(),
            );
            // What is written out as JSON is the same table.
            let json = serde_json::to_string(&import.routes).expect("it can be written");
            let read: cleatpulley_routes::model::Routes =
                serde_json::from_str(&json).expect("it can be read");
            assert_eq!(read.to_lines(), import.routes.to_lines());
        } else if std::env::var_os("WRITE_EXPECTED").is_none() {
            assert!(
                requests.is_empty(),
                "{}: requests of a refused file",
                name.display()
            );
        }
        found.retain(|_, lines| !lines.is_empty());
        let mut expected = case.expected.clone();
        expected.retain(|_, lines| !lines.is_empty());
        if found != expected {
            wrong.push(
                name.file_name()
                    .expect("a name")
                    .to_string_lossy()
                    .into_owned(),
            );
            if std::env::var_os("WRITE_EXPECTED").is_some() {
                let mut out = case.source.clone();
                for section in ["findings", "table", "requests"] {
                    if let Some(lines) = found.get(section) {
                        out.push_str(&format!("--- {section}\n{}\n", lines.join("\n")));
                    }
                }
                std::fs::write(&name, out).expect("written");
            } else {
                eprintln!("{}: found {found:#?}", name.display());
            }
        }
        count += 1;
    }
    assert!(wrong.is_empty(), "of {count} cases these differ: {wrong:?}");
    assert!(count >= 25, "{count} cases");
}

#[test]
fn a_file_cut_at_every_byte_is_an_error_with_a_place_or_a_smaller_file() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files");
    for name in [
        "01-plain.txt",
        "04-nested.txt",
        "10-rewrites.txt",
        "12-maps.txt",
        "15-limits.txt",
    ] {
        let case = read(&std::fs::read_to_string(folder.join(name)).expect("a case"));
        let whole = &case.files[&case.first];
        let mut errors = 0;
        for cut in 0..whole.len() {
            let files = BTreeMap::from([("cut".to_owned(), whole[..cut].to_vec())]);
            let import = Import::read(&files, "cut");
            let lines = whole[..cut].split(|byte| *byte == b'\n').count();
            for finding in &import.diagnostics {
                assert!(
                    (1..=lines).contains(&finding.position.line) && finding.position.column > 0,
                    "{name} at {cut}: {finding}"
                );
                assert!(!finding.render().is_empty());
            }
            errors += usize::from(!import.is_complete());
            if import.is_complete() {
                assert!(Router::new(&import.routes).is_ok(), "{name} at {cut}");
            }
        }
        // All but cuts between blocks of the outermost level.
        assert!(
            errors * 10 > whole.len() * 9,
            "{name}: {errors} of {}",
            whole.len()
        );
    }
}

#[test]
fn blocks_without_end_and_files_of_noise_are_refused_and_do_no_harm() {
    let deep = "a {".repeat(50_000);
    let includes: BTreeMap<String, Vec<u8>> = (0..50)
        .map(|n| (n.to_string(), format!("include {};", n + 1).into_bytes()))
        .collect();
    let noise: Vec<u8> = (0..500_000_u32)
        .map(|n| b"a{};\n\"' #$"[(n.wrapping_mul(2_654_435_761) >> 28) as usize % 10])
        .collect();
    for (files, name, what) in [
        (
            BTreeMap::from([("f".to_owned(), deep.into_bytes())]),
            "f",
            "nested more than 64 deep",
        ),
        (includes, "0", "more than 32 deep"),
        (BTreeMap::from([("f".to_owned(), noise)]), "f", ""),
        (BTreeMap::new(), "f", "can't be read: no such file"),
    ] {
        let import = Import::read(&files, name);
        assert!(!import.is_complete() && import.diagnostics.len() < 1_200);
        assert!(
            import
                .diagnostics
                .iter()
                .any(|finding| finding.message.contains(what)),
            "{what}: {:?}",
            import.diagnostics.first()
        );
    }
}
