//! Timelines of the steps that several processes log, rendered as text and compared with recorded drawings.
//!
//! Each process writes one [`Step`] per line: `@ 1500000 g1 sees m2 go <- no answer for 3 s`, with the time in microseconds,
//! the node, its action, and after `<-` the cause, if known. All other lines are ignored, so that steps can be part of any
//! log. A [`Timeline`] parses and sorts the steps and renders one column per node. [`drawing`] compares it with a recorded
//! file, which defines the order of the steps in each column; a horizontal rule orders the steps of different columns.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod drawing;
mod render;

pub use drawing::{Drawing, Mismatch};

use std::fmt;

/// The text before the time of a step in the log of a process.
const LOG_PREFIX: &str = " timeline: @ ";

/// One step of a node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    /// The time of the step in microseconds.
    pub time_us: u64,
    /// The name of the node.
    pub node: String,
    /// What the node did.
    pub action: String,
    /// Why the node did it, if known.
    pub cause: Option<String>,
}

impl Step {
    /// Returns a step without a cause.
    #[must_use]
    pub fn new(time_us: u64, node: &str, action: impl Into<String>) -> Self {
        Self {
            time_us,
            node: node.to_owned(),
            action: action.into(),
            cause: None,
        }
    }

    /// Parses a line of a log. Returns `None` if the line is not a step.
    ///
    /// # Errors
    /// If the line starts like a step, but is malformed.
    pub fn parse(line: &str) -> Result<Option<Self>, StepParseError> {
        let line = line.trim();
        let in_log = line.split_once(LOG_PREFIX).map(|(_, step)| step);
        let Some(rest) = in_log.or(line.strip_prefix("@ ")) else {
            return Ok(None);
        };
        let (time, rest) = rest.split_once(' ').ok_or(StepParseError::MissingPart)?;
        let time_us = time
            .parse()
            .map_err(|_| StepParseError::InvalidTime(time.to_owned()))?;
        let (node, action) = rest.split_once(' ').ok_or(StepParseError::MissingPart)?;
        let (action, cause) = match action.split_once(" <- ") {
            Some((action, cause)) => (action, Some(cause.to_owned())),
            None => (action, None),
        };
        Ok(Some(Self {
            time_us,
            node: node.to_owned(),
            action: action.to_owned(),
            cause,
        }))
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "@ {} {} {}", self.time_us, self.node, self.action)?;
        self.cause
            .iter()
            .try_for_each(|cause| write!(f, " <- {cause}"))
    }
}

/// Why a line that starts like a step can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StepParseError {
    /// The node or its action is missing.
    #[error("a step consists of `@`, a time in microseconds, a node and its action")]
    MissingPart,
    /// The time is not a number.
    #[error("`{0}` is not a time in microseconds")]
    InvalidTime(String),
}

/// The steps of several nodes, sorted by time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timeline {
    steps: Vec<Step>,
}

impl Timeline {
    /// Returns the timeline of these steps. Steps with the same time keep their order.
    #[must_use]
    pub fn new(mut steps: Vec<Step>) -> Self {
        steps.sort_by_key(|step| step.time_us);
        Self { steps }
    }

    /// Parses the steps among the lines of a text.
    ///
    /// # Errors
    /// The number of the first line that starts like a step, but is malformed, and the reason.
    pub fn parse(text: &str) -> Result<Self, (usize, StepParseError)> {
        let lines = text.lines().enumerate();
        let steps = lines.filter_map(|(index, line)| {
            Step::parse(line)
                .map_err(|error| (index + 1, error))
                .transpose()
        });
        Ok(Self::new(steps.collect::<Result<_, _>>()?))
    }

    /// Returns all steps.
    #[must_use]
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Returns the nodes in the order of their first steps.
    #[must_use]
    pub fn nodes(&self) -> Vec<&str> {
        let mut nodes: Vec<&str> = Vec::new();
        for step in &self.steps {
            if !nodes.contains(&step.node.as_str()) {
                nodes.push(&step.node);
            }
        }
        nodes
    }

    /// Renders one column per node, with times in milliseconds since the first step.
    #[must_use]
    pub fn render(&self) -> String {
        render::render(self, &self.nodes(), None)
    }

    /// Compares the timeline with a drawing.
    ///
    /// # Errors
    /// The first difference, with both timelines as text.
    pub fn check(&self, drawing: &Drawing) -> Result<(), Mismatch> {
        drawing.check(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_steps_as_displayed_and_from_any_log() {
        let step = Step {
            cause: Some("no answer".into()),
            ..Step::new(1_500_000, "g1", "sees m2 go")
        };
        assert_eq!(step.to_string(), "@ 1500000 g1 sees m2 go <- no answer");
        assert_eq!(Step::parse(&step.to_string()), Ok(Some(step)));
        assert_eq!(Step::parse("2026 INFO something else"), Ok(None));
        assert_eq!(
            Step::parse("2026-12-02T00:00:00Z  INFO timeline: @ 7 g1 starts"),
            Ok(Some(Step::new(7, "g1", "starts")))
        );
        assert_eq!(
            Step::parse("@ soon g1 goes"),
            Err(StepParseError::InvalidTime("soon".into()))
        );
        let log = "INFO begins\n@ 2 b second\n  @ 1 a first\nINFO ends\n";
        let timeline = Timeline::parse(log).expect("two steps");
        assert_eq!(timeline.nodes(), ["a", "b"]);
        assert_eq!(
            Timeline::parse("\n@ 1 a").expect_err("short"),
            (2, StepParseError::MissingPart)
        );
    }

    #[test]
    fn renders_one_column_per_node() {
        let steps = vec![
            Step::new(1_000, "g1", "asks"),
            Step::new(2_500, "m-long", "answers"),
            Step::new(2_500, "g1", "ends"),
        ];
        let rendered = Timeline::new(steps).render();
        let expected = "     ms  g1    m-long \n    0.0  asks  .      \n    1.5  .     answers\n    1.5  ends  .      \n";
        assert_eq!(rendered, expected, "\n{rendered}");
    }
}
