//! `cleatpulley check idempotency`: what keeping the results of keyed requests costs, and what it withstands.

use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::keyed_retries::{KillTrial, KEY_FIELD};
use cleatpulley_emulators::site::Setup;
use cleatpulley_emulators::trial::{Load, Report, Trial};
use cleatpulley_idempotency::expiring_table::ExpiringTable;
use cleatpulley_idempotency::journal::Journal;
use cleatpulley_idempotency::record::{KeyOutcome, KeyRecord, ScopedKey};
use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, Options, Store};
use std::collections::{BTreeSet, HashMap};
use std::hint::black_box;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const SECOND: u64 = 1_000_000;
/// Keys of the recovery and of the table's measurement.
const MILLION: u64 = 1_000_000;
/// Seeds of each load; those of one load run at the same time.
const SEEDS: std::ops::Range<u64> = 1..4;

/// Measures, prints, and says what falls short.
///
/// # Errors
/// Where something can't be started.
pub fn run(program: &Path) -> Result<Vec<String>, String> {
    let mut short = Vec::new();
    // Beside the programs and not in memory: what is measured is this disk.
    let home = program
        .parent()
        .unwrap_or(Path::new("."))
        .join(format!("check-idempotency-{}", std::process::id()));
    let done = measure(program, &home, &mut short);
    // Whatever is left there is of no use to anybody.
    let _ = std::fs::remove_dir_all(&home);
    done.map(|()| short)
}

fn measure(program: &Path, home: &Path, short: &mut Vec<String>) -> Result<(), String> {
    table();
    recovery(home, short).map_err(|e| format!("recovery: {e}"))?;
    kills(program, home, short).map_err(|e| format!("kills: {e}"))?;
    writes(program, home, short).map_err(|e| format!("keyed writes: {e}"))?;
    service(program, home, short).map_err(|e| format!("service: {e}"))
}

fn key(n: u64) -> ScopedKey {
    ScopedKey::new(
        n % 4,
        3,
        format!("{:016x}", n.wrapping_mul(0x9E37_79B9_7F4A_7C15)).as_bytes(),
    )
}

fn each(begun: Instant) -> f64 {
    begun.elapsed().as_nanos() as f64 / MILLION as f64
}

/// Entries by key and by age: the table, a map with an ordered set, a map with a timing wheel.
fn table() {
    print_line!("entries by key and by age, {MILLION} keys, ns a key (enter, find, age out):");
    let show = |name: &str, figures: [f64; 3], more: String| {
        print_line!(
            "  {name:<22} {:6.0} {:6.0} {:6.0}{more}",
            figures[0],
            figures[1],
            figures[2]
        );
    };
    let keys: Vec<ScopedKey> = (0..MILLION).map(key).collect();
    // Keys come in no order of their own when they are asked for again.
    let again: Vec<&ScopedKey> = (0..MILLION)
        .map(|n| &keys[(n * 7_919 % MILLION) as usize])
        .collect();
    let value = [0_u64; 4];

    let mut table = ExpiringTable::new(7);
    let begun = Instant::now();
    for (n, key) in keys.iter().enumerate() {
        let place = table.insert(key.clone(), n as u64, value);
        table.start_expiry(place);
    }
    let enter = each(begun);
    let begun = Instant::now();
    again.iter().for_each(|key| {
        black_box(table.find(key));
    });
    let find = each(begun);
    let bytes = table.memory_bytes() as f64 / MILLION as f64;
    let begun = Instant::now();
    while let Some(place) = table.pop_expired(MILLION) {
        table.remove(place);
    }
    show(
        "table",
        [enter, find, each(begun)],
        format!("   {bytes:.0} bytes a key"),
    );
    assert!(table.is_empty(), "all are over");

    let (mut map, mut order) = (HashMap::new(), BTreeSet::new());
    let begun = Instant::now();
    for (n, key) in keys.iter().enumerate() {
        map.insert(key.clone(), (n as u64, value));
        order.insert((n as u64, key.clone()));
    }
    let enter = each(begun);
    let begun = Instant::now();
    again.iter().for_each(|key| {
        black_box(map.get(*key));
    });
    let find = each(begun);
    let begun = Instant::now();
    while let Some((_, key)) = order.pop_first() {
        map.remove(&key);
    }
    show(
        "HashMap and BTreeSet",
        [enter, find, each(begun)],
        String::new(),
    );

    // A bucket for each thousand ticks; the wheel turns once in a window.
    let (mut map, mut wheel) = (HashMap::new(), vec![Vec::new(); 1_024]);
    let begun = Instant::now();
    for (n, key) in keys.iter().enumerate() {
        map.insert(key.clone(), (n as u64, value));
        wheel[n / 1_000 % 1_024].push(key.clone());
    }
    let enter = each(begun);
    let begun = Instant::now();
    again.iter().for_each(|key| {
        black_box(map.get(*key));
    });
    let find = each(begun);
    let begun = Instant::now();
    for bucket in &mut wheel {
        for key in std::mem::take(bucket) {
            // Those that stay for another turn would have to be put back.
            if map.get(&key).is_some_and(|entry| entry.0 <= MILLION) {
                map.remove(&key);
            }
        }
    }
    show(
        "HashMap and wheel",
        [enter, find, each(begun)],
        String::new(),
    );
}

fn recovery(home: &Path, short: &mut Vec<String>) -> Result<(), cleatpulley_log_store::Error> {
    let folder = home.join("million");
    let open = || OsFolder::new(&folder, true).map_err(cleatpulley_log_store::Error::folder);
    let expiry = u64::MAX / 2;
    {
        let (mut store, _) = Store::open(open()?, Options::default())?;
        for some in 0..MILLION / 1_000 {
            let mut batch = Batch::default();
            for n in some * 1_000..(some + 1) * 1_000 {
                let record = KeyRecord::Completed {
                    digest: u128::from(n),
                    outcome: KeyOutcome::Served(vec![b'.'; 25]),
                };
                let value = [&expiry.to_be_bytes()[..], &record.encode()].concat();
                batch.add_put(key(n).as_bytes(), &value, Some(expiry));
            }
            store.write(batch)?;
        }
        store.sync()?;
        store.close()?;
    }
    let begun = Instant::now();
    let opened = Journal::open(open()?, Options::default(), 1)?;
    let (journal, recovered) = (opened.journal, opened.recovered);
    let took = begun.elapsed();
    let memory =
        (recovered.memory_bytes() as u64 + journal.stats().index_bytes) as f64 / MILLION as f64;
    print_line!(
        "recovery: {} keys in {:.2} s; {memory:.0} bytes of memory a kept key, {:.0} on disk",
        recovered.len(),
        took.as_secs_f64(),
        journal.stats().bytes as f64 / MILLION as f64
    );
    if recovered.len() as u64 != MILLION {
        short.push(format!(
            "{} of {MILLION} keys were recovered",
            recovered.len()
        ));
    }
    if took > Duration::from_secs(2) {
        short.push(format!(
            "recovery of a million keys takes {:.1} s, the goal is 2",
            took.as_secs_f64()
        ));
    }
    journal.close()
}

fn kills(program: &Path, home: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    let kills = 60;
    let begun = Instant::now();
    let (seen, keys) = KillTrial { kills, seed: 5 }.run(program, &home.join("kills"))?;
    print_line!(
        "kills: {kills} in {:.1} s; {keys} keys, {} tries, {} served, {} of them with what had been told, {} unknown, {} turned away",
        begun.elapsed().as_secs_f64(),
        seen.sent,
        seen.served,
        seen.served_repeats,
        seen.unknown,
        seen.rejected
    );
    short.extend(
        seen.violations
            .iter()
            .map(|what| format!("after kills: {what}")),
    );
    Ok(())
}

/// The figures in the line that the keeper logs at the end: results, syncs.
fn kept(report: &Report) -> (u64, u64) {
    let line = report
        .log
        .iter()
        .find(|line| line.contains("kept since the start"));
    let words: Vec<u64> = line
        .and_then(|line| line.split_once("results: "))
        .map(|(_, rest)| {
            rest.split_whitespace()
                .filter_map(|word| word.parse().ok())
                .collect()
        })
        .unwrap_or_default();
    (
        words.first().copied().unwrap_or(0),
        words.get(1).copied().unwrap_or(0),
    )
}

fn load(rates: Vec<(u64, f64)>, connections: usize, keyed: bool) -> Load {
    let key_field = keyed.then(|| KEY_FIELD.to_owned());
    Load {
        protocol: Protocol::Frames,
        rates,
        connections,
        body_bytes: 200,
        key_field,
    }
}

fn outside(folder: Option<PathBuf>) -> String {
    folder
        .map(|folder| KillTrial::operator_section(&folder))
        .unwrap_or_default()
}

/// Keyed writes against a runtime that answers at once: what the keeper alone lets through.
fn writes(program: &Path, home: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    print_line!("keyed writes, a runtime that answers at once, 3 s:");
    for rate in [500.0, 4_000.0] {
        let mut site = KillTrial::site(1);
        (site.instant_runs, site.cores) = (true, 256);
        (site.stop_timeout, site.drain_grace) = (SECOND, SECOND / 2);
        let trial = Trial {
            site,
            loads: vec![load(vec![(3 * SECOND, rate)], 32, true)],
            ajp_options: String::new(),
            operator_sections: outside(Some(home.join(format!("writes-{rate}")))),
            terminate_at: Some(3 * SECOND + SECOND / 2),
        };
        let report = trial.run(program, |_, _| ())?;
        let total = report.total(Protocol::Frames);
        let (results, syncs) = kept(&report);
        let served = total.on_time + total.late;
        print_line!(
            "  asked {rate:5.0} a second: {:5.0} served a second, {:.0}% turned away, median {:.1} ms, p99 {:.1} ms, {:.1} records a sync",
            served as f64 / 3.0,
            100.0 * (total.rejected_with_retry_after + total.rejected_without_retry_after) as f64 / total.issued.max(1) as f64,
            report.latency_ms[0].1,
            report.latency_ms[0].2,
            2.0 * results as f64 / syncs.max(1) as f64
        );
        short.extend(
            report
                .violations
                .iter()
                .map(|broken| format!("a rule under keyed writes: {broken}")),
        );
    }
    Ok(())
}

/// Worth served in time, as a share of the worth asked for.
fn worth(report: &Report, site: &Setup) -> (f64, f64) {
    let (mut served, mut asked) = (0.0, 0.0);
    for (_, name, tally) in &report.tallies {
        let Some(class) = site.classes.iter().find(|class| class.name == name) else {
            continue;
        };
        let each = class.weight * (class.work.0 + class.work.1) as f64;
        served += each * tally.on_time as f64;
        asked += each * tally.issued as f64;
    }
    (served, asked)
}

fn service(program: &Path, home: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    print_line!(
        "service with keeping off and on, {} seeds of 6 s each, all four classes:",
        SEEDS.end - SEEDS.start
    );
    for share in [0.5, 0.9, 1.1] {
        let site = |seed| {
            let store = cleatpulley_emulators::store::Setup {
                slots: 48,
                ..Setup::default().store
            };
            Setup {
                seed,
                cores: 24,
                store,
                stop_timeout: SECOND,
                drain_grace: SECOND / 2,
                ..Setup::default()
            }
        };
        let trials: Vec<_> = SEEDS
            .flat_map(|seed| [(seed, false), (seed, true)])
            .map(|(seed, on)| {
                let site = site(seed);
                let rate = site.capacity() * share;
                let folder = on.then(|| home.join(format!("service-{share}-{seed}")));
                let loads = vec![load(vec![(6 * SECOND, rate)], 16, on)];
                let leave_at = Some(6 * SECOND + SECOND / 2);
                let trial = Trial {
                    site,
                    loads,
                    ajp_options: String::new(),
                    operator_sections: outside(folder),
                    terminate_at: leave_at,
                };
                let program = program.to_owned();
                (
                    on,
                    std::thread::spawn(move || trial.run(&program, |_, _| ())),
                )
            })
            .collect();
        let mut figures = [Figures::default(), Figures::default()];
        for (on, trial) in trials {
            let report = trial
                .join()
                .map_err(|_| std::io::Error::other("a trial panicked"))??;
            short.extend(
                report
                    .violations
                    .iter()
                    .map(|b| format!("a rule at {:.0}%: {b}", share * 100.0)),
            );
            figures[usize::from(on)].add(&report, &site(1));
        }
        let [off, on] = figures;
        print_line!(
            "  {:3.0}%: service {:.3} off, {:.3} on; claim-seat median {:.0} and {:.0} ms, p99 {:.0} and {:.0} ms; find-race median {:.0} and {:.0} ms; {:.1} records a sync",
            share * 100.0,
            off.service(),
            on.service(),
            off.claim.0, on.claim.0, off.claim.1, on.claim.1, off.find, on.find,
            2.0 * on.kept.0 as f64 / on.kept.1.max(1) as f64
        );
        let lost = 1.0 - on.service() / off.service().max(1e-9);
        if share > 1.0 && lost > 0.03 {
            short.push(format!(
                "keeping costs {:.1}% of service at {:.0}%, the goal is 3",
                lost * 100.0,
                share * 100.0
            ));
        }
    }
    Ok(())
}

#[derive(Default)]
struct Figures {
    worth: (f64, f64),
    /// The worst over the seeds: median and p99.
    claim: (f64, f64),
    find: f64,
    kept: (u64, u64),
}

impl Figures {
    fn add(&mut self, report: &Report, site: &Setup) {
        let (served, asked) = worth(report, site);
        self.worth = (self.worth.0 + served, self.worth.1 + asked);
        for (_, class, middle, high) in &report.class_latency_ms {
            match class.as_str() {
                "claim-seat" => self.claim = (self.claim.0.max(*middle), self.claim.1.max(*high)),
                "find-race" => self.find = self.find.max(*middle),
                _ => {}
            }
        }
        let (results, syncs) = kept(report);
        self.kept = (self.kept.0 + results, self.kept.1 + syncs);
    }

    fn service(&self) -> f64 {
        self.worth.0 / self.worth.1.max(1e-9)
    }
}
