//! Records of the platform's log in the form in which firdock writes them.

use std::time::Duration;

use firdock_core::resource::{Resource, ResourceKey};
use firdock_core::{InstanceId, Offset, Version};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::State;

/// Id of a record. Its writer generates it and recognizes its own record by it.
pub type RecordId = Uuid;

/// A record as read from the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the log.
    pub offset: Offset,
    /// Time at which the log stored it, in milliseconds since the Unix epoch.
    pub time_millis: u64,
    /// Text of the record; text that is no valid [`Record`] is ignored by every instance.
    pub body: String,
}

impl LogRecord {
    /// Returns the time at which the log stored the record.
    #[must_use]
    pub fn time(&self) -> Duration {
        Duration::from_millis(self.time_millis)
    }

    /// Decodes the text; `None` if it is no valid record of firdock's.
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

/// Content of a record, by its type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum Body {
    /// An operator changes a resource.
    Change(Change),
    /// An instance joins or leaves.
    Member(MemberRecord),
    /// The state up to an offset, so that the log may drop older records.
    Snapshot {
        /// The state.
        state: Box<State>,
    },
}

/// A change of one resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the changed resource.
    pub key: ResourceKey,
    /// Version that the change is based on; 0 if the resource was absent.
    pub base: Version,
    /// New content; `None` deletes the resource.
    pub resource: Option<Resource>,
}

/// An instance that joins or leaves the member view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the instance.
    pub name: InstanceId,
    /// Id of the instance's process.
    pub incarnation: Uuid,
    /// Whether it joins; otherwise it leaves.
    pub joins: bool,
}
