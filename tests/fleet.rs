//! A daemon with real processes: started, killed at moments of a replacement and started again, a release that fails, and
//! what else goes wrong with processes.

use cleatpulley_emulators::callers::request_frame;
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_fleet::control_protocol::{ControlCommand, ControlResponse, FleetView};
use cleatpulley_fleet::daemon::send_command;
use cleatpulley_fleet::plan::Phase;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cleatpulley");
/// Nothing here takes longer, or it failed.
const PATIENCE: Duration = Duration::from_secs(60);

struct Rig {
    folder: tempfile::TempDir,
    file: PathBuf,
    sites: Vec<Site>,
    daemon: Option<Child>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        // Processes that a failed test leaves behind end with it.
        if let Ok(ControlResponse::Fleet(view)) =
            send_command(&self.state(), &ControlCommand::Status)
        {
            view.instances
                .iter()
                .filter_map(|one| one.pid)
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

/// Ports that nobody has now, on an address from which no connection is dialled: none of them is taken meanwhile.
fn ports(number: usize) -> Vec<u16> {
    let all: Vec<_> = (0..number)
        .filter_map(|_| TcpListener::bind("127.0.0.2:0").ok())
        .collect();
    all.iter()
        .filter_map(|one| Some(one.local_addr().ok()?.port()))
        .collect()
}

impl Rig {
    fn new(instances: usize, surge: usize, more: &str) -> Self {
        Self::with(instances, surge, None, more)
    }

    fn with(instances: usize, surge: usize, shared: Option<SocketAddr>, more: &str) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mut places = Vec::new();
        let mut sites = Vec::new();
        for (i, port) in ports(instances + surge).into_iter().enumerate() {
            let site = Site::start(Setup {
                stop: 600_000,
                grace: 300_000,
                seed: i as u64,
                ..Setup::default()
            })
            .expect("a site");
            let config = folder.path().join(format!("m{i}.json"));
            std::fs::write(&config, site.config.to_string()).expect("a configuration");
            let own = if shared.is_none() {
                format!("listen: '127.0.0.2:{port}', ")
            } else {
                String::new()
            };
            places.push(format!(
                "{{ name: 'm{i}', {own}config: '{}' }}",
                config.display()
            ));
            sites.push(site);
        }
        let bad = folder.path().join("bad.jsonnet");
        std::fs::write(&bad, "{ ajp: { listen: 7 } }").expect("a file");
        let file = folder.path().join("fleet.jsonnet");
        let text = format!(
            "{{ fleet: {{ folder: '{}', instances: {instances}, surge: {surge}, places: [{}], releases: {{ \
             '1': {{ program: '{PROGRAM}' }}, '2': {{ program: '{PROGRAM}' }}, \
             '3': {{ program: '{PROGRAM}', operator: '{}' }}, '4': {{ program: '/nowhere/at/all' }} }}, \
             timeouts_ms: {{ start: 5000, warm: 20000, drain: 3000, silent: 1000 }}, \
             restart: {{ first_ms: 50, most_ms: 500, budget: 100, within_ms: 1000 }}, {more}{} }} }}",
            folder.path().join("state").display(),
            places.join(", "),
            bad.display(),
            shared.map_or(String::new(), |address| format!(", listen: '{address}'"))
        );
        std::fs::write(&file, text).expect("a file");
        Self {
            folder,
            file,
            sites,
            daemon: None,
        }
    }

    fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    fn up(&mut self) {
        let child = Command::new(PROGRAM)
            .args(["fleet", "up", "--generation", "1"])
            .arg(&self.file)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("a daemon");
        self.daemon = Some(child);
    }

    /// The daemon dies and another comes.
    fn daemon_dies(&mut self) {
        let mut daemon = self.daemon.take().expect("a daemon");
        daemon.kill().expect("it can be killed");
        daemon.wait().expect("it ends");
        self.up();
    }

    fn ask(&self, what: &ControlCommand) -> Result<FleetView, String> {
        match send_command(&self.state(), what) {
            Ok(ControlResponse::Fleet(view)) => Ok(*view),
            Ok(ControlResponse::Rejected(why)) => Err(why),
            Err(e) => Err(e.to_string()),
        }
    }

    fn wait(&self, what: &str, until: impl Fn(&FleetView) -> bool) -> FleetView {
        let since = Instant::now();
        let mut last = Err("nothing was heard".to_owned());
        while since.elapsed() < PATIENCE {
            last = self.ask(&ControlCommand::Status);
            match &last {
                Ok(view) if until(view) => return last.unwrap_or_else(|e| panic!("{e}")),
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
        panic!("{what}: {last:#?}\n{}", self.logs());
    }

    fn logs(&self) -> String {
        let mut all = String::new();
        for entry in std::fs::read_dir(self.state().join("logs"))
            .into_iter()
            .flatten()
            .flatten()
        {
            all += &std::fs::read_to_string(entry.path()).unwrap_or_default();
        }
        all
    }

    /// As an operator does it.
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
        let done = command.output().expect("it ends");
        if !done.status.success() {
            return Err(String::from_utf8_lossy(&done.stderr).into_owned());
        }
        serde_json::from_slice(&done.stdout).map_err(|e| e.to_string())
    }

    fn pids(&self) -> BTreeSet<u32> {
        self.ask(&ControlCommand::Status)
            .expect("a view")
            .instances
            .iter()
            .filter_map(|one| one.pid)
            .collect()
    }

    fn down(&mut self) {
        let pids = self.pids();
        self.ask(&ControlCommand::Shutdown).expect("it goes down");
        let status = self
            .daemon
            .take()
            .expect("a daemon")
            .wait()
            .expect("it ends");
        assert!(status.success());
        assert!(
            pids.iter()
                .all(|pid| !Path::new(&format!("/proc/{pid}/exe")).exists()),
            "all have left"
        );
    }
}

fn answers(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_ok()
}

#[test]
fn a_daemon_that_is_killed_again_and_again_finishes_its_replacement() {
    let mut rig = Rig::new(3, 1, "batch: 1, minimum: 3");
    rig.up();
    let view = rig.wait("all warm", |view| view.converged);
    assert!(view.instances.iter().all(|one| answers(one.slot.listen)));
    // A second daemon on the folder is refused, and says why.
    let second = Command::new(PROGRAM)
        .args(["fleet", "up"])
        .arg(&rig.file)
        .output()
        .expect("it ends");
    assert!(!second.status.success());
    assert!(String::from_utf8_lossy(&second.stderr).contains("another daemon runs this fleet"));
    let before = rig.pids();
    rig.daemon_dies();
    rig.wait("taken up", |view| view.converged);
    assert_eq!(rig.pids(), before, "none was started anew");
    rig.replace(2).expect("it begins");
    assert!(rig
        .replace(3)
        .is_err_and(|why| why.contains("a replacement is already in progress")));
    let mut least = f64::INFINITY;
    for n in 0..40 {
        std::thread::sleep(Duration::from_millis(20 + 13 * (n % 5)));
        rig.daemon_dies();
        let view = rig.wait("it answers", |_| true);
        least = least.min(view.capacity);
        if view.replacement.is_none() {
            break;
        }
    }
    let view = rig.wait("replaced", |view| {
        view.converged && view.stable_generation == 2
    });
    assert!(view.instances.iter().all(|one| one.generation == 2));
    assert!(
        view.terminated
            .iter()
            .all(|one| one.phase == Phase::Stopped),
        "{:?}",
        view.terminated
    );
    assert!(least >= 3.0, "{least}");
    assert!(rig.pids().is_disjoint(&before));
    rig.down();
    // What comes next has other numbers.
    let most = view
        .instances
        .iter()
        .map(|one| one.incarnation)
        .max()
        .unwrap_or_default();
    rig.up();
    let view = rig.wait("up again", |view| view.converged);
    assert!(view.instances.iter().all(|one| one.incarnation > most));
    rig.down();
}

#[test]
fn a_release_that_fails_goes_back_by_itself_and_nobody_else_is_touched() {
    let mut rig = Rig::new(2, 1, "batch: 1, minimum: 2");
    rig.up();
    rig.wait("all warm", |view| view.converged);
    let before = rig.pids();
    for (generation, why) in [(3, "status 1"), (4, "/nowhere/at/all")] {
        rig.replace(generation).expect("it begins");
        let view = rig.wait("it went back", |view| view.converged);
        assert_eq!(view.stable_generation, 1);
        let failed = view
            .terminated
            .iter()
            .filter(|one| one.generation == generation);
        let whys: Vec<_> = failed
            .filter_map(|one| one.failure_reason.clone())
            .collect();
        assert!(
            whys.len() >= 3 && whys.iter().all(|told| told.contains(why)),
            "{whys:?}"
        );
        assert_eq!(rig.pids(), before);
    }
    rig.down();
}

#[test]
fn deaths_hangs_and_strays_are_noticed() {
    let mut rig = Rig::new(2, 1, "batch: 1, minimum: 1");
    rig.up();
    let view = rig.wait("all warm", |view| view.converged);
    let one = &view.instances[0];
    kill(one.pid.expect("a process"));
    let number = one.incarnation;
    let gone = |number: u64| {
        move |view: &FleetView| view.terminated.iter().any(|one| one.incarnation == number)
    };
    rig.wait("its death is noticed", gone(number));
    let view = rig.wait("another came", |view| view.converged);
    let one = &view.instances[0];
    signal(one.pid.expect("a process"), "STOP");
    let number = one.incarnation;
    let view = rig.wait("that it hangs is noticed", gone(number));
    let why = view
        .terminated
        .iter()
        .find(|one| one.incarnation == number)
        .and_then(|one| one.failure_reason.clone());
    assert_eq!(why.as_deref(), Some("it hung"));
    let view = rig.wait("another came", |view| view.converged);
    // One that somebody tells to leave by hand is no crash.
    let one = &view.instances[0];
    signal(one.pid.expect("a process"), "TERM");
    let view = rig.wait("it has left", gone(one.incarnation));
    let left = view
        .terminated
        .iter()
        .find(|gone| gone.incarnation == one.incarnation);
    assert_eq!(left.map(|gone| gone.phase), Some(Phase::Stopped));
    rig.wait("another came", |view| view.converged);
    assert_eq!(rig.sites.len(), 3);
    rig.down();
}

/// How many descriptors a process may open from now on.
fn limit(pid: u32, most: Option<u64>) {
    use rustix::process::{prlimit, Pid, Resource, Rlimit};
    let pid = i32::try_from(pid)
        .ok()
        .and_then(Pid::from_raw)
        .expect("a process");
    let before = rustix::process::getrlimit(Resource::Nofile);
    let limit = Rlimit {
        current: most.or(before.current),
        maximum: before.maximum,
    };
    prlimit(Some(pid), Resource::Nofile, limit).expect("its own processes may be limited");
}

#[test]
fn where_descriptors_run_out_it_goes_on_once_there_are_some() {
    let mut rig = Rig::new(2, 1, "batch: 1, minimum: 1");
    rig.up();
    rig.wait("all warm", |view| view.converged);
    let daemon = rig.daemon.as_ref().map(Child::id).expect("a daemon");
    // Whether it has tried within that time nobody can ask it: then once more.
    for _ in 0..20 {
        let view = rig.wait("all warm", |view| view.converged);
        let open = std::fs::read_dir(format!("/proc/{daemon}/fd"))
            .expect("its descriptors")
            .count();
        limit(daemon, Some(open as u64 - 3));
        kill(view.instances[0].pid.expect("a process"));
        std::thread::sleep(Duration::from_millis(100));
        limit(daemon, None);
        let view = rig.wait("all warm again", |view| view.converged);
        if view.terminated.iter().any(|one| {
            one.failure_reason
                .as_ref()
                .is_some_and(|why| why.contains("os error 24"))
        }) {
            return rig.down();
        }
    }
    panic!("no start failed for want of descriptors");
}

/// Asks once on a connection of its own; what went wrong, if anything did.
fn ask_once(address: SocketAddr, id: u64) -> Result<(), String> {
    let mut stream = TcpStream::connect(address).map_err(|e| format!("connecting: {e}"))?;
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .map_err(|e| e.to_string())?;
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |at| at.as_millis());
    let fields = [
        ("verb", "lobby-view".to_owned()),
        ("txn", format!("{id:016x}")),
        ("door", now.to_string()),
        ("lb", "1".to_owned()),
        ("cpu", "70.00".to_owned()),
        ("ram", "20".to_owned()),
        ("standing", "0.5000".to_owned()),
    ];
    stream
        .write_all(&request_frame(1, &fields, b"lobby"))
        .map_err(|e| format!("asking: {e}"))?;
    let mut answer = [0; 1_024];
    match stream.read(&mut answer) {
        Ok(0) => Err("closed without an answer".to_owned()),
        Ok(_) => Ok(()),
        Err(e) => Err(format!("waiting: {e}")),
    }
}

#[test]
fn one_address_for_all_is_handed_over_and_no_connection_is_refused() {
    let address = SocketAddr::from(([127, 0, 0, 3], ports(1)[0]));
    let mut rig = Rig::with(2, 1, Some(address), "batch: 1, minimum: 2");
    rig.up();
    rig.wait("all warm", |view| view.converged);
    let over = AtomicBool::new(false);
    let (asked, failed) = std::thread::scope(|scope| {
        let asking: Vec<_> = (0..3_u64)
            .map(|n| {
                let over = &over;
                scope.spawn(move || {
                    let (mut asked, mut failed) = (0, Vec::new());
                    while !over.load(Ordering::Relaxed) {
                        asked += 1;
                        failed.extend(ask_once(address, n << 32 | asked).err());
                    }
                    (asked, failed)
                })
            })
            .collect();
        for generation in [2, 1, 2] {
            rig.replace(generation).expect("it begins");
            rig.daemon_dies();
            rig.wait("replaced", |view| {
                view.converged && view.stable_generation == generation
            });
        }
        over.store(true, Ordering::Relaxed);
        let all: Vec<_> = asking
            .into_iter()
            .filter_map(|one| one.join().ok())
            .collect();
        (
            all.iter().map(|one| one.0).sum::<u64>(),
            all.into_iter().flat_map(|one| one.1).collect::<Vec<_>>(),
        )
    });
    assert!(asked > 50, "{asked}");
    assert!(
        failed.is_empty(),
        "{} of {asked}: {:?}",
        failed.len(),
        failed.first()
    );
    rig.down();
}
