//! Seeds of processes that agree while sessions break, halves are cut off, processes stand still, die and return.

mod group;

use cleatpulley_consensus::storage::Loses;
use cleatpulley_consensus::{Event, Kind, Node, NodeId, Settings, Subject};
use group::{World, MS, SECOND};

/// One seed: trouble for a while, then peace, in which all has to come to the same.
fn play(seed: u64, members: &[NodeId], loses: Loses) -> World {
    let mut world = World::new(seed, members);
    world.lose(loses);
    world.run(SECOND);
    for _ in 0..30 {
        let id = members[world.random(members.len() as u64) as usize];
        let other = members[world.random(members.len() as u64) as usize];
        match world.random(12) {
            0 => world.crash(id),
            1 | 2 if !world.nodes.contains_key(&id) => {
                world.start(id);
                world.lose(loses);
            }
            3 if id != other
                && world.nodes.contains_key(&id)
                && world.nodes.contains_key(&other) =>
            {
                world.connect(id, other)
            }
            4 => {
                world.cut.insert((id, other));
            }
            5 => members.iter().for_each(|peer| {
                world.cut.insert((id, *peer));
                world.cut.insert((*peer, id));
            }),
            6 | 7 => heal(&mut world, members),
            8 => {
                let until = world.now + world.random(4 * SECOND);
                world.paused.insert(id, until);
            }
            9 => world.slow = 1 + world.random(60 * MS),
            _ => {}
        }
        for _ in 0..world.random(4) {
            let (id, name) = (
                members[world.random(members.len() as u64) as usize],
                world.random(5),
            );
            world.propose(id, name);
        }
        let lasts = world.random(900 * MS);
        world.run(lasts);
    }
    if loses == Loses::Nothing {
        members
            .iter()
            .filter(|id| !world.nodes.contains_key(id))
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| world.start(id));
        heal(&mut world, members);
        world.paused.clear();
        world.slow = 5 * MS;
        world.run(20 * SECOND);
    }
    world
}

/// What was cut without anybody's notice is met as a new session, as one that is dead is replaced.
fn heal(world: &mut World, members: &[NodeId]) {
    world.cut.clear();
    for one in members {
        for other in members.iter().filter(|other| *other > one) {
            if world.nodes.contains_key(one) && world.nodes.contains_key(other) {
                world.connect(*one, *other);
            }
        }
    }
}

#[test]
fn whatever_fails_all_agree_on_what_was_decided_and_each_change_counts_once() {
    let (mut decided, mut lost) = (0, 0);
    for seed in 0..120 {
        let members: &[NodeId] = if seed % 3 == 0 {
            &[1, 2, 3, 4, 5]
        } else {
            &[1, 2, 3]
        };
        let world = play(seed, members, Loses::Nothing);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.disagrees(), None, "seed {seed}");
        decided += world.decided.len();
        lost += world.leases_lost;
    }
    // Nobody should trust seeds in which nothing was decided, or no lease ended.
    assert!(
        decided > 2_000 && lost > 100,
        "{decided} decided, {lost} leases ended"
    );
}

/// A disk that loses what it said is durable is found by the same seeds.
#[test]
fn a_disk_that_forgets_is_found() {
    for loses in [Loses::Syncs, Loses::Newest] {
        let found = (0..200).find(|seed| !play(*seed, &[1, 2, 3], loses).broken.is_empty());
        assert!(found.is_some(), "{loses:?}");
    }
}

#[test]
fn a_part_that_is_cut_off_changes_nothing_and_says_when_its_epoch_is_no_longer_to_be_acted_on() {
    let mut world = World::new(5, &[1, 2, 3, 4, 5]);
    world.run(3 * SECOND);
    let leader = world.nodes[&1].leader().expect("one leads");
    let rest: Vec<NodeId> = (1..=5).filter(|id| *id != leader).collect();
    for id in &rest {
        world.cut.extend([(leader, *id), (*id, leader)]);
    }
    let since = world.now;
    world.propose(leader, 1);
    world.propose(rest[0], 2);
    world.run(10 * SECOND);
    assert_eq!(
        world.decided.len(),
        1,
        "what the leader of before asked for is not decided"
    );
    let ends = world
        .events
        .iter()
        .find(|(at, id, event)| *at > since && *id == leader && *event == Event::Lease(false));
    let lasted = ends.expect("it is told").0 - since;
    assert!(
        lasted <= world.settings.lease && lasted + SECOND > world.settings.lease,
        "{lasted}"
    );
    assert!(world.nodes[&rest[1]].lease().holds(world.now));
    heal(&mut world, &[1, 2, 3, 4, 5]);
    world.run(5 * SECOND);
    assert_eq!(world.disagrees(), None);
    assert_eq!(world.decided.len(), 2, "and is once it is heard");
}

#[test]
fn a_leader_that_stands_still_finds_its_lease_over_before_it_does_anything() {
    let mut world = World::new(6, &[1, 2, 3]);
    world.run(3 * SECOND);
    let leader = world.nodes[&1].leader().expect("one leads");
    let (since, until) = (world.now, world.now + 10 * SECOND);
    world.paused.insert(leader, until);
    let other = 1 + leader % 3;
    world.propose(other, 1);
    world.run(9 * SECOND);
    assert_eq!(world.decided.len(), 1, "the others went on");
    world.run(5 * SECOND);
    let first = world
        .events
        .iter()
        .find(|(at, id, _)| *at >= since + 9 * SECOND && *id == leader);
    assert_eq!(
        first.map(|(_, _, event)| event.clone()),
        Some(Event::Lease(false))
    );
    assert_eq!(world.disagrees(), None);
}

#[test]
fn the_group_changes_and_a_new_process_takes_up_what_was_decided() {
    for seed in 0..10 {
        let mut world = World::new(seed, &[1, 2, 3]);
        world.run(2 * SECOND);
        (0..5).for_each(|name| world.propose(1, name));
        world.run(4 * SECOND);
        // The fourth takes the third's place.
        world.start(4);
        world.run(SECOND);
        assert!(world.nodes[&4].leader().is_none(), "it does not agree yet");
        world
            .nodes
            .get_mut(&2)
            .expect("it runs")
            .propose_group(vec![1, 2, 4])
            .expect("it can be asked for");
        world.propose(1, 9);
        world.run(4 * SECOND);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        for id in [1, 2, 4] {
            assert_eq!(
                world.nodes[&id].group().members,
                vec![1, 2, 4],
                "seed {seed}: {id}"
            );
        }
        world.crash(3);
        world.propose(4, 7);
        world.run(4 * SECOND);
        assert_eq!(world.disagrees(), None, "seed {seed}");
        assert_eq!(world.decided.len(), 7, "seed {seed}: {:?}", world.decided);
        // And all of it is found again after a loss of power.
        let table = world.nodes[&4].table().clone();
        [1, 2, 4].into_iter().for_each(|id| world.crash(id));
        [1, 2, 4].into_iter().for_each(|id| world.start(id));
        world.run(4 * SECOND);
        assert_eq!(world.nodes[&4].table(), &table, "seed {seed}");
        assert_eq!(world.nodes[&1].table(), &table, "seed {seed}");
    }
}

#[test]
fn the_log_is_trimmed_to_what_all_have_and_a_restart_finds_the_table() {
    let mut world = World::new(3, &[1, 2, 3]);
    world.settings.keep = 8;
    [1, 2, 3].into_iter().for_each(|id| world.crash(id));
    [1, 2, 3].into_iter().for_each(|id| world.start(id));
    world.run(2 * SECOND);
    for round in 0..100 {
        world.propose(1 + round % 3, round % 7);
        world.run(120 * MS);
    }
    world.run(5 * SECOND);
    assert_eq!(world.disagrees(), None);
    let table = world.nodes[&1].table().clone();
    assert_eq!(table.epoch, 100);
    let kept = world.nodes[&1].log().changes(0, 1_000).len();
    assert!(kept < 40, "{kept} changes are kept");
    [1, 2, 3].into_iter().for_each(|id| world.crash(id));
    [1, 2, 3].into_iter().for_each(|id| world.start(id));
    assert_eq!(world.nodes[&2].table(), &table, "before anybody is heard");
    world.propose(2, 3);
    world.run(4 * SECOND);
    assert_eq!(
        (world.disagrees(), world.nodes[&3].table().epoch),
        (None, 101)
    );
}

#[test]
fn a_disk_that_fails_ends_what_the_process_says_and_the_others_go_on() {
    let mut world = World::new(8, &[1, 2, 3]);
    world.run(2 * SECOND);
    let leader = world.nodes[&1].leader().expect("one leads");
    world.nodes[&leader]
        .log()
        .disk_mut(|disk| disk.fails = true);
    world.propose(leader, 1);
    world.run(SECOND);
    assert_eq!(world.broken, vec![format!("{leader}: the disk is full")]);
    world.broken.clear();
    let other = 1 + leader % 3;
    world.propose(other, 2);
    world.run(5 * SECOND);
    assert_eq!(world.nodes[&other].waiting(), 0);
}

#[test]
fn what_can_not_be_is_told() {
    let fault = |settings: Settings| settings.check().expect_err("can't be").0;
    assert_eq!(fault(Settings::new(0, vec![1, 2, 3])), "me");
    assert_eq!(fault(Settings::new(1, vec![1, 2])), "members");
    assert_eq!(fault(Settings::new(1, vec![1, 2, 2])), "members");
    assert_eq!(
        fault(Settings {
            lease: 1,
            ..Settings::new(1, vec![1, 2, 3])
        }),
        "lease"
    );
    let mut node: Node<_> = Node::new(
        Settings::new(1, vec![1, 2, 3]),
        cleatpulley_consensus::Forgetful::default(),
        1,
    )
    .expect("it starts");
    let long = Subject {
        kind: Kind::Pool,
        name: String::new(),
    };
    assert!(node.propose(0, long, None, None).is_err());
    assert!(node.propose_group(vec![1, 2]).is_err());
    // A message in another's name is not believed: the library counts on the names.
    assert!(node.hear(0, 2, &[0xFF; 40]).is_err());
}
