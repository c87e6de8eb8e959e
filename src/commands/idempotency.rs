//! `cleatpulley idempotency`: inspects the stored results of keyed requests, and moves them from one
//! store to another.

use clap::{Args, Subcommand};
use cleatpulley_idempotency::fence::KeyRange;
use cleatpulley_idempotency::hex::from_hex;
use cleatpulley_idempotency::journal::{self, Journal};
use cleatpulley_idempotency::record::{KeyOutcome, KeyRecord, ScopedKey};
use cleatpulley_idempotency::transfer;
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Error, Options, Store};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Exit status if nothing is stored for a key.
const EXIT_KEY_NOT_FOUND: u8 = 3;

/// Subcommands of `cleatpulley idempotency`.
#[derive(Subcommand)]
pub enum Idempotency {
    /// Print the record of one key, as JSON; exits with 3 if there is none. May run while a matcher uses the store
    Get {
        /// The folder of the store
        dir: PathBuf,
        /// The class, by its position in the settings
        #[arg(long)]
        class: u16,
        /// The caller that the key belongs to; 0 if keys are shared by all callers
        #[arg(long, default_value_t = 0)]
        owner: u64,
        /// The key, as callers send it
        key: String,
    },
    /// Print all records, oldest first, as JSON lines. May run while a matcher uses the store
    List {
        /// The folder of the store
        dir: PathBuf,
        #[command(flatten)]
        range: RangeArgs,
        /// Only keys whose request may have run and has no result
        #[arg(long)]
        unknown: bool,
    },
    /// Print statistics and fences. May run while a matcher uses the store
    Stat {
        /// The folder of the store
        dir: PathBuf,
    },
    /// Hand over a range of keys: write its records to a file, and accept no new key of the range from then on. No
    /// matcher may use the store meanwhile
    Export {
        /// The folder of the store
        dir: PathBuf,
        #[command(flatten)]
        range: RangeArgs,
        /// The epoch of the move, above those of all earlier moves of these keys
        #[arg(long)]
        epoch: u64,
        /// The file to write; it must not exist
        #[arg(long)]
        out: PathBuf,
    },
    /// Take over keys that another store has handed over. No matcher may use this store meanwhile
    Import {
        /// The folder of the store; it is created if it does not exist
        dir: PathBuf,
        /// The file that the export has written
        file: PathBuf,
    },
}

/// Arguments that select a range of keys; all keys by default.
#[derive(Args)]
pub struct RangeArgs {
    /// All keys of this caller
    #[arg(long, conflicts_with_all = ["from", "to"])]
    owner: Option<u64>,
    /// First scoped key of the range, in hex digits: owner (8 bytes), class (2), key
    #[arg(long)]
    from: Option<String>,
    /// End of the range: the first scoped key after it
    #[arg(long)]
    to: Option<String>,
}

impl RangeArgs {
    fn to_key_range(&self) -> Result<KeyRange, String> {
        if let Some(owner) = self.owner {
            return Ok(KeyRange::of_owner(owner));
        }
        let parse_bound = |name: &str, text: &Option<String>| match text {
            None => Ok(Vec::new()),
            Some(text) => from_hex(text)
                .ok_or_else(|| format!("--{name}: {text:?} is not an even number of hex digits")),
        };
        let range = KeyRange {
            start: parse_bound("from", &self.from)?,
            end: parse_bound("to", &self.to)?,
        };
        if !range.end.is_empty() && range.end <= range.start {
            return Err("--to: it is not after --from".to_owned());
        }
        Ok(range)
    }
}

/// Runs a subcommand.
///
/// # Errors
/// The arguments are invalid, or the store or a file can't be read or written; the error is one line.
pub fn run(command: &Idempotency) -> Result<ExitCode, String> {
    match command {
        Idempotency::Get {
            dir,
            class,
            owner,
            key,
        } => get(dir, &ScopedKey::new(*owner, *class, key.as_bytes())),
        Idempotency::List {
            dir,
            range,
            unknown,
        } => list(dir, &range.to_key_range()?, *unknown),
        Idempotency::Stat { dir } => stat(dir),
        Idempotency::Export {
            dir,
            range,
            epoch,
            out,
        } => export(dir, &range.to_key_range()?, *epoch, out),
        Idempotency::Import { dir, file } => import(dir, file),
    }
}

fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

fn open_read_only(dir: &Path) -> Result<Store<OsFolder>, String> {
    let folder = OsFolder::new(dir, false)
        .map_err(Error::folder)
        .map_err(|e| e.to_string())?;
    Store::open_read_only(folder)
        .map(|(store, _)| store)
        .map_err(|e| e.to_string())
}

fn open_journal(dir: &Path, create: bool) -> Result<Journal<OsFolder>, String> {
    let folder = OsFolder::new(dir, create)
        .map_err(Error::folder)
        .map_err(|e| e.to_string())?;
    let options = Options {
        seed: now_us(),
        ..Options::default()
    };
    Journal::open(folder, options, now_us())
        .map(|opened| opened.journal)
        .map_err(|e| e.to_string())
}

/// Converts a record to JSON; `expiry` is in Unix microseconds.
fn to_json(key: &ScopedKey, record: &KeyRecord, expiry: u64) -> Value {
    let client_key = String::from_utf8_lossy(key.client_key());
    let remaining_ms = expiry.saturating_sub(now_us()) / 1_000;
    let (state, result) = match record {
        KeyRecord::Intent { .. } => ("may have run", None),
        KeyRecord::Completed {
            outcome: KeyOutcome::Failed,
            ..
        } => ("failed", None),
        KeyRecord::Completed {
            outcome: KeyOutcome::Served(result),
            ..
        } => ("served", Some(String::from_utf8_lossy(result).into_owned())),
    };
    let digest = format!("{:032x}", record.digest());
    let (owner, class) = (key.owner(), key.class());
    json!({"owner": owner, "class": class, "key": client_key, "state": state, "result": result, "digest": digest,
           "expires_in_ms": remaining_ms})
}

fn get(dir: &Path, key: &ScopedKey) -> Result<ExitCode, String> {
    let value = open_read_only(dir)?
        .get(now_us(), key.as_bytes())
        .map_err(|e| e.to_string())?;
    let Some(value) = value else {
        eprintln!("no record of {key:?}");
        return Ok(ExitCode::from(EXIT_KEY_NOT_FOUND));
    };
    let expiry = value
        .first_chunk()
        .map_or(0, |bytes| u64::from_be_bytes(*bytes));
    let record = value.get(8..).and_then(KeyRecord::decode);
    let record = record.ok_or_else(|| format!("the record of {key:?} can't be decoded"))?;
    print_line!("{}", to_json(key, &record, expiry));
    Ok(ExitCode::SUCCESS)
}

fn list(dir: &Path, range: &KeyRange, unknown: bool) -> Result<ExitCode, String> {
    let store = open_read_only(dir)?;
    let mut out = std::io::stdout().lock();
    let mut is_output_open = true;
    journal::for_each_record(&store, now_us(), |key, record, expiry| {
        let is_selected = !unknown || matches!(record, KeyRecord::Intent { .. });
        if is_output_open && is_selected && range.contains(&key) {
            // A write fails if the reader has closed the pipe.
            is_output_open = writeln!(out, "{}", to_json(&key, &record, expiry)).is_ok();
        }
    })
    .map_err(|e| e.to_string())?;
    Ok(ExitCode::SUCCESS)
}

fn stat(dir: &Path) -> Result<ExitCode, String> {
    let store = open_read_only(dir)?;
    let recovered = journal::recover(&store, now_us(), 0).map_err(|e| e.to_string())?;
    let stats = store.stats();
    print_line!(
        "{} keys: {} with a result, {} that may have run; {} bytes on disk, {:.0} bytes of memory a key",
        recovered.len(),
        recovered.completed,
        recovered.unknown,
        stats.bytes,
        (recovered.memory_bytes() as f64 + stats.index_bytes as f64) / recovered.len().max(1) as f64
    );
    for fence in recovered.fences.as_slice() {
        let state = if fence.is_owned {
            "taken over"
        } else {
            "given away"
        };
        print_line!(
            "{}",
            json!({"range": fence.range, "epoch": fence.epoch, "keys": state})
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn export(dir: &Path, range: &KeyRange, epoch: u64, target: &Path) -> Result<ExitCode, String> {
    let mut journal = open_journal(dir, false)?;
    let file = File::create_new(target).map_err(|e| format!("{}: {e}", target.display()))?;
    let mut out = BufWriter::new(file);
    let exported = transfer::export(&mut journal, now_us(), range, epoch, &mut out)
        .map_err(|e| e.to_string())?;
    let file = out.into_inner().map_err(|e| e.to_string())?;
    file.sync_all()
        .map_err(|e| format!("{}: {e}", target.display()))?;
    journal.close().map_err(|e| e.to_string())?;
    print_line!("{exported} keys given away in {}", target.display());
    Ok(ExitCode::SUCCESS)
}

fn import(dir: &Path, source: &Path) -> Result<ExitCode, String> {
    let file = File::open(source).map_err(|e| format!("{}: {e}", source.display()))?;
    let mut journal = open_journal(dir, true)?;
    let imported = transfer::import(&mut journal, now_us(), &mut BufReader::new(file))
        .map_err(|e| format!("{}: {e}", source.display()))?;
    journal.close().map_err(|e| e.to_string())?;
    print_line!("{imported} keys taken over from {}", source.display());
    Ok(ExitCode::SUCCESS)
}
