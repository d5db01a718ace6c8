//! Permits to send requests to endpoints that name a rate limit, as instances request and grant them
//! (`docs/design/endpoint-limits.md`).

use std::time::Duration;

use firdock_core::{InstanceId, StartId};
use serde::{Deserialize, Serialize};

use crate::rate::RequestRate;
use crate::time::Time;

/// Time for which a permit may be used, from the request for it. It covers several decisions of a
/// busy instance, and permits granted before a window of a few seconds add little to it.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);

/// Scheduler that requests permits.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PermitHolder {
    /// Its instance; empty for this instance.
    pub instance: InstanceId,
    /// Whether it is the instance's coordinator rather than the scheduler of its own requests.
    pub coordinates: bool,
}

/// Request for permits to send to one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Start of the endpoint.
    pub endpoint: StartId,
    /// Limit of the endpoint as the holder knows it.
    pub rate: RequestRate,
    /// Number of permits wanted.
    pub wanted: u32,
    /// Permits that expired unused since the last request.
    pub unused: u32,
    /// Requests that the holder sent to the endpoint in the last second.
    pub recent: u32,
    /// When the request was made, by the holder's clock.
    pub asked: Time,
}

/// Response to a request for permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Start of the endpoint.
    pub endpoint: StartId,
    /// Number of permits, possibly 0.
    pub count: u32,
    /// Time after which another request is worthwhile.
    pub retry_after: Duration,
    /// Copied from the request.
    pub asked: Time,
}

/// Rate limit of an endpoint as one instance knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Start of the endpoint.
    pub endpoint: StartId,
    /// The limit; `None` if it ended.
    pub limit: Option<RequestRate>,
    /// When the answer that said so was read, by this process's clock.
    pub read: Time,
}
