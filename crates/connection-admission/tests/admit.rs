//! Who gets a place, by tables and by random histories.

use cleatpulley_connection_admission::admit::{Cap, Known, FAIR};
use cleatpulley_connection_admission::net::Net;
use cleatpulley_connection_admission::rate::Rate;
use cleatpulley_connection_admission::standing::{Earned, GAP};
use cleatpulley_connection_admission::{Admission, Decision, Settings, Why};
use cleatpulley_policy::interface::Micros;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::IpAddr;

const SECOND: Micros = 1_000_000;
const BEGIN: Micros = 1_764_576_000 * SECOND;

fn settings() -> Settings {
    Settings {
        named: vec!["10.9.0.0/16".parse::<Net>().expect("a net")],
        reserve: 0.2,
        address: Cap::default(),
        prefix: Cap::default(),
        bits: (24, 64),
        earned: Some(Earned {
            points: 5.0,
            half_life: 600 * SECOND,
            most: 1_000,
            of_prefix: 4,
        }),
        width: 1_024,
        seed: 3,
    }
}

fn ip(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

/// A front that holds connections: by number, whether one owes an answer.
struct Front {
    admission: Admission,
    most: usize,
    now: Micros,
    owes: BTreeMap<u64, (IpAddr, bool)>,
    numbers: u64,
}

impl Front {
    fn new(settings: Settings, most: usize) -> Self {
        let admission = Admission::new(settings, BEGIN);
        Self {
            admission,
            most,
            now: BEGIN,
            owes: BTreeMap::new(),
            numbers: 0,
        }
    }

    fn come(&mut self, address: &str) -> Result<u64, Why> {
        let address = ip(address);
        let owes = &self.owes;
        let spare = |number: u64| !owes[&number].1;
        let known = match self.admission.decide(self.now, address, self.most, spare) {
            Decision::Refuse(why) => return Err(why),
            Decision::Admit(known) => known,
            Decision::Instead(number, known) => {
                assert!(
                    !self.owes[&number].1,
                    "one that owes an answer is never closed"
                );
                self.close(number);
                known
            }
        };
        self.numbers += 1;
        self.admission.enter(self.now, self.numbers, address, known);
        self.owes.insert(self.numbers, (address, false));
        Ok(self.numbers)
    }

    fn close(&mut self, number: u64) {
        self.admission.leave(number);
        self.owes.remove(&number);
    }

    fn ask(&mut self, number: u64) {
        self.admission.spoke(number);
        self.owes.get_mut(&number).expect("it is there").1 = true;
    }

    fn answer(&mut self, number: u64) {
        self.owes.get_mut(&number).expect("it is there").1 = false;
        self.admission.served(self.now, number);
    }

    fn of(&self, prefix: &str) -> usize {
        let net: Net = prefix.parse().expect("a net");
        self.owes
            .values()
            .filter(|(address, _)| net.holds(*address))
            .count()
    }
}

/// One address may have all the room while nobody else wants it, but for the reserve, and gives it back to whoever comes.
#[test]
fn one_address_has_the_room_until_others_want_it() {
    let mut front = Front::new(settings(), 100);
    let came = (0..500).filter(|_| front.come("10.1.1.1").is_ok()).count();
    assert_eq!(
        (came, front.of("10.1.1.0/24")),
        (80, 80),
        "twenty places are kept for known callers"
    );
    front.now += SECOND;
    for n in 0..79 {
        assert!(front.come(&format!("10.2.{n}.1")).is_ok(), "{n}");
    }
    assert_eq!(front.of("10.1.1.0/24"), 1, "each has one");
    for n in 0..20 {
        assert!(front.come(&format!("10.9.0.{n}")).is_ok(), "{n}");
    }
    assert_eq!(front.of("10.9.0.0/16"), 20);
}

#[test]
fn within_a_prefix_the_heaviest_address_gives() {
    let mut front = Front::new(
        Settings {
            reserve: 0.0,
            ..settings()
        },
        10,
    );
    for _ in 0..10 {
        front.come("10.1.1.1").expect("room");
    }
    assert_eq!(front.come("10.1.1.2").map(|_| front.of("10.1.1.1")), Ok(9));
    for _ in 0..10 {
        let _ = front.come("10.1.1.2");
    }
    assert_eq!(
        (front.of("10.1.1.1"), front.of("10.1.1.2")),
        (5, 5),
        "no more than the other"
    );
}

/// Requests that are open are never given up, whoever wants their place, and a known caller waits for no unknown one's silence.
#[test]
fn what_owes_an_answer_keeps_its_place() {
    let mut front = Front::new(
        Settings {
            reserve: 0.0,
            ..settings()
        },
        3,
    );
    let numbers: Vec<_> = (0..3)
        .map(|_| front.come("10.1.1.1").expect("room"))
        .collect();
    numbers.iter().for_each(|number| front.ask(*number));
    front.now += 10 * SECOND;
    assert_eq!(front.come("10.9.0.1"), Err(Why::Full));
    assert_eq!(front.come("10.2.0.1"), Err(Why::Full));
    front.answer(numbers[1]);
    assert!(front.come("10.9.0.1").is_ok());
    assert!(!front.owes.contains_key(&numbers[1]));
    // A named caller's place goes to nobody while it may be about to speak, or has spoken.
    assert_eq!(front.come("10.9.0.2"), Err(Why::Full));
    front.ask(front.numbers);
    front.answer(front.numbers);
    front.now += 10 * SECOND;
    assert_eq!(front.come("10.9.0.2"), Err(Why::Full));
}

/// Guards against callers that are named, or have earned it, and hold connections without a word: others as good get in.
#[test]
fn the_silence_of_known_callers_keeps_no_known_one_out() {
    let mut front = Front::new(settings(), 4);
    let silent: Vec<_> = (0..4)
        .map(|n| front.come(&format!("10.9.0.{n}")).expect("room"))
        .collect();
    assert_eq!(
        front.come("10.9.1.1"),
        Err(Why::Full),
        "what they sent may be on its way"
    );
    front.now += FAIR;
    assert!(front.come("10.9.1.1").is_ok());
    assert!(!front.owes.contains_key(&silent[0]), "the silent longest");
    assert_eq!(
        front.come("10.1.0.1"),
        Err(Why::Full),
        "and not for an unknown one"
    );
    front.admission.import(front.now, &[(ip("10.5.0.1"), 9.0)]);
    assert_eq!(
        front.come("10.5.0.1"),
        Err(Why::Full),
        "nor for one who has earned it"
    );
}

/// Guards against a heavy prefix whose callers all owe answers, and that would shield those only a little lighter.
#[test]
fn where_the_heaviest_owe_answers_the_next_give() {
    let mut front = Front::new(
        Settings {
            reserve: 0.0,
            ..settings()
        },
        9,
    );
    for _ in 0..5 {
        let number = front.come("10.1.1.1").expect("room");
        front.ask(number);
    }
    for _ in 0..4 {
        let number = front.come("10.2.2.2").expect("room");
        front.ask(number);
        front.answer(number);
    }
    assert!(front.come("10.3.3.3").is_ok());
    assert_eq!((front.of("10.1.1.0/24"), front.of("10.2.2.0/24")), (5, 3));
}

#[test]
fn equals_wait_for_each_others_silence() {
    let mut front = Front::new(
        Settings {
            reserve: 0.0,
            ..settings()
        },
        2,
    );
    let first = front.come("10.1.0.1").expect("room");
    front.come("10.2.0.1").expect("room");
    assert_eq!(front.come("10.3.0.1"), Err(Why::Full), "both came just now");
    front.now += FAIR;
    assert!(front.come("10.3.0.1").is_ok());
    assert!(!front.owes.contains_key(&first), "the silent longest");
    let third = front.numbers;
    front.now += FAIR;
    front.ask(third);
    assert!(
        front.come("10.4.0.1").is_ok(),
        "the second has said nothing"
    );
    front.now += FAIR;
    front.ask(front.numbers);
    assert_eq!(front.come("10.5.0.1"), Err(Why::Full), "both asked");
}

#[test]
fn caps_hold_also_where_there_is_room_and_not_for_named_callers() {
    let rate = |per_second, burst| Some(Rate { per_second, burst });
    let address = Cap {
        places: Some(3),
        rate: rate(1.0, 4.0),
    };
    let prefix = Cap {
        places: Some(5),
        rate: rate(2.0, 50.0),
    };
    let mut front = Front::new(
        Settings {
            address,
            prefix,
            ..settings()
        },
        1_000,
    );
    assert!((0..3).all(|_| front.come("10.1.1.1").is_ok()));
    assert_eq!(front.come("10.1.1.1"), Err(Why::AddressPlaces));
    assert!((0..2).all(|_| front.come("10.1.1.2").is_ok()));
    assert_eq!(front.come("10.1.1.3"), Err(Why::PrefixPlaces));
    front.close(1);
    assert!(front.come("10.1.1.1").is_ok());
    front.close(front.numbers);
    assert_eq!(
        front.come("10.1.1.1"),
        Err(Why::AddressRate),
        "four have come"
    );
    front.now += SECOND;
    assert!(front.come("10.1.1.1").is_ok());
    assert!((0..500).all(|_| front.come("10.9.1.1").is_ok()));
    let counts = front.admission.counts;
    assert_eq!((counts.admitted, counts.rate, counts.places), (507, 1, 2));
}

/// What its prefix's cap turns away takes nothing from an address's own.
#[test]
fn what_is_turned_away_counts_for_nothing() {
    let rate = |per_second, burst| Some(Rate { per_second, burst });
    let address = Cap {
        places: None,
        rate: rate(0.1, 3.0),
    };
    let prefix = Cap {
        places: None,
        rate: rate(1.0, 2.0),
    };
    let mut front = Front::new(
        Settings {
            address,
            prefix,
            ..settings()
        },
        1_000,
    );
    assert!((0..2).all(|_| front.come("10.1.1.2").is_ok()));
    assert!((0..20).all(|_| front.come("10.1.1.1") == Err(Why::PrefixRate)));
    front.now += 3 * SECOND;
    assert!(
        (0..2).all(|_| front.come("10.1.1.1").is_ok()),
        "its own cap is untouched"
    );
}

/// Standing is earned by answers over time, finds its place in a flood, also after it was handed on, and takes no named one's.
#[test]
fn who_has_earned_it_finds_a_place_in_a_flood() {
    let mut front = Front::new(settings(), 20);
    let regular = front.come("10.5.0.1").expect("room");
    for _ in 0..8 {
        front.now += GAP;
        front.ask(regular);
        front.answer(regular);
    }
    assert_eq!(
        front.admission.known(front.now, ip("10.5.0.1")),
        Known::Earned
    );
    let kept = front.admission.export(front.now);
    let mut next = Front::new(settings(), 20);
    next.admission.import(BEGIN, &kept);
    for n in 0..60_u32 {
        // All of them busy, so that nobody's place can be had.
        if let Ok(number) = next.come(&format!("10.{}.{}.7", 20 + n / 200, n % 200)) {
            next.ask(number);
        }
    }
    assert_eq!(next.owes.len(), 16, "four places are kept");
    assert!(next.come("10.5.0.1").is_ok() && next.come("10.5.0.1").is_ok());
    assert_eq!(
        next.come("10.5.0.1"),
        Err(Why::Full),
        "half of the reserve is for the named"
    );
    assert!(next.come("10.9.0.1").is_ok() && next.come("10.9.0.1").is_ok());
}

#[derive(Debug, Clone)]
enum Step {
    Come(u8, u8),
    Ask(usize),
    Answer(usize),
    Close(usize),
    Pass(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_u8, 0..3_u8).prop_map(|(net, host)| Step::Come(net, host)),
        2 => (0..40_usize).prop_map(Step::Ask),
        2 => (0..40_usize).prop_map(Step::Answer),
        1 => (0..40_usize).prop_map(Step::Close),
        1 => (0..200_000_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever comes in whatever order: never more than there are places, the books agree, named callers are let in while an
    /// unknown one's place can be had, and nobody who owes an answer loses it.
    #[test]
    fn the_books_agree_whatever_happens(steps in proptest::collection::vec(step(), 1..300), most in 1..24_usize) {
        let mut front = Front::new(settings(), most);
        for step in steps {
            let nth = |front: &Front, n: usize| {
                let all: Vec<u64> = front.owes.keys().copied().collect();
                all.get(n % all.len().max(1)).copied()
            };
            match step {
                Step::Come(net, host) => {
                    let named = net == 0;
                    let spare = front.owes.iter().any(|(_, (address, owes))| {
                        !owes && front.admission.known(front.now, *address) == Known::Unknown
                    });
                    let free = front.owes.len() < most;
                    let address = if named { format!("10.9.0.{host}") } else { format!("10.{net}.0.{host}") };
                    let came = front.come(&address);
                    prop_assert!(came.is_ok() || !named || !(free || spare), "{came:?}");
                }
                Step::Ask(n) => if let Some(number) = nth(&front, n) { front.ask(number) },
                Step::Answer(n) => if let Some(number) = nth(&front, n) { front.answer(number) },
                Step::Close(n) => if let Some(number) = nth(&front, n) { front.close(number) },
                Step::Pass(time) => front.now += time,
            }
            prop_assert!(front.owes.len() <= most);
            prop_assert_eq!(front.admission.len(), front.owes.len());
        }
        let all: Vec<u64> = front.owes.keys().copied().collect();
        all.into_iter().for_each(|number| front.close(number));
        prop_assert!(front.admission.is_empty());
    }
}
