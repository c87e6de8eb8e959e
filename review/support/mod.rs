//! Stand-ins and helpers that the cases share: a runtime, a directory and a store as the protocol page describes
//! them, a front end that speaks frames, and the processes of the project. Standard library only.

#![allow(dead_code)]

pub mod front_end;
pub mod http;
pub mod process;
pub mod record;
pub mod runtime;
pub mod text;

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use record::Record;

/// Result of a case, as the exit status of its script.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Error by which a case could not run.
pub type CaseError = Box<dyn std::error::Error + Send + Sync>;

/// Everything that a case needs: its record, a temporary folder, and whether its disruption happens.
pub struct Case {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub has_trouble: bool,
    pub root: PathBuf,
}

/// Runs a case and exits with its status. A case that takes longer than `limit` could not run.
pub fn run_case(limit: Duration, case: impl FnOnce(&Case) -> Result<Verdict, CaseError>) -> ! {
    let status = match prepare(limit) {
        Ok(prepared) => {
            let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&prepared)));
            let status = match result {
                Ok(Ok(Verdict::Held)) => {
                    prepared.record.line("verdict: the rule held");
                    0
                }
                Ok(Ok(Verdict::Broken)) => {
                    prepared.record.line("verdict: the rule was broken");
                    1
                }
                Ok(Err(error)) => {
                    prepared
                        .record
                        .line(&format!("verdict: the case could not run: {error}"));
                    2
                }
                Err(_) => {
                    prepared
                        .record
                        .line("verdict: the case could not run: it panicked");
                    2
                }
            };
            process::kill_all();
            let _ = std::fs::remove_dir_all(&prepared.folder);
            status
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(status);
}

fn prepare(limit: Duration) -> Result<Case, CaseError> {
    let case_folder = std::env::var_os("CASE_FOLDER")
        .map(PathBuf::from)
        .ok_or("CASE_FOLDER is not set")?;
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&case_folder.join("record.txt"))?);
    record.line(if has_trouble {
        "with the disruption"
    } else {
        "TROUBLE=0: without the disruption"
    });
    // A hot restart uses a socket in the folder, whose path has to be short.
    let base = std::env::var_os("TMPDIR").map(PathBuf::from);
    let base = base
        .filter(|base| base.as_os_str().len() <= 30)
        .unwrap_or_else(|| PathBuf::from("/tmp"));
    let folder = base.join(format!("review-{}-{}", std::process::id(), unix_ms()));
    std::fs::create_dir_all(&folder)?;
    let root = std::env::current_dir()?;
    if !root.join("deploy/balancer.toml").exists() {
        return Err("it has to run from the root of the repository".into());
    }
    let (watched, watched_folder) = (Arc::clone(&record), folder.clone());
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        watched.line("verdict: the case could not run: it took too long");
        process::kill_all();
        let _ = std::fs::remove_dir_all(&watched_folder);
        std::process::exit(2);
    });
    Ok(Case {
        record,
        folder,
        has_trouble,
        root,
    })
}

/// Returns a loopback address whose port is free now.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Waits until `condition` holds; returns false after `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < limit {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Reads the command of this key in the deploy file.
pub fn deploy_command(root: &Path, key: &str) -> Result<String, CaseError> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let prefix = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
    let command = line.and_then(|rest| rest.split('"').next());
    Ok(command
        .ok_or("the deploy file has no such command")?
        .to_owned())
}
