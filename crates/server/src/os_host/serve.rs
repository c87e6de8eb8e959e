//! Main loop of a process: signals, event loop, and reports to the supervisor.

use super::event_loop::{EventLoopHandle, Service};
use super::host::OsHost;
use super::sockets::Listener;
use crate::host::Readiness;
use crate::options::{Options, Reload};
use crate::server::Server;
use crate::socket_owner::SocketOwner;
use crate::status_report::{FleetLink, Status, StatusReporter};
use calloop::signals::{Signal, Signals};
use calloop::timer::{TimeoutAction, Timer};
use calloop::EventLoop;
use cleatpulley_connection_admission::reputation_database::StoredReputation;
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::interface::Micros;
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::time::Duration;

/// Interval between status reports to the supervisor.
const STATUS_REPORT_INTERVAL: Duration = Duration::from_millis(100);

impl Service for Server<OsHost> {
    fn on_readiness(&mut self, owner: SocketOwner, readiness: Readiness) {
        Self::on_readiness(self, owner, readiness);
    }

    fn on_acceptable(&mut self, listener: usize) {
        Self::on_acceptable(self, listener);
    }

    fn on_persistence_event(&mut self, event: Event) {
        Self::on_persistence_event(self, event);
    }

    fn on_reputation_loaded(&mut self, entries: Vec<StoredReputation>) {
        Self::on_reputation_loaded(self, &entries);
    }

    fn begin_shutdown(&mut self) {
        Self::begin_shutdown(self);
    }

    fn close_shared_listener(&mut self) {
        Self::close_shared_listener(self);
    }

    fn shared_listener(&self) -> Option<&TcpListener> {
        Self::shared_listener(self).map(Listener::socket)
    }

    fn reload(&mut self) {
        Self::reload(self);
    }

    fn poll(&mut self) -> Micros {
        Self::poll(self)
    }

    fn is_finished(&self) -> bool {
        Self::is_finished(self)
    }

    fn take_error(&mut self) -> Option<io::Error> {
        Self::take_error(self)
    }

    fn close(&mut self) {
        Self::close(self);
    }

    fn status(&self) -> Status {
        Self::status(self)
    }

    fn now(&self) -> Micros {
        Self::now(self)
    }
}

/// The signals that a process handles: SIGTERM, SIGINT and SIGHUP. They are blocked when this is
/// created, and handled once the process serves. Otherwise a request to shut down or reload right
/// after the start would kill the process by the default action.
pub struct BlockedSignals(Signals);

impl BlockedSignals {
    /// Blocks the signals for this thread and threads that it starts later.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub fn block() -> io::Result<Self> {
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
        signals.map(Self).map_err(io::Error::other)
    }
}

/// Options of a process from its environment: signals, supervisor and inherited sockets.
#[derive(Default)]
pub struct HostOptions {
    /// Signals that are already blocked; if `None`, [`serve_with`] blocks them.
    pub signals: Option<BlockedSignals>,
    /// The supervisor's socket for status reports.
    pub fleet_link: Option<FleetLink>,
    /// Inherited listening socket, shared by all instances.
    pub inherited_listener: Option<TcpListener>,
    /// Other processes of this program may listen on the same addresses.
    pub shares_addresses: bool,
}

/// Runs a server until it has shut down: SIGTERM and SIGINT begin the shutdown, SIGHUP reloads the
/// configuration. The status is reported to the supervisor, if there is one.
///
/// # Errors
/// If the event loop can't be created, the server can't be started, or it fails.
pub fn serve(options: Options, reload: Reload, host_options: HostOptions) -> io::Result<()> {
    serve_with(host_options, |host| {
        Ok(Box::new(Server::new(host, options, reload)?))
    })
}

/// Runs a service on the operating system, as [`serve`] does.
///
/// # Errors
/// If the event loop or the service can't be created, or the service fails.
pub fn serve_with(
    host_options: HostOptions,
    create: impl FnOnce(OsHost) -> io::Result<Box<dyn Service>>,
) -> io::Result<()> {
    let mut event_loop: EventLoop<'static, Box<dyn Service>> =
        EventLoop::try_new().map_err(io::Error::other)?;
    let handle = event_loop.handle();
    let signals = match host_options.signals {
        Some(signals) => signals,
        None => BlockedSignals::block()?,
    };
    handle_signals(&handle, signals)?;
    let host = OsHost::new(handle.clone()).with_shared_addresses(host_options.shares_addresses);
    host.set_inherited_listener(host_options.inherited_listener);
    if let Some(link) = host_options.fleet_link {
        report_status(&handle, StatusReporter::new(link))?;
    }
    run(&mut event_loop, create(host)?)
}

fn handle_signals(handle: &EventLoopHandle, signals: BlockedSignals) -> io::Result<()> {
    let BlockedSignals(signals) = signals;
    handle
        .insert_source(signals, |event, (), service| match event.signal() {
            Signal::SIGHUP => service.reload(),
            _ => service.begin_shutdown(),
        })
        .map_err(|error| io::Error::other(error.to_string()))?;
    Ok(())
}

fn report_status(handle: &EventLoopHandle, mut reporter: StatusReporter) -> io::Result<()> {
    handle
        .insert_source(Timer::immediate(), move |_, (), service| {
            reporter.report(&service.status(), service.shared_listener());
            if reporter.take_close_request() {
                service.close_shared_listener();
            }
            TimeoutAction::ToDuration(STATUS_REPORT_INTERVAL)
        })
        .map_err(|error| io::Error::other(error.to_string()))?;
    Ok(())
}

/// Runs the event loop until the service has finished.
fn run(
    event_loop: &mut EventLoop<'static, Box<dyn Service>>,
    mut service: Box<dyn Service>,
) -> io::Result<()> {
    loop {
        let deadline = service.poll();
        if let Some(error) = service.take_error() {
            return Err(error);
        }
        if service.is_finished() {
            service.close();
            tracing::info!("left");
            return Ok(());
        }
        let wait = deadline.saturating_sub(service.now());
        match event_loop.dispatch(Duration::from_micros(wait), &mut service) {
            Err(calloop::Error::IoError(error)) if error.kind() != ErrorKind::Interrupted => {
                return Err(error);
            }
            Err(calloop::Error::OtherError(error)) => {
                return Err(io::Error::other(error.to_string()));
            }
            _ => {}
        }
    }
}
