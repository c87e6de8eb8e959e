//! Runs controllers over the JSON protocol of the simulator: rounds of events on standard input,
//! actions on standard output.

#![forbid(unsafe_code)]

use cleatpulley::wire::Adapter;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cleatpulley-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to rounds until the input ends.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut line = String::new();
    let mut reply = String::new();
    loop {
        line.clear();
        let bytes_read = input
            .read_line(&mut line)
            .map_err(|e| format!("reading standard input: {e}"))?;
        if bytes_read == 0 {
            return adapter.finish();
        }
        for warning in adapter.handle_line(line.trim_end(), &mut reply)? {
            eprintln!("cleatpulley-simulator-adapter: {warning}");
        }
        if !reply.is_empty() {
            let written = output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(|e| format!("writing standard output: {e}"))?;
            reply.clear();
        }
    }
}
