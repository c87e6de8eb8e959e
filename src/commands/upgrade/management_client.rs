//! Requests to the management endpoint of the new process, in plain HTTP or over TLS as its operator
//! file has it.

use cleatpulley::operator::OperatorSettings;
use cleatpulley::protocol::http;
use cleatpulley::server::error::CertificateError;
use cleatpulley::server::tls_layer::CertificateSource;
use cleatpulley_tls::rustls::{self, ClientConnection, StreamOwned};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Timeout of connecting, and of each read and write.
const TIMEOUT: Duration = Duration::from_secs(1);
const READ_BUFFER_BYTES: usize = 4_096;

/// Why the management endpoint gave no response.
#[derive(Debug, thiserror::Error)]
pub enum ManagementError {
    /// The connection failed, or ended before the response was complete.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The certificate that the endpoint uses can't be read.
    #[error("tls: {0}")]
    Certificate(#[from] CertificateError),
    /// The TLS session can't be created.
    #[error("tls: {0}")]
    Session(#[from] rustls::Error),
    /// The response is not HTTP.
    #[error("{0}")]
    Malformed(String),
}

/// A client of one management endpoint.
pub struct ManagementClient {
    address: SocketAddr,
    /// The certificate of the endpoint; `None` if it speaks plain HTTP.
    certificates: Option<Arc<dyn CertificateSource>>,
}

impl ManagementClient {
    /// Creates a client of the endpoint that a process with these settings serves at `address`.
    pub fn new(address: SocketAddr, operator: &OperatorSettings) -> Self {
        let tls = operator.tls.as_ref().filter(|tls| tls.mgmt);
        let certificates = tls.map(|tls| Arc::clone(&tls.certificates));
        Self {
            address,
            certificates,
        }
    }

    /// Returns the address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether nothing listens at the address, whatever protocol a listener would speak.
    ///
    /// # Errors
    /// Connecting fails for another reason than that nothing listens.
    pub fn is_address_free(&self) -> io::Result<bool> {
        match TcpStream::connect_timeout(&self.address, TIMEOUT) {
            Ok(_) => Ok(false),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => Ok(true),
            Err(error) => Err(error),
        }
    }

    /// Requests `/_ready` and returns the status of the response.
    ///
    /// # Errors
    /// There is no complete response: this does not tell whether the process serves.
    pub fn request_ready_status(&self) -> Result<u16, ManagementError> {
        let mut socket = TcpStream::connect_timeout(&self.address, TIMEOUT)?;
        socket.set_read_timeout(Some(TIMEOUT))?;
        socket.set_write_timeout(Some(TIMEOUT))?;
        let Some(certificates) = &self.certificates else {
            return self.exchange(&mut socket);
        };
        // Read for each request, as the files may have been renewed.
        let config = certificates.client_config()?;
        let session = ClientConnection::new(config, self.address.ip().into())?;
        self.exchange(&mut StreamOwned::new(session, socket))
    }

    fn exchange(&self, stream: &mut (impl Read + Write)) -> Result<u16, ManagementError> {
        let mut request = Vec::new();
        let host = self.address.to_string();
        http::push_request(&mut request, "GET", "/_ready", &host, &[], b"");
        stream.write_all(&request)?;
        stream.flush()?;
        let mut response_bytes = Vec::new();
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let length = stream.read(&mut buffer)?;
            response_bytes.extend_from_slice(&buffer[..length]);
            let is_ended = length == 0;
            let response = http::parse_response(&response_bytes, is_ended)
                .map_err(ManagementError::Malformed)?;
            match response {
                Some(response) => return Ok(response.status),
                None if is_ended => return Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
                None => {}
            }
        }
    }
}
