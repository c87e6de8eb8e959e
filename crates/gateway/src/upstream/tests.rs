//! Tests of the connections to targets, over a fake stream that accepts as many bytes as the test allows.

use super::*;
use cleatpulley_connection_admission::reputation_database::StoredReputation;
use cleatpulley_idempotency::record::ScopedKey;
use cleatpulley_policy::interface::RequestId;
use cleatpulley_server::host::{
    HandoverAddress, HandoverChannel, ReputationStorage, ResultPersistence, Stream,
};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::IpAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Host whose streams lead to a fake target.
#[derive(Clone, Default)]
struct FakeHost {
    /// Number of bytes that can still be written.
    write_capacity: Rc<Cell<usize>>,
    /// Bytes that were written.
    received: Rc<RefCell<Vec<u8>>>,
    /// Bytes that can be read.
    sent: Rc<RefCell<Vec<u8>>>,
    /// True where the end of the stream follows.
    ended: Rc<Cell<bool>>,
}

struct NoStorage;

impl ResultPersistence for NoStorage {
    fn write(&mut self, _: cleatpulley_dispatcher::key_table::KeyCommand) {}
    fn load_result(&mut self, _: Micros, _: RequestId, _: u64, _: ScopedKey) {}
    fn release(&mut self) {}
    fn stop(self) {}
}

impl ReputationStorage for NoStorage {
    fn write(&self, _: Vec<StoredReputation>) {}
    fn release(&mut self) {}
    fn stop(self) {}
}

/// No process hands over or takes over in these tests.
struct NoPeer;

impl HandoverChannel for NoPeer {
    type Listener = ();
    type ReceivedSocket = ();

    fn send(&self, _: &[u8], _: &[&()]) -> io::Result<()> {
        Err(ErrorKind::NotConnected.into())
    }

    fn receive(&self) -> io::Result<(Vec<u8>, Vec<()>)> {
        Err(ErrorKind::NotConnected.into())
    }
}

impl Stream for FakeHost {
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut sent = self.sent.borrow_mut();
        if sent.is_empty() {
            return if self.ended.get() {
                Ok(0)
            } else {
                Err(ErrorKind::WouldBlock.into())
            };
        }
        let count = sent.len().min(buffer.len());
        buffer[..count].copy_from_slice(&sent[..count]);
        sent.drain(..count);
        Ok(count)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let count = bytes.len().min(self.write_capacity.get());
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.write_capacity.set(self.write_capacity.get() - count);
        self.received
            .borrow_mut()
            .extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn shutdown_write(&self) {}

    fn take_error(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Host for FakeHost {
    type Stream = Self;
    type Listener = ();
    type ResultPersistence = NoStorage;
    type SuccessorListener = ();
    type ReservedDescriptor = ();
    type ReputationStorage = NoStorage;
    type HandoverChannel = NoPeer;

    fn reserve_descriptor(&self) -> io::Result<()> {
        Ok(())
    }

    fn is_address_in_use(&self, _: SocketAddr) -> bool {
        false
    }

    fn adopt_listener(&self, (): (), _: SocketAddr, _: usize) -> io::Result<()> {
        Ok(())
    }

    fn listen_for_successors(&self, _: &HandoverAddress, _: usize) -> io::Result<()> {
        Ok(())
    }

    fn accept_successor(&self, (): &(), _: SocketOwner) -> io::Result<NoPeer> {
        Err(ErrorKind::WouldBlock.into())
    }

    fn connect_to_predecessor(&self, _: &HandoverAddress, _: SocketOwner) -> io::Result<NoPeer> {
        Err(ErrorKind::NotFound.into())
    }

    fn now(&self) -> Micros {
        0
    }

    fn listen(&self, address: SocketAddr, _: usize) -> io::Result<((), SocketAddr)> {
        Ok(((), address))
    }

    fn accept(&self, (): &(), _: SocketOwner) -> io::Result<(Self, IpAddr)> {
        Err(ErrorKind::WouldBlock.into())
    }

    fn connect(&self, _: SocketAddr, _: SocketOwner) -> io::Result<Self> {
        Ok(self.clone())
    }

    fn open_reputation_storage(&self, _: PathBuf, _: usize) -> io::Result<NoStorage> {
        Err(ErrorKind::Unsupported.into())
    }

    fn open_result_persistence(&self, _: PathBuf, _: u64, _: bool) -> io::Result<NoStorage> {
        Err(ErrorKind::Unsupported.into())
    }
}

fn new_upstream(host: &FakeHost) -> (Upstream<FakeHost>, Arc<str>) {
    let target: Arc<str> = Arc::from("a:1");
    let addresses = HashMap::from([(target.clone(), SocketAddr::from(([127, 0, 0, 1], 1)))]);
    let classes = vec!["claim-seat".to_owned()];
    (
        Upstream::new(
            host.clone(),
            TargetProtocol::Frames,
            HeaderNames::default(),
            classes,
            addresses,
            1,
        ),
        target,
    )
}

fn new_request(id: u64) -> IncomingRequest {
    IncomingRequest {
        client: cleatpulley_dispatcher::ClientStream {
            connection: 1,
            stream: 1,
        },
        id,
        class: 0,
        caller: 1,
        received_at: 0,
        expected_work: 0,
        memory_kb: 1.0,
        rank: 0.5,
        is_retry: false,
        has_subject: false,
        key: None,
        body: vec![7; 40],
        head: None,
    }
}

const READY: Readiness = Readiness {
    readable: true,
    writable: true,
};

/// Guards against a request that is given up while its connection is being established, is retried at another target, and
/// is sent all the same once the connection is established.
#[test]
fn abandoned_request_on_an_unestablished_connection_is_never_sent() {
    let host = FakeHost::default();
    let (mut upstream, target) = new_upstream(&host);
    let mut events = Vec::new();
    for number in [1, 2] {
        upstream.send(0, number, &target, "/", &new_request(number), &mut events);
    }
    upstream.poll(0, &mut events);
    assert!(!upstream.is_written(1) && events.is_empty());
    upstream.abandon(1, &mut events);
    assert_eq!(
        events,
        [(2, AttemptEvent::Failed(AttemptFailure::NotSent))],
        "the other request on the connection fails too"
    );
    host.write_capacity.set(usize::MAX);
    upstream.on_readiness(1, READY);
    upstream.poll(0, &mut events);
    assert!(host.received.borrow().is_empty() && upstream.connection_count() == 0);
}

/// A request in the buffer of an established connection counts as written, because it will be sent.
#[test]
fn request_queued_on_an_established_connection_counts_as_written() {
    let host = FakeHost::default();
    let (mut upstream, target) = new_upstream(&host);
    let mut events = Vec::new();
    host.write_capacity.set(10);
    for number in [1, 2] {
        upstream.send(0, number, &target, "/", &new_request(number), &mut events);
    }
    upstream.on_readiness(1, READY);
    upstream.poll(0, &mut events);
    assert!(upstream.is_written(1) && upstream.is_written(2));
    upstream.abandon(2, &mut events);
    assert!(events.is_empty() && upstream.connection_count() == 1);
    // The connection ends before the rest was written: the target can't have read a whole request.
    host.ended.set(true);
    upstream.on_readiness(1, READY);
    upstream.poll(0, &mut events);
    assert_eq!(events, [(1, AttemptEvent::Failed(AttemptFailure::NotSent))]);
}

/// A request that was sent whole and not answered may have run, even after a goodbye: the target may have been killed.
#[test]
fn unanswered_request_may_have_run_when_the_connection_ends_after_a_goodbye() {
    let host = FakeHost::default();
    let (mut upstream, target) = new_upstream(&host);
    let mut events = Vec::new();
    host.write_capacity.set(usize::MAX);
    for number in [1, 2] {
        upstream.send(0, number, &target, "/", &new_request(number), &mut events);
    }
    upstream.on_readiness(1, READY);
    upstream.poll(0, &mut events);
    let mut response_bytes = Vec::new();
    codec::push_go_away(&mut response_bytes);
    let rejected = Response::Rejected {
        retry_after: 70_000,
        no_failover: true,
    };
    codec::push_response(&mut response_bytes, 2, &rejected, Some(3.0));
    *host.sent.borrow_mut() = response_bytes;
    host.ended.set(true);
    upstream.on_readiness(1, READY);
    upstream.poll(0, &mut events);
    let expected = [
        (2, AttemptEvent::AdvisedConcurrency(3)),
        (
            2,
            AttemptEvent::Failed(AttemptFailure::Rejected {
                retry_after: 70_000,
                no_failover: true,
            }),
        ),
        (1, AttemptEvent::Failed(AttemptFailure::ConnectionLost)),
    ];
    assert_eq!(events, expected);
}

#[test]
fn request_is_rejected_while_all_connections_of_its_target_are_full() {
    let host = FakeHost::default();
    let (mut upstream, target) = new_upstream(&host);
    let mut events = Vec::new();
    for number in 0..=MAX_OPEN_REQUESTS as u64 {
        upstream.send(0, number, &target, "/", &new_request(number), &mut events);
    }
    assert_eq!(
        events,
        [(
            MAX_OPEN_REQUESTS as u64,
            AttemptEvent::Failed(AttemptFailure::Rejected {
                retry_after: 0,
                no_failover: false
            })
        )]
    );
}

/// Guards against a request that is sent to its target and runs there although its client has left meanwhile.
#[test]
fn abandoned_request_that_waits_on_an_established_connection_is_never_sent() {
    let host = FakeHost::default();
    let (mut upstream, target) = new_upstream(&host);
    let mut events = Vec::new();
    host.write_capacity.set(10);
    for number in [1, 2, 3] {
        upstream.send(0, number, &target, "/", &new_request(number), &mut events);
    }
    upstream.on_readiness(1, READY);
    upstream.poll(0, &mut events);
    // The first was sent in part and can't be withdrawn.
    upstream.abandon(1, &mut events);
    upstream.abandon(2, &mut events);
    host.write_capacity.set(usize::MAX);
    upstream.on_readiness(1, READY);
    upstream.poll(0, &mut events);
    assert!(events.is_empty(), "{events:?}");
    let received = String::from_utf8_lossy(&host.received.borrow()).into_owned();
    let is_sent = |id: u64| received.contains(&format!("{id:016x}"));
    assert_eq!([is_sent(1), is_sent(2), is_sent(3)], [true, false, true]);
    // What follows keeps its place: its response is matched, and its end is known.
    let mut response_bytes = Vec::new();
    codec::push_response(&mut response_bytes, 3, &Response::Failed, None);
    *host.sent.borrow_mut() = response_bytes;
    upstream.on_readiness(1, READY);
    upstream.poll(0, &mut events);
    assert_eq!(events, [(3, AttemptEvent::Failed(AttemptFailure::Failed))]);
}
