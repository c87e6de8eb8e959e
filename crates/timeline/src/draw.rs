//! Draws a timeline as text.

use super::Timeline;
use std::fmt::Write as _;

/// Cell of a node without a step in a row.
pub(crate) const EMPTY_CELL: &str = ".";
/// Separator of columns.
pub(crate) const COLUMN_SEPARATOR: &str = "  ";

/// Draws a timeline with one column for each of these nodes, and a mark at the start of one row.
pub(crate) fn draw(timeline: &Timeline, nodes: &[&str], marked_step: Option<usize>) -> String {
    let steps = timeline.steps();
    let cell_text = |index: usize| match &steps[index].cause {
        Some(cause) => format!("{} <- {cause}", steps[index].action),
        None => steps[index].action.clone(),
    };
    let column_width = |node: &str| {
        let texts = (0..steps.len())
            .filter(|&index| steps[index].node == node)
            .map(|index| cell_text(index).chars().count());
        texts.max().unwrap_or(0).max(node.chars().count())
    };
    let widths: Vec<usize> = nodes.iter().map(|node| column_width(node)).collect();
    let mut drawn = format!("{:>7}", "ms");
    for (node, width) in nodes.iter().zip(&widths) {
        let _ = write!(drawn, "{COLUMN_SEPARATOR}{node:<width$}");
    }
    drawn.push('\n');
    let start_us = steps.first().map_or(0, |step| step.time_us);
    for (index, step) in steps
        .iter()
        .enumerate()
        .filter(|(_, step)| nodes.contains(&step.node.as_str()))
    {
        let mark = if marked_step == Some(index) { '>' } else { ' ' };
        let ms = (step.time_us - start_us) as f64 / 1e3;
        let _ = write!(drawn, "{mark}{ms:>6.1}");
        for (node, width) in nodes.iter().zip(&widths) {
            let cell = if *node == step.node {
                cell_text(index)
            } else {
                EMPTY_CELL.to_owned()
            };
            let _ = write!(drawn, "{COLUMN_SEPARATOR}{cell:<width$}");
        }
        drawn.push('\n');
    }
    drawn
}
