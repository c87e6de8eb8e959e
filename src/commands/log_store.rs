//! `cleatpulley log-store`: inspects and repairs an embedded store.

use clap::{Args, Subcommand};
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, Error, MaintenanceStatus, Options, RecoveryReport, Store};
use serde_json::json;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Exit status if damage was found.
const EXIT_DAMAGED: u8 = 3;
/// Bytes of maintenance between two updates of the progress.
const MAINTENANCE_STEP_BYTES: usize = 1_048_576;

/// Subcommands of `cleatpulley log-store`.
#[derive(Subcommand)]
pub enum LogStore {
    /// Print statistics without changing anything; may run while a program uses the store
    Stat(Dir),
    /// Read everything and print damaged ranges by file and offset; exits with 3 if there are any
    Check(Dir),
    /// Print all live records, oldest first, as JSON lines: seq, key, value (text, or hex with the prefix 0x)
    Dump(Dir),
    /// Run all pending maintenance: compaction, hint files
    Compact(Dir),
    /// Truncate a torn end, set unreadable files aside, and rewrite damaged segments; keeps all intact records
    Repair(Dir),
    /// For tests: write numbered batches until killed, and print each number once it is durable
    #[command(hide = true)]
    Exercise {
        #[command(flatten)]
        dir: Dir,
        /// The first number
        #[arg(long)]
        from: u64,
    },
}

/// Argument that selects the store.
#[derive(Args)]
pub struct Dir {
    /// The store's folder
    dir: PathBuf,
}

fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

impl Dir {
    fn open_read_only(&self) -> Result<(Store<OsFolder>, RecoveryReport), Error> {
        Store::open_read_only(OsFolder::new(&self.dir, false).map_err(Error::folder)?)
    }

    fn open(&self, create: bool) -> Result<(Store<OsFolder>, RecoveryReport), Error> {
        let folder = OsFolder::new(&self.dir, create).map_err(Error::folder)?;
        Store::open(
            folder,
            Options {
                seed: now_us(),
                ..Options::default()
            },
        )
    }
}

/// Shows the progress of a task on standard error, if that is a terminal.
fn show_progress(task: &str, done: u64, total: u64) {
    if std::io::stderr().is_terminal() {
        eprint!("\r{task}: {:3}% ", done * 100 / total.max(1));
        let _ = std::io::stderr().flush();
        if done >= total {
            eprintln!();
        }
    }
}

/// Runs a subcommand.
///
/// # Errors
/// The store failed; the error is one line.
pub fn run(command: &LogStore) -> Result<ExitCode, String> {
    match command {
        LogStore::Stat(dir) => dir
            .open_read_only()
            .map(|(store, report)| stat(&store, &report)),
        LogStore::Check(dir) => check(dir),
        LogStore::Dump(dir) => dump(dir),
        LogStore::Compact(dir) => compact(dir),
        LogStore::Repair(dir) => repair(dir),
        LogStore::Exercise { dir, from } => exercise(dir, *from),
    }
    .map_err(|e| e.to_string())
}

fn stat(store: &Store<OsFolder>, report: &RecoveryReport) -> ExitCode {
    let stats = store.stats();
    print_line!("{report}");
    print_line!(
        "{} bytes in {} segments, {} of them live ({:.2} times the live); index {} bytes, {:.1} a key",
        stats.bytes,
        stats.segments,
        stats.live_bytes,
        stats.bytes as f64 / stats.live_bytes.max(1) as f64,
        stats.index_bytes,
        stats.index_bytes as f64 / stats.keys.max(1) as f64,
    );
    ExitCode::SUCCESS
}

fn check(dir: &Dir) -> Result<ExitCode, Error> {
    let (store, report) = dir.open_read_only()?;
    let checked = store.verify(|done, total| show_progress("reading", done, total))?;
    print_line!("{report}");
    print_line!(
        "{} good records in {} bytes",
        checked.records_read,
        checked.bytes
    );
    for (file, offset, bytes) in &checked.damaged_ranges {
        print_line!("damaged: {file}: {bytes} bytes at {offset}");
    }
    let is_intact = checked.damaged_ranges.is_empty()
        && report.quarantined.is_empty()
        && report.damaged_ranges.is_empty();
    Ok(if is_intact {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_DAMAGED)
    })
}

fn to_text_or_hex(bytes: &[u8]) -> String {
    match std::str::from_utf8(bytes) {
        Ok(text) if !text.starts_with("0x") => text.to_owned(),
        _ => bytes
            .iter()
            .fold("0x".to_owned(), |hex, byte| hex + &format!("{byte:02x}")),
    }
}

fn dump(dir: &Dir) -> Result<ExitCode, Error> {
    let (store, _) = dir.open_read_only()?;
    let mut out = std::io::stdout().lock();
    store.for_each_by_sequence(now_us(), |seq, key, value| {
        // A write fails if the reader has closed the pipe, which ends the iteration.
        writeln!(
            out,
            "{}",
            json!({"seq": seq, "key": to_text_or_hex(key), "value": to_text_or_hex(value)})
        )
        .is_ok()
    })?;
    Ok(ExitCode::SUCCESS)
}

fn run_maintenance(store: &mut Store<OsFolder>) -> Result<(), Error> {
    let mut done = 0;
    while store.run_maintenance_step(now_us(), MAINTENANCE_STEP_BYTES)?
        == MaintenanceStatus::MoreToDo
    {
        done += MAINTENANCE_STEP_BYTES as u64;
        let total = store.stats().bytes.max(done + 1);
        show_progress("compacting", done, total);
    }
    show_progress("compacting", 1, 1);
    Ok(())
}

fn compact(dir: &Dir) -> Result<ExitCode, Error> {
    let (mut store, report) = dir.open(false)?;
    let before = store.stats().bytes;
    run_maintenance(&mut store)?;
    let after = store.stats().bytes;
    print_line!("{report}");
    print_line!("{before} bytes before, {after} after");
    store.close()?;
    Ok(ExitCode::SUCCESS)
}

fn repair(dir: &Dir) -> Result<ExitCode, Error> {
    let (mut store, report) = dir.open(false)?;
    print_line!("{report}");
    let checked = store.verify(|done, total| show_progress("reading", done, total))?;
    let mut damaged_files: Vec<_> = checked
        .damaged_ranges
        .iter()
        .map(|(file, ..)| file.clone())
        .collect();
    damaged_files.dedup();
    let rewritten = store.rewrite_segments(now_us(), &damaged_files)?;
    run_maintenance(&mut store)?;
    match rewritten {
        0 => print_line!("no segment had to be rewritten"),
        _ => print_line!(
            "{rewritten} damaged segments were rewritten; their files are kept as *.damaged"
        ),
    }
    store.close()?;
    Ok(ExitCode::SUCCESS)
}

/// Batch `n` sets two of 64 keys to `n` and deletes a third.
fn exercise(dir: &Dir, from: u64) -> Result<ExitCode, Error> {
    let (mut store, _) = dir.open(true)?;
    let mut out = std::io::stdout().lock();
    for n in from.. {
        let key = |n: u64| (n % 64).to_be_bytes();
        let value = [&n.to_be_bytes()[..], &vec![n as u8; (n % 900) as usize]].concat();
        let batch = Batch::default()
            .put(&key(n), &value, None)
            .put(&key(n * 31), &value, None);
        store.write(batch.delete(&key(n * 17 + 5)))?;
        if n % 3 == 0 {
            store.sync()?;
            if writeln!(out, "{n}").and_then(|()| out.flush()).is_err() {
                break;
            }
        }
        store.run_maintenance_step(now_us(), 20_000)?;
    }
    store.close()?;
    Ok(ExitCode::SUCCESS)
}
