//! IP address prefixes.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of an IPv4 address in bits.
const IPV4_BITS: u8 = 32;
/// Length of an IPv6 address in bits.
const IPV6_BITS: u8 = 128;

/// An IP prefix: all addresses that share their leading bits. IPv4-mapped IPv6 addresses are
/// treated as IPv4 addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AddressPrefix {
    address: IpAddr,
    length: u8,
}

impl AddressPrefix {
    /// Returns the prefix of `length` bits that contains an address. `length` is capped at the
    /// length of the address.
    #[must_use]
    pub fn containing(address: IpAddr, length: u8) -> Self {
        match address.to_canonical() {
            IpAddr::V4(ipv4) => {
                let length = length.min(IPV4_BITS);
                let host_bits = u32::from(IPV4_BITS - length);
                let mask = u32::MAX.checked_shl(host_bits).unwrap_or(0);
                Self {
                    address: Ipv4Addr::from(u32::from(ipv4) & mask).into(),
                    length,
                }
            }
            IpAddr::V6(ipv6) => {
                let length = length.min(IPV6_BITS);
                let host_bits = u32::from(IPV6_BITS - length);
                let mask = u128::MAX.checked_shl(host_bits).unwrap_or(0);
                Self {
                    address: Ipv6Addr::from(u128::from(ipv6) & mask).into(),
                    length,
                }
            }
        }
    }

    /// Returns the prefix that contains only this address.
    #[must_use]
    pub fn from_address(address: IpAddr) -> Self {
        Self::containing(address, IPV6_BITS)
    }

    /// Returns whether the prefix contains an address.
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        address.is_ipv4() == self.address.is_ipv4()
            && Self::containing(address, self.length) == *self
    }

    /// Returns a hash of the prefix. The seed is secret, so that clients can't choose addresses
    /// whose hashes collide with another client's.
    #[must_use]
    pub fn keyed_hash(&self, seed: u64) -> u64 {
        match self.address {
            IpAddr::V4(ipv4) => {
                let [a, b, c, d] = ipv4.octets();
                xxh3_64_with_seed(&[a, b, c, d, self.length, 0, 0, 4], seed)
            }
            IpAddr::V6(ipv6) => {
                let mut bytes = [self.length; 17];
                bytes[..16].copy_from_slice(&ipv6.octets());
                xxh3_64_with_seed(&bytes, seed)
            }
        }
    }
}

impl fmt::Display for AddressPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.length)
    }
}

/// Prefix lengths by which addresses are grouped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixLengths {
    /// Prefix length of IPv4 addresses, in bits.
    pub ipv4: u8,
    /// Prefix length of IPv6 addresses, in bits.
    pub ipv6: u8,
}

impl PrefixLengths {
    /// Returns the prefix by which an address, in its canonical form, is grouped.
    #[must_use]
    pub fn prefix_of(self, address: IpAddr) -> AddressPrefix {
        let length = if address.is_ipv4() {
            self.ipv4
        } else {
            self.ipv6
        };
        AddressPrefix::containing(address, length)
    }
}

/// Error of parsing an [`AddressPrefix`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParsePrefixError {
    /// The text is neither an address nor a prefix in CIDR notation.
    #[error("{0:?} is neither an IP address nor a prefix such as 10.0.0.0/24 or 2001:db8::/64")]
    Malformed(String),
    /// The address has bits set beyond the prefix.
    #[error("{text:?} has bits beyond its prefix: use {prefix} or the address alone")]
    BitsBeyondPrefix {
        /// The text that was parsed.
        text: String,
        /// The prefix that contains the address.
        prefix: AddressPrefix,
    },
}

// The command line reports errors of the operator file as strings.
impl From<ParsePrefixError> for String {
    fn from(error: ParsePrefixError) -> Self {
        error.to_string()
    }
}

impl FromStr for AddressPrefix {
    type Err = ParsePrefixError;

    /// Parses an address, or a prefix in CIDR notation: an address, a slash and a prefix length.
    fn from_str(text: &str) -> Result<Self, ParsePrefixError> {
        let malformed = || ParsePrefixError::Malformed(text.to_owned());
        let (address_text, bits_text) = match text.split_once('/') {
            Some((address, length)) => (address, Some(length)),
            None => (text, None),
        };
        let address: IpAddr = address_text.parse().map_err(|_| malformed())?;
        let max_length = if address.is_ipv4() {
            IPV4_BITS
        } else {
            IPV6_BITS
        };
        let length = match bits_text {
            Some(length) => length.parse().map_err(|_| malformed())?,
            None => max_length,
        };
        if length > max_length {
            return Err(malformed());
        }
        let prefix = Self::containing(address, length);
        if prefix.address != address {
            return Err(ParsePrefixError::BitsBeyondPrefix {
                text: text.to_owned(),
                prefix,
            });
        }
        Ok(prefix)
    }
}
