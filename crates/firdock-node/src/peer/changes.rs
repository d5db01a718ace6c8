//! Changes in the platform's list of endpoints, which its reader tells the other instances.
//!
//! Entries are passed on as they stand in the list, so that the platform's adapter decodes them as
//! if it had read them itself. They count only where they follow on the records that are known
//! already; an instance that missed some reads the list (`docs/design/platform.md`).

use std::time::Duration;

use bytes::Bytes;
use firdock_core::Offset;
use firdock_policy::Time;
use firdock_policy::event::Member;
use firdock_wire::message;
use uuid::Uuid;

use super::datagram::read_incarnation;
use crate::clock::millis;

/// Entries beyond which a peer reads the list by itself: a datagram holds no more.
const MAX_ENTRIES: usize = 150;
/// Bytes of entries beyond which it does.
const MAX_BYTES: usize = 40 << 10;

/// An entry of the platform's list as it stands there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Value; `None` where the entry is gone.
    pub value: Option<Bytes>,
}

/// Changes that one read of the platform's list found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryChanges {
    /// Offset of the first record read.
    pub from: Offset,
    /// Digest of the endpoints after the changes.
    pub after: u64,
    /// When the list was the newest.
    pub read_at: Time,
    /// Offset after the last record read.
    pub next: Offset,
    /// Changed entries in order.
    pub entries: Vec<Entry>,
}

impl EntryChanges {
    /// Tells whether one datagram can hold them.
    #[must_use]
    pub fn is_short(&self) -> bool {
        let size = |e: &Entry| e.name.len() + e.value.as_ref().map_or(0, Bytes::len);
        let bytes: usize = self.entries.iter().map(size).sum();
        self.entries.len() <= MAX_ENTRIES && bytes <= MAX_BYTES
    }

    /// Writes them as the word of `member`.
    #[must_use]
    pub fn message(&self, member: &Member) -> message::EntryChanges {
        let entry = |e: &Entry| message::Entry {
            name: e.name.clone(),
            value: e.value.as_ref().map(|v| v.to_vec()),
        };
        message::EntryChanges {
            instance: member.name.clone(),
            incarnation: member.incarnation.as_bytes().to_vec(),
            from: self.from,
            after: self.after,
            read_at: millis(self.read_at),
            next: self.next,
            entries: self.entries.iter().map(entry).collect(),
        }
    }

    /// Reads a peer's word: who sent it, and the changes with times by the sender's clock.
    #[must_use]
    pub fn read(told: message::EntryChanges) -> (String, Uuid, Self) {
        let entry = |e: message::Entry| Entry {
            name: e.name,
            value: e.value.map(Bytes::from),
        };
        let changes = Self {
            from: told.from,
            after: told.after,
            read_at: Duration::from_millis(told.read_at),
            next: told.next,
            entries: told.entries.into_iter().map(entry).collect(),
        };
        let incarnation = read_incarnation(&told.incarnation);
        (told.instance, incarnation, changes)
    }
}
