//! Tests of the table with changes applied one by one.

use super::{Outcome, Table, MAX_PROPOSERS};
use crate::change::{
    Change, ChangeId, Incarnation, InvalidChange, Subject, SubjectKind, MAX_NAME_BYTES,
};

fn change(proposer: u64, sequence: u64, name: &str, value: Option<&str>) -> Change {
    Change {
        id: ChangeId {
            proposer,
            incarnation: Incarnation(1),
            sequence,
        },
        subject: Subject {
            kind: SubjectKind::Weight,
            name: name.to_owned(),
        },
        value: value.map(|value| value.as_bytes().to_vec()),
        expected_epoch: None,
    }
}

#[test]
fn applies_change_once_however_often_it_is_decided() {
    let mut table = Table::default();
    let first = change(1, 1, "a", Some("1"));
    assert_eq!(table.apply(&first), Outcome::Applied);
    assert_eq!(table.apply(&change(2, 1, "a", Some("2"))), Outcome::Applied);
    assert_eq!(table.apply(&first), Outcome::Duplicate);
    assert_eq!(table.get(&first.subject), Some((2, &b"2"[..])));
    assert_eq!(table.epoch, 3);
    let next_incarnation = Change {
        id: ChangeId {
            incarnation: Incarnation(2),
            ..first.id
        },
        ..first
    };
    assert_eq!(table.apply(&next_incarnation), Outcome::Applied);
}

#[test]
fn rejects_change_whose_expected_epoch_is_stale() {
    let mut table = Table::default();
    let new = Change {
        expected_epoch: Some(0),
        ..change(1, 1, "a", Some("1"))
    };
    assert_eq!(table.apply(&new), Outcome::Applied);
    let late = Change {
        expected_epoch: Some(0),
        ..change(2, 1, "a", Some("2"))
    };
    assert_eq!(table.apply(&late), Outcome::Conflict(1));
    let informed = Change {
        expected_epoch: Some(1),
        ..change(2, 2, "a", None)
    };
    assert_eq!(table.apply(&informed), Outcome::Applied);
    assert!(table.is_empty());
}

#[test]
fn bounds_remembered_proposers_and_names() {
    let mut table = Table::default();
    for proposer in 0..MAX_PROPOSERS as u64 + 50 {
        assert_eq!(
            table.apply(&change(proposer, 1, "a", Some("1"))),
            Outcome::Applied
        );
    }
    assert_eq!(table.proposers.len(), MAX_PROPOSERS);
    let long = change(1, 9, &"x".repeat(MAX_NAME_BYTES + 1), None);
    assert_eq!(
        table.apply(&long),
        Outcome::Invalid(InvalidChange::NameLength(MAX_NAME_BYTES + 1))
    );
}
