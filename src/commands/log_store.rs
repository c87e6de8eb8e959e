//! `cleatpulley log-store`: looks at an embedded store, and mends one.

use clap::{Args, Subcommand};
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, Error, MaintenanceStatus, Options, RecoveryReport, Store};
use serde_json::json;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Status where damage was found.
const DAMAGED: u8 = 3;
/// Bytes of maintenance between two looks at the progress.
const PIECE: usize = 1_048_576;

/// What is done.
#[derive(Subcommand)]
pub enum LogStore {
    /// Print figures, without changing anything; works beside a running program
    Stat(Dir),
    /// Read everything and say what is damaged, by file and offset; ends with 3 where something is
    Check(Dir),
    /// Print all that lives, the oldest first, as JSON lines: seq, key, value (text, or hex behind 0x)
    Dump(Dir),
    /// Do all maintenance that is due: compaction, hints
    Compact(Dir),
    /// Cut a torn end, set what can't be read aside, and rewrite segments with damage; loses no healthy record
    Repair(Dir),
    /// Write numbered batches until it is killed, and print each number once it is durable: for tests
    #[command(hide = true)]
    Exercise {
        #[command(flatten)]
        dir: Dir,
        /// The first number
        #[arg(long)]
        from: u64,
    },
}

/// The folder.
#[derive(Args)]
pub struct Dir {
    /// The store's folder
    dir: PathBuf,
}

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

impl Dir {
    fn reader(&self) -> Result<(Store<OsFolder>, RecoveryReport), Error> {
        Store::open_read_only(OsFolder::new(&self.dir, false).map_err(Error::folder)?)
    }

    fn writer(&self, create: bool) -> Result<(Store<OsFolder>, RecoveryReport), Error> {
        let folder = OsFolder::new(&self.dir, create).map_err(Error::folder)?;
        Store::open(
            folder,
            Options {
                seed: now(),
                ..Options::default()
            },
        )
    }
}

/// Shows how far long work has come, where somebody looks.
fn progress(what: &str, done: u64, all: u64) {
    if std::io::stderr().is_terminal() {
        eprint!("\r{what}: {:3}% ", done * 100 / all.max(1));
        let _ = std::io::stderr().flush();
        if done >= all {
            eprintln!();
        }
    }
}

/// Does it.
///
/// # Errors
/// The store's, in one line.
pub fn run(command: &LogStore) -> Result<ExitCode, String> {
    match command {
        LogStore::Stat(dir) => dir.reader().map(|(store, found)| stat(&store, &found)),
        LogStore::Check(dir) => check(dir),
        LogStore::Dump(dir) => dump(dir),
        LogStore::Compact(dir) => compact(dir),
        LogStore::Repair(dir) => repair(dir),
        LogStore::Exercise { dir, from } => exercise(dir, *from),
    }
    .map_err(|e| e.to_string())
}

fn stat(store: &Store<OsFolder>, found: &RecoveryReport) -> ExitCode {
    let stats = store.stats();
    print_line!("{found}");
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
    let (store, found) = dir.reader()?;
    let checked = store.verify(|done, all| progress("reading", done, all))?;
    print_line!("{found}");
    print_line!(
        "{} good records in {} bytes",
        checked.records_read,
        checked.bytes
    );
    for (file, offset, bytes) in &checked.damaged_ranges {
        print_line!("damaged: {file}: {bytes} bytes at {offset}");
    }
    let good = checked.damaged_ranges.is_empty()
        && found.quarantined.is_empty()
        && found.damaged_ranges.is_empty();
    Ok(if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(DAMAGED)
    })
}

fn text(bytes: &[u8]) -> String {
    match std::str::from_utf8(bytes) {
        Ok(text) if !text.starts_with("0x") => text.to_owned(),
        _ => bytes
            .iter()
            .fold("0x".to_owned(), |hex, byte| hex + &format!("{byte:02x}")),
    }
}

fn dump(dir: &Dir) -> Result<ExitCode, Error> {
    let (store, _) = dir.reader()?;
    let mut out = std::io::stdout().lock();
    store.for_each_by_sequence(now(), |seq, key, value| {
        // Whoever reads may stop reading.
        writeln!(
            out,
            "{}",
            json!({"seq": seq, "key": text(key), "value": text(value)})
        )
        .is_ok()
    })?;
    Ok(ExitCode::SUCCESS)
}

fn maintain(store: &mut Store<OsFolder>) -> Result<(), Error> {
    let mut done = 0;
    while store.run_maintenance_step(now(), PIECE)? == MaintenanceStatus::MoreToDo {
        done += PIECE as u64;
        let all = store.stats().bytes.max(done + 1);
        progress("compacting", done, all);
    }
    progress("compacting", 1, 1);
    Ok(())
}

fn compact(dir: &Dir) -> Result<ExitCode, Error> {
    let (mut store, found) = dir.writer(false)?;
    let before = store.stats().bytes;
    maintain(&mut store)?;
    let after = store.stats().bytes;
    print_line!("{found}");
    print_line!("{before} bytes before, {after} after");
    store.close()?;
    Ok(ExitCode::SUCCESS)
}

fn repair(dir: &Dir) -> Result<ExitCode, Error> {
    let (mut store, found) = dir.writer(false)?;
    print_line!("{found}");
    let checked = store.verify(|done, all| progress("reading", done, all))?;
    let mut names: Vec<_> = checked
        .damaged_ranges
        .iter()
        .map(|(file, ..)| file.clone())
        .collect();
    names.dedup();
    let rewritten = store.rewrite_segments(now(), &names)?;
    maintain(&mut store)?;
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
    let (mut store, _) = dir.writer(true)?;
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
        store.run_maintenance_step(now(), 20_000)?;
    }
    store.close()?;
    Ok(ExitCode::SUCCESS)
}
