//! `cleatpulley upgrade` on real processes under load: it ends no process that has taken the clients
//! before that has responded to all that it has read, whatever keeps `/_ready` from being read.

use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::site::Setup;
use cleatpulley_emulators::trial::{Load, Report, RunningTrial, Trial};
use cleatpulley_tls::authority;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::{kill_process, test_kill_process, Pid, Signal};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the trial reports if the process that it started has exited and no rule was broken.
const OLD_PROCESS_EXITED: &str = "1 matcher exited by itself";

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cleatpulley"))
}

/// A matcher under load that is to be upgraded, and the files of the upgrade.
struct Upgrade {
    trial: RunningTrial,
    folder: tempfile::TempDir,
    operator_sections: String,
    /// Management address of the new process.
    new_management: String,
}

/// The outcome of an upgrade.
struct Outcome {
    output: Output,
    new_process: NewProcess,
}

/// The process that an upgrade has started; it is killed when this is dropped.
struct NewProcess(Option<Pid>);

impl NewProcess {
    fn is_running(&self) -> bool {
        self.0.is_some_and(|pid| test_kill_process(pid).is_ok())
    }
}

impl Drop for NewProcess {
    fn drop(&mut self) {
        if let Some(pid) = self.0 {
            // It may have exited, as it has to after a rollback.
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}

impl Outcome {
    /// Runs an upgrade to its end.
    fn run(command: &mut Command) -> Self {
        let output = command.output().expect("run the command");
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let new_pid = stdout
            .lines()
            .find_map(|line| line.strip_prefix("1. process "))
            .and_then(|line| line.split(' ').next()?.parse().ok())
            .and_then(Pid::from_raw);
        Self {
            output,
            new_process: NewProcess(new_pid),
        }
    }

    fn text(&self) -> String {
        let Output { stdout, stderr, .. } = &self.output;
        format!(
            "{}{}",
            String::from_utf8_lossy(stdout),
            String::from_utf8_lossy(stderr)
        )
    }
}

impl Upgrade {
    /// Starts a matcher and callers that send frames for this time.
    fn start(folder: tempfile::TempDir, operator_sections: &str, seconds: f64, seed: u64) -> Self {
        Self::start_for(folder, operator_sections, seconds, seed, 1)
    }

    /// Starts a matcher that is to be replaced up to this number of times.
    fn start_for(
        folder: tempfile::TempDir,
        operator_sections: &str,
        seconds: f64,
        seed: u64,
        upgrade_count: usize,
    ) -> Self {
        let site = Setup {
            seed,
            runtime_address_count: upgrade_count + 1,
            ..Setup::default()
        };
        let load = Load {
            protocol: Protocol::Frames,
            rates: vec![((seconds * 1e6) as u64, 0.6 * site.capacity())],
            connections: 8,
            body_bytes: 64,
            key_field: None,
        };
        let trial = Trial {
            site,
            loads: vec![load],
            ajp_options: String::new(),
            operator_sections: operator_sections.to_owned(),
            terminate_at: None,
        };
        let trial = trial.start(&program()).expect("start the process");
        std::thread::sleep(Duration::from_millis(300));
        Self {
            trial,
            folder,
            operator_sections: operator_sections.to_owned(),
            new_management: unused_address(),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the command that upgrades the matcher; the new process uses a runtime address of its
    /// own.
    fn command(&self) -> Command {
        let runtime = self.trial.site.runtime_addresses[1].to_string();
        self.command_for(self.trial.matcher.pid(), &runtime)
    }

    /// Returns the command that replaces a process by one that uses this runtime address.
    fn command_for(&self, old_pid: u32, runtime: &str) -> Command {
        let mut config = self.trial.site.config.clone();
        config["listen"] = self.trial.matcher.frames.to_string().into();
        config["mgmt"] = self.new_management.clone().into();
        config["runtime"] = runtime.into();
        std::fs::write(self.path("new.json"), config.to_string()).expect("write the file");
        let operator = self.trial.site.operator_file("", &self.operator_sections);
        std::fs::write(self.path("operator.jsonnet"), operator).expect("write the file");
        let mut command = Command::new(program());
        for variable in ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_MGMT"] {
            command.env_remove(variable);
        }
        command
            .arg("upgrade")
            .args(["--pid", &old_pid.to_string()])
            .arg("--config")
            .arg(self.path("new.json"))
            .arg("--operator")
            .arg(self.path("operator.jsonnet"))
            .arg("--upgrade-folder")
            .arg(self.trial.matcher.shared_folder())
            .arg("--log-file")
            .arg(self.path("new.log"));
        command
    }

    /// Runs the command to its end, and the load to its end.
    fn run(&mut self, command: &mut Command) -> (Outcome, Report) {
        let outcome = Outcome::run(command);
        (outcome, self.finish())
    }

    /// Waits for the end of the load, and checks the rules.
    fn finish(&mut self) -> Report {
        while !self
            .trial
            .callers
            .iter()
            .all(|callers| with_lock(callers, |callers| callers.is_done()))
        {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.trial.check_rules()
    }
}

fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    listener
        .local_addr()
        .expect("the port of a socket")
        .to_string()
}

fn now_unix_s() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs() as i64)
}

/// Writes an authority and a certificate issued by it, as `ca.pem`, `n1.pem` and `n1.key`.
fn write_certificates(folder: &Path) {
    let authority = authority::create_authority("test authority", now_unix_s(), 30)
        .expect("create the authority");
    let names = ["n1".to_owned()];
    let issued = authority::issue_certificate(
        (&authority.certificate, &authority.key),
        &names,
        None,
        now_unix_s(),
        30,
    );
    let issued = issued.expect("issue the certificate");
    for (name, text) in [
        ("ca.pem", &authority.certificate),
        ("n1.pem", &issued.certificate),
        ("n1.key", &issued.key),
    ] {
        std::fs::write(folder.join(name), text).expect("write the file");
    }
}

/// Returns a folder with certificates, and a `tls` section that enables TLS for operators.
fn management_tls(options: &str) -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().expect("create a folder");
    write_certificates(folder.path());
    let at = |name: &str| folder.path().join(name).display().to_string();
    let (certificate, key, roots) = (at("n1.pem"), at("n1.key"), at("ca.pem"));
    let options = options.replace("ROOTS", &roots);
    let section =
        format!("tls: {{ certificate: '{certificate}', key: '{key}', on: ['mgmt'], {options} }},");
    (folder, section)
}

fn assert_completed_without_loss(outcome: &Outcome, report: &Report) {
    let text = outcome.text();
    assert!(outcome.output.status.success(), "{text}");
    assert!(text.contains("4. it has left"), "{text}");
    assert!(outcome.new_process.is_running(), "{text}");
    assert_eq!(report.violations, [OLD_PROCESS_EXITED], "{text}\n{report}");
}

/// Guards against a readiness check that does not speak the endpoint's protocol: the new process had
/// taken the clients, and was killed with the requests that it had read.
#[test]
fn upgrade_completes_where_the_management_endpoint_speaks_tls() {
    for (options, seed) in [
        ("", 31),
        (
            "clients: { roots: 'ROOTS', required: true }, versions: ['1.2']",
            32,
        ),
    ] {
        let (folder, section) = management_tls(options);
        let mut upgrade = Upgrade::start(folder, &section, 4.0, seed);
        let mut command = upgrade.command();
        let (outcome, report) = upgrade.run(command.args(["--ready-within", "3"]));
        assert_completed_without_loss(&outcome, &report);
    }
}

/// Guards against a check for another listener that fails to understand it: an address in use counted
/// as free, both processes listened there, and the readiness of the old one was taken for the new one's.
#[test]
fn upgrade_rejects_a_management_address_in_use_whatever_its_listener_speaks() {
    let (folder, section) = management_tls("");
    let mut upgrade = Upgrade::start(folder, &section, 1.0, 33);
    // Accepts connections by its backlog and never responds.
    let silent_listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let silent_address = silent_listener.local_addr().expect("the port of a socket");
    let old_address = upgrade.trial.matcher.mgmt.expect("a management address");
    for address in [old_address, silent_address] {
        upgrade.new_management = address.to_string();
        let mut command = upgrade.command();
        let (outcome, report) = upgrade.run(&mut command);
        let text = outcome.text();
        assert_eq!(outcome.output.status.code(), Some(1), "{text}");
        assert!(text.contains("another process listens on"), "{text}");
        assert!(outcome.new_process.0.is_none(), "none was started: {text}");
        assert_eq!(report.violations, Vec::<String>::new(), "{report}");
    }
}

/// Writes a program that runs this one with further arguments once the file `go` exists; it creates
/// the file `started` first.
fn write_wrapper(upgrade: &Upgrade, arguments: &str) -> PathBuf {
    let path = upgrade.path("wrapper.sh");
    let folder = upgrade.folder.path().display();
    let program = program();
    let text = format!(
        ": > {folder}/started\nwhile [ ! -e {folder}/go ]; do sleep 0.01; done\n\
         exec {} \"$@\" {arguments}\n",
        program.display()
    );
    write_program(&path, &text);
    path
}

/// Writes a shell script that can be executed.
fn write_program(path: &Path, text: &str) {
    std::fs::write(path, format!("#!/bin/sh\n{text}")).expect("write the file");
    let permissions = std::fs::Permissions::from_mode(0o755);
    std::fs::set_permissions(path, permissions).expect("make the file executable");
}

fn wait_for_file(path: &Path) {
    while !path.exists() {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Responds with status 503 to each request at an address, as the management endpoint of a process
/// that does not accept clients. Ends with the test.
fn respond_not_ready(address: &str) {
    let listener = TcpListener::bind(address).expect("bind the port");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request);
            let _ =
                stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
    });
}

/// Guards against a readiness that can't be read and counts as "not ready": the new process has taken
/// the clients and serves, so the upgrade goes on instead of killing it.
#[test]
fn upgrade_completes_where_the_new_process_serves_and_its_management_endpoint_does_not_respond() {
    let folder = tempfile::tempdir().expect("create a folder");
    let mut upgrade = Upgrade::start(folder, "", 4.0, 34);
    // The new process serves its management endpoint elsewhere, so that nothing listens where it is
    // expected.
    let wrapper = write_wrapper(&upgrade, "--mgmt 127.0.0.1:0");
    std::fs::write(upgrade.path("go"), "").expect("write the file");
    let mut command = upgrade.command();
    command.args(["--ready-within", "2"]).arg("--program");
    let (outcome, report) = upgrade.run(command.arg(wrapper));
    assert_completed_without_loss(&outcome, &report);
    assert!(outcome.text().contains("GET /_ready at"), "{report}");
}

/// Guards against a rollback that kills the new process: it has taken the clients although it reports
/// that it is not ready, and has to respond to all that it has read before it ends.
#[test]
fn rollback_of_an_upgrade_loses_no_request_that_the_new_process_has_read() {
    let folder = tempfile::tempdir().expect("create a folder");
    let mut upgrade = Upgrade::start(folder, "", 7.0, 35);
    let wrapper = write_wrapper(&upgrade, "--mgmt 127.0.0.1:0");
    let management = upgrade.new_management.clone();
    let (started, go) = (upgrade.path("started"), upgrade.path("go"));
    std::thread::spawn(move || {
        wait_for_file(&started);
        respond_not_ready(&management);
        std::fs::write(go, "").expect("write the file");
    });
    let mut command = upgrade.command();
    command.args(["--ready-within", "2"]).arg("--program");
    let (outcome, report) = upgrade.run(command.arg(wrapper));
    let text = outcome.text();
    assert_eq!(report.violations, Vec::<String>::new(), "{text}\n{report}");
    assert_eq!(outcome.output.status.code(), Some(1), "{text}");
    let new_log = std::fs::read_to_string(upgrade.path("new.log")).unwrap_or_default();
    assert!(new_log.contains("upgrade: takes clients"), "{new_log}");
    assert!(!outcome.new_process.is_running(), "{text}");
    let serving = format!("process {} serves", upgrade.trial.matcher.pid());
    assert!(
        text.contains("it has drained and exited") && text.contains(&serving),
        "{text}"
    );
}

/// Guards against a rollback that waits without end: a new process that does not react to SIGTERM hangs,
/// and is killed once its own stop time has passed.
#[test]
fn rollback_of_an_upgrade_kills_a_new_process_that_does_not_stop() {
    let folder = tempfile::tempdir().expect("create a folder");
    let mut upgrade = Upgrade::start(folder, "", 2.0, 36);
    upgrade.trial.site.config["stop_ms"] = 300.into();
    let program = upgrade.path("hangs.sh");
    write_program(&program, "trap '' TERM\nwhile :; do sleep 0.05; done\n");
    let mut command = upgrade.command();
    command.args(["--ready-within", "0.2"]).arg("--program");
    let (outcome, report) = upgrade.run(command.arg(program));
    let text = outcome.text();
    assert_eq!(outcome.output.status.code(), Some(1), "{text}");
    let serving = format!("process {} serves", upgrade.trial.matcher.pid());
    assert!(
        text.contains("it did not exit after SIGTERM and was killed") && text.contains(&serving),
        "{text}"
    );
    assert!(!outcome.new_process.is_running(), "{text}");
    assert_eq!(report.violations, Vec::<String>::new(), "{text}\n{report}");
}

/// Guards against a report that is not looked up: a new process that exits at once leaves the old one
/// serving, and the command says so.
#[test]
fn upgrade_to_a_program_that_exits_reports_that_the_old_process_serves() {
    let folder = tempfile::tempdir().expect("create a folder");
    let mut upgrade = Upgrade::start(folder, "", 1.0, 37);
    let program = upgrade.path("exits.sh");
    write_program(&program, "exit 3\n");
    let mut command = upgrade.command();
    let (outcome, report) = upgrade.run(command.arg("--program").arg(program));
    let text = outcome.text();
    assert_eq!(outcome.output.status.code(), Some(1), "{text}");
    let expected = format!(
        "has exited with exit status: 3: see its log; process {} serves",
        upgrade.trial.matcher.pid()
    );
    assert!(text.contains(&expected), "{text}");
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
}

/// What an upgrade of the soak meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Situation {
    /// The new process serves and reports it.
    Ready,
    /// The new process serves, and its management endpoint is elsewhere.
    Unreadable,
    /// The new process serves and reports that it does not.
    NotReady,
    /// The runtime of the new process is not up.
    WithoutRuntime,
    /// The new process does not react to SIGTERM.
    Hanging,
}

impl Situation {
    fn draw(random: &mut SmallRng, has_tls: bool) -> Self {
        match random.random_range(0..8) {
            0..3 => Self::Ready,
            3..5 => Self::Unreadable,
            // The endpoint that reports it speaks plain HTTP.
            5 if !has_tls => Self::NotReady,
            5 | 6 => Self::WithoutRuntime,
            _ => Self::Hanging,
        }
    }

    fn can_complete(self) -> bool {
        matches!(self, Self::Ready | Self::Unreadable)
    }
}

const MAX_SOAK_UPGRADES: usize = 64;

/// Plays upgrades under load for a time, with situations drawn from a seed, and returns them.
fn play_soak(seed: u64, seconds: f64) -> Vec<Situation> {
    let mut random = SmallRng::seed_from_u64(seed);
    let has_tls = seed.is_multiple_of(2);
    let (folder, section) = if has_tls {
        management_tls("")
    } else {
        (tempfile::tempdir().expect("create a folder"), String::new())
    };
    let mut upgrade = Upgrade::start_for(folder, &section, seconds, seed, MAX_SOAK_UPGRADES);
    let wrapper = write_wrapper(&upgrade, "--mgmt 127.0.0.1:0");
    std::fs::write(upgrade.path("go"), "").expect("write the file");
    let hanging = upgrade.path("hangs.sh");
    write_program(&hanging, "trap '' TERM\nwhile :; do sleep 0.05; done\n");
    upgrade.trial.site.config["stop_ms"] = 1_200.into();
    let mut serving = upgrade.trial.matcher.pid();
    let mut processes = Vec::new();
    let mut situations = Vec::new();
    let started_at = Instant::now();
    // The last upgrade ends before the load does.
    while started_at.elapsed() + Duration::from_secs(5) < Duration::from_secs_f64(seconds)
        && situations.len() < MAX_SOAK_UPGRADES
    {
        let situation = Situation::draw(&mut random, has_tls);
        situations.push(situation);
        upgrade.new_management = unused_address();
        let runtime = match situation {
            Situation::WithoutRuntime => unused_address(),
            _ => upgrade.trial.site.runtime_addresses[situations.len()].to_string(),
        };
        let mut command = upgrade.command_for(serving, &runtime);
        // What is never ready takes the whole time.
        command.args(["--ready-within", "1.5"]);
        match situation {
            Situation::Ready | Situation::WithoutRuntime => {}
            Situation::Unreadable => {
                command.arg("--program").arg(&wrapper);
            }
            Situation::NotReady => {
                command.arg("--program").arg(&wrapper);
                hold_until_not_ready_is_reported(&upgrade);
            }
            Situation::Hanging => {
                command.arg("--program").arg(&hanging);
            }
        }
        let outcome = Outcome::run(&mut command);
        let text = format!("seed {seed}, {situations:?}: {}", outcome.text());
        assert_eq!(
            outcome.output.status.success(),
            situation.can_complete(),
            "{text}"
        );
        assert_eq!(
            outcome.new_process.is_running(),
            situation.can_complete(),
            "{text}"
        );
        if situation.can_complete() {
            let new_process = outcome.new_process.0.expect("the new process has an id");
            serving = new_process.as_raw_pid().unsigned_abs();
        }
        assert!(
            text.contains(&format!("process {serving} serves")),
            "{text}"
        );
        processes.push(outcome.new_process);
    }
    let report = upgrade.finish();
    let expected = if situations.iter().any(|situation| situation.can_complete()) {
        vec![OLD_PROCESS_EXITED.to_owned()]
    } else {
        Vec::new()
    };
    assert_eq!(
        report.violations, expected,
        "seed {seed}, {situations:?}: {report}"
    );
    situations
}

/// Has the wrapper wait until an endpoint that reports "not ready" listens where the new process's one
/// is expected.
fn hold_until_not_ready_is_reported(upgrade: &Upgrade) {
    let (started, go) = (upgrade.path("started"), upgrade.path("go"));
    for file in [&started, &go] {
        // It exists only if a wrapper has run before.
        let _ = std::fs::remove_file(file);
    }
    let management = upgrade.new_management.clone();
    std::thread::spawn(move || {
        wait_for_file(&started);
        respond_not_ready(&management);
        std::fs::write(go, "").expect("write the file");
    });
}

/// Guards against a loss in any order of completed and rolled back upgrades: chains of processes, each
/// the successor of one that had been rolled back to. `UPGRADE_SOAK_SEEDS` sets the number of seeds.
#[test]
fn upgrades_and_rollbacks_in_a_row_lose_nothing() {
    let seeds = std::env::var("UPGRADE_SOAK_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(2);
    for seed in 41..41 + seeds {
        let situations = play_soak(seed, 18.0);
        assert!(situations.len() > 2, "seed {seed}: {situations:?}");
        println!("seed {seed}: {situations:?}");
    }
}
