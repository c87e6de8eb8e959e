//! The log that processes agree on keeps its bytes, on the disk and on the wire: what release 0.2 wrote and sent is read
//! in full, and the same is still written.
//!
//! Three stores of one process: `fixtures/log` after [`CHANGES`] changes, the first of which are in the table alone;
//! `fixtures/log-ending` where its group has agreed on the next; `fixtures/log-begun` in that next group.
//! `fixtures/messages.txt` has a message in each line: who sent it, to whom, and its bytes as hex digits.

use crate::faulty_disk::FaultyDisk;
use cleatpulley_consensus::change::LogIndex;
use cleatpulley_consensus::lease::ProbeId;
use cleatpulley_consensus::message::{Endpoints, Message};
use cleatpulley_consensus::storage::open_log_store;
use cleatpulley_consensus::{
    Change, ChangeId, DurableStorage, Incarnation, Node, Outcome, RecoveredLog, Settings, Subject,
    SubjectKind, Table,
};
use cleatpulley_log_store::files::OsFolder;
use omnipaxos::storage::Storage;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Changes that the first group has decided.
const CHANGES: u64 = 24;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn copy_of(name: &str) -> TempDir {
    let copy = tempfile::tempdir().expect("a folder");
    for entry in fs::read_dir(fixture(name)).expect("the fixture is there") {
        let entry = entry.expect("an entry");
        fs::copy(entry.path(), copy.path().join(entry.file_name())).expect("it is copied");
    }
    copy
}

fn disk(path: &Path) -> impl DurableStorage {
    open_log_store(OsFolder::new(path, true).expect("a folder")).expect("it opens")
}

fn stored(path: &Path) -> BTreeMap<Vec<u8>, Vec<u8>> {
    disk(path).load().expect("it is read")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pair = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(pair).collect()
}

fn settings(me: u64) -> Settings {
    Settings {
        retained_entries: 4,
        ..Settings::new(me, vec![1, 2, 3])
    }
}

/// What process 1 asked for, in this order: each kind of subject, the last two a removal and one that came too late.
fn change(number: u64) -> Change {
    let id = ChangeId {
        proposer: 1,
        incarnation: Incarnation(1),
        sequence: number,
    };
    let kind = SubjectKind::ALL[(number as usize - 1) % SubjectKind::ALL.len()];
    let subject = Subject {
        kind,
        name: format!("subject-{}", number % 10),
    };
    let last = Subject {
        kind: SubjectKind::Routes,
        name: "subject-1".to_owned(),
    };
    match number {
        23 => Change {
            id,
            subject: last,
            value: None,
            expected_epoch: Some(1),
        },
        24 => Change {
            id,
            subject: last,
            value: Some(b"late".to_vec()),
            expected_epoch: Some(1),
        },
        _ => Change {
            id,
            subject,
            value: Some(format!("value {number}").into_bytes()),
            expected_epoch: None,
        },
    }
}

/// The table after so many changes.
fn table(epoch: u64) -> Table {
    let mut table = Table::default();
    for number in 1..=epoch {
        let outcome = table.apply(&change(number));
        assert_eq!(
            outcome,
            if number == 24 {
                Outcome::Conflict(0)
            } else {
                Outcome::Applied
            },
            "{number}"
        );
    }
    table
}

#[test]
fn opens_the_log_and_the_table_written_by_release_0_2() {
    let copy = copy_of("log");
    let RecoveredLog {
        log,
        configuration: group,
        table: kept,
        initial_table: begun,
    } = RecoveredLog::open(disk(copy.path())).expect("a log");
    let group = group.expect("a group");
    assert_eq!(
        (group.id, group.members, group.base_epoch),
        (1, vec![1, 2, 3], 0)
    );
    assert_eq!(begun, Table::default());
    assert!((1..CHANGES).contains(&kept.epoch), "{}", kept.epoch);
    assert_eq!(kept, table(kept.epoch));
    let changes = log.entries(0..usize::MAX);
    let compacted = CHANGES - changes.len() as u64;
    assert!((1..=kept.epoch).contains(&compacted), "{compacted}");
    assert!(changes
        .into_iter()
        .eq((compacted + 1..=CHANGES).map(change)));
    let decided = log.get_decided_idx().expect("it is read");
    assert_eq!(
        (
            decided as u64,
            log.get_compacted_idx().expect("it is read") as u64
        ),
        (CHANGES, compacted)
    );
    let promise = log
        .get_promise()
        .expect("it is read")
        .expect("one was made");
    assert!(
        (1..=3).contains(&promise.pid) && promise.config_id == 1,
        "{promise:?}"
    );
    assert_eq!(log.get_accepted_round().expect("it is read"), Some(promise));
}

#[test]
fn a_process_goes_on_with_what_release_0_2_has_decided() {
    let copy = copy_of("log");
    let node = Node::new(settings(1), disk(copy.path()), Incarnation(2)).expect("it starts");
    assert_eq!(*node.table(), table(CHANGES));
    let routes = |number: u64| Subject {
        kind: SubjectKind::Routes,
        name: format!("subject-{number}"),
    };
    assert_eq!(node.table().get(&routes(8)), Some((8, &b"value 8"[..])));
    assert_eq!(node.table().get(&routes(1)), None);
}

#[test]
fn writes_the_log_with_the_bytes_of_release_0_2() {
    let copy = copy_of("log");
    let expected = stored(copy.path());
    let RecoveredLog {
        log: theirs,
        configuration: group,
        table: kept,
        ..
    } = RecoveredLog::open(disk(copy.path())).expect("a log");
    let mut ours = RecoveredLog::open(FaultyDisk::default())
        .expect("an empty one")
        .log;
    let group = group.expect("a group");
    ours.record_configuration(&group);
    ours.append_entries((1..=CHANGES).map(change).collect())
        .expect("it is gathered");
    ours.trim(theirs.get_compacted_idx().expect("it is read"))
        .expect("it is gathered");
    ours.set_decided_idx(theirs.get_decided_idx().expect("it is read"))
        .expect("it is gathered");
    let promise = theirs
        .get_promise()
        .expect("it is read")
        .expect("one was made");
    ours.set_promise(promise).expect("it is gathered");
    ours.set_accepted_round(promise).expect("it is gathered");
    ours.flush(&kept, group.base_epoch).expect("it is written");
    let written = ours
        .with_storage_mut(DurableStorage::load)
        .expect("it is read");
    assert_eq!(written, expected);
    let keys: BTreeSet<&[u8]> = expected
        .keys()
        .map(Vec::as_slice)
        .filter(|key| key.len() != 10)
        .collect();
    let named: [&[u8]; 6] = [
        b"compacted",
        b"decided",
        b"group",
        b"promise",
        b"round",
        b"table",
    ];
    assert_eq!(keys, BTreeSet::from(named));
    assert!(
        expected.contains_key(&b"c\0\0\0\0\0\0\0\0\x17"[..]),
        "the last change has its place in its key"
    );
}

#[test]
fn reads_and_writes_the_sign_that_ends_a_group_as_release_0_2_does() {
    let copy = copy_of("log-ending");
    let expected = stored(copy.path());
    let RecoveredLog {
        log,
        configuration: group,
        ..
    } = RecoveredLog::open(disk(copy.path())).expect("a log");
    assert_eq!(group.map(|group| group.id), Some(1));
    let stop = log
        .get_stopsign()
        .expect("it is read")
        .expect("the group ends");
    assert_eq!(
        (stop.next_config.configuration_id, &stop.next_config.nodes),
        (2, &vec![1, 2, 4])
    );
    let mut ours = RecoveredLog::open(FaultyDisk::default())
        .expect("an empty one")
        .log;
    ours.set_stopsign(Some(stop)).expect("it is gathered");
    ours.flush(&Table::default(), 0).expect("it is written");
    let key = &b"stop"[..];
    let written = ours
        .with_storage_mut(DurableStorage::load)
        .expect("it is read");
    assert_eq!(written.get(key), expected.get(key));
    assert!(written.contains_key(key));
}

#[test]
fn reads_and_writes_the_beginning_of_a_later_group_as_release_0_2_does() {
    let copy = copy_of("log-begun");
    let RecoveredLog {
        configuration: group,
        table: kept,
        initial_table: begun,
        ..
    } = RecoveredLog::open(disk(copy.path())).expect("a log");
    let group = group.expect("a group");
    assert_eq!(
        (group.id, &group.members, group.base_epoch),
        (2, &vec![1, 2, 4], CHANGES)
    );
    assert_eq!((&kept, &begun), (&table(CHANGES), &table(CHANGES)));
    let ours = RecoveredLog::open(FaultyDisk::default())
        .expect("an empty one")
        .log;
    ours.reset(&group, &begun);
    ours.flush(&begun, group.base_epoch).expect("it is written");
    let (written, expected) = (
        ours.with_storage_mut(DurableStorage::load)
            .expect("it is read"),
        stored(copy.path()),
    );
    assert_eq!(
        written.keys().map(Vec::as_slice).collect::<Vec<_>>(),
        [&b"begun"[..], b"group"]
    );
    for (key, value) in written {
        assert_eq!(Some(&value), expected.get(&key), "{}", key.escape_ascii());
    }
    let node = Node::new(settings(1), disk(copy.path()), Incarnation(2)).expect("it starts");
    assert_eq!((node.configuration(), node.table()), (&group, &begun));
}

#[test]
fn reads_and_sends_each_message_as_release_0_2_does() {
    let text = fs::read_to_string(fixture("messages.txt")).expect("messages");
    let mut kinds = BTreeMap::new();
    for line in text.lines() {
        let parts: Vec<&str> = line.split(' ').collect();
        let [from, to, said] = parts[..] else {
            panic!("{line:?} is no message")
        };
        let (from, to) = (
            from.parse().expect("a number"),
            to.parse().expect("a number"),
        );
        let endpoints = Endpoints {
            sender: from,
            recipient: to,
        };
        let message = Message::decode(&bytes(said), endpoints).expect(line);
        assert_eq!(hex(&message.encode()), said);
        match message {
            Message::Paxos {
                configuration: group,
                message,
            } => {
                assert_eq!((message.get_sender(), message.get_receiver()), (from, to));
                *kinds.entry(("paxos", group)).or_insert(0) += 1;
            }
            Message::AcceptedIndexRequest {
                configuration: group,
                probe,
            } => {
                assert_eq!(probe, ProbeId(1));
                *kinds.entry(("ask", group)).or_insert(0) += 1;
            }
            Message::AcceptedIndexResponse {
                configuration: group,
                probe,
                accepted_index,
            } => {
                assert_eq!((probe, accepted_index), (ProbeId(1), LogIndex(0)));
                *kinds.entry(("answer", group)).or_insert(0) += 1;
            }
            Message::InstallConfiguration {
                configuration: group,
                initial_table: begun,
            } => {
                assert_eq!((group.members, group.base_epoch), (vec![1, 2, 4], CHANGES));
                assert_eq!(*begun, table(CHANGES));
                *kinds.entry(("begin", group.id)).or_insert(0) += 1;
            }
        }
    }
    let of = |kind, group| kinds.get(&(kind, group)).copied().unwrap_or(0);
    assert_eq!(
        [of("ask", 1), of("answer", 1), of("begin", 2)],
        [1; 3],
        "{kinds:?}"
    );
    // The library's messages that its election and its log need.
    assert!(of("paxos", 1) >= 8, "{kinds:?}");
}

#[test]
fn sends_questions_and_answers_with_the_bytes_of_release_0_2() {
    let text = fs::read_to_string(fixture("messages.txt")).expect("messages");
    for message in [
        Message::AcceptedIndexRequest {
            configuration: 1,
            probe: ProbeId(1),
        },
        Message::AcceptedIndexResponse {
            configuration: 1,
            probe: ProbeId(1),
            accepted_index: LogIndex(0),
        },
    ] {
        let said = hex(&message.encode());
        assert_eq!(
            text.lines()
                .filter(|line| line.ends_with(&format!(" {said}")))
                .count(),
            1,
            "{message:?}"
        );
    }
}
