//! The platform's log and instance list: small traits, and their HTTP adapters by `ureq`.
//!
//! Calls block, so they run on threads of their own and never on the request path.

mod http;

use std::net::SocketAddr;

use firdock_core::{InstanceId, Offset, ZoneId};
use firdock_state::Batch;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use http::{HttpInstances, HttpLog};

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum PlatformError {
    /// No answer came; an append may or may not have taken effect.
    #[snafu(display("the platform did not answer"))]
    NoAnswer {
        /// Cause.
        source: ureq::Error,
    },
    /// The platform refused; nothing took effect.
    #[snafu(display("the platform refused with status {status}"))]
    Refused {
        /// Status.
        status: u16,
    },
    /// The answer could not be read.
    #[snafu(display("the platform's answer could not be read"))]
    Malformed {
        /// Cause.
        source: serde_json::Error,
    },
}

/// The append-only log.
pub trait LogClient: Clone + Send + Sync + 'static {
    /// Reads up to `most` records from an offset on.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer.
    fn read(&self, from: Offset, most: usize) -> Result<Batch, PlatformError>;

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// Fails if the log refuses, or does not answer; then the append may have taken effect.
    fn append(&self, body: &str) -> Result<Offset, PlatformError>;
}

/// The list of live and leaving instances.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list, which lags.
    ///
    /// # Errors
    ///
    /// Fails if the list does not answer.
    fn list(&self) -> Result<Vec<ListedRow>, PlatformError>;
}

/// One row of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRow {
    /// Name of an entry instance or an endpoint.
    pub name: InstanceId,
    /// Availability zone.
    #[serde(default)]
    pub zone: ZoneId,
    /// Address on which an entry instance takes peers; `None` for endpoints.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}
