//! Case 3: `cleatpulley upgrade` where the address for operators speaks TLS, under load.

#[path = "../support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::front_end::{Answer, Connection, Request};
use support::process::{adopt, forget, Matcher, Process};
use support::runtime::Runtime;
use support::{free_address, http, run_case, wait_until, Case, CaseError, Record, Verdict};

/// `give_up` of the class, with the slack of the settings and that of the protocol page.
const DUE: Duration = Duration::from_millis(3_900 + 60 + 50);
const WORK: Duration = Duration::from_millis(180);
/// Time between two requests.
const PACE: Duration = Duration::from_millis(50);
const LOAD_TIME: Duration = Duration::from_secs(14);

const SETTINGS: &str = r#"{"classes":[
  {"effect":"idempotent","give_up":6500000,"late_value":0.0,"name":"find-race","on_time":2600000,"value":1.0},
  {"effect":"at_most_once","give_up":3900000,"late_value":0.0,"name":"claim-seat","on_time":1300000,"value":4.0}],
 "clients":{"marks_retry":false},"limits":{"max_retry_after":1000000,"retry_after":true},
 "rules":{"answer_slack":60000,"cold_from":0.21,"drain_grace":2500000,"fall":2000000,"fall_multiple":6.0,"ramp_time":17000000},
 "servers":1,
 "specifics":{"advert":"allowance","below":"one_for_all","callers":3,"calls_out":20.0,"calls_over":5000000,
  "class_calls":[true,true],"class_skip_worth":[0.6,0.0],"cores":6,"entry_kb":10.0,"fresh":0,"halt":"silent",
  "heeded":1000000,"idle":30000000,"linger":200000,"memory_kb":17862.0,
  "own_stats":["cpu_busy","runnable","mem_used","sockets"],"run_factor":4.0},
 "tick":2000,"worth_by":"work"}"#;

/// What became of a request that was written whole.
struct Fate {
    number: u64,
    answer: Option<Answer>,
    took: Duration,
    text: String,
}

fn request(number: u64) -> Request {
    Request {
        class: "claim-seat".to_owned(),
        txn: format!("{number:016x}"),
        front_end: 1 + number % 3,
        body: format!("seat {number}"),
        fields: Vec::new(),
    }
}

/// Sends a request on a connection of its own; `None` if the connection was refused, which proves that nothing ran.
fn ask(address: SocketAddr, number: u64, record: &Record) -> Option<Fate> {
    let mut connection = match Connection::open(address) {
        Ok(connection) => connection,
        Err(error) => {
            record.line(&format!("seat {number}: no connection: {error}"));
            return None;
        }
    };
    let sent_at = Instant::now();
    let stream = match connection.send(&request(number)) {
        Ok(stream) => stream,
        Err(error) => {
            record.line(&format!("seat {number}: not written whole: {error}"));
            return None;
        }
    };
    let answer = connection.await_answer(stream, DUE + Duration::from_secs(1));
    let took = sent_at.elapsed();
    let text = match &answer {
        Some(answer) => answer.describe(),
        None if connection.is_closed => "no answer, the connection has ended".to_owned(),
        None => "no answer in time".to_owned(),
    };
    record.line(&format!(
        "seat {number}: sent, and after {} ms {text}",
        took.as_millis()
    ));
    Some(Fate {
        number,
        answer,
        took,
        text,
    })
}

fn write_config(
    case: &Case,
    label: &str,
    addresses: [SocketAddr; 5],
) -> Result<PathBuf, CaseError> {
    let [listen, mgmt, runtime, store, directory] = addresses;
    let text = format!(
        r#"{{"name":"n1","listen":"{listen}","mgmt":"{mgmt}","runtime":"{runtime}","lookup":"{directory}","store":"{store}",
        "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{SETTINGS}}}"#
    );
    let path = case.folder.join(format!("{label}.json"));
    std::fs::write(&path, text)?;
    Ok(path)
}

/// Makes an authority and a certificate, and an operator file with which the address for operators speaks TLS.
fn write_operator_file(case: &Case) -> Result<PathBuf, CaseError> {
    let certs = case.folder.join("certs");
    let program = "target/release/cleatpulley";
    let (init, issue) = (
        format!("exec {program} certs init {}", certs.display()),
        format!(
            "exec {program} certs issue {} n1 --also 127.0.0.1",
            certs.display()
        ),
    );
    for (label, command) in [("certs-init", init), ("certs-issue", issue)] {
        let status = Process::start(case, label, &command, &[])?.wait(Duration::from_secs(10));
        if !status.is_some_and(|status| status.success()) {
            return Err(format!("{label} failed").into());
        }
    }
    let operator = case.folder.join("operator.jsonnet");
    std::fs::write(
        &operator,
        "{ tls: { certificate: 'certs/n1.pem', key: 'certs/n1.key', on: ['mgmt'] } }\n",
    )?;
    Ok(operator)
}

/// Returns the id of the process that an upgrade has started, from its first line.
fn started_process(upgrade: &Process) -> Option<u32> {
    let log = upgrade.read_log();
    let line = log
        .lines()
        .find_map(|line| line.strip_prefix("1. process "))?;
    line.split(' ').next()?.parse().ok()
}

fn play(case: &Case) -> Result<Verdict, CaseError> {
    let runtimes = [
        Runtime::start("runtime of old", WORK, &case.record)?,
        Runtime::start("runtime of new", WORK, &case.record)?,
    ];
    let (store, directory) = (http::start_store()?, http::start_directory()?);
    let operator = write_operator_file(case)?;
    let scratch = case.folder.join("tmpdir");
    std::fs::create_dir(&scratch)?;
    let listen = free_address()?;
    let mgmts = [free_address()?, free_address()?];
    let old_config = write_config(
        case,
        "old",
        [listen, mgmts[0], runtimes[0].address, store, directory],
    )?;
    let new_config = write_config(
        case,
        "new",
        [listen, mgmts[1], runtimes[1].address, store, directory],
    )?;
    let arguments = format!("--operator {}", operator.display());
    let matcher = Matcher {
        label: "old",
        name: "n1",
        config: &old_config,
        listen,
        mgmt: mgmts[0],
        scratch: &scratch,
        arguments: &arguments,
    };
    let old = Process::start_matcher(case, &matcher)?;
    let mut number = 0;
    let is_up = wait_until(Duration::from_secs(30), || {
        number += 1;
        ask(listen, number, &case.record)
            .is_some_and(|fate| fate.answer.is_some_and(|answer| answer.code == 0))
    });
    if !is_up {
        old.quote_log(case, &[""]);
        return Err("the matcher serves nothing after 30 s".into());
    }

    let fates = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    let mut upgrade: Option<Process> = None;
    let started_at = Instant::now();
    while started_at.elapsed() < LOAD_TIME {
        if case.has_trouble && upgrade.is_none() && started_at.elapsed() >= Duration::from_secs(2) {
            let command = format!(
                "exec target/release/cleatpulley upgrade --pid {} --config {} {arguments} --log-file {}",
                old.id(),
                new_config.display(),
                case.folder.join("new.log").display()
            );
            let process = Process::start(
                case,
                "upgrade",
                &command,
                &[("TMPDIR", scratch.display().to_string())],
            )?;
            wait_until(Duration::from_secs(1), || {
                started_process(&process).is_some()
            });
            started_process(&process).into_iter().for_each(adopt);
            upgrade = Some(process);
        }
        number += 1;
        let (fates, record, caller) = (Arc::clone(&fates), Arc::clone(&case.record), number);
        callers.push(std::thread::spawn(move || {
            if let Some(fate) = ask(listen, caller, &record) {
                fates.lock().unwrap().push(fate);
            }
        }));
        std::thread::sleep(PACE);
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller failed")?;
    }
    if let Some(upgrade) = &mut upgrade {
        let status = upgrade.wait(Duration::from_secs(20));
        upgrade.quote_log(case, &[""]);
        case.record.line(&format!(
            "upgrade has ended: {}",
            status.map_or("no".to_owned(), |status| status.to_string())
        ));
        // The new process runs on where the upgrade went well; otherwise the upgrade has ended it.
        if status.is_some_and(|status| !status.success()) {
            started_process(upgrade).into_iter().for_each(forget);
        }
        let new_log = std::fs::read_to_string(case.folder.join("new.log")).unwrap_or_default();
        for line in new_log.lines().filter(|line| line.contains("upgrade:")) {
            case.record.line(&format!("log of new: {line}"));
        }
    }
    old.quote_log(case, &["upgrade:", "leaving"]);

    let fates = fates.lock().unwrap();
    let mut lost = 0;
    for fate in fates
        .iter()
        .filter(|fate| fate.answer.is_none() || fate.took > DUE)
    {
        lost += 1;
        let body = format!("seat {}", fate.number);
        let runs = runtimes
            .iter()
            .flat_map(|runtime| runtime.runs())
            .filter(|run| run.body == body)
            .count();
        case.record.line(&format!(
            "broken: seat {} was written whole: {}; it ran {runs} times",
            fate.number, fate.text
        ));
    }
    case.record.line(&format!(
        "{} requests were written whole, {lost} of them got no answer in their time",
        fates.len()
    ));
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn main() {
    run_case(Duration::from_secs(110), play);
}
