//! Places in files, and what is said of them.

use serde::Serialize;
use std::fmt;
use std::sync::Arc;

/// A place: a file, and a line and column counted from 1, the column in bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourcePosition {
    /// The file.
    pub file: Arc<str>,
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

impl fmt::Display for SourcePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

impl Serialize for SourcePosition {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

/// How grave something is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// nginx would not take the file either.
    Error,
    /// nginx takes it, and it can't be expressed here.
    Unsupported,
    /// It is taken over, and differs in what is said.
    Difference,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Unsupported => "refused",
            Self::Difference => "differs",
        })
    }
}

/// What is said of a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where.
    pub position: SourcePosition,
    /// How grave it is.
    pub severity: Severity,
    /// What.
    pub message: String,
    /// The line itself, cut where it is very long, and how many bytes to point at.
    pub excerpt: (String, usize),
}

/// Bytes of a line that are shown.
const SHOWN: usize = 160;

impl Diagnostic {
    /// One about this many bytes at a place of a text.
    #[must_use]
    pub fn new(
        position: SourcePosition,
        severity: Severity,
        message: impl Into<String>,
        text: &[u8],
        length: usize,
    ) -> Self {
        let line = text
            .split(|byte| *byte == b'\n')
            .nth(position.line - 1)
            .unwrap_or_default();
        let line = &line[..line.len().min(SHOWN)];
        let excerpt = String::from_utf8_lossy(line).replace(|c: char| c.is_control(), " ");
        Self {
            position,
            severity,
            message: message.into(),
            excerpt: (excerpt, length),
        }
    }

    /// Text with the line and a mark below it.
    #[must_use]
    pub fn render(&self) -> String {
        let (line, length) = &self.excerpt;
        if line.trim().is_empty() {
            return self.to_string();
        }
        let before = self.position.column - 1;
        if before >= SHOWN {
            return format!("{self}\n  {line} ...");
        }
        let marks = (*length).clamp(1, SHOWN - before);
        format!(
            "{self}\n  {line}\n  {}{}",
            " ".repeat(before),
            "^".repeat(marks)
        )
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SourcePosition { file, line, column } = &self.position;
        write!(
            f,
            "{file}:{line}:{column}: {}: {}",
            self.severity, self.message
        )
    }
}
