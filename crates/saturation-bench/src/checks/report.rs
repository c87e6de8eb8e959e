//! Report of the measured figures.

use std::process::ExitCode;

/// Prints figures, and counts those that do not meet their goals.
#[derive(Default)]
pub struct Report {
    shortfalls: usize,
}

impl Report {
    /// Prints a figure, with a mark if it does not meet its goal.
    pub fn check(&mut self, meets_goal: bool, figure: String) {
        let mark = if meets_goal { "" } else { "   <- falls short" };
        println!("{figure}{mark}");
        self.shortfalls += usize::from(!meets_goal);
    }

    /// Prints the summary, and returns the exit code.
    pub fn finish(&self) -> ExitCode {
        if self.shortfalls == 0 {
            println!("saturation: ok");
            return ExitCode::SUCCESS;
        }
        println!("saturation: {} figures fall short", self.shortfalls);
        ExitCode::FAILURE
    }
}
