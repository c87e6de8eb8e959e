//! A certificate chain and its private key, read from PEM files and checked to belong together, and
//! the contents of the certificate shown to operators: names, validity, fingerprint. An error names
//! the file and the reason; nothing is partially loaded.

use ring::digest;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// What is wrong with a certificate or its key, and in which file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: {reason}", file.display())]
pub struct CertificateError {
    /// The file.
    pub file: PathBuf,
    /// What is wrong.
    pub reason: String,
}

fn certificate_error<T>(file: &Path, reason: impl Into<String>) -> Result<T, CertificateError> {
    Err(CertificateError {
        file: file.to_owned(),
        reason: reason.into(),
    })
}

/// The contents of a certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertificateInfo {
    /// The subject, as text.
    pub subject: String,
    /// The issuer, as text.
    pub issuer: String,
    /// Host names and addresses that the certificate was issued for.
    pub names: Vec<String>,
    /// Start of the validity, in Unix seconds.
    pub not_before: i64,
    /// End of the validity, in Unix seconds.
    pub not_after: i64,
    /// Whether the certificate may issue others.
    pub is_ca: bool,
    /// SHA-256 of the whole certificate, in hexadecimal.
    pub fingerprint: String,
    /// The serial number, in hexadecimal.
    pub serial: String,
}

impl CertificateInfo {
    /// Parses a certificate.
    ///
    /// # Errors
    /// Returns an error if the certificate can't be parsed.
    pub fn from_der(certificate: &CertificateDer<'_>) -> Result<Self, String> {
        let (_, parsed) = X509Certificate::from_der(certificate)
            .map_err(|e| format!("not a certificate: {e}"))?;
        let fingerprint = digest::digest(&digest::SHA256, certificate);
        Ok(Self {
            subject: parsed.subject().to_string(),
            issuer: parsed.issuer().to_string(),
            names: names_of_parsed(&parsed),
            not_before: parsed.validity().not_before.timestamp(),
            not_after: parsed.validity().not_after.timestamp(),
            is_ca: parsed.is_ca(),
            fingerprint: hex(fingerprint.as_ref()),
            serial: parsed.raw_serial_as_string().replace(':', ""),
        })
    }

    /// Returns the seconds until the end of the validity; negative if the certificate has expired.
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

fn names_of_parsed(parsed: &X509Certificate<'_>) -> Vec<String> {
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
        let common_names = parsed
            .subject()
            .iter_common_name()
            .filter_map(|name| name.as_str().ok());
        names.extend(common_names.map(str::to_ascii_lowercase));
    }
    names
}

/// Returns the names that a certificate was issued for; none if it can't be parsed.
#[must_use]
pub fn certificate_names(certificate: &CertificateDer<'_>) -> Vec<String> {
    X509Certificate::from_der(certificate)
        .map(|(_, parsed)| names_of_parsed(&parsed))
        .unwrap_or_default()
}

/// Parses the certificates of a PEM file, in their order.
///
/// # Errors
/// Returns an error if the file is invalid or has no certificate.
pub fn parse_certificates(
    file: &Path,
    bytes: &[u8],
) -> Result<Vec<CertificateDer<'static>>, CertificateError> {
    let mut chain = Vec::new();
    for (i, certificate) in CertificateDer::pem_slice_iter(bytes).enumerate() {
        match certificate {
            Ok(certificate) => chain.push(certificate),
            Err(e) => return certificate_error(file, format!("certificate {}: {e}", i + 1)),
        }
    }
    if chain.is_empty() {
        return certificate_error(file, "no certificate in it (PEM, BEGIN CERTIFICATE)");
    }
    Ok(chain)
}

/// A certificate chain and the private key that belongs to it.
#[derive(Clone)]
pub struct CertificateWithKey {
    /// The chain, the leaf certificate first.
    pub chain: Vec<CertificateDer<'static>>,
    /// The contents of the leaf certificate.
    pub info: CertificateInfo,
    /// The chain and the key in the form that rustls uses.
    pub certified_key: Arc<CertifiedKey>,
}

impl fmt::Debug for CertificateWithKey {
    // The key is left out, so that it is never printed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pair")
            .field("facts", &self.info)
            .field("chain", &self.chain.len())
            .finish()
    }
}

impl CertificateWithKey {
    /// Loads both files.
    ///
    /// # Errors
    /// Returns the file that is invalid or does not match, and why.
    pub fn load(certificate: &Path, key: &Path) -> Result<Self, CertificateError> {
        let read_file =
            |file: &Path| std::fs::read(file).or_else(|e| certificate_error(file, e.to_string()));
        Self::from_pem(certificate, &read_file(certificate)?, key, &read_file(key)?)
    }

    /// Parses the contents of both files.
    ///
    /// # Errors
    /// Returns the file that is invalid or does not match, and why.
    pub fn from_pem(
        certificate: &Path,
        chain: &[u8],
        key_file: &Path,
        key: &[u8],
    ) -> Result<Self, CertificateError> {
        let chain = parse_certificates(certificate, chain)?;
        let info = CertificateInfo::from_der(&chain[0])
            .or_else(|reason| certificate_error(certificate, reason))?;
        // The library's error describes the format of the file only, never the key's bytes.
        let Ok(key) = PrivateKeyDer::from_pem_slice(key) else {
            return certificate_error(
                key_file,
                "no private key in it (PEM, PKCS#8, SEC1 or PKCS#1)",
            );
        };
        let provider = crate::crypto_provider();
        let signing_key = provider.key_provider.load_private_key(key);
        let signing_key = signing_key
            .or_else(|e| certificate_error(key_file, format!("the key can't be used: {e}")))?;
        let certified_key = CertifiedKey::new(chain.clone(), signing_key);
        if let Err(e) = certified_key.keys_match() {
            let reason = format!("the key is not that of {}: {e}", certificate.display());
            return certificate_error(key_file, reason);
        }
        Ok(Self {
            chain,
            info,
            certified_key: Arc::new(certified_key),
        })
    }
}
