//! Runs a matcher or a gateway as a child process, with a configuration and an operator file, and
//! reads its log.

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Timeout for log lines and management requests; a process that takes longer counts as failed.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(10);

/// The child process; it is killed when this is dropped.
pub struct Matcher {
    child: Child,
    folder: PathBuf,
    /// Temporary folder that it shares with its successor.
    shared: Arc<TemporaryFolder>,
    operator: Option<String>,
    log: Arc<Mutex<Vec<String>>>,
    /// Address on which it listens for frames.
    pub frames: SocketAddr,
    /// Address on which it listens for AJP, if it does.
    pub ajp: Option<SocketAddr>,
    /// Management address, if it has one.
    pub mgmt: Option<SocketAddr>,
}

/// A temporary folder that is deleted when its last owner is dropped.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
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

    /// Starts `program serve` and waits until it listens and is connected to the runtime.
    ///
    /// # Errors
    /// Fails when it does not start; the error contains its log.
    pub fn start(program: &Path, config: &Value, operator: Option<&str>) -> io::Result<Self> {
        let shared = Arc::new(TemporaryFolder(Self::folder()?));
        let mut matcher = Self::spawn_server(program, config, operator, shared)?;
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

    /// Starts a successor of this process, with the given configuration and the same listen
    /// addresses, without waiting for it.
    ///
    /// # Errors
    /// Fails when the system rejects the operation.
    pub fn start_successor(&self, program: &Path, config: &Value) -> io::Result<Self> {
        let mut config = config.clone();
        config["listen"] = self.frames.to_string().into();
        let any_port = "listen: ['127.0.0.1:0']";
        let operator = self.operator.as_deref().map(|text| match self.ajp {
            Some(address) => text.replace(any_port, &format!("listen: ['{address}']")),
            None => text.to_owned(),
        });
        let mut matcher = Self::spawn_server(
            program,
            &config,
            operator.as_deref(),
            Arc::clone(&self.shared),
        )?;
        (matcher.frames, matcher.ajp) = (self.frames, self.ajp);
        Ok(matcher)
    }

    /// Waits until the process reports that it is ready; returns the time spent waiting.
    ///
    /// # Errors
    /// Fails when it does not do so within the timeout.
    pub fn wait_ready(&mut self, timeout: Duration) -> io::Result<Duration> {
        let started = Instant::now();
        if self.mgmt.is_none() {
            self.mgmt = Some(self.wait_for_address("management endpoint serves on ")?);
        }
        while !matches!(self.get("/_ready"), Ok((200, _))) {
            if started.elapsed() > timeout || !self.is_alive() {
                std::thread::sleep(Duration::from_millis(50));
                return Err(io::Error::other(format!(
                    "the process is not ready:\n{}",
                    self.log().join("\n")
                )));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(started.elapsed())
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the temporary folder that it shares with its successors.
    #[must_use]
    pub fn shared_folder(&self) -> &Path {
        &self.shared.0
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn spawn_server(
        program: &Path,
        config: &Value,
        operator: Option<&str>,
        shared: Arc<TemporaryFolder>,
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

    /// Starts `program route` with an nginx configuration beside its operator file, and waits until
    /// it listens for frames and AJP.
    ///
    /// # Errors
    /// Fails when it does not start; the error contains its log.
    pub fn start_gateway(program: &Path, routes: &str, operator: &str) -> io::Result<Self> {
        let folder = Self::folder()?;
        std::fs::write(folder.join("nginx.conf"), routes)?;
        let file = folder.join("operator.jsonnet");
        std::fs::write(&file, operator)?;
        let mut command = Command::new(program);
        command.arg("route").arg("--operator").arg(&file);
        let shared = Arc::new(TemporaryFolder(Self::folder()?));
        let mut gateway = Self::spawn(command, folder, shared)?;
        gateway.frames = gateway.wait_for_address("listens on ")?;
        gateway.ajp = Some(gateway.wait_for_address("speaks AJP on ")?);
        Ok(gateway)
    }

    /// Replaces the routes of a gateway and sends it SIGHUP.
    ///
    /// # Errors
    /// Fails when the routes can't be written.
    pub fn reload_routes(&self, routes: &str) -> io::Result<()> {
        std::fs::write(self.folder.join("nginx.conf"), routes)?;
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            kill_process(pid, Signal::HUP)?;
        }
        Ok(())
    }

    fn spawn(
        mut command: Command,
        folder: PathBuf,
        shared: Arc<TemporaryFolder>,
    ) -> io::Result<Self> {
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

    /// Lowers the descriptor limit of the running process, whatever its configuration says.
    ///
    /// # Errors
    /// Fails when the system rejects the operation.
    pub fn limit_descriptors(&self, max_descriptors: usize) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let limit = Rlimit {
            current: Some(max_descriptors as u64),
            maximum: Some(max_descriptors as u64),
        };
        prlimit(pid, Resource::Nofile, limit)?;
        Ok(())
    }

    /// Returns the lines of its log so far.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits for a log line that contains this text, and returns it.
    ///
    /// # Errors
    /// Fails when no such line appears in time; the error contains the log.
    pub fn wait_for_log(&mut self, text: &str) -> io::Result<String> {
        let started = Instant::now();
        loop {
            // The thread that reads the log drops its handle after the last line of a process that ended.
            let complete = self.child.try_wait()?.is_some() && Arc::strong_count(&self.log) == 1;
            if let Some(line) = self.log().into_iter().find(|line| line.contains(text)) {
                return Ok(line);
            }
            if complete || started.elapsed() > PROCESS_TIMEOUT {
                return Err(io::Error::other(format!(
                    "no line with {text:?} in the log of the process:\n{}",
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

    /// Sends the process SIGTERM.
    pub fn terminate(&self) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // A process that has already ended is not an error here; its exit status is reported by
            // waiting for it.
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("the process has no valid id"))?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Pauses the process with SIGSTOP until [`resume`](Self::resume).
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the process with SIGCONT.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    /// Fails when it does not exit within the timeout.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> io::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() > timeout {
                return Err(io::Error::other("the process does not exit in time"));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Sends a GET request to the management address; returns the status and the body.
    ///
    /// # Errors
    /// Fails without a management address or a complete response.
    pub fn get(&self, path: &str) -> io::Result<(u16, Vec<u8>)> {
        let address = self
            .mgmt
            .ok_or_else(|| io::Error::other("the process has no management address"))?;
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(PROCESS_TIMEOUT))?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes)?;
        let reply =
            cleatpulley_protocol::http::parse_response(&bytes, true).map_err(io::Error::other)?;
        reply
            .map(|reply| (reply.status, reply.body))
            .ok_or_else(|| io::Error::other("incomplete management response"))
    }

    /// Returns whether the process still runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn read_proc_file(&self, name: &str) -> Option<String> {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).ok()
    }

    /// Returns its current and peak resident memory in KB, if the system reports them.
    #[must_use]
    pub fn memory_kb(&self) -> Option<(u64, u64)> {
        let status = self.read_proc_file("status")?;
        let find = |key: &str| {
            let line = status.lines().find(|line| line.starts_with(key))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        Some((find("VmRSS:")?, find("VmHWM:")?))
    }

    /// Returns the CPU time that it used in microseconds, if the system reports it.
    #[must_use]
    pub fn cpu_micros(&self) -> Option<u64> {
        // `schedstat` has the exact CPU time in nanoseconds.
        let stat = self.read_proc_file("schedstat")?;
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

    /// Returns the number of its open descriptors, if the system reports it.
    #[must_use]
    pub fn descriptor_count(&self) -> Option<usize> {
        Some(
            std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
                .ok()?
                .count(),
        )
    }
}
