//! The entry instance of firdock as a library: everything between callers and endpoints.
//!
//! One thread owns the scheduler's tables; the callers' door, the endpoint adapters, the peers and
//! the platform send it events and carry out its actions. [`Instance`] puts the parts together
//! (see `docs/design/instance.md`).

pub mod answer_cache;
pub mod backoff;
pub mod clock;
pub mod config;
mod driver;
mod edge;
pub mod endpoint;
mod exchange;
pub mod http;
pub mod ingress;
mod input;
mod instance;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
mod site;
pub mod source;
mod status;
pub mod telemetry;

pub use edge::{EdgeInstance, RunningEdge};
pub use exchange::{AnswerHead, AnswerPart, CallTerms, Payload};
pub use input::Input;
pub use instance::{Instance, Running, StartError};
pub use site::{EndpointLocation, Site, SiteView};
