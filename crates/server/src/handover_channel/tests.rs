use super::*;
use std::net::TcpStream;

/// Guards against a peer that passes a socket other than the expected listener: it is rejected.
#[test]
fn adopts_only_a_socket_that_listens_on_the_address() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket is bound");
    let address = listener.local_addr().expect("socket has an address");
    let received = |fd: OwnedFd| ReceivedSocket(fd);
    let duplicate = listener.try_clone().expect("descriptor is duplicated");
    assert!(received(duplicate.into()).into_listener(address).is_ok());
    let duplicate = listener.try_clone().expect("descriptor is duplicated");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    assert!(
        received(duplicate.into()).into_listener(any_port).is_ok(),
        "the system chose the port"
    );
    let duplicate = listener.try_clone().expect("descriptor is duplicated");
    let other_address = SocketAddr::from(([127, 0, 0, 1], address.port() ^ 1));
    assert!(
        received(duplicate.into())
            .into_listener(other_address)
            .is_err(),
        "other address"
    );
    let connection = TcpStream::connect(address).expect("listener accepts connections");
    assert!(
        received(connection.into()).into_listener(address).is_err(),
        "connected socket"
    );
    let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").expect("socket is bound");
    let datagram_address = datagrams.local_addr().expect("socket has an address");
    assert!(
        received(datagrams.into())
            .into_listener(datagram_address)
            .is_err(),
        "datagram socket"
    );
    let file = std::fs::File::open("/dev/null").expect("file opens");
    assert!(
        received(file.into()).into_listener(address).is_err(),
        "not a socket"
    );
}

#[test]
fn processes_find_each_other_by_folder_name_and_address_while_the_listener_is_alive() {
    let folder = std::env::temp_dir().join(format!("cleatpulley-meet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("folder is usable");
    let handover_address = HandoverAddress {
        folder: folder.clone(),
        name: "n1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 5_050)),
    };
    let connect_error_kind = |handover_address: &HandoverAddress| {
        connect(handover_address)
            .map(drop)
            .expect_err("no process is listening")
            .kind()
    };
    assert_eq!(
        connect_error_kind(&handover_address),
        io::ErrorKind::NotFound
    );
    let first = listen(&handover_address).expect("socket is listening");
    let _client = connect(&handover_address).expect("peer is listening");
    assert!(accept(&first).is_ok());
    assert_eq!(
        accept(&first)
            .map(drop)
            .expect_err("no connection is pending")
            .kind(),
        io::ErrorKind::WouldBlock
    );
    // The second process takes over the path; closing the first listener does not remove it.
    let second = listen(&handover_address).expect("socket is listening");
    drop(first);
    let _client = connect(&handover_address).expect("second process is listening");
    assert!(accept(&second).is_ok());
    drop(second);
    assert_eq!(
        connect_error_kind(&handover_address),
        io::ErrorKind::ConnectionRefused
    );
    let other_server = HandoverAddress {
        name: "n2".to_owned(),
        ..handover_address
    };
    assert_eq!(connect_error_kind(&other_server), io::ErrorKind::NotFound);
    std::fs::remove_dir_all(&folder).expect("folder is removed");
}
