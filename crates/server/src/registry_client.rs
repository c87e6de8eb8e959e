//! Reports to the service registry, so that clients find this server.

use crate::buffered_connection::BufferedConnection;
use crate::host::{Host, Readiness};
use crate::socket_owner::SocketOwner;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::http;
use std::io;
use std::net::SocketAddr;

/// Interval between reports: three may fail before the entry lapses.
const REPORT_INTERVAL: Micros = 700_000;
/// A report without a response for this time holds up no other: the next uses another connection.
const RESPONSE_TIMEOUT: Micros = 600_000;
/// The protocol's time after which an entry lapses: a later response is of no use.
const ENTRY_LIFETIME: Micros = 3_000_000;
/// Limit of connections: as many as reports are due before the first is abandoned.
const MAX_CONNECTIONS: usize = (ENTRY_LIFETIME / REPORT_INTERVAL + 1) as usize;
/// Bytes read from a connection at once.
const READ_LIMIT: usize = 65_536;
/// The status of a response to a report that was accepted.
const NO_CONTENT: u16 = 204;

/// Why a report counts as failed.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response can't be decoded; the codec says why.
    #[error("{0}")]
    Malformed(String),
    #[error("status {0}")]
    Status(u16),
    #[error("closed by the registry")]
    Closed,
    #[error("no answer in time, which is waited for")]
    Late,
}

/// The report on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportState {
    Idle,
    /// The response is waited for.
    Pending {
        since: Micros,
    },
    /// The same after [`RESPONSE_TIMEOUT`].
    Late {
        since: Micros,
    },
}

impl ReportState {
    /// Returns since when the response is waited for.
    fn since(self) -> Option<Micros> {
        match self {
            Self::Idle => None,
            Self::Pending { since } | Self::Late { since } => Some(since),
        }
    }

    /// Returns when the response is late, or of no use any more.
    fn deadline(self) -> Option<Micros> {
        match self {
            Self::Idle => None,
            Self::Pending { since } => Some(since + RESPONSE_TIMEOUT),
            Self::Late { since } => Some(since + ENTRY_LIFETIME),
        }
    }
}

/// A connection to the registry.
struct RegistryConnection<H: Host> {
    number: u64,
    stream: BufferedConnection<H>,
    report: ReportState,
}

/// The client of the registry. A registry that responds late is reported to all the same: a report
/// counts once it has its response, so that its connection is kept for that while the next report
/// uses another one.
pub struct RegistryClient<H: Host> {
    host: H,
    address: SocketAddr,
    /// The path of this server's entry.
    path: String,
    /// The oldest first.
    connections: Vec<RegistryConnection<H>>,
    last_number: u64,
    next_report_at: Micros,
    /// What the last report said.
    reported_open: bool,
    /// No failure was logged since a report last had its response in time.
    is_healthy: bool,
    /// Another process reports.
    is_silent: bool,
}

impl<H: Host> RegistryClient<H> {
    /// Creates the client of the server of this name.
    #[must_use]
    pub fn new(host: H, address: SocketAddr, name: &str) -> Self {
        Self {
            host,
            address,
            path: format!("/dir/nodes/{name}"),
            connections: Vec::new(),
            last_number: 0,
            next_report_at: 0,
            reported_open: false,
            is_healthy: true,
            is_silent: false,
        }
    }

    /// Changes the address of the registry, and reports there at once.
    pub fn relocate(&mut self, now: Micros, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) != address {
            self.connections.clear();
            self.next_report_at = now;
        }
    }

    /// Returns the number of connections, those that are being made among them.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Notes that a connection has become readable or writable.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        let mut connections = self.connections.iter_mut();
        if let Some(connection) = connections.find(|connection| connection.number == number) {
            connection.stream.on_readiness(readiness);
        }
    }

    /// Reads responses, and reports when that is due: `is_open` says whether this server accepts
    /// clients; with none, another process reports. A change is reported at once where no report is
    /// pending, which it could overtake.
    pub fn poll(&mut self, now: Micros, is_open: Option<bool>) {
        self.is_silent = is_open.is_none();
        let is_open = is_open.unwrap_or(self.reported_open);
        if is_open != self.reported_open && !self.has_pending_report() {
            self.next_report_at = now;
        }
        self.mark_late(now);
        self.connections.retain(|connection| {
            let since = connection.report.since();
            since.is_none_or(|since| now < since + ENTRY_LIFETIME)
        });
        if now >= self.next_report_at && !self.is_silent {
            self.next_report_at = now + REPORT_INTERVAL;
            self.reported_open = is_open;
            if let Err(error) = self.report(now) {
                self.on_failure(&error.into());
            }
        }
        self.serve_all();
    }

    fn has_pending_report(&self) -> bool {
        let mut connections = self.connections.iter();
        connections.any(|connection| connection.report != ReportState::Idle)
    }

    fn mark_late(&mut self, now: Micros) {
        let mut is_any_late = false;
        for connection in &mut self.connections {
            if let ReportState::Pending { since } = connection.report {
                if now >= since + RESPONSE_TIMEOUT {
                    connection.report = ReportState::Late { since };
                    is_any_late = true;
                }
            }
        }
        if is_any_late {
            self.on_failure(&ReportError::Late);
        }
    }

    fn serve_all(&mut self) {
        let mut index = 0;
        while index < self.connections.len() {
            match self.serve(index) {
                Ok(true) => index += 1,
                Ok(false) => {
                    self.connections.remove(index);
                }
                Err(error) => {
                    self.connections.remove(index);
                    self.on_failure(&error);
                }
            }
        }
    }

    /// Returns when the next report is due, or one is late or abandoned.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        let next_report_at = if self.is_silent {
            Micros::MAX
        } else {
            self.next_report_at
        };
        self.connections
            .iter()
            .filter_map(|connection| connection.report.deadline())
            .fold(next_report_at, Micros::min)
    }

    fn report(&mut self, now: Micros) -> io::Result<()> {
        let Some(index) = self.find_connection()? else {
            return Ok(());
        };
        let body = if self.reported_open {
            &br#"{"mode":"open"}"#[..]
        } else {
            br#"{"mode":"closed"}"#
        };
        let host = self.address.to_string();
        let headers = [("Content-Type", "application/json".to_owned())];
        let connection = &mut self.connections[index];
        let output = connection.stream.output();
        http::push_request(output, "PUT", &self.path, &host, &headers, body);
        connection.report = ReportState::Pending { since: now };
        Ok(())
    }

    /// Returns the index of an idle connection, or of a new one. None where all connections there
    /// may be wait for a response: guards the descriptors against a registry that never responds.
    fn find_connection(&mut self) -> io::Result<Option<usize>> {
        let mut connections = self.connections.iter();
        let idle = connections.position(|connection| connection.report == ReportState::Idle);
        if idle.is_some() {
            return Ok(idle);
        }
        if self.connections.len() >= MAX_CONNECTIONS {
            return Ok(None);
        }
        self.last_number += 1;
        let owner = SocketOwner::Registry(self.last_number);
        let stream = BufferedConnection::connect(&self.host, self.address, owner)?;
        self.connections.push(RegistryConnection {
            number: self.last_number,
            stream,
            report: ReportState::Idle,
        });
        Ok(Some(self.connections.len() - 1))
    }

    /// Sends and reads on a connection; returns false where it is of no more use.
    fn serve(&mut self, index: usize) -> Result<bool, ReportError> {
        let connection = &mut self.connections[index];
        let stream = &mut connection.stream;
        stream.flush()?;
        stream.read(READ_LIMIT)?;
        if connection.report == ReportState::Idle {
            return Ok(!stream.is_read_closed && stream.input.is_empty());
        }
        let response = http::parse_response(&stream.input, stream.is_read_closed)
            .map_err(ReportError::Malformed)?;
        match response {
            Some(response) => self.on_response(index, &response),
            None if stream.is_read_closed => Err(ReportError::Closed),
            None => Ok(true),
        }
    }

    fn on_response(
        &mut self,
        index: usize,
        response: &http::Response,
    ) -> Result<bool, ReportError> {
        let connection = &mut self.connections[index];
        connection.stream.input.drain(..response.length);
        let was_late = matches!(connection.report, ReportState::Late { .. });
        connection.report = ReportState::Idle;
        if response.status != NO_CONTENT {
            return Err(ReportError::Status(response.status));
        }
        // Bytes after a response belong to no report.
        let is_spent = response.closes_connection || !connection.stream.input.is_empty();
        if !self.is_healthy && !was_late {
            tracing::info!("registry: reports count again");
            self.is_healthy = true;
        }
        // Connections that slow responses were waited for on are more than one report needs.
        let connections = self.connections.iter();
        let idle = connections.filter(|connection| connection.report == ReportState::Idle);
        Ok(!is_spent && idle.count() == 1)
    }

    /// Logs the first failure since reports last counted; the next report tries again.
    fn on_failure(&mut self, error: &ReportError) {
        if self.is_healthy {
            tracing::warn!(%error, "registry: report failed");
        }
        self.is_healthy = false;
    }
}
