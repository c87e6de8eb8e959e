//! A front end's connection that speaks frames: many requests open at once, told apart by their streams.

use super::codec::{self, ParsedFrame, Request};
use crate::state_machine::{ConnectionState, ConnectionStateMachine, ConnectionStatus, Context};
use cleatpulley_dispatcher::{ClientStream, IncomingRequest, RequestHead, Response};
use cleatpulley_policy::bug_injection::{is_bug_injected, InjectedBug};
use cleatpulley_policy::interface::Micros;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Requests that may be open on a connection.
const OPEN: usize = 32;
/// A frame that began, or the first one of a connection, has to be whole after this time.
const SILENCE: Micros = 2_000_000;
/// After the word that no new request may come, the front end is left this long to close.
pub const DRAIN_TIMEOUT: Micros = 1_000_000;
/// Runs of used streams that are remembered for each connection.
const RUNS: usize = 64;

/// What frames may say at a deployment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FrameOptions {
    /// The field that keys stand in, if any.
    pub key_field: Option<String>,
    /// Front ends tell where nobody waits any more.
    pub supports_cancel: bool,
}

/// The streams used on a connection, as runs of numbers: mostly one run.
#[derive(Debug, Default)]
struct Streams(Vec<(u32, u32)>);

impl Streams {
    /// Marks a stream as used; false when it was.
    fn take(&mut self, stream: u32) -> bool {
        let place = self.0.partition_point(|run| run.1 < stream);
        if self.0.get(place).is_some_and(|run| run.0 <= stream) {
            return false;
        }
        self.0.insert(place, (stream, stream));
        if self
            .0
            .get(place + 1)
            .is_some_and(|next| next.0 - 1 == stream)
        {
            self.0[place].1 = self.0.remove(place + 1).1;
        }
        if place > 0 && self.0[place - 1].1 + 1 == stream {
            self.0[place - 1].1 = self.0.remove(place).1;
        }
        if self.0.len() > RUNS {
            // What lies between the two oldest runs counts as used.
            self.0[0].1 = self.0.remove(1).1;
        }
        true
    }
}

/// The connection.
#[derive(Debug)]
pub struct Connection {
    status: ConnectionStatus,
    streams: Streams,
    open: BTreeSet<u32>,
    /// When the frame began of which a part is here.
    began: Option<Micros>,
    /// Bytes of a frame that is passed over.
    skip: usize,
    terms: Rc<FrameOptions>,
    /// Streams that nobody waits for any more, which is still to be told.
    cancelled: Vec<u32>,
    /// Requests are to be sent on: they are handed over as they came.
    relays: Option<Rc<str>>,
}

impl Connection {
    /// One accepted now.
    #[must_use]
    pub fn new(now: Micros, terms: Rc<FrameOptions>) -> Self {
        let (status, streams, open) = (
            ConnectionStatus::new(now),
            Streams::default(),
            BTreeSet::new(),
        );
        Self {
            status,
            streams,
            open,
            began: None,
            skip: 0,
            terms,
            cancelled: Vec::new(),
            relays: None,
        }
    }

    /// The same for a gateway, whose routes look for this host.
    #[must_use]
    pub fn with_relay_host(self, host: Rc<str>) -> Self {
        Self {
            relays: Some(host),
            ..self
        }
    }

    /// Takes one frame; one too large comes without its payload.
    fn take_frame(
        &mut self,
        (kind, stream): (u8, u32),
        payload: Option<&[u8]>,
        context: &Context,
        out: &mut Vec<u8>,
        arrivals: &mut Vec<IncomingRequest>,
    ) {
        let began = self.began.take().unwrap_or(context.now);
        match kind {
            codec::REQUEST if stream == 0 => self.fault(context, 0, "a request on stream 0", out),
            codec::REQUEST if !self.streams.take(stream) => {
                self.fault(context, 0, &format!("stream {stream} was used before"), out);
            }
            // Guards against a client that goes on as if it had not been told to stop; one that writes slowly began before.
            codec::REQUEST if matches!(self.status.state, ConnectionState::Draining(since) if began >= since + DRAIN_TIMEOUT) =>
            {
                self.fault(
                    context,
                    0,
                    "a request long after the word that none may come",
                    out,
                );
            }
            codec::REQUEST if self.open.len() >= OPEN => {
                self.fault(context, stream, "too many open requests", out);
            }
            codec::REQUEST => match payload.ok_or("the frame is too large".to_owned()) {
                Ok(payload) => {
                    match arrival(payload, stream, self.terms.key_field.as_deref(), context) {
                        Ok(mut arrival) => {
                            if let Some(host) = &self.relays {
                                arrival.head = codec::parse_fields(payload)
                                    .map(|(fields, _)| Box::new(head(host, &fields, payload)));
                            }
                            self.open.insert(stream);
                            self.status.open_requests += 1;
                            arrivals.push(arrival);
                        }
                        Err(what) => self.fault(context, stream, &what, out),
                    }
                }
                Err(what) => self.fault(context, stream, &what, out),
            },
            codec::CANCEL if self.terms.supports_cancel && stream == 0 => {
                self.fault(context, 0, "nobody can have waited for stream 0", out);
            }
            // One whose answer crossed it, or that was never asked for, is nothing any more.
            codec::CANCEL if self.terms.supports_cancel => {
                if self.open.remove(&stream) {
                    self.status.open_requests -= 1;
                    self.cancelled.push(stream);
                }
                if payload.is_none_or(|payload| !payload.is_empty()) {
                    self.fault(context, 0, "a word that nobody waits has no payload", out);
                }
            }
            codec::HEALTH_CHECK => {
                codec::push_health_response(out, stream, context.is_healthy, context.feedback);
                if !payload.is_some_and(codec::has_complete_fields) {
                    self.fault(context, 0, "a health check without fields", out);
                }
            }
            other => self.fault(context, 0, &format!("a frame of type {other}"), out),
        }
    }

    /// Answers what can't be served: the request where there is one, and the connection gets no new ones; else
    /// nothing more is read from it. It is closed when its other requests are answered.
    fn fault(&mut self, context: &Context, stream: u32, what: &str, out: &mut Vec<u8>) {
        // Once a connection: the next faults come as fast as they can be sent.
        if self.status.state == ConnectionState::Open {
            tracing::warn!("front end connection {}: {what}", context.connection_id);
        }
        if stream == 0 {
            self.give_up(what, out);
        } else {
            codec::push_response(out, stream, &Response::Failed, None);
            self.stop_accepting_requests(context, out);
        }
    }

    /// Nothing more is read; what is open is still answered.
    fn give_up(&mut self, what: &str, out: &mut Vec<u8>) {
        codec::push_error(out, what);
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
        out: &mut Vec<u8>,
        arrivals: &mut Vec<IncomingRequest>,
    ) -> usize {
        let mut used = 0;
        let mut whole = false;
        while used < input.len() {
            let rest = &input[used..];
            if self.status.state == ConnectionState::Closing {
                used = input.len();
            } else if self.skip > 0 {
                let passed = self.skip.min(rest.len());
                self.skip -= passed;
                used += passed;
                if self.skip == 0 {
                    (whole, self.began) = (true, None);
                }
            } else {
                match codec::parse_frame(rest) {
                    ParsedFrame::Incomplete => break,
                    ParsedFrame::Frame {
                        kind,
                        stream,
                        payload,
                    } => {
                        used += payload.end;
                        whole = true;
                        self.take_frame(
                            (kind, stream),
                            Some(&rest[payload]),
                            context,
                            out,
                            arrivals,
                        );
                    }
                    ParsedFrame::Oversized {
                        kind,
                        stream,
                        frame_bytes: whole,
                    } => {
                        self.skip = whole;
                        self.take_frame((kind, stream), None, context, out, arrivals);
                    }
                    ParsedFrame::InvalidLength(length) => {
                        self.fault(
                            context,
                            0,
                            &format!("no frame has the length {length}"),
                            out,
                        );
                    }
                }
            }
        }
        if whole {
            self.status.has_received_message = true;
            self.status.last_activity_at = context.now;
            self.status.waiting_since = None;
        }
        if used < input.len() || self.skip > 0 {
            self.status.waiting_since = self.status.waiting_since.or(Some(context.now));
            self.began = self.began.or(Some(context.now));
        }
        used
    }

    fn respond(
        &mut self,
        context: &Context,
        stream: u32,
        answer: &Response,
        out: &mut Vec<u8>,
    ) -> bool {
        if !self.open.remove(&stream) {
            return false;
        }
        codec::push_response(out, stream, answer, context.feedback);
        let refused = matches!(answer, Response::Rejected { .. });
        if refused && is_bug_injected(InjectedBug::ResponseSentTwice) {
            codec::push_response(out, stream, answer, context.feedback);
        }
        self.status.open_requests -=
            usize::from(!(refused && is_bug_injected(InjectedBug::ConnectionSlotLeaked)));
        self.status.last_activity_at = context.now;
        true
    }

    fn take_cancelled_streams(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.cancelled)
    }

    fn deadline(&self) -> Option<Micros> {
        let ends = self.status.state == ConnectionState::Closing;
        self.status
            .waiting_since
            .filter(|_| !ends)
            .map(|since| since + SILENCE)
    }

    fn handle_timeout(&mut self, context: &Context, out: &mut Vec<u8>) {
        tracing::debug!(
            "front end connection {}: no whole frame in time",
            context.connection_id
        );
        // One that was told to part knows that it is to end.
        if self.status.state == ConnectionState::Open {
            self.give_up("no whole frame in time", out);
        }
        self.status.state = ConnectionState::Closing;
    }

    /// Front ends learn it from the directory and from health checks; their requests are answered as before.
    fn begin_shutdown(&mut self, _: &Context, _: &mut Vec<u8>) {}

    fn stop_accepting_requests(&mut self, context: &Context, out: &mut Vec<u8>) {
        if self.status.state == ConnectionState::Open {
            codec::push_go_away(out);
            self.status.state = ConnectionState::Draining(context.now);
        }
    }
}

/// A frame names no path: its class is one.
fn head(host: &str, fields: &[(&str, &str)], payload: &[u8]) -> RequestHead {
    let value = |wanted: &str| {
        fields
            .iter()
            .find(|(name, _)| *name == wanted)
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

fn arrival(
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
    fn each_stream_is_taken_once_in_any_order() {
        let mut streams = Streams::default();
        for stream in [1, 2, 3, 7, 5, 6, 4, u32::MAX, 9] {
            assert!(streams.take(stream), "{stream}");
            assert!(!streams.take(stream), "{stream}");
        }
        assert_eq!(streams.0, [(1, 7), (9, 9), (u32::MAX, u32::MAX)]);
    }

    #[test]
    fn the_memory_of_used_streams_is_bounded() {
        let mut streams = Streams::default();
        for n in 1..1_000 {
            assert!(streams.take(2 * n));
        }
        assert_eq!(streams.0.len(), RUNS);
        assert!(!streams.take(2), "what was forgotten counts as used");
    }
}
