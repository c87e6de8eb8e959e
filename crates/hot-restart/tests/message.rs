//! Encoding and decoding of the messages between predecessor and successor.

use cleatpulley_hot_restart::message::{DecodeError, MAX_MESSAGE_BYTES, MAX_REPUTATION_ENTRIES};
use cleatpulley_hot_restart::{Message, ProcessUsage};

#[test]
fn largest_handover_fits_into_one_message() {
    let address = "2001:db8:ffff:ffff:ffff:ffff:ffff:ffff"
        .parse()
        .expect("an address");
    let reputation = vec![(address, 1_234.567_890_123_456); MAX_REPUTATION_ENTRIES];
    let learned_state = "x".repeat(8_192);
    let handover = Message::HandoverComplete {
        usage: ProcessUsage::default(),
        learned_state,
        reputation,
    };
    assert!(
        handover.encode().len() <= MAX_MESSAGE_BYTES,
        "{}",
        handover.encode().len()
    );
}

#[test]
fn decodes_each_encoded_message_and_rejects_malformed_packets() {
    let usage = ProcessUsage {
        running_requests: 3,
        memory_kb: 12.5,
        dependency_calls: 1,
        descriptors: 40,
    };
    let messages = [
        Message::Hello {
            version: 1,
            name: "n1".into(),
            addresses: vec!["127.0.0.1:5".parse().expect("an address and port")],
        },
        Message::ListenerOffer {
            version: 1,
            addresses: Vec::new(),
        },
        Message::Rejected {
            reason: "busy".into(),
        },
        Message::HandoverRequest {},
        Message::HandoverComplete {
            usage,
            learned_state: String::new(),
            reputation: vec![([10, 0, 0, 1].into(), 2.5)],
        },
        Message::StoreReleased {},
        Message::UsageReport(usage),
        Message::EarlierPredecessor {
            version: 1,
            name: "n1".into(),
            usage,
        },
    ];
    for message in messages {
        let bytes = message.encode();
        assert_eq!(Message::decode(&bytes).expect("a valid message"), message);
        for length in 0..bytes.len() {
            assert!(
                Message::decode(&bytes[..length]).is_err(),
                "{length} of {message:?}"
            );
        }
    }
    for malformed in [
        &b"{}"[..],
        b"{\"say\":\"take\",\"now\":1}",
        b"\xff",
        b"{\"say\":\"left\",\"running\":-1}",
    ] {
        assert!(
            Message::decode(malformed).is_err(),
            "{}",
            malformed.escape_ascii()
        );
    }
    let negative = Message::UsageReport(ProcessUsage {
        memory_kb: -1.0,
        ..usage
    })
    .encode();
    assert!(matches!(
        Message::decode(&negative),
        Err(DecodeError::InvalidMemory(_))
    ));
    assert!(matches!(
        Message::decode(&vec![b' '; MAX_MESSAGE_BYTES + 1]),
        Err(DecodeError::TooLong(_))
    ));
}
