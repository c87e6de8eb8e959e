//! Processes that hear of each other over a network that loses, repeats, reorders and cuts.

mod net;

use cleatpulley_membership::figures::Kind;
use cleatpulley_membership::{Event, Settings};
use cleatpulley_timeline::Drawing;
use net::{Net, Weather, MS, SECOND};

fn fleet(net: &mut Net, count: u16) -> Vec<u16> {
    let ports: Vec<u16> = (1..=count).collect();
    for port in &ports {
        let name = if *port <= 3 {
            format!("g{port}")
        } else {
            format!("m{port}")
        };
        net.start(&name, *port, &[1, 2, 3]);
    }
    ports
}

fn number(value: f64) -> Vec<u8> {
    value.to_le_bytes().to_vec()
}

#[test]
fn all_hear_of_all_in_bad_weather_and_nobody_is_given_up() {
    for seed in 0..8 {
        let mut net = Net::new(seed);
        net.weather = Weather {
            lost: 100,
            repeated: 100,
            slow: 80 * MS,
        };
        fleet(&mut net, 20);
        net.run(60 * SECOND);
        assert_eq!(net.disagrees(), None, "seed {seed}");
        let gone = net
            .events
            .iter()
            .filter(|(_, _, event)| matches!(event, Event::Down(_)))
            .count();
        // A wrong suspicion has time to be put right.
        assert_eq!(gone, 0, "seed {seed}");
    }
}

#[test]
fn a_dead_process_is_seen_to_be_gone_within_seconds_by_all() {
    let mut slowest = 0;
    for seed in 0..8 {
        let mut net = Net::new(seed);
        net.weather.lost = 50;
        let ports = fleet(&mut net, 12);
        net.run(20 * SECOND);
        let died = net.now;
        net.kill(7);
        net.run(15 * SECOND);
        assert_eq!(net.disagrees(), None, "seed {seed}");
        let seen: Vec<u64> = net
            .events
            .iter()
            .filter(|(at, _, event)| {
                *at > died && matches!(event, Event::Down(id) if id.name.as_str() == "m7")
            })
            .map(|(at, ..)| at - died)
            .collect();
        assert_eq!(seen.len(), ports.len() - 1, "seed {seed}");
        slowest = slowest.max(*seen.iter().max().expect("some"));
    }
    // A round of questions, the suspicion, and its way.
    assert!(slowest < 12 * SECOND, "{slowest}");
}

#[test]
fn one_that_stands_still_for_ten_seconds_comes_back_under_a_new_incarnation_and_gives_nobody_up() {
    for seed in 0..8 {
        let mut net = Net::new(seed);
        let ports = fleet(&mut net, 8);
        net.run(20 * SECOND);
        let before = net.running[&5].membership.identity().incarnation;
        let stood = net.now;
        net.pause(5, 10 * SECOND);
        net.run(40 * SECOND);
        assert_eq!(net.disagrees(), None, "seed {seed}");
        let after = net.running[&5].membership.identity().incarnation;
        assert!(after > before, "seed {seed}: {after} after {before}");
        let gave_up: Vec<_> = net
            .events
            .iter()
            .filter(|(at, port, event)| {
                *at > stood && *port == 5 && matches!(event, Event::Down(_))
            })
            .collect();
        assert!(gave_up.is_empty(), "seed {seed}: {gave_up:?}");
        // And nobody is given up but it.
        let others = net.events.iter().filter(|(at, _, event)| {
            *at > stood && matches!(event, Event::Down(id) if id.name.as_str() != "m5")
        });
        assert_eq!(others.count(), 0, "seed {seed} of {ports:?}");
    }
}

#[test]
fn a_way_that_is_cut_in_one_direction_costs_nobody_its_place() {
    for seed in 0..8 {
        let mut net = Net::new(seed);
        fleet(&mut net, 6);
        net.run(20 * SECOND);
        net.cut.insert((4, 5));
        net.cut.insert((6, 1));
        net.run(60 * SECOND);
        assert_eq!(net.disagrees(), None, "seed {seed}");
        let gone = net
            .events
            .iter()
            .filter(|(_, _, event)| matches!(event, Event::Down(_)))
            .count();
        assert_eq!(
            gone, 0,
            "seed {seed}: others ask on behalf of one that gets no answer"
        );
    }
}

#[test]
fn two_halves_find_each_other_again() {
    for seed in 0..8 {
        let mut net = Net::new(seed);
        let ports = fleet(&mut net, 10);
        net.run(20 * SECOND);
        let (one, other): (Vec<u16>, Vec<u16>) = ports.iter().partition(|port| **port % 2 == 0);
        net.cut_between(&one, &other);
        net.run(20 * SECOND);
        for port in &one {
            assert_eq!(
                net.running[port].membership.members().len(),
                one.len() - 1,
                "seed {seed}"
            );
        }
        net.cut.clear();
        net.run(40 * SECOND);
        assert_eq!(net.disagrees(), None, "seed {seed}");
    }
}

#[test]
fn one_that_was_cut_off_comes_back_and_sends_nobody_else_back() {
    for seed in 0..8 {
        let mut net = Net::new(seed);
        fleet(&mut net, 9);
        net.run(20 * SECOND);
        net.cut_between(&[6], &[1, 2, 3, 4, 5, 7, 8, 9]);
        net.run(25 * SECOND);
        net.cut.clear();
        net.run(30 * SECOND);
        assert_eq!(net.disagrees(), None, "seed {seed}");
        let back = net
            .events
            .iter()
            .filter(|(_, _, event)| matches!(event, Event::Rejoined(_)));
        let back: Vec<u16> = back.map(|(_, port, _)| *port).collect();
        assert!(
            !back.is_empty() && back.iter().all(|port| *port == 6),
            "seed {seed}: {back:?}"
        );
    }
}

#[test]
fn a_restart_at_the_same_address_is_a_new_life_of_the_same_process() {
    for seed in 0..8 {
        let mut net = Net::new(seed);
        fleet(&mut net, 6);
        net.run(20 * SECOND);
        net.kill(4);
        net.run(50 * MS);
        net.start("m4", 4, &[1, 2, 3]);
        net.run(20 * SECOND);
        assert_eq!(net.disagrees(), None, "seed {seed}");
        // And with an empty disk, which would give out the first numbers again.
        net.kill(4);
        net.disks.remove(&4);
        net.run(50 * MS);
        // The random number of the life keeps the two apart until the incarnation is raised over the former.
        net.start("m4", 4, &[1, 2, 3]);
        net.run(40 * SECOND);
        assert_eq!(net.disagrees(), None, "seed {seed}");
        let incarnation = net.running[&4].membership.identity().incarnation;
        assert!(
            incarnation > cleatpulley_membership::incarnation::BLOCK,
            "seed {seed}: {incarnation}"
        );
    }
}

#[test]
fn of_two_with_one_name_the_later_life_has_it_and_the_other_stays_out_until_it_is_gone() {
    for seed in 0..8 {
        let mut net = Net::new(seed);
        fleet(&mut net, 5);
        net.run(20 * SECOND);
        // A copied disk: the same name and numbers at another address.
        let mark = net.disks[&5];
        net.disks.insert(9, mark);
        net.start("m5", 9, &[1, 2, 3]);
        net.run(30 * SECOND);
        let members = [5, 9].map(|port| net.running[&port].membership.is_member());
        assert_eq!(members, [false, true], "seed {seed}: the later has it");
        let seen = net.running[&1].membership.members();
        assert_eq!(
            seen[&net::label("m5")].identity.address,
            net::address(9),
            "seed {seed}"
        );
        let flaps = net.events.iter().filter(|(_, port, event)| {
            [5, 9].contains(port) && matches!(event, Event::Rejoined(_))
        });
        assert_eq!(flaps.count(), 0, "seed {seed}: neither fights for it");
        net.kill(9);
        net.run(60 * SECOND);
        assert!(net.running[&5].membership.is_member(), "seed {seed}");
        assert_eq!(net.disagrees(), None, "seed {seed}");
    }
}

#[test]
fn figures_reach_all_and_end_with_their_process() {
    for seed in 0..4 {
        let mut net = Net::new(seed);
        net.weather.lost = 100;
        let ports = fleet(&mut net, 10);
        net.run(10 * SECOND);
        for port in &ports {
            let now = net.now;
            let one = net.running.get_mut(port).expect("it runs");
            one.membership
                .tell(now, Kind::Warmth, number(f64::from(*port) / 100.0));
        }
        net.run(8 * SECOND);
        for port in &ports {
            let figures = net.running[port].membership.figures();
            let told: Vec<f64> = figures
                .all(net.now, Kind::Warmth)
                .filter_map(|(f, _)| f.number())
                .collect();
            assert_eq!(
                told.len(),
                ports.len(),
                "seed {seed}: {port} knows {told:?}"
            );
            let oldest = figures.all(net.now, Kind::Warmth).map(|(_, age)| age).max();
            assert!(oldest < Some(8 * SECOND), "seed {seed}: {oldest:?}");
        }
        net.kill(4);
        net.run(15 * SECOND);
        for port in ports.iter().filter(|port| **port != 4) {
            let figures = net.running[port].membership.figures();
            assert_eq!(
                figures.all(net.now, Kind::Warmth).count(),
                ports.len() - 1,
                "seed {seed}: {port}"
            );
        }
    }
}

#[test]
fn whoever_has_no_key_is_not_heard_and_a_rotation_loses_nobody() {
    let mut net = Net::new(5);
    let ports = fleet(&mut net, 6);
    net.run(15 * SECOND);
    let key = |number: u8| format!("{number} {}\n", format!("{number:02x}").repeat(32));
    let parse = |text: String| cleatpulley_membership::seal::Keys::parse(&text).expect("keys");
    let first = format!("1 {}\n", "5a".repeat(32));
    // At each step some are late.
    for stage in [first.clone() + &key(2), key(2) + &first, key(2)] {
        for port in &ports {
            net.running
                .get_mut(port)
                .expect("it runs")
                .membership
                .rekey(parse(stage.clone()));
            net.run(700 * MS);
        }
    }
    net.run(10 * SECOND);
    assert_eq!(net.disagrees(), None);
    let gone = net
        .events
        .iter()
        .filter(|(_, _, event)| matches!(event, Event::Down(_)))
        .count();
    assert_eq!(gone, 0);
    net.start("m9", 9, &[1]);
    net.run(10 * SECOND);
    assert!(
        net.running[&9].membership.members().is_empty(),
        "it has the first key only"
    );
    assert!(net.running[&1].membership.turned_away().0 > 0);
}

#[test]
fn no_more_are_taken_in_than_there_is_room_for() {
    let mut net = Net::new(3);
    let settings = Settings {
        most: 4,
        ..Settings::default()
    };
    net.start_with("g1", 1, &[], settings);
    for port in 2..=9 {
        net.start(&format!("m{port}"), port, &[1]);
    }
    net.run(20 * SECOND);
    assert!(net.running[&1].membership.members().len() <= 4);
    assert!(net.running[&1].membership.turned_away().1 > 0);
}

#[test]
fn settings_that_can_not_be_are_told_by_their_key() {
    let fault = |settings: Settings| settings.check().expect_err("can't be").key;
    assert_eq!(
        fault(Settings {
            probe: 0,
            ..Settings::default()
        }),
        "probe"
    );
    assert_eq!(
        fault(Settings {
            answer: 250_000,
            ..Settings::default()
        }),
        "answer"
    );
    assert_eq!(
        fault(Settings {
            suspicion: 600_000,
            ..Settings::default()
        }),
        "suspicion"
    );
    assert_eq!(
        fault(Settings {
            remembered: 1,
            ..Settings::default()
        }),
        "remembered"
    );
    assert_eq!(
        fault(Settings {
            figures: 1,
            ..Settings::default()
        }),
        "figures"
    );
    assert_eq!(
        fault(Settings {
            most: 1,
            ..Settings::default()
        }),
        "most"
    );
}

/// The drawings in `tests/timelines/`, from the emulated network: exact in each column, and tied where a rule says so.
#[test]
fn what_each_process_saw_is_as_it_is_drawn() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../tests/timelines");
    type Case = (&'static str, fn(&mut Net));
    let cases: [Case; 5] = [
        ("membership-death", |net| {
            net.kill(4);
            net.run(15 * SECOND);
        }),
        ("membership-pause", |net| {
            net.pause(4, 10 * SECOND);
            net.run(30 * SECOND);
        }),
        ("membership-restart", |net| {
            net.kill(4);
            net.run(20 * MS);
            net.start("m4", 4, &[1, 2, 3]);
            net.run(15 * SECOND);
        }),
        ("membership-halves", |net| {
            net.note("net", "cuts m4 off");
            net.cut_between(&[4], &[1, 2, 3]);
            net.run(15 * SECOND);
            net.note("net", "heals");
            net.cut.clear();
            net.run(20 * SECOND);
        }),
        ("membership-two-of-one-name", |net| {
            let mark = net.disks[&4];
            net.disks.insert(net::COPY, mark);
            net.start("m4", net::COPY, &[1, 2, 3]);
            net.run(15 * SECOND);
            net.kill(net::COPY);
            net.run(30 * SECOND);
        }),
    ];
    let mut wrong = String::new();
    for (name, case) in cases {
        let mut net = Net::new(11);
        fleet(&mut net, 4);
        net.run(10 * SECOND);
        case(&mut net);
        let timeline = net.timeline();
        let file = format!("{folder}/{name}.txt");
        if std::env::var_os("SKETCH").is_some() {
            std::fs::write(&file, Drawing::sketch(&timeline, 800 * MS)).expect("written");
        }
        let drawn = std::fs::read_to_string(&file).expect("a drawing");
        let drawing = Drawing::read(&drawn).unwrap_or_else(|why| panic!("{file}: {why}"));
        if let Err(differs) = timeline.check(&drawing) {
            wrong += &format!("{name}: {differs}\n");
        }
    }
    assert!(wrong.is_empty(), "{wrong}");
}
