//! Logs, traces and metrics of a running instance.

pub mod answer_metrics;
pub mod body_metrics;
pub mod change_tracker;
pub mod daemon;
pub mod decisions;
pub mod endpoints;
pub mod log;
pub mod log_limiter;
pub mod metrics;
pub mod panics;
pub mod reads;
pub mod restarts;
pub mod rollouts;
pub mod shares;
pub mod state_changes;
pub mod suspects;
pub mod suspensions;
pub mod trace;

pub use answer_metrics::AnswerMetrics;
pub use body_metrics::BodyMetrics;
pub use daemon::daemon_logger;
pub use decisions::DecisionLog;
pub use endpoints::EndpointList;
pub use log::{Level, LogGuard, StandardOutput, discard_logger, excerpt, logger, write_failure};
pub use log_limiter::{LogKind, LogLimiter};
pub use metrics::Metrics;
pub(crate) use panics::flush_before_abort;
pub use panics::report_panics;
pub use reads::ReadLog;
pub use rollouts::RolloutLog;
pub use shares::ShareLog;
pub use state_changes::StateChangeLog;
pub use suspects::{SuspectList, SuspectLog, SuspectStates};
pub use suspensions::{SuspensionLog, log_uncounted_suspensions};
pub use trace::{Span, TraceContext};
