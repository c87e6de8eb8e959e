//! Ways between processes that talk by datagrams: each is reached through a socket of ours, and who sent is known by where it
//! came from. Ways can be cut in one direction, slow, lossy and doubled, all by a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Nothing waits longer for an end.
const BEAT: Duration = Duration::from_millis(20);

/// How datagrams fare.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkConditions {
    /// Lost, of a thousand.
    pub lost_per_mille: u32,
    /// Sent twice, of a thousand.
    pub duplicated_per_mille: u32,
    /// The longest way.
    pub max_delay: Duration,
}

#[derive(Default)]
struct Rules {
    /// Where processes listen, and where they are.
    real: BTreeMap<String, SocketAddr>,
    cut: BTreeSet<(String, String)>,
    weather: NetworkConditions,
    passed: u64,
    stopped: u64,
}

impl Rules {
    fn name_of(&self, from: SocketAddr) -> Option<&String> {
        self.real
            .iter()
            .find(|(_, at)| **at == from)
            .map(|(name, _)| name)
    }
}

/// All ways.
pub struct DatagramProxies {
    rules: Arc<Mutex<Rules>>,
    over: Arc<AtomicBool>,
    seed: u64,
    threads: Vec<JoinHandle<()>>,
}

impl DatagramProxies {
    /// None yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rules: Arc::default(),
            over: Arc::default(),
            seed,
            threads: Vec::new(),
        }
    }

    fn rules(&self) -> MutexGuard<'_, Rules> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where a process is to say that it is reached.
    ///
    /// # Errors
    /// Where no socket can be had.
    pub fn start_proxy(&mut self, name: &str) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let at = socket.local_addr()?;
        let (rules, over) = (Arc::clone(&self.rules), Arc::clone(&self.over));
        self.seed = self.seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let (name, random) = (name.to_owned(), SmallRng::seed_from_u64(self.seed));
        self.threads.push(std::thread::spawn(move || {
            pass(&name, &socket, &rules, &over, random);
        }));
        Ok(at)
    }

    /// A process listens there.
    pub fn set_address(&self, name: &str, address: SocketAddr) {
        self.rules().real.insert(name.to_owned(), address);
    }

    /// Nothing that the first sends comes to the second.
    pub fn block(&self, from: &str, to: &str) {
        self.rules().cut.insert((from.to_owned(), to.to_owned()));
    }

    /// One hears nobody, and nobody hears it.
    pub fn isolate(&self, name: &str) {
        let mut rules = self.rules();
        let others: Vec<String> = rules
            .real
            .keys()
            .filter(|other| *other != name)
            .cloned()
            .collect();
        for other in others {
            rules.cut.insert((name.to_owned(), other.clone()));
            rules.cut.insert((other, name.to_owned()));
        }
    }

    /// What others send to this one arrives again; what it sends stays cut.
    pub fn unblock_incoming(&self, name: &str) {
        self.rules().cut.retain(|(_, to)| to != name);
    }

    /// Nothing is cut any more.
    pub fn unblock_all(&self) {
        self.rules().cut.clear();
    }

    /// How datagrams fare from now on.
    pub fn set_conditions(&self, weather: NetworkConditions) {
        self.rules().weather = weather;
    }

    /// Datagrams that passed and that were stopped.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let rules = self.rules();
        (rules.passed, rules.stopped)
    }
}

impl Drop for DatagramProxies {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn pass(
    name: &str,
    socket: &UdpSocket,
    rules: &Mutex<Rules>,
    over: &AtomicBool,
    mut random: SmallRng,
) {
    let mut waiting: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 2_048];
    while !over.load(Ordering::Relaxed) {
        let now = Instant::now();
        let next = waiting
            .iter()
            .map(|(at, _)| at.saturating_duration_since(now))
            .min();
        let wait = next.unwrap_or(BEAT).clamp(Duration::from_micros(200), BEAT);
        if socket.set_read_timeout(Some(wait)).is_err() {
            return;
        }
        match socket.recv_from(&mut buffer) {
            Ok((length, from)) => {
                let mut rules = rules.lock().unwrap_or_else(PoisonError::into_inner);
                let NetworkConditions {
                    lost_per_mille: lost,
                    duplicated_per_mille: doubled,
                    max_delay: slow,
                } = rules.weather;
                let way = rules
                    .name_of(from)
                    .map(|from| (from.clone(), name.to_owned()));
                let is_cut = way.is_none_or(|way| rules.cut.contains(&way));
                if is_cut || random.random_range(0..1_000) < lost {
                    rules.stopped += 1;
                    continue;
                }
                rules.passed += 1;
                let copies = if random.random_range(0..1_000) < doubled {
                    2
                } else {
                    1
                };
                for _ in 0..copies {
                    let takes = slow.mul_f64(random.random());
                    waiting.push((Instant::now() + takes, buffer[..length].to_vec()));
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // What was passed on to one that is gone comes back so.
            Err(_) => {}
        }
        let now = Instant::now();
        let real = rules
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .real
            .get(name)
            .copied();
        let due: Vec<_> = waiting.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, datagram) in due {
            if let Some(real) = real {
                let _ = socket.send_to(&datagram, real);
            }
        }
    }
}
