//! `make check-saturation`: checks the queueing model against its goals, and exits with 1 if one is
//! not met.

#![forbid(unsafe_code)]

mod checks;

use checks::report::Report;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut report = Report::default();
    checks::estimates::check(&mut report);
    checks::regime_changes::check(&mut report);
    checks::ramps::check(&mut report);
    checks::goodput::check(&mut report);
    checks::cost::check(&mut report);
    report.check(
        false,
        "real processes: none uses the model yet; merged statistics, the loss of a zone and \
         partitions are not emulated"
            .to_owned(),
    );
    report.finish()
}
