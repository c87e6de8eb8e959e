//! The mark in a folder of the real file system.

use super::*;
use cleatpulley_membership::incarnation::INCARNATION_BLOCK_SIZE;

#[test]
fn each_start_has_incarnations_of_its_own() {
    let folder = std::env::temp_dir().join(format!("cleatpulley-marks-{}", std::process::id()));
    let first = reserve_incarnations(&folder).expect("a folder");
    let second = reserve_incarnations(&folder).expect("a folder");
    assert_eq!(
        (first.current(), second.current()),
        (1, INCARNATION_BLOCK_SIZE + 1)
    );
    write_mark(&folder, IncarnationMark(9 * INCARNATION_BLOCK_SIZE)).expect("a folder");
    assert_eq!(
        reserve_incarnations(&folder).expect("a folder").current(),
        9 * INCARNATION_BLOCK_SIZE + 1
    );
    std::fs::remove_dir_all(&folder).expect("it was there");
}
