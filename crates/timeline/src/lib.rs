//! Timelines of several processes: parses the steps that they log, draws them as text and compares them with drawings.
//!
//! Every process writes one [`Step`] on a line: `@ 1500000 g1 sees m2 go <- no answer for 3 s`, with the time in
//! microseconds, the node, what it did, and its cause after `<-`, where that is known. Other lines are ignored, so any log may
//! contain steps. A [`Timeline`] sorts the steps by time and draws one column for each node. [`drawing`] compares it with a
//! drawing, which gives the order of the steps in each column; a line of dashes gives an order across columns.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod draw;
pub mod drawing;

pub use drawing::{Drawing, TimelineMismatch};

use std::fmt;

/// Text before a step in the log of a process.
const LOG_PREFIX: &str = " timeline: @ ";

/// One step of one node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    /// Time, in microseconds.
    pub time_us: u64,
    /// Name of the node.
    pub node: String,
    /// What the node did.
    pub action: String,
    /// Cause of the step, where it is known.
    pub cause: Option<String>,
}

impl Step {
    /// Creates a step without a cause.
    #[must_use]
    pub fn new(time_us: u64, node: &str, action: impl Into<String>) -> Self {
        Self {
            time_us,
            node: node.to_owned(),
            action: action.into(),
            cause: None,
        }
    }

    /// Parses a line. Returns `None` where it contains no step.
    ///
    /// # Errors
    /// Where the line begins like a step, but is malformed.
    pub fn parse(line: &str) -> Result<Option<Self>, StepError> {
        let line = line.trim();
        let in_log = line.split_once(LOG_PREFIX).map(|(_, step)| step);
        let Some(rest) = in_log.or(line.strip_prefix("@ ")) else {
            return Ok(None);
        };
        let (time_us, rest) = rest.split_once(' ').ok_or(StepError::MissingPart)?;
        let time_us = time_us
            .parse()
            .map_err(|_| StepError::InvalidTime(time_us.to_owned()))?;
        let (node, action) = rest.split_once(' ').ok_or(StepError::MissingPart)?;
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

/// Reason for which a line that begins like a step is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StepError {
    /// The time, the node or the action is missing.
    #[error("a step is `@`, a time in microseconds, a node and its action")]
    MissingPart,
    /// The time is not a number.
    #[error("`{0}` is not a time in microseconds")]
    InvalidTime(String),
}

/// Steps of several nodes, in the order of their times.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timeline {
    steps: Vec<Step>,
}

impl Timeline {
    /// Creates a timeline of these steps. Steps at the same time keep their order.
    #[must_use]
    pub fn from_steps(mut steps: Vec<Step>) -> Self {
        steps.sort_by_key(|step| step.time_us);
        Self { steps }
    }

    /// Parses the steps in the lines of a text.
    ///
    /// # Errors
    /// Returns the number of the first malformed line, and the reason.
    pub fn parse(text: &str) -> Result<Self, (usize, StepError)> {
        let lines = text.lines().enumerate();
        let steps = lines.filter_map(|(index, line)| {
            Step::parse(line)
                .map_err(|error| (index + 1, error))
                .transpose()
        });
        Ok(Self::from_steps(steps.collect::<Result<_, _>>()?))
    }

    /// Returns the steps, sorted by time.
    #[must_use]
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Returns the names of the nodes, in the order of their first steps.
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

    /// Draws one column for each node, with the times since the first step in milliseconds.
    #[must_use]
    pub fn draw(&self) -> String {
        draw::draw(self, &self.nodes(), None)
    }

    /// Compares the timeline with a drawing.
    ///
    /// # Errors
    /// Returns the first difference, with the timeline and the drawing.
    pub fn check(&self, drawing: &Drawing) -> Result<(), TimelineMismatch> {
        drawing.check(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_the_steps_of_any_log() {
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
            Err(StepError::InvalidTime("soon".into()))
        );
        let log = "INFO begins\n@ 2 b second\n  @ 1 a first\nINFO ends\n";
        let timeline = Timeline::parse(log).expect("two valid steps");
        assert_eq!(timeline.nodes(), ["a", "b"]);
        assert_eq!(
            Timeline::parse("\n@ 1 a").expect_err("the action is missing"),
            (2, StepError::MissingPart)
        );
    }

    #[test]
    fn draws_one_column_for_each_node() {
        let steps = vec![
            Step::new(1_000, "g1", "asks"),
            Step::new(2_500, "m-long", "answers"),
            Step::new(2_500, "g1", "ends"),
        ];
        let drawn = Timeline::from_steps(steps).draw();
        let expected = "     ms  g1    m-long \n    0.0  asks  .      \n    1.5  .     answers\n    1.5  ends  .      \n";
        assert_eq!(drawn, expected, "\n{drawn}");
    }
}
