//! The identity of a process in the cluster.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Maximum length of a label, in bytes. It is short because a datagram contains several members
/// with three labels each.
pub const MAX_LABEL_BYTES: usize = 48;

/// The name of a process, a zone or a host: printable ASCII without blanks, at least one byte and
/// at most [`MAX_LABEL_BYTES`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Label(String);

/// The reason why a text is not a valid [`Label`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidLabel {
    /// The text is empty.
    #[error("is empty")]
    Empty,
    /// The text is longer than [`MAX_LABEL_BYTES`]; its length in bytes.
    #[error("has {0} bytes, at most {MAX_LABEL_BYTES} are allowed")]
    TooLong(usize),
    /// The text contains a byte that is not printable ASCII, or is a blank.
    #[error(
        "has the byte {byte:#04x} at {offset}, only printable ASCII without blanks is allowed"
    )]
    NotPrintable {
        /// The byte.
        byte: u8,
        /// Offset of the byte in the text.
        offset: usize,
    },
}

impl TryFrom<String> for Label {
    type Error = InvalidLabel;

    fn try_from(text: String) -> Result<Self, InvalidLabel> {
        if text.is_empty() {
            return Err(InvalidLabel::Empty);
        }
        if text.len() > MAX_LABEL_BYTES {
            return Err(InvalidLabel::TooLong(text.len()));
        }
        match text.bytes().position(|byte| !byte.is_ascii_graphic()) {
            Some(offset) => Err(InvalidLabel::NotPrintable {
                byte: text.as_bytes()[offset],
                offset,
            }),
            None => Ok(Self(text)),
        }
    }
}

impl From<Label> for String {
    fn from(label: Label) -> Self {
        label.0
    }
}

impl Label {
    /// Returns the label as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The role of a process in the installation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Admits requests and has its runtime execute them.
    #[serde(rename = "matcher")]
    Server,
    /// Routes requests to servers.
    Gateway,
    /// Supervises the instances of a host.
    Fleet,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Server => "matcher",
            Self::Gateway => "gateway",
            Self::Fleet => "fleet",
        })
    }
}

/// The identity of a process in one of its incarnations.
///
/// Fields are encoded in datagrams in this order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the process, unique in the installation.
    pub name: Label,
    /// Incarnation of the process; see [`incarnation`](crate::incarnation).
    pub incarnation: u64,
    /// Random number drawn at the start of the process. It distinguishes two processes with the
    /// same name and, due to a copied disk, the same incarnation.
    pub boot_id: u64,
    /// Address at which the process receives datagrams.
    pub address: SocketAddr,
    /// Role of the process.
    pub role: Role,
    /// Zone of the process.
    pub zone: Label,
    /// Host of the process.
    pub host: Label,
}

impl Identity {
    /// Returns the precedence that decides between two processes with the same name or address.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence {
            incarnation: self.incarnation,
            boot_id: self.boot_id,
        }
    }
}

/// The precedence of an identity: the later incarnation wins, then the greater boot id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// See [`Identity::incarnation`].
    pub incarnation: u64,
    /// See [`Identity::boot_id`].
    pub boot_id: u64,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{} at {}", self.name, self.incarnation, self.address)
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    /// Always returns `None`: the state machine first checks whether another process has taken the
    /// name, and then changes the identity itself.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.precedence() > adversary.precedence()
    }
}

#[cfg(test)]
mod tests;
