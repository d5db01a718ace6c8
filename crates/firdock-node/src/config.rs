//! The configuration: following the log, appending to it, and the state that other threads read.

mod changes;
mod follow;
mod hub;
mod list;
mod membership;
mod write;

pub use changes::{Changes, ConfigChange};
pub use follow::{FollowParts, follow};
pub use hub::{Hub, HubState, PeerStatus};
pub use list::watch_list;
pub use membership::RecordSettings;
pub use write::{WriteError, write};
