//! Topics of the platform's store that instances pass on to each other.
//!
//! Records are passed on as they stand in the store, so that the platform's adapter decodes them as
//! if it had read them itself. Changes count only where they follow on the records that are known
//! already; an instance that missed some asks a peer for the whole (`docs/design/sharing.md`).

use std::collections::BTreeMap;

use bytes::Bytes;
use firdock_core::Offset;
use firdock_policy::Time;
use firdock_wire::message;

/// A topic that instances share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The configuration.
    Config,
    /// The list of endpoints.
    Endpoints,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 2] = [Self::Config, Self::Endpoints];

    /// Gives the topic's name, as lines of the log and metrics have it.
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

    /// Reads a topic; `None` for one that this version does not know.
    pub(super) fn read(topic: i32) -> Option<Self> {
        match message::Topic::try_from(topic).ok()? {
            message::Topic::Unspecified => None,
            message::Topic::Config => Some(Self::Config),
            message::Topic::Endpoints => Some(Self::Endpoints),
        }
    }
}

/// A record of a topic with keys, as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key.
    pub key: String,
    /// Value; `None` where the key was dropped.
    pub value: Option<Bytes>,
    /// Offset of the record in the configuration's topic, where one of the same content may come once
    /// more and mean something new; 0 in others.
    pub offset: Offset,
}

/// Records of a topic that one read found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicRecords {
    /// Topic.
    pub topic: Topic,
    /// Offset of the first record; `None` where the records are all that there are, in place of what
    /// was known.
    pub from: Option<Offset>,
    /// Offset after the last record.
    pub next: Offset,
    /// When nothing newer was there.
    pub read_at: Time,
    /// Records in order.
    pub records: Vec<KeyedRecord>,
}

impl TopicRecords {
    /// Tells whether they follow on what is known up to `known`, which may overlap.
    #[must_use]
    pub fn follows(&self, known: Option<Offset>) -> bool {
        match (self.from, known) {
            (None, _) => true,
            (Some(from), Some(known)) => from <= known,
            (Some(_), None) => false,
        }
    }

    /// Tells whether they are newer than what is known up to `known`.
    #[must_use]
    pub fn is_newer(&self, known: Option<Offset>) -> bool {
        known.is_none_or(|known| known < self.next)
    }
}

/// The newest record of each key of a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TopicSnapshot {
    next: Offset,
    values: BTreeMap<String, Newest>,
}

/// The newest record of a key: its value, and its offset as in [`KeyedRecord`].
type Newest = (Bytes, Offset);

impl TopicSnapshot {
    /// Takes records of its topic over.
    ///
    /// Gives what changed, for those who know what was known here before; `None` if nothing was
    /// known before that the changes could follow on.
    pub fn take(&mut self, new: &TopicRecords, known: bool) -> Option<TopicRecords> {
        let before = self.next;
        let changes = if new.from.is_some() {
            self.apply(&new.records);
            new.records.clone()
        } else {
            self.replace(&new.records)
        };
        self.next = new.next;
        let from = new.from.or(known.then_some(before));
        from.filter(|_| !changes.is_empty())
            .map(|from| TopicRecords {
                topic: new.topic,
                from: Some(from),
                next: new.next,
                read_at: new.read_at,
                records: changes,
            })
    }

    /// Gives the offset from which later changes are read.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Goes over the newest records, by key.
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

    /// Puts all newest records in place of what was known; gives those that changed.
    ///
    /// A listing tells no history, so that what went and came is found by comparing: peers that know
    /// what was known here need only that, and not a listing of their own.
    fn replace(&mut self, records: &[KeyedRecord]) -> Vec<KeyedRecord> {
        let mut gone = std::mem::take(&mut self.values);
        let newest = |record: &KeyedRecord| Some((record.value.clone()?, record.offset));
        let is_new = |record: &&KeyedRecord| gone.remove(&record.key) != newest(record);
        let mut changes: Vec<KeyedRecord> = records.iter().filter(is_new).cloned().collect();
        let dropped = |key: String| KeyedRecord {
            key,
            value: None,
            offset: 0,
        };
        changes.extend(gone.into_keys().map(dropped));
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
