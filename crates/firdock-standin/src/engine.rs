//! Stand-in for a model engine with continuous batching and a prefix cache.

pub mod model;
mod protocol;
mod server;
pub mod text;

pub use model::{EngineModel, EngineSpec};
pub use server::StandinEngine;
