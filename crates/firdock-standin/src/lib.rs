//! Stand-ins for the systems that firdock talks to: model engines, plain application servers, the
//! platform's log and its instance list.
//!
//! Faults can be injected into each at run time: delays, lost replies, no answers, slow work. Tests use
//! them to reproduce the failures that firdock must handle. The stand-ins are not part of the product.

pub mod client;
pub mod demo;
pub mod engine;
pub mod fault;
pub mod instances;
pub mod log;
pub mod measure;
pub mod rollouts;
pub mod service;
pub mod web;
pub mod workload;

pub use engine::StandinEngine;
pub use instances::StandinInstances;
pub use log::StandinLog;
pub use service::StandinService;
