//! Tests of settings, resources and findings.

mod outcomes;
mod resources;
mod settings;
