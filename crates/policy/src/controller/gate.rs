//! The destination below: calls in hand, their bound, and the gap.

use super::{smooth, MARGIN};
use crate::interface::{Below, Micros, Outcome, Settings};

/// Weight of the past in the smoothed backlog, as the paper has it.
const ALPHA: f64 = 0.9;
/// The gap shrinks to no less than this share of itself in one period, as the paper has it.
const PHI_MIN: f64 = 0.2;
/// A gap of this share of the call latency or less spaces nothing out: it counts as none.
const GAP_FLOOR: f64 = 0.1;
/// The longest gap in call latencies: one that outlives the trouble by more would idle a healed dependency.
const GAP_CEILING: f64 = 2.0;
/// Calls falter when their smoothed latency is this multiple of the usual, as DESIGN has it.
const FALTER: f64 = 2.0;
/// Weight of a call in the usual latency: a trouble is not taken for the usual, but a new state is, in time.
const USUAL_SMOOTH: f64 = 0.002;
/// Call latencies for which no call is made after one failed: one that is down gets no storm of repeats.
const CALL_PAUSE: f64 = 2.0;
/// Share of the told calls below which their bound is not halved: what lies below survives them.
const LEAST_SHARE: f64 = 0.5;
/// Weight by which the latency nears the usual in one without calls: none would put a belief right.
const LATENCY_FADE: f64 = 0.25;
/// Share of its span for which the calls' mean may run ahead: little beside what the mean forgives.
const BURST_SHARE: f64 = 0.1;

/// The destination below: calls in hand, their bound, and the gap.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gate {
    pub(crate) bound: f64,
    least: f64,
    /// Calls in hand that are ours as a mean over `span`.
    pub(crate) share: f64,
    span: Micros,
    /// Decisions are no closer than this: shorter latencies differ by chance.
    period: Micros,
    /// Call time that the share, less a margin, still allows, in microseconds.
    budget: f64,
    pub(crate) sqlen: f64,
    pub(crate) gap: f64,
    /// The last admission, and whether it opened a gap.
    admitted: Micros,
    gapped: bool,
    pub(crate) latency: f64,
    pub(crate) usual: f64,
    falters: bool,
    halved_at: Micros,
    /// Calls that ended without a word from below since the last with one, and when that was made.
    unheard: u32,
    heard: Micros,
    /// When a call was last in hand, or its trace faded.
    idle_from: Micros,
    /// No call is made before this time.
    paused_until: Micros,
    /// Start and end of the calls of the last span; an abandoned one ends when it has left the hands below.
    pub(super) past: Vec<(Micros, Micros)>,
}

impl Gate {
    pub(super) fn new(settings: &Settings, period: Micros) -> Self {
        let cores = f64::from(settings.cores.max(1));
        let (share, span, start, least) = match settings.below {
            Below::Shared { share, span } => (
                MARGIN * share.max(0.0),
                span,
                1.0,
                LEAST_SHARE * MARGIN * share,
            ),
            _ => (
                cores * settings.crowd.max(1.0),
                settings.warm_after,
                cores,
                1.0,
            ),
        };
        let aim = settings
            .classes
            .iter()
            .map(|class| class.aim)
            .min()
            .unwrap_or(0);
        let latency = (GAP_FLOOR * aim as f64).max(1.0);
        let (bound, least) = (start.min(share.max(1.0)), least.max(1.0));
        Self {
            bound,
            least,
            share,
            span,
            period,
            latency,
            ..Self::default()
        }
    }

    /// A gap holds off the least worth for twice its length and the most for hardly any.
    pub(super) fn closed(&self, now: Micros, standing: f64) -> bool {
        self.gapped && ((now - self.admitted) as f64) < 2.0 * self.gap * (1.0 - standing)
    }

    /// Each admission closes the destination for one gap.
    pub(super) fn admit(&mut self, now: Micros) {
        self.gapped = self.gap > GAP_FLOOR * self.latency;
        self.admitted = now;
    }

    pub(super) fn has_room(&self, now: Micros, in_hand: usize) -> bool {
        let taken = self.taken(now, in_hand) as f64;
        (now >= self.paused_until && taken < self.bound.floor().max(1.0) && self.budget >= 0.0)
            && self
                .allowance(now)
                .is_none_or(|left| left >= self.latency.min(self.whole()))
    }

    /// The call time of one span that the told share stands for.
    fn whole(&self) -> f64 {
        self.share / MARGIN * self.span as f64
    }

    /// Calls in the hands of what lies below.
    fn taken(&self, now: Micros, in_hand: usize) -> usize {
        in_hand + self.past.iter().filter(|call| call.1 > now).count()
    }

    /// Where less than one call is ours: the call time that the share leaves of the last span. Guards against
    /// what lies below turning slow, when all servers at once make calls as long as they may.
    pub(super) fn allowance(&self, now: Micros) -> Option<f64> {
        let from = now.saturating_sub(self.span);
        let used: Micros = self
            .past
            .iter()
            .map(|call| call.1.saturating_sub(call.0.max(from)))
            .sum();
        (self.share < 1.0).then(|| self.whole() - used as f64)
    }

    /// One period of the paper's rule; the backlog alone does not gap while calls below keep their pace.
    pub(super) fn adjust(&mut self, now: Micros, passed: Micros, backlog: usize, in_hand: usize) {
        self.past.retain(|call| call.1 + self.span > now);
        let gained = (self.share - self.taken(now, in_hand) as f64) * passed as f64;
        self.budget = (self.budget + gained).min(BURST_SHARE * self.share * self.span as f64);
        self.sqlen = ALPHA * self.sqlen + (1.0 - ALPHA) * backlog as f64;
        let phi = (self.sqlen / self.bound.max(1.0)).max(PHI_MIN);
        let phi = if self.falters { phi } else { phi.min(1.0) };
        let idles = now >= self.idle_from + self.latency as Micros;
        if in_hand > 0 {
            self.idle_from = now;
        } else if idles && self.latency > self.usual && self.usual > 0.0 {
            self.latency += LATENCY_FADE * (self.usual - self.latency);
            self.idle_from = now;
        }
        self.gap = (self.gap * phi).clamp(GAP_FLOOR * self.latency, GAP_CEILING * self.latency);
    }

    pub(super) fn call_ended(
        &mut self,
        now: Micros,
        outcome: Outcome,
        elapsed: Micros,
        linger: Micros,
    ) {
        let made = now.saturating_sub(elapsed);
        self.past.push((
            made,
            if outcome == Outcome::TimedOut {
                now + linger
            } else {
                now
            },
        ));
        let answered = matches!(outcome, Outcome::Success | Outcome::Failure);
        self.heard = self.heard.max(if answered { made } else { 0 });
        // Guards against taking a connection that broke or fell silent for trouble below: there, the next
        // call has no answer either, and nor have those made after it.
        let silent = matches!(outcome, Outcome::TimedOut | Outcome::Broken);
        self.unheard = if silent { self.unheard + 1 } else { 0 };
        if silent && (self.unheard == 1 || self.heard > made) {
            return;
        }
        if answered || outcome == Outcome::TimedOut {
            self.latency = smooth(self.latency, elapsed as f64).max(1.0);
        }
        if answered {
            let old = if self.usual > 0.0 {
                self.usual
            } else {
                elapsed as f64
            };
            self.usual = old + USUAL_SMOOTH * (elapsed as f64 - old);
        }
        if !answered && outcome != Outcome::TimedOut {
            self.paused_until = now + (CALL_PAUSE * self.latency) as Micros;
        }
        self.falters = !answered || self.latency > FALTER * self.usual.max(self.period as f64);
        if !self.falters {
            self.bound = (self.bound + 1.0 / self.bound).min(self.share.max(1.0));
        } else if now >= self.halved_at + self.latency as Micros {
            self.bound = (self.bound / 2.0).max(self.least);
            self.halved_at = now;
        }
    }
}
