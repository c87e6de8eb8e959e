//! Decisions on new connections, in examples and in random sequences of events.

use cleatpulley_connection_admission::address_prefix::{AddressPrefix, PrefixLengths};
use cleatpulley_connection_admission::admission::FIRST_MESSAGE_GRACE_PERIOD;
use cleatpulley_connection_admission::decision::TrustLevel;
use cleatpulley_connection_admission::rate_sketch::RateLimit;
use cleatpulley_connection_admission::reputation::{ReputationSettings, MIN_CREDIT_INTERVAL};
use cleatpulley_connection_admission::settings::ConnectionLimits;
use cleatpulley_connection_admission::{Admission, Decision, RejectReason, Settings};
use cleatpulley_policy::interface::Micros;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::IpAddr;

const SECOND: Micros = 1_000_000;
const STARTED_AT: Micros = 1_764_576_000 * SECOND;

fn settings() -> Settings {
    Settings {
        allowlist: vec!["10.9.0.0/16"
            .parse::<AddressPrefix>()
            .expect("a valid prefix")],
        reserved_share: 0.2,
        address_limits: ConnectionLimits::default(),
        prefix_limits: ConnectionLimits::default(),
        prefix_lengths: PrefixLengths { ipv4: 24, ipv6: 64 },
        reputation: Some(ReputationSettings {
            known_threshold: 5.0,
            half_life: 600 * SECOND,
            max_addresses: 1_000,
            max_addresses_per_prefix: 4,
        }),
        sketch_width: 1_024,
        seed: 3,
    }
}

fn ip(text: &str) -> IpAddr {
    text.parse().expect("a valid address")
}

/// A connection that holds a slot.
struct HeldConnection {
    address: IpAddr,
    has_pending_request: bool,
}

/// A listener and its connections by id.
struct Listener {
    admission: Admission,
    max_slots: usize,
    now: Micros,
    connections: BTreeMap<u64, HeldConnection>,
    last_id: u64,
}

impl Listener {
    fn new(settings: Settings, max_slots: usize) -> Self {
        let admission = Admission::new(settings, STARTED_AT);
        Self {
            admission,
            max_slots,
            now: STARTED_AT,
            connections: BTreeMap::new(),
            last_id: 0,
        }
    }

    fn connect(&mut self, address: &str) -> Result<u64, RejectReason> {
        let address = ip(address);
        let connections = &self.connections;
        let is_idle = |id: u64| !connections[&id].has_pending_request;
        let trust_level = match self
            .admission
            .decide(self.now, address, self.max_slots, is_idle)
        {
            Decision::Reject(reason) => return Err(reason),
            Decision::Admit(trust_level) => trust_level,
            Decision::EvictAndAdmit {
                victim: id,
                trust_level,
            } => {
                assert!(
                    !self.connections[&id].has_pending_request,
                    "a connection with a pending request is never evicted"
                );
                self.close(id);
                trust_level
            }
        };
        self.last_id += 1;
        self.admission
            .on_admitted(self.now, self.last_id, address, trust_level);
        self.connections.insert(
            self.last_id,
            HeldConnection {
                address,
                has_pending_request: false,
            },
        );
        Ok(self.last_id)
    }

    fn close(&mut self, id: u64) {
        self.admission.on_closed(id);
        self.connections.remove(&id);
    }

    fn request(&mut self, id: u64) {
        self.admission.on_first_message(id);
        self.connections
            .get_mut(&id)
            .expect("an open connection")
            .has_pending_request = true;
    }

    fn respond(&mut self, id: u64) {
        self.connections
            .get_mut(&id)
            .expect("an open connection")
            .has_pending_request = false;
        self.admission.on_request_served(self.now, id);
    }

    fn connections_in(&self, prefix: &str) -> usize {
        let prefix: AddressPrefix = prefix.parse().expect("a valid prefix");
        self.connections
            .values()
            .filter(|connection| prefix.contains(connection.address))
            .count()
    }
}

/// One address may hold all unreserved slots while there is no demand from others, and loses them
/// to others once there is.
#[test]
fn one_address_holds_all_unreserved_slots_until_others_need_them() {
    let mut listener = Listener::new(settings(), 100);
    let admitted = (0..500)
        .filter(|_| listener.connect("10.1.1.1").is_ok())
        .count();
    assert_eq!(
        (admitted, listener.connections_in("10.1.1.0/24")),
        (80, 80),
        "twenty slots are reserved for known clients"
    );
    listener.now += SECOND;
    for n in 0..79 {
        assert!(listener.connect(&format!("10.2.{n}.1")).is_ok(), "{n}");
    }
    assert_eq!(
        listener.connections_in("10.1.1.0/24"),
        1,
        "each address holds one slot"
    );
    for n in 0..20 {
        assert!(listener.connect(&format!("10.9.0.{n}")).is_ok(), "{n}");
    }
    assert_eq!(listener.connections_in("10.9.0.0/16"), 20);
}

#[test]
fn within_a_prefix_the_address_with_most_slots_is_evicted() {
    let mut listener = Listener::new(
        Settings {
            reserved_share: 0.0,
            ..settings()
        },
        10,
    );
    for _ in 0..10 {
        listener.connect("10.1.1.1").expect("a slot");
    }
    assert_eq!(
        listener
            .connect("10.1.1.2")
            .map(|_| listener.connections_in("10.1.1.1")),
        Ok(9)
    );
    for _ in 0..10 {
        let _ = listener.connect("10.1.1.2");
    }
    assert_eq!(
        (
            listener.connections_in("10.1.1.1"),
            listener.connections_in("10.1.1.2")
        ),
        (5, 5),
        "both addresses hold the same number of slots"
    );
}

/// A connection with a pending request is never evicted, not even for an allowlisted client.
#[test]
fn connection_with_a_pending_request_is_not_evicted() {
    let mut listener = Listener::new(
        Settings {
            reserved_share: 0.0,
            ..settings()
        },
        3,
    );
    let ids: Vec<_> = (0..3)
        .map(|_| listener.connect("10.1.1.1").expect("a slot"))
        .collect();
    ids.iter().for_each(|id| listener.request(*id));
    listener.now += 10 * SECOND;
    assert_eq!(listener.connect("10.9.0.1"), Err(RejectReason::Full));
    assert_eq!(listener.connect("10.2.0.1"), Err(RejectReason::Full));
    listener.respond(ids[1]);
    assert!(listener.connect("10.9.0.1").is_ok());
    assert!(!listener.connections.contains_key(&ids[1]));
    // An allowlisted client is evicted neither within the grace period nor after its first message.
    assert_eq!(listener.connect("10.9.0.2"), Err(RejectReason::Full));
    listener.request(listener.last_id);
    listener.respond(listener.last_id);
    listener.now += 10 * SECOND;
    assert_eq!(listener.connect("10.9.0.2"), Err(RejectReason::Full));
}

/// Guards against known clients that block other known clients with silent connections.
#[test]
fn silent_known_clients_do_not_block_other_known_clients() {
    let mut listener = Listener::new(settings(), 4);
    let silent: Vec<_> = (0..4)
        .map(|n| listener.connect(&format!("10.9.0.{n}")).expect("a slot"))
        .collect();
    assert_eq!(
        listener.connect("10.9.1.1"),
        Err(RejectReason::Full),
        "within the grace period of the silent connections"
    );
    listener.now += FIRST_MESSAGE_GRACE_PERIOD;
    assert!(listener.connect("10.9.1.1").is_ok());
    assert!(
        !listener.connections.contains_key(&silent[0]),
        "the longest silent connection is evicted"
    );
    assert_eq!(
        listener.connect("10.1.0.1"),
        Err(RejectReason::Full),
        "no known client is evicted for an unknown one"
    );
    listener
        .admission
        .import_reputation(listener.now, &[(ip("10.5.0.1"), 9.0)]);
    assert_eq!(
        listener.connect("10.5.0.1"),
        Err(RejectReason::Full),
        "no allowlisted client is evicted for one with reputation"
    );
}

/// If all connections of the prefix with the most slots have pending requests, one of the prefix
/// with the next most slots is evicted.
#[test]
fn second_largest_prefix_loses_a_slot_if_the_largest_has_only_pending_requests() {
    let mut listener = Listener::new(
        Settings {
            reserved_share: 0.0,
            ..settings()
        },
        9,
    );
    for _ in 0..5 {
        let id = listener.connect("10.1.1.1").expect("a slot");
        listener.request(id);
    }
    for _ in 0..4 {
        let id = listener.connect("10.2.2.2").expect("a slot");
        listener.request(id);
        listener.respond(id);
    }
    assert!(listener.connect("10.3.3.3").is_ok());
    assert_eq!(
        (
            listener.connections_in("10.1.1.0/24"),
            listener.connections_in("10.2.2.0/24")
        ),
        (5, 3)
    );
}

#[test]
fn prefixes_with_equal_slots_evict_only_silent_connections() {
    let mut listener = Listener::new(
        Settings {
            reserved_share: 0.0,
            ..settings()
        },
        2,
    );
    let first = listener.connect("10.1.0.1").expect("a slot");
    listener.connect("10.2.0.1").expect("a slot");
    assert_eq!(
        listener.connect("10.3.0.1"),
        Err(RejectReason::Full),
        "both are within the grace period"
    );
    listener.now += FIRST_MESSAGE_GRACE_PERIOD;
    assert!(listener.connect("10.3.0.1").is_ok());
    assert!(
        !listener.connections.contains_key(&first),
        "the longest silent connection is evicted"
    );
    let third = listener.last_id;
    listener.now += FIRST_MESSAGE_GRACE_PERIOD;
    listener.request(third);
    assert!(
        listener.connect("10.4.0.1").is_ok(),
        "the second connection is evicted, which is silent"
    );
    listener.now += FIRST_MESSAGE_GRACE_PERIOD;
    listener.request(listener.last_id);
    assert_eq!(
        listener.connect("10.5.0.1"),
        Err(RejectReason::Full),
        "both have sent a request"
    );
}

#[test]
fn limits_apply_while_slots_are_free_but_not_to_allowlisted_clients() {
    let rate = |per_second, burst| Some(RateLimit { per_second, burst });
    let address = ConnectionLimits {
        slots: Some(3),
        rate: rate(1.0, 4.0),
    };
    let prefix = ConnectionLimits {
        slots: Some(5),
        rate: rate(2.0, 50.0),
    };
    let mut listener = Listener::new(
        Settings {
            address_limits: address,
            prefix_limits: prefix,
            ..settings()
        },
        1_000,
    );
    assert!((0..3).all(|_| listener.connect("10.1.1.1").is_ok()));
    assert_eq!(
        listener.connect("10.1.1.1"),
        Err(RejectReason::AddressSlots)
    );
    assert!((0..2).all(|_| listener.connect("10.1.1.2").is_ok()));
    assert_eq!(listener.connect("10.1.1.3"), Err(RejectReason::PrefixSlots));
    listener.close(1);
    assert!(listener.connect("10.1.1.1").is_ok());
    listener.close(listener.last_id);
    assert_eq!(
        listener.connect("10.1.1.1"),
        Err(RejectReason::AddressRate),
        "four connections have used up the burst"
    );
    listener.now += SECOND;
    assert!(listener.connect("10.1.1.1").is_ok());
    assert!((0..500).all(|_| listener.connect("10.9.1.1").is_ok()));
    let counters = listener.admission.counters;
    assert_eq!(
        (
            counters.admitted,
            counters.rejected_by_rate,
            counters.rejected_by_slots
        ),
        (507, 1, 2)
    );
}

/// A connection that the rate limit of its prefix rejects is not counted by that of its address.
#[test]
fn rejected_connections_are_not_counted_by_any_limit() {
    let rate = |per_second, burst| Some(RateLimit { per_second, burst });
    let address = ConnectionLimits {
        slots: None,
        rate: rate(0.1, 3.0),
    };
    let prefix = ConnectionLimits {
        slots: None,
        rate: rate(1.0, 2.0),
    };
    let mut listener = Listener::new(
        Settings {
            address_limits: address,
            prefix_limits: prefix,
            ..settings()
        },
        1_000,
    );
    assert!((0..2).all(|_| listener.connect("10.1.1.2").is_ok()));
    assert!((0..20).all(|_| listener.connect("10.1.1.1") == Err(RejectReason::PrefixRate)));
    listener.now += 3 * SECOND;
    assert!(
        (0..2).all(|_| listener.connect("10.1.1.1").is_ok()),
        "the limit of the address has counted no rejected connection"
    );
}

/// An address with reputation gets a reserved slot in a flood, even after a hot restart, but none
/// of those reserved for allowlisted clients.
#[test]
fn address_with_reputation_gets_a_reserved_slot_in_a_flood() {
    let mut listener = Listener::new(settings(), 20);
    let regular_client = listener.connect("10.5.0.1").expect("a slot");
    for _ in 0..8 {
        listener.now += MIN_CREDIT_INTERVAL;
        listener.request(regular_client);
        listener.respond(regular_client);
    }
    assert_eq!(
        listener.admission.trust_level(listener.now, ip("10.5.0.1")),
        TrustLevel::Reputable
    );
    let exported = listener.admission.export_reputation(listener.now);
    let mut successor = Listener::new(settings(), 20);
    successor.admission.import_reputation(STARTED_AT, &exported);
    for n in 0..60_u32 {
        // Connections with pending requests can't be evicted.
        if let Ok(id) = successor.connect(&format!("10.{}.{}.7", 20 + n / 200, n % 200)) {
            successor.request(id);
        }
    }
    assert_eq!(successor.connections.len(), 16, "four slots are reserved");
    assert!(successor.connect("10.5.0.1").is_ok() && successor.connect("10.5.0.1").is_ok());
    assert_eq!(
        successor.connect("10.5.0.1"),
        Err(RejectReason::Full),
        "half of the reserve is for allowlisted clients"
    );
    assert!(successor.connect("10.9.0.1").is_ok() && successor.connect("10.9.0.1").is_ok());
}

#[derive(Debug, Clone)]
enum ListenerEvent {
    Connect(u8, u8),
    Request(usize),
    Respond(usize),
    Close(usize),
    AdvanceClock(Micros),
}

fn listener_event() -> impl Strategy<Value = ListenerEvent> {
    prop_oneof![
        4 => (0..6_u8, 0..3_u8)
            .prop_map(|(second_octet, host)| ListenerEvent::Connect(second_octet, host)),
        2 => (0..40_usize).prop_map(ListenerEvent::Request),
        2 => (0..40_usize).prop_map(ListenerEvent::Respond),
        1 => (0..40_usize).prop_map(ListenerEvent::Close),
        1 => (0..200_000_u64).prop_map(ListenerEvent::AdvanceClock),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// In any order of events, there are no more connections than slots, the table agrees with the
    /// listener, allowlisted clients are admitted while an unknown one can be evicted, and no
    /// connection with a pending request is evicted.
    #[test]
    fn table_agrees_with_the_listener_in_any_order_of_events(
        listener_events in proptest::collection::vec(listener_event(), 1..300),
        max_slots in 1..24_usize,
    ) {
        let mut listener = Listener::new(settings(), max_slots);
        for event in listener_events {
            let nth_id = |listener: &Listener, n: usize| {
                let ids: Vec<u64> = listener.connections.keys().copied().collect();
                ids.get(n % ids.len().max(1)).copied()
            };
            match event {
                ListenerEvent::Connect(second_octet, host) => {
                    let is_allowlisted = second_octet == 0;
                    let has_idle_unknown = listener.connections.values().any(|connection| {
                        let trust_level = listener
                            .admission
                            .trust_level(listener.now, connection.address);
                        !connection.has_pending_request && trust_level == TrustLevel::Unknown
                    });
                    let has_free_slot = listener.connections.len() < max_slots;
                    let address = if is_allowlisted {
                        format!("10.9.0.{host}")
                    } else {
                        format!("10.{second_octet}.0.{host}")
                    };
                    let outcome = listener.connect(&address);
                    prop_assert!(
                        outcome.is_ok() || !is_allowlisted || !(has_free_slot || has_idle_unknown),
                        "{outcome:?}"
                    );
                }
                ListenerEvent::Request(n) => if let Some(id) = nth_id(&listener, n) { listener.request(id) },
                ListenerEvent::Respond(n) => if let Some(id) = nth_id(&listener, n) { listener.respond(id) },
                ListenerEvent::Close(n) => if let Some(id) = nth_id(&listener, n) { listener.close(id) },
                ListenerEvent::AdvanceClock(elapsed) => listener.now += elapsed,
            }
            prop_assert!(listener.connections.len() <= max_slots);
            prop_assert_eq!(listener.admission.len(), listener.connections.len());
        }
        let ids: Vec<u64> = listener.connections.keys().copied().collect();
        ids.into_iter().for_each(|id| listener.close(id));
        prop_assert!(listener.admission.is_empty());
    }
}
