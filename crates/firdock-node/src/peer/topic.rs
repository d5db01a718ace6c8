//! Topics of the platform's store that instances forward to each other.
//!
//! Records are forwarded as stored, so that the platform's adapter decodes them as if it had read
//! them itself. Changes are applied only if they are contiguous with the known records; an instance
//! that missed some queries a peer for a complete snapshot (`docs/design/sharing.md`).

use std::collections::BTreeMap;

use bytes::Bytes;
use firdock_core::Offset;
use firdock_policy::Time;
use firdock_wire::message;

/// A topic that instances share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Configuration.
    Config,
    /// List of endpoints.
    Endpoints,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 2] = [Self::Config, Self::Endpoints];

    /// Returns the topic's name as used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "configuration",
            Self::Endpoints => "endpoints",
        }
    }

    pub(super) fn write(self) -> message::Topic {
        match self {
            Self::Config => message::Topic::Config,
            Self::Endpoints => message::Topic::Endpoints,
        }
    }

    /// Decodes a topic; `None` if this version does not support it.
    pub(super) fn read(topic: i32) -> Option<Self> {
        match message::Topic::try_from(topic).ok()? {
            message::Topic::Unspecified => None,
            message::Topic::Config => Some(Self::Config),
            message::Topic::Endpoints => Some(Self::Endpoints),
        }
    }
}

/// A keyed record, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// Offset of the record in the configuration topic, where the same content may be written again
    /// with a new meaning; 0 in other topics.
    pub offset: Offset,
}

/// Records of a topic that were found by one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicRecords {
    /// Topic.
    pub topic: Topic,
    /// Offset of the first record; `None` if the records are a complete snapshot that replaces all
    /// known ones.
    pub from: Option<Offset>,
    /// Offset after the last record.
    pub next: Offset,
    /// Whether they are the state at `next`; if not, the store named a later end that nothing proves.
    pub proved: bool,
    /// Time at which no newer record existed.
    pub read_at: Time,
    /// Records in order of their offsets.
    pub records: Vec<KeyedRecord>,
}

impl TopicRecords {
    /// Returns whether the records are contiguous with those known up to offset `known`; they may
    /// overlap.
    #[must_use]
    pub fn follows(&self, known: Option<Offset>) -> bool {
        match (self.from, known) {
            (None, _) => true,
            (Some(from), Some(known)) => from <= known,
            (Some(_), None) => false,
        }
    }

    /// Returns whether there are records beyond offset `known`.
    #[must_use]
    pub fn is_newer(&self, known: Option<Offset>) -> bool {
        known.is_none_or(|known| known < self.next)
    }
}

/// The newest record of each key of a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TopicSnapshot {
    next: Offset,
    /// Whether the values may differ from those that peers know at the same offset.
    differs: bool,
    values: BTreeMap<String, Newest>,
}

/// Value of a key's newest record, and its offset as in [`KeyedRecord`].
type Newest = (Bytes, Offset);

impl TopicSnapshot {
    /// Applies records of its topic.
    ///
    /// Returns the changes for peers that had the same previous snapshot; `None` if nothing changed
    /// or there was no previous snapshot that peers can have.
    pub fn take(&mut self, new: &TopicRecords, known: bool) -> Option<TopicRecords> {
        let before = self.next;
        let changes = if new.from.is_some() {
            self.apply(&new.records);
            new.records.clone()
        } else {
            self.replace(&new.records)
        };
        self.next = new.next;
        let differed = self.differs;
        if new.from.is_none() {
            let is_other = (known && !changes.is_empty()) || new.records.is_empty();
            self.differs = !new.proved && (differed || is_other);
        }
        let from = new.from.or(known.then_some(before));
        from.filter(|_| !changes.is_empty() && !differed && !self.differs)
            .map(|from| TopicRecords {
                topic: new.topic,
                from: Some(from),
                next: new.next,
                proved: new.proved,
                read_at: new.read_at,
                records: changes,
            })
    }

    /// Returns whether the values may differ from those that peers know at the same offset: they were listed
    /// with an end that no record proves.
    #[must_use]
    pub fn differs(&self) -> bool {
        self.differs
    }

    /// Returns the offset from which later changes are read.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Iterates over the newest records, by key.
    pub fn records(&self) -> impl Iterator<Item = KeyedRecord> {
        self.values
            .iter()
            .map(|(key, (value, offset))| KeyedRecord {
                key: key.clone(),
                value: Some(value.clone()),
                offset: *offset,
            })
    }

    fn apply(&mut self, records: &[KeyedRecord]) {
        for record in records {
            match &record.value {
                Some(value) => {
                    let newest = (value.clone(), record.offset);
                    self.values.insert(record.key.clone(), newest)
                }
                None => self.values.remove(&record.key),
            };
        }
    }

    /// Replaces all records and returns those that changed.
    ///
    /// A listing has no history, so changes and deletions are found by comparison. Peers with the
    /// same previous snapshot then need only the changes, and no listing of their own.
    fn replace(&mut self, records: &[KeyedRecord]) -> Vec<KeyedRecord> {
        let mut previous = std::mem::take(&mut self.values);
        let newest = |record: &KeyedRecord| Some((record.value.clone()?, record.offset));
        let is_new = |record: &&KeyedRecord| previous.remove(&record.key) != newest(record);
        let mut changes: Vec<KeyedRecord> = records.iter().filter(is_new).cloned().collect();
        let dropped = |key: String| KeyedRecord {
            key,
            value: None,
            offset: 0,
        };
        changes.extend(previous.into_keys().map(dropped));
        self.apply(records);
        changes
    }
}

pub(super) fn write_record(record: KeyedRecord) -> message::Entry {
    message::Entry {
        name: record.key,
        value: record.value.map(|v| v.to_vec()),
        offset: record.offset,
    }
}

pub(super) fn read_record(entry: message::Entry) -> KeyedRecord {
    KeyedRecord {
        key: entry.name,
        value: entry.value.map(Bytes::from),
        offset: entry.offset,
    }
}
