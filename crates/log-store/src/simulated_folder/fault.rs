//! Faults that a simulated disk can be given.

/// A fault of a simulated disk. Operations that change something are counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The operation with this number and all later ones fail without effect: the machine has
    /// crashed.
    CrashAt(u64),
    /// The operation with this number fails once.
    FailOnce(u64),
    /// If the operation with this number is a write, only half of the bytes are written, without an
    /// error.
    ShortWrite(u64),
    /// From the operation with this number on, all files together can hold only this many bytes.
    Full(u64, usize),
}
