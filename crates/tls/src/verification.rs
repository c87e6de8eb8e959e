//! Checks whether a certificate would be accepted for a given name at a given time, as a server's
//! and as a client's certificate, by the verifiers that sessions use.

use crate::certificate::{parse_certificates, CertificateInfo};
use rustls::client::danger::ServerCertVerifier;
use rustls::client::WebPkiServerVerifier;
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::RootCertStore;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// The result of a verification.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VerificationReport {
    /// The contents of the certificate.
    pub certificate: CertificateInfo,
    /// Why the certificate is rejected as that of a server with the name, if it is.
    pub server_error: Option<String>,
    /// Why the certificate is rejected as that of a client, if it is.
    pub client_error: Option<String>,
}

impl VerificationReport {
    /// Returns whether the certificate is accepted both for a server and for a client.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.server_error.is_none() && self.client_error.is_none()
    }
}

/// Verifies the chain in a file against the roots in another file.
///
/// # Errors
/// Returns an error if a file has no certificate, or the roots can't be used.
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

/// Verifies a chain of certificates against roots.
///
/// # Errors
/// Returns an error if the roots can't be used.
pub fn verify_chain(
    chain: &[CertificateDer<'static>],
    roots: &[CertificateDer<'static>],
    name: &str,
    now_seconds: u64,
) -> Result<VerificationReport, String> {
    let Some((leaf, intermediates)) = chain.split_first() else {
        return Err("no certificate".to_owned());
    };
    let certificate = CertificateInfo::from_der(leaf)?;
    let mut root_store = RootCertStore::empty();
    for (i, root) in roots.iter().enumerate() {
        root_store
            .add(root.clone())
            .map_err(|e| format!("root {}: {e}", i + 1))?;
    }
    let root_store = Arc::new(root_store);
    let now = UnixTime::since_unix_epoch(Duration::from_secs(now_seconds));
    let provider = crate::crypto_provider();
    let server_verifier =
        WebPkiServerVerifier::builder_with_provider(Arc::clone(&root_store), Arc::clone(&provider));
    let server_verifier = server_verifier.build().map_err(|e| e.to_string())?;
    let as_server = match ServerName::try_from(name.to_owned()) {
        Err(_) => Some(format!("{name:?} is not a valid server name")),
        Ok(server_name) => server_verifier
            .verify_server_cert(leaf, intermediates, &server_name, &[], now)
            .err()
            .map(|e| e.to_string()),
    };
    let client_verifier = WebPkiClientVerifier::builder_with_provider(root_store, provider)
        .build()
        .map_err(|e| e.to_string())?;
    let as_client = client_verifier
        .verify_client_cert(leaf, intermediates, now)
        .err()
        .map(|e| e.to_string());
    Ok(VerificationReport {
        certificate,
        server_error: as_server,
        client_error: as_client,
    })
}
