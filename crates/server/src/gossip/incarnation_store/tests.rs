//! The mark in a folder of the real file system.

use super::*;
use cleatpulley_membership::incarnation::INCARNATION_BLOCK_SIZE;

#[test]
fn each_start_reserves_unused_incarnations() {
    let folder = std::env::temp_dir().join(format!("cleatpulley-marks-{}", std::process::id()));
    let first = reserve_incarnations(&folder).expect("folder is usable");
    let second = reserve_incarnations(&folder).expect("folder is usable");
    assert_eq!(
        (first.current(), second.current()),
        (1, INCARNATION_BLOCK_SIZE + 1)
    );
    write_mark(&folder, IncarnationMark(9 * INCARNATION_BLOCK_SIZE)).expect("folder is usable");
    assert_eq!(
        reserve_incarnations(&folder)
            .expect("folder is usable")
            .current(),
        9 * INCARNATION_BLOCK_SIZE + 1
    );
    std::fs::remove_dir_all(&folder).expect("folder is removed");
}
