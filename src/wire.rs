//! The JSON wire: lines to [`Event`]s and [`Action`]s to lines. Translation only; no decisions here.

use cleatpulley_policy::interface::{Action, Event, Gauges, Micros, Outcome, Request, RequestId};
use cleatpulley_policy::settings::SettingsDocument;
use cleatpulley_policy::Controller;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Hosts one [`Controller`] for each instance and answers rounds of events.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<String, Instance>,
    /// Instances of the open round, in the order of their first event.
    active: Vec<String>,
    round: Option<Round>,
    actions: Vec<Action>,
}

struct Instance {
    controller: Controller,
    classes: usize,
    tenants: usize,
    events: Vec<Event>,
}

struct Round {
    clock: Micros,
    number: u64,
}

impl Adapter {
    /// Takes one line. When it closes a round the reply is appended to `reply`. Returns notes on lines that
    /// were skipped.
    ///
    /// # Errors
    /// One line that names the round, the verb and the fault; the adapter can't go on after it.
    pub fn take(&mut self, line: &str, reply: &mut String) -> Result<Vec<String>, String> {
        if line.is_empty() {
            return Ok(Vec::new());
        }
        let value: Value =
            serde_json::from_str(line).map_err(|e| self.fault("-", &format!("not JSON: {e}")))?;
        let Some(verb) = value.get("verb").and_then(Value::as_str).map(str::to_owned) else {
            return Err(self.fault("-", "missing field `verb`"));
        };
        self.dispatch(&verb, value, reply)
    }

    /// Ends the input.
    ///
    /// # Errors
    /// When a round is still open.
    pub fn finish(&self) -> Result<(), String> {
        match self.round {
            None => Ok(()),
            Some(_) => Err(self.fault("-", "the input ended inside a round")),
        }
    }

    fn fault(&self, verb: &str, what: &str) -> String {
        let round = self
            .round
            .as_ref()
            .map_or_else(|| "-".to_owned(), |r| r.number.to_string());
        format!("round {round}, verb {verb}: {what}")
    }

    fn dispatch(
        &mut self,
        verb: &str,
        value: Value,
        reply: &mut String,
    ) -> Result<Vec<String>, String> {
        if verb == "tick" {
            if self.round.is_some() {
                return Err(self.fault(verb, "the last round is still open"));
            }
            let tick: Tick = self.read(verb, value)?;
            self.round = Some(Round {
                clock: tick.clock,
                number: tick.round,
            });
            return Ok(Vec::new());
        }
        let Some(clock) = self.round.as_ref().map(|r| r.clock) else {
            return Err(self.fault(verb, "no round is open"));
        };
        match verb {
            "go" => self.answer(reply),
            "enlist" => self.enlist(verb, value)?,
            "retire" => {
                let who: Who = self.read(verb, value)?;
                if self.instances.remove(&who.instance_id).is_none() {
                    return Err(self.fault(verb, &format!("unknown instance {}", who.instance_id)));
                }
            }
            "accept" | "needs" | "call_ended" | "withdrawn" | "leaving" | "wakeup" | "finished" => {
                self.event(verb, value, clock)?;
            }
            _ => return Ok(vec![self.fault(verb, "unknown kind of event, skipped")]),
        }
        Ok(Vec::new())
    }

    fn read<T: for<'a> Deserialize<'a>>(&self, verb: &str, value: Value) -> Result<T, String> {
        serde_json::from_value(value).map_err(|e| self.fault(verb, &e.to_string()))
    }

    fn enlist(&mut self, verb: &str, value: Value) -> Result<(), String> {
        let line: Enlist = self.read(verb, value)?;
        let settings = line.boot_info.into_settings();
        if settings.classes.is_empty() {
            return Err(self.fault(verb, "no classes"));
        }
        let instance = Instance {
            classes: settings.classes.len(),
            tenants: settings.tenants.len(),
            controller: Controller::new(settings, line.random_seed),
            events: vec![Event::Started],
        };
        self.instances.insert(line.instance_id.clone(), instance);
        self.active.push(line.instance_id);
        Ok(())
    }

    fn event(&mut self, verb: &str, value: Value, clock: Micros) -> Result<(), String> {
        let (name, event) = match verb {
            "accept" => {
                let line: Accept = self.read(verb, value)?;
                self.check_indexes(verb, &line)?;
                (line.instance_id.clone(), Event::Arrived(line.request()))
            }
            "withdrawn" => {
                let line: OfRequest = self.read(verb, value)?;
                (line.instance_id, Event::Abandoned(line.rid.0))
            }
            "needs" => {
                let line: OfRequest = self.read(verb, value)?;
                (line.instance_id, Event::CallRequested(line.rid.0))
            }
            "call_ended" => {
                let Ended {
                    instance_id,
                    rid,
                    reason,
                    elapsed,
                } = self.read(verb, value)?;
                (
                    instance_id,
                    Event::CallEnded {
                        id: rid.0,
                        outcome: reason.into(),
                        elapsed,
                    },
                )
            }
            "finished" => {
                let Ended {
                    instance_id,
                    rid,
                    reason,
                    elapsed,
                } = self.read(verb, value)?;
                (
                    instance_id,
                    Event::RunEnded {
                        id: rid.0,
                        outcome: reason.into(),
                        elapsed,
                    },
                )
            }
            "leaving" => {
                let line: Leaving = self.read(verb, value)?;
                (
                    line.instance_id,
                    Event::DrainStarted {
                        stop_at: line.not_after.max(clock),
                    },
                )
            }
            _ => {
                let line: Wakeup = self.read(verb, value)?;
                let gauges = Gauges {
                    runnable: line.health_info.runnable,
                    memory: line.health_info.mem_used,
                };
                (
                    line.instance_id,
                    Event::TimerExpired {
                        token: line.mark,
                        gauges,
                    },
                )
            }
        };
        let Some(instance) = self.instances.get_mut(&name) else {
            return Err(self.fault(verb, &format!("unknown instance {name}")));
        };
        if instance.events.is_empty() {
            self.active.push(name);
        }
        instance.events.push(event);
        Ok(())
    }

    fn check_indexes(&self, verb: &str, line: &Accept) -> Result<(), String> {
        let Some(instance) = self.instances.get(&line.instance_id) else {
            return Err(self.fault(verb, &format!("unknown instance {}", line.instance_id)));
        };
        if line.category >= instance.classes {
            return Err(self.fault(verb, &format!("category {} is out of range", line.category)));
        }
        if line.tenant >= instance.tenants.max(1) {
            return Err(self.fault(verb, &format!("tenant {} is out of range", line.tenant)));
        }
        Ok(())
    }

    fn answer(&mut self, reply: &mut String) {
        let Some(round) = self.round.take() else {
            return;
        };
        for name in std::mem::take(&mut self.active) {
            let Some(instance) = self.instances.get_mut(&name) else {
                continue;
            };
            let events = std::mem::take(&mut instance.events);
            if events.is_empty() {
                continue;
            }
            instance
                .controller
                .step(round.clock, &events, &mut self.actions);
            for action in self.actions.drain(..) {
                push_line(reply, &Line::of(&name, &action));
            }
        }
        push_line(
            reply,
            &Ready {
                verb: "ready",
                round: round.number,
            },
        );
    }
}

fn push_line(reply: &mut String, line: &impl Serialize) {
    match serde_json::to_string(line) {
        Ok(text) => reply.push_str(&text),
        Err(fault) => unreachable!("plain structs of numbers and text always serialise: {fault}"),
    }
    reply.push('\n');
}

#[derive(Deserialize)]
struct Tick {
    clock: Micros,
    round: u64,
}

#[derive(Deserialize)]
struct Who {
    instance_id: String,
}

#[derive(Deserialize)]
struct Enlist {
    instance_id: String,
    #[serde(default)]
    random_seed: u64,
    boot_info: SettingsDocument,
}

/// An id on the wire: 16 hex digits.
#[derive(Deserialize, Clone, Copy)]
#[serde(try_from = "String")]
struct Hex(RequestId);

impl TryFrom<String> for Hex {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let plain = text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        match u64::from_str_radix(&text, 16) {
            Ok(id) if plain && text.len() == 16 => Ok(Self(id)),
            _ => Err(format!("request id {text:?} is not 16 hex digits")),
        }
    }
}

#[derive(Deserialize)]
struct OfRequest {
    instance_id: String,
    rid: Hex,
}

#[derive(Deserialize)]
struct Ended {
    instance_id: String,
    rid: Hex,
    reason: Reason,
    #[serde(default)]
    elapsed: Micros,
}

#[derive(Deserialize)]
struct Leaving {
    instance_id: String,
    not_after: Micros,
}

#[derive(Deserialize)]
struct Wakeup {
    instance_id: String,
    #[serde(default)]
    mark: u64,
    #[serde(default)]
    health_info: HealthInfo,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct HealthInfo {
    runnable: Option<f64>,
    mem_used: Option<f64>,
}

#[derive(Deserialize)]
struct Accept {
    instance_id: String,
    rid: Hex,
    #[serde(default)]
    not_after: Micros,
    #[serde(default)]
    prior: Option<Value>,
    #[serde(default)]
    marks: u32,
    category: usize,
    #[serde(default)]
    queued_for: Micros,
    #[serde(default)]
    size_hint: Micros,
    #[serde(default)]
    author: u64,
    #[serde(default)]
    rank: f64,
    #[serde(default)]
    entity: Option<Value>,
    #[serde(default)]
    mem_kb: f64,
    #[serde(default)]
    tenant: usize,
}

/// Bits of `marks`.
const HINT_VALID: u32 = 1;
const FURTHER_TRY: u32 = 2;
const WRITE: u32 = 4;

impl Accept {
    fn request(&self) -> Request {
        let prior = self
            .prior
            .as_ref()
            .and_then(Value::as_str)
            .map(str::to_owned);
        Request {
            id: self.rid.0,
            respond_by: (self.not_after > 0).then_some(self.not_after),
            duplicate_of: prior
                .and_then(|text| Hex::try_from(text).ok())
                .map(|hex| hex.0)
                .filter(|id| *id != 0),
            class: self.category,
            tenant: self.tenant,
            read_delay: self.queued_for,
            expected_work: (self.marks & HINT_VALID != 0 && self.size_hint > 0)
                .then_some(self.size_hint),
            is_retry: self.marks & FURTHER_TRY != 0,
            is_write: self.marks & WRITE != 0,
            has_subject: self
                .entity
                .as_ref()
                .is_some_and(|key| key.as_str().is_some_and(|k| !k.is_empty())),
            caller: self.author,
            rank: self.rank,
            memory_kb: self.mem_kb,
            caches_result: false,
        }
    }
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Reason {
    Success,
    Failure,
    Overloaded,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

impl From<Reason> for Outcome {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::Success => Self::Success,
            Reason::Failure => Self::Failure,
            Reason::Overloaded => Self::Overloaded,
            Reason::TimedOut => Self::TimedOut,
            Reason::Unreachable => Self::Unreachable,
            Reason::Broken => Self::Interrupted,
            Reason::Withdrawn => Self::Cancelled,
            Reason::Void => Self::NotStarted,
        }
    }
}

#[derive(Serialize)]
struct Ready {
    verb: &'static str,
    round: u64,
}

/// One action on the wire; fields that an action has not are left out.
#[derive(Serialize, Default)]
struct Line<'a> {
    verb: &'static str,
    instance_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    rid: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cool_down: Option<Micros>,
    #[serde(skip_serializing_if = "Option::is_none")]
    dont_retry: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    within: Option<Micros>,
    #[serde(skip_serializing_if = "Option::is_none")]
    moment: Option<Micros>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mark: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    lifetime: Option<Micros>,
    #[serde(skip_serializing_if = "Option::is_none")]
    x: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    active: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    from_state: Option<bool>,
}

impl<'a> Line<'a> {
    fn of(instance_id: &'a str, action: &Action) -> Self {
        let plain = |verb, id: Option<RequestId>| Line {
            verb,
            instance_id,
            rid: id.map(hex),
            ..Line::default()
        };
        match *action {
            Action::Run(id) => plain("serve", Some(id)),
            Action::Reject {
                id,
                retry_after: avoid_for,
                no_failover: last,
            } => Line {
                cool_down: (avoid_for > 0).then_some(avoid_for),
                dont_retry: last.then_some(true),
                ..plain("not_now", Some(id))
            },
            Action::Fail(id) => plain("end_failed", Some(id)),
            Action::Call { id, timeout } => Line {
                within: Some(timeout),
                ..plain("reach_out", Some(id))
            },
            Action::SkipCall(id) => plain("do_without", Some(id)),
            Action::Preempt(id) => plain("yank", Some(id)),
            Action::ShareResponse(id) => plain("echo", Some(id)),
            Action::InsertKey { id, lifetime } => Line {
                lifetime: Some(lifetime),
                ..plain("store_key", Some(id))
            },
            Action::RemoveKey(id) => plain("drop_key", Some(id)),
            Action::SetTimer { at, token } => Line {
                moment: Some(at),
                mark: Some(token),
                ..plain("timer", None)
            },
            Action::CloseIdleConnections(after) => Line {
                lifetime: Some(after),
                ..plain("idle", None)
            },
            Action::SetFeedback(value) => Line {
                x: Some(value),
                ..plain("signal", None)
            },
            Action::SetHealth {
                healthy: good,
                from_state,
            } => Line {
                active: Some(good),
                from_state: Some(from_state),
                ..plain("health", None)
            },
        }
    }
}

fn hex(id: RequestId) -> String {
    let mut text = String::with_capacity(16);
    // Writing to a string can't fail.
    let _ = write!(text, "{id:016x}");
    text
}
