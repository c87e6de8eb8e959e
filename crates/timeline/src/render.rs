//! Rendering of a timeline as text, with one column per node.

use super::Timeline;
use std::fmt::Write as _;

/// The content of the columns of all nodes other than the one whose step a row shows.
pub(crate) const EMPTY_CELL: &str = ".";
/// The separator of two columns.
pub(crate) const COLUMN_GAP: &str = "  ";

/// Renders the columns of these nodes. A `>` marks the row of the step with the index `marked`.
pub(crate) fn render(timeline: &Timeline, nodes: &[&str], marked: Option<usize>) -> String {
    let steps = timeline.steps();
    let text = |index: usize| match &steps[index].cause {
        Some(cause) => format!("{} <- {cause}", steps[index].action),
        None => steps[index].action.clone(),
    };
    let width = |node: &str| {
        let texts = (0..steps.len())
            .filter(|&index| steps[index].node == node)
            .map(|index| text(index).chars().count());
        texts.max().unwrap_or(0).max(node.chars().count())
    };
    let widths: Vec<usize> = nodes.iter().map(|node| width(node)).collect();
    let mut rendered = format!("{:>7}", "ms");
    for (node, width) in nodes.iter().zip(&widths) {
        let _ = write!(rendered, "{COLUMN_GAP}{node:<width$}");
    }
    rendered.push('\n');
    let start_us = steps.first().map_or(0, |step| step.time_us);
    for (index, step) in steps
        .iter()
        .enumerate()
        .filter(|(_, step)| nodes.contains(&step.node.as_str()))
    {
        let mark = if marked == Some(index) { '>' } else { ' ' };
        let ms = (step.time_us - start_us) as f64 / 1e3;
        let _ = write!(rendered, "{mark}{ms:>6.1}");
        for (node, width) in nodes.iter().zip(&widths) {
            let cell = if *node == step.node {
                text(index)
            } else {
                EMPTY_CELL.to_owned()
            };
            let _ = write!(rendered, "{COLUMN_GAP}{cell:<width$}");
        }
        rendered.push('\n');
    }
    rendered
}
