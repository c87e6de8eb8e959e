//! Drawings: recorded files of expected steps that a timeline is compared with.
//!
//! A drawing has a header with the names of the nodes, one per column, then rows with text in one column each:
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
//! The steps of a node have to occur in the order of the rows of its column. Steps of different columns are ordered only by
//! horizontal rules of dashes: all steps above a rule occur before all steps below it. A cell `...` matches any number of
//! steps of its node, including none. Empty lines and lines that start with `#` are ignored, and so are nodes without a
//! column.

use super::{render, Step, Timeline};
use std::fmt;

/// The cell that matches any number of steps of its node.
const ANY_STEPS: &str = "...";

/// The expected timeline of a recorded file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drawing {
    nodes: Vec<String>,
    rows: Vec<Row>,
    text: String,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Row {
    /// The number of the row's line in the file.
    line: usize,
    /// The number of horizontal rules above the row.
    block: usize,
    column: usize,
    action: String,
}

/// Why a drawing can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DrawingParseError {
    /// The header is missing.
    #[error("the header with the names of the nodes is missing")]
    MissingHeader,
    /// The header in this line has an empty or a duplicate name.
    #[error("line {0}: the names of the nodes have to be distinct and not empty")]
    InvalidNodeName(usize),
    /// The row in this line does not have text in exactly one of this number of columns.
    #[error("line {0}: a row has text in exactly one of {1} columns")]
    InvalidRow(usize, usize),
}

/// The first difference between a timeline and a drawing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mismatch {
    /// The line of the drawing that does not match; `None` if the timeline has an additional step.
    pub line: Option<usize>,
    /// Why the line or the step does not match.
    pub reason: String,
    /// Both timelines as text, with the difference marked in each.
    comparison: String,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\n{}", self.reason, self.comparison)
    }
}

impl std::error::Error for Mismatch {}

impl Drawing {
    /// Parses a drawing.
    ///
    /// # Errors
    /// The first line that is malformed.
    pub fn parse(text: &str) -> Result<Self, DrawingParseError> {
        let lines = text
            .lines()
            .enumerate()
            .map(|(index, line)| (index + 1, line.trim_end()));
        let mut lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let (line, names) = lines.next().ok_or(DrawingParseError::MissingHeader)?;
        let nodes: Vec<String> = cells(names).map(str::to_owned).collect();
        let is_invalid = |node: &String| {
            node.is_empty() || nodes.iter().filter(|other| *other == node).count() > 1
        };
        if nodes.iter().any(is_invalid) {
            return Err(DrawingParseError::InvalidNodeName(line));
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
                _ => return Err(DrawingParseError::InvalidRow(line, nodes.len())),
            }
        }
        Ok(Self {
            nodes,
            rows,
            text: text.to_owned(),
        })
    }

    /// Generates the text of a drawing from a timeline, as a first version of a recorded file. A horizontal rule separates two
    /// consecutive steps that are more than `min_gap_us` microseconds apart.
    #[must_use]
    pub fn generate(timeline: &Timeline, min_gap_us: u64) -> String {
        let nodes = timeline.nodes();
        let width = |node: &&str| {
            let widths = timeline
                .steps()
                .iter()
                .filter(|step| step.node == *node)
                .map(|step| step.action.len());
            widths.max().unwrap_or(0).max(node.len())
        };
        let widths: Vec<usize> = nodes.iter().map(width).collect();
        let row = |content: &dyn Fn(usize) -> String| {
            let cells = widths
                .iter()
                .enumerate()
                .map(|(column, width)| format!("{:<width$}", content(column)));
            cells.collect::<Vec<_>>().join(" | ").trim_end().to_owned() + "\n"
        };
        let mut text = row(&|column| nodes[column].to_owned());
        let mut previous_us = None;
        for step in timeline.steps() {
            if previous_us.is_some_and(|previous_us| step.time_us > previous_us + min_gap_us) {
                text.push_str("----\n");
            }
            previous_us = Some(step.time_us);
            text += &row(&|column| {
                if nodes[column] == step.node {
                    step.action.clone()
                } else {
                    String::new()
                }
            });
        }
        text
    }

    /// Compares a timeline with the drawing.
    ///
    /// # Errors
    /// The first difference.
    pub fn check(&self, timeline: &Timeline) -> Result<(), Mismatch> {
        // By row: the times of the first and of the last step that it matches, in microseconds.
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
                if let (Some((line, latest_us)), Some((first, _))) = (latest, *time) {
                    if first < latest_us {
                        let reason = format!(
                            "line {}: occurs before the step above the rule in line {line}",
                            row.line
                        );
                        return Err(self.mismatch(timeline, Some(row.line), reason, Some(first)));
                    }
                }
            }
            let last =
                rows_of_block().filter_map(|(row, time)| time.map(|(_, last)| (row.line, last)));
            latest = last.max_by_key(|(_, last)| *last).or(latest);
        }
        Ok(())
    }

    /// Compares the steps of one node with the rows of its column, and records their times in `times`.
    fn check_column(
        &self,
        timeline: &Timeline,
        column: usize,
        node: &str,
        times: &mut [Option<(u64, u64)>],
    ) -> Result<(), Mismatch> {
        let mut steps = timeline
            .steps()
            .iter()
            .filter(|step| step.node == node)
            .peekable();
        let rows: Vec<usize> = (0..self.rows.len())
            .filter(|&row| self.rows[row].column == column)
            .collect();
        let mut skips_steps = false;
        for row in rows {
            let Row { line, action, .. } = &self.rows[row];
            if action == ANY_STEPS {
                skips_steps = true;
                continue;
            }
            let step = if skips_steps {
                steps.by_ref().find(|step| step.action == *action)
            } else {
                steps.next()
            };
            skips_steps = false;
            match step {
                Some(step) if step.action == *action => {
                    times[row] = Some((step.time_us, step.time_us));
                }
                Some(step) => {
                    let reason = format!(
                        "line {line}: step of {node} is `{}`, expected `{action}`",
                        step.action
                    );
                    return Err(self.mismatch(timeline, Some(*line), reason, Some(step.time_us)));
                }
                None => {
                    let reason = format!("line {line}: step `{action}` of {node} is missing");
                    return Err(self.mismatch(timeline, Some(*line), reason, None));
                }
            }
        }
        match steps.next() {
            Some(Step {
                action, time_us, ..
            }) if !skips_steps => {
                let reason = format!("step `{action}` of {node} is not in the drawing");
                Err(self.mismatch(timeline, None, reason, Some(*time_us)))
            }
            _ => Ok(()),
        }
    }

    fn mismatch(
        &self,
        timeline: &Timeline,
        line: Option<usize>,
        reason: String,
        time_us: Option<u64>,
    ) -> Mismatch {
        let marked = time_us.and_then(|time_us| {
            timeline
                .steps()
                .iter()
                .position(|step| step.time_us == time_us)
        });
        let actual = render::render(timeline, &timeline.nodes(), marked);
        let expected = self.text.lines().enumerate().map(|(number, text)| {
            let mark = if line == Some(number + 1) { '>' } else { ' ' };
            format!("{mark}{text}\n")
        });
        let comparison = format!(
            "actual:\n{actual}\nexpected:\n{}",
            expected.collect::<String>()
        );
        Mismatch {
            line,
            reason,
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

    fn timeline(steps: &[(u64, &str, &str)]) -> Timeline {
        Timeline::new(
            steps
                .iter()
                .map(|(time_us, node, action)| Step::new(*time_us, node, *action))
                .collect(),
        )
    }

    #[test]
    fn accepts_steps_in_column_order_that_rules_keep_apart() {
        let drawing = Drawing::parse(DRAWING).expect("a drawing");
        for matching in [
            timeline(&[
                (1, "a", "first"),
                (2, "b", "one"),
                (3, "a", "ends"),
                (4, "b", "two"),
            ]),
            timeline(&[
                (1, "b", "one"),
                (2, "a", "first"),
                (3, "b", "two"),
                (4, "a", "ends"),
            ]),
            timeline(&[
                (1, "b", "one"),
                (2, "a", "first"),
                (3, "b", "else"),
                (4, "b", "two"),
                (9, "a", "ends"),
            ]),
            timeline(&[
                (1, "b", "one"),
                (1, "c", "not drawn"),
                (2, "a", "first"),
                (3, "b", "two"),
                (4, "a", "ends"),
            ]),
        ] {
            assert_eq!(matching.check(&drawing), Ok(()), "{}", matching.render());
        }
    }

    #[test]
    fn reports_and_marks_first_difference() {
        let drawing = Drawing::parse(DRAWING).expect("a drawing");
        let out_of_order = timeline(&[
            (1, "a", "first"),
            (2, "a", "ends"),
            (3, "b", "one"),
            (4, "b", "two"),
        ]);
        let mismatch = out_of_order
            .check(&drawing)
            .expect_err("a step below the rule occurs before one above it");
        assert_eq!(
            (mismatch.line, mismatch.reason.as_str()),
            (
                Some(6),
                "line 6: occurs before the step above the rule in line 4"
            )
        );
        let unexpected = timeline(&[(1, "a", "first"), (2, "b", "none"), (3, "a", "ends")]);
        let mismatch = unexpected.check(&drawing).expect_err("unexpected step");
        assert_eq!(mismatch.line, Some(4));
        assert!(
            mismatch.to_string().contains("\n>   0.0  .      none\n")
                && mismatch.to_string().contains("\n>      | one\n"),
            "{mismatch}"
        );
        let missing = timeline(&[(1, "a", "first"), (2, "b", "one"), (3, "a", "ends")]);
        assert_eq!(
            missing.check(&drawing).expect_err("missing step").reason,
            "line 8: step `two` of b is missing"
        );
        let additional = timeline(&[
            (1, "a", "first"),
            (2, "b", "one"),
            (3, "a", "ends"),
            (4, "b", "two"),
            (5, "a", "more"),
        ]);
        assert_eq!(
            additional
                .check(&drawing)
                .expect_err("additional step")
                .reason,
            "step `more` of a is not in the drawing"
        );
    }

    #[test]
    fn rejects_malformed_drawings_with_line_number() {
        assert_eq!(
            Drawing::parse("# nothing\n"),
            Err(DrawingParseError::MissingHeader)
        );
        assert_eq!(
            Drawing::parse("a | a\n"),
            Err(DrawingParseError::InvalidNodeName(1))
        );
        assert_eq!(
            Drawing::parse("a | b\nx | y\n"),
            Err(DrawingParseError::InvalidRow(2, 2))
        );
        assert_eq!(
            Drawing::parse("a | b\n\n  |  | c\n"),
            Err(DrawingParseError::InvalidRow(3, 2))
        );
    }

    #[test]
    fn generated_drawing_matches_its_timeline() {
        let timeline = timeline(&[(1, "a", "first"), (2, "b", "one"), (900, "a", "ends")]);
        let generated = Drawing::generate(&timeline, 100);
        assert_eq!(
            generated,
            "a     | b\nfirst |\n      | one\n----\nends  |\n"
        );
        assert_eq!(
            timeline.check(&Drawing::parse(&generated).expect("a drawing")),
            Ok(())
        );
    }
}
