//! The command line of the matcher.

#![forbid(unsafe_code)]

use cleatpulley::config::{Config, Sources};
use std::process::ExitCode;

const HELP: &str = "\
cleatpulley: a matcher that serves front ends within what its cores and its store can do

Usage: cleatpulley <command> [options]

Commands:
  serve          serve until SIGTERM or SIGINT, then answer what is open and leave; SIGHUP reads the
                 addresses of the runtime, the store and the directory again
  check-config   read and check the configuration, and say what it comes to
  version        print the version

Options of serve and check-config, each before its variable and that before the file:
  --config FILE  the configuration, as JSON  [GW_CONFIG]
  --name NAME    the matcher's name          [GW_NAME]
  --listen ADDR  where front ends connect    [GW_LISTEN]

  -h, --help     print this

The log goes to standard error; RUST_LOG sets its level (error, warn, info, debug; info by default).
";

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("cleatpulley: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let command = arguments.subcommand().map_err(|e| e.to_string())?;
    match command.as_deref() {
        Some("serve") => {
            let sources = sources(arguments)?;
            let config = Config::load(&sources)?;
            cleatpulley::net::serve(config, sources).map_err(|e| e.to_string())
        }
        Some("check-config") => {
            let config = Config::load(&sources(arguments)?)?;
            println!(
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
            Ok(())
        }
        Some("version") => {
            no_more(arguments)?;
            println!("cleatpulley {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(other) => Err(format!("unknown command {other:?}; see cleatpulley --help")),
        None => Err("no command; see cleatpulley --help".to_owned()),
    }
}

fn sources(mut arguments: pico_args::Arguments) -> Result<Sources, String> {
    let mut option = |key| arguments.opt_value_from_str::<_, String>(key).map_err(|e| e.to_string());
    let sources = Sources {
        file: option("--config")?.map(Into::into),
        name: option("--name")?,
        listen: option("--listen")?,
    };
    no_more(arguments)?;
    Ok(sources.or_environment(|key| std::env::var(key).ok()))
}

fn no_more(arguments: pico_args::Arguments) -> Result<(), String> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(other) => Err(format!("unknown argument {other:?}; see cleatpulley --help")),
    }
}
