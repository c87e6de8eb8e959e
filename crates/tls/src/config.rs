//! What the sessions of one front, or of one gateway's links, share: built once from a pair, roots and options, and
//! built again when the files change. Nothing here reads a clock: the [`Clock`] that is passed in is.

use crate::certificate::CertificateWithKey;
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

/// Sessions of TLS 1.2 that are kept by id for resumption, where a client brings no ticket.
const SESSIONS: usize = 1_024;

/// Which versions are spoken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProtocolVersions {
    /// 1.3 and 1.2.
    #[default]
    Both,
    /// 1.3 alone.
    Only13,
    /// 1.2 alone.
    Only12,
}

impl ProtocolVersions {
    fn list(self) -> &'static [&'static SupportedProtocolVersion] {
        static BOTH: [&SupportedProtocolVersion; 2] =
            [&rustls::version::TLS13, &rustls::version::TLS12];
        match self {
            Self::Both => &BOTH,
            Self::Only13 => &BOTH[..1],
            Self::Only12 => &BOTH[1..],
        }
    }
}

/// Clients that are to show a certificate.
#[derive(Debug, Clone)]
pub struct ClientAuthentication {
    /// Authorities whose certificates are believed.
    pub roots: Vec<CertificateDer<'static>>,
    /// A client without one is turned away; otherwise it is let in unknown.
    pub required: bool,
}

#[derive(Debug)]
struct Own(Arc<CertifiedKey>);

impl ResolvesServerCert for Own {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0))
    }
}

impl ResolvesClientCert for Own {
    fn resolve(&self, _: &[&[u8]], _: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0))
    }

    fn has_certs(&self) -> bool {
        true
    }
}

fn roots(certificates: &[CertificateDer<'static>]) -> Result<RootCertStore, String> {
    let mut store = RootCertStore::empty();
    for (i, root) in certificates.iter().enumerate() {
        store
            .add(root.clone())
            .map_err(|e| format!("root {}: {e}", i + 1))?;
    }
    Ok(store)
}

/// What the server's side of a front shares.
///
/// # Errors
/// Where the roots can't be used, or the versions and keys don't go together.
pub fn server_config(
    pair: &CertificateWithKey,
    clients: Option<&ClientAuthentication>,
    versions: ProtocolVersions,
    tickets: Option<Arc<dyn rustls::server::ProducesTickets>>,
    clock: &Clock,
) -> Result<Arc<ServerConfig>, String> {
    let provider = crate::crypto_provider();
    let builder =
        ServerConfig::builder_with_details(Arc::clone(&provider), Arc::new(clock.clone()))
            .with_protocol_versions(versions.list())
            .map_err(|e| e.to_string())?;
    let builder = match clients {
        None => builder.with_no_client_auth(),
        Some(clients) => {
            let verifier = WebPkiClientVerifier::builder_with_provider(
                Arc::new(roots(&clients.roots)?),
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
    let mut config = builder.with_cert_resolver(Arc::new(Own(Arc::clone(&pair.certified_key))));
    config.session_storage = ServerSessionMemoryCache::new(SESSIONS);
    if let Some(tickets) = tickets {
        config.ticketer = tickets;
    }
    config.send_tls13_tickets = 1;
    Ok(Arc::new(config))
}

/// What a client's links share: the roots it believes, and the certificate it shows, if any.
///
/// # Errors
/// Where the roots can't be used.
pub fn client_config(
    roots_of: &[CertificateDer<'static>],
    own: Option<&CertificateWithKey>,
    versions: ProtocolVersions,
    clock: &Clock,
) -> Result<Arc<ClientConfig>, String> {
    let builder =
        ClientConfig::builder_with_details(crate::crypto_provider(), Arc::new(clock.clone()))
            .with_protocol_versions(versions.list())
            .map_err(|e| e.to_string())?
            .with_root_certificates(roots(roots_of)?);
    let config = match own {
        None => builder.with_no_client_auth(),
        Some(pair) => {
            builder.with_client_cert_resolver(Arc::new(Own(Arc::clone(&pair.certified_key))))
        }
    };
    Ok(Arc::new(config))
}
