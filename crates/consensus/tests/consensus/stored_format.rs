//! Compatibility of the stored format and the wire format: what release 0.2 wrote and sent is decoded completely, and is
//! still encoded to the same bytes.
//!
//! Three stores of one process: `fixtures/log` after [`CHANGES`] changes, the first of which were trimmed from the log and
//! are only in the table; `fixtures/log-ending` after the log has decided the next configuration; `fixtures/log-begun` in
//! that next configuration. `fixtures/messages.txt` has one message per line: sender, recipient, and bytes as hex digits.

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

/// The number of changes decided in the first configuration.
const CHANGES: u64 = 24;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn copy_fixture(name: &str) -> TempDir {
    let copy = tempfile::tempdir().expect("the folder is created");
    for entry in fs::read_dir(fixture(name)).expect("the fixture exists") {
        let entry = entry.expect("the entry is read");
        fs::copy(entry.path(), copy.path().join(entry.file_name())).expect("the file is copied");
    }
    copy
}

fn open_storage(path: &Path) -> impl DurableStorage {
    open_log_store(OsFolder::new(path, true).expect("the folder is created"))
        .expect("the store opens")
}

fn load_values(path: &Path) -> BTreeMap<Vec<u8>, Vec<u8>> {
    open_storage(path).load().expect("the storage is read")
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let byte =
        |position: usize| u8::from_str_radix(&hex[position..position + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn settings(node_id: u64) -> Settings {
    Settings {
        retained_entries: 4,
        ..Settings::new(node_id, vec![1, 2, 3])
    }
}

/// Returns the change that process 1 proposed with this sequence number. The changes cover each kind of subject; the last two
/// are a removal and a change whose expected epoch is stale.
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
    let removed_subject = Subject {
        kind: SubjectKind::Routes,
        name: "subject-1".to_owned(),
    };
    match number {
        23 => Change {
            id,
            subject: removed_subject,
            value: None,
            expected_epoch: Some(1),
        },
        24 => Change {
            id,
            subject: removed_subject,
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

/// Returns the table after the changes up to this epoch.
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
    let copy = copy_fixture("log");
    let RecoveredLog {
        log,
        configuration,
        table: stored_table,
        initial_table,
    } = RecoveredLog::open(open_storage(copy.path())).expect("the log is recovered");
    let configuration = configuration.expect("the store has a configuration");
    assert_eq!(
        (
            configuration.id,
            configuration.members,
            configuration.base_epoch
        ),
        (1, vec![1, 2, 3], 0)
    );
    assert_eq!(initial_table, Table::default());
    assert!(
        (1..CHANGES).contains(&stored_table.epoch),
        "{}",
        stored_table.epoch
    );
    assert_eq!(stored_table, table(stored_table.epoch));
    let changes = log.entries(0..usize::MAX);
    let compacted = CHANGES - changes.len() as u64;
    assert!((1..=stored_table.epoch).contains(&compacted), "{compacted}");
    assert!(changes
        .into_iter()
        .eq((compacted + 1..=CHANGES).map(change)));
    let decided = log.get_decided_idx().expect("the storage is read");
    assert_eq!(
        (
            decided as u64,
            log.get_compacted_idx().expect("the storage is read") as u64
        ),
        (CHANGES, compacted)
    );
    let promise = log
        .get_promise()
        .expect("the storage is read")
        .expect("a ballot was promised");
    assert!(
        (1..=3).contains(&promise.pid) && promise.config_id == 1,
        "{promise:?}"
    );
    assert_eq!(
        log.get_accepted_round().expect("the storage is read"),
        Some(promise)
    );
}

#[test]
fn node_starts_with_the_table_decided_in_release_0_2() {
    let copy = copy_fixture("log");
    let node =
        Node::new(settings(1), open_storage(copy.path()), Incarnation(2)).expect("the node starts");
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
    let copy = copy_fixture("log");
    let expected = load_values(copy.path());
    let RecoveredLog {
        log: recorded_log,
        configuration,
        table: stored_table,
        ..
    } = RecoveredLog::open(open_storage(copy.path())).expect("the log is recovered");
    let mut new_log = RecoveredLog::open(FaultyDisk::default())
        .expect("an empty log is recovered")
        .log;
    let configuration = configuration.expect("the store has a configuration");
    new_log.record_configuration(&configuration);
    new_log
        .append_entries((1..=CHANGES).map(change).collect())
        .expect("the write is buffered");
    new_log
        .trim(
            recorded_log
                .get_compacted_idx()
                .expect("the storage is read"),
        )
        .expect("the write is buffered");
    new_log
        .set_decided_idx(recorded_log.get_decided_idx().expect("the storage is read"))
        .expect("the write is buffered");
    let promise = recorded_log
        .get_promise()
        .expect("the storage is read")
        .expect("a ballot was promised");
    new_log.set_promise(promise).expect("the write is buffered");
    new_log
        .set_accepted_round(promise)
        .expect("the write is buffered");
    new_log
        .flush(&stored_table, configuration.base_epoch)
        .expect("the flush succeeds");
    let written = new_log
        .with_storage_mut(DurableStorage::load)
        .expect("the storage is read");
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
        "the key of the last change contains its index"
    );
}

#[test]
fn reads_and_writes_stop_sign_as_release_0_2_does() {
    let copy = copy_fixture("log-ending");
    let expected = load_values(copy.path());
    let RecoveredLog {
        log, configuration, ..
    } = RecoveredLog::open(open_storage(copy.path())).expect("the log is recovered");
    assert_eq!(configuration.map(|configuration| configuration.id), Some(1));
    let stop_sign = log
        .get_stopsign()
        .expect("the storage is read")
        .expect("the log has a stop sign");
    assert_eq!(
        (
            stop_sign.next_config.configuration_id,
            &stop_sign.next_config.nodes
        ),
        (2, &vec![1, 2, 4])
    );
    let mut new_log = RecoveredLog::open(FaultyDisk::default())
        .expect("an empty log is recovered")
        .log;
    new_log
        .set_stopsign(Some(stop_sign))
        .expect("the write is buffered");
    new_log
        .flush(&Table::default(), 0)
        .expect("the flush succeeds");
    let key = &b"stop"[..];
    let written = new_log
        .with_storage_mut(DurableStorage::load)
        .expect("the storage is read");
    assert_eq!(written.get(key), expected.get(key));
    assert!(written.contains_key(key));
}

#[test]
fn reads_and_writes_initial_table_of_later_configuration_as_release_0_2_does() {
    let copy = copy_fixture("log-begun");
    let RecoveredLog {
        configuration,
        table: stored_table,
        initial_table,
        ..
    } = RecoveredLog::open(open_storage(copy.path())).expect("the log is recovered");
    let configuration = configuration.expect("the store has a configuration");
    assert_eq!(
        (
            configuration.id,
            &configuration.members,
            configuration.base_epoch
        ),
        (2, &vec![1, 2, 4], CHANGES)
    );
    assert_eq!(
        (&stored_table, &initial_table),
        (&table(CHANGES), &table(CHANGES))
    );
    let new_log = RecoveredLog::open(FaultyDisk::default())
        .expect("an empty log is recovered")
        .log;
    new_log.reset(&configuration, &initial_table);
    new_log
        .flush(&initial_table, configuration.base_epoch)
        .expect("the flush succeeds");
    let (written, expected) = (
        new_log
            .with_storage_mut(DurableStorage::load)
            .expect("the storage is read"),
        load_values(copy.path()),
    );
    assert_eq!(
        written.keys().map(Vec::as_slice).collect::<Vec<_>>(),
        [&b"begun"[..], b"group"]
    );
    for (key, value) in written {
        assert_eq!(Some(&value), expected.get(&key), "{}", key.escape_ascii());
    }
    let node =
        Node::new(settings(1), open_storage(copy.path()), Incarnation(2)).expect("the node starts");
    assert_eq!(
        (node.configuration(), node.table()),
        (&configuration, &initial_table)
    );
}

#[test]
fn decodes_and_encodes_each_message_as_release_0_2_does() {
    let text = fs::read_to_string(fixture("messages.txt")).expect("the messages are read");
    let mut kinds = BTreeMap::new();
    for line in text.lines() {
        let fields: Vec<&str> = line.split(' ').collect();
        let [sender, recipient, encoded] = fields[..] else {
            panic!("malformed line {line:?}")
        };
        let (sender, recipient) = (
            sender.parse().expect("the sender is a number"),
            recipient.parse().expect("the recipient is a number"),
        );
        let endpoints = Endpoints { sender, recipient };
        let message = Message::decode(&decode_hex(encoded), endpoints).expect(line);
        assert_eq!(encode_hex(&message.encode()), encoded);
        match message {
            Message::Paxos {
                configuration,
                message,
            } => {
                assert_eq!(
                    (message.get_sender(), message.get_receiver()),
                    (sender, recipient)
                );
                *kinds.entry(("paxos", configuration)).or_insert(0) += 1;
            }
            Message::AcceptedIndexRequest {
                configuration,
                probe,
            } => {
                assert_eq!(probe, ProbeId(1));
                *kinds.entry(("request", configuration)).or_insert(0) += 1;
            }
            Message::AcceptedIndexResponse {
                configuration,
                probe,
                accepted_index,
            } => {
                assert_eq!((probe, accepted_index), (ProbeId(1), LogIndex(0)));
                *kinds.entry(("response", configuration)).or_insert(0) += 1;
            }
            Message::InstallConfiguration {
                configuration,
                initial_table,
            } => {
                assert_eq!(
                    (configuration.members, configuration.base_epoch),
                    (vec![1, 2, 4], CHANGES)
                );
                assert_eq!(*initial_table, table(CHANGES));
                *kinds.entry(("install", configuration.id)).or_insert(0) += 1;
            }
        }
    }
    let count_of = |kind, configuration| kinds.get(&(kind, configuration)).copied().unwrap_or(0);
    assert_eq!(
        [
            count_of("request", 1),
            count_of("response", 1),
            count_of("install", 2)
        ],
        [1; 3],
        "{kinds:?}"
    );
    // The library's messages for an election and for replicating the log.
    assert!(count_of("paxos", 1) >= 8, "{kinds:?}");
}

#[test]
fn encodes_requests_and_responses_with_the_bytes_of_release_0_2() {
    let text = fs::read_to_string(fixture("messages.txt")).expect("the messages are read");
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
        let encoded = encode_hex(&message.encode());
        assert_eq!(
            text.lines()
                .filter(|line| line.ends_with(&format!(" {encoded}")))
                .count(),
            1,
            "{message:?}"
        );
    }
}
