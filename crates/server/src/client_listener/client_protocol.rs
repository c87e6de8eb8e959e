//! The protocol of a listening address, and the state machine of its connections.

use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::state_machine::ConnectionStateMachine;
use cleatpulley_protocol::{ajp, frame};
use std::net::IpAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// The protocol of a listening address.
#[derive(Debug, Clone)]
pub enum ClientProtocol {
    /// Frames of clients.
    Frames(Rc<frame::connection::FrameOptions>),
    /// Frames of clients of a gateway, routed by this host name.
    GatewayFrames(Rc<str>),
    /// AJP/1.3, with the addresses of the proxies that are trusted to state when they received a
    /// request.
    Ajp(Rc<ajp::server::Settings>, Rc<Vec<IpAddr>>),
}

impl ClientProtocol {
    /// Creates the state machine of a connection accepted from this client address.
    pub(super) fn create_machine(&self, now: Micros, address: IpAddr) -> ProtocolMachine {
        match self {
            Self::Frames(terms) => {
                ProtocolMachine::Frames(frame::connection::Connection::new(now, Rc::clone(terms)))
            }
            Self::GatewayFrames(host) => {
                let connection = frame::connection::Connection::new(now, Rc::default());
                ProtocolMachine::Frames(connection.with_relay_host(Rc::clone(host)))
            }
            Self::Ajp(settings, trusted) => ProtocolMachine::Ajp(ajp::server::Connection::new(
                Rc::clone(settings),
                now,
                trusted.contains(&address),
            )),
        }
    }
}

/// The state machine of a connection, by protocol.
pub(super) enum ProtocolMachine {
    Frames(frame::connection::Connection),
    Ajp(ajp::server::Connection),
}

impl Deref for ProtocolMachine {
    type Target = dyn ConnectionStateMachine;

    fn deref(&self) -> &Self::Target {
        match self {
            Self::Frames(machine) => machine,
            Self::Ajp(machine) => machine,
        }
    }
}

impl DerefMut for ProtocolMachine {
    fn deref_mut(&mut self) -> &mut Self::Target {
        match self {
            Self::Frames(machine) => machine,
            Self::Ajp(machine) => machine,
        }
    }
}
