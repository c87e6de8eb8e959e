//! The service that an event loop drives, and registration of sockets.

use crate::host::Readiness;
use crate::socket_owner::SocketOwner;
use crate::status_report::Status;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use cleatpulley_connection_admission::reputation_database::StoredReputation;
use cleatpulley_dispatcher::Event;
use cleatpulley_policy::interface::Micros;
use std::io;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::rc::Rc;

/// Handle of the event loop.
pub type EventLoopHandle = LoopHandle<'static, Box<dyn Service>>;

/// A service that an event loop drives: a server or a gateway.
pub trait Service {
    /// Records that a socket has become readable or writable.
    fn on_readiness(&mut self, owner: SocketOwner, readiness: Readiness);

    /// Records that connections may be pending on a listener.
    fn on_acceptable(&mut self, listener: usize);

    /// Handles an event of the persistence of idempotency keys.
    fn on_persistence_event(&mut self, _event: Event) {}

    /// Handles the persisted reputation of client addresses once it is loaded.
    fn on_reputation_loaded(&mut self, _entries: Vec<StoredReputation>) {}

    /// Begins the graceful shutdown.
    fn begin_shutdown(&mut self);

    /// Stops accepting on the listening socket that other instances share, since one of them accepts.
    fn close_shared_listener(&mut self) {}

    /// Returns the listening socket that other instances share, while this service accepts on it.
    fn shared_listener(&self) -> Option<&TcpListener> {
        None
    }

    /// Reloads the configuration.
    fn reload(&mut self);

    /// Runs one iteration; returns the next deadline.
    fn poll(&mut self) -> Micros;

    /// Returns true once the process may end.
    fn is_finished(&self) -> bool;

    /// Takes the fatal error that the process has to end with, if any.
    fn take_error(&mut self) -> Option<io::Error> {
        None
    }

    /// Closes the persistence.
    fn close(&mut self) {}

    /// Returns the status, for the supervisor and for gossip.
    fn status(&self) -> Status;

    /// Returns the current time of the host, in microseconds of the Unix clock.
    fn now(&self) -> Micros;
}

/// A registration with the event loop, removed when this is dropped.
pub struct Watch {
    handle: EventLoopHandle,
    token: RegistrationToken,
}

impl Watch {
    /// Registers a socket that is only read from or accepted on.
    pub(crate) fn readable<S: AsFd + 'static>(
        handle: &EventLoopHandle,
        socket: Rc<S>,
        notify: impl Fn(&mut Box<dyn Service>) + 'static,
    ) -> io::Result<Self> {
        let source = Generic::new(socket, Interest::READ, Mode::Edge);
        let registered = handle.insert_source(source, move |_, _, service| {
            notify(service);
            Ok(PostAction::Continue)
        });
        Self::new(handle, registered.map_err(|failure| failure.error))
    }

    /// Registers a socket that is read from and written to.
    pub(crate) fn readable_and_writable<S: AsFd + 'static>(
        handle: &EventLoopHandle,
        socket: Rc<S>,
        owner: SocketOwner,
    ) -> io::Result<Self> {
        let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
        let registered = handle.insert_source(source, move |event, _, service| {
            let readiness = Readiness {
                readable: event.readable || event.error,
                writable: event.writable || event.error,
            };
            service.on_readiness(owner, readiness);
            Ok(PostAction::Continue)
        });
        Self::new(handle, registered.map_err(|failure| failure.error))
    }

    fn new(
        handle: &EventLoopHandle,
        registered: Result<RegistrationToken, calloop::Error>,
    ) -> io::Result<Self> {
        Ok(Self {
            handle: handle.clone(),
            token: registered.map_err(|error| io::Error::other(error.to_string()))?,
        })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}
