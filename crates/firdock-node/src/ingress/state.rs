//! How far the door is open: a stopping instance serves on until its balancer has noticed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// How far the door is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum IngressPhase {
    /// Calls are taken.
    Open = 0,
    /// Calls are taken, and each connection ends with its next answer.
    Closing = 1,
    /// Calls are refused: what came now could not end before the process does.
    Closed = 2,
}

/// How far the door is open, shared with whoever stops the instance.
#[derive(Debug, Clone, Default)]
pub struct IngressState {
    phase: Arc<AtomicU8>,
}

impl IngressState {
    /// Gives how far the door is open.
    #[must_use]
    pub fn get(&self) -> IngressPhase {
        match self.phase.load(Ordering::Relaxed) {
            0 => IngressPhase::Open,
            1 => IngressPhase::Closing,
            _ => IngressPhase::Closed,
        }
    }

    /// Sets how far the door is open.
    pub fn set(&self, phase: IngressPhase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }
}
