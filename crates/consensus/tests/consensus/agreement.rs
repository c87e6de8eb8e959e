//! Agreement on seeds, while sessions break, links are cut, and processes are suspended and crash.

use crate::cluster::{Cluster, MS, SECOND};
use crate::faulty_disk::DiskFault;
use crate::link::Link;
use cleatpulley_consensus::NodeId;

/// The number of rounds of faults in one run.
const FAULT_ROUNDS: usize = 30;

/// Runs a cluster through rounds of random faults. Where its disks are sound, all processes then
/// run without faults for long enough to catch up.
fn run_with_faults(seed: u64, members: &[NodeId], disk_fault: DiskFault) -> Cluster {
    let mut cluster = Cluster::new(seed, members);
    cluster.inject_disk_fault(disk_fault);
    cluster.run(SECOND);
    for _ in 0..FAULT_ROUNDS {
        inject_random_fault(&mut cluster, members, disk_fault);
        propose_at_random(&mut cluster, members);
        let duration = cluster.random.below(900 * MS);
        cluster.run(duration);
    }
    if disk_fault == DiskFault::None {
        recover(&mut cluster, members);
    }
    cluster
}

fn random_member(cluster: &mut Cluster, members: &[NodeId]) -> NodeId {
    let index = cluster.random.below(members.len() as u64);
    members[index as usize]
}

fn inject_random_fault(cluster: &mut Cluster, members: &[NodeId], disk_fault: DiskFault) {
    let id = random_member(cluster, members);
    let other = random_member(cluster, members);
    let is_running = cluster.nodes.contains_key(&id);
    let is_other_running = cluster.nodes.contains_key(&other);
    match cluster.random.below(12) {
        0 => cluster.crash(id),
        1 | 2 if !is_running => {
            cluster.start(id);
            cluster.inject_disk_fault(disk_fault);
        }
        3 if id != other && is_running && is_other_running => cluster.connect([id, other]),
        4 => {
            cluster.network.cut.insert(Link {
                sender: id,
                recipient: other,
            });
        }
        5 => {
            for peer in members {
                cluster.network.cut.extend(Link::both([id, *peer]));
            }
        }
        6 | 7 => cluster.heal(members),
        8 => {
            let until = cluster.now + cluster.random.below(4 * SECOND);
            cluster.suspended_until.insert(id, until);
        }
        9 => cluster.network.max_jitter = 1 + cluster.random.below(60 * MS),
        _ => {}
    }
}

fn propose_at_random(cluster: &mut Cluster, members: &[NodeId]) {
    for _ in 0..cluster.random.below(4) {
        let id = random_member(cluster, members);
        let subject_number = cluster.random.below(5);
        cluster.propose(id, subject_number);
    }
}

/// Ends all faults and runs on until everything has to be decided.
fn recover(cluster: &mut Cluster, members: &[NodeId]) {
    for id in members {
        if !cluster.nodes.contains_key(id) {
            cluster.start(*id);
        }
    }
    cluster.heal(members);
    cluster.suspended_until.clear();
    cluster.network.max_jitter = 5 * MS;
    cluster.run(20 * SECOND);
}

#[test]
fn agrees_on_every_epoch_and_applies_each_change_once_under_faults() {
    let mut decided = 0;
    let mut expired_leases = 0;
    for seed in 0..120 {
        let members: &[NodeId] = if seed % 3 == 0 {
            &[1, 2, 3, 4, 5]
        } else {
            &[1, 2, 3]
        };
        let cluster = run_with_faults(seed, members, DiskFault::None);
        assert_eq!(
            cluster.observed.violations,
            Vec::<String>::new(),
            "seed {seed}"
        );
        assert_eq!(cluster.disagreement(), None, "seed {seed}");
        decided += cluster.observed.decided.len();
        expired_leases += cluster.observed.expired_leases;
    }
    // The test proves nothing if no seed decides changes or lets leases expire.
    assert!(
        decided > 2_000 && expired_leases > 100,
        "{decided} decided, {expired_leases} leases expired"
    );
}

/// Proves that the checks work: the same seeds detect a disk that loses what it reported to be durable.
#[test]
fn finds_disks_that_lose_synced_writes() {
    for fault in [DiskFault::IgnoredSyncs, DiskFault::LostNewestEntry] {
        let failing_seed = (0..200).find(|seed| {
            let cluster = run_with_faults(*seed, &[1, 2, 3], fault);
            !cluster.observed.violations.is_empty()
        });
        assert!(failing_seed.is_some(), "{fault:?}");
    }
}
