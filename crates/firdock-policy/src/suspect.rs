//! Requests under which endpoints end: the runs that broke, and what instances tell each other of them
//! (`docs/design/suspects.md`).

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{AccountId, Content, ServiceId, StartId};
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// One end of an endpoint with a request on board, as one instance tells another.
///
/// Times are told as ages, since each instance has a clock of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedExit {
    /// Start of the endpoint that ended.
    pub start: StartId,
    /// How long ago the request was sent there.
    pub sent_ago: Duration,
    /// How long ago the endpoint ended.
    pub ended_ago: Duration,
    /// Whether it counts no more: the request was answered since, or an operator let it go.
    pub void: bool,
}

/// A request under which endpoints ended, as one instance tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// What it asks for.
    pub content: Arc<Content>,
    /// Account that sends it.
    pub account: AccountId,
    /// Service that it matched when an endpoint first ended under it.
    pub service: ServiceId,
    /// The ends that are known.
    #[serde(rename = "ends")]
    pub exits: Vec<ReportedExit>,
}

/// A run whose connection ended early: its endpoint may have ended, and under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRun {
    /// Start of the endpoint.
    pub start: StartId,
    /// What was asked for.
    pub content: Arc<Content>,
    /// Account that sent it.
    pub account: AccountId,
    /// Service that it matched.
    pub service: ServiceId,
    /// When it was sent.
    pub sent: Time,
    /// When it broke.
    pub broke: Time,
}
