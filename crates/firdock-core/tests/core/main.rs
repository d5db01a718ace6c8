//! Tests of settings, resources and findings.

mod content;
mod durations;
mod outcomes;
mod resources;
mod settings;
