//! What can go wrong in a subcommand, printed as one chain.

use firdock_core::Findings;
use firdock_node::StartError;
use snafu::Snafu;

use crate::exit;

/// Why a subcommand failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum CmdError {
    /// A file could not be read.
    #[snafu(display("read {path}"))]
    ReadFile {
        /// Path as it was given.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A file has findings.
    #[snafu(display("{path}: {} finding(s), nothing was changed\n{findings}", findings.as_slice().len()))]
    BadFile {
        /// Path as it was given.
        path: String,
        /// Every finding.
        findings: Findings,
    },
    /// The resource API found fault with the input.
    #[snafu(display("{} finding(s), nothing was changed\n{findings}", findings.as_slice().len()))]
    BadInput {
        /// Every finding.
        findings: Findings,
    },
    /// The resource changed meanwhile.
    #[snafu(display("{detail}"))]
    Conflict {
        /// What the API said.
        detail: String,
    },
    /// There is no such resource.
    #[snafu(display("{detail}"))]
    NotFound {
        /// What the API said.
        detail: String,
    },
    /// The log is out of reach of the instance, or its word on a change is missing.
    #[snafu(display("{detail}"))]
    Unavailable {
        /// What the API said.
        detail: String,
    },
    /// The instance refused for another reason.
    #[snafu(display("status {status}: {detail}"))]
    Refused {
        /// Status.
        status: u16,
        /// What the API said.
        detail: String,
    },
    /// The instance was not reached.
    #[snafu(display("call {url}"))]
    Call {
        /// URL.
        url: String,
        /// Cause.
        source: ureq::Error,
    },
    /// The instance's answer could not be read.
    #[snafu(display("read the answer of {url}"))]
    Answer {
        /// URL.
        url: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// The instance did not start.
    #[snafu(display("start the instance"))]
    Start {
        /// Cause.
        source: StartError,
    },
    /// The runtime could not be started.
    #[snafu(display("start the runtime"))]
    Runtime {
        /// Cause.
        source: std::io::Error,
    },
}

impl CmdError {
    /// Gives the exit code that fits.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::BadFile { .. } | Self::BadInput { .. } => exit::FINDINGS,
            Self::Conflict { .. } => exit::CONFLICT,
            Self::NotFound { .. } => exit::NOT_FOUND,
            Self::Unavailable { .. } | Self::Call { .. } => exit::UNAVAILABLE,
            _ => exit::FAILED,
        }
    }
}
