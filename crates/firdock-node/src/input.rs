//! What the scheduler is sent, by everything that has something for it.
//!
//! Senders need this module and not the driver, so that the driver may use them in turn.

use std::sync::Arc;

use firdock_core::EndpointId;
use firdock_policy::{Event, NewRequest};

use crate::exchange::Exchange;
use crate::placement::PlacementInput;
use crate::telemetry::LogKind;

/// Inputs that may wait for the scheduler.
pub const INPUT_QUEUE_CAPACITY: usize = 4_096;

/// Something for the scheduler.
#[derive(Debug)]
pub enum Input {
    /// A request that arrived, with the way back to its caller.
    Arrived(NewRequest, Arc<Exchange>),
    /// A datagram about placements on engines.
    Placement(PlacementInput),
    /// What an endpoint says can't be read, with the kind of its line and the start of what it says.
    Malformed(LogKind, EndpointId, String),
    /// Anything else.
    Event(Event),
}
