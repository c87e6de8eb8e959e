//! `cleatpulley certs`: a certificate authority and certificates for a fleet on one host. Private keys
//! are written with mode 0600 and never printed. Existing files are not overwritten, except by
//! `renew`, which replaces them atomically.

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

/// Subcommands of `cleatpulley certs`.
#[derive(Subcommand)]
pub enum Certs {
    /// Create an authority in a folder: ca.pem, ca.key, and tickets.key, the secret that instances share for resumption
    Init {
        /// The folder; it is created if it does not exist
        dir: PathBuf,
        /// The authority's name
        #[arg(long, default_value = "cleatpulley fleet authority")]
        name: String,
        /// Validity in days
        #[arg(long, default_value_t = 3_650)]
        days: i64,
    },
    /// Issue a certificate for a name, as NAME.pem and NAME.key; both servers and clients may use it
    Issue {
        #[command(flatten)]
        args: CertificateArgs,
        /// Further names or addresses that the certificate is valid for
        #[arg(long = "also", value_name = "NAME")]
        also: Vec<String>,
    },
    /// Issue a certificate again, for the same names and with the same key unless --new-key is given; replaces the file
    /// atomically, so that a server that watches it reloads it
    Renew {
        #[command(flatten)]
        args: CertificateArgs,
        /// Create a new key as well
        #[arg(long)]
        new_key: bool,
    },
    /// Show the certificates in a file: names, issuer, validity, fingerprint
    Show {
        /// A PEM file
        file: PathBuf,
    },
    /// Show whether a client would accept a certificate, and if not, why; exits with 1 if not
    Check {
        /// A PEM file that begins with the certificate, followed by its chain
        file: PathBuf,
        /// The authorities that a client trusts
        #[arg(long, value_name = "FILE")]
        roots: PathBuf,
        /// The name that a client connects to [default: the first name of the certificate]
        #[arg(long)]
        name: Option<String>,
        /// The private key that has to belong to the certificate
        #[arg(long, value_name = "FILE")]
        key: Option<PathBuf>,
        /// The time of the check, in Unix seconds [default: now]
        #[arg(long, value_name = "SECONDS")]
        at: Option<u64>,
    },
}

/// The name and validity of a certificate, and the folder of its authority.
#[derive(Args)]
pub struct CertificateArgs {
    /// The authority's folder
    dir: PathBuf,
    /// The host name or address that the certificate is for; its files are named after it
    name: String,
    /// Validity in days
    #[arg(long, default_value_t = 90)]
    days: i64,
}

fn now_unix_s() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs() as i64)
}

fn read(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

/// Creates a file with this mode; an existing file is an error.
fn create(path: &Path, text: &str, mode: u32) -> Result<(), String> {
    let file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path);
    let mut file = file.map_err(|e| match e.kind() {
        std::io::ErrorKind::AlreadyExists => {
            format!(
                "{}: already exists; `certs renew` replaces it",
                path.display()
            )
        }
        _ => format!("{}: {e}", path.display()),
    })?;
    file.write_all(text.as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(|e| format!("{}: {e}", path.display()))
}

/// Replaces a file atomically: a reader sees either the old or the new one.
fn replace(path: &Path, text: &str, mode: u32) -> Result<(), String> {
    let temporary = path.with_extension("new");
    let _ = std::fs::remove_file(&temporary);
    create(&temporary, text, mode)?;
    std::fs::rename(&temporary, path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads the certificate and the key of the authority in a folder.
fn read_authority(dir: &Path) -> Result<(String, String), String> {
    Ok((read(&dir.join("ca.pem"))?, read(&dir.join("ca.key"))?))
}

/// Checks the arguments and returns the paths of the certificate and its key.
fn certificate_paths(args: &CertificateArgs) -> Result<(PathBuf, PathBuf), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_' | ':');
    if args.name.is_empty() || !args.name.chars().all(is_allowed) || args.name.starts_with('.') {
        return Err(format!(
            "{:?}: a name must consist of letters, digits, '.', '-', '_' and ':', and not begin with '.'",
            args.name
        ));
    }
    if !(1..=3_650).contains(&args.days) {
        return Err(format!("--days {}: not within 1 to 3650", args.days));
    }
    Ok((
        args.dir.join(format!("{}.pem", args.name)),
        args.dir.join(format!("{}.key", args.name)),
    ))
}

fn print_issued(issued: &IssuedCertificate, certificate: &Path, key: &Path) -> Result<(), String> {
    let pair = CertificateWithKey::from_pem(
        certificate,
        issued.certificate.as_bytes(),
        key,
        issued.key.as_bytes(),
    );
    let info = pair.map_err(|e| e.to_string())?.info;
    print_line!(
        "{} for {}, valid until {} (Unix seconds)",
        certificate.display(),
        info.names.join(", "),
        info.not_after
    );
    print_line!("{} (mode 0600)", key.display());
    Ok(())
}

/// Runs a subcommand.
///
/// # Errors
/// A file can't be read or written, or a name or time is not valid in a certificate.
pub fn run(certs: &Certs) -> Result<ExitCode, String> {
    match certs {
        Certs::Init { dir, name, days } => {
            std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            let issued = authority::create_authority(name, now_unix_s(), *days)
                .map_err(|e| e.to_string())?;
            let (certificate, key, secret) = (
                dir.join("ca.pem"),
                dir.join("ca.key"),
                dir.join("tickets.key"),
            );
            create(&key, &issued.key, 0o600)?;
            create(&certificate, &issued.certificate, 0o644)?;
            create(
                &secret,
                &format!("{}\n", ticket_keys::generate_secret()?),
                0o600,
            )?;
            print_line!(
                "{}: certificate of the authority {name:?}",
                certificate.display()
            );
            print_line!("{} (mode 0600)", key.display());
            print_line!(
                "{}: the secret of ticket keys (mode 0600); every instance of the host needs it",
                secret.display()
            );
        }
        Certs::Issue { args, also } => {
            let (certificate, key) = certificate_paths(args)?;
            let names: Vec<String> = std::iter::once(args.name.clone())
                .chain(also.iter().cloned())
                .collect();
            let (ca, ca_key) = read_authority(&args.dir)?;
            let issued =
                authority::issue_certificate((&ca, &ca_key), &names, None, now_unix_s(), args.days)
                    .map_err(|e| e.to_string())?;
            create(&key, &issued.key, 0o600)?;
            create(&certificate, &issued.certificate, 0o644)?;
            print_issued(&issued, &certificate, &key)?;
        }
        Certs::Renew { args, new_key } => {
            let (certificate, key) = certificate_paths(args)?;
            let old = CertificateWithKey::load(&certificate, &key).map_err(|e| e.to_string())?;
            let (ca, ca_key) = read_authority(&args.dir)?;
            let old_key = if *new_key { None } else { Some(read(&key)?) };
            let names = old.info.names;
            let issued = authority::issue_certificate(
                (&ca, &ca_key),
                &names,
                old_key.as_deref(),
                now_unix_s(),
                args.days,
            );
            let issued = issued.map_err(|e| e.to_string())?;
            if *new_key {
                // The key is replaced first. A server that reloads in between finds that key and certificate
                // do not match, and keeps its current pair.
                replace(&key, &issued.key, 0o600)?;
            }
            replace(&certificate, &issued.certificate, 0o644)?;
            print_issued(&issued, &certificate, &key)?;
        }
        Certs::Show { file } => {
            let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let chain = parse_certificates(file, &bytes).map_err(|e| e.to_string())?;
            for (i, certificate) in chain.iter().enumerate() {
                let info = CertificateInfo::from_der(certificate).map_err(|error| {
                    format!("{}: certificate {}: {error}", file.display(), i + 1)
                })?;
                if i > 0 {
                    print_line!();
                }
                print_line!("{info}");
                print_line!(
                    "days left    {}",
                    info.seconds_until_expiry(now_unix_s() as u64)
                        .div_euclid(86_400)
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
    let chain_pem = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let roots_pem = std::fs::read(roots).map_err(|e| format!("{}: {e}", roots.display()))?;
    let chain = parse_certificates(file, &chain_pem).map_err(|e| e.to_string())?;
    let info = CertificateInfo::from_der(&chain[0])
        .map_err(|error| format!("{}: {error}", file.display()))?;
    let name = name
        .map(str::to_owned)
        .or_else(|| info.names.first().cloned())
        .unwrap_or_default();
    let at = at.unwrap_or(now_unix_s() as u64);
    let verdict = verification::verify_files((file, &chain_pem), (roots, &roots_pem), &name, at)?;
    let mut is_valid = verdict.is_accepted();
    print_line!(
        "as the server {name:?}: {}",
        verdict
            .server_error
            .as_deref()
            .map_or("accepted".to_owned(), |reason| format!(
                "rejected: {reason}"
            ))
    );
    print_line!(
        "as a client: {}",
        verdict
            .client_error
            .as_deref()
            .map_or("accepted".to_owned(), |reason| format!(
                "rejected: {reason}"
            ))
    );
    if let Some(key) = key {
        match CertificateWithKey::from_pem(
            file,
            &chain_pem,
            key,
            &std::fs::read(key).map_err(|e| format!("{}: {e}", key.display()))?,
        ) {
            Ok(_) => print_line!("key: matches the certificate"),
            Err(error) => {
                is_valid = false;
                print_line!("key: {error}");
            }
        }
    }
    let remaining_s = info.seconds_until_expiry(at);
    print_line!(
        "expires in {} days ({remaining_s} s)",
        remaining_s.div_euclid(86_400)
    );
    Ok(if is_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
