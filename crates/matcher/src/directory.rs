//! Reports to the directory, so that front ends find this matcher.

use super::conn::Conn;
use super::world::{Readiness, World};
use super::Party;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::http;
use std::io;
use std::net::SocketAddr;

/// Time between reports: three may fail before the entry lapses.
const BEAT: Micros = 700_000;
/// A report that was not answered by then is given up.
const PATIENCE: Micros = 600_000;
const READ_AT_ONCE: usize = 65_536;

/// The reporter.
pub struct Directory<W: World> {
    world: W,
    address: SocketAddr,
    path: String,
    conn: Option<Conn<W>>,
    /// When the report on its way was made.
    asked: Option<Micros>,
    beat_at: Micros,
    /// What the last report said, and whether it counted.
    said: bool,
    well: bool,
    silent: bool,
}

impl<W: World> Directory<W> {
    /// A reporter for the matcher of this name.
    #[must_use]
    pub fn new(world: W, address: SocketAddr, name: &str) -> Self {
        let path = format!("/dir/nodes/{name}");
        Self {
            world,
            address,
            path,
            conn: None,
            asked: None,
            beat_at: 0,
            said: false,
            well: true,
            silent: false,
        }
    }

    /// The directory is at this address from now on, and is told at once.
    pub fn relocate(&mut self, now: Micros, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) != address {
            self.conn = None;
            self.asked = None;
            self.beat_at = now;
        }
    }

    /// A connection to it stands or is being made.
    #[must_use]
    pub fn linked(&self) -> bool {
        self.conn.is_some()
    }

    /// Takes note of what the event loop saw.
    pub fn note(&mut self, readiness: Readiness) {
        if let Some(conn) = &mut self.conn {
            conn.note(readiness);
        }
    }

    /// Reads the answer to the last report and makes the next when it is time; a change is told at once. Nothing is
    /// reported where another process does that.
    pub fn turn(&mut self, now: Micros, open: Option<bool>) {
        self.silent = open.is_none();
        let open = open.unwrap_or(self.said);
        if open != self.said && self.asked.is_none() {
            self.beat_at = now;
        }
        if self.asked.is_some_and(|asked| now >= asked + PATIENCE) {
            self.fail("no answer in time");
        }
        if now >= self.beat_at && self.asked.is_none() && !self.silent {
            self.beat_at = now + BEAT;
            self.said = open;
            if let Err(e) = self.report(now) {
                self.fail(&e.to_string());
            }
        }
        if let Err(e) = self.exchange() {
            self.fail(&e.to_string());
        }
    }

    /// When the next report is due or one is given up.
    #[must_use]
    pub fn next(&self) -> Micros {
        let beat_at = if self.silent { Micros::MAX } else { self.beat_at };
        self.asked.map_or(beat_at, |asked| asked + PATIENCE)
    }

    fn report(&mut self, now: Micros) -> io::Result<()> {
        let conn = match self.conn.take() {
            Some(conn) => conn,
            None => Conn::connect(&self.world, self.address, Party::Directory)?,
        };
        let conn = self.conn.insert(conn);
        let body = if self.said { &br#"{"mode":"open"}"#[..] } else { br#"{"mode":"closed"}"# };
        let host = self.address.to_string();
        let headers = [("Content-Type", "application/json".to_owned())];
        http::push_request(conn.output(), "PUT", &self.path, &host, &headers, body);
        self.asked = Some(now);
        Ok(())
    }

    fn exchange(&mut self) -> io::Result<()> {
        let Some(conn) = &mut self.conn else { return Ok(()) };
        conn.flush()?;
        conn.read(READ_AT_ONCE)?;
        if self.asked.is_some() {
            if let Some(reply) = http::parse(&conn.input, conn.ended).map_err(io::Error::other)? {
                conn.input.drain(..reply.size);
                self.asked = None;
                if reply.status != 204 {
                    return Err(io::Error::other(format!("status {}", reply.status)));
                }
                if !self.well {
                    tracing::info!("directory: reports count again");
                }
                self.well = true;
                if reply.closes {
                    self.conn = None;
                    return Ok(());
                }
            }
        }
        if self.conn.as_ref().is_some_and(|conn| conn.ended) {
            if self.asked.is_some() {
                return Err(io::Error::other("closed by the directory"));
            }
            self.conn = None;
        }
        Ok(())
    }

    /// Says once that reports fail; the next beat tries again.
    fn fail(&mut self, why: &str) {
        self.conn = None;
        self.asked = None;
        if self.well {
            tracing::warn!("directory: report failed: {why}");
        }
        self.well = false;
    }
}
