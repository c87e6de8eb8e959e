//! `cleatpulley emulators`: emulates the runtime, the store and the service registry, and writes the
//! configuration of a matcher for them.

use clap::Args;
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_emulators::store;
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;

/// Arguments of `cleatpulley emulators`.
#[derive(Args)]
pub struct EmulatorsArgs {
    /// The file to write the matcher's configuration to
    #[arg(long, value_name = "FILE", default_value = "standin.json")]
    write_config: PathBuf,
    /// The listen address of that matcher
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:5050")]
    listen: String,
    /// The matcher's management address; each further configuration has the next port
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:12000")]
    mgmt: std::net::SocketAddr,
    /// Number of configurations to write, for processes that replace each other: FILE, FILE.2, FILE.3
    #[arg(long, default_value_t = 1)]
    processes: u16,
    /// Cores of the runtime
    #[arg(long, default_value_t = 6)]
    cores: u32,
    /// Duration of a store call in milliseconds
    #[arg(long, default_value_t = 10)]
    store_ms: u64,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds to run; without it, until a signal
    #[arg(long)]
    seconds: Option<u64>,
}

/// Runs the emulators for the given time, or until a signal ends the process.
///
/// # Errors
/// A port can't be bound or a file can't be written.
pub fn run(args: &EmulatorsArgs) -> Result<(), String> {
    let store = store::Setup {
        call_time: args.store_ms * 1_000,
        ..store::Setup::default()
    };
    let processes = usize::from(args.processes.max(1));
    let setup = Setup {
        cores: args.cores.max(1),
        store,
        seed: args.seed,
        runtime_address_count: processes,
        ..Setup::default()
    };
    let site = Site::start(setup).map_err(|e| e.to_string())?;
    let mut config = site.config.clone();
    config["listen"] = json!(args.listen);
    for (n, runtime) in site.runtime_addresses.iter().enumerate() {
        let mut file = args.write_config.clone().into_os_string();
        if n > 0 {
            file.push(format!(".{}", n + 1));
        }
        let mgmt =
            std::net::SocketAddr::new(args.mgmt.ip(), args.mgmt.port().saturating_add(n as u16));
        (config["runtime"], config["mgmt"]) = (json!(runtime.to_string()), json!(mgmt.to_string()));
        let text = serde_json::to_string_pretty(&config).map_err(|e| e.to_string())?;
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    config["runtime"] = json!(site.runtime_addresses[0].to_string());
    print_line!(
        "runtime {}, store {}, service registry {}; about {:.0} requests a second; configuration in {}",
        config["runtime"].as_str().unwrap_or_default(),
        config["store"].as_str().unwrap_or_default(),
        config["lookup"].as_str().unwrap_or_default(),
        site.setup.capacity(),
        args.write_config.display(),
    );
    print_line!(
        "next: cleatpulley serve --config {} --operator deploy/operator.jsonnet",
        args.write_config.display()
    );
    let mut last_shown = 0;
    for second in 0.. {
        if args.seconds.is_some_and(|limit| second >= limit) {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
        let succeeded = with_lock(&site.runtime, |runtime| runtime.stats.succeeded);
        if succeeded != last_shown {
            let calls = with_lock(&site.store, |store| store.stats.calls);
            print_line!("{succeeded} runs succeeded, {calls} calls to the store");
            last_shown = succeeded;
        }
    }
    Ok(())
}
