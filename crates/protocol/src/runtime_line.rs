//! The codec of the JSON lines exchanged with the runtime: encodes commands and decodes notices. No
//! sockets here.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use cleatpulley_policy::interface::{Micros, RequestId};
use serde::Deserialize;
use serde_json::json;
use std::borrow::Cow;

/// Encodes the command that starts a run.
#[must_use]
pub fn encode_start(id: RequestId, route: &str, body: &[u8]) -> Vec<u8> {
    line(
        &json!({"t": "start", "rid": format_request_id(id), "route": route, "b64": STANDARD.encode(body)}),
    )
}

/// Encodes the command that resumes a run with the reply to its call.
#[must_use]
pub fn encode_resume_with_reply(id: RequestId, body: &[u8]) -> Vec<u8> {
    line(&json!({"t": "give", "rid": format_request_id(id), "b64": STANDARD.encode(body)}))
}

/// Encodes the command that resumes a run without the call that it requested with this notice.
#[must_use]
pub fn encode_resume_without_call(id: RequestId, notice: u64) -> Vec<u8> {
    line(&json!({"t": "omit", "rid": format_request_id(id), "no": notice}))
}

/// Encodes the command that stops a run.
#[must_use]
pub fn encode_stop(id: RequestId) -> Vec<u8> {
    line(&json!({"t": "stop", "rid": format_request_id(id)}))
}

/// Encodes the first line of a link, with the number of the last notice received.
#[must_use]
pub fn encode_sync(notice: u64) -> Vec<u8> {
    line(&json!({"t": "sync", "no": notice}))
}

/// Encodes the command that requests the gauges.
#[must_use]
pub fn encode_gauges_request(mark: u64) -> Vec<u8> {
    line(&json!({"t": "gauges", "mark": mark.to_string()}))
}

fn line(value: &serde_json::Value) -> Vec<u8> {
    let mut line = value.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// Formats a request id as it is sent.
#[must_use]
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:016x}")
}

/// A line received from the runtime.
#[derive(Debug, Deserialize)]
pub struct Notice<'a> {
    /// The kind of notice.
    #[serde(rename = "t", borrow)]
    pub kind: Cow<'a, str>,
    /// Sequence number, if the notice has one.
    #[serde(rename = "no")]
    pub number: Option<u64>,
    #[serde(borrow)]
    rid: Option<Cow<'a, str>>,
    /// A state, the end of a run, or a command, depending on the kind.
    #[serde(borrow, default)]
    pub status: Cow<'a, str>,
    #[serde(default)]
    time_ms: f64,
    #[serde(borrow)]
    b64: Option<Cow<'a, str>>,
    #[serde(borrow)]
    mark: Option<Cow<'a, str>>,
    /// Values of the gauges.
    #[serde(rename = "v", default)]
    pub gauges: Vec<f64>,
}

impl<'a> Notice<'a> {
    /// Decodes a line.
    ///
    /// # Errors
    /// Returns what is wrong with the line.
    pub fn decode(line: &'a [u8]) -> Result<Self, String> {
        serde_json::from_slice(line).map_err(|e| e.to_string())
    }

    /// Returns the id of the request that the notice is about.
    ///
    /// # Errors
    /// Returns an error if there is no valid id.
    pub fn request_id(&self) -> Result<RequestId, String> {
        let text = self.rid.as_deref().unwrap_or_default();
        RequestId::from_str_radix(text, 16).map_err(|_| format!("rid {text:?} is no id"))
    }

    /// Returns the body; an absent one is empty.
    ///
    /// # Errors
    /// Returns an error if the body is not base64.
    pub fn body(&self) -> Result<Vec<u8>, String> {
        STANDARD
            .decode(self.b64.as_deref().unwrap_or_default())
            .map_err(|e| format!("b64: {e}"))
    }

    /// Returns the duration that the notice reports.
    #[must_use]
    pub fn duration(&self) -> Micros {
        (self.time_ms.max(0.0) * 1_000.0) as Micros
    }

    /// Returns the mark of the gauges command that the notice replies to.
    #[must_use]
    pub fn gauges_mark(&self) -> Option<u64> {
        self.mark.as_deref().and_then(|mark| mark.parse().ok())
    }
}
