//! The operator file: the settings it is read into, and errors that name file, line and key.

use cleatpulley::config::{Config, ConfigSources};
use cleatpulley::operator::OperatorSettings;
use cleatpulley::protocol::ajp::class_table::ClassMatch;
use serde_json::json;
use std::path::Path;

fn config() -> Config {
    let class = |name: &str, effect: &str| json!({"name": name, "effect": effect, "give_up": 6_000_000, "on_time": 2_000_000});
    let value = json!({
    "name": "n3", "listen": "127.0.0.1:5050", "runtime": "127.0.0.1:7300", "lookup": "127.0.0.1:7946",
    "store": "127.0.0.1:9042",
    "settings": {
    "classes": [class("find-race", "idempotent"), class("lobby-view", "idempotent"),
    class("set-prefs", "idempotent"), class("claim-seat", "at_most_once")],
    "tick": 2000, "specifics": {"cores": 2, "memory_kb": 10_000.0}
    }
    });
    Config::parse(&value.to_string(), &ConfigSources::default()).expect("valid configuration")
}

fn load(name: &str, text: &str) -> Result<OperatorSettings, String> {
    let file =
        std::env::temp_dir().join(format!("cleatpulley-{}-{name}.jsonnet", std::process::id()));
    std::fs::write(&file, text).expect("write the operator file");
    let loaded = OperatorSettings::load(&file, &config());
    std::fs::remove_file(&file).expect("remove the operator file");
    loaded.map_err(|error| {
        let text = error.to_string();
        text.split_once(".jsonnet")
            .map(|(_, rest)| rest.to_owned())
            .unwrap_or(text)
    })
}

#[test]
fn example_file_is_valid_and_empty_file_enables_nothing() {
    let operator = OperatorSettings::load(Path::new("deploy/operator.jsonnet"), &config())
        .expect("valid file");
    let ajp = operator.ajp.as_ref().expect("AJP is on");
    assert_eq!(
        ajp.settings.class_table.find(b"POST", b"/claim-seat"),
        ClassMatch::Class(3)
    );
    assert_eq!(ajp.settings.parameter_defaults[3].expected_work, 180_000);
    assert!(
        ajp.settings.parameter_defaults[3].requires_id
            && !ajp.settings.parameter_defaults[0].requires_id
    );
    let idempotency = operator.idempotency.as_ref().expect("results are stored");
    assert_eq!(idempotency.classes, [false, false, false, true]);
    assert_eq!(idempotency.capacity.deduplication_window, 600_000_000);
    let empty = load("nothing", "{}").expect("valid file");
    assert!(empty.ajp.is_none());
    assert_eq!(empty.to_string(), "ajp: off\nstore: called over HTTP");
}

/// A deduplicated class needs stored results. Without an operator file they are stored by default,
/// under the platform's key field. A `results` section that leaves out the class or doesn't require
/// its key is rejected.
#[test]
fn deduplicated_class_requires_stored_results() {
    let mut config = config();
    config.settings.classes[3].effect = cleatpulley::interface::Effect::Deduplicated;
    config.settings.classes[3].deduplication_window = 13_518_000;
    assert!(OperatorSettings::default()
        .check_deduplicated_classes(&config)
        .is_ok());
    let options = config
        .clone()
        .into_server_options(OperatorSettings::default(), Path::new("scratch"));
    let idempotency = options.idempotency.expect("results are stored");
    assert_eq!(idempotency.classes, [false, false, false, true]);
    assert!(
        idempotency.required
            && !idempotency.is_durable
            && idempotency.folder.starts_with("scratch")
    );
    assert_eq!(idempotency.key_frame_field.as_deref(), Some("unique"));
    // A request that is sent at the end of the window may be read until its caller times out.
    let max_client_timeout = config
        .settings
        .classes
        .iter()
        .map(|class| class.client_timeout)
        .max()
        .expect("classes");
    assert_eq!(
        idempotency.capacity.deduplication_window,
        13_518_000 + max_client_timeout
    );
    assert!(idempotency.capacity.max_result_bytes <= config.max_memory_mb * 250_000);
    let mut config_with_two_effects = config.clone();
    config_with_two_effects.settings.classes[2].effect = cleatpulley::interface::Effect::AtMostOnce;
    let file_without_class =
        std::env::temp_dir().join(format!("cleatpulley-{}-other.jsonnet", std::process::id()));
    std::fs::write(
        &file_without_class,
        "{ results: { folder: 'x', classes: ['set-prefs'], frame_field: 'k' } }",
    )
    .expect("write the operator file");
    let error = OperatorSettings::load(&file_without_class, &config_with_two_effects)
        .expect_err("the class is left out")
        .to_string();
    std::fs::remove_file(&file_without_class).expect("remove the operator file");
    assert!(
        error.contains(
            "results: settings.classes[3].effect: retries can't be recognized without stored results"
        ),
        "{error}"
    );
    let file =
        std::env::temp_dir().join(format!("cleatpulley-{}-keyed.jsonnet", std::process::id()));
    let text = |required| {
        format!("{{ results: {{ folder: 'x', classes: ['claim-seat'], frame_field: 'k', required: {required} }} }}")
    };
    std::fs::write(&file, text(true)).expect("write the operator file");
    let operator = OperatorSettings::load(&file, &config).expect("valid file");
    assert!(operator.check_deduplicated_classes(&config).is_ok());
    std::fs::write(&file, text(false)).expect("write the operator file");
    let error = OperatorSettings::load(&file, &config)
        .expect_err("a retry without a key can't be recognized")
        .to_string();
    std::fs::remove_file(&file).expect("remove the operator file");
    assert!(error.contains("results.required"), "{error}");
}

#[test]
fn errors_name_line_and_key() {
    let ajp_with = |rest: &str| {
        format!("{{\n  ajp: {{\n    listen: ['127.0.0.1:1'],\n    figures: {{ id: 'X-Id' }},\n    routes: [{{ path: '/a', class: 'find-race' }}],\n    {rest}\n  }},\n}}\n")
    };
    let results_with =
        |rest: &str| format!("{{\n  results: {{ folder: 'x',\n    {rest}\n  }},\n}}\n");
    for (name, text, expected) in [
        ("syntax", "{\n  ajp: [1 2],\n}".to_owned(), ":2: "),
        (
            "safe",
            results_with("classes: ['find-race'], frame_field: 'k'"),
            ":3: results.classes[0]: \"find-race\" is idempotent",
        ),
        (
            "window",
            results_with("classes: ['claim-seat'], frame_field: 'k', window_ms: 10"),
            ":3: results.window_ms: 10 is less than",
        ),
        (
            "nokey",
            results_with("classes: ['claim-seat']"),
            ":2: results.frame_field: no protocol carries keys",
        ),
        (
            "field",
            results_with("classes: ['claim-seat'], frame_field: 'txn'"),
            ":3: results.frame_field: \"txn\" is empty, too long or already used",
        ),
        (
            "owner",
            results_with("classes: ['claim-seat'], frame_field: 'k', owner: 'x'"),
            ":3: results.owner: \"x\" is neither",
        ),
        (
            "stall",
            results_with("classes: ['claim-seat'], frame_field: 'k', stall_ms: 0"),
            ":3: results.stall_ms: 0 is not within",
        ),
        (
            "array",
            "[1, 2]".to_owned(),
            ": the template does not evaluate to an object",
        ),
        ("empty", String::new(), ":1: the file is empty"),
        (
            "undefined",
            "{\n\n  ajp: nothing,\n}".to_owned(),
            ":3: variable is not defined: nothing",
        ),
        (
            "unknown",
            ajp_with("packets: 9"),
            ":6: ajp.packets: unknown field `packets`",
        ),
        (
            "section",
            "{\n  ajb: {},\n}".to_owned(),
            ":2: ajb: unknown field `ajb`",
        ),
        (
            "type",
            ajp_with("packet_size: 'big'"),
            ":6: ajp.packet_size: invalid type: string \"big\"",
        ),
        (
            "size",
            ajp_with("packet_size: 100"),
            ":6: ajp.packet_size: 100 is not within 8192 to 65536",
        ),
        (
            "class",
            ajp_with("routes: [{ path: '/b', class: 'spin' }]").replacen(
                "    routes: [{ path: '/a', class: 'find-race' }],\n",
                "",
                1,
            ),
            ":5: ajp.routes[0].class: \"spin\" is not a class",
        ),
        (
            "open",
            ajp_with("listen: ['10.0.0.1:8009']").replacen("    listen: ['127.0.0.1:1'],\n", "", 1),
            ":5: ajp.listen[0]: 10.0.0.1:8009 is not a loopback address, so a secret is required",
        ),
        (
            "body",
            ajp_with("timeouts_ms: { body: 6000 }"),
            ":6: ajp.timeouts_ms.body: 6000 ms leave no time",
        ),
        (
            "door",
            ajp_with("figures+: { door: 'X-Door' }").replacen(
                "    figures: { id: 'X-Id' },\n",
                "",
                1,
            ),
            ":5: ajp.figures.door: only trusted proxies may set it",
        ),
        (
            "rank",
            ajp_with("defaults: { rank: 1 }"),
            ":6: ajp.defaults.rank: 1 is not from 0 to under 1",
        ),
        (
            "secret",
            ajp_with("secret: ''"),
            ":6: ajp.secret: it is empty",
        ),
        (
            "store",
            "{\n  store: { protocol: 'smtp' },\n}".to_owned(),
            ":2: store.protocol: \"smtp\" is neither",
        ),
    ] {
        let error = load(name, &text).expect_err(name);
        assert!(error.starts_with(expected), "{name}: {error}");
    }
    let error = OperatorSettings::load(Path::new("/nowhere.jsonnet"), &config())
        .expect_err("the file does not exist");
    assert!(error.to_string().contains("/nowhere.jsonnet"), "{error}");
}

#[test]
fn class_with_an_effect_needs_an_id_unless_needs_id_is_false() {
    let text = |rest: &str| {
        format!("{{ ajp: {{ listen: ['127.0.0.1:1'], routes: [{{ path: '/a', class: 'claim-seat' }}], {rest} }} }}")
    };
    let error = load("no-id", &text("")).expect_err("no header is set");
    assert!(
        error.contains("ajp.figures.id: class \"claim-seat\" has an effect"),
        "{error}"
    );
    load("waived", &text("defaults: { needs_id: false }")).expect("needs_id is false");
}

/// The error has the name and the line of the imported template, not those of the importing file.
#[test]
fn errors_in_an_imported_template_name_the_template() {
    let dir = tempfile::tempdir().expect("create a folder");
    let file = dir.path().join("operator.jsonnet");
    std::fs::write(&file, "\n\n(import 'part.libsonnet')").expect("write the operator file");
    for (text, expected) in [
        (
            "{\n  ajp: missing,\n}",
            ":2: variable is not defined: missing",
        ),
        ("", ":1: the file is empty"),
    ] {
        std::fs::write(dir.path().join("part.libsonnet"), text).expect("write the template");
        let error = OperatorSettings::load(&file, &config())
            .expect_err("the template is invalid")
            .to_string();
        let (folder, rest) = error.split_once("part.libsonnet").unwrap_or(("", &error));
        assert!(!folder.is_empty() && rest.starts_with(expected), "{error}");
    }
}

#[test]
fn errors_in_the_admission_section_name_their_keys() {
    for (section, expected) in [
        (
            "named: ['10.0.0.1/8']",
            "admission.named[0]: \"10.0.0.1/8\" has bits beyond its prefix",
        ),
        (
            "named: ['a', 'b']",
            "admission.named[0]: \"a\" is neither an IP address nor a prefix",
        ),
        (
            "reserve: 0.95",
            "admission.reserve: 0.95 is not within 0 to 0.9",
        ),
        (
            "address: { places: 0 }",
            "admission.address.places: 0 admits no connection",
        ),
        (
            "address: { burst: 5 }",
            "admission.address.per_second: it is required with a burst",
        ),
        (
            "prefix: { per_second: 0 }",
            "admission.prefix.per_second: 0 is not above 0",
        ),
        (
            "prefix: { per_second: 5, burst: 0 }",
            "admission.prefix.burst: 0 is not within 1",
        ),
        (
            "prefix_bits: [4, 64]",
            "admission.prefix_bits: 4 and 64 are not within",
        ),
        (
            "earned: { points: 0 }",
            "admission.earned.points: 0 is not within",
        ),
        (
            "earned: { most: 0 }",
            "admission.earned.most: 0 is not within",
        ),
        ("reserves: 0.1", "unknown field `reserves`"),
    ] {
        let error = load(
            "admission.jsonnet",
            &format!("{{ admission: {{ {section} }} }}"),
        )
        .map(drop)
        .expect_err(section);
        assert!(error.contains(expected), "{section}: {error}");
    }
}
