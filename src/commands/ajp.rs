//! `cleatpulley ajp`: sends a ping or a single request to an AJP server.

use clap::{Args, Subcommand};
use cleatpulley::protocol::ajp::client::{Client, ExecutionState, Options, Request, Response};
use cleatpulley::protocol::ajp::codec::PACKET_SIZE;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Exit statuses for scripts. Status 0 stands for a response 200 or a pong.
const EXIT_OTHER_RESPONSE: u8 = 3;
const EXIT_NEVER_RAN: u8 = 4;
const EXIT_MAY_HAVE_RUN: u8 = 5;

/// Subcommands of `cleatpulley ajp`.
#[derive(Subcommand)]
pub enum AjpCommand {
    /// Send a CPING and wait for the pong
    Ping(ServerArgs),
    /// Send one request and print the response; exits with 0 for status 200, 3 for another status, 4 if the request
    /// certainly never ran, 5 if it may have run
    Request(RequestArgs),
}

/// Arguments that select the server.
#[derive(Args)]
pub struct ServerArgs {
    /// Address and port of the server, such as 127.0.0.1:8009
    to: SocketAddr,
    /// The secret that the server requires
    #[arg(long)]
    secret: Option<String>,
    /// Timeout in milliseconds
    #[arg(long, default_value_t = 10_000)]
    wait_ms: u64,
}

/// Arguments of a request.
#[derive(Args)]
pub struct RequestArgs {
    #[command(flatten)]
    server: ServerArgs,
    /// The path, such as /find-race
    path: String,
    /// The method
    #[arg(long, default_value = "POST")]
    method: String,
    /// A header, as NAME:VALUE; may be given several times
    #[arg(long = "header", short = 'H', value_name = "NAME:VALUE")]
    headers: Vec<String>,
    /// The body
    #[arg(long, default_value = "")]
    body: String,
}

/// Runs a subcommand and returns the exit status for scripts.
///
/// # Errors
/// The arguments are invalid, or a ping could not be sent or got no pong; the error has the reason.
pub fn run(ask: AjpCommand) -> Result<ExitCode, String> {
    match ask {
        AjpCommand::Ping(server) => ping(&server),
        AjpCommand::Request(args) => request(&args),
    }
}

struct AjpConnection {
    stream: TcpStream,
    client: Client,
    deadline: Instant,
}

impl AjpConnection {
    fn open(server: &ServerArgs) -> Result<Self, String> {
        let timeout = Duration::from_millis(server.wait_ms.max(1));
        let stream = TcpStream::connect_timeout(&server.to, timeout)
            .map_err(|e| format!("{}: {e}", server.to))?;
        let options = Options {
            packet_size: PACKET_SIZE,
            secret: server.secret.clone(),
            server: (server.to.ip().to_string(), server.to.port()),
        };
        Ok(Self {
            stream,
            client: Client::new(options, 0),
            deadline: Instant::now() + timeout,
        })
    }

    /// Reads available bytes and passes them to the client; `input` keeps an incomplete packet.
    fn read(&mut self, input: &mut Vec<u8>) -> Result<(), String> {
        let remaining = self
            .deadline
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        self.stream
            .set_read_timeout(Some(remaining))
            .map_err(|e| e.to_string())?;
        let mut buffer = [0; 8_192];
        match self.stream.read(&mut buffer) {
            Ok(0) => Err("the server closed the connection".to_owned()),
            Ok(n) => {
                input.extend_from_slice(&buffer[..n]);
                let mut output = Vec::new();
                let consumed = self
                    .client
                    .receive(0, input, &mut output)
                    .map_err(|e| format!("invalid response: {e}"))?;
                input.drain(..consumed);
                self.stream.write_all(&output).map_err(|e| e.to_string())
            }
            Err(e) if Instant::now() >= self.deadline => Err(format!("response timed out: {e}")),
            Err(e) => Err(e.to_string()),
        }
    }
}

fn ping(server: &ServerArgs) -> Result<ExitCode, String> {
    let mut connection = AjpConnection::open(server)?;
    let sent_at = Instant::now();
    let mut output = Vec::new();
    connection.client.ping(&mut output);
    connection
        .stream
        .write_all(&output)
        .map_err(|e| e.to_string())?;
    let mut input = Vec::new();
    while !connection.client.take_pong() {
        connection.read(&mut input)?;
    }
    print_line!(
        "pong from {} in {} us",
        server.to,
        sent_at.elapsed().as_micros()
    );
    Ok(ExitCode::SUCCESS)
}

fn request(args: &RequestArgs) -> Result<ExitCode, String> {
    let mut headers = Vec::new();
    for header in &args.headers {
        let name_and_value = header
            .split_once(':')
            .ok_or_else(|| format!("--header {header:?} is not NAME:VALUE"))?;
        headers.push((name_and_value.0.trim(), name_and_value.1.trim()));
    }
    let mut connection = match AjpConnection::open(&args.server) {
        Ok(connection) => connection,
        Err(error) => {
            eprintln!("cleatpulley: {error}: the request never ran");
            return Ok(ExitCode::from(EXIT_NEVER_RAN));
        }
    };
    let request = Request {
        method: &args.method,
        uri: &args.path,
        headers: &headers,
        body: args.body.as_bytes(),
    };
    let mut output = Vec::new();
    connection
        .client
        .request(0, &request, &mut output)
        .map_err(|e| format!("invalid request: {e}"))?;
    let mut input = Vec::new();
    let mut sent = connection
        .stream
        .write_all(&output)
        .map_err(|e| e.to_string());
    let response = loop {
        if let Some(response) = connection.client.take_response() {
            break response;
        }
        if let Err(error) = sent.and_then(|()| connection.read(&mut input)) {
            let (state, exit_status) = match connection.client.execution_state(0) {
                ExecutionState::NeverRan => ("the request never ran", EXIT_NEVER_RAN),
                ExecutionState::MayHaveRun => ("the request may have run", EXIT_MAY_HAVE_RUN),
            };
            eprintln!("cleatpulley: {error}: {state}");
            return Ok(ExitCode::from(exit_status));
        }
        sent = Ok(());
    };
    print_response(&response);
    Ok(match response.status {
        200 => ExitCode::SUCCESS,
        _ if response.not_run() => ExitCode::from(EXIT_NEVER_RAN),
        _ => ExitCode::from(EXIT_OTHER_RESPONSE),
    })
}

fn print_response(response: &Response) {
    print_line!("{}", response.status);
    for (name, value) in &response.headers {
        print_line!("{name}: {value}");
    }
    print_line!("\n{}", String::from_utf8_lossy(&response.body));
}
