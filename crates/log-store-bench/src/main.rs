//! Measures the embedded store beside the plainest thing that could do: an append-only file with one sync a group, and a map
//! from keys to places. The same keys and values, the same durability, the same disk, in one run. Ends with 1 where it falls
//! short of its goals, and says by how much. The plain one has no checksums, no expiry and no compaction: its figures are
//! what the disk and the system give, and the share of them that the store keeps is held against the one recorded when it
//! was last changed.

#![forbid(unsafe_code)]

use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, MaintenanceStatus, Options, Store};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::error::Error;
use std::fs::File;
use std::io::{Read, Write};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

type Done<T> = Result<T, Box<dyn Error>>;

const KEYS: u64 = 1_000_000;
const VALUE: usize = 256;
/// Each part of the synced writes is measured for so long.
const SPAN: Duration = Duration::from_millis(250);
/// Parts, the two engines in turn: the best of each counts, as what disturbs the disk only ever slows.
const ROUNDS: usize = 4;
/// Shares of the plain one's figures when the store was last changed: writes by the size of their groups, reads, and the time
/// to open. Machines and disks differ: so much of them is to be kept.
const RECORDED_WRITES: [(u64, f64); 3] = [(1, 1.47), (16, 1.26), (256, 0.96)];
const RECORDED_READS: f64 = 1.07;
const RECORDED_OPENING: f64 = 1.59;
const KEPT: f64 = 0.6;

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

/// One of the two.
trait Engine {
    fn write(&mut self, numbers: std::ops::Range<u64>, sync: bool) -> Done<()>;
    fn read(&self, n: u64) -> Done<Option<usize>>;
}

struct Keep(Store<OsFolder>);

impl Keep {
    fn open(path: &Path) -> Done<Self> {
        Ok(Self(
            Store::open(OsFolder::new(path, true)?, Options::default())?.0,
        ))
    }
}

impl Engine for Keep {
    fn write(&mut self, numbers: std::ops::Range<u64>, sync: bool) -> Done<()> {
        let mut batch = Batch::default();
        numbers.for_each(|n| batch.add_put(&key(n), &value(n), None));
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

/// An append-only file of keys and values, and where each value stands in it.
struct Plain {
    file: File,
    end: u64,
    places: HashMap<[u8; 16], u64>,
}

impl Plain {
    fn open(path: &Path) -> Done<Self> {
        let mut file = File::options()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let mut places = HashMap::new();
        for (number, record) in bytes.chunks_exact(16 + VALUE).enumerate() {
            if let Some(key) = record.first_chunk::<16>() {
                places.insert(*key, (number * (16 + VALUE) + 16) as u64);
            }
        }
        Ok(Self {
            file,
            end: bytes.len() as u64,
            places,
        })
    }
}

impl Engine for Plain {
    fn write(&mut self, numbers: std::ops::Range<u64>, sync: bool) -> Done<()> {
        let mut bytes = Vec::new();
        for n in numbers {
            bytes.extend_from_slice(&key(n));
            self.places.insert(key(n), self.end + bytes.len() as u64);
            bytes.extend_from_slice(&value(n));
        }
        self.file.write_all(&bytes)?;
        self.end += bytes.len() as u64;
        if sync {
            self.file.sync_data()?;
        }
        Ok(())
    }

    fn read(&self, n: u64) -> Done<Option<usize>> {
        let Some(place) = self.places.get(&key(n)) else {
            return Ok(None);
        };
        let mut value = vec![0; VALUE];
        self.file.read_exact_at(&mut value, *place)?;
        Ok(Some(value.len()))
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
        total += if about.is_dir() {
            size(&entry.path())?
        } else {
            about.len()
        };
    }
    Ok(total)
}

/// Prints a line, and tells where less is left of the plain one's figure than there was.
fn line(what: &str, keep: f64, plain: f64, recorded: f64, short: &mut Vec<String>) {
    let share = keep / plain;
    println!("  {what:<34} {keep:>12.0} {plain:>12.0}   {share:.2} of it, {recorded:.2} when last changed");
    if share < KEPT * recorded {
        short.push(format!(
            "{what} at {share:.2} of the plain file, {recorded:.2} when last changed"
        ));
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(short) if short.is_empty() => {
            println!("keep: ok");
            ExitCode::SUCCESS
        }
        Ok(short) => {
            short
                .iter()
                .for_each(|what| println!("falls short: {what}"));
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
    println!("  {:<34} {:>12} {:>12}", "a second", "keep", "plain file");
    for (group, recorded) in RECORDED_WRITES {
        let folder = |name: &str| at(&format!("{name}{group}"));
        let mut engines: [Box<dyn Engine>; 2] = [
            Box::new(Keep::open(&folder("keep"))?),
            Box::new(Plain::open(&folder("plain"))?),
        ];
        let mut best = [0.0_f64; 2];
        for round in 0..ROUNDS as u64 {
            for (engine, best) in engines.iter_mut().zip(&mut best) {
                *best = best.max(synced(&mut **engine, group, round << 32)?);
            }
        }
        let [keep, plain] = best;
        line(
            &format!("writes, synced in groups of {group}"),
            keep,
            plain,
            recorded,
            &mut short,
        );
    }
    let mut keep = Keep::open(&at("keep"))?;
    let filled = fill(&mut keep)?;
    let mut plain = Plain::open(&at("plain"))?;
    fill(&mut plain)?;
    let (k, p) = (reads(&keep)?, reads(&plain)?);
    line(
        "reads of a million keys, warm",
        k,
        p,
        RECORDED_READS,
        &mut short,
    );
    memory(&keep, &mut short);
    opening(keep, plain, dir.path(), &mut short)?;
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
        short.push(format!(
            "the index takes {:.2} of a HashMap, the goal is 0.5",
            index / plain
        ));
    }
}

fn opening(mut keep: Keep, plain: Plain, dir: &Path, short: &mut Vec<String>) -> Done<()> {
    while keep.0.run_maintenance_step(0, 1_048_576)? == MaintenanceStatus::MoreToDo {}
    keep.0.close()?;
    drop(plain);
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
    let plain = timed(&|| Plain::open(&dir.join("plain")).map(drop))?;
    for entry in std::fs::read_dir(&folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|kind| kind == "hint") {
            std::fs::remove_file(path)?;
        }
    }
    let bare = timed(&|| Keep::open(&folder).map(drop))?;
    println!(
        "  opening a million keys, ms: with hints {hinted:.0}, without {bare:.0}; the plain file {plain:.0}, {:.2} times as quick \
         with hints, {RECORDED_OPENING:.2} when last changed",
        plain / hinted
    );
    if plain / hinted < KEPT * RECORDED_OPENING {
        short.push(format!(
            "opening takes {hinted:.0} ms, the plain file {plain:.0} ms"
        ));
    }
    Ok(())
}

/// Ten overwrites of everything with compaction going on beside: space, the longest put, the longest step.
fn overwrites(path: &Path, short: &mut Vec<String>) -> Done<()> {
    let keys = 40_000;
    let options = Options {
        segment_bytes: 8_388_608,
        ..Options::default()
    };
    let (mut store, _) = Store::open(OsFolder::new(path, true)?, options)?;
    let (mut steps, mut longest_put) = (Vec::new(), Duration::ZERO);
    for round in 0..11 {
        for n in 0..keys {
            let value = value(n + round);
            let begun = Instant::now();
            store.write(Batch::default().put(&key(n), &value, None))?;
            longest_put = longest_put.max(begun.elapsed());
            if n % 8 == 0 {
                let begun = Instant::now();
                if store.run_maintenance_step(0, 32_768)? == MaintenanceStatus::MoreToDo {
                    steps.push(begun.elapsed());
                }
            }
            if n % 256 == 0 {
                store.sync()?;
            }
        }
    }
    let mut turns = 0;
    while store.run_maintenance_step(0, 262_144)? == MaintenanceStatus::MoreToDo && turns < 100_000
    {
        turns += 1;
    }
    steps.sort_unstable();
    let live = keys * (16 + VALUE as u64);
    let space = size(path)? as f64 / live as f64;
    let ms = |time: Option<&Duration>| time.map_or(0.0, |time| time.as_secs_f64() * 1e3);
    let (median, p99) = (
        ms(steps.get(steps.len() / 2)),
        ms(steps.get(steps.len() * 99 / 100)),
    );
    let longest = ms(steps.last());
    println!("  after ten overwrites: {space:.2} times the live bytes on disk");
    println!(
        "  {} steps of maintenance: median {median:.2} ms, p99 {p99:.2} ms, longest {longest:.2} ms; longest put beside it {:.2} ms",
        steps.len(),
        longest_put.as_secs_f64() * 1e3
    );
    if space > 1.5 {
        short.push(format!(
            "{space:.2} times the live bytes after ten overwrites, the goal is 1.5"
        ));
    }
    if longest > 2.0 {
        short.push(format!(
            "the longest step of maintenance takes {longest:.2} ms, p99 {p99:.2} ms, the goal is 2"
        ));
    }
    Ok(())
}
