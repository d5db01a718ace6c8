//! Folds the records of the platform's log into resources, versions and the member view.
//!
//! Every instance folds the same records in the same order with the same pure function. So of two concurrent
//! changes to a resource the same one wins on every instance, and versions never decrease
//! (see `docs/design/configuration.md`).

pub mod directory;
pub mod follow;
pub mod record;
mod state;

pub use follow::{Batch, Follower, Progress};
pub use record::{Body, Change, LogRecord, MemberRecord, Record, RecordId};
pub use state::{Entry, FoldOutcome, MemberEntry, PastView, State};
