//! The JSON protocol of the simulator adapter. Decodes lines into [`Event`]s and encodes [`Action`]s
//! as lines; all decisions are left to the [`Controller`].

use cleatpulley_policy::interface::{Action, Event, Gauges, Micros, Outcome, Request, RequestId};
use cleatpulley_policy::settings::SettingsDocument;
use cleatpulley_policy::Controller;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Runs one [`Controller`] per instance and replies to rounds of events with their actions.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<String, Instance>,
    /// Names of the instances with events in the open round, in the order of their first event.
    active: Vec<String>,
    round: Option<Round>,
    actions: Vec<Action>,
}

struct Instance {
    controller: Controller,
    class_count: usize,
    tenant_count: usize,
    /// Events of the open round.
    events: Vec<Event>,
}

struct Round {
    clock: Micros,
    number: u64,
}

impl Adapter {
    /// Handles one line of input. A line that ends a round appends the reply to `reply`. Returns
    /// warnings about lines that were skipped.
    ///
    /// # Errors
    /// The line is invalid; the error is one line with the round, the verb and the reason. The adapter
    /// can't continue after it.
    pub fn handle_line(&mut self, line: &str, reply: &mut String) -> Result<Vec<String>, String> {
        if line.is_empty() {
            return Ok(Vec::new());
        }
        let value: Value =
            serde_json::from_str(line).map_err(|e| self.error("-", &format!("not JSON: {e}")))?;
        let Some(verb) = value.get("verb").and_then(Value::as_str).map(str::to_owned) else {
            return Err(self.error("-", "missing field `verb`"));
        };
        self.dispatch(&verb, value, reply)
    }

    /// Handles the end of the input.
    ///
    /// # Errors
    /// A round is still open.
    pub fn finish(&self) -> Result<(), String> {
        match self.round {
            None => Ok(()),
            Some(_) => Err(self.error("-", "the input ended inside a round")),
        }
    }

    /// Formats a message about the current line.
    fn error(&self, verb: &str, message: &str) -> String {
        let round = self
            .round
            .as_ref()
            .map_or_else(|| "-".to_owned(), |round| round.number.to_string());
        format!("round {round}, verb {verb}: {message}")
    }

    fn dispatch(
        &mut self,
        verb: &str,
        value: Value,
        reply: &mut String,
    ) -> Result<Vec<String>, String> {
        if verb == "tick" {
            if self.round.is_some() {
                return Err(self.error(verb, "the last round is still open"));
            }
            let tick: Tick = self.decode(verb, value)?;
            self.round = Some(Round {
                clock: tick.clock,
                number: tick.round,
            });
            return Ok(Vec::new());
        }
        let Some(clock) = self.round.as_ref().map(|round| round.clock) else {
            return Err(self.error(verb, "no round is open"));
        };
        match verb {
            "go" => self.run_round(reply),
            "enlist" => self.add_instance(verb, value)?,
            "retire" => {
                let line: Retire = self.decode(verb, value)?;
                if self.instances.remove(&line.instance_id).is_none() {
                    return Err(self.error(verb, &format!("unknown instance {}", line.instance_id)));
                }
            }
            "accept" | "needs" | "call_ended" | "withdrawn" | "leaving" | "wakeup" | "finished" => {
                self.push_event(verb, value, clock)?;
            }
            _ => return Ok(vec![self.error(verb, "unknown kind of event, skipped")]),
        }
        Ok(Vec::new())
    }

    fn decode<T: for<'a> Deserialize<'a>>(&self, verb: &str, value: Value) -> Result<T, String> {
        serde_json::from_value(value).map_err(|e| self.error(verb, &e.to_string()))
    }

    fn add_instance(&mut self, verb: &str, value: Value) -> Result<(), String> {
        let line: Enlist = self.decode(verb, value)?;
        let settings = line.boot_info.into_settings();
        if settings.classes.is_empty() {
            return Err(self.error(verb, "no classes"));
        }
        let instance = Instance {
            class_count: settings.classes.len(),
            tenant_count: settings.tenants.len(),
            controller: Controller::new(settings, line.random_seed),
            events: vec![Event::Started],
        };
        self.instances.insert(line.instance_id.clone(), instance);
        self.active.push(line.instance_id);
        Ok(())
    }

    fn push_event(&mut self, verb: &str, value: Value, clock: Micros) -> Result<(), String> {
        let (name, event) = match verb {
            "accept" => {
                let line: Accept = self.decode(verb, value)?;
                self.check_indexes(verb, &line)?;
                (line.instance_id.clone(), Event::Arrived(line.request()))
            }
            "withdrawn" => {
                let line: RequestEvent = self.decode(verb, value)?;
                (line.instance_id, Event::Abandoned(line.rid.0))
            }
            "needs" => {
                let line: RequestEvent = self.decode(verb, value)?;
                (line.instance_id, Event::CallRequested(line.rid.0))
            }
            "call_ended" => {
                let EndedEvent {
                    instance_id,
                    rid,
                    reason,
                    elapsed,
                } = self.decode(verb, value)?;
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
                let EndedEvent {
                    instance_id,
                    rid,
                    reason,
                    elapsed,
                } = self.decode(verb, value)?;
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
                let line: Leaving = self.decode(verb, value)?;
                (
                    line.instance_id,
                    Event::DrainStarted {
                        stop_at: line.not_after.max(clock),
                    },
                )
            }
            _ => {
                let line: Wakeup = self.decode(verb, value)?;
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
            return Err(self.error(verb, &format!("unknown instance {name}")));
        };
        if instance.events.is_empty() {
            self.active.push(name);
        }
        instance.events.push(event);
        Ok(())
    }

    fn check_indexes(&self, verb: &str, line: &Accept) -> Result<(), String> {
        let Some(instance) = self.instances.get(&line.instance_id) else {
            return Err(self.error(verb, &format!("unknown instance {}", line.instance_id)));
        };
        if line.category >= instance.class_count {
            return Err(self.error(verb, &format!("category {} is out of range", line.category)));
        }
        if line.tenant >= instance.tenant_count.max(1) {
            return Err(self.error(verb, &format!("tenant {} is out of range", line.tenant)));
        }
        Ok(())
    }

    /// Ends the open round: passes the events to the controllers and appends their actions to `reply`.
    fn run_round(&mut self, reply: &mut String) {
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
                push_line(reply, &ActionLine::new(&name, &action));
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
        Err(error) => unreachable!("structs of numbers and strings always serialize: {error}"),
    }
    reply.push('\n');
}

#[derive(Deserialize)]
struct Tick {
    clock: Micros,
    round: u64,
}

#[derive(Deserialize)]
struct Retire {
    instance_id: String,
}

#[derive(Deserialize)]
struct Enlist {
    instance_id: String,
    #[serde(default)]
    random_seed: u64,
    boot_info: SettingsDocument,
}

/// A request id, encoded as 16 hex digits.
#[derive(Deserialize, Clone, Copy)]
#[serde(try_from = "String")]
struct HexRequestId(RequestId);

impl TryFrom<String> for HexRequestId {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let is_lowercase_hex = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        match u64::from_str_radix(&text, 16) {
            Ok(id) if is_lowercase_hex && text.len() == 16 => Ok(Self(id)),
            _ => Err(format!("request id {text:?} is not 16 hex digits")),
        }
    }
}

#[derive(Deserialize)]
struct RequestEvent {
    instance_id: String,
    rid: HexRequestId,
}

#[derive(Deserialize)]
struct EndedEvent {
    instance_id: String,
    rid: HexRequestId,
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
    rid: HexRequestId,
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

/// Bit of `marks`: `size_hint` is valid.
const SIZE_HINT_VALID_BIT: u32 = 1;
/// Bit of `marks`: the request is a retry.
const RETRY_BIT: u32 = 2;
/// Bit of `marks`: the request is a write.
const WRITE_BIT: u32 = 4;

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
                .and_then(|text| HexRequestId::try_from(text).ok())
                .map(|id| id.0)
                .filter(|id| *id != 0),
            class: self.category,
            tenant: self.tenant,
            read_delay: self.queued_for,
            expected_work: (self.marks & SIZE_HINT_VALID_BIT != 0 && self.size_hint > 0)
                .then_some(self.size_hint),
            is_retry: self.marks & RETRY_BIT != 0,
            is_write: self.marks & WRITE_BIT != 0,
            has_subject: self
                .entity
                .as_ref()
                .is_some_and(|entity| entity.as_str().is_some_and(|text| !text.is_empty())),
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

/// The line of one action; it leaves out the fields that the action does not have.
#[derive(Serialize, Default)]
struct ActionLine<'a> {
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

impl<'a> ActionLine<'a> {
    fn new(instance_id: &'a str, action: &Action) -> Self {
        let line = |verb, id: Option<RequestId>| ActionLine {
            verb,
            instance_id,
            rid: id.map(format_request_id),
            ..ActionLine::default()
        };
        match *action {
            Action::Run(id) => line("serve", Some(id)),
            Action::Reject {
                id,
                retry_after,
                no_failover,
            } => ActionLine {
                cool_down: (retry_after > 0).then_some(retry_after),
                dont_retry: no_failover.then_some(true),
                ..line("not_now", Some(id))
            },
            Action::Fail(id) => line("end_failed", Some(id)),
            Action::Call { id, timeout } => ActionLine {
                within: Some(timeout),
                ..line("reach_out", Some(id))
            },
            Action::SkipCall(id) => line("do_without", Some(id)),
            Action::Preempt(id) => line("yank", Some(id)),
            Action::ShareResponse(id) => line("echo", Some(id)),
            Action::InsertKey { id, lifetime } => ActionLine {
                lifetime: Some(lifetime),
                ..line("store_key", Some(id))
            },
            Action::RemoveKey(id) => line("drop_key", Some(id)),
            Action::SetTimer { at, token } => ActionLine {
                moment: Some(at),
                mark: Some(token),
                ..line("timer", None)
            },
            Action::CloseIdleConnections(idle_timeout) => ActionLine {
                lifetime: Some(idle_timeout),
                ..line("idle", None)
            },
            Action::SetFeedback(value) => ActionLine {
                x: Some(value),
                ..line("signal", None)
            },
            Action::SetHealth {
                healthy,
                from_state,
            } => ActionLine {
                active: Some(healthy),
                from_state: Some(from_state),
                ..line("health", None)
            },
        }
    }
}

fn format_request_id(id: RequestId) -> String {
    let mut text = String::with_capacity(16);
    // Writing to a string can't fail.
    let _ = write!(text, "{id:016x}");
    text
}
