//! What a controller has learned of its machine and of what lies below: it goes to the process that takes its place, which
//! would else start as a stranger on a machine that it could know.

use crate::controller::Controller;
use crate::interface::Micros;
use serde::{Deserialize, Serialize};

/// Of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Smoothed time of a run of usual size, calls included, in microseconds.
    pub run_time: f64,
    /// Smoothed hint of its work, in microseconds; 0 where none was seen.
    pub work: f64,
    /// The longest time left that a first try was seen with, in microseconds.
    pub patience: Micros,
}

/// Of calls to what lies below.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// The bound on calls in hand.
    pub bound: f64,
    /// Smoothed latency, in microseconds.
    pub latency: f64,
    /// The usual latency, in microseconds; 0 where none was seen.
    pub usual: f64,
    /// Smoothed backlog.
    pub backlog: f64,
    /// The gap, in microseconds.
    pub gap: f64,
}

/// All that is passed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Learned {
    /// By the index of the class.
    pub classes: Vec<Class>,
    /// Of calls.
    pub calls: Calls,
    /// The limit on runs.
    pub run_limit: f64,
    /// The rank cut, from 0 to 1.
    pub cut: f64,
    /// How welcome callers are, from 0 to 1.
    pub welcome: f64,
    /// Smoothed time that requests wait unread, in microseconds.
    pub lag: f64,
    /// Smoothed share of further tries among arrivals, from 0 to 1.
    pub again: f64,
}

/// No smoothed time is longer, in microseconds: nobody waits for an hour.
const LONGEST: f64 = 3.6e9;

impl Learned {
    /// Guards the controller against figures that no controller has.
    fn check(&self, classes: usize) -> Result<(), String> {
        if self.classes.len() != classes {
            return Err(format!(
                "classes: {} of them, {classes} here",
                self.classes.len()
            ));
        }
        let within = |name: &str, value: f64, from: f64, to: f64| {
            if (from..=to).contains(&value) {
                Ok(())
            } else {
                Err(format!("{name}: {value} is not within {from} to {to}"))
            }
        };
        for (n, class) in self.classes.iter().enumerate() {
            within(
                &format!("classes[{n}].run_time"),
                class.run_time,
                1.0,
                LONGEST,
            )?;
            within(&format!("classes[{n}].work"), class.work, 0.0, LONGEST)?;
            within(
                &format!("classes[{n}].patience"),
                class.patience as f64,
                0.0,
                LONGEST,
            )?;
        }
        within("calls.bound", self.calls.bound, 1.0, 1e6)?;
        within("calls.latency", self.calls.latency, 1.0, LONGEST)?;
        within("calls.usual", self.calls.usual, 0.0, LONGEST)?;
        within("calls.backlog", self.calls.backlog, 0.0, 1e6)?;
        within("calls.gap", self.calls.gap, 0.0, LONGEST)?;
        within("run_limit", self.run_limit, 1.0, 1e6)?;
        within("cut", self.cut, 0.0, 1.0)?;
        within("welcome", self.welcome, 0.0, 1.0)?;
        within("lag", self.lag, 0.0, LONGEST)?;
        within("again", self.again, 0.0, 1.0)
    }
}

impl Controller {
    /// What it has learned.
    #[must_use]
    pub fn learned(&self) -> Learned {
        let class = |pace: &crate::controller::record::Pace| Class {
            run_time: pace.run_time,
            work: pace.work,
            patience: pace.patience,
        };
        let gate = &self.gate;
        Learned {
            classes: self.paces.iter().map(class).collect(),
            calls: Calls {
                bound: gate.bound,
                latency: gate.latency,
                usual: gate.usual,
                backlog: gate.sqlen,
                gap: gate.gap,
            },
            run_limit: self.run_limit,
            cut: self.cut,
            welcome: self.welcome,
            lag: self.lag,
            again: self.again,
        }
    }

    /// Takes up what another has learned on this machine. Its own bounds hold: what is beyond them is cut to them.
    ///
    /// # Errors
    /// The figure that no controller has; nothing is taken up then.
    pub fn learn(&mut self, learned: &Learned) -> Result<(), String> {
        learned.check(self.paces.len())?;
        for (pace, class) in self.paces.iter_mut().zip(&learned.classes) {
            (pace.run_time, pace.work, pace.patience) =
                (class.run_time, class.work, class.patience);
        }
        let gate = &mut self.gate;
        gate.bound = learned.calls.bound.min(gate.share.max(1.0));
        (gate.latency, gate.usual) = (learned.calls.latency, learned.calls.usual);
        (gate.sqlen, gate.gap) = (learned.calls.backlog, learned.calls.gap);
        // The next period cuts it to the crowd that is survived here.
        self.run_limit = learned.run_limit;
        (self.cut, self.welcome) = (learned.cut, learned.welcome);
        (self.lag, self.again) = (learned.lag, learned.again);
        Ok(())
    }
}
