//! The codec of front end frames: bytes to frames and requests, answers to bytes. No sockets here.

use crate::exchange::Answer;
use crate::interface::{Micros, RequestId};
use std::ops::Range;

/// A request, and its answer.
pub const REQUEST: u8 = 0;
/// The answer to a request, or an error that belongs to none.
pub const ANSWER: u8 = 1;
/// A health check.
pub const CHECK: u8 = 6;
/// The answer to a health check.
pub const HEALTH: u8 = 7;
/// No new request on this connection.
pub const GOODBYE: u8 = 9;

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
/// Memory booked for a request stays under this many KB.
const MOST_MEMORY: f64 = 2_000.0;

/// What stands at the front of the bytes read.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Not all of it has come.
    Short,
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
    Large {
        /// Its type.
        kind: u8,
        /// Its stream.
        stream: u32,
        /// Bytes of the whole frame.
        whole: usize,
    },
    /// A length that no frame has; nothing after it can be read.
    Lost(usize),
}

/// Looks at the front of the bytes.
#[must_use]
pub fn parse(bytes: &[u8]) -> Parsed {
    let Some(length) = bytes.first_chunk().map(|b| u32::from_be_bytes(*b) as usize) else {
        return Parsed::Short;
    };
    if !LENGTHS.contains(&length) {
        return Parsed::Lost(length);
    }
    let (Some(&kind), Some(stream)) = (bytes.get(4), bytes.get(5..).and_then(|b| b.first_chunk())) else {
        return Parsed::Short;
    };
    let (stream, whole) = (u32::from_be_bytes(*stream), 4 + length);
    if length - HEAD > LARGEST {
        return Parsed::Large { kind, stream, whole };
    }
    if bytes.len() < whole {
        return Parsed::Short;
    }
    Parsed::Frame { kind, stream, payload: 4 + HEAD..whole }
}

/// A request as it stands in its frame.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    /// The class's name.
    pub verb: &'a str,
    /// The id.
    pub txn: RequestId,
    /// Arrival at the machine, on the Unix clock.
    pub door: Micros,
    /// The front end.
    pub lb: u64,
    /// Expected work.
    pub cpu: Micros,
    /// Memory in KB.
    pub ram: f64,
    /// Rank.
    pub standing: f64,
    /// It names what it is about.
    pub has_item: bool,
    /// The body.
    pub body: &'a [u8],
}

type Fields<'a> = Vec<(&'a str, &'a str)>;

/// Takes the fields and the body apart.
fn fields(payload: &[u8]) -> Option<(Fields<'_>, &[u8])> {
    let (&count, mut rest) = payload.split_first()?;
    let mut fields = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let (&size, after) = rest.split_first()?;
        let (name, after) = after.split_at_checked(usize::from(size))?;
        let (size, after) = after.split_first_chunk()?;
        let (value, after) = after.split_at_checked(usize::from(u16::from_be_bytes(*size)))?;
        fields.push((std::str::from_utf8(name).ok()?, std::str::from_utf8(value).ok()?));
        rest = after;
    }
    Some((fields, rest))
}

/// Checks that a payload is fields and nothing else matters.
#[must_use]
pub fn is_fields(payload: &[u8]) -> bool {
    fields(payload).is_some()
}

impl<'a> Request<'a> {
    /// Reads a request's payload.
    ///
    /// # Errors
    /// What is wrong with it, naming the field.
    pub fn decode(payload: &'a [u8]) -> Result<Self, String> {
        let (fields, body) = fields(payload).ok_or("the payload ends within its fields")?;
        let find = |name: &str| fields.iter().find(|field| field.0 == name).map(|field| field.1);
        let need = |name: &str| find(name).ok_or_else(|| format!("field `{name}` is missing"));
        let number = |name: &str, most: f64| {
            let value = need(name)?;
            let number = value.parse::<f64>().ok().filter(|n| (0.0..most).contains(n));
            number.ok_or_else(|| format!("field `{name}` is out of place: {value:?}"))
        };
        if body.len() > LARGEST_BODY {
            return Err(format!("the body has {} bytes", body.len()));
        }
        let txn = need("txn")?;
        let hex = txn.len() == 16 && txn.bytes().all(|b| b.is_ascii_hexdigit());
        let id = if hex { RequestId::from_str_radix(txn, 16).ok() } else { None };
        let whole = |name: &str| -> Result<u64, String> {
            let value = need(name)?;
            value.parse().map_err(|_| format!("field `{name}` is out of place: {value:?}"))
        };
        let ram = number("ram", MOST_MEMORY)?;
        if ram <= 0.0 {
            return Err("field `ram` is out of place: it must be above 0".to_owned());
        }
        Ok(Self {
            verb: need("verb")?,
            txn: id.ok_or_else(|| format!("field `txn` is not 16 hex digits: {txn:?}"))?,
            door: whole("door")?.saturating_mul(1_000),
            lb: whole("lb")?,
            cpu: (number("cpu", 1e9)? * 1_000.0) as Micros,
            ram,
            standing: number("standing", 1.0)?,
            has_item: find("item").is_some(),
            body,
        })
    }
}

fn push(out: &mut Vec<u8>, kind: u8, stream: u32, code: Option<u8>, fields: &[(&str, String)], body: &[u8]) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    out.push(kind);
    out.extend_from_slice(&stream.to_be_bytes());
    if let Some(code) = code {
        out.push(code);
        // Names and values are our own and short.
        out.push(fields.len() as u8);
        for (name, value) in fields {
            out.push(name.len() as u8);
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(&(value.len() as u16).to_be_bytes());
            out.extend_from_slice(value.as_bytes());
        }
        out.extend_from_slice(body);
    }
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn feedback(value: Option<f64>) -> Vec<(&'static str, String)> {
    value.map(|value| ("feedback", format!("{value:.4}"))).into_iter().collect()
}

/// Appends the answer to a request. A result too large to be read is no answer: it becomes a failure.
pub fn push_answer(out: &mut Vec<u8>, stream: u32, answer: &Answer, value: Option<f64>) {
    let mut fields = feedback(value);
    match answer {
        Answer::Served(body) if body.len() <= LARGEST_RESULT => {
            push(out, ANSWER, stream, Some(SERVED), &fields, body);
        }
        Answer::Refused { later, last } => {
            if *later > 0 {
                fields.push(("later", later.div_ceil(1_000).to_string()));
            }
            if *last {
                fields.push(("giveup", "1".to_owned()));
            }
            push(out, ANSWER, stream, Some(REFUSED), &fields, &[]);
        }
        Answer::Served(_) | Answer::Failed => push(out, ANSWER, stream, Some(FAILED), &fields, &[]),
    }
}

/// Appends an error that belongs to no request.
pub fn push_error(out: &mut Vec<u8>, what: &str) {
    push(out, ANSWER, 0, Some(FAILED), &[], what.as_bytes());
}

/// Appends the answer to a health check.
pub fn push_health(out: &mut Vec<u8>, stream: u32, good: bool, value: Option<f64>) {
    push(out, HEALTH, stream, Some(u8::from(!good)), &feedback(value), &[]);
}

/// Appends the word that no new request may come.
pub fn push_goodbye(out: &mut Vec<u8>) {
    push(out, GOODBYE, 0, None, &[], &[]);
}
