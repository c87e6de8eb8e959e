//! Expectations beside configurations that keep them, and beside ones that are broken on purpose; and what differs between
//! two tables.

use cleatpulley_routes::diff::diff_routes;
use cleatpulley_routes::expectations::{check_expectations, Coverage, ExpectationFile, Outcome};
use cleatpulley_routes::import::Import;
use cleatpulley_routes::model::Routes;
use serde_json::{json, Value};
use std::collections::BTreeMap;

const RIGHT: &str = "
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

/// What comes of expectations on a file.
fn came(text: &str, expect: Value) -> Vec<Outcome> {
    let subjects =
        json!({ "popular": ["racer-7"], "samples": 500, "pattern": "racer-%d", "numbers": 30_000 });
    let file: ExpectationFile =
        serde_json::from_value(json!({ "subjects": subjects, "expect": expect }))
            .expect("expectations");
    let old = |name: &str| {
        if name == "before" {
            Ok(routes(RIGHT))
        } else {
            Err("no such file".to_owned())
        }
    };
    check_expectations(&routes(text), &file, &old)
        .expect("a table")
        .into_iter()
        .map(|report| report.outcome)
        .collect()
}

fn seats() -> Value {
    json!({ "host": "match.example.org", "path": "/claim-seat" })
}

fn expectations() -> Value {
    let lobby = json!({ "host": "match.example.org", "under": "/lobby/" });
    let prefs = json!({ "host": "match.example.org", "path": "/prefs" });
    json!([
        { "name": "seats", "requests": [seats()], "lands": { "pools": ["cell_b"], "class": "claim-seat" } },
        { "name": "lobby", "requests": [lobby], "lands": { "pools": ["cell_a", "cell_b"] } },
        { "name": "draining", "never": ["127.0.0.1:9002"] },
        { "name": "one cell", "requests": [lobby, prefs], "one_pool": true },
        { "name": "few move", "requests": [seats()], "moves": { "from": "before", "at_most": 0.01 } },
        { "name": "elsewhere", "requests": [{ "host": "match.example.org", "path": "/x" }], "lands": { "status": 404 } },
    ])
}

#[test]
fn the_right_configuration_passes_and_says_how_it_was_checked() {
    let holds: Vec<_> = came(RIGHT, expectations());
    use Coverage::{Proven, Sampled};
    let expected = [Proven, Sampled, Proven, Sampled, Sampled, Proven].map(Outcome::Holds);
    assert_eq!(holds, expected);
}

#[test]
fn broken_configurations_are_caught_each_by_its_own_expectation() {
    let breaks: [(usize, &str, &str); 7] = [
        // One popular subject only, which the sample does not hold and the map names.
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
    for (number, from, to) in breaks {
        assert!(RIGHT.contains(from), "{from}");
        let all = came(&RIGHT.replace(from, to), expectations());
        for (at, came) in all.iter().enumerate() {
            let broken = matches!(came, Outcome::Broken { .. });
            assert_eq!(broken, at == number, "{to}: expectation {at}: {came:?}");
        }
    }
}

#[test]
fn an_expectation_that_a_change_left_behind_is_vacuous() {
    let changes = [
        (1, "location /lobby/ {", "location /lobbies/ {"),
        (2, "server 127.0.0.1:9002 down; ", ""),
    ];
    for (number, from, to) in changes {
        let all = came(&RIGHT.replace(from, to), expectations());
        assert!(
            matches!(all[number], Outcome::Vacuous(_)),
            "{to}: {:?}",
            all[number]
        );
    }
    let renamed = came(
        &RIGHT.replace("match.example.org", "new.example.org"),
        expectations(),
    );
    assert!(
        renamed
            .iter()
            .filter(|came| matches!(came, Outcome::Vacuous(_)))
            .count()
            == 5,
        "{renamed:?}"
    );
    let nothing = json!([
        { "name": "no subjects", "requests": [{ "host": "match.example.org", "path": "/prefs", "subjects": [] }], "lands": { "pools": ["cell_b"] } },
        { "name": "no requests", "lands": { "pools": ["cell_b"] } },
        { "name": "no such pool", "requests": [seats()], "lands": { "pools": ["cell_z"] } },
        { "name": "no such file", "requests": [seats()], "moves": { "from": "gone", "at_most": 1.0 } },
        { "name": "says nothing", "requests": [seats()] },
    ]);
    assert!(came(RIGHT, nothing)
        .iter()
        .all(|came| matches!(came, Outcome::Vacuous(_))));
}

#[test]
fn a_difference_is_told_with_an_example_that_shows_it() {
    let same = diff_routes(
        &routes(RIGHT),
        &routes(&RIGHT.replace("    location /prefs", "\n\n    location /prefs")),
    )
    .unwrap();
    assert!(
        same.is_empty() && same.probe_count > 50,
        "moved lines are no difference: {same:?}"
    );
    let new = RIGHT
        .replace("vip-1 cell_a", "vip-2 cell_a")
        .replace("9005; }", "9005 weight=2; }");
    let found = diff_routes(&routes(RIGHT), &routes(&new)).unwrap();
    let examples: Vec<_> = found
        .rerouted
        .iter()
        .map(|moved| moved.example.as_str())
        .collect();
    assert!(
        examples.iter().any(|one| one.ends_with("x-subject: vip-1")),
        "{examples:?}"
    );
    assert!(
        examples.iter().any(|one| one.ends_with("x-subject: vip-2")),
        "{examples:?}"
    );
    assert_eq!(found.pools.len(), 2, "{:?}", found.pools);
    // A regular expression that takes a part of a prefix is found by an example made from it.
    let regex = RIGHT.replace(
        "location / {",
        "location ~ ^/prefs/v[0-9]+$ { return 410; }\n    location / {",
    );
    let found = diff_routes(&routes(RIGHT), &routes(&regex)).unwrap();
    assert!(
        found
            .rerouted
            .iter()
            .any(|moved| moved.after.starts_with("410") && moved.example.contains("/prefs/v1")),
        "{found:?}"
    );
}

/// A table written by hand, with what is usual left out.
#[test]
fn a_table_by_hand_needs_only_what_is_special() {
    let text = json!({
        "servers": [{ "listens": [["*:80", false]], "names": ["h"], "locations": [
            { "how": "exact", "pattern": "/a", "pass": { "pool": "p" } },
            { "how": "regex", "pattern": "^/b", "steps": [{ "return": { "code": 403, "text": null } }] },
        ] }],
        "pools": { "p": { "way": "least_connections", "targets": [{ "address": "127.0.0.1:1" }] } },
    });
    let by_hand: Routes = serde_json::from_value(text).expect("a table");
    let blocks = "upstream p { least_conn; server 127.0.0.1:1; }\nserver { listen 80; server_name h; location = /a { proxy_pass http://p; } location ~ ^/b { return 403; } }";
    assert!(diff_routes(&by_hand, &routes(blocks))
        .expect("two tables")
        .is_empty());
    assert!(by_hand.find_missing_pool().is_none());
    let unknown = json!({ "servers": [], "pools": {}, "variable": {} });
    assert!(serde_json::from_value::<Routes>(unknown).is_err());
}
