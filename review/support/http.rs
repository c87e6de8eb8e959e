//! The directory and the store, which answer each call at once, and calls to a process's address for operators.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Starts a directory: every report is answered 204.
pub fn start_directory() -> io::Result<SocketAddr> {
    start("HTTP/1.1 204 No Content\r\n\r\n")
}

/// Starts a store: every call goes well.
pub fn start_store() -> io::Result<SocketAddr> {
    start("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply")
}

fn start(response: &'static str) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream, response));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, response: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    loop {
        let (mut length, mut is_first) = (0, true);
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(count) if count > 0 => {}
                _ => return,
            }
            let line = line.trim_end();
            if line.is_empty() && !is_first {
                break;
            }
            is_first = false;
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() || stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns the status of `GET path` at an address for operators.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    get(address, path)?.split(' ').nth(1)?.parse().ok()
}

/// Returns the whole response of `GET path`.
pub fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    let mut text = Vec::new();
    // A read that times out leaves what came until then.
    let _ = stream.read_to_end(&mut text);
    Some(String::from_utf8_lossy(&text).into_owned())
}
