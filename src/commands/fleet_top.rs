//! `cleatpulley fleet top`: shows the fleet in the terminal and refreshes it.

use super::fleet::{send_command, summary};
use cleatpulley_fleet::control_protocol::{ControlCommand, FleetView};
use cleatpulley_fleet::plan::Phase;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style};
use ratatui::widgets::{Block, Gauge, List, Paragraph, Row, Table};
use ratatui::Frame;
use std::io::IsTerminal;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Time between two refreshes.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Shows the fleet until q or Esc is pressed.
///
/// # Errors
/// Standard output is not a terminal, the daemon does not respond at the start, or the terminal failed.
pub fn run(folder: &Path) -> Result<ExitCode, String> {
    if !std::io::stdout().is_terminal() {
        return Err(
            "fleet top: standard output is not a terminal; fleet status shows the same".to_owned(),
        );
    }
    // Requested before the terminal switches to the full screen, so that a missing daemon is reported as a plain error.
    let mut view = send_command(folder, &ControlCommand::Status);
    if let Err(error) = view {
        return Err(error);
    }
    let mut terminal = ratatui::try_init().map_err(|e| format!("the terminal: {e}"))?;
    let result = loop {
        if let Err(e) = terminal.draw(|frame| draw(frame, &view)) {
            break Err(format!("the terminal: {e}"));
        }
        match event::poll(REFRESH_INTERVAL) {
            Ok(true) => match event::read() {
                Ok(Event::Key(key)) if key.kind == KeyEventKind::Press => {
                    if matches!(key.code, KeyCode::Char('q') | KeyCode::Esc) {
                        break Ok(ExitCode::SUCCESS);
                    }
                }
                Ok(_) => {}
                Err(e) => break Err(format!("the terminal: {e}")),
            },
            Ok(false) => {}
            Err(e) => break Err(format!("the terminal: {e}")),
        }
        view = send_command(folder, &ControlCommand::Status);
    };
    ratatui::restore();
    result
}

fn phase_colour(phase: Phase) -> Color {
    match phase {
        Phase::Warm => Color::Green,
        Phase::Cold => Color::Yellow,
        Phase::Planned | Phase::Starting => Color::Cyan,
        Phase::Draining => Color::Magenta,
        Phase::Stopped => Color::Gray,
        Phase::Failed => Color::Red,
    }
}

fn draw(frame: &mut Frame<'_>, view: &Result<FleetView, String>) {
    let view = match view {
        Ok(view) => view,
        Err(error) => return frame.render_widget(Paragraph::new(error.as_str()), frame.area()),
    };
    let failures: Vec<String> = view
        .terminated
        .iter()
        .rev()
        .filter_map(|instance| {
            Some(format!(
                "instance {}, generation {}: {}",
                instance.incarnation,
                instance.generation,
                instance.failure_reason.as_ref()?
            ))
        })
        .take(6)
        .collect();
    let failures_height = if failures.is_empty() {
        0
    } else {
        failures.len() as u16 + 2
    };
    let layout = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(1),
        Constraint::Min(4),
        Constraint::Length(failures_height),
    ]);
    let [summary_area, gauge_area, table_area, failures_area] = layout.areas(frame.area());
    frame.render_widget(Paragraph::new(summary(view)), summary_area);
    let active = view
        .instances
        .iter()
        .filter(|instance| instance.phase != Phase::Draining)
        .count()
        .max(1);
    let generation = view
        .replacement
        .as_ref()
        .map_or(view.stable_generation, |replacement| replacement.generation);
    let warm = view
        .instances
        .iter()
        .filter(|instance| instance.generation == generation && instance.phase == Phase::Warm)
        .count();
    let share = (warm as f64 / active as f64).clamp(0.0, 1.0);
    let gauge = Gauge::default()
        .ratio(share)
        .label(format!("{warm} warm of generation {generation}"));
    frame.render_widget(gauge.gauge_style(Style::new().fg(Color::Green)), gauge_area);
    let rows = view.instances.iter().map(|instance| {
        Row::new([
            instance.slot.name.clone(),
            instance.slot.listen.to_string(),
            instance.incarnation.to_string(),
            instance.generation.to_string(),
            format!("{:?} {:.0} s", instance.phase, instance.phase_s),
            instance.pid.map_or(String::new(), |pid| pid.to_string()),
            format!("{:.0}%", 100.0 * instance.warmth),
            format!("{:.0}/s", instance.rate),
            format!("{:.1}%", 100.0 * instance.rejected_share),
            instance.open_requests.to_string(),
        ])
        .style(Style::new().fg(phase_colour(instance.phase)))
    });
    let widths = [12, 21, 7, 4, 15, 8, 7, 8, 8, 6].map(Constraint::Length);
    let column_titles = [
        "name", "address", "number", "gen", "phase", "pid", "warmth", "rate", "refused", "held",
    ];
    let block = Block::bordered().title(" q quits; the fleet keeps running ");
    frame.render_widget(
        Table::new(rows, widths)
            .header(Row::new(column_titles))
            .block(block),
        table_area,
    );
    if failures_height > 0 {
        let list = List::new(failures).style(Style::new().fg(Color::Red));
        frame.render_widget(
            list.block(Block::bordered().title(" failed ")),
            failures_area,
        );
    }
}
