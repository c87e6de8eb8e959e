//! Runs a gateway process in front of emulated targets that die, drain, slow down and fail, and in front of a real matcher
//! that speaks AJP.

use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::gateway_trial::{GatewayTrial, Report, TargetEvent};
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::{Setup as SiteSetup, Site};
use cleatpulley_emulators::target::Setup;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

const MS: u64 = 1_000;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cleatpulley"))
}

fn relay(load: f64, seconds: u64) -> GatewayTrial {
    let setup = Setup {
        workers: 4,
        run_time: (10 * MS, 30 * MS),
        max_wait: 120 * MS,
        retry_after: 50 * MS,
        seed: 3,
    };
    let mut relay = GatewayTrial {
        targets: 4,
        setup,
        balancing: "least_conn;".to_owned(),
        server_options: "max_fails=2 fail_timeout=500ms".to_owned(),
        next_upstream: "error timeout http_503 http_500".to_owned(),
        retry_share: 0.2,
        rates: Vec::new(),
        duration: seconds * 1_000 * MS,
        events: Vec::new(),
        reload_at: None,
        terminate_at: None,
        seed: 12,
    };
    let rate = relay.capacity() * load / 2.0;
    relay.rates = vec![(Protocol::Frames, rate), (Protocol::Ajp, rate)];
    relay
}

/// Serializes the trials under load: in parallel they would overload the cores of a small machine.
static LOAD_TRIAL: Mutex<()> = Mutex::new(());

fn run_trial(relay: &GatewayTrial) -> Report {
    let _guard = LOAD_TRIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let report = relay.run(&program()).expect("the trial runs");
    assert_eq!(report.violations, Vec::<String>::new(), "{report:#?}");
    report
}

/// At 90% of the targets' capacity one target dies and restarts, one drains and resumes, and one is five times slower for a
/// while. Guards against requests that are answered twice or late, requests with an effect that run twice, and requests that
/// are rejected after they have run.
#[test]
fn each_request_is_answered_once_while_targets_die_drain_and_slow_down() {
    let mut relay = relay(0.9, 4);
    relay.events = vec![
        (700 * MS, 0, TargetEvent::Kill),
        (1_400 * MS, 0, TargetEvent::Restart),
        (1_700 * MS, 1, TargetEvent::SetDraining(true)),
        (2_300 * MS, 1, TargetEvent::SetDraining(false)),
        (2_500 * MS, 2, TargetEvent::SetSlowdown(5.0)),
        (3_200 * MS, 2, TargetEvent::SetSlowdown(1.0)),
        (3_300 * MS, 3, TargetEvent::Kill),
    ];
    let report = run_trial(&relay);
    let total = report.total();
    // Guards against a trial in which nothing fails, or nothing is served.
    assert!(
        total.on_time * 2 > total.issued && total.issued > 1_000,
        "{report:#?}"
    );
    assert!(
        total.rejected_without_retry_after + total.rejected_with_retry_after + total.failed > 0,
        "{report:#?}"
    );
}

/// Half of the targets fail every request: the attempts stay within the first attempts and the retry budget.
#[test]
fn retries_stay_within_the_budget_while_targets_fail() {
    let mut relay = relay(0.5, 3);
    relay.events = vec![
        (0, 0, TargetEvent::SetFailures(1_000)),
        (0, 1, TargetEvent::SetFailures(1_000)),
    ];
    let report = run_trial(&relay);
    let total = report.total();
    // The retry share, and the retries that the budget begins with.
    let max_attempts = 1.2 + 12.0 / total.issued as f64;
    assert!(
        report.attempts_per_request > 1.02 && report.attempts_per_request <= max_attempts,
        "{} attempts for each request",
        report.attempts_per_request
    );
    assert!(total.failed > 0);
    // With a retry share of zero there are no retries beyond those that the budget begins with.
    relay.retry_share = 0.0;
    let report = run_trial(&relay);
    assert!(
        report.attempts_per_request <= 1.0 + 12.0 / report.total().issued as f64,
        "{}",
        report.attempts_per_request
    );
}

/// A reload under load removes half of the targets. Requests in flight go on, and the removed targets get no new ones.
#[test]
fn reload_under_load_fails_no_request() {
    let mut relay = relay(0.35, 3);
    relay.reload_at = Some((1_200 * MS, 2));
    let report = run_trial(&relay);
    let total = report.total();
    assert!(
        total.failed == 0 && total.on_time * 10 > total.issued * 8,
        "{report:#?}"
    );
    assert!(
        report.shares.iter().all(|share| *share > 0.05),
        "{:?}",
        report.shares
    );
}

/// A gateway that shuts down under load answers the requests that it has read, and exits cleanly.
#[test]
fn shutdown_under_load_answers_the_requests_that_were_read() {
    let mut relay = relay(0.6, 3);
    relay.terminate_at = Some(1_500 * MS);
    let report = run_trial(&relay);
    assert!(report.total().on_time > 500, "{report:#?}");
}

/// Requests by AJP go through a gateway that speaks AJP to a real matcher.
#[test]
fn real_matcher_behind_a_gateway_serves_over_ajp() {
    let site = Site::start(SiteSetup::default()).expect("a site");
    let matcher = Matcher::start(&program(), &site.config, Some(&site.operator_file("", "")))
        .expect("the process starts");
    let at = matcher.ajp.expect("an AJP address");
    let routes = "upstream m { server m7.portmore.example.org:9000; }\nserver {\n    location /seats { set $matcher_class claim-seat; proxy_pass http://m/claim-seat; }\n    location /lobby-view { set $matcher_class lobby-view; proxy_pass http://m; }\n    location /old { return 301 /seats; }\n}\n";
    let operator = format!(
        "{{ gateway: {{ frames: ['127.0.0.1:0'], frames_host: 'm', ajp: {{ listen: ['127.0.0.1:0'] }}, routes: 'nginx.conf', \
         targets: {{ protocol: 'ajp', names: {{ 'm7.portmore.example.org:9000': '{at}' }} }}, \
         classes: {{ 'claim-seat': {{ deadline_ms: 3900, effect: true }}, 'lobby-view': {{ deadline_ms: 6500, effect: false }} }} }} }}"
    );
    let gateway =
        Matcher::start_gateway(&program(), routes, &operator).expect("the process starts");
    let gateway_address = gateway.ajp.expect("an AJP address").to_string();
    let request = |path: &str, id: &str| {
        let id = format!("X-Request-Id:{id}");
        let args = [
            "ajp",
            "request",
            gateway_address.as_str(),
            path,
            "-H",
            &id,
            "-H",
            "Host:m",
            "--body",
            "x",
        ];
        let output = Command::new(program())
            .args(args)
            .output()
            .expect("the command runs");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let served = request("/seats", "00000000000000aa");
    assert!(
        served.starts_with("200") && served.contains("grid of 00000000000000aa"),
        "{served}"
    );
    let served = request("/lobby-view", "00000000000000ab");
    assert!(served.contains("grid of 00000000000000ab"), "{served}");
    assert!(request("/old", "00000000000000ac").starts_with("301"));
    assert!(request("/nowhere", "00000000000000ad").starts_with("404"));
    assert!(request("/%", "00000000000000ae").starts_with("400"));
}

/// Each fault of the gateway section is reported with its key, and the example file of the deployment loads.
#[test]
fn faults_of_the_gateway_section_are_reported_with_their_keys() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let routes = "upstream m { server m7.portmore.example.org:9000; }\nserver { location / { set $matcher_class a; proxy_pass http://m; } }\n";
    std::fs::write(folder.path().join("nginx.conf"), routes).expect("file is written");
    std::fs::write(
        folder.path().join("bad.conf"),
        "server { location / { root /x; } }\n",
    )
    .expect("file is written");
    let load = |section: &str| {
        let file = folder.path().join("operator.jsonnet");
        let text = format!("{{\n  gateway: {{ frames: ['127.0.0.1:0'], routes: 'nginx.conf', classes: {{ a: {{ deadline_ms: 1000, effect: true }} }},\n    targets: {{ names: {{ 'm7.portmore.example.org:9000': '127.0.0.1:9' }} }} }} + {section},\n}}\n");
        std::fs::write(&file, text).expect("file is written");
        cleatpulley::operator::gateway::load(&file).map_err(|fault| fault.to_string())
    };
    assert_eq!(load("{}").expect("valid section").target_addresses.len(), 1);
    let faults = [
        ("{ frames: [] }", "gateway.frames: no address"),
        (
            "{ frames: ['x'] }",
            "gateway.frames[0]: \"x\" is not an address",
        ),
        ("{ classes: {} }", "gateway.classes: no class is defined"),
        (
            "{ classes: { b: { deadline_ms: 1, effect: true } } }",
            "\"a\" is no class",
        ),
        (
            "{ classes: { a: { deadline_ms: 0, effect: true } } }",
            "gateway.classes.a.deadline_ms: 0 is not within",
        ),
        ("{ targets: {} }", "gateway.targets.names: "),
        (
            "{ targets+: { protocol: 'http' } }",
            "gateway.targets.protocol: \"http\" is neither",
        ),
        (
            "{ targets+: { secret: 'x' } }",
            "gateway.targets.secret: the frames protocol has no secret",
        ),
        ("{ routes: 'none.conf' }", "gateway.routes: "),
        ("{ routes: 'bad.conf' }", "bad.conf:1:23: refused: root"),
        (
            "{ routes_listen: '*:81' }",
            "gateway.routes_listen: no server of the routes listens on *:81",
        ),
        (
            "{ retry_share: 2 }",
            "gateway.retry_share: 2 is not from 0 to 1",
        ),
        (
            "{ stop_ms: 3000 }",
            "gateway.stop_ms: 3000 ms leave no time",
        ),
        ("{ memory_mb: 0 }", "gateway.memory_mb: 0 is not within"),
        ("{ retries: 2 }", "unknown field `retries`"),
        (
            "{ ajp: { listen: ['192.0.2.1:1'] } }",
            "gateway.ajp.listen[0]: 192.0.2.1:1 is no loopback address",
        ),
    ];
    for (section, expected) in faults {
        let fault = load(section).expect_err(section);
        assert!(fault.contains(expected), "{section}: {fault}");
    }
    let example = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/gateway.jsonnet");
    assert_eq!(
        cleatpulley::operator::gateway::load(&example)
            .expect("valid example")
            .target_addresses
            .len(),
        5
    );
}

/// The AJP front end of a matcher takes its classes from an imported nginx configuration.
#[test]
fn matcher_takes_its_classes_from_an_imported_nginx_file() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("nginx.conf");
    let text = "upstream here { server 127.0.0.1:1; }\nserver {\n    location ~ ^/v\\d+/seats$ { set $matcher_class claim-seat; proxy_pass http://here; }\n    location /v1 { proxy_pass http://here; }\n    location /shut { return 403 shut; }\n}\n";
    std::fs::write(&file, text).expect("file is written");
    let site = Site::start(SiteSetup::default()).expect("a site");
    let operator = format!(
        "{{ ajp: {{ listen: ['127.0.0.1:0'], routes_from: '{}', figures: {{ id: 'X-Request-Id' }} }} }}",
        file.display()
    );
    let matcher =
        Matcher::start(&program(), &site.config, Some(&operator)).expect("the process starts");
    let at = matcher.ajp.expect("an AJP address").to_string();
    for (path, status) in [
        ("/v12/seats", "200"),
        ("/v1/seats?x", "200"),
        ("/v1/x", "404"),
        ("/shut", "403"),
        ("/none", "404"),
    ] {
        let id = format!("X-Request-Id:{path}");
        let args = [
            "ajp",
            "request",
            at.as_str(),
            path,
            "-H",
            &id,
            "-H",
            "Host:m",
            "--body",
            "x",
        ];
        let output = Command::new(program())
            .args(args)
            .output()
            .expect("the command runs");
        let response = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(response.starts_with(status), "{path}: {response}");
    }
}
