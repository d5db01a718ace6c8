//! All decisions of firdock: admission, choice of endpoint, queueing or shedding, retry, hand-over,
//! ejection.
//!
//! The policy does no I/O and has neither a clock nor threads: [`Scheduler::step`] takes the
//! current time and an event and returns actions. The same code runs in the daemon, in golden
//! sessions and in long randomised runs (see `docs/design/policy.md`).

pub mod action;
pub mod bodies;
pub mod buffers;
pub mod cost;
pub mod event;
pub mod load;
pub mod notice;
pub mod permit;
pub mod rate;
pub mod request;
pub mod rollout;
mod scheduler;
pub mod settings;
pub mod stats;
pub mod suspect;
mod system;
pub mod usage;
pub use system::fair_share::{
    FairShare, OVER_SHARE_FACTOR, PoolFairShares, ShareDemand, fair_shares_by_pool, max_min_shares,
};
pub use system::{
    demand::by_pool as pool_demand, fair_share::work_report,
    fragile::own_reports as own_fragile_pools, fragile::reports as fragile_pools,
    limit::usage as limit_usage, permit::reports as limit_reports,
    rollout::report as rollout_report, route::link_report, start::unconfirmed_starts,
};
pub mod table;
pub mod time;
pub mod transfer;

pub use action::Action;
pub use event::Event;
pub use request::{KeyClaim, NewRequest, Origin, Verdict};
pub use scheduler::{Policy, Scheduler};
pub use settings::{AccountShares, Mechanisms, PolicySettings};
pub use stats::{RefusalKey, Stats, WasteCause};
pub use time::{LogTime, Time};
