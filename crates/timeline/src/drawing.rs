//! Drawings, which are expected timelines in text files, and the comparison of a timeline with one.
//!
//! A drawing has a row with the names of the nodes, then rows with text in one column each:
//!
//! ```text
//! g1              | g2              | m1
//! sees m1 come    |                 |
//!                 | sees m1 come    |
//! ----
//!                 |                 | dies
//! ----
//! sees m1 go      |                 |
//!                 | sees m1 go      |
//! ```
//!
//! The steps of a node have to follow in the order of its column. Steps of different columns may come in any order, except
//! across a line of dashes: all steps above it come before all below it. A cell `...` matches any number of steps of its
//! node, including none. Empty lines and lines that begin with `#` are ignored. Nodes without a column are not compared.

use super::{draw, Step, Timeline};
use std::fmt;

/// Cell that matches any number of steps of its node.
const WILDCARD: &str = "...";

/// A parsed drawing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drawing {
    nodes: Vec<String>,
    rows: Vec<Row>,
    text: String,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Row {
    line: usize,
    /// Number of lines of dashes above the row.
    block: usize,
    column: usize,
    action: String,
}

/// Reason for which a text is not a valid drawing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DrawingError {
    /// There is no row with the names of the nodes.
    #[error("there is no row with the names of the nodes")]
    MissingNames,
    /// A name is empty or appears twice.
    #[error("line {0}: the names of the columns must be distinct and not empty")]
    InvalidName(usize),
    /// A row has text in no column, or in more than one.
    #[error("line {0}: a row must have text in exactly one of {1} columns")]
    InvalidRow(usize, usize),
}

/// The first difference between a timeline and a drawing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimelineMismatch {
    /// Line of the drawing that does not match; `None` where the timeline has a step that is not drawn.
    pub line: Option<usize>,
    /// Description of the difference.
    pub message: String,
    comparison: String,
}

impl fmt::Display for TimelineMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\n{}", self.message, self.comparison)
    }
}

impl std::error::Error for TimelineMismatch {}

impl Drawing {
    /// Parses a drawing.
    ///
    /// # Errors
    /// Returns the first invalid line.
    pub fn parse(text: &str) -> Result<Self, DrawingError> {
        let lines = text
            .lines()
            .enumerate()
            .map(|(index, line)| (index + 1, line.trim_end()));
        let mut lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let (line, names) = lines.next().ok_or(DrawingError::MissingNames)?;
        let nodes: Vec<String> = cells(names).map(str::to_owned).collect();
        let is_invalid = |node: &String| {
            node.is_empty() || nodes.iter().filter(|other| *other == node).count() > 1
        };
        if nodes.iter().any(is_invalid) {
            return Err(DrawingError::InvalidName(line));
        }
        let (mut rows, mut block) = (Vec::new(), 0);
        for (line, text) in lines {
            if text.len() > 3 && text.bytes().all(|byte| byte == b'-') {
                block += 1;
                continue;
            }
            let mut filled = cells(text).enumerate().filter(|(_, cell)| !cell.is_empty());
            match (filled.next(), filled.next()) {
                (Some((column, action)), None) if column < nodes.len() => {
                    rows.push(Row {
                        line,
                        block,
                        column,
                        action: action.to_owned(),
                    });
                }
                _ => return Err(DrawingError::InvalidRow(line, nodes.len())),
            }
        }
        Ok(Self {
            nodes,
            rows,
            text: text.to_owned(),
        })
    }

    /// Draws a timeline in the format of drawings, as a first version of a file. A line of dashes separates steps that are
    /// more than `min_gap_us` microseconds apart.
    #[must_use]
    pub fn from_timeline(timeline: &Timeline, min_gap_us: u64) -> String {
        let nodes = timeline.nodes();
        let column_width = |node: &&str| {
            let lengths = timeline
                .steps()
                .iter()
                .filter(|step| step.node == *node)
                .map(|step| step.action.len());
            lengths.max().unwrap_or(0).max(node.len())
        };
        let widths: Vec<usize> = nodes.iter().map(column_width).collect();
        let row = |cell: &dyn Fn(usize) -> String| {
            let cells = widths
                .iter()
                .enumerate()
                .map(|(column, width)| format!("{:<width$}", cell(column)));
            cells.collect::<Vec<_>>().join(" | ").trim_end().to_owned() + "\n"
        };
        let mut drawn = row(&|column| nodes[column].to_owned());
        let mut previous_us = None;
        for step in timeline.steps() {
            if previous_us.is_some_and(|previous_us| step.time_us > previous_us + min_gap_us) {
                drawn.push_str("----\n");
            }
            previous_us = Some(step.time_us);
            drawn += &row(&|column| {
                if nodes[column] == step.node {
                    step.action.clone()
                } else {
                    String::new()
                }
            });
        }
        drawn
    }

    /// Compares a timeline with the drawing.
    ///
    /// # Errors
    /// Returns the first difference.
    pub fn check(&self, timeline: &Timeline) -> Result<(), TimelineMismatch> {
        // For each row, the times of the first and the last step that it matches.
        let mut times: Vec<Option<(u64, u64)>> = vec![None; self.rows.len()];
        for (column, node) in self.nodes.iter().enumerate() {
            self.check_column(timeline, column, node, &mut times)?;
        }
        let mut latest: Option<(usize, u64)> = None;
        for block in 0..=self.rows.last().map_or(0, |row| row.block) {
            let rows_of_block = || {
                self.rows
                    .iter()
                    .zip(&times)
                    .filter(move |(row, _)| row.block == block)
            };
            for (row, time) in rows_of_block() {
                if let (Some((line, before)), Some((first, _))) = (latest, *time) {
                    if first < before {
                        let message = format!(
                            "line {}: occurs before the step above the dashes in line {line}",
                            row.line
                        );
                        return Err(self.mismatch(timeline, Some(row.line), message, Some(first)));
                    }
                }
            }
            let last_times =
                rows_of_block().filter_map(|(row, time)| time.map(|(_, last)| (row.line, last)));
            latest = last_times.max_by_key(|(_, last)| *last).or(latest);
        }
        Ok(())
    }

    /// Compares the steps of one node with the rows of its column, and sets the times of the rows.
    fn check_column(
        &self,
        timeline: &Timeline,
        column: usize,
        node: &str,
        times: &mut [Option<(u64, u64)>],
    ) -> Result<(), TimelineMismatch> {
        let mut steps = timeline
            .steps()
            .iter()
            .filter(|step| step.node == node)
            .peekable();
        let rows: Vec<usize> = (0..self.rows.len())
            .filter(|&row| self.rows[row].column == column)
            .collect();
        let mut after_wildcard = false;
        for row in rows {
            let Row { line, action, .. } = &self.rows[row];
            if action == WILDCARD {
                after_wildcard = true;
                continue;
            }
            let step = if after_wildcard {
                steps.by_ref().find(|step| step.action == *action)
            } else {
                steps.next()
            };
            after_wildcard = false;
            match step {
                Some(step) if step.action == *action => {
                    times[row] = Some((step.time_us, step.time_us));
                }
                Some(step) => {
                    let message = format!(
                        "line {line}: step of {node} is `{}`, expected `{action}`",
                        step.action
                    );
                    return Err(self.mismatch(timeline, Some(*line), message, Some(step.time_us)));
                }
                None => {
                    let message = format!("line {line}: step `{action}` of {node} is missing");
                    return Err(self.mismatch(timeline, Some(*line), message, None));
                }
            }
        }
        match steps.next() {
            Some(Step {
                action, time_us, ..
            }) if !after_wildcard => {
                let message = format!("step `{action}` of {node} is not in the drawing");
                Err(self.mismatch(timeline, None, message, Some(*time_us)))
            }
            _ => Ok(()),
        }
    }

    fn mismatch(
        &self,
        timeline: &Timeline,
        line: Option<usize>,
        message: String,
        time_us: Option<u64>,
    ) -> TimelineMismatch {
        let marked_step = time_us.and_then(|time_us| {
            timeline
                .steps()
                .iter()
                .position(|step| step.time_us == time_us)
        });
        let actual = draw::draw(timeline, &timeline.nodes(), marked_step);
        let expected = self.text.lines().enumerate().map(|(number, text)| {
            let mark = if line == Some(number + 1) { '>' } else { ' ' };
            format!("{mark}{text}\n")
        });
        let comparison = format!(
            "actual:\n{actual}\nexpected:\n{}",
            expected.collect::<String>()
        );
        TimelineMismatch {
            line,
            message,
            comparison,
        }
    }
}

fn cells(line: &str) -> impl Iterator<Item = &str> {
    line.split('|').map(str::trim)
}

#[cfg(test)]
mod tests {
    use super::*;

    const DRAWING: &str =
        "# two nodes\na     | b\nfirst |\n      | one\n----\nends  |\n      | ...\n      | two\n";

    fn timeline_of(steps: &[(u64, &str, &str)]) -> Timeline {
        Timeline::from_steps(
            steps
                .iter()
                .map(|(time_us, node, action)| Step::new(*time_us, node, *action))
                .collect(),
        )
    }

    #[test]
    fn compares_order_within_columns_and_across_lines_of_dashes() {
        let drawing = Drawing::parse(DRAWING).expect("a drawing");
        for matching in [
            timeline_of(&[
                (1, "a", "first"),
                (2, "b", "one"),
                (3, "a", "ends"),
                (4, "b", "two"),
            ]),
            timeline_of(&[
                (1, "b", "one"),
                (2, "a", "first"),
                (3, "b", "two"),
                (4, "a", "ends"),
            ]),
            timeline_of(&[
                (1, "b", "one"),
                (2, "a", "first"),
                (3, "b", "else"),
                (4, "b", "two"),
                (9, "a", "ends"),
            ]),
            timeline_of(&[
                (1, "b", "one"),
                (1, "c", "not drawn"),
                (2, "a", "first"),
                (3, "b", "two"),
                (4, "a", "ends"),
            ]),
        ] {
            assert_eq!(matching.check(&drawing), Ok(()), "{}", matching.draw());
        }
    }

    #[test]
    fn marks_the_first_difference() {
        let drawing = Drawing::parse(DRAWING).expect("a drawing");
        let wrong_order = timeline_of(&[
            (1, "a", "first"),
            (2, "a", "ends"),
            (3, "b", "one"),
            (4, "b", "two"),
        ]);
        let mismatch = wrong_order.check(&drawing).expect_err("a step is too late");
        assert_eq!(
            (mismatch.line, mismatch.message.as_str()),
            (
                Some(6),
                "line 6: occurs before the step above the dashes in line 4"
            )
        );
        let other = timeline_of(&[(1, "a", "first"), (2, "b", "none"), (3, "a", "ends")]);
        let mismatch = other.check(&drawing).expect_err("another step");
        assert_eq!(mismatch.line, Some(4));
        assert!(
            mismatch.to_string().contains("\n>   0.0  .      none\n")
                && mismatch.to_string().contains("\n>      | one\n"),
            "{mismatch}"
        );
        let fewer = timeline_of(&[(1, "a", "first"), (2, "b", "one"), (3, "a", "ends")]);
        assert_eq!(
            fewer.check(&drawing).expect_err("too few").message,
            "line 8: step `two` of b is missing"
        );
        let more = timeline_of(&[
            (1, "a", "first"),
            (2, "b", "one"),
            (3, "a", "ends"),
            (4, "b", "two"),
            (5, "a", "more"),
        ]);
        assert_eq!(
            more.check(&drawing).expect_err("too many").message,
            "step `more` of a is not in the drawing"
        );
    }

    #[test]
    fn reports_the_line_of_an_invalid_drawing() {
        assert_eq!(
            Drawing::parse("# nothing\n"),
            Err(DrawingError::MissingNames)
        );
        assert_eq!(Drawing::parse("a | a\n"), Err(DrawingError::InvalidName(1)));
        assert_eq!(
            Drawing::parse("a | b\nx | y\n"),
            Err(DrawingError::InvalidRow(2, 2))
        );
        assert_eq!(
            Drawing::parse("a | b\n\n  |  | c\n"),
            Err(DrawingError::InvalidRow(3, 2))
        );
    }

    #[test]
    fn drawing_made_from_a_timeline_matches_it() {
        let timeline = timeline_of(&[(1, "a", "first"), (2, "b", "one"), (900, "a", "ends")]);
        let text = Drawing::from_timeline(&timeline, 100);
        assert_eq!(text, "a     | b\nfirst |\n      | one\n----\nends  |\n");
        assert_eq!(
            timeline.check(&Drawing::parse(&text).expect("a drawing")),
            Ok(())
        );
    }
}
