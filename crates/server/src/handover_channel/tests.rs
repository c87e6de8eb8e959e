use super::*;
use std::net::TcpStream;

/// Guards against a peer that passes what it should not: nothing is accepted from it.
#[test]
fn adopts_only_a_socket_that_listens_on_the_address() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let passed = |fd: OwnedFd| ReceivedSocket(fd);
    let copy = listener.try_clone().expect("a descriptor");
    assert!(passed(copy.into()).into_listener(at).is_ok());
    let copy = listener.try_clone().expect("a descriptor");
    let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
    assert!(
        passed(copy.into()).into_listener(anywhere).is_ok(),
        "the system chose the port"
    );
    let copy = listener.try_clone().expect("a descriptor");
    let other = SocketAddr::from(([127, 0, 0, 1], at.port() ^ 1));
    assert!(
        passed(copy.into()).into_listener(other).is_err(),
        "it listens elsewhere"
    );
    let connection = TcpStream::connect(at).expect("it listens");
    assert!(
        passed(connection.into()).into_listener(at).is_err(),
        "a connection"
    );
    let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let own = datagrams.local_addr().expect("an address");
    assert!(
        passed(datagrams.into()).into_listener(own).is_err(),
        "no stream"
    );
    let file = std::fs::File::open("/dev/null").expect("it is there");
    assert!(passed(file.into()).into_listener(at).is_err(), "no socket");
}

#[test]
fn processes_meet_by_folder_name_and_address_and_a_dead_one_is_not_found() {
    let folder = std::env::temp_dir().join(format!("cleatpulley-meet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let meeting = HandoverAddress {
        folder: folder.clone(),
        name: "n1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 5_050)),
    };
    let nobody = |meeting: &HandoverAddress| {
        connect(meeting)
            .map(drop)
            .expect_err("nobody is there")
            .kind()
    };
    assert_eq!(nobody(&meeting), io::ErrorKind::NotFound);
    let first = listen(&meeting).expect("a socket");
    let _visitor = connect(&meeting).expect("it is there");
    assert!(accept(&first).is_ok());
    assert_eq!(
        accept(&first).map(drop).expect_err("nobody waits").kind(),
        io::ErrorKind::WouldBlock
    );
    // Its successor takes the name; the first one's end takes nothing away.
    let second = listen(&meeting).expect("a socket");
    drop(first);
    let _visitor = connect(&meeting).expect("the second is there");
    assert!(accept(&second).is_ok());
    drop(second);
    assert_eq!(nobody(&meeting), io::ErrorKind::ConnectionRefused);
    let elsewhere = HandoverAddress {
        name: "n2".to_owned(),
        ..meeting
    };
    assert_eq!(nobody(&elsewhere), io::ErrorKind::NotFound);
    std::fs::remove_dir_all(&folder).expect("it was there");
}
