//! Gateway in front of a fleet of matchers. The matcher's own front end accepts requests by frames or AJP, routes choose
//! their pool, [`core`] decides on attempts and responses, and [`upstream`] sends the attempts by frames or AJP.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod core;
pub mod upstream;

use crate::core::{Action, AttemptEvent, Counts, GatewayCore, Settings};
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

/// Descriptors that neither client nor target connections use: those of the event loop, the listeners and the log.
const RESERVED_DESCRIPTORS: usize = 24;
/// Incomplete requests of callers may occupy one part in this many of the memory of open requests.
const BUFFER_DIVISOR: usize = 2;
/// Interval at which idle connections to targets are closed, in microseconds.
const IDLE_SWEEP_INTERVAL: Micros = 500_000;
/// Time before the stop at which callers are notified to send no more requests, in microseconds. It leaves time to answer
/// those on their way.
const STOP_NOTICE: Micros = 400_000;

/// Accepts any path at the front end: the routes decide later, and determine the class.
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

/// Options of a gateway.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the gateway.
    pub name: String,
    /// Addresses on which callers connect by frames.
    pub frame_addresses: Vec<SocketAddr>,
    /// Host that requests by frames are routed as.
    pub frames_host: String,
    /// Addresses on which callers connect by AJP, the settings of those connections, and the trusted proxies.
    pub ajp: Option<(Vec<SocketAddr>, server::Settings, Vec<IpAddr>)>,
    /// Settings of the core.
    pub settings: Settings,
    /// Protocol of the targets.
    pub target_protocol: upstream::TargetProtocol,
    /// Names of the headers that carry a request's figures by AJP.
    pub header_names: upstream::HeaderNames,
    /// Socket addresses of the targets, by their addresses in the routes.
    pub target_addresses: HashMap<Arc<str>, SocketAddr>,
    /// Maximum number of connections to one target.
    pub max_connections_per_target: usize,
    /// Maximum number of descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Time from the shutdown signal to the stop, in microseconds.
    pub shutdown_time: Micros,
    /// Time after the shutdown signal during which new requests are still forwarded, in microseconds.
    pub drain_grace: Micros,
    /// TLS to the targets, where it is used.
    pub tls: Option<upstream::TargetTls>,
}

/// Loads the options again, for the routes and addresses in them.
pub type Reload = Box<dyn FnMut() -> Result<Options, String>>;

/// A gateway with its client listener and its connections to targets.
pub struct Gateway<H: Host> {
    host: H,
    client_listener: ClientListener<H>,
    core: GatewayCore,
    upstream: upstream::Upstream<H>,
    events: Vec<Event>,
    actions: Vec<Action>,
    attempt_events: Vec<(core::RequestNumber, AttemptEvent)>,
    next_sweep: Micros,
    shutdown_time: Micros,
    drain_grace: Micros,
    stop_at: Option<Micros>,
    logged_counts: Counts,
    reload: Reload,
}

impl<H: Host> Gateway<H> {
    /// Creates a gateway and listens on its addresses.
    ///
    /// # Errors
    /// Where an address can't be listened on, or the routes are invalid.
    pub fn new(host: H, options: Options, reload: Reload) -> io::Result<Self> {
        let classes: Vec<_> = options
            .settings
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect();
        let max_connections =
            (options.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2).max(1);
        let mut client_listener =
            ClientListener::new(host.clone(), classes.clone(), max_connections);
        let mut listen = |address, protocol| {
            let listener = client_listener.listen(address, protocol);
            listener.map_err(|e| io::Error::new(e.kind(), format!("listen: {address}: {e}")))
        };
        let frames_host: Rc<str> = Rc::from(options.frames_host.as_str());
        for address in options.frame_addresses {
            let address = listen(
                address,
                ClientProtocol::GatewayFrames(Rc::clone(&frames_host)),
            )?;
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
        client_listener.set_idle_timeout(30_000_000);
        client_listener.set_buffer_limit(options.settings.max_held_bytes / BUFFER_DIVISOR);
        let core = GatewayCore::new(&options.settings).map_err(io::Error::other)?;
        let Options {
            target_protocol,
            header_names,
            target_addresses,
            max_connections_per_target,
            tls,
            ..
        } = options;
        let mut upstream = upstream::Upstream::new(
            host.clone(),
            target_protocol,
            header_names,
            classes,
            target_addresses,
            max_connections_per_target,
        );
        if let Some(tls) = tls {
            upstream.set_tls(tls);
        }
        Ok(Self {
            host,
            client_listener,
            core,
            upstream,
            events: Vec::new(),
            actions: Vec::new(),
            attempt_events: Vec::new(),
            next_sweep: 0,
            shutdown_time: options.shutdown_time,
            drain_grace: options.drain_grace,
            stop_at: None,
            logged_counts: Counts::default(),
            reload,
        })
    }

    /// Returns the counters of requests and attempts.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.core.counts
    }

    /// Executes the actions of the core until there are none left.
    fn execute_actions(&mut self, now: Micros) {
        while !self.actions.is_empty() || !self.attempt_events.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Respond(client, response) => {
                        self.client_listener.respond(now, client, &response);
                    }
                    Action::Abandon(number) => {
                        self.upstream.abandon(number, &mut self.attempt_events);
                    }
                    Action::Send {
                        number,
                        target_address,
                        uri,
                    } => {
                        let Some(request) = self.core.request(number) else {
                            continue;
                        };
                        self.upstream.send(
                            now,
                            number,
                            &target_address,
                            &uri,
                            request,
                            &mut self.attempt_events,
                        );
                    }
                }
            }
            for (number, event) in std::mem::take(&mut self.attempt_events) {
                self.core
                    .on_attempt_event(now, number, event, &mut self.actions);
            }
        }
    }
}

impl<H: Host> Service for Gateway<H> {
    fn on_readiness(&mut self, owner: SocketOwner, readiness: Readiness) {
        match owner {
            SocketOwner::ClientConnection(number) => {
                self.client_listener.on_readiness(number, readiness);
            }
            SocketOwner::GatewayTarget(number) => self.upstream.on_readiness(number, readiness),
            SocketOwner::Runtime
            | SocketOwner::Dependency(_)
            | SocketOwner::Registry(_)
            | SocketOwner::Management(_) => {}
            SocketOwner::Predecessor | SocketOwner::Successor => {}
        }
    }

    fn on_acceptable(&mut self, listener: usize) {
        self.client_listener.on_acceptable(listener);
    }

    fn begin_shutdown(&mut self) {
        if self.stop_at.is_none() {
            let now = self.host.now();
            tracing::info!("leaving within {} ms", self.shutdown_time / 1_000);
            self.stop_at = Some(now + self.shutdown_time);
            self.core.reject_requests_from(now + self.drain_grace);
            self.client_listener.set_health(false);
            self.client_listener.begin_shutdown(now);
        }
    }

    fn reload(&mut self) {
        let result = (self.reload)().and_then(|options| {
            self.core.reload(&options.settings)?;
            self.upstream.set_addresses(options.target_addresses);
            Ok(())
        });
        match result {
            Ok(()) => tracing::info!("routes read again"),
            Err(error) => {
                tracing::error!("routes not reloaded; the previous routes stay in use: {error}");
            }
        }
    }

    fn poll(&mut self) -> Micros {
        let now = self.host.now();
        if self.stop_at.is_some_and(|at| now + STOP_NOTICE >= at) {
            self.client_listener.notify_stop(now);
        }
        let has_more = self.client_listener.poll(now, &mut self.events);
        self.upstream.poll(now, &mut self.attempt_events);
        for event in std::mem::take(&mut self.events) {
            match event {
                Event::RequestRead(request) => {
                    self.core.on_request(now, request, &mut self.actions);
                }
                Event::ConnectionLost(connection) => {
                    self.core
                        .on_client_disconnected(now, connection, &mut self.actions);
                }
                _ => {}
            }
        }
        self.execute_actions(now);
        for number in self.core.expired_timers(now) {
            let is_written = self.upstream.is_written(number);
            self.core
                .on_timer(now, number, is_written, &mut self.actions);
        }
        self.execute_actions(now);
        self.client_listener.flush(now, &mut self.events);
        self.upstream.poll(now, &mut self.attempt_events);
        self.execute_actions(now);
        self.client_listener.flush(now, &mut self.events);
        if now >= self.next_sweep {
            self.upstream.close_idle(now);
            self.next_sweep = now + IDLE_SWEEP_INTERVAL;
            if self.core.counts != self.logged_counts {
                self.logged_counts = self.core.counts.clone();
                tracing::debug!("{:?}", self.logged_counts);
            }
        }
        if has_more || !self.events.is_empty() || self.upstream.has_more() {
            return 0;
        }
        let deadlines = [self.core.next_deadline(), self.stop_at]
            .into_iter()
            .flatten();
        deadlines
            .chain([self.client_listener.next_deadline(), self.next_sweep])
            .min()
            .unwrap_or(0)
    }

    fn is_finished(&self) -> bool {
        self.stop_at.is_some_and(|at| {
            let now = self.host.now();
            now >= at
                || self.core.pending_count() == 0
                    && self.client_listener.connection_count() == 0
                    && now + STOP_NOTICE / 2 >= at
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
            "{requests} requests: {served} served, {refused} rejected, {failed} failed, {returned} answered by routes; {first} first attempts and {again} retries"
        );
    }

    fn status(&self) -> Status {
        Status {
            served: self.core.counts.served,
            rejected: self.core.counts.refused,
            failed: self.core.counts.failed,
            pending: self.core.pending_count(),
            is_draining: self.stop_at.is_some(),
            warmth: 1.0,
            ..Status::default()
        }
    }

    fn now(&self) -> Micros {
        self.host.now()
    }
}

/// Serves until the shutdown that a signal begins is complete.
///
/// # Errors
/// Where the event loop can't be created or an address can't be listened on.
pub fn serve(options: Options, reload: Reload, host_options: HostOptions) -> io::Result<()> {
    serve_with(host_options, |host: OsHost| {
        Ok(Box::new(Gateway::new(host, options, reload)?))
    })
}
