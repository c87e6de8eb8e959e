//! A certificate authority for a fleet on one host, and the certificates it issues, for
//! `cleatpulley certs`. Keys are ECDSA P-256; the caller passes times in Unix seconds and writes
//! the files. A private key is only returned as PEM, to be written with mode 0600.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use time::OffsetDateTime;

/// An error in creating a certificate.
#[derive(Debug, thiserror::Error)]
pub enum AuthorityError {
    /// A name that is not allowed in a certificate, or a time out of range.
    #[error("{0}")]
    InvalidInput(String),
    /// An error of the certificate library.
    #[error("{0}")]
    Generation(#[from] rcgen::Error),
}

/// A certificate and its private key, both as PEM.
pub struct IssuedCertificate {
    /// The certificate.
    pub certificate: String,
    /// The private key: to be written with mode 0600, never printed.
    pub key: String,
}

fn date_time(seconds: i64) -> Result<OffsetDateTime, AuthorityError> {
    OffsetDateTime::from_unix_timestamp(seconds)
        .map_err(|e| AuthorityError::InvalidInput(format!("time {seconds}: {e}")))
}

/// Creates an authority with this name, valid from `now` for `days` days.
///
/// # Errors
/// Returns an error if the name or the times are not allowed in a certificate.
pub fn create_authority(
    name: &str,
    now: i64,
    days: i64,
) -> Result<IssuedCertificate, AuthorityError> {
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![
        KeyUsagePurpose::KeyCertSign,
        KeyUsagePurpose::CrlSign,
        KeyUsagePurpose::DigitalSignature,
    ];
    // A minute earlier, so that a process whose clock is slightly behind accepts it.
    params.not_before = date_time(now - 60)?;
    params.not_after = date_time(now + days * 86_400)?;
    let certificate = params.self_signed(&key)?;
    Ok(IssuedCertificate {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

/// Issues a certificate for these names (hosts or addresses; the first one is the common name), for
/// use by servers and clients. A renewal passes the existing `key`; otherwise a new one is
/// generated.
///
/// # Errors
/// Returns an error if a name is not allowed in a certificate, a key or the authority can't be
/// read, or the times are out of range.
pub fn issue_certificate(
    authority: (&str, &str),
    names: &[String],
    key: Option<&str>,
    now: i64,
    days: i64,
) -> Result<IssuedCertificate, AuthorityError> {
    let Some(common_name) = names.first() else {
        return Err(AuthorityError::InvalidInput(
            "a certificate needs a name".to_owned(),
        ));
    };
    let (authority_pem, authority_key) = authority;
    let authority_key = KeyPair::from_pem(authority_key)?;
    let issuer = Issuer::from_ca_cert_pem(authority_pem, authority_key)?;
    let key = match key {
        Some(pem) => KeyPair::from_pem(pem)?,
        None => KeyPair::generate()?,
    };
    let mut params = CertificateParams::new(names.to_vec())?;
    params
        .distinguished_name
        .push(DnType::CommonName, common_name.as_str());
    params.is_ca = IsCa::ExplicitNoCa;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    params.not_before = date_time(now - 60)?;
    params.not_after = date_time(now + days * 86_400)?;
    params.use_authority_key_identifier_extension = true;
    let certificate = params.signed_by(&key, &issuer)?;
    Ok(IssuedCertificate {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}
