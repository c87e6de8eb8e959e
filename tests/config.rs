//! The configuration: the values it is read into, and errors that name the invalid key.

use cleatpulley::config::{Config, ConfigSources};
use serde_json::{json, Value};
use std::path::Path;
use std::process::Command;

fn valid_config() -> Value {
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

fn parse(value: &Value, sources: &ConfigSources) -> Result<Config, String> {
    Config::parse(&value.to_string(), sources)
}

#[test]
fn flags_take_precedence_over_the_environment_and_the_environment_over_the_file() {
    let config = parse(&valid_config(), &ConfigSources::default()).expect("valid configuration");
    assert_eq!(
        (config.name.as_str(), config.seed, config.shutdown_time),
        ("n3", 0x8c1f_30d2_7a5b_e964, 3_200_000)
    );
    assert_eq!(config.class_names, ["a"]);
    let flags = ConfigSources {
        name: Some("flag".into()),
        ..ConfigSources::default()
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
    let config =
        parse(&valid_config(), &flags.or_environment(variables)).expect("valid configuration");
    assert_eq!((config.name.as_str(), config.listen.port()), ("flag", 1));
}

#[test]
fn optional_keys_have_defaults() {
    let mut value = valid_config();
    for key in ["seed", "stop_ms", "limits"] {
        value.as_object_mut().expect("an object").remove(key);
    }
    let config = parse(&value, &ConfigSources::default()).expect("valid configuration");
    assert_eq!(
        (config.seed, config.shutdown_time, config.max_descriptors),
        (0, 3_200_000, 1_024)
    );
}

#[test]
fn errors_name_the_invalid_key() {
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
    for (pointer, invalid, message) in cases {
        let mut value = valid_config();
        *value.pointer_mut(pointer).expect(pointer) = invalid;
        let error = parse(&value, &ConfigSources::default()).expect_err(pointer);
        assert!(
            error.starts_with(message),
            "got {error:?}, expected {message:?}"
        );
    }
}

#[test]
fn errors_name_the_missing_key() {
    for key in ["runtime", "lookup", "store", "settings"] {
        let mut value = valid_config();
        value.as_object_mut().expect("an object").remove(key);
        let error = parse(&value, &ConfigSources::default()).expect_err(key);
        assert!(error.contains(&format!("`{key}`")), "{error}");
    }
}

#[test]
fn prints_an_error_and_exits_with_the_status_of_its_kind() {
    let run = |arguments: &[&str]| {
        let program = env!("CARGO_BIN_EXE_cleatpulley");
        let output = Command::new(program)
            .args(arguments)
            .env_remove("GW_CONFIG")
            .output()
            .expect("run the program");
        (
            output.status.code(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    };
    // Status 1 is for invalid files, status 2 for an invalid command line.
    for (arguments, expected_status, message) in [
        (&["serve"][..], 1, "GW_CONFIG"),
        (&["serve", "--config", "/nowhere.json"], 1, "/nowhere.json"),
        (&["check-config", "--config", file!()], 1, "expected value"),
        (&["dance"], 2, "unrecognized subcommand 'dance'"),
        (&["version", "--loud"], 2, "unexpected argument '--loud'"),
        (&[], 2, "Usage: cleatpulley"),
    ] {
        let (status, output) = run(arguments);
        assert!(
            status == Some(expected_status) && output.contains(message),
            "{arguments:?}: {output}"
        );
    }
    assert!(
        Path::new(file!()).exists(),
        "tests have to run in the root folder"
    );
    assert_eq!(run(&["version"]).0, Some(0));
    assert!(run(&["--help"]).1.contains("check-config"));
}

#[test]
fn management_address_is_optional_and_checked() {
    assert_eq!(
        parse(&valid_config(), &ConfigSources::default())
            .expect("valid configuration")
            .management,
        None
    );
    let mut value = valid_config();
    value["mgmt"] = json!("127.0.0.1:12000");
    assert_eq!(
        parse(&value, &ConfigSources::default())
            .expect("valid configuration")
            .management,
        "127.0.0.1:12000".parse().ok()
    );
    let variables =
        ConfigSources::default().or_environment(|key| (key == "GW_MGMT").then(|| "::1".to_owned()));
    let error = parse(&value, &variables).expect_err("the address has no port");
    assert!(
        error.starts_with("mgmt: \"::1\" is not an address and port"),
        "{error}"
    );
}
