//! The command-line program of the matcher.

#![forbid(unsafe_code)]

/// Prints a line like `println`, but exits with status 0 if the reader, such as `head`, has closed
/// the pipe.
macro_rules! print_line {
    () => {
        print_line!("")
    };
    ($($arguments:tt)*) => {
        crate::write_stdout_line(format_args!($($arguments)*))
    };
}

mod commands;

use clap::{Args, Parser, Subcommand, ValueEnum};
use cleatpulley::config::{Config, ConfigSources};
use cleatpulley::operator::{cluster, OperatorSettings};
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

/// A matcher that serves front ends within the capacity of its cores and of its store
#[derive(Parser)]
#[command(name = "cleatpulley", version, arg_required_else_help = true)]
struct Cli {
    /// Format of the log on standard error; RUST_LOG sets its level (error, warn, info, debug, trace)
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// One line of text per event
    Text,
    /// One JSON object per event
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM or SIGINT, then finish open requests and exit; SIGHUP reloads the addresses of the
    /// runtime, the store and the service registry
    Serve(ServeArgs),
    /// Read and check the configuration and the operator file, and print a summary of both
    CheckConfig(ConfigArgs),
    /// Run a short load test against emulated services on loopback and show the results; needs no setup
    Demo,
    /// Emulate the runtime, the store and the service registry, and write the configuration of a matcher for them
    #[command(alias = "standin")]
    Emulators(commands::emulators::EmulatorsArgs),
    /// Send a ping or a single request to an AJP server
    #[command(subcommand)]
    Ajp(commands::ajp::AjpCommand),
    /// Inspect or repair an embedded store
    #[command(subcommand, alias = "keep")]
    LogStore(commands::log_store::LogStore),
    /// Create a certificate authority and certificates for a fleet on one host, and check if a client accepts one
    #[command(subcommand)]
    Certs(commands::certs::Certs),
    /// Inspect the stored results of keyed requests, or move them to another store
    #[command(subcommand, alias = "results")]
    Idempotency(commands::idempotency::Idempotency),
    /// Run a gateway in front of a fleet of matchers, set up by the gateway section of an operator file, until SIGTERM
    /// or SIGINT; SIGHUP reloads the routes and the addresses of targets
    Route {
        /// The operator file
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// Read and check the operator file, and print the routes
        #[arg(long)]
        check: bool,
    },
    /// Read nginx's upstream and location blocks as routes, compare them, and check expectations
    #[command(subcommand)]
    Routes(commands::routes::RoutesCommand),
    /// Simulate whole matchers on a virtual clock with faults drawn from seeds, and check invariants after each step
    #[command(subcommand, alias = "seeds")]
    Simulator(commands::simulator::Simulator),
    /// Replace a running server by a new process and show each step; exits with 1 if the old one keeps serving
    Upgrade(commands::upgrade::Upgrade),
    /// Start, drain and replace many instances on one host
    #[command(subcommand)]
    Fleet(commands::fleet::FleetCommand),
    /// Benchmark a part of the program against its reference; the last line is ok or the limits that were missed
    #[command(subcommand)]
    Check(commands::bench::Check),
    /// Print the version
    Version,
}

#[derive(Args)]
struct ServeArgs {
    #[command(flatten)]
    config_args: ConfigArgs,
    /// The socket on which the fleet's daemon receives status reports of its instances
    #[arg(long, value_name = "SOCKET", requires = "fleet_instance")]
    fleet_socket: Option<PathBuf>,
    /// The instance's number and token in its fleet, as NUMBER:TOKEN
    #[arg(long, requires = "fleet_socket", value_parser = parse_fleet_instance)]
    fleet_instance: Option<(u64, String)>,
    /// The private folder in which an upgrade connects the old and the new process
    #[arg(long, value_name = "FOLDER", env = "TMPDIR")]
    upgrade_folder: Option<PathBuf>,
    /// Use standard input as the listening socket for frames, shared with other processes
    #[arg(long)]
    inherit_listener: bool,
}

/// Returns standard input as a listening socket.
fn inherited_listener() -> Result<TcpListener, String> {
    let socket = std::io::stdin()
        .as_fd()
        .try_clone_to_owned()
        .map(TcpListener::from);
    let socket = socket.map_err(|e| format!("--inherit-listener: standard input: {e}"))?;
    // Otherwise the socket would stay open, and the system accept connections on it, once the listener is closed.
    std::fs::File::open("/dev/null")
        .and_then(|null| Ok(rustix::stdio::dup2_stdin(&null)?))
        .map_err(|e| format!("--inherit-listener: standard input: {e}"))?;
    match socket.local_addr() {
        Ok(_) => Ok(socket),
        Err(e) => Err(format!(
            "--inherit-listener: standard input is not a listening socket: {e}"
        )),
    }
}

fn parse_fleet_instance(text: &str) -> Result<(u64, String), String> {
    let parts = text
        .split_once(':')
        .and_then(|(number, token)| Some((number.parse().ok()?, token.to_owned())));
    parts.ok_or_else(|| "expected NUMBER:TOKEN".to_owned())
}

/// Arguments that select the configuration and the operator file. A flag takes precedence over its
/// environment variable, and the variable over the configuration file.
#[derive(Args)]
struct ConfigArgs {
    /// The configuration file, in JSON [env: GW_CONFIG]
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The matcher's name [env: GW_NAME]
    #[arg(long)]
    name: Option<String>,
    /// The address that front ends connect to [env: GW_LISTEN]
    #[arg(long, value_name = "ADDR")]
    listen: Option<String>,
    /// The address of the management endpoint: GET /_ready and /_vars [env: GW_MGMT]
    #[arg(long, value_name = "ADDR")]
    mgmt: Option<String>,
    /// The operator file, a Jsonnet template; without one only the platform's protocol is enabled
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl ConfigArgs {
    /// Returns the same arguments for another process. Environment variables are left out because that
    /// process inherits them.
    fn to_arguments(&self) -> Vec<std::ffi::OsString> {
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

    fn load(self) -> Result<(Config, OperatorSettings, ConfigSources), String> {
        let sources = ConfigSources {
            file: self.config,
            name: self.name,
            listen: self.listen,
            management: self.mgmt,
        };
        let sources = sources.or_environment(|key| std::env::var(key).ok());
        let config = Config::load(&sources)?;
        let operator = match &self.operator {
            Some(file) => OperatorSettings::load(file, &config).map_err(|e| e.to_string())?,
            None => {
                let operator = OperatorSettings::default();
                operator.check_deduplicated_classes(&config)?;
                operator
            }
        };
        Ok((config, operator, sources))
    }
}

/// Blocks the signals that a serving process handles while it reads its configuration.
fn block_signals() -> Result<Option<BlockedSignals>, String> {
    BlockedSignals::block()
        .map(Some)
        .map_err(|e| format!("signals: {e}"))
}

/// Loads the `cluster` section of a matcher's operator file, if there is one.
fn load_cluster_options(
    file: Option<&Path>,
    name: &str,
) -> Result<Option<gossip::Options>, String> {
    let load = |file| cluster::load(file, Role::Server, name).map_err(|e| e.to_string());
    file.map(load).transpose().map(Option::flatten)
}

/// Adds gossip with the other processes to a service, if there are options for it.
fn with_gossip(
    host: OsHost,
    service: Box<dyn Service>,
    cluster: Option<gossip::Options>,
) -> std::io::Result<Box<dyn Service>> {
    let Some(options) = cluster else {
        return Ok(service);
    };
    let gossip = gossip::Gossip::new(host, options)
        .map_err(|e| std::io::Error::new(e.kind(), format!("cluster: {e}")))?;
    Ok(Box::new(gossip::ServiceWithGossip::new(service, gossip)))
}

fn write_stdout_line(arguments: std::fmt::Arguments<'_>) {
    match writeln!(std::io::stdout(), "{arguments}") {
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => std::process::exit(0),
        // The output is incomplete, which the exit status has to show.
        Err(e) => {
            eprintln!("cleatpulley: standard output: {e}");
            std::process::exit(1);
        }
        Ok(()) => {}
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // Off by default here: log lines of simulated matchers look like those of real ones.
    let is_log_off = matches!(
        cli.command,
        Command::Simulator(_)
            | Command::Check(
                commands::bench::Check::Simulator
                    | commands::bench::Check::Service
                    | commands::bench::Check::ConnectionAdmission
            )
    );
    log_to_standard_error(cli.log, is_log_off);
    match run(cli.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cleatpulley: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Sets up the log on standard error. `is_log_off` turns it off unless `RUST_LOG` is set.
fn log_to_standard_error(format: LogFormat, is_log_off: bool) {
    let targets = std::env::var("RUST_LOG")
        .ok()
        .and_then(|text| text.parse::<Targets>().ok());
    let default_targets = if is_log_off {
        Targets::new()
    } else {
        Targets::new().with_default(tracing::Level::INFO)
    };
    let targets = targets.unwrap_or(default_targets);
    let registry = tracing_subscriber::registry().with(targets);
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr);
    match format {
        LogFormat::Text => registry.with(layer.with_ansi(false)).init(),
        LogFormat::Json => registry.with(layer.json()).init(),
    }
}

fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Ajp(command) => return commands::ajp::run(command),
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
            let signals = if check { None } else { block_signals()? };
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
                    .for_each(|line| print_line!("{line}"));
                print_line!("{}", cluster::summary(cluster.as_ref()));
                return Ok(ExitCode::SUCCESS);
            }
            let reload =
                move || cleatpulley::operator::gateway::load(&operator).map_err(|e| e.to_string());
            let new_gateway = |host| Gateway::new(host, options, Box::new(reload));
            serve_with(
                HostOptions {
                    signals,
                    ..HostOptions::default()
                },
                |host| {
                    let gateway = Box::new(new_gateway(host.clone())?);
                    with_gossip(host, gateway, cluster)
                },
            )
            .map_err(|e| e.to_string())?;
        }
        Command::Serve(args) => {
            let signals = block_signals()?;
            let operator_file = args.config_args.operator.clone();
            let (config, operator, sources) = args.config_args.load()?;
            let cluster = load_cluster_options(operator_file.as_deref(), &config.name)?;
            let link = args.fleet_socket.zip(args.fleet_instance);
            let link = link.map(|(socket, (incarnation, token))| FleetLink {
                socket,
                incarnation,
                token,
            });
            let reload = move || {
                let config = Config::load(&sources)?;
                Ok(config.service_addresses())
            };
            let listener = args.inherit_listener.then(inherited_listener).transpose()?;
            let is_fleet_instance = link.is_some() || listener.is_some();
            // The fleet's daemon replaces its instances itself, without a hot restart.
            let handover_folder = args.upgrade_folder.filter(|_| !is_fleet_instance);
            let shares_addresses = handover_folder.is_some();
            let options = Options {
                shares_listener: listener.is_some(),
                handover_folder,
                ..config.into_server_options(operator, &std::env::temp_dir())
            };
            let host_options = HostOptions {
                signals,
                fleet_link: link,
                inherited_listener: listener,
                shares_addresses,
            };
            serve_with(host_options, |host| {
                let server = Box::new(Server::new(host.clone(), options, Box::new(reload))?);
                with_gossip(host, server, cluster)
            })
            .map_err(|e| e.to_string())?;
        }
        Command::CheckConfig(config_args) => {
            let operator_file = config_args.operator.clone();
            let (config, operator, _) = config_args.load()?;
            let cluster = load_cluster_options(operator_file.as_deref(), &config.name)?;
            print_line!(
                "{}: listens on {}, runtime {}, store {}, directory {}; {} classes ({}), {} cores, {} sockets",
                config.name,
                config.listen,
                config.runtime,
                config.store,
                config.registry,
                config.class_names.len(),
                config.class_names.join(", "),
                config.settings.cores,
                config.max_descriptors,
            );
            print_line!("{operator}");
            if let Some(line) = config
                .default_idempotency_summary(&std::env::temp_dir())
                .filter(|_| operator.idempotency.is_none())
            {
                print_line!("{line}");
            }
            print_line!("{}", cluster::summary(cluster.as_ref()));
        }
        Command::Version => {
            print_line!("cleatpulley {}", env!("CARGO_PKG_VERSION"));
        }
    }
    Ok(ExitCode::SUCCESS)
}
