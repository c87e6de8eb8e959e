//! IP address prefixes: parsing, membership and hashing.

use cleatpulley_connection_admission::address_prefix::AddressPrefix;
use std::net::IpAddr;

fn ip(text: &str) -> IpAddr {
    text.parse().expect("a valid address")
}

#[test]
fn parses_prefixes_that_contain_the_addresses_sharing_their_bits() {
    let prefix: AddressPrefix = "10.1.2.0/24".parse().expect("a valid prefix");
    assert!(prefix.contains(ip("10.1.2.255")) && !prefix.contains(ip("10.1.3.0")));
    assert!(
        prefix.contains(ip("::ffff:10.1.2.7")),
        "an IPv4-mapped address in the prefix"
    );
    let single: AddressPrefix = "10.1.2.7".parse().expect("a valid address");
    assert!(single.contains(ip("10.1.2.7")) && !single.contains(ip("10.1.2.8")));
    let all_ipv4: AddressPrefix = "0.0.0.0/0".parse().expect("a valid prefix");
    assert!(all_ipv4.contains(ip("203.0.113.9")) && !all_ipv4.contains(ip("2001:db8::1")));
    let ipv6: AddressPrefix = "2001:db8::/64".parse().expect("a valid prefix");
    assert!(ipv6.contains(ip("2001:db8::1:2")) && !ipv6.contains(ip("2001:db8:0:1::")));
    for malformed in [
        "",
        "10.1.2",
        "10.1.2.0/33",
        "10.1.2.7/24",
        "2001:db8::/129",
        "a/8",
        "10.0.0.0/-1",
    ] {
        let error = malformed
            .parse::<AddressPrefix>()
            .expect_err(malformed)
            .to_string();
        assert!(error.contains(malformed), "{error}");
    }
}

#[test]
fn hashes_differ_by_address_prefix_length_and_seed() {
    let hash = |seed, text: &str| {
        let prefix: AddressPrefix = text.parse().expect("a valid prefix");
        prefix.keyed_hash(seed)
    };
    let hashes = [
        hash(1, "10.0.0.0/24"),
        hash(1, "10.0.0.0/25"),
        hash(1, "10.0.0.0"),
        hash(2, "10.0.0.0/24"),
        hash(1, "a00::/24"),
    ];
    for (index, hash) in hashes.iter().enumerate() {
        assert!(!hashes[index + 1..].contains(hash), "{index}");
    }
}
