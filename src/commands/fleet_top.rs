//! `cleatpulley fleet top`: the fleet in the terminal.

use super::fleet::{ask, summary};
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

/// The fleet is asked so often.
const EVERY: Duration = Duration::from_millis(500);

/// Shows it until q is pressed.
///
/// # Errors
/// Where there is no terminal.
pub fn run(folder: &Path) -> Result<ExitCode, String> {
    if !std::io::stdout().is_terminal() {
        return Err(
            "fleet top: standard output is no terminal; fleet status shows the same".to_owned(),
        );
    }
    // Asked once before the screen is taken: a daemon that is not there is an error like any other.
    let mut view = ask(folder, &ControlCommand::Status);
    if let Err(why) = view {
        return Err(why);
    }
    let mut terminal = ratatui::try_init().map_err(|e| format!("the terminal: {e}"))?;
    let ended = loop {
        if let Err(e) = terminal.draw(|frame| draw(frame, &view)) {
            break Err(format!("the terminal: {e}"));
        }
        match event::poll(EVERY) {
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
        view = ask(folder, &ControlCommand::Status);
    };
    ratatui::restore();
    ended
}

fn colour(phase: Phase) -> Color {
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
        Err(why) => return frame.render_widget(Paragraph::new(why.as_str()), frame.area()),
    };
    let failed: Vec<String> = view
        .terminated
        .iter()
        .rev()
        .filter_map(|one| {
            Some(format!(
                "instance {}, generation {}: {}",
                one.incarnation,
                one.generation,
                one.failure_reason.as_ref()?
            ))
        })
        .take(6)
        .collect();
    let below = if failed.is_empty() {
        0
    } else {
        failed.len() as u16 + 2
    };
    let parts = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(1),
        Constraint::Min(4),
        Constraint::Length(below),
    ]);
    let [top, bar, table, bottom] = parts.areas(frame.area());
    frame.render_widget(Paragraph::new(summary(view)), top);
    let all = view
        .instances
        .iter()
        .filter(|one| one.phase != Phase::Draining)
        .count()
        .max(1);
    let new = view
        .replacement
        .as_ref()
        .map_or(view.stable_generation, |one| one.generation);
    let done = view
        .instances
        .iter()
        .filter(|one| one.generation == new && one.phase == Phase::Warm)
        .count();
    let share = (done as f64 / all as f64).clamp(0.0, 1.0);
    let gauge = Gauge::default()
        .ratio(share)
        .label(format!("{done} warm of generation {new}"));
    frame.render_widget(gauge.gauge_style(Style::new().fg(Color::Green)), bar);
    let rows = view.instances.iter().map(|one| {
        Row::new([
            one.slot.name.clone(),
            one.slot.listen.to_string(),
            one.incarnation.to_string(),
            one.generation.to_string(),
            format!("{:?} {:.0} s", one.phase, one.phase_s),
            one.pid.map_or(String::new(), |pid| pid.to_string()),
            format!("{:.0}%", 100.0 * one.warmth),
            format!("{:.0}/s", one.rate),
            format!("{:.1}%", 100.0 * one.rejected_share),
            one.open_requests.to_string(),
        ])
        .style(Style::new().fg(colour(one.phase)))
    });
    let widths = [12, 21, 7, 4, 15, 8, 7, 8, 8, 6].map(Constraint::Length);
    let heads = [
        "name", "address", "number", "gen", "phase", "pid", "warmth", "rate", "refused", "held",
    ];
    let block = Block::bordered().title(" q ends this, not the fleet ");
    frame.render_widget(
        Table::new(rows, widths)
            .header(Row::new(heads))
            .block(block),
        table,
    );
    if below > 0 {
        let list = List::new(failed).style(Style::new().fg(Color::Red));
        frame.render_widget(list.block(Block::bordered().title(" failed ")), bottom);
    }
}
