//! Client of the resource API, for the subcommands of `firdock`.

use std::time::Duration;

use clap::ArgMatches;
use firdock_core::{Finding, Findings};
use serde_json::Value;
use snafu::ResultExt as _;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::cmd::CmdError;

/// Time limit for a call; a watch may wait up to 55 seconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(70);

/// Client of one instance's resource API.
#[derive(Debug, Clone)]
pub struct Api {
    agent: Agent,
    server: String,
}

impl Api {
    /// Creates a client from the `--server` argument.
    #[must_use]
    pub fn new(args: &ArgMatches) -> Self {
        let server = args
            .get_one::<String>("server")
            .cloned()
            .unwrap_or_default();
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            agent: config.into(),
            server,
        }
    }

    /// Sends a GET request for a path.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be reached or refuses the request.
    pub fn get(&self, path: &str) -> Result<Value, CmdError> {
        let url = self.url(path);
        read(&url, self.agent.get(&url).call())
    }

    /// Sends a POST request with a body to a path.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be reached or refuses the request.
    pub fn post(&self, path: &str, body: &str) -> Result<Value, CmdError> {
        let url = self.url(path);
        read(&url, self.agent.post(&url).send(body))
    }

    /// Sends a DELETE request for a path.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be reached or refuses the request.
    pub fn delete(&self, path: &str) -> Result<Value, CmdError> {
        let url = self.url(path);
        read(&url, self.agent.delete(&url).call())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.server)
    }
}

fn read(url: &str, result: Result<Response<Body>, ureq::Error>) -> Result<Value, CmdError> {
    let mut response = result.context(crate::cmd::CallSnafu { url })?;
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string();
    let text = text.context(crate::cmd::CallSnafu { url })?;
    if status < 300 {
        return serde_json::from_str(&text).context(crate::cmd::AnswerSnafu { url });
    }
    Err(api_error(status, &text))
}

fn api_error(status: u16, text: &str) -> CmdError {
    let body = serde_json::from_str::<Value>(text).unwrap_or_default();
    let detail = body["detail"].as_str().unwrap_or(text).to_owned();
    match status {
        422 => CmdError::BadInput {
            findings: findings(&body),
        },
        409 => CmdError::Conflict { detail },
        404 => CmdError::NotFound { detail },
        503 | 504 => CmdError::Unavailable { detail },
        _ => CmdError::Refused { status, detail },
    }
}

fn findings(body: &Value) -> Findings {
    let list = serde_json::from_value::<Vec<Finding>>(body["findings"].clone());
    let mut findings = Findings::new();
    for f in list.unwrap_or_default() {
        findings.add(f.line, f.path, f.message);
    }
    findings
}
