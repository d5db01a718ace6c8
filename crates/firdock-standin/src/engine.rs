//! Stand-in for a model engine that batches continuously and caches prompt prefixes.

pub mod model;
mod protocol;
mod server;
pub mod text;

pub use model::{EngineModel, EngineSpec};
pub use server::StandinEngine;
