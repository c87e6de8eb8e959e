use super::*;

const SECOND: Micros = 1_000_000;
const SETTINGS: ReputationSettings = ReputationSettings {
    known_threshold: 20.0,
    half_life: 600 * SECOND,
    max_addresses: 64,
    max_addresses_per_prefix: 4,
};

fn ip(n: u32) -> IpAddr {
    IpAddr::V4(std::net::Ipv4Addr::from(0x0A00_0000 + n))
}

fn prefix_of(address: IpAddr) -> AddressPrefix {
    AddressPrefix::containing(address, 24)
}

fn credit(table: &mut ReputationTable, now: Micros, n: u32) {
    table.credit(now, ip(n), prefix_of(ip(n)));
}

#[test]
fn reputation_takes_time_and_decays() {
    let mut table = ReputationTable::new(SETTINGS, 1);
    (0..10_000).for_each(|_| credit(&mut table, SECOND, 1));
    assert!(
        !table.is_known(SECOND, ip(1)),
        "credits at the same time count once"
    );
    for n in 1..=20 {
        credit(&mut table, SECOND + n * MIN_CREDIT_INTERVAL, 1);
    }
    let now = SECOND + 20 * MIN_CREDIT_INTERVAL;
    assert!(table.is_known(now, ip(1)) && !table.is_known(now, ip(2)));
    assert!(
        !table.is_known(now + 600 * SECOND, ip(1)),
        "half of the points have decayed"
    );
}

#[test]
fn unknown_addresses_evict_no_known_one_and_addresses_per_prefix_are_limited() {
    let mut table = ReputationTable::new(SETTINGS, 1);
    // Fills the table with sixteen prefixes of four known addresses each.
    for round in 0..25 {
        for n in 0..64 {
            credit(
                &mut table,
                SECOND + round * MIN_CREDIT_INTERVAL,
                n / 4 * 256 + n % 4,
            );
        }
    }
    let now = SECOND + 25 * MIN_CREDIT_INTERVAL;
    (0..64).for_each(|n| assert!(table.is_known(now, ip(n / 4 * 256 + n % 4)), "{n}"));
    for n in 0..100_000 {
        credit(&mut table, now, 1_000_000 + n * 256);
        credit(&mut table, now, 5 + n % 200);
    }
    assert_eq!(table.len(), 64);
    (0..64).for_each(|n| assert!(table.is_known(now, ip(n / 4 * 256 + n % 4)), "{n}"));
}

#[test]
fn addresses_with_few_points_are_evicted() {
    let mut table = ReputationTable::new(SETTINGS, 1);
    (0..64).for_each(|n| credit(&mut table, SECOND, n * 256));
    (0..25).for_each(|round| credit(&mut table, SECOND + round * MIN_CREDIT_INTERVAL, 99 * 256));
    assert!(table.is_known(SECOND + 25 * MIN_CREDIT_INTERVAL, ip(99 * 256)));
    assert_eq!(
        (
            table.len(),
            table.indices.len(),
            table.addresses_per_prefix.len()
        ),
        (64, 64, 64)
    );
}

#[test]
fn returns_grown_reputation_for_storing_and_restores_the_decayed_points() {
    let mut table = ReputationTable::new(SETTINGS, 1);
    (0..9).for_each(|round| credit(&mut table, SECOND + round * MIN_CREDIT_INTERVAL, 7));
    assert_eq!(
        table.take_unsaved(2 * SECOND),
        [],
        "less than half of the threshold"
    );
    (9..14).for_each(|round| credit(&mut table, SECOND + round * MIN_CREDIT_INTERVAL, 7));
    let unsaved = table.take_unsaved(3 * SECOND);
    assert_eq!(
        unsaved.len(),
        1,
        "an address is returned once, whatever the number of credits"
    );
    assert!(
        unsaved[0].address == ip(7) && (unsaved[0].points - 14.0).abs() < 0.1,
        "{unsaved:?}"
    );
    credit(&mut table, 4 * SECOND, 7);
    assert_eq!(
        table.take_unsaved(4 * SECOND),
        [],
        "grown by less than a tenth of the threshold"
    );
    (0..30).for_each(|round| credit(&mut table, 5 * SECOND + round * MIN_CREDIT_INTERVAL, 7));
    let unsaved = table.take_unsaved(9 * SECOND);
    let kept_for_s = (unsaved[0].expires_at - 9 * SECOND) / SECOND;
    assert!(
        (1_200..1_400).contains(&kept_for_s),
        "44 points decay to 10 in slightly more than two half-lives: {kept_for_s} s"
    );
    let mut restored = ReputationTable::new(SETTINGS, 2);
    restored.restore(9 * SECOND + SETTINGS.half_life, &unsaved, prefix_of);
    assert!(
        restored.is_known(9 * SECOND + SETTINGS.half_life, ip(7)),
        "22 of 44 points remain"
    );
    assert!(!restored.is_known(9 * SECOND + 2 * SETTINGS.half_life, ip(7)));
    assert_eq!(
        restored.take_unsaved(9 * SECOND),
        [],
        "restored entries are already stored"
    );
    let mut restored_after_clock_step = ReputationTable::new(SETTINGS, 2);
    restored_after_clock_step.restore(0, &unsaved, prefix_of);
    assert!(
        restored_after_clock_step.is_known(0, ip(7)),
        "points don't decay when the clock steps back"
    );
}

#[test]
fn imports_what_was_exported_and_nothing_invalid() {
    let mut table = ReputationTable::new(SETTINGS, 1);
    (0..25).for_each(|round| credit(&mut table, SECOND + round * MIN_CREDIT_INTERVAL, 7));
    credit(&mut table, SECOND, 300);
    let now = SECOND + 25 * MIN_CREDIT_INTERVAL;
    let exported = table.export(now);
    assert_eq!(
        exported.len(),
        1,
        "an address with a single point is not exported"
    );
    let mut successor = ReputationTable::new(SETTINGS, 2);
    successor.import(
        now,
        &[
            exported.clone(),
            vec![(ip(9), f64::NAN), (ip(10), -1.0)],
            exported,
        ]
        .concat(),
        prefix_of,
    );
    assert!(successor.is_known(now, ip(7)) && successor.len() == 1);
}
