//! The protocol spoken on a listening address, and the state machine of a connection there.

use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::state_machine::ConnectionStateMachine;
use cleatpulley_protocol::{ajp, frame};
use std::net::IpAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// The protocol spoken on a listening address.
#[derive(Debug, Clone)]
pub enum ClientProtocol {
    /// The frames of clients.
    Frames(Rc<frame::connection::FrameOptions>),
    /// The frames of clients of a gateway, whose routes look for this host.
    GatewayFrames(Rc<str>),
    /// AJP/1.3, and the addresses of the proxies whose time of receipt of a request is trusted.
    Ajp(Rc<ajp::server::Settings>, Rc<Vec<IpAddr>>),
}

impl ClientProtocol {
    /// Creates the state machine of a connection that was accepted from this address.
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

/// The state machine of a connection, by its protocol.
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
