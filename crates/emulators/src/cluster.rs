//! Several processes of the program that hear of each other, with folders as hosts and [`Wires`] between them: started,
//! killed, stopped for a while, cut off and restarted by a test, and told as one timeline.

use crate::matcher::Matcher;
use crate::wires::Wires;
use cleatpulley_timeline::{Step, Timeline};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const ROUTES: &str = "upstream m { server 127.0.0.1:9; }\nserver { location / { set $matcher_class a; proxy_pass http://m; } }\n";

struct Node {
    process: Option<Matcher>,
    /// Where others reach it.
    reached: SocketAddr,
    /// The logs of its former lives.
    before: Vec<String>,
    folder: PathBuf,
}

/// The processes; all are ended when this is dropped.
pub struct Cluster {
    program: PathBuf,
    /// What lies between them.
    pub wires: Wires,
    nodes: BTreeMap<String, Node>,
    folder: PathBuf,
    /// Added to the section of each, such as `probe_ms: 100`.
    section: String,
    steps: Vec<Step>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    /// None yet.
    ///
    /// # Errors
    /// Where no folder can be had.
    pub fn new(program: &Path, section: &str, seed: u64) -> io::Result<Self> {
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
            wires: Wires::new(seed),
            nodes: BTreeMap::new(),
            folder,
            section: section.to_owned(),
            steps: Vec::new(),
        })
    }

    /// Starts so many gateways, each of which is told of the first three.
    ///
    /// # Errors
    /// Where one does not start.
    pub fn start_gateways(&mut self, count: usize) -> io::Result<Vec<String>> {
        let names: Vec<String> = (1..=count).map(|number| format!("g{number}")).collect();
        for name in &names {
            let (reached, folder) = (self.wires.lead_to(name)?, self.folder.join(name));
            std::fs::create_dir_all(&folder)?;
            let node = Node {
                process: None,
                reached,
                before: Vec::new(),
                folder,
            };
            self.nodes.insert(name.clone(), node);
        }
        for name in &names {
            self.start(name)?;
        }
        Ok(names)
    }

    /// Starts a process that is not there, on the folder that its former lives had.
    ///
    /// # Errors
    /// Where it does not start; its log is part of what is told.
    pub fn start(&mut self, name: &str) -> io::Result<()> {
        self.note(name, "starts");
        let contacts: Vec<String> = self
            .nodes
            .values()
            .take(3)
            .map(|node| format!("'{}'", node.reached))
            .collect();
        let node = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| io::Error::other(format!("no {name}")))?;
        let operator = format!(
            "{{ gateway: {{ name: '{name}', frames: ['127.0.0.1:0'], frames_host: 'm', ajp: {{ listen: ['127.0.0.1:0'] }}, \
             routes: 'nginx.conf', classes: {{ a: {{ deadline_ms: 1000, effect: false }} }}, stop_ms: 4000 }}, \
             cluster: {{ listen: '127.0.0.1:0', advertise: '{}', contacts: [{}], zone: 'mona', host: '{name}', \
             keys: '{}', folder: '{}', {} }} }}",
            node.reached,
            contacts.join(", "),
            self.folder.join("cluster.keys").display(),
            node.folder.display(),
            self.section,
        );
        let mut process = Matcher::gateway(&self.program, ROUTES, &operator)?;
        let line = process.wait_for("hears on ")?;
        let at = line
            .split("hears on ")
            .nth(1)
            .and_then(|at| at.trim().parse().ok());
        self.wires.is_at(
            name,
            at.ok_or_else(|| io::Error::other(format!("no address in {line:?}")))?,
        );
        node.process = Some(process);
        Ok(())
    }

    fn process(&mut self, name: &str) -> io::Result<&mut Matcher> {
        let node = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| io::Error::other(format!("no {name}")))?;
        node.process
            .as_mut()
            .ok_or_else(|| io::Error::other(format!("{name} does not run")))
    }

    /// Writes a step of the test's own.
    pub fn note(&mut self, node: &str, what: &str) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_micros() as u64);
        self.steps.push(Step::new(now, node, what));
    }

    /// Kills it.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        self.note(name, "dies");
        self.process(name)?.kill();
        let node = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| io::Error::other(format!("no {name}")))?;
        if let Some(process) = node.process.take() {
            node.before.extend(process.log());
        }
        Ok(())
    }

    /// Lets it stand still.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn pause(&mut self, name: &str) -> io::Result<()> {
        self.note(name, "stands still");
        self.process(name)?.pause()
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn resume(&mut self, name: &str) -> io::Result<()> {
        self.note(name, "goes on");
        self.process(name)?.resume()
    }

    /// The notice to leave.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn terminate(&mut self, name: &str) -> io::Result<()> {
        self.note(name, "is told to leave");
        self.process(name)?.terminate();
        Ok(())
    }

    /// How often a step stands in the log of a process, in all its lives.
    #[must_use]
    pub fn count(&self, name: &str, what: &str) -> usize {
        let steps = self.steps_of(name);
        steps.iter().filter(|step| step.action == what).count()
    }

    /// Waits until each of these has done that so many times.
    ///
    /// # Errors
    /// Where one does not, with all that was done.
    pub fn wait_for(
        &self,
        names: &[&str],
        what: &str,
        times: usize,
        patience: Duration,
    ) -> io::Result<()> {
        let since = std::time::Instant::now();
        while !names.iter().all(|name| self.count(name, what) >= times) {
            if since.elapsed() > patience {
                return Err(io::Error::other(format!(
                    "not all did {what:?} {times} times:\n{}",
                    self.timeline().render()
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
        let lines = node.before.iter().chain(&log);
        lines
            .filter_map(|line| Step::parse(line).ok().flatten())
            .collect()
    }

    /// All that was done.
    #[must_use]
    pub fn timeline(&self) -> Timeline {
        let mut steps = self.steps.clone();
        self.nodes
            .keys()
            .for_each(|name| steps.extend(self.steps_of(name)));
        Timeline::new(steps)
    }
}
