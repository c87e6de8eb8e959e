//! Rate limit of handshakes: one token bucket for all of them, and one for those that may not use
//! the reserve.

use super::kind::HandshakeKind;
use super::settings::Settings;
use cleatpulley_policy::interface::Micros;

/// Cost of a full handshake in tokens.
const FULL_COST_TOKENS: f64 = 1.0;
/// Shortage in tokens that is attributed to rounding.
const ROUNDING_TOLERANCE_TOKENS: f64 = 1e-9;
/// Minimum refill rate in tokens per second that waiting times are computed with, so that they are
/// finite.
const MIN_REFILL_TOKENS_PER_SECOND: f64 = 1e-9;

/// Both buckets, filled up to `refilled_at`.
#[derive(Debug)]
pub(super) struct TokenBuckets {
    /// Tokens for all handshakes.
    tokens: f64,
    /// Tokens for full handshakes of unknown clients, which take tokens from both buckets.
    unreserved_tokens: f64,
    refilled_at: Micros,
    settings: Settings,
}

impl TokenBuckets {
    /// Creates full buckets.
    pub(super) fn new(settings: Settings, now: Micros) -> Self {
        Self {
            tokens: settings.burst,
            unreserved_tokens: settings.burst * settings.unreserved_share(),
            refilled_at: now,
            settings,
        }
    }

    /// Adds the tokens for the time since the last refill.
    pub(super) fn refill(&mut self, now: Micros) {
        let Settings {
            per_second, burst, ..
        } = self.settings;
        let share = self.settings.unreserved_share();
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        let tokens = self.tokens + elapsed_seconds * per_second;
        let unreserved_tokens = self.unreserved_tokens + elapsed_seconds * per_second * share;
        self.tokens = tokens.min(burst);
        // With a capacity below the cost of a full handshake, none could ever begin.
        self.unreserved_tokens = unreserved_tokens.min((burst * share).max(FULL_COST_TOKENS));
        self.refilled_at = self.refilled_at.max(now);
    }

    fn cost(&self, kind: HandshakeKind) -> f64 {
        if kind.is_resumption {
            self.settings.resumed_cost
        } else {
            FULL_COST_TOKENS
        }
    }

    /// Returns the number of missing tokens for a handshake, negative if there are more than
    /// enough.
    fn shortage(&self, kind: HandshakeKind) -> f64 {
        let cost = self.cost(kind);
        let shortage = cost - self.tokens;
        if kind.priority().may_use_reserve() {
            shortage
        } else {
            shortage.max(cost - self.unreserved_tokens)
        }
    }

    /// Returns whether there are enough tokens for a handshake.
    pub(super) fn has_tokens(&self, kind: HandshakeKind) -> bool {
        self.shortage(kind) <= ROUNDING_TOLERANCE_TOKENS
    }

    /// Deducts the cost of a handshake, even if there are not enough tokens.
    pub(super) fn deduct(&mut self, kind: HandshakeKind) {
        let cost = self.cost(kind);
        self.tokens -= cost;
        if !kind.priority().may_use_reserve() {
            self.unreserved_tokens -= cost;
        }
    }

    /// Returns when there will be enough tokens for a handshake; `None` if there are already.
    pub(super) fn available_at(&self, kind: HandshakeKind) -> Option<Micros> {
        if self.has_tokens(kind) {
            return None;
        }
        let share = if kind.priority().may_use_reserve() {
            1.0
        } else {
            self.settings.unreserved_share()
        };
        let per_second = (self.settings.per_second * share).max(MIN_REFILL_TOKENS_PER_SECOND);
        let wait_micros = self.shortage(kind) / per_second * 1e6;
        Some(self.refilled_at + wait_micros.ceil() as Micros)
    }
}
