//! Session ticket keys that the instances on a host share, so that a client can resume its session
//! with any of them and with the successor of a process. The key of a period is derived from a
//! shared secret and the number of the period, so that keys rotate without communication between
//! instances. A ticket of the previous period is still accepted.
//!
//! Format of a ticket: the number of the period (8 bytes), a nonce (12 bytes), and the state
//! encrypted with ChaCha20-Poly1305 under the key of the period, with the number as associated
//! data.

use crate::Clock;
use ring::aead::{Aad, LessSafeKey, Nonce, UnboundKey, CHACHA20_POLY1305, NONCE_LEN};
use ring::hmac;
use ring::rand::{SecureRandom, SystemRandom};
use std::fmt;
use std::path::Path;

/// Length of the shared secret in bytes.
pub const SECRET_BYTES: usize = 32;
const KEY_LABEL: &[u8] = b"cleatpulley ticket key";

/// The ticket keys of all periods.
pub struct TicketKeys {
    secret: hmac::Key,
    period_seconds: u64,
    clock: Clock,
    random: SystemRandom,
}

impl fmt::Debug for TicketKeys {
    // The secret is left out, so that it is never printed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tickets")
            .field("period", &self.period_seconds)
            .finish_non_exhaustive()
    }
}

impl TicketKeys {
    /// Derives the keys from this secret; each is used for `period_seconds`, at least 60.
    #[must_use]
    pub fn new(secret: &[u8; SECRET_BYTES], period_seconds: u64, clock: Clock) -> Self {
        let secret = hmac::Key::new(hmac::HMAC_SHA256, secret);
        Self {
            secret,
            period_seconds: period_seconds.max(60),
            clock,
            random: SystemRandom::new(),
        }
    }

    /// Loads the secret from a file of 64 hex digits, as `cleatpulley certs init` writes it.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or has no such secret.
    pub fn load(
        file: &Path,
        period_seconds: u64,
        clock: Clock,
    ) -> Result<Self, crate::certificate::CertificateError> {
        let load_error = |reason: String| crate::certificate::CertificateError {
            file: file.to_owned(),
            reason,
        };
        let text = std::fs::read_to_string(file).map_err(|e| load_error(e.to_string()))?;
        let text = text.trim();
        let digits = |i: usize| {
            text.get(2 * i..2 * i + 2)
                .and_then(|pair| u8::from_str_radix(pair, 16).ok())
        };
        let mut secret = [0; SECRET_BYTES];
        for (i, byte) in secret.iter_mut().enumerate() {
            *byte = digits(i)
                .ok_or_else(|| load_error(format!("not {} hex digits", 2 * SECRET_BYTES)))?;
        }
        if text.len() != 2 * SECRET_BYTES {
            return Err(load_error(format!("not {} hex digits", 2 * SECRET_BYTES)));
        }
        Ok(Self::new(&secret, period_seconds, clock))
    }

    fn key(&self, period: u64) -> Option<LessSafeKey> {
        let mut input = KEY_LABEL.to_vec();
        input.extend(period.to_be_bytes());
        let tag = hmac::sign(&self.secret, &input);
        // An HMAC-SHA256 tag has the 32 bytes of a key.
        UnboundKey::new(&CHACHA20_POLY1305, tag.as_ref().get(..32)?)
            .ok()
            .map(LessSafeKey::new)
    }

    fn current_period(&self) -> u64 {
        self.clock.unix_seconds() / self.period_seconds
    }
}

impl rustls::server::ProducesTickets for TicketKeys {
    fn enabled(&self) -> bool {
        true
    }

    fn lifetime(&self) -> u32 {
        u32::try_from(self.period_seconds).unwrap_or(u32::MAX)
    }

    fn encrypt(&self, plain: &[u8]) -> Option<Vec<u8>> {
        let period = self.current_period();
        let mut nonce = [0; NONCE_LEN];
        self.random.fill(&mut nonce).ok()?;
        let mut encrypted = plain.to_vec();
        let aad = Aad::from(period.to_be_bytes());
        self.key(period)?
            .seal_in_place_append_tag(Nonce::assume_unique_for_key(nonce), aad, &mut encrypted)
            .ok()?;
        let mut ticket = period.to_be_bytes().to_vec();
        ticket.extend(nonce);
        ticket.extend(encrypted);
        Some(ticket)
    }

    fn decrypt(&self, ticket: &[u8]) -> Option<Vec<u8>> {
        let period = u64::from_be_bytes(ticket.get(..8)?.try_into().ok()?);
        let current = self.current_period();
        // The previous period is accepted, and the next one for an instance whose clock is slightly
        // ahead.
        if period + 1 < current || period > current + 1 {
            return None;
        }
        let nonce = Nonce::try_assume_unique_for_key(ticket.get(8..8 + NONCE_LEN)?).ok()?;
        let mut encrypted = ticket.get(8 + NONCE_LEN..)?.to_vec();
        let plain = self
            .key(period)?
            .open_in_place(nonce, Aad::from(period.to_be_bytes()), &mut encrypted)
            .ok()?;
        Some(plain.to_vec())
    }
}

/// Generates a secret, as hex digits.
///
/// # Errors
/// Returns an error if the system provides no random bytes.
pub fn generate_secret() -> Result<String, String> {
    let mut secret = [0; SECRET_BYTES];
    SystemRandom::new()
        .fill(&mut secret)
        .map_err(|_| "no random bytes from the system".to_owned())?;
    Ok(secret.iter().map(|b| format!("{b:02x}")).collect())
}

#[cfg(test)]
mod tests {
    use super::*;
    use rustls::server::ProducesTickets;

    #[test]
    fn ticket_is_accepted_for_two_periods_by_all_instances_with_the_secret() {
        let clock = Clock::from_unix_micros(1_000_000 * 3_600 * 100);
        let ours = TicketKeys::new(&[7; SECRET_BYTES], 3_600, clock.clone());
        let theirs = TicketKeys::new(&[7; SECRET_BYTES], 3_600, clock.clone());
        let stranger = TicketKeys::new(&[8; SECRET_BYTES], 3_600, clock.clone());
        let ticket = ours.encrypt(b"state").expect("a ticket");
        assert_eq!(theirs.decrypt(&ticket).as_deref(), Some(&b"state"[..]));
        assert_eq!(stranger.decrypt(&ticket), None);
        clock.set(clock.unix_micros() + 3_600 * 1_000_000);
        assert!(
            theirs.decrypt(&ticket).is_some(),
            "a ticket of the previous period is accepted"
        );
        clock.set(clock.unix_micros() + 3_600 * 1_000_000);
        assert_eq!(
            theirs.decrypt(&ticket),
            None,
            "a ticket of two periods ago has expired"
        );
        let mut corrupted = ours.encrypt(b"state").expect("a ticket");
        let last = corrupted.len() - 1;
        corrupted[last] ^= 1;
        assert_eq!(ours.decrypt(&corrupted), None);
        assert_eq!(ours.decrypt(&[0; 5]), None);
    }
}
