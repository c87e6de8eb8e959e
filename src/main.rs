//! The command line of the matcher.

#![forbid(unsafe_code)]

/// As `println`, but a reader that goes away, such as `head`, ends the program quietly.
macro_rules! say {
    () => {
        say!("")
    };
    ($($what:tt)*) => {
        crate::line(format_args!($($what)*))
    };
}

mod commands;

use clap::{Args, Parser, Subcommand, ValueEnum};
use cleatpulley::config::{Config, Sources};
use cleatpulley::operator::{cluster, Operator};
use cleatpulley::server::gossip;
use cleatpulley::server::os_host::{serve_with, BlockedSignals, HostOptions, OsHost, Service};
use cleatpulley::server::status_report::FleetLink;
use cleatpulley::server::{Options, Server};
use cleatpulley_gateway::Gateway;
use cleatpulley_membership::Role;
use std::io::Write;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// A matcher that serves front ends within what its cores and its store can do.
#[derive(Parser)]
#[command(name = "cleatpulley", version, arg_required_else_help = true)]
struct Cli {
    /// How the log is written to standard error; RUST_LOG sets its level (error, warn, info, debug, trace)
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogForm,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    /// A line of text for each event
    Text,
    /// A JSON object for each event
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM or SIGINT, then answer what is open and leave; SIGHUP reads the addresses of the
    /// runtime, the store and the directory again
    Serve(Serve),
    /// Read and check the configuration and the operator file, and say what they come to
    CheckConfig(Sourced),
    /// Play the main job against stand-ins on loopback and show what was served; needs nothing else
    Demo,
    /// Stand in for runtime, store and directory, and write the configuration of a matcher that goes with them
    #[command(alias = "standin")]
    Emulators(commands::emulators::EmulatorsArgs),
    /// Ask an AJP server by hand
    #[command(subcommand)]
    Ajp(commands::ajp::Ask),
    /// Look at or mend an embedded store
    #[command(subcommand, alias = "keep")]
    LogStore(commands::log_store::LogStore),
    /// Make an authority and certificates for a fleet on one host, and say what a client would refuse in one
    #[command(subcommand)]
    Certs(commands::certs::Certs),
    /// Look at the kept results of keyed requests, or move them
    #[command(subcommand, alias = "results")]
    Idempotency(commands::idempotency::Idempotency),
    /// Be a gateway before a fleet of matchers, by the gateway section of an operator file, until SIGTERM or SIGINT;
    /// SIGHUP reads the routes and where targets are again
    Route {
        /// The operator file
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// Read and check it, and say what it comes to
        #[arg(long)]
        check: bool,
    },
    /// Read nginx's upstream and location blocks as routing, compare them, and check expectations
    #[command(subcommand)]
    Routes(commands::routes::Routes),
    /// Play whole matchers on a virtual clock with faults from seeds, and check the rules after each step
    #[command(subcommand, alias = "seeds")]
    Simulator(commands::simulator::Simulator),
    /// Put a new process in the place of one that serves, and show each step; ends with 1 where the old one serves on
    Upgrade(commands::upgrade::Upgrade),
    /// Start, drain and replace many instances on one host
    #[command(subcommand)]
    Fleet(commands::fleet::FleetCommand),
    /// Measure a part of the program beside what it is compared with; the last line says ok or what falls short
    #[command(subcommand)]
    Check(commands::bench::Check),
    /// Print the version
    Version,
}

#[derive(Args)]
struct Serve {
    #[command(flatten)]
    sourced: Sourced,
    /// Where the daemon of a fleet listens for how its instances are
    #[arg(long, value_name = "SOCKET", requires = "fleet_instance")]
    fleet_socket: Option<PathBuf>,
    /// The instance's number and token in its fleet, as NUMBER:TOKEN
    #[arg(long, requires = "fleet_socket", value_parser = instance)]
    fleet_instance: Option<(u64, String)>,
    /// The private folder in which it meets the process whose place it takes, and the one that takes its own
    #[arg(long, value_name = "FOLDER", env = "TMPDIR")]
    upgrade_folder: Option<PathBuf>,
    /// Standard input is the listening socket for frames, shared with other processes
    #[arg(long)]
    inherit_listener: bool,
}

/// The listening socket that standard input is.
fn inherited() -> Result<TcpListener, String> {
    let socket = std::io::stdin()
        .as_fd()
        .try_clone_to_owned()
        .map(TcpListener::from);
    let socket = socket.map_err(|e| format!("--inherit-listener: standard input: {e}"))?;
    match socket.local_addr() {
        Ok(_) => Ok(socket),
        Err(e) => Err(format!(
            "--inherit-listener: standard input is no listening socket: {e}"
        )),
    }
}

fn instance(text: &str) -> Result<(u64, String), String> {
    let parts = text
        .split_once(':')
        .and_then(|(number, token)| Some((number.parse().ok()?, token.to_owned())));
    parts.ok_or_else(|| "not a number, a colon and a token".to_owned())
}

/// Each option comes before its variable, and that before the file.
#[derive(Args)]
struct Sourced {
    /// The configuration, as JSON [env: GW_CONFIG]
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The matcher's name [env: GW_NAME]
    #[arg(long)]
    name: Option<String>,
    /// Where front ends connect [env: GW_LISTEN]
    #[arg(long, value_name = "ADDR")]
    listen: Option<String>,
    /// Where operators ask how the process is: GET /_ready and /_vars [env: GW_MGMT]
    #[arg(long, value_name = "ADDR")]
    mgmt: Option<String>,
    /// The operator file, a Jsonnet template; without one nothing beyond the platform's protocol is on
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl Sourced {
    /// The same as arguments of another process; what the environment says it hears by itself.
    fn args(&self) -> Vec<std::ffi::OsString> {
        let mut args: Vec<std::ffi::OsString> = Vec::new();
        let mut push = |name: &str, value: std::ffi::OsString| args.extend([name.into(), value]);
        if let Some(file) = &self.config {
            push("--config", file.into());
        }
        if let Some(file) = &self.operator {
            push("--operator", file.into());
        }
        for (name, value) in [
            ("--name", &self.name),
            ("--listen", &self.listen),
            ("--mgmt", &self.mgmt),
        ] {
            if let Some(value) = value {
                push(name, value.into());
            }
        }
        args
    }

    fn load(self) -> Result<(Config, Operator, Sources), String> {
        let sources = Sources {
            file: self.config,
            name: self.name,
            listen: self.listen,
            mgmt: self.mgmt,
        };
        let sources = sources.or_environment(|key| std::env::var(key).ok());
        let config = Config::load(&sources)?;
        let operator = match &self.operator {
            Some(file) => Operator::load(file, &config).map_err(|e| e.to_string())?,
            None => {
                let operator = Operator::default();
                operator.covers(&config)?;
                operator
            }
        };
        Ok((config, operator, sources))
    }
}

/// The signals that a process which serves hears, held back while it reads its configuration.
fn hold_signals() -> Result<Option<BlockedSignals>, String> {
    BlockedSignals::block()
        .map(Some)
        .map_err(|e| format!("signals: {e}"))
}

/// A matcher's section on the other processes, where its operator file has one.
fn cluster_of(file: Option<&Path>, name: &str) -> Result<Option<gossip::Options>, String> {
    let load = |file| cluster::load(file, Role::Server, name).map_err(|e| e.to_string());
    file.map(load).transpose().map(Option::flatten)
}

/// Lets what is served hear of the other processes, where that is set.
fn accompany(
    world: OsHost,
    served: Box<dyn Service>,
    cluster: Option<gossip::Options>,
) -> std::io::Result<Box<dyn Service>> {
    let Some(options) = cluster else {
        return Ok(served);
    };
    let gossip = gossip::Gossip::new(world, options)
        .map_err(|e| std::io::Error::new(e.kind(), format!("cluster: {e}")))?;
    Ok(Box::new(gossip::ServiceWithGossip::new(served, gossip)))
}

fn line(what: std::fmt::Arguments<'_>) {
    match writeln!(std::io::stdout(), "{what}") {
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => std::process::exit(0),
        // Whoever takes this for the whole has to hear that it is not.
        Err(e) => {
            eprintln!("cleatpulley: standard output: {e}");
            std::process::exit(1);
        }
        Ok(()) => {}
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // Simulated matchers would log as if they were real.
    let quiet = matches!(
        cli.command,
        Command::Simulator(_)
            | Command::Check(
                commands::bench::Check::Simulator
                    | commands::bench::Check::Service
                    | commands::bench::Check::ConnectionAdmission
            )
    );
    log_to_standard_error(cli.log, quiet);
    match run(cli.command) {
        Ok(code) => code,
        Err(fault) => {
            eprintln!("cleatpulley: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn log_to_standard_error(form: LogForm, quiet: bool) {
    let level = std::env::var("RUST_LOG")
        .ok()
        .and_then(|text| text.parse::<Targets>().ok());
    let usual = if quiet {
        Targets::new()
    } else {
        Targets::new().with_default(tracing::Level::INFO)
    };
    let level = level.unwrap_or(usual);
    let registry = tracing_subscriber::registry().with(level);
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    match form {
        LogForm::Text => registry.with(layer.with_ansi(false)).init(),
        LogForm::Json => registry.with(layer.json()).init(),
    }
}

fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Ajp(ask) => return commands::ajp::run(ask),
        Command::Check(check) => return commands::bench::run(&check),
        Command::Upgrade(upgrade) => return commands::upgrade::run(upgrade),
        Command::Fleet(fleet) => return commands::fleet::run(&fleet),
        Command::LogStore(command) => return commands::log_store::run(&command),
        Command::Certs(certs) => return commands::certs::run(&certs),
        Command::Simulator(command) => return commands::simulator::run(&command),
        Command::Routes(routes) => return commands::routes::run(&routes),
        Command::Idempotency(command) => return commands::idempotency::run(&command),
        Command::Demo => commands::demo::run()?,
        Command::Emulators(args) => commands::emulators::run(&args)?,
        Command::Route { operator, check } => {
            let signals = if check { None } else { hold_signals()? };
            let options =
                cleatpulley::operator::gateway::load(&operator).map_err(|e| e.to_string())?;
            let cluster = cluster::load(&operator, Role::Gateway, &options.name)
                .map_err(|e| e.to_string())?;
            if check {
                options
                    .settings
                    .routes
                    .to_lines()
                    .iter()
                    .for_each(|line| say!("{line}"));
                say!("{}", cluster::show(cluster.as_ref()));
                return Ok(ExitCode::SUCCESS);
            }
            let reload =
                move || cleatpulley::operator::gateway::load(&operator).map_err(|e| e.to_string());
            let gateway = |world| Gateway::new(world, options, Box::new(reload));
            serve_with(
                HostOptions {
                    signals,
                    ..HostOptions::default()
                },
                |world| {
                    let gateway = Box::new(gateway(world.clone())?);
                    accompany(world, gateway, cluster)
                },
            )
            .map_err(|e| e.to_string())?;
        }
        Command::Serve(serve) => {
            let signals = hold_signals()?;
            let file = serve.sourced.operator.clone();
            let (config, operator, sources) = serve.sourced.load()?;
            let cluster = cluster_of(file.as_deref(), &config.name)?;
            let link = serve.fleet_socket.zip(serve.fleet_instance);
            let link = link.map(|(socket, (incarnation, token))| FleetLink {
                socket,
                incarnation,
                token,
            });
            let reload = move || {
                let config = Config::load(&sources)?;
                Ok(config.parties())
            };
            let listener = serve.inherit_listener.then(inherited).transpose()?;
            let hosted = link.is_some() || listener.is_some();
            // A fleet's daemon hands its instances over by itself.
            let meets_in = serve.upgrade_folder.filter(|_| !hosted);
            let shares_addresses = meets_in.is_some();
            let options = Options {
                shares_listener: listener.is_some(),
                handover_folder: meets_in,
                ..config.options(operator, &std::env::temp_dir())
            };
            let hosted = HostOptions {
                signals,
                fleet_link: link,
                inherited_listener: listener,
                shares_addresses,
            };
            serve_with(hosted, |world| {
                let node = Box::new(Server::new(world.clone(), options, Box::new(reload))?);
                accompany(world, node, cluster)
            })
            .map_err(|e| e.to_string())?;
        }
        Command::CheckConfig(sourced) => {
            let file = sourced.operator.clone();
            let (config, operator, _) = sourced.load()?;
            let cluster = cluster_of(file.as_deref(), &config.name)?;
            say!(
                "{}: listens on {}, runtime {}, store {}, directory {}; {} classes ({}), {} cores, {} sockets",
                config.name,
                config.listen,
                config.runtime,
                config.store,
                config.lookup,
                config.class_names.len(),
                config.class_names.join(", "),
                config.settings.cores,
                config.sockets,
            );
            say!("{operator}");
            if let Some(line) = config
                .shows_results(&std::env::temp_dir())
                .filter(|_| operator.results.is_none())
            {
                say!("{line}");
            }
            say!("{}", cluster::show(cluster.as_ref()));
        }
        Command::Version => {
            say!("cleatpulley {}", env!("CARGO_PKG_VERSION"));
        }
    }
    Ok(ExitCode::SUCCESS)
}
