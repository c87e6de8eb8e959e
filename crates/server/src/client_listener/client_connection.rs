//! A connection of the client side: its bytes, its state machine, and when it is over.

use super::front_protocol::Spoken;
use crate::buffered_connection::BufferedConnection;
use crate::host::Host;
use cleatpulley_connection_admission::admit::Known;
use cleatpulley_dispatcher::IncomingRequest;
use cleatpulley_policy::interface::Micros;
use cleatpulley_protocol::frame::connection::PARTING;
use cleatpulley_protocol::machine::{Context, Standing};
use std::io;

/// Bytes read from a connection in one turn, so that a loud peer blocks nobody.
const READ_AT_ONCE: usize = 65_536;
/// A peer that leaves so much unread is not read from: its answers would pile up here. What its open requests
/// still get comes on top.
const UNREAD: usize = 32_768;
/// After our end is closed, what the peer sent before is read away for so long: closing over unread bytes
/// would take back answers on their way.
const LINGER: Micros = 2_000_000;
/// A connection turned away is closed after this, once what came on it is answered: twice the time within which a front
/// end sends once more what crossed the word to part.
const REFUSED_LINGER: Micros = 100_000;
/// Where no place is left, a connection that was accepted or told to close so lately keeps its place: what it
/// sent may be on its way.
pub(super) const FAIR: Micros = 50_000;

pub(super) struct Peer<H: Host> {
    pub(super) conn: BufferedConnection<H>,
    pub(super) machine: Spoken,
    /// Since when our end is closed; what still comes is thrown away.
    pub(super) lingers: Option<Micros>,
    /// How its address is known.
    pub(super) known: Known,
    /// The names of the certificate it showed, where it spoke TLS.
    pub(super) names: Vec<String>,
    /// It got no place, or its name is over its cap: it is told to part, and closed soon after what came on it is
    /// answered.
    pub(super) over: bool,
}

#[derive(PartialEq)]
pub(super) enum Next {
    Wait,
    Again,
    Close,
}

impl<H: Host> Peer<H> {
    pub(super) fn serve(
        &mut self,
        context: &Context,
        arrivals: &mut Vec<IncomingRequest>,
    ) -> io::Result<Next> {
        let mut more = false;
        self.conn.flush()?;
        if self.conn.unsent() < UNREAD {
            more = self.conn.read(READ_AT_ONCE)?;
            let input = std::mem::take(&mut self.conn.input);
            let used = match self.lingers {
                Some(_) => input.len(),
                None => self
                    .machine
                    .receive(context, &input, self.conn.output(), arrivals),
            };
            self.conn.input = input;
            self.conn.consume(used);
        }
        self.conn.flush()?;
        let now = context.now;
        if self.rests(now) {
            self.conn.shutdown_write();
            self.lingers = Some(now);
        }
        if let Some(since) = self.lingers {
            if self.conn.ended || now >= since + LINGER {
                return Ok(Next::Close);
            }
        }
        Ok(if more { Next::Again } else { Next::Wait })
    }

    /// Tells the peer to close where nothing is on its way. Guards what is being written on it: its front end could only
    /// send it once more.
    pub(super) fn send_away(&mut self, context: &Context) {
        let status = self.machine.status();
        let rests = status.spoken && status.waits.is_none() && self.lingers.is_none();
        if status.standing == Standing::Open && rests {
            self.machine.part(context, self.conn.output());
        }
    }

    /// A part of a message has come.
    fn is_halfway(&self) -> bool {
        let status = self.machine.status();
        status.waits.is_some() && (status.spoken || !self.conn.input.is_empty())
    }

    /// Where its place may be given up: in which order, and since when.
    pub(super) fn spare_since(&self, now: Micros) -> Option<(u8, Micros)> {
        let status = self.machine.status();
        let (rank, since) = match (self.lingers, status.standing) {
            _ if status.open > 0 => return None,
            (Some(since), _) => (0, since),
            (None, Standing::Parting(since)) => (1, since),
            (None, Standing::Lost) => (1, status.used),
            (None, Standing::Open) if !status.spoken => (2, status.waits.unwrap_or(now)),
            (None, Standing::Open) => return None,
        };
        (now >= since + FAIR).then_some((rank, since))
    }

    /// Nothing is owed, and no more may come.
    pub(super) fn rests(&self, now: Micros) -> bool {
        let status = self.machine.status();
        let over = match status.standing {
            Standing::Open => self.conn.ended,
            Standing::Parting(since) if self.over => {
                self.conn.ended || now >= since + REFUSED_LINGER
            }
            // What had begun to come by then has the machine's time to come whole.
            Standing::Parting(since) => {
                self.conn.ended || (now >= since + PARTING && !self.is_halfway())
            }
            Standing::Lost => true,
        };
        self.lingers.is_none() && over && status.open == 0 && self.conn.unsent() == 0
    }
}
