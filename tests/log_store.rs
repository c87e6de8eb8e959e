//! The embedded store on a real file system: a child process killed at random points, and the command line.

use cleatpulley_log_store::files::OsFolder;
use cleatpulley_log_store::{Batch, Options, Store};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Held by each test of this file. A child shares the descriptors of this process, and with them
/// the lock of a store that is open here, until it has executed its program: a store that another
/// test closes meanwhile would seem to be open still.
static ONE_TEST_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run_alone() -> MutexGuard<'static, ()> {
    ONE_TEST_AT_A_TIME
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_cleatpulley"))
}

/// Applies the changes of batch `n` of `keep exercise` to the expected content.
fn apply(content: &mut BTreeMap<Vec<u8>, Vec<u8>>, n: u64) {
    let key = |n: u64| (n % 64).to_be_bytes().to_vec();
    let value = [&n.to_be_bytes()[..], &vec![n as u8; (n % 900) as usize]].concat();
    content.insert(key(n), value.clone());
    content.insert(key(n * 31), value);
    content.remove(&key(n * 17 + 5));
}

fn read_content(dir: &Path) -> BTreeMap<Vec<u8>, Vec<u8>> {
    let folder = OsFolder::new(dir, false).expect("open the folder");
    let (store, found) = Store::open_read_only(folder).expect("open the store");
    assert!(
        found.damaged_ranges.is_empty() && found.quarantined.is_empty(),
        "{found}"
    );
    let mut content = BTreeMap::new();
    store
        .for_each_by_sequence(0, |_, key, value| {
            content.insert(key.to_vec(), value.to_vec()).is_none()
        })
        .expect("read the store");
    content
}

/// The writer is killed dozens of times: acknowledged batches are stored, batches are atomic, and the
/// store contains nothing else.
#[test]
fn a_writer_killed_at_random_points_loses_no_acknowledged_batch() {
    let _alone = run_alone();
    let dir = tempfile::tempdir().expect("create a folder");
    let (mut content, mut next) = (BTreeMap::new(), 1);
    for kill in 0..40_u64 {
        let mut child = program()
            .args(["keep", "exercise", "--from", &next.to_string()])
            .arg(dir.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("start the process");
        let mut lines =
            BufReader::new(child.stdout.take().expect("standard output is a pipe")).lines();
        let mut acked = next - 1;
        // Kill it at some point after this many acknowledgements.
        for _ in 0..(kill * 7) % 30 {
            let line = lines
                .next()
                .expect("read a line")
                .expect("the line is UTF-8");
            acked = line.parse().expect("the line is a number");
        }
        std::thread::sleep(Duration::from_micros((kill * 137) % 2_000));
        child.kill().expect("kill the process");
        child.wait().expect("wait for the exit");
        // Acknowledgements that were written before the kill count as well.
        if let Some(Ok(line)) = lines.map_while(Result::ok).last().map(|line| line.parse()) {
            acked = acked.max(line);
        }
        let found = read_content(dir.path());
        let mut at = next - 1;
        while content != found || at < acked {
            at += 1;
            assert!(
                at < acked + 2_000,
                "kill {kill}: the content matches no state from batch {acked} on"
            );
            apply(&mut content, at);
        }
        next = at + 1;
    }
    assert!(next > 400, "the writer reached batch {next}");
}

#[test]
fn the_commands_report_counts_damage_and_content_and_repair_damage() {
    let _alone = run_alone();
    let dir = tempfile::tempdir().expect("create a folder");
    let folder = || OsFolder::new(dir.path(), true).expect("create a folder");
    for round in 0..2_u8 {
        let (mut store, _) = Store::open(folder(), Options::default()).expect("open the store");
        for n in 0..100_u8 {
            store
                .write(Batch::default().put(&[b'k', round, n], &[n; 50], None))
                .expect("write the batch");
        }
        store.close().expect("close the store");
    }
    let run = |command: &str| {
        let result = program()
            .args(["keep", command])
            .arg(dir.path())
            .output()
            .expect("run the command");
        (
            result.status.code(),
            String::from_utf8_lossy(&[result.stdout, result.stderr].concat()).into_owned(),
        )
    };
    let (code, output) = run("stat");
    assert!(
        code == Some(0) && output.contains("200 keys in 2 segments"),
        "{output}"
    );
    assert_eq!(run("check").0, Some(0));
    assert_eq!(run("dump").1.lines().count(), 200);
    // Flip a byte in the middle of the first segment's values.
    let file = dir.path().join("0000000000000001.seg");
    let mut bytes = std::fs::read(&file).expect("read the segment");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x20;
    std::fs::write(&file, bytes).expect("write the file");
    let (code, output) = run("check");
    assert!(
        code == Some(3) && output.contains("damaged: 0000000000000001.seg: "),
        "{output}"
    );
    let (code, output) = run("repair");
    assert!(
        code == Some(0) && output.contains("1 damaged segments were rewritten"),
        "{output}"
    );
    assert!(
        dir.path().join("0000000000000001.damaged").exists(),
        "the damaged file is kept"
    );
    assert_eq!(
        run("dump").1.lines().count(),
        199,
        "one record is lost and no other"
    );
    assert_eq!(run("compact").0, Some(0));
    std::fs::write(dir.path().join("notes.txt"), "mine").expect("write the file");
    let (code, output) = run("compact");
    assert!(code == Some(1) && output.contains("notes.txt"), "{output}");
    let (code, output) = run("check");
    assert!(
        code == Some(1) && output.contains("notes.txt: not a file of this store"),
        "{output}"
    );
    let nowhere = program()
        .args(["keep", "stat", "/nowhere"])
        .output()
        .expect("run the command");
    assert_eq!(nowhere.status.code(), Some(1));
}
