//! The status of a server: metrics in JSON for operators, and reports of one line each to the
//! supervisor on the same host. The server does not depend on the supervisor, and an absent or slow
//! one does not delay it.

use cleatpulley_connection_admission::decision::Counters as AdmissionCounts;
use cleatpulley_dispatcher::{ClassCounters, Counters};
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde::Serialize;
use serde_json::{json, Map, Value};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::path::PathBuf;

/// The supervisor's request to close the shared listener, a line that is sent once on a connection.
pub const CLOSE_LISTENER_REQUEST: &[u8] = b"{\"close_listener\":true}\n";

/// The status of a server, as reported to the supervisor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Status {
    /// Speed of the runtime, as a fraction of the speed of a warm one.
    pub warmth: f64,
    /// Number of requests served since the start.
    pub served: u64,
    /// Number of requests that expired without another response since the start.
    #[serde(rename = "late")]
    pub expired: u64,
    /// Number of requests rejected since the start.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of requests failed since the start.
    pub failed: u64,
    /// Number of requests without a response yet.
    #[serde(rename = "held")]
    pub pending: usize,
    /// The server is shutting down.
    #[serde(rename = "drains")]
    pub is_draining: bool,
}

/// Returns the metrics for operators as a line of JSON.
#[must_use]
pub fn metrics_json(
    class_names: &[String],
    counters: &Counters,
    pending_requests: usize,
    admission: Option<AdmissionCounts>,
    tls: Option<Value>,
) -> Vec<u8> {
    let operations: Map<_, _> = class_names
        .iter()
        .zip(counters.classes())
        .map(|(name, counters)| (name.clone(), class_metrics(counters)))
        .collect();
    let mut metrics = json!({
        "operations": operations,
        "open_requests": pending_requests,
        "relayed": counters.total().forwarded,
    });
    if let Some(counts) = admission {
        metrics["connections"] = json!({
            "admitted": counts.admitted,
            "in_place_of_another": counts.evicted,
            "refused_by_rate": counts.rejected_by_rate,
            "refused_by_places": counts.rejected_by_slots,
            "refused_as_full": counts.rejected_as_full,
        });
    }
    if let Some(tls) = tls {
        metrics["tls"] = tls;
    }
    let mut bytes = metrics.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

fn class_metrics(counters: &ClassCounters) -> Value {
    json!({
        "fulfilled": counters.served,
        "throttled": counters.rejected,
        "faulted": counters.failed,
        "relayed": counters.forwarded,
    })
}

/// The supervisor's socket, and the identity of this instance.
#[derive(Debug, Clone)]
pub struct FleetLink {
    /// Path of the socket.
    pub socket: PathBuf,
    /// Incarnation number of the instance.
    pub incarnation: u64,
    /// Token that authenticates the instance.
    pub token: String,
}

/// The first line of a connection to the supervisor.
#[derive(Serialize)]
struct Hello<'a> {
    incarnation: u64,
    token: &'a str,
    pid: u32,
}

/// Reports the status to the supervisor.
pub struct StatusReporter {
    link: FleetLink,
    /// `None` while there is no connection.
    socket: Option<Socket>,
    /// The supervisor has requested that the shared listener be closed.
    is_close_requested: bool,
}

impl StatusReporter {
    /// Creates a reporter that connects with its first report.
    #[must_use]
    pub fn new(link: FleetLink) -> Self {
        Self {
            link,
            socket: None,
            is_close_requested: false,
        }
    }

    /// Reports the status. If the supervisor does not accept or read, the report is dropped, and
    /// the next one reconnects. A new connection passes on `shared_listener`, the listener that all
    /// instances share: a restarted supervisor gets it back from them.
    pub fn report(&mut self, status: &Status, shared_listener: Option<&TcpListener>) {
        if self.socket.is_none() {
            self.socket = self.connect(shared_listener).ok();
        }
        self.receive_request();
        let sent = self.socket.as_ref().map(|socket| send(socket, status));
        if !matches!(sent, Some(Ok(()))) {
            self.socket = None;
        }
    }

    /// Returns true once after the supervisor has requested that the shared listener be closed, since
    /// another instance accepts on it.
    pub fn take_close_request(&mut self) -> bool {
        std::mem::take(&mut self.is_close_requested)
    }

    /// Reads the supervisor's only request. An instance of an earlier release reads nothing.
    fn receive_request(&mut self) {
        let mut buffer = [0; CLOSE_LISTENER_REQUEST.len()];
        let Some(mut socket) = self.socket.as_ref() else {
            return;
        };
        let length = socket.read(&mut buffer).unwrap_or(0);
        self.is_close_requested |= buffer[..length] == *CLOSE_LISTENER_REQUEST;
    }

    fn connect(&self, shared_listener: Option<&TcpListener>) -> io::Result<Socket> {
        let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
        // A supervisor that does not accept must not block the event loop.
        socket.set_nonblocking(true)?;
        socket.connect(&SockAddr::unix(&self.link.socket)?)?;
        let bytes = to_line(&Hello {
            incarnation: self.link.incarnation,
            token: &self.link.token,
            pid: std::process::id(),
        })?;
        let mut control_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut control_space);
        let listeners: Vec<_> = shared_listener.iter().map(AsFd::as_fd).collect();
        if !listeners.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&listeners));
        }
        let flags = SendFlags::NOSIGNAL;
        let sent = sendmsg(&socket, &[IoSlice::new(&bytes)], &mut control, flags)?;
        check_complete(sent, &bytes)?;
        Ok(socket)
    }
}

fn to_line(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut bytes = serde_json::to_vec(value)?;
    bytes.push(b'\n');
    Ok(bytes)
}

/// Fails if a line was sent only in part: the connection can't be used afterwards.
fn check_complete(sent: usize, bytes: &[u8]) -> io::Result<()> {
    if sent == bytes.len() {
        return Ok(());
    }
    Err(io::ErrorKind::WriteZero.into())
}

fn send(mut socket: &Socket, status: &Status) -> io::Result<()> {
    let bytes = to_line(status)?;
    check_complete(socket.write(&bytes)?, &bytes)
}
