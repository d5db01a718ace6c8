//! Requests during which endpoints exit: broken runs, and the reports that instances exchange about
//! them (`docs/design/suspects.md`).

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{AccountId, Content, ServiceId, StartId};
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Time for which an answer has to be under way to show that its endpoint does not exit on the prompt: one that does exits as it
/// begins to answer.
pub const BEGIN_TIME: Duration = Duration::from_millis(250);

/// An endpoint's exit while it ran a request, as reported between instances.
///
/// Times are sent as ages, since each instance has its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedExit {
    /// Start of the endpoint.
    pub start: StartId,
    /// Time since the request was sent there.
    pub sent_ago: Duration,
    /// Time since the endpoint exited.
    pub ended_ago: Duration,
    /// Whether it no longer counts: the request was answered since, or an operator released it.
    pub void: bool,
}

/// What a suspect is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SuspectKind {
    /// A request, by its content.
    Request,
    /// A segment that an account's prompts share.
    Segment {
        /// Number of answers on it that were under way at one instance: the largest one known.
        answers: u32,
        /// Number of segments before it in the prompt.
        position: u32,
    },
}

/// A request or prompt segment during which endpoints exited, as reported between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// What it is.
    pub kind: SuspectKind,
    /// Content of the request, or the segment.
    pub content: Arc<Content>,
    /// Account that sends it.
    pub account: AccountId,
    /// Service that it matched when an endpoint first exited during it.
    pub service: ServiceId,
    /// The known exits.
    #[serde(rename = "ends")]
    pub exits: Vec<ReportedExit>,
}

/// A run whose connection ended early: its endpoint may have exited because of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRun {
    /// Start of the endpoint.
    pub start: StartId,
    /// Content of the request.
    pub content: Arc<Content>,
    /// Segments of its prompt on which the endpoint may have exited, in the order of the prompt:
    /// none if its answer was under way.
    pub segments: Vec<Arc<Content>>,
    /// Account that sent it.
    pub account: AccountId,
    /// Service that it matched.
    pub service: ServiceId,
    /// When it was sent.
    pub sent: Time,
    /// When it broke.
    pub broke: Time,
}
