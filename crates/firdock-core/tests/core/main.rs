//! Tests of settings, resources and findings.

mod content;
mod outcomes;
mod resources;
mod settings;
