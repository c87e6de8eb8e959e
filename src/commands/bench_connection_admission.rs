//! `cleatpulley check connection-admission`: what a decision costs at a million addresses, and who is served while connections come
//! without end.

use cleatpulley_connection_admission::address_prefix::{AddressPrefix, PrefixLengths};
use cleatpulley_connection_admission::rate_sketch::RateLimit;
use cleatpulley_connection_admission::settings::ConnectionLimits;
use cleatpulley_connection_admission::{Admission, Decision, Settings};
use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::flood::{measure_health_check, Flood};
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::site::Setup;
use cleatpulley_emulators::trial::{Load, Trial};
use std::collections::HashMap;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const SECOND: u64 = 1_000_000;
const MILLION: u32 = 1_000_000;
/// A decision's time, in nanoseconds.
const GOAL_NS: f64 = 200.0;
/// Descriptors of the matcher, new hostile connections a second, and how many of those are held.
const SOCKETS: usize = 512;
const FLOOD: u32 = 5_000;
const HELD: usize = 3_000;
/// Points of service that known callers may lose to a flood.
const GOAL_POINTS: f64 = 2.0;

/// Measures, prints, and says what falls short.
///
/// # Errors
/// Where something can't be started.
pub fn run(program: &Path) -> Result<Vec<String>, String> {
    let mut short = Vec::new();
    decisions(&mut short);
    floods(program, &mut short).map_err(|e| format!("floods: {e}"))?;
    super::bench_places::run(&mut short);
    super::bench_tls::run(program, &mut short).map_err(|e| format!("tls: {e}"))?;
    Ok(short)
}

fn address(n: u32) -> IpAddr {
    Ipv4Addr::from(0x0A00_0000 | n.wrapping_mul(0x9E37_79B1) & 0x00FF_FFFF).into()
}

/// Connections of a million addresses in turn: what they get here, and from a bucket each.
fn decisions(short: &mut Vec<String>) {
    let rate = RateLimit {
        per_second: 2.0,
        burst: 4.0,
    };
    let settings = Settings {
        allowlist: vec!["192.168.0.0/16"
            .parse::<AddressPrefix>()
            .unwrap_or_else(|_| AddressPrefix::containing(address(0), 16))],
        reserved_share: 0.2,
        address_limits: ConnectionLimits {
            slots: None,
            rate: Some(rate),
        },
        prefix_limits: ConnectionLimits {
            slots: None,
            rate: Some(RateLimit {
                per_second: 500.0,
                burst: 1_000.0,
            }),
        },
        prefix_lengths: PrefixLengths { ipv4: 24, ipv6: 64 },
        reputation: None,
        sketch_width: cleatpulley::operator::admission::SKETCH_WIDTH,
        seed: 11,
    };
    let mut admission = Admission::new(settings, 0);
    // Sixteen thousand busy ones among a million that come once in a while.
    let who = |n: u32| {
        if n.is_multiple_of(2) {
            address(n % 16_000)
        } else {
            address(n % MILLION)
        }
    };
    let calls = 4 * MILLION;
    let mut let_in = 0_u32;
    let begun = Instant::now();
    for n in 0..calls {
        let decision = admission.decide(u64::from(n) * 20, black_box(who(n)), 400, |_| false);
        let_in += u32::from(!matches!(decision, Decision::Reject(_)));
    }
    let ours = begun.elapsed().as_nanos() as f64 / f64::from(calls);
    let mut buckets: HashMap<IpAddr, (f64, u64)> = HashMap::new();
    let mut exact_in = 0_u32;
    let begun = Instant::now();
    for n in 0..calls {
        let now = u64::from(n) * 20;
        let (level, at) = buckets.entry(black_box(who(n))).or_default();
        *level = (*level - (now - *at) as f64 / 1e6 * rate.per_second).max(0.0);
        *at = now;
        if *level + 1.0 <= rate.burst {
            *level += 1.0;
            exact_in += 1;
        }
    }
    let plain = begun.elapsed().as_nanos() as f64 / f64::from(calls);
    let map = buckets.capacity() * (size_of::<(IpAddr, (f64, u64))>() + 1);
    let wrong = f64::from(exact_in.saturating_sub(let_in)) / f64::from(exact_in.max(1));
    print_line!(
        "a decision at a million addresses, 16,000 of them busy: {ours:.0} ns, a HashMap of buckets {plain:.0} ns; {:.1} and {:.1} \
         bytes an address; {:.3}% of what should have come in was kept out",
        admission.memory_bytes() as f64 / f64::from(MILLION),
        map as f64 / f64::from(MILLION),
        wrong * 100.0
    );
    if ours > GOAL_NS {
        short.push(format!(
            "a decision takes {ours:.0} ns, the goal is {GOAL_NS}"
        ));
    }
    if wrong > 0.01 {
        short.push(format!(
            "{:.2}% of what should have come in was kept out, the goal is 1%",
            wrong * 100.0
        ));
    }
}

/// What was seen of one trial.
#[derive(Default, Clone)]
struct Seen {
    served: f64,
    /// Waits for a connection, in milliseconds, and how many were in vain.
    waits: Vec<f64>,
    vain: usize,
    opened: u64,
    descriptors: usize,
    memory_kb: u64,
    broken: Vec<String>,
}

fn play(
    program: &Path,
    (sources, speaks): (u32, bool),
    section: &str,
    seed: u64,
) -> std::io::Result<Seen> {
    let site = Setup {
        sockets: SOCKETS,
        seed,
        ..Setup::default()
    };
    let rates = vec![(5 * SECOND, 0.7 * site.capacity())];
    let load = Load {
        protocol: Protocol::Frames,
        rates,
        connections: 6,
        body_bytes: 64,
        key_field: None,
    };
    let outside = section.to_owned();
    let trial = Trial {
        site,
        loads: vec![load],
        ajp_options: String::new(),
        operator_sections: outside,
        terminate_at: None,
    };
    let mut going = trial.start(program)?;
    let to = going.matcher.frames;
    let (over, opened) = (AtomicBool::new(false), AtomicU64::new(0));
    let mut seen = Seen::default();
    std::thread::scope(|scope| {
        if sources > 0 {
            let flood = Flood {
                address: to,
                source_addresses: sources,
                per_second: FLOOD,
                max_open: HELD,
                sends_health_check: speaks,
            };
            let (over, opened) = (&over, &opened);
            scope.spawn(move || flood.run(over, opened));
        }
        let until = Instant::now() + Duration::from_millis(5_500);
        while Instant::now() < until {
            match measure_health_check(to, Duration::from_secs(1)) {
                Some(wait) => seen.waits.push(wait.as_secs_f64() * 1e3),
                None => seen.vain += 1,
            }
            seen.descriptors = seen
                .descriptors
                .max(going.matcher.descriptor_count().unwrap_or(0));
            std::thread::sleep(Duration::from_millis(20));
        }
        over.store(true, Ordering::Relaxed);
    });
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until && !going.callers.iter().all(|c| with_lock(c, |c| c.is_done())) {
        std::thread::sleep(Duration::from_millis(10));
    }
    let report = going.check_rules();
    let total = report.total(Protocol::Frames);
    seen.served = 100.0 * total.on_time as f64 / total.issued.max(1) as f64;
    // Requests that a crowd kept from being let in are told by the share served; here it counts that none was lost after.
    seen.broken = report
        .violations
        .iter()
        .filter(|what| !what.contains("without a response"))
        .cloned()
        .collect();
    seen.opened = opened.load(Ordering::Relaxed);
    seen.memory_kb = report.memory_kb;
    seen.waits.sort_by(f64::total_cmp);
    Ok(seen)
}

fn floods(program: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    let named = "admission: { named: ['127.0.0.1'], reserve: 0.25, address: { per_second: 50, burst: 100 } }";
    let unknown = "admission: { reserve: 0.1, address: { per_second: 50, burst: 100 }, \
                   prefix: { per_second: 100, burst: 200 }, earned: { points: 5 } }";
    let plain = "store: { protocol: 'http' }";
    let (one, many) = ((1, true), (5_000, true));
    let cases = [
        ("calm, first come first served", (0, false), plain),
        ("5,000 silent addresses, first come", (5_000, false), plain),
        ("one address, first come", one, plain),
        ("one address, callers named", one, named),
        ("one address, callers unknown at first", one, unknown),
        ("5,000 addresses, first come", many, plain),
        ("5,000 addresses, callers named", many, named),
        ("5,000 addresses, callers unknown", many, unknown),
    ];
    print_line!(
        "{FLOOD} new connections a second against {SOCKETS} descriptors, each with a health check and then held, callers at 70% load:"
    );
    let mut all = Vec::new();
    for pair in cases.chunks(2) {
        let seen: Vec<_> = std::thread::scope(|scope| {
            let start = |(_, sources, section): &(&str, (u32, bool), &str)| {
                let (sources, section) = (*sources, (*section).to_owned());
                scope.spawn(move || play(program, sources, &section, 31))
            };
            let playing: Vec<_> = pair.iter().map(start).collect();
            playing.into_iter().map(|one| one.join()).collect()
        });
        for ((name, ..), one) in pair.iter().zip(seen) {
            let one = one.map_err(|_| std::io::Error::other("a trial has ended early"))??;
            print_line!(
                "  {name:<42} {:5.1}% in time; a connection takes {:.1} ms, {:.0} at most, {} in vain; {} opened; {} descriptors, {:.1} MB",
                one.served,
                one.waits.get(one.waits.len() / 2).copied().unwrap_or(f64::NAN),
                one.waits.last().copied().unwrap_or(f64::NAN),
                one.vain,
                one.opened,
                one.descriptors,
                one.memory_kb as f64 / 1e3
            );
            short.extend(one.broken.iter().map(|what| format!("{name}: {what}")));
            if one.descriptors > SOCKETS {
                short.push(format!(
                    "{name}: {} descriptors of {SOCKETS}",
                    one.descriptors
                ));
            }
            all.push(one);
        }
    }
    for place in [3, 6] {
        let lost = all[0].served - all[place].served;
        if lost > GOAL_POINTS {
            short.push(format!(
                "{}: known callers lose {lost:.1} points",
                cases[place].0
            ));
        }
    }
    Ok(())
}
