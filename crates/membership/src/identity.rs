//! A process as others know it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Bytes of a name, a zone or a host. Guards the datagrams' size, in which several members travel.
pub const MOST_BYTES: usize = 48;

/// A name, a zone or a host: printable, not empty, and short.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Label(String);

/// Why a text is no [`Label`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadLabel {
    /// It has no byte.
    #[error("is empty")]
    Empty,
    /// It is too long.
    #[error("has {0} bytes, {MOST_BYTES} at most")]
    Long(usize),
    /// It has a byte that is not printable ASCII.
    #[error("has the byte {0:#04x} at {1}, and takes printable ASCII without blanks")]
    Byte(u8, usize),
}

impl TryFrom<String> for Label {
    type Error = BadLabel;

    fn try_from(text: String) -> Result<Self, BadLabel> {
        if text.is_empty() {
            return Err(BadLabel::Empty);
        }
        if text.len() > MOST_BYTES {
            return Err(BadLabel::Long(text.len()));
        }
        match text.bytes().position(|byte| !byte.is_ascii_graphic()) {
            Some(at) => Err(BadLabel::Byte(text.as_bytes()[at], at)),
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
    /// The text.
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

/// What a process is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Decides on requests and has them run.
    Matcher,
    /// Routes to matchers.
    Gateway,
    /// Looks after the instances of a host.
    Fleet,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Matcher => "matcher",
            Self::Gateway => "gateway",
            Self::Fleet => "fleet",
        })
    }
}

/// A process, in one of its lives.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// Its name, one for each process of an installation.
    pub name: Label,
    /// Which of its lives this is; see [`incarnation`](crate::incarnation).
    pub incarnation: u64,
    /// A random number of this life. Tells two processes apart that have one name and, by a copied disk, one incarnation.
    pub boot: u64,
    /// Where its datagrams go.
    pub address: SocketAddr,
    /// What it is for.
    pub role: Role,
    /// Its zone.
    pub zone: Label,
    /// Its host.
    pub host: Label,
}

impl Identity {
    /// What of two lives of one name, or two processes at one address, counts: the greater.
    #[must_use]
    pub fn rank(&self) -> (u64, u64) {
        (self.incarnation, self.boot)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{} at {}", self.name, self.incarnation, self.address)
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    /// Never by itself: who has the name by then is looked at first.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.rank() > adversary.rank()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn labels_are_short_and_printable_and_say_what_is_wrong() {
        let label = |text: &str| Label::try_from(text.to_owned());
        assert_eq!(label("g-1.mona").expect("fits").as_str(), "g-1.mona");
        assert_eq!(label(""), Err(BadLabel::Empty));
        assert_eq!(label(&"x".repeat(49)), Err(BadLabel::Long(49)));
        assert_eq!(label("a b"), Err(BadLabel::Byte(b' ', 1)));
        assert_eq!(
            label("a\u{e4}").expect_err("no ASCII").to_string(),
            "has the byte 0xc3 at 1, and takes printable ASCII without blanks"
        );
    }
}
