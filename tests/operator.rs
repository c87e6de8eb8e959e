//! The operator file: what it comes to, and faults that name file, line and key.

use cleatpulley::config::{Config, Sources};
use cleatpulley::operator::Operator;
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
    Config::parse(&value.to_string(), &Sources::default()).expect("good")
}

fn load(name: &str, text: &str) -> Result<Operator, String> {
    let file =
        std::env::temp_dir().join(format!("cleatpulley-{}-{name}.jsonnet", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    let loaded = Operator::load(&file, &config());
    std::fs::remove_file(&file).expect("it is there");
    loaded.map_err(|fault| {
        let text = fault.to_string();
        text.split_once(".jsonnet")
            .map(|(_, rest)| rest.to_owned())
            .unwrap_or(text)
    })
}

#[test]
fn the_example_is_good_and_an_empty_file_switches_nothing_on() {
    let operator = Operator::load(Path::new("deploy/operator.jsonnet"), &config()).expect("good");
    let front = operator.ajp.as_ref().expect("it is on");
    assert_eq!(
        front.settings.class_table.find(b"POST", b"/claim-seat"),
        ClassMatch::Class(3)
    );
    assert_eq!(front.settings.parameter_defaults[3].expected_work, 180_000);
    assert!(
        front.settings.parameter_defaults[3].requires_id
            && !front.settings.parameter_defaults[0].requires_id
    );
    let results = operator.results.as_ref().expect("it is on");
    assert_eq!(results.classes, [false, false, false, true]);
    assert_eq!(results.capacity.deduplication_window, 600_000_000);
    let empty = load("nothing", "{}").expect("good");
    assert!(empty.ajp.is_none());
    assert_eq!(empty.to_string(), "ajp: off\nstore: called over HTTP");
}

/// A class whose further tries have to be known has its results kept: by themselves under the platform's key where no
/// operator file says how, and refused where one does and leaves the class or its key out.
#[test]
fn a_deduplicated_class_takes_kept_results() {
    let mut config = config();
    config.settings.classes[3].effect = cleatpulley::interface::Effect::Deduplicated;
    config.settings.classes[3].deduplication_window = 13_518_000;
    assert!(Operator::default().covers(&config).is_ok());
    let options = config
        .clone()
        .options(Operator::default(), Path::new("scratch"));
    let kept = options.idempotency.expect("they are kept");
    assert_eq!(kept.classes, [false, false, false, true]);
    assert!(kept.required && !kept.is_durable && kept.folder.starts_with("scratch"));
    assert_eq!(kept.key_frame_field.as_deref(), Some("unique"));
    // What is written in the last moment of the window may be read as late as its caller waits.
    let latest = config
        .settings
        .classes
        .iter()
        .map(|class| class.client_timeout)
        .max()
        .expect("classes");
    assert_eq!(kept.capacity.deduplication_window, 13_518_000 + latest);
    assert!(kept.capacity.max_result_bytes <= config.memory_mb * 250_000);
    let mut two = config.clone();
    two.settings.classes[2].effect = cleatpulley::interface::Effect::AtMostOnce;
    let other =
        std::env::temp_dir().join(format!("cleatpulley-{}-other.jsonnet", std::process::id()));
    std::fs::write(
        &other,
        "{ results: { folder: 'x', classes: ['set-prefs'], frame_field: 'k' } }",
    )
    .expect("a file");
    let bare = Operator::load(&other, &two)
        .expect_err("it is left out")
        .to_string();
    std::fs::remove_file(&other).expect("it is there");
    assert!(
        bare.contains("results: settings.classes[3].effect: further tries"),
        "{bare}"
    );
    let file =
        std::env::temp_dir().join(format!("cleatpulley-{}-keyed.jsonnet", std::process::id()));
    let text = |required| {
        format!("{{ results: {{ folder: 'x', classes: ['claim-seat'], frame_field: 'k', required: {required} }} }}")
    };
    std::fs::write(&file, text(true)).expect("a file");
    let kept = Operator::load(&file, &config).expect("good");
    assert!(kept.covers(&config).is_ok());
    std::fs::write(&file, text(false)).expect("a file");
    let fault = Operator::load(&file, &config)
        .expect_err("a request without a key could not be told")
        .to_string();
    std::fs::remove_file(&file).expect("it is there");
    assert!(fault.contains("results.required"), "{fault}");
}

#[test]
fn faults_name_line_and_key() {
    let with = |rest: &str| {
        format!("{{\n  ajp: {{\n    listen: ['127.0.0.1:1'],\n    figures: {{ id: 'X-Id' }},\n    routes: [{{ path: '/a', class: 'find-race' }}],\n    {rest}\n  }},\n}}\n")
    };
    let results = |rest: &str| format!("{{\n  results: {{ folder: 'x',\n    {rest}\n  }},\n}}\n");
    for (name, text, expected) in [
        ("syntax", "{\n  ajp: [1 2],\n}".to_owned(), ":2: "),
        (
            "safe",
            results("classes: ['find-race'], frame_field: 'k'"),
            ":3: results.classes[0]: \"find-race\" is safe",
        ),
        (
            "window",
            results("classes: ['claim-seat'], frame_field: 'k', window_ms: 10"),
            ":3: results.window_ms: 10 is less than",
        ),
        (
            "nokey",
            results("classes: ['claim-seat']"),
            ":2: results.frame_field: no front brings keys",
        ),
        (
            "field",
            results("classes: ['claim-seat'], frame_field: 'txn'"),
            ":3: results.frame_field: \"txn\" is empty, too long or taken",
        ),
        (
            "owner",
            results("classes: ['claim-seat'], frame_field: 'k', owner: 'x'"),
            ":3: results.owner: \"x\" is neither",
        ),
        (
            "stall",
            results("classes: ['claim-seat'], frame_field: 'k', stall_ms: 0"),
            ":3: results.stall_ms: 0 is not within",
        ),
        (
            "array",
            "[1, 2]".to_owned(),
            ": it comes to something else than an object",
        ),
        ("empty", String::new(), ":1: the file is empty"),
        (
            "undefined",
            "{\n\n  ajp: nothing,\n}".to_owned(),
            ":3: variable is not defined: nothing",
        ),
        (
            "unknown",
            with("packets: 9"),
            ":6: ajp.packets: unknown field `packets`",
        ),
        (
            "section",
            "{\n  ajb: {},\n}".to_owned(),
            ":2: ajb: unknown field `ajb`",
        ),
        (
            "type",
            with("packet_size: 'big'"),
            ":6: ajp.packet_size: invalid type: string \"big\"",
        ),
        (
            "size",
            with("packet_size: 100"),
            ":6: ajp.packet_size: 100 is not within 8192 to 65536",
        ),
        (
            "class",
            with("routes: [{ path: '/b', class: 'spin' }]").replacen(
                "    routes: [{ path: '/a', class: 'find-race' }],\n",
                "",
                1,
            ),
            ":5: ajp.routes[0].class: \"spin\" is no class",
        ),
        (
            "open",
            with("listen: ['10.0.0.1:8009']").replacen("    listen: ['127.0.0.1:1'],\n", "", 1),
            ":5: ajp.listen[0]: 10.0.0.1:8009 is no loopback address, which takes a secret",
        ),
        (
            "body",
            with("timeouts_ms: { body: 6000 }"),
            ":6: ajp.timeouts_ms.body: 6000 ms leave no time",
        ),
        (
            "door",
            with("figures+: { door: 'X-Door' }").replacen("    figures: { id: 'X-Id' },\n", "", 1),
            ":5: ajp.figures.door: it is believed of trusted proxies only",
        ),
        (
            "rank",
            with("defaults: { rank: 1 }"),
            ":6: ajp.defaults.rank: 1 is not from 0 to under 1",
        ),
        ("secret", with("secret: ''"), ":6: ajp.secret: it is empty"),
        (
            "store",
            "{\n  store: { protocol: 'smtp' },\n}".to_owned(),
            ":2: store.protocol: \"smtp\" is neither",
        ),
    ] {
        let fault = load(name, &text).expect_err(name);
        assert!(fault.starts_with(expected), "{name}: {fault}");
    }
    let missing =
        Operator::load(Path::new("/nowhere.jsonnet"), &config()).expect_err("there is none");
    assert!(
        missing.to_string().contains("/nowhere.jsonnet"),
        "{missing}"
    );
}

#[test]
fn a_class_with_an_effect_needs_an_id_unless_the_operator_says_otherwise() {
    let text = |rest: &str| {
        format!("{{ ajp: {{ listen: ['127.0.0.1:1'], routes: [{{ path: '/a', class: 'claim-seat' }}], {rest} }} }}")
    };
    let fault = load("no-id", &text("")).expect_err("no header is named");
    assert!(
        fault.contains("ajp.figures.id: class \"claim-seat\" has an effect"),
        "{fault}"
    );
    load("waived", &text("defaults: { needs_id: false }")).expect("the operator has said so");
}

/// A fault in a template is told with the template's name and line, not with those of the file that imports it.
#[test]
fn faults_of_an_imported_template_name_the_template() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("operator.jsonnet");
    std::fs::write(&file, "\n\n(import 'part.libsonnet')").expect("a file");
    for (text, expected) in [
        (
            "{\n  ajp: missing,\n}",
            ":2: variable is not defined: missing",
        ),
        ("", ":1: the file is empty"),
    ] {
        std::fs::write(dir.path().join("part.libsonnet"), text).expect("a file");
        let fault = Operator::load(&file, &config())
            .expect_err("faulty")
            .to_string();
        let (name, rest) = fault.split_once("part.libsonnet").unwrap_or(("", &fault));
        assert!(!name.is_empty() && rest.starts_with(expected), "{fault}");
    }
}

#[test]
fn faults_of_the_section_on_admission_name_their_keys() {
    for (section, fault) in [
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
            "admission.address.places: 0 lets nobody in",
        ),
        (
            "address: { burst: 5 }",
            "admission.address.per_second: a burst needs it",
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
        let told = load(
            "admission.jsonnet",
            &format!("{{ admission: {{ {section} }} }}"),
        )
        .map(drop)
        .expect_err(section);
        assert!(told.contains(fault), "{section}: {told}");
    }
}
