//! A process of the emulated network, with its identity and key.

use cleatpulley_membership::authentication::KeyRing;
use cleatpulley_membership::{Identity, Label, Membership, Role};
use std::net::SocketAddr;

/// A running process.
pub struct Process {
    pub membership: Membership,
    /// Datagrams that arrived while it was paused.
    pub buffered: Vec<Vec<u8>>,
    pub paused_until: u64,
    pub next_deadline: u64,
}

impl Process {
    /// Returns the time of the next poll.
    pub fn next_poll(&self) -> u64 {
        self.next_deadline.max(self.paused_until)
    }
}

pub fn label(text: &str) -> Label {
    Label::try_from(text.to_owned()).expect("a label")
}

pub fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Returns the key file that all processes start with.
pub fn first_key_file() -> String {
    format!("1 {}\n", "5a".repeat(32))
}

pub fn first_key() -> KeyRing {
    KeyRing::parse(&first_key_file()).expect("a key")
}

/// Returns the identity of a process, without incarnation and boot id. A process whose name begins
/// with `g` is a gateway, any other a server.
pub fn identity(name: &str, port: u16) -> Identity {
    let role = if name.starts_with('g') {
        Role::Gateway
    } else {
        Role::Server
    };
    let zone = if port.is_multiple_of(2) {
        "mona"
    } else {
        "portmore"
    };
    Identity {
        name: label(name),
        incarnation: 0,
        boot_id: 0,
        address: address(port),
        role,
        zone: label(zone),
        host: label(&format!("h{}", port % 3)),
    }
}
