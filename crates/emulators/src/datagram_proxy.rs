//! UDP proxies between processes: each process is reached through a proxy socket, and the sender is
//! identified by its source address. Traffic can be blocked in one direction, delayed, lost and
//! duplicated, all from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest wait before a proxy thread checks whether it must stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Loss, duplication and delay of datagrams.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkConditions {
    /// Datagrams lost, of each thousand.
    pub lost_per_mille: u32,
    /// Datagrams delivered twice, of each thousand.
    pub duplicated_per_mille: u32,
    /// Maximum delay of a datagram; delays are uniformly distributed.
    pub max_delay: Duration,
}

#[derive(Default)]
struct ProxyState {
    /// The address on which each process listens, by its name.
    addresses: BTreeMap<String, SocketAddr>,
    blocked: BTreeSet<(String, String)>,
    conditions: NetworkConditions,
    forwarded: u64,
    dropped: u64,
}

impl ProxyState {
    fn name_of(&self, source: SocketAddr) -> Option<&String> {
        self.addresses
            .iter()
            .find(|(_, address)| **address == source)
            .map(|(name, _)| name)
    }
}

/// A proxy for each process. The proxy threads stop when this is dropped.
pub struct DatagramProxies {
    state: Arc<Mutex<ProxyState>>,
    stopping: Arc<AtomicBool>,
    seed: u64,
    threads: Vec<JoinHandle<()>>,
}

impl DatagramProxies {
    /// Creates an empty set of proxies.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            state: Arc::default(),
            stopping: Arc::default(),
            seed,
            threads: Vec::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a proxy for a process; returns the address that the process is to advertise.
    ///
    /// # Errors
    /// Fails when no socket can be bound.
    pub fn start_proxy(&mut self, name: &str) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let (state, stopping) = (Arc::clone(&self.state), Arc::clone(&self.stopping));
        self.seed = self.seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let (name, random) = (name.to_owned(), SmallRng::seed_from_u64(self.seed));
        self.threads.push(std::thread::spawn(move || {
            forward(&name, &socket, &state, &stopping, random);
        }));
        Ok(address)
    }

    /// Sets the address on which a process listens.
    pub fn set_address(&self, name: &str, address: SocketAddr) {
        self.state().addresses.insert(name.to_owned(), address);
    }

    /// Drops all datagrams of one process to another.
    pub fn block(&self, from: &str, to: &str) {
        self.state()
            .blocked
            .insert((from.to_owned(), to.to_owned()));
    }

    /// Blocks all traffic to and from a process.
    pub fn isolate(&self, name: &str) {
        let mut state = self.state();
        let others: Vec<String> = state
            .addresses
            .keys()
            .filter(|other| *other != name)
            .cloned()
            .collect();
        for other in others {
            state.blocked.insert((name.to_owned(), other.clone()));
            state.blocked.insert((other, name.to_owned()));
        }
    }

    /// Delivers datagrams to this process again; those that it sends stay blocked.
    pub fn unblock_incoming(&self, name: &str) {
        self.state().blocked.retain(|(_, to)| to != name);
    }

    /// Delivers all traffic again.
    pub fn unblock_all(&self) {
        self.state().blocked.clear();
    }

    /// Sets loss, duplication and delay from now on.
    pub fn set_conditions(&self, conditions: NetworkConditions) {
        self.state().conditions = conditions;
    }

    /// Returns the numbers of datagrams forwarded and dropped.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.forwarded, state.dropped)
    }
}

impl Drop for DatagramProxies {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn forward(
    name: &str,
    socket: &UdpSocket,
    state: &Mutex<ProxyState>,
    stopping: &AtomicBool,
    mut random: SmallRng,
) {
    let mut delayed: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 2_048];
    while !stopping.load(Ordering::Relaxed) {
        let now = Instant::now();
        let next = delayed
            .iter()
            .map(|(at, _)| at.saturating_duration_since(now))
            .min();
        let wait = next
            .unwrap_or(STOP_CHECK_INTERVAL)
            .clamp(Duration::from_micros(200), STOP_CHECK_INTERVAL);
        if socket.set_read_timeout(Some(wait)).is_err() {
            return;
        }
        match socket.recv_from(&mut buffer) {
            Ok((length, from)) => {
                let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
                let NetworkConditions {
                    lost_per_mille,
                    duplicated_per_mille,
                    max_delay,
                } = state.conditions;
                let route = state
                    .name_of(from)
                    .map(|from| (from.clone(), name.to_owned()));
                let is_blocked = route.is_none_or(|route| state.blocked.contains(&route));
                if is_blocked || random.random_range(0..1_000) < lost_per_mille {
                    state.dropped += 1;
                    continue;
                }
                state.forwarded += 1;
                let copies = if random.random_range(0..1_000) < duplicated_per_mille {
                    2
                } else {
                    1
                };
                for _ in 0..copies {
                    let delay = max_delay.mul_f64(random.random());
                    delayed.push((Instant::now() + delay, buffer[..length].to_vec()));
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // An ICMP error for a datagram that was forwarded to a process that has ended.
            Err(_) => {}
        }
        let now = Instant::now();
        let address = state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .addresses
            .get(name)
            .copied();
        let due: Vec<_> = delayed.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, datagram) in due {
            if let Some(address) = address {
                let _ = socket.send_to(&datagram, address);
            }
        }
    }
}
