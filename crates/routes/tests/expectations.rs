//! Expectations on a configuration that fulfils them and on configurations that break them on
//! purpose, and comparisons of two route tables.

use cleatpulley_routes::diff::diff_routes;
use cleatpulley_routes::expectations::{check_expectations, Coverage, ExpectationFile, Outcome};
use cleatpulley_routes::import::Import;
use cleatpulley_routes::model::Routes;
use serde_json::{json, Value};
use std::collections::BTreeMap;

const VALID_CONFIGURATION: &str = "
upstream cell_a { server 127.0.0.1:9001; server 127.0.0.1:9002 down; }
upstream cell_b { hash $http_x_subject consistent; server 127.0.0.1:9003; server 127.0.0.1:9004; server 127.0.0.1:9005; }
map $http_x_subject $cell { default cell_b; vip-1 cell_a; }
server {
    server_name match.example.org;
    location = /claim-seat { set $matcher_class claim-seat; proxy_pass http://cell_b; }
    location /lobby/ { set $matcher_class lobby-view; proxy_pass http://$cell; }
    location /prefs { proxy_pass http://$cell; }
    location / { return 404; }
}
";

fn routes(text: &str) -> Routes {
    let import = Import::read(
        &BTreeMap::from([("f".to_owned(), text.as_bytes().to_vec())]),
        "f",
    );
    assert!(import.is_complete(), "{:?}", import.diagnostics);
    import.routes
}

/// Outcomes of expectations on a configuration.
fn outcomes(text: &str, expect: Value) -> Vec<Outcome> {
    let subjects =
        json!({ "popular": ["racer-7"], "samples": 500, "pattern": "racer-%d", "numbers": 30_000 });
    let file: ExpectationFile =
        serde_json::from_value(json!({ "subjects": subjects, "expect": expect }))
            .expect("expectations");
    let load_baseline = |name: &str| {
        if name == "before" {
            Ok(routes(VALID_CONFIGURATION))
        } else {
            Err("no such file".to_owned())
        }
    };
    check_expectations(&routes(text), &file, &load_baseline)
        .expect("a table")
        .into_iter()
        .map(|report| report.outcome)
        .collect()
}

fn seat_requests() -> Value {
    json!({ "host": "match.example.org", "path": "/claim-seat" })
}

fn expectations() -> Value {
    let lobby = json!({ "host": "match.example.org", "under": "/lobby/" });
    let prefs = json!({ "host": "match.example.org", "path": "/prefs" });
    json!([
        { "name": "seats", "requests": [seat_requests()], "lands": { "pools": ["cell_b"], "class": "claim-seat" } },
        { "name": "lobby", "requests": [lobby], "lands": { "pools": ["cell_a", "cell_b"] } },
        { "name": "draining", "never": ["127.0.0.1:9002"] },
        { "name": "one cell", "requests": [lobby, prefs], "one_pool": true },
        { "name": "few move", "requests": [seat_requests()], "moves": { "from": "before", "at_most": 0.01 } },
        { "name": "elsewhere", "requests": [{ "host": "match.example.org", "path": "/x" }], "lands": { "status": 404 } },
    ])
}

#[test]
fn a_valid_configuration_holds_and_reports_the_coverage() {
    let found: Vec<_> = outcomes(VALID_CONFIGURATION, expectations());
    use Coverage::{Proven, Sampled};
    let expected = [Proven, Sampled, Proven, Sampled, Sampled, Proven].map(Outcome::Holds);
    assert_eq!(found, expected);
}

#[test]
fn each_broken_configuration_breaks_exactly_its_own_expectation() {
    let changes: [(usize, &str, &str); 7] = [
        // Breaks only one popular subject, which a map lists and the random sample doesn't contain.
        (
            0,
            "proxy_pass http://cell_b; }\n    location /lobby/",
            "proxy_pass http://$cell; }\n    location /lobby/",
        ),
        (0, "claim-seat; proxy_pass", "find-race; proxy_pass"),
        (
            1,
            "location / {",
            "location ~ z$ { return 403; }\n    location / {",
        ),
        (2, "127.0.0.1:9002 down", "127.0.0.1:9002"),
        (
            3,
            "/prefs { proxy_pass http://$cell",
            "/prefs { proxy_pass http://cell_b",
        ),
        (4, "server 127.0.0.1:9004; ", ""),
        (
            5,
            "location / {",
            "location = /x { return 403; }\n    location / {",
        ),
    ];
    for (number, from, to) in changes {
        assert!(VALID_CONFIGURATION.contains(from), "{from}");
        let outcomes = outcomes(&VALID_CONFIGURATION.replace(from, to), expectations());
        for (index, outcome) in outcomes.iter().enumerate() {
            let broken = matches!(outcome, Outcome::Broken { .. });
            assert_eq!(
                broken,
                index == number,
                "{to}: expectation {index}: {outcome:?}"
            );
        }
    }
}

#[test]
fn an_expectation_that_no_longer_matches_anything_is_vacuous() {
    let changes = [
        (1, "location /lobby/ {", "location /lobbies/ {"),
        (2, "server 127.0.0.1:9002 down; ", ""),
    ];
    for (number, from, to) in changes {
        let outcomes = outcomes(&VALID_CONFIGURATION.replace(from, to), expectations());
        assert!(
            matches!(outcomes[number], Outcome::Vacuous(_)),
            "{to}: {:?}",
            outcomes[number]
        );
    }
    let renamed = outcomes(
        &VALID_CONFIGURATION.replace("match.example.org", "new.example.org"),
        expectations(),
    );
    assert!(
        renamed
            .iter()
            .filter(|outcome| matches!(outcome, Outcome::Vacuous(_)))
            .count()
            == 5,
        "{renamed:?}"
    );
    let vacuous = json!([
        { "name": "no subjects", "requests": [{ "host": "match.example.org", "path": "/prefs", "subjects": [] }], "lands": { "pools": ["cell_b"] } },
        { "name": "no requests", "lands": { "pools": ["cell_b"] } },
        { "name": "no such pool", "requests": [seat_requests()], "lands": { "pools": ["cell_z"] } },
        { "name": "no such file", "requests": [seat_requests()], "moves": { "from": "gone", "at_most": 1.0 } },
        { "name": "says nothing", "requests": [seat_requests()] },
    ]);
    assert!(outcomes(VALID_CONFIGURATION, vacuous)
        .iter()
        .all(|outcome| matches!(outcome, Outcome::Vacuous(_))));
}

#[test]
fn a_difference_comes_with_an_example_that_shows_it() {
    let unchanged = diff_routes(
        &routes(VALID_CONFIGURATION),
        &routes(&VALID_CONFIGURATION.replace("    location /prefs", "\n\n    location /prefs")),
    )
    .unwrap();
    assert!(
        unchanged.is_empty() && unchanged.probe_count > 50,
        "moved lines must not count as a difference: {unchanged:?}"
    );
    let changed = VALID_CONFIGURATION
        .replace("vip-1 cell_a", "vip-2 cell_a")
        .replace("9005; }", "9005 weight=2; }");
    let difference = diff_routes(&routes(VALID_CONFIGURATION), &routes(&changed)).unwrap();
    let examples: Vec<_> = difference
        .rerouted
        .iter()
        .map(|rerouted| rerouted.example.as_str())
        .collect();
    assert!(
        examples
            .iter()
            .any(|example| example.ends_with("x-subject: vip-1")),
        "{examples:?}"
    );
    assert!(
        examples
            .iter()
            .any(|example| example.ends_with("x-subject: vip-2")),
        "{examples:?}"
    );
    assert_eq!(difference.pools.len(), 2, "{:?}", difference.pools);
    // An example made from a regular expression shows that it takes part of a prefix.
    let with_regex = VALID_CONFIGURATION.replace(
        "location / {",
        "location ~ ^/prefs/v[0-9]+$ { return 410; }\n    location / {",
    );
    let difference = diff_routes(&routes(VALID_CONFIGURATION), &routes(&with_regex)).unwrap();
    assert!(
        difference
            .rerouted
            .iter()
            .any(|rerouted| rerouted.after.starts_with("410")
                && rerouted.example.contains("/prefs/v1")),
        "{difference:?}"
    );
}

#[test]
fn a_table_written_by_hand_may_omit_the_defaults() {
    let text = json!({
        "servers": [{ "listens": [["*:80", false]], "names": ["h"], "locations": [
            { "how": "exact", "pattern": "/a", "pass": { "pool": "p" } },
            { "how": "regex", "pattern": "^/b", "steps": [{ "return": { "code": 403, "text": null } }] },
        ] }],
        "pools": { "p": { "way": "least_connections", "targets": [{ "address": "127.0.0.1:1" }] } },
    });
    let handwritten: Routes = serde_json::from_value(text).expect("a table");
    let blocks = "upstream p { least_conn; server 127.0.0.1:1; }\nserver { listen 80; server_name h; location = /a { proxy_pass http://p; } location ~ ^/b { return 403; } }";
    assert!(diff_routes(&handwritten, &routes(blocks))
        .expect("two tables")
        .is_empty());
    assert!(handwritten.find_missing_pool().is_none());
    let unknown = json!({ "servers": [], "pools": {}, "variable": {} });
    assert!(serde_json::from_value::<Routes>(unknown).is_err());
}
