//! Reports to the directory, so that front ends find this matcher.

use super::buffered_connection::BufferedConnection;
use super::host::{Host, Readiness};
use super::SocketOwner;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::http;
use std::io;
use std::net::SocketAddr;

/// Time between reports: three may fail before the entry lapses.
const BEAT: Micros = 700_000;
/// A report that was not answered by then holds up no other: the next goes over a connection of its own.
const PATIENCE: Micros = 600_000;
/// The protocol's time after which an entry lapses: an answer that comes later is of no use.
const LAPSE: Micros = 3_000_000;
/// Connections at most: as many reports as fall due before the first is given up.
const MOST: usize = (LAPSE / BEAT + 1) as usize;
const READ_AT_ONCE: usize = 65_536;

/// A connection to the directory.
struct Channel<H: Host> {
    number: u64,
    conn: BufferedConnection<H>,
    /// When the report on its way was made.
    asked: Option<Micros>,
    /// Its answer is late, which was seen.
    late: bool,
}

/// The reporter. A directory that answers late is reported to all the same: a report counts once it is answered, so that
/// its connection is kept for the answer while the next report takes another.
pub struct RegistryClient<H: Host> {
    world: H,
    address: SocketAddr,
    path: String,
    /// The oldest first.
    channels: Vec<Channel<H>>,
    numbers: u64,
    beat_at: Micros,
    /// What the last report said, and whether reports are answered in time.
    said: bool,
    well: bool,
    silent: bool,
}

impl<H: Host> RegistryClient<H> {
    /// A reporter for the matcher of this name.
    #[must_use]
    pub fn new(world: H, address: SocketAddr, name: &str) -> Self {
        let path = format!("/dir/nodes/{name}");
        let channels = Vec::new();
        Self {
            world,
            address,
            path,
            channels,
            numbers: 0,
            beat_at: 0,
            said: false,
            well: true,
            silent: false,
        }
    }

    /// The directory is at this address from now on, and is told at once.
    pub fn relocate(&mut self, now: Micros, address: SocketAddr) {
        if std::mem::replace(&mut self.address, address) != address {
            self.channels.clear();
            self.beat_at = now;
        }
    }

    /// Connections to it that stand or are being made.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.channels.len()
    }

    /// Takes note of what the event loop saw on a connection.
    pub fn on_readiness(&mut self, number: u64, readiness: Readiness) {
        if let Some(channel) = self
            .channels
            .iter_mut()
            .find(|channel| channel.number == number)
        {
            channel.conn.on_readiness(readiness);
        }
    }

    /// Reads the answers to reports and makes the next when it is time; a change is told at once where none is on its way,
    /// which it could overtake. Nothing is reported where another process does that.
    pub fn poll(&mut self, now: Micros, open: Option<bool>) {
        self.silent = open.is_none();
        let open = open.unwrap_or(self.said);
        if open != self.said && self.oldest().is_none() {
            self.beat_at = now;
        }
        let in_time =
            |channel: &Channel<H>| channel.asked.is_none_or(|asked| now < asked + PATIENCE);
        if self
            .channels
            .iter_mut()
            .filter(|channel| !in_time(channel))
            .fold(false, |seen, channel| {
                seen | !std::mem::replace(&mut channel.late, true)
            })
        {
            self.fail("no answer in time, which is waited for");
        }
        self.channels
            .retain(|channel| channel.asked.is_none_or(|asked| now < asked + LAPSE));
        if now >= self.beat_at && !self.silent {
            self.beat_at = now + BEAT;
            self.said = open;
            if let Err(e) = self.report(now) {
                self.fail(&e.to_string());
            }
        }
        let mut place = 0;
        while place < self.channels.len() {
            match self.exchange(place) {
                Ok(true) => place += 1,
                Ok(false) => drop(self.channels.remove(place)),
                Err(e) => {
                    self.channels.remove(place);
                    self.fail(&e.to_string());
                }
            }
        }
    }

    /// When the next report is due, one is late or one is given up.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        let beat_at = if self.silent {
            Micros::MAX
        } else {
            self.beat_at
        };
        let due = |channel: &Channel<H>| {
            let patience = if channel.late { LAPSE } else { PATIENCE };
            channel.asked.map(|asked| asked + patience)
        };
        self.channels
            .iter()
            .filter_map(due)
            .fold(beat_at, Micros::min)
    }

    /// When the oldest report on its way was made.
    fn oldest(&self) -> Option<Micros> {
        self.channels
            .iter()
            .filter_map(|channel| channel.asked)
            .min()
    }

    fn report(&mut self, now: Micros) -> io::Result<()> {
        let place = match self
            .channels
            .iter()
            .position(|channel| channel.asked.is_none())
        {
            Some(place) => place,
            // Guards the descriptors against a directory that answers nothing.
            None if self.channels.len() >= MOST => return Ok(()),
            None => {
                self.numbers += 1;
                let conn = BufferedConnection::connect(
                    &self.world,
                    self.address,
                    SocketOwner::Registry(self.numbers),
                )?;
                self.channels.push(Channel {
                    number: self.numbers,
                    conn,
                    asked: None,
                    late: false,
                });
                self.channels.len() - 1
            }
        };
        let body = if self.said {
            &br#"{"mode":"open"}"#[..]
        } else {
            br#"{"mode":"closed"}"#
        };
        let host = self.address.to_string();
        let headers = [("Content-Type", "application/json".to_owned())];
        let channel = &mut self.channels[place];
        http::push_request(
            channel.conn.output(),
            "PUT",
            &self.path,
            &host,
            &headers,
            body,
        );
        (channel.asked, channel.late) = (Some(now), false);
        Ok(())
    }

    /// Sends and reads on one connection; false where it is of no more use.
    fn exchange(&mut self, place: usize) -> io::Result<bool> {
        let channel = &mut self.channels[place];
        let conn = &mut channel.conn;
        conn.flush()?;
        conn.read(READ_AT_ONCE)?;
        if channel.asked.is_some() {
            if let Some(reply) = http::parse(&conn.input, conn.ended).map_err(io::Error::other)? {
                conn.input.drain(..reply.size);
                channel.asked = None;
                if reply.status != 204 {
                    return Err(io::Error::other(format!("status {}", reply.status)));
                }
                // What follows an answer belongs to no report.
                let spent = reply.closes || !conn.input.is_empty();
                if !self.well && !channel.late {
                    tracing::info!("directory: reports count again");
                    self.well = true;
                }
                // Those that slow answers were waited for on are more than one report needs.
                let idle = self
                    .channels
                    .iter()
                    .filter(|channel| channel.asked.is_none())
                    .count();
                return Ok(!spent && idle == 1);
            }
        }
        match (conn.ended, channel.asked) {
            (true, Some(_)) => Err(io::Error::other("closed by the directory")),
            (ended, None) => Ok(!ended && conn.input.is_empty()),
            (false, Some(_)) => Ok(true),
        }
    }

    /// Says once that reports fail; the next beat tries again.
    fn fail(&mut self, why: &str) {
        if self.well {
            tracing::warn!("directory: report failed: {why}");
        }
        self.well = false;
    }
}
