//! A front end that speaks frames, as the protocol page describes it.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub code: u8,
    pub fields: HashMap<String, String>,
    pub body: String,
}

impl Answer {
    /// Returns the answer in the words of the protocol.
    pub fn describe(&self) -> String {
        let word = match self.code {
            0 => "served",
            1 => "refused",
            2 => "failed",
            _ => "unknown",
        };
        format!("{word} {:?}", self.body)
    }
}

/// A request of a front end.
#[derive(Debug, Clone)]
pub struct Request {
    pub class: String,
    pub txn: String,
    pub front_end: u64,
    pub body: String,
    /// Further fields, such as the one with the key.
    pub fields: Vec<(String, String)>,
}

pub fn encode_fields(fields: &[(String, String)]) -> Vec<u8> {
    let mut bytes = vec![fields.len() as u8];
    for (name, value) in fields {
        bytes.push(name.len() as u8);
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(&(value.len() as u16).to_be_bytes());
        bytes.extend_from_slice(value.as_bytes());
    }
    bytes
}

pub fn decode_fields(mut bytes: &[u8]) -> Option<(HashMap<String, String>, &[u8])> {
    let (&count, rest) = bytes.split_first()?;
    bytes = rest;
    let mut fields = HashMap::new();
    for _ in 0..count {
        let (&size, rest) = bytes.split_first()?;
        let name = String::from_utf8_lossy(rest.get(..size as usize)?).into_owned();
        let rest = &rest[size as usize..];
        let size = u16::from_be_bytes(rest.get(..2)?.try_into().ok()?) as usize;
        let value = String::from_utf8_lossy(rest.get(2..2 + size)?).into_owned();
        fields.insert(name, value);
        bytes = &rest[2 + size..];
    }
    Some((fields, bytes))
}

pub fn encode_frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut frame = ((payload.len() + 5) as u32).to_be_bytes().to_vec();
    frame.push(kind);
    frame.extend_from_slice(&stream.to_be_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// A connection of a front end.
pub struct Connection {
    stream: TcpStream,
    last_stream: u32,
    input: Vec<u8>,
    /// The matcher wants no new request on this connection.
    pub is_leaving: bool,
    pub is_closed: bool,
    answers: HashMap<u32, Answer>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            last_stream: 0,
            input: Vec::new(),
            is_leaving: false,
            is_closed: false,
            answers: HashMap::new(),
        })
    }

    /// Sends a request; returns its stream.
    pub fn send(&mut self, request: &Request) -> io::Result<u32> {
        self.last_stream += 1;
        let mut fields = vec![
            ("verb".to_owned(), request.class.clone()),
            ("txn".to_owned(), request.txn.clone()),
            ("door".to_owned(), super::unix_ms().to_string()),
            ("lb".to_owned(), request.front_end.to_string()),
            ("cpu".to_owned(), "50.00".to_owned()),
            ("ram".to_owned(), "20.0".to_owned()),
            ("standing".to_owned(), "0.9000".to_owned()),
        ];
        fields.extend(request.fields.iter().cloned());
        let mut payload = encode_fields(&fields);
        payload.extend_from_slice(request.body.as_bytes());
        self.stream
            .write_all(&encode_frame(0, self.last_stream, &payload))?;
        Ok(self.last_stream)
    }

    /// Reads for up to this time, or until something came.
    pub fn read(&mut self, limit: Duration) {
        let _ = self
            .stream
            .set_read_timeout(Some(limit.max(Duration::from_millis(1))));
        let mut buffer = [0; 65_536];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.is_closed = true,
            Ok(count) => self.input.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => self.is_closed = true,
        }
        while self.input.len() >= 4 {
            let length = u32::from_be_bytes(self.input[..4].try_into().unwrap()) as usize;
            if self.input.len() < 4 + length {
                break;
            }
            let frame: Vec<u8> = self.input.drain(..4 + length).skip(4).collect();
            let stream = u32::from_be_bytes(frame[1..5].try_into().unwrap());
            match frame[0] {
                1 if frame.len() > 5 => {
                    if let Some((fields, body)) = decode_fields(&frame[6..]) {
                        let body = String::from_utf8_lossy(body).into_owned();
                        self.answers.insert(
                            stream,
                            Answer {
                                code: frame[5],
                                fields,
                                body,
                            },
                        );
                    }
                }
                9 => self.is_leaving = true,
                _ => {}
            }
        }
    }

    /// Returns the answer on a stream, once it came.
    pub fn take_answer(&mut self, stream: u32) -> Option<Answer> {
        self.answers.remove(&stream)
    }

    /// Waits for the answer on a stream; `None` if the connection ends or the time is over before it comes.
    pub fn await_answer(&mut self, stream: u32, limit: Duration) -> Option<Answer> {
        let started_at = Instant::now();
        loop {
            if let Some(answer) = self.take_answer(stream) {
                return Some(answer);
            }
            let left = limit.checked_sub(started_at.elapsed())?;
            if self.is_closed {
                return None;
            }
            self.read(left);
        }
    }
}

/// Sends a request on a connection of its own and waits for the answer.
pub fn ask(address: SocketAddr, request: &Request, limit: Duration) -> io::Result<Option<Answer>> {
    let mut connection = Connection::open(address)?;
    let stream = connection.send(request)?;
    Ok(connection.await_answer(stream, limit))
}
