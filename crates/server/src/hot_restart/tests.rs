use super::*;
use crate::os_host::{OsHost, Service};
use calloop::EventLoop;
use cleatpulley_hot_restart::message::VERSION;

fn turn(
    one: &mut HotRestart<OsHost>,
    now: Micros,
    listens: &[(SocketAddr, Option<&crate::os_host::Listener>)],
) -> Vec<HotRestartStep<OsHost>> {
    let mut steps = Vec::new();
    // Edges are seen by an event loop that does not run here.
    one.on_acceptable();
    one.poll(now, true, listens, Held::default, &mut steps);
    steps
}

/// Guards the process that serves against whoever else comes to its socket: it goes on, and the next successor gets the
/// listening socket.
#[test]
fn a_visitor_that_speaks_otherwise_changes_nothing_for_the_next() {
    let event_loop: EventLoop<'static, Box<dyn Service>> =
        EventLoop::try_new().expect("an event loop");
    let world = OsHost::new(event_loop.handle());
    let folder = std::env::temp_dir().join(format!("cleatpulley-visit-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (listener, address) = world
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0)
        .expect("a listening socket");
    let meeting = HandoverAddress {
        folder: folder.clone(),
        name: "n1".to_owned(),
        address,
    };
    let fresh = HandoverAddress {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        ..meeting.clone()
    };
    let mut old = HotRestart::new(world.clone(), fresh, &[]);
    assert!(old.serves());
    old.listen_for_successors(address);
    let listens = [(address, Some(&listener))];
    let hello = |name: &str| Message::Hello {
        version: VERSION,
        name: name.into(),
        listen: vec![address],
    };
    let mut now = world.now();
    for odd in [
        b"GET / HTTP/1.1".to_vec(),
        vec![0xFF; 70_000],
        hello("n2").encode(),
        Message::Take {}.encode(),
    ] {
        let visitor = world
            .connect_to_predecessor(&meeting, SocketOwner::Predecessor)
            .expect("it is there");
        visitor.send(&odd, &[]).expect("it is taken");
        assert!(turn(&mut old, now, &listens).is_empty());
        assert!(
            old.serves() && old.after.0.receives(),
            "{}",
            odd.escape_ascii()
        );
    }
    // One that says nothing is in the way for a while, and no longer.
    let silent = world
        .connect_to_predecessor(&meeting, SocketOwner::Predecessor)
        .expect("it is there");
    turn(&mut old, now, &listens);
    let second = world
        .connect_to_predecessor(&meeting, SocketOwner::Predecessor)
        .expect("it is there");
    turn(&mut old, now, &listens);
    let (bytes, _) = second.receive().expect("an answer");
    assert!(matches!(
        Message::decode(&bytes),
        Ok(Message::Refused { .. })
    ));
    now += predecessor::PATIENCE;
    turn(&mut old, now, &listens);
    assert!(old.after.0.receives());
    drop(silent);
    let mut new = HotRestart::new(world.clone(), meeting, &[address]);
    assert!(!new.serves());
    turn(&mut old, now, &listens);
    let steps = turn(&mut new, now, &[]);
    let adopts = |step: &HotRestartStep<OsHost>| matches!(step, HotRestartStep::Adopt(passed) if passed.len() == 1);
    assert!(steps.iter().any(adopts), "the socket came");
    turn(&mut new, now, &[]);
    let steps = turn(&mut old, now, &listens);
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::Yield))
            && old.succeeded()
    );
    old.yielded(Held::default(), String::new(), Vec::new());
    let steps = turn(&mut new, now, &[]);
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::Serve))
            && new.serves()
    );
    drop(new);
    let steps = turn(&mut old, now, &listens);
    assert!(
        steps.is_empty() && old.is_orphaned(),
        "another may have the place"
    );
    now += predecessor::ORPHANED;
    let steps = turn(&mut old, now, &listens);
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, HotRestartStep::Resume))
            && old.serves(),
        "it takes clients again"
    );
    std::fs::remove_dir_all(&folder).expect("it was there");
}

/// Guards the cores and the descriptors against two processes that take each other's share: the first of three is found by
/// the third once the one between them died, and what it has counts there until it is free.
#[test]
fn one_whose_successor_died_goes_behind_the_next_which_leaves_it_its_share() {
    let event_loop: EventLoop<'static, Box<dyn Service>> =
        EventLoop::try_new().expect("an event loop");
    let world = OsHost::new(event_loop.handle());
    let folder = std::env::temp_dir().join(format!("cleatpulley-chain-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (listener, address) = world
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0)
        .expect("a listening socket");
    let meeting = HandoverAddress {
        folder: folder.clone(),
        name: "n1".to_owned(),
        address,
    };
    let fresh = HandoverAddress {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        ..meeting.clone()
    };
    let mut first = HotRestart::new(world.clone(), fresh.clone(), &[]);
    first.listen_for_successors(address);
    let listens = [(address, Some(&listener))];
    let mut second = HotRestart::new(world.clone(), meeting, &[address]);
    let mut now = world.now();
    turn(&mut first, now, &listens);
    turn(&mut second, now, &[]);
    turn(&mut second, now, &[]);
    turn(&mut first, now, &listens);
    assert!(first.succeeded());
    first.yielded(Held::default(), String::new(), Vec::new());
    turn(&mut second, now, &[]);
    assert!(second.serves());
    let mut third = HotRestart::new(world.clone(), fresh, &[]);
    third.listen_for_successors(address);
    drop(second);
    let left = Held {
        running: 3,
        memory_kb: 40.0,
        calls: 2,
        descriptors: 9,
    };
    let mut steps = Vec::new();
    first.poll(now, true, &listens, || left, &mut steps);
    assert!(
        steps.is_empty() && first.succeeded() && !first.is_orphaned(),
        "it takes no clients again"
    );
    let share = |steps: &[HotRestartStep<OsHost>]| {
        let beside = |step: &HotRestartStep<OsHost>| match step {
            HotRestartStep::Beside(held) => Some(*held),
            _ => None,
        };
        steps.iter().filter_map(beside).next_back()
    };
    assert_eq!(share(&turn(&mut third, now, &listens)), Some(left));
    assert!(third.has_predecessor(), "and is waited for");
    drop(first);
    let steps = turn(&mut third, now, &listens);
    assert_eq!(share(&steps), Some(left), "what runs can't be stopped");
    now += 1_000_000;
    let runs = Held {
        running: 3,
        memory_kb: 40.0,
        ..Held::default()
    };
    assert_eq!(
        share(&turn(&mut third, now, &listens)),
        Some(runs),
        "its connections are gone"
    );
    now += 3_000_000;
    assert_eq!(
        share(&turn(&mut third, now, &listens)),
        Some(Held::default())
    );
    assert!(!third.has_predecessor());
    std::fs::remove_dir_all(&folder).expect("it was there");
}
