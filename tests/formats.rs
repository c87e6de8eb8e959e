//! Files that the program reads and answers that it gives keep their names and forms: those of release 0.2 are read, and
//! come to the same.
//!
//! `fixtures/operator` has the platform's configuration and an operator file with every key of every section;
//! `fixtures/deploy` is the example of release 0.2. `check-config.txt` and `route-check.txt` are what the program printed
//! for them, with SERIAL and UNTIL in the place of what differs between certificates. `fixtures/vars.txt` lists the keys
//! of `/_vars` with the kinds of their values.

use cleatpulley::config::{Config, Sources};
use cleatpulley::dispatcher::KeyScope;
use cleatpulley::interface::{DependencyLimit, Effect, FeedbackKind, Preemption};
use cleatpulley::operator::{evaluate, fleet::FleetConfig, gateway, Operator};
use cleatpulley::protocol::ajp::server::ParameterSource;
use cleatpulley::protocol::management::{Connection, ManagementData};
use cleatpulley::server::dependency_pool::DependencyProtocol;
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_tls::authority;
use cleatpulley_tls::certificate::CertificateWithKey;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};
use tempfile::TempDir;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn text(name: &str) -> String {
    fs::read_to_string(fixture(name)).expect("a fixture")
}

fn copy(from: &Path, to: &Path) {
    for entry in fs::read_dir(from).expect("the fixture is there") {
        let path = entry.expect("an entry").path();
        let copied = to.join(path.file_name().expect("a name"));
        if path.is_dir() {
            fs::create_dir(&copied).expect("a folder");
            copy(&path, &copied);
        } else {
            fs::copy(&path, copied).expect("it is copied");
        }
    }
}

/// A copy of a folder of fixtures, with the authority, certificate and secrets that its files name.
fn installed(name: &str) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    copy(&fixture(name), folder.path());
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_secs() as i64;
    let ca = authority::create_authority("test authority", now, 30).expect("an authority");
    let made = authority::issue_certificate(
        (&ca.certificate, &ca.key),
        &["n3".to_owned()],
        None,
        now,
        30,
    );
    let made = made.expect("a certificate");
    let secret = "ab".repeat(32);
    let files = [
        ("ca.pem", &ca.certificate),
        ("n3.pem", &made.certificate),
        ("n3.key", &made.key),
        ("tickets.key", &secret),
    ];
    for (name, text) in files {
        fs::write(folder.path().join(name), text).expect("it is written");
    }
    folder
}

/// What the program prints with these arguments in a folder; the certificate's own is replaced.
fn printed(folder: &Path, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cleatpulley"));
    for variable in ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_MGMT"] {
        command.env_remove(variable);
    }
    let output = command
        .args(arguments)
        .current_dir(folder)
        .env("TMPDIR", "/scratch")
        .output()
        .expect("it runs");
    let complaint = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {complaint}");
    let pair =
        CertificateWithKey::load(&folder.join("n3.pem"), &folder.join("n3.key")).expect("a pair");
    let said = String::from_utf8(output.stdout).expect("text");
    said.replace(&pair.info.serial, "SERIAL")
        .replace(&pair.info.not_after.to_string(), "UNTIL")
}

fn config() -> Config {
    Config::parse(&text("operator/matcher.json"), &Sources::default()).expect("good")
}

#[test]
fn check_config_prints_what_release_0_2_prints() {
    let folder = installed("operator");
    let arguments = [
        "check-config",
        "--config",
        "matcher.json",
        "--operator",
        "operator.jsonnet",
    ];
    assert_eq!(
        printed(folder.path(), &arguments),
        text("operator/check-config.txt")
    );
    let alone = ["check-config", "--config", "matcher.json"];
    assert_eq!(
        printed(folder.path(), &alone),
        text("operator/check-config-alone.txt")
    );
}

#[test]
fn check_config_prints_the_same_of_the_example_of_release_0_2() {
    let folder = installed("deploy");
    fs::copy(
        fixture("operator/matcher.json"),
        folder.path().join("matcher.json"),
    )
    .expect("it is copied");
    let mut config: Value = serde_json::from_str(&text("operator/matcher.json")).expect("JSON");
    config["settings"]["classes"][3]["effect"] = json!("at_most_once");
    fs::write(folder.path().join("matcher.json"), config.to_string()).expect("it is written");
    let arguments = [
        "check-config",
        "--config",
        "matcher.json",
        "--operator",
        "operator.jsonnet",
    ];
    assert_eq!(
        printed(folder.path(), &arguments),
        text("deploy/check-config.txt")
    );
}

#[test]
fn route_check_prints_what_release_0_2_prints() {
    let folder = installed("operator");
    let arguments = ["route", "--operator", "operator.jsonnet", "--check"];
    assert_eq!(
        printed(folder.path(), &arguments),
        text("operator/route-check.txt")
    );
}

/// Keys that are unknown are refused: that each section is read shows that all its keys are known.
#[test]
fn the_operator_file_has_the_sections_and_keys_of_release_0_2() {
    let folder = installed("operator");
    let file = folder.path().join("operator.jsonnet");
    let value: Value = serde_json::from_str(&evaluate(&file).expect("good")).expect("JSON");
    let sections: BTreeSet<&str> = value
        .as_object()
        .expect("sections")
        .keys()
        .map(String::as_str)
        .collect();
    let all = [
        "admission",
        "ajp",
        "cluster",
        "fleet",
        "gateway",
        "results",
        "store",
        "tls",
    ];
    assert_eq!(sections, BTreeSet::from(all));
    let operator = Operator::load(&file, &config()).expect("good");
    let ajp = operator.ajp.as_ref().expect("it is on");
    let figures = &ajp.settings.parameter_sources;
    let header = |name: &str| Some(ParameterSource::Header(name.to_owned()));
    assert_eq!(
        (&figures.id, &figures.received_at_ms),
        (&header("X-Request-Id"), &header("X-Door"))
    );
    assert_eq!(
        (&figures.work_ms, &figures.memory_kb),
        (&header("X-Work-Ms"), &header("X-Memory-Kb"))
    );
    assert_eq!(
        (&figures.rank, &figures.subject),
        (&header("X-Rank"), &header("X-Subject"))
    );
    assert_eq!(
        figures.caller,
        Some(ParameterSource::Attribute("caller".to_owned()))
    );
    assert_eq!(figures.key, header("Idempotency-Key"));
    let defaults = &ajp.settings.parameter_defaults;
    let of = |class: usize| {
        (
            defaults[class].expected_work,
            defaults[class].memory_kb,
            defaults[class].rank,
        )
    };
    assert_eq!(
        (of(0), of(3)),
        ((300_000, 31.0, 0.25), (180_000, 32.0, 0.75))
    );
    assert_eq!(
        (
            defaults[0].caller,
            defaults[3].caller,
            defaults[0].requires_id
        ),
        (5, 6, true)
    );
    assert_eq!(ajp.settings.secret.as_deref(), Some(&b"a secret"[..]));
    let DependencyProtocol::Ajp(store) = &operator.store else {
        panic!("the store is called over AJP")
    };
    assert_eq!(
        (store.secret.as_deref(), store.packet_size),
        (Some("another secret"), 16_384)
    );
    let results = operator.results.as_ref().expect("they are kept");
    assert_eq!(
        (results.scope, results.key_entry_kb, results.required),
        (KeyScope::PerCaller, 0.25, true)
    );
    assert_eq!(results.key_frame_field.as_deref(), Some("once"));
    let tls = operator.tls.as_ref().expect("it is on");
    assert_eq!(
        (tls.frames, tls.ajp, tls.mgmt, tls.warn_before),
        (true, true, true, 14 * 86_400_000_000)
    );
}

#[test]
fn the_fleet_section_comes_to_the_same_as_with_release_0_2() {
    let fleet = FleetConfig::load(&fixture("operator/operator.jsonnet")).expect("good");
    assert_eq!(
        (fleet.folder.to_str(), fleet.shared_address),
        (Some("/var/lib/cleatpulley-fleet"), None)
    );
    assert_eq!(fleet.slots.len(), 3);
    assert_eq!(
        fleet.releases[&2].operator.as_deref(),
        Some(Path::new("/etc/cleatpulley/{place}.jsonnet"))
    );
    let expected = json!({
    "instances": 2, "surge": 1, "batch": 1, "minimum": 1.5,
    "start_within": 5_100_000, "warm_within": 120_100_000, "drain_within": 10_100_000, "silent_within": 2_100_000,
    "crashes": 4,
    "verdict": {"samples": 501, "refused": 0.06, "failed": 0.02, "late": 0.07, "errors": 3.5},
    "restart": {"first": 210_000, "most": 31_000_000, "budget": 21, "within": 61_000_000},
    });
    assert_eq!(
        serde_json::to_value(fleet.settings).expect("JSON"),
        expected
    );
    let planner_input = fleet.planner_input.expect("a host is described");
    let host = json!({
    "cores": 24.0, "cores_each": 1.5, "rate_each": 150.0, "start": 500_000, "cold_from": 0.25,
    "warm_after": 4_000_000, "drain": 3_000_000,
    });
    assert_eq!(
        serde_json::to_value(planner_input.host).expect("JSON"),
        host
    );
    assert_eq!(
        (planner_input.demand.0, planner_input.headroom),
        (vec![(0, 180.0), (600_000_000, 240.0)], 0.125)
    );
}

/// What is left out has the defaults of release 0.2.
#[test]
fn keys_that_exclude_others_are_those_of_release_0_2() {
    let file = fixture("operator/imported.jsonnet");
    let operator = Operator::load(&file, &config()).expect("good");
    assert!(
        operator
            .ajp
            .is_some_and(|ajp| ajp.settings.class_lookup.is_some()),
        "routes are imported"
    );
    assert!(matches!(operator.store, DependencyProtocol::Http));
    let results = operator.results.expect("they are kept");
    assert_eq!(
        (results.scope, results.capacity.deduplication_window),
        (KeyScope::Global, 600_000_000)
    );
    let fleet = FleetConfig::load(&file).expect("good");
    assert_eq!(fleet.shared_address, "127.0.0.1:7000".parse().ok());
    assert_eq!(
        (
            fleet.settings.surge,
            fleet.settings.batch,
            fleet.settings.failure_limit
        ),
        (1, 1, 3)
    );
    assert!(fleet.planner_input.is_none());
    let options = gateway::load(&file).expect("good");
    assert_eq!(
        (
            options.name.as_str(),
            options.max_connections_per_target,
            options.max_descriptors
        ),
        ("gateway", 8, 1_024)
    );
    assert!(options.ajp.is_none() && options.tls.is_none());
}

#[test]
fn the_gateway_section_comes_to_the_same_as_with_release_0_2() {
    let folder = installed("operator");
    let options = gateway::load(&folder.path().join("operator.jsonnet")).expect("good");
    assert_eq!(
        (options.name.as_str(), options.frames_host.as_str()),
        ("gateway-1", "match.example.org")
    );
    assert_eq!(
        (options.max_connections_per_target, options.max_descriptors),
        (9, 2_048)
    );
    assert_eq!(
        (options.shutdown_time, options.drain_grace),
        (11_000_000, 2_600_000)
    );
    let settings = &options.settings;
    assert_eq!(
        (settings.retry_share, settings.seed, settings.max_held_bytes),
        (0.2, 77, 65_000_000)
    );
    assert_eq!(settings.listen_address.as_deref(), Some("*:80"));
    let classes: Vec<_> = settings
        .classes
        .iter()
        .map(|class| (class.name.as_str(), class.deadline, class.has_effect))
        .collect();
    assert_eq!(
        classes,
        [
            ("claim-seat", 3_900_000, true),
            ("lobby-view", 6_500_000, false)
        ]
    );
    let (listen, ajp, proxies) = options.ajp.expect("it is on");
    assert_eq!(
        (listen, proxies),
        (
            vec![([127, 0, 0, 1], 7_409).into()],
            vec![[127, 0, 0, 1].into()]
        )
    );
    assert_eq!(
        (ajp.max_body_bytes, ajp.parameter_sources.received_at_ms),
        (4_097, Some(ParameterSource::Header("X-Came".to_owned())))
    );
    assert_eq!(
        options.target_addresses.get("m1.example.org:7001"),
        Some(&([127, 0, 0, 1], 7_001).into())
    );
    let tls = options.tls.expect("targets are called over TLS");
    assert_eq!(tls.server_name.as_deref(), Some("n3"));
}

#[test]
fn the_platforms_configuration_comes_to_the_same_as_with_release_0_2() {
    let config = config();
    assert_eq!(
        (config.name.as_str(), config.seed, config.stop),
        ("n3", 0x8c1f_30d2_7a5b_e964, 4_200_000)
    );
    assert_eq!((config.sockets, config.memory_mb), (512, 96));
    let ports =
        [config.listen, config.runtime, config.lookup, config.store].map(|address| address.port());
    assert_eq!(
        (ports, config.mgmt),
        ([5_050, 7_300, 7_946, 9_042], "127.0.0.1:12000".parse().ok())
    );
    assert_eq!(
        config.class_names,
        ["find-race", "lobby-view", "set-prefs", "claim-seat"]
    );
    assert_eq!(
        config.gauge_names,
        ["cpu_busy", "runnable", "mem_used", "sockets"]
    );
    let settings = &config.settings;
    let [first, second, third, fourth] = &settings.classes[..] else {
        panic!("four classes")
    };
    assert_eq!([first.effect, second.effect], [Effect::Idempotent; 2]);
    assert_eq!(
        [third.effect, fourth.effect],
        [Effect::AtMostOnce, Effect::Deduplicated]
    );
    assert_eq!(
        (
            first.latency_objective,
            first.latency_objective_stretch,
            first.client_timeout
        ),
        (2_000_000, 0.5, 8_000_000)
    );
    assert_eq!(
        (
            first.late_weight_ratio,
            first.priority_weight,
            first.deduplication_window
        ),
        (0.25, 1.5, 0)
    );
    assert_eq!(
        (fourth.priority_weight, fourth.deduplication_window),
        (4.0, 13_518_000)
    );
    let calls = [first, second, third, fourth]
        .map(|class| (class.calls_dependency, class.weight_ratio_without_call));
    assert_eq!(
        calls,
        [(true, 0.5), (true, 0.25), (false, 0.0), (true, 0.125)]
    );
    let quotas: Vec<f64> = settings
        .tenants
        .iter()
        .map(|tenant| tenant.quota_per_second)
        .collect();
    assert_eq!(
        (quotas, settings.over_quota_weight_ratio),
        (vec![12.5, 50.0], 0.75)
    );
    assert!(settings.weight_by_work && settings.marks_retries && settings.reports_abandonment);
    assert!(settings.discovery_follows_health && settings.cold_start);
    assert_eq!(
        (settings.servers, settings.callers, settings.cores),
        (3, 4, 6)
    );
    assert_eq!(
        (
            settings.memory_kb,
            settings.key_entry_kb,
            settings.running_memory_factor
        ),
        (7_200.5, 10.5, 4.5)
    );
    assert_eq!(
        settings.dependency,
        DependencyLimit::Shared {
            concurrency_quota: 8.5,
            averaging_window: 5_000_000
        }
    );
    assert_eq!(
        (
            settings.client_idle_timeout,
            settings.abandoned_call_linger,
            settings.shared_response_lifetime
        ),
        (30_000_000, 200_000, 700_000)
    );
    assert_eq!(
        (
            settings.feedback,
            settings.preemption,
            settings.max_retry_after
        ),
        (
            FeedbackKind::ConcurrencyAllowance,
            Preemption::Suspend,
            2_000_000
        )
    );
    assert_eq!(
        (settings.cold_start_speed, settings.warm_up_time),
        (0.25, 4_000_000)
    );
    assert_eq!(
        (settings.response_slack, settings.drain_grace),
        (60_000, 2_500_000)
    );
    assert_eq!(
        (settings.overload_concurrency_per_core, settings.tick),
        (6.5, 2_000)
    );
}

#[test]
fn words_of_the_platforms_configuration_mean_what_they_mean_to_release_0_2() {
    let with = |key: &str, word: &str| {
        let mut value: Value = serde_json::from_str(&text("operator/matcher.json")).expect("JSON");
        value["settings"]["specifics"][key] = json!(word);
        Config::parse(&value.to_string(), &Sources::default())
            .expect("good")
            .settings
    };
    let adverts = [
        ("floor", FeedbackKind::MinimumRank),
        ("weight", FeedbackKind::Weight),
        ("none", FeedbackKind::Unused),
    ];
    adverts
        .into_iter()
        .for_each(|(word, advert)| assert_eq!(with("advert", word).feedback, advert, "{word}"));
    for (word, halt) in [
        ("", Preemption::Never),
        ("silent", Preemption::Never),
        ("discard", Preemption::Discard),
    ] {
        assert_eq!(with("halt", word).preemption, halt, "{word:?}");
    }
    for (word, below) in [
        ("tier", DependencyLimit::NextTier),
        ("nothing", DependencyLimit::NoDependency),
    ] {
        assert_eq!(with("below", word).dependency, below, "{word}");
    }
}

#[test]
fn the_configuration_of_a_standin_has_the_keys_of_release_0_2() {
    let site = Site::start(Setup::default()).expect("a site");
    let mut keys = BTreeSet::new();
    list(&site.config, "", &mut keys);
    let expected = text("standin-config.txt");
    assert_eq!(
        keys.into_iter().collect::<Vec<_>>().join("\n") + "\n",
        expected
    );
}

struct Fixed(bool);

impl ManagementData for Fixed {
    fn is_ready(&self) -> bool {
        self.0
    }

    fn variables_json(&self) -> Vec<u8> {
        b"{}\n".to_vec()
    }
}

#[test]
fn ready_is_answered_with_the_bytes_of_release_0_2() {
    for (ready, name) in [(true, "ready.http"), (false, "not-ready.http")] {
        let mut out = Vec::new();
        let call = b"GET /_ready HTTP/1.1\r\nHost: n3\r\n\r\n";
        Connection::new(0).receive(1, call, &mut out, &Fixed(ready));
        assert_eq!(String::from_utf8(out).expect("text"), text(name));
    }
}

/// The keys of a value, with the kinds of what they lead to.
fn list(value: &Value, key: &str, keys: &mut BTreeSet<String>) {
    let kind = match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(all) => {
            all.iter()
                .for_each(|one| list(one, &format!("{key}[]"), keys));
            "array"
        }
        Value::Object(all) => {
            all.iter()
                .for_each(|(name, one)| list(one, &format!("{key}/{name}"), keys));
            "object"
        }
    };
    keys.insert(format!("{key} {kind}"));
}

#[test]
fn figures_for_operators_have_the_keys_of_release_0_2() {
    let folder = installed("operator");
    let site = Site::start(Setup::default()).expect("a site");
    let at = |name: &str| folder.path().join(name).display().to_string();
    let operator = format!(
"{{ admission: {{ address: {{ places: 100 }} }}, tls: {{ certificate: '{}', key: '{}', on: ['frames'], \
         handshakes: {{ per_second: 100 }} }} }}",
at("n3.pem"),
at("n3.key")
);
    let program = Path::new(env!("CARGO_BIN_EXE_cleatpulley"));
    let matcher = Matcher::start(program, &site.config, Some(&operator)).expect("it starts");
    let (status, body) = matcher.ask("/_ready").expect("an answer");
    assert_eq!(
        (status, String::from_utf8(body).expect("text")),
        (200, "{\"ready\":true}\n".to_owned())
    );
    let (status, body) = matcher.ask("/_vars").expect("an answer");
    assert_eq!(status, 200);
    let mut keys = BTreeSet::new();
    list(&serde_json::from_slice(&body).expect("JSON"), "", &mut keys);
    assert_eq!(
        keys.into_iter().collect::<Vec<_>>().join("\n") + "\n",
        text("vars.txt")
    );
}
