//! Upgrades in place: the connections to the process whose place this one takes, and to the one that takes its place. What
//! is decided lies with `cleatpulley_hot_restart`; what it comes to is told as steps to the node.

mod predecessor_link;

use super::host::{HandoverAddress, HandoverChannel, Host};
use super::SocketOwner;
use cleatpulley_hot_restart::message::MOST_STANDING;
use cleatpulley_hot_restart::predecessor::{self, Predecessor};
use cleatpulley_hot_restart::successor::{self, Successor};
use cleatpulley_hot_restart::{Held, Message};
use cleatpulley_policy::interface::Micros;
use predecessor_link::PredecessorLink;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};

/// The number that successors are told of by.
pub const PLACE: usize = (1 << 16) + 1;

/// Wait after the system had no descriptor for a successor.
pub(crate) const LET_IN: Micros = 20_000;
/// Wait before successors are let find this process once more.
const POST_AGAIN: Micros = 500_000;

type ReceivedSocket<H> = <<H as Host>::HandoverChannel as HandoverChannel>::ReceivedSocket;

/// What the node is to do.
pub enum HotRestartStep<H: Host> {
    /// Take these sockets as those of these addresses.
    Adopt(Vec<(SocketAddr, ReceivedSocket<H>)>),
    /// Listen where no socket is yet.
    Listen,
    /// Accept from here on.
    Serve,
    /// Open the store of results.
    OpenStore,
    /// The other process has so much of the machine.
    Beside(Held),
    /// What the other process has learned.
    Learn(String),
    /// Callers that have earned standing there.
    Standing(Vec<(IpAddr, f64)>),
    /// Accept no more, send connections away, and then [`yielded`](Upgrade::yielded) is to be told of it.
    Yield,
    /// The successor is gone.
    Resume,
    /// No descriptor is left for a successor: a connection that owes nothing is to be closed.
    MakeRoom,
}

/// Both connections.
pub struct HotRestart<H: Host> {
    world: H,
    meeting: HandoverAddress,
    post: Option<H::SuccessorListener>,
    /// A descriptor that is kept for a successor, and when one is looked for again where it was needed.
    spare: Option<H::ReservedDescriptor>,
    spare_at: Micros,
    /// A successor may wait, and is let in no earlier than then.
    knocked: bool,
    let_in_at: Micros,
    before: Option<(Successor, Option<H::HandoverChannel>)>,
    /// What came along with the message that is being heard.
    passed: Vec<ReceivedSocket<H>>,
    /// What that one has of the machine.
    beside: Held,
    /// Others that came before it, and whose own successor died.
    behind: PredecessorLink<H>,
    after: (Predecessor, Option<H::HandoverChannel>),
    /// Whether a process serves can't be told.
    unmet: bool,
    /// Successors could not be let find this process; that is tried again then.
    post_at: Option<Micros>,
}

impl<H: Host> HotRestart<H> {
    /// Looks for a process whose place is to be taken. It is to be shown the addresses that are listened on; the first is
    /// the one it is met by.
    #[must_use]
    pub fn new(world: H, meeting: HandoverAddress, listen: &[SocketAddr]) -> Self {
        let after = (Predecessor::new(&meeting.name), None);
        let mut new = Self {
            world,
            meeting,
            post: None,
            spare: None,
            spare_at: 0,
            knocked: false,
            let_in_at: 0,
            before: None,
            passed: Vec::new(),
            beside: Held::default(),
            behind: PredecessorLink::default(),
            after,
            unmet: false,
            post_at: None,
        };
        // Where the system chooses the port, nobody can be there.
        if new.meeting.address.port() != 0 {
            match new
                .world
                .connect_to_predecessor(&new.meeting, SocketOwner::Predecessor)
            {
                Ok(passage) => {
                    tracing::info!(
                        "upgrade: takes the place of the process that serves {}",
                        new.meeting.address
                    );
                    let (decides, effects) =
                        Successor::new(new.world.now(), &new.meeting.name, listen.to_vec());
                    new.before = Some((decides, Some(passage)));
                    // Nothing but a word goes out before the first turn; where that fails, the turn sees it.
                    let _ = new.before_does(effects, &mut Vec::new());
                }
                Err(e)
                    if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {}
                Err(e) => {
                    tracing::warn!("upgrade: the process that serves can't be met: {e}");
                    new.unmet = true;
                }
            }
        }
        new
    }

    /// It accepts clients: nobody else has the queue.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.before
            .as_ref()
            .is_none_or(|(decides, _)| decides.serves())
            && !self.after.0.yielded()
    }

    /// Whether a process serves could not be told: it may be listened beside one.
    #[must_use]
    pub fn is_unmet(&self) -> bool {
        self.unmet
    }

    /// A successor takes the clients.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        self.after.0.yielded()
    }

    /// The successor died, and whether another process has the place is not known yet: whoever waits in the queue may be this
    /// process's to take.
    #[must_use]
    pub fn is_orphaned(&self) -> bool {
        self.after.0.is_orphaned()
    }

    /// The stop is near, and there is no time to look.
    pub fn search_no_more(&mut self, now: Micros) {
        self.after.0.search_no_more(now);
    }

    /// The process whose place it has taken is still there.
    #[must_use]
    pub fn has_predecessor(&self) -> bool {
        self.before
            .as_ref()
            .is_some_and(|(_, passage)| passage.is_some())
            || self.behind.count() > 0
    }

    /// Connections that stand, and where successors come to.
    #[must_use]
    pub fn descriptors(&self) -> usize {
        let before = self
            .before
            .as_ref()
            .is_some_and(|(_, passage)| passage.is_some());
        let own = [
            self.post.is_some(),
            before,
            self.after.1.is_some(),
            self.spare.is_some(),
        ];
        own.into_iter().filter(|there| *there).count() + self.behind.count()
    }

    /// Successors find this process from now on, at this address.
    pub fn listen_for_successors(&mut self, address: SocketAddr) {
        self.meeting.address = address;
        // The one before is let go first: its name goes to the next.
        self.post = None;
        match self.world.listen_for_successors(&self.meeting, PLACE) {
            Ok(post) => (self.post, self.knocked) = (Some(post), true),
            Err(e) => {
                tracing::warn!("upgrade: no successor can be met yet: {e}");
                self.post_at = Some(self.world.now() + POST_AGAIN);
            }
        }
    }

    /// A successor may wait.
    pub fn on_acceptable(&mut self) {
        self.knocked = true;
    }

    /// Hears what both say and lets time pass; `up` tells that requests can be run, `listens` where this process listens.
    pub fn poll(
        &mut self,
        now: Micros,
        up: bool,
        listens: &[(SocketAddr, Option<&H::Listener>)],
        held: impl Fn() -> Held,
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        if self.post_at.is_some_and(|at| now >= at) {
            self.post_at = None;
            self.listen_for_successors(self.meeting.address);
        }
        self.hear_before(now, steps);
        if steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::Adopt(_)))
        {
            // Whether all of it can be taken up is to be seen before anything is asked for.
            return;
        }
        if let Some((decides, _)) = &mut self.before {
            let effects = decides.turn(now, up);
            self.before_goes(now, effects, steps);
        }
        self.welcome(now, steps);
        self.keep_spare(now);
        if self.behind.turn(now, steps) {
            steps.push(HotRestartStep::Beside(self.share()));
        }
        self.hear_after(now, listens, steps);
        let effects = self.after.0.turn(now, &held);
        if effects.contains(&predecessor::Effect::Look) {
            return self.look(now, listens, held, steps);
        }
        self.after_goes(now, effects, listens, steps);
    }

    /// What all that came before this process have of the machine.
    fn share(&self) -> Held {
        predecessor_link::sum(self.beside, self.behind.held())
    }

    /// The successor died. Sees whether another process has the name by now, and tells it what is left here.
    fn look(
        &mut self,
        now: Micros,
        listens: &[(SocketAddr, Option<&H::Listener>)],
        held: impl Fn() -> Held,
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        // The name may still be this process's own.
        self.post = None;
        // Where nobody is met, that is tried again until its time is over.
        let Ok(passage) = self
            .world
            .connect_to_predecessor(&self.meeting, SocketOwner::Successor)
        else {
            return;
        };
        tracing::info!("upgrade: another process has the place of the successor that is gone");
        self.after.1 = Some(passage);
        let effects = self.after.0.found(now, held());
        self.after_goes(now, effects, listens, steps);
    }

    /// What was passed could not all be taken up for want of descriptors. True where the predecessor is asked again: nothing
    /// of it is taken then.
    pub fn retreat(&mut self, now: Micros) -> bool {
        let Some((decides, _)) = &mut self.before else {
            return false;
        };
        let effects = decides.retreat(now);
        let again = !effects.is_empty();
        // All that is done is to close.
        let _ = self.before_does(effects, &mut Vec::new());
        again
    }

    /// The node has yielded.
    pub fn yielded(&mut self, held: Held, learned: String, mut standing: Vec<(IpAddr, f64)>) {
        standing.truncate(MOST_STANDING);
        let effects = vec![predecessor::Effect::Send(Message::Yours {
            held,
            learned,
            standing,
        })];
        self.after_goes(self.world.now(), effects, &[], &mut Vec::new());
    }

    /// The process ends: its successor hears what is left at last, and keeps no more free than that.
    pub fn shutdown(&mut self, held: Held) {
        if self.after.1.is_some() && self.after.0.yielded() {
            let effects = vec![predecessor::Effect::Send(Message::Left(held))];
            self.after_goes(self.world.now(), effects, &[], &mut Vec::new());
        }
    }

    /// The node has let go of the store of results.
    pub fn store_free(&mut self) {
        let effects = self.after.0.store_free();
        self.after_goes(self.world.now(), effects, &[], &mut Vec::new());
    }

    /// When [`turn`](Self::turn) has something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        let before = self.before.as_ref().and_then(|(decides, _)| decides.next());
        let let_in = (self.knocked && self.let_in_at > 0).then_some(self.let_in_at);
        let next = [
            before,
            self.after.0.next(),
            let_in,
            self.post_at,
            self.behind.next(),
        ];
        next.into_iter().flatten().min()
    }

    fn hear_before(&mut self, now: Micros, steps: &mut Vec<HotRestartStep<H>>) {
        while let Some((decides, Some(passage))) = &mut self.before {
            let effects = match hear(passage) {
                Ok(None) => return,
                Ok(Some((message, passed))) => {
                    if let Message::Refused { why } = &message {
                        tracing::warn!(
                            "upgrade: the process that serves passes nothing yet: {why}"
                        );
                    }
                    self.passed = passed;
                    decides.hear(now, message, self.passed.len())
                }
                Err(why) => {
                    tracing::info!("upgrade: the predecessor is gone: {why}");
                    decides.ended(now)
                }
            };
            self.before_goes(now, effects, steps);
            self.passed.clear();
        }
    }

    /// Does what was decided; where that fails, what is decided then.
    fn before_goes(
        &mut self,
        now: Micros,
        effects: Vec<successor::Effect>,
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        let visits = effects.contains(&successor::Effect::Visit);
        let mut done = self.before_does(effects, steps);
        if visits {
            done = match self
                .world
                .connect_to_predecessor(&self.meeting, SocketOwner::Predecessor)
            {
                Ok(passage) => {
                    let Some((decides, there)) = &mut self.before else {
                        return;
                    };
                    *there = Some(passage);
                    let effects = decides.visited(now);
                    self.before_does(effects, steps)
                }
                Err(e) => Err(e),
            };
        }
        if let Err(e) = done {
            tracing::info!("upgrade: the predecessor is gone: {e}");
            let Some((decides, _)) = &mut self.before else {
                return;
            };
            let effects = decides.ended(now);
            // Nothing is said to one that is gone.
            let _ = self.before_does(effects, steps);
        }
    }

    fn before_does(
        &mut self,
        effects: Vec<successor::Effect>,
        steps: &mut Vec<HotRestartStep<H>>,
    ) -> io::Result<()> {
        use successor::Effect;
        let Some((_, passage)) = &mut self.before else {
            return Ok(());
        };
        for effect in effects {
            match effect {
                Effect::Send(message) => {
                    let passage = passage.as_ref().ok_or(ErrorKind::NotConnected)?;
                    passage.send(&message.encode(), &[])?;
                }
                Effect::Adopt(listen) => {
                    let passed = std::mem::take(&mut self.passed);
                    steps.push(HotRestartStep::Adopt(
                        listen.into_iter().zip(passed).collect(),
                    ));
                }
                Effect::Listen => steps.push(HotRestartStep::Listen),
                Effect::Serve => steps.push(HotRestartStep::Serve),
                Effect::OpenStore => steps.push(HotRestartStep::OpenStore),
                Effect::Beside(held) => {
                    self.beside = held;
                    steps.push(HotRestartStep::Beside(predecessor_link::sum(
                        held,
                        self.behind.held(),
                    )));
                }
                Effect::Learn(learned) => steps.push(HotRestartStep::Learn(learned)),
                Effect::Standing(standing) => steps.push(HotRestartStep::Standing(standing)),
                Effect::Close => *passage = None,
                Effect::Mourn => {
                    self.behind
                        .mourn(self.world.now(), std::mem::take(&mut self.beside));
                    steps.push(HotRestartStep::Beside(predecessor_link::sum(
                        self.beside,
                        self.behind.held(),
                    )));
                }
                // The caller's: it takes another connection.
                Effect::Visit => {}
            }
        }
        Ok(())
    }

    /// Guards against connections that hold all descriptors when a successor comes, which would listen beside this process.
    fn keep_spare(&mut self, now: Micros) {
        let wanted = self.post.is_some() && self.spare.is_none() && self.after.0.receives();
        if wanted && now >= self.spare_at {
            self.spare = self.world.reserve_descriptor().ok();
            self.spare_at = now + POST_AGAIN;
        }
    }

    /// Lets a successor in where none is there; others hear that it is not their turn.
    fn welcome(&mut self, now: Micros, steps: &mut Vec<HotRestartStep<H>>) {
        while now >= self.let_in_at && std::mem::take(&mut self.knocked) {
            let Some(post) = &self.post else { return };
            match self.world.accept_successor(post, SocketOwner::Successor) {
                Ok(passage) if self.after.0.receives() => {
                    self.after.0.visited(now);
                    self.after.1 = Some(passage);
                }
                Ok(passage) => {
                    let why = "another successor is here".to_owned();
                    // It may be gone already.
                    let _ = passage.send(&Message::Refused { why }.encode(), &[]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // One of another user is gone with this; the next may wait behind it.
                Err(e) if e.kind() == ErrorKind::PermissionDenied => {
                    tracing::warn!("upgrade: somebody was not let in: {e}");
                }
                Err(_) if self.spare.take().is_some() => {}
                Err(e) => {
                    // Guards against a loop at full speed while descriptors are short.
                    tracing::warn!("upgrade: a successor is not let in yet: {e}");
                    self.let_in_at = now + LET_IN;
                    steps.push(HotRestartStep::MakeRoom);
                }
            }
            self.knocked = true;
        }
    }

    fn hear_after(
        &mut self,
        now: Micros,
        listens: &[(SocketAddr, Option<&H::Listener>)],
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        let passes: Vec<_> = listens
            .iter()
            .filter(|(_, listener)| listener.is_some())
            .map(|l| l.0)
            .collect();
        while let (decides, Some(passage)) = &mut self.after {
            let effects = match hear(passage) {
                Ok(None) => return,
                Ok(Some((message, _))) => decides.hear(now, &message, &passes),
                Err(why) => {
                    tracing::info!("upgrade: the successor is gone: {why}");
                    decides.ended(now)
                }
            };
            self.after_goes(now, effects, listens, steps);
        }
    }

    fn after_goes(
        &mut self,
        now: Micros,
        effects: Vec<predecessor::Effect>,
        listens: &[(SocketAddr, Option<&H::Listener>)],
        steps: &mut Vec<HotRestartStep<H>>,
    ) {
        if let Err(e) = self.after_does(effects, listens, steps) {
            tracing::info!("upgrade: the successor is gone: {e}");
            let effects = self.after.0.ended(now);
            // Nothing is said to one that is gone.
            let _ = self.after_does(effects, listens, steps);
        }
    }

    fn after_does(
        &mut self,
        effects: Vec<predecessor::Effect>,
        listens: &[(SocketAddr, Option<&H::Listener>)],
        steps: &mut Vec<HotRestartStep<H>>,
    ) -> io::Result<()> {
        use predecessor::Effect;
        for effect in effects {
            let passage = self.after.1.as_ref().ok_or(ErrorKind::NotConnected);
            match effect {
                Effect::Send(message) => match passage?.send(&message.encode(), &[]) {
                    // What is left is told again soon.
                    Err(e)
                        if e.kind() == ErrorKind::WouldBlock
                            && matches!(message, Message::Left(_)) => {}
                    sent => sent?,
                },
                Effect::Pass(message) => {
                    let Message::Offer { listen, .. } = &message else {
                        continue;
                    };
                    let of = |address: &SocketAddr| {
                        listens
                            .iter()
                            .find(|(at, _)| at == address)
                            .and_then(|(_, listener)| *listener)
                    };
                    let along: Vec<_> = listen.iter().filter_map(of).collect();
                    passage?.send(&message.encode(), &along)?;
                }
                Effect::Yield => steps.push(HotRestartStep::Yield),
                Effect::Resume => steps.push(HotRestartStep::Resume),
                Effect::Close => self.after.1 = None,
                Effect::Behind(held) => {
                    tracing::info!(
                        "upgrade: a process whose successor is gone comes before this one"
                    );
                    if let Some(passage) = self.after.1.take() {
                        self.behind.take(passage, held);
                    }
                    steps.push(HotRestartStep::Beside(self.share()));
                }
                // Done before the others, where it may be.
                Effect::Look => {}
            }
        }
        Ok(())
    }
}

/// The next message, if one has come; why nothing more will.
type Heard<P> = Result<Option<(Message, Vec<P>)>, String>;

fn hear<P: HandoverChannel>(passage: &P) -> Heard<P::ReceivedSocket> {
    match passage.receive() {
        Ok((bytes, _)) if bytes.is_empty() => Err("it ended".to_owned()),
        Ok((bytes, passed)) => Message::decode(&bytes)
            .map(|m| Some((m, passed)))
            .map_err(|e| e.to_string()),
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e.to_string()),
    }
}

#[cfg(test)]
mod tests;
