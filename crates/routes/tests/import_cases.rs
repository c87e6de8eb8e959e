//! Compares hand-written configurations with their recorded diagnostics, tables and requests, line by
//! line.
//!
//! A case is one file. `=== NAME` begins each file of the configuration; the first one is the main
//! file. `--- findings`, `--- table` and `--- requests` begin the expected results. A request is a
//! line `METHOD URL [++ header: value]...`, followed by `=>` and how it is routed.

use cleatpulley_routes::import::Import;
use cleatpulley_routes::router::{RouteDecision, RouteRequest, Router};
use std::collections::BTreeMap;
use std::path::Path;

struct Case {
    main_file: String,
    files: BTreeMap<String, Vec<u8>>,
    /// Expected lines, by section.
    expected_sections: BTreeMap<String, Vec<String>>,
    source: String,
}

fn parse_case(text: &str) -> Case {
    let mut case = Case {
        main_file: String::new(),
        files: BTreeMap::new(),
        expected_sections: BTreeMap::new(),
        source: String::new(),
    };
    let (mut file, mut section) = (None, None);
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("=== ") {
            if case.main_file.is_empty() {
                case.main_file = name.to_owned();
            }
            file = Some(name.to_owned());
        } else if let Some(name) = line.strip_prefix("--- ") {
            (file, section) = (None, Some(name.to_owned()));
            case.expected_sections.entry(name.to_owned()).or_default();
            continue;
        } else if let Some(name) = &file {
            let text = case.files.entry(name.clone()).or_default();
            text.extend_from_slice(line.as_bytes());
            text.push(b'\n');
        } else if let Some(name) = &section {
            case.expected_sections
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

fn describe_route(router: &Router, line: &str) -> String {
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
    let path_start = url.find('/').unwrap_or(url.len());
    let (host, target) = url.split_at(path_start);
    let route_request = RouteRequest {
        listen_address: None,
        host,
        method,
        request_target: target,
        headers: &headers,
        caller_address: "192.0.2.1",
    };
    let description = match router.route(&route_request) {
        Ok(RouteDecision::Forward {
            server,
            location,
            pool,
            uri,
            class,
        }) => {
            let location = router.location(server, location).expect("a location");
            let class = class
                .map(|class| format!(" class {class}"))
                .unwrap_or_default();
            format!(
                "{} {} -> {pool} {uri}{class}",
                location.position.line, location.name
            )
        }
        Ok(RouteDecision::Respond {
            status,
            text,
            reason,
        }) => format!("{status} {text:?} {reason}"),
        Err(error) => format!("error: {error}"),
    };
    format!("{request} => {description}")
}

#[test]
fn cases_match_their_recorded_diagnostics_tables_and_requests() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files");
    let mut paths: Vec<_> = std::fs::read_dir(&folder)
        .expect("the folder")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    paths.sort();
    let (mut count, mut failed_cases) = (0, Vec::new());
    for path in paths {
        let text = std::fs::read_to_string(&path).expect("a case");
        let case = parse_case(&text);
        let import = Import::read(&case.files, &case.main_file);
        let mut sections = BTreeMap::new();
        let diagnostics: Vec<_> = import
            .diagnostics
            .iter()
            .flat_map(|diagnostic| {
                diagnostic
                    .render()
                    .lines()
                    .map(|line| line.trim_end().to_owned())
                    .collect::<Vec<_>>()
            })
            .collect();
        sections.insert("findings".to_owned(), diagnostics);
        let is_complete = import.is_complete();
        sections.insert(
            "table".to_owned(),
            if is_complete {
                import.routes.to_lines()
            } else {
                Vec::new()
            },
        );
        let empty = Vec::new();
        let requests = case.expected_sections.get("requests").unwrap_or(&empty);
        let router = Router::new(&import.routes);
        if is_complete {
            let router = router.expect("what was imported can be prepared");
            sections.insert(
                "requests".to_owned(),
                requests
                    .iter()
                    .map(|line| describe_route(&router, line))
                    .collect(),
            );
            // The table survives a round trip through JSON.
            let json = serde_json::to_string(&import.routes).expect("it can be written");
            let reloaded: cleatpulley_routes::model::Routes =
                serde_json::from_str(&json).expect("it can be read");
            assert_eq!(reloaded.to_lines(), import.routes.to_lines());
        } else if std::env::var_os("WRITE_EXPECTED").is_none() {
            assert!(
                requests.is_empty(),
                "{}: requests of a rejected file",
                path.display()
            );
        }
        sections.retain(|_, lines| !lines.is_empty());
        let mut expected = case.expected_sections.clone();
        expected.retain(|_, lines| !lines.is_empty());
        if sections != expected {
            failed_cases.push(
                path.file_name()
                    .expect("a name")
                    .to_string_lossy()
                    .into_owned(),
            );
            if std::env::var_os("WRITE_EXPECTED").is_some() {
                let mut out = case.source.clone();
                for section in ["findings", "table", "requests"] {
                    if let Some(lines) = sections.get(section) {
                        out.push_str(&format!("--- {section}\n{}\n", lines.join("\n")));
                    }
                }
                std::fs::write(&path, out).expect("written");
            } else {
                eprintln!("{}: found {sections:#?}", path.display());
            }
        }
        count += 1;
    }
    assert!(
        failed_cases.is_empty(),
        "of {count} cases these differ: {failed_cases:?}"
    );
    assert!(count >= 25, "{count} cases");
}

#[test]
fn every_truncation_of_a_file_is_reported_with_a_position_or_is_a_valid_file() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files");
    for name in [
        "01-plain.txt",
        "04-nested.txt",
        "10-rewrites.txt",
        "12-maps.txt",
        "15-limits.txt",
    ] {
        let case = parse_case(&std::fs::read_to_string(folder.join(name)).expect("a case"));
        let whole = &case.files[&case.main_file];
        let mut errors = 0;
        for length in 0..whole.len() {
            let files = BTreeMap::from([("cut".to_owned(), whole[..length].to_vec())]);
            let import = Import::read(&files, "cut");
            let lines = whole[..length].split(|byte| *byte == b'\n').count();
            for diagnostic in &import.diagnostics {
                assert!(
                    (1..=lines).contains(&diagnostic.position.line)
                        && diagnostic.position.column > 0,
                    "{name} at {length}: {diagnostic}"
                );
                assert!(!diagnostic.render().is_empty());
            }
            errors += usize::from(!import.is_complete());
            if import.is_complete() {
                assert!(Router::new(&import.routes).is_ok(), "{name} at {length}");
            }
        }
        // Only cuts between blocks of the outermost level leave a valid file.
        assert!(
            errors * 10 > whole.len() * 9,
            "{name}: {errors} of {}",
            whole.len()
        );
    }
}

#[test]
fn endless_nesting_include_chains_and_noise_are_rejected() {
    let deep = "a {".repeat(50_000);
    let includes: BTreeMap<String, Vec<u8>> = (0..50)
        .map(|number| {
            (
                number.to_string(),
                format!("include {};", number + 1).into_bytes(),
            )
        })
        .collect();
    let noise: Vec<u8> = (0..500_000_u32)
        .map(|number| b"a{};\n\"' #$"[(number.wrapping_mul(2_654_435_761) >> 28) as usize % 10])
        .collect();
    for (files, name, expected_message) in [
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
                .any(|diagnostic| diagnostic.message.contains(expected_message)),
            "{expected_message}: {:?}",
            import.diagnostics.first()
        );
    }
}
