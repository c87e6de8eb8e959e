//! The link to a fleet's daemon on the same host: how the matcher is, a line at a time. It decides nothing by it, and a
//! daemon that is away or slow costs it nothing.

use cleatpulley_connection_admission::admit::Counts as Places;
use cleatpulley_dispatcher::{ClassCounters, Counters};
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde::Serialize;
use serde_json::{json, Map};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{self, IoSlice, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::path::PathBuf;

/// How a matcher is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Status {
    /// Its speed, as a share of a warm one's.
    pub warmth: f64,
    /// Requests served since the start.
    pub served: u64,
    /// Those whose time was over before they could be answered otherwise.
    pub late: u64,
    /// Those turned away.
    pub refused: u64,
    /// Those that failed.
    pub failed: u64,
    /// Requests that owe an answer.
    pub held: usize,
    /// It leaves.
    pub drains: bool,
}

/// The figures that operators are told, as JSON.
#[must_use]
pub fn vars(
    names: &[String],
    counts: &Counters,
    open: usize,
    places: Option<Places>,
    tls: Option<serde_json::Value>,
) -> Vec<u8> {
    let operation = |tally: &ClassCounters| {
        json!({
            "fulfilled": tally.served,
            "throttled": tally.rejected,
            "faulted": tally.failed,
            "relayed": tally.forwarded,
        })
    };
    let operations: Map<_, _> = names
        .iter()
        .zip(counts.classes())
        .map(|(name, tally)| (name.clone(), operation(tally)))
        .collect();
    let mut figures = json!({
        "operations": operations,
        "open_requests": open,
        "relayed": counts.total().forwarded,
    });
    if let Some(places) = places {
        figures["connections"] = json!({
            "admitted": places.admitted,
            "in_place_of_another": places.instead,
            "refused_by_rate": places.rate,
            "refused_by_places": places.places,
            "refused_as_full": places.full,
        });
    }
    if let Some(tls) = tls {
        figures["tls"] = tls;
    }
    let mut bytes = figures.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

/// Where a fleet's daemon listens, and who tells it.
#[derive(Debug, Clone)]
pub struct FleetLink {
    /// Its socket.
    pub socket: PathBuf,
    /// The instance's number.
    pub incarnation: u64,
    /// What proves it.
    pub token: String,
}

#[derive(Serialize)]
struct Hello<'a> {
    incarnation: u64,
    token: &'a str,
    pid: u32,
}

/// Tells a daemon.
pub struct StatusReporter {
    link: FleetLink,
    socket: Option<Socket>,
    /// What all instances listen with: a daemon that comes after another gets it from them.
    listener: Option<TcpListener>,
}

impl StatusReporter {
    /// One that has no link yet.
    #[must_use]
    pub fn new(link: FleetLink, listener: Option<TcpListener>) -> Self {
        Self {
            link,
            socket: None,
            listener,
        }
    }

    /// Says how the matcher is; where nobody listens or nobody reads, nothing is said, and the next time will do.
    pub fn report(&mut self, status: &Status) {
        if self.socket.is_none() {
            self.socket = self.connect().ok();
        }
        let said = self.socket.as_ref().map(|socket| send(socket, status));
        if !matches!(said, Some(Ok(()))) {
            self.socket = None;
        }
    }

    fn connect(&self) -> io::Result<Socket> {
        let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
        // Guards the event loop against a daemon that does not accept.
        socket.set_nonblocking(true)?;
        socket.connect(&SockAddr::unix(&self.link.socket)?)?;
        let (incarnation, token) = (self.link.incarnation, self.link.token.as_str());
        let bytes = line(&Hello {
            incarnation,
            token,
            pid: std::process::id(),
        })?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut along = SendAncillaryBuffer::new(&mut space);
        let passed: Vec<_> = self.listener.iter().map(AsFd::as_fd).collect();
        if !passed.is_empty() {
            along.push(SendAncillaryMessage::ScmRights(&passed));
        }
        whole(
            sendmsg(
                &socket,
                &[IoSlice::new(&bytes)],
                &mut along,
                SendFlags::NOSIGNAL,
            )?,
            &bytes,
        )?;
        Ok(socket)
    }
}

fn line(what: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut bytes = serde_json::to_vec(what)?;
    bytes.push(b'\n');
    Ok(bytes)
}

/// A line is sent whole or not at all: after half of one the link is of no use.
fn whole(sent: usize, bytes: &[u8]) -> io::Result<()> {
    if sent == bytes.len() {
        return Ok(());
    }
    Err(io::ErrorKind::WriteZero.into())
}

fn send(mut socket: &Socket, status: &Status) -> io::Result<()> {
    let bytes = line(status)?;
    whole(socket.write(&bytes)?, &bytes)
}
