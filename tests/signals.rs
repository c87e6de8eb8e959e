//! Signals and kills during the start of a process. The process reads its configuration from a pipe,
//! so that the test can keep it waiting there until the signal is sent.

use cleatpulley_emulators::site::{Setup, Site};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use tempfile::TempDir;

fn run(program: &str, args: &[&str]) {
    assert!(
        Command::new(program)
            .args(args)
            .status()
            .expect("run the command")
            .success(),
        "{program} {args:?}"
    );
}

fn send_signal(child: &Child, name: &str) {
    run("kill", &["-s", name, &child.id().to_string()]);
}

fn serve(config: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_cleatpulley"))
        .args(["serve", "--config"])
        .arg(config)
        .env_remove("TMPDIR")
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the program")
}

/// Waits for the exit of a process, and returns the rest of its log and its exit status.
fn wait_for_exit(child: &mut Child, log: impl BufRead) -> (String, ExitStatus) {
    let lines: Vec<_> = log.lines().map_while(Result::ok).collect();
    (lines.join("\n"), child.wait().expect("wait for the exit"))
}

/// Reads the log up to the next line that contains this text, and returns that line.
fn wait_for_log_line(child: &mut Child, log: &mut impl BufRead, text: &str) -> String {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert!(
            log.read_line(&mut line).expect("read the log") > 0,
            "the process exited: {:?}",
            child.wait()
        );
    }
    line
}

/// Starts a process and sends it a signal while it reads its configuration from a pipe. Returns the
/// process and its log. A regular file replaces the pipe for later reloads.
fn start_and_signal(name: &str) -> (Child, BufReader<ChildStderr>, Site, TempDir) {
    let site = Site::start(Setup::default()).expect("start the emulated services");
    let folder = tempfile::tempdir().expect("create a folder");
    let (pipe, file) = (
        folder.path().join("config.json"),
        folder.path().join("next.json"),
    );
    run("mkfifo", &[pipe.to_str().expect("the path is UTF-8")]);
    let mut child = serve(&pipe);
    // Blocks until the program opens the pipe for reading.
    let mut writer = File::options()
        .write(true)
        .open(&pipe)
        .expect("open the pipe");
    send_signal(&child, name);
    std::fs::write(&file, site.config.to_string()).expect("write the configuration");
    std::fs::rename(&file, &pipe).expect("replace the pipe");
    writer
        .write_all(site.config.to_string().as_bytes())
        .expect("write to the pipe");
    drop(writer);
    let log = BufReader::new(child.stderr.take().expect("standard error is a pipe"));
    (child, log, site, folder)
}

/// Without a handler, SIGHUP would terminate the process.
#[test]
fn sighup_while_the_configuration_is_read_reloads_it_later() {
    let (mut child, mut log, _site, _folder) = start_and_signal("HUP");
    wait_for_log_line(&mut child, &mut log, "configuration read again");
    send_signal(&child, "TERM");
    let (text, status) = wait_for_exit(&mut child, log);
    assert_eq!(status.code(), Some(0), "{text}");
}

#[test]
fn sigterm_while_the_configuration_is_read_shuts_down_gracefully() {
    let (mut child, log, _site, _folder) = start_and_signal("TERM");
    let (text, status) = wait_for_exit(&mut child, log);
    assert_eq!(status.code(), Some(0), "{text}");
    assert!(
        text.contains("leaving within") && text.contains("left"),
        "{text}"
    );
}

/// A process that is killed as soon as it listens, with a connection open, does not block the address
/// for the next process.
#[test]
fn next_process_can_listen_on_the_address_of_a_killed_one() {
    let site = Site::start(Setup::default()).expect("start the emulated services");
    let folder = tempfile::tempdir().expect("create a folder");
    let file = folder.path().join("config.json");
    // The port is chosen by the system, and free again once the listener is dropped.
    let address = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("find a free port");
    let mut config = site.config.clone();
    config["listen"] = address.to_string().into();
    std::fs::write(&file, config.to_string()).expect("write the configuration");
    let mut streams = Vec::new();
    for _ in 0..3 {
        let mut child = serve(&file);
        let mut log = BufReader::new(child.stderr.take().expect("standard error is a pipe"));
        let line = wait_for_log_line(&mut child, &mut log, "listens on");
        let logged_address: SocketAddr = line
            .trim()
            .rsplit(' ')
            .next()
            .expect("the line has words")
            .parse()
            .expect("the last word is an address");
        assert_eq!(logged_address, address);
        streams.push(TcpStream::connect(address).expect("connect to the process"));
        child.kill().expect("kill the process");
        child.wait().expect("wait for the exit");
    }
}
