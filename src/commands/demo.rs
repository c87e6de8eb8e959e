//! `cleatpulley demo`: a load test of one matcher against emulated services, in under twenty seconds.

use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::site::Setup;
use cleatpulley_emulators::trial::{Load, RunningTrial, Trial};
use std::io::Write;

const US_PER_SECOND: u64 = 1_000_000;

/// Runs normal load, a surge and a shutdown over frames and AJP, and prints the results.
///
/// # Errors
/// Something can't be started, or an invariant was violated.
pub fn run() -> Result<(), String> {
    let site = Setup::default();
    let capacity = site.capacity();
    print_line!(
        "Runtime, store and service registry are emulated on loopback: {} cores for about {capacity:.0} requests a second.",
        site.cores
    );
    print_line!("Callers over frames and AJP send half of that for 6 s, twice that in a surge of 3 s, and half of it again.");
    let rate_per_front = |share: f64| capacity * share / 2.0;
    let rates = vec![
        (6 * US_PER_SECOND, rate_per_front(0.5)),
        (9 * US_PER_SECOND, rate_per_front(2.0)),
        (14 * US_PER_SECOND, rate_per_front(0.5)),
    ];
    let load = |front, connections| Load {
        protocol: front,
        rates: rates.clone(),
        connections,
        body_bytes: 200,
        key_field: None,
    };
    let loads = vec![load(Protocol::Frames, 8), load(Protocol::Ajp, 200)];
    let leave_at = Some(13 * US_PER_SECOND);
    let trial = Trial {
        site,
        loads,
        ajp_options: String::new(),
        operator_sections: String::new(),
        terminate_at: leave_at,
    };
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut last_shown_s = 0.0;
    let progress = |going: &RunningTrial, elapsed_s: f64| {
        if elapsed_s >= last_shown_s + 0.5 {
            last_shown_s = elapsed_s;
            let phase = match elapsed_s {
                ..6.0 => "normal",
                6.0..9.0 => "surge",
                9.0..13.0 => "normal",
                _ => "shutdown",
            };
            let totals = going
                .callers
                .iter()
                .map(|callers| with_lock(callers, |callers| callers.total()));
            let (sent, served, rejected) = totals.fold((0, 0, 0), |sum, tally| {
                (
                    sum.0 + tally.issued,
                    sum.1 + tally.on_time + tally.late,
                    sum.2 + tally.rejected_with_retry_after + tally.rejected_without_retry_after,
                )
            });
            eprint!("\r{elapsed_s:5.1} s  {phase:<10}  sent {sent}, served {served}, rejected {rejected}   ");
            let _ = std::io::stderr().flush();
        }
    };
    let report = trial.run(&program, progress).map_err(|e| e.to_string())?;
    eprintln!();
    print!("{report}");
    if report.violations.is_empty() {
        Ok(())
    } else {
        Err("an invariant was violated".to_owned())
    }
}
