//! Traits for the platform's log and instance list, and HTTP adapters for them based on `ureq`.
//!
//! Calls block, so they are made on dedicated threads and never on the request path.

mod http;

use std::net::SocketAddr;

use firdock_core::{InstanceId, Offset, ZoneId};
use firdock_state::Batch;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use http::{HttpInstances, HttpLog};

/// Error of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum PlatformError {
    /// No response was received; an append may or may not have taken effect.
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
    /// The response could not be parsed.
    #[snafu(display("the platform's response could not be parsed"))]
    Malformed {
        /// Cause.
        source: serde_json::Error,
    },
}

/// The append-only log.
pub trait LogClient: Clone + Send + Sync + 'static {
    /// Reads up to `max` records, starting at an offset.
    ///
    /// # Errors
    ///
    /// Fails if the log does not respond.
    fn read(&self, from: Offset, max: usize) -> Result<Batch, PlatformError>;

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// Fails if the log refuses the record or does not respond. In the latter case, the append may have taken
    /// effect.
    fn append(&self, body: &str) -> Result<Offset, PlatformError>;
}

/// The list of live and leaving instances.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list, which may be out of date.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond.
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
    /// Address of an entry instance for peers; `None` for endpoints.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}
