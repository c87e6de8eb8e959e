//! `cleatpulley ajp`: asks a server by hand.

use clap::{Args, Subcommand};
use cleatpulley::protocol::ajp::client::{Client, ExecutionState, Options, Request, Response};
use cleatpulley::protocol::ajp::codec::PACKET_SIZE;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Statuses for scripts, beside 0 for an answer 200 or a pong.
const ANSWERED_OTHERWISE: u8 = 3;
const NEVER_RAN: u8 = 4;
const MAY_HAVE_RUN: u8 = 5;

/// What is asked.
#[derive(Subcommand)]
pub enum AjpCommand {
    /// Send a CPING and wait for the pong
    Ping(Server),
    /// Send one request and print the answer; ends with 0 for status 200, 3 for another, 4 where it is known that
    /// the request never ran, 5 where it may have run
    Request(RequestArgs),
}

/// The server.
#[derive(Args)]
pub struct Server {
    /// Address and port, such as 127.0.0.1:8009
    to: SocketAddr,
    /// The secret that the server asks for
    #[arg(long)]
    secret: Option<String>,
    /// Longest wait in milliseconds
    #[arg(long, default_value_t = 10_000)]
    wait_ms: u64,
}

/// A request.
#[derive(Args)]
pub struct RequestArgs {
    #[command(flatten)]
    server: Server,
    /// The path, such as /find-race
    path: String,
    /// The method
    #[arg(long, default_value = "POST")]
    method: String,
    /// A header, as NAME:VALUE; may be given again
    #[arg(long = "header", short = 'H', value_name = "NAME:VALUE")]
    headers: Vec<String>,
    /// The body
    #[arg(long, default_value = "")]
    body: String,
}

/// Carries it out; the exit code tells scripts how it went.
///
/// # Errors
/// Where nothing could be sent or read, with the reason.
pub fn run(ask: AjpCommand) -> Result<ExitCode, String> {
    match ask {
        AjpCommand::Ping(server) => ping(&server),
        AjpCommand::Request(args) => request(&args),
    }
}

struct Line {
    stream: TcpStream,
    client: Client,
    until: Instant,
}

impl Line {
    fn open(server: &Server) -> Result<Self, String> {
        let wait = Duration::from_millis(server.wait_ms.max(1));
        let stream = TcpStream::connect_timeout(&server.to, wait)
            .map_err(|e| format!("{}: {e}", server.to))?;
        let options = Options {
            packet_size: PACKET_SIZE,
            secret: server.secret.clone(),
            server: (server.to.ip().to_string(), server.to.port()),
        };
        Ok(Self {
            stream,
            client: Client::new(options, 0),
            until: Instant::now() + wait,
        })
    }

    fn read(&mut self, input: &mut Vec<u8>) -> Result<(), String> {
        let left = self
            .until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        self.stream
            .set_read_timeout(Some(left))
            .map_err(|e| e.to_string())?;
        let mut buffer = [0; 8_192];
        match self.stream.read(&mut buffer) {
            Ok(0) => Err("the server closed the connection".to_owned()),
            Ok(n) => {
                input.extend_from_slice(&buffer[..n]);
                let mut more = Vec::new();
                let used = self
                    .client
                    .receive(0, input, &mut more)
                    .map_err(|e| format!("the answer: {e}"))?;
                input.drain(..used);
                self.stream.write_all(&more).map_err(|e| e.to_string())
            }
            Err(e) if Instant::now() >= self.until => Err(format!("no answer in time: {e}")),
            Err(e) => Err(e.to_string()),
        }
    }
}

fn ping(server: &Server) -> Result<ExitCode, String> {
    let mut line = Line::open(server)?;
    let begun = Instant::now();
    let mut out = Vec::new();
    line.client.ping(&mut out);
    line.stream.write_all(&out).map_err(|e| e.to_string())?;
    let mut input = Vec::new();
    while !line.client.take_pong() {
        line.read(&mut input)?;
    }
    print_line!(
        "pong from {} in {} us",
        server.to,
        begun.elapsed().as_micros()
    );
    Ok(ExitCode::SUCCESS)
}

fn request(args: &RequestArgs) -> Result<ExitCode, String> {
    let mut headers = Vec::new();
    for header in &args.headers {
        let parts = header
            .split_once(':')
            .ok_or_else(|| format!("--header {header:?} is not NAME:VALUE"))?;
        headers.push((parts.0.trim(), parts.1.trim()));
    }
    let mut line = match Line::open(&args.server) {
        Ok(line) => line,
        Err(fault) => {
            eprintln!("cleatpulley: {fault}: it never ran");
            return Ok(ExitCode::from(NEVER_RAN));
        }
    };
    let request = Request {
        method: &args.method,
        uri: &args.path,
        headers: &headers,
        body: args.body.as_bytes(),
    };
    let mut out = Vec::new();
    line.client
        .request(0, &request, &mut out)
        .map_err(|e| format!("the request: {e}"))?;
    let mut input = Vec::new();
    let mut sent = line.stream.write_all(&out).map_err(|e| e.to_string());
    let response = loop {
        if let Some(response) = line.client.take_response() {
            break response;
        }
        if let Err(fault) = sent.and_then(|()| line.read(&mut input)) {
            let (word, code) = match line.client.execution_state(0) {
                ExecutionState::NeverRan => ("it never ran", NEVER_RAN),
                ExecutionState::MayHaveRun => ("it may have run", MAY_HAVE_RUN),
            };
            eprintln!("cleatpulley: {fault}: {word}");
            return Ok(ExitCode::from(code));
        }
        sent = Ok(());
    };
    show(&response);
    Ok(match response.status {
        200 => ExitCode::SUCCESS,
        _ if response.not_run() => ExitCode::from(NEVER_RAN),
        _ => ExitCode::from(ANSWERED_OTHERWISE),
    })
}

fn show(response: &Response) {
    print_line!("{}", response.status);
    for (name, value) in &response.headers {
        print_line!("{name}: {value}");
    }
    print_line!("\n{}", String::from_utf8_lossy(&response.body));
}
