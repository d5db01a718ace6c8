//! The state that results from folding the log's records.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::resource::{Catalog, Resource, ResourceKey};
use firdock_core::{InstanceId, Offset, Version};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::record::{Body, Change, MemberRecord, Record};

/// Maximum members of a view; further joins are ignored, so that a fault cannot grow the state without bound.
const MAX_MEMBERS: usize = 512;
/// Maximum number of views that the state keeps, the one in force included.
const MAX_VIEWS: usize = 32;
/// Maximum resources; changes that add further ones are ignored.
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
    /// Id of the instance's process.
    pub incarnation: Uuid,
}

/// A member view that is or was in force; owners of keys still look up earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastView {
    /// Number: the offset of the record that made it, plus one.
    pub number: u64,
    /// Time of that record, by the log's clock.
    pub since: Duration,
    /// Whether it is the first view.
    pub first: bool,
    /// Members, sorted by name.
    pub members: Vec<MemberEntry>,
}

/// Result of folding a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum FoldOutcome {
    /// The change is in force.
    Accepted {
        /// New version of the resource.
        version: Version,
    },
    /// The base of the change was outdated; nothing changed.
    Outdated {
        /// Version in force; 0 if the resource is absent.
        present: Version,
    },
    /// The record changed the member view.
    #[serde(rename = "view")]
    ViewChanged,
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
    /// The latest views in order; the last one is in force.
    pub views: Vec<PastView>,
    /// Time of the newest snapshot record; zero before the first.
    pub snapshot_time: Duration,
}

impl State {
    /// Creates the state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Folds the record at `offset` into the state.
    ///
    /// # Panics
    ///
    /// Panics if records arrive out of order, or a version would decrease.
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

    /// Returns the version in force of a resource; 0 if it is absent.
    #[must_use]
    pub fn version_of(&self, key: &ResourceKey) -> Version {
        self.entries.get(key).map_or(0, |e| e.version)
    }

    /// Returns whether records before [`Self::next`] can have led to its version.
    #[must_use]
    pub fn is_possible(&self) -> bool {
        self.version <= self.next
    }

    /// Returns the number of the view in force; 0 before the first.
    #[must_use]
    pub fn view(&self) -> u64 {
        self.views.last().map_or(0, |v| v.number)
    }

    /// Returns the resources in force in the policy's form.
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
        let key_matches = change
            .resource
            .as_ref()
            .is_none_or(|r| r.key() == change.key);
        if full || !key_matches {
            return FoldOutcome::Ignored;
        }
        let version = offset + 1;
        assert!(version > self.version, "versions never decrease");
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
        self.record_view(offset, time);
        FoldOutcome::ViewChanged
    }

    fn record_view(&mut self, offset: Offset, since: Duration) {
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

/// Serializes the entries as a list, as JSON has no maps with struct keys.
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
