//! The figures printed, and those that fall short.

use std::process::ExitCode;

/// Counts the figures that fall short of their goals.
#[derive(Default)]
pub struct Report {
    shortfalls: usize,
}

impl Report {
    /// Prints a figure, marked where it does not meet its goal.
    pub fn check(&mut self, meets_goal: bool, figure: String) {
        let mark = if meets_goal { "" } else { "   <- falls short" };
        println!("{figure}{mark}");
        self.shortfalls += usize::from(!meets_goal);
    }

    /// Prints the last line.
    pub fn finish(&self) -> ExitCode {
        if self.shortfalls == 0 {
            println!("saturation: ok");
            return ExitCode::SUCCESS;
        }
        println!("saturation: {} figures fall short", self.shortfalls);
        ExitCode::FAILURE
    }
}
