//! The configuration: what it comes to, and messages that name the faulty key.

use cleatpulley::config::{Config, Sources};
use serde_json::{json, Value};
use std::path::Path;
use std::process::Command;

fn good() -> Value {
    json!({
        "name": "n3", "listen": "127.0.0.1:5050", "runtime": "127.0.0.1:7300", "lookup": "127.0.0.1:7946",
        "store": "127.0.0.1:9042", "seed": "8c1f30d27a5be964", "stop_ms": 3200, "news": [],
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "classes": [{"name": "a", "effect": "idempotent", "give_up": 8_000_000, "on_time": 2_000_000}],
            "tick": 2000, "specifics": {"cores": 2, "memory_kb": 10_000.0, "own_stats": ["runnable"]}
        }
    })
}

fn parse(value: &Value, sources: &Sources) -> Result<Config, String> {
    Config::parse(&value.to_string(), sources)
}

#[test]
fn a_good_file_is_read_and_flags_come_before_the_environment_and_that_before_the_file() {
    let config = parse(&good(), &Sources::default()).expect("good");
    assert_eq!(
        (config.name.as_str(), config.seed, config.stop),
        ("n3", 0x8c1f_30d2_7a5b_e964, 3_200_000)
    );
    assert_eq!(config.class_names, ["a"]);
    let flags = Sources {
        name: Some("flag".into()),
        ..Sources::default()
    };
    let variables = |key: &str| {
        (key != "GW_CONFIG").then(|| {
            if key == "GW_NAME" {
                "n4"
            } else {
                "127.0.0.1:1"
            }
            .into()
        })
    };
    let config = parse(&good(), &flags.or_environment(variables)).expect("good");
    assert_eq!((config.name.as_str(), config.listen.port()), ("flag", 1));
}

#[test]
fn what_may_be_left_out_has_a_default() {
    let mut value = good();
    for key in ["seed", "stop_ms", "limits"] {
        value.as_object_mut().expect("an object").remove(key);
    }
    let config = parse(&value, &Sources::default()).expect("good");
    assert_eq!(
        (config.seed, config.stop, config.sockets),
        (0, 3_200_000, 1_024)
    );
}

#[test]
fn a_fault_names_its_key() {
    let cases = [
        (
            "/runtime",
            json!("localhost"),
            "runtime: \"localhost\" is not an address",
        ),
        ("/listen", json!(null), "listen: missing"),
        ("/name", json!("a/b"), "name: \"a/b\""),
        ("/seed", json!("xyz"), "seed: \"xyz\""),
        ("/stop_ms", json!(0), "stop_ms: 0"),
        ("/stop_ms", json!("soon"), "stop_ms: invalid type"),
        ("/limits/sockets", json!(10), "limits.sockets: 10"),
        ("/settings/tick", json!(0), "settings.tick: 0"),
        (
            "/settings/classes",
            json!([]),
            "settings.classes: at least one",
        ),
        (
            "/settings/classes/0/effect",
            json!("odd"),
            "settings.classes[0].effect: unknown effect \"odd\"",
        ),
        (
            "/settings/classes/0/give_up",
            json!(0),
            "settings.classes[0].give_up: 0",
        ),
        (
            "/settings/classes/0/give_up",
            json!("x"),
            "settings.classes[0].give_up: invalid type",
        ),
        (
            "/settings/specifics/cores",
            json!(0),
            "settings.specifics.cores",
        ),
        (
            "/settings/specifics/memory_kb",
            json!(-1.0),
            "settings.specifics.memory_kb: -1",
        ),
    ];
    for (place, wrong, message) in cases {
        let mut value = good();
        *value.pointer_mut(place).expect(place) = wrong;
        let fault = parse(&value, &Sources::default()).expect_err(place);
        assert!(
            fault.starts_with(message),
            "{fault:?} where {message:?} was meant"
        );
    }
}

#[test]
fn a_missing_key_is_named() {
    for key in ["runtime", "lookup", "store", "settings"] {
        let mut value = good();
        value.as_object_mut().expect("an object").remove(key);
        let fault = parse(&value, &Sources::default()).expect_err(key);
        assert!(fault.contains(&format!("`{key}`")), "{fault}");
    }
}

#[test]
fn the_program_says_what_is_wrong_and_ends_with_a_status_of_its_own() {
    let run = |arguments: &[&str]| {
        let program = env!("CARGO_BIN_EXE_cleatpulley");
        let output = Command::new(program)
            .args(arguments)
            .env_remove("GW_CONFIG")
            .output()
            .expect("it runs");
        (
            output.status.code(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    };
    // 1 is a fault of what the program was given to read, 2 one of the command line.
    for (arguments, code, message) in [
        (&["serve"][..], 1, "GW_CONFIG"),
        (&["serve", "--config", "/nowhere.json"], 1, "/nowhere.json"),
        (&["check-config", "--config", file!()], 1, "expected value"),
        (&["dance"], 2, "unrecognized subcommand 'dance'"),
        (&["version", "--loud"], 2, "unexpected argument '--loud'"),
        (&[], 2, "Usage: cleatpulley"),
    ] {
        let (found, said) = run(arguments);
        assert!(
            found == Some(code) && said.contains(message),
            "{arguments:?}: {said}"
        );
    }
    assert!(Path::new(file!()).exists(), "tests run from the root");
    assert_eq!(run(&["version"]).0, Some(0));
    assert!(run(&["--help"]).1.contains("check-config"));
}

#[test]
fn the_operators_address_is_read_where_there_is_one() {
    assert_eq!(
        parse(&good(), &Sources::default()).expect("good").mgmt,
        None
    );
    let mut file = good();
    file["mgmt"] = json!("127.0.0.1:12000");
    assert_eq!(
        parse(&file, &Sources::default()).expect("good").mgmt,
        "127.0.0.1:12000".parse().ok()
    );
    let variables =
        Sources::default().or_environment(|key| (key == "GW_MGMT").then(|| "::1".to_owned()));
    let fault = parse(&file, &variables).expect_err("no port");
    assert!(
        fault.starts_with("mgmt: \"::1\" is not an address and port"),
        "{fault}"
    );
}
