//! Firdock's entry instance as a library: everything between callers and endpoints.
//!
//! One thread owns the scheduler's tables. The ingress, the endpoint adapters, the peer protocol and the
//! platform adapters send it events and carry out its actions. [`Instance`] assembles the components (see
//! `docs/design/instance.md`).

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
pub mod permits;
pub mod placement;
pub mod platform;
pub mod signals;
mod site;
pub mod source;
mod status;
pub mod streams;
pub mod telemetry;

pub use edge::{EdgeInstance, RunningEdge};
pub use exchange::{
    AnswerBudget, AnswerHead, AnswerPart, BodyBudget, BodyReservation, CallTerms, Payload,
};
pub use input::Input;
pub use instance::{Instance, Running, StartError};
pub use site::{AccessRequest, Admission, Denial, EndpointLocation, RouteQuery, Site, SiteView};
