//! The state machine.

use crate::bounds::{Bounded, Shared, Told};
use crate::figures::{Figure, Figures, Kind};
use crate::identity::{Identity, Label};
use crate::incarnation::{Incarnations, Mark};
use crate::seal::{Keys, Unheard, OVERHEAD};
use cleatpulley_policy::interface::Micros;
use foca::{Config, Foca, Notification, PeriodicParams, Runtime, State, Timer};
use rand_gossip::rngs::SmallRng;
use rand_gossip::SeedableRng;
use std::cell::{Ref, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// Bytes of a datagram: less than any path's frame, so that none is cut in two.
const DATAGRAM: usize = 1_200;
/// The first byte of a payload: gossip, or the notice to a life that it is held to be gone, which goes to whoever still speaks
/// under it. Guards against a process that nobody hears and that hears of it from nobody.
const GOSSIP: u8 = 0;
const NOTICE: u8 = 1;
/// How often a figure is told anew where nothing moved it: a process that came meanwhile learns it then.
const RENEWS: Micros = 2_000_000;
/// A turn that comes so late after its time was not a slow network: this process stood still.
const STOOD_STILL: Micros = 300_000;

/// How patient it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Each process asks one other so often.
    pub probe: Micros,
    /// For an answer this long is waited before others are asked to try; less than half of `probe`.
    pub answer: Micros,
    /// A suspected process has so long to say that it is there.
    pub suspicion: Micros,
    /// One that is gone is remembered for so long: news of it that come late are not believed.
    pub remembered: Micros,
    /// A figure is forgotten after so long.
    pub figures: Micros,
    /// Processes that are known, at most.
    pub most: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe: 500_000,
            answer: 200_000,
            suspicion: 5_000_000,
            remembered: 30_000_000,
            figures: 10_000_000,
            most: 512,
        }
    }
}

/// A key of the settings that can't be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {why}")]
pub struct BadSettings {
    /// The key.
    pub key: &'static str,
    /// What is wrong with it.
    pub why: String,
}

impl Settings {
    /// Looks whether they go together.
    ///
    /// # Errors
    /// The first key that does not.
    pub fn check(&self) -> Result<(), BadSettings> {
        let bad = |key, why: &str| {
            Err(BadSettings {
                key,
                why: why.to_owned(),
            })
        };
        if self.probe < 10_000 {
            return bad("probe", "is less than 10 ms");
        }
        if self.answer == 0 || self.answer >= self.probe / 2 {
            return bad(
                "answer",
                "has to be more than 0 and less than half of probe, since others try in the other half",
            );
        }
        if self.suspicion < 2 * self.probe {
            return bad(
                "suspicion",
                "is less than two probes: every lost datagram would be believed",
            );
        }
        if self.remembered < self.suspicion {
            return bad("remembered", "is less than suspicion");
        }
        if self.figures < 2 * RENEWS {
            return bad("figures", "is less than 4 s, in which each is told twice");
        }
        if !(2..=4_096).contains(&self.most) {
            return bad("most", "has to lie between 2 and 4096");
        }
        Ok(())
    }

    fn config(&self) -> Config {
        let time = Duration::from_micros;
        let one = NonZeroUsize::MIN;
        let some = one.saturating_add(2);
        let periodic = |frequency, num_members| {
            Some(PeriodicParams {
                frequency,
                num_members,
            })
        };
        Config {
            probe_period: time(self.probe),
            probe_rtt: time(self.answer),
            num_indirect_probes: some,
            max_transmissions: NonZeroU8::MIN.saturating_add(9),
            suspect_to_down_after: time(self.suspicion),
            remove_down_after: Some(time(self.remembered)),
            max_packet_size: NonZeroUsize::new(DATAGRAM - OVERHEAD - 1).unwrap_or(one),
            // Its notice goes out after a suspicion that was put right as well, and so sends whoever is there away: ours does
            // not (see `NOTICE`).
            notify_down_members: false,
            periodic_announce: periodic(time(20 * self.probe), one),
            periodic_announce_to_down_members: periodic(time(4 * self.probe), some),
            periodic_gossip: periodic(time(self.probe / 2), some),
        }
    }
}

/// What has come to pass.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A process is there.
    Up(Identity),
    /// It is held to be gone.
    Down(Identity),
    /// Others held this process to be gone; it goes on under this incarnation.
    Rejoined(u64),
    /// Another process has our name by a later life: this one is no member any more, until that one is gone.
    Superseded(Identity),
    /// This has to be durable before the process may be restarted: see [`Incarnations`].
    Reserve(Mark),
    /// No incarnation is left; the process stays out.
    Exhausted,
}

/// A process as it is seen from here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// It did not answer, and has some time to say that it is there.
    pub suspected: bool,
}

/// Who is there, as this process has heard.
pub struct Membership {
    foca: Foca<Identity, Bounded, SmallRng, Told>,
    shared: Rc<RefCell<Shared>>,
    settings: Settings,
    seed: u64,
    keys: Keys,
    incarnations: Incarnations,
    contacts: Vec<SocketAddr>,
    contact_at: Micros,
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    numbered: u64,
    out: Vec<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
    /// Who was there when it was last looked.
    there: BTreeMap<SocketAddr, Identity>,
    /// What this process tells of itself.
    own: BTreeMap<Kind, (u64, Vec<u8>)>,
    renew_at: Micros,
    /// Others hold it to be gone.
    defunct: bool,
    superseded: bool,
    left: bool,
    unheard: u64,
}

impl Membership {
    /// A process that has just started, in the life that its disk permits. `identity.incarnation` is taken from there.
    ///
    /// # Errors
    /// The key of the settings that can't be.
    pub fn new(
        mut identity: Identity,
        incarnations: Incarnations,
        settings: Settings,
        keys: Keys,
        seed: u64,
    ) -> Result<Self, BadSettings> {
        settings.check()?;
        identity.incarnation = incarnations.current();
        let shared = Shared {
            most: settings.most,
            own: Some(identity.clone()),
            ..Shared::default()
        };
        let shared = Rc::new(RefCell::new(shared));
        Ok(Self {
            foca: foca(identity, &settings, &shared, seed),
            seed,
            shared,
            settings,
            keys,
            incarnations,
            contacts: Vec::new(),
            contact_at: 0,
            timers: BTreeMap::new(),
            numbered: 0,
            out: Vec::new(),
            events: VecDeque::new(),
            there: BTreeMap::new(),
            own: BTreeMap::new(),
            renew_at: 0,
            defunct: false,
            superseded: false,
            left: false,
            unheard: 0,
        })
    }

    /// Processes that are asked for the others, again and again until each was heard of.
    pub fn join(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
        self.contact_at = 0;
    }

    /// Takes up other keys.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Who this process is by now.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// A datagram has come.
    ///
    /// # Errors
    /// Where its seal is not right; nothing has come of it then.
    pub fn hear(&mut self, now: Micros, datagram: &[u8]) -> Result<(), Unheard> {
        self.shared.borrow_mut().now = now;
        let payload = self
            .keys
            .open(datagram)
            .inspect_err(|_| self.unheard += 1)?;
        match payload.split_first() {
            Some((&GOSSIP, gossip)) => {
                self.shared.borrow_mut().sender = None;
                let mut gathered = Gathered::default();
                // What it can't read or has no use for changes nothing, and an own datagram that comes back is one of those.
                let _ = self.foca.handle_data(gossip, &mut gathered);
                self.take(now, gathered);
                self.notify_sender(now);
            }
            Some((&NOTICE, identity)) => {
                let told = postcard::from_bytes::<Identity>(identity);
                self.defunct |= told.is_ok_and(|told| told == *self.identity());
            }
            _ => self.unheard += 1,
        }
        Ok(())
    }

    /// Does what the time asks for.
    pub fn turn(&mut self, now: Micros) {
        self.shared.borrow_mut().now = now;
        self.forgive_own_pause(now);
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let timer = entry.remove();
            let mut gathered = Gathered::default();
            let _ = self.foca.handle_timer(timer, &mut gathered);
            self.take(now, gathered);
        }
        self.rejoin(now);
        if now >= self.contact_at && !self.left {
            self.contact_at = now + 2 * self.settings.probe;
            self.contact(now);
        }
        if now >= self.renew_at {
            self.renew_at = now + RENEWS;
            self.shared
                .borrow_mut()
                .figures
                .age_out(now, self.settings.figures);
            let kinds: Vec<Kind> = self.own.keys().copied().collect();
            kinds
                .into_iter()
                .for_each(|kind| self.tell_again(now, kind));
        }
    }

    /// When [`turn`](Self::turn) has something to do.
    #[must_use]
    pub fn next(&self) -> Micros {
        let timer = self.timers.keys().next().map_or(Micros::MAX, |(at, _)| *at);
        timer.min(self.contact_at).min(self.renew_at)
    }

    /// Tells the others a value of this process.
    pub fn tell(&mut self, now: Micros, kind: Kind, value: Vec<u8>) {
        let version = self.own.get(&kind).map_or(0, |(version, _)| *version);
        self.own.insert(kind, (version, value));
        self.tell_again(now, kind);
    }

    /// Says goodbye; nothing is answered any more.
    pub fn leave(&mut self, now: Micros) {
        let mut gathered = Gathered::default();
        let _ = self.foca.leave_cluster(&mut gathered);
        self.left = true;
        self.take(now, gathered);
    }

    /// Datagrams to send.
    pub fn take_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// The next of what has come to pass.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Others that are there, by name; of two with one name the later life.
    #[must_use]
    pub fn members(&self) -> BTreeMap<Label, Member> {
        let mut members: BTreeMap<Label, Member> = BTreeMap::new();
        for member in self.foca.iter_members() {
            let identity = member.id().clone();
            if identity.name == self.identity().name {
                continue;
            }
            let suspected = member.state() == State::Suspect;
            let later = members
                .get(&identity.name)
                .is_none_or(|known| known.identity.rank() < identity.rank());
            if later {
                members.insert(
                    identity.name.clone(),
                    Member {
                        identity,
                        suspected,
                    },
                );
            }
        }
        members
    }

    /// What the others told.
    #[must_use]
    pub fn figures(&self) -> Ref<'_, Figures> {
        Ref::map(self.shared.borrow(), |shared| &shared.figures)
    }

    /// Whether this process is a member, for all that it knows.
    #[must_use]
    pub fn is_member(&self) -> bool {
        !(self.defunct || self.superseded || self.left)
    }

    /// Datagrams that were not heard for their seal, and members that found no room.
    #[must_use]
    pub fn turned_away(&self) -> (u64, u64) {
        (self.unheard, self.shared.borrow().left_out)
    }

    /// Tells whoever spoke under a life that is held to be gone here.
    fn notify_sender(&mut self, now: Micros) {
        let Some(sender) = self.shared.borrow_mut().sender.take() else {
            return;
        };
        let known = self
            .foca
            .iter_membership_state()
            .find(|member| member.id().address == sender.address);
        let gone = known.is_some_and(|known| {
            let later = known.id().rank() > sender.rank();
            later || *known.id() == sender && known.state() == State::Down
        });
        if !gone {
            return;
        }
        let lost = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == State::Down)
            .count();
        if lost > self.foca.num_members() {
            self.start_over(now);
        } else if let Ok(bytes) = postcard::to_allocvec(&sender) {
            self.send(sender.address, NOTICE, &bytes);
        }
    }

    /// Forgets who was there. Guards the many against one that was cut off and holds all of them to be gone: the smaller part
    /// comes back, and not the larger.
    fn start_over(&mut self, now: Micros) {
        self.foca = foca(
            self.identity().clone(),
            &self.settings,
            &self.shared,
            self.seed,
        );
        self.timers.clear();
        self.note_changes();
        let seen = self.shared.borrow().seen;
        self.bump(now, seen);
    }

    fn send(&mut self, to: SocketAddr, kind: u8, bytes: &[u8]) {
        let mut payload = Vec::with_capacity(bytes.len() + 1);
        payload.push(kind);
        payload.extend_from_slice(bytes);
        self.out.push((to, self.keys.seal(&payload)));
    }

    /// Guards against a process that stood still and takes the silence for that of the others: its timers begin anew, and
    /// whoever it was about to ask or to give up has the full time again.
    fn forgive_own_pause(&mut self, now: Micros) {
        let Some(&(first, _)) = self.timers.keys().next() else {
            return;
        };
        let late = now.saturating_sub(first);
        if late < STOOD_STILL {
            return;
        }
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers
            .into_iter()
            .map(|((at, number), timer)| ((at + late, number), timer))
            .collect();
    }

    fn contact(&mut self, now: Micros) {
        let known: Vec<SocketAddr> = self
            .foca
            .iter_members()
            .map(|member| member.id().address)
            .collect();
        let own = self.identity().clone();
        for &address in &self.contacts.clone() {
            if address != own.address && !known.contains(&address) {
                let mut gathered = Gathered::default();
                // Whoever is there goes by its address until it is heard of.
                let _ = self
                    .foca
                    .announce(whoever_is_at(address, &own), &mut gathered);
                self.take(now, gathered);
            }
        }
    }

    /// Comes back after others held it to be gone, unless another has the name by now.
    fn rejoin(&mut self, now: Micros) {
        let holder = self.holder();
        match holder {
            Some(holder) => {
                if !self.superseded {
                    self.superseded = true;
                    // Once that one is gone, this process comes back above it.
                    let mut shared = self.shared.borrow_mut();
                    shared.seen = shared.seen.max(holder.incarnation);
                    drop(shared);
                    self.events.push_back(Event::Superseded(holder));
                }
                return;
            }
            None if self.superseded => {
                self.superseded = false;
                self.defunct = true;
            }
            None => {}
        }
        let (seen, left) = (self.shared.borrow().seen, self.left);
        if !left && (self.defunct || self.incarnations.is_behind(seen)) {
            self.defunct = false;
            self.bump(now, seen);
        }
    }

    /// Who has our name by a later life, at another address.
    fn holder(&self) -> Option<Identity> {
        let own = self.identity();
        let namesakes = self
            .foca
            .iter_members()
            .map(foca::Member::id)
            .filter(|id| id.name == own.name);
        namesakes
            .filter(|id| id.rank() > own.rank())
            .max_by_key(|id| id.rank())
            .cloned()
    }

    fn bump(&mut self, now: Micros, seen: u64) {
        match self.incarnations.next(seen) {
            Ok(mark) => self.events.extend(mark.map(Event::Reserve)),
            Err(_) => {
                self.left = true;
                self.events.push_back(Event::Exhausted);
                return;
            }
        }
        let incarnation = self.incarnations.current();
        let identity = Identity {
            incarnation,
            ..self.identity().clone()
        };
        self.shared.borrow_mut().own = Some(identity.clone());
        let mut gathered = Gathered::default();
        if self.foca.change_identity(identity, &mut gathered).is_ok() {
            self.events.push_back(Event::Rejoined(incarnation));
            self.own.values_mut().for_each(|(version, _)| *version = 0);
            (self.contact_at, self.renew_at) = (now, now);
        }
        self.take(now, gathered);
    }

    fn tell_again(&mut self, now: Micros, kind: Kind) {
        let Identity {
            address,
            incarnation,
            ..
        } = *self.identity();
        let Some((version, value)) = self.own.get_mut(&kind) else {
            return;
        };
        *version += 1;
        let figure = Figure {
            address,
            incarnation,
            kind,
            version: *version,
            value: value.clone(),
        };
        {
            let own = self.identity().clone();
            let mut shared = self.shared.borrow_mut();
            shared.now = now;
            shared.figures.up(&own);
        }
        if let Ok(bytes) = postcard::to_allocvec(&figure) {
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Tells of those that came and went since it was last looked.
    fn note_changes(&mut self) {
        let there = self
            .foca
            .iter_members()
            .map(|member| (member.id().address, member.id().clone()));
        let there: BTreeMap<SocketAddr, Identity> = there.collect();
        let before = std::mem::replace(&mut self.there, there);
        let mut shared = self.shared.borrow_mut();
        for (address, gone) in &before {
            if self.there.get(address) != Some(gone) {
                shared.figures.down(gone);
                self.events.push_back(Event::Down(gone.clone()));
            }
        }
        for (address, came) in &self.there {
            if before.get(address) != Some(came) {
                shared.addresses.insert(*address);
                shared.figures.up(came);
                self.events.push_back(Event::Up(came.clone()));
            }
        }
    }

    fn take(&mut self, now: Micros, gathered: Gathered) {
        for (after, timer) in gathered.timers {
            self.numbered += 1;
            self.timers.insert((now + after, self.numbered), timer);
        }
        for (to, payload) in gathered.out {
            self.send(to, GOSSIP, &payload);
        }
        self.defunct |= gathered.defunct;
        if gathered.changed {
            self.note_changes();
        }
        // Those that are gone and no longer remembered leave their room.
        let mut shared = self.shared.borrow_mut();
        if shared.addresses.len() >= shared.most {
            let known = self
                .foca
                .iter_membership_state()
                .map(|member| member.id().address)
                .collect();
            shared.addresses = known;
        }
    }
}

fn foca(
    identity: Identity,
    settings: &Settings,
    shared: &Rc<RefCell<Shared>>,
    seed: u64,
) -> Foca<Identity, Bounded, SmallRng, Told> {
    let codec = Bounded {
        shared: shared.clone(),
    };
    let told = Told {
        shared: shared.clone(),
    };
    // Each life its own numbers, so that none asks in the order of the former.
    let random = SmallRng::seed_from_u64(seed ^ identity.incarnation.rotate_left(32));
    Foca::with_custom_broadcast(identity, settings.config(), random, codec, told)
}

/// An identity that is nobody's: only its address counts.
fn whoever_is_at(address: SocketAddr, own: &Identity) -> Identity {
    let name = Label::try_from("?".to_owned()).unwrap_or_else(|_| own.name.clone());
    Identity {
        name,
        incarnation: 0,
        boot: 0,
        address,
        ..own.clone()
    }
}

/// What the library asks for.
#[derive(Default)]
struct Gathered {
    out: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Micros, Timer<Identity>)>,
    /// Who is there may be others now.
    changed: bool,
    defunct: bool,
}

impl Runtime<Identity> for Gathered {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(_) | Notification::MemberDown(_) | Notification::Rename(..) => {
                self.changed = true;
            }
            Notification::Defunct => self.defunct = true,
            Notification::Active | Notification::Idle | Notification::Rejoin(_) => {}
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.out.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((
            Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX),
            event,
        ));
    }
}
