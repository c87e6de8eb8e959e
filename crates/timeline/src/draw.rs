//! Drawing.

use super::Timeline;
use std::fmt::Write as _;

/// What stands in a column in which nothing happens in a row.
pub(crate) const NOTHING: &str = ".";
/// Between columns.
pub(crate) const GAP: &str = "  ";

/// Draws it with these nodes' columns, and a mark before one row.
pub(crate) fn draw(timeline: &Timeline, nodes: &[&str], marked: Option<usize>) -> String {
    let steps = timeline.steps();
    let text = |at: usize| match &steps[at].cause {
        Some(cause) => format!("{} <- {cause}", steps[at].what),
        None => steps[at].what.clone(),
    };
    let width = |node: &str| {
        let texts = (0..steps.len())
            .filter(|&at| steps[at].node == node)
            .map(|at| text(at).chars().count());
        texts.max().unwrap_or(0).max(node.chars().count())
    };
    let widths: Vec<usize> = nodes.iter().map(|node| width(node)).collect();
    let mut drawn = format!("{:>7}", "ms");
    for (node, width) in nodes.iter().zip(&widths) {
        let _ = write!(drawn, "{GAP}{node:<width$}");
    }
    drawn.push('\n');
    let first = steps.first().map_or(0, |step| step.at);
    for (at, step) in steps
        .iter()
        .enumerate()
        .filter(|(_, step)| nodes.contains(&step.node.as_str()))
    {
        let mark = if marked == Some(at) { '>' } else { ' ' };
        let ms = (step.at - first) as f64 / 1e3;
        let _ = write!(drawn, "{mark}{ms:>6.1}");
        for (node, width) in nodes.iter().zip(&widths) {
            let cell = if *node == step.node {
                text(at)
            } else {
                NOTHING.to_owned()
            };
            let _ = write!(drawn, "{GAP}{cell:<width$}");
        }
        drawn.push('\n');
    }
    drawn
}
