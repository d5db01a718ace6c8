//! Types shared by all crates of firdock: ids, tiers, outcomes, resources and settings.
//!
//! This crate does no I/O and depends on no other crate of the workspace, so that the policy, the fold
//! of the log and the daemons use the same definition of each term (see `docs/GLOSSARY.md`).

pub mod content;
pub mod credential;
pub mod finding;
pub mod ids;
pub mod outcome;
pub mod prefix;
pub mod rendezvous;
pub mod resource;
pub mod settings;
pub mod table;

pub use content::{Content, ContentHasher, ContentId};
pub use finding::{Finding, Findings};
pub use ids::{
    AccountId, EndpointId, InstanceId, MAX_OFFSET, Offset, PoolId, RequestId, SegmentId, ServiceId,
    SoftwareVersion, StartId, TierId, TierRank, Version, ZoneId,
};
pub use outcome::{Outcome, Reason};
