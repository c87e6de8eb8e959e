//! `cleatpulley emulators`: runtime, store and directory to talk to, and the configuration that goes with them.

use clap::Args;
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_emulators::store;
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;

/// How the stand-ins are set up.
#[derive(Args)]
pub struct EmulatorsArgs {
    /// Where the matcher's configuration is written
    #[arg(long, value_name = "FILE", default_value = "standin.json")]
    write_config: PathBuf,
    /// Where that matcher is to listen
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:5050")]
    listen: String,
    /// Where operators are to ask it; the port rises by one with each further configuration
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:12000")]
    mgmt: std::net::SocketAddr,
    /// Configurations that are written, for processes that take each other's place: FILE, FILE.2, FILE.3
    #[arg(long, default_value_t = 1)]
    processes: u16,
    /// Cores of the runtime
    #[arg(long, default_value_t = 6)]
    cores: u32,
    /// Time of a store call in milliseconds
    #[arg(long, default_value_t = 10)]
    store_ms: u64,
    /// For random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// End after so many seconds; without it, with a signal
    #[arg(long)]
    seconds: Option<u64>,
}

/// Runs until it is told to end.
///
/// # Errors
/// Where ports or the file can't be had.
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
        "runtime {}, store {}, directory {}; about {:.0} requests a second; configuration in {}",
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
    let mut shown = 0;
    for second in 0.. {
        if args.seconds.is_some_and(|most| second >= most) {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
        let fine = with_lock(&site.runtime, |runtime| runtime.stats.succeeded);
        if fine != shown {
            let calls = with_lock(&site.store, |store| store.stats.calls);
            print_line!("{fine} runs ended well, {calls} calls to the store");
            shown = fine;
        }
    }
    Ok(())
}
