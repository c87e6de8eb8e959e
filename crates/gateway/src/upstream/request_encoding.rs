//! Encodes the requests that are sent to targets, by frames or by AJP.

use super::HeaderNames;
use cleatpulley_dispatcher::{IncomingRequest, RequestHead};
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::ajp::client::{Client, Request};
use cleatpulley_protocol::frame::codec;

/// Appends a request as a frame. The payload of a request that came by frames is passed on unchanged.
pub(super) fn encode_frame(
    out: &mut Vec<u8>,
    stream: u32,
    request: &IncomingRequest,
    classes: &[String],
    header_names: &HeaderNames,
) {
    if let Some(payload) = request.head.as_ref().and_then(|head| head.frame.as_ref()) {
        return codec::push_request(out, stream, payload);
    }
    let class = classes.get(request.class).map_or("", |name| name);
    let mut fields = vec![
        ("verb", class.to_owned()),
        ("txn", format!("{:016x}", request.id)),
        ("door", (request.received_at / 1_000).to_string()),
        ("lb", request.caller.to_string()),
        (
            "cpu",
            format!("{:.2}", request.expected_work as f64 / 1_000.0),
        ),
        ("ram", format!("{:.1}", request.memory_kb)),
        ("standing", format!("{:.4}", request.rank.min(0.999_9))),
    ];
    let subject = request
        .head
        .as_ref()
        .and_then(|head| header(head, &header_names.subject));
    fields.extend(subject.map(|subject| {
        (
            "item",
            format!("{:016x}", xxhash_rust::xxh3::xxh3_64(subject.as_bytes())),
        )
    }));
    let mut payload = Vec::new();
    codec::push_fields(&mut payload, &fields);
    payload.extend_from_slice(&request.body);
    codec::push_request(out, stream, &payload);
}

/// Returns the value of a header, whatever the case of its name.
fn header<'a>(head: &'a RequestHead, name: &str) -> Option<&'a str> {
    head.headers
        .iter()
        .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// Appends a request as AJP packets. Returns false where the head does not fit into a packet.
pub(super) fn encode_ajp(
    out: &mut Vec<u8>,
    now: Micros,
    client: &mut Client,
    uri: &str,
    request: &IncomingRequest,
    header_names: &HeaderNames,
) -> bool {
    let empty = RequestHead::default();
    let head = request.head.as_deref().unwrap_or(&empty);
    let figure_headers = [
        (header_names.id.as_str(), format!("{:016x}", request.id)),
        (
            header_names.work_ms.as_str(),
            format!("{:.2}", request.expected_work as f64 / 1_000.0),
        ),
        (
            header_names.memory_kb.as_str(),
            format!("{:.1}", request.memory_kb),
        ),
        (
            header_names.rank.as_str(),
            format!("{:.4}", request.rank.min(0.999_9)),
        ),
        (header_names.caller.as_str(), request.caller.to_string()),
    ];
    let mut headers: Vec<(&str, &str)> = Vec::new();
    if head.frame.is_some() {
        headers.push(("Host", &head.host));
        headers.extend(
            figure_headers
                .iter()
                .map(|(name, value)| (*name, value.as_str())),
        );
        headers.extend(header(head, "item").map(|item| (header_names.subject.as_str(), item)));
    } else {
        // The client sets the length itself, and never sends a body in chunks.
        let is_omitted = |name: &str| {
            ["content-length", "transfer-encoding"]
                .iter()
                .any(|header_name| name.eq_ignore_ascii_case(header_name))
        };
        let forwarded = head.headers.iter().filter(|(name, _)| !is_omitted(name));
        headers.extend(forwarded.map(|(name, value)| (name.as_str(), value.as_str())));
        // A generated id has to be the same for all attempts.
        if header(head, &header_names.id).is_none() {
            headers.push((header_names.id.as_str(), &figure_headers[0].1));
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
                body: &request.body,
            },
            out,
        )
        .is_ok()
}
