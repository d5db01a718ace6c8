//! Errors of the subcommands, which are printed with their chain of causes.

use firdock_core::Findings;
use firdock_node::StartError;
use snafu::Snafu;

use crate::exit;

/// Errors of the subcommands.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum CmdError {
    /// A file could not be read.
    #[snafu(display("failed to read {path}"))]
    ReadFile {
        /// Path from the command line.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A file has findings.
    #[snafu(display("{path}: {} finding(s), nothing was changed\n{findings}", findings.as_slice().len()))]
    BadFile {
        /// Path from the command line.
        path: String,
        /// Every finding.
        findings: Findings,
    },
    /// The resource API reported findings in the input.
    #[snafu(display("{} finding(s), nothing was changed\n{findings}", findings.as_slice().len()))]
    BadInput {
        /// Every finding.
        findings: Findings,
    },
    /// The resource was changed concurrently.
    #[snafu(display("{detail}"))]
    Conflict {
        /// Detail from the API.
        detail: String,
    },
    /// The resource does not exist, or no log line is about the request.
    #[snafu(display("{detail}"))]
    NotFound {
        /// Detail from the API.
        detail: String,
    },
    /// The instance cannot reach the log, or the log did not confirm a change.
    #[snafu(display("{detail}"))]
    Unavailable {
        /// Detail from the API.
        detail: String,
    },
    /// The instance refused the call for another reason.
    #[snafu(display("status {status}: {detail}"))]
    Refused {
        /// Status.
        status: u16,
        /// Detail from the API.
        detail: String,
    },
    /// The instance could not be reached.
    #[snafu(display("failed to call {url}"))]
    Call {
        /// URL.
        url: String,
        /// Cause.
        source: ureq::Error,
    },
    /// The instance's response could not be parsed.
    #[snafu(display("failed to parse the response of {url}"))]
    Answer {
        /// URL.
        url: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// The instance did not start.
    #[snafu(display("failed to start the instance"))]
    Start {
        /// Cause.
        source: StartError,
    },
    /// The runtime could not be started.
    #[snafu(display("failed to start the runtime"))]
    Runtime {
        /// Cause.
        source: std::io::Error,
    },
}

impl CmdError {
    /// Returns the exit code for the error.
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
