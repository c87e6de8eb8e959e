//! A process that agrees.

use crate::change::{BadChange, Change, ChangeId, Subject};
use crate::lease::Lease;
use crate::log::{Group, Log};
use crate::storage::{Disk, Fault};
use crate::table::{Outcome, Table};
use crate::wire::{Say, Unread};
use crate::NodeId;
use cleatpulley_policy::interface::Micros;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use std::collections::{BTreeSet, VecDeque};

/// Changes of our own that wait to be asked for.
const MOST_WAITING: usize = 1_024;
/// A change that was not decided is asked for again after this time: its way to the leader may have been cut.
const AGAIN: Micros = 1_000_000;
/// How often the log is looked at for what all have.
const TRIMS: Micros = 2_000_000;

/// How it agrees.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Which process this is.
    pub me: NodeId,
    /// Those of the first group; later ones are agreed on.
    pub members: Vec<NodeId>,
    /// The library's clock moves on so often.
    pub tick: Micros,
    /// A leader that was not heard of for so many ticks is replaced.
    pub election: u64,
    /// For so long after it was surely the latest, an epoch may be acted on.
    pub lease: Micros,
    /// How often it is made sure.
    pub ask: Micros,
    /// Changes that the log keeps for those that lag.
    pub keep: usize,
}

impl Settings {
    /// Of so many.
    #[must_use]
    pub fn new(me: NodeId, members: Vec<NodeId>) -> Self {
        Self {
            me,
            members,
            tick: 20_000,
            election: 15,
            lease: 3_000_000,
            ask: 250_000,
            keep: 1_024,
        }
    }

    /// Looks whether they go together.
    ///
    /// # Errors
    /// The key that does not, and why.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let bad = |key, why: &str| Err((key, why.to_owned()));
        if self.me == 0 || self.me > 64 {
            return bad("me", "a process that agrees has a number from 1 to 64");
        }
        check_members(&self.members).map_err(|why| ("members", why))?;
        if !(1_000..=1_000_000).contains(&self.tick) || self.election < 3 {
            return bad(
                "tick",
                "is not within 1 ms to 1 s, or an election takes fewer than 3 of them",
            );
        }
        if self.ask == 0 || self.lease < 4 * self.ask {
            return bad(
                "lease",
                "is less than four questions: a lost one would end it",
            );
        }
        if self.lease <= self.tick * self.election {
            return bad("lease", "is no longer than an election takes");
        }
        Ok(())
    }
}

fn check_members(members: &[NodeId]) -> Result<(), String> {
    let distinct: BTreeSet<_> = members.iter().collect();
    if distinct.len() != members.len() || !matches!(members.len(), 3 | 5 | 7) {
        return Err("three, five or seven different processes agree".to_owned());
    }
    if members.iter().any(|member| !(1..=64).contains(member)) {
        return Err("their numbers lie between 1 and 64".to_owned());
    }
    Ok(())
}

/// What has come to pass.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A change was decided as this epoch.
    Decided {
        /// Its place.
        epoch: u64,
        /// It.
        change: Change,
        /// What became of it.
        outcome: Outcome,
    },
    /// The table is that of a later epoch, and what came between was not heard one by one.
    Jumped(u64),
    /// Another process leads, or none.
    Leader(Option<NodeId>),
    /// The present epoch may be acted on, or no longer.
    Lease(bool),
    /// Others agree from here on.
    Group(Group),
    /// The disk failed: this process says nothing more.
    Broken(Fault),
}

type Paxos<D> = OmniPaxos<Change, Log<D>>;

/// A process that agrees, or waits to be taken into the group.
pub struct Node<D: Disk> {
    settings: Settings,
    group: Group,
    paxos: Option<Paxos<D>>,
    log: Log<D>,
    table: Table,
    /// The table with which the group's log begins, for those that come late.
    begun: Table,
    lease: Lease,
    held: bool,
    leader: Option<NodeId>,
    connected: BTreeSet<NodeId>,
    /// Changes of our own, the first of which is on its way since then.
    waiting: VecDeque<Change>,
    asked_at: Option<Micros>,
    life: (u64, u64),
    tick_at: Micros,
    ask_at: Micros,
    trim_at: Micros,
    out: Vec<(NodeId, Vec<u8>)>,
    events: VecDeque<Event>,
    broken: bool,
}

impl<D: Disk> Node<D> {
    /// One that starts with what its disk holds. `incarnation` is that of this life of the process.
    ///
    /// # Errors
    /// Where the disk can't be read or holds no log, or the settings can't be.
    pub fn new(settings: Settings, disk: D, incarnation: u64) -> Result<Self, Fault> {
        settings
            .check()
            .map_err(|(key, why)| Fault(format!("{key}: {why}")))?;
        let (log, group, table, begun) = Log::open(disk)?;
        let group = group.unwrap_or_else(|| {
            let first = Group {
                number: 1,
                members: settings.members.clone(),
                base: 0,
            };
            log.note_group(&first);
            first
        });
        let mut node = Self {
            lease: Lease::new(settings.lease, group.members.len() / 2 + 1),
            settings,
            paxos: None,
            group,
            log,
            table,
            begun,
            held: false,
            leader: None,
            connected: BTreeSet::new(),
            waiting: VecDeque::new(),
            asked_at: None,
            life: (incarnation, 0),
            tick_at: 0,
            ask_at: 0,
            trim_at: 0,
            out: Vec::new(),
            events: VecDeque::new(),
            broken: false,
        };
        node.paxos = node.build()?;
        node.apply();
        node.events.clear();
        Ok(node)
    }

    fn build(&self) -> Result<Option<Paxos<D>>, Fault> {
        if !self.group.members.contains(&self.settings.me) {
            return Ok(None);
        }
        let cluster_config = ClusterConfig {
            configuration_id: self.group.number,
            nodes: self.group.members.clone(),
            flexible_quorum: None,
        };
        let server_config = ServerConfig {
            pid: self.settings.me,
            election_tick_timeout: self.settings.election,
            resend_message_tick_timeout: self.settings.election,
            ..ServerConfig::default()
        };
        let config = OmniPaxosConfig {
            cluster_config,
            server_config,
        };
        config
            .build(self.log.clone())
            .map(Some)
            .map_err(|e| Fault(format!("the group: {e}")))
    }

    /// A session with another stands anew: nothing that was sent on an older one counts.
    pub fn connected(&mut self, now: Micros, peer: NodeId) {
        self.connected.insert(peer);
        if let Some(paxos) = self
            .paxos
            .as_mut()
            .filter(|_| self.group.members.contains(&peer))
        {
            paxos.reconnected(peer);
        }
        self.settle(now);
    }

    /// It is over.
    pub fn lost(&mut self, peer: NodeId) {
        self.connected.remove(&peer);
    }

    /// A message has come from another.
    ///
    /// # Errors
    /// Where it is none; nothing has come of it then, and the session is best ended.
    pub fn hear(&mut self, now: Micros, from: NodeId, bytes: &[u8]) -> Result<(), Unread> {
        let said = Say::decode(bytes, from, self.settings.me)?;
        if self.broken {
            return Ok(());
        }
        match said {
            Say::Paxos { group, message } if group == self.group.number => {
                let ours = self.group.members.contains(&from);
                if let Some(paxos) = self.paxos.as_mut().filter(|_| ours) {
                    paxos.handle_incoming(message);
                }
            }
            Say::Ask { group, number } if group == self.group.number => {
                let accepted = self
                    .paxos
                    .as_ref()
                    .map_or(0, |paxos| paxos.get_accepted_idx() as u64);
                self.say(
                    from,
                    &Say::Answer {
                        group,
                        number,
                        accepted,
                    },
                );
            }
            Say::Answer {
                group,
                number,
                accepted,
            } if group == self.group.number => {
                self.lease.answer(number, from, accepted);
            }
            Say::Begin { group, table } if group.number > self.group.number => {
                self.begin(group, *table)
            }
            // Whoever is ahead hears how far this process is, and tells it the rest.
            Say::Paxos { group, .. } | Say::Ask { group, .. } if group > self.group.number => {
                self.say(
                    from,
                    &Say::Ask {
                        group: self.group.number,
                        number: 0,
                    },
                );
            }
            Say::Paxos { group, .. } | Say::Ask { group, .. } if group < self.group.number => {
                let begin = Say::Begin {
                    group: self.group.clone(),
                    table: Box::new(self.begun.clone()),
                };
                self.say(from, &begin);
            }
            _ => {}
        }
        self.settle(now);
        Ok(())
    }

    /// Does what the time asks for.
    pub fn turn(&mut self, now: Micros) {
        if self.broken {
            return;
        }
        if now >= self.tick_at {
            // Time that this process stood still is not made up for: the others had to go on without it.
            self.tick_at = now + self.settings.tick;
            if let Some(paxos) = &mut self.paxos {
                paxos.tick();
            }
        }
        if now >= self.ask_at {
            self.ask_at = now + self.settings.ask;
            self.ask(now);
        }
        if now >= self.trim_at {
            self.trim_at = now + TRIMS;
            self.trim();
        }
        self.ask_for_changes(now);
        self.settle(now);
    }

    /// When [`turn`](Self::turn) has something to do.
    #[must_use]
    pub fn next(&self) -> Micros {
        if self.broken {
            return Micros::MAX;
        }
        let until = self.lease.until().filter(|_| self.held);
        self.tick_at
            .min(self.ask_at)
            .min(until.unwrap_or(Micros::MAX))
    }

    /// Asks for a change; returns its number, under which [`Event::Decided`] tells of it. `seen` is the epoch of the subject
    /// that it holds for, where it holds for one alone.
    ///
    /// # Errors
    /// Where it is out of bounds, or too many wait.
    pub fn propose(
        &mut self,
        now: Micros,
        subject: Subject,
        value: Option<Vec<u8>>,
        seen: Option<u64>,
    ) -> Result<ChangeId, Option<BadChange>> {
        if self.waiting.len() >= MOST_WAITING {
            return Err(None);
        }
        self.life.1 += 1;
        let id = ChangeId {
            process: self.settings.me,
            incarnation: self.life.0,
            number: self.life.1,
        };
        let change = Change {
            id,
            subject,
            value,
            seen,
        };
        change.check().map_err(Some)?;
        self.waiting.push_back(change);
        self.settle(now);
        Ok(id)
    }

    /// Asks for another group.
    ///
    /// # Errors
    /// Where it can't be one, or none can be asked for now.
    pub fn propose_group(&mut self, members: Vec<NodeId>) -> Result<(), String> {
        check_members(&members)?;
        let Some(paxos) = &mut self.paxos else {
            return Err("this process does not agree".to_owned());
        };
        let next = ClusterConfig {
            configuration_id: self.group.number + 1,
            nodes: members,
            flexible_quorum: None,
        };
        paxos
            .reconfigure(next, None)
            .map_err(|_| "another group is being agreed on".to_owned())
    }

    /// Takes the lead, where most follow: before a leader leaves by plan, another does so.
    pub fn take_lead(&mut self, now: Micros) {
        if let Some(paxos) = &mut self.paxos {
            paxos.try_become_leader();
        }
        self.settle(now);
    }

    /// What all that was decided comes to.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Who agrees.
    #[must_use]
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Who leads, for all that this process knows.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Until when the epoch may be acted on.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Changes of our own that are not decided.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The log, for tests that look at its disk.
    #[must_use]
    pub fn log(&self) -> &Log<D> {
        &self.log
    }

    /// Messages to send.
    pub fn take_out(&mut self) -> Vec<(NodeId, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// The next of what has come to pass.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn say(&mut self, to: NodeId, what: &Say) {
        if self.connected.contains(&to) {
            self.out.push((to, what.encode()));
        }
    }

    fn ask(&mut self, now: Micros) {
        let Some(paxos) = &self.paxos else { return };
        let (number, accepted) = (self.lease.ask(now), paxos.get_accepted_idx() as u64);
        self.lease.answer(number, self.settings.me, accepted);
        let ask = Say::Ask {
            group: self.group.number,
            number,
        };
        for member in self.group.members.clone() {
            self.say(member, &ask);
        }
    }

    fn trim(&mut self) {
        let keep = self.settings.keep;
        if let Some(paxos) = &mut self.paxos {
            let leads = paxos
                .get_current_leader()
                .is_some_and(|(leader, _)| leader == self.settings.me);
            let long = paxos
                .get_decided_idx()
                .saturating_sub(paxos.get_compacted_idx())
                > 2 * keep;
            if leads && long {
                let to = paxos.get_decided_idx() - keep;
                // Where one lags behind that, it is tried again.
                let _ = paxos.trim(Some(to));
            }
        }
    }

    /// Asks for the first of our changes, again where it was not decided.
    fn ask_for_changes(&mut self, now: Micros) {
        let due = self.asked_at.is_none_or(|at| now >= at + AGAIN);
        let (Some(change), Some(paxos), true) = (self.waiting.front(), &mut self.paxos, due) else {
            return;
        };
        // Without a leader it would go nowhere.
        if paxos.get_current_leader().is_some() && paxos.append(change.clone()).is_ok() {
            self.asked_at = Some(now);
        }
    }

    /// Applies what is decided, makes durable what was promised, and only then lets go of what is said.
    fn settle(&mut self, now: Micros) {
        if self.broken {
            return;
        }
        self.apply();
        self.follow_group();
        self.ask_for_changes(now);
        let mut messages = Vec::new();
        if let Some(paxos) = &mut self.paxos {
            paxos.take_outgoing_messages(&mut messages);
        }
        if let Err(fault) = self.log.flush(&self.table, self.group.base) {
            self.broken = true;
            self.out.clear();
            if std::mem::take(&mut self.held) {
                self.events.push_back(Event::Lease(false));
            }
            self.events.push_back(Event::Broken(fault));
            return;
        }
        for message in messages {
            let to = message.get_receiver();
            self.say(
                to,
                &Say::Paxos {
                    group: self.group.number,
                    message,
                },
            );
        }
        if let Some(paxos) = &self.paxos {
            self.lease.look(paxos.get_decided_idx() as u64);
            let leader = paxos.get_current_leader().map(|(leader, _)| leader);
            if leader != self.leader {
                self.leader = leader;
                self.events.push_back(Event::Leader(leader));
            }
        }
        let held = self.lease.holds(now);
        if held != self.held {
            self.held = held;
            self.events.push_back(Event::Lease(held));
        }
    }

    fn apply(&mut self) {
        let Some(paxos) = &self.paxos else { return };
        let applied = (self.table.epoch - self.group.base) as usize;
        let decided = paxos.get_decided_idx();
        if decided <= applied {
            return;
        }
        let entries = paxos.read_decided_suffix(applied).unwrap_or_default();
        for entry in entries {
            let LogEntry::Decided(change) = entry else {
                continue;
            };
            let outcome = self.table.apply(&change);
            if self
                .waiting
                .front()
                .is_some_and(|first| first.id == change.id)
            {
                self.waiting.pop_front();
                self.asked_at = None;
            }
            self.events.push_back(Event::Decided {
                epoch: self.table.epoch,
                change,
                outcome,
            });
        }
    }

    /// Goes over to the next group, where the present one has decided to end.
    fn follow_group(&mut self) {
        let Some(stop) = self.paxos.as_ref().and_then(Paxos::is_reconfigured) else {
            return;
        };
        let next = stop.next_config;
        if next.configuration_id <= self.group.number {
            return;
        }
        let group = Group {
            number: next.configuration_id,
            members: next.nodes,
            base: self.table.epoch,
        };
        self.enter(group, self.table.clone());
    }

    /// Another process tells of a later group, whose log begins with this table.
    fn begin(&mut self, group: Group, table: Table) {
        if check_members(&group.members).is_err()
            || table.epoch != group.base
            || table.epoch < self.table.epoch
        {
            return;
        }
        self.events.push_back(Event::Jumped(table.epoch));
        self.enter(group, table);
    }

    fn enter(&mut self, group: Group, table: Table) {
        self.log.begin(&group, &table);
        (self.group, self.table) = (group.clone(), table.clone());
        self.begun = table;
        self.lease.enter(group.members.len() / 2 + 1);
        self.asked_at = None;
        match self.build() {
            Ok(paxos) => self.paxos = paxos,
            Err(fault) => {
                self.broken = true;
                self.events.push_back(Event::Broken(fault));
            }
        }
        self.events.push_back(Event::Group(group));
        for peer in self.connected.clone() {
            if let Some(paxos) = self
                .paxos
                .as_mut()
                .filter(|_| self.group.members.contains(&peer))
            {
                paxos.reconnected(peer);
            }
        }
    }
}
