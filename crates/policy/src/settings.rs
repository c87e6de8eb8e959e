//! The settings object, as the simulator's first message and the configuration file carry it, to
//! [`Settings`]. Translation only; no decisions here.

use crate::interface::{Advert, Below, Class, Effect, Halt, Micros, Settings, Tenant};
use serde::Deserialize;

/// No time of a class is longer than a day: sums of times then stay far from overflow.
const LONGEST: Micros = 86_400_000_000;

/// The settings as an instance is given them; keys that are not known are passed over.
#[derive(Debug, Deserialize)]
pub struct BootInfo {
    classes: Vec<WireClass>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    #[serde(default)]
    clients: Clients,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    rules: Rules,
    #[serde(default)]
    servers: u32,
    #[serde(default)]
    specifics: Specifics,
    #[serde(default)]
    tick: Micros,
    #[serde(default)]
    worth_by: String,
}

#[derive(Debug, Deserialize)]
struct WireClass {
    #[serde(default)]
    name: String,
    #[serde(default)]
    effect: String,
    #[serde(default)]
    give_up: Micros,
    #[serde(default)]
    on_time: Micros,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    value: f64,
    #[serde(default)]
    repeat_window: Micros,
}

#[derive(Debug, Deserialize)]
struct WireTenant {
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct Clients {
    marks_retry: bool,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct Limits {
    retry_after: bool,
    max_retry_after: Micros,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct Rules {
    answer_slack: Micros,
    cold_from: f64,
    drain_grace: Micros,
    fall_multiple: f64,
    ramp_time: Micros,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct Specifics {
    advert: String,
    below: String,
    callers: u32,
    calls_out: f64,
    calls_over: Micros,
    class_calls: Vec<bool>,
    class_skip_worth: Vec<f64>,
    cores: u32,
    entry_kb: f64,
    fresh: Micros,
    fresh_start: bool,
    halt: String,
    idle: Micros,
    linger: Micros,
    list_follows: bool,
    memory_kb: f64,
    own_stats: Vec<String>,
    run_factor: f64,
    tells_gone: bool,
}

impl BootInfo {
    /// The names of the classes, in the order of their indexes.
    #[must_use]
    pub fn class_names(&self) -> Vec<String> {
        self.classes
            .iter()
            .map(|class| class.name.clone())
            .collect()
    }

    /// The names of the server's own gauges, in the order they are told in.
    #[must_use]
    pub fn gauge_names(&self) -> Vec<String> {
        self.specifics.own_stats.clone()
    }

    /// What a real matcher can't do without; the simulator never leaves these out.
    ///
    /// # Errors
    /// The faulty key and what is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        if self.classes.is_empty() {
            return Err("classes: at least one is needed".to_owned());
        }
        for (i, class) in self.classes.iter().enumerate() {
            let twice = self.classes[..i]
                .iter()
                .any(|other| other.name == class.name);
            if class.name.is_empty() || twice {
                return Err(format!(
                    "classes[{i}].name: {:?} is empty or taken",
                    class.name
                ));
            }
            match class.effect.as_str() {
                "idempotent" | "at_most_once" | "deduplicated" => {}
                other => return Err(format!("classes[{i}].effect: unknown effect {other:?}")),
            }
            for (key, value) in [("on_time", class.on_time), ("give_up", class.give_up)] {
                if value == 0 || value > LONGEST {
                    return Err(format!(
                        "classes[{i}].{key}: {value} is not within 1 to {LONGEST}"
                    ));
                }
            }
        }
        let specifics = &self.specifics;
        if specifics.cores == 0 {
            return Err("specifics.cores: at least one is needed".to_owned());
        }
        if !(specifics.memory_kb.is_finite() && specifics.memory_kb > 0.0) {
            return Err(format!(
                "specifics.memory_kb: {} is no memory",
                specifics.memory_kb
            ));
        }
        if !matches!(
            specifics.halt.as_str(),
            "" | "silent" | "discard" | "freeze"
        ) {
            return Err(format!(
                "specifics.halt: unknown way to stop a run: {:?}",
                specifics.halt
            ));
        }
        if self.tick == 0 || self.tick > 1_000_000 {
            return Err(format!("tick: {} is not within 1 to 1000000", self.tick));
        }
        Ok(())
    }

    /// The settings in the controller's terms.
    #[must_use]
    pub fn settings(self) -> Settings {
        let below = match self.specifics.below.as_str() {
            "one_for_all" => Below::Shared {
                share: self.specifics.calls_out,
                span: self.specifics.calls_over,
            },
            "tier" => Below::Tier,
            _ => Below::Nothing,
        };
        let classes = self
            .classes
            .iter()
            .enumerate()
            .map(|(i, c)| c.class(i, &self.specifics))
            .collect();
        Settings {
            classes,
            tenants: self
                .tenants
                .iter()
                .map(|t| Tenant {
                    quota_per_s: t.quota_rps,
                })
                .collect(),
            over_share_worth: self.over_share_worth,
            worth_by_work: self.worth_by == "work",
            marks_retry: self.clients.marks_retry,
            servers: self.servers,
            callers: self.specifics.callers,
            cores: self.specifics.cores,
            memory_kb: self.specifics.memory_kb,
            entry_kb: self.specifics.entry_kb,
            run_factor: self.specifics.run_factor,
            below,
            idle: self.specifics.idle,
            linger: self.specifics.linger,
            fresh: self.specifics.fresh,
            advert: match self.specifics.advert.as_str() {
                "floor" => Advert::Floor,
                "allowance" => Advert::Allowance,
                "weight" => Advert::Weight,
                _ => Advert::Unused,
            },
            max_avoid: if self.limits.retry_after {
                self.limits.max_retry_after
            } else {
                0
            },
            tells_gone: self.specifics.tells_gone,
            halt: match self.specifics.halt.as_str() {
                "discard" => Halt::Discard,
                "freeze" => Halt::Freeze,
                _ => Halt::Never,
            },
            list_follows_health: self.specifics.list_follows,
            cold_start: self.specifics.fresh_start,
            cold_speed: self.rules.cold_from,
            warm_after: self.rules.ramp_time,
            answer_slack: self.rules.answer_slack,
            drain_grace: self.rules.drain_grace,
            crowd: self.rules.fall_multiple,
            tick: self.tick,
        }
    }
}

impl WireClass {
    fn class(&self, index: usize, specifics: &Specifics) -> Class {
        Class {
            effect: match self.effect.as_str() {
                "deduplicated" => Effect::Keyed,
                "at_most_once" => Effect::Unsafe,
                _ => Effect::Safe,
            },
            aim: self.on_time,
            aim_stretch: self.aim_stretch,
            deadline: self.give_up,
            late_worth: self.late_value,
            worth: self.value,
            window: self.repeat_window,
            calls: specifics.class_calls.get(index).copied().unwrap_or(false),
            skip_worth: specifics
                .class_skip_worth
                .get(index)
                .copied()
                .unwrap_or(0.0),
        }
    }
}
