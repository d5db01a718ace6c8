//! Small stand-ins for what surrounds firdock: engines, plain services, the log, the instance list.
//!
//! Each can be told at run time to delay, lose replies, stop answering or slow down, so that tests
//! can bring about the failures that firdock is meant for. They are not part of the product.

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
