//! Records of the platform's log, as firdock writes them.

use std::time::Duration;

use firdock_core::resource::{Resource, ResourceKey};
use firdock_core::{InstanceId, Offset, Version};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::State;

/// Id of a record, minted by its writer, by which it finds its own record again.
pub type RecordId = Uuid;

/// A record as the log gives it back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the log.
    pub offset: Offset,
    /// Time at which the log took it, in milliseconds since the Unix epoch.
    pub time_millis: u64,
    /// Text of the record; text that is no [`Record`] changes nothing anywhere.
    pub body: String,
}

impl LogRecord {
    /// Gives the record's time.
    #[must_use]
    pub fn time(&self) -> Duration {
        Duration::from_millis(self.time_millis)
    }

    /// Decodes the text; `None` for text that firdock did not write.
    #[must_use]
    pub fn decode(&self) -> Option<Record> {
        serde_json::from_str(&self.body).ok()
    }
}

/// One record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Id.
    pub id: RecordId,
    /// Content.
    pub body: Body,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Body {
    /// An operator changes a resource.
    Change(Change),
    /// An instance comes or goes.
    Member(MemberRecord),
    /// The state up to an offset, so that older records may be dropped.
    Snapshot {
        /// The state.
        state: Box<State>,
    },
}

/// A change of one resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Resource that is changed.
    pub key: ResourceKey,
    /// Version that the writer saw; 0 for "absent".
    pub base: Version,
    /// New content; `None` deletes the resource.
    pub resource: Option<Resource>,
}

/// An instance that joins or leaves the member view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the instance.
    pub name: InstanceId,
    /// Start of the instance that the record is about.
    pub incarnation: Uuid,
    /// Whether it joins; else it leaves.
    pub joins: bool,
}
