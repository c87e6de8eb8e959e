//! Compatibility of file formats and responses with release 0.2: its files are read into the same
//! settings, and the output keeps its keys and texts.
//!
//! `fixtures/operator` has the platform's configuration and an operator file with every key of every
//! section; `fixtures/deploy` is the example of release 0.2. `check-config.txt` and `route-check.txt`
//! are the program's output for them, with the placeholders SERIAL and UNTIL for the values that
//! differ between certificates. `fixtures/vars.txt` lists the keys of `/_vars` with the kinds of
//! their values.

use cleatpulley::config::{Config, ConfigSources};
use cleatpulley::dispatcher::KeyScope;
use cleatpulley::interface::{DependencyLimit, Effect, FeedbackKind, Preemption};
use cleatpulley::operator::{evaluate, fleet::FleetConfig, gateway, OperatorSettings};
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

fn fixture_text(name: &str) -> String {
    fs::read_to_string(fixture(name)).expect("read the fixture")
}

fn copy_folder(from: &Path, to: &Path) {
    for entry in fs::read_dir(from).expect("list the folder") {
        let source = entry.expect("read the entry").path();
        let target = to.join(source.file_name().expect("the entry has a name"));
        if source.is_dir() {
            fs::create_dir(&target).expect("create the folder");
            copy_folder(&source, &target);
        } else {
            fs::copy(&source, target).expect("copy the file");
        }
    }
}

/// Copies a folder of fixtures and adds the authority, certificate and secrets that its files name.
fn install_fixtures(name: &str) -> TempDir {
    let folder = tempfile::tempdir().expect("create a folder");
    copy_folder(&fixture(name), folder.path());
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is past 1970")
        .as_secs() as i64;
    let ca = authority::create_authority("test authority", now, 30).expect("create the authority");
    let issued = authority::issue_certificate(
        (&ca.certificate, &ca.key),
        &["n3".to_owned()],
        None,
        now,
        30,
    );
    let issued = issued.expect("issue the certificate");
    let secret = "ab".repeat(32);
    let files = [
        ("ca.pem", &ca.certificate),
        ("n3.pem", &issued.certificate),
        ("n3.key", &issued.key),
        ("tickets.key", &secret),
    ];
    for (name, text) in files {
        fs::write(folder.path().join(name), text).expect("write the file");
    }
    folder
}

/// Runs the program in a folder and returns its output, with placeholders for the certificate's serial
/// number and expiry.
fn program_output(folder: &Path, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cleatpulley"));
    for variable in ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_MGMT"] {
        command.env_remove(variable);
    }
    let output = command
        .args(arguments)
        .current_dir(folder)
        .env("TMPDIR", "/scratch")
        .output()
        .expect("run the program");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {stderr}");
    let pair = CertificateWithKey::load(&folder.join("n3.pem"), &folder.join("n3.key"))
        .expect("load the pair");
    let stdout = String::from_utf8(output.stdout).expect("the output is UTF-8");
    stdout
        .replace(&pair.info.serial, "SERIAL")
        .replace(&pair.info.not_after.to_string(), "UNTIL")
}

fn config() -> Config {
    Config::parse(
        &fixture_text("operator/matcher.json"),
        &ConfigSources::default(),
    )
    .expect("valid configuration")
}

#[test]
fn check_config_has_the_output_of_release_0_2() {
    let folder = install_fixtures("operator");
    let arguments = [
        "check-config",
        "--config",
        "matcher.json",
        "--operator",
        "operator.jsonnet",
    ];
    assert_eq!(
        program_output(folder.path(), &arguments),
        fixture_text("operator/check-config.txt")
    );
    let without_operator_file = ["check-config", "--config", "matcher.json"];
    assert_eq!(
        program_output(folder.path(), &without_operator_file),
        fixture_text("operator/check-config-alone.txt")
    );
}

#[test]
fn check_config_of_the_example_has_the_output_of_release_0_2() {
    let folder = install_fixtures("deploy");
    fs::copy(
        fixture("operator/matcher.json"),
        folder.path().join("matcher.json"),
    )
    .expect("copy the configuration");
    let mut config: Value =
        serde_json::from_str(&fixture_text("operator/matcher.json")).expect("JSON");
    config["settings"]["classes"][3]["effect"] = json!("at_most_once");
    fs::write(folder.path().join("matcher.json"), config.to_string())
        .expect("write the configuration");
    let arguments = [
        "check-config",
        "--config",
        "matcher.json",
        "--operator",
        "operator.jsonnet",
    ];
    assert_eq!(
        program_output(folder.path(), &arguments),
        fixture_text("deploy/check-config.txt")
    );
}

#[test]
fn route_check_has_the_output_of_release_0_2() {
    let folder = install_fixtures("operator");
    let arguments = ["route", "--operator", "operator.jsonnet", "--check"];
    assert_eq!(
        program_output(folder.path(), &arguments),
        fixture_text("operator/route-check.txt")
    );
}

/// Unknown keys are rejected, so a section that can be read shows that all its keys are known.
#[test]
fn operator_file_has_the_sections_and_keys_of_release_0_2() {
    let folder = install_fixtures("operator");
    let file = folder.path().join("operator.jsonnet");
    let value: Value = serde_json::from_str(&evaluate(&file).expect("valid file")).expect("JSON");
    let sections: BTreeSet<&str> = value
        .as_object()
        .expect("sections")
        .keys()
        .map(String::as_str)
        .collect();
    let expected_sections = [
        "admission",
        "ajp",
        "cluster",
        "fleet",
        "gateway",
        "results",
        "store",
        "tls",
    ];
    assert_eq!(sections, BTreeSet::from(expected_sections));
    let operator = OperatorSettings::load(&file, &config()).expect("valid file");
    let ajp = operator.ajp.as_ref().expect("AJP is on");
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
    let class_defaults = |class: usize| {
        (
            defaults[class].expected_work,
            defaults[class].memory_kb,
            defaults[class].rank,
        )
    };
    assert_eq!(
        (class_defaults(0), class_defaults(3)),
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
    let DependencyProtocol::Ajp(store) = &operator.dependency_protocol else {
        panic!("the store is called over AJP")
    };
    assert_eq!(
        (store.secret.as_deref(), store.packet_size),
        (Some("another secret"), 16_384)
    );
    let idempotency = operator.idempotency.as_ref().expect("results are stored");
    assert_eq!(
        (
            idempotency.scope,
            idempotency.key_entry_kb,
            idempotency.required
        ),
        (KeyScope::PerCaller, 0.25, true)
    );
    assert_eq!(idempotency.key_frame_field.as_deref(), Some("once"));
    let tls = operator.tls.as_ref().expect("TLS is on");
    assert_eq!(
        (tls.frames, tls.ajp, tls.mgmt, tls.warn_before),
        (true, true, true, 14 * 86_400_000_000)
    );
}

#[test]
fn fleet_section_has_the_values_of_release_0_2() {
    let fleet = FleetConfig::load(&fixture("operator/operator.jsonnet")).expect("valid file");
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
    let planner_input = fleet.planner_input.expect("the file describes a host");
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

/// Covers the keys that can't be set together with those of `operator.jsonnet`. Keys that are left out
/// have the defaults of release 0.2.
#[test]
fn mutually_exclusive_keys_are_those_of_release_0_2() {
    let file = fixture("operator/imported.jsonnet");
    let operator = OperatorSettings::load(&file, &config()).expect("valid file");
    assert!(
        operator
            .ajp
            .is_some_and(|ajp| ajp.settings.class_lookup.is_some()),
        "routes are imported"
    );
    assert!(matches!(
        operator.dependency_protocol,
        DependencyProtocol::Http
    ));
    let idempotency = operator.idempotency.expect("results are stored");
    assert_eq!(
        (idempotency.scope, idempotency.capacity.deduplication_window),
        (KeyScope::Global, 600_000_000)
    );
    let fleet = FleetConfig::load(&file).expect("valid file");
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
    let options = gateway::load(&file).expect("valid file");
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
fn gateway_section_has_the_values_of_release_0_2() {
    let folder = install_fixtures("operator");
    let options = gateway::load(&folder.path().join("operator.jsonnet")).expect("valid file");
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
    let (listen, ajp, proxies) = options.ajp.expect("AJP is on");
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
fn platform_configuration_has_the_values_of_release_0_2() {
    let config = config();
    assert_eq!(
        (config.name.as_str(), config.seed, config.shutdown_time),
        ("n3", 0x8c1f_30d2_7a5b_e964, 4_200_000)
    );
    assert_eq!((config.max_descriptors, config.max_memory_mb), (512, 96));
    let ports = [config.listen, config.runtime, config.registry, config.store]
        .map(|address| address.port());
    assert_eq!(
        (ports, config.management),
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
fn keywords_of_the_platform_configuration_have_the_meaning_of_release_0_2() {
    let settings_with = |key: &str, keyword: &str| {
        let mut value: Value =
            serde_json::from_str(&fixture_text("operator/matcher.json")).expect("JSON");
        value["settings"]["specifics"][key] = json!(keyword);
        Config::parse(&value.to_string(), &ConfigSources::default())
            .expect("valid configuration")
            .settings
    };
    let feedback_kinds = [
        ("floor", FeedbackKind::MinimumRank),
        ("weight", FeedbackKind::Weight),
        ("none", FeedbackKind::Unused),
    ];
    feedback_kinds.into_iter().for_each(|(keyword, kind)| {
        assert_eq!(settings_with("advert", keyword).feedback, kind, "{keyword}")
    });
    for (keyword, preemption) in [
        ("", Preemption::Never),
        ("silent", Preemption::Never),
        ("discard", Preemption::Discard),
    ] {
        assert_eq!(
            settings_with("halt", keyword).preemption,
            preemption,
            "{keyword:?}"
        );
    }
    for (keyword, dependency) in [
        ("tier", DependencyLimit::NextTier),
        ("nothing", DependencyLimit::NoDependency),
    ] {
        assert_eq!(
            settings_with("below", keyword).dependency,
            dependency,
            "{keyword}"
        );
    }
}

#[test]
fn configuration_of_the_emulators_has_the_keys_of_release_0_2() {
    let site = Site::start(Setup::default()).expect("start the emulated services");
    let mut keys = BTreeSet::new();
    collect_keys(&site.config, "", &mut keys);
    let expected = fixture_text("standin-config.txt");
    assert_eq!(
        keys.into_iter().collect::<Vec<_>>().join("\n") + "\n",
        expected
    );
}

/// A management endpoint with a fixed readiness.
struct FixedReadiness(bool);

impl ManagementData for FixedReadiness {
    fn is_ready(&self) -> bool {
        self.0
    }

    fn variables_json(&self) -> Vec<u8> {
        b"{}\n".to_vec()
    }
}

#[test]
fn response_to_ready_has_the_bytes_of_release_0_2() {
    for (ready, name) in [(true, "ready.http"), (false, "not-ready.http")] {
        let mut output = Vec::new();
        let request = b"GET /_ready HTTP/1.1\r\nHost: n3\r\n\r\n";
        Connection::new(0).receive(1, request, &mut output, &FixedReadiness(ready));
        assert_eq!(
            String::from_utf8(output).expect("the response is UTF-8"),
            fixture_text(name)
        );
    }
}

/// Collects the paths of all keys in a value, each with the kind of its value.
fn collect_keys(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    let kind = match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(items) => {
            items
                .iter()
                .for_each(|item| collect_keys(item, &format!("{path}[]"), keys));
            "array"
        }
        Value::Object(fields) => {
            fields
                .iter()
                .for_each(|(name, field)| collect_keys(field, &format!("{path}/{name}"), keys));
            "object"
        }
    };
    keys.insert(format!("{path} {kind}"));
}

#[test]
fn vars_have_the_keys_of_release_0_2() {
    let folder = install_fixtures("operator");
    let site = Site::start(Setup::default()).expect("start the emulated services");
    let path = |name: &str| folder.path().join(name).display().to_string();
    let operator = format!(
        "{{ admission: {{ address: {{ places: 100 }} }}, tls: {{ certificate: '{}', key: '{}', on: ['frames'], \
         handshakes: {{ per_second: 100 }} }} }}",
        path("n3.pem"),
        path("n3.key")
    );
    let program = Path::new(env!("CARGO_BIN_EXE_cleatpulley"));
    let matcher =
        Matcher::start(program, &site.config, Some(&operator)).expect("start the matcher");
    let (status, body) = matcher.get("/_ready").expect("get /_ready");
    assert_eq!(
        (status, String::from_utf8(body).expect("the body is UTF-8")),
        (200, "{\"ready\":true}\n".to_owned())
    );
    let (status, body) = matcher.get("/_vars").expect("get /_vars");
    assert_eq!(status, 200);
    let mut keys = BTreeSet::new();
    collect_keys(&serde_json::from_slice(&body).expect("JSON"), "", &mut keys);
    assert_eq!(
        keys.into_iter().collect::<Vec<_>>().join("\n") + "\n",
        fixture_text("vars.txt")
    );
}
