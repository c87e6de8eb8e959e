//! `cleatpulley check routes`: look-ups beside other ways, imports, expectations, the consistent hash, and a gateway's
//! service before targets of which one is slow or half of them fail.

use cleatpulley_emulators::callers::Front;
use cleatpulley_emulators::relay::{Act, Relay, Report};
use cleatpulley_emulators::target::Setup;
use cleatpulley_routes::balancer::Balancer;
use cleatpulley_routes::expectations::{check_expectations, ExpectationFile, Outcome};
use cleatpulley_routes::import::Import;
use cleatpulley_routes::location_index::{LocationIndex, LocationMatch};
use cleatpulley_routes::model::{Pool, Routes};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::path::Path;
use std::time::{Duration, Instant};

const MS: u64 = 1_000;
/// Look-ups a second that 1,000 prefixes should allow.
const LOOKUPS: f64 = 5e6;
/// How often the trie was quicker than a look at each of 1,000 prefixes when the package was last changed, and the share of
/// that which it must keep: machines differ.
const RECORDED: f64 = 38.0;
const KEPT: f64 = 0.6;
/// And 100,000 may take so many times as long as 1,000: what grows with more of them is what does not fit into the
/// caches.
const GROWTH: f64 = 4.0;

/// Measures; returns what falls short.
///
/// # Errors
/// Where something can't be started.
pub fn run(program: &Path) -> Result<Vec<String>, String> {
    let mut short = Vec::new();
    lookups(&mut short)?;
    imports(&mut short);
    expectations(&mut short)?;
    ring(&mut short)?;
    ways(program, &mut short)?;
    troubles(program, &mut short)?;
    Ok(short)
}

fn routes(text: String) -> Result<Routes, String> {
    let import = Import::read(&BTreeMap::from([("f".to_owned(), text.into_bytes())]), "f");
    if import.is_complete() {
        return Ok(import.routes);
    }
    Err(import
        .diagnostics
        .first()
        .map_or("not imported".to_owned(), ToString::to_string))
}

/// Prefixes as an installation has them: services, versions, tenants.
fn prefixes(count: usize) -> Vec<String> {
    let names = [
        "seat",
        "lobby",
        "race",
        "prefs",
        "season",
        "tracks",
        "standings",
        "friends",
    ];
    (0..count)
        .map(|n| format!("/{}/v{}/tenant-{}/", names[n % 8], n / 8 % 4, n / 32))
        .collect()
}

/// The time of one call, the best of several rounds.
fn each(times: usize, mut call: impl FnMut(usize)) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..9 {
        let begun = Instant::now();
        (0..times).for_each(&mut call);
        best = best.min(begun.elapsed().as_secs_f64() / times as f64);
    }
    best
}

fn lookups(short: &mut Vec<String>) -> Result<(), String> {
    print_line!("look-ups a second, by locations: the trie, and a look at each prefix");
    let mut rates = Vec::new();
    for count in [10, 1_000, 100_000] {
        let prefixes = prefixes(count);
        let text: String = prefixes
            .iter()
            .map(|prefix| format!("location {prefix} {{ return 200; }}\n"))
            .collect();
        let routes = routes(format!("server {{\n{text}}}\n"))?;
        let locator = LocationIndex::new(&routes.servers[0].locations)?;
        let mut random = SmallRng::seed_from_u64(5);
        let paths: Vec<String> = (0..4_096)
            .map(|_| format!("{}grid/7", prefixes[random.random_range(0..count)]))
            .collect();
        for path in &paths[..4_096.min(40_000_000 / count)] {
            let by_each = prefixes
                .iter()
                .enumerate()
                .filter(|(_, prefix)| path.starts_with(prefix.as_str()));
            let found = by_each
                .max_by_key(|(_, prefix)| prefix.len())
                .map(|(number, _)| number as u32);
            if locator.find(path.as_bytes())
                != found.map_or(LocationMatch::NotFound, LocationMatch::Found)
            {
                short.push(format!("{path}: the trie and a look at each prefix differ"));
            }
        }
        let trie = each(200_000, |n| {
            black_box(locator.find(black_box(paths[n % 4_096].as_bytes())));
        });
        let linear = each(2_000_000 / count.max(100), |n| {
            let path = black_box(&paths[n % 4_096]);
            black_box(
                prefixes
                    .iter()
                    .filter(|prefix| path.starts_with(prefix.as_str()))
                    .max_by_key(|prefix| prefix.len()),
            );
        });
        print_line!(
            "  {count:>7}: {:>6.1} million, {:>9.4} million, ratio {:.0}",
            1e-6 / trie,
            1e-6 / linear,
            linear / trie
        );
        if count == 1_000 && linear / trie < KEPT * RECORDED {
            let ratio = linear / trie;
            short.push(format!(
                "{ratio:.0} times a look at each of 1,000 prefixes, {RECORDED} when last changed"
            ));
        }
        rates.push(1.0 / trie);
    }
    if rates[1] < LOOKUPS {
        short.push(format!(
            "{:.1} million look-ups a second at 1,000 prefixes, and not 5",
            rates[1] / 1e6
        ));
    }
    if rates[1] / rates[2] > GROWTH {
        short.push(format!(
            "100,000 prefixes take {:.1} times as long as 1,000",
            rates[1] / rates[2]
        ));
    }
    Ok(())
}

fn imports(short: &mut Vec<String>) {
    // Four lines a location, as people write them.
    let location = |prefix: &String| {
        format!("    location {prefix} {{\n        set $matcher_class find-race;\n        proxy_pass http://fleet;\n    }}\n")
    };
    let text: String = prefixes(25_000).iter().map(location).collect();
    let text = format!("upstream fleet {{ server 127.0.0.1:9000; }}\nserver {{\n{text}}}\n");
    let (lines, bytes) = (text.lines().count(), text.len());
    let files = BTreeMap::from([("f".to_owned(), text.into_bytes())]);
    let begun = Instant::now();
    let import = Import::read(&files, "f");
    let took = begun.elapsed();
    print_line!(
        "import of {lines} lines, {:.1} MB: {:.0} ms, {} directives",
        bytes as f64 / 1e6,
        took.as_secs_f64() * 1e3,
        import.directive_count
    );
    if took > Duration::from_secs(1) || !import.is_complete() {
        short.push(format!(
            "an import of {lines} lines takes {:.1} s",
            took.as_secs_f64()
        ));
    }
    let noise: Vec<u8> = (0..10_000_000_u32)
        .map(|n| b"a{};\n\"' #$"[(n.wrapping_mul(2_654_435_761) >> 28) as usize % 10])
        .collect();
    let files = BTreeMap::from([("f".to_owned(), noise)]);
    let begun = Instant::now();
    let import = Import::read(&files, "f");
    print_line!(
        "10 MB of noise: refused with {} findings after {:.0} ms",
        import.diagnostics.len(),
        begun.elapsed().as_secs_f64() * 1e3
    );
}

fn fleet(count: usize) -> String {
    let servers: String = (0..count)
        .map(|n| format!(" server m{n}.example.org:9000;"))
        .collect();
    format!("upstream fleet {{ hash $http_x_subject consistent;{servers} }}\n")
}

fn expectations(short: &mut Vec<String>) -> Result<(), String> {
    let file = |count: usize| {
        format!(
            "{}upstream cell_b {{ server m99.example.org:9000; }}\nmap $http_x_subject $cell {{ default fleet; racer-7 cell_b; }}\nserver {{ server_name h;\n location /claim-seat {{ set $matcher_class claim-seat; proxy_pass http://fleet; }}\n location /lobby {{ proxy_pass http://$cell; }}\n}}\n",
            fleet(count)
        )
    };
    let seat = json!({ "host": "h", "path": "/claim-seat" });
    let lobby = json!({ "host": "h", "path": "/lobby" });
    let expected = json!({
        "subjects": { "popular": ["racer-1"], "samples": 30_000, "pattern": "racer-%d" },
        "expect": [
            { "name": "seats", "requests": [seat], "lands": { "pools": ["fleet"], "class": "claim-seat" } },
            { "name": "lobbies", "requests": [lobby], "lands": { "pools": ["fleet"] } },
            { "name": "one cell", "requests": [seat, lobby], "one_pool": true },
            { "name": "few move", "requests": [seat], "moves": { "from": "before", "at_most": 0.07 } },
        ],
    });
    let file_of: ExpectationFile = serde_json::from_value(expected).map_err(|e| e.to_string())?;
    let (now, before) = (routes(file(15))?, routes(file(16))?);
    let begun = Instant::now();
    let reports = check_expectations(&now, &file_of, &|_| Ok(before.clone()))?;
    let took = begun.elapsed().as_secs_f64();
    let tried: usize = reports.iter().map(|report| report.requests_checked).sum();
    let held = reports.iter().filter(|report| report.holds()).count();
    print_line!(
        "expectations over 30,000 subjects: {took:.2} s for {tried} requests; {held} of 4 hold"
    );
    // One popular subject is on its own in another cell, which two of them have to find.
    let broken = reports
        .iter()
        .filter(|report| matches!(report.outcome, Outcome::Broken { .. }))
        .count();
    if took > 5.0 || held != 2 || broken != 2 {
        short.push(format!(
            "expectations: {took:.1} s, {held} hold and {broken} are broken where two are each: {reports:?}"
        ));
    }
    Ok(())
}

fn ring(short: &mut Vec<String>) -> Result<(), String> {
    let pool = |count: usize| -> Result<Pool, String> {
        routes(fleet(count) + "server { location / { proxy_pass http://fleet; } }\n")?
            .pools
            .remove("fleet")
            .ok_or("no pool".to_owned())
    };
    let (whole, mut less) = (pool(16)?, pool(16)?);
    less.targets.remove(5);
    let (before, after) = (Balancer::new(&whole, 1), Balancer::new(&less, 1));
    let address = |balancer: &Balancer, key: &str| {
        balancer
            .preferred_target(key.as_bytes())
            .and_then(|at| balancer.addresses().nth(at).map(str::to_owned))
    };
    let (mut counts, mut moved, mut needless) = (BTreeMap::new(), 0, 0);
    for number in 0..32_000 {
        let key = format!("racer-{number}");
        let (was, is) = (address(&before, &key), address(&after, &key));
        if was != is {
            moved += 1;
            needless += u32::from(was.as_deref() != Some("m5.example.org:9000"));
        }
        *counts.entry(was).or_insert(0_u32) += 1;
    }
    let most = counts.values().copied().max().unwrap_or(0);
    let unevenness = f64::from(most) / 2_000.0;
    let share = f64::from(moved) / 32_000.0;
    print_line!("consistent hash, 16 targets, 32,000 subjects: the fullest has {unevenness:.2} times its share; {:.1}% move when one goes, {needless} of them needlessly", share * 100.0);
    if needless > 0 || unevenness > 1.25 || share > 1.5 / 16.0 {
        short.push(format!(
            "consistent hash: {unevenness:.2} times its share, {:.1}% move, {needless} needlessly",
            share * 100.0
        ));
    }
    Ok(())
}

fn relay(load: f64, seconds: f64) -> Relay {
    let setup = Setup {
        workers: 4,
        work: (10 * MS, 30 * MS),
        patience: 120 * MS,
        later: 50 * MS,
        seed: 3,
    };
    let mut relay = Relay {
        targets: 5,
        setup,
        way: String::new(),
        words: "max_fails=2 fail_timeout=500ms".to_owned(),
        next: "error timeout http_503".to_owned(),
        retry_share: 0.2,
        rates: Vec::new(),
        time: (seconds * 1e6) as u64,
        acts: Vec::new(),
        reroute_at: None,
        leave_at: None,
        seed: 21,
    };
    let rate = relay.capacity() * load / 2.0;
    relay.rates = vec![(Front::Frames, rate), (Front::Ajp, rate)];
    relay
}

fn play(relay: &Relay, program: &Path, short: &mut Vec<String>) -> Result<Report, String> {
    let report = relay.play(program).map_err(|e| e.to_string())?;
    short.extend(
        report
            .broken
            .iter()
            .map(|what| format!("rule broken at the gateway: {what}")),
    );
    Ok(report)
}

fn ways(program: &Path, short: &mut Vec<String>) -> Result<(), String> {
    print_line!("one of five targets four times slower, 65% load: served within 400 ms, p99, share of the slow one");
    let mut shares = BTreeMap::new();
    for (name, way) in [
        ("round robin", ""),
        ("least connections", "least_conn;"),
        ("random two", "random two;"),
        (
            "consistent hash",
            "hash $http_txn$http_x_request_id consistent;",
        ),
    ] {
        let mut relay = relay(0.65, 3.0);
        relay.way = way.to_owned();
        // Refusals are passed on, so that the choice alone is seen.
        relay.next = "error".to_owned();
        relay.acts = vec![(0, 0, Act::Slow(4.0))];
        let report = play(&relay, program, short)?;
        print_line!(
            "  {name:18} {:5.1}%  {:4.0} ms  {:4.1}%",
            report.in_time() * 100.0,
            report.latency_ms.1,
            report.shares[0] * 100.0
        );
        shares.insert(name, report.in_time());
    }
    for name in ["least connections", "random two"] {
        if shares[name] <= shares["round robin"] {
            short.push(format!(
                "{name} serves no more than round robin before a slow target"
            ));
        }
    }
    Ok(())
}

fn troubles(program: &Path, short: &mut Vec<String>) -> Result<(), String> {
    let calm = Relay {
        way: "least_conn;".to_owned(),
        ..relay(0.9, 5.0)
    };
    let mut troubled = calm.clone();
    troubled.acts = vec![
        (500 * MS, 0, Act::Kill),
        (1_500 * MS, 0, Act::Revive),
        (2_000 * MS, 1, Act::Drain(true)),
        (2_800 * MS, 1, Act::Drain(false)),
        (3_200 * MS, 2, Act::Slow(4.0)),
        (4_000 * MS, 2, Act::Slow(1.0)),
    ];
    print_line!("90% load, five targets: in time, turned away, failed, tries for each request, gateway's CPU a request and memory");
    for (name, relay) in [
        ("calm", &calm),
        ("one dies, one drains, one slows", &troubled),
    ] {
        let report = play(relay, program, short)?;
        let total = report.total();
        let refused = total.refused_bare + total.refused_with_time;
        print_line!(
            "  {name:32} {:5.1}%  {refused:5}  {:5}  {:.3}  {:.1} us  {:.1} MB",
            report.in_time() * 100.0,
            total.failed,
            report.tries,
            report.cpu,
            report.memory_kb as f64 / 1e3
        );
    }
    print_line!("8,000 a second, targets that answer at once: in time, p99, gateway's CPU a request and memory");
    for front in [Front::Frames, Front::Ajp] {
        let mut relay = relay(0.0, 2.0);
        relay.way = "least_conn;".to_owned();
        relay.setup = Setup {
            workers: 100_000,
            work: (0, 0),
            ..relay.setup
        };
        relay.rates = vec![(front, 8_000.0)];
        let report = play(&relay, program, short)?;
        let (in_time, p99) = (report.in_time() * 100.0, report.latency_ms.1);
        print_line!(
            "  {front:8} {in_time:5.1}%  {p99:.1} ms  {:.1} us  {:.1} MB",
            report.cpu,
            report.memory_kb as f64 / 1e3
        );
        if report.in_time() < 0.99 {
            short.push(format!(
                "{in_time:.1}% in time by {front} at 8,000 a second"
            ));
        }
    }
    print_line!("half of the targets fail all they run, half load: tries for each request, by the budget's share");
    for share in [0.0, 0.1, 0.3] {
        let mut relay = relay(0.5, 2.0);
        relay.next = "error timeout http_503 http_500".to_owned();
        relay.retry_share = share;
        relay.acts = vec![
            (0, 0, Act::Faults(1_000)),
            (0, 1, Act::Faults(1_000)),
            (0, 2, Act::Faults(1_000)),
        ];
        let report = play(&relay, program, short)?;
        let total = report.total();
        let most = 1.0 + share + 12.0 / total.asked.max(1) as f64;
        print_line!(
            "  share {share:.1}: {:.3} of at most {most:.3}; {:.1}% in time",
            report.tries,
            report.in_time() * 100.0
        );
        if report.tries > most {
            short.push(format!(
                "{:.3} tries for each request where the budget allows {most:.3}",
                report.tries
            ));
        }
    }
    Ok(())
}
