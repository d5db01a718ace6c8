//! The state that the log's records add up to.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::resource::{Catalog, Resource, ResourceKey};
use firdock_core::{InstanceId, Offset, Version};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::record::{Body, Change, MemberRecord, Record};

/// Most members of a view; further joins change nothing, so that a fault cannot grow the state.
const MAX_MEMBERS: usize = 512;
/// Views that are remembered.
const MAX_VIEWS: usize = 32;
/// Most resources; further ones change nothing.
const MAX_RESOURCES: usize = 50_000;

/// A resource with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Version: the offset of the record that set it, plus one.
    pub version: Version,
    /// The resource.
    pub resource: Resource,
}

/// A member of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name.
    pub name: InstanceId,
    /// Start of the instance.
    pub incarnation: Uuid,
}

/// A member view that was in force, and is still asked for by those who own keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastView {
    /// Number: the offset of the record that made it, plus one.
    pub number: u64,
    /// Time of that record, by the log's clock.
    pub since: Duration,
    /// Whether no view was in force before.
    pub first: bool,
    /// Members, sorted by name.
    pub members: Vec<MemberEntry>,
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum FoldOutcome {
    /// The change is in force.
    Accepted {
        /// New version of the resource.
        version: Version,
    },
    /// The writer's base was outdated: nothing changed.
    Outdated {
        /// Version in force; 0 where the resource is absent.
        present: Version,
    },
    /// The record was about members.
    View,
    /// The record changed nothing.
    Ignored,
}

/// Resources and members after the records up to an offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// Version of the newest change.
    pub version: Version,
    /// Resources, sorted by key.
    #[serde(with = "entries")]
    pub entries: BTreeMap<ResourceKey, Entry>,
    /// Members, sorted by name.
    pub members: Vec<MemberEntry>,
    /// The latest views, the one in force last.
    pub views: Vec<PastView>,
    /// Time of the newest snapshot record; zero before the first.
    pub snapshot_time: Duration,
}

impl State {
    /// Makes the state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Folds the record at `offset` in.
    ///
    /// # Panics
    ///
    /// Panics if records come out of order, or a version would go back.
    pub fn fold(&mut self, offset: Offset, time: Duration, record: Option<&Record>) -> FoldOutcome {
        assert_eq!(offset, self.next, "records are folded in the log's order");
        self.next = offset + 1;
        match record.map(|r| &r.body) {
            Some(Body::Change(change)) => self.change(offset, change),
            Some(Body::Member(member)) => self.member(offset, time, member),
            Some(Body::Snapshot { .. }) => {
                self.snapshot_time = time;
                FoldOutcome::Ignored
            }
            None => FoldOutcome::Ignored,
        }
    }

    /// Gives the version in force of a resource; 0 where it is absent.
    #[must_use]
    pub fn version_of(&self, key: &ResourceKey) -> Version {
        self.entries.get(key).map_or(0, |e| e.version)
    }

    /// Gives the number of the view in force; 0 before the first.
    #[must_use]
    pub fn view(&self) -> u64 {
        self.views.last().map_or(0, |v| v.number)
    }

    /// Gives the resources in force as the policy takes them.
    #[must_use]
    pub fn catalog(&self) -> Catalog {
        let resources = self.entries.values().map(|e| e.resource.clone());
        Catalog::new(self.version).with_resources(resources)
    }

    fn change(&mut self, offset: Offset, change: &Change) -> FoldOutcome {
        let present = self.version_of(&change.key);
        if change.base != present {
            return FoldOutcome::Outdated { present };
        }
        let full = present == 0 && self.entries.len() >= MAX_RESOURCES;
        let named = change
            .resource
            .as_ref()
            .is_none_or(|r| r.key() == change.key);
        if full || !named {
            return FoldOutcome::Ignored;
        }
        let version = offset + 1;
        assert!(version > self.version, "versions never go back");
        self.version = version;
        match &change.resource {
            Some(resource) => {
                let entry = Entry {
                    version,
                    resource: resource.clone(),
                };
                self.entries.insert(change.key.clone(), entry);
            }
            None => {
                self.entries.remove(&change.key);
            }
        }
        FoldOutcome::Accepted { version }
    }

    fn member(&mut self, offset: Offset, time: Duration, record: &MemberRecord) -> FoldOutcome {
        let at = self.members.binary_search_by(|m| m.name.cmp(&record.name));
        let entry = MemberEntry {
            name: record.name.clone(),
            incarnation: record.incarnation,
        };
        match (at, record.joins) {
            (Ok(at), true) if self.members[at] != entry => self.members[at] = entry,
            (Err(at), true) if self.members.len() < MAX_MEMBERS => self.members.insert(at, entry),
            (Ok(at), false) if self.members[at] == entry => {
                self.members.remove(at);
            }
            _ => return FoldOutcome::Ignored,
        }
        self.note_view(offset, time);
        FoldOutcome::View
    }

    fn note_view(&mut self, offset: Offset, since: Duration) {
        let first = self.views.is_empty();
        let members = self.members.clone();
        self.views.push(PastView {
            number: offset + 1,
            since,
            first,
            members,
        });
        if self.views.len() > MAX_VIEWS {
            self.views.remove(0);
        }
    }
}

/// JSON has no maps with struct keys, so entries are written as a list.
mod entries {
    use std::collections::BTreeMap;

    use firdock_core::resource::ResourceKey;
    use serde::{Deserialize, Deserializer, Serializer};

    use super::Entry;

    pub fn serialize<S>(map: &BTreeMap<ResourceKey, Entry>, s: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        s.collect_seq(map.values())
    }

    pub fn deserialize<'de, D>(d: D) -> Result<BTreeMap<ResourceKey, Entry>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let list = Vec::<Entry>::deserialize(d)?;
        Ok(list.into_iter().map(|e| (e.resource.key(), e)).collect())
    }
}
