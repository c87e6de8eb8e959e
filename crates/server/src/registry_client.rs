//! Client of the service registry: reports this server, so that clients find it.

use crate::buffered_connection::BufferedConnection;
use crate::host::{Host, Readiness};
use crate::socket_owner::SocketOwner;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::http;
use std::io;
use std::net::SocketAddr;

/// Interval between reports: three may fail before the entry expires.
const REPORT_INTERVAL: Micros = 700_000;
/// Time after which a report without a response no longer delays others: the next one uses another
/// connection.
const RESPONSE_TIMEOUT: Micros = 600_000;
/// Lifetime of an entry, as defined by the protocol: a later response is useless.
const ENTRY_LIFETIME: Micros = 3_000_000;
/// Maximum number of connections: the number of reports due before the first one is abandoned.
const MAX_CONNECTIONS: usize = (ENTRY_LIFETIME / REPORT_INTERVAL + 1) as usize;
/// Maximum number of bytes that one read leaves in the input of a connection.
const READ_LIMIT_BYTES: usize = 65_536;
/// HTTP status of an accepted report.
const NO_CONTENT: u16 = 204;

/// Error of a report.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response can't be decoded; contains the error of the codec.
    #[error("{0}")]
    Malformed(String),
    #[error("status {0}")]
    Status(u16),
    #[error("closed by the registry")]
    Closed,
    #[error("no answer in time, which is waited for")]
    Overdue,
}

/// State of the report on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportState {
    Idle,
    /// The report waits for its response.
    Pending {
        since: Micros,
    },
    /// The report has waited for its response for longer than [`RESPONSE_TIMEOUT`].
    Overdue {
        since: Micros,
    },
}

impl ReportState {
    /// Returns when the report that waits for its response was sent.
    fn since(self) -> Option<Micros> {
        match self {
            Self::Idle => None,
            Self::Pending { since } | Self::Overdue { since } => Some(since),
        }
    }

    /// Returns when the response becomes overdue, or useless.
    fn deadline(self) -> Option<Micros> {
        match self {
            Self::Idle => None,
            Self::Pending { since } => Some(since + RESPONSE_TIMEOUT),
            Self::Overdue { since } => Some(since + ENTRY_LIFETIME),
        }
    }
}

/// A connection to the registry.
struct RegistryConnection<H: Host> {
    number: u64,
    stream: BufferedConnection<H>,
    report: ReportState,
}

/// The client of the registry. Reports to a slow registry continue: a report takes effect once its
/// response arrives, so its connection is kept open while the next report uses another one.
pub struct RegistryClient<H: Host> {
    host: H,
    address: SocketAddr,
    /// Path of this server's entry.
    path: String,
    /// Connections, the oldest first.
    connections: Vec<RegistryConnection<H>>,
    last_number: u64,
    next_report_at: Micros,
    /// State of the last report: whether the server accepts clients.
    is_reported_open: bool,
    /// No failure has been logged since the last response in time.
    is_healthy: bool,
    /// Another process reports this server.
    is_paused: bool,
}

impl<H: Host> RegistryClient<H> {
    /// Creates the client for the server of this name.
    #[must_use]
    pub fn new(host: H, address: SocketAddr, name: &str) -> Self {
        Self {
            host,
            address,
            path: format!("/dir/nodes/{name}"),
            connections: Vec::new(),
            last_number: 0,
            next_report_at: 0,
            is_reported_open: false,
            is_healthy: true,
            is_paused: false,
        }
    }

    /// Changes the address of the registry, and reports to it immediately.
    pub fn relocate(&mut self, now: Micros, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) != address {
            self.connections.clear();
            self.next_report_at = now;
        }
    }

    /// Returns the number of connections, including connection attempts.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Records that a connection has become readable or writable.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        let mut connections = self.connections.iter_mut();
        if let Some(connection) = connections.find(|connection| connection.number == number) {
            connection.stream.on_readiness(readiness);
        }
    }

    /// Reads responses, and sends a report when it is due. `is_open` tells whether this server
    /// accepts clients; `None` means that another process reports. A change is reported immediately
    /// unless a report is pending, which it could overtake.
    pub fn poll(&mut self, now: Micros, is_open: Option<bool>) {
        self.is_paused = is_open.is_none();
        let is_open = is_open.unwrap_or(self.is_reported_open);
        if is_open != self.is_reported_open && !self.has_pending_report() {
            self.next_report_at = now;
        }
        self.mark_overdue(now);
        self.connections.retain(|connection| {
            let since = connection.report.since();
            since.is_none_or(|since| now < since + ENTRY_LIFETIME)
        });
        if now >= self.next_report_at && !self.is_paused {
            self.next_report_at = now + REPORT_INTERVAL;
            self.is_reported_open = is_open;
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

    fn mark_overdue(&mut self, now: Micros) {
        let mut is_any_overdue = false;
        for connection in &mut self.connections {
            if let ReportState::Pending { since } = connection.report {
                if now >= since + RESPONSE_TIMEOUT {
                    connection.report = ReportState::Overdue { since };
                    is_any_overdue = true;
                }
            }
        }
        if is_any_overdue {
            self.on_failure(&ReportError::Overdue);
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

    /// Returns when the next report is due, or a pending one becomes overdue or is abandoned.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        let next_report_at = if self.is_paused {
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
        let body = if self.is_reported_open {
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

    /// Returns the index of an idle or new connection. Returns `None` if the maximum number of
    /// connections waits for responses: a registry that never responds must not exhaust the
    /// descriptors.
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

    /// Sends and reads on a connection; returns false if it can't be used again.
    fn serve(&mut self, index: usize) -> Result<bool, ReportError> {
        let connection = &mut self.connections[index];
        let stream = &mut connection.stream;
        stream.flush()?;
        stream.read(READ_LIMIT_BYTES)?;
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
        let was_overdue = matches!(connection.report, ReportState::Overdue { .. });
        connection.report = ReportState::Idle;
        if response.status != NO_CONTENT {
            return Err(ReportError::Status(response.status));
        }
        // Bytes after a response belong to no report, so the connection is unusable.
        let is_unusable = response.closes_connection || !connection.stream.input.is_empty();
        if !self.is_healthy && !was_overdue {
            tracing::info!("registry: reports count again");
            self.is_healthy = true;
        }
        // Only one idle connection is kept; further ones were opened while responses were slow.
        let connections = self.connections.iter();
        let idle = connections.filter(|connection| connection.report == ReportState::Idle);
        Ok(!is_unusable && idle.count() == 1)
    }

    /// Logs the first failure since the last accepted report; the next report is a new attempt.
    fn on_failure(&mut self, error: &ReportError) {
        if self.is_healthy {
            tracing::warn!(%error, "registry: report failed");
        }
        self.is_healthy = false;
    }
}
