//! Connection floods: connections opened at a rate from any number of loopback addresses, held open
//! and never used.

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Health check in the frame protocol, without fields.
const HEALTH_CHECK: [u8; 10] = [0, 0, 0, 6, 6, 0, 0, 0, 1, 0];

/// A connection flood.
#[derive(Debug, Clone, Copy)]
pub struct Flood {
    /// Target address.
    pub address: SocketAddr,
    /// Number of source addresses, in 127.66.0.0/16.
    pub source_addresses: u32,
    /// Connections opened per second.
    pub per_second: u32,
    /// Maximum number of open connections; the oldest is closed first.
    pub max_open: usize,
    /// Whether each connection starts with a complete health check frame, so that it does not count
    /// as silent.
    pub sends_health_check: bool,
}

impl Flood {
    /// Opens connections until `stopping` is set, and counts them in `opened`.
    pub fn run(&self, stopping: &AtomicBool, opened: &AtomicU64) {
        let started = Instant::now();
        let mut open_sockets: VecDeque<Socket> = VecDeque::new();
        let mut number = 0_u64;
        while !stopping.load(Ordering::Relaxed) {
            let target_count =
                (started.elapsed().as_secs_f64() * f64::from(self.per_second)) as u64;
            while number < target_count {
                number += 1;
                let Some(socket) = self.open(number) else {
                    continue;
                };
                opened.fetch_add(1, Ordering::Relaxed);
                open_sockets.push_back(socket);
                if open_sockets.len() > self.max_open {
                    open_sockets.pop_front();
                }
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn open(&self, number: u64) -> Option<Socket> {
        let index = (number % u64::from(self.source_addresses.max(1))) as u32;
        let source_address = Ipv4Addr::from(0x7F42_0001 + index / 250 * 256 + index % 250);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).ok()?;
        socket.set_nonblocking(true).ok()?;
        // Closing resets the connection, which leaves no port in TIME_WAIT.
        socket.set_linger(Some(Duration::ZERO)).ok()?;
        socket
            .bind(&SockAddr::from(SocketAddr::from((source_address, 0))))
            .ok()?;
        // The connect is in progress; its result does not matter.
        let _ = socket.connect(&SockAddr::from(self.address));
        if self.sends_health_check {
            // On loopback the connection is established by now, or the accept queue is full.
            let _ = socket.send(&HEALTH_CHECK);
        }
        Some(socket)
    }
}

/// Returns the time from connecting to the response to a health check frame, or `None` if it
/// exceeds the timeout.
#[must_use]
pub fn measure_health_check(address: SocketAddr, timeout: Duration) -> Option<Duration> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(&HEALTH_CHECK).ok()?;
    let mut head = [0; 9];
    stream.read_exact(&mut head).ok()?;
    (head[4] == 7 && started.elapsed() <= timeout).then(|| started.elapsed())
}
