//! Processes of the program that form a cluster, each with a folder in place of a host and with
//! [`DatagramProxies`] between them. A test starts, kills, pauses, isolates and restarts them, and
//! their steps are merged into one timeline.

use crate::datagram_proxy::DatagramProxies;
use crate::matcher::Matcher;
use cleatpulley_timeline::{Step, Timeline};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const ROUTES: &str = "upstream m { server 127.0.0.1:9; }\nserver { location / { set $matcher_class a; proxy_pass http://m; } }\n";

struct Node {
    process: Option<Matcher>,
    /// Address on which the other processes reach it.
    advertised: SocketAddr,
    /// Log lines of its earlier processes, which were killed.
    earlier_log: Vec<String>,
    folder: PathBuf,
}

/// The processes of a cluster; all are killed when this is dropped.
pub struct Cluster {
    program: PathBuf,
    /// The datagram proxies between the processes.
    pub network: DatagramProxies,
    nodes: BTreeMap<String, Node>,
    folder: PathBuf,
    /// Settings added to the `cluster` section of each process, such as `probe_ms: 100`.
    cluster_settings: String,
    steps: Vec<Step>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    /// Creates a cluster without processes.
    ///
    /// # Errors
    /// Fails when its folder can't be created.
    pub fn new(program: &Path, cluster_settings: &str, seed: u64) -> io::Result<Self> {
        static NUMBER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!(
            "cleatpulley-cluster-{}-{number}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(
            folder.join("cluster.keys"),
            format!("1 {}\n", "c1".repeat(32)),
        )?;
        Ok(Self {
            program: program.to_owned(),
            network: DatagramProxies::new(seed),
            nodes: BTreeMap::new(),
            folder,
            cluster_settings: cluster_settings.to_owned(),
            steps: Vec::new(),
        })
    }

    /// Starts this many gateways, each configured with the first three as contacts.
    ///
    /// # Errors
    /// Fails when one of them does not start.
    pub fn start_gateways(&mut self, count: usize) -> io::Result<Vec<String>> {
        let names: Vec<String> = (1..=count).map(|number| format!("g{number}")).collect();
        for name in &names {
            let (advertised, folder) = (self.network.start_proxy(name)?, self.folder.join(name));
            std::fs::create_dir_all(&folder)?;
            let node = Node {
                process: None,
                advertised,
                earlier_log: Vec::new(),
                folder,
            };
            self.nodes.insert(name.clone(), node);
        }
        for name in &names {
            self.start(name)?;
        }
        Ok(names)
    }

    /// Starts a process that does not run, on the folder of its earlier processes.
    ///
    /// # Errors
    /// Fails when it does not start; the error contains its log.
    pub fn start(&mut self, name: &str) -> io::Result<()> {
        self.add_step(name, "starts");
        let contacts: Vec<String> = self
            .nodes
            .values()
            .take(3)
            .map(|node| format!("'{}'", node.advertised))
            .collect();
        let node = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| io::Error::other(format!("no process {name}")))?;
        let operator = format!(
            "{{ gateway: {{ name: '{name}', frames: ['127.0.0.1:0'], frames_host: 'm', ajp: {{ listen: ['127.0.0.1:0'] }}, \
             routes: 'nginx.conf', classes: {{ a: {{ deadline_ms: 1000, effect: false }} }}, stop_ms: 4000 }}, \
             cluster: {{ listen: '127.0.0.1:0', advertise: '{}', contacts: [{}], zone: 'mona', host: '{name}', \
             keys: '{}', folder: '{}', {} }} }}",
            node.advertised,
            contacts.join(", "),
            self.folder.join("cluster.keys").display(),
            node.folder.display(),
            self.cluster_settings,
        );
        let mut process = Matcher::start_gateway(&self.program, ROUTES, &operator)?;
        let line = process.wait_for_log("hears on ")?;
        let address = line
            .split("hears on ")
            .nth(1)
            .and_then(|address| address.trim().parse().ok());
        self.network.set_address(
            name,
            address.ok_or_else(|| io::Error::other(format!("no address in {line:?}")))?,
        );
        node.process = Some(process);
        Ok(())
    }

    fn process(&mut self, name: &str) -> io::Result<&mut Matcher> {
        let node = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| io::Error::other(format!("no process {name}")))?;
        node.process
            .as_mut()
            .ok_or_else(|| io::Error::other(format!("{name} does not run")))
    }

    /// Adds a step of the test itself to the timeline.
    pub fn add_step(&mut self, node: &str, step_name: &str) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_micros() as u64);
        self.steps.push(Step::new(now, node, step_name));
    }

    /// Kills a process.
    ///
    /// # Errors
    /// Fails when the process does not run.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        self.add_step(name, "dies");
        self.process(name)?.kill();
        let node = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| io::Error::other(format!("no process {name}")))?;
        if let Some(process) = node.process.take() {
            node.earlier_log.extend(process.log());
        }
        Ok(())
    }

    /// Pauses a process with SIGSTOP.
    ///
    /// # Errors
    /// Fails when the process does not run.
    pub fn pause(&mut self, name: &str) -> io::Result<()> {
        self.add_step(name, "stands still");
        self.process(name)?.pause()
    }

    /// Resumes a paused process.
    ///
    /// # Errors
    /// Fails when the process does not run.
    pub fn resume(&mut self, name: &str) -> io::Result<()> {
        self.add_step(name, "goes on");
        self.process(name)?.resume()
    }

    /// Sends a process SIGTERM.
    ///
    /// # Errors
    /// Fails when the process does not run.
    pub fn terminate(&mut self, name: &str) -> io::Result<()> {
        self.add_step(name, "is told to leave");
        self.process(name)?.terminate();
        Ok(())
    }

    /// Returns how often a step occurs in the log of a process, including its earlier processes.
    #[must_use]
    pub fn count_steps(&self, name: &str, step_name: &str) -> usize {
        let steps = self.steps_of(name);
        steps.iter().filter(|step| step.action == step_name).count()
    }

    /// Waits until the log of each of these processes has the step this many times.
    ///
    /// # Errors
    /// Fails after the timeout; the error contains the timeline.
    pub fn wait_for(
        &self,
        names: &[&str],
        step_name: &str,
        times: usize,
        timeout: Duration,
    ) -> io::Result<()> {
        let started = std::time::Instant::now();
        while !names
            .iter()
            .all(|name| self.count_steps(name, step_name) >= times)
        {
            if started.elapsed() > timeout {
                return Err(io::Error::other(format!(
                    "not all processes have the step {step_name:?} {times} times:\n{}",
                    self.timeline().draw()
                )));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    fn steps_of(&self, name: &str) -> Vec<Step> {
        let Some(node) = self.nodes.get(name) else {
            return Vec::new();
        };
        let log = node.process.as_ref().map(Matcher::log).unwrap_or_default();
        let lines = node.earlier_log.iter().chain(&log);
        lines
            .filter_map(|line| Step::parse(line).ok().flatten())
            .collect()
    }

    /// Returns the timeline of all steps.
    #[must_use]
    pub fn timeline(&self) -> Timeline {
        let mut steps = self.steps.clone();
        self.nodes
            .keys()
            .for_each(|name| steps.extend(self.steps_of(name)));
        Timeline::from_steps(steps)
    }
}
