//! Tests of settings, resources and findings.

mod resources;
mod settings;
