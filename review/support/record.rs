//! The record of a case: what was sent, answered and run, one line each, with the time since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started_at: Instant::now(),
        })
    }

    /// Writes a line with the seconds since the start; prints it as well.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.started_at.elapsed().as_secs_f64());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }
}
