//! A matcher as a child process: started with a configuration and an operator file, watched through its log.

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A start takes no longer, or it failed.
const PATIENCE: Duration = Duration::from_secs(10);

/// The process; it is killed when this is dropped.
pub struct Matcher {
    child: Child,
    folder: PathBuf,
    /// What it shares with the process that takes its place.
    shared: Arc<Scratch>,
    operator: Option<String>,
    log: Arc<Mutex<Vec<String>>>,
    /// Where it listens for frames.
    pub frames: SocketAddr,
    /// Where it listens for AJP, if it does.
    pub ajp: Option<SocketAddr>,
    /// Where it answers operators, if it does.
    pub mgmt: Option<SocketAddr>,
}

/// A folder that goes when nobody has it any more.
struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Drop for Matcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Matcher {
    fn folder() -> io::Result<PathBuf> {
        static NUMBER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("cleatpulley-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(folder)
    }

    /// Starts `program serve` and waits until it listens.
    ///
    /// # Errors
    /// Where it does not; its log is part of what is told.
    pub fn start(program: &Path, config: &Value, operator: Option<&str>) -> io::Result<Self> {
        let shared = Arc::new(Scratch(Self::folder()?));
        let mut matcher = Self::begin(program, config, operator, shared)?;
        matcher.frames = matcher.wait_for_address("listens on ")?;
        if operator.is_some_and(|text| text.contains("ajp:")) {
            matcher.ajp = Some(matcher.wait_for_address("speaks AJP on ")?);
        }
        if config.get("mgmt").is_some() {
            matcher.mgmt = Some(matcher.wait_for_address("management endpoint serves on ")?);
        }
        matcher.wait_for_log("runtime: running")?;
        Ok(matcher)
    }

    /// Starts a process that is to take this one's place, with this configuration but for the addresses, which are the
    /// same, and does not wait for it.
    ///
    /// # Errors
    /// Where the system refuses.
    pub fn start_successor(&self, program: &Path, config: &Value) -> io::Result<Self> {
        let mut config = config.clone();
        config["listen"] = self.frames.to_string().into();
        let anywhere = "listen: ['127.0.0.1:0']";
        let operator = self.operator.as_deref().map(|text| match self.ajp {
            Some(at) => text.replace(anywhere, &format!("listen: ['{at}']")),
            None => text.to_owned(),
        });
        let mut matcher = Self::begin(
            program,
            &config,
            operator.as_deref(),
            Arc::clone(&self.shared),
        )?;
        (matcher.frames, matcher.ajp) = (self.frames, self.ajp);
        Ok(matcher)
    }

    /// Waits until it says that it takes clients; returns how long that took from now.
    ///
    /// # Errors
    /// Where it does not in this time.
    pub fn wait_ready(&mut self, patience: Duration) -> io::Result<Duration> {
        let since = Instant::now();
        if self.mgmt.is_none() {
            self.mgmt = Some(self.wait_for_address("management endpoint serves on ")?);
        }
        while !matches!(self.get("/_ready"), Ok((200, _))) {
            if since.elapsed() > patience || !self.is_alive() {
                std::thread::sleep(Duration::from_millis(50));
                return Err(io::Error::other(format!(
                    "it is not ready:\n{}",
                    self.log().join("\n")
                )));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(since.elapsed())
    }

    /// KillTrial it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn begin(
        program: &Path,
        config: &Value,
        operator: Option<&str>,
        shared: Arc<Scratch>,
    ) -> io::Result<Self> {
        let folder = Self::folder()?;
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string())?;
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(&file);
        if let Some(text) = operator {
            let file = folder.join("operator.jsonnet");
            std::fs::write(&file, text)?;
            command.arg("--operator").arg(&file);
        }
        let mut matcher = Self::spawn(command, folder, shared)?;
        matcher.operator = operator.map(str::to_owned);
        Ok(matcher)
    }

    /// Starts `program route` with an nginx configuration beside its operator file, and waits until it listens by frames and
    /// by AJP.
    ///
    /// # Errors
    /// Where it does not; its log is part of what is told.
    pub fn start_gateway(program: &Path, routes: &str, operator: &str) -> io::Result<Self> {
        let folder = Self::folder()?;
        std::fs::write(folder.join("nginx.conf"), routes)?;
        let file = folder.join("operator.jsonnet");
        std::fs::write(&file, operator)?;
        let mut command = Command::new(program);
        command.arg("route").arg("--operator").arg(&file);
        let shared = Arc::new(Scratch(Self::folder()?));
        let mut gateway = Self::spawn(command, folder, shared)?;
        gateway.frames = gateway.wait_for_address("listens on ")?;
        gateway.ajp = Some(gateway.wait_for_address("speaks AJP on ")?);
        Ok(gateway)
    }

    /// Gives a gateway other routes, and tells it.
    ///
    /// # Errors
    /// Where they can't be written.
    pub fn reload_routes(&self, routes: &str) -> io::Result<()> {
        std::fs::write(self.folder.join("nginx.conf"), routes)?;
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            kill_process(pid, Signal::HUP)?;
        }
        Ok(())
    }

    fn spawn(mut command: Command, folder: PathBuf, shared: Arc<Scratch>) -> io::Result<Self> {
        command.env("TMPDIR", &shared.0);
        for variable in ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_MGMT"] {
            command.env_remove(variable);
        }
        let mut child = command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            let log = Arc::clone(&log);
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    log.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(line);
                }
            });
        }
        Ok(Self {
            child,
            folder,
            shared,
            operator: None,
            log,
            frames: ([127, 0, 0, 1], 0).into(),
            ajp: None,
            mgmt: None,
        })
    }

    /// Lets it have no more descriptors than that from now on, whatever it was told.
    ///
    /// # Errors
    /// Where the system refuses.
    pub fn limit_descriptors(&self, most: usize) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let limit = Rlimit {
            current: Some(most as u64),
            maximum: Some(most as u64),
        };
        prlimit(pid, Resource::Nofile, limit)?;
        Ok(())
    }

    /// Its log so far.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits for a line of the log with this in it.
    ///
    /// # Errors
    /// Where it does not come, with the log.
    pub fn wait_for_log(&mut self, text: &str) -> io::Result<String> {
        let since = Instant::now();
        loop {
            // The thread that reads the log drops its handle after the last line of a process that ended.
            let complete = self.child.try_wait()?.is_some() && Arc::strong_count(&self.log) == 1;
            if let Some(line) = self.log().into_iter().find(|line| line.contains(text)) {
                return Ok(line);
            }
            if complete || since.elapsed() > PATIENCE {
                return Err(io::Error::other(format!(
                    "no {text:?} in its log:\n{}",
                    self.log().join("\n")
                )));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn wait_for_address(&mut self, text: &str) -> io::Result<SocketAddr> {
        let line = self.wait_for_log(text)?;
        let address = line
            .split(text)
            .nth(1)
            .map(str::trim)
            .and_then(|text| text.parse().ok());
        address.ok_or_else(|| io::Error::other(format!("no address in {line:?}")))
    }

    /// The notice to leave.
    pub fn terminate(&self) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // A process that is gone already is no failure here: waiting for it tells how it went.
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("it has no number"))?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Lets it stand still until [`resume`](Self::resume).
    ///
    /// # Errors
    /// Where it is gone.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// Where it is gone.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// Where it does not end in this time.
    pub fn wait_for_exit(&mut self, patience: Duration) -> io::Result<ExitStatus> {
        let since = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if since.elapsed() > patience {
                return Err(io::Error::other("it does not end"));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Asks at the operators' address: the status and the body.
    ///
    /// # Errors
    /// Where it answers nobody there, or not whole.
    pub fn get(&self, path: &str) -> io::Result<(u16, Vec<u8>)> {
        let at = self
            .mgmt
            .ok_or_else(|| io::Error::other("it answers no operators"))?;
        let mut stream = TcpStream::connect(at)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes())?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes)?;
        let reply =
            cleatpulley_protocol::http::parse_response(&bytes, true).map_err(io::Error::other)?;
        reply
            .map(|reply| (reply.status, reply.body))
            .ok_or_else(|| io::Error::other("no whole answer"))
    }

    /// It still runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn stat(&self, name: &str) -> Option<String> {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).ok()
    }

    /// Its memory in KB, now and at its peak, where the system tells.
    #[must_use]
    pub fn memory_kb(&self) -> Option<(u64, u64)> {
        let status = self.stat("status")?;
        let find = |key: &str| {
            let line = status.lines().find(|line| line.starts_with(key))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        Some((find("VmRSS:")?, find("VmHWM:")?))
    }

    /// CPU that it used, in microseconds, where the system tells.
    #[must_use]
    pub fn cpu_micros(&self) -> Option<u64> {
        // In nanoseconds, and exact, where the system keeps it.
        let stat = self.stat("schedstat")?;
        stat.split_whitespace()
            .next()?
            .parse::<u64>()
            .ok()
            .map(|ns| ns / 1_000)
    }

    /// Counts its descriptors whose numbers are at least `first`, where the system reports them. A
    /// limit on descriptors is one on their numbers, and does not close those that were inherited
    /// beyond it.
    #[must_use]
    pub fn descriptors_numbered_from(&self, first: usize) -> Option<usize> {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).ok()?;
        let numbers = entries
            .filter_map(Result::ok)
            .filter_map(|entry| entry.file_name().to_str()?.parse::<usize>().ok());
        Some(numbers.filter(|number| *number >= first).count())
    }

    /// Descriptors that it holds, where the system tells.
    #[must_use]
    pub fn descriptor_count(&self) -> Option<usize> {
        Some(
            std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
                .ok()?
                .count(),
        )
    }
}
