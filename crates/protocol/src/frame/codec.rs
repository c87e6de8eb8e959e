//! The codec of front end frames: bytes to frames and requests, answers to bytes. No sockets here.

use cleatpulley_dispatcher::Response;
use cleatpulley_policy::interface::{Micros, RequestId};
use std::ops::Range;

/// A request, and its answer.
pub const REQUEST: u8 = 0;
/// The answer to a request, or an error that belongs to none.
pub const RESPONSE: u8 = 1;
/// Nobody waits for this stream any more.
pub const CANCEL: u8 = 2;
/// A health check.
pub const HEALTH_CHECK: u8 = 6;
/// The answer to a health check.
pub const HEALTH_RESPONSE: u8 = 7;
/// No new request on this connection.
pub const GO_AWAY: u8 = 9;

const SERVED: u8 = 0;
const REFUSED: u8 = 1;
const FAILED: u8 = 2;

/// Type and stream, which the length counts too.
const HEAD: usize = 5;
const LENGTHS: Range<usize> = HEAD..262_145;
/// No good frame has a larger payload: its fields take less than half of this, its body at most 2 KiB. What
/// is larger is passed over as it comes, so that no peer makes us hold a quarter of a megabyte.
const LARGEST: usize = 16_384;
const LARGEST_BODY: usize = 2_048;
const LARGEST_RESULT: usize = 4_096;
/// A key is no longer than this.
pub const MAX_KEY_BYTES: usize = 256;
/// Memory booked for a request stays under this many KB.
const MOST_MEMORY: f64 = 2_000.0;

/// What stands at the front of the bytes read.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedFrame {
    /// Not all of it has come.
    Incomplete,
    /// A whole frame of so many bytes.
    Frame {
        /// Its type.
        kind: u8,
        /// Its stream.
        stream: u32,
        /// Where its payload stands.
        payload: Range<usize>,
    },
    /// The head of a frame with too large a payload.
    Oversized {
        /// Its type.
        kind: u8,
        /// Its stream.
        stream: u32,
        /// Bytes of the whole frame.
        frame_bytes: usize,
    },
    /// A length that no frame has; nothing after it can be read.
    InvalidLength(usize),
}

/// Looks at the front of the bytes.
#[must_use]
pub fn parse_frame(bytes: &[u8]) -> ParsedFrame {
    let Some(length) = bytes.first_chunk().map(|b| u32::from_be_bytes(*b) as usize) else {
        return ParsedFrame::Incomplete;
    };
    if !LENGTHS.contains(&length) {
        return ParsedFrame::InvalidLength(length);
    }
    let (Some(&kind), Some(stream)) = (bytes.get(4), bytes.get(5..).and_then(|b| b.first_chunk()))
    else {
        return ParsedFrame::Incomplete;
    };
    let (stream, whole) = (u32::from_be_bytes(*stream), 4 + length);
    if length - HEAD > LARGEST {
        return ParsedFrame::Oversized {
            kind,
            stream,
            frame_bytes: whole,
        };
    }
    if bytes.len() < whole {
        return ParsedFrame::Incomplete;
    }
    ParsedFrame::Frame {
        kind,
        stream,
        payload: 4 + HEAD..whole,
    }
}

/// A request as it stands in its frame.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    /// The class's name.
    pub class: &'a str,
    /// The id.
    pub id: RequestId,
    /// Arrival at the machine, on the Unix clock.
    pub received_at: Micros,
    /// The front end.
    pub caller: u64,
    /// Expected work.
    pub expected_work: Micros,
    /// Memory in KB.
    pub memory_kb: f64,
    /// Rank.
    pub rank: f64,
    /// A further try, or a second copy.
    pub is_retry: bool,
    /// It names what it is about.
    pub has_subject: bool,
    /// What all its tries share, where a field was named for it.
    pub key: Option<&'a [u8]>,
    /// The body.
    pub body: &'a [u8],
}

/// Names and values.
pub type Fields<'a> = Vec<(&'a str, &'a str)>;

/// Takes the fields and the body apart.
#[must_use]
pub fn parse_fields(payload: &[u8]) -> Option<(Fields<'_>, &[u8])> {
    let (&count, mut rest) = payload.split_first()?;
    let mut fields = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let (&size, after) = rest.split_first()?;
        let (name, after) = after.split_at_checked(usize::from(size))?;
        let (size, after) = after.split_first_chunk()?;
        let (value, after) = after.split_at_checked(usize::from(u16::from_be_bytes(*size)))?;
        fields.push((
            std::str::from_utf8(name).ok()?,
            std::str::from_utf8(value).ok()?,
        ));
        rest = after;
    }
    Some((fields, rest))
}

/// Whether a payload begins with whole fields, of which none is needed.
#[must_use]
pub fn has_complete_fields(payload: &[u8]) -> bool {
    parse_fields(payload).is_some()
}

impl<'a> Request<'a> {
    /// Reads a request's payload; its key stands in the field of this name, if any.
    ///
    /// # Errors
    /// What is wrong with it, naming the field.
    pub fn decode(payload: &'a [u8], key_field: Option<&str>) -> Result<Self, String> {
        let (fields, body) = parse_fields(payload).ok_or("the payload ends within its fields")?;
        // Guards against two values, of which the sender might mean the other.
        let twice = fields
            .iter()
            .enumerate()
            .find(|(n, field)| fields[..*n].iter().any(|f| f.0 == field.0));
        if let Some((_, (name, _))) = twice {
            return Err(format!("field `{name}` is repeated"));
        }
        let find = |name: &str| {
            fields
                .iter()
                .find(|field| field.0 == name)
                .map(|field| field.1)
        };
        let need = |name: &str| find(name).ok_or_else(|| format!("field `{name}` is missing"));
        let parse = |name: &str, value: &str, most: f64| {
            let number = value
                .parse::<f64>()
                .ok()
                .filter(|n| (0.0..most).contains(n));
            number.ok_or_else(|| format!("field `{name}` is out of place: {value:?}"))
        };
        // Some deployments give no hints and no ranks.
        let number =
            |name: &str, most: f64| find(name).map_or(Ok(0.0), |value| parse(name, value, most));
        if body.len() > LARGEST_BODY {
            return Err(format!("the body has {} bytes", body.len()));
        }
        let txn = need("txn")?;
        let hex = txn.len() == 16 && txn.bytes().all(|b| b.is_ascii_hexdigit());
        let id = if hex {
            RequestId::from_str_radix(txn, 16).ok()
        } else {
            None
        };
        let whole = |name: &str| -> Result<u64, String> {
            let value = need(name)?;
            value
                .parse()
                .map_err(|_| format!("field `{name}` is out of place: {value:?}"))
        };
        let ram = parse("ram", need("ram")?, MOST_MEMORY)?;
        let second = match find("second") {
            None => false,
            Some("1") => true,
            Some(other) => return Err(format!("field `second` is out of place: {other:?}")),
        };
        if ram <= 0.0 {
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
            class: need("verb")?,
            id: id.ok_or_else(|| format!("field `txn` is not 16 hex digits: {txn:?}"))?,
            received_at: whole("door")?.saturating_mul(1_000),
            caller: whole("lb")?,
            expected_work: (number("cpu", 1e9)? * 1_000.0) as Micros,
            memory_kb: ram,
            rank: number("standing", 1.0)?,
            is_retry: second,
            has_subject: find("item").is_some(),
            key: key.map(str::as_bytes),
            body,
        })
    }
}

fn push(
    out: &mut Vec<u8>,
    kind: u8,
    stream: u32,
    code: Option<u8>,
    fields: &[(&str, String)],
    body: &[u8],
) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    out.push(kind);
    out.extend_from_slice(&stream.to_be_bytes());
    if let Some(code) = code {
        out.push(code);
        push_fields(out, fields);
        out.extend_from_slice(body);
    }
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn feedback(value: Option<f64>) -> Vec<(&'static str, String)> {
    value
        .map(|value| ("feedback", format!("{value:.4}")))
        .into_iter()
        .collect()
}

/// Appends fields, as requests and answers begin with; names and values are shorter than their sizes can tell.
pub fn push_fields(out: &mut Vec<u8>, fields: &[(&str, String)]) {
    out.push(fields.len() as u8);
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(&(value.len() as u16).to_be_bytes());
        out.extend_from_slice(value.as_bytes());
    }
}

/// Appends a request with this payload: fields, then the body.
pub fn push_request(out: &mut Vec<u8>, stream: u32, payload: &[u8]) {
    out.extend_from_slice(&((payload.len() + HEAD) as u32).to_be_bytes());
    out.push(REQUEST);
    out.extend_from_slice(&stream.to_be_bytes());
    out.extend_from_slice(payload);
}

/// Appends the answer to a request. A result too large to be read is no answer: it becomes a failure.
pub fn push_response(out: &mut Vec<u8>, stream: u32, answer: &Response, value: Option<f64>) {
    let mut fields = feedback(value);
    match answer {
        Response::Served(body) if body.len() <= LARGEST_RESULT => {
            push(out, RESPONSE, stream, Some(SERVED), &fields, body);
        }
        Response::Rejected {
            retry_after: later,
            no_failover: last,
        } => {
            if *later > 0 {
                fields.push(("later", later.div_ceil(1_000).to_string()));
            }
            if *last {
                fields.push(("giveup", "1".to_owned()));
            }
            push(out, RESPONSE, stream, Some(REFUSED), &fields, &[]);
        }
        Response::Direct { body, .. } => {
            let body = &body[..body.len().min(LARGEST_RESULT)];
            push(out, RESPONSE, stream, Some(FAILED), &fields, body);
        }
        Response::Invalid(fault) => {
            push(
                out,
                RESPONSE,
                stream,
                Some(FAILED),
                &fields,
                fault.message().as_bytes(),
            );
        }
        Response::Served(_) | Response::Failed | Response::Expired => {
            push(out, RESPONSE, stream, Some(FAILED), &fields, &[]);
        }
    }
}

/// Appends an error that belongs to no request.
pub fn push_error(out: &mut Vec<u8>, what: &str) {
    push(out, RESPONSE, 0, Some(FAILED), &[], what.as_bytes());
}

/// Appends the answer to a health check.
pub fn push_health_response(out: &mut Vec<u8>, stream: u32, good: bool, value: Option<f64>) {
    push(
        out,
        HEALTH_RESPONSE,
        stream,
        Some(u8::from(!good)),
        &feedback(value),
        &[],
    );
}

/// Appends the word that no new request may come.
pub fn push_go_away(out: &mut Vec<u8>) {
    push(out, GO_AWAY, 0, None, &[], &[]);
}

#[cfg(test)]
mod tests {
    use super::*;

    fn with(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
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

    const GOOD: [(&str, &str); 8] = [
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
    fn a_request_is_read_with_its_body_as_it_came() {
        let payload = with(&GOOD, &[0, 255, 10]);
        let request = Request::decode(&payload, None).expect("good");
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
    fn a_key_is_read_from_the_field_that_was_named_for_it() {
        let long = "k".repeat(MAX_KEY_BYTES + 1);
        for (key, good) in [("seat-7", true), ("", false), (long.as_str(), false)] {
            let mut fields = GOOD.to_vec();
            fields.push(("once", key));
            let payload = with(&fields, b"");
            assert_eq!(
                Request::decode(&payload, None).map(|request| request.key),
                Ok(None)
            );
            match Request::decode(&payload, Some("once")) {
                Ok(request) => assert!(good && request.key == Some(key.as_bytes())),
                Err(fault) => assert!(!good && fault.contains("key"), "{fault}"),
            }
        }
    }

    #[test]
    fn each_field_is_needed_but_subject_hint_and_rank() {
        for (i, (name, _)) in GOOD.iter().enumerate() {
            let mut fields = GOOD.to_vec();
            fields.remove(i);
            match Request::decode(&with(&fields, b""), None) {
                Ok(request) => match *name {
                    "item" => assert!(!request.has_subject),
                    "cpu" => assert_eq!(request.expected_work, 0),
                    name => assert_eq!((name, request.rank), ("standing", 0.0)),
                },
                Err(fault) => assert!(fault.contains(name), "{fault}"),
            }
        }
    }

    #[test]
    fn a_further_try_is_marked_by_one_and_nothing_else() {
        for (value, good) in [
            ("1", true),
            ("0", false),
            ("", false),
            ("true", false),
            ("11", false),
        ] {
            let mut fields = GOOD.to_vec();
            fields.push(("second", value));
            let payload = with(&fields, b"");
            match Request::decode(&payload, None) {
                Ok(request) => assert!(good && request.is_retry),
                Err(fault) => assert!(!good && fault.contains("`second`"), "{fault}"),
            }
        }
        assert!(
            !Request::decode(&with(&GOOD, b""), None)
                .expect("good")
                .is_retry,
            "absent means first"
        );
    }

    #[test]
    fn a_field_that_comes_twice_is_named() {
        for (name, value) in GOOD {
            let mut fields = GOOD.to_vec();
            fields.push((name, value));
            let fault = Request::decode(&with(&fields, b""), None).expect_err(name);
            assert!(
                fault.contains(name) && fault.contains("repeated"),
                "{fault}"
            );
        }
    }

    #[test]
    fn values_out_of_place_are_named() {
        for (place, value) in [
            (1, "9b1f"),
            (1, "+b1f03aa5c7e2d41"),
            (2, "-1"),
            (3, ""),
            (4, "inf"),
            (5, "0"),
            (5, "2000"),
            (6, "-0.1"),
        ] {
            let mut fields = GOOD;
            fields[place].1 = value;
            let fault = Request::decode(&with(&fields, b""), None).expect_err(value);
            assert!(fault.contains(GOOD[place].0), "{fault}");
        }
    }

    #[test]
    fn no_cut_of_a_frame_is_read_as_a_whole_and_none_panics() {
        let payload = with(&GOOD, b"body");
        let mut whole = Vec::new();
        whole.extend_from_slice(&(payload.len() as u32 + 5).to_be_bytes());
        whole.extend_from_slice(&[REQUEST, 0, 0, 0, 9]);
        whole.extend_from_slice(&payload);
        for cut in 0..whole.len() {
            assert_eq!(parse_frame(&whole[..cut]), ParsedFrame::Incomplete);
        }
        let frame = ParsedFrame::Frame {
            kind: REQUEST,
            stream: 9,
            payload: 9..whole.len(),
        };
        assert_eq!(parse_frame(&[&whole[..], &[1, 2, 3]].concat()), frame);
        for cut in 0..payload.len() - 4 {
            assert!(Request::decode(&payload[..cut], None).is_err());
        }
    }

    #[test]
    fn lengths_at_the_bounds() {
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
    fn answers_carry_advice_and_the_free_value() {
        let mut out = Vec::new();
        push_response(
            &mut out,
            3,
            &Response::Rejected {
                retry_after: 1_001,
                no_failover: true,
            },
            Some(0.25),
        );
        let fields = with(
            &[("feedback", "0.2500"), ("later", "2"), ("giveup", "1")],
            b"",
        );
        assert_eq!(out[4..10], [RESPONSE, 0, 0, 0, 3, REFUSED]);
        assert_eq!(out[10..], fields);
        assert_eq!(out[..4], ((out.len() - 4) as u32).to_be_bytes());
        out.clear();
        push_health_response(&mut out, 0, false, Some(3.0));
        assert_eq!(
            out[4..],
            [
                &[HEALTH_RESPONSE, 0, 0, 0, 0, 1][..],
                &with(&[("feedback", "3.0000")], b"")
            ]
            .concat()
        );
    }
}
