//! `cleatpulley demo`: the main job against the stand-ins, in under twenty seconds.

use cleatpulley_emulators::callers::Protocol;
use cleatpulley_emulators::host::with_lock;
use cleatpulley_emulators::site::Setup;
use cleatpulley_emulators::trial::{Load, RunningTrial, Trial};
use std::io::Write;

const SECOND: u64 = 1_000_000;

/// Plays a calm stretch and a surge on both fronts, and prints what was served.
///
/// # Errors
/// Where something can't be started, or a rule was broken.
pub fn run() -> Result<(), String> {
    let site = Setup::default();
    let capacity = site.capacity();
    print_line!(
        "Runtime, store and directory stand in on loopback: {} cores for about {capacity:.0} requests a second.",
        site.cores
    );
    print_line!("Callers by frames and by AJP ask half of that for 6 s, twice that in a surge of 3 s, and half again.");
    let rate = |share: f64| capacity * share / 2.0;
    let rates = vec![
        (6 * SECOND, rate(0.5)),
        (9 * SECOND, rate(2.0)),
        (14 * SECOND, rate(0.5)),
    ];
    let load = |front, connections| Load {
        protocol: front,
        rates: rates.clone(),
        connections,
        body_bytes: 200,
        key_field: None,
    };
    let loads = vec![load(Protocol::Frames, 8), load(Protocol::Ajp, 200)];
    let leave_at = Some(13 * SECOND);
    let trial = Trial {
        site,
        loads,
        ajp_options: String::new(),
        operator_sections: String::new(),
        terminate_at: leave_at,
    };
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut shown = 0.0;
    let progress = |going: &RunningTrial, at: f64| {
        if at >= shown + 0.5 {
            shown = at;
            let phase = match at {
                ..6.0 => "calm",
                6.0..9.0 => "surge",
                9.0..13.0 => "calm again",
                _ => "leaving",
            };
            let totals = going
                .callers
                .iter()
                .map(|callers| with_lock(callers, |callers| callers.total()));
            let (asked, served, refused) = totals.fold((0, 0, 0), |sum, t| {
                (
                    sum.0 + t.issued,
                    sum.1 + t.on_time + t.late,
                    sum.2 + t.rejected_with_retry_after + t.rejected_without_retry_after,
                )
            });
            eprint!("\r{at:5.1} s  {phase:<10}  asked {asked}, served {served}, turned away {refused}   ");
            let _ = std::io::stderr().flush();
        }
    };
    let report = trial.run(&program, progress).map_err(|e| e.to_string())?;
    eprintln!();
    print!("{report}");
    if report.violations.is_empty() {
        Ok(())
    } else {
        Err("a rule was broken".to_owned())
    }
}
