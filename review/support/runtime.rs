//! A runtime as the protocol page describes it: it runs what it is told to start, makes no calls, and reports the end
//! of each run with a result that only this run made.

use super::text::{decode_base64, encode_base64, json_value};
use super::Record;
use std::collections::{BTreeSet, HashSet};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A run that the runtime has begun.
#[derive(Debug, Clone)]
pub struct Run {
    pub rid: String,
    pub class: String,
    pub body: String,
    pub result: String,
    pub began_at: Instant,
}

struct State {
    link: Option<TcpStream>,
    link_number: u64,
    /// The notices since the matcher's start; the first has the number after `base`.
    notices: Vec<String>,
    /// Number of the last notice of an earlier runtime, which this one does not have.
    base: usize,
    /// Number of the runtime's own restarts. Runs that began before the last one are lost.
    restarts: u64,
    started_at: Instant,
    running: HashSet<String>,
    stopped: BTreeSet<String>,
    runs: Vec<Run>,
}

pub struct Runtime {
    pub name: String,
    pub address: SocketAddr,
    state: Mutex<State>,
    work: Mutex<Duration>,
    is_down: AtomicBool,
    record: Arc<Record>,
}

impl Runtime {
    pub fn start(name: &str, work: Duration, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runtime = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            state: Mutex::new(State {
                link: None,
                link_number: 0,
                notices: Vec::new(),
                base: 0,
                restarts: 0,
                started_at: Instant::now(),
                running: HashSet::new(),
                stopped: BTreeSet::new(),
                runs: Vec::new(),
            }),
            work: Mutex::new(work),
            is_down: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&runtime);
        std::thread::spawn(move || accepting.accept(Some(listener)));
        Ok(runtime)
    }

    /// Accepts links while the runtime is up; the address refuses connections while it is down.
    fn accept(self: &Arc<Self>, mut listener: Option<TcpListener>) {
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    let serving = Arc::clone(self);
                    std::thread::spawn(move || serving.serve(stream));
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Ends the runtime: its runs and notices are lost, its links end, and its address refuses connections.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(20));
        let mut state = self.state.lock().unwrap();
        state.restarts += 1;
        state.running.clear();
        state.stopped.clear();
        state.notices.clear();
        state.base = 0;
        if let Some(link) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// Starts the runtime again, at the same address.
    pub fn start_again(&self) {
        self.state.lock().unwrap().started_at = Instant::now();
        self.is_down.store(false, Ordering::SeqCst);
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Sets the work of runs that begin from now on.
    pub fn set_work(&self, work: Duration) {
        *self.work.lock().unwrap() = work;
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut number = 0;
        for line in BufReader::new(reading).lines() {
            let Ok(line) = line else { return };
            if !self.handle(&line, &stream, &mut number) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Handles a command; returns false if the link has to be closed.
    fn handle(self: &Arc<Self>, line: &str, stream: &TcpStream, number: &mut u64) -> bool {
        let rid = json_value(line, "rid").unwrap_or_default().to_owned();
        match json_value(line, "t") {
            Some("sync") => {
                let last: usize = json_value(line, "no")
                    .and_then(|no| no.parse().ok())
                    .unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                // A matcher that has read no notice has just started.
                if last == 0 {
                    state.notices.clear();
                    state.base = 0;
                }
                // This runtime has started after those notices, and numbers its own from there on.
                if last > state.base + state.notices.len() {
                    state.notices.clear();
                    state.base = last;
                }
                if let Some(old) = state.link.take() {
                    let _ = old.shutdown(Shutdown::Both);
                }
                state.link_number += 1;
                *number = state.link_number;
                state.link = stream.try_clone().ok();
                let age = state.started_at.elapsed().as_millis();
                let mut text =
                    format!("{{\"t\":\"ready\",\"status\":\"running\",\"time_ms\":{age}}}\n");
                state
                    .notices
                    .iter()
                    .skip(last - state.base)
                    .for_each(|notice| text.push_str(notice));
                state.send(&text);
            }
            Some("start") => self.begin_run(rid, line),
            Some("stop") => {
                self.state.lock().unwrap().stopped.insert(rid);
            }
            Some("gauges") => {
                let mark = json_value(line, "mark").unwrap_or_default();
                let mut state = self.state.lock().unwrap();
                let count = state.running.len();
                let busy = (count as f64 / 6.0).min(1.0);
                state.send(&format!(
                    "{{\"t\":\"load\",\"mark\":\"{mark}\",\"v\":[{busy:.2},{count},0.1,10]}}\n"
                ));
            }
            Some("give" | "omit" | "cont") => {
                let command = json_value(line, "t").unwrap_or_default();
                self.state.lock().unwrap().send(&format!(
                    "{{\"t\":\"nack\",\"status\":\"{command}\",\"rid\":\"{rid}\"}}\n"
                ));
            }
            _ => return false,
        }
        true
    }

    fn begin_run(self: &Arc<Self>, rid: String, line: &str) {
        let class = json_value(line, "route").unwrap_or_default().to_owned();
        let body = json_value(line, "b64")
            .and_then(decode_base64)
            .unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        let work = *self.work.lock().unwrap();
        let (result, restarts) = {
            let mut state = self.state.lock().unwrap();
            if !state.running.insert(rid.clone()) {
                return;
            }
            let result = format!("{}: result {} of {rid}", self.name, state.runs.len() + 1);
            let run = Run {
                rid: rid.clone(),
                class: class.clone(),
                body: body.clone(),
                result: result.clone(),
                began_at: Instant::now(),
            };
            state.runs.push(run);
            (result, state.restarts)
        };
        self.record.line(&format!(
            "{} runs {rid} class {class} body {body:?}",
            self.name
        ));
        let runtime = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(work);
            let mut state = runtime.state.lock().unwrap();
            if state.restarts != restarts {
                return;
            }
            state.running.remove(&rid);
            let is_stopped = state.stopped.remove(&rid);
            let (status, text) = if is_stopped {
                ("broken_off", "")
            } else {
                ("fine", result.as_str())
            };
            let number = state.base + state.notices.len() + 1;
            let notice = format!(
                "{{\"t\":\"end\",\"no\":{number},\"rid\":\"{rid}\",\"status\":\"{status}\",\"time_ms\":{},\"b64\":\"{}\"}}\n",
                work.as_millis(),
                encode_base64(text.as_bytes())
            );
            state.notices.push(notice.clone());
            state.send(&notice);
        });
    }
}

impl State {
    fn send(&mut self, text: &str) {
        if let Some(link) = &mut self.link {
            if link.write_all(text.as_bytes()).is_err() {
                self.link = None;
            }
        }
    }
}
