//! `cleatpulley check`: measurements beside what they are compared with, in one run on one machine.

use clap::Subcommand;
use cleatpulley::protocol::ajp::codec::{
    push_body_chunks, push_end_response, push_forward_request, push_send_headers, ForwardRequest,
    OutgoingRequest, EMPTY_HEADER, HEADER_BYTES, MAX_HEADERS, PACKET_SIZE,
};
use cleatpulley_emulators::callers::{Protocol, Tally};
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::{Class, Setup, Site};
use cleatpulley_emulators::trial::{Load, Report, Trial};
use std::hint::black_box;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

const SECOND: u64 = 1_000_000;

/// What is measured.
#[derive(Subcommand)]
pub enum Check {
    /// The AJP front: codec, CPU a request beside frames, memory a connection, a mixed load
    Ajp,
    /// Connection admission: what a decision costs at a million addresses, and who is served in a flood
    #[command(alias = "admission")]
    ConnectionAdmission,
    /// A fleet: trials of the plan, the planner beside fixed batches, a replacement under load, the daemon's own figures
    Fleet {
        /// Replacements at 70, 90 and 100% load
        #[arg(long)]
        long: bool,
    },
    /// Kept results: the table, recovery, kills, keyed writes, service with keeping off and on
    #[command(alias = "results")]
    Idempotency,
    /// Routes and the gateway: look-ups, imports, expectations, the consistent hash, service before troubled targets
    Routes,
    /// Whole matchers on a virtual clock: speed, coverage, injected bugs
    #[command(alias = "seeds")]
    Simulator,
    /// Daily service: operators beside crowds, upgrades under load, both from seeds with injected bugs
    Service,
}

/// Measures, prints, and says whether the goals were met.
///
/// # Errors
/// Where something can't be started.
pub fn run(check: &Check) -> Result<ExitCode, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let (name, short) = match check {
        Check::Ajp => ("ajp", ajp(&program)?),
        Check::Fleet { long } => ("fleet", super::bench_fleet::run(&program, *long)),
        Check::Simulator => ("simulator", super::bench_simulator::run()?),
        Check::Service => ("service", super::bench_service::run(&program)?),
        Check::ConnectionAdmission => (
            "connection-admission",
            super::bench_connection_admission::run(&program)?,
        ),
        Check::Routes => ("routes", super::bench_routes::run(&program)?),
        Check::Idempotency => ("idempotency", super::bench_idempotency::run(&program)?),
    };
    for what in &short {
        print_line!("falls short: {what}");
    }
    if short.is_empty() {
        print_line!("{name}: ok");
        return Ok(ExitCode::SUCCESS);
    }
    print_line!("{name}: {} of its goals not met", short.len());
    Ok(ExitCode::FAILURE)
}

fn ajp(program: &Path) -> Result<Vec<String>, String> {
    let mut short = Vec::new();
    codec(&mut short);
    cpu(program, &mut short).map_err(|e| format!("CPU a request: {e}"))?;
    memory(program, &mut short).map_err(|e| format!("memory a connection: {e}"))?;
    mixed(program, &mut short).map_err(|e| format!("mixed load: {e}"))?;
    Ok(short)
}

/// The best of several rounds, in nanoseconds a call: what disturbs the machine only ever adds.
fn best(rounds: usize, times: u32, mut call: impl FnMut()) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..rounds {
        let begun = Instant::now();
        for _ in 0..times {
            call();
        }
        best = best.min(begun.elapsed().as_nanos() as f64 / f64::from(times));
    }
    best
}

const HEADERS: [(&str, &str); 12] = [
    ("Host", "matcher.portmore.example.org"),
    ("User-Agent", "race-client/7.3 (console; build 20261)"),
    ("Accept", "application/octet-stream"),
    ("Accept-Encoding", "identity"),
    ("Connection", "keep-alive"),
    ("Content-Type", "application/octet-stream"),
    ("Content-Length", "200"),
    ("X-Request-Id", "9b1f03aa5c7e2d41"),
    ("X-Work-Ms", "12.50"),
    ("X-Memory-Kb", "24.5"),
    ("X-Rank", "0.6250"),
    ("X-Caller", "4"),
];

fn codec(short: &mut Vec<String>) {
    let outgoing = OutgoingRequest {
        method: "POST",
        uri: "/claim-seat",
        remote_addr: "127.0.0.1",
        server_name: "matcher.portmore.example.org",
        server_port: 80,
        headers: &HEADERS,
        ..OutgoingRequest::default()
    };
    let mut packet = Vec::new();
    // The request is far smaller than a packet.
    let _ = push_forward_request(&mut packet, &outgoing, PACKET_SIZE);
    let write_http = |out: &mut Vec<u8>| {
        let _ = out.write_all(b"POST /claim-seat HTTP/1.1\r\n");
        for (name, value) in HEADERS {
            let _ = write!(out, "{name}: {value}\r\n");
        }
        out.extend_from_slice(b"\r\n");
    };
    let mut text = Vec::new();
    write_http(&mut text);
    let (rounds, times) = (15, 40_000);
    let decode = best(rounds, times, || {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let request = ForwardRequest::decode(black_box(&packet[HEADER_BYTES..]), &mut headers);
        black_box(request.map(|request| request.headers.len()).ok());
    });
    let parse = best(rounds, times, || {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let _ = black_box(request.parse(black_box(&text)));
        black_box(request.headers.len());
    });
    let mut out = Vec::with_capacity(4_096);
    let encode = best(rounds, times, || {
        out.clear();
        let _ = push_forward_request(black_box(&mut out), &outgoing, PACKET_SIZE);
    });
    let write = best(rounds, times, || {
        out.clear();
        write_http(black_box(&mut out));
    });
    let answer = best(rounds, times, || {
        out.clear();
        let headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", "25"),
        ];
        let _ = push_send_headers(black_box(&mut out), 200, "OK", &headers, PACKET_SIZE);
        push_body_chunks(&mut out, b"grid of 9b1f03aa5c7e2d41.", PACKET_SIZE);
        push_end_response(&mut out, true);
    });
    print_line!("codec, a request of 12 headers, best of {rounds} rounds of {times}:");
    print_line!(
        "  decode   AJP {decode:6.0} ns   httparse {parse:6.0} ns   ratio {:.2}",
        decode / parse
    );
    print_line!(
        "  encode   AJP {encode:6.0} ns   HTTP/1.1 {write:6.0} ns   ratio {:.2}",
        encode / write
    );
    print_line!("  answer   AJP {answer:6.0} ns");
    if decode > parse {
        short.push(format!(
            "decoding takes {:.2} times httparse, the goal is 1",
            decode / parse
        ));
    }
    if encode > write {
        short.push(format!(
            "encoding takes {:.2} times HTTP/1.1, the goal is 1",
            encode / write
        ));
    }
}

/// A site whose runtime answers at once, with classes so cheap that nothing is refused.
fn instant() -> Setup {
    let class = |name| Class {
        name,
        at_most_once: false,
        share: 1.0,
        work: (20, 20),
        calls: (0, 0),
        latency_objective: 2 * SECOND,
        deadline: 6 * SECOND,
        weight: 1.0,
        skip_weight_ratio: 0.0,
    };
    Setup {
        classes: vec![class("find-race")],
        instant_runs: true,
        cores: 256,
        ..Setup::default()
    }
}

fn cpu(program: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    let (rate, seconds) = (10_000.0, 3);
    print_line!(
        "CPU a request, runtime that answers at once, {rate:.0} requests a second for {seconds} s:"
    );
    let mut micros = Vec::new();
    for (front, connections) in [(Protocol::Frames, 32), (Protocol::Ajp, 32)] {
        let load = Load {
            protocol: front,
            rates: vec![(seconds * SECOND, rate)],
            connections,
            body_bytes: 200,
            key_field: None,
        };
        let trial = Trial {
            site: instant(),
            loads: vec![load],
            ajp_options: String::new(),
            operator_sections: String::new(),
            terminate_at: None,
        };
        let report = trial.run(program, |_, _| ())?;
        let total = report.total(front);
        let each = report.cpu as f64 / total.issued.max(1) as f64;
        print_line!(
            "  {front:<7} {each:6.1} us   {:7.0} a second on one core   {} asked, {} served, {} refused, {connections} connections, {:.1} MB",
            1e6 / each,
            total.issued,
            total.on_time + total.late,
            total.rejected_with_retry_after + total.rejected_without_retry_after,
            report.memory_kb as f64 / 1e3,
        );
        if !report.violations.is_empty() {
            short.push(format!(
                "rules under the instant runtime by {front}: {}",
                report.violations.join("; ")
            ));
        }
        micros.push(each);
    }
    let ratio = micros[1] / micros[0];
    print_line!("  AJP takes {ratio:.2} times frames");
    if ratio > 1.3 {
        short.push(format!(
            "AJP takes {ratio:.2} times the CPU of frames a request, the goal is 1.3"
        ));
    }
    Ok(())
}

/// Connections that send these bytes and then nothing.
fn hold(to: SocketAddr, number: usize, bytes: &[u8]) -> std::io::Result<Vec<TcpStream>> {
    let mut held = Vec::new();
    for _ in 0..number {
        let mut stream = TcpStream::connect(to)?;
        stream.write_all(bytes)?;
        held.push(stream);
    }
    Ok(held)
}

fn memory(program: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    let site = Site::start(Setup::default())?;
    let matcher = Matcher::start(program, &site.config, Some(&site.operator_file("", "")))?;
    let to = matcher.ajp.ok_or_else(|| std::io::Error::other("no AJP"))?;
    let now = || matcher.memory_kb().map_or(0, |memory| memory.0);
    // Warm: what the first connections bring along belongs to none of them.
    drop(hold(to, 50, &[0x12, 0x34, 0, 1, 10])?);
    std::thread::sleep(Duration::from_millis(300));
    let begin = now();
    let mut idle = hold(to, 300, &[0x12, 0x34, 0, 1, 10])?;
    for stream in &mut idle {
        stream.read_exact(&mut [0; 5])?;
    }
    let with_idle = now();
    let headers = [
        ("Content-Length", "2000"),
        ("X-Request-Id", "9b1f03aa5c7e2d41"),
    ];
    let outgoing = OutgoingRequest {
        method: "POST",
        uri: "/find-race",
        headers: &headers,
        ..OutgoingRequest::default()
    };
    let mut half = Vec::new();
    let _ = push_forward_request(&mut half, &outgoing, PACKET_SIZE);
    let body = [&[0x12, 0x34, 0x03, 0xE8, 0x03, 0xE6][..], &[b'.'; 700]].concat();
    half.extend_from_slice(&body);
    let stalled = hold(to, 300, &half)?;
    std::thread::sleep(Duration::from_millis(500));
    let with_stalled = now();
    let each = |from: u64, to: u64, number: usize| to.saturating_sub(from) as f64 / number as f64;
    let (idle_kb, stalled_kb) = (
        each(begin, with_idle, idle.len()),
        each(with_idle, with_stalled, stalled.len()),
    );
    print_line!("memory a connection, of 300: idle {idle_kb:.1} KB, stalled halfway through its body {stalled_kb:.1} KB");
    if stalled_kb > 32.0 {
        short.push(format!(
            "a stalled connection holds {stalled_kb:.0} KB, the goal is 32"
        ));
    }
    Ok(())
}

/// Seeds of the mixed load, played at the same time.
const MIXED: u64 = 4;
/// Shares in time by the two fronts may lie so far apart, and so many standard errors of their difference beside that.
const APART: f64 = 0.08;
const ERRORS: f64 = 3.0;

/// The mixed load: both fronts at 110% of the capacity, with a launch surge.
pub fn mixed_trial(seed: u64) -> Trial {
    let site = Setup {
        seed,
        ..Setup::default()
    };
    let half = site.capacity() / 2.0;
    let rates = vec![
        (2 * SECOND, 0.9 * half),
        (4 * SECOND, 1.6 * half),
        (9 * SECOND, 1.1 * half),
    ];
    let load = |front, connections| Load {
        protocol: front,
        rates: rates.clone(),
        connections,
        body_bytes: 200,
        key_field: None,
    };
    let loads = vec![load(Protocol::Frames, 8), load(Protocol::Ajp, 300)];
    Trial {
        site,
        loads,
        ajp_options: String::new(),
        operator_sections: String::new(),
        terminate_at: None,
    }
}

fn mixed(program: &Path, short: &mut Vec<String>) -> std::io::Result<()> {
    let seeds = 7..7 + MIXED;
    print_line!("mixed load, {MIXED} seeds: half by frames and half by AJP, 90% of capacity, 160% for 2 s, then 110%:");
    let program: PathBuf = program.to_owned();
    let reports = std::thread::scope(|scope| {
        let play = |seed| {
            let program = &program;
            scope.spawn(move || mixed_trial(seed).run(program, |_, _| ()))
        };
        let playing: Vec<_> = seeds.map(play).collect();
        let ended = |one: std::thread::ScopedJoinHandle<'_, std::io::Result<Report>>| {
            one.join()
                .map_err(|_| std::io::Error::other("a trial has ended early"))?
        };
        playing
            .into_iter()
            .map(ended)
            .collect::<std::io::Result<Vec<_>>>()
    })?;
    let mut reports = reports.into_iter();
    let mut report = reports.next().unwrap_or_default();
    reports.for_each(|other| report.add(other));
    print!("{report}");
    judge_mixed(&report, short);
    Ok(())
}

/// What a mixed load falls short of.
fn judge_mixed(report: &Report, short: &mut Vec<String>) {
    short.extend(
        report
            .violations
            .iter()
            .map(|broken| format!("a rule under the mixed load: {broken}")),
    );
    for (class, frames, ajp) in report.on_time_shares() {
        print_line!(
            "  {class:<12} in time: frames {:5.1}%, AJP {:5.1}%",
            frames * 100.0,
            ajp * 100.0
        );
        let asked = |front: Protocol| {
            let of =
                |(other, name, _): &&(Protocol, String, Tally)| *other == front && *name == class;
            report
                .tallies
                .iter()
                .find(of)
                .map_or(1, |(.., tally)| tally.issued.max(1)) as f64
        };
        let (one, other) = (asked(Protocol::Frames), asked(Protocol::Ajp));
        let share = (frames * one + ajp * other) / (one + other);
        let error = (share * (1.0 - share) * (1.0 / one + 1.0 / other)).sqrt();
        // So few requests differ by chance: what counts is what chance does not explain.
        if (frames - ajp).abs() > APART + ERRORS * error {
            short.push(format!(
                    "{class}: {:.1}% by frames and {:.1}% by AJP, more than {:.0} points and {ERRORS} standard errors of {:.1} apart",
                    frames * 100.0,
                    ajp * 100.0,
                    APART * 100.0,
                    error * 100.0
                ));
        }
    }
    for front in [Protocol::Frames, Protocol::Ajp] {
        let total = report.total(front);
        let refused = total.rejected_with_retry_after + total.rejected_without_retry_after;
        let early = total.rejected_early as f64 / refused.max(1) as f64;
        print_line!(
            "  refused by {front}: {refused}, {:.0}% of them within a tenth of the wanted time",
            early * 100.0
        );
        if total.rejected_without_retry_after > 0 {
            short.push(format!(
                "{} refusals by {front} without a time to come back",
                total.rejected_without_retry_after
            ));
        }
    }
}
