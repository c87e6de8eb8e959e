//! Effects of a plan's faults, and their end.

use crate::front_end::FrontEnd;
use crate::host::Event;
use crate::machine::virtual_address;
use crate::plan::Fault;
use crate::simulation::{Simulation, DIRECTORY, FIRST_RUNTIME, MISBEHAVING_CLIENTS, MS};
use cleatpulley_log_store::simulated_folder::Fault as DiskFault;
use cleatpulley_policy::interface::Micros;
use rand::Rng;

impl Simulation {
    pub(crate) fn start_fault(&mut self, i: usize) {
        let now = self.now();
        let planned = self.plan.faults[i];
        let m = planned.matcher.min(self.machines.len() - 1);
        self.record_trace(|| format!("fault: {planned}"));
        self.record_coverage(planned.fault.name());
        let ends = now + planned.duration;
        if self.machines[m].drain_started_at.is_some() {
            self.record_coverage("fault during a drain");
        }
        self.note_flood(m, planned.fault, ends);
        match planned.fault {
            Fault::Crash { down, runtime } => self.crash(m, down, runtime),
            Fault::Slow(factor) => self.machines[m].runtime.slowdown = factor,
            Fault::Pause => {
                self.machines[m].paused_since = self.machines[m].paused_since.or(Some(now));
            }
            Fault::BreakLink => {
                if now < self.machines[m].reload_started_at + 1_500 * MS {
                    self.record_coverage("link break during a reload");
                }
                self.break_link(m, ends);
            }
            Fault::BreakAtDue => {
                let due = |front_end: &FrontEnd| {
                    front_end
                        .due_times
                        .iter()
                        .map(|(due, id)| (*due, front_end.open[id].matcher))
                        .find(|(due, on)| *on == m && *due > now)
                };
                if let Some((due, _)) = self.front_ends.iter().filter_map(due).min() {
                    self.net.borrow_mut().queue.push(due, Event::FaultEnd(i));
                }
                return;
            }
            Fault::Store(per_mille) => self.store.set_fault_rate(per_mille),
            Fault::Resets(number) => self.reset(number),
            Fault::Directory => {
                self.net
                    .borrow_mut()
                    .stop_listening(virtual_address(1, 7_946));
            }
            Fault::DiskStall => {
                self.machines[m].extend_disk_trouble(ends);
                for process in &self.machines[m].processes {
                    process.persistence.borrow_mut().stalled_until = ends;
                }
            }
            Fault::DiskFail | Fault::DiskFull => {
                self.machines[m].extend_disk_trouble(ends);
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
                self.machines[m].has_new_settings = true;
                self.drain(m);
            }
            Fault::Repeats(per_mille) => {
                self.machines[m].runtime.repeated_notices_per_mille = per_mille;
            }
            Fault::Tear => self.machines[m].runtime.truncate_next_notice = true,
            Fault::Spoilt(per_mille) => self.store.set_malformed_rate(per_mille),
            Fault::Reload => self.reload(m),
            Fault::Burst(factor) => {
                self.front_ends
                    .iter_mut()
                    .zip(&self.base_rates)
                    .for_each(|(front_end, rate)| front_end.rate = rate * factor);
            }
            Fault::Stalled(number) => {
                let to = self.machines[m].ajp_address;
                (0..number).for_each(|_| self.misbehaving_clients.stall_request(m, to));
                self.with_service(MISBEHAVING_CLIENTS, |endpoint, service| {
                    endpoint.schedule(service);
                });
            }
            Fault::Descriptors(left) => {
                if let Some(process) = self.machines[m].newest().map(|newest| newest.process) {
                    let mut net = self.net.borrow_mut();
                    let held = net.held_descriptors(process);
                    net.set_descriptor_limit(process, held + left);
                }
            }
            Fault::Upgrade(killed) => self.upgrade(m, killed),
            Fault::Torn => self.machines[m].handover.borrow_mut().corrupt_next_snapshot = true,
            Fault::OperatorCrowd(number) => {
                if let Some(to) = self.machines[m].newest().map(|newest| newest.management) {
                    self.misbehaving_clients.open_silent(m, to, number);
                    self.with_service(MISBEHAVING_CLIENTS, |endpoint, service| {
                        endpoint.schedule(service);
                    });
                }
            }
            Fault::Crowd(number) => {
                let to = self.machines[m].frame_address;
                self.misbehaving_clients.open_silent(m, to, number);
                self.with_service(MISBEHAVING_CLIENTS, |endpoint, service| {
                    endpoint.schedule(service);
                });
            }
            Fault::Flood { sources, number } => {
                let to = self.machines[m].frame_address;
                self.misbehaving_clients
                    .start_flood(m, to, number, sources, (now, ends));
                self.with_service(MISBEHAVING_CLIENTS, |endpoint, service| {
                    endpoint.schedule(service);
                });
            }
        }
        self.net.borrow_mut().queue.push(ends, Event::FaultEnd(i));
    }

    /// Records floods that coincide with other trouble.
    fn note_flood(&mut self, m: usize, fault: Fault, ends: Micros) {
        let now = self.now();
        let machine = &mut self.machines[m];
        let (flooded, short) = &mut machine.trouble_until;
        match fault {
            Fault::Flood { .. } => *flooded = ends.max(*flooded),
            Fault::Descriptors(_) => *short = ends.max(*short),
            _ => {}
        }
        if now < *flooded && now < *short {
            self.record_coverage("flood while descriptors are short");
        }
        let (floods, machine) = (matches!(fault, Fault::Flood { .. }), &self.machines[m]);
        if floods && machine.drain_started_at.is_some() {
            self.record_coverage("flood during a drain");
        }
        if floods && self.machines[m].processes.len() > 1 {
            self.record_coverage("flood during an upgrade");
        }
    }

    pub(crate) fn end_fault(&mut self, i: usize) {
        let now = self.now();
        let planned = self.plan.faults[i];
        let m = planned.matcher.min(self.machines.len() - 1);
        match planned.fault {
            Fault::Slow(_) => self.machines[m].runtime.slowdown = 1.0,
            Fault::Pause => {
                if let Some(since) = self.machines[m].paused_since.take() {
                    self.machines[m].resumed_at = now;
                    self.front_ends
                        .iter_mut()
                        .for_each(|front_end| front_end.extend_due_times(m, since, now));
                    self.resume(m);
                }
            }
            Fault::BreakAtDue => {
                self.record_coverage("response lost at its deadline");
                self.break_link(m, now + planned.duration);
            }
            Fault::Descriptors(_) => {
                for process in &self.machines[m].processes {
                    self.net
                        .borrow_mut()
                        .set_descriptor_limit(process.process, self.plan.max_descriptors);
                }
            }
            Fault::Store(_) => self.store.set_fault_rate(0),
            Fault::Spoilt(_) => self.store.set_malformed_rate(0),
            Fault::Repeats(_) => self.machines[m].runtime.repeated_notices_per_mille = 0,
            Fault::Directory => {
                self.endpoints[DIRECTORY].listen(virtual_address(1, 7_946));
            }
            Fault::DiskFull | Fault::DiskFail => self.machines[m].disk.set_faults(&[]),
            Fault::Burst(_) => {
                self.front_ends
                    .iter_mut()
                    .zip(&self.base_rates)
                    .for_each(|(front_end, rate)| front_end.rate = *rate);
            }
            _ => {}
        }
    }

    fn break_link(&mut self, m: usize, until: Micros) {
        let machine = &mut self.machines[m];
        self.endpoints[FIRST_RUNTIME + m].call(&mut machine.runtime, |runtime, _, out| {
            runtime.break_link(until, out);
        });
    }

    fn reset(&mut self, number: usize) {
        let first = FIRST_RUNTIME + self.machines.len();
        for _ in 0..number {
            let n = self.random.random_range(0..self.front_ends.len());
            let dialled = self.endpoints[first + n].dialled_connections();
            if dialled.is_empty() {
                continue;
            }
            let (link, end) = dialled[self.random.random_range(0..dialled.len())];
            self.front_ends[n].excused_links.insert(link);
            self.net.borrow_mut().reset(end);
        }
    }
}
