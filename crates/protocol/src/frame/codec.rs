//! The codec of front end frames: decodes frames and requests, encodes responses. No sockets here.

use cleatpulley_dispatcher::Response;
use cleatpulley_policy::interface::{Micros, RequestId};
use std::ops::Range;

/// Frame type: a request.
pub const REQUEST: u8 = 0;
/// Frame type: the response to a request, or an error that belongs to no request.
pub const RESPONSE: u8 = 1;
/// Frame type: the client cancels the request on this stream.
pub const CANCEL: u8 = 2;
/// Frame type: a health check.
pub const HEALTH_CHECK: u8 = 6;
/// Frame type: the response to a health check.
pub const HEALTH_RESPONSE: u8 = 7;
/// Frame type: no new request is accepted on this connection.
pub const GO_AWAY: u8 = 9;

const STATUS_SERVED: u8 = 0;
const STATUS_REJECTED: u8 = 1;
const STATUS_FAILED: u8 = 2;

/// Bytes of the type and the stream, which the length field includes.
const HEADER_BYTES: usize = 5;
const VALID_LENGTHS: Range<usize> = HEADER_BYTES..262_145;
/// No valid frame has a larger payload: its fields take less than half of this, and its body at
/// most 2 KiB. A larger payload is skipped as it arrives, so that no peer makes us buffer a quarter
/// of a megabyte.
const MAX_PAYLOAD_BYTES: usize = 16_384;
const MAX_BODY_BYTES: usize = 2_048;
const MAX_RESULT_BYTES: usize = 4_096;
/// Maximum length of an idempotency key.
pub const MAX_KEY_BYTES: usize = 256;
/// The memory reserved for a request is below this, in KB.
const MEMORY_LIMIT_KB: f64 = 2_000.0;

/// What is at the front of the bytes received.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedFrame {
    /// The frame is incomplete.
    Incomplete,
    /// A complete frame.
    Frame {
        /// The type of the frame.
        kind: u8,
        /// The stream of the frame.
        stream: u32,
        /// Range of the payload in the input.
        payload: Range<usize>,
    },
    /// The head of a frame whose payload is too large.
    Oversized {
        /// The type of the frame.
        kind: u8,
        /// The stream of the frame.
        stream: u32,
        /// Number of bytes of the whole frame.
        frame_bytes: usize,
    },
    /// An invalid length: nothing after it can be read.
    InvalidLength(usize),
}

/// Parses the head of the frame at the front of the bytes.
#[must_use]
pub fn parse_frame(bytes: &[u8]) -> ParsedFrame {
    let Some(length) = bytes.first_chunk().map(|b| u32::from_be_bytes(*b) as usize) else {
        return ParsedFrame::Incomplete;
    };
    if !VALID_LENGTHS.contains(&length) {
        return ParsedFrame::InvalidLength(length);
    }
    let (Some(&kind), Some(stream)) = (bytes.get(4), bytes.get(5..).and_then(|b| b.first_chunk()))
    else {
        return ParsedFrame::Incomplete;
    };
    let (stream, frame_bytes) = (u32::from_be_bytes(*stream), 4 + length);
    if length - HEADER_BYTES > MAX_PAYLOAD_BYTES {
        return ParsedFrame::Oversized {
            kind,
            stream,
            frame_bytes,
        };
    }
    if bytes.len() < frame_bytes {
        return ParsedFrame::Incomplete;
    }
    ParsedFrame::Frame {
        kind,
        stream,
        payload: 4 + HEADER_BYTES..frame_bytes,
    }
}

/// A request as encoded in its frame.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    /// Name of the request class.
    pub class: &'a str,
    /// Request id.
    pub id: RequestId,
    /// When the request arrived at the host, in Unix microseconds.
    pub received_at: Micros,
    /// Number of the front end.
    pub caller: u64,
    /// Expected work, in microseconds.
    pub expected_work: Micros,
    /// Memory in KB.
    pub memory_kb: f64,
    /// Rank, from 0 to below 1.
    pub rank: f64,
    /// Whether this is a retry or a second copy of a request.
    pub is_retry: bool,
    /// Whether the request names its subject.
    pub has_subject: bool,
    /// The idempotency key, shared by all attempts, if a field is configured for it.
    pub key: Option<&'a [u8]>,
    /// The body.
    pub body: &'a [u8],
}

/// Names and values of fields.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

/// Splits a payload into its fields and the body.
#[must_use]
pub fn parse_fields(payload: &[u8]) -> Option<(Fields<'_>, &[u8])> {
    let (&count, mut rest) = payload.split_first()?;
    let mut fields = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let (&size, remaining) = rest.split_first()?;
        let (name, remaining) = remaining.split_at_checked(usize::from(size))?;
        let (size, remaining) = remaining.split_first_chunk()?;
        let (value, remaining) =
            remaining.split_at_checked(usize::from(u16::from_be_bytes(*size)))?;
        fields.push((
            std::str::from_utf8(name).ok()?,
            std::str::from_utf8(value).ok()?,
        ));
        rest = remaining;
    }
    Some((fields, rest))
}

/// Returns whether a payload begins with complete fields; there may be none.
#[must_use]
pub fn has_complete_fields(payload: &[u8]) -> bool {
    parse_fields(payload).is_some()
}

impl<'a> Request<'a> {
    /// Decodes the payload of a request; `key_field` is the name of the field with the idempotency
    /// key.
    ///
    /// # Errors
    /// Returns what is wrong, with the name of the field.
    pub fn decode(payload: &'a [u8], key_field: Option<&str>) -> Result<Self, String> {
        let (fields, body) = parse_fields(payload).ok_or("the payload ends within its fields")?;
        // Rejects a repeated field: the sender might mean the other value.
        let repeated = fields
            .iter()
            .enumerate()
            .find(|(n, field)| fields[..*n].iter().any(|f| f.0 == field.0));
        if let Some((_, (name, _))) = repeated {
            return Err(format!("field `{name}` is repeated"));
        }
        let find = |name: &str| {
            fields
                .iter()
                .find(|field| field.0 == name)
                .map(|field| field.1)
        };
        let find_required =
            |name: &str| find(name).ok_or_else(|| format!("field `{name}` is missing"));
        let parse_number = |name: &str, value: &str, limit: f64| {
            let number = value
                .parse::<f64>()
                .ok()
                .filter(|n| (0.0..limit).contains(n));
            number.ok_or_else(|| format!("field `{name}` is out of place: {value:?}"))
        };
        // Some deployments send no expected work and no rank.
        let parse_optional = |name: &str, limit: f64| {
            find(name).map_or(Ok(0.0), |value| parse_number(name, value, limit))
        };
        if body.len() > MAX_BODY_BYTES {
            return Err(format!("the body has {} bytes", body.len()));
        }
        let id_text = find_required("txn")?;
        let is_hex = id_text.len() == 16 && id_text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = if is_hex {
            RequestId::from_str_radix(id_text, 16).ok()
        } else {
            None
        };
        let parse_integer = |name: &str| -> Result<u64, String> {
            let value = find_required(name)?;
            value
                .parse()
                .map_err(|_| format!("field `{name}` is out of place: {value:?}"))
        };
        let memory_kb = parse_number("ram", find_required("ram")?, MEMORY_LIMIT_KB)?;
        let is_retry = match find("second") {
            None => false,
            Some("1") => true,
            Some(other) => return Err(format!("field `second` is out of place: {other:?}")),
        };
        if memory_kb <= 0.0 {
            return Err("field `ram` is out of place: it must be above 0".to_owned());
        }
        let key = key_field.and_then(find);
        if let Some(key) = key.filter(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            let name = key_field.unwrap_or_default();
            return Err(format!(
                "field `{name}`: the key has {} bytes and not 1 to {MAX_KEY_BYTES}",
                key.len()
            ));
        }
        Ok(Self {
            class: find_required("verb")?,
            id: id.ok_or_else(|| format!("field `txn` is not 16 hex digits: {id_text:?}"))?,
            received_at: parse_integer("door")?.saturating_mul(1_000),
            caller: parse_integer("lb")?,
            expected_work: (parse_optional("cpu", 1e9)? * 1_000.0) as Micros,
            memory_kb,
            rank: parse_optional("standing", 1.0)?,
            is_retry,
            has_subject: find("item").is_some(),
            key: key.map(str::as_bytes),
            body,
        })
    }
}

fn push_frame(
    output: &mut Vec<u8>,
    kind: u8,
    stream: u32,
    code: Option<u8>,
    fields: &[(&str, String)],
    body: &[u8],
) {
    let start = output.len();
    output.extend_from_slice(&[0; 4]);
    output.push(kind);
    output.extend_from_slice(&stream.to_be_bytes());
    if let Some(code) = code {
        output.push(code);
        push_fields(output, fields);
        output.extend_from_slice(body);
    }
    let length = (output.len() - start - 4) as u32;
    output[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn feedback_field(value: Option<f64>) -> Vec<(&'static str, String)> {
    value
        .map(|value| ("feedback", format!("{value:.4}")))
        .into_iter()
        .collect()
}

/// Appends the fields that requests and responses begin with; names and values must fit their
/// length fields.
pub fn push_fields(output: &mut Vec<u8>, fields: &[(&str, String)]) {
    output.push(fields.len() as u8);
    for (name, value) in fields {
        output.push(name.len() as u8);
        output.extend_from_slice(name.as_bytes());
        output.extend_from_slice(&(value.len() as u16).to_be_bytes());
        output.extend_from_slice(value.as_bytes());
    }
}

/// Appends a request frame with this payload: fields, then the body.
pub fn push_request(output: &mut Vec<u8>, stream: u32, payload: &[u8]) {
    output.extend_from_slice(&((payload.len() + HEADER_BYTES) as u32).to_be_bytes());
    output.push(REQUEST);
    output.extend_from_slice(&stream.to_be_bytes());
    output.extend_from_slice(payload);
}

/// Appends the response to a request. A result that is too large for the client is sent as a
/// failure.
pub fn push_response(output: &mut Vec<u8>, stream: u32, response: &Response, value: Option<f64>) {
    let mut fields = feedback_field(value);
    match response {
        Response::Served(body) if body.len() <= MAX_RESULT_BYTES => {
            push_frame(output, RESPONSE, stream, Some(STATUS_SERVED), &fields, body);
        }
        Response::Rejected {
            retry_after,
            no_failover,
        } => {
            if *retry_after > 0 {
                fields.push(("later", retry_after.div_ceil(1_000).to_string()));
            }
            if *no_failover {
                fields.push(("giveup", "1".to_owned()));
            }
            push_frame(
                output,
                RESPONSE,
                stream,
                Some(STATUS_REJECTED),
                &fields,
                &[],
            );
        }
        Response::Direct { body, .. } => {
            let body = &body[..body.len().min(MAX_RESULT_BYTES)];
            push_frame(output, RESPONSE, stream, Some(STATUS_FAILED), &fields, body);
        }
        Response::Invalid(error) => {
            push_frame(
                output,
                RESPONSE,
                stream,
                Some(STATUS_FAILED),
                &fields,
                error.message().as_bytes(),
            );
        }
        Response::Served(_) | Response::Failed | Response::Expired => {
            push_frame(output, RESPONSE, stream, Some(STATUS_FAILED), &fields, &[]);
        }
    }
}

/// Appends an error that belongs to no request.
pub fn push_error(output: &mut Vec<u8>, message: &str) {
    push_frame(
        output,
        RESPONSE,
        0,
        Some(STATUS_FAILED),
        &[],
        message.as_bytes(),
    );
}

/// Appends the response to a health check.
pub fn push_health_response(
    output: &mut Vec<u8>,
    stream: u32,
    is_healthy: bool,
    value: Option<f64>,
) {
    push_frame(
        output,
        HEALTH_RESPONSE,
        stream,
        Some(u8::from(!is_healthy)),
        &feedback_field(value),
        &[],
    );
}

/// Appends the frame that no new request is accepted.
pub fn push_go_away(output: &mut Vec<u8>) {
    push_frame(output, GO_AWAY, 0, None, &[], &[]);
}

#[cfg(test)]
mod tests {
    use super::*;

    fn payload_with(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
        let mut payload = vec![fields.len() as u8];
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend_from_slice(name.as_bytes());
            payload.extend_from_slice(&(value.len() as u16).to_be_bytes());
            payload.extend_from_slice(value.as_bytes());
        }
        payload.extend_from_slice(body);
        payload
    }

    const VALID_FIELDS: [(&str, &str); 8] = [
        ("verb", "checkout"),
        ("txn", "9b1f03aa5c7e2d41"),
        ("door", "1764576000123"),
        ("lb", "4"),
        ("cpu", "12.50"),
        ("ram", "24.5"),
        ("standing", "0.6250"),
        ("item", "7f3a9c21e0b4d655"),
    ];

    #[test]
    fn request_is_decoded_with_its_body_unchanged() {
        let payload = payload_with(&VALID_FIELDS, &[0, 255, 10]);
        let request = Request::decode(&payload, None).expect("a valid request");
        assert_eq!(
            (request.class, request.id, request.caller),
            ("checkout", 0x9b1f_03aa_5c7e_2d41, 4)
        );
        assert_eq!(
            (request.received_at, request.expected_work),
            (1_764_576_000_123_000, 12_500)
        );
        assert_eq!(
            (request.memory_kb, request.rank, request.has_subject),
            (24.5, 0.625, true)
        );
        assert_eq!(request.body, [0, 255, 10]);
    }

    #[test]
    fn key_is_read_from_the_configured_field() {
        let long = "k".repeat(MAX_KEY_BYTES + 1);
        for (key, is_valid) in [("seat-7", true), ("", false), (long.as_str(), false)] {
            let mut fields = VALID_FIELDS.to_vec();
            fields.push(("once", key));
            let payload = payload_with(&fields, b"");
            assert_eq!(
                Request::decode(&payload, None).map(|request| request.key),
                Ok(None)
            );
            match Request::decode(&payload, Some("once")) {
                Ok(request) => assert!(is_valid && request.key == Some(key.as_bytes())),
                Err(error) => assert!(!is_valid && error.contains("key"), "{error}"),
            }
        }
    }

    #[test]
    fn all_fields_but_subject_work_and_rank_are_required() {
        for (i, (name, _)) in VALID_FIELDS.iter().enumerate() {
            let mut fields = VALID_FIELDS.to_vec();
            fields.remove(i);
            match Request::decode(&payload_with(&fields, b""), None) {
                Ok(request) => match *name {
                    "item" => assert!(!request.has_subject),
                    "cpu" => assert_eq!(request.expected_work, 0),
                    name => assert_eq!((name, request.rank), ("standing", 0.0)),
                },
                Err(error) => assert!(error.contains(name), "{error}"),
            }
        }
    }

    #[test]
    fn only_the_value_1_marks_a_retry() {
        for (value, is_valid) in [
            ("1", true),
            ("0", false),
            ("", false),
            ("true", false),
            ("11", false),
        ] {
            let mut fields = VALID_FIELDS.to_vec();
            fields.push(("second", value));
            let payload = payload_with(&fields, b"");
            match Request::decode(&payload, None) {
                Ok(request) => assert!(is_valid && request.is_retry),
                Err(error) => assert!(!is_valid && error.contains("`second`"), "{error}"),
            }
        }
        assert!(
            !Request::decode(&payload_with(&VALID_FIELDS, b""), None)
                .expect("a valid request")
                .is_retry,
            "an absent field means a first attempt"
        );
    }

    #[test]
    fn repeated_field_is_named_in_the_error() {
        for (name, value) in VALID_FIELDS {
            let mut fields = VALID_FIELDS.to_vec();
            fields.push((name, value));
            let error = Request::decode(&payload_with(&fields, b""), None).expect_err(name);
            assert!(
                error.contains(name) && error.contains("repeated"),
                "{error}"
            );
        }
    }

    #[test]
    fn field_with_invalid_value_is_named_in_the_error() {
        for (index, value) in [
            (1, "9b1f"),
            (1, "+b1f03aa5c7e2d41"),
            (2, "-1"),
            (3, ""),
            (4, "inf"),
            (5, "0"),
            (5, "2000"),
            (6, "-0.1"),
        ] {
            let mut fields = VALID_FIELDS;
            fields[index].1 = value;
            let error = Request::decode(&payload_with(&fields, b""), None).expect_err(value);
            assert!(error.contains(VALID_FIELDS[index].0), "{error}");
        }
    }

    #[test]
    fn truncated_frame_is_incomplete_and_truncated_payload_is_an_error() {
        let payload = payload_with(&VALID_FIELDS, b"body");
        let mut frame_bytes = Vec::new();
        frame_bytes.extend_from_slice(&(payload.len() as u32 + 5).to_be_bytes());
        frame_bytes.extend_from_slice(&[REQUEST, 0, 0, 0, 9]);
        frame_bytes.extend_from_slice(&payload);
        for cut in 0..frame_bytes.len() {
            assert_eq!(parse_frame(&frame_bytes[..cut]), ParsedFrame::Incomplete);
        }
        let frame = ParsedFrame::Frame {
            kind: REQUEST,
            stream: 9,
            payload: 9..frame_bytes.len(),
        };
        assert_eq!(parse_frame(&[&frame_bytes[..], &[1, 2, 3]].concat()), frame);
        for cut in 0..payload.len() - 4 {
            assert!(Request::decode(&payload[..cut], None).is_err());
        }
    }

    #[test]
    fn lengths_at_the_limits() {
        let head = |length: u32| [&length.to_be_bytes()[..], &[6, 0, 0, 0, 1]].concat();
        assert_eq!(parse_frame(&head(4)), ParsedFrame::InvalidLength(4));
        assert_eq!(
            parse_frame(&head(5)),
            ParsedFrame::Frame {
                kind: HEALTH_CHECK,
                stream: 1,
                payload: 9..9
            }
        );
        assert_eq!(
            parse_frame(&head(262_144)),
            ParsedFrame::Oversized {
                kind: HEALTH_CHECK,
                stream: 1,
                frame_bytes: 262_148
            }
        );
        assert_eq!(
            parse_frame(&head(262_145)),
            ParsedFrame::InvalidLength(262_145)
        );
    }

    #[test]
    fn responses_carry_retry_advice_and_feedback() {
        let mut output = Vec::new();
        push_response(
            &mut output,
            3,
            &Response::Rejected {
                retry_after: 1_001,
                no_failover: true,
            },
            Some(0.25),
        );
        let fields = payload_with(
            &[("feedback", "0.2500"), ("later", "2"), ("giveup", "1")],
            b"",
        );
        assert_eq!(output[4..10], [RESPONSE, 0, 0, 0, 3, STATUS_REJECTED]);
        assert_eq!(output[10..], fields);
        assert_eq!(output[..4], ((output.len() - 4) as u32).to_be_bytes());
        output.clear();
        push_health_response(&mut output, 0, false, Some(3.0));
        assert_eq!(
            output[4..],
            [
                &[HEALTH_RESPONSE, 0, 0, 0, 0, 1][..],
                &payload_with(&[("feedback", "3.0000")], b"")
            ]
            .concat()
        );
    }
}
