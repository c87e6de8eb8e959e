//! Tests of the file's format and of damaged files.

use super::*;
use std::net::SocketAddr;

fn address(folder: &std::path::Path) -> HandoverAddress {
    HandoverAddress {
        folder: folder.to_owned(),
        name: "n/3".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 5050)),
    }
}

/// The bytes are those of the first release with this file.
#[test]
fn encodes_ids_and_times_as_little_endian_numbers() {
    let started = StartedId {
        id: 0x0102,
        expires_at: 0x0304,
    };
    let bytes = b"ran-ids1\x02\x01\0\0\0\0\0\0\x04\x03\0\0\0\0\0\0";
    assert_eq!(encode(&[started]), bytes);
    assert_eq!(decode(bytes), Some(vec![started]));
}

#[test]
fn reads_what_was_saved_and_rejects_a_damaged_file() {
    let folder = tempfile::tempdir().expect("folder is usable");
    let address = address(folder.path());
    assert_eq!(load(&address).expect("there is no file"), []);
    let started = StartedId {
        id: 7,
        expires_at: 9,
    };
    save(&address, &[started]).expect("file is written");
    assert_eq!(load(&address).expect("file is read"), [started]);
    fs::write(file_path(&address), b"ran-ids1 and some").expect("file is written");
    assert!(load(&address).is_err());
}
