//! The state machine of a front end's connection: several requests may be open at once, each on its
//! own stream.

use super::codec::{self, ParsedFrame, Request};
use crate::state_machine::{ConnectionState, ConnectionStateMachine, ConnectionStatus, Context};
use cleatpulley_dispatcher::{ClientStream, IncomingRequest, RequestHead, Response};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Maximum number of open requests per connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// The first frame of a connection, and every frame that has begun, must be complete after this
/// time.
const FRAME_TIMEOUT: Micros = 2_000_000;
/// Time that a front end has to close its connection after it was told to send no new request.
pub const DRAIN_TIMEOUT: Micros = 1_000_000;
/// Maximum number of ranges of used streams that are stored per connection.
const MAX_STREAM_RANGES: usize = 64;

/// Options of the frame protocol, which differ between deployments.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FrameOptions {
    /// Name of the field with the idempotency key, if any.
    pub key_field: Option<String>,
    /// Whether front ends cancel requests that their callers no longer wait for.
    pub supports_cancel: bool,
}

/// The streams used on a connection, as ranges of numbers; mostly a single one.
#[derive(Debug, Default)]
struct UsedStreams(Vec<(u32, u32)>);

impl UsedStreams {
    /// Marks a stream as used. Returns false if it already was.
    fn mark_used(&mut self, stream: u32) -> bool {
        let index = self.0.partition_point(|range| range.1 < stream);
        if self.0.get(index).is_some_and(|range| range.0 <= stream) {
            return false;
        }
        self.0.insert(index, (stream, stream));
        if self
            .0
            .get(index + 1)
            .is_some_and(|next| next.0 - 1 == stream)
        {
            self.0[index].1 = self.0.remove(index + 1).1;
        }
        if index > 0 && self.0[index - 1].1 + 1 == stream {
            self.0[index - 1].1 = self.0.remove(index).1;
        }
        if self.0.len() > MAX_STREAM_RANGES {
            // The streams between the two lowest ranges count as used from here on.
            self.0[0].1 = self.0.remove(1).1;
        }
        true
    }
}

/// The state of a front end's connection.
#[derive(Debug)]
pub struct Connection {
    status: ConnectionStatus,
    used_streams: UsedStreams,
    open_streams: BTreeSet<u32>,
    /// When the first byte of the incomplete frame arrived.
    frame_began_at: Option<Micros>,
    /// Remaining bytes of an oversized frame that is skipped.
    skip_bytes: usize,
    options: Rc<FrameOptions>,
    /// Cancelled streams that have not been reported yet.
    cancelled: Vec<u32>,
    /// The host that routes match, if requests are forwarded; they are handed over with their
    /// frames then.
    relay_host: Option<Rc<str>>,
}

impl Connection {
    /// Creates the state of a connection accepted at `now`.
    #[must_use]
    pub fn new(now: Micros, options: Rc<FrameOptions>) -> Self {
        let (status, used_streams, open_streams) = (
            ConnectionStatus::new(now),
            UsedStreams::default(),
            BTreeSet::new(),
        );
        Self {
            status,
            used_streams,
            open_streams,
            frame_began_at: None,
            skip_bytes: 0,
            options,
            cancelled: Vec::new(),
            relay_host: None,
        }
    }

    /// Forwards requests, as a gateway does; its routes match this host.
    #[must_use]
    pub fn with_relay_host(self, host: Rc<str>) -> Self {
        Self {
            relay_host: Some(host),
            ..self
        }
    }

    /// Handles a frame; an oversized one has no payload here.
    fn handle_frame(
        &mut self,
        (kind, stream): (u8, u32),
        payload: Option<&[u8]>,
        context: &Context,
        output: &mut Vec<u8>,
        requests: &mut Vec<IncomingRequest>,
    ) {
        let frame_began_at = self.frame_began_at.take().unwrap_or(context.now);
        match kind {
            codec::REQUEST if stream == 0 => {
                self.report_error(context, 0, "a request on stream 0", output);
            }
            codec::REQUEST if !self.used_streams.mark_used(stream) => {
                self.report_error(
                    context,
                    0,
                    &format!("stream {stream} was used before"),
                    output,
                );
            }
            // Rejects a client that goes on as if it had not been told to stop. A frame that
            // arrives slowly counts from its first byte.
            codec::REQUEST if matches!(self.status.state, ConnectionState::Draining(since) if frame_began_at >= since + DRAIN_TIMEOUT) =>
            {
                self.report_error(
                    context,
                    0,
                    "a request long after the word that none may come",
                    output,
                );
            }
            codec::REQUEST if self.open_streams.len() >= MAX_OPEN_REQUESTS => {
                self.report_error(context, stream, "too many open requests", output);
            }
            codec::REQUEST => match payload.ok_or("the frame is too large".to_owned()) {
                Ok(payload) => {
                    match decode_request(
                        payload,
                        stream,
                        self.options.key_field.as_deref(),
                        context,
                    ) {
                        Ok(mut request) => {
                            if let Some(host) = &self.relay_host {
                                request.head = codec::parse_fields(payload).map(|(fields, _)| {
                                    Box::new(request_head(host, &fields, payload))
                                });
                            }
                            self.open_streams.insert(stream);
                            self.status.open_requests += 1;
                            requests.push(request);
                        }
                        Err(message) => self.report_error(context, stream, &message, output),
                    }
                }
                Err(message) => self.report_error(context, stream, &message, output),
            },
            codec::CANCEL if self.options.supports_cancel && stream == 0 => {
                self.report_error(context, 0, "nobody can have waited for stream 0", output);
            }
            // A cancellation that crossed its response, or of a stream without a request, has no
            // effect.
            codec::CANCEL if self.options.supports_cancel => {
                if self.open_streams.remove(&stream) {
                    self.status.open_requests -= 1;
                    self.cancelled.push(stream);
                }
                if payload.is_none_or(|payload| !payload.is_empty()) {
                    self.report_error(
                        context,
                        0,
                        "a word that nobody waits has no payload",
                        output,
                    );
                }
            }
            codec::HEALTH_CHECK => {
                codec::push_health_response(output, stream, context.is_healthy, context.feedback);
                if !payload.is_some_and(codec::has_complete_fields) {
                    self.report_error(context, 0, "a health check without fields", output);
                }
            }
            other => self.report_error(context, 0, &format!("a frame of type {other}"), output),
        }
    }

    /// Responds to a protocol error. On a stream, the request fails and the connection accepts no
    /// new ones; on stream 0, nothing more is read from the connection. It is closed once its other
    /// requests have their responses.
    fn report_error(
        &mut self,
        context: &Context,
        stream: u32,
        message: &str,
        output: &mut Vec<u8>,
    ) {
        // Logged once per connection: the peer can cause more errors as fast as it can send.
        if self.status.state == ConnectionState::Open {
            tracing::warn!("front end connection {}: {message}", context.connection_id);
        }
        if stream == 0 {
            self.stop_reading(message, output);
        } else {
            codec::push_response(output, stream, &Response::Failed, None);
            self.stop_accepting_requests(context, output);
        }
    }

    /// Reports an error and stops reading; open requests still get their responses.
    fn stop_reading(&mut self, message: &str, output: &mut Vec<u8>) {
        codec::push_error(output, message);
        self.status.state = ConnectionState::Closing;
    }
}

impl ConnectionStateMachine for Connection {
    fn status(&self) -> &ConnectionStatus {
        &self.status
    }

    fn status_mut(&mut self) -> &mut ConnectionStatus {
        &mut self.status
    }

    fn receive(
        &mut self,
        context: &Context,
        input: &[u8],
        output: &mut Vec<u8>,
        requests: &mut Vec<IncomingRequest>,
    ) -> usize {
        let mut consumed = 0;
        let mut has_complete_frame = false;
        while consumed < input.len() {
            let rest = &input[consumed..];
            if self.status.state == ConnectionState::Closing {
                consumed = input.len();
            } else if self.skip_bytes > 0 {
                let skipped = self.skip_bytes.min(rest.len());
                self.skip_bytes -= skipped;
                consumed += skipped;
                if self.skip_bytes == 0 {
                    (has_complete_frame, self.frame_began_at) = (true, None);
                }
            } else {
                match codec::parse_frame(rest) {
                    ParsedFrame::Incomplete => break,
                    ParsedFrame::Frame {
                        kind,
                        stream,
                        payload,
                    } => {
                        consumed += payload.end;
                        has_complete_frame = true;
                        self.handle_frame(
                            (kind, stream),
                            Some(&rest[payload]),
                            context,
                            output,
                            requests,
                        );
                    }
                    ParsedFrame::Oversized {
                        kind,
                        stream,
                        frame_bytes: has_complete_frame,
                    } => {
                        self.skip_bytes = has_complete_frame;
                        self.handle_frame((kind, stream), None, context, output, requests);
                    }
                    ParsedFrame::InvalidLength(length) => {
                        self.report_error(
                            context,
                            0,
                            &format!("no frame has the length {length}"),
                            output,
                        );
                    }
                }
            }
        }
        if has_complete_frame {
            self.status.has_received_message = true;
            self.status.last_activity_at = context.now;
            self.status.waiting_since = None;
        }
        if consumed < input.len() || self.skip_bytes > 0 {
            self.status.waiting_since = self.status.waiting_since.or(Some(context.now));
            self.frame_began_at = self.frame_began_at.or(Some(context.now));
        }
        consumed
    }

    fn respond(
        &mut self,
        context: &Context,
        stream: u32,
        response: &Response,
        output: &mut Vec<u8>,
    ) -> bool {
        if !self.open_streams.remove(&stream) {
            return false;
        }
        codec::push_response(output, stream, response, context.feedback);
        let is_rejected = matches!(response, Response::Rejected { .. });
        if is_rejected && is_bug_injected(InjectedBug::ResponseSentTwice) {
            codec::push_response(output, stream, response, context.feedback);
        }
        self.status.open_requests -=
            usize::from(!(is_rejected && is_bug_injected(InjectedBug::ConnectionSlotLeaked)));
        self.status.last_activity_at = context.now;
        true
    }

    fn take_cancelled_streams(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.cancelled)
    }

    fn deadline(&self) -> Option<Micros> {
        let is_closing = self.status.state == ConnectionState::Closing;
        self.status
            .waiting_since
            .filter(|_| !is_closing)
            .map(|since| since + FRAME_TIMEOUT)
    }

    fn handle_timeout(&mut self, context: &Context, output: &mut Vec<u8>) {
        tracing::debug!(
            "front end connection {}: no whole frame in time",
            context.connection_id
        );
        // A peer that was told to send no new request needs no further message.
        if self.status.state == ConnectionState::Open {
            self.stop_reading("no whole frame in time", output);
        }
        self.status.state = ConnectionState::Closing;
    }

    /// Front ends learn of the shutdown from the directory and from health checks; their requests
    /// are served as before.
    fn begin_shutdown(&mut self, _: &Context, _: &mut Vec<u8>) {}

    fn stop_accepting_requests(&mut self, context: &Context, output: &mut Vec<u8>) {
        if self.status.state == ConnectionState::Open {
            codec::push_go_away(output);
            self.status.state = ConnectionState::Draining(context.now);
        }
    }
}

/// Returns the request as HTTP would describe it. A frame has no path; the name of its class serves
/// as one.
fn request_head(host: &str, fields: &[(&str, &str)], payload: &[u8]) -> RequestHead {
    let value = |wanted_name: &str| {
        fields
            .iter()
            .find(|(name, _)| *name == wanted_name)
            .map_or("", |(_, value)| value)
    };
    RequestHead {
        method: "POST".to_owned(),
        host: host.to_owned(),
        target: format!("/{}", value("verb")),
        headers: fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect(),
        remote_address: value("lb").to_owned(),
        frame: Some(payload.to_vec()),
    }
}

fn decode_request(
    payload: &[u8],
    stream: u32,
    key_field: Option<&str>,
    context: &Context,
) -> Result<IncomingRequest, String> {
    let request = Request::decode(payload, key_field)?;
    let class = context
        .class_names
        .iter()
        .position(|name| name == request.class);
    Ok(IncomingRequest {
        client: ClientStream {
            connection: context.connection_id,
            stream,
        },
        id: request.id,
        class: class.ok_or_else(|| format!("field `verb` names no class: {:?}", request.class))?,
        caller: request.caller,
        received_at: request.received_at,
        expected_work: request.expected_work,
        memory_kb: request.memory_kb,
        rank: request.rank,
        is_retry: request.is_retry,
        has_subject: request.has_subject,
        key: request.key.map(Box::from),
        body: request.body.to_vec(),
        head: None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_stream_can_be_used_once_in_any_order() {
        let mut used_streams = UsedStreams::default();
        for stream in [1, 2, 3, 7, 5, 6, 4, u32::MAX, 9] {
            assert!(used_streams.mark_used(stream), "{stream}");
            assert!(!used_streams.mark_used(stream), "{stream}");
        }
        assert_eq!(used_streams.0, [(1, 7), (9, 9), (u32::MAX, u32::MAX)]);
    }

    #[test]
    fn stored_stream_ranges_are_bounded() {
        let mut used_streams = UsedStreams::default();
        for n in 1..1_000 {
            assert!(used_streams.mark_used(2 * n));
        }
        assert_eq!(used_streams.0.len(), MAX_STREAM_RANGES);
        assert!(
            !used_streams.mark_used(2),
            "a stream between merged ranges counts as used"
        );
    }
}
