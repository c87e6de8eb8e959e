//! Diagnostics: messages on a configuration, with the position in its files.

use serde::Serialize;
use std::fmt;
use std::sync::Arc;

/// A position in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourcePosition {
    /// File name.
    pub file: Arc<str>,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in bytes, counted from 1.
    pub column: usize,
}

impl fmt::Display for SourcePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

impl Serialize for SourcePosition {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Severity of a diagnostic, the gravest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// nginx would reject the file as well.
    Error,
    /// nginx accepts it, but it can't be expressed here.
    Unsupported,
    /// It is imported, and behaves differently in the way that the message says.
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

/// A message on a position in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where the text in question begins.
    pub position: SourcePosition,
    /// Severity.
    pub severity: Severity,
    /// What is wrong, or differs.
    pub message: String,
    /// The source line, cut to 160 bytes, and the number of bytes to underline.
    pub excerpt: (String, usize),
}

/// Maximum number of bytes of a source line in an excerpt.
const MAX_EXCERPT_BYTES: usize = 160;

impl Diagnostic {
    /// Creates a diagnostic on `length` bytes of `source`, the whole text of the file.
    #[must_use]
    pub fn new(
        position: SourcePosition,
        severity: Severity,
        message: impl Into<String>,
        source: &[u8],
        length: usize,
    ) -> Self {
        let line = source
            .split(|byte| *byte == b'\n')
            .nth(position.line - 1)
            .unwrap_or_default();
        let line = &line[..line.len().min(MAX_EXCERPT_BYTES)];
        let excerpt = String::from_utf8_lossy(line).replace(|c: char| c.is_control(), " ");
        Self {
            position,
            severity,
            message: message.into(),
            excerpt: (excerpt, length),
        }
    }

    /// Returns the message followed by the source line, with the text in question underlined.
    #[must_use]
    pub fn render(&self) -> String {
        let (line, length) = &self.excerpt;
        if line.trim().is_empty() {
            return self.to_string();
        }
        let indent = self.position.column - 1;
        if indent >= MAX_EXCERPT_BYTES {
            return format!("{self}\n  {line} ...");
        }
        let underlined = (*length).clamp(1, MAX_EXCERPT_BYTES - indent);
        format!(
            "{self}\n  {line}\n  {}{}",
            " ".repeat(indent),
            "^".repeat(underlined)
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
