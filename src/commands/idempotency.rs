//! `cleatpulley idempotency`: looks at the kept results of keyed requests, and moves them from one store to another.

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

/// Status where a key is not kept.
const NOT_KEPT: u8 = 3;

/// What is done.
#[derive(Subcommand)]
pub enum Idempotency {
    /// Print what is kept of one key, as JSON; ends with 3 where nothing is. Works beside a running matcher
    Get {
        /// The folder of the store
        dir: PathBuf,
        /// The class, by its position in the settings
        #[arg(long)]
        class: u16,
        /// The caller whose key it is; 0 where all callers share theirs
        #[arg(long, default_value_t = 0)]
        owner: u64,
        /// The key, as its callers tell it
        key: String,
    },
    /// Print all that is kept, the oldest first, as JSON lines. Works beside a running matcher
    List {
        /// The folder of the store
        dir: PathBuf,
        #[command(flatten)]
        range: RangeArgs,
        /// Only keys that may have run and have no result
        #[arg(long)]
        unknown: bool,
    },
    /// Print figures and fences. Works beside a running matcher
    Stat {
        /// The folder of the store
        dir: PathBuf,
    },
    /// Give a range of keys away: write what is kept of it to a file, and admit no new key of it any more. No matcher
    /// may use the store meanwhile
    Export {
        /// The folder of the store
        dir: PathBuf,
        #[command(flatten)]
        range: RangeArgs,
        /// Above that of all earlier moves of these keys
        #[arg(long)]
        epoch: u64,
        /// The file; it must not be there yet
        #[arg(long)]
        out: PathBuf,
    },
    /// Take over what another store has given away. No matcher may use this store meanwhile
    Import {
        /// The folder of the store; it is created where it is not there
        dir: PathBuf,
        /// The file
        file: PathBuf,
    },
}

/// A range of keys; all of them where nothing is said.
#[derive(Args)]
pub struct RangeArgs {
    /// The keys of this caller
    #[arg(long, conflicts_with_all = ["from", "to"])]
    owner: Option<u64>,
    /// From this scoped key on, in hex digits: owner (8 bytes), class (2), key
    #[arg(long)]
    from: Option<String>,
    /// Up to this one, which does not belong to the range
    #[arg(long)]
    to: Option<String>,
}

impl RangeArgs {
    fn range(&self) -> Result<KeyRange, String> {
        if let Some(owner) = self.owner {
            return Ok(KeyRange::of_owner(owner));
        }
        let bound = |name: &str, text: &Option<String>| match text {
            None => Ok(Vec::new()),
            Some(text) => from_hex(text)
                .ok_or_else(|| format!("--{name}: {text:?} is no even number of hex digits")),
        };
        let range = KeyRange {
            start: bound("from", &self.from)?,
            end: bound("to", &self.to)?,
        };
        if !range.end.is_empty() && range.end <= range.start {
            return Err("--to: it is not beyond --from".to_owned());
        }
        Ok(range)
    }
}

/// Does it.
///
/// # Errors
/// One line that says what is wrong.
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
        } => list(dir, &range.range()?, *unknown),
        Idempotency::Stat { dir } => stat(dir),
        Idempotency::Export {
            dir,
            range,
            epoch,
            out,
        } => export(dir, &range.range()?, *epoch, out),
        Idempotency::Import { dir, file } => import(dir, file),
    }
}

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

fn reader(dir: &Path) -> Result<Store<OsFolder>, String> {
    let folder = OsFolder::new(dir, false)
        .map_err(Error::folder)
        .map_err(|e| e.to_string())?;
    Store::open_read_only(folder)
        .map(|(store, _)| store)
        .map_err(|e| e.to_string())
}

fn writer(dir: &Path, create: bool) -> Result<Journal<OsFolder>, String> {
    let folder = OsFolder::new(dir, create)
        .map_err(Error::folder)
        .map_err(|e| e.to_string())?;
    let options = Options {
        seed: now(),
        ..Options::default()
    };
    Journal::open(folder, options, now())
        .map(|opened| opened.journal)
        .map_err(|e| e.to_string())
}

fn shown(key: &ScopedKey, record: &KeyRecord, expiry: u64) -> Value {
    let told = String::from_utf8_lossy(key.client_key());
    let left = expiry.saturating_sub(now()) / 1_000;
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
    json!({"owner": owner, "class": class, "key": told, "state": state, "result": result, "digest": digest,
           "expires_in_ms": left})
}

fn get(dir: &Path, key: &ScopedKey) -> Result<ExitCode, String> {
    let value = reader(dir)?
        .get(now(), key.as_bytes())
        .map_err(|e| e.to_string())?;
    let Some(value) = value else {
        eprintln!("nothing is kept of {key:?}");
        return Ok(ExitCode::from(NOT_KEPT));
    };
    let expiry = value
        .first_chunk()
        .map_or(0, |bytes| u64::from_be_bytes(*bytes));
    let record = value.get(8..).and_then(KeyRecord::decode);
    let record = record.ok_or_else(|| format!("what is kept of {key:?} can't be read"))?;
    print_line!("{}", shown(key, &record, expiry));
    Ok(ExitCode::SUCCESS)
}

fn list(dir: &Path, range: &KeyRange, unknown: bool) -> Result<ExitCode, String> {
    let store = reader(dir)?;
    let mut out = std::io::stdout().lock();
    let mut open = true;
    journal::for_each_record(&store, now(), |key, record, expiry| {
        let wanted = !unknown || matches!(record, KeyRecord::Intent { .. });
        if open && wanted && range.contains(&key) {
            // Whoever reads may stop reading.
            open = writeln!(out, "{}", shown(&key, &record, expiry)).is_ok();
        }
    })
    .map_err(|e| e.to_string())?;
    Ok(ExitCode::SUCCESS)
}

fn stat(dir: &Path) -> Result<ExitCode, String> {
    let store = reader(dir)?;
    let recovered = journal::recover(&store, now(), 0).map_err(|e| e.to_string())?;
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
        let whose = if fence.is_owned {
            "taken over"
        } else {
            "given away"
        };
        print_line!(
            "{}",
            json!({"range": fence.range, "epoch": fence.epoch, "keys": whose})
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn export(dir: &Path, range: &KeyRange, epoch: u64, to: &Path) -> Result<ExitCode, String> {
    let mut journal = writer(dir, false)?;
    let file = File::create_new(to).map_err(|e| format!("{}: {e}", to.display()))?;
    let mut out = BufWriter::new(file);
    let entries =
        transfer::export(&mut journal, now(), range, epoch, &mut out).map_err(|e| e.to_string())?;
    let file = out.into_inner().map_err(|e| e.to_string())?;
    file.sync_all()
        .map_err(|e| format!("{}: {e}", to.display()))?;
    journal.close().map_err(|e| e.to_string())?;
    print_line!("{entries} keys given away in {}", to.display());
    Ok(ExitCode::SUCCESS)
}

fn import(dir: &Path, from: &Path) -> Result<ExitCode, String> {
    let file = File::open(from).map_err(|e| format!("{}: {e}", from.display()))?;
    let mut journal = writer(dir, true)?;
    let taken = transfer::import(&mut journal, now(), &mut BufReader::new(file))
        .map_err(|e| format!("{}: {e}", from.display()))?;
    journal.close().map_err(|e| e.to_string())?;
    print_line!("{taken} keys taken over from {}", from.display());
    Ok(ExitCode::SUCCESS)
}
