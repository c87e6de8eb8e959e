//! A request as it is sent on, by frames or by AJP.

use super::HeaderNames;
use cleatpulley_dispatcher::{IncomingRequest, RequestHead};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::client::{Client, Request};
use cleatpulley_protocol::frame::codec;

pub(super) fn push_frame(
    out: &mut Vec<u8>,
    stream: u32,
    arrival: &IncomingRequest,
    classes: &[String],
    names: &HeaderNames,
) {
    if let Some(payload) = arrival.head.as_ref().and_then(|head| head.frame.as_ref()) {
        return codec::push_request(out, stream, payload);
    }
    let class = classes.get(arrival.class).map_or("", |name| name);
    let mut fields = vec![
        ("verb", class.to_owned()),
        ("txn", format!("{:016x}", arrival.id)),
        ("door", (arrival.received_at / 1_000).to_string()),
        ("lb", arrival.caller.to_string()),
        (
            "cpu",
            format!("{:.2}", arrival.expected_work as f64 / 1_000.0),
        ),
        ("ram", format!("{:.1}", arrival.memory_kb)),
        ("standing", format!("{:.4}", arrival.rank.min(0.999_9))),
    ];
    let subject = arrival
        .head
        .as_ref()
        .and_then(|head| header(head, &names.subject));
    fields.extend(subject.map(|subject| {
        (
            "item",
            format!("{:016x}", xxhash_rust::xxh3::xxh3_64(subject.as_bytes())),
        )
    }));
    let mut payload = Vec::new();
    codec::push_fields(&mut payload, &fields);
    payload.extend_from_slice(&arrival.body);
    codec::push_request(out, stream, &payload);
}

fn header<'a>(head: &'a RequestHead, name: &str) -> Option<&'a str> {
    head.headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// False where the head does not fit into a packet.
pub(super) fn push_ajp(
    out: &mut Vec<u8>,
    now: Micros,
    client: &mut Client,
    uri: &str,
    arrival: &IncomingRequest,
    names: &HeaderNames,
) -> bool {
    let empty = RequestHead::default();
    let head = arrival.head.as_deref().unwrap_or(&empty);
    let figures = [
        (names.id.as_str(), format!("{:016x}", arrival.id)),
        (
            names.work_ms.as_str(),
            format!("{:.2}", arrival.expected_work as f64 / 1_000.0),
        ),
        (
            names.memory_kb.as_str(),
            format!("{:.1}", arrival.memory_kb),
        ),
        (
            names.rank.as_str(),
            format!("{:.4}", arrival.rank.min(0.999_9)),
        ),
        (names.caller.as_str(), arrival.caller.to_string()),
    ];
    let mut headers: Vec<(&str, &str)> = Vec::new();
    if head.frame.is_some() {
        headers.push(("Host", &head.host));
        headers.extend(figures.iter().map(|(name, value)| (*name, value.as_str())));
        headers.extend(header(head, "item").map(|item| (names.subject.as_str(), item)));
    } else {
        // The length is told anew, and a body is never sent in chunks.
        let told = |name: &str| {
            ["content-length", "transfer-encoding"]
                .iter()
                .any(|known| name.eq_ignore_ascii_case(known))
        };
        let own = head.headers.iter().filter(|(name, _)| !told(name));
        headers.extend(own.map(|(name, value)| (name.as_str(), value.as_str())));
        // An id that was made here has to be the same for all tries.
        if header(head, &names.id).is_none() {
            headers.push((names.id.as_str(), &figures[0].1));
        }
    }
    let method = if head.method.is_empty() {
        "POST"
    } else {
        &head.method
    };
    client
        .request(
            now,
            &Request {
                method,
                uri,
                headers: &headers,
                body: &arrival.body,
            },
            out,
        )
        .is_ok()
}
