//! Upgrades as the platform makes them: a process is started beside the one that serves; once it says that it takes clients the
//! old one is told to leave, and is killed after its time. Either may die in any step.

use crate::host::{Event, Owner};
use crate::plan::Killed;
use crate::sim::{Sim, MS, SECOND, STOP};
use cleatpulley_policy::interface::Micros;
use cleatpulley_server::Server;
use rand::Rng;

/// The new process says yes within this time.
const READY: Micros = 6 * SECOND;
/// How often the platform looks.
const LOOKS: Micros = 3 * MS;
/// An old process that is still there so long after its stop did not keep to it.
const LATE: Micros = 20 * MS;

/// One upgrade under way.
pub(crate) struct Rollout {
    pub machine: usize,
    /// The lives of both processes.
    old: u64,
    pub new: u64,
    ready_by: Micros,
    kill: Option<(u64, Micros)>,
    /// When the old one is told to leave, and when it was.
    tell_at: Option<Micros>,
    pub told_at: Option<Micros>,
}

impl Sim {
    /// Starts a process beside the one that serves.
    pub(crate) fn upgrade(&mut self, m: usize, killed: Option<Killed>) {
        let now = self.now();
        let machine = &self.machines[m];
        let busy = self
            .rollouts
            .iter()
            .any(|rollout| rollout.machine == m && rollout.told_at.is_none());
        let serves = machine
            .procs
            .last()
            .is_some_and(|process| process.node.accepts_clients());
        // Three at a time are as many as the least descriptors are enough for.
        let busy = busy || machine.procs.len() > 2;
        if busy || !serves || machine.left_at.is_some() || machine.paused.is_some() {
            return;
        }
        let (old, others) = (
            machine.procs.last().map_or(0, |process| process.life),
            machine.procs.len() - 1,
        );
        if others > 0 {
            self.meet("a third process while the first still answers");
        }
        self.start(m);
        let new = self.machines[m].life;
        self.meet("upgrade");
        let kill = killed.map(|killed| match killed {
            Killed::New(after) => (new, now + after),
            Killed::Old(after) => (old, now + after),
        });
        let ready_by = now + READY;
        self.rollouts.push(Rollout {
            machine: m,
            old,
            new,
            ready_by,
            kill,
            tell_at: None,
            told_at: None,
        });
        self.net.borrow_mut().queue.push(now, Event::Rollout(m));
    }

    /// Looks after the upgrades of a machine.
    pub(crate) fn look_after(&mut self, m: usize) {
        let now = self.now();
        let mut rollouts = std::mem::take(&mut self.rollouts);
        rollouts.retain_mut(|rollout| rollout.machine != m || self.goes_on(now, rollout));
        let again = rollouts.iter().any(|rollout| rollout.machine == m);
        self.rollouts = rollouts;
        if again {
            self.net
                .borrow_mut()
                .queue
                .push(now + LOOKS, Event::Rollout(m));
        }
    }

    /// True where there is more to look after.
    fn goes_on(&mut self, now: Micros, rollout: &mut Rollout) -> bool {
        let m = rollout.machine;
        if let Some((life, _)) = rollout.kill.filter(|(_, at)| now >= *at) {
            rollout.kill = None;
            self.kill(
                m,
                life,
                if life == rollout.new { "new" } else { "old" },
                rollout.told_at.is_some(),
            );
        }
        let there = |sim: &mut Self, life: u64| sim.machines[m].find(life).is_some();
        if !there(self, rollout.new) && rollout.told_at.is_none() {
            return false;
        }
        if !there(self, rollout.old) {
            return false;
        }
        if self.machines[m].paused.is_some() {
            return true;
        }
        match (rollout.told_at, rollout.tell_at) {
            (Some(told), _) => {
                let resumed = self.machines[m].resumed_at;
                if now > told.max(resumed) + STOP + LATE {
                    self.broken.push(format!(
                        "m{m}: the old process is still there after its stop"
                    ));
                    return false;
                }
                true
            }
            (None, Some(at)) => {
                if now >= at {
                    rollout.told_at = Some(now);
                    if let Some(old) = self.machines[m].find(rollout.old) {
                        old.told_at = Some(now);
                    }
                    self.tell(m, rollout.old, Server::begin_shutdown);
                }
                true
            }
            (None, None) => {
                let new = self.machines[m].find(rollout.new);
                if new.is_some_and(|new| new.node.accepts_clients()) {
                    rollout.tell_at = Some(now + self.random.random_range(0..60) * MS);
                    let torn = self.machines[m].hall.borrow().torn.contains(&rollout.new);
                    if torn {
                        self.meet("a torn snapshot");
                    }
                    let learned = self.machines[m]
                        .find(rollout.new)
                        .is_some_and(|new| new.node.has_restored_learned_state());
                    if torn && learned {
                        self.broken.push(format!("m{m} believes a torn snapshot"));
                    } else if learned {
                        self.meet("goes on with what was learned");
                    }
                } else if now > rollout.ready_by {
                    // The platform gives it up; trouble at the runtime may have kept it.
                    self.meet("an upgrade given up");
                    self.kill(m, rollout.new, "late", false);
                    return false;
                }
                true
            }
        }
    }

    /// A process is killed; the others of its machine live on.
    fn kill(&mut self, m: usize, life: u64, which: &'static str, told: bool) {
        let now = self.now();
        let machine = &mut self.machines[m];
        let slot = machine.slot(life);
        if machine.find(life).is_none() {
            return;
        }
        // What it had accepted dies with it; what waits in a queue that another has too does not.
        let alone = machine.procs.len() == 1
            || self.net.borrow().listeners(machine.frames) < 2
            || self.net.borrow().listeners(machine.ajp) < 2;
        for n in 0..self.fronts.len() {
            let links = self.fronts[n].links(m);
            let place = self.place_of_front(n);
            let dead = |link: &u64| match place.peer(*link).map(Owner::decode) {
                Some(Owner::Server(owner, _)) => owner == slot,
                _ => alone,
            };
            let links: Vec<_> = links.into_iter().filter(dead).collect();
            self.fronts[n].excused.extend(links);
        }
        self.note(|| format!("m{m}: the {which} process of life {life} is killed"));
        self.meet(match (which, told) {
            ("new", false) => "the new process dies before it is believed",
            ("new", true) => "the new process dies after the old one was told to leave",
            ("old", _) => "the old process dies in an upgrade",
            _ => "the new process is given up",
        });
        self.remove(m, life);
        let machine = &mut self.machines[m];
        machine.killed_at = now;
        if machine.procs.is_empty() {
            machine.ended_at = now;
            let life = machine.life;
            self.net
                .borrow_mut()
                .queue
                .push(now + 100 * MS, Event::Revive(m, life));
        }
    }
}
