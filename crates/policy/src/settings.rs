//! The settings document, as found in the configuration file and in the simulator's first message,
//! and its conversion to [`Settings`]. The external names of settings appear in this module only.

use crate::interface::{
    Class, DependencyLimit, Effect, FeedbackKind, Micros, Preemption, Settings, Tenant,
};
use serde::Deserialize;

/// The longest time that a class may be configured with, one day: sums of such times can't
/// overflow.
const MAX_CLASS_TIME: Micros = 86_400_000_000;
/// The longest configurable time between two steps of the controller.
const MAX_TICK: Micros = 1_000_000;

/// The settings document of an instance. Unknown keys are ignored.
#[derive(Debug, Deserialize)]
pub struct SettingsDocument {
    classes: Vec<ClassDocument>,
    #[serde(default)]
    tenants: Vec<TenantDocument>,
    #[serde(default)]
    clients: ClientsDocument,
    #[serde(default)]
    limits: LimitsDocument,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    rules: RulesDocument,
    #[serde(default)]
    servers: u32,
    #[serde(default)]
    specifics: SpecificsDocument,
    #[serde(default)]
    tick: Micros,
    #[serde(default)]
    worth_by: String,
}

#[derive(Debug, Deserialize)]
struct ClassDocument {
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
struct TenantDocument {
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct ClientsDocument {
    marks_retry: bool,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct LimitsDocument {
    retry_after: bool,
    max_retry_after: Micros,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct RulesDocument {
    answer_slack: Micros,
    cold_from: f64,
    drain_grace: Micros,
    fall_multiple: f64,
    ramp_time: Micros,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct SpecificsDocument {
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

/// A key of the settings document with an invalid value.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The document has no class.
    #[error("classes: at least one is needed")]
    NoClasses,
    /// The name of a class is empty or the same as that of another class.
    #[error("classes[{index}].name: {name:?} is empty or already in use")]
    ClassName {
        /// Index of the class.
        index: usize,
        /// The invalid name.
        name: String,
    },
    /// The effect of a class is unknown.
    #[error("classes[{index}].effect: unknown effect {effect:?}")]
    UnknownEffect {
        /// Index of the class.
        index: usize,
        /// The unknown value.
        effect: String,
    },
    /// A time of a class is out of range.
    #[error("classes[{index}].{key}: {value} is not within 1 to {MAX_CLASS_TIME}")]
    ClassTime {
        /// Index of the class.
        index: usize,
        /// Key of the time that is out of range.
        key: &'static str,
        /// Value, in microseconds.
        value: Micros,
    },
    /// The number of cores is 0.
    #[error("specifics.cores: at least one is needed")]
    NoCores,
    /// The memory is not a positive finite number.
    #[error("specifics.memory_kb: {0} is not a positive finite number")]
    NoMemory(f64),
    /// The preemption mode is unknown.
    #[error("specifics.halt: unknown preemption mode {0:?}")]
    UnknownPreemption(String),
    /// The tick is out of range.
    #[error("tick: {0} is not within 1 to {MAX_TICK}")]
    Tick(Micros),
}

impl SettingsDocument {
    /// Returns the names of the classes, by index.
    #[must_use]
    pub fn class_names(&self) -> Vec<String> {
        self.classes
            .iter()
            .map(|class| class.name.clone())
            .collect()
    }

    /// Returns the names of the server's gauges, in the order in which their values are reported.
    #[must_use]
    pub fn gauge_names(&self) -> Vec<String> {
        self.specifics.own_stats.clone()
    }

    /// Validates the keys that a production server requires. The simulator always sends them.
    ///
    /// # Errors
    /// Returns the first key with an invalid value.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(index, &self.classes[..index])?;
        }
        self.specifics.validate()?;
        if self.tick == 0 || self.tick > MAX_TICK {
            return Err(SettingsError::Tick(self.tick));
        }
        Ok(())
    }

    /// Converts the document to the settings of a controller.
    #[must_use]
    pub fn into_settings(self) -> Settings {
        let specifics = self.specifics;
        let classes = self
            .classes
            .iter()
            .enumerate()
            .map(|(index, class)| class.to_class(index, &specifics))
            .collect();
        let tenants = self
            .tenants
            .iter()
            .map(|tenant| Tenant {
                quota_per_second: tenant.quota_rps,
            })
            .collect();
        let max_retry_after = if self.limits.retry_after {
            self.limits.max_retry_after
        } else {
            0
        };
        Settings {
            classes,
            tenants,
            over_quota_weight_ratio: self.over_share_worth,
            weight_by_work: self.worth_by == "work",
            marks_retries: self.clients.marks_retry,
            servers: self.servers,
            callers: specifics.callers,
            cores: specifics.cores,
            memory_kb: specifics.memory_kb,
            key_entry_kb: specifics.entry_kb,
            running_memory_factor: specifics.run_factor,
            dependency: specifics.dependency(),
            client_idle_timeout: specifics.idle,
            abandoned_call_linger: specifics.linger,
            shared_response_lifetime: specifics.fresh,
            feedback: specifics.feedback(),
            max_retry_after,
            reports_abandonment: specifics.tells_gone,
            preemption: specifics.preemption(),
            discovery_follows_health: specifics.list_follows,
            cold_start: specifics.fresh_start,
            cold_start_speed: self.rules.cold_from,
            warm_up_time: self.rules.ramp_time,
            response_slack: self.rules.answer_slack,
            drain_grace: self.rules.drain_grace,
            overload_concurrency_per_core: self.rules.fall_multiple,
            tick: self.tick,
        }
    }
}

impl ClassDocument {
    fn validate(&self, index: usize, earlier_classes: &[Self]) -> Result<(), SettingsError> {
        let is_taken = earlier_classes.iter().any(|other| other.name == self.name);
        if self.name.is_empty() || is_taken {
            return Err(SettingsError::ClassName {
                index,
                name: self.name.clone(),
            });
        }
        if !matches!(
            self.effect.as_str(),
            "idempotent" | "at_most_once" | "deduplicated"
        ) {
            return Err(SettingsError::UnknownEffect {
                index,
                effect: self.effect.clone(),
            });
        }
        for (key, value) in [("on_time", self.on_time), ("give_up", self.give_up)] {
            if value == 0 || value > MAX_CLASS_TIME {
                return Err(SettingsError::ClassTime { index, key, value });
            }
        }
        Ok(())
    }

    fn to_class(&self, index: usize, specifics: &SpecificsDocument) -> Class {
        let effect = match self.effect.as_str() {
            "deduplicated" => Effect::Deduplicated,
            "at_most_once" => Effect::AtMostOnce,
            _ => Effect::Idempotent,
        };
        let calls_dependency = specifics.class_calls.get(index).copied();
        let weight_ratio_without_call = specifics.class_skip_worth.get(index).copied();
        Class {
            effect,
            latency_objective: self.on_time,
            latency_objective_stretch: self.aim_stretch,
            client_timeout: self.give_up,
            late_weight_ratio: self.late_value,
            priority_weight: self.value,
            deduplication_window: self.repeat_window,
            calls_dependency: calls_dependency.unwrap_or(false),
            weight_ratio_without_call: weight_ratio_without_call.unwrap_or(0.0),
        }
    }
}

impl SpecificsDocument {
    fn validate(&self) -> Result<(), SettingsError> {
        if self.cores == 0 {
            return Err(SettingsError::NoCores);
        }
        if !(self.memory_kb.is_finite() && self.memory_kb > 0.0) {
            return Err(SettingsError::NoMemory(self.memory_kb));
        }
        if !matches!(self.halt.as_str(), "" | "silent" | "discard" | "freeze") {
            return Err(SettingsError::UnknownPreemption(self.halt.clone()));
        }
        Ok(())
    }

    fn dependency(&self) -> DependencyLimit {
        match self.below.as_str() {
            "one_for_all" => DependencyLimit::Shared {
                concurrency_quota: self.calls_out,
                averaging_window: self.calls_over,
            },
            "tier" => DependencyLimit::NextTier,
            _ => DependencyLimit::NoDependency,
        }
    }

    fn feedback(&self) -> FeedbackKind {
        match self.advert.as_str() {
            "floor" => FeedbackKind::MinimumRank,
            "allowance" => FeedbackKind::ConcurrencyAllowance,
            "weight" => FeedbackKind::Weight,
            _ => FeedbackKind::Unused,
        }
    }

    fn preemption(&self) -> Preemption {
        match self.halt.as_str() {
            "discard" => Preemption::Discard,
            "freeze" => Preemption::Suspend,
            _ => Preemption::Never,
        }
    }
}
