//! Key rotation, detection of changed datagrams, and parsing of key files.

use super::*;

fn line(number: u8, byte: &str) -> String {
    format!("{number} {}\n", byte.repeat(32))
}

#[test]
fn key_rotation_never_rejects_a_datagram_of_the_previous_stage() {
    let keys = |text: String| KeyRing::parse(&text).expect("keys");
    let stages = [
        keys(line(1, "a1")),
        keys(line(1, "a1") + &line(2, "b2")),
        keys(line(2, "b2") + &line(1, "a1")),
        keys(line(2, "b2")),
    ];
    for pair in stages.windows(2) {
        for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            assert_eq!(to.verify(&from.sign(b"payload")), Ok(&b"payload"[..]));
        }
    }
    assert_eq!(
        stages[3].verify(&stages[0].sign(b"x")),
        Err(AuthenticationError::UnknownKey(1))
    );
}

#[test]
fn rejects_a_datagram_with_any_byte_changed() {
    let keys = KeyRing::parse(&line(7, "0f")).expect("a key");
    let signed = keys.sign(b"payload");
    for offset in 0..signed.len() {
        let mut changed = signed.clone();
        changed[offset] ^= 1;
        assert!(keys.verify(&changed).is_err(), "byte {offset}");
    }
    assert_eq!(
        keys.verify(&signed[..32]),
        Err(AuthenticationError::TooShort)
    );
}

#[test]
fn invalid_key_file_is_reported_with_the_line() {
    let error = |text: &str| KeyRing::parse(text).expect_err("an invalid key file");
    assert_eq!(error("# none\n\n"), InvalidKeys::NoKey);
    assert_eq!(
        error(&(line(1, "aa") + "2 short")),
        InvalidKeys::MalformedLine(2)
    );
    assert_eq!(
        error(&(line(1, "aa") + &line(1, "bb"))),
        InvalidKeys::DuplicateNumber { line: 2, number: 1 }
    );
    let five_keys: String = (0..5).map(|number| line(number, "cc")).collect();
    assert_eq!(error(&five_keys), InvalidKeys::TooMany(5));
}
