//! The identity of a process, as other processes know it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Longest label, in bytes: a datagram carries several members, each with three labels.
pub const MAX_LABEL_BYTES: usize = 48;

/// The name of a process, a zone or a host: printable ASCII without blanks, at least one byte and
/// at most [`MAX_LABEL_BYTES`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Label(String);

/// Why a text is not a [`Label`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidLabel {
    /// It is empty.
    #[error("is empty")]
    Empty,
    /// It is longer than [`MAX_LABEL_BYTES`]; this many bytes.
    #[error("has {0} bytes, {MAX_LABEL_BYTES} at most")]
    TooLong(usize),
    /// It contains a byte that is not printable ASCII.
    #[error("has the byte {byte:#04x} at {offset}, and takes printable ASCII without blanks")]
    NotPrintable {
        /// The byte.
        byte: u8,
        /// Its offset in the text, in bytes.
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
    /// The label as text.
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

/// The job of a process in the installation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A server: admits requests and has them executed by its runtime.
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

/// A process under one of its incarnations.
///
/// The order of the fields is that of their encoding in datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// Its name, unique in the installation.
    pub name: Label,
    /// Its incarnation; see [`incarnation`](crate::incarnation).
    pub incarnation: u64,
    /// A random number drawn at the start of the process. It distinguishes two processes that have
    /// the same name and, by a copied disk, the same incarnation.
    pub boot_id: u64,
    /// The address that receives its datagrams.
    pub address: SocketAddr,
    /// Its role.
    pub role: Role,
    /// Its zone.
    pub zone: Label,
    /// Its host.
    pub host: Label,
}

impl Identity {
    /// Decides between two processes of one name or at one address: the greater one wins.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence {
            incarnation: self.incarnation,
            boot_id: self.boot_id,
        }
    }
}

/// The precedence of an identity: the later incarnation, and of equal ones the greater boot number.
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

    /// Never: the state machine first checks whether another process has taken the name, and then
    /// changes the identity itself.
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
