//! Tests of the daemon with real processes: the daemon is killed and restarted during a replacement, a release fails,
//! descriptors run out, and instances crash, hang or are stopped.

use cleatpulley_emulators::callers::request_frame_now;
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_fleet::control_protocol::{
    ControlCommand, ControlResponse, FleetView, TerminatedInstanceView,
};
use cleatpulley_fleet::daemon::send_command;
use cleatpulley_fleet::plan::Phase;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Sender};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatpulley");
/// Maximum time to wait for any condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A fleet with its sites, in a folder of its own.
struct TestFleet {
    folder: tempfile::TempDir,
    file: PathBuf,
    sites: Vec<Site>,
    daemon: Option<Child>,
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        // Kills the processes that a failed test leaves behind.
        if let Ok(ControlResponse::Fleet(view)) =
            send_command(&self.state_folder(), &ControlCommand::Status)
        {
            view.instances
                .iter()
                .filter_map(|instance| instance.pid)
                .for_each(kill);
        }
        if let Some(mut daemon) = self.daemon.take() {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
    }
}

fn kill(pid: u32) {
    signal(pid, "KILL");
}

fn signal(pid: u32, name: &str) {
    use rustix::process::{kill_process, Pid, Signal};
    let signal = match name {
        "KILL" => Signal::KILL,
        "STOP" => Signal::STOP,
        _ => Signal::TERM,
    };
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}

/// Returns free ports of an address that no outgoing connection uses, so that none of them is taken as a client port
/// before it is bound.
fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<_> = (0..count)
        .filter_map(|_| TcpListener::bind("127.0.0.2:0").ok())
        .collect();
    listeners
        .iter()
        .filter_map(|listener| Some(listener.local_addr().ok()?.port()))
        .collect()
}

impl TestFleet {
    fn new(instances: usize, surge: usize, extra_settings: &str) -> Self {
        Self::with_shared_address(instances, surge, None, extra_settings)
    }

    fn with_shared_address(
        instances: usize,
        surge: usize,
        shared_address: Option<SocketAddr>,
        extra_settings: &str,
    ) -> Self {
        Self::with_stop_timeout(
            instances,
            surge,
            shared_address,
            extra_settings,
            Duration::from_millis(600),
        )
    }

    fn with_stop_timeout(
        instances: usize,
        surge: usize,
        shared_address: Option<SocketAddr>,
        extra_settings: &str,
        stop_timeout: Duration,
    ) -> Self {
        let folder = tempfile::tempdir().expect("creates a folder");
        let mut places = Vec::new();
        let mut sites = Vec::new();
        for (i, port) in free_ports(instances + surge).into_iter().enumerate() {
            let site = Site::start(Setup {
                stop_timeout: stop_timeout.as_micros() as u64,
                drain_grace: 300_000,
                seed: i as u64,
                ..Setup::default()
            })
            .expect("starts a site");
            let config = folder.path().join(format!("m{i}.json"));
            std::fs::write(&config, site.config.to_string()).expect("writes the configuration");
            let listen = if shared_address.is_none() {
                format!("listen: '127.0.0.2:{port}', ")
            } else {
                String::new()
            };
            places.push(format!(
                "{{ name: 'm{i}', {listen}config: '{}' }}",
                config.display()
            ));
            sites.push(site);
        }
        let invalid_operator = folder.path().join("bad.jsonnet");
        std::fs::write(&invalid_operator, "{ ajp: { listen: 7 } }").expect("writes the file");
        let file = folder.path().join("fleet.jsonnet");
        let text = format!(
            "{{ fleet: {{ folder: '{}', instances: {instances}, surge: {surge}, places: [{}], releases: {{ \
             '1': {{ program: '{PROGRAM}' }}, '2': {{ program: '{PROGRAM}' }}, \
             '3': {{ program: '{PROGRAM}', operator: '{}' }}, '4': {{ program: '/nowhere/at/all' }} }}, \
             timeouts_ms: {{ start: 5000, warm: 20000, drain: 3000, silent: 1000 }}, \
             restart: {{ first_ms: 50, most_ms: 500, budget: 100, within_ms: 1000 }}, {extra_settings}{} }} }}",
            folder.path().join("state").display(),
            places.join(", "),
            invalid_operator.display(),
            shared_address.map_or(String::new(), |address| format!(", listen: '{address}'"))
        );
        std::fs::write(&file, text).expect("writes the file");
        Self {
            folder,
            file,
            sites,
            daemon: None,
        }
    }

    fn state_folder(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    fn start_daemon(&mut self) {
        let child = Command::new(PROGRAM)
            .args(["fleet", "up", "--generation", "1"])
            .arg(&self.file)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts the daemon");
        self.daemon = Some(child);
    }

    /// Kills the daemon and starts another one.
    fn restart_daemon(&mut self) {
        let mut daemon = self.daemon.take().expect("the daemon runs");
        daemon.kill().expect("kills the daemon");
        daemon.wait().expect("the daemon ends");
        self.start_daemon();
    }

    fn send_command(&self, command: &ControlCommand) -> Result<FleetView, String> {
        match send_command(&self.state_folder(), command) {
            Ok(ControlResponse::Fleet(view)) => Ok(*view),
            Ok(ControlResponse::Rejected(reason)) => Err(reason),
            Err(e) => Err(e.to_string()),
        }
    }

    /// Waits until the fleet meets a condition, which `description` names in the panic message.
    fn wait_until(&self, description: &str, condition: impl Fn(&FleetView) -> bool) -> FleetView {
        let started_at = Instant::now();
        let mut last = Err("no response yet".to_owned());
        while started_at.elapsed() < WAIT_TIMEOUT {
            last = self.send_command(&ControlCommand::Status);
            match &last {
                Ok(view) if condition(view) => return last.unwrap_or_else(|e| panic!("{e}")),
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
        panic!("{description}: {last:#?}\n{}", self.logs());
    }

    fn logs(&self) -> String {
        let mut logs = String::new();
        for entry in std::fs::read_dir(self.state_folder().join("logs"))
            .into_iter()
            .flatten()
            .flatten()
        {
            logs += &std::fs::read_to_string(entry.path()).unwrap_or_default();
        }
        logs
    }

    /// Runs the command line program to begin a replacement.
    fn replace(&self, generation: u32) -> Result<FleetView, String> {
        let mut command = Command::new(PROGRAM);
        command
            .args([
                "fleet",
                "replace",
                &generation.to_string(),
                "--json",
                "--file",
            ])
            .arg(&self.file);
        let output = command.output().expect("runs the program");
        if !output.status.success() {
            return Err(String::from_utf8_lossy(&output.stderr).into_owned());
        }
        serde_json::from_slice(&output.stdout).map_err(|e| e.to_string())
    }

    fn pids(&self) -> BTreeSet<u32> {
        self.send_command(&ControlCommand::Status)
            .expect("the daemon responds")
            .instances
            .iter()
            .filter_map(|instance| instance.pid)
            .collect()
    }

    fn shut_down(&mut self) {
        let pids = self.pids();
        self.send_command(&ControlCommand::Shutdown)
            .expect("begins to shut down");
        let status = self
            .daemon
            .take()
            .expect("the daemon runs")
            .wait()
            .expect("the daemon ends");
        assert!(status.success());
        assert!(
            pids.iter()
                .all(|pid| !Path::new(&format!("/proc/{pid}/exe")).exists()),
            "all processes have ended"
        );
    }
}

fn accepts_connections(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_ok()
}

#[test]
fn a_daemon_killed_repeatedly_completes_its_replacement() {
    let mut fleet = TestFleet::new(3, 1, "batch: 1, minimum: 3");
    fleet.start_daemon();
    let view = fleet.wait_until("all warm", |view| view.converged);
    assert!(view
        .instances
        .iter()
        .all(|instance| accepts_connections(instance.slot.listen)));
    // A second daemon on the same folder fails with an error.
    let second = Command::new(PROGRAM)
        .args(["fleet", "up"])
        .arg(&fleet.file)
        .output()
        .expect("runs the program");
    assert!(!second.status.success());
    assert!(String::from_utf8_lossy(&second.stderr).contains("another daemon runs this fleet"));
    let before = fleet.pids();
    fleet.restart_daemon();
    fleet.wait_until("adopted", |view| view.converged);
    assert_eq!(fleet.pids(), before, "no instance was restarted");
    fleet.replace(2).expect("begins the replacement");
    assert!(fleet
        .replace(3)
        .is_err_and(|error| error.contains("a replacement is already in progress")));
    let mut min_capacity = f64::INFINITY;
    for n in 0..40 {
        std::thread::sleep(Duration::from_millis(20 + 13 * (n % 5)));
        fleet.restart_daemon();
        let view = fleet.wait_until("the daemon responds", |_| true);
        min_capacity = min_capacity.min(view.capacity);
        if view.replacement.is_none() {
            break;
        }
    }
    let view = fleet.wait_until("replaced", |view| {
        view.converged && view.stable_generation == 2
    });
    assert!(view
        .instances
        .iter()
        .all(|instance| instance.generation == 2));
    assert!(
        view.terminated
            .iter()
            .all(|instance| instance.phase == Phase::Stopped),
        "{:?}",
        view.terminated
    );
    assert!(min_capacity >= 3.0, "{min_capacity}");
    assert!(fleet.pids().is_disjoint(&before));
    fleet.shut_down();
    // A new daemon does not reuse incarnation numbers.
    let last_incarnation = view
        .instances
        .iter()
        .map(|instance| instance.incarnation)
        .max()
        .unwrap_or_default();
    fleet.start_daemon();
    let view = fleet.wait_until("started again", |view| view.converged);
    assert!(view
        .instances
        .iter()
        .all(|instance| instance.incarnation > last_incarnation));
    fleet.shut_down();
}

#[test]
fn a_failing_release_is_rolled_back_and_old_instances_keep_running() {
    let mut fleet = TestFleet::new(2, 1, "batch: 1, minimum: 2");
    fleet.start_daemon();
    fleet.wait_until("all warm", |view| view.converged);
    let before = fleet.pids();
    for (generation, expected) in [(3, "status 1"), (4, "/nowhere/at/all")] {
        fleet.replace(generation).expect("begins the replacement");
        let view = fleet.wait_until("rolled back", |view| view.converged);
        assert_eq!(view.stable_generation, 1);
        let failed = view
            .terminated
            .iter()
            .filter(|instance| instance.generation == generation);
        let reasons: Vec<_> = failed
            .filter_map(|instance| instance.failure_reason.clone())
            .collect();
        assert!(
            reasons.len() >= 3 && reasons.iter().all(|reason| reason.contains(expected)),
            "{reasons:?}"
        );
        assert_eq!(fleet.pids(), before);
    }
    fleet.shut_down();
}

#[test]
fn crashed_hung_and_stopped_instances_are_replaced() {
    let mut fleet = TestFleet::new(2, 1, "batch: 1, minimum: 1");
    fleet.start_daemon();
    let view = fleet.wait_until("all warm", |view| view.converged);
    let instance = &view.instances[0];
    kill(instance.pid.expect("the instance has a process"));
    let incarnation = instance.incarnation;
    let has_terminated = |incarnation: u64| {
        move |view: &FleetView| {
            view.terminated
                .iter()
                .any(|instance| instance.incarnation == incarnation)
        }
    };
    fleet.wait_until("the crash is detected", has_terminated(incarnation));
    let view = fleet.wait_until("the crashed instance is replaced", |view| view.converged);
    let instance = &view.instances[0];
    signal(instance.pid.expect("the instance has a process"), "STOP");
    let incarnation = instance.incarnation;
    let view = fleet.wait_until("the hang is detected", has_terminated(incarnation));
    let reason = view
        .terminated
        .iter()
        .find(|instance| instance.incarnation == incarnation)
        .and_then(|instance| instance.failure_reason.clone());
    assert_eq!(reason.as_deref(), Some("it hung"));
    let view = fleet.wait_until("the hung instance is replaced", |view| view.converged);
    // An instance that an operator stops directly does not count as failed.
    let instance = &view.instances[0];
    signal(instance.pid.expect("the instance has a process"), "TERM");
    let view = fleet.wait_until(
        "the instance has stopped",
        has_terminated(instance.incarnation),
    );
    let stopped = view
        .terminated
        .iter()
        .find(|terminated| terminated.incarnation == instance.incarnation);
    assert_eq!(
        stopped.map(|terminated| terminated.phase),
        Some(Phase::Stopped)
    );
    fleet.wait_until("the stopped instance is replaced", |view| view.converged);
    assert_eq!(fleet.sites.len(), 3);
    fleet.shut_down();
}

/// Guards against a daemon that takes its own delay for the silence of instances: it was blocked while it
/// started a process, and then killed instances whose reports it had not read.
#[test]
fn instances_that_report_while_the_daemon_is_blocked_are_not_killed() {
    let mut fleet = TestFleet::new(2, 1, "batch: 1, minimum: 1");
    fleet.start_daemon();
    fleet.wait_until("all warm", |view| view.converged);
    // The first new instance starts in the unused slot: opening its log blocks until the pipe has a
    // reader.
    let log = fleet.state_folder().join("logs/m2.log");
    let status = Command::new("mkfifo").arg(&log).status();
    assert!(status.expect("runs mkfifo").success());
    std::thread::scope(|scope| {
        let replacement = scope.spawn(|| fleet.replace(2));
        std::thread::sleep(Duration::from_millis(2_500));
        let mut reader = std::fs::File::open(&log).expect("opens the pipe");
        std::fs::remove_file(&log).expect("removes the pipe");
        std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        let replacement = replacement.join().expect("the command has ended");
        replacement.expect("the replacement begins");
    });
    let view = fleet.wait_until("all replaced", |view| view.converged);
    let has_failed = |instance: &TerminatedInstanceView| instance.failure_reason.is_some();
    assert!(
        !view.terminated.iter().any(has_failed) && view.stable_generation == 2,
        "{view:#?}"
    );
    fleet.shut_down();
}

/// Sets the number of descriptors that a process may open; `None` restores the limit of this process.
fn set_descriptor_limit(pid: u32, max_descriptors: Option<u64>) {
    use rustix::process::{prlimit, Pid, Resource, Rlimit};
    let pid = i32::try_from(pid)
        .ok()
        .and_then(Pid::from_raw)
        .expect("a valid process id");
    let own_limit = rustix::process::getrlimit(Resource::Nofile);
    let limit = Rlimit {
        current: max_descriptors.or(own_limit.current),
        maximum: own_limit.maximum,
    };
    prlimit(Some(pid), Resource::Nofile, limit).expect("limits a child process");
}

#[test]
fn a_daemon_without_free_descriptors_recovers_once_there_are_some() {
    let mut fleet = TestFleet::new(2, 1, "batch: 1, minimum: 1");
    fleet.start_daemon();
    fleet.wait_until("all warm", |view| view.converged);
    let daemon_pid = fleet
        .daemon
        .as_ref()
        .map(Child::id)
        .expect("the daemon runs");
    // Repeated, because the daemon may not attempt a start while the limit is in force.
    for _ in 0..20 {
        let view = fleet.wait_until("all warm", |view| view.converged);
        let open_descriptors = std::fs::read_dir(format!("/proc/{daemon_pid}/fd"))
            .expect("reads the daemon's descriptors")
            .count();
        set_descriptor_limit(daemon_pid, Some(open_descriptors as u64 - 3));
        kill(view.instances[0].pid.expect("the instance has a process"));
        std::thread::sleep(Duration::from_millis(100));
        set_descriptor_limit(daemon_pid, None);
        let view = fleet.wait_until("all warm again", |view| view.converged);
        if view.terminated.iter().any(|instance| {
            instance
                .failure_reason
                .as_ref()
                .is_some_and(|reason| reason.contains("os error 24"))
        }) {
            return fleet.shut_down();
        }
    }
    panic!("no start failed for lack of descriptors");
}

/// Guards against a daemon that takes a shortage of its own descriptors for the end of its instances: it
/// started others in their slots, and killed those that served.
#[test]
fn a_daemon_started_without_enough_descriptors_does_not_replace_instances_that_run() {
    let mut fleet = TestFleet::new(2, 1, "batch: 1, minimum: 1");
    fleet.start_daemon();
    fleet.wait_until("all warm", |view| view.converged);
    let before = fleet.pids();
    let mut failed_starts = 0;
    // Each start of the daemon opens one more file of its store.
    for max_descriptors in (6..40).step_by(2) {
        let mut daemon = fleet.daemon.take().expect("the daemon runs");
        daemon.kill().expect("kills the daemon");
        daemon.wait().expect("the daemon ends");
        let command = format!("ulimit -n {max_descriptors}; exec \"$@\"");
        let mut daemon = Command::new("sh")
            .args(["-c", &command, "sh", PROGRAM, "fleet", "up"])
            .arg(&fleet.file)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts the daemon");
        // It recovers within this time, and counts no instance as hung yet.
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_millis(400) {
            if daemon.try_wait().expect("waits for the daemon").is_some() {
                failed_starts += 1;
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        fleet.daemon = Some(daemon);
    }
    assert!(failed_starts > 0, "no start failed for lack of descriptors");
    fleet.restart_daemon();
    let view = fleet.wait_until("all warm again", |view| view.converged);
    assert_eq!(fleet.pids(), before, "{:#?}", view.terminated);
    fleet.shut_down();
}

/// Encodes a request on a stream of a connection.
fn encode_request(stream: u32, id: u64) -> Vec<u8> {
    request_frame_now(stream, "lobby-view", id, 70.0, b"lobby")
}

fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    let stream = TcpStream::connect(address).map_err(|e| format!("connect: {e}"))?;
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .map_err(|e| e.to_string())?;
    Ok(stream)
}

/// Sends one request on a connection of its own and waits for the response.
fn send_request(address: SocketAddr, id: u64) -> Result<(), String> {
    let mut stream = connect(address)?;
    stream
        .write_all(&encode_request(1, id))
        .map_err(|e| format!("send: {e}"))?;
    let mut response = [0; 1_024];
    match stream.read(&mut response) {
        Ok(0) => Err("closed without a response".to_owned()),
        Ok(_) => Ok(()),
        Err(e) => Err(format!("receive: {e}")),
    }
}

/// Sends requests on one connection, each after the response to the one before, until the server
/// announces that it closes the connection. Notifies `on_response` of each, and returns their number.
fn send_requests_until_told_to_close(
    mut stream: TcpStream,
    on_response: &Sender<()>,
) -> Result<u32, String> {
    const RESPONSE_FRAME: u8 = 1;
    const CLOSE_FRAME: u8 = 9;
    let (mut responses, mut is_closing) = (0, false);
    while !is_closing {
        stream
            .write_all(&encode_request(responses + 1, u64::from(responses) + 1))
            .map_err(|e| format!("send: {e}"))?;
        loop {
            let mut head = [0; 5];
            stream
                .read_exact(&mut head)
                .map_err(|e| format!("no response after {responses}: {e}"))?;
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]);
            let mut rest = vec![0; length as usize - 1];
            stream
                .read_exact(&mut rest)
                .map_err(|e| format!("no response after {responses}: {e}"))?;
            is_closing |= head[4] == CLOSE_FRAME;
            if head[4] == RESPONSE_FRAME {
                break;
            }
        }
        responses += 1;
        // The receiver waits for the first response only.
        let _ = on_response.send(());
    }
    Ok(responses)
}

/// Guards against an instance that is killed because its reports don't arrive: it served, and only its
/// connection to the daemon was missing.
#[test]
fn an_instance_that_cannot_report_responds_to_all_it_has_read_before_it_is_replaced() {
    let mut fleet = TestFleet::new(2, 1, "batch: 1, minimum: 1");
    fleet.start_daemon();
    let view = fleet.wait_until("all warm", |view| view.converged);
    let instance = &view.instances[0];
    let stream = connect(instance.slot.listen).expect("connects to the instance");
    let (sender, receiver) = mpsc::channel();
    let client = std::thread::spawn(move || send_requests_until_told_to_close(stream, &sender));
    receiver.recv().expect("the instance responds");
    // It can't connect to the next daemon, and serves the connections that it has.
    set_descriptor_limit(instance.pid.expect("the instance has a process"), Some(1));
    fleet.restart_daemon();
    let is_instance =
        |terminated: &&TerminatedInstanceView| terminated.incarnation == instance.incarnation;
    let view = fleet.wait_until("the silent instance has ended", |view| {
        view.terminated
            .iter()
            .any(|terminated| is_instance(&terminated))
    });
    let responses = client.join().expect("the client has ended");
    assert!(
        responses.as_ref().is_ok_and(|count| *count > 0),
        "{responses:?}"
    );
    let reason = view.terminated.iter().find(is_instance);
    assert_eq!(
        reason.and_then(|terminated| terminated.failure_reason.as_deref()),
        Some("its status reports ended with their connection")
    );
    fleet.wait_until("it is replaced", |view| view.converged);
    fleet.shut_down();
}

#[test]
fn replacements_on_a_shared_address_lose_no_request() {
    let address = SocketAddr::from(([127, 0, 0, 3], free_ports(1)[0]));
    let mut fleet = TestFleet::with_shared_address(2, 1, Some(address), "batch: 1, minimum: 2");
    fleet.start_daemon();
    fleet.wait_until("all warm", |view| view.converged);
    let stop = AtomicBool::new(false);
    let (requests, errors) = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..3_u64)
            .map(|client| {
                let stop = &stop;
                scope.spawn(move || {
                    let (mut requests, mut errors) = (0, Vec::new());
                    while !stop.load(Ordering::Relaxed) {
                        requests += 1;
                        errors.extend(send_request(address, client << 32 | requests).err());
                    }
                    (requests, errors)
                })
            })
            .collect();
        for generation in [2, 1, 2] {
            fleet.replace(generation).expect("begins the replacement");
            fleet.restart_daemon();
            fleet.wait_until("replaced", |view| {
                view.converged && view.stable_generation == generation
            });
        }
        stop.store(true, Ordering::Relaxed);
        let results: Vec<_> = clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .collect();
        (
            results.iter().map(|result| result.0).sum::<u64>(),
            results
                .into_iter()
                .flat_map(|result| result.1)
                .collect::<Vec<_>>(),
        )
    });
    assert!(requests > 50, "{requests}");
    assert!(
        errors.is_empty(),
        "{} of {requests}: {:?}",
        errors.len(),
        errors.first()
    );
    fleet.shut_down();
}

/// Sends requests, each on a connection of its own, until `is_over` returns true. Returns the number of
/// responses, and the errors of requests on connections that the system had accepted.
fn send_until(
    address: SocketAddr,
    first_id: u64,
    is_over: impl Fn() -> bool,
) -> (u64, Vec<String>) {
    let (mut responses, mut lost) = (0, Vec::new());
    for id in first_id.. {
        if is_over() {
            break;
        }
        match send_request(address, id) {
            Ok(()) => responses += 1,
            // A refused connection proves that the request never ran.
            Err(error) if error.starts_with("connect") => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => lost.push(error),
        }
    }
    (responses, lost)
}

/// Sends requests from three clients while `order` runs. Returns the number of responses, and the errors of
/// requests on connections that the system had accepted.
fn send_during(address: SocketAddr, order: impl FnOnce()) -> (u64, Vec<String>) {
    let is_over = AtomicBool::new(false);
    let (mut responses, mut lost) = (0, Vec::new());
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..3_u64)
            .map(|client| {
                let is_over = || is_over.load(Ordering::Relaxed);
                scope.spawn(move || send_until(address, client << 32, is_over))
            })
            .collect();
        order();
        is_over.store(true, Ordering::Relaxed);
        for client in clients {
            let (client_responses, client_lost) = client.join().expect("the client has ended");
            responses += client_responses;
            lost.extend(client_lost);
        }
    });
    (responses, lost)
}

/// Guards against a fleet that shuts down while the system accepts connections for it that no process reads.
#[test]
fn a_shutdown_on_a_shared_address_answers_each_request_it_was_sent() {
    let address = SocketAddr::from(([127, 0, 0, 3], free_ports(1)[0]));
    let mut fleet = TestFleet::with_shared_address(2, 1, Some(address), "batch: 1, minimum: 1");
    fleet.start_daemon();
    fleet.wait_until("all warm", |view| view.converged);
    let (responses, lost) = send_during(address, || {
        std::thread::sleep(Duration::from_millis(200));
        fleet.shut_down();
    });
    assert!(responses > 0);
    assert!(lost.is_empty(), "{} lost: {:?}", lost.len(), lost.first());
}

/// Guards against a draining instance that leaves connections unread although no other instance accepts
/// them: they waited for its successor, until after their deadline.
#[test]
fn the_only_instance_on_an_address_serves_new_connections_while_it_drains() {
    let address = SocketAddr::from(([127, 0, 0, 3], free_ports(1)[0]));
    let mut fleet = TestFleet::with_stop_timeout(
        1,
        0,
        Some(address),
        "batch: 1, minimum: 0",
        Duration::from_millis(2_500),
    );
    fleet.start_daemon();
    let incarnation = fleet.wait_until("warm", |view| view.converged).instances[0].incarnation;
    fleet.replace(2).expect("begins the replacement");
    fleet.wait_until("draining", |view| {
        view.instances
            .iter()
            .any(|instance| instance.phase == Phase::Draining)
    });
    send_request(address, 1).expect("the draining instance responds");
    let view = fleet.wait_until("the daemon responds", |_| true);
    assert!(
        view.instances
            .iter()
            .any(|instance| instance.incarnation == incarnation),
        "the response came from the next instance: {view:#?}"
    );
    fleet.wait_until("replaced", |view| {
        view.converged && view.stable_generation == 2
    });
    fleet.shut_down();
}

/// Returns the code of the response to one request on a connection of its own.
fn response_code(address: SocketAddr, id: u64) -> u8 {
    let mut stream = connect(address).expect("connects to the fleet");
    stream
        .write_all(&encode_request(1, id))
        .expect("sends the request");
    // Length, type and stream come before the code.
    let mut head = [0; 10];
    stream.read_exact(&mut head).expect("reads the response");
    head[9]
}

/// Guards against a draining instance that goes on accepting beside its successors, and rejects after its
/// grace period what they would serve.
#[test]
fn a_draining_instance_leaves_new_connections_to_those_that_serve() {
    const SERVED: u8 = 0;
    let address = SocketAddr::from(([127, 0, 0, 3], free_ports(1)[0]));
    let mut fleet = TestFleet::with_stop_timeout(
        1,
        1,
        Some(address),
        "batch: 1, minimum: 1",
        Duration::from_millis(2_500),
    );
    fleet.start_daemon();
    fleet.wait_until("warm", |view| view.converged);
    fleet.replace(2).expect("begins the replacement");
    let is_old_draining = |view: &FleetView| {
        view.instances
            .iter()
            .any(|instance| instance.generation == 1 && instance.phase == Phase::Draining)
    };
    fleet.wait_until("draining", is_old_draining);
    // After the grace period of 300 ms, in which the old instance would serve them itself.
    std::thread::sleep(Duration::from_millis(800));
    let codes: Vec<u8> = (0..20).map(|id| response_code(address, id)).collect();
    assert_eq!(codes, [SERVED; 20]);
    fleet.wait_until("replaced", |view| {
        view.converged && view.stable_generation == 2
    });
    fleet.shut_down();
}
