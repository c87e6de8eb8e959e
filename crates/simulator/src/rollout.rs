//! Upgrades as the platform performs them: it starts a process beside the running one, tells the
//! old one to shut down once the new one accepts clients, and kills the old one when its shutdown
//! time is over. Either may die at any step.

use crate::host::{ConnectionOwner, Event};
use crate::plan::KilledProcess;
use crate::simulation::{Simulation, MS, SECOND, SHUTDOWN_TIME};
use cleatpulley_policy::interface::Micros;
use cleatpulley_server::Server;
use rand::Rng;

/// Time within which the new process has to accept clients.
const READY_TIMEOUT: Micros = 6 * SECOND;
/// Interval of the platform's checks.
const CHECK_INTERVAL: Micros = 3 * MS;
/// An old process that is still alive this long after its shutdown time has violated it.
const STOP_SLACK: Micros = 20 * MS;

/// An upgrade in progress.
pub(crate) struct Rollout {
    pub machine: usize,
    /// Incarnations of both processes.
    old: u64,
    pub new: u64,
    ready_by: Micros,
    kill: Option<(u64, Micros)>,
    /// When the old process is to be told to shut down, and when it was.
    shutdown_due_at: Option<Micros>,
    pub shutdown_at: Option<Micros>,
}

impl Simulation {
    /// Starts a process beside the running one.
    pub(crate) fn upgrade(&mut self, m: usize, killed: Option<KilledProcess>) {
        let now = self.now();
        let machine = &self.machines[m];
        let busy = self
            .rollouts
            .iter()
            .any(|rollout| rollout.machine == m && rollout.shutdown_at.is_none());
        let serves = machine
            .processes
            .last()
            .is_some_and(|process| process.server.accepts_clients());
        // The smallest descriptor limit suffices for three processes at the same time.
        let busy = busy || machine.processes.len() > 2;
        if busy || !serves || machine.drain_started_at.is_some() || machine.paused_since.is_some() {
            return;
        }
        let (old, older_processes) = (
            machine
                .processes
                .last()
                .map_or(0, |process| process.incarnation),
            machine.processes.len() - 1,
        );
        if older_processes > 0 {
            self.record_coverage("third process while the first still responds");
        }
        self.start(m);
        let new = self.machines[m].incarnation;
        self.record_coverage("upgrade");
        let kill = killed.map(|killed| match killed {
            KilledProcess::New(after) => (new, now + after),
            KilledProcess::Old(after) => (old, now + after),
        });
        let ready_by = now + READY_TIMEOUT;
        self.rollouts.push(Rollout {
            machine: m,
            old,
            new,
            ready_by,
            kill,
            shutdown_due_at: None,
            shutdown_at: None,
        });
        self.net.borrow_mut().queue.push(now, Event::Rollout(m));
    }

    /// Checks the upgrades of a machine.
    pub(crate) fn check_rollouts(&mut self, m: usize) {
        let now = self.now();
        let mut rollouts = std::mem::take(&mut self.rollouts);
        rollouts.retain_mut(|rollout| rollout.machine != m || self.advance_rollout(now, rollout));
        let continues = rollouts.iter().any(|rollout| rollout.machine == m);
        self.rollouts = rollouts;
        if continues {
            self.net
                .borrow_mut()
                .queue
                .push(now + CHECK_INTERVAL, Event::Rollout(m));
        }
    }

    /// Advances an upgrade; returns true if it has to be checked again.
    fn advance_rollout(&mut self, now: Micros, rollout: &mut Rollout) -> bool {
        let m = rollout.machine;
        if let Some((incarnation, _)) = rollout.kill.filter(|(_, at)| now >= *at) {
            rollout.kill = None;
            self.kill(
                m,
                incarnation,
                if incarnation == rollout.new {
                    "new"
                } else {
                    "old"
                },
                rollout.shutdown_at.is_some(),
            );
        }
        let is_alive =
            |sim: &mut Self, incarnation: u64| sim.machines[m].find(incarnation).is_some();
        if !is_alive(self, rollout.new) && rollout.shutdown_at.is_none() {
            return false;
        }
        if !is_alive(self, rollout.old) {
            return false;
        }
        if self.machines[m].paused_since.is_some() {
            return true;
        }
        match (rollout.shutdown_at, rollout.shutdown_due_at) {
            (Some(was_told), _) => {
                let resumed = self.machines[m].resumed_at;
                if now > was_told.max(resumed) + SHUTDOWN_TIME + STOP_SLACK {
                    self.violations.push(format!(
                        "m{m}: the old process is still alive after its shutdown time"
                    ));
                    return false;
                }
                true
            }
            (None, Some(at)) => {
                if now >= at {
                    rollout.shutdown_at = Some(now);
                    if let Some(old) = self.machines[m].find(rollout.old) {
                        old.shutdown_at = Some(now);
                    }
                    self.notify(m, rollout.old, Server::begin_shutdown);
                }
                true
            }
            (None, None) => {
                let new = self.machines[m].find(rollout.new);
                if new.is_some_and(|new| new.server.accepts_clients()) {
                    rollout.shutdown_due_at = Some(now + self.random.random_range(0..60) * MS);
                    let torn = self.machines[m]
                        .handover
                        .borrow()
                        .corrupted_incarnations
                        .contains(&rollout.new);
                    if torn {
                        self.record_coverage("corrupted snapshot");
                    }
                    let learned = self.machines[m]
                        .find(rollout.new)
                        .is_some_and(|new| new.server.has_restored_learned_state());
                    if torn && learned {
                        self.violations
                            .push(format!("m{m} restored a corrupted snapshot"));
                    } else if learned {
                        self.record_coverage("learned state restored");
                    }
                } else if now > rollout.ready_by {
                    // The platform gives up; a fault of the runtime may have delayed the new
                    // process.
                    self.record_coverage("upgrade abandoned");
                    self.kill(m, rollout.new, "late", false);
                    return false;
                }
                true
            }
        }
    }

    /// Kills a process; the others of its machine live on.
    fn kill(&mut self, m: usize, incarnation: u64, role: &'static str, was_told: bool) {
        let now = self.now();
        let machine = &mut self.machines[m];
        let slot = machine.slot(incarnation);
        if machine.find(incarnation).is_none() {
            return;
        }
        // Connections that it had accepted die with it; connections in a backlog that another
        // process shares do not.
        let alone = machine.processes.len() == 1
            || self.net.borrow().listener_count(machine.frame_address) < 2
            || self.net.borrow().listener_count(machine.ajp_address) < 2;
        for n in 0..self.front_ends.len() {
            let links = self.front_ends[n].links_to(m);
            let endpoint = self.front_end_endpoint(n);
            let dead = |link: &u64| match endpoint.peer_owner(*link).map(ConnectionOwner::decode) {
                Some(ConnectionOwner::Server(owner, _)) => owner == slot,
                _ => alone,
            };
            let links: Vec<_> = links.into_iter().filter(dead).collect();
            self.front_ends[n].excused_links.extend(links);
        }
        self.record_trace(|| {
            format!("m{m}: the {role} process of incarnation {incarnation} is killed")
        });
        self.record_coverage(match (role, was_told) {
            ("new", false) => "new process dies before the old one is shut down",
            ("new", true) => "new process dies after the old one is shut down",
            ("old", _) => "old process dies during an upgrade",
            _ => "new process killed after its start-up timeout",
        });
        self.remove(m, incarnation);
        let machine = &mut self.machines[m];
        machine.killed_at = now;
        if machine.processes.is_empty() {
            machine.ended_at = now;
            let incarnation = machine.incarnation;
            self.net
                .borrow_mut()
                .queue
                .push(now + 100 * MS, Event::Restart(m, incarnation));
        }
    }
}
