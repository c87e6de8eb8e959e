//! A matcher in an upgrade: what it does when its [`HotRestart`](super::hot_restart::Upgrade) says so, as the process whose place is
//! taken and as the one that takes it.

use super::host::{Host, ResultPersistence};
use super::{hot_restart, management_endpoint, Server, SPARE};
use cleatpulley_dispatcher::key_table::KeyTable;
use cleatpulley_dispatcher::{Event, ResourceUsage};
use cleatpulley_hot_restart::{snapshot, Held};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::io;

/// What a front end sent before it read that it should not may come so long after the hand-over.
pub(super) const CROSSING: Micros = 60_000;
/// A successor leaves room for its predecessor, and has at least so many connections.
const FEWEST: usize = 8;
/// Wait after no descriptor was left for a listening socket.
const LISTENS_AGAIN: Micros = 20_000;
/// A process whose successor is there is stopped so long after the longest wait of a caller, of which no more than that
/// counts.
const AFTER_LONGEST: Micros = 700_000;
const LONGEST_WAIT: Micros = 3_000_000;

impl<H: Host> Server<H> {
    /// The notice to leave, where another process has its place: nobody is sent elsewhere, and what was read is answered.
    pub(super) fn leave_to_successor(&mut self, now: Micros) {
        let stop = self
            .stop
            .min(self.longest.min(LONGEST_WAIT) + AFTER_LONGEST);
        tracing::info!("leaving within {} ms, to its successor", stop / 1_000);
        let stop_at = now + stop;
        self.stop_at = Some(stop_at);
        self.succeeded = true;
        // Its listening sockets stay, in case the successor dies: nothing is accepted from them before that.
        self.facts.push(Event::Replaced { stop_at });
    }

    /// Goes on with taking another process's place, or giving up its own.
    pub(super) fn go_on_with_upgrade(&mut self, now: Micros) {
        let Some(mut upgrade) = self.upgrade.take() else {
            return;
        };
        loop {
            let mut steps = Vec::new();
            let listens: Vec<_> = self.front.listeners().collect();
            // One that does not listen yet has nothing to take clients with.
            let up = self.runtime.is_ready() && self.listen_at.is_none();
            upgrade.poll(now, up, &listens, || self.held(), &mut steps);
            let adopts = steps
                .iter()
                .any(|step| matches!(step, hot_restart::HotRestartStep::Adopt(_)));
            for step in steps {
                self.take_step(now, step, &mut upgrade);
            }
            if !adopts {
                break;
            }
        }
        self.upgrade = Some(upgrade);
    }

    fn take_step(
        &mut self,
        now: Micros,
        step: hot_restart::HotRestartStep<H>,
        upgrade: &mut hot_restart::HotRestart<H>,
    ) {
        match step {
            hot_restart::HotRestartStep::Adopt(_)
                if is_bug_injected(InjectedBug::PassedListenerDropped) =>
            {
                self.listen();
            }
            hot_restart::HotRestartStep::Adopt(passed) => {
                let mut short = false;
                for (address, passed) in passed {
                    let adopted = self.front.adopt(address, |place| {
                        self.world.adopt_listener(passed, address, place)
                    });
                    match adopted {
                        Ok(true) => tracing::info!(
                            "{} listens on {address}, which was passed on",
                            self.name
                        ),
                        Ok(false) => {}
                        Err(e) if is_short(&e) => {
                            tracing::warn!(
                                "upgrade: what was passed for {address} is not taken up: {e}"
                            );
                            short = true;
                        }
                        Err(e) => tracing::warn!("upgrade: {address} is listened on anew: {e}"),
                    }
                }
                // Whoever waits in a queue that is not taken up would be lost with the predecessor.
                if !(short && upgrade.retreat(now)) {
                    self.listen();
                }
            }
            hot_restart::HotRestartStep::Listen => {
                tracing::warn!(
                    "upgrade: nothing was passed on; listens beside the process that serves"
                );
                self.listen();
            }
            hot_restart::HotRestartStep::Serve => {
                tracing::info!("upgrade: takes clients");
                self.front.resume_accepting();
                self.open_standings();
                let first = self.front.listeners().next();
                if let Some((address, _)) = first {
                    upgrade.listen_for_successors(address);
                }
            }
            hot_restart::HotRestartStep::MakeRoom => {
                self.front
                    .free_slot(now, now + 2 * hot_restart::LET_IN, &mut self.facts);
            }
            hot_restart::HotRestartStep::Standing(standing) => {
                if let Some(admission) = self.front.admission_mut() {
                    tracing::info!("upgrade: {} callers have earned standing", standing.len());
                    admission.import(now, &standing);
                }
            }
            hot_restart::HotRestartStep::OpenStore => self.open_store(),
            hot_restart::HotRestartStep::Beside(_)
                if is_bug_injected(InjectedBug::PredecessorUsageIgnored) => {}
            hot_restart::HotRestartStep::Beside(held) => {
                let Held {
                    running,
                    memory_kb,
                    calls,
                    ..
                } = held;
                self.beside = held;
                self.facts.push(Event::PredecessorUsage(ResourceUsage {
                    running,
                    memory_kb,
                    calls,
                }));
                self.share_descriptors(now);
            }
            hot_restart::HotRestartStep::Learn(text) => {
                let site = snapshot::site(&self.name, &self.class_names);
                let learned = snapshot::decode(site, now, &text).map_err(|e| e.to_string());
                match learned.and_then(|learned| {
                    self.exchange
                        .restore_learned_state(&learned)
                        .map_err(|error| error.to_string())
                }) {
                    Ok(()) => {
                        self.learned = true;
                        tracing::info!("upgrade: goes on with what the predecessor had learned");
                    }
                    Err(e) => {
                        tracing::warn!(
                            "upgrade: what the predecessor had learned is not believed: {e}"
                        );
                    }
                }
            }
            hot_restart::HotRestartStep::Yield => {
                tracing::info!("upgrade: a successor takes clients from here on");
                self.yielded = Some((now, false));
                // One that was leaving without a successor has one again, and ends once it has answered.
                self.succeeded |= self.stop_at.is_some();
                self.front.yield_to_successor(now);
                self.share_descriptors(now);
                self.release_standings(now);
                let site = snapshot::site(&self.name, &self.class_names);
                let standing = self
                    .front
                    .admission()
                    .map_or_else(Vec::new, |admission| admission.export(now));
                upgrade.yielded(
                    self.held(),
                    snapshot::encode(site, now, &self.exchange.learned_state()),
                    standing,
                );
            }
            hot_restart::HotRestartStep::Resume => {
                if let (Some((_, true)), Some((_, bounds, _))) =
                    (self.yielded.take(), &self.kept_in)
                {
                    self.exchange.reclaim_keys(KeyTable::new(*bounds));
                    self.close();
                    self.open_store();
                }
                self.front.resume_accepting();
                self.open_standings();
                self.share_descriptors(now);
                if std::mem::take(&mut self.succeeded) {
                    tracing::error!(
                        "upgrade: the successor is gone, and this process leaves as well"
                    );
                    // From here on it is an ordinary drain: callers are sent elsewhere.
                    self.facts
                        .extend(self.stop_at.map(|stop_at| Event::DrainStarted { stop_at }));
                    self.front.begin_shutdown(now);
                } else {
                    tracing::warn!("upgrade: the successor is gone; takes clients again");
                }
                // One that leaves is found as well: whoever comes now gets the sockets from it, with those who wait.
                let first = self.front.listeners().next();
                if let Some((address, _)) = first {
                    upgrade.listen_for_successors(address);
                }
            }
        }
    }

    /// Opens the store of results, where there is one and it is not open.
    fn open_store(&mut self) {
        let kept_in = self.kept_in.clone().filter(|_| self.keeper.is_none());
        let Some((folder, bounds, lasting)) = kept_in else {
            return;
        };
        match self
            .world
            .open_result_persistence(folder, bounds.hash_seed, lasting)
        {
            Ok(keeper) => self.keeper = Some(keeper),
            Err(e) => {
                tracing::error!("results: nothing can be kept: {e}");
                self.facts.push(Event::PersistenceAvailable(false));
            }
        }
    }

    /// Lets go of the store of results once a successor is here, what crossed the hand-over has come, and no key is at
    /// work: it has one owner at a time.
    pub(super) fn pass_store_on(&mut self, now: Micros) {
        let Some((since, false)) = self.yielded else {
            return;
        };
        if !self.front.is_sent_away() {
            self.yielded = Some((now, false));
            return;
        }
        if self.keeper.is_some() && now >= since + CROSSING && self.exchange.release_keys() {
            tracing::info!("upgrade: the successor has the store of results from here on");
            self.yielded = Some((since, true));
            if let Some(keeper) = &mut self.keeper {
                keeper.release();
            }
            if let Some(upgrade) = &mut self.upgrade {
                upgrade.store_free();
            }
        }
    }

    /// Holds no more descriptors than leaves room for the other processes of this matcher: all of them together have
    /// those of one.
    fn share_descriptors(&mut self, now: Micros) {
        let beside = self.beside.descriptors > 0;
        // What the other still has, and what each process needs for itself.
        let taken = if beside {
            self.beside.descriptors + SPARE / 2
        } else {
            0
        };
        let most = self.most.saturating_sub(taken);
        let (most, asked) = match (self.yielded, beside) {
            (Some(_), _) => (most.min(self.most / 3), management_endpoint::PLACES / 4),
            // Where hardly anything is left, operators give as well.
            (None, true) if most < 2 * FEWEST => (most, management_endpoint::PLACES / 4),
            (None, true) => (most, management_endpoint::PLACES / 2),
            (None, false) => (most, management_endpoint::PLACES),
        };
        self.front
            .set_connection_limit(now, most.max(FEWEST.min(self.most)), &mut self.facts);
        if let Some(operators) = &mut self.operators {
            operators.set_connection_limit(asked);
        }
    }

    /// Listens where no socket was passed. Guards against an end for want of a descriptor, which the next moment may have:
    /// nobody else would take who waits.
    pub(super) fn listen(&mut self) {
        self.listen_at = None;
        match self.front.listen_expected() {
            Ok(addresses) => {
                for address in addresses {
                    tracing::info!("{} listens on {address}", self.name);
                }
            }
            Err((address, e)) if is_short(&e) => {
                tracing::warn!("upgrade: does not listen on {address} yet: {e}");
                self.listen_at = Some(self.world.now() + LISTENS_AGAIN);
            }
            Err((address, e)) => {
                self.fault = Some(io::Error::new(e.kind(), format!("listen: {address}: {e}")));
            }
        }
    }

    /// What it has of the machine, and what the process has whose place it has taken: its successor hears of that one
    /// only here.
    pub(super) fn held(&self) -> Held {
        let ResourceUsage {
            running,
            memory_kb,
            calls,
        } = self.exchange.resource_usage();
        Held {
            running: running + self.beside.running,
            memory_kb: memory_kb + self.beside.memory_kb,
            calls: calls + self.beside.calls,
            descriptors: self.usage().descriptors + self.beside.descriptors,
        }
    }
}

/// No descriptor is left, here or on the whole host.
fn is_short(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}
