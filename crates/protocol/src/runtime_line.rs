//! The codec of the runtime's lines: commands to JSON, JSON to notices. No sockets here.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use cleatpulley_policy::interface::{Micros, RequestId};
use serde::Deserialize;
use serde_json::json;
use std::borrow::Cow;

/// Writes the line of a start.
#[must_use]
pub fn encode_start(id: RequestId, route: &str, body: &[u8]) -> Vec<u8> {
    line(
        &json!({"t": "start", "rid": format_request_id(id), "route": route, "b64": STANDARD.encode(body)}),
    )
}

/// Writes the line that hands over the reply to a call.
#[must_use]
pub fn encode_call_reply(id: RequestId, body: &[u8]) -> Vec<u8> {
    line(&json!({"t": "give", "rid": format_request_id(id), "b64": STANDARD.encode(body)}))
}

/// Writes the line that leaves out a call.
#[must_use]
pub fn encode_call_omission(id: RequestId, notice: u64) -> Vec<u8> {
    line(&json!({"t": "omit", "rid": format_request_id(id), "no": notice}))
}

/// Stops a run.
#[must_use]
pub fn encode_stop(id: RequestId) -> Vec<u8> {
    line(&json!({"t": "stop", "rid": format_request_id(id)}))
}

/// Writes the first line of a link.
#[must_use]
pub fn encode_sync(notice: u64) -> Vec<u8> {
    line(&json!({"t": "sync", "no": notice}))
}

/// Writes the line that asks for the gauges.
#[must_use]
pub fn encode_gauges_request(mark: u64) -> Vec<u8> {
    line(&json!({"t": "gauges", "mark": mark.to_string()}))
}

fn line(value: &serde_json::Value) -> Vec<u8> {
    let mut line = value.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// An id as it stands on the sockets.
#[must_use]
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:016x}")
}

/// A line from the runtime.
#[derive(Debug, Deserialize)]
pub struct Notice<'a> {
    /// Its kind.
    #[serde(rename = "t", borrow)]
    pub kind: Cow<'a, str>,
    /// Its number, where it has one.
    #[serde(rename = "no")]
    pub number: Option<u64>,
    #[serde(borrow)]
    rid: Option<Cow<'a, str>>,
    /// A state, an end or a command.
    #[serde(borrow, default)]
    pub status: Cow<'a, str>,
    #[serde(default)]
    time_ms: f64,
    #[serde(borrow)]
    b64: Option<Cow<'a, str>>,
    #[serde(borrow)]
    mark: Option<Cow<'a, str>>,
    /// The gauges.
    #[serde(rename = "v", default)]
    pub gauges: Vec<f64>,
}

impl<'a> Notice<'a> {
    /// Reads a line.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn decode(line: &'a [u8]) -> Result<Self, String> {
        serde_json::from_slice(line).map_err(|e| e.to_string())
    }

    /// The request it is about.
    ///
    /// # Errors
    /// Where there is none.
    pub fn request_id(&self) -> Result<RequestId, String> {
        let text = self.rid.as_deref().unwrap_or_default();
        RequestId::from_str_radix(text, 16).map_err(|_| format!("rid {text:?} is no id"))
    }

    /// Its body; none is an empty one.
    ///
    /// # Errors
    /// Where it is not base64.
    pub fn body(&self) -> Result<Vec<u8>, String> {
        STANDARD
            .decode(self.b64.as_deref().unwrap_or_default())
            .map_err(|e| format!("b64: {e}"))
    }

    /// The time it tells.
    #[must_use]
    pub fn duration(&self) -> Micros {
        (self.time_ms.max(0.0) * 1_000.0) as Micros
    }

    /// The mark of the gauges that it answers.
    #[must_use]
    pub fn gauges_mark(&self) -> Option<u64> {
        self.mark.as_deref().and_then(|mark| mark.parse().ok())
    }
}
