//! Exploration of the model: in breadth without faults, on random walks with faulty disks.

use crate::faulty_disk::DiskFault;
use crate::link::Link;
use crate::model::{Action, ClusterModel, Participants, State, INVARIANTS};
use cleatpulley_consensus::NodeId;
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};

/// Two processes that propose and two that campaign, one of them both; any may crash.
const PARTICIPANTS: Participants = Participants {
    proposing: &[1, 2],
    campaigning: &[2, 3],
    crashing: &[1, 2, 3],
};

/// Returns the number of states to explore: `MODEL_STATES` where it is set.
fn target_states(default: usize) -> usize {
    std::env::var("MODEL_STATES")
        .ok()
        .and_then(|states| states.parse().ok())
        .unwrap_or(default)
}

/// Returns the invariants that the checker has found violated.
fn violated_invariants(checker: &impl Checker<ClusterModel>) -> Vec<&'static str> {
    INVARIANTS
        .into_iter()
        .filter(|name| checker.discovery(name).is_some())
        .collect()
}

/// Returns models with sound disks that combine different faults and proposals.
fn sound_models() -> [ClusterModel; 4] {
    let sound_disks = ClusterModel {
        max_proposals: 0,
        max_campaigns: 0,
        max_crashes: 0,
        max_reconnects: 0,
        disk_fault: DiskFault::None,
        participants: PARTICIPANTS,
    };
    [
        ClusterModel {
            max_proposals: 2,
            max_campaigns: 1,
            ..sound_disks
        },
        ClusterModel {
            max_proposals: 1,
            max_campaigns: 1,
            max_crashes: 1,
            ..sound_disks
        },
        ClusterModel {
            max_proposals: 1,
            max_campaigns: 1,
            max_reconnects: 1,
            ..sound_disks
        },
        ClusterModel {
            max_proposals: 2,
            max_campaigns: 2,
            max_crashes: 1,
            max_reconnects: 1,
            ..sound_disks
        },
    ]
}

#[test]
fn agrees_in_every_order_of_messages() {
    for model in sound_models() {
        let case = format!(
            "{} proposals, {} campaigns, {} crashes, {} reconnects",
            model.max_proposals, model.max_campaigns, model.max_crashes, model.max_reconnects
        );
        let checker = model
            .checker()
            .threads(4)
            .target_state_count(target_states(3_000))
            .spawn_bfs()
            .join();
        let violated = violated_invariants(&checker);
        let states = checker.unique_state_count();
        let depth = checker.max_depth();
        println!("{case}: {states} states to depth {depth}");
        assert_eq!(violated, Vec::<&str>::new(), "{case}");
        assert!(states >= 1_000, "{case}: {states} states");
    }
}

/// Proves that the checks work: random walks through the same model violate an invariant where the disks are
/// faulty, and never where they are sound.
#[test]
fn random_walks_find_faulty_disks() {
    for fault in [
        DiskFault::None,
        DiskFault::IgnoredSyncs,
        DiskFault::LostAcceptedRounds,
        DiskFault::LostNewestEntry,
    ] {
        let model = ClusterModel {
            max_proposals: 2,
            max_campaigns: 2,
            max_crashes: 2,
            max_reconnects: 0,
            disk_fault: fault,
            participants: PARTICIPANTS,
        };
        let default_states = if fault == DiskFault::None {
            15_000
        } else {
            60_000
        };
        let checker = model
            .checker()
            .target_max_depth(80)
            .target_state_count(target_states(default_states))
            .finish_when(HasDiscoveries::AnyFailures)
            .spawn_simulation(7, UniformChooser)
            .join();
        let violated = violated_invariants(&checker);
        println!(
            "{fault:?}: {violated:?} in {} states",
            checker.state_count()
        );
        assert_eq!(
            violated.is_empty(),
            fault == DiskFault::None,
            "{fault:?}: {violated:?}"
        );
    }
}

/// The result of [`walk_with_crash_after_promise`].
struct WalkResult {
    is_invariant_violated: bool,
    /// The decisions of all processes, to explain a failed assertion.
    decisions: String,
}

/// Walks one path of the model: process 2 promises the ballot of process 3, crashes, and follows
/// process 1 again, which decides a change. A process 2 that has forgotten its promise then helps
/// process 3 to decide another change of the same epoch.
fn walk_with_crash_after_promise(disk_fault: DiskFault) -> WalkResult {
    let model = ClusterModel {
        max_proposals: 2,
        max_campaigns: 1,
        max_crashes: 1,
        max_reconnects: 0,
        disk_fault,
        participants: PARTICIPANTS,
    };
    let mut state = model.init_states().remove(0);
    let apply = |state: &mut State, action| {
        *state = model
            .next_state(state, action)
            .expect("the action is possible");
    };
    let exchange = |state: &mut State, ends: [NodeId; 2]| {
        let [forth, back] = Link::both(ends);
        while model.deliver(state, forth) || model.deliver(state, back) {}
    };
    let [prepare, promise] = Link::both([3, 2]);
    apply(&mut state, Action::Campaign(3));
    apply(&mut state, Action::Deliver(prepare));
    apply(&mut state, Action::Deliver(promise));
    apply(&mut state, Action::Propose(1));
    apply(&mut state, Action::Crash(2));
    exchange(&mut state, [1, 2]);
    exchange(&mut state, [2, 3]);
    apply(&mut state, Action::Propose(3));
    exchange(&mut state, [2, 3]);
    let is_invariant_violated = model
        .properties()
        .iter()
        .filter(|property| INVARIANTS.contains(&property.name))
        .any(|property| !(property.condition)(&model, &state));
    WalkResult {
        is_invariant_violated,
        decisions: format!("{:?}", state.decisions),
    }
}

/// A lost promise does harm on one long path among very many, so that path is walked directly.
#[test]
fn lost_promise_violates_an_invariant() {
    let sound = walk_with_crash_after_promise(DiskFault::None);
    assert!(!sound.is_invariant_violated, "{}", sound.decisions);
    let faulty = walk_with_crash_after_promise(DiskFault::LostPromises);
    assert!(faulty.is_invariant_violated, "{}", faulty.decisions);
}
