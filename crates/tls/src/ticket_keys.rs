//! Ticket keys that instances on one host share, so that a client resumes with any of them and with the process that
//! takes one's place. Keys rotate by themselves: the key of a period is derived from a shared secret and the period's
//! number, so that no instance has to tell another; a ticket of the period before is still taken.
//!
//! A ticket: the period's number (8 bytes), a nonce (12), then the state sealed with ChaCha20-Poly1305 under that
//! period's key, the number as associated data.

use crate::Clock;
use ring::aead::{Aad, LessSafeKey, Nonce, UnboundKey, CHACHA20_POLY1305, NONCE_LEN};
use ring::hmac;
use ring::rand::{SecureRandom, SystemRandom};
use std::fmt;
use std::path::Path;

/// Bytes of the shared secret.
pub const SECRET_BYTES: usize = 32;
const LABEL: &[u8] = b"cleatpulley ticket key";

/// The keys of all periods.
pub struct TicketKeys {
    secret: hmac::Key,
    period: u64,
    clock: Clock,
    random: SystemRandom,
}

impl fmt::Debug for TicketKeys {
    // The secret is never shown.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tickets")
            .field("period", &self.period)
            .finish_non_exhaustive()
    }
}

impl TicketKeys {
    /// Keys from this secret, each for so many seconds.
    #[must_use]
    pub fn new(secret: &[u8; SECRET_BYTES], period_seconds: u64, clock: Clock) -> Self {
        let secret = hmac::Key::new(hmac::HMAC_SHA256, secret);
        Self {
            secret,
            period: period_seconds.max(60),
            clock,
            random: SystemRandom::new(),
        }
    }

    /// Reads the secret from a file of 64 hex digits, as `cleatpulley certs init` writes it.
    ///
    /// # Errors
    /// Where it can't be read or holds no such secret.
    pub fn load(
        file: &Path,
        period_seconds: u64,
        clock: Clock,
    ) -> Result<Self, crate::certificate::CertificateError> {
        let fault = |what: String| crate::certificate::CertificateError {
            file: file.to_owned(),
            reason: what,
        };
        let text = std::fs::read_to_string(file).map_err(|e| fault(e.to_string()))?;
        let text = text.trim();
        let digits = |i: usize| {
            text.get(2 * i..2 * i + 2)
                .and_then(|pair| u8::from_str_radix(pair, 16).ok())
        };
        let mut secret = [0; SECRET_BYTES];
        for (i, byte) in secret.iter_mut().enumerate() {
            *byte =
                digits(i).ok_or_else(|| fault(format!("not {} hex digits", 2 * SECRET_BYTES)))?;
        }
        if text.len() != 2 * SECRET_BYTES {
            return Err(fault(format!("not {} hex digits", 2 * SECRET_BYTES)));
        }
        Ok(Self::new(&secret, period_seconds, clock))
    }

    fn key(&self, number: u64) -> Option<LessSafeKey> {
        let mut input = LABEL.to_vec();
        input.extend(number.to_be_bytes());
        let tag = hmac::sign(&self.secret, &input);
        // A tag of SHA-256 has the 32 bytes that the key needs.
        UnboundKey::new(&CHACHA20_POLY1305, tag.as_ref().get(..32)?)
            .ok()
            .map(LessSafeKey::new)
    }

    fn number(&self) -> u64 {
        self.clock.unix_seconds() / self.period
    }
}

impl rustls::server::ProducesTickets for TicketKeys {
    fn enabled(&self) -> bool {
        true
    }

    fn lifetime(&self) -> u32 {
        u32::try_from(self.period).unwrap_or(u32::MAX)
    }

    fn encrypt(&self, plain: &[u8]) -> Option<Vec<u8>> {
        let number = self.number();
        let mut nonce = [0; NONCE_LEN];
        self.random.fill(&mut nonce).ok()?;
        let mut sealed = plain.to_vec();
        let aad = Aad::from(number.to_be_bytes());
        self.key(number)?
            .seal_in_place_append_tag(Nonce::assume_unique_for_key(nonce), aad, &mut sealed)
            .ok()?;
        let mut ticket = number.to_be_bytes().to_vec();
        ticket.extend(nonce);
        ticket.extend(sealed);
        Some(ticket)
    }

    fn decrypt(&self, cipher: &[u8]) -> Option<Vec<u8>> {
        let number = u64::from_be_bytes(cipher.get(..8)?.try_into().ok()?);
        let now = self.number();
        // The period before, and the next for an instance whose clock is a little ahead.
        if number + 1 < now || number > now + 1 {
            return None;
        }
        let nonce = Nonce::try_assume_unique_for_key(cipher.get(8..8 + NONCE_LEN)?).ok()?;
        let mut sealed = cipher.get(8 + NONCE_LEN..)?.to_vec();
        let plain = self
            .key(number)?
            .open_in_place(nonce, Aad::from(number.to_be_bytes()), &mut sealed)
            .ok()?;
        Some(plain.to_vec())
    }
}

/// A new secret, as hex digits.
///
/// # Errors
/// Where the system gives no random bytes.
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
    fn a_ticket_holds_for_its_period_and_the_next_and_on_any_instance_of_the_secret() {
        let clock = Clock::from_unix_micros(1_000_000 * 3_600 * 100);
        let ours = TicketKeys::new(&[7; SECRET_BYTES], 3_600, clock.clone());
        let theirs = TicketKeys::new(&[7; SECRET_BYTES], 3_600, clock.clone());
        let stranger = TicketKeys::new(&[8; SECRET_BYTES], 3_600, clock.clone());
        let ticket = ours.encrypt(b"state").expect("sealed");
        assert_eq!(theirs.decrypt(&ticket).as_deref(), Some(&b"state"[..]));
        assert_eq!(stranger.decrypt(&ticket), None);
        clock.set(clock.unix_micros() + 3_600 * 1_000_000);
        assert!(
            theirs.decrypt(&ticket).is_some(),
            "the period before is taken"
        );
        clock.set(clock.unix_micros() + 3_600 * 1_000_000);
        assert_eq!(theirs.decrypt(&ticket), None, "two periods on it is stale");
        let mut spoilt = ours.encrypt(b"state").expect("sealed");
        let last = spoilt.len() - 1;
        spoilt[last] ^= 1;
        assert_eq!(ours.decrypt(&spoilt), None);
        assert_eq!(ours.decrypt(&[0; 5]), None);
    }
}
