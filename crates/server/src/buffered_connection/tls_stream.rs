//! The TLS layer of a connection, and the number of its plaintext bytes that were sent.

use crate::tls_layer::TlsLayer;
use std::collections::VecDeque;

/// A range of plaintext bytes that were sealed together.
struct SealedRange {
    /// End offset of the records, in the bytes sent by the connection.
    record_end: u64,
    /// End offset of the range, in the plaintext of the connection.
    plain_end: u64,
}

/// The TLS layer of a connection. Whether a request may have arrived depends on its plaintext, so
/// sent bytes are counted in plaintext.
pub(super) struct TlsStream {
    pub(super) layer: TlsLayer,
    /// Plaintext that is not sealed yet.
    pub(super) plain_output: Vec<u8>,
    /// Ranges whose records have not been sent completely.
    unsent_ranges: VecDeque<SealedRange>,
    plain_sealed_bytes: u64,
    plain_sent_bytes: u64,
}

impl TlsStream {
    pub(super) fn new(layer: TlsLayer) -> Self {
        Self {
            layer,
            plain_output: Vec::new(),
            unsent_ranges: VecDeque::new(),
            plain_sealed_bytes: 0,
            plain_sent_bytes: 0,
        }
    }

    /// Seals the plaintext into `output`, which begins at offset `output_start` of the bytes sent
    /// by the connection.
    pub(super) fn seal(&mut self, output: &mut Vec<u8>, output_start: u64) {
        let sealing_bytes = self.plain_output.len() as u64;
        self.layer.seal(&mut self.plain_output, output);
        if sealing_bytes > 0 && self.plain_output.is_empty() {
            self.plain_sealed_bytes += sealing_bytes;
            self.unsent_ranges.push_back(SealedRange {
                record_end: output_start + output.len() as u64,
                plain_end: self.plain_sealed_bytes,
            });
        }
    }

    /// Handles that the connection has sent `total_sent_bytes` in total. Returns the number of
    /// plaintext bytes whose records are now sent completely.
    pub(super) fn on_sent(&mut self, total_sent_bytes: u64) -> usize {
        let plain_sent_before = self.plain_sent_bytes;
        while let Some(range) = self.unsent_ranges.front() {
            if range.record_end > total_sent_bytes {
                break;
            }
            self.plain_sent_bytes = range.plain_end;
            self.unsent_ranges.pop_front();
        }
        usize::try_from(self.plain_sent_bytes - plain_sent_before).unwrap_or(usize::MAX)
    }
}
