//! Connections to targets whose system takes what the test says.

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

/// A target whose system takes so many bytes, and the bytes that it took; what it sends is put there.
#[derive(Clone, Default)]
struct Fake {
    takes: Rc<Cell<usize>>,
    taken: Rc<RefCell<Vec<u8>>>,
    sends: Rc<RefCell<Vec<u8>>>,
    ended: Rc<Cell<bool>>,
}

struct NoKeeper;

impl ResultPersistence for NoKeeper {
    fn write(&mut self, _: cleatpulley_dispatcher::key_table::KeyCommand) {}
    fn load_result(&mut self, _: Micros, _: RequestId, _: u64, _: ScopedKey) {}
    fn release(&mut self) {}
    fn stop(self) {}
}

impl ReputationStorage for NoKeeper {
    fn write(&self, _: Vec<StoredReputation>) {}
    fn release(&mut self) {}
    fn stop(self) {}
}

/// Nobody is met in these tests.
struct Nobody;

impl HandoverChannel for Nobody {
    type Listener = ();
    type ReceivedSocket = ();

    fn send(&self, _: &[u8], _: &[&()]) -> io::Result<()> {
        Err(ErrorKind::NotConnected.into())
    }

    fn receive(&self) -> io::Result<(Vec<u8>, Vec<()>)> {
        Err(ErrorKind::NotConnected.into())
    }
}

impl Stream for Fake {
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut sends = self.sends.borrow_mut();
        if sends.is_empty() {
            return if self.ended.get() {
                Ok(0)
            } else {
                Err(ErrorKind::WouldBlock.into())
            };
        }
        let count = sends.len().min(buffer.len());
        buffer[..count].copy_from_slice(&sends[..count]);
        sends.drain(..count);
        Ok(count)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let count = bytes.len().min(self.takes.get());
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.takes.set(self.takes.get() - count);
        self.taken.borrow_mut().extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn shutdown_write(&self) {}

    fn take_error(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Host for Fake {
    type Stream = Self;
    type Listener = ();
    type ResultPersistence = NoKeeper;
    type SuccessorListener = ();
    type ReservedDescriptor = ();
    type ReputationStorage = NoKeeper;
    type HandoverChannel = Nobody;

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

    fn accept_successor(&self, (): &(), _: SocketOwner) -> io::Result<Nobody> {
        Err(ErrorKind::WouldBlock.into())
    }

    fn connect_to_predecessor(&self, _: &HandoverAddress, _: SocketOwner) -> io::Result<Nobody> {
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

    fn open_reputation_storage(&self, _: PathBuf, _: usize) -> io::Result<NoKeeper> {
        Err(ErrorKind::Unsupported.into())
    }

    fn open_result_persistence(&self, _: PathBuf, _: u64, _: bool) -> io::Result<NoKeeper> {
        Err(ErrorKind::Unsupported.into())
    }
}

fn upstream(fake: &Fake) -> (Upstream<Fake>, Arc<str>) {
    let to: Arc<str> = Arc::from("a:1");
    let addresses = HashMap::from([(to.clone(), SocketAddr::from(([127, 0, 0, 1], 1)))]);
    let classes = vec!["claim-seat".to_owned()];
    (
        Upstream::new(
            fake.clone(),
            TargetProtocol::Frames,
            HeaderNames::default(),
            classes,
            addresses,
            1,
        ),
        to,
    )
}

fn arrival(id: u64) -> IncomingRequest {
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

/// Guards against a request that is given up on a connection that does not stand yet, tried elsewhere, and sent all the
/// same once it stands.
#[test]
fn what_is_given_up_before_a_connection_stands_is_never_sent() {
    let fake = Fake::default();
    let (mut upstream, to) = upstream(&fake);
    let mut replies = Vec::new();
    for number in [1, 2] {
        upstream.send(0, number, &to, "/", &arrival(number), &mut replies);
    }
    upstream.turn(0, &mut replies);
    assert!(!upstream.is_written(1) && replies.is_empty());
    upstream.abandon(1, &mut replies);
    assert_eq!(
        replies,
        [(2, Reply::Nothing(AttemptFailure::NotSent))],
        "the other one goes elsewhere too"
    );
    fake.takes.set(usize::MAX);
    upstream.note(1, READY);
    upstream.turn(0, &mut replies);
    assert!(fake.taken.borrow().is_empty() && upstream.connections() == 0);
}

/// What stands in the buffer of a connection that stands will be sent: it counts as written.
#[test]
fn what_waits_on_a_connection_that_stands_may_run() {
    let fake = Fake::default();
    let (mut upstream, to) = upstream(&fake);
    let mut replies = Vec::new();
    fake.takes.set(10);
    for number in [1, 2] {
        upstream.send(0, number, &to, "/", &arrival(number), &mut replies);
    }
    upstream.note(1, READY);
    upstream.turn(0, &mut replies);
    assert!(upstream.is_written(1) && upstream.is_written(2));
    upstream.abandon(2, &mut replies);
    assert!(replies.is_empty() && upstream.connections() == 1);
    // The connection ends before the rest was taken: nothing of it can have been read whole.
    fake.ended.set(true);
    upstream.note(1, READY);
    upstream.turn(0, &mut replies);
    assert_eq!(replies, [(1, Reply::Nothing(AttemptFailure::NotSent))]);
}

/// Also after a goodbye, what was sent whole and not answered may have run: a target may be killed then.
#[test]
fn a_connection_that_ends_after_a_goodbye_proves_nothing() {
    let fake = Fake::default();
    let (mut upstream, to) = upstream(&fake);
    let mut replies = Vec::new();
    fake.takes.set(usize::MAX);
    for number in [1, 2] {
        upstream.send(0, number, &to, "/", &arrival(number), &mut replies);
    }
    upstream.note(1, READY);
    upstream.turn(0, &mut replies);
    let mut said = Vec::new();
    codec::push_go_away(&mut said);
    let refused = Response::Rejected {
        retry_after: 70_000,
        no_failover: true,
    };
    codec::push_response(&mut said, 2, &refused, Some(3.0));
    *fake.sends.borrow_mut() = said;
    fake.ended.set(true);
    upstream.note(1, READY);
    upstream.turn(0, &mut replies);
    let expected = [
        (2, Reply::Advised(3)),
        (
            2,
            Reply::Nothing(AttemptFailure::Rejected {
                retry_after: 70_000,
                no_failover: true,
            }),
        ),
        (1, Reply::Nothing(AttemptFailure::ConnectionLost)),
    ];
    assert_eq!(replies, expected);
}

#[test]
fn a_target_whose_connections_are_full_is_not_at_fault() {
    let fake = Fake::default();
    let (mut upstream, to) = upstream(&fake);
    let mut replies = Vec::new();
    for number in 0..=OPEN as u64 {
        upstream.send(0, number, &to, "/", &arrival(number), &mut replies);
    }
    assert_eq!(
        replies,
        [(
            OPEN as u64,
            Reply::Nothing(AttemptFailure::Rejected {
                retry_after: 0,
                no_failover: false
            })
        )]
    );
}
