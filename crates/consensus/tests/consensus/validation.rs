//! Input that is out of bounds.

use crate::faulty_disk::FaultyDisk;
use cleatpulley_consensus::{Incarnation, Node, Settings, Subject, SubjectKind};

#[test]
fn rejects_invalid_settings_changes_configurations_and_messages() {
    let invalid_key = |settings: Settings| {
        settings
            .check()
            .expect_err("the settings are invalid")
            .key()
    };
    assert_eq!(invalid_key(Settings::new(0, vec![1, 2, 3])), "me");
    assert_eq!(invalid_key(Settings::new(1, vec![1, 2])), "members");
    assert_eq!(invalid_key(Settings::new(1, vec![1, 2, 2])), "members");
    assert_eq!(
        invalid_key(Settings {
            lease_duration: 1,
            ..Settings::new(1, vec![1, 2, 3])
        }),
        "lease"
    );
    let settings = Settings::new(1, vec![1, 2, 3]);
    let mut node: Node<_> =
        Node::new(settings, FaultyDisk::default(), Incarnation(1)).expect("the node starts");
    let unnamed = Subject {
        kind: SubjectKind::Pool,
        name: String::new(),
    };
    assert!(node.propose(0, unnamed, None, None).is_err());
    assert!(node.propose_configuration(vec![1, 2]).is_err());
    assert!(node.handle_message(0, 2, &[0xFF; 40]).is_err());
}
