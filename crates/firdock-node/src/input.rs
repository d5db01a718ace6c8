//! Messages to the scheduler's thread.
//!
//! Senders depend on this module instead of the driver, so that the driver can depend on them.

use std::sync::Arc;

use firdock_core::EndpointId;
use firdock_policy::{Event, NewRequest};

use crate::exchange::Exchange;
use crate::permits::PermitInput;
use crate::placement::PlacementInput;
use crate::telemetry::LogKind;

/// Capacity of the scheduler's input queue.
pub const INPUT_QUEUE_CAPACITY: usize = 4_096;

/// A message to the scheduler's thread.
#[derive(Debug)]
pub enum Input {
    /// A request that arrived, with the exchange that carries its answer to the caller.
    Arrived(NewRequest, Arc<Exchange>),
    /// A datagram of the placement protocol.
    Placement(PlacementInput),
    /// A datagram with permits or requests for them.
    Permits(PermitInput),
    /// A report of an endpoint that could not be parsed: kind of the log line, endpoint, start of the text.
    Malformed(LogKind, EndpointId, String),
    /// An event for the policy.
    Event(Event),
}
