//! The start of the new process of an upgrade.

use std::ffi::OsString;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// How the new process is started.
pub struct Launch {
    /// The program; `None` for this one.
    pub program: Option<PathBuf>,
    /// Arguments that select the configuration.
    pub arguments: Vec<OsString>,
    /// The folder through which both processes connect.
    pub upgrade_folder: PathBuf,
    /// The file that the log of the new process is appended to.
    pub log_file: PathBuf,
}

impl Launch {
    /// Starts the process.
    ///
    /// # Errors
    /// The program can't be started, or its log can't be opened.
    pub fn start(&self) -> Result<Child, String> {
        let program = match &self.program {
            Some(program) => program.clone(),
            None => std::env::current_exe().map_err(|e| e.to_string())?,
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_file)
            .map_err(|e| format!("--log-file: {}: {e}", self.log_file.display()))?;
        let mut command = Command::new(&program);
        command
            .arg("serve")
            .args(&self.arguments)
            .arg("--upgrade-folder")
            .arg(&self.upgrade_folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // The new process has to outlive this command and its terminal.
        command.process_group(0);
        command
            .spawn()
            .map_err(|e| format!("--program: {}: {e}", program.display()))
    }
}
