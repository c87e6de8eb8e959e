//! Connections without end: opened at a rate from any number of loopback addresses, held, and never used.

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A health check by frames, without fields.
const HEALTH: [u8; 10] = [0, 0, 0, 6, 6, 0, 0, 0, 1, 0];

/// A flood.
#[derive(Debug, Clone, Copy)]
pub struct Flood {
    /// Where to.
    pub address: SocketAddr,
    /// Addresses that it comes from, in 127.66.0.0/16.
    pub source_addresses: u32,
    /// Connections a second.
    pub per_second: u32,
    /// Connections held at a time; the oldest goes first.
    pub max_open: usize,
    /// Each begins with a whole health check by frames, so that it does not pass for silent.
    pub sends_health_check: bool,
}

impl Flood {
    /// Floods until it is over; counts what was opened.
    pub fn run(&self, over: &AtomicBool, opened: &AtomicU64) {
        let begun = Instant::now();
        let mut held: VecDeque<Socket> = VecDeque::new();
        let mut number = 0_u64;
        while !over.load(Ordering::Relaxed) {
            let wanted = (begun.elapsed().as_secs_f64() * f64::from(self.per_second)) as u64;
            while number < wanted {
                number += 1;
                let Some(socket) = self.open(number) else {
                    continue;
                };
                opened.fetch_add(1, Ordering::Relaxed);
                held.push_back(socket);
                if held.len() > self.max_open {
                    held.pop_front();
                }
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn open(&self, number: u64) -> Option<Socket> {
        let source = (number % u64::from(self.source_addresses.max(1))) as u32;
        let from = Ipv4Addr::from(0x7F42_0001 + source / 250 * 256 + source % 250);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).ok()?;
        socket.set_nonblocking(true).ok()?;
        // Reset at the end: a flood leaves no port behind that waits.
        socket.set_linger(Some(Duration::ZERO)).ok()?;
        socket
            .bind(&SockAddr::from(SocketAddr::from((from, 0))))
            .ok()?;
        // It is on its way; how it ends is nobody's concern.
        let _ = socket.connect(&SockAddr::from(self.address));
        if self.sends_health_check {
            // On loopback it stands by now, or the queue is full.
            let _ = socket.send(&HEALTH);
        }
        Some(socket)
    }
}

/// How long it takes to connect and to have a health check answered, by frames; none where that takes longer than this.
#[must_use]
pub fn measure_health_check(to: SocketAddr, patience: Duration) -> Option<Duration> {
    let begun = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, patience).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.write_all(&HEALTH).ok()?;
    let mut head = [0; 9];
    stream.read_exact(&mut head).ok()?;
    (head[4] == 7 && begun.elapsed() <= patience).then(|| begun.elapsed())
}
