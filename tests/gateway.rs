//! A gateway as a process before targets that die, drain, slow down and fail; and before a real matcher that speaks AJP.

use cleatpulley_emulators::callers::Front;
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::relay::{Act, Relay, Report};
use cleatpulley_emulators::site::{Setup as SiteSetup, Site};
use cleatpulley_emulators::target::Setup;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

const MS: u64 = 1_000;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cleatpulley"))
}

fn relay(load: f64, seconds: u64) -> Relay {
    let setup = Setup {
        workers: 4,
        work: (10 * MS, 30 * MS),
        patience: 120 * MS,
        later: 50 * MS,
        seed: 3,
    };
    let mut relay = Relay {
        targets: 4,
        setup,
        way: "least_conn;".to_owned(),
        words: "max_fails=2 fail_timeout=500ms".to_owned(),
        next: "error timeout http_503 http_500".to_owned(),
        retry_share: 0.2,
        rates: Vec::new(),
        time: seconds * 1_000 * MS,
        acts: Vec::new(),
        reroute_at: None,
        leave_at: None,
        seed: 12,
    };
    let rate = relay.capacity() * load / 2.0;
    relay.rates = vec![(Front::Frames, rate), (Front::Ajp, rate)];
    relay
}

/// Trials under load come one after the other: beside each other they would crowd a small machine's cores.
static TURN: Mutex<()> = Mutex::new(());

fn play(relay: &Relay) -> Report {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let report = relay.play(&program()).expect("it plays");
    assert_eq!(report.broken, Vec::<String>::new(), "{report:#?}");
    report
}

/// At 90% of what the targets can do: one dies and returns, one drains and returns, one is five times slower for a while.
/// Each request is answered once and in time, none with an effect runs twice, and none is turned away that has run.
#[test]
fn targets_that_die_drain_and_slow_down_break_no_rule() {
    let mut relay = relay(0.9, 4);
    relay.acts = vec![
        (700 * MS, 0, Act::Kill),
        (1_400 * MS, 0, Act::Revive),
        (1_700 * MS, 1, Act::Drain(true)),
        (2_300 * MS, 1, Act::Drain(false)),
        (2_500 * MS, 2, Act::Slow(5.0)),
        (3_200 * MS, 2, Act::Slow(1.0)),
        (3_300 * MS, 3, Act::Kill),
    ];
    let report = play(&relay);
    let total = report.total();
    // Nobody should trust a trial in which nothing went wrong, or nothing was served.
    assert!(
        total.in_time * 2 > total.asked && total.asked > 1_000,
        "{report:#?}"
    );
    assert!(
        total.refused_bare + total.refused_with_time + total.failed > 0,
        "{report:#?}"
    );
}

/// Half of the targets fail all that they run: tries stay within first tries and the budget's share.
#[test]
fn a_storm_of_further_tries_is_held_to_its_budget() {
    let mut relay = relay(0.5, 3);
    relay.acts = vec![(0, 0, Act::Faults(1_000)), (0, 1, Act::Faults(1_000))];
    let report = play(&relay);
    let total = report.total();
    // The budget's share, and what it saves at the start.
    let most = 1.2 + 12.0 / total.asked as f64;
    assert!(
        report.tries > 1.02 && report.tries <= most,
        "{} tries for each request",
        report.tries
    );
    assert!(total.failed > 0);
    // Without a budget to speak of there are none but the first ones.
    relay.retry_share = 0.0;
    let report = play(&relay);
    assert!(
        report.tries <= 1.0 + 12.0 / report.total().asked as f64,
        "{}",
        report.tries
    );
}

/// A new table under load, with half of the targets: what is open goes on, and those that left get nothing more.
#[test]
fn routes_are_read_again_under_load() {
    let mut relay = relay(0.35, 3);
    relay.reroute_at = Some((1_200 * MS, 2));
    let report = play(&relay);
    let total = report.total();
    assert!(
        total.failed == 0 && total.in_time * 10 > total.asked * 8,
        "{report:#?}"
    );
    assert!(
        report.shares.iter().all(|share| *share > 0.05),
        "{:?}",
        report.shares
    );
}

/// The gateway's own drain under load: what it has read is answered, and it leaves well.
#[test]
fn a_gateway_that_leaves_answers_what_it_has_read() {
    let mut relay = relay(0.6, 3);
    relay.leave_at = Some(1_500 * MS);
    let report = play(&relay);
    assert!(report.total().in_time > 500, "{report:#?}");
}

/// Frames and AJP through a gateway that speaks AJP to a real matcher.
#[test]
fn a_real_matcher_behind_a_gateway_serves_over_ajp() {
    let site = Site::start(SiteSetup::default()).expect("a site");
    let matcher =
        Matcher::start(&program(), &site.config, Some(&site.operator("", ""))).expect("it starts");
    let at = matcher.ajp.expect("it speaks AJP");
    let routes = "upstream m { server m7.portmore.example.org:9000; }\nserver {\n    location /seats { set $matcher_class claim-seat; proxy_pass http://m/claim-seat; }\n    location /lobby-view { set $matcher_class lobby-view; proxy_pass http://m; }\n    location /old { return 301 /seats; }\n}\n";
    let operator = format!(
        "{{ gateway: {{ frames: ['127.0.0.1:0'], frames_host: 'm', ajp: {{ listen: ['127.0.0.1:0'] }}, routes: 'nginx.conf', \
         targets: {{ protocol: 'ajp', names: {{ 'm7.portmore.example.org:9000': '{at}' }} }}, \
         classes: {{ 'claim-seat': {{ deadline_ms: 3900, effect: true }}, 'lobby-view': {{ deadline_ms: 6500, effect: false }} }} }} }}"
    );
    let gateway = Matcher::gateway(&program(), routes, &operator).expect("it starts");
    let to = gateway.ajp.expect("it speaks AJP").to_string();
    let ask = |path: &str, id: &str| {
        let id = format!("X-Request-Id:{id}");
        let args = [
            "ajp",
            "request",
            to.as_str(),
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
            .expect("it runs");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let served = ask("/seats", "00000000000000aa");
    assert!(
        served.starts_with("200") && served.contains("grid of 00000000000000aa"),
        "{served}"
    );
    let served = ask("/lobby-view", "00000000000000ab");
    assert!(served.contains("grid of 00000000000000ab"), "{served}");
    assert!(ask("/old", "00000000000000ac").starts_with("301"));
    assert!(ask("/nowhere", "00000000000000ad").starts_with("404"));
    assert!(ask("/%", "00000000000000ae").starts_with("400"));
}

/// What is wrong with a gateway's section is told with its key, and what its example says is good.
#[test]
fn faults_of_the_section_are_named() {
    let folder = tempfile::tempdir().expect("a folder");
    let routes = "upstream m { server m7.portmore.example.org:9000; }\nserver { location / { set $matcher_class a; proxy_pass http://m; } }\n";
    std::fs::write(folder.path().join("nginx.conf"), routes).expect("written");
    std::fs::write(
        folder.path().join("bad.conf"),
        "server { location / { root /x; } }\n",
    )
    .expect("written");
    let load = |section: &str| {
        let file = folder.path().join("operator.jsonnet");
        let text = format!("{{\n  gateway: {{ frames: ['127.0.0.1:0'], routes: 'nginx.conf', classes: {{ a: {{ deadline_ms: 1000, effect: true }} }},\n    targets: {{ names: {{ 'm7.portmore.example.org:9000': '127.0.0.1:9' }} }} }} + {section},\n}}\n");
        std::fs::write(&file, text).expect("written");
        cleatpulley::operator::gateway::load(&file).map_err(|fault| fault.to_string())
    };
    assert_eq!(load("{}").expect("it is good").target_addresses.len(), 1);
    let faults = [
        ("{ frames: [] }", "gateway.frames: no address"),
        (
            "{ frames: ['x'] }",
            "gateway.frames[0]: \"x\" is not an address",
        ),
        ("{ classes: {} }", "gateway.classes: there is none"),
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
            "gateway.targets.secret: frames know no secret",
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
    for (section, what) in faults {
        let fault = load(section).expect_err(section);
        assert!(fault.contains(what), "{section}: {fault}");
    }
    let example = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/gateway.jsonnet");
    assert_eq!(
        cleatpulley::operator::gateway::load(&example)
            .expect("the example")
            .target_addresses
            .len(),
        5
    );
}

/// A matcher's AJP front takes its classes from an imported file.
#[test]
fn an_imported_file_gives_a_matcher_its_classes() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("nginx.conf");
    let text = "upstream here { server 127.0.0.1:1; }\nserver {\n    location ~ ^/v\\d+/seats$ { set $matcher_class claim-seat; proxy_pass http://here; }\n    location /v1 { proxy_pass http://here; }\n    location /shut { return 403 shut; }\n}\n";
    std::fs::write(&file, text).expect("written");
    let site = Site::start(SiteSetup::default()).expect("a site");
    let operator = format!(
        "{{ ajp: {{ listen: ['127.0.0.1:0'], routes_from: '{}', figures: {{ id: 'X-Request-Id' }} }} }}",
        file.display()
    );
    let matcher = Matcher::start(&program(), &site.config, Some(&operator)).expect("it starts");
    let at = matcher.ajp.expect("it speaks AJP").to_string();
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
            .expect("it runs");
        let said = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(said.starts_with(status), "{path}: {said}");
    }
}
