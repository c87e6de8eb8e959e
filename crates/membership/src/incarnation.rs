//! Allocation of incarnations that are never used twice.
//!
//! A high-water mark on the disk limits the incarnations that may have been used. A process that
//! starts takes the number after the mark, and raises the mark by a whole block *before* it uses
//! that number. It can then raise its incarnation within the block (after a false suspicion)
//! without another write, and a power loss wastes numbers but never repeats one. A disk that is out
//! of date or empty is detected by gossip: [`Incarnations::advance_past`] moves above every former
//! incarnation of this process that other processes have seen.

use std::fmt;

/// Number of incarnations reserved by one write to the disk.
pub const INCARNATION_BLOCK_SIZE: u64 = 1 << 16;

/// The current incarnation of this process, and the reserved ones that it can use next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incarnations {
    current: u64,
    reserved: u64,
}

/// High-water mark: the highest reserved incarnation. It has to be durable before any of the
/// reserved incarnations is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "no incarnation above the old mark may be used before this one is durable"]
pub struct IncarnationMark(pub u64);

/// Error: all incarnations have been used. Contains the mark or incarnation after which none is
/// left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no incarnation is left: the mark is {0}")]
pub struct IncarnationsExhausted(u64);

impl Incarnations {
    /// Reserves a block after the mark on the disk, or after 0 if there is none. Returns it with
    /// the new mark, which the caller has to make durable.
    ///
    /// # Errors
    /// If less than a block of incarnations is left.
    pub fn start_after(mark: u64) -> Result<(Self, IncarnationMark), IncarnationsExhausted> {
        let reserved = mark
            .checked_add(INCARNATION_BLOCK_SIZE)
            .ok_or(IncarnationsExhausted(mark))?;
        Ok((
            Self {
                current: mark + 1,
                reserved,
            },
            IncarnationMark(reserved),
        ))
    }

    /// Returns the current incarnation.
    #[must_use]
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Moves to the lowest incarnation above both the current one and `highest_seen`. Returns a new
    /// mark if another block was reserved; it has to be durable before the process is restarted.
    ///
    /// # Errors
    /// If no incarnation or no whole block is left.
    pub fn advance_past(
        &mut self,
        highest_seen: u64,
    ) -> Result<Option<IncarnationMark>, IncarnationsExhausted> {
        let next = self
            .current
            .max(highest_seen)
            .checked_add(1)
            .ok_or(IncarnationsExhausted(highest_seen))?;
        self.current = next;
        if next <= self.reserved {
            return Ok(None);
        }
        self.reserved = next
            .checked_add(INCARNATION_BLOCK_SIZE)
            .ok_or(IncarnationsExhausted(next))?;
        Ok(Some(IncarnationMark(self.reserved)))
    }

    /// Returns whether `highest_seen`, the highest former incarnation that other processes have
    /// seen, is not below the current one. The disk was out of date then, and
    /// [`advance_past`](Self::advance_past) has to be called.
    #[must_use]
    pub fn is_behind(&self, highest_seen: u64) -> bool {
        highest_seen >= self.current
    }
}

impl fmt::Display for IncarnationMark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

#[cfg(test)]
mod tests;
