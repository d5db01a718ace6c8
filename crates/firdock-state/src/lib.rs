//! The fold of the platform's log into resources, versions and the member view.
//!
//! Every instance folds the same records in the same order by the same pure function, so that of
//! two racing operators one wins everywhere and versions never go back
//! (see `docs/design/configuration.md`).

pub mod directory;
pub mod follow;
pub mod record;
mod state;

pub use follow::{Batch, Follower, Progress};
pub use record::{Body, Change, LogRecord, MemberRecord, Record, RecordId};
pub use state::{Entry, FoldOutcome, MemberEntry, PastView, State};
