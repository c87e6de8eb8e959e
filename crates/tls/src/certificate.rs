//! A certificate's chain and its private key, read from PEM files and checked to belong together, with what operators
//! are told of it: names, validity, fingerprint. A faulty pair is told with its file and reason, and is never half taken.

use ring::digest;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// What is wrong with a pair, and in which file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: {reason}", file.display())]
pub struct CertificateError {
    /// The file.
    pub file: PathBuf,
    /// What is wrong.
    pub reason: String,
}

fn fault<T>(file: &Path, what: impl Into<String>) -> Result<T, CertificateError> {
    Err(CertificateError {
        file: file.to_owned(),
        reason: what.into(),
    })
}

/// What a certificate says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertificateInfo {
    /// Its subject, as text.
    pub subject: String,
    /// Who issued it.
    pub issuer: String,
    /// Names and addresses it was issued for.
    pub names: Vec<String>,
    /// Unix seconds from which it holds.
    pub not_before: i64,
    /// Unix seconds until which it holds.
    pub not_after: i64,
    /// It may issue certificates.
    pub is_ca: bool,
    /// SHA-256 of the whole certificate, in hex.
    pub fingerprint: String,
    /// Its serial number, in hex.
    pub serial: String,
}

impl CertificateInfo {
    /// Reads them from a certificate.
    ///
    /// # Errors
    /// Where it is no certificate that can be read.
    pub fn from_der(certificate: &CertificateDer<'_>) -> Result<Self, String> {
        let (_, parsed) = X509Certificate::from_der(certificate)
            .map_err(|e| format!("not a certificate: {e}"))?;
        let fingerprint = digest::digest(&digest::SHA256, certificate);
        Ok(Self {
            subject: parsed.subject().to_string(),
            issuer: parsed.issuer().to_string(),
            names: names_of(&parsed),
            not_before: parsed.validity().not_before.timestamp(),
            not_after: parsed.validity().not_after.timestamp(),
            is_ca: parsed.is_ca(),
            fingerprint: hex(fingerprint.as_ref()),
            serial: parsed.raw_serial_as_string().replace(':', ""),
        })
    }

    /// Seconds until it no longer holds; below 0 where it has expired.
    #[must_use]
    pub fn seconds_until_expiry(&self, now_seconds: u64) -> i64 {
        self.not_after - now_seconds as i64
    }
}

impl fmt::Display for CertificateInfo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "subject      {}", self.subject)?;
        writeln!(f, "issuer       {}", self.issuer)?;
        writeln!(
            f,
            "names        {}",
            if self.names.is_empty() {
                "-".to_owned()
            } else {
                self.names.join(", ")
            }
        )?;
        writeln!(
            f,
            "valid        {} to {} (Unix seconds)",
            self.not_before, self.not_after
        )?;
        writeln!(f, "authority    {}", if self.is_ca { "yes" } else { "no" })?;
        writeln!(f, "serial       {}", self.serial)?;
        write!(f, "sha-256      {}", self.fingerprint)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn names_of(parsed: &X509Certificate<'_>) -> Vec<String> {
    let mut names = Vec::new();
    if let Ok(Some(alternatives)) = parsed.subject_alternative_name() {
        for name in &alternatives.value.general_names {
            match name {
                GeneralName::DNSName(dns) => names.push(dns.to_ascii_lowercase()),
                GeneralName::IPAddress(bytes) => match bytes.len() {
                    4 => names.push(
                        std::net::Ipv4Addr::from(<[u8; 4]>::try_from(*bytes).unwrap_or_default())
                            .to_string(),
                    ),
                    16 => names.push(
                        std::net::Ipv6Addr::from(<[u8; 16]>::try_from(*bytes).unwrap_or_default())
                            .to_string(),
                    ),
                    _ => {}
                },
                _ => {}
            }
        }
    }
    if names.is_empty() {
        let common = parsed
            .subject()
            .iter_common_name()
            .filter_map(|name| name.as_str().ok());
        names.extend(common.map(str::to_ascii_lowercase));
    }
    names
}

/// The names a certificate was issued for; none where it can't be read.
#[must_use]
pub fn certificate_names(certificate: &CertificateDer<'_>) -> Vec<String> {
    X509Certificate::from_der(certificate)
        .map(|(_, parsed)| names_of(&parsed))
        .unwrap_or_default()
}

/// Certificates of a PEM file, in their order.
///
/// # Errors
/// Where the file can't be read or holds none.
pub fn parse_certificates(
    file: &Path,
    bytes: &[u8],
) -> Result<Vec<CertificateDer<'static>>, CertificateError> {
    let mut chain = Vec::new();
    for (i, certificate) in CertificateDer::pem_slice_iter(bytes).enumerate() {
        match certificate {
            Ok(certificate) => chain.push(certificate),
            Err(e) => return fault(file, format!("certificate {}: {e}", i + 1)),
        }
    }
    if chain.is_empty() {
        return fault(file, "no certificate in it (PEM, BEGIN CERTIFICATE)");
    }
    Ok(chain)
}

/// A chain and its key that belong together.
#[derive(Clone)]
pub struct CertificateWithKey {
    /// The chain, its own certificate first.
    pub chain: Vec<CertificateDer<'static>>,
    /// What the first certificate says.
    pub info: CertificateInfo,
    /// The chain and the key as rustls signs with them.
    pub certified_key: Arc<CertifiedKey>,
}

impl fmt::Debug for CertificateWithKey {
    // The key is never shown, not even by accident.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pair")
            .field("facts", &self.info)
            .field("chain", &self.chain.len())
            .finish()
    }
}

impl CertificateWithKey {
    /// Reads both files.
    ///
    /// # Errors
    /// The file that can't be read or does not fit, and why.
    pub fn load(certificate: &Path, key: &Path) -> Result<Self, CertificateError> {
        let read = |file: &Path| std::fs::read(file).or_else(|e| fault(file, e.to_string()));
        Self::from_pem(certificate, &read(certificate)?, key, &read(key)?)
    }

    /// Reads both from what the files hold.
    ///
    /// # Errors
    /// The file whose bytes do not fit, and why.
    pub fn from_pem(
        certificate: &Path,
        chain: &[u8],
        key_file: &Path,
        key: &[u8],
    ) -> Result<Self, CertificateError> {
        let chain = parse_certificates(certificate, chain)?;
        let facts =
            CertificateInfo::from_der(&chain[0]).or_else(|what| fault(certificate, what))?;
        // The error would tell of the file's shape only, never of the key's bytes.
        let Ok(key) = PrivateKeyDer::from_pem_slice(key) else {
            return fault(
                key_file,
                "no private key in it (PEM, PKCS#8, SEC1 or PKCS#1)",
            );
        };
        let provider = crate::crypto_provider();
        let signing = provider.key_provider.load_private_key(key);
        let signing =
            signing.or_else(|e| fault(key_file, format!("the key can't be used: {e}")))?;
        let certified = CertifiedKey::new(chain.clone(), signing);
        if let Err(e) = certified.keys_match() {
            let what = format!("the key is not that of {}: {e}", certificate.display());
            return fault(key_file, what);
        }
        Ok(Self {
            chain,
            info: facts,
            certified_key: Arc::new(certified),
        })
    }
}
