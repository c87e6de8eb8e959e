//! The TLS configurations that the sessions of a listener, or of a gateway's connections to its
//! targets, share. They are built from a certificate, roots and options, and again when the files
//! change. The time is that of the [`Clock`] passed in.

use crate::certificate::CertificateWithKey;
use crate::pinned_certificate::{CertificateForTrustedIssuer, PinnedServerCertificate};
use crate::Clock;
use rustls::client::ResolvesClientCert;
use rustls::pki_types::CertificateDer;
use rustls::server::{
    ClientHello, ResolvesServerCert, ServerSessionMemoryCache, WebPkiClientVerifier,
};
use rustls::sign::CertifiedKey;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig, SignatureScheme, SupportedProtocolVersion,
};
use std::sync::Arc;

/// Maximum number of TLS 1.2 sessions stored by id, for resumption by clients without tickets.
const SESSION_CACHE_SIZE: usize = 1_024;

/// The TLS versions in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProtocolVersions {
    /// TLS 1.3 and 1.2.
    #[default]
    Both,
    /// TLS 1.3 only.
    Only13,
    /// TLS 1.2 only.
    Only12,
}

impl ProtocolVersions {
    fn as_rustls(self) -> &'static [&'static SupportedProtocolVersion] {
        static BOTH: [&SupportedProtocolVersion; 2] =
            [&rustls::version::TLS13, &rustls::version::TLS12];
        match self {
            Self::Both => &BOTH,
            Self::Only13 => &BOTH[..1],
            Self::Only12 => &BOTH[1..],
        }
    }
}

/// Authentication of clients by certificates.
#[derive(Debug, Clone)]
pub struct ClientAuthentication {
    /// Certificates of the trusted authorities.
    pub roots: Vec<CertificateDer<'static>>,
    /// Whether a client without a certificate is rejected; otherwise it is accepted without an
    /// identity.
    pub required: bool,
}

#[derive(Debug)]
struct StaticCertificate(Arc<CertifiedKey>);

impl ResolvesServerCert for StaticCertificate {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0))
    }
}

impl ResolvesClientCert for StaticCertificate {
    fn resolve(&self, _: &[&[u8]], _: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0))
    }

    fn has_certs(&self) -> bool {
        true
    }
}

fn build_root_store(certificates: &[CertificateDer<'static>]) -> Result<RootCertStore, String> {
    let mut store = RootCertStore::empty();
    for (i, root) in certificates.iter().enumerate() {
        store
            .add(root.clone())
            .map_err(|e| format!("root {}: {e}", i + 1))?;
    }
    Ok(store)
}

/// Builds the configuration of a listener's sessions.
///
/// # Errors
/// Returns an error if the roots can't be used, or the versions don't match the cryptography
/// provider.
pub fn server_config(
    certificate: &CertificateWithKey,
    clients: Option<&ClientAuthentication>,
    versions: ProtocolVersions,
    tickets: Option<Arc<dyn rustls::server::ProducesTickets>>,
    clock: &Clock,
) -> Result<Arc<ServerConfig>, String> {
    let provider = crate::crypto_provider();
    let builder =
        ServerConfig::builder_with_details(Arc::clone(&provider), Arc::new(clock.clone()))
            .with_protocol_versions(versions.as_rustls())
            .map_err(|e| e.to_string())?;
    let builder = match clients {
        None => builder.with_no_client_auth(),
        Some(clients) => {
            let verifier = WebPkiClientVerifier::builder_with_provider(
                Arc::new(build_root_store(&clients.roots)?),
                provider,
            );
            let verifier = if clients.required {
                verifier
            } else {
                verifier.allow_unauthenticated()
            };
            builder.with_client_cert_verifier(verifier.build().map_err(|e| e.to_string())?)
        }
    };
    let mut config = builder.with_cert_resolver(Arc::new(StaticCertificate(Arc::clone(
        &certificate.certified_key,
    ))));
    config.session_storage = ServerSessionMemoryCache::new(SESSION_CACHE_SIZE);
    if let Some(tickets) = tickets {
        config.ticketer = tickets;
    }
    config.send_tls13_tickets = 1;
    Ok(Arc::new(config))
}

/// Builds the configuration of a client's sessions: the roots it trusts, and its certificate, if
/// any.
///
/// # Errors
/// Returns an error if the roots can't be used.
pub fn client_config(
    roots: &[CertificateDer<'static>],
    certificate: Option<&CertificateWithKey>,
    versions: ProtocolVersions,
    clock: &Clock,
) -> Result<Arc<ClientConfig>, String> {
    let builder =
        ClientConfig::builder_with_details(crate::crypto_provider(), Arc::new(clock.clone()))
            .with_protocol_versions(versions.as_rustls())
            .map_err(|e| e.to_string())?
            .with_root_certificates(build_root_store(roots)?);
    let config = match certificate {
        None => builder.with_no_client_auth(),
        Some(certificate) => builder.with_client_cert_resolver(Arc::new(StaticCertificate(
            Arc::clone(&certificate.certified_key),
        ))),
    };
    Ok(Arc::new(config))
}

/// Builds the configuration of sessions with a process that uses the same certificate files: it
/// accepts only this certificate as the server's, and presents it if the server trusts its issuer.
///
/// # Errors
/// Returns an error if the versions don't match the cryptography provider.
pub fn same_certificate_client_config(
    certificate: &CertificateWithKey,
    versions: ProtocolVersions,
    clock: &Clock,
) -> Result<Arc<ClientConfig>, String> {
    let provider = crate::crypto_provider();
    let verifier = PinnedServerCertificate::new(certificate, Arc::clone(&provider));
    let config = ClientConfig::builder_with_details(provider, Arc::new(clock.clone()))
        .with_protocol_versions(versions.as_rustls())
        .map_err(|e| e.to_string())?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(verifier))
        .with_client_cert_resolver(Arc::new(CertificateForTrustedIssuer::new(certificate)));
    Ok(Arc::new(config))
}
