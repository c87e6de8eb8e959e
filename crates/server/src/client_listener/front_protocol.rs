//! What is spoken on a listening address, and the state machine of a connection there.

use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::machine::Machine;
use cleatpulley_protocol::{ajp, frame};
use std::net::IpAddr;
use std::rc::Rc;

/// What is spoken on a listening address.
#[derive(Debug, Clone)]
pub enum FrontProtocol {
    /// The frames of front ends.
    Frames(Rc<frame::connection::Terms>),
    /// The same for a gateway, whose routes look for this host.
    Relayed(Rc<str>),
    /// AJP/1.3, and the addresses of the proxies whose word on when a request came is believed.
    Ajp(Rc<ajp::server::Settings>, Rc<Vec<IpAddr>>),
}

impl FrontProtocol {
    pub(super) fn machine(&self, now: Micros, peer: IpAddr) -> Spoken {
        match self {
            Self::Frames(terms) => {
                Spoken::Frames(frame::connection::Connection::new(now, Rc::clone(terms)))
            }
            Self::Relayed(host) => {
                let connection = frame::connection::Connection::new(now, Rc::default());
                Spoken::Frames(connection.relaying(Rc::clone(host)))
            }
            Self::Ajp(settings, trusted) => Spoken::Ajp(ajp::server::Connection::new(
                Rc::clone(settings),
                now,
                trusted.contains(&peer),
            )),
        }
    }
}

/// A connection's state machine, by what it speaks.
pub(super) enum Spoken {
    Frames(frame::connection::Connection),
    Ajp(ajp::server::Connection),
}

impl std::ops::Deref for Spoken {
    type Target = dyn Machine;

    fn deref(&self) -> &Self::Target {
        match self {
            Self::Frames(machine) => machine,
            Self::Ajp(machine) => machine,
        }
    }
}

impl std::ops::DerefMut for Spoken {
    fn deref_mut(&mut self) -> &mut Self::Target {
        match self {
            Self::Frames(machine) => machine,
            Self::Ajp(machine) => machine,
        }
    }
}
