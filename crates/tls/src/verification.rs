//! What a client would refuse in a certificate, and why: the verdict of the same verifier that sessions use, at a time
//! that is given, for a name that is given, as a server and as a client.

use crate::certificate::{parse_certificates, CertificateInfo};
use rustls::client::danger::ServerCertVerifier;
use rustls::client::WebPkiServerVerifier;
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::RootCertStore;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// What was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VerificationReport {
    /// What the certificate says.
    pub certificate: CertificateInfo,
    /// Refused as a server of the name, and why.
    pub server_error: Option<String>,
    /// Refused as a client, and why.
    pub client_error: Option<String>,
}

impl VerificationReport {
    /// Nobody refuses it.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.server_error.is_none() && self.client_error.is_none()
    }
}

/// Judges the chain in a file against the roots in another.
///
/// # Errors
/// Where a file holds no certificate, or the roots can't be used.
pub fn verify_files(
    chain: (&Path, &[u8]),
    roots: (&Path, &[u8]),
    name: &str,
    now_seconds: u64,
) -> Result<VerificationReport, String> {
    let chain = parse_certificates(chain.0, chain.1).map_err(|e| e.to_string())?;
    let roots = parse_certificates(roots.0, roots.1).map_err(|e| e.to_string())?;
    verify_chain(&chain, &roots, name, now_seconds)
}

/// The same, for certificates that were read.
///
/// # Errors
/// Where the roots can't be used.
pub fn verify_chain(
    chain: &[CertificateDer<'static>],
    roots: &[CertificateDer<'static>],
    name: &str,
    now_seconds: u64,
) -> Result<VerificationReport, String> {
    let Some((end, between)) = chain.split_first() else {
        return Err("no certificate".to_owned());
    };
    let facts = CertificateInfo::from_der(end)?;
    let mut store = RootCertStore::empty();
    for (i, root) in roots.iter().enumerate() {
        store
            .add(root.clone())
            .map_err(|e| format!("root {}: {e}", i + 1))?;
    }
    let store = Arc::new(store);
    let now = UnixTime::since_unix_epoch(Duration::from_secs(now_seconds));
    let provider = crate::crypto_provider();
    let server =
        WebPkiServerVerifier::builder_with_provider(Arc::clone(&store), Arc::clone(&provider));
    let server = server.build().map_err(|e| e.to_string())?;
    let as_server = match ServerName::try_from(name.to_owned()) {
        Err(_) => Some(format!("{name:?} is no name a client could ask for")),
        Ok(server_name) => server
            .verify_server_cert(end, between, &server_name, &[], now)
            .err()
            .map(|e| e.to_string()),
    };
    let client = WebPkiClientVerifier::builder_with_provider(store, provider)
        .build()
        .map_err(|e| e.to_string())?;
    let as_client = client
        .verify_client_cert(end, between, now)
        .err()
        .map(|e| e.to_string());
    Ok(VerificationReport {
        certificate: facts,
        server_error: as_server,
        client_error: as_client,
    })
}
