//! `cleatpulley certs`: an authority and certificates for a fleet on one host. Private keys are written with mode 0600 and
//! never printed; a file that is there already is not written over, but by `renew`, which replaces it whole.

use clap::{Args, Subcommand};
use cleatpulley_tls::authority::{self, IssuedCertificate};
use cleatpulley_tls::certificate::{parse_certificates, CertificateInfo, CertificateWithKey};
use cleatpulley_tls::{ticket_keys, verification};
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// What is done.
#[derive(Subcommand)]
pub enum Certs {
    /// Make an authority in a folder: ca.pem, ca.key, and tickets.key, the secret that instances share for resumption
    Init {
        /// The folder; it is made where it is not there
        dir: PathBuf,
        /// The authority's name
        #[arg(long, default_value = "cleatpulley fleet authority")]
        name: String,
        /// Days that it holds
        #[arg(long, default_value_t = 3_650)]
        days: i64,
    },
    /// Issue a certificate for a name, as NAME.pem and NAME.key; servers and clients may both show it
    Issue {
        #[command(flatten)]
        issued: Issued,
        /// Further names or addresses that it holds for
        #[arg(long = "also", value_name = "NAME")]
        also: Vec<String>,
    },
    /// Issue a name's certificate anew, for the same names and with the same key unless --new-key; replaces it whole, so
    /// that a server that watches the files takes it up
    Renew {
        #[command(flatten)]
        issued: Issued,
        /// Make a new key as well
        #[arg(long)]
        new_key: bool,
    },
    /// Say what the certificates in a file are: names, issuer, validity, fingerprint
    Show {
        /// A PEM file
        file: PathBuf,
    },
    /// Say what a client would refuse in a certificate, and why; ends with 1 where it would
    Check {
        /// A PEM file, its own certificate first
        file: PathBuf,
        /// The authorities that a client believes
        #[arg(long, value_name = "FILE")]
        roots: PathBuf,
        /// The name that a client asks for; the first of the certificate where none is given
        #[arg(long)]
        name: Option<String>,
        /// Its key, to be checked against it
        #[arg(long, value_name = "FILE")]
        key: Option<PathBuf>,
        /// The time to judge it at, in Unix seconds; now where none is given
        #[arg(long, value_name = "SECONDS")]
        at: Option<u64>,
    },
}

/// A name's certificate in an authority's folder.
#[derive(Args)]
pub struct Issued {
    /// The authority's folder
    dir: PathBuf,
    /// The name: a host's name or an address, and the files' name
    name: String,
    /// Days that it holds
    #[arg(long, default_value_t = 90)]
    days: i64,
}

fn now() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs() as i64)
}

fn read(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

/// Writes a file that is not there yet, with this mode.
fn create(file: &Path, text: &str, mode: u32) -> Result<(), String> {
    let opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(file);
    let mut opened = opened.map_err(|e| match e.kind() {
        std::io::ErrorKind::AlreadyExists => {
            format!(
                "{}: is there already; `certs renew` replaces it",
                file.display()
            )
        }
        _ => format!("{}: {e}", file.display()),
    })?;
    opened
        .write_all(text.as_bytes())
        .and_then(|()| opened.sync_all())
        .map_err(|e| format!("{}: {e}", file.display()))
}

/// Replaces a file whole: a reader sees the old or the new one, never a part.
fn replace(file: &Path, text: &str, mode: u32) -> Result<(), String> {
    let fresh = file.with_extension("new");
    let _ = std::fs::remove_file(&fresh);
    create(&fresh, text, mode)?;
    std::fs::rename(&fresh, file).map_err(|e| format!("{}: {e}", file.display()))
}

fn authority(dir: &Path) -> Result<(String, String), String> {
    Ok((read(&dir.join("ca.pem"))?, read(&dir.join("ca.key"))?))
}

fn files(issued: &Issued) -> Result<(PathBuf, PathBuf), String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_' | ':');
    if issued.name.is_empty() || !issued.name.chars().all(plain) || issued.name.starts_with('.') {
        return Err(format!(
            "{:?}: a name of letters, digits, dots, dashes and colons is asked for",
            issued.name
        ));
    }
    if !(1..=3_650).contains(&issued.days) {
        return Err(format!("--days {}: not within 1 to 3650", issued.days));
    }
    Ok((
        issued.dir.join(format!("{}.pem", issued.name)),
        issued.dir.join(format!("{}.key", issued.name)),
    ))
}

fn told(made: &IssuedCertificate, certificate: &Path, key: &Path) -> Result<(), String> {
    let pair = CertificateWithKey::from_pem(
        certificate,
        made.certificate.as_bytes(),
        key,
        made.key.as_bytes(),
    );
    let facts = pair.map_err(|e| e.to_string())?.info;
    print_line!(
        "{} for {}, valid until {} (Unix seconds)",
        certificate.display(),
        facts.names.join(", "),
        facts.not_after
    );
    print_line!("{} (mode 0600)", key.display());
    Ok(())
}

/// Runs a sub-command.
///
/// # Errors
/// A file that can't be read or written, or a name or time that can't stand in a certificate.
pub fn run(certs: &Certs) -> Result<ExitCode, String> {
    match certs {
        Certs::Init { dir, name, days } => {
            std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            let made =
                authority::create_authority(name, now(), *days).map_err(|e| e.to_string())?;
            let (certificate, key, secret) = (
                dir.join("ca.pem"),
                dir.join("ca.key"),
                dir.join("tickets.key"),
            );
            create(&key, &made.key, 0o600)?;
            create(&certificate, &made.certificate, 0o644)?;
            create(
                &secret,
                &format!("{}\n", ticket_keys::generate_secret()?),
                0o600,
            )?;
            print_line!("{}: the authority {name:?}", certificate.display());
            print_line!("{} (mode 0600)", key.display());
            print_line!(
                "{}: the secret of ticket keys (mode 0600); every instance of the host names it",
                secret.display()
            );
        }
        Certs::Issue { issued, also } => {
            let (certificate, key) = files(issued)?;
            let names: Vec<String> = std::iter::once(issued.name.clone())
                .chain(also.iter().cloned())
                .collect();
            let (ca, ca_key) = authority(&issued.dir)?;
            let made =
                authority::issue_certificate((&ca, &ca_key), &names, None, now(), issued.days)
                    .map_err(|e| e.to_string())?;
            create(&key, &made.key, 0o600)?;
            create(&certificate, &made.certificate, 0o644)?;
            told(&made, &certificate, &key)?;
        }
        Certs::Renew { issued, new_key } => {
            let (certificate, key) = files(issued)?;
            let old = CertificateWithKey::load(&certificate, &key).map_err(|e| e.to_string())?;
            let (ca, ca_key) = authority(&issued.dir)?;
            let kept = if *new_key { None } else { Some(read(&key)?) };
            let names = old.info.names;
            let made = authority::issue_certificate(
                (&ca, &ca_key),
                &names,
                kept.as_deref(),
                now(),
                issued.days,
            );
            let made = made.map_err(|e| e.to_string())?;
            if *new_key {
                // The key first: a server that reads between the two sees a pair that does not fit and keeps its own.
                replace(&key, &made.key, 0o600)?;
            }
            replace(&certificate, &made.certificate, 0o644)?;
            told(&made, &certificate, &key)?;
        }
        Certs::Show { file } => {
            let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let chain = parse_certificates(file, &bytes).map_err(|e| e.to_string())?;
            for (i, certificate) in chain.iter().enumerate() {
                let facts = CertificateInfo::from_der(certificate)
                    .map_err(|what| format!("{}: certificate {}: {what}", file.display(), i + 1))?;
                if i > 0 {
                    print_line!();
                }
                print_line!("{facts}");
                print_line!(
                    "days left    {}",
                    facts.seconds_until_expiry(now() as u64).div_euclid(86_400)
                );
            }
        }
        Certs::Check {
            file,
            roots,
            name,
            key,
            at,
        } => return check(file, roots, name.as_deref(), key.as_deref(), *at),
    }
    Ok(ExitCode::SUCCESS)
}

fn check(
    file: &Path,
    roots: &Path,
    name: Option<&str>,
    key: Option<&Path>,
    at: Option<u64>,
) -> Result<ExitCode, String> {
    let chain = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let trusted = std::fs::read(roots).map_err(|e| format!("{}: {e}", roots.display()))?;
    let first = parse_certificates(file, &chain).map_err(|e| e.to_string())?;
    let facts = CertificateInfo::from_der(&first[0])
        .map_err(|what| format!("{}: {what}", file.display()))?;
    let name = name
        .map(str::to_owned)
        .or_else(|| facts.names.first().cloned())
        .unwrap_or_default();
    let at = at.unwrap_or(now() as u64);
    let verdict = verification::verify_files((file, &chain), (roots, &trusted), &name, at)?;
    let mut good = verdict.is_accepted();
    print_line!(
        "as the server {name:?}: {}",
        verdict
            .server_error
            .as_deref()
            .map_or("taken".to_owned(), |why| format!("refused: {why}"))
    );
    print_line!(
        "as a client: {}",
        verdict
            .client_error
            .as_deref()
            .map_or("taken".to_owned(), |why| format!("refused: {why}"))
    );
    if let Some(key) = key {
        match CertificateWithKey::from_pem(
            file,
            &chain,
            key,
            &std::fs::read(key).map_err(|e| format!("{}: {e}", key.display()))?,
        ) {
            Ok(_) => print_line!("key: it belongs to the certificate"),
            Err(fault) => {
                good = false;
                print_line!("key: {fault}");
            }
        }
    }
    let left = facts.seconds_until_expiry(at);
    print_line!("expires in {} days ({left} s)", left.div_euclid(86_400));
    Ok(if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
