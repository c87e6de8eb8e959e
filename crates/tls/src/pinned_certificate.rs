//! The client's side of a session between two processes that use the same certificate files: it
//! accepts exactly that certificate as the server's, and presents it if the server trusts its issuer.

use crate::certificate::CertificateWithKey;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::client::ResolvesClientCert;
use rustls::crypto::{verify_tls12_signature, verify_tls13_signature, CryptoProvider};
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::sign::CertifiedKey;
use rustls::{CertificateError, DigitallySignedStruct, Error, SignatureScheme};
use std::sync::Arc;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Accepts one certificate whatever its names, issuer and validity: the peer proves that it has the
/// certificate's key.
#[derive(Debug)]
pub(crate) struct PinnedServerCertificate {
    certified_key: Arc<CertifiedKey>,
    provider: Arc<CryptoProvider>,
}

impl PinnedServerCertificate {
    pub(crate) fn new(certificate: &CertificateWithKey, provider: Arc<CryptoProvider>) -> Self {
        Self {
            certified_key: Arc::clone(&certificate.certified_key),
            provider,
        }
    }
}

impl ServerCertVerifier for PinnedServerCertificate {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        if self.certified_key.cert.first() == Some(end_entity) {
            Ok(ServerCertVerified::assertion())
        } else {
            Err(CertificateError::ApplicationVerificationFailure.into())
        }
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider
            .signature_verification_algorithms
            .supported_schemes()
    }
}

/// Presents a certificate only to servers that trust an issuer of its chain. A server to which
/// clients need not present one would reject another.
#[derive(Debug)]
pub(crate) struct CertificateForTrustedIssuer(Arc<CertifiedKey>);

impl CertificateForTrustedIssuer {
    pub(crate) fn new(certificate: &CertificateWithKey) -> Self {
        Self(Arc::clone(&certificate.certified_key))
    }

    fn is_issued_by(&self, subject: &[u8]) -> bool {
        self.0.cert.iter().any(|certificate| {
            X509Certificate::from_der(certificate)
                .is_ok_and(|(_, parsed)| parsed.issuer().as_raw() == subject)
        })
    }
}

impl ResolvesClientCert for CertificateForTrustedIssuer {
    fn resolve(
        &self,
        trusted_subjects: &[&[u8]],
        _schemes: &[SignatureScheme],
    ) -> Option<Arc<CertifiedKey>> {
        let is_trusted = trusted_subjects
            .iter()
            .any(|subject| self.is_issued_by(subject));
        is_trusted.then(|| Arc::clone(&self.0))
    }

    fn has_certs(&self) -> bool {
        true
    }
}
