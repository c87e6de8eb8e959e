//! What a plan's faults do, and how they end.

use crate::front::FrontEnd;
use crate::host::Event;
use crate::machine::at;
use crate::plan::Fault;
use crate::sim::{Sim, DIRECTORY, MS, RUDE, RUNTIMES};
use cleatpulley_log_store::simulated_folder::Fault as DiskFault;
use cleatpulley_policy::interface::Micros;
use rand::Rng;

impl Sim {
    pub(crate) fn strike(&mut self, i: usize) {
        let now = self.now();
        let planned = self.plan.faults[i];
        let m = planned.matcher.min(self.machines.len() - 1);
        self.note(|| format!("fault: {planned}"));
        self.meet(planned.fault.name());
        let ends = now + planned.lasts;
        if self.machines[m].left_at.is_some() {
            self.meet("fault within a drain");
        }
        self.note_flood(m, planned.fault, ends);
        match planned.fault {
            Fault::Crash { down, runtime } => self.crash(m, down, runtime),
            Fault::Slow(factor) => self.machines[m].runtime.slowdown = factor,
            Fault::Pause => self.machines[m].paused = self.machines[m].paused.or(Some(now)),
            Fault::BreakLink => {
                if now < self.machines[m].reloaded_at + 1_500 * MS {
                    self.meet("link break while a reload is on");
                }
                self.break_link(m, ends);
            }
            Fault::BreakAtDue => {
                let due = |front: &FrontEnd| {
                    front
                        .dues
                        .iter()
                        .map(|(due, id)| (*due, front.open[id].matcher))
                        .find(|(due, on)| *on == m && *due > now)
                };
                if let Some((due, _)) = self.fronts.iter().filter_map(due).min() {
                    self.net.borrow_mut().queue.push(due, Event::Undo(i));
                }
                return;
            }
            Fault::Store(per_mille) => self.store.set_fault_rate(per_mille),
            Fault::Resets(number) => self.reset(number),
            Fault::Directory => {
                self.net.borrow_mut().unlisten(at(1, 7_946));
            }
            Fault::DiskStall => {
                self.machines[m].note_disk_trouble(ends);
                for process in &self.machines[m].procs {
                    process.desk.borrow_mut().stalled_until = ends;
                }
            }
            Fault::DiskFail | Fault::DiskFull => {
                self.machines[m].note_disk_trouble(ends);
                let after = self.random.random_range(0..20);
                let fault = if planned.fault == Fault::DiskFail {
                    DiskFault::FailOnce(after)
                } else {
                    DiskFault::Full(after, 30_000)
                };
                self.machines[m].disk.set_faults(&[fault]);
            }
            Fault::Drain => self.drain(m),
            Fault::Renew => {
                self.machines[m].renewed = true;
                self.drain(m);
            }
            Fault::Repeats(per_mille) => {
                self.machines[m].runtime.repeated_notices_per_mille = per_mille;
            }
            Fault::Tear => self.machines[m].runtime.truncate_next_notice = true,
            Fault::Spoilt(per_mille) => self.store.set_malformed_rate(per_mille),
            Fault::Reload => self.reload(m),
            Fault::Burst(factor) => {
                self.fronts
                    .iter_mut()
                    .zip(&self.rates)
                    .for_each(|(front, rate)| front.rate = rate * factor);
            }
            Fault::Stalled(number) => {
                let to = self.machines[m].ajp;
                (0..number).for_each(|_| self.rude.stall(m, to));
                self.with_service(RUDE, |place, service| place.schedule(service));
            }
            Fault::Descriptors(left) => {
                if let Some(process) = self.machines[m].newest().map(|newest| newest.process) {
                    let mut net = self.net.borrow_mut();
                    let held = net.held(process);
                    net.limit(process, held + left);
                }
            }
            Fault::Upgrade(killed) => self.upgrade(m, killed),
            Fault::Torn => self.machines[m].hall.borrow_mut().tears = true,
            Fault::OperatorCrowd(number) => {
                if let Some(to) = self.machines[m].newest().map(|newest| newest.mgmt) {
                    self.rude.crowd(m, to, number);
                    self.with_service(RUDE, |place, service| place.schedule(service));
                }
            }
            Fault::Crowd(number) => {
                let to = self.machines[m].frames;
                self.rude.crowd(m, to, number);
                self.with_service(RUDE, |place, service| place.schedule(service));
            }
            Fault::Flood { sources, number } => {
                let to = self.machines[m].frames;
                self.rude.flood(m, to, number, sources, (now, ends));
                self.with_service(RUDE, |place, service| place.schedule(service));
            }
        }
        self.net.borrow_mut().queue.push(ends, Event::Undo(i));
    }

    /// Takes note of floods that meet other troubles.
    fn note_flood(&mut self, m: usize, fault: Fault, ends: Micros) {
        let now = self.now();
        let machine = &mut self.machines[m];
        let (flooded, short) = &mut machine.crowded;
        match fault {
            Fault::Flood { .. } => *flooded = ends.max(*flooded),
            Fault::Descriptors(_) => *short = ends.max(*short),
            _ => {}
        }
        if now < *flooded && now < *short {
            self.meet("flood while descriptors are short");
        }
        let (floods, machine) = (matches!(fault, Fault::Flood { .. }), &self.machines[m]);
        if floods && machine.left_at.is_some() {
            self.meet("flood within a drain");
        }
        if floods && self.machines[m].procs.len() > 1 {
            self.meet("flood within an upgrade");
        }
    }

    pub(crate) fn undo(&mut self, i: usize) {
        let now = self.now();
        let planned = self.plan.faults[i];
        let m = planned.matcher.min(self.machines.len() - 1);
        match planned.fault {
            Fault::Slow(_) => self.machines[m].runtime.slowdown = 1.0,
            Fault::Pause => {
                if let Some(since) = self.machines[m].paused.take() {
                    self.machines[m].resumed_at = now;
                    self.fronts
                        .iter_mut()
                        .for_each(|front| front.extend(m, since, now));
                    self.resume(m);
                }
            }
            Fault::BreakAtDue => {
                self.meet("reply lost at its due time");
                self.break_link(m, now + planned.lasts);
            }
            Fault::Descriptors(_) => {
                for process in &self.machines[m].procs {
                    self.net
                        .borrow_mut()
                        .limit(process.process, self.plan.sockets);
                }
            }
            Fault::Store(_) => self.store.set_fault_rate(0),
            Fault::Spoilt(_) => self.store.set_malformed_rate(0),
            Fault::Repeats(_) => self.machines[m].runtime.repeated_notices_per_mille = 0,
            Fault::Directory => {
                self.places[DIRECTORY].listen(at(1, 7_946));
            }
            Fault::DiskFull | Fault::DiskFail => self.machines[m].disk.set_faults(&[]),
            Fault::Burst(_) => {
                self.fronts
                    .iter_mut()
                    .zip(&self.rates)
                    .for_each(|(front, rate)| front.rate = *rate);
            }
            _ => {}
        }
    }

    fn break_link(&mut self, m: usize, until: Micros) {
        let machine = &mut self.machines[m];
        self.places[RUNTIMES + m].tell(&mut machine.runtime, |runtime, _, out| {
            runtime.break_link(until, out);
        });
    }

    fn reset(&mut self, number: usize) {
        let first = RUNTIMES + self.machines.len();
        for _ in 0..number {
            let n = self.random.random_range(0..self.fronts.len());
            let dialled = self.places[first + n].dialled();
            if dialled.is_empty() {
                continue;
            }
            let (link, end) = dialled[self.random.random_range(0..dialled.len())];
            self.fronts[n].excused.insert(link);
            self.net.borrow_mut().reset(end);
        }
    }
}
