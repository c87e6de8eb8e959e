//! A gateway before a fleet of matchers. Requests come by frames or AJP through the matcher's own front; routes say which
//! pool takes them; [`core`] decides on tries and answers; [`upstream`] sends them on, by frames or AJP.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod core;
pub mod upstream;

use crate::core::{Core, Counts, Order, Reply, Settings};
use cleatpulley_dispatcher::{Event, RequestHead};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::server;
use cleatpulley_server::client_listener::{ClientListener, ClientProtocol};
use cleatpulley_server::host::{Host, Readiness};
use cleatpulley_server::os_host::{serve_with, HostOptions, OsHost, Service};
use cleatpulley_server::status_report::Status;
use cleatpulley_server::SocketOwner;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

/// Descriptors that belong to neither side: the loop's own, listeners, the log.
const SPARE: usize = 24;
/// How often idle connections to targets are looked for.
const SWEEP: Micros = 500_000;
/// Before the stop callers are told to send no more, while there is time to answer what is on its way.
const FAREWELL: Micros = 400_000;

/// Takes whatever path comes: the routes decide later, and the class is found with them.
#[derive(Debug)]
pub struct AnyPath;

impl server::ClassLookup for AnyPath {
    fn find(&self, _: &RequestHead) -> Result<usize, (u16, String)> {
        Ok(0)
    }

    fn forwards_requests(&self) -> bool {
        true
    }
}

/// All that a gateway is told.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name.
    pub name: String,
    /// Where callers connect by frames, and the host that their routes look for.
    pub frame_addresses: Vec<SocketAddr>,
    /// That host.
    pub frames_host: String,
    /// Where callers connect by AJP, and what those connections share.
    pub ajp: Option<(Vec<SocketAddr>, server::Settings, Vec<IpAddr>)>,
    /// What it decides by.
    pub settings: Settings,
    /// What targets speak.
    pub target_protocol: upstream::TargetProtocol,
    /// Headers of figures.
    pub header_names: upstream::HeaderNames,
    /// Where targets' addresses lead.
    pub target_addresses: HashMap<Arc<str>, SocketAddr>,
    /// Connections to one target at most.
    pub max_connections_per_target: usize,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Time between the notice to leave and the stop, and how long after the notice requests are sent on.
    pub shutdown_time: Micros,
    /// That time.
    pub drain_grace: Micros,
    /// TLS to the targets, where it is spoken.
    pub tls: Option<upstream::TargetTls>,
}

/// Reads its options again, for the routes and addresses in them.
pub type Reload = Box<dyn FnMut() -> Result<Options, String>>;

/// A gateway in its world.
pub struct Gateway<W: Host> {
    world: W,
    front: ClientListener<W>,
    core: Core,
    upstream: upstream::Upstream<W>,
    facts: Vec<Event>,
    orders: Vec<Order>,
    replies: Vec<(core::Number, Reply)>,
    sweep_at: Micros,
    stop: Micros,
    grace: Micros,
    stop_at: Option<Micros>,
    told: Counts,
    reload: Reload,
}

impl<W: Host> Gateway<W> {
    /// A gateway that listens.
    ///
    /// # Errors
    /// Where an address can't be had, or the routes can't be prepared.
    pub fn new(world: W, options: Options, reload: Reload) -> io::Result<Self> {
        let classes: Vec<_> = options
            .settings
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect();
        let most = (options.max_descriptors.saturating_sub(SPARE) / 2).max(1);
        let mut front = ClientListener::new(world.clone(), classes.clone(), most);
        let mut listen = |address, speaks| {
            let listened = front.listen(address, speaks);
            listened.map_err(|e| io::Error::new(e.kind(), format!("listen: {address}: {e}")))
        };
        let host: Rc<str> = Rc::from(options.frames_host.as_str());
        for address in options.frame_addresses {
            let address = listen(address, ClientProtocol::GatewayFrames(Rc::clone(&host)))?;
            tracing::info!("{} listens on {address}", options.name);
        }
        if let Some((addresses, settings, trusted)) = options.ajp {
            let (settings, trusted) = (Rc::new(settings), Rc::new(trusted));
            for address in addresses {
                let address = listen(
                    address,
                    ClientProtocol::Ajp(Rc::clone(&settings), Rc::clone(&trusted)),
                )?;
                tracing::info!("{} speaks AJP on {address}", options.name);
            }
        }
        front.set_idle_timeout(30_000_000);
        let core = Core::new(&options.settings).map_err(io::Error::other)?;
        let Options {
            target_protocol,
            header_names,
            target_addresses,
            max_connections_per_target,
            tls,
            ..
        } = options;
        let mut upstream = upstream::Upstream::new(
            world.clone(),
            target_protocol,
            header_names,
            classes,
            target_addresses,
            max_connections_per_target,
        );
        if let Some(links) = tls {
            upstream.set_tls(links);
        }
        Ok(Self {
            world,
            front,
            core,
            upstream,
            facts: Vec::new(),
            orders: Vec::new(),
            replies: Vec::new(),
            sweep_at: 0,
            stop: options.shutdown_time,
            grace: options.drain_grace,
            stop_at: None,
            told: Counts::default(),
            reload,
        })
    }

    /// What passed.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.core.counts
    }

    /// Carries out what the core decided, until it decides nothing more.
    fn carry_out(&mut self, now: Micros) {
        while !self.orders.is_empty() || !self.replies.is_empty() {
            for order in std::mem::take(&mut self.orders) {
                match order {
                    Order::Response(to, answer) => self.front.respond(now, to, &answer),
                    Order::Abandon(number) => self.upstream.abandon(number, &mut self.replies),
                    Order::Send { number, to, uri } => {
                        let Some(arrival) = self.core.request(number) else {
                            continue;
                        };
                        self.upstream
                            .send(now, number, &to, &uri, arrival, &mut self.replies);
                    }
                }
            }
            for (number, reply) in std::mem::take(&mut self.replies) {
                self.core.ended(now, number, reply, &mut self.orders);
            }
        }
    }
}

impl<W: Host> Service for Gateway<W> {
    fn on_readiness(&mut self, party: SocketOwner, readiness: Readiness) {
        match party {
            SocketOwner::ClientConnection(number) => self.front.on_readiness(number, readiness),
            SocketOwner::GatewayTarget(number) => self.upstream.note(number, readiness),
            SocketOwner::Runtime
            | SocketOwner::Dependency(_)
            | SocketOwner::Registry(_)
            | SocketOwner::Management(_) => {}
            SocketOwner::Predecessor | SocketOwner::Successor => {}
        }
    }

    fn on_acceptable(&mut self, listener: usize) {
        self.front.on_acceptable(listener);
    }

    fn begin_shutdown(&mut self) {
        if self.stop_at.is_none() {
            let now = self.world.now();
            tracing::info!("leaving within {} ms", self.stop / 1_000);
            self.stop_at = Some(now + self.stop);
            self.core.close(now + self.grace);
            self.front.set_health(false);
            self.front.begin_shutdown(now);
        }
    }

    fn reload(&mut self) {
        let taken = (self.reload)().and_then(|options| {
            self.core.reload(&options.settings)?;
            self.upstream.set_addresses(options.target_addresses);
            Ok(())
        });
        match taken {
            Ok(()) => tracing::info!("routes read again"),
            Err(what) => tracing::error!("the routes stay as they were: {what}"),
        }
    }

    fn poll(&mut self) -> Micros {
        let now = self.world.now();
        if self.stop_at.is_some_and(|at| now + FAREWELL >= at) {
            self.front.notify_stop(now);
        }
        let more = self.front.poll(now, &mut self.facts);
        self.upstream.turn(now, &mut self.replies);
        for fact in std::mem::take(&mut self.facts) {
            match fact {
                Event::RequestRead(arrival) => self.core.arrive(now, arrival, &mut self.orders),
                Event::ConnectionLost(connection) => {
                    self.core.lose_origin(now, connection, &mut self.orders);
                }
                _ => {}
            }
        }
        self.carry_out(now);
        for number in self.core.overdue(now) {
            let written = self.upstream.is_written(number);
            self.core.late(now, number, written, &mut self.orders);
        }
        self.carry_out(now);
        self.front.flush(now, &mut self.facts);
        self.upstream.turn(now, &mut self.replies);
        self.carry_out(now);
        self.front.flush(now, &mut self.facts);
        if now >= self.sweep_at {
            self.upstream.sweep(now);
            self.sweep_at = now + SWEEP;
            if self.core.counts != self.told {
                self.told = self.core.counts.clone();
                tracing::debug!("{:?}", self.told);
            }
        }
        if more || !self.facts.is_empty() || self.upstream.has_more() {
            return 0;
        }
        let next = [self.core.due(), self.stop_at].into_iter().flatten();
        next.chain([self.front.next_deadline(), self.sweep_at])
            .min()
            .unwrap_or(0)
    }

    fn is_finished(&self) -> bool {
        self.stop_at.is_some_and(|at| {
            let now = self.world.now();
            now >= at
                || self.core.unanswered() == 0
                    && self.front.connection_count() == 0
                    && now + FAREWELL / 2 >= at
        })
    }

    fn close(&mut self) {
        let Counts {
            requests,
            first,
            again,
            served,
            refused,
            failed,
            returned,
            ..
        } = &self.core.counts;
        tracing::info!(
            "{requests} requests: {served} served, {refused} turned away, {failed} failed, {returned} answered by routes; {first} first and {again} further tries"
        );
    }

    fn status(&self) -> Status {
        Status {
            served: self.core.counts.served,
            rejected: self.core.counts.refused,
            failed: self.core.counts.failed,
            pending: self.core.unanswered(),
            is_draining: self.stop_at.is_some(),
            warmth: 1.0,
            ..Status::default()
        }
    }

    fn now(&self) -> Micros {
        self.world.now()
    }
}

/// Serves until the notice to leave has come and its time has passed.
///
/// # Errors
/// When the event loop or an address can't be had.
pub fn serve(options: Options, reload: Reload, hosted: HostOptions) -> io::Result<()> {
    serve_with(hosted, |world: OsHost| {
        Ok(Box::new(Gateway::new(world, options, reload)?))
    })
}
