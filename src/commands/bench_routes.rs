//! `cleatpulley check routes`: measures location look-ups, imports, expectations, the consistent hash, and a gateway whose
//! targets die, drain, slow down or fail.

use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::gateway_trial::{GatewayTrial, Report, TargetEvent};
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
/// Minimum number of look-ups a second among 1,000 prefixes.
const MIN_LOOKUPS_PER_S: f64 = 5e6;
/// Recorded speedup of the trie over a linear search among 1,000 prefixes.
const RECORDED_SPEEDUP: f64 = 38.0;
/// Share of the recorded speedup that has to be reached, as machines differ.
const REQUIRED_SPEEDUP_SHARE: f64 = 0.6;
/// Maximum ratio of the look-up times among 100,000 and 1,000 prefixes. The time grows with the part of the trie that does
/// not fit into the caches.
const MAX_LOOKUP_TIME_RATIO: f64 = 4.0;

/// Runs all measurements. Returns a message for each requirement that is not met.
///
/// # Errors
/// Where a measurement can't be started.
pub fn run(program: &Path) -> Result<Vec<String>, String> {
    let mut shortfalls = Vec::new();
    lookups(&mut shortfalls)?;
    imports(&mut shortfalls);
    expectations(&mut shortfalls)?;
    consistent_hash(&mut shortfalls)?;
    balancing_methods(program, &mut shortfalls)?;
    gateway_loads(program, &mut shortfalls)?;
    Ok(shortfalls)
}

fn import_routes(text: String) -> Result<Routes, String> {
    let import = Import::read(&BTreeMap::from([("f".to_owned(), text.into_bytes())]), "f");
    if import.is_complete() {
        return Ok(import.routes);
    }
    Err(import
        .diagnostics
        .first()
        .map_or("not imported".to_owned(), ToString::to_string))
}

/// Returns location prefixes of services, versions and tenants, as a production configuration has them.
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

/// Returns the time of one call in seconds, the best of nine rounds.
fn time_per_call(call_count: usize, mut call: impl FnMut(usize)) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..9 {
        let started = Instant::now();
        (0..call_count).for_each(&mut call);
        best = best.min(started.elapsed().as_secs_f64() / call_count as f64);
    }
    best
}

fn lookups(shortfalls: &mut Vec<String>) -> Result<(), String> {
    print_line!("look-ups a second, by locations: the trie, and a linear search");
    let mut rates = Vec::new();
    for count in [10, 1_000, 100_000] {
        let prefixes = prefixes(count);
        let text: String = prefixes
            .iter()
            .map(|prefix| format!("location {prefix} {{ return 200; }}\n"))
            .collect();
        let routes = import_routes(format!("server {{\n{text}}}\n"))?;
        let index = LocationIndex::new(&routes.servers[0].locations)?;
        let mut random = SmallRng::seed_from_u64(5);
        let paths: Vec<String> = (0..4_096)
            .map(|_| format!("{}grid/7", prefixes[random.random_range(0..count)]))
            .collect();
        for path in &paths[..4_096.min(40_000_000 / count)] {
            let matching = prefixes
                .iter()
                .enumerate()
                .filter(|(_, prefix)| path.starts_with(prefix.as_str()));
            let longest = matching
                .max_by_key(|(_, prefix)| prefix.len())
                .map(|(number, _)| number as u32);
            if index.find(path.as_bytes())
                != longest.map_or(LocationMatch::NotFound, LocationMatch::Found)
            {
                shortfalls.push(format!("{path}: the trie and a linear search differ"));
            }
        }
        let trie = time_per_call(200_000, |n| {
            black_box(index.find(black_box(paths[n % 4_096].as_bytes())));
        });
        let linear = time_per_call(2_000_000 / count.max(100), |n| {
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
        if count == 1_000 && linear / trie < REQUIRED_SPEEDUP_SHARE * RECORDED_SPEEDUP {
            let ratio = linear / trie;
            shortfalls.push(format!(
                    "{ratio:.0} times as fast as a linear search among 1,000 prefixes, recorded {RECORDED_SPEEDUP}"
                ));
        }
        rates.push(1.0 / trie);
    }
    if rates[1] < MIN_LOOKUPS_PER_S {
        shortfalls.push(format!(
            "{:.1} million look-ups a second among 1,000 prefixes, required 5",
            rates[1] / 1e6
        ));
    }
    if rates[1] / rates[2] > MAX_LOOKUP_TIME_RATIO {
        shortfalls.push(format!(
            "100,000 prefixes take {:.1} times as long as 1,000",
            rates[1] / rates[2]
        ));
    }
    Ok(())
}

fn imports(shortfalls: &mut Vec<String>) {
    // Four lines for each location, as in hand-written configurations.
    let location = |prefix: &String| {
        format!("    location {prefix} {{\n        set $matcher_class find-race;\n        proxy_pass http://fleet;\n    }}\n")
    };
    let text: String = prefixes(25_000).iter().map(location).collect();
    let text = format!("upstream fleet {{ server 127.0.0.1:9000; }}\nserver {{\n{text}}}\n");
    let (lines, bytes) = (text.lines().count(), text.len());
    let files = BTreeMap::from([("f".to_owned(), text.into_bytes())]);
    let started = Instant::now();
    let import = Import::read(&files, "f");
    let took = started.elapsed();
    print_line!(
        "import of {lines} lines, {:.1} MB: {:.0} ms, {} directives",
        bytes as f64 / 1e6,
        took.as_secs_f64() * 1e3,
        import.directive_count
    );
    if took > Duration::from_secs(1) || !import.is_complete() {
        shortfalls.push(format!(
            "an import of {lines} lines takes {:.1} s",
            took.as_secs_f64()
        ));
    }
    let noise: Vec<u8> = (0..10_000_000_u32)
        .map(|n| b"a{};\n\"' #$"[(n.wrapping_mul(2_654_435_761) >> 28) as usize % 10])
        .collect();
    let files = BTreeMap::from([("f".to_owned(), noise)]);
    let started = Instant::now();
    let import = Import::read(&files, "f");
    print_line!(
        "10 MB of noise: rejected with {} diagnostics after {:.0} ms",
        import.diagnostics.len(),
        started.elapsed().as_secs_f64() * 1e3
    );
}

fn upstream_block(count: usize) -> String {
    let servers: String = (0..count)
        .map(|n| format!(" server m{n}.example.org:9000;"))
        .collect();
    format!("upstream fleet {{ hash $http_x_subject consistent;{servers} }}\n")
}

fn expectations(shortfalls: &mut Vec<String>) -> Result<(), String> {
    let configuration = |count: usize| {
        format!(
            "{}upstream cell_b {{ server m99.example.org:9000; }}\nmap $http_x_subject $cell {{ default fleet; racer-7 cell_b; }}\nserver {{ server_name h;\n location /claim-seat {{ set $matcher_class claim-seat; proxy_pass http://fleet; }}\n location /lobby {{ proxy_pass http://$cell; }}\n}}\n",
            upstream_block(count)
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
    let expectation_file: ExpectationFile =
        serde_json::from_value(expected).map_err(|e| e.to_string())?;
    let (now, before) = (
        import_routes(configuration(15))?,
        import_routes(configuration(16))?,
    );
    let started = Instant::now();
    let reports = check_expectations(&now, &expectation_file, &|_| Ok(before.clone()))?;
    let took = started.elapsed().as_secs_f64();
    let request_count: usize = reports.iter().map(|report| report.requests_checked).sum();
    let held_count = reports.iter().filter(|report| report.holds()).count();
    print_line!("expectations over 30,000 subjects: {took:.2} s for {request_count} requests; {held_count} of 4 hold");
    // The map sends one popular subject to another cell, which two of the expectations have to find.
    let broken_count = reports
        .iter()
        .filter(|report| matches!(report.outcome, Outcome::Broken { .. }))
        .count();
    if took > 5.0 || held_count != 2 || broken_count != 2 {
        shortfalls.push(format!(
                "expectations: {took:.1} s, {held_count} hold and {broken_count} are broken, expected two each: {reports:?}"
            ));
    }
    Ok(())
}

fn consistent_hash(shortfalls: &mut Vec<String>) -> Result<(), String> {
    let pool = |count: usize| -> Result<Pool, String> {
        import_routes(
            upstream_block(count) + "server { location / { proxy_pass http://fleet; } }\n",
        )?
        .pools
        .remove("fleet")
        .ok_or("no pool".to_owned())
    };
    let (full_pool, mut reduced_pool) = (pool(16)?, pool(16)?);
    reduced_pool.targets.remove(5);
    let (before, after) = (
        Balancer::new(&full_pool, 1),
        Balancer::new(&reduced_pool, 1),
    );
    let address = |balancer: &Balancer, key: &str| {
        balancer
            .preferred_target(key.as_bytes())
            .and_then(|target| balancer.addresses().nth(target).map(str::to_owned))
    };
    let (mut counts, mut moved, mut needlessly_moved) = (BTreeMap::new(), 0, 0);
    for number in 0..32_000 {
        let key = format!("racer-{number}");
        let (old_target, new_target) = (address(&before, &key), address(&after, &key));
        if old_target != new_target {
            moved += 1;
            needlessly_moved += u32::from(old_target.as_deref() != Some("m5.example.org:9000"));
        }
        *counts.entry(old_target).or_insert(0_u32) += 1;
    }
    let max_count = counts.values().copied().max().unwrap_or(0);
    let max_load_ratio = f64::from(max_count) / 2_000.0;
    let moved_share = f64::from(moved) / 32_000.0;
    print_line!("consistent hash, 16 targets, 32,000 subjects: the fullest has {max_load_ratio:.2} times its share; {:.1}% move when one is removed, {needlessly_moved} of them needlessly", moved_share * 100.0);
    if needlessly_moved > 0 || max_load_ratio > 1.25 || moved_share > 1.5 / 16.0 {
        shortfalls.push(format!(
                "consistent hash: {max_load_ratio:.2} times its share, {:.1}% move, {needlessly_moved} needlessly",
                moved_share * 100.0
            ));
    }
    Ok(())
}

fn relay(load: f64, seconds: f64) -> GatewayTrial {
    let setup = Setup {
        workers: 4,
        run_time: (10 * MS, 30 * MS),
        max_wait: 120 * MS,
        retry_after: 50 * MS,
        seed: 3,
    };
    let mut relay = GatewayTrial {
        targets: 5,
        setup,
        balancing: String::new(),
        server_options: "max_fails=2 fail_timeout=500ms".to_owned(),
        next_upstream: "error timeout http_503".to_owned(),
        retry_share: 0.2,
        rates: Vec::new(),
        duration: (seconds * 1e6) as u64,
        events: Vec::new(),
        reload_at: None,
        terminate_at: None,
        seed: 21,
    };
    let rate = relay.capacity() * load / 2.0;
    relay.rates = vec![(Protocol::Frames, rate), (Protocol::Ajp, rate)];
    relay
}

fn run_trial(
    relay: &GatewayTrial,
    program: &Path,
    shortfalls: &mut Vec<String>,
) -> Result<Report, String> {
    let report = relay.run(program).map_err(|e| e.to_string())?;
    shortfalls.extend(
        report
            .violations
            .iter()
            .map(|rule| format!("rule broken at the gateway: {rule}")),
    );
    Ok(report)
}

fn balancing_methods(program: &Path, shortfalls: &mut Vec<String>) -> Result<(), String> {
    print_line!("one of five targets four times slower, 65% load: served within 400 ms, p99, share of the slow target");
    let mut shares = BTreeMap::new();
    for (name, directive) in [
        ("round robin", ""),
        ("least connections", "least_conn;"),
        ("random two", "random two;"),
        (
            "consistent hash",
            "hash $http_txn$http_x_request_id consistent;",
        ),
    ] {
        let mut relay = relay(0.65, 3.0);
        relay.balancing = directive.to_owned();
        // Rejections are not retried, so that the result shows the balancing method alone.
        relay.next_upstream = "error".to_owned();
        relay.events = vec![(0, 0, TargetEvent::SetSlowdown(4.0))];
        let report = run_trial(&relay, program, shortfalls)?;
        print_line!(
            "  {name:18} {:5.1}%  {:4.0} ms  {:4.1}%",
            report.on_time_share() * 100.0,
            report.latency_ms.1,
            report.shares[0] * 100.0
        );
        shares.insert(name, report.on_time_share());
    }
    for name in ["least connections", "random two"] {
        if shares[name] <= shares["round robin"] {
            shortfalls.push(format!(
                "{name} serves no more than round robin with a slow target"
            ));
        }
    }
    Ok(())
}

fn gateway_loads(program: &Path, shortfalls: &mut Vec<String>) -> Result<(), String> {
    let calm = GatewayTrial {
        balancing: "least_conn;".to_owned(),
        ..relay(0.9, 5.0)
    };
    let mut with_faults = calm.clone();
    with_faults.events = vec![
        (500 * MS, 0, TargetEvent::Kill),
        (1_500 * MS, 0, TargetEvent::Restart),
        (2_000 * MS, 1, TargetEvent::SetDraining(true)),
        (2_800 * MS, 1, TargetEvent::SetDraining(false)),
        (3_200 * MS, 2, TargetEvent::SetSlowdown(4.0)),
        (4_000 * MS, 2, TargetEvent::SetSlowdown(1.0)),
    ];
    print_line!("90% load, five targets: in time, rejected, failed, attempts per request, gateway's CPU a request and memory");
    for (name, relay) in [
        ("calm", &calm),
        ("one dies, one drains, one slows", &with_faults),
    ] {
        let report = run_trial(relay, program, shortfalls)?;
        let total = report.total();
        let rejected = total.rejected_without_retry_after + total.rejected_with_retry_after;
        print_line!(
            "  {name:32} {:5.1}%  {rejected:5}  {:5}  {:.3}  {:.1} us  {:.1} MB",
            report.on_time_share() * 100.0,
            total.failed,
            report.attempts_per_request,
            report.cpu_per_request,
            report.memory_kb as f64 / 1e3
        );
    }
    print_line!("8,000 a second, targets that answer at once: in time, p99, gateway's CPU a request and memory");
    for front in [Protocol::Frames, Protocol::Ajp] {
        let mut relay = relay(0.0, 2.0);
        relay.balancing = "least_conn;".to_owned();
        relay.setup = Setup {
            workers: 100_000,
            run_time: (0, 0),
            ..relay.setup
        };
        relay.rates = vec![(front, 8_000.0)];
        let report = run_trial(&relay, program, shortfalls)?;
        let (in_time, p99) = (report.on_time_share() * 100.0, report.latency_ms.1);
        print_line!(
            "  {front:8} {in_time:5.1}%  {p99:.1} ms  {:.1} us  {:.1} MB",
            report.cpu_per_request,
            report.memory_kb as f64 / 1e3
        );
        if report.on_time_share() < 0.99 {
            shortfalls.push(format!(
                "{in_time:.1}% in time by {front} at 8,000 a second"
            ));
        }
    }
    print_line!("half of the targets fail all requests, half load: attempts per request, by the retry share");
    for retry_share in [0.0, 0.1, 0.3] {
        let mut relay = relay(0.5, 2.0);
        relay.next_upstream = "error timeout http_503 http_500".to_owned();
        relay.retry_share = retry_share;
        relay.events = vec![
            (0, 0, TargetEvent::SetFailures(1_000)),
            (0, 1, TargetEvent::SetFailures(1_000)),
            (0, 2, TargetEvent::SetFailures(1_000)),
        ];
        let report = run_trial(&relay, program, shortfalls)?;
        let total = report.total();
        let max_attempts = 1.0 + retry_share + 12.0 / total.issued.max(1) as f64;
        print_line!(
            "  share {retry_share:.1}: {:.3} of at most {max_attempts:.3}; {:.1}% in time",
            report.attempts_per_request,
            report.on_time_share() * 100.0
        );
        if report.attempts_per_request > max_attempts {
            shortfalls.push(format!(
                "{:.3} attempts per request where the budget allows {max_attempts:.3}",
                report.attempts_per_request
            ));
        }
    }
    Ok(())
}
