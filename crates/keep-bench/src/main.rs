//! Measures the embedded store beside redb and fjall: the same keys and values, the same durability, the same disk, in
//! one run. Ends with 1 where it falls short of its goals, and says by how much.

#![forbid(unsafe_code)]

use cleatpulley_keep::files::Folder;
use cleatpulley_keep::{Batch, Options, Store, Work};
use fjall::{Config, PartitionCreateOptions, PersistMode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use redb::{Database, Durability, TableDefinition};
use std::collections::HashMap;
use std::error::Error;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

type Done<T> = Result<T, Box<dyn Error>>;

const KEYS: u64 = 1_000_000;
const VALUE: usize = 256;
const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("kept");
/// Each part of the synced writes is measured for so long.
const SPAN: Duration = Duration::from_millis(250);
/// Parts, the three engines in turn: the best of each counts, as what disturbs the disk only ever slows.
const ROUNDS: usize = 4;

fn key(n: u64) -> [u8; 16] {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&n.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_be_bytes());
    key[8..].copy_from_slice(&n.to_be_bytes());
    key
}

fn value(n: u64) -> Vec<u8> {
    let mut random = SmallRng::seed_from_u64(n);
    let mut value = vec![0; VALUE];
    random.fill(&mut value[..]);
    value
}

/// One of the three.
trait Engine {
    fn write(&mut self, numbers: std::ops::Range<u64>, sync: bool) -> Done<()>;
    fn read(&self, n: u64) -> Done<Option<usize>>;
}

struct Keep(Store<Folder>);

impl Keep {
    fn open(path: &Path) -> Done<Self> {
        Ok(Self(Store::open(Folder::new(path, true)?, Options::default())?.0))
    }
}

impl Engine for Keep {
    fn write(&mut self, numbers: std::ops::Range<u64>, sync: bool) -> Done<()> {
        let mut batch = Batch::default();
        numbers.for_each(|n| batch.push_put(&key(n), &value(n), None));
        self.0.write(batch)?;
        if sync {
            self.0.sync()?;
        }
        Ok(())
    }

    fn read(&self, n: u64) -> Done<Option<usize>> {
        Ok(self.0.get(0, &key(n))?.map(|value| value.len()))
    }
}

struct Redb(Database);

impl Engine for Redb {
    fn write(&mut self, numbers: std::ops::Range<u64>, sync: bool) -> Done<()> {
        let mut transaction = self.0.begin_write()?;
        transaction.set_durability(if sync { Durability::Immediate } else { Durability::Eventual });
        {
            let mut table = transaction.open_table(TABLE)?;
            for n in numbers {
                table.insert(&key(n)[..], &value(n)[..])?;
            }
        }
        Ok(transaction.commit()?)
    }

    fn read(&self, n: u64) -> Done<Option<usize>> {
        let table = self.0.begin_read()?.open_table(TABLE)?;
        let found = table.get(&key(n)[..])?;
        Ok(found.map(|value| value.value().len()))
    }
}

struct Fjall(fjall::Keyspace, fjall::PartitionHandle);

impl Fjall {
    fn open(path: &Path) -> Done<Self> {
        let keyspace = Config::new(path).open()?;
        let partition = keyspace.open_partition("kept", PartitionCreateOptions::default())?;
        Ok(Self(keyspace, partition))
    }
}

impl Engine for Fjall {
    fn write(&mut self, numbers: std::ops::Range<u64>, sync: bool) -> Done<()> {
        let mut batch = self.0.batch();
        numbers.for_each(|n| batch.insert(&self.1, key(n), value(n)));
        batch.commit()?;
        if sync {
            self.0.persist(PersistMode::SyncData)?;
        }
        Ok(())
    }

    fn read(&self, n: u64) -> Done<Option<usize>> {
        Ok(self.1.get(key(n))?.map(|value| value.len()))
    }
}

/// Writes a second, in synced groups of this size.
fn synced(engine: &mut dyn Engine, group: u64, from: u64) -> Done<f64> {
    let begun = Instant::now();
    let mut written = 0;
    while begun.elapsed() < SPAN {
        engine.write(from + written..from + written + group, true)?;
        written += group;
    }
    Ok(written as f64 / begun.elapsed().as_secs_f64())
}

/// Reads a second, of keys in random order, all of which are there.
fn reads(engine: &dyn Engine) -> Done<f64> {
    let mut random = SmallRng::seed_from_u64(5);
    let number = 150_000;
    // Once to warm what the engine and the system keep of it.
    let mut best = 0.0_f64;
    for _ in 0..2 {
        let begun = Instant::now();
        for _ in 0..number {
            if engine.read(random.random_range(0..KEYS))? != Some(VALUE) {
                return Err("a key is missing".into());
            }
        }
        best = best.max(f64::from(number) / begun.elapsed().as_secs_f64());
    }
    Ok(best)
}

fn fill(engine: &mut dyn Engine) -> Done<f64> {
    let begun = Instant::now();
    for from in (0..KEYS).step_by(20_000) {
        engine.write(from..from + 20_000, from + 20_000 == KEYS)?;
    }
    Ok(begun.elapsed().as_secs_f64())
}

fn size(path: &Path) -> Done<u64> {
    let mut total = 0;
    for entry in std::fs::read_dir(path)? {
        let entry = entry?;
        let about = entry.metadata()?;
        total += if about.is_dir() { size(&entry.path())? } else { about.len() };
    }
    Ok(total)
}

fn line(what: &str, keep: f64, redb: f64, fjall: f64) {
    println!(
        "  {what:<34} {keep:>12.0} {redb:>12.0} {fjall:>12.0}   {:.2} of the better",
        keep / redb.max(fjall)
    );
}

fn main() -> ExitCode {
    match run() {
        Ok(short) if short.is_empty() => {
            println!("keep: ok");
            ExitCode::SUCCESS
        }
        Ok(short) => {
            short.iter().for_each(|what| println!("falls short: {what}"));
            println!("keep: {} of its goals not met", short.len());
            ExitCode::FAILURE
        }
        Err(e) => {
            println!("keep: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Done<Vec<String>> {
    let mut short = Vec::new();
    let dir = tempfile::tempdir_in("target")?;
    let at = |name: &str| dir.path().join(name);
    println!("16-byte keys, {VALUE}-byte values, the same durability, one disk:");
    println!("  {:<34} {:>12} {:>12} {:>12}", "a second", "keep", "redb", "fjall");
    for group in [1, 16, 256] {
        let folder = |name: &str| at(&format!("{name}{group}"));
        let mut engines: [Box<dyn Engine>; 3] = [
            Box::new(Keep::open(&folder("keep"))?),
            Box::new(Redb(Database::create(folder("redb"))?)),
            Box::new(Fjall::open(&folder("fjall"))?),
        ];
        let mut best = [0.0_f64; 3];
        for round in 0..ROUNDS as u64 {
            for (engine, best) in engines.iter_mut().zip(&mut best) {
                *best = best.max(synced(&mut **engine, group, round << 32)?);
            }
        }
        let [keep, redb, fjall] = best;
        line(&format!("writes, synced in groups of {group}"), keep, redb, fjall);
        if keep < redb.max(fjall) {
            short.push(format!("writes in groups of {group} at {:.2} of the better", keep / redb.max(fjall)));
        }
    }
    let mut keep = Keep::open(&at("keep"))?;
    let filled = fill(&mut keep)?;
    let mut redb = Redb(Database::create(at("redb"))?);
    fill(&mut redb)?;
    let mut fjall = Fjall::open(&at("fjall"))?;
    fill(&mut fjall)?;
    let (k, r, f) = (reads(&keep)?, reads(&redb)?, reads(&fjall)?);
    line("reads of a million keys, warm", k, r, f);
    if k < r.max(f) {
        short.push(format!("reads at {:.2} of the better", k / r.max(f)));
    }
    memory(&keep, &mut short);
    opening(keep, redb, fjall, dir.path(), &mut short)?;
    overwrites(&at("over"), &mut short)?;
    println!("  a million keys written to keep in {filled:.1} s, one sync at the end");
    Ok(short)
}

fn memory(keep: &Keep, short: &mut Vec<String>) {
    let index = keep.0.stats().index_bytes as f64 / KEYS as f64;
    // A table of the same keys to place and size: its slots at their real capacity, one control byte each, and a heap
    // block for each key, which takes 32 bytes where it holds 16.
    let mut map: HashMap<Vec<u8>, (u64, u32)> = HashMap::new();
    map.extend((0..KEYS).map(|n| (key(n).to_vec(), (n, 0))));
    let slot = std::mem::size_of::<(Vec<u8>, (u64, u32))>() + 1;
    let buckets = (map.capacity() * 8 / 7).next_power_of_two();
    let plain = (buckets * slot) as f64 / KEYS as f64 + 32.0;
    println!(
        "  bytes of memory a key: index {index:.1}, std's HashMap about {plain:.1}, ratio {:.2}",
        index / plain
    );
    if index > plain / 2.0 {
        short.push(format!("the index takes {:.2} of a HashMap, the goal is 0.5", index / plain));
    }
}

fn opening(mut keep: Keep, redb: Redb, fjall: Fjall, dir: &Path, short: &mut Vec<String>) -> Done<()> {
    while keep.0.maintain(0, 1_048_576)? == Work::More {}
    keep.0.close()?;
    drop((redb, fjall));
    let timed = |open: &dyn Fn() -> Done<()>| -> Done<f64> {
        let mut best = f64::MAX;
        for _ in 0..3 {
            let begun = Instant::now();
            open()?;
            best = best.min(begun.elapsed().as_secs_f64() * 1e3);
        }
        Ok(best)
    };
    let folder = dir.join("keep");
    let hinted = timed(&|| Keep::open(&folder).map(drop))?;
    let redb = timed(&|| Ok(Database::create(dir.join("redb")).map(drop)?))?;
    let fjall = timed(&|| Fjall::open(&dir.join("fjall")).map(drop))?;
    for entry in std::fs::read_dir(&folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|kind| kind == "hint") {
            std::fs::remove_file(path)?;
        }
    }
    let plain = timed(&|| Keep::open(&folder).map(drop))?;
    println!("  opening a million keys, ms: with hints {hinted:.0}, without {plain:.0}; redb {redb:.0}, fjall {fjall:.0}");
    if hinted > redb.min(fjall) {
        short.push(format!(
            "opening takes {hinted:.0} ms, the better of the others {:.0} ms",
            redb.min(fjall)
        ));
    }
    Ok(())
}

/// Ten overwrites of everything with compaction going on beside: space, the longest put, the longest step.
fn overwrites(path: &Path, short: &mut Vec<String>) -> Done<()> {
    let keys = 40_000;
    let options = Options { segment_bytes: 8_388_608, ..Options::default() };
    let (mut store, _) = Store::open(Folder::new(path, true)?, options)?;
    let (mut steps, mut longest_put) = (Vec::new(), Duration::ZERO);
    for round in 0..11 {
        for n in 0..keys {
            let value = value(n + round);
            let begun = Instant::now();
            store.write(Batch::default().put(&key(n), &value, None))?;
            longest_put = longest_put.max(begun.elapsed());
            if n % 8 == 0 {
                let begun = Instant::now();
                if store.maintain(0, 32_768)? == Work::More {
                    steps.push(begun.elapsed());
                }
            }
            if n % 256 == 0 {
                store.sync()?;
            }
        }
    }
    let mut turns = 0;
    while store.maintain(0, 262_144)? == Work::More && turns < 100_000 {
        turns += 1;
    }
    steps.sort_unstable();
    let live = keys * (16 + VALUE as u64);
    let space = size(path)? as f64 / live as f64;
    let ms = |time: Option<&Duration>| time.map_or(0.0, |time| time.as_secs_f64() * 1e3);
    let (median, p99) = (ms(steps.get(steps.len() / 2)), ms(steps.get(steps.len() * 99 / 100)));
    let longest = ms(steps.last());
    println!("  after ten overwrites: {space:.2} times the live bytes on disk");
    println!(
        "  {} steps of maintenance: median {median:.2} ms, p99 {p99:.2} ms, longest {longest:.2} ms; longest put beside it {:.2} ms",
        steps.len(),
        longest_put.as_secs_f64() * 1e3
    );
    if space > 1.5 {
        short.push(format!("{space:.2} times the live bytes after ten overwrites, the goal is 1.5"));
    }
    if longest > 2.0 {
        short.push(format!(
            "the longest step of maintenance takes {longest:.2} ms, p99 {p99:.2} ms, the goal is 2"
        ));
    }
    Ok(())
}
