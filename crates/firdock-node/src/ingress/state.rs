//! Whether the ingress accepts calls. A stopping instance accepts them until its load balancer has noticed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// Phase of the ingress while the instance runs and stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum IngressPhase {
    /// Calls are accepted.
    Open = 0,
    /// Calls are accepted, and each connection is closed after its next answer.
    Closing = 1,
    /// Calls are refused: a new one might not end before the process does.
    Closed = 2,
}

/// Phase of the ingress, shared with the code that stops the instance.
#[derive(Debug, Clone, Default)]
pub struct IngressState {
    phase: Arc<AtomicU8>,
}

impl IngressState {
    /// Returns the phase.
    #[must_use]
    pub fn get(&self) -> IngressPhase {
        match self.phase.load(Ordering::Relaxed) {
            0 => IngressPhase::Open,
            1 => IngressPhase::Closing,
            _ => IngressPhase::Closed,
        }
    }

    /// Sets the phase.
    pub fn set(&self, phase: IngressPhase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }
}
