//! What a client would refuse in a certificate, and why: the verdict of the same verifier that sessions use, at a time
//! that is given, for a name that is given, as a server and as a client.

use crate::pair::{certificates, Facts};
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
pub struct Verdict {
    /// What the certificate says.
    pub facts: Facts,
    /// Refused as a server of the name, and why.
    pub as_server: Option<String>,
    /// Refused as a client, and why.
    pub as_client: Option<String>,
}

impl Verdict {
    /// Nobody refuses it.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.as_server.is_none() && self.as_client.is_none()
    }
}

/// Judges the chain in a file against the roots in another.
///
/// # Errors
/// Where a file holds no certificate, or the roots can't be used.
pub fn judge(
    chain: (&Path, &[u8]),
    roots: (&Path, &[u8]),
    name: &str,
    now_seconds: u64,
) -> Result<Verdict, String> {
    let chain = certificates(chain.0, chain.1).map_err(|e| e.to_string())?;
    let roots = certificates(roots.0, roots.1).map_err(|e| e.to_string())?;
    judge_chain(&chain, &roots, name, now_seconds)
}

/// The same, for certificates that were read.
///
/// # Errors
/// Where the roots can't be used.
pub fn judge_chain(
    chain: &[CertificateDer<'static>],
    roots: &[CertificateDer<'static>],
    name: &str,
    now_seconds: u64,
) -> Result<Verdict, String> {
    let Some((end, between)) = chain.split_first() else {
        return Err("no certificate".to_owned());
    };
    let facts = Facts::of(end)?;
    let mut store = RootCertStore::empty();
    for (i, root) in roots.iter().enumerate() {
        store
            .add(root.clone())
            .map_err(|e| format!("root {}: {e}", i + 1))?;
    }
    let store = Arc::new(store);
    let now = UnixTime::since_unix_epoch(Duration::from_secs(now_seconds));
    let provider = crate::provider();
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
    Ok(Verdict {
        facts,
        as_server,
        as_client,
    })
}
