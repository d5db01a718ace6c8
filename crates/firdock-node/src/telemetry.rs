//! What operators see of a running instance: logs, traces and metrics.

pub mod beliefs;
pub mod budget;
pub mod decisions;
pub mod endpoints;
pub mod held;
pub mod log;
pub mod metrics;
pub mod restarts;
pub mod rollouts;
pub mod seen;
pub mod shares;
pub mod suspects;
pub mod trace;

pub use beliefs::Beliefs;
pub use budget::{LineBudget, LineKind};
pub use decisions::Decisions;
pub use endpoints::EndpointList;
pub use held::HeldAnswers;
pub use log::{Level, LogGuard, logger, silent};
pub use metrics::Metrics;
pub use rollouts::RolloutSteps;
pub use shares::ShareLines;
pub use suspects::{SuspectLines, SuspectList, SuspectStates};
pub use trace::{Span, TraceContext};
