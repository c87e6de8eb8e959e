//! `cleatpulley check connection-admission`, its part on TLS: what a handshake costs a core, full and resumed; what a request costs a
//! matcher on a warm TLS connection beside a plain one; what idle connections and handshakes in flight hold; and what share
//! of the CPU a flood of handshakes takes against the bound that was set.

use cleatpulley_emulators::callers::{decode_response, request_frame, ResponseOutcome};
use cleatpulley_emulators::matcher::Matcher;
use cleatpulley_emulators::site::{Setup, Site};
use cleatpulley_tls::authority::{self, IssuedCertificate};
use cleatpulley_tls::certificate::{parse_certificates, CertificateWithKey};
use cleatpulley_tls::config::{self, ProtocolVersions};
use cleatpulley_tls::rustls::{ClientConfig, ClientConnection, ServerConfig, StreamOwned};
use cleatpulley_tls::session::Session;
use cleatpulley_tls::ticket_keys::{TicketKeys, SECRET_BYTES};
use cleatpulley_tls::Clock;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// CPU a request over TLS may cost beside plain.
const GOAL_RATIO: f64 = 1.3;
/// Handshakes a second that the flood is bound to.
const BOUND: f64 = 100.0;
/// Callers that flood, each as fast as it can; fewer than the matcher lets wait, so that none is refused. More would
/// take cores from the matcher and make its CPU a handshake seem dearer than alone.
const FLOODERS: usize = 2;
/// How far the share that a flood takes may lie above what the bound allows.
const GOAL_SHARE: f64 = 0.1;

fn now() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |at| at.as_secs() as i64)
}

struct Files {
    dir: tempfile::TempDir,
    authority: IssuedCertificate,
    clock: Clock,
}

impl Files {
    fn new() -> Result<Self, String> {
        let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
        let authority =
            authority::create_authority("bench authority", now(), 2).map_err(|e| e.to_string())?;
        let names = ["n1".to_owned(), "127.0.0.1".to_owned()];
        let made = authority::issue_certificate(
            (&authority.certificate, &authority.key),
            &names,
            None,
            now(),
            2,
        );
        let made = made.map_err(|e| e.to_string())?;
        let write = |name: &str, text: &str| {
            std::fs::write(dir.path().join(name), text).map_err(|e| e.to_string())
        };
        write("n1.pem", &made.certificate)?;
        write("n1.key", &made.key)?;
        write("tickets.key", &"5a".repeat(SECRET_BYTES))?;
        Ok(Self {
            dir,
            authority,
            clock: Clock::from_unix_micros(now() as u64 * 1_000_000),
        })
    }

    fn section(&self, more: &str) -> String {
        let at = |name: &str| self.dir.path().join(name).display().to_string();
        format!(
            "tls: {{ certificate: '{}', key: '{}', tickets: {{ secret: '{}' }}, {more} }}",
            at("n1.pem"),
            at("n1.key"),
            at("tickets.key")
        )
    }

    fn client(&self) -> Result<Arc<ClientConfig>, String> {
        self.client_of(ProtocolVersions::Both)
    }

    fn client_of(&self, versions: ProtocolVersions) -> Result<Arc<ClientConfig>, String> {
        let roots = parse_certificates(Path::new("ca.pem"), self.authority.certificate.as_bytes())
            .map_err(|e| e.to_string())?;
        config::client_config(&roots, None, versions, &self.clock)
    }

    fn server(&self) -> Result<Arc<ServerConfig>, String> {
        let pair = CertificateWithKey::load(
            &self.dir.path().join("n1.pem"),
            &self.dir.path().join("n1.key"),
        )
        .map_err(|e| e.to_string())?;
        let tickets = Arc::new(TicketKeys::new(
            &[0x5a; SECRET_BYTES],
            21_600,
            self.clock.clone(),
        ));
        config::server_config(
            &pair,
            None,
            ProtocolVersions::Both,
            Some(tickets),
            &self.clock,
        )
    }
}

/// Server-side microseconds of one handshake, on this thread: the client's part is left out.
fn handshake(
    server: &Arc<ServerConfig>,
    client: &Arc<ClientConfig>,
) -> Result<(f64, bool), String> {
    let mut ours = Session::accept(Arc::clone(server)).map_err(|e| e.to_string())?;
    let name = "127.0.0.1".try_into().map_err(|_| "a name")?;
    let mut theirs = ClientConnection::new(Arc::clone(client), name).map_err(|e| e.to_string())?;
    let (mut spent, mut plain) = (Duration::ZERO, Vec::new());
    for _ in 0..6 {
        let mut to_server = Vec::new();
        while theirs.wants_write() {
            theirs
                .write_tls(&mut to_server)
                .map_err(|e| e.to_string())?;
        }
        let begun = Instant::now();
        ours.decrypt(&to_server, &mut plain)
            .map_err(|e| e.to_string())?;
        let mut to_client = Vec::new();
        ours.take_output(&mut to_client);
        spent += begun.elapsed();
        let mut cursor = &to_client[..];
        while !cursor.is_empty() {
            theirs.read_tls(&mut cursor).map_err(|e| e.to_string())?;
            theirs.process_new_packets().map_err(|e| e.to_string())?;
        }
        if !ours.is_handshaking()
            && !theirs.is_handshaking()
            && !theirs.wants_write()
            && !ours.has_output()
        {
            break;
        }
    }
    if ours.is_handshaking() || theirs.is_handshaking() {
        return Err("a handshake did not end".to_owned());
    }
    Ok((spent.as_secs_f64() * 1e6, ours.is_resumed()))
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Microseconds of a full and of a resumed handshake of a version, the median of many.
fn handshakes(files: &Files, versions: ProtocolVersions) -> Result<(f64, f64), String> {
    let server = files.server()?;
    let (mut full, mut resumed) = (Vec::new(), Vec::new());
    let remembers = files.client_of(versions)?;
    for _ in 0..200 {
        // A client's setup of its own each time remembers nothing: full. A clone would share what the first remembers.
        full.push(handshake(&server, &files.client_of(versions)?)?.0);
        let (spent, was) = handshake(&server, &remembers)?;
        if was {
            resumed.push(spent);
        }
    }
    if resumed.len() < 100 {
        return Err(format!("{} of 200 handshakes resumed", resumed.len()));
    }
    Ok((median(full), median(resumed)))
}

type Tls = StreamOwned<ClientConnection, TcpStream>;

fn tls_to(config: &Arc<ClientConfig>, to: SocketAddr) -> std::io::Result<Tls> {
    let name = "127.0.0.1"
        .try_into()
        .map_err(|_| std::io::Error::other("a name"))?;
    let session = ClientConnection::new(Arc::clone(config), name).map_err(std::io::Error::other)?;
    let tcp = TcpStream::connect(to)?;
    tcp.set_read_timeout(Some(Duration::from_secs(5)))?;
    tcp.set_nodelay(true)?;
    let mut tls = StreamOwned::new(session, tcp);
    while tls.conn.is_handshaking() {
        tls.conn.complete_io(&mut tls.sock)?;
    }
    Ok(tls)
}

fn request(id: u32) -> Vec<u8> {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |at| at.as_millis());
    let fields = [
        ("verb", "lobby-view".to_owned()),
        ("txn", format!("{id:016x}")),
        ("door", millis.to_string()),
        ("lb", "1".to_owned()),
        ("cpu", "1.00".to_owned()),
        ("ram", "8".to_owned()),
        ("standing", "0.5000".to_owned()),
    ];
    request_frame(id, &fields, &[b'.'; 64])
}

/// Sends so many requests in rounds of 16 and reads their answers; how many were served.
fn rounds(stream: &mut impl ReadWrite, from: u32, count: u32) -> std::io::Result<u32> {
    let mut served = 0;
    let mut id = from;
    while id < from + count {
        let batch: Vec<u8> = (id..id + 16).flat_map(request).collect();
        stream.write_all(&batch)?;
        stream.flush()?;
        for _ in 0..16 {
            let mut head = [0; 9];
            stream.read_exact(&mut head)?;
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
            let mut payload = vec![0; length.saturating_sub(5)];
            stream.read_exact(&mut payload)?;
            served += u32::from(matches!(
                decode_response(&payload),
                Some(ResponseOutcome::Served(_))
            ));
        }
        id += 16;
    }
    Ok(served)
}

trait ReadWrite: Read + Write {}
impl<T: Read + Write> ReadWrite for T {}

/// A matcher of an instant runtime, with this operator file.
fn matcher(program: &Path, operator: &str) -> Result<(Site, Matcher), String> {
    let site = Site::start(Setup {
        instant_runs: true,
        cores: 64,
        ..Setup::default()
    })
    .map_err(|e| e.to_string())?;
    let matcher =
        Matcher::start(program, &site.config, Some(operator)).map_err(|e| e.to_string())?;
    Ok((site, matcher))
}

/// Matcher's CPU a request, in microseconds, over four warm connections.
fn per_request(program: &Path, files: &Files, tls: bool) -> Result<(f64, u32), String> {
    let operator = if tls {
        format!("{{ {} }}", files.section(""))
    } else {
        "{}".to_owned()
    };
    let (_site, matcher) = matcher(program, &operator)?;
    let config = files.client()?;
    let mut streams: Vec<Box<dyn ReadWrite + Send>> = Vec::new();
    for _ in 0..4 {
        if tls {
            streams.push(Box::new(
                tls_to(&config, matcher.frames).map_err(|e| e.to_string())?,
            ));
        } else {
            let tcp = TcpStream::connect(matcher.frames).map_err(|e| e.to_string())?;
            tcp.set_read_timeout(Some(Duration::from_secs(5)))
                .map_err(|e| e.to_string())?;
            tcp.set_nodelay(true).map_err(|e| e.to_string())?;
            streams.push(Box::new(tcp));
        }
    }
    // Warm: a round on each, then the measured ones.
    for (n, stream) in streams.iter_mut().enumerate() {
        rounds(stream, 1 + n as u32 * 100_000, 16).map_err(|e| e.to_string())?;
    }
    let before = matcher.cpu_micros().ok_or("no CPU figure")?;
    let served = std::thread::scope(|scope| {
        let asking: Vec<_> = streams
            .iter_mut()
            .enumerate()
            .map(|(n, stream)| scope.spawn(move || rounds(stream, 17 + n as u32 * 100_000, 4_000)))
            .collect();
        asking
            .into_iter()
            .map(|one| {
                one.join()
                    .map_err(|_| "a caller ended".to_owned())?
                    .map_err(|e| e.to_string())
            })
            .sum::<Result<u32, String>>()
    })?;
    let spent = matcher.cpu_micros().ok_or("no CPU figure")? - before;
    Ok((spent as f64 / 16_000.0, served))
}

/// Connections held for the figures of memory.
const HELD: u32 = 300;

fn rss(matcher: &Matcher) -> Result<f64, String> {
    matcher
        .memory_kb()
        .map(|(now, _)| now as f64)
        .ok_or_else(|| "no memory figure".to_owned())
}

/// Kilobytes that each idle connection holds, over TLS or plain, each after a round of requests.
fn idle(program: &Path, files: &Files, tls: bool) -> Result<f64, String> {
    let operator = if tls {
        format!("{{ {} }}", files.section(""))
    } else {
        "{}".to_owned()
    };
    let (_site, matcher) = matcher(program, &operator)?;
    let config = files.client()?;
    let base = rss(&matcher)?;
    let mut held: Vec<Box<dyn ReadWrite + Send>> = Vec::new();
    for _ in 0..HELD {
        let mut stream: Box<dyn ReadWrite + Send> = if tls {
            Box::new(tls_to(&config, matcher.frames).map_err(|e| e.to_string())?)
        } else {
            let tcp = TcpStream::connect(matcher.frames).map_err(|e| e.to_string())?;
            tcp.set_read_timeout(Some(Duration::from_secs(5)))
                .map_err(|e| e.to_string())?;
            Box::new(tcp)
        };
        rounds(&mut stream, 1, 16).map_err(|e| e.to_string())?;
        held.push(stream);
    }
    std::thread::sleep(Duration::from_millis(200));
    Ok((rss(&matcher)? - base) / f64::from(HELD))
}

/// Kilobytes that each handshake in flight holds: a client's first flight, and nothing after it.
fn in_flight(program: &Path, files: &Files) -> Result<f64, String> {
    let handshakes =
    "handshakes: { per_second: 100000, burst: 100000, at_once: 1000, waiting: 1000, deadline_ms: 60000 }";
    let (_site, matcher) = matcher(program, &format!("{{ {} }}", files.section(handshakes)))?;
    let config = files.client()?;
    let base = rss(&matcher)?;
    let mut left = Vec::new();
    for _ in 0..HELD {
        let name = "127.0.0.1".try_into().map_err(|_| "a name")?;
        let mut session =
            ClientConnection::new(Arc::clone(&config), name).map_err(|e| e.to_string())?;
        let mut hello = Vec::new();
        session.write_tls(&mut hello).map_err(|e| e.to_string())?;
        let mut tcp = TcpStream::connect(matcher.frames).map_err(|e| e.to_string())?;
        tcp.write_all(&hello).map_err(|e| e.to_string())?;
        left.push(tcp);
    }
    std::thread::sleep(Duration::from_millis(300));
    Ok((rss(&matcher)? - base) / f64::from(HELD))
}

/// Microseconds of the matcher's CPU in a second while nothing comes.
fn at_rest(matcher: &Matcher) -> Result<f64, String> {
    let before = matcher.cpu_micros().ok_or("no CPU figure")?;
    std::thread::sleep(Duration::from_millis(500));
    Ok((matcher.cpu_micros().ok_or("no CPU figure")? - before) as f64 * 2.0)
}

/// Matcher's CPU for each whole handshake, accept and close among them, where they come one at a time: microseconds.
fn calm(matcher: &Matcher, files: &Files, rest: f64) -> Result<f64, String> {
    let count = 150;
    let fresh: Vec<_> = (0..count)
        .map(|_| files.client())
        .collect::<Result<_, _>>()?;
    let (before, begun) = (matcher.cpu_micros().ok_or("no CPU figure")?, Instant::now());
    for config in &fresh {
        tls_to(config, matcher.frames).map_err(|e| e.to_string())?;
    }
    let spent = (matcher.cpu_micros().ok_or("no CPU figure")? - before) as f64
        - rest * begun.elapsed().as_secs_f64();
    Ok(spent / f64::from(count))
}

/// On one matcher whose strangers may begin so many handshakes a second: what each costs where they come one at a time
/// (before and after), and the share of a core that a flood of full handshakes takes beyond what the matcher takes at
/// rest, with how many a second ended.
fn flood(program: &Path, files: &Files) -> Result<(f64, f64, f64), String> {
    let handshakes = format!(
        "handshakes: {{ per_second: {BOUND}, burst: 10, at_once: 8, waiting: 64, deadline_ms: 2000 }}"
    );
    let (_site, matcher) = matcher(program, &format!("{{ {} }}", files.section(&handshakes)))?;
    let rest = at_rest(&matcher)?;
    let before_flood = calm(&matcher, files, rest)?;
    let (over, done) = (AtomicBool::new(false), AtomicU64::new(0));
    let (before, begun) = (matcher.cpu_micros().ok_or("no CPU figure")?, Instant::now());
    std::thread::scope(|scope| {
        for _ in 0..FLOODERS {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    // A client that remembers nothing: a full handshake each time.
                    let Ok(fresh) = files.client() else { continue };
                    if tls_to(&fresh, matcher.frames).is_ok() {
                        done.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        std::thread::sleep(Duration::from_secs(3));
        over.store(true, Ordering::Relaxed);
    });
    let elapsed = begun.elapsed().as_secs_f64();
    let spent = (matcher.cpu_micros().ok_or("no CPU figure")? - before) as f64 - rest * elapsed;
    let after_flood = calm(&matcher, files, rest)?;
    let one = f64::midpoint(before_flood, after_flood);
    Ok((
        one,
        spent / 1e6 / elapsed,
        done.load(Ordering::Relaxed) as f64 / elapsed,
    ))
}

/// Measures, prints, and says what falls short.
///
/// # Errors
/// Where something can't be started.
pub fn run(program: &Path, short: &mut Vec<String>) -> Result<(), String> {
    let files = Files::new()?;
    let (full, resumed) = handshakes(&files, ProtocolVersions::Only13)?;
    let (full12, resumed12) = handshakes(&files, ProtocolVersions::Only12)?;
    print_line!(
        "TLS handshakes, the server's side on one core: 1.3 full {full:.0} us ({:.0} a second), resumed by a shared ticket {resumed:.0} us ({:.0}); \
         1.2 full {full12:.0} us ({:.0}), resumed {resumed12:.0} us ({:.0})",
        1e6 / full,
        1e6 / resumed,
        1e6 / full12,
        1e6 / resumed12
    );
    // In turns, three of each: a matcher's CPU a request varies by some tenths from one run to the next.
    let (mut plains, mut tlss, mut plain_served, mut tls_served) = (Vec::new(), Vec::new(), 0, 0);
    for _ in 0..3 {
        let (spent, served) = per_request(program, &files, false)?;
        (plains, plain_served) = ([plains, vec![spent]].concat(), plain_served + served);
        let (spent, served) = per_request(program, &files, true)?;
        (tlss, tls_served) = ([tlss, vec![spent]].concat(), tls_served + served);
    }
    let (plain, tls) = (median(plains), median(tlss));
    let ratio = tls / plain;
    print_line!(
        "CPU a request on four warm connections, 16 at a time, medians of three: plain {plain:.1} us, TLS {tls:.1} us, {ratio:.2} times (goal under {GOAL_RATIO}); served {plain_served} and {tls_served} of 48000"
    );
    if ratio >= GOAL_RATIO {
        short.push(format!(
            "a request over TLS costs {ratio:.2} times plain, {GOAL_RATIO} asked"
        ));
    }
    let (idle_tls, idle_plain, flight) = (
        idle(program, &files, true)?,
        idle(program, &files, false)?,
        in_flight(program, &files)?,
    );
    print_line!(
        "memory, {HELD} at a time: an idle TLS connection {idle_tls:.1} KB beside {idle_plain:.1} KB plain; a handshake in flight {flight:.1} KB"
    );
    let (one, share, done) = flood(program, &files)?;
    // Strangers have what the reserve leaves of the rate.
    let strangers = BOUND
        * (1.0 - cleatpulley_connection_admission::handshake::Settings::default().reserved_share);
    let allowed = strangers * one / 1e6;
    print_line!(
        "a flood of full handshakes from {FLOODERS} callers, strangers bound to {strangers:.0} a second: {done:.0} a second ended, taking {:.1}% of a core; \
         at the matcher's {one:.0} us a handshake one at a time (before and after), the bound allows {:.1}%",
        share * 100.0,
        allowed * 100.0
    );
    if share > allowed * (1.0 + GOAL_SHARE) {
        short.push(format!(
            "a flood of handshakes takes {:.1}% of a core where the bound allows {:.1}%",
            share * 100.0,
            allowed * 100.0
        ));
    }
    Ok(())
}
