//! Addresses and their prefixes.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Addresses that share their first bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Net {
    address: IpAddr,
    bits: u8,
}

impl Net {
    /// The net of so many bits that an address is in.
    #[must_use]
    pub fn of(address: IpAddr, bits: u8) -> Self {
        match address.to_canonical() {
            IpAddr::V4(four) => {
                let bits = bits.min(32);
                let mask = u32::MAX.checked_shl(32 - u32::from(bits)).unwrap_or(0);
                Self {
                    address: Ipv4Addr::from(u32::from(four) & mask).into(),
                    bits,
                }
            }
            IpAddr::V6(six) => {
                let bits = bits.min(128);
                let mask = u128::MAX.checked_shl(128 - u32::from(bits)).unwrap_or(0);
                Self {
                    address: Ipv6Addr::from(u128::from(six) & mask).into(),
                    bits,
                }
            }
        }
    }

    /// Whether an address is in it.
    #[must_use]
    pub fn holds(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        address.is_ipv4() == self.address.is_ipv4() && Self::of(address, self.bits) == *self
    }
}

impl fmt::Display for Net {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.bits)
    }
}

impl FromStr for Net {
    type Err = String;

    /// An address, or an address, a slash and the number of bits that count.
    fn from_str(text: &str) -> Result<Self, String> {
        let odd =
            || format!("{text:?} is no address, and no net such as 10.0.0.0/24 or 2001:db8::/64");
        let (address, bits) = match text.split_once('/') {
            Some((address, bits)) => (address, Some(bits)),
            None => (text, None),
        };
        let address: IpAddr = address.parse().map_err(|_| odd())?;
        let most = if address.is_ipv4() { 32 } else { 128 };
        let bits = match bits {
            Some(bits) => bits
                .parse()
                .ok()
                .filter(|bits| *bits <= most)
                .ok_or_else(odd)?,
            None => most,
        };
        let net = Self::of(address, bits);
        if net.address != address {
            return Err(format!(
                "{text:?} has bits beyond its prefix: {net} is meant, or the address alone"
            ));
        }
        Ok(net)
    }
}

/// A number of an address or a net that nobody can choose so as to meet another's.
#[must_use]
pub fn key(seed: u64, net: &Net) -> u64 {
    match net.address {
        IpAddr::V4(four) => {
            let [a, b, c, d] = four.octets();
            xxh3_64_with_seed(&[a, b, c, d, net.bits, 0, 0, 4], seed)
        }
        IpAddr::V6(six) => {
            let mut bytes = [net.bits; 17];
            bytes[..16].copy_from_slice(&six.octets());
            xxh3_64_with_seed(&bytes, seed)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ip(text: &str) -> IpAddr {
        text.parse().expect("an address")
    }

    #[test]
    fn nets_are_read_and_hold_what_shares_their_bits() {
        let net: Net = "10.1.2.0/24".parse().expect("a net");
        assert!(net.holds(ip("10.1.2.255")) && !net.holds(ip("10.1.3.0")));
        assert!(
            net.holds(ip("::ffff:10.1.2.7")),
            "the same address in another coat"
        );
        let one: Net = "10.1.2.7".parse().expect("an address");
        assert!(one.holds(ip("10.1.2.7")) && !one.holds(ip("10.1.2.8")));
        let all: Net = "0.0.0.0/0".parse().expect("a net");
        assert!(all.holds(ip("203.0.113.9")) && !all.holds(ip("2001:db8::1")));
        let six: Net = "2001:db8::/64".parse().expect("a net");
        assert!(six.holds(ip("2001:db8::1:2")) && !six.holds(ip("2001:db8:0:1::")));
        for odd in [
            "",
            "10.1.2",
            "10.1.2.0/33",
            "10.1.2.7/24",
            "2001:db8::/129",
            "a/8",
            "10.0.0.0/-1",
        ] {
            let fault = odd.parse::<Net>().expect_err(odd);
            assert!(fault.contains(odd), "{fault}");
        }
    }

    #[test]
    fn keys_differ_by_address_bits_and_seed() {
        let of = |seed, text: &str| key(seed, &text.parse().expect("a net"));
        let keys = [
            of(1, "10.0.0.0/24"),
            of(1, "10.0.0.0/25"),
            of(1, "10.0.0.0"),
            of(2, "10.0.0.0/24"),
            of(1, "a00::/24"),
        ];
        for (n, key) in keys.iter().enumerate() {
            assert!(!keys[n + 1..].contains(key), "{n}");
        }
    }
}
