//! Incarnations that are never used twice.
//!
//! The disk holds a mark: every incarnation up to it may have been used. A process that starts
//! takes the number after the mark, and moves the mark on by a whole block *before* it uses that
//! number. It can then raise its incarnation within the block (after a false suspicion) without a
//! write, and a power loss wastes numbers but never repeats one. A disk that is out of date or
//! empty is detected by gossip: [`Incarnations::advance_past`] goes above every former incarnation
//! of this process that others have seen.

use std::fmt;

/// Incarnations that one write to the disk reserves.
pub const BLOCK_SIZE: u64 = 1 << 16;

/// The current incarnation of this process, and those reserved for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incarnations {
    current: u64,
    reserved: u64,
}

/// The highest reserved incarnation, which has to be durable before any of the reserved ones is
/// used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "no incarnation above the old mark may be used before this one is durable"]
pub struct IncarnationMark(pub u64);

/// All incarnations have been used; the mark or incarnation after which none is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no incarnation is left: the mark is {0}")]
pub struct IncarnationsExhausted(u64);

impl Incarnations {
    /// Reserves a block after the mark that the disk holds, or after 0 where it holds none, and
    /// returns it with the mark to make durable.
    ///
    /// # Errors
    /// When fewer incarnations than a block are left.
    pub fn start_after(mark: u64) -> Result<(Self, IncarnationMark), IncarnationsExhausted> {
        let reserved = mark
            .checked_add(BLOCK_SIZE)
            .ok_or(IncarnationsExhausted(mark))?;
        Ok((
            Self {
                current: mark + 1,
                reserved,
            },
            IncarnationMark(reserved),
        ))
    }

    /// The current incarnation.
    #[must_use]
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Moves to the lowest incarnation above both the current one and `highest_seen`. Returns a
    /// mark where that took a new block; it has to be durable before the process may be restarted.
    ///
    /// # Errors
    /// When no incarnation or no block is left.
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
            .checked_add(BLOCK_SIZE)
            .ok_or(IncarnationsExhausted(next))?;
        Ok(Some(IncarnationMark(self.reserved)))
    }

    /// Whether others have seen a former incarnation of this process that is not below the current
    /// one. The disk was out of date then, and [`advance_past`](Self::advance_past) has to be
    /// called.
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
