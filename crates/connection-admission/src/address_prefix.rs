//! Addresses and their prefixes.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bits of an IPv4 address.
const IPV4_BITS: u8 = 32;
/// Bits of an IPv6 address.
const IPV6_BITS: u8 = 128;

/// The addresses that share their first bits. An IPv4 address mapped into IPv6 counts as the IPv4
/// address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AddressPrefix {
    address: IpAddr,
    bits: u8,
}

impl AddressPrefix {
    /// Returns the prefix of so many bits that contains an address; of more bits than the address
    /// has, all count.
    #[must_use]
    pub fn containing(address: IpAddr, bits: u8) -> Self {
        match address.to_canonical() {
            IpAddr::V4(ipv4) => {
                let bits = bits.min(IPV4_BITS);
                let host_bits = u32::from(IPV4_BITS - bits);
                let mask = u32::MAX.checked_shl(host_bits).unwrap_or(0);
                Self {
                    address: Ipv4Addr::from(u32::from(ipv4) & mask).into(),
                    bits,
                }
            }
            IpAddr::V6(ipv6) => {
                let bits = bits.min(IPV6_BITS);
                let host_bits = u32::from(IPV6_BITS - bits);
                let mask = u128::MAX.checked_shl(host_bits).unwrap_or(0);
                Self {
                    address: Ipv6Addr::from(u128::from(ipv6) & mask).into(),
                    bits,
                }
            }
        }
    }

    /// Returns the prefix that contains this address alone.
    #[must_use]
    pub fn from_address(address: IpAddr) -> Self {
        Self::containing(address, IPV6_BITS)
    }

    /// Returns whether it contains an address.
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        address.is_ipv4() == self.address.is_ipv4() && Self::containing(address, self.bits) == *self
    }

    /// Hashes it with a seed that clients don't know, so that none can choose addresses whose hash
    /// is that of another's.
    #[must_use]
    pub fn keyed_hash(&self, seed: u64) -> u64 {
        match self.address {
            IpAddr::V4(ipv4) => {
                let [a, b, c, d] = ipv4.octets();
                xxh3_64_with_seed(&[a, b, c, d, self.bits, 0, 0, 4], seed)
            }
            IpAddr::V6(ipv6) => {
                let mut bytes = [self.bits; 17];
                bytes[..16].copy_from_slice(&ipv6.octets());
                xxh3_64_with_seed(&bytes, seed)
            }
        }
    }
}

impl fmt::Display for AddressPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.bits)
    }
}

/// How many bits of an address form its prefix, for both kinds of addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixLengths {
    /// Bits of an IPv4 address.
    pub ipv4: u8,
    /// Bits of an IPv6 address.
    pub ipv6: u8,
}

impl PrefixLengths {
    /// Returns the prefix that an address, in its canonical form, counts with.
    #[must_use]
    pub fn prefix_of(self, address: IpAddr) -> AddressPrefix {
        let bits = if address.is_ipv4() {
            self.ipv4
        } else {
            self.ipv6
        };
        AddressPrefix::containing(address, bits)
    }
}

/// Why a text is no [`AddressPrefix`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParsePrefixError {
    /// It is neither an address nor an address, a slash and a number of bits.
    #[error("{0:?} is no address, and no net such as 10.0.0.0/24 or 2001:db8::/64")]
    Malformed(String),
    /// The address has bits set beyond the prefix.
    #[error("{text:?} has bits beyond its prefix: {prefix} is meant, or the address alone")]
    BitsBeyondPrefix {
        /// What was to be parsed.
        text: String,
        /// The prefix that the address is in.
        prefix: AddressPrefix,
    },
}

// The command line reports faults of the operator file as text.
impl From<ParsePrefixError> for String {
    fn from(error: ParsePrefixError) -> Self {
        error.to_string()
    }
}

impl FromStr for AddressPrefix {
    type Err = ParsePrefixError;

    /// Parses an address, or an address, a slash and the number of bits that count.
    fn from_str(text: &str) -> Result<Self, ParsePrefixError> {
        let malformed = || ParsePrefixError::Malformed(text.to_owned());
        let (address_text, bits_text) = match text.split_once('/') {
            Some((address, bits)) => (address, Some(bits)),
            None => (text, None),
        };
        let address: IpAddr = address_text.parse().map_err(|_| malformed())?;
        let max_bits = if address.is_ipv4() {
            IPV4_BITS
        } else {
            IPV6_BITS
        };
        let bits = match bits_text {
            Some(bits) => bits.parse().map_err(|_| malformed())?,
            None => max_bits,
        };
        if bits > max_bits {
            return Err(malformed());
        }
        let prefix = Self::containing(address, bits);
        if prefix.address != address {
            return Err(ParsePrefixError::BitsBeyondPrefix {
                text: text.to_owned(),
                prefix,
            });
        }
        Ok(prefix)
    }
}
