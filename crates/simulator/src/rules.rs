//! The rules, checked after each step against the records of front ends, runtimes and the store
//! only.

use crate::admission_rules::AdmissionRules;
use crate::front_end::{Attempt, AttemptOutcome};
use crate::metrics_poller::MetricsRequest;
use crate::simulation::{Simulation, DRAIN_GRACE};
use cleatpulley_emulators::runtime::result_of;
use cleatpulley_emulators::site::Setup;
use cleatpulley_policy::interface::Micros;
use std::collections::{BTreeMap, HashMap};

const MS: Micros = 1_000;
/// A response may arrive this long after its deadline: the allowed slack, the delay of sockets, and
/// the network.
const RESPONSE_SLACK: Micros = 60 * MS + 50 * MS + MS;
/// A message sent within this time before a shutdown or a close may have crossed it.
const IN_FLIGHT_TIME: Micros = 60 * MS;

/// Time in which a process reads the store that it has taken over.
const STORE_RECOVERY_TIME: Micros = 5 * MS;

/// Time in which a process whose successor died accepts no clients, so that they wait in the
/// backlog.
const SUCCESSOR_SEARCH_TIME: Micros = 60 * MS;
/// Within this time a process whose successor died has found the next one, or accepts clients
/// again.
const PREDECESSOR_SEARCH_TIME: Micros = 400 * MS;
/// Time in which an idle process releases the store of results to the process that replaced it.
const STORE_RELEASE_TIME: Micros = 500 * MS;

/// Time in which a metrics request needs a response, including the network.
const METRICS_RESPONSE_TIME: Micros = 1_000 * MS + MS;
/// Interval of the memory check.
const MEMORY_CHECK_INTERVAL: Micros = 20 * MS;
/// Memory that a request declares, and the factor that applies while it runs.
const REQUEST_MEMORY_KB: f64 = 20.0;
const RUNNING_MEMORY_FACTOR: f64 = 4.0;

#[derive(Debug, Default)]
struct KeyHistory {
    /// Id of the attempt that ran, and whether its body differs from that of the key's other
    /// attempts.
    ran: Option<(u64, bool)>,
    response: Option<Vec<u8>>,
    response_at: Micros,
}

/// Checker of the rules.
#[derive(Debug, Default)]
pub(crate) struct Rules {
    pub violations: Vec<String>,
    /// How often each coverage point was reached.
    pub coverage: BTreeMap<&'static str, u64>,
    /// A trace is wanted; its lines are collected here.
    traced: bool,
    pub trace_lines: Vec<String>,
    /// By machine: number of the runtime's starts that have been checked.
    starts: Vec<usize>,
    keys: HashMap<(usize, u64), KeyHistory>,
    cores: usize,
    slots: usize,
    overloaded_since: Vec<Option<Micros>>,
    /// When memory was last checked.
    memory_checked_at: Micros,
    admission_rules: AdmissionRules,
    /// By machine: when the newest process last did not hold the store of results.
    store_elsewhere_at: Vec<Micros>,
    /// By machine: incarnation that holds the store of results.
    store_owners: Vec<Option<u64>>,
    /// By machine: since when an idle process has held the store while another waits for it.
    idle_owner_since: Vec<Option<Micros>>,
}

impl Rules {
    pub(crate) fn new(setup: &Setup, traced: bool) -> Self {
        Self {
            traced,
            cores: setup.cores as usize,
            slots: setup.store.slots,
            ..Self::default()
        }
    }

    fn trace(&mut self, text: impl FnOnce() -> String) {
        if self.traced {
            self.trace_lines.push(text());
        }
    }

    fn record_coverage(&mut self, message: &'static str) {
        *self.coverage.entry(message).or_default() += 1;
    }

    fn report_violation(&mut self, sim: &Simulation, message: String) {
        self.violations
            .push(format!("at {:.6} s: {message}", sim.elapsed() as f64 / 1e6));
    }

    pub(crate) fn check(&mut self, sim: &mut Simulation) {
        self.store_elsewhere_at.resize(sim.machines.len(), 0);
        self.store_owners.resize(sim.machines.len(), None);
        for (m, machine) in sim.machines.iter().enumerate() {
            let (newest, owner) = (
                machine.processes.last().map(|process| process.incarnation),
                machine.store_lock.get(),
            );
            if newest.is_some() && owner != newest {
                self.store_elsewhere_at[m] = sim.clock();
            }
            if std::mem::replace(&mut self.store_owners[m], owner) != owner {
                self.trace(|| match owner {
                    Some(incarnation) => {
                        format!("m{m}: incarnation {incarnation} holds the store of results")
                    }
                    None => format!("m{m}: no process holds the store of results"),
                });
            }
        }
        self.check_owners(sim);
        self.check_starts(sim);
        self.check_outcomes(sim);
        self.check_deadlines(sim);
        self.check_overload(sim);
        self.check_memory(sim);
        self.check_listeners(sim);
        self.check_metrics_requests(sim);
        for message in self.admission_rules.check(sim) {
            self.report_violation(sim, message);
        }
        let most = sim.store.stats.peak_calls;
        if most > 5 * self.slots {
            self.report_violation(
                sim,
                format!("the store has {most} calls, more than five times its slots"),
            );
        }
        for n in 0..sim.front_ends.len() {
            if sim.front_ends[n].unexpected_responses > 0 {
                self.report_violation(
                    sim,
                    format!("front end {n} got a response to no open request"),
                );
            }
        }
    }

    /// An idle process does not keep the store of results from the process that serves.
    fn check_owners(&mut self, sim: &Simulation) {
        self.idle_owner_since.resize(sim.machines.len(), None);
        let now = sim.clock();
        for (m, machine) in sim.machines.iter().enumerate() {
            let owner = match &machine.processes[..] {
                // Most of the time there is a single process, and nothing to check.
                [] | [_] => None,
                [older @ .., newest] if newest.server.accepts_clients() => older
                    .iter()
                    .find(|process| Some(process.incarnation) == machine.store_lock.get()),
                _ => None,
            };
            let idle = owner.filter(|owner| {
                let usage = owner.server.usage();
                usage.requests == 0 && usage.client_connections == 0
            });
            let is_healthy = machine.paused_since.is_none() && now > machine.disk_trouble_until;
            match idle.filter(|_| is_healthy) {
                None => self.idle_owner_since[m] = None,
                Some(owner) => {
                    let since = *self.idle_owner_since[m].get_or_insert(now);
                    if now > since + STORE_RELEASE_TIME {
                        let incarnation = owner.incarnation;
                        self.report_violation(
                            sim,
                            format!("m{m}: incarnation {incarnation} is idle and keeps the store of results"),
                        );
                    }
                }
            }
        }
    }

    /// A request with an effect never runs twice, and a request that arrived after the drain grace
    /// never runs.
    fn check_starts(&mut self, sim: &Simulation) {
        self.starts.resize(sim.machines.len(), 0);
        for (m, machine) in sim.machines.iter().enumerate() {
            let seen = &machine.runtime.stats;
            while let Some(&id) = seen.start_order.get(self.starts[m]) {
                self.starts[m] += 1;
                self.trace(|| format!("m{m} runs {id:016x}"));
                let Some(sent) = sim
                    .front_ends
                    .iter()
                    .find_map(|front_end| front_end.sent.get(&id))
                    .copied()
                else {
                    self.report_violation(
                        sim,
                        format!("m{m} runs {id:016x}, which no front end sent"),
                    );
                    continue;
                };
                if seen.starts.get(&id).is_some_and(|start| start.1 > 1)
                    && sim.front_ends[0].has_effect(sent.kind)
                {
                    self.report_violation(sim, format!("m{m} runs {id:016x} twice"));
                }
                if machine
                    .drain_started_at
                    .is_some_and(|left| sent.at > left + DRAIN_GRACE + 50 * MS)
                {
                    self.report_violation(
                        sim,
                        format!("m{m} runs {id:016x}, which arrived after the drain grace"),
                    );
                }
                if let Some(key) = sent.key {
                    let entry = self.keys.entry((m, key)).or_default();
                    if let Some((before, _)) = entry.ran.replace((id, sent.has_conflicting_body)) {
                        self.report_violation(
                            sim,
                            format!("m{m} runs key {key:x} twice: {before:016x} and {id:016x}"),
                        );
                    }
                }
            }
        }
    }

    fn check_outcomes(&mut self, sim: &mut Simulation) {
        for n in 0..sim.front_ends.len() {
            let new_attempts = sim.front_ends[n]
                .new_attempts
                .as_mut()
                .map(std::mem::take)
                .unwrap_or_default();
            for id in new_attempts {
                let sent = sim.front_ends[n].sent[&id];
                let key = sent
                    .key
                    .map_or(String::new(), |key| format!(" under key {key:x}"));
                let link = sim.front_ends[n]
                    .open
                    .get(&id)
                    .map_or(0, |attempt| attempt.link);
                self.trace(|| {
                    format!(
                        "front end {n} sends {id:016x}{key} to m{} on link {link}",
                        sent.matcher
                    )
                });
            }
            for (id, link, outcome) in std::mem::take(&mut sim.front_ends[n].outcomes) {
                let Some(sent) = sim.front_ends[n].sent.get(&id).copied() else {
                    continue;
                };
                let m = sent.matcher;
                sim.request_over(m, id);
                let ran = sim.machines[m].runtime.stats.starts.contains_key(&id);
                self.trace(|| {
                    let description = match &outcome {
                        AttemptOutcome::Served(_) => "served",
                        AttemptOutcome::Rejected => "refused",
                        AttemptOutcome::Failed => "failed",
                        AttemptOutcome::Lost => "lost",
                    };
                    format!("front end {n}: {id:016x} by m{m} {description}")
                });
                match outcome {
                    AttemptOutcome::Served(result) => {
                        self.record_coverage("served");
                        if !sim.front_ends[n].was_rejected(link)
                            && self.admission_rules.on_served(sim, m)
                        {
                            self.record_coverage(
                                "known caller returns after a restart during a flood",
                            );
                        }
                        match sent.key {
                            None if result != result_of(id) => {
                                self.report_violation(
                                    sim,
                                    format!("{id:016x} got a result that its run did not produce"),
                                );
                            }
                            None => {}
                            Some(key) => {
                                let entry = self.keys.entry((m, key)).or_default();
                                let ran = entry.ran;
                                let repeated = ran.is_some_and(|(ran, _)| ran != id);
                                entry.response_at = sim.clock();
                                let (own, earlier_response) = (
                                    ran.map(|ran| result_of(ran.0)),
                                    entry.response.replace(result.clone()),
                                );
                                if ran.is_some_and(|(_, other)| other != sent.has_conflicting_body)
                                {
                                    self.report_violation(
                                        sim,
                                        format!("{id:016x} got the result of a request with another body"),
                                    );
                                }
                                if repeated {
                                    self.record_coverage("repeated key gets the first response");
                                }
                                if own.as_ref() != Some(&result) {
                                    self.report_violation(
                                        sim,
                                        format!(
                                            "key {key:x} got a result that no run of it produced"
                                        ),
                                    );
                                }
                                if earlier_response.is_some_and(|response| response != result) {
                                    self.report_violation(
                                        sim,
                                        format!("key {key:x} got two different results"),
                                    );
                                }
                            }
                        }
                    }
                    AttemptOutcome::Rejected => {
                        self.record_coverage("refused");
                        let key = sent.key.and_then(|key| self.keys.get(&(m, key)));
                        if ran || key.is_some_and(|key| key.ran.is_some()) {
                            self.report_violation(
                                sim,
                                format!("{id:016x} was rejected by m{m} after it ran"),
                            );
                        }
                    }
                    AttemptOutcome::Failed => {
                        let key = sent.key.and_then(|key| self.keys.get(&(m, key)));
                        let was_served = key.is_some_and(|key| {
                            let own = key
                                .ran
                                .is_some_and(|(_, other)| other == sent.has_conflicting_body);
                            own && key.response.is_some() && key.response_at < sent.at
                        });
                        // A disk that fails or stalls delays reading a result, but loses none.
                        // Until its predecessor releases the store, a process holds only as many
                        // keyed requests as fit.
                        let waits = self.store_elsewhere_at[m] + STORE_RECOVERY_TIME >= sent.at;
                        // Requests that arrived while the machine was paused, or searched for its
                        // next process, arrive all at once; only as many as fit may wait.
                        let machine = &sim.machines[m];
                        let waits = waits
                            || sent.at
                                < machine
                                    .resumed_at
                                    .max(machine.killed_at + SUCCESSOR_SEARCH_TIME);
                        if was_served && !waits && sent.at > machine.disk_trouble_until {
                            self.report_violation(
                                sim,
                                format!("{id:016x} failed, though the result of its key was returned before"),
                            );
                        }
                        self.record_coverage(if ran {
                            "failed after a start"
                        } else {
                            "failed without a start"
                        });
                    }
                    AttemptOutcome::Lost => {
                        let ended = sim.machines[m].ended_at;
                        // A request that crossed the end of an idle connection, or of a matcher,
                        // never ran.
                        let crossed = (sim.clock() < ended + 2 * IN_FLIGHT_TIME
                            && sent.at + IN_FLIGHT_TIME > ended)
                            || (sim.clock() < sent.at + IN_FLIGHT_TIME && !ran);
                        // A pause that spans the shutdown leaves no time for requests that arrived
                        // during it.
                        let resumed = sim.machines[m].resumed_at;
                        let crossed = crossed
                            || (sent.at < resumed && ended < resumed + IN_FLIGHT_TIME && !ran);
                        let taken = !sim.front_end_endpoint(n).unaccepted.contains(&link);
                        // A connection in the backlog of a machine that goes on serving has to be
                        // accepted.
                        let serves = sim.machines[m]
                            .processes
                            .last()
                            .is_some_and(|process| process.shutdown_at.is_none());
                        let stays = ended + 2 * IN_FLIGHT_TIME < sim.clock() && serves;
                        if !taken && stays && !sim.front_ends[n].excused_links.contains(&link) {
                            self.report_violation(
                                sim,
                                format!("{id:016x}, sent to m{m}, was never accepted"),
                            );
                        }
                        if taken && !sim.front_ends[n].excused_links.contains(&link) && !crossed {
                            self.report_violation(
                                sim,
                                format!("{id:016x}, sent to m{m}, lost its connection"),
                            );
                        }
                        self.record_coverage("connection lost");
                    }
                }
            }
        }
    }

    /// Each request gets its response by the deadline, unless its connection was never accepted.
    fn check_deadlines(&mut self, sim: &mut Simulation) {
        let now = sim.clock();
        for n in 0..sim.front_ends.len() {
            if sim.front_ends[n]
                .due_times
                .first()
                .is_none_or(|first| now <= first.0 + RESPONSE_SLACK)
            {
                continue;
            }
            let late: Vec<u64> = sim.front_ends[n]
                .due_times
                .iter()
                .take_while(|attempt| now > attempt.0 + RESPONSE_SLACK)
                .map(|attempt| attempt.1)
                .collect();
            for id in late {
                let Some(attempt) = sim.front_ends[n].open.get(&id).cloned() else {
                    continue;
                };
                let accepted_at = sim.front_end_endpoint(n).accepted_at(attempt.link);
                // With few free descriptors a connection is accepted late, and its requests are
                // read only then.
                if sim.is_paused(attempt.matcher)
                    || accepted_at.is_some_and(|at| now <= at + RESPONSE_SLACK)
                {
                    continue;
                }
                if accepted_at.is_some() || sim.has_free_descriptors(attempt.matcher) {
                    let held = (now - attempt.sent) as f64 / 1e6;
                    let m = attempt.matcher;
                    self.report_violation(
                        sim,
                        format!("{id:016x}, sent to m{m} {held:.3} s ago, got no response by its deadline"),
                    );
                    return;
                }
                self.record_coverage("connection not accepted by the request's deadline");
                sim.front_ends[n].abandon(id);
                sim.request_over(attempt.matcher, id);
            }
        }
    }

    /// While a machine has a process that serves, its listeners refuse no connection.
    fn check_listeners(&mut self, sim: &mut Simulation) {
        for n in 0..sim.front_ends.len() {
            for (m, id) in std::mem::take(&mut sim.front_ends[n].refused_connections) {
                let machine = &sim.machines[m];
                let since = machine.ended_at.max(machine.killed_at);
                let stays = machine.processes.len() > 1 && sim.clock() > since + 2 * IN_FLIGHT_TIME;
                // A machine that was paused during a flood has a full backlog.
                let full = sim
                    .net
                    .borrow()
                    .backlog_full_at(machine.frame_address)
                    .max(sim.net.borrow().backlog_full_at(machine.ajp_address));
                let stays = stays && sim.clock() > full + IN_FLIGHT_TIME;
                if stays && machine.drain_started_at.is_none() {
                    self.report_violation(
                        sim,
                        format!("{id:016x} was refused by m{m}'s listener during an upgrade"),
                    );
                }
            }
        }
        for (m, machine) in sim
            .machines
            .iter()
            .enumerate()
            .filter(|(_, machine)| machine.processes.len() > 1)
        {
            let held: usize = machine
                .processes
                .iter()
                .map(|process| process.server.usage().descriptors)
                .sum();
            // When the second of three processes dies, the third finds the first within this time.
            let has_settled =
                machine.killed_at == 0 || sim.clock() > machine.killed_at + PREDECESSOR_SEARCH_TIME;
            if has_settled && held > sim.plan.max_descriptors {
                let most = sim.plan.max_descriptors;
                let each: Vec<_> = machine
                    .processes
                    .iter()
                    .map(|process| process.server.usage().to_string())
                    .collect();
                let each = each.join("; ");
                self.report_violation(
                    sim,
                    format!(
                        "m{m}: its processes hold {held} descriptors of {most} together ({each})"
                    ),
                );
                return;
            }
        }
    }

    /// Metrics requests get a response within a second.
    fn check_metrics_requests(&mut self, sim: &mut Simulation) {
        let now = sim.clock();
        for malformed in std::mem::take(&mut sim.metrics_poller.malformed) {
            self.report_violation(sim, format!("malformed metrics: {malformed}"));
        }
        let late = |request: &&MetricsRequest| now > request.sent_at + METRICS_RESPONSE_TIME;
        let mut requests = std::mem::take(&mut sim.metrics_poller.failed);
        requests.extend(sim.metrics_poller.pending.values().filter(late).cloned());
        for request in requests {
            let machine = &sim.machines[request.matcher];
            let is_running = machine
                .processes
                .iter()
                .any(|process| process.incarnation == request.incarnation);
            let was_paused =
                machine.paused_since.is_some() || machine.resumed_at + METRICS_RESPONSE_TIME > now;
            if is_running && !was_paused && sim.has_free_descriptors(request.matcher) {
                let ago = (now - request.sent_at) as f64 / 1e6;
                self.report_violation(
                    sim,
                    format!(
                        "m{}: no response to a metrics request of {ago:.3} s ago",
                        request.matcher
                    ),
                );
                return;
            }
        }
    }

    /// A warm server is overloaded with more than six requests on each core, sustained for two
    /// seconds.
    fn check_overload(&mut self, sim: &Simulation) {
        self.overloaded_since.resize(sim.machines.len(), None);
        let now = sim.clock();
        for (m, machine) in sim.machines.iter().enumerate() {
            if machine.runtime.runs_on_cores() > 6 * self.cores {
                let since = *self.overloaded_since[m].get_or_insert(now);
                if now > since + 2_000 * MS {
                    self.report_violation(sim, format!("m{m}: too many requests on the cores"));
                }
            } else {
                self.overloaded_since[m] = None;
            }
        }
    }

    /// Held and running requests stay within the memory limit of the settings.
    fn check_memory(&mut self, sim: &Simulation) {
        let now = sim.clock();
        if now < self.memory_checked_at + MEMORY_CHECK_INTERVAL {
            return;
        }
        self.memory_checked_at = now;
        for (m, machine) in sim.machines.iter().enumerate() {
            let runs = machine.runtime.running_count();
            let mut held = 0;
            for (n, front_end) in sim.front_ends.iter().enumerate() {
                let endpoint = sim.front_end_endpoint(n);
                // A request sent just now may not have been read.
                let read = |id: &u64, attempt: &Attempt| {
                    attempt.matcher == m
                        && attempt.sent + IN_FLIGHT_TIME < now
                        && endpoint
                            .accepted_at(attempt.link)
                            .is_some_and(|at| at + IN_FLIGHT_TIME < now)
                        && !machine.runtime.is_running(*id)
                };
                held += front_end
                    .open
                    .iter()
                    .filter(|(id, attempt)| read(id, attempt))
                    .count();
            }
            let used = REQUEST_MEMORY_KB * (held as f64 + RUNNING_MEMORY_FACTOR * runs as f64);
            let reads = machine.paused_since.is_none() && machine.resumed_at + IN_FLIGHT_TIME < now;
            if !machine.processes.is_empty() && reads && used > machine.memory_kb {
                let most = machine.memory_kb;
                let each: Vec<_> = machine
                    .processes
                    .iter()
                    .map(|process| process.server.usage().to_string())
                    .collect();
                let each = each.join("; ");
                self.report_violation(
                    sim,
                    format!(
                        "m{m}: {held} held and {runs} running take {used} KB of {most} ({each})"
                    ),
                );
            }
            if used > machine.memory_kb / 2.0 {
                self.record_coverage("more than half of the memory in use");
            }
        }
    }
}
